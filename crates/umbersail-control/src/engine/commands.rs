//! What a worker is told in the reply to its heartbeat.

use tracing::debug;
use umbersail_wire::{Command, ExitCause, Report, TaskState};

use super::report::{join_task, split_task};
use super::tokens::may_launch;
use super::{Engine, MachineId, Placement, Time, epoch};

impl Engine {
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
    pub(super) fn stops_of_over(&self, report: &Report) -> Vec<Command> {
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

    pub(super) fn commands(
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
