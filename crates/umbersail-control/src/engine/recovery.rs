//! Recovery after a failover: tasks that earlier leaders may have left running. Machines are
//! accounted for one by one, which means that the tasks that may run on them become known: by a
//! heartbeat, by the expiry of their lease or by the cloud (rules 3 and 4 of `docs/design.md`).

use tracing::info;

use super::{Engine, JobId, MachineId};

impl Engine {
    /// Marks the machine as accounted for: no task of this or an earlier leader is on it except
    /// those that its newest heartbeat lists (rule 3).
    pub(super) fn account_for_machine(&mut self, name: &MachineId) {
        if let Some(machine) = self.machines.get_mut(name) {
            if !machine.inherited {
                return;
            }
            machine.inherited = false;
        }
        self.finish_unrecorded_recovery(name);
        // The jobs are indexed by machine, because a new leader accounts for thousands of
        // machines within a second while it has thousands of jobs.
        for id in self
            .inherited_jobs_by_machine
            .remove(name)
            .unwrap_or_default()
        {
            if let Some(job) = self.jobs.get_mut(&id)
                && job.inherited_machines.remove(name)
            {
                job.finish_recovery();
                self.remove_if_finished(&id);
            }
        }
        self.mark_jobs_waiting();
    }

    /// Turns degraded mode on or off: whether tasks may be started before they are recorded.
    pub fn set_degraded_mode(&mut self, enabled: bool) {
        self.degraded_mode = enabled;
    }

    /// Number of jobs with tasks that were started and are not recorded yet.
    pub fn unrecorded_job_count(&self) -> usize {
        self.jobs.values().filter(|j| j.is_unrecorded()).count()
    }

    /// Whether a job waits whose tasks may be started in degraded mode.
    pub fn has_jobs_for_degraded_mode(&self) -> bool {
        self.jobs
            .values()
            .any(|j| j.is_schedulable() && j.may_start_unrecorded())
    }

    /// Notes that the machine holds no unknown tasks. Once this holds for all machines, no task
    /// can run that is neither recorded nor known to this leader.
    pub(super) fn finish_unrecorded_recovery(&mut self, name: &MachineId) {
        if !self.unaccounted_machines.remove(name) || !self.unaccounted_machines.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        for (id, job) in &mut self.jobs {
            job.may_run_anywhere = false;
            job.finish_recovery();
            ended.push(id.clone());
        }
        for id in ended {
            self.remove_if_finished(&id);
        }
        info!("all machines are accounted for: every running task is known");
    }

    /// Whether every running task is recorded. It is not enough that all machines are accounted
    /// for: a successor finds only the records, not the heartbeats that this leader received.
    pub(super) fn is_recovery_complete(&self) -> bool {
        self.unaccounted_machines.is_empty()
            && self.unrecorded_job_count() == 0
            && !self.machines.values().any(|m| m.has_unsized_orphans)
    }

    /// Requeues all tasks of a machine that can hold none any more: its lease has expired, or
    /// the machine has failed or is deleted.
    pub(super) fn requeue_machine_tasks(&mut self, name: &MachineId) {
        let tasks: Vec<(JobId, u32)> = self
            .machines
            .get(name)
            .map(|m| m.tasks.iter().cloned().collect())
            .unwrap_or_default();
        for (id, task) in tasks {
            self.requeue_task(&id, task);
        }
        self.account_for_machine(name);
        self.run_records_to_delete
            .extend(self.orphaned_jobs.on_machine_empty(name));
        if let Some(machine) = self.machines.get_mut(name) {
            machine.has_orphaned_tasks = false;
            machine.has_unsized_orphans = false;
        }
    }
}
