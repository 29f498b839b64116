//! The newest ends of jobs, in bounded memory: for repeated polls, and as what a controller
//! remembers to have told while the state service is out (rule 6).

use std::collections::{BTreeMap, VecDeque};

use umbersail_runtime::Time;

use crate::records::{EndedJobRecord, Outcome};

/// Ends of jobs, the newest few.
pub(crate) struct TerminalCache {
    most: usize,
    ends: BTreeMap<String, EndedJobRecord>,
    /// When each was taken in, the oldest first.
    order: VecDeque<(Time, String)>,
    /// All that were taken in after this are still here.
    complete_from: Time,
}

impl TerminalCache {
    pub fn new(most: usize) -> TerminalCache {
        TerminalCache {
            most,
            ends: BTreeMap::new(),
            order: VecDeque::new(),
            complete_from: if most == 0 { f64::MAX } else { f64::MIN },
        }
    }

    pub fn get(&self, id: &str) -> Option<EndedJobRecord> {
        self.ends.get(id).copied()
    }

    /// Jobs cancelled whose ends were taken in after this, the newest first.
    pub fn cancelled_since(&self, since: Time) -> impl Iterator<Item = &String> {
        let newest = self
            .order
            .iter()
            .rev()
            .take_while(move |(at, _)| *at > since);
        let ids = newest.map(|(_, id)| id);
        ids.filter(|id| (self.ends.get(*id)).is_some_and(|over| over.outcome == Outcome::Cancelled))
    }

    pub fn complete_from(&self) -> Time {
        self.complete_from
    }

    pub fn put(&mut self, now: Time, id: &str, over: EndedJobRecord) {
        if self.most == 0 {
            return;
        }
        if self.ends.insert(id.to_owned(), over).is_none() {
            self.order.push_back((now, id.to_owned()));
        }
        while self.ends.len() > self.most {
            if let Some((at, oldest)) = self.order.pop_front() {
                self.ends.remove(&oldest);
                self.complete_from = at;
            }
        }
    }
}
