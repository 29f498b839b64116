//! Machines about to be taken back, or not heard of: what can't finish there moves.

use super::{Engine, JobId, PendingStop, Time};

impl Engine {
    /// Machines about to be taken back: what can't finish there moves now.
    pub(super) fn handle_reclaim_notices(&mut self, now: Time) {
        let mut stops: Vec<(JobId, u32, f64)> = Vec::new();
        let silent_after = self.silence_limit_s();
        let mut unplan: Vec<(JobId, u32)> = Vec::new();
        for machine in self.machines.values_mut() {
            let leaving = machine.reclaim_at;
            let silent = machine.silent_for(now) >= silent_after;
            let unreachable = machine.reachability.is_unreachable();
            if leaving.is_none() && !silent && !unreachable && machine.delete_reason.is_none() {
                continue;
            }
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(placement) = job.placements.get(task) else {
                    continue;
                };
                if placement.launched_in.is_none() && placement.observed_state.is_none() {
                    // Told to nobody: it can wait elsewhere at once.
                    unplan.push((id.clone(), *task));
                    continue;
                }
                let Some(until) = leaving else {
                    continue;
                };
                if machine.reclaim_handled || placement.pending_stop.is_some() {
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
                machine.reclaim_handled = true;
            }
        }
        for (id, task) in unplan {
            self.requeue_task(&id, task);
        }
        for (id, task, grace_s) in stops {
            if let Some(placement) = self
                .jobs
                .get_mut(&id)
                .and_then(|j| j.placements.get_mut(&task))
            {
                placement.pending_stop = Some(PendingStop {
                    grace_s,
                    required_eviction_count: 0,
                });
            }
        }
    }
}
