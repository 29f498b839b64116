//! Fault `cancel-now`: many running jobs are cancelled at once, and some of their machines may
//! hang.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::Rng;
use umbersail_runtime::sleep;

use crate::fault::{FaultInjector, name_of};
use crate::fleet::Machine;
use crate::history::EventKind;
use crate::scenario::Failure;
use crate::user_faults::UserCommand;

/// All cancellations are sent within this many seconds.
const CANCEL_SPREAD_S: f64 = 0.2;
/// Only jobs with a task that has at least this many seconds left are cancelled.
const MIN_REMAINING_S: f64 = 30.0;
/// Maximum number of machines that hang.
const MAX_HUNG_MACHINES: usize = 8;

/// A running job: the longest time that a task has left, and the machines of its tasks.
#[derive(Default)]
struct RunningJob {
    remaining_s: f64,
    machines: Vec<Rc<Machine>>,
}

impl FaultInjector {
    /// Cancels the job that the fault names or, if it names none, the given number of jobs that
    /// have the longest time left.
    pub(crate) fn cancel_now(self: &Rc<Self>, failure: &Failure) {
        if let Some(job) = failure.job.clone() {
            let after_s = 0.0;
            return self
                .users
                .faults
                .issue(UserCommand::Cancel { job, after_s });
        }
        let chosen = self.longest_running(failure.count.unwrap_or(0));
        for (job, _) in &chosen {
            let after_s = self.rng.borrow_mut().random_range(0.0..CANCEL_SPREAD_S);
            let job = job.clone();
            self.users
                .faults
                .issue(UserCommand::Cancel { job, after_s });
        }
        if let Some(hang_s) = failure.hang_s {
            self.hang(failure, chosen, hang_s);
        }
    }

    /// Returns at most `count` jobs that are not cancelled and have the longest time left.
    fn longest_running(&self, count: usize) -> Vec<(String, RunningJob)> {
        let now = self.world.now();
        let cancelled = self.fleet.cancelled.borrow();
        let mut jobs: BTreeMap<String, RunningJob> = BTreeMap::new();
        for machine in self.fleet.up() {
            for (job, remaining_s) in machine.worker.running(now) {
                let running = jobs.entry(job).or_default();
                running.remaining_s = running.remaining_s.max(remaining_s);
                running.machines.push(machine.clone());
            }
        }
        jobs.retain(|job, running| {
            running.remaining_s >= MIN_REMAINING_S && !cancelled.contains(job)
        });
        let mut jobs: Vec<(String, RunningJob)> = jobs.into_iter().collect();
        jobs.sort_by(|a, b| b.1.remaining_s.total_cmp(&a.1.remaining_s));
        jobs.truncate(count);
        jobs
    }

    /// Freezes machines of these jobs for `hang_s` seconds.
    fn hang(self: &Rc<Self>, failure: &Failure, jobs: Vec<(String, RunningJob)>, hang_s: f64) {
        let machines = jobs.into_iter().flat_map(|(_, running)| running.machines);
        let by_name = machines.map(|m| (m.name.clone(), m));
        let machines: BTreeMap<String, Rc<Machine>> = by_name.collect();
        let machines: Vec<Rc<Machine>> = machines.into_values().take(MAX_HUNG_MACHINES).collect();
        for machine in &machines {
            self.fleet.history.add(EventKind::MachineFaulted {
                machine: machine.name.clone(),
                fault: name_of(failure.what),
                for_s: hang_s,
            });
            self.world.freeze(machine.host);
        }
        let stage = self.clone();
        self.world.spawn(async move {
            sleep(hang_s).await;
            for machine in machines {
                machine.worker.shift_times(hang_s);
                stage.world.thaw(machine.host);
            }
        });
    }
}
