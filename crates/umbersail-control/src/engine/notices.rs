//! Machines about to be taken back, or not heard of: what can't finish there moves.

use super::{Engine, JobId, Stop, Time};

impl Engine {
    /// Machines about to be taken back: what can't finish there moves now.
    pub(super) fn handle_notices(&mut self, now: Time) {
        let mut stops: Vec<(JobId, u32, f64)> = Vec::new();
        let silent_after = self.silent_after();
        let mut unplan: Vec<(JobId, u32)> = Vec::new();
        for machine in self.machines.values_mut() {
            let leaving = machine.notice_until;
            let silent = machine.silent_for(now) >= silent_after;
            let unreachable = machine.reachability.is_unreachable();
            if leaving.is_none() && !silent && !unreachable && machine.delete_reason.is_none() {
                continue;
            }
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(placement) = job.live.get(task) else {
                    continue;
                };
                if placement.ordered.is_none() && placement.seen.is_none() {
                    // Told to nobody: it can wait elsewhere at once.
                    unplan.push((id.clone(), *task));
                    continue;
                }
                let Some(until) = leaving else {
                    continue;
                };
                if machine.notice_handled || placement.stop.is_some() {
                    continue;
                }
                let ran = placement.running_since.map_or(0.0, |since| now - since);
                let run_s = self
                    .learner
                    .expected_run_s(&job.spec.class, job.spec.estimate_s);
                if job.is_service() || ran + (until - now) < run_s {
                    stops.push((id.clone(), *task, job.save_grace_s()));
                }
            }
            if leaving.is_some() {
                machine.notice_handled = true;
            }
        }
        for (id, task) in unplan {
            self.return_task(&id, task);
        }
        for (id, task, grace_s) in stops {
            if let Some(placement) = self.jobs.get_mut(&id).and_then(|j| j.live.get_mut(&task)) {
                placement.stop = Some(Stop {
                    grace_s,
                    evictions: 0,
                });
            }
        }
    }
}
