//! Workers that were directed to another controller and came back: they can't reach it,
//! and are served here for a while.

use std::collections::BTreeMap;

use umbersail_runtime::Time;

/// Workers that can't reach the leader: they came back although they were directed
/// there, or have shown its token and come to another node all the same.
pub(crate) struct RedirectTracker {
    /// When each was last directed, or until when it is helped.
    machines: BTreeMap<String, Redirect>,
    again_s: Time,
    help_s: Time,
}

#[derive(Debug, Clone, Copy)]
enum Redirect {
    Directed(Time),
    Until(Time),
}

/// Upper bound on remembered workers, some 50 bytes each: twice a fleet of 4,000. Above
/// it all are forgotten, and a worker that can't reach the leader is helped anew.
const MAX_REDIRECTS: usize = 8192;

impl RedirectTracker {
    pub fn new(again_s: Time, help_s: Time) -> RedirectTracker {
        RedirectTracker {
            machines: BTreeMap::new(),
            again_s,
            help_s,
        }
    }

    /// Whether this worker's report is to be handed on; remembers it if not. `left`:
    /// the leader has answered it before, and it comes here. Sent back to a leader
    /// that drops all from it without a word, its lease would be over before it came
    /// again: it waits 4 s for an answer there, a second before, and a second after.
    pub fn is_returning(&mut self, machine: &str, left: bool, now: Time) -> bool {
        let helped = Redirect::Until(now + self.help_s);
        let next = match self.machines.get(machine) {
            Some(Redirect::Until(end)) if now < *end => return true,
            // The leader may be back.
            Some(Redirect::Until(end)) if now - end < self.again_s => Redirect::Directed(now),
            Some(Redirect::Directed(at)) if now - at < self.again_s => helped,
            _ if left => helped,
            _ => Redirect::Directed(now),
        };
        if self.machines.len() >= MAX_REDIRECTS && !self.machines.contains_key(machine) {
            self.machines.clear();
        }
        self.machines.insert(machine.to_owned(), next);
        matches!(next, Redirect::Until(_))
    }
}

#[cfg(test)]
mod tests;
