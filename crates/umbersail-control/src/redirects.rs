//! Tracks workers that were redirected to another controller and returned. Such a worker
//! can't reach the other controller, and this node serves it for a while.

use std::collections::BTreeMap;

use umbersail_runtime::Time;

/// Workers that can't reach the leader: they returned after a redirect to the leader, or
/// they contact another node although the leader has answered them before.
pub(crate) struct RedirectTracker {
    /// State of each tracked worker, by machine name.
    machines: BTreeMap<String, Redirect>,
    return_window_s: Time,
    serve_s: Time,
}

#[derive(Debug, Clone, Copy)]
enum Redirect {
    /// The worker was redirected at this time.
    Redirected(Time),
    /// This node serves the worker until this time.
    ServedUntil(Time),
}

/// Upper bound on tracked workers, of about 50 bytes each: twice a fleet of 4,000 machines.
/// When the bound is reached, all entries are dropped, and a worker that can't reach the
/// leader is detected again.
const MAX_TRACKED_WORKERS: usize = 8192;

impl RedirectTracker {
    pub fn new(return_window_s: Time, serve_s: Time) -> RedirectTracker {
        RedirectTracker {
            machines: BTreeMap::new(),
            return_window_s,
            serve_s,
        }
    }

    /// Whether this node should serve the worker instead of redirecting it. If not, records
    /// the redirect.
    ///
    /// `left_leader` says that the leader has answered the worker before, but the worker now
    /// contacts this node. Such a worker is not redirected: if the leader's side drops its
    /// messages silently, each redirect costs the worker a second before the attempt, 4 s of
    /// waiting for the answer, and a second after it, and its lease would expire.
    pub fn is_returning(&mut self, machine: &str, left_leader: bool, now: Time) -> bool {
        let served = Redirect::ServedUntil(now + self.serve_s);
        let next = match self.machines.get(machine) {
            Some(Redirect::ServedUntil(end)) if now < *end => return true,
            // The leader may be reachable again.
            Some(Redirect::ServedUntil(end)) if now - end < self.return_window_s => {
                Redirect::Redirected(now)
            }
            Some(Redirect::Redirected(at)) if now - at < self.return_window_s => served,
            _ if left_leader => served,
            _ => Redirect::Redirected(now),
        };
        if self.machines.len() >= MAX_TRACKED_WORKERS && !self.machines.contains_key(machine) {
            self.machines.clear();
        }
        self.machines.insert(machine.to_owned(), next);
        matches!(next, Redirect::ServedUntil(_))
    }
}

#[cfg(test)]
mod tests;
