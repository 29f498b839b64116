//! What a worker is told in the reply to its heartbeat.

use tracing::debug;
use umbersail_wire::{Command, ExitCause, Heartbeat, TaskReport, TaskState};

use super::heartbeats::{join_task, split_task};
use super::tokens::may_launch;
use super::{Engine, MachineId, Placement, Time, epoch};

impl Engine {
    /// Whether a launch for this machine is about to be planned or recorded:
    /// the reply to the very report that shows a free place then carries it,
    /// and the place does not stay empty until the next report.
    pub fn expects_launch(&self, now: Time, machine: &str) -> bool {
        let Some((name, machine)) = self.machines.get_key_value(machine) else {
            return false;
        };
        if !machine.grant_recorded || !machine.accepts_tasks(now, self.silence_limit_s()) {
            return false;
        }
        let mut unrecorded = false;
        for (id, task) in &machine.tasks {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let unsent_launches = job
                .placements
                .get(task)
                .is_some_and(|p| !p.may_be_known_to_worker() && p.pending_stop.is_none());
            if unsent_launches && may_launch(job, *task, name, self.degraded_mode) {
                return false;
            }
            unrecorded |= unsent_launches;
        }
        unrecorded || (self.needs_scheduling() && self.may_have_waiting_jobs)
    }

    /// The commands for the reply to a report that was taken. `may_start` is
    /// false once our lease is over: then tasks are kept alive and nothing is
    /// started (rule 2).
    pub fn reply(&mut self, now: Time, report: &Heartbeat, may_start: bool) -> Vec<Command> {
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
            self.stop_commands_for_finished_jobs(report)
        };
        let token = self.token;
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.last_reply = Some(now);
            let sent_token = machine.token.max(token);
            machine.reachability.reply_sent(now, report, sent_token);
        }
        commands
    }

    /// Stops of tasks whose jobs are over: no unfinished job is unknown to us, since a
    /// task is started only once its job is accepted, and we read those after our
    /// election (rule 2).
    pub(super) fn stop_commands_for_finished_jobs(&self, report: &Heartbeat) -> Vec<Command> {
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

    /// Stops and removals first: the worker executes in order, and room must be free before
    /// a launch.
    fn commands(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Heartbeat,
        may_start: bool,
    ) -> Vec<Command> {
        let shown = report.tasks.iter();
        let mut commands: Vec<Command> = shown
            .filter_map(|entry| self.command_for_shown(name, entry))
            .collect();
        let machine = &self.machines[name];
        if may_start && machine.grant_recorded && !machine.reachability.is_unreachable() {
            self.add_launches(now, name, report, &mut commands);
        }
        commands
    }

    /// What a worker shall do with a task that it shows, if anything.
    fn command_for_shown(&self, name: &MachineId, entry: &TaskReport) -> Option<Command> {
        let (id, task) = split_task(&entry.task)?;
        let job = self.jobs.get(id);
        if entry.state == TaskState::Exited {
            // A result stays with its worker until it is recorded.
            let is_result = entry.cause == Some(ExitCause::Done);
            let unrecorded = job.is_some_and(|job| {
                is_result && !job.is_service() && !job.recorded_done.contains(task)
            });
            return (!unrecorded).then(|| Command::Forget {
                task: entry.task.clone(),
                attempt: entry.attempt,
            });
        }
        let placement = job.and_then(|job| Some((job, job.placements.get(&task)?)));
        let grace_s = match placement {
            // The job is over, or this is not the attempt that counts.
            None => 0.0,
            Some((_, p)) if p.attempt != entry.attempt || p.machine != *name => 0.0,
            Some((job, p)) => {
                let stop = p.pending_stop.as_ref()?;
                let recorded =
                    job.recorded_evictions >= stop.required_eviction_count || job.cancelled;
                let is_new = entry.state != TaskState::Saving || stop.grace_s == 0.0;
                (recorded && is_new).then_some(stop.grace_s)?
            }
        };
        Some(Command::stop(entry, grace_s))
    }

    /// Adds the launches that the machine may be told of.
    fn add_launches(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        let open = self.degraded_mode;
        for (id, task) in self.tasks_by_priority(name) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let is_unsent = |p: &Placement| !p.may_be_known_to_worker() && p.pending_stop.is_none();
            if job.cancelled
                || !may_launch(job, task, name, open)
                || !job.placements.get(&task).is_some_and(is_unsent)
            {
                continue;
            }
            let Some(holders) = self.request_fetch(now, name, &id, task) else {
                continue;
            };
            let job = self.jobs.get_mut(&id);
            let Some(placement) = job.and_then(|job| job.placements.get_mut(&task)) else {
                continue;
            };
            placement.launched_in = Some(report.ordering_key());
            commands.push(Command::Start {
                task: join_task(&id, task),
                attempt: placement.attempt,
                image_sources: holders,
            });
            debug!(
                job = &*id,
                task,
                machine = &**name,
                waited_s = now - placement.placed_at,
                "launch"
            );
        }
    }
}
