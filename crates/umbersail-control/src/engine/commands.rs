//! Commands for a worker in the reply to its heartbeat.

use tracing::debug;
use umbersail_wire::{Command, ExitCause, Heartbeat, TaskReport, TaskState};

use super::heartbeats::{join_task, split_task};
use super::tokens::may_launch;
use super::{Engine, JobId, MachineId, Placement, Time, epoch};
use crate::command_batch::CommandBatch;

impl Engine {
    /// Whether a launch for this machine is about to be placed or recorded. The reply to its
    /// heartbeat is then delayed until it can carry the launch, so that free capacity does
    /// not stay unused until the next heartbeat.
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
            let is_unsent = job
                .placements
                .get(task)
                .is_some_and(|p| !p.may_be_known_to_worker() && p.pending_stop.is_none());
            if is_unsent && may_launch(job, *task, name, self.degraded_mode) {
                return false;
            }
            unrecorded |= is_unsent;
        }
        unrecorded || (self.needs_scheduling() && self.may_have_waiting_jobs)
    }

    /// Commands for the reply to a heartbeat that was applied. `may_start` is false once this
    /// leader's lease has expired: running tasks are then kept alive and none is started
    /// (rule 2 of `docs/design.md`).
    pub fn reply(&mut self, now: Time, heartbeat: &Heartbeat, may_start: bool) -> Vec<Command> {
        let Some((name, _)) = self.machines.get_key_value(heartbeat.machine.as_str()) else {
            return Vec::new();
        };
        let name = name.clone();
        let batch = if epoch(heartbeat.token) == epoch(self.token) {
            self.commands(now, &name, heartbeat, may_start)
        } else {
            // Not fenced yet. This reply carries the leader's token, after which the machine
            // sends another heartbeat, but possibly only at the regular time. The reply renews
            // the machine's lease, so it also stops the tasks of finished jobs (rule 2).
            self.stop_commands_for_finished_jobs(heartbeat)
        };
        let token = self.token;
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.last_reply = Some(now);
            let sent_token = machine.token.max(token);
            machine.reachability.reply_sent(now, heartbeat, sent_token);
        }
        batch.into_commands()
    }

    /// Stop commands for listed tasks whose jobs are finished. A job that this leader does not
    /// know is finished: tasks are started only after their job was accepted, and this leader
    /// has read all accepted jobs since its election (rule 2).
    fn stop_commands_for_finished_jobs(&self, heartbeat: &Heartbeat) -> CommandBatch {
        let job_is_finished = |task: &str| {
            let job = split_task(task).map(|(id, _)| self.jobs.get(id));
            job.is_some_and(|job| job.is_none_or(|job| job.cancelled))
        };
        let active = (heartbeat.tasks.iter()).filter(|entry| entry.state != TaskState::Exited);
        active
            .filter(|entry| job_is_finished(&entry.task))
            .map(|entry| Command::stop(entry, 0.0))
            .collect()
    }

    /// All commands for a fenced machine, which has accepted this leader's token. Stop
    /// commands, and commands that drop the state of exited tasks, come first: the worker
    /// executes in order, and capacity must be free before a launch.
    fn commands(
        &mut self,
        now: Time,
        name: &MachineId,
        heartbeat: &Heartbeat,
        may_start: bool,
    ) -> CommandBatch {
        let listed = heartbeat.tasks.iter();
        let mut batch: CommandBatch = listed
            .filter_map(|entry| self.command_for_listed(name, entry))
            .collect();
        let machine = &self.machines[name];
        if may_start && machine.grant_recorded && !machine.reachability.is_unreachable() {
            self.add_launches(now, name, heartbeat, &mut batch);
        }
        batch
    }

    /// The command for a task that the heartbeat lists: to stop it or to drop its state after
    /// it exited, if one is needed.
    fn command_for_listed(&self, name: &MachineId, entry: &TaskReport) -> Option<Command> {
        let (id, task) = split_task(&entry.task)?;
        let job = self.jobs.get(id);
        if entry.state == TaskState::Exited {
            // The worker keeps a result until it is recorded.
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
            // The job is finished, or the task has no placement.
            None => 0.0,
            // Another attempt of the task is placed.
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

    /// Adds the launch commands that may be sent to the machine now.
    fn add_launches(
        &mut self,
        now: Time,
        name: &MachineId,
        heartbeat: &Heartbeat,
        batch: &mut CommandBatch,
    ) {
        for (id, task) in self.tasks_by_priority(name) {
            let Some(command) = self.launch_command(now, name, &id, task) else {
                continue;
            };
            if !batch.push(command) {
                return;
            }
            let job = self.jobs.get_mut(&id);
            let Some(placement) = job.and_then(|job| job.placements.get_mut(&task)) else {
                continue;
            };
            placement.launched_in = Some(heartbeat.ordering_key());
            debug!(
                job = &*id,
                task,
                machine = &**name,
                waited_s = now - placement.placed_at,
                "launch command sent"
            );
        }
    }

    /// The launch command for a task that is placed on the machine; `None` if it was sent
    /// before, or may not be sent yet.
    fn launch_command(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        task: u32,
    ) -> Option<Command> {
        let job = self.jobs.get(id)?;
        let placement = job.placements.get(&task)?;
        let is_unsent = |p: &Placement| !p.may_be_known_to_worker() && p.pending_stop.is_none();
        if job.cancelled
            || !may_launch(job, task, name, self.degraded_mode)
            || !is_unsent(placement)
        {
            return None;
        }
        let attempt = placement.attempt;
        let image_sources = self.request_fetch(now, name, id, task)?;
        Some(Command::Start {
            task: join_task(id, task),
            attempt,
            image_sources,
        })
    }
}
