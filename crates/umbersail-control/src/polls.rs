//! Batched status polls of unfinished jobs: one transaction compares the versions of many
//! job keys, which replaces one read per poll.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use umbersail_runtime::{Broadcast, Time, sleep, spawn};
use umbersail_wire::{Condition, Txn};

use crate::engine::TxnOutcome;
use crate::node::Node;
use crate::records::job_key;
use crate::state::RequestPriority;

/// How long a batch collects polls before the comparison, in seconds. Users wait 2 s for
/// an answer.
const BATCH_S: f64 = 0.05;
/// Conditions allowed in a transaction per allowed change, as the protocol defines it.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Upper bound on remembered versions, of about 60 bytes each. The bound is several times
/// the number of unfinished jobs of a fleet of 4,000 machines. A job whose version was
/// dropped is read once more.
const MAX_VERSIONS: usize = 16_384;

/// Result of the comparison for one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PollOutcome {
    /// The key still has the version at which the job was observed unfinished.
    Unfinished,
    /// The key has another version, or no version is known: the job must be read.
    Unknown,
    /// The state service did not answer.
    Unanswered,
}

/// Polls whose jobs are compared in one request.
#[derive(Default)]
struct PollBatch {
    /// Expected versions of the job keys, by job id.
    versions: RefCell<BTreeMap<String, u64>>,
    /// Jobs whose keys have another version, set once the batch is finished. `None` if the
    /// comparison had no answer.
    changed: RefCell<Option<BTreeSet<String>>>,
    finished: Cell<bool>,
    /// Raised once the batch is finished.
    done: Broadcast,
}

/// Versions at which jobs were observed unfinished, and the batch that collects polls.
#[derive(Default)]
pub(crate) struct BatchedPolls {
    /// By job id: the version of the job key, and a time at which the job was unfinished.
    versions: RefCell<BTreeMap<String, (u64, Time)>>,
    /// The batch that new polls join.
    open_batch: RefCell<Option<Rc<PollBatch>>>,
}

impl BatchedPolls {
    /// Records that a request sent at `at` found the job unfinished and its key at this
    /// version.
    pub fn record_version(&self, id: &str, version: u64, at: Time) {
        let mut versions = self.versions.borrow_mut();
        if versions.len() >= MAX_VERSIONS && !versions.contains_key(id) {
            versions.pop_first();
        }
        versions.insert(id.to_owned(), (version, at));
    }

    /// The latest known time at which the job was still unfinished.
    pub fn unfinished_at(&self, id: &str) -> Option<Time> {
        self.versions.borrow().get(id).map(|(_, at)| *at)
    }

    /// Drops the version of a job that has ended or whose key has another version.
    pub fn forget(&self, id: &str) {
        self.versions.borrow_mut().remove(id);
    }
}

impl Node {
    /// Determines whether the job is still unfinished, by a comparison that starts after this
    /// call (rule 6 of `docs/design.md`). Many polls share one request. An unchanged version
    /// proves that the job is unfinished, because a job's key does not change until the job
    /// ends.
    pub(crate) async fn compare_version(self: &Rc<Self>, id: &str) -> PollOutcome {
        let Some((version, _)) = self.batched_polls.versions.borrow().get(id).copied() else {
            return PollOutcome::Unknown;
        };
        let batch = self.join_batch(id, version);
        while !batch.finished.get() {
            batch.done.notified().await;
        }
        match &*batch.changed.borrow() {
            Some(changed) if changed.contains(id) => {
                self.batched_polls.forget(id);
                PollOutcome::Unknown
            }
            Some(_) => PollOutcome::Unfinished,
            None => PollOutcome::Unanswered,
        }
    }

    /// Adds a poll to the open batch. Opens a new batch if there is none, or if it is full.
    fn join_batch(self: &Rc<Self>, id: &str, version: u64) -> Rc<PollBatch> {
        let max_conditions = CONDITIONS_PER_CHANGE * self.settings.facts.state.txn_ops;
        let mut open_batch = self.batched_polls.open_batch.borrow_mut();
        let is_full = |batch: &Rc<PollBatch>| batch.versions.borrow().len() >= max_conditions;
        let batch = match open_batch.take().filter(|batch| !is_full(batch)) {
            Some(batch) => batch,
            None => {
                let batch = Rc::new(PollBatch::default());
                // The comparison runs in a task of its own, because the user of the first poll
                // may disconnect.
                spawn(self.clone().compare(batch.clone()));
                batch
            }
        };
        batch.versions.borrow_mut().insert(id.to_owned(), version);
        *open_batch = Some(batch.clone());
        batch
    }

    /// Waits for polls to join the batch, then compares the versions of all its jobs.
    async fn compare(self: Rc<Self>, batch: Rc<PollBatch>) {
        sleep(BATCH_S).await;
        {
            // Polls that arrive from here on need a later comparison.
            let mut open_batch = self.batched_polls.open_batch.borrow_mut();
            if open_batch
                .as_ref()
                .is_some_and(|open| Rc::ptr_eq(open, &batch))
            {
                *open_batch = None;
            }
        }
        let mut remaining = batch.versions.borrow().clone();
        let mut changed = BTreeSet::new();
        let answered = loop {
            if remaining.is_empty() {
                break true;
            }
            let condition = |(id, version): (&String, &u64)| Condition {
                key: job_key(id),
                version: *version,
            };
            let txn = Txn {
                conditions: remaining.iter().map(condition).collect(),
                changes: Vec::new(),
            };
            let sent_at = self.clock.now();
            match self.kv.txn(&txn, RequestPriority::Poll).await {
                TxnOutcome::Applied { .. } => {
                    for (id, version) in &remaining {
                        self.batched_polls.record_version(id, *version, sent_at);
                    }
                    break true;
                }
                TxnOutcome::Conflict { failed } => {
                    // A conflict proves nothing about the other jobs, so these are compared again.
                    let before = remaining.len();
                    remaining.retain(|id, _| {
                        let is_changed = failed.contains(&job_key(id));
                        if is_changed {
                            changed.insert(id.clone());
                        }
                        !is_changed
                    });
                    if remaining.len() == before {
                        break false;
                    }
                }
                TxnOutcome::NotExecuted | TxnOutcome::Unknown => break false,
            }
        };
        *batch.changed.borrow_mut() = answered.then_some(changed);
        batch.finished.set(true);
        batch.done.notify_all();
    }
}
