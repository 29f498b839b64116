//! Reachability: whether our answers reach a machine, by what its reports show of them.
//! One whose reports arrive while it receives nothing has a one-way partition.
//!
//! A machine whose reports arrive while answers and commands don't reach it looks
//! empty and well, and would draw launches for ever. What it was told and does not
//! show is a sign; so is a session that ends although we answered. Nothing here
//! bears on rule 3: what ran on it is settled by its reports and by its lease.

use umbersail_wire::Heartbeat;

use super::{EngineConfig, Time};

/// A reply is dropped by the worker this long after the report was sent, s
/// (the workers' protocol).
const REPLY_TIMEOUT_S: f64 = 4.0;

/// The newest answer in turn.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LastReply {
    session: u64,
    /// The highest token that the machine has shown in what was answered, or has
    /// taken up by a direct command since.
    token_observed: u64,
    token: u64,
    sent_at: Time,
    /// A report has been held against it: one answer is one sign at most.
    evaluated: bool,
}

/// What is known of one machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Reachability {
    last_reply: Option<LastReply>,
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

    /// The report was answered, with this token.
    pub fn reply_sent(&mut self, now: Time, report: &Heartbeat, token: u64) {
        self.last_reply = Some(LastReply {
            session: report.session,
            token_observed: report.token,
            token,
            sent_at: now,
            evaluated: false,
        });
    }

    /// It has answered a direct command: that says nothing of replies, in which
    /// launches travel.
    pub fn command_acknowledged(&mut self, report: &Heartbeat) {
        if let Some(told) = &mut self.last_reply {
            told.token_observed = told.token_observed.max(report.token);
        }
    }

    /// A newer report in turn. `launches`: some that it was told were taken up
    /// (true) or none of them (false). True while it has to show that answers reach it: a
    /// raised token in the next answer lets it.
    pub fn observe(
        &mut self,
        now: Time,
        cfg: &EngineConfig,
        report: &Heartbeat,
        launches: Option<bool>,
    ) -> bool {
        let tuning = &cfg.tuning;
        let Some(told) = &mut self.last_reply else {
            return false;
        };
        // Not by a token of another holder, which is lower than any of ours.
        let took_up = report.token > told.token_observed && report.token >= told.token;
        if took_up || launches == Some(true) {
            *self = Reachability {
                last_reply: self.last_reply,
                ..Reachability::default()
            };
            return false;
        }
        let pause = now - told.sent_at;
        let token_missed = told.token > told.token_observed.max(report.token);
        // Had it received the answer, its lease would have held for longer.
        let session_missed = report.session > told.session && pause < cfg.lease_s - REPLY_TIMEOUT_S;
        let first = !std::mem::replace(&mut told.evaluated, true);
        let missed = token_missed || launches == Some(false) || session_missed;
        if !(missed && first) || pause < tuning.unreachable_min_gap_s {
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
