//! Tasks that hold their machine's resources for longer than it takes to rent another machine.

use std::collections::BTreeMap;

use umbersail_policy::FleetMachine;

use super::{Engine, Job, JobId, MachineId, Placement, Time};

/// A task that has exceeded its estimated run time is assumed to run for this share of the time
/// that it has already run.
const OVERRUN_SHARE: f64 = 0.25;

/// Tasks that are expected to end within this many boot times are not long-running: a machine
/// rented in their place would first boot and fetch the image, and be paid for all that time.
const LONG_RUN_BOOT_TIMES: f64 = 2.0;

/// Number of long-running tasks by job and zone.
pub(super) type LongRunningTasks = BTreeMap<JobId, BTreeMap<String, u32>>;

/// How long a job's tasks are expected to occupy their machines.
pub(super) struct RunEstimate {
    /// Seconds for which a task runs. Infinite for a service.
    run_s: f64,
    /// Seconds that the fetch of the image takes before that.
    fetch_s: f64,
}

impl RunEstimate {
    /// Seconds for which a placed task is expected to stay on its machine.
    pub fn remaining_s(&self, now: Time, running_since: Option<Time>) -> f64 {
        running_since.map_or(self.run_s + self.fetch_s, |since| {
            let ran_s = now - since;
            (self.run_s - ran_s).max(OVERRUN_SHARE * ran_s)
        })
    }
}

impl Engine {
    pub(super) fn run_estimate(&self, job: &Job) -> RunEstimate {
        RunEstimate {
            run_s: if job.is_service() {
                f64::INFINITY
            } else {
                self.expected_run_s(job)
            },
            fetch_s: self.image_fetch_s(job),
        }
    }

    /// Enters the long-running tasks of all jobs into `fleet`, which is in the order of machine
    /// names.
    pub(super) fn add_long_running_tasks(
        &self,
        now: Time,
        fleet: &mut [FleetMachine<MachineId>],
    ) -> LongRunningTasks {
        let types = self.machine_types.iter();
        let longest_boot_s = types.map(|t| t.boot_s).fold(0.0, f64::max);
        let long_s = LONG_RUN_BOOT_TIMES * longest_boot_s;
        let mut tasks = LongRunningTasks::new();
        let with_tasks = |(_, job): &(&JobId, &Job)| !job.cancelled && !job.placements.is_empty();
        for (id, job) in self.jobs.iter().filter(with_tasks) {
            let estimate = self.run_estimate(job);
            // Spares the examination of each task of most jobs.
            let longest_overrun_s = OVERRUN_SHARE * (now - job.submitted_at);
            if estimate.remaining_s(now, None).max(longest_overrun_s) <= long_s {
                continue;
            }
            let is_long_running = |placement: &&Placement| {
                placement.pending_stop.is_none()
                    && estimate.remaining_s(now, placement.running_since) > long_s
            };
            for placement in job.placements.values().filter(is_long_running) {
                let position = fleet.binary_search_by(|m| m.machine.cmp(&placement.machine));
                let Ok(index) = position else {
                    continue;
                };
                let machine = &mut fleet[index];
                machine.long_running.add(&job.shape, 1.0);
                let by_zone = tasks.entry(id.clone()).or_default();
                *by_zone.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        tasks
    }
}
