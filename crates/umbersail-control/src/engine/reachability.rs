//! Reachability: whether replies reach a machine, inferred from its heartbeats.
//!
//! A machine with a one-way partition sends heartbeats while replies and commands do not
//! reach it. It looks empty and healthy, and launches would be sent to it again and again. Two
//! things count as evidence: a later heartbeat does not show what a reply contained, or the
//! agent session ends although a reply was sent. Rule 3 of `docs/design.md` does not depend on
//! this module: which tasks may run on the machine is decided by its heartbeats and its lease.

use umbersail_wire::Heartbeat;

use super::{EngineConfig, Time};

/// A worker drops a reply that arrives this many seconds after the heartbeat was sent, as the
/// protocol of the workers specifies.
const REPLY_TIMEOUT_S: f64 = 4.0;

/// The newest reply to a periodic heartbeat.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LastReply {
    session: u64,
    /// The highest token that the machine has shown, in the heartbeat that this reply answers
    /// or since then in a response to a direct command.
    token_observed: u64,
    /// The token that the reply carried.
    token: u64,
    sent_at: Time,
    /// A later heartbeat has been compared with this reply: each reply counts at most once.
    evaluated: bool,
}

/// Reachability of one machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Reachability {
    last_reply: Option<LastReply>,
    /// Replies that did not arrive, as far as later heartbeats show.
    missed_replies: u32,
    last_missed_at: Option<Time>,
    unreachable_since: Option<Time>,
}

impl Reachability {
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    pub fn unreachable_since(&self) -> Option<Time> {
        self.unreachable_since
    }

    /// A reply to this heartbeat was sent, with this token.
    pub fn reply_sent(&mut self, now: Time, heartbeat: &Heartbeat, token: u64) {
        self.last_reply = Some(LastReply {
            session: heartbeat.session,
            token_observed: heartbeat.token,
            token,
            sent_at: now,
            evaluated: false,
        });
    }

    /// The machine has responded to a direct command. That is no evidence that replies, which
    /// carry the launches, arrive.
    pub fn command_acknowledged(&mut self, heartbeat: &Heartbeat) {
        if let Some(reply) = &mut self.last_reply {
            reply.token_observed = reply.token_observed.max(heartbeat.token);
        }
    }

    /// Evaluates a newer periodic heartbeat. `launches`: whether the machine executed launches
    /// that it was sent (true) or none of them (false). Returns true while the machine has yet
    /// to show that replies reach it; a raised token in the next reply allows it to.
    pub fn observe(
        &mut self,
        now: Time,
        cfg: &EngineConfig,
        heartbeat: &Heartbeat,
        launches: Option<bool>,
    ) -> bool {
        let tuning = &cfg.tuning;
        let Some(reply) = &mut self.last_reply else {
            return false;
        };
        // A token of an earlier leader does not count: it is lower than any of this leader's.
        let token_received =
            heartbeat.token > reply.token_observed && heartbeat.token >= reply.token;
        if token_received || launches == Some(true) {
            *self = Reachability {
                last_reply: self.last_reply,
                ..Reachability::default()
            };
            return false;
        }
        let reply_age_s = now - reply.sent_at;
        let token_missed = reply.token > reply.token_observed.max(heartbeat.token);
        // If the reply had arrived, the machine's lease and with it the session would not have
        // ended yet.
        let session_missed =
            heartbeat.session > reply.session && reply_age_s < cfg.lease_s - REPLY_TIMEOUT_S;
        let first = !std::mem::replace(&mut reply.evaluated, true);
        let missed = token_missed || launches == Some(false) || session_missed;
        if !(missed && first) || reply_age_s < tuning.unreachable_min_gap_s {
            return self.missed_replies > 0;
        }
        if self
            .last_missed_at
            .is_some_and(|at| now - at > tuning.unreachable_sign_ttl_s)
        {
            self.missed_replies = 0;
        }
        self.missed_replies += 1;
        self.last_missed_at = Some(now);
        if self.missed_replies >= tuning.unreachable_signs as u32 {
            self.unreachable_since.get_or_insert(now);
        }
        true
    }
}
