//! Many running jobs are cancelled at once, and some of their machines hang.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::Rng;
use umbersail_runtime::sleep;

use crate::fault::{FaultInjector, name_of};
use crate::fleet::Machine;
use crate::history::What;
use crate::scenario::Failure;
use crate::user_troubles::Order;

/// All are cancelled within so many seconds.
const WITHIN_S: f64 = 0.2;
/// A job has long to go if a task of it goes on for so many seconds and more.
const LONG_S: f64 = 30.0;
/// So many machines hang at the most.
const HANG_MOST: usize = 8;

/// A job that runs: how long its last task goes on, and where its tasks are.
#[derive(Default)]
struct Running {
    left_s: f64,
    machines: Vec<Rc<Machine>>,
}

impl FaultInjector {
    /// Cancels the job that the failure names, or as many as it says of those that have
    /// the longest to go.
    pub(crate) fn cancel_now(self: &Rc<Self>, failure: &Failure) {
        if let Some(job) = failure.job.clone() {
            let after_s = 0.0;
            return self.users.troubles.order(Order::Cancel { job, after_s });
        }
        let chosen = self.with_long_to_go(failure.count.unwrap_or(0));
        for (job, _) in &chosen {
            let after_s = self.rng.borrow_mut().random_range(0.0..WITHIN_S);
            let job = job.clone();
            self.users.troubles.order(Order::Cancel { job, after_s });
        }
        if let Some(hang_s) = failure.hang_s {
            self.hang(failure, chosen, hang_s);
        }
    }

    fn with_long_to_go(&self, count: usize) -> Vec<(String, Running)> {
        let now = self.world.now();
        let cancelled = self.fleet.cancelled.borrow();
        let mut jobs: BTreeMap<String, Running> = BTreeMap::new();
        for machine in self.fleet.up() {
            for (job, left_s) in machine.worker.running(now) {
                let running = jobs.entry(job).or_default();
                running.left_s = running.left_s.max(left_s);
                running.machines.push(machine.clone());
            }
        }
        jobs.retain(|job, running| running.left_s >= LONG_S && !cancelled.contains(job));
        let mut jobs: Vec<(String, Running)> = jobs.into_iter().collect();
        jobs.sort_by(|a, b| b.1.left_s.total_cmp(&a.1.left_s));
        jobs.truncate(count);
        jobs
    }

    /// Machines of these jobs hang and go on.
    fn hang(self: &Rc<Self>, failure: &Failure, jobs: Vec<(String, Running)>, hang_s: f64) {
        let machines = jobs.into_iter().flat_map(|(_, running)| running.machines);
        let by_name = machines.map(|m| (m.name.clone(), m));
        let machines: BTreeMap<String, Rc<Machine>> = by_name.collect();
        let machines: Vec<Rc<Machine>> = machines.into_values().take(HANG_MOST).collect();
        for machine in &machines {
            self.fleet.history.add(What::Struck {
                machine: machine.name.clone(),
                trouble: name_of(failure.what),
                for_s: hang_s,
            });
            self.world.freeze(machine.host);
        }
        let stage = self.clone();
        self.world.spawn(async move {
            sleep(hang_s).await;
            for machine in machines {
                machine.worker.put_off(hang_s);
                stage.world.thaw(machine.host);
            }
        });
    }
}
