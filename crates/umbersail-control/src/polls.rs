//! Users who ask about unfinished jobs, answered together: one comparison of many
//! keys instead of a read for each.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use umbersail_runtime::{Broadcast, Time, sleep, spawn};
use umbersail_wire::{Condition, Txn};

use crate::engine::TxnOutcome;
use crate::node::Node;
use crate::records::job_key;
use crate::state::RequestPriority;

/// How long a poll waits for others to be compared with it, in seconds: users wait
/// 2 s for an answer.
const GATHER_S: f64 = 0.05;
/// Conditions of a transaction for each of its changes, by the protocol.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Upper bound on remembered versions, some 60 bytes each: the unfinished jobs of a fleet
/// of 4,000 machines several times over. A job that is forgotten is read once more.
const MAX_VERSIONS: usize = 16_384;

/// What a comparison showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PollOutcome {
    /// The key has the version at which the job was seen unfinished.
    Unfinished,
    /// It has not, or the version was not known: it must be read.
    Unknown,
    /// The state service did not say.
    Unanswered,
}

/// Polls that are compared in one request.
#[derive(Default)]
struct PollBatch {
    versions: RefCell<BTreeMap<String, u64>>,
    /// Jobs whose keys have moved, once it is over; none if it had no answer.
    moved: RefCell<Option<BTreeSet<String>>>,
    over: Cell<bool>,
    done: Broadcast,
}

/// Versions at which jobs were seen unfinished, and when at the earliest; and the round
/// that gathers.
#[derive(Default)]
pub(crate) struct BatchedPolls {
    versions: RefCell<BTreeMap<String, (u64, Time)>>,
    open_batch: RefCell<Option<Rc<PollBatch>>>,
}

impl BatchedPolls {
    /// The job was unfinished, and its key had this version, by a request sent at `at`.
    pub fn record_version(&self, id: &str, version: u64, at: Time) {
        let mut versions = self.versions.borrow_mut();
        if versions.len() >= MAX_VERSIONS && !versions.contains_key(id) {
            versions.pop_first();
        }
        versions.insert(id.to_owned(), (version, at));
    }

    /// A moment not before which the job was still unfinished.
    pub fn unfinished_at(&self, id: &str) -> Option<Time> {
        self.versions.borrow().get(id).map(|(_, at)| *at)
    }

    /// It is over, or its key has moved.
    pub fn forget(&self, id: &str) {
        self.versions.borrow_mut().remove(id);
    }
}

impl Node {
    /// Whether the job is still unfinished, by a comparison made after this was
    /// asked (rule 6): many polls share one request, since each job's key never
    /// changes before its end.
    pub(crate) async fn compare_version(self: &Rc<Self>, id: &str) -> PollOutcome {
        let Some((version, _)) = self.batched_polls.versions.borrow().get(id).copied() else {
            return PollOutcome::Unknown;
        };
        let round = self.join_batch(id, version);
        while !round.over.get() {
            round.done.notified().await;
        }
        match &*round.moved.borrow() {
            Some(moved) if moved.contains(id) => {
                self.batched_polls.forget(id);
                PollOutcome::Unknown
            }
            Some(_) => PollOutcome::Unfinished,
            None => PollOutcome::Unanswered,
        }
    }

    fn join_batch(self: &Rc<Self>, id: &str, version: u64) -> Rc<PollBatch> {
        let most = CONDITIONS_PER_CHANGE * self.settings.facts.state.txn_ops;
        let mut open_batch = self.batched_polls.open_batch.borrow_mut();
        let full = |round: &Rc<PollBatch>| round.versions.borrow().len() >= most;
        let round = match open_batch.take().filter(|round| !full(round)) {
            Some(round) => round,
            None => {
                let round = Rc::new(PollBatch::default());
                // A routine of its own: whoever asked first may hang up.
                spawn(self.clone().compare(round.clone()));
                round
            }
        };
        round.versions.borrow_mut().insert(id.to_owned(), version);
        *open_batch = Some(round.clone());
        round
    }

    async fn compare(self: Rc<Self>, round: Rc<PollBatch>) {
        sleep(GATHER_S).await;
        {
            // Whoever asks from here on is too late for this comparison.
            let mut open_batch = self.batched_polls.open_batch.borrow_mut();
            if open_batch.as_ref().is_some_and(|g| Rc::ptr_eq(g, &round)) {
                *open_batch = None;
            }
        }
        let mut left = round.versions.borrow().clone();
        let mut moved = BTreeSet::new();
        let answered = loop {
            if left.is_empty() {
                break true;
            }
            let condition = |(id, version): (&String, &u64)| Condition {
                key: job_key(id),
                version: *version,
            };
            let txn = Txn {
                conditions: left.iter().map(condition).collect(),
                changes: Vec::new(),
            };
            let sent_at = self.clock.now();
            match self.kv.txn(&txn, RequestPriority::Poll).await {
                TxnOutcome::Applied { .. } => {
                    for (id, version) in &left {
                        self.batched_polls.record_version(id, *version, sent_at);
                    }
                    break true;
                }
                TxnOutcome::Conflict { failed } => {
                    // Nothing is said of the others: they are compared again.
                    let before = left.len();
                    left.retain(|id, _| {
                        let gone = failed.contains(&job_key(id));
                        if gone {
                            moved.insert(id.clone());
                        }
                        !gone
                    });
                    if left.len() == before {
                        break false;
                    }
                }
                TxnOutcome::NotExecuted | TxnOutcome::Unknown => break false,
            }
        };
        *round.moved.borrow_mut() = answered.then_some(moved);
        round.over.set(true);
        round.done.notify_all();
    }
}
