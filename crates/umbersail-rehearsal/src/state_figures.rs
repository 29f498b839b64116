//! Counts the requests, changes and keys of the state service; changes and keys are grouped by
//! the first segment of the key.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use umbersail_wire::{Change, Txn, Value};

use crate::history::EventKind;

/// Counts of one run so far.
#[derive(Default)]
pub struct StateFigures {
    changes: RefCell<BTreeMap<String, u64>>,
    live_keys: RefCell<BTreeMap<String, BTreeSet<String>>>,
    requests: Cell<u64>,
    refused: Cell<u64>,
}

impl StateFigures {
    /// Records a request, and whether the rate limit refused it.
    pub fn record_request(&self, refused: bool) {
        self.requests.set(self.requests.get() + 1);
        self.refused.set(self.refused.get() + u64::from(refused));
    }

    /// Records the changes of an applied transaction.
    pub fn record_transaction(&self, txn: &Txn<Value>) {
        for change in &txn.changes {
            let (Change::Put { key, .. } | Change::Delete { key }) = change;
            let first = key.split('/').next().unwrap_or(key).to_owned();
            *self.changes.borrow_mut().entry(first.clone()).or_default() += 1;
            let mut live_keys = self.live_keys.borrow_mut();
            let keys = live_keys.entry(first).or_default();
            match change {
                Change::Put { .. } => drop(keys.insert(key.clone())),
                Change::Delete { .. } => drop(keys.remove(key)),
            }
        }
    }

    /// Returns the counts so far as an event for the history.
    pub fn sample(&self) -> EventKind {
        let live_keys = self.live_keys.borrow();
        let count =
            |(first, keys): (&String, &BTreeSet<String>)| (first.clone(), keys.len() as u64);
        EventKind::StateSample {
            changes: self.changes.borrow().clone(),
            live_keys: live_keys.iter().map(count).collect(),
            requests: self.requests.get(),
            refused: self.refused.get(),
        }
    }
}
