//! Tasks that hold their machine's resources for longer than it takes to rent another machine.

use std::collections::BTreeMap;

use umbersail_policy::FleetMachine;

use super::{Engine, Job, JobId, MachineId, Placement, Time};

/// A task that has exceeded its estimated run time is assumed to run for this share of the time
/// that it has already run.
const OVERRUN_SHARE: f64 = 0.25;

/// Number of long-running tasks by job and zone.
pub(super) type LongRunningTasks = BTreeMap<JobId, BTreeMap<String, u32>>;

impl Engine {
    /// Seconds for which a placed task is expected to stay on its machine, including the fetch
    /// of its image if the task does not run yet. Infinite for a service.
    pub(super) fn expected_remaining_s(
        &self,
        now: Time,
        job: &Job,
        running_since: Option<Time>,
    ) -> f64 {
        if job.is_service() {
            return f64::INFINITY;
        }
        let run_s = self.expected_run_s(job);
        running_since.map_or(run_s + self.image_fetch_s(job), |since| {
            let ran_s = now - since;
            (run_s - ran_s).max(OVERRUN_SHARE * ran_s)
        })
    }

    /// Enters the long-running tasks of all jobs into `fleet`, which is in the order of machine
    /// names. A task is long-running if it is expected to run when a machine rented now has
    /// booted, whatever its type.
    pub(super) fn add_long_running_tasks(
        &self,
        now: Time,
        fleet: &mut [FleetMachine<MachineId>],
    ) -> LongRunningTasks {
        let types = self.machine_types.iter();
        let boot_s = types.map(|t| t.boot_s).fold(0.0, f64::max);
        let mut tasks = LongRunningTasks::new();
        for (id, job) in &self.jobs {
            if job.cancelled || !self.may_have_long_running_tasks(now, job, boot_s) {
                continue;
            }
            let is_long_running = |placement: &&Placement| {
                placement.pending_stop.is_none()
                    && self.expected_remaining_s(now, job, placement.running_since) > boot_s
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

    /// Whether some task of the job may be expected to run for longer than `boot_s`. Spares the
    /// examination of each task of most jobs.
    fn may_have_long_running_tasks(&self, now: Time, job: &Job, boot_s: f64) -> bool {
        let longest_run_s = now - job.submitted_at;
        !job.placements.is_empty()
            && (self.expected_remaining_s(now, job, None) > boot_s
                || OVERRUN_SHARE * longest_run_s > boot_s)
    }
}
