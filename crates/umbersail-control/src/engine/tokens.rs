//! Fencing tokens: which token a machine's reply carries, and when the token is raised.

use super::{Engine, Job, MachineId, Placement, Time};

/// Number of low bits of a fencing token that count the increments for one machine. The bits
/// above are the epoch, which is the revision of the grant (rule 1 of `docs/design.md`).
pub(super) const MINOR_COUNTER_BITS: u32 = 16;

/// The part of a token that identifies the leader.
pub fn epoch(token: u64) -> u64 {
    token >> MINOR_COUNTER_BITS
}

/// The lowest token of the leader whose grant has this revision.
pub fn first_token(revision: u64) -> u64 {
    revision << MINOR_COUNTER_BITS
}

/// Whether a launch may be sent to a worker. A successor must be able to know that the task may
/// run there: from the job's record or, in degraded mode, from its own earlier agreement that
/// this leader starts tasks without records.
pub(super) fn may_launch(job: &Job, task: u32, machine: &MachineId, degraded_mode: bool) -> bool {
    job.is_recorded(task, machine) || (degraded_mode && job.may_start_unrecorded())
}

/// A direct command without content that delivers a token to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencingCommand {
    /// Name of the machine.
    pub machine: String,
    /// Address of its worker.
    pub addr: std::net::SocketAddr,
    /// Agent session that the command is addressed to; 0 if none is known.
    pub session: u64,
    /// The token.
    pub token: u64,
}

impl Engine {
    /// The token for replies to this machine.
    pub fn token_for(&self, machine: &str) -> u64 {
        self.machines
            .get(machine)
            .map_or(self.token, |m| m.token.max(self.token))
    }

    /// Raises the tokens of machines that have launches ready and whose next heartbeat is not
    /// due soon. A new token makes a worker send a heartbeat within half a second; the
    /// launches are then sent in the reply to that heartbeat (rule 5).
    pub fn token_increments(&mut self, now: Time) -> Vec<FencingCommand> {
        let mut out = Vec::new();
        let min_interval_s = self.cfg.lease_s / 2.0 + 0.5;
        let mut all_sent: Vec<MachineId> = Vec::new();
        for name in &self.machines_with_unsent_launches {
            let Some(machine) = self.machines.get_mut(name) else {
                all_sent.push(name.clone());
                continue;
            };
            let (mut any_unsent, mut any_ready) = (false, false);
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let is_unsent =
                    |p: &Placement| !p.may_be_known_to_worker() && p.pending_stop.is_none();
                if job.placements.get(task).is_some_and(is_unsent) {
                    any_unsent = true;
                    any_ready |= may_launch(job, *task, name, self.degraded_mode)
                        && !self.plans.images.is_queued(job.image, name);
                }
            }
            if !any_unsent {
                all_sent.push(name.clone());
            }
            let (Some(addr), Some(last)) = (machine.addr, machine.last_heartbeat) else {
                continue;
            };
            let due_in = last + self.cfg.heartbeat_interval_s - now;
            if !any_ready
                || !machine.fenced
                || machine.reachability.is_unreachable()
                || due_in < self.cfg.tuning.heartbeat_request_after_s
                || now - last < 0.0
                || machine
                    .token_incremented_at
                    .is_some_and(|at| now - at < min_interval_s)
            {
                continue;
            }
            let next = machine.token.max(self.token) + 1;
            if epoch(next) != epoch(self.token) {
                // The counter in the token is used up, which takes days. The machine's launches
                // wait for its next regular heartbeat.
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
        for name in all_sent {
            self.machines_with_unsent_launches.remove(&name);
        }
        out
    }

    /// Fencing commands for machines of the grant that have not yet shown this leader's token.
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
