//! What follows from the end of a task: results, errors held against machines and jobs,
//! quarantine.

use tracing::{debug, info, warn};
use umbersail_wire::{ExitCause, TaskReport};

use super::{Engine, JobId, MachineId, Stop, Time};

impl Engine {
    pub(super) fn task_done(
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
        job.begins(now, false);
        job.recovery_pending.remove(&task);
        job.returned.remove(&task);
        job.touch(now);
        // Here and not at its end: that may be seen in the watch first.
        let ended = job.is_complete();
        let in_time = job
            .spec
            .deadline_s
            .is_some_and(|d| now - job.submitted <= d);
        if ended {
            self.record_deadline_outcome(id, in_time);
        }
        self.clear_job(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if ours
            && let Some(since) = job.live.get(&task).and_then(|p| p.running_since)
            && let Some(placement) = job.live.get(&task)
            && placement.ordered.is_some()
        {
            let estimate = job.spec.estimate_s;
            let class = job.spec.class.clone();
            self.learner.record_run(&class, now, estimate, now - since);
        }
        match job.live.get_mut(&task) {
            // A result that came late: the attempt in its stead is of no use.
            Some(other) if !ours && other.told() => {
                other.stop = Some(Stop::AT_ONCE);
            }
            _ => drop(self.remove_placement(id, task)),
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.exonerated();
            if machine.tasks.is_empty() {
                machine.idle_since = now;
            }
        }
        self.drop_if_over(id);
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
        let placement = self.jobs.get(id).and_then(|j| j.live.get(&task));
        let running_since = placement.and_then(|p| p.running_since);
        let ran_s = running_since.map_or(0.0, |since| now - since);
        self.return_task(id, task);
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
                job.backoff_until = Some(now + self.cfg.report_s);
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
        job.error_machines.insert(name.clone());
        job.failed_on.insert(name.clone());
        job.failed_after_s = job.failed_after_s.max(ran_s);
        let was_suspect = job.suspect;
        job.suspect |= job.failed_on.len() >= tuning.job_fault_machines as usize;
        if !job.suspect {
            self.accuse(now, name, id);
            return;
        }
        // It fails everywhere: it waits longer each time. Those of its tasks that were
        // under way say nothing new.
        if job.backoff_until.is_none() {
            let doubled_s = job.backoff_s * 2.0;
            job.backoff_s = doubled_s.clamp(tuning.job_backoff_s, tuning.job_backoff_most_s);
            job.backoff_until = Some(now + job.backoff_s);
            info!(
                job = &**id,
                errors = job.errors,
                pause_s = job.backoff_s,
                "fails on every machine: backs off"
            );
        }
        if !was_suspect {
            job.touch(now);
            self.withdraw_accusations(id);
        }
    }

    /// Counts an error of the job against the machine.
    fn accuse(&mut self, now: Time, name: &MachineId, id: &JobId) {
        let limit = self.cfg.tuning.quarantine_errors as u32;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        *machine.errors.entry(id.clone()).or_default() += 1;
        if machine.accused_at.is_none() && machine.is_accused(limit) {
            machine.accused_at = Some(now);
            debug!(machine = &**name, "fails tasks of several jobs: gets none");
        }
    }

    /// Nothing is held against the job any more: it was the machines, and what it
    /// took back of them is said again.
    pub(super) fn clear_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.errors > 0 || j.suspect) else {
            return;
        };
        job.errors = 0;
        let was_suspect = std::mem::take(&mut job.suspect);
        let failed_on = std::mem::take(&mut job.failed_on);
        for name in failed_on.iter().filter(|_| was_suspect) {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.errors.entry(id.clone()).or_insert(1);
            }
        }
        self.schedule_wanted = true;
    }

    /// A job that fails everywhere says nothing of the machines where it did.
    pub(super) fn withdraw_accusations(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let least = self.cfg.tuning.quarantine_errors as u32;
        for name in &job.failed_on {
            if let Some(machine) = self.machines.get_mut(name)
                && machine.errors.remove(id).is_some()
                && !machine.is_accused(least)
            {
                machine.accused_at = None;
            }
        }
        self.schedule_wanted = true;
    }

    /// Gives machines back that still stand accused, once jobs that fail
    /// everywhere have had the time to show themselves.
    pub(super) fn quarantine(&mut self, now: Time) {
        let hold_s = self.cfg.tuning.quarantine_hold_s;
        for (name, machine) in &mut self.machines {
            let due = machine.accused_at.is_some_and(|at| now - at >= hold_s);
            if due && !machine.quarantined {
                machine.quarantined = true;
                machine.delete_reason = Some("quarantined: it fails tasks of several jobs");
                let errors: u32 = machine.errors.values().sum();
                warn!(
                    machine = &**name,
                    errors, "quarantined: it fails tasks of several jobs"
                );
            }
        }
    }
}
