//! What follows from the end of a task: results, errors held against machines and jobs,
//! quarantine.

use tracing::{debug, info, warn};
use umbersail_wire::{ExitCause, TaskReport};

use super::{Engine, JobId, MachineId, PendingStop, Time};

impl Engine {
    pub(super) fn task_completed(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        ours: bool,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.done.insert(task) {
            return;
        }
        job.last_progress = now;
        job.record_start(now, false);
        job.recovery_pending.remove(&task);
        job.requeued.remove(&task);
        job.mark_dirty(now);
        // Here and not at its end: that may be seen in the watch first.
        let ended = job.is_complete();
        let in_time = job
            .spec
            .deadline_s
            .is_some_and(|d| now - job.submitted_at <= d);
        if ended {
            self.record_deadline_outcome(id, in_time);
        }
        self.clear_job_errors(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if ours
            && let Some(since) = job.placements.get(&task).and_then(|p| p.running_since)
            && let Some(placement) = job.placements.get(&task)
            && placement.launched_in.is_some()
        {
            let estimate = job.spec.estimate_s;
            let class = job.spec.class.clone();
            self.learner.record_run(&class, now, estimate, now - since);
        }
        match job.placements.get_mut(&task) {
            // A result that came late: the attempt in its stead is of no use.
            Some(other) if !ours && other.may_be_known_to_worker() => {
                other.pending_stop = Some(PendingStop::IMMEDIATE);
            }
            _ => drop(self.remove_placement(id, task)),
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.clear_errors();
            if machine.tasks.is_empty() {
                machine.idle_since = now;
            }
        }
        self.remove_if_finished(id);
    }

    /// One of our attempts ended without completing.
    pub(super) fn task_ended(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        entry: &TaskReport,
    ) {
        let cause = entry.cause.unwrap_or(ExitCause::Other);
        let placement = self.jobs.get(id).and_then(|j| j.placements.get(&task));
        let running_since = placement.and_then(|p| p.running_since);
        let ran_s = running_since.map_or(0.0, |since| now - since);
        self.requeue_task(id, task);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match cause {
            ExitCause::Stopped => debug!(job = &**id, task, saved = ?entry.saved, "stopped"),
            ExitCause::Error => self.task_failed(now, name, id, ran_s),
            ExitCause::Unknown => {
                job.backoff_until = Some(now + self.cfg.tuning.job_backoff_s);
                info!(
                    job = &**id,
                    machine = &**name,
                    "worker does not find the job: backs off"
                );
            }
            ExitCause::NoRoom | ExitCause::Busy => {
                info!(
                    job = &**id,
                    task,
                    machine = &**name,
                    ?cause,
                    "start refused by the worker"
                );
                job.backoff_until = Some(now + self.cfg.heartbeat_interval_s);
            }
            ExitCause::Done | ExitCause::Other => {
                warn!(job = &**id, task, machine = &**name, ?cause, "ended");
            }
        }
        if let Some(machine) = self.machines.get_mut(name)
            && machine.tasks.is_empty()
        {
            machine.idle_since = now;
        }
    }

    /// A task failed after `ran_s` seconds: held against the job if it has failed on several
    /// machines, else against the machine.
    fn task_failed(&mut self, now: Time, name: &MachineId, id: &JobId, ran_s: f64) {
        let tuning = self.cfg.tuning.clone();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.errors += 1;
        job.avoided_machines.insert(name.clone());
        job.failed_on_since_success.insert(name.clone());
        job.longest_failed_run_s = job.longest_failed_run_s.max(ran_s);
        let was_suspect = job.suspected_faulty;
        job.suspected_faulty |=
            job.failed_on_since_success.len() >= tuning.job_fault_machines as usize;
        if !job.suspected_faulty {
            self.count_machine_error(now, name, id);
            return;
        }
        // It fails everywhere: it waits longer each time. Those of its tasks that were
        // under way say nothing new.
        if job.backoff_until.is_none() {
            let doubled_s = job.backoff_s * 2.0;
            job.backoff_s = doubled_s.clamp(tuning.job_backoff_s, tuning.job_backoff_max_s);
            job.backoff_until = Some(now + job.backoff_s);
            info!(
                job = &**id,
                errors = job.errors,
                pause_s = job.backoff_s,
                "fails on every machine: backs off"
            );
        }
        if !was_suspect {
            job.mark_dirty(now);
            self.withdraw_machine_errors(id);
        }
    }

    /// Counts an error of the job against the machine.
    fn count_machine_error(&mut self, now: Time, name: &MachineId, id: &JobId) {
        let limit = self.cfg.tuning.quarantine_errors as u32;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        *machine.errors_by_job.entry(id.clone()).or_default() += 1;
        if machine.suspected_faulty_at.is_none() && machine.has_too_many_errors(limit) {
            machine.suspected_faulty_at = Some(now);
            debug!(machine = &**name, "fails tasks of several jobs: gets none");
        }
    }

    /// Nothing is held against the job any more: it was the machines, and what it
    /// took back of them is said again.
    pub(super) fn clear_job_errors(&mut self, id: &JobId) {
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|j| j.errors > 0 || j.suspected_faulty)
        else {
            return;
        };
        job.errors = 0;
        let was_suspect = std::mem::take(&mut job.suspected_faulty);
        let failed_on = std::mem::take(&mut job.failed_on_since_success);
        for name in failed_on.iter().filter(|_| was_suspect) {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.errors_by_job.entry(id.clone()).or_insert(1);
            }
        }
        self.cycle_requested = true;
    }

    /// A job that fails everywhere says nothing of the machines where it did.
    pub(super) fn withdraw_machine_errors(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let least = self.cfg.tuning.quarantine_errors as u32;
        for name in &job.failed_on_since_success {
            if let Some(machine) = self.machines.get_mut(name)
                && machine.errors_by_job.remove(id).is_some()
                && !machine.has_too_many_errors(least)
            {
                machine.suspected_faulty_at = None;
            }
        }
        self.cycle_requested = true;
    }

    /// Gives machines back that still stand accused, once jobs that fail
    /// everywhere have had the time to show themselves.
    pub(super) fn quarantine_machines(&mut self, now: Time) {
        let hold_s = self.cfg.tuning.quarantine_hold_s;
        for (name, machine) in &mut self.machines {
            let due = machine
                .suspected_faulty_at
                .is_some_and(|at| now - at >= hold_s);
            if due && !machine.quarantined {
                machine.quarantined = true;
                machine.delete_reason = Some("quarantined: it fails tasks of several jobs");
                let errors: u32 = machine.errors_by_job.values().sum();
                warn!(
                    machine = &**name,
                    errors, "quarantined: it fails tasks of several jobs"
                );
            }
        }
    }
}
