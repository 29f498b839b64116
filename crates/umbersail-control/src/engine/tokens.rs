//! Fencing tokens: which one a machine is answered with, and when it is raised.

use super::{Engine, Job, MachineId, Placement, Time};

/// Low bits of a fencing token: the minor counter of one machine's increments. The
/// bits above are the epoch, the revision of the grant (rule 1).
pub(super) const MINOR_COUNTER_BITS: u32 = 16;

/// The part of a token that tells holders apart.
pub fn epoch(token: u64) -> u64 {
    token >> MINOR_COUNTER_BITS
}

/// The least token of the holder whose grant has this revision.
pub fn first_token(revision: u64) -> u64 {
    revision << MINOR_COUNTER_BITS
}

/// A launch may be told to a worker only if a successor would know that it may
/// have been: by its record, or by its word to the holder that started without.
pub(super) fn may_launch(job: &Job, task: u32, machine: &MachineId, open: bool) -> bool {
    job.is_recorded(task, machine) || (open && job.may_start_unrecorded())
}

/// An empty direct command that brings a worker a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencingCommand {
    /// Name of the machine.
    pub machine: String,
    /// Address of its worker.
    pub addr: std::net::SocketAddr,
    /// Session that the command is meant for; 0 if none is known.
    pub session: u64,
    /// The token.
    pub token: u64,
}

impl Engine {
    /// The token for answers to this machine.
    pub fn token_for(&self, machine: &str) -> u64 {
        self.machines
            .get(machine)
            .map_or(self.token, |m| m.token.max(self.token))
    }

    /// Machines with launches ready whose next report is not due soon. A
    /// token that it has not seen makes a worker report within half a second;
    /// the launches then go with the reply, as ever (rule 5).
    pub fn token_increments(&mut self, now: Time) -> Vec<FencingCommand> {
        let mut out = Vec::new();
        let pause = self.cfg.lease_s / 2.0 + 0.5;
        let mut told: Vec<MachineId> = Vec::new();
        for name in &self.machines_with_unsent_launches {
            let Some(machine) = self.machines.get_mut(name) else {
                told.push(name.clone());
                continue;
            };
            let (mut waits, mut ready) = (false, false);
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let is_unsent =
                    |p: &Placement| !p.may_be_known_to_worker() && p.pending_stop.is_none();
                if job.placements.get(task).is_some_and(is_unsent) {
                    waits = true;
                    ready |= may_launch(job, *task, name, self.degraded_mode)
                        && !self.plans.images.is_queued(job.image, name);
                }
            }
            if !waits {
                told.push(name.clone());
            }
            let (Some(addr), Some(last)) = (machine.addr, machine.last_heartbeat) else {
                continue;
            };
            let due_in = last + self.cfg.heartbeat_interval_s - now;
            if !ready
                || !machine.fenced
                || machine.reachability.is_unreachable()
                || due_in < self.cfg.tuning.heartbeat_request_after_s
                || now - last < 0.0
                || machine
                    .token_incremented_at
                    .is_some_and(|at| now - at < pause)
            {
                continue;
            }
            let next = machine.token.max(self.token) + 1;
            if epoch(next) != epoch(self.token) {
                // Its count is used up, after days: it waits for its reports.
                continue;
            }
            machine.token_incremented_at = Some(now);
            machine.token = next;
            out.push(FencingCommand {
                machine: name.to_string(),
                addr,
                session: machine.session(),
                token: machine.token,
            });
        }
        for name in told {
            self.machines_with_unsent_launches.remove(&name);
        }
        out
    }

    /// Addresses of machines that have not yet seen our token.
    pub fn fencing_commands(&self, now: Time) -> Vec<FencingCommand> {
        self.machines
            .values()
            .filter(|m| {
                !m.fenced && m.inherited && m.last_heartbeat.is_none_or(|at| now - at > 1.0)
            })
            .filter_map(|m| {
                Some(FencingCommand {
                    machine: m.name.to_string(),
                    addr: m.addr?,
                    session: m.session(),
                    token: m.token.max(self.token),
                })
            })
            .collect()
    }
}
