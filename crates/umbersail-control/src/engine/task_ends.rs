//! Handles the end of a task: records results, counts errors against machines and jobs, and
//! quarantines machines.

use tracing::{debug, info, warn};
use umbersail_wire::{ExitCause, TaskReport};

use super::{Engine, JobId, MachineId, PendingStop, Time};

impl Engine {
    /// A task has completed on the machine `name`. `is_placed_attempt`: by the attempt that
    /// this leader has placed, not by an earlier one.
    pub(super) fn task_completed(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        is_placed_attempt: bool,
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
        // The outcome is counted here rather than when the end has been recorded, because
        // the watch may report the deleted job key before the transaction is answered.
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
        if is_placed_attempt
            && let Some(since) = job.placements.get(&task).and_then(|p| p.running_since)
            && let Some(placement) = job.placements.get(&task)
            && placement.launched_in.is_some()
        {
            let estimate = job.spec.estimate_s;
            let class = job.spec.class.clone();
            self.learner.record_run(&class, now, estimate, now - since);
        }
        match job.placements.get_mut(&task) {
            // An earlier attempt completed: the attempt that replaced it is not needed.
            Some(other) if !is_placed_attempt && other.may_be_known_to_worker() => {
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

    /// The placed attempt of a task ended without completing the task.
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
            ExitCause::Stopped => debug!(job = &**id, task, saved = ?entry.saved, "task stopped"),
            ExitCause::Error => self.task_failed(now, name, id, ran_s),
            ExitCause::Unknown => {
                job.backoff_until = Some(now + self.cfg.tuning.job_backoff_s);
                info!(
                    job = &**id,
                    machine = &**name,
                    "the worker found no such job or task: backing off"
                );
            }
            ExitCause::NoRoom | ExitCause::Busy => {
                info!(
                    job = &**id,
                    task,
                    machine = &**name,
                    ?cause,
                    "the worker refused to start the task: backing off"
                );
                job.backoff_until = Some(now + self.cfg.heartbeat_interval_s);
            }
            ExitCause::Done | ExitCause::Other => {
                warn!(
                    job = &**id,
                    task,
                    machine = &**name,
                    ?cause,
                    "task ended without completing"
                );
            }
        }
        if let Some(machine) = self.machines.get_mut(name)
            && machine.tasks.is_empty()
        {
            machine.idle_since = now;
        }
    }

    /// A task failed after `ran_s` seconds. The error is counted against the job if the job has
    /// failed on several machines, otherwise against the machine.
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
        // The job fails on every machine: its backoff doubles each time. Failures of tasks
        // that were still running during the backoff do not extend it.
        if job.backoff_until.is_none() {
            let doubled_s = job.backoff_s * 2.0;
            job.backoff_s = doubled_s.clamp(tuning.job_backoff_s, tuning.job_backoff_max_s);
            job.backoff_until = Some(now + job.backoff_s);
            info!(
                job = &**id,
                errors = job.errors,
                pause_s = job.backoff_s,
                "the job fails on every machine: backing off"
            );
        }
        if !was_suspect {
            job.mark_dirty(now);
            self.withdraw_machine_errors(id);
        }
    }

    /// Counts an error of the job against the machine, which gets no more tasks if too many
    /// errors of several jobs are counted.
    fn count_machine_error(&mut self, now: Time, name: &MachineId, id: &JobId) {
        let limit = self.cfg.tuning.quarantine_errors as u32;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        *machine.errors_by_job.entry(id.clone()).or_default() += 1;
        if machine.suspected_faulty_at.is_none() && machine.has_too_many_errors(limit) {
            machine.suspected_faulty_at = Some(now);
            debug!(
                machine = &**name,
                "tasks of several jobs failed on the machine: no more tasks are placed on it"
            );
        }
    }

    /// The job has proven not to be faulty: its errors are forgotten. If errors on machines
    /// were withdrawn because the job was suspected, they are counted against those machines
    /// again.
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

    /// Removes the job's errors from all machines: a job that fails everywhere is no evidence
    /// that a machine is faulty.
    pub(super) fn withdraw_machine_errors(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let limit = self.cfg.tuning.quarantine_errors as u32;
        for name in &job.failed_on_since_success {
            if let Some(machine) = self.machines.get_mut(name)
                && machine.errors_by_job.remove(id).is_some()
                && !machine.has_too_many_errors(limit)
            {
                machine.suspected_faulty_at = None;
            }
        }
        self.cycle_requested = true;
    }

    /// Quarantines suspected machines, which are then deleted. This happens only after a delay,
    /// in which jobs that fail everywhere are recognised and their errors withdrawn.
    pub(super) fn quarantine_machines(&mut self, now: Time) {
        let hold_s = self.cfg.tuning.quarantine_hold_s;
        for (name, machine) in &mut self.machines {
            let due = machine
                .suspected_faulty_at
                .is_some_and(|at| now - at >= hold_s);
            if due && !machine.quarantined {
                machine.quarantined = true;
                machine.delete_reason = Some("quarantined: tasks of several jobs failed on it");
                let errors: u32 = machine.errors_by_job.values().sum();
                warn!(
                    machine = &**name,
                    errors, "machine quarantined: tasks of several jobs failed on it"
                );
            }
        }
    }
}
