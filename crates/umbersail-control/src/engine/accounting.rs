//! What earlier holders may have left running: machines are accounted for one by one, by
//! their heartbeats, their leases or the cloud (rules 3 and 4).

use tracing::info;

use super::{Engine, JobId, MachineId};

impl Engine {
    /// Nothing of ours or of an earlier holder is on this machine except what
    /// its newest report shows (rule 3).
    pub(super) fn account(&mut self, name: &MachineId) {
        if let Some(machine) = self.machines.get_mut(name) {
            if !machine.inherited {
                return;
            }
            machine.inherited = false;
        }
        self.settle_unrecorded(name);
        // By machine, since a new leader hears of thousands of machines within
        // a second and has thousands of jobs.
        for id in self.inherited_by.remove(name).unwrap_or_default() {
            if let Some(job) = self.jobs.get_mut(&id)
                && job.inherited.remove(name)
            {
                job.finish_recovery();
                self.drop_if_over(&id);
            }
        }
        self.note_waiting();
    }

    /// Whether tasks may be started before they are recorded, from now on.
    pub fn set_degraded(&mut self, open: bool) {
        self.open = open;
    }

    /// Jobs of which something was started that no record tells of yet.
    pub fn unrecorded_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.is_unrecorded()).count()
    }

    /// Whether tasks wait that might be started without a record.
    pub fn has_waiting_for_degraded_mode(&self) -> bool {
        self.jobs
            .values()
            .any(|j| j.waits() && j.may_start_unrecorded())
    }

    /// The machine is accounted for: once all are, nothing can run that no
    /// record tells of.
    pub(super) fn settle_unrecorded(&mut self, name: &MachineId) {
        if !self.unaccounted_machines.remove(name) || !self.unaccounted_machines.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        for (id, job) in &mut self.jobs {
            job.anywhere = false;
            job.finish_recovery();
            ended.push(id.clone());
        }
        for id in ended {
            self.drop_if_over(&id);
        }
        info!("all machines are accounted for: what runs is known");
    }

    /// Whether nothing runs any more that no record tells of. That all machines
    /// are accounted for is not enough: a successor finds only what is recorded,
    /// not what we saw in their reports.
    pub(super) fn is_settled(&self) -> bool {
        self.unaccounted_machines.is_empty()
            && self.unrecorded_jobs() == 0
            && !self.machines.values().any(|m| m.unsized_orphans)
    }

    /// The machine holds nothing any more: lapsed, failed or deleted.
    pub(super) fn clear_machine(&mut self, name: &MachineId) {
        let tasks: Vec<(JobId, u32)> = self
            .machines
            .get(name)
            .map(|m| m.tasks.iter().cloned().collect())
            .unwrap_or_default();
        for (id, task) in tasks {
            self.return_task(&id, task);
        }
        self.account(name);
        self.cleared
            .extend(self.orphaned_jobs.on_machine_empty(name));
        if let Some(machine) = self.machines.get_mut(name) {
            machine.orphaned_tasks = false;
            machine.unsized_orphans = false;
        }
    }
}
