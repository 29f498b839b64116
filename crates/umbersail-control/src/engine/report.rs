//! What a worker's report says, and what it is told.

use std::collections::BTreeSet;

use tracing::{debug, info, warn};
use umbersail_wire::{Command, ExitCause, Report, TaskReport, TaskState};

use super::{Engine, JobId, Machine, MachineId, Placement, Stop, Time, epoch, may_launch};

/// `req-000412/3` in its parts.
pub(crate) fn split_task(task: &str) -> Option<(&str, u32)> {
    let (id, index) = task.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}

fn join_task(id: &str, task: u32) -> String {
    format!("{id}/{task}")
}

impl Engine {
    /// Takes a report that came to us; false if a newer one is known: a late
    /// one shows an old list and gets no answer.
    pub fn report(&mut self, now: Time, report: &Report) -> bool {
        self.take_report(now, report, true).is_some()
    }

    /// Whether a launch for this machine is about to be planned or recorded:
    /// the reply to the very report that shows a free place then carries it,
    /// and the place does not stay empty until the next report.
    pub fn launch_is_near(&self, now: Time, machine: &str) -> bool {
        let Some((name, machine)) = self.machines.get_key_value(machine) else {
            return false;
        };
        if !machine.recorded || !machine.takes_tasks(now, self.silent_after()) {
            return false;
        }
        let mut unrecorded = false;
        for (id, task) in &machine.tasks {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let untold = job
                .live
                .get(task)
                .is_some_and(|p| !p.told() && p.stop.is_none());
            if untold && may_launch(job, *task, name, self.open) {
                return false;
            }
            unrecorded |= untold;
        }
        unrecorded || (self.wants_schedule() && self.may_wait)
    }

    /// The commands for the reply to a report that was taken. `may_start` is
    /// false once our lease is over: then tasks are kept alive and nothing is
    /// started (rule 2).
    pub fn reply(&mut self, now: Time, report: &Report, may_start: bool) -> Vec<Command> {
        let Some((name, _)) = self.machines.get_key_value(report.machine.as_str()) else {
            return Vec::new();
        };
        let name = name.clone();
        let commands = if epoch(report.token) == epoch(self.token) {
            self.commands(now, &name, report, may_start)
        } else {
            // Not fenced yet: this answer brings it our token, and the change
            // makes it report again, but perhaps in turn only. It renews the lease
            // all the same, so what is over is stopped with it (rule 2).
            self.stops_of_over(report)
        };
        let token = self.token;
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.last_answer = Some(now);
            let told = machine.token.max(token);
            machine.reachability.answered(now, report, told);
        }
        commands
    }

    /// Stops of tasks whose jobs are over: no unfinished job is unknown to us, since a
    /// task is started only once its job is accepted, and we read those after our
    /// election (rule 2).
    fn stops_of_over(&self, report: &Report) -> Vec<Command> {
        let over = |task: &str| {
            let job = split_task(task).map(|(id, _)| self.jobs.get(id));
            job.is_some_and(|job| job.is_none_or(|job| job.cancelled))
        };
        let active = (report.tasks.iter()).filter(|entry| entry.state != TaskState::Exited);
        active
            .filter(|entry| over(&entry.task))
            .map(|entry| Command::stop(entry, 0.0))
            .collect()
    }

    /// Takes a report that a worker sent in answer to direct commands. It
    /// renews nothing, and a launch may still be on its way in a reply.
    pub fn direct_report(&mut self, now: Time, report: &Report) {
        self.take_report(now, report, false);
    }

    fn take_report(&mut self, now: Time, report: &Report, in_turn: bool) -> Option<MachineId> {
        let name: MachineId = match self.machines.get_key_value(report.machine.as_str()) {
            Some((name, _)) => name.clone(),
            // Who shows our token was known to us, and we forget none but those
            // whose deletion was answered. One that an earlier holder deleted
            // shows an older token; it counts for nothing until it shows ours.
            None if epoch(report.token) == epoch(self.token)
                || self.gone.contains(report.machine.as_str()) =>
            {
                debug!(machine = report.machine, "late report of one that is gone");
                return None;
            }
            None => {
                let name: MachineId = report.machine.as_str().into();
                let mut machine = Machine::new(
                    name.clone(),
                    self.type_index(&report.machine_type),
                    report.zone.clone(),
                    report.spot.unwrap_or(false),
                    now,
                );
                info!(
                    machine = &*name,
                    machine_type = report.machine_type,
                    "adopted from its report"
                );
                machine.vouched = false;
                self.machines.insert(name.clone(), machine);
                name
            }
        };
        let token = self.token;
        let machine = self.machines.get_mut(&name)?;
        if report.order() <= machine.order {
            debug!(machine = &*name, "late report dropped");
            return None;
        }
        if machine.last_report.is_none() && in_turn {
            self.schedule_wanted = true;
            if !machine.inherited {
                machine.idle_since = now;
                debug!(machine = &*name, "up");
                self.boot_ended(now, &name);
            }
        }
        let machine = self.machines.get_mut(&name)?;
        machine.order = report.order();
        machine.last_report = Some(now);
        machine.lapsed = false;
        machine.missing_lists = 0;
        if let Ok(addr) = report.addr.parse() {
            machine.addr = Some(addr);
        }
        if let Some(notice) = report.notice_s
            && notice.is_finite()
        {
            if machine.notice_until.is_none() {
                info!(
                    machine = &*name,
                    notice_s = notice,
                    "to be taken back: drained"
                );
                machine.notice_handled = false;
            }
            machine.notice_until = Some(now + notice.max(0.0));
        } else {
            machine.notice_until = None;
        }
        if epoch(report.token) != epoch(token) {
            machine.fenced = false;
            self.listen(now, &name, report, in_turn, None);
            return Some(name);
        }
        machine.vouched = true;
        machine.token = machine.token.max(report.token);
        machine.ours_since.get_or_insert(now);
        if !machine.fenced {
            machine.fenced = true;
            self.schedule_wanted = true;
            self.assign_part(&name);
        }
        let launches = self.compare(now, &name, report, in_turn);
        self.account(&name);
        self.listen(now, &name, report, in_turn, launches);
        self.see_fetches(now, &name, report);
        Some(name)
    }

    /// What the report says of whether our answers reach the machine; `launches`
    /// as from [`Engine::compare`].
    fn listen(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Report,
        in_turn: bool,
        launches: Option<bool>,
    ) {
        let cfg = self.cfg.clone();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !in_turn {
            machine.reachability.commanded(report);
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
                self.schedule_wanted = true;
            }
            (Some(since), None) => {
                let deaf_s = (now - since) as u64;
                info!(machine = &**name, deaf_s, "hears again");
                if machine.tasks.is_empty() {
                    machine.idle_since = now;
                }
                self.schedule_wanted = true;
            }
            _ => {}
        }
    }

    /// Brings our picture of one machine in line with its newest report. Whether
    /// launches that it was told were taken up (true) or went nowhere (false).
    fn compare(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Report,
        in_turn: bool,
    ) -> Option<bool> {
        let mut launches = None;
        // By attempt, which no two tasks share: a large machine shows dozens.
        let mut shown: Vec<u64> = report.tasks.iter().map(|t| t.attempt).collect();
        shown.sort_unstable();
        // What we believed to be there and is not.
        let held: Vec<(JobId, u32)> = self.machines[name].tasks.iter().cloned().collect();
        for (id, task) in held {
            let Some(placement) = self.jobs.get(&id).and_then(|j| j.live.get(&task)) else {
                continue;
            };
            let untaken = placement.seen.is_none() && placement.ordered.is_some();
            if shown.binary_search(&placement.attempt).is_ok() {
                if untaken {
                    launches = Some(true);
                }
                continue;
            }
            let gone = match (placement.seen, placement.ordered) {
                (Some(_), _) => true,
                // A reply is dropped after 4 s and only one report is under
                // way: a newer report in turn proves that the launch never
                // took effect. An answer to direct commands proves nothing.
                (None, Some(order)) => in_turn && report.order() > order,
                (None, None) => false,
            };
            if gone {
                debug!(job = &*id, task, machine = &**name, "not there any more");
                if untaken {
                    launches = launches.or(Some(false));
                }
                self.return_task(&id, task);
            }
        }
        let (mut strangers, mut unsized_strangers) = (false, false);
        let mut over: BTreeSet<JobId> = BTreeSet::new();
        for entry in &report.tasks {
            let Some((id, task)) = split_task(&entry.task) else {
                continue;
            };
            let known = self.jobs.get_key_value(id).map(|(k, _)| k.clone());
            match known {
                Some(id) => {
                    let stranger = !self.take_entry(now, name, &id, task, entry);
                    strangers |= stranger;
                    unsized_strangers |= stranger;
                }
                None if entry.state != TaskState::Exited => {
                    let id: JobId = id.into();
                    strangers = true;
                    unsized_strangers |= !self.orphaned_jobs.counts(&id);
                    over.insert(id);
                }
                None => {}
            }
        }
        let settled =
            (self.orphaned_jobs).shown(name, report.order(), in_turn, |id| over.contains(id));
        self.cleared.extend(settled);
        if let Some(machine) = self.machines.get_mut(name) {
            if machine.strangers && !strangers {
                self.schedule_wanted = true;
            }
            machine.strangers = strangers;
            machine.unsized_strangers = unsized_strangers;
        }
        launches
    }

    /// False if an attempt is active that our picture has no place for, since
    /// another one of the same task is in it: it counts as a stranger.
    fn take_entry(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        entry: &TaskReport,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        if task >= job.spec.tasks {
            return true;
        }
        let ours = job
            .live
            .get(&task)
            .is_some_and(|p| p.attempt == entry.attempt && p.machine == *name);
        if entry.state == TaskState::Exited {
            if entry.cause == Some(ExitCause::Done) && !job.is_service() {
                self.task_done(now, name, id, task, ours);
            } else if ours {
                self.task_ended(now, name, id, task, entry);
            }
            return true;
        }
        if !ours {
            if !job.live.contains_key(&task) {
                // Started by an earlier holder: it goes on under us. Until it
                // is gone it counts (rule 4), even if the task has completed
                // elsewhere in the meantime and it is of no use any more.
                let useless = job.cancelled || job.done.contains(task);
                job.recovery_pending.remove(&task);
                job.returned.remove(&task);
                job.live.insert(
                    task,
                    Placement {
                        machine: name.clone(),
                        attempt: entry.attempt,
                        ordered: None,
                        seen: Some(entry.state),
                        running_since: None,
                        planned_at: now,
                        stop: useless.then_some(Stop {
                            grace_s: 0.0,
                            evictions: 0,
                        }),
                    },
                );
                if !job.is_recorded(task, name) {
                    // Started without a record by an earlier holder: our
                    // successor finds nothing but the record that we write.
                    job.touch(now);
                }
                let (shape, image) = (job.shape, job.image);
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.hold(id, task, &shape, image);
                }
            } else {
                return false;
            }
        }
        let Some(placement) = job.live.get_mut(&task) else {
            return true;
        };
        if placement.seen.is_none() {
            job.last_progress = now;
        }
        placement.seen = Some(entry.state);
        let started = entry.state == TaskState::Running && placement.running_since.is_none();
        if started {
            placement.running_since = Some(now);
            let ours = placement.ordered.is_some();
            debug!(
                job = &**id,
                task,
                machine = &**name,
                planned_s = now - placement.planned_at,
                "runs"
            );
            if let Some(waited_s) = job.begins(now, ours)
                && waited_s >= self.cfg.tuning.starvation_wait_s
            {
                info!(
                    job = &**id,
                    class = job.spec.class,
                    cpus = job.size(),
                    waited_s = waited_s as u64,
                    "starts late"
                );
            }
            let (image, size) = (job.image, job.spec.image_gb);
            if let Some(machine) = self.machines.get_mut(name) {
                let cache = machine.type_index.map_or(0.0, |i| self.types[i].cache_gb);
                let pushed_out = machine.fetched(image, size, cache);
                self.see_image(now, name, id, &pushed_out);
            }
        } else if job.suspect
            && let Some(since) = placement.running_since
            && now - since > job.failed_after_s + self.cfg.tuning.job_trial_s
        {
            info!(job = &**id, "runs for longer than it took to fail: goes on");
            job.touch(now);
            self.clear_job(id);
        }
        true
    }

    fn task_done(&mut self, now: Time, name: &MachineId, id: &JobId, task: u32, ours: bool) {
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
            self.count_served(id, in_time);
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
            self.learner.ran(&class, now, estimate, now - since);
        }
        match job.live.get_mut(&task) {
            // A result that came late: the attempt in its stead is of no use.
            Some(other) if !ours && other.told() => {
                other.stop = Some(Stop {
                    grace_s: 0.0,
                    evictions: 0,
                });
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
    fn task_ended(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
        entry: &TaskReport,
    ) {
        let tuning = self.cfg.tuning.clone();
        let cause = entry.cause.unwrap_or(ExitCause::Other);
        let placement = self.jobs.get(id).and_then(|j| j.live.get(&task));
        let ran_s = (placement.and_then(|p| p.running_since)).map_or(0.0, |since| now - since);
        self.return_task(id, task);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match cause {
            ExitCause::Stopped => debug!(job = &**id, task, saved = ?entry.saved, "stopped"),
            ExitCause::Error => {
                job.errors += 1;
                job.error_machines.insert(name.clone());
                job.failed_on.insert(name.clone());
                job.failed_after_s = job.failed_after_s.max(ran_s);
                let known = job.suspect;
                job.suspect |= job.failed_on.len() >= tuning.job_fault_machines as usize;
                if job.suspect {
                    // It fails everywhere: it waits longer each time. Those of its
                    // tasks that were under way say nothing new.
                    if job.backoff_until.is_none() {
                        job.backoff_s = (job.backoff_s * 2.0)
                            .clamp(tuning.job_backoff_s, tuning.job_backoff_most_s);
                        job.backoff_until = Some(now + job.backoff_s);
                        info!(
                            job = &**id,
                            errors = job.errors,
                            pause_s = job.backoff_s,
                            "fails on every machine: backs off"
                        );
                    }
                    if !known {
                        job.touch(now);
                        self.withdraw(id);
                    }
                } else if let Some(machine) = self.machines.get_mut(name) {
                    *machine.errors.entry(id.clone()).or_default() += 1;
                    if machine.accused_at.is_none()
                        && machine.is_accused(tuning.quarantine_errors as u32)
                    {
                        machine.accused_at = Some(now);
                        debug!(machine = &**name, "fails tasks of several jobs: gets none");
                    }
                }
            }
            ExitCause::Unknown => {
                job.backoff_until = Some(now + tuning.job_backoff_s);
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

    /// Nothing is held against the job any more: it was the machines, and what it
    /// took back of them is said again.
    fn clear_job(&mut self, id: &JobId) {
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
    fn withdraw(&mut self, id: &JobId) {
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

    fn commands(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Report,
        may_start: bool,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        // Stops and reaps first: the worker executes in order, and room must
        // be free before a launch.
        for entry in &report.tasks {
            let Some((id, task)) = split_task(&entry.task) else {
                continue;
            };
            let job = self.jobs.get(id);
            if entry.state == TaskState::Exited {
                let recorded = match (job, entry.cause) {
                    (Some(job), Some(ExitCause::Done)) if !job.is_service() => {
                        job.recorded_done.contains(task)
                    }
                    _ => true,
                };
                if recorded {
                    commands.push(Command::Forget {
                        task: entry.task.clone(),
                        attempt: entry.attempt,
                    });
                }
                continue;
            }
            let grace_s = match job.map(|j| (j, j.live.get(&task))) {
                // The job is over, or this is not the attempt that counts.
                None | Some((_, None)) => Some(0.0),
                Some((_, Some(p))) if p.attempt != entry.attempt || p.machine != *name => Some(0.0),
                Some((job, Some(p))) => match &p.stop {
                    Some(stop) if job.recorded_evictions >= stop.evictions || job.cancelled => {
                        (entry.state != TaskState::Saving || stop.grace_s == 0.0)
                            .then_some(stop.grace_s)
                    }
                    _ => None,
                },
            };
            if let Some(grace_s) = grace_s {
                commands.push(Command::stop(entry, grace_s));
            }
        }
        let machine = &self.machines[name];
        if !may_start || !machine.recorded || machine.reachability.is_unreachable() {
            return commands;
        }
        let open = self.open;
        for (id, task) in self.held_by_urgency(name) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let untold = |p: &Placement| !p.told() && p.stop.is_none();
            if job.cancelled
                || !may_launch(job, task, name, open)
                || !job.live.get(&task).is_some_and(untold)
            {
                continue;
            }
            let Some(holders) = self.may_fetch(now, name, &id, task) else {
                continue;
            };
            if let Some(placement) =
                (self.jobs.get_mut(&id)).and_then(|job| job.live.get_mut(&task))
            {
                placement.ordered = Some(report.order());
                commands.push(Command::Start {
                    task: join_task(&id, task),
                    attempt: placement.attempt,
                    holders,
                });
                debug!(
                    job = &*id,
                    task,
                    machine = &**name,
                    waited_s = now - placement.planned_at,
                    "launch"
                );
            }
        }
        commands
    }
}
