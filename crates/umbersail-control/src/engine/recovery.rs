//! What earlier holders may have left running: machines are accounted for one by one, by
//! their heartbeats, their leases or the cloud (rules 3 and 4).

use tracing::info;

use super::{Engine, JobId, MachineId};

impl Engine {
    /// Nothing of ours or of an earlier holder is on this machine except what
    /// its newest report shows (rule 3).
    pub(super) fn account_for_machine(&mut self, name: &MachineId) {
        if let Some(machine) = self.machines.get_mut(name) {
            if !machine.inherited {
                return;
            }
            machine.inherited = false;
        }
        self.finish_unrecorded_recovery(name);
        // By machine, since a new leader hears of thousands of machines within
        // a second and has thousands of jobs.
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

    /// Whether tasks may be started before they are recorded, from now on.
    pub fn set_degraded_mode(&mut self, open: bool) {
        self.degraded_mode = open;
    }

    /// Jobs of which something was started that no record tells of yet.
    pub fn unrecorded_job_count(&self) -> usize {
        self.jobs.values().filter(|j| j.is_unrecorded()).count()
    }

    /// Whether tasks wait that might be started without a record.
    pub fn has_jobs_for_degraded_mode(&self) -> bool {
        self.jobs
            .values()
            .any(|j| j.is_schedulable() && j.may_start_unrecorded())
    }

    /// The machine is accounted for: once all are, nothing can run that no
    /// record tells of.
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
        info!("all machines are accounted for: what runs is known");
    }

    /// Whether nothing runs any more that no record tells of. That all machines
    /// are accounted for is not enough: a successor finds only what is recorded,
    /// not what we saw in their reports.
    pub(super) fn is_recovery_complete(&self) -> bool {
        self.unaccounted_machines.is_empty()
            && self.unrecorded_job_count() == 0
            && !self.machines.values().any(|m| m.has_unsized_orphans)
    }

    /// The machine holds nothing any more: lapsed, failed or deleted.
    pub(super) fn clear_machine(&mut self, name: &MachineId) {
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
