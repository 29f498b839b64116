//! Bounded cache of the most recently ended jobs. It answers repeated polls, and while the
//! state service is unavailable it keeps answers consistent with those that this controller
//! gave before (rule 6 of `docs/design.md`).

use std::collections::{BTreeMap, VecDeque};

use umbersail_runtime::Time;

use crate::records::{EndedJobRecord, Outcome};

/// The most recently ended jobs.
pub(crate) struct TerminalCache {
    capacity: usize,
    ends: BTreeMap<String, EndedJobRecord>,
    /// Time of insertion and job id, the oldest first.
    order: VecDeque<(Time, String)>,
    /// Every entry inserted after this time is still cached.
    complete_from: Time,
}

impl TerminalCache {
    pub fn new(capacity: usize) -> TerminalCache {
        TerminalCache {
            capacity,
            ends: BTreeMap::new(),
            order: VecDeque::new(),
            complete_from: if capacity == 0 { f64::MAX } else { f64::MIN },
        }
    }

    pub fn get(&self, id: &str) -> Option<EndedJobRecord> {
        self.ends.get(id).copied()
    }

    /// Cancelled jobs whose entries were inserted after `since`, the newest first.
    pub fn cancelled_since(&self, since: Time) -> impl Iterator<Item = &String> {
        let newest = self
            .order
            .iter()
            .rev()
            .take_while(move |(at, _)| *at > since);
        let ids = newest.map(|(_, id)| id);
        ids.filter(|id| (self.ends.get(*id)).is_some_and(|end| end.outcome == Outcome::Cancelled))
    }

    /// Every entry inserted after this time is still cached.
    pub fn complete_from(&self) -> Time {
        self.complete_from
    }

    pub fn put(&mut self, now: Time, id: &str, over: EndedJobRecord) {
        if self.capacity == 0 {
            return;
        }
        if self.ends.insert(id.to_owned(), over).is_none() {
            self.order.push_back((now, id.to_owned()));
        }
        while self.ends.len() > self.capacity {
            if let Some((at, oldest)) = self.order.pop_front() {
                self.ends.remove(&oldest);
                self.complete_from = at;
            }
        }
    }
}
