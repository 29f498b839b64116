//! All-replica reads: while the state service is unavailable, a poll for a job's status is
//! answered from what all controllers have seen and reported about the job.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use futures::future::join_all;
use umbersail_http::Response;
use umbersail_runtime::{Broadcast, Time, sleep, spawn};
use umbersail_standby::{ReadOutcome, ReplicaAnswer, read_outcome};
use umbersail_wire::{
    JobStage, JobStatus, ReplicaReadAnswer, ReplicaReadEntry, ReplicaReadRequest, TaskCounts,
    decode, encode, paths,
};

use crate::node::{Node, Role};
use crate::records::{EndedJobRecord, Outcome};
use crate::settings::Peer;

/// How long a poll waits for further polls to be read in the same batch, in seconds.
const BATCH_WINDOW_S: f64 = 0.05;
/// Upper bound on jobs read in one batch: about 50 KiB in the request and four times that in
/// an answer. Polls of further jobs are refused until the next batch.
const MAX_JOBS_PER_BATCH: usize = 4096;

/// Result of an all-replica read of one job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReplicaRead {
    pub outcome: ReadOutcome<EndedJobRecord>,
    /// Task counts of an unfinished job, if the leader has told them.
    pub counts: Option<TaskCounts>,
}

impl ReplicaRead {
    const UNKNOWN: ReplicaRead = ReplicaRead {
        outcome: ReadOutcome::Unknown,
        counts: None,
    };
}

/// What one controller knows of a job.
#[derive(Debug, Clone, Copy)]
struct ControllerAnswer {
    replica: ReplicaAnswer<EndedJobRecord>,
    /// Task counts, if the controller is the leader.
    counts: Option<TaskCounts>,
}

/// Jobs that are read together.
#[derive(Default)]
struct ReadBatch {
    jobs: RefCell<BTreeSet<String>>,
    results: RefCell<BTreeMap<String, ReplicaRead>>,
    /// Whether the batch has been read, successfully or not.
    completed: Cell<bool>,
    completion: Broadcast,
}

/// The batch that still accepts jobs, and whether a batch is being read.
#[derive(Default)]
pub(crate) struct AllReplicaReads {
    open_batch: RefCell<Option<Rc<ReadBatch>>>,
    in_progress: Cell<bool>,
}

impl Node {
    /// Reads a job's status from all controllers (rule 6 of `docs/design.md`).
    pub(crate) async fn all_replica_read(self: &Rc<Self>, id: &str) -> ReplicaRead {
        if !self.all_peers_responsive() {
            return ReplicaRead::UNKNOWN;
        }
        let batch = {
            let mut open_batch = self.all_replica_reads.open_batch.borrow_mut();
            let batch = open_batch.get_or_insert_with(|| {
                let batch = Rc::new(ReadBatch::default());
                // A separate routine, since the client whose poll opened the batch may
                // disconnect.
                spawn(self.clone().run_read_batch(batch.clone()));
                batch
            });
            let mut jobs = batch.jobs.borrow_mut();
            if jobs.len() >= MAX_JOBS_PER_BATCH && !jobs.contains(id) {
                return ReplicaRead::UNKNOWN;
            }
            jobs.insert(id.to_owned());
            batch.clone()
        };
        while !batch.completed.get() {
            batch.completion.notified().await;
        }
        let results = batch.results.borrow();
        results.get(id).copied().unwrap_or(ReplicaRead::UNKNOWN)
    }

    /// Whether every peer has replied to this node recently. If one is unresponsive, the
    /// outcome would be unknown, so the other peers are not asked.
    fn all_peers_responsive(&self) -> bool {
        let now = self.clock.now();
        let fresh_s = 3.0 * self.tuning.peer_interval_s;
        let peers = self.peers.borrow();
        (self.settings.peers.iter()).all(|peer| {
            peers.get(&peer.member).is_some_and(|state| {
                !state.unresponsive && state.answered_at.is_some_and(|at| now - at < fresh_s)
            })
        })
    }

    /// Collects a batch, reads it from all controllers and publishes the outcomes.
    async fn run_read_batch(self: Rc<Self>, batch: Rc<ReadBatch>) {
        sleep(BATCH_WINDOW_S).await;
        while self.all_replica_reads.in_progress.get() {
            sleep(BATCH_WINDOW_S).await;
        }
        self.all_replica_reads.in_progress.set(true);
        // Polls that arrive from here on are too late for this batch.
        *self.all_replica_reads.open_batch.borrow_mut() = None;
        let jobs: Vec<String> = batch.jobs.borrow().iter().cloned().collect();
        let peers = self.settings.peers.iter();
        let answers = join_all(peers.map(|peer| self.read_from_peer(peer, &jobs))).await;
        let own = self.own_answers(&jobs);
        let all_answers: Option<Vec<Vec<ControllerAnswer>>> =
            answers.into_iter().chain([Some(own)]).collect();
        if let Some(all_answers) = all_answers {
            let mut results = batch.results.borrow_mut();
            for (index, id) in jobs.into_iter().enumerate() {
                let answers = all_answers.iter().map(|answers| answers[index]);
                let replicas: Vec<_> = answers.clone().map(|answer| answer.replica).collect();
                let outcome = read_outcome(&replicas);
                if let ReadOutcome::Ended(over) = outcome {
                    self.cache_end(&id, over);
                }
                let counts = answers.into_iter().find_map(|answer| answer.counts);
                results.insert(id, ReplicaRead { outcome, counts });
            }
        }
        self.all_replica_reads.in_progress.set(false);
        batch.completed.set(true);
        batch.completion.notify_all();
    }

    /// One peer's answers, in the order of the jobs; `None` if the peer does not reply in
    /// time.
    async fn read_from_peer(&self, peer: &Peer, jobs: &[String]) -> Option<Vec<ControllerAnswer>> {
        let body = encode(&ReplicaReadRequest { ids: jobs.into() });
        let asked_at = self.clock.now();
        let wait_s = self.tuning.peer_timeout_s;
        let answer = self
            .peer_http
            .request(peer.addr, "POST", paths::PEER_REPLICA_READ, &body, wait_s)
            .await;
        let Ok((200, body)) = answer else {
            return None;
        };
        let answer: ReplicaReadAnswer = decode(&body).ok()?;
        if answer.jobs.len() != jobs.len() {
            return None;
        }
        let now = self.clock.now();
        let drift = self.tuning.clock_drift;
        // The peer answered at an unknown time between request and reply. `seen_at` is the
        // earliest time at which the peer can have seen the job unfinished, and
        // `complete_since` the latest possible time since which the peer has kept the end of
        // every job that it reported to users.
        let seen_at = |ago_ms: u64| asked_at - ago_ms as f64 / 1000.0 * (1.0 + drift);
        let complete_since = now - answer.retention_ms as f64 / 1000.0 * (1.0 - drift);
        let is_leader = self.leader_name().as_deref() == Some(&*peer.member);
        let to_answer = |entry: ReplicaReadEntry| ControllerAnswer {
            replica: ReplicaAnswer {
                ended: entry.ended.as_ref().and_then(over_record_from),
                unfinished_at: entry.unfinished_ago_ms.map(seen_at),
                complete_since,
            },
            counts: entry.counts.filter(|_| is_leader),
        };
        Some(answer.jobs.into_iter().map(to_answer).collect())
    }

    /// This node's answers, in the order of the jobs.
    fn own_answers(&self, jobs: &[String]) -> Vec<ControllerAnswer> {
        let cache = self.terminal_cache.borrow();
        let now = self.clock.now();
        let role = self.role.borrow();
        let counts = |id: &str| match &*role {
            Role::Leading(leading) if !leading.superseded.get() => {
                leading.engine.job_progress(now, id)
            }
            _ => None,
        };
        let to_answer = |id: &String| ControllerAnswer {
            replica: ReplicaAnswer {
                ended: cache.get(id),
                unfinished_at: self.batched_polls.unfinished_at(id),
                complete_since: cache.complete_from().max(self.started_at),
            },
            counts: counts(id),
        };
        jobs.iter().map(to_answer).collect()
    }

    /// Handles a peer's read request.
    pub(crate) fn handle_replica_read(&self, body: &[u8]) -> Response {
        let Ok(request) = decode::<ReplicaReadRequest>(body) else {
            return Response::empty(400);
        };
        let now = self.clock.now();
        let ago_ms = |at: Time| ((now - at).max(0.0) * 1000.0) as u64;
        let answers = self.own_answers(&request.ids);
        let complete_since = (answers.first()).map_or(now, |answer| answer.replica.complete_since);
        let to_entry = |(id, answer): (&String, &ControllerAnswer)| ReplicaReadEntry {
            ended: answer.replica.ended.map(|over| JobStatus {
                id: id.clone(),
                state: terminal_stage(over),
                done: Some(over.done),
                running: None,
            }),
            // Rounded up, so that the reported time is not later than the actual one.
            unfinished_ago_ms: answer.replica.unfinished_at.map(|at| ago_ms(at) + 1),
            counts: answer.counts,
        };
        let answer = ReplicaReadAnswer {
            retention_ms: ago_ms(complete_since),
            jobs: request.ids.iter().zip(&answers).map(to_entry).collect(),
        };
        Response::new(200, encode(&answer))
    }
}

/// The record of a finished job; `None` if the status is not final.
fn over_record_from(status: &JobStatus) -> Option<EndedJobRecord> {
    let outcome = match status.state {
        JobStage::Done => Outcome::Done,
        JobStage::Cancelled => Outcome::Cancelled,
        _ => return None,
    };
    Some(EndedJobRecord {
        outcome,
        done: status.done.unwrap_or(0),
    })
}

/// The stage by which clients are told of this final result.
pub(crate) fn terminal_stage(over: EndedJobRecord) -> JobStage {
    match over.outcome {
        Outcome::Done => JobStage::Done,
        Outcome::Cancelled => JobStage::Cancelled,
    }
}
