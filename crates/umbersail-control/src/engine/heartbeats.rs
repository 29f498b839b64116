//! Heartbeats of workers: reconciles the known state of a machine with the tasks that its
//! heartbeat lists.

use std::collections::BTreeSet;

use tracing::{debug, info};
use umbersail_wire::{ExitCause, Heartbeat, TaskReport, TaskState};

use super::{Engine, JobId, Machine, MachineId, PendingStop, Placement, Time, epoch};

/// Splits a task name such as `req-000412/3` into job and task index.
pub(crate) fn split_task(task: &str) -> Option<(&str, u32)> {
    let (id, index) = task.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}

pub(super) fn join_task(id: &str, task: u32) -> String {
    format!("{id}/{task}")
}

/// Number of exited tasks that the heartbeat lists.
fn exited_tasks(heartbeat: &Heartbeat) -> u32 {
    let is_exited = |entry: &&TaskReport| entry.state == TaskState::Exited;
    heartbeat.tasks.iter().filter(is_exited).count() as u32
}

/// Active attempts in a heartbeat that match no placement.
#[derive(Default)]
struct Orphans {
    /// There are such attempts.
    any: bool,
    /// The resources of some of them are unknown (rule 4 of `docs/design.md`).
    any_unsized: bool,
    /// Finished jobs that such attempts belong to.
    finished_jobs: BTreeSet<JobId>,
}

impl Engine {
    /// Applies a heartbeat that arrived at this leader. Returns false if a newer one was
    /// applied before: the delayed heartbeat lists outdated tasks and gets no reply.
    pub fn receive_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        self.apply_heartbeat(now, heartbeat, true).is_some()
    }

    /// Applies a heartbeat that a worker sent in response to direct commands. It renews no
    /// lease, and a launch command may still be in flight in the reply to a periodic heartbeat.
    pub fn receive_command_response(&mut self, now: Time, heartbeat: &Heartbeat) {
        self.apply_heartbeat(now, heartbeat, false);
    }

    /// Applies a heartbeat, either a periodic one or a response to direct commands.
    fn apply_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        periodic: bool,
    ) -> Option<MachineId> {
        let name = self.find_or_adopt_machine(now, heartbeat)?;
        let machine = self.machines.get_mut(&name)?;
        if heartbeat.ordering_key() <= machine.heartbeat_order {
            debug!(
                machine = &*name,
                "dropped a heartbeat older than the newest one"
            );
            return None;
        }
        if machine.last_heartbeat.is_none() && periodic {
            self.on_first_heartbeat(now, &name);
        }
        let machine = self.machines.get_mut(&name)?;
        machine.heartbeat_order = heartbeat.ordering_key();
        machine.last_heartbeat = Some(now);
        machine.lease_expired = false;
        machine.lists_missed = 0;
        if let Ok(addr) = heartbeat.addr.parse() {
            machine.addr = Some(addr);
        }
        machine.update_reclaim_notice(now, heartbeat.notice_s);
        if epoch(heartbeat.token) != epoch(self.token) {
            machine.fenced = false;
            self.observe_reachability(now, &name, heartbeat, periodic, None);
            return Some(name);
        }
        machine.confirmed = true;
        machine.token = machine.token.max(heartbeat.token);
        machine.first_fenced_at.get_or_insert(now);
        if !machine.fenced {
            machine.fenced = true;
            self.cycle_requested = true;
            self.assign_part(&name);
        }
        let launches = self.reconcile(now, &name, heartbeat, periodic);
        self.account_for_machine(&name);
        self.observe_reachability(now, &name, heartbeat, periodic, launches);
        self.observe_fetches(now, &name, heartbeat);
        Some(name)
    }

    /// The machine that sent the heartbeat, adopted if it is new; `None` if the machine is
    /// known to be deleted.
    fn find_or_adopt_machine(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<MachineId> {
        if let Some((name, _)) = self.machines.get_key_value(heartbeat.machine.as_str()) {
            return Some(name.clone());
        }
        // A machine with this leader's token was known to this leader, which forgets only
        // machines whose deletion the cloud has confirmed. A machine deleted by an earlier
        // leader shows an older token; it is ignored until it shows this leader's token.
        let has_current_epoch = epoch(heartbeat.token) == epoch(self.token);
        if has_current_epoch || self.deleted_machines.contains(heartbeat.machine.as_str()) {
            debug!(
                machine = heartbeat.machine,
                "dropped a delayed heartbeat of a deleted machine"
            );
            return None;
        }
        let name: MachineId = heartbeat.machine.as_str().into();
        let mut machine = Machine::new(
            name.clone(),
            self.type_index(&heartbeat.machine_type),
            heartbeat.zone.clone(),
            heartbeat.spot.unwrap_or(false),
            now,
        );
        machine.confirmed = false;
        info!(
            machine = &*name,
            machine_type = heartbeat.machine_type,
            "unknown machine adopted from its heartbeat"
        );
        self.machines.insert(name.clone(), machine);
        Some(name)
    }

    fn on_first_heartbeat(&mut self, now: Time, name: &MachineId) {
        self.cycle_requested = true;
        if let Some(machine) = self.machines.get_mut(name).filter(|m| !m.inherited) {
            machine.idle_since = now;
            debug!(machine = &**name, "first heartbeat: the machine has booted");
            self.note_boot_ended(now, name);
        }
    }

    /// Derives from the heartbeat whether replies reach the machine. `launches` is the result
    /// of [`Engine::reconcile`].
    fn observe_reachability(
        &mut self,
        now: Time,
        name: &MachineId,
        heartbeat: &Heartbeat,
        periodic: bool,
        launches: Option<bool>,
    ) {
        let cfg = self.cfg.clone();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !periodic {
            machine.reachability.command_acknowledged(heartbeat);
            return;
        }
        let unreachable_before = machine.reachability.unreachable_since();
        if machine.reachability.observe(now, &cfg, heartbeat, launches)
            && heartbeat.token >= machine.token
            && epoch(heartbeat.token) == epoch(self.token)
            && epoch(heartbeat.token + 1) == epoch(self.token)
        {
            // No launch or token is in flight whose receipt the machine could show: the next
            // reply carries a new token, which a later heartbeat shows if the reply arrived.
            machine.token = heartbeat.token + 1;
        }
        match (unreachable_before, machine.reachability.unreachable_since()) {
            (None, Some(_)) => {
                info!(
                    machine = &**name,
                    "the machine is unreachable: its heartbeats arrive, but replies do not reach it; no tasks are placed on it"
                );
                self.cycle_requested = true;
            }
            (Some(since), None) => {
                let unreachable_s = (now - since) as u64;
                info!(
                    machine = &**name,
                    unreachable_s, "the machine is reachable again"
                );
                if machine.tasks.is_empty() {
                    machine.idle_since = now;
                }
                self.cycle_requested = true;
            }
            _ => {}
        }
    }

    /// Reconciles the known state of one machine with its newest heartbeat. Returns whether
    /// the machine executed launch commands that were sent to it: `Some(true)` if it executed
    /// any, `Some(false)` if all were lost, `None` if none was awaited.
    fn reconcile(
        &mut self,
        now: Time,
        name: &MachineId,
        heartbeat: &Heartbeat,
        periodic: bool,
    ) -> Option<bool> {
        let launches = self.requeue_missing_tasks(name, heartbeat, periodic);
        let orphans = self.reconcile_reported_tasks(now, name, heartbeat);
        let is_active = |id: &JobId| orphans.finished_jobs.contains(id);
        let gone =
            (self.orphaned_jobs).on_heartbeat(name, heartbeat.ordering_key(), periodic, is_active);
        self.run_records_to_delete.extend(gone);
        if let Some(machine) = self.machines.get_mut(name) {
            self.cycle_requested |= machine.has_orphaned_tasks && !orphans.any;
            machine.has_orphaned_tasks = orphans.any;
            machine.has_unsized_orphans = orphans.any_unsized;
            machine.exited_tasks = exited_tasks(heartbeat);
        }
        launches
    }

    /// Requeues tasks that were believed to be on the machine and that the heartbeat does not
    /// list. Returns the same as [`Engine::reconcile`].
    fn requeue_missing_tasks(
        &mut self,
        name: &MachineId,
        heartbeat: &Heartbeat,
        periodic: bool,
    ) -> Option<bool> {
        let mut launches = None;
        // Sorted attempt numbers, which are unique: a large machine lists dozens of tasks.
        let mut listed: Vec<u64> = heartbeat.tasks.iter().map(|t| t.attempt).collect();
        listed.sort_unstable();
        let held: Vec<(JobId, u32)> = self.machines[name].tasks.iter().cloned().collect();
        for (id, task) in held {
            let Some(placement) = self.jobs.get(&id).and_then(|j| j.placements.get(&task)) else {
                continue;
            };
            let unconfirmed = placement.observed_state.is_none() && placement.launched_in.is_some();
            if listed.binary_search(&placement.attempt).is_ok() {
                if unconfirmed {
                    launches = Some(true);
                }
                continue;
            }
            let gone = match (placement.observed_state, placement.launched_in) {
                (Some(_), _) => true,
                // A worker drops replies older than 4 s and has only one periodic heartbeat
                // in flight: a newer periodic heartbeat proves that the launch never took
                // effect. A response to direct commands proves nothing.
                (None, Some(order)) => periodic && heartbeat.ordering_key() > order,
                (None, None) => false,
            };
            if gone {
                debug!(
                    job = &*id,
                    task,
                    machine = &**name,
                    "the heartbeat does not list the task: requeued"
                );
                if unconfirmed {
                    launches = launches.or(Some(false));
                }
                self.requeue_task(&id, task);
            }
        }
        launches
    }

    /// Applies the state of all tasks that a heartbeat lists.
    fn reconcile_reported_tasks(
        &mut self,
        now: Time,
        name: &MachineId,
        heartbeat: &Heartbeat,
    ) -> Orphans {
        let mut orphans = Orphans::default();
        for entry in &heartbeat.tasks {
            let Some((id, task)) = split_task(&entry.task) else {
                continue;
            };
            let known = self.jobs.get_key_value(id).map(|(k, _)| k.clone());
            match known {
                Some(id) => {
                    let is_orphan = !self.reconcile_task(now, name, &id, task, entry);
                    orphans.any |= is_orphan;
                    orphans.any_unsized |= is_orphan;
                }
                None if entry.state != TaskState::Exited => {
                    let id: JobId = id.into();
                    orphans.any = true;
                    orphans.any_unsized |= !self.orphaned_jobs.has_known_shape(&id);
                    orphans.finished_jobs.insert(id);
                }
                None => {}
            }
        }
        orphans
    }

    /// Applies the state of one listed attempt. Returns false if the attempt is an orphan: it
    /// is active while another attempt of the same task is the one that counts.
    fn reconcile_task(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        entry: &TaskReport,
    ) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| task < job.spec.tasks) else {
            return true;
        };
        let placement = job.placements.get(&task);
        let is_placed_attempt =
            placement.is_some_and(|p| p.attempt == entry.attempt && p.machine == *name);
        if entry.state == TaskState::Exited {
            if entry.cause == Some(ExitCause::Done) && !job.is_service() {
                self.task_completed(now, name, id, task, is_placed_attempt);
            } else if is_placed_attempt {
                self.task_ended(now, name, id, task, entry);
            }
            return true;
        }
        if !is_placed_attempt && placement.is_some() {
            return false;
        }
        if !is_placed_attempt {
            self.adopt_attempt(now, name, id, task, entry);
        }
        self.observe_active(now, name, id, task, entry.state);
        true
    }

    /// Adopts an attempt that an earlier leader started. The attempt counts until it is gone
    /// (rule 4), even if it is no longer needed because the task has completed elsewhere.
    fn adopt_attempt(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        entry: &TaskReport,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let unneeded = job.cancelled || job.done.contains(task);
        job.recovery_pending.remove(&task);
        job.requeued.remove(&task);
        let placement = Placement {
            machine: name.clone(),
            attempt: entry.attempt,
            launched_in: None,
            observed_state: Some(entry.state),
            running_since: None,
            placed_at: now,
            pending_stop: unneeded.then_some(PendingStop::IMMEDIATE),
        };
        job.placements.insert(task, placement);
        if !job.is_recorded(task, name) {
            // Started without a record by an earlier leader: a successor of this leader can
            // learn of the attempt only from the record that this leader writes.
            job.mark_dirty(now);
        }
        let (shape, image) = (job.shape, job.image);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.add_task(id, task, &shape, image);
        }
    }

    /// Applies the state that a heartbeat lists for a placed attempt.
    fn observe_active(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        state: TaskState,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        if placement.observed_state.is_none() {
            job.last_progress = now;
        }
        placement.observed_state = Some(state);
        if state == TaskState::Running && placement.running_since.is_none() {
            placement.running_since = Some(now);
            self.task_started(now, name, id, task);
        } else if job.suspected_faulty
            && let Some(since) = placement.running_since
            && now - since > job.longest_failed_run_s + self.cfg.tuning.job_trial_s
        {
            info!(
                job = &**id,
                "the job is no longer suspected faulty: a task has run longer than its failed tasks did"
            );
            job.mark_dirty(now);
            self.clear_job_errors(id);
        }
    }

    fn task_started(&mut self, now: Time, name: &MachineId, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(placement) = job.placements.get(&task) else {
            return;
        };
        let launched_here = placement.launched_in.is_some();
        debug!(
            job = &**id,
            task,
            machine = &**name,
            since_placement_s = now - placement.placed_at,
            "task is running"
        );
        if let Some(waited_s) = job.record_start(now, launched_here)
            && waited_s >= self.cfg.tuning.starvation_wait_s
        {
            info!(
                job = &**id,
                class = job.spec.class,
                cpus = job.total_cpus(),
                waited_s = waited_s as u64,
                "job started after a long wait"
            );
        }
        let (image, size) = (job.image, job.spec.image_gb);
        if let Some(machine) = self.machines.get_mut(name) {
            let cache = machine
                .type_index
                .map_or(0.0, |i| self.machine_types[i].cache_gb);
            let evicted = machine.add_image(image, size, cache);
            self.observe_cached_image(now, name, id, &evicted);
        }
    }
}
