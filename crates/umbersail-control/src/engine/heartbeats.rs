//! What a worker's report says, and what it is told.

use std::collections::BTreeSet;

use tracing::{debug, info};
use umbersail_wire::{ExitCause, Heartbeat, TaskReport, TaskState};

use super::{Engine, JobId, Machine, MachineId, PendingStop, Placement, Time, epoch};

/// `req-000412/3` in its parts.
pub(crate) fn split_task(task: &str) -> Option<(&str, u32)> {
    let (id, index) = task.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}

pub(super) fn join_task(id: &str, task: u32) -> String {
    format!("{id}/{task}")
}

/// What a report shows beside tasks that are in place.
#[derive(Default)]
struct ShownTasks {
    /// Active attempts that have no place in what is known.
    orphaned_tasks: bool,
    /// Among them some that nothing says the size of (rule 4).
    unsized_orphans: bool,
    /// Jobs that are over of which attempts are active.
    finished_jobs: BTreeSet<JobId>,
}

impl Engine {
    /// Takes a report that came to us; false if a newer one is known: a late
    /// one shows an old list and gets no answer.
    pub fn receive_heartbeat(&mut self, now: Time, report: &Heartbeat) -> bool {
        self.apply_heartbeat(now, report, true).is_some()
    }

    /// Takes a report that a worker sent in answer to direct commands. It
    /// renews nothing, and a launch may still be on its way in a reply.
    pub fn receive_command_response(&mut self, now: Time, report: &Heartbeat) {
        self.apply_heartbeat(now, report, false);
    }

    fn apply_heartbeat(
        &mut self,
        now: Time,
        report: &Heartbeat,
        in_turn: bool,
    ) -> Option<MachineId> {
        let name = self.find_or_adopt_machine(now, report)?;
        let machine = self.machines.get_mut(&name)?;
        if report.ordering_key() <= machine.heartbeat_order {
            debug!(machine = &*name, "late report dropped");
            return None;
        }
        if machine.last_heartbeat.is_none() && in_turn {
            self.on_first_heartbeat(now, &name);
        }
        let machine = self.machines.get_mut(&name)?;
        machine.heartbeat_order = report.ordering_key();
        machine.last_heartbeat = Some(now);
        machine.lease_expired = false;
        machine.lists_missed = 0;
        if let Ok(addr) = report.addr.parse() {
            machine.addr = Some(addr);
        }
        machine.update_reclaim_notice(now, report.notice_s);
        if epoch(report.token) != epoch(self.token) {
            machine.fenced = false;
            self.observe_reachability(now, &name, report, in_turn, None);
            return Some(name);
        }
        machine.confirmed = true;
        machine.token = machine.token.max(report.token);
        machine.first_fenced_at.get_or_insert(now);
        if !machine.fenced {
            machine.fenced = true;
            self.cycle_requested = true;
            self.assign_part(&name);
        }
        let launches = self.reconcile(now, &name, report, in_turn);
        self.account_for_machine(&name);
        self.observe_reachability(now, &name, report, in_turn, launches);
        self.observe_fetches(now, &name, report);
        Some(name)
    }

    /// The machine that a report is of, adopted if it is new; none if it is known to be
    /// gone.
    fn find_or_adopt_machine(&mut self, now: Time, report: &Heartbeat) -> Option<MachineId> {
        if let Some((name, _)) = self.machines.get_key_value(report.machine.as_str()) {
            return Some(name.clone());
        }
        // Who shows our token was known to us, and we forget none but those
        // whose deletion was answered. One that an earlier holder deleted
        // shows an older token; it counts for nothing until it shows ours.
        let shows_ours = epoch(report.token) == epoch(self.token);
        if shows_ours || self.deleted_machines.contains(report.machine.as_str()) {
            debug!(machine = report.machine, "late report of one that is gone");
            return None;
        }
        let name: MachineId = report.machine.as_str().into();
        let mut machine = Machine::new(
            name.clone(),
            self.type_index(&report.machine_type),
            report.zone.clone(),
            report.spot.unwrap_or(false),
            now,
        );
        machine.confirmed = false;
        info!(
            machine = &*name,
            machine_type = report.machine_type,
            "adopted from its report"
        );
        self.machines.insert(name.clone(), machine);
        Some(name)
    }

    fn on_first_heartbeat(&mut self, now: Time, name: &MachineId) {
        self.cycle_requested = true;
        if let Some(machine) = self.machines.get_mut(name).filter(|m| !m.inherited) {
            machine.idle_since = now;
            debug!(machine = &**name, "up");
            self.note_boot_ended(now, name);
        }
    }

    /// What the report says of whether our answers reach the machine; `launches`
    /// as from [`Engine::reconcile`].
    fn observe_reachability(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Heartbeat,
        in_turn: bool,
        launches: Option<bool>,
    ) {
        let cfg = self.cfg.clone();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !in_turn {
            machine.reachability.command_acknowledged(report);
            return;
        }
        let known = machine.reachability.unreachable_since();
        if machine.reachability.observe(now, &cfg, report, launches)
            && report.token >= machine.token
            && epoch(report.token) == epoch(self.token)
            && epoch(report.token + 1) == epoch(self.token)
        {
            // Nothing that it could show is under way to it: a token to tell by.
            machine.token = report.token + 1;
        }
        match (known, machine.reachability.unreachable_since()) {
            (None, Some(_)) => {
                info!(machine = &**name, "hears nothing: gets no work");
                self.cycle_requested = true;
            }
            (Some(since), None) => {
                let deaf_s = (now - since) as u64;
                info!(machine = &**name, deaf_s, "hears again");
                if machine.tasks.is_empty() {
                    machine.idle_since = now;
                }
                self.cycle_requested = true;
            }
            _ => {}
        }
    }

    /// Reconciles what is known of one machine with its newest report. Whether
    /// launches that it was told were taken up (true) or went nowhere (false).
    fn reconcile(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Heartbeat,
        in_turn: bool,
    ) -> Option<bool> {
        let launches = self.requeue_missing_tasks(name, report, in_turn);
        let shown = self.reconcile_reported_tasks(now, name, report);
        let over = |id: &JobId| shown.finished_jobs.contains(id);
        let settled = (self.orphaned_jobs).on_heartbeat(name, report.ordering_key(), in_turn, over);
        self.run_records_to_delete.extend(settled);
        if let Some(machine) = self.machines.get_mut(name) {
            self.cycle_requested |= machine.has_orphaned_tasks && !shown.orphaned_tasks;
            machine.has_orphaned_tasks = shown.orphaned_tasks;
            machine.has_unsized_orphans = shown.unsized_orphans;
        }
        launches
    }

    /// Returns tasks that were believed to be on the machine and are not shown.
    fn requeue_missing_tasks(
        &mut self,
        name: &MachineId,
        report: &Heartbeat,
        in_turn: bool,
    ) -> Option<bool> {
        let mut launches = None;
        // By attempt, which no two tasks share: a large machine shows dozens.
        let mut shown: Vec<u64> = report.tasks.iter().map(|t| t.attempt).collect();
        shown.sort_unstable();
        let held: Vec<(JobId, u32)> = self.machines[name].tasks.iter().cloned().collect();
        for (id, task) in held {
            let Some(placement) = self.jobs.get(&id).and_then(|j| j.placements.get(&task)) else {
                continue;
            };
            let untaken = placement.observed_state.is_none() && placement.launched_in.is_some();
            if shown.binary_search(&placement.attempt).is_ok() {
                if untaken {
                    launches = Some(true);
                }
                continue;
            }
            let gone = match (placement.observed_state, placement.launched_in) {
                (Some(_), _) => true,
                // A reply is dropped after 4 s and only one report is under
                // way: a newer report in turn proves that the launch never
                // took effect. An answer to direct commands proves nothing.
                (None, Some(order)) => in_turn && report.ordering_key() > order,
                (None, None) => false,
            };
            if gone {
                debug!(job = &*id, task, machine = &**name, "not there any more");
                if untaken {
                    launches = launches.or(Some(false));
                }
                self.requeue_task(&id, task);
            }
        }
        launches
    }

    /// Takes in all tasks that a report shows.
    fn reconcile_reported_tasks(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Heartbeat,
    ) -> ShownTasks {
        let mut shown = ShownTasks::default();
        for entry in &report.tasks {
            let Some((id, task)) = split_task(&entry.task) else {
                continue;
            };
            let known = self.jobs.get_key_value(id).map(|(k, _)| k.clone());
            match known {
                Some(id) => {
                    let stranger = !self.reconcile_task(now, name, &id, task, entry);
                    shown.orphaned_tasks |= stranger;
                    shown.unsized_orphans |= stranger;
                }
                None if entry.state != TaskState::Exited => {
                    let id: JobId = id.into();
                    shown.orphaned_tasks = true;
                    shown.unsized_orphans |= !self.orphaned_jobs.has_known_shape(&id);
                    shown.finished_jobs.insert(id);
                }
                None => {}
            }
        }
        shown
    }

    /// False if an attempt is active that our picture has no place for, since
    /// another one of the same task is in it: it counts as a stranger.
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
        let ours = placement.is_some_and(|p| p.attempt == entry.attempt && p.machine == *name);
        if entry.state == TaskState::Exited {
            if entry.cause == Some(ExitCause::Done) && !job.is_service() {
                self.task_completed(now, name, id, task, ours);
            } else if ours {
                self.task_ended(now, name, id, task, entry);
            }
            return true;
        }
        if !ours && placement.is_some() {
            return false;
        }
        if !ours {
            self.adopt_attempt(now, name, id, task, entry);
        }
        self.observe_active(now, name, id, task, entry.state);
        true
    }

    /// An attempt started by an earlier holder goes on under us. Until it is gone it counts
    /// (rule 4), even if the task has completed elsewhere in the meantime and it is of no
    /// use any more.
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
        let useless = job.cancelled || job.done.contains(task);
        job.recovery_pending.remove(&task);
        job.requeued.remove(&task);
        let placement = Placement {
            machine: name.clone(),
            attempt: entry.attempt,
            launched_in: None,
            observed_state: Some(entry.state),
            running_since: None,
            placed_at: now,
            pending_stop: useless.then_some(PendingStop::IMMEDIATE),
        };
        job.placements.insert(task, placement);
        if !job.is_recorded(task, name) {
            // Started without a record by an earlier holder: our
            // successor finds nothing but the record that we write.
            job.mark_dirty(now);
        }
        let (shape, image) = (job.shape, job.image);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.add_task(id, task, &shape, image);
        }
    }

    /// A placed attempt is shown in this state.
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
            info!(job = &**id, "runs for longer than it took to fail: goes on");
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
        let ours = placement.launched_in.is_some();
        debug!(
            job = &**id,
            task,
            machine = &**name,
            planned_s = now - placement.placed_at,
            "runs"
        );
        if let Some(waited_s) = job.record_start(now, ours)
            && waited_s >= self.cfg.tuning.starvation_wait_s
        {
            info!(
                job = &**id,
                class = job.spec.class,
                cpus = job.total_cpus(),
                waited_s = waited_s as u64,
                "starts late"
            );
        }
        let (image, size) = (job.image, job.spec.image_gb);
        if let Some(machine) = self.machines.get_mut(name) {
            let cache = machine
                .type_index
                .map_or(0.0, |i| self.machine_types[i].cache_gb);
            let pushed_out = machine.add_image(image, size, cache);
            self.observe_cached_image(now, name, id, &pushed_out);
        }
    }
}
