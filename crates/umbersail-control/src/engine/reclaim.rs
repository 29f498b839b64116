//! Moves tasks off machines that the cloud will reclaim or that do not answer.

use super::{Engine, JobId, PendingStop, Time};

impl Engine {
    /// Stops tasks that cannot finish before their machine is reclaimed, and requeues
    /// placements that were never launched on machines that are to be reclaimed or
    /// deleted, silent or unreachable.
    pub(super) fn handle_reclaim_notices(&mut self, now: Time) {
        let mut stops: Vec<(JobId, u32, f64)> = Vec::new();
        let silence_limit_s = self.silence_limit_s();
        let mut unlaunched: Vec<(JobId, u32)> = Vec::new();
        for machine in self.machines.values_mut() {
            let reclaim_at = machine.reclaim_at;
            let silent = machine.silent_for(now) >= silence_limit_s;
            let unreachable = machine.reachability.is_unreachable();
            if reclaim_at.is_none() && !silent && !unreachable && machine.delete_reason.is_none() {
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
                    // The worker never received the launch: the task can be requeued at once.
                    unlaunched.push((id.clone(), *task));
                    continue;
                }
                let Some(until) = reclaim_at else {
                    continue;
                };
                if machine.reclaim_handled || placement.pending_stop.is_some() {
                    continue;
                }
                let ran_s = placement.running_since.map_or(0.0, |since| now - since);
                let run_s = self
                    .learner
                    .expected_run_s(&job.spec.class, job.spec.estimate_s);
                if job.is_service() || ran_s + (until - now) < run_s {
                    stops.push((id.clone(), *task, job.save_grace_s()));
                }
            }
            if reclaim_at.is_some() {
                machine.reclaim_handled = true;
            }
        }
        for (id, task) in unlaunched {
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
