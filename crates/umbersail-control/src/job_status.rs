//! The status of a job: lookups in the state service, polls, and task counts for display.

use std::rc::Rc;

use serde::de::IgnoredAny;
use tracing::debug;
use umbersail_http::Response;
use umbersail_standby::ReadOutcome;
use umbersail_wire::{JobStage, JobStatus, TaskCounts, encode, is_job_id, paths};

use crate::all_replica_read::terminal_stage;
use crate::node::{Node, Role};
use crate::polls::PollOutcome;
use crate::records::{EndedJobRecord, JobProgressRecord, ended_job_key, job_key, progress_key};
use crate::state::{KeyValueError, RequestPriority};

/// State of a job in the state service, read after the request arrived.
pub(crate) enum JobLookup {
    /// The job is unfinished; its key has this version.
    Unfinished(u64),
    /// The job has ended.
    Ended(EndedJobRecord),
    /// No job with this id was ever accepted.
    NotFound,
}

impl Node {
    /// Looks a job up among the unfinished jobs first, then among the ended jobs. A job moves
    /// from `jobs/` to `over/` and never back, so a job that is not found in this order was
    /// never accepted.
    pub(crate) async fn look_up_job(
        &self,
        id: &str,
        priority: RequestPriority,
    ) -> Result<JobLookup, KeyValueError> {
        if let Some(end) = self.terminal_cache.borrow().get(id) {
            return Ok(JobLookup::Ended(end));
        }
        let sent_at = self.clock.now();
        if let Some((_, version)) = self.kv.get::<IgnoredAny>(&job_key(id), priority).await? {
            self.batched_polls.record_version(id, version, sent_at);
            return Ok(JobLookup::Unfinished(version));
        }
        match self
            .kv
            .get::<EndedJobRecord>(&ended_job_key(id), priority)
            .await?
        {
            Some((end, _)) => {
                self.cache_end(id, end);
                Ok(JobLookup::Ended(end))
            }
            None => Ok(JobLookup::NotFound),
        }
    }

    /// Caches the recorded end of a job. Later polls are answered from the cache.
    pub(crate) fn cache_end(&self, id: &str, end: EndedJobRecord) {
        let now = self.clock.now();
        self.terminal_cache.borrow_mut().put(now, id, end);
    }

    /// Answers a poll. If the state service does not answer this node, a peer is asked. If the
    /// store answers no node, an all-replica read may still give the answer.
    pub(crate) async fn poll_or_relay(self: &Rc<Self>, id: &str) -> Response {
        let response = self.poll(id).await;
        if response.status != 503 {
            return response;
        }
        if let Some(answer) = self.relay_job_request(paths::PEER_POLL, id).await {
            return answer;
        }
        let read = self.all_replica_read(id).await;
        match (read.outcome, read.counts) {
            (ReadOutcome::Ended(end), _) => ended_response(id, end),
            (ReadOutcome::Unfinished, Some(counts)) => counts_response(id, counts),
            (ReadOutcome::Unfinished, None) => {
                self.unfinished_response(id, RequestPriority::Poll).await
            }
            (ReadOutcome::Unknown, _) => response,
        }
    }

    /// Answers a poll from the cache of finished jobs, by comparing the version of the job's
    /// key, or from the job's records.
    pub(crate) async fn poll(self: &Rc<Self>, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::empty(404);
        }
        if let Some(end) = self.terminal_cache.borrow().get(id) {
            return ended_response(id, end);
        }
        match self.compare_version(id).await {
            PollOutcome::Unfinished => {
                return self.unfinished_response(id, RequestPriority::Poll).await;
            }
            PollOutcome::Unanswered => return self.retry_later(),
            PollOutcome::Unknown => {}
        }
        match self.look_up_job(id, RequestPriority::Poll).await {
            Ok(JobLookup::Unfinished(..)) => {
                self.unfinished_response(id, RequestPriority::Poll).await
            }
            Ok(JobLookup::Ended(end)) => ended_response(id, end),
            Ok(JobLookup::NotFound) => Response::empty(404),
            Err(e) => {
                debug!(job = id, reason = %e, "job could not be read for a poll");
                self.retry_later()
            }
        }
    }

    /// Task counts of a job that the leader reported, if they are recent enough to display.
    fn reported_counts(&self, id: &str) -> Option<TaskCounts> {
        let reported = self.reported_progress.borrow();
        let fresh = self.clock.now() - reported.at? < self.tuning.job_progress_max_age_s;
        fresh.then(|| reported.jobs.get(id).copied()).flatten()
    }

    /// Task counts from the job's progress record; `None` if the record can't be read. Without
    /// a record the counts are zero.
    async fn recorded_counts(&self, id: &str, priority: RequestPriority) -> Option<TaskCounts> {
        let key = progress_key(id);
        let record = self.kv.get::<JobProgressRecord>(&key, priority).await;
        let Some((progress, _)) = record.ok()? else {
            return Some(TaskCounts::default());
        };
        Some(TaskCounts {
            done: progress.done_count,
            running: progress.running_at_least(),
        })
    }

    /// Task counts of an unfinished job that are recent enough to display, if any are known.
    async fn current_counts(&self, id: &str, priority: RequestPriority) -> Option<TaskCounts> {
        let counts = match &*self.role.borrow() {
            Role::Leading(leading) => leading.engine.job_progress(self.clock.now(), id),
            Role::Following => self.reported_counts(id),
        };
        match counts {
            Some(counts) => Some(counts),
            None => self.recorded_counts(id, priority).await,
        }
    }

    /// Answers with the status of an unfinished job. Refuses the request if the task counts are
    /// unknown: a job that was shown as running must not be shown as queued because a read
    /// failed, and a job that was stopped must not be shown as running.
    pub(crate) async fn unfinished_response(
        &self,
        id: &str,
        priority: RequestPriority,
    ) -> Response {
        match self.current_counts(id, priority).await {
            Some(counts) => counts_response(id, counts),
            None => self.retry_later(),
        }
    }
}

/// The status of an unfinished job with these task counts.
fn counts_response(id: &str, counts: TaskCounts) -> Response {
    let stage = if counts.running > 0 {
        JobStage::Running
    } else {
        JobStage::Queued
    };
    status_body(200, id, stage, Some(counts))
}

/// The final status of a job.
pub(crate) fn ended_response(id: &str, end: EndedJobRecord) -> Response {
    let counts = TaskCounts {
        done: end.done,
        running: 0,
    };
    status_body(200, id, terminal_stage(end), Some(counts))
}

/// Response to a user with the status of a job.
pub(crate) fn status_body(
    status: u16,
    id: &str,
    state: JobStage,
    counts: Option<TaskCounts>,
) -> Response {
    Response::new(
        status,
        encode(&JobStatus {
            id: id.to_owned(),
            state,
            done: counts.map(|c| c.done),
            running: counts.map(|c| c.running),
        }),
    )
}
