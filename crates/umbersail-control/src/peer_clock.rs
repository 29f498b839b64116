//! Dates the messages of another controller on this node's clock.
//!
//! The network may hold a message back for minutes, and a frozen process may send or read a
//! message late, so the time of arrival does not show how old the content is. The reply to a
//! request is at most as old as the request. Each reply thus relates the uptime of the peer's
//! process, which is part of every hello message, to this node's clock. Later and earlier
//! messages of the same process are dated by their uptime.

use umbersail_runtime::Time;
use umbersail_wire::Hello;

/// Resolution of the uptime in a hello message, in seconds.
const UPTIME_RESOLUTION_S: f64 = 0.001;

/// Relation between the uptime of one process of a peer and this node's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerClock {
    /// The process.
    incarnation: u64,
    /// Uptime of the process when it sent a reply, in seconds.
    uptime_s: f64,
    /// Lower bound on the time at which it sent this reply.
    earliest: Time,
}

impl PeerClock {
    /// Derives the relation from a reply to a request that was sent at `asked_at`.
    pub fn from_reply(reply: &Hello, asked_at: Time) -> PeerClock {
        PeerClock {
            incarnation: reply.incarnation,
            uptime_s: uptime_s(reply),
            earliest: asked_at,
        }
    }

    /// Returns the earliest time at which the process can have sent this message, given that
    /// the two clocks drift apart by at most the share `drift`. Returns `None` for a message of
    /// another process, or without an uptime.
    pub fn earliest_sending(&self, message: &Hello, drift: f64) -> Option<Time> {
        if message.incarnation != self.incarnation || message.uptime_ms == 0 {
            return None;
        }
        let elapsed_s = uptime_s(message) - self.uptime_s;
        let error_s = elapsed_s.abs() * drift + UPTIME_RESOLUTION_S;
        Some(self.earliest + elapsed_s - error_s)
    }
}

/// Uptime of the sending process, in seconds.
fn uptime_s(message: &Hello) -> f64 {
    message.uptime_ms as f64 / 1000.0
}

/// Dates a hello message that arrives at `now`, and returns the earliest time at which the peer
/// can have sent it, or `None` if that is unknown because no reply of the sending process has
/// arrived yet. `asked_at` is the time of the request if the message is a reply. A reply that
/// narrows the bound down updates `clock`.
pub(crate) fn date_hello(
    clock: &mut Option<PeerClock>,
    hello: &Hello,
    asked_at: Option<Time>,
    now: Time,
    drift: f64,
) -> Option<Time> {
    let mut by_uptime = clock.and_then(|clock| clock.earliest_sending(hello, drift));
    if by_uptime.is_some_and(|earliest| earliest > now) {
        // A clock has stood still, for example that of a suspended machine.
        *clock = None;
        by_uptime = None;
    }
    let Some(asked_at) = asked_at else {
        return by_uptime;
    };
    match by_uptime {
        Some(earliest) if earliest >= asked_at => Some(earliest),
        _ => {
            *clock = Some(PeerClock::from_reply(hello, asked_at));
            Some(asked_at)
        }
    }
}

#[cfg(test)]
mod tests;
