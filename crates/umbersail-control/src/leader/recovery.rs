//! Recovery: a new leader reads jobs, their progress, the fleet grant and the plans before
//! it schedules anything (rules 3 and 4 of `docs/design.md`).

use std::collections::BTreeMap;

use umbersail_runtime::{Time, sleep};
use umbersail_wire::{KeyValue, Value};

use super::LeaderLease;
use super::election::WonElection;
use crate::engine::{InheritedJob, InheritedPart, InheritedPlan, InheritedState};
use crate::node::Node;
use crate::records::{
    GRANT_PARTS, GrantPart, JOB_PROGRESS, JOBS, JobProgressRecord, JobRecord, PLANS,
};
use crate::state::{KeyValueError, RequestPriority};

/// Pause before a failed read is repeated, in seconds.
const RETRY_S: Time = 0.2;

/// The recovered records, and how current they are.
pub(super) struct RecoveredState {
    pub inheritance: InheritedState,
    /// Revision at which the jobs were listed.
    pub revision: u64,
    /// Time just before the jobs were listed.
    pub jobs_read_at: Time,
}

/// Converts a listed record of a grant part. Returns `None` if the key is malformed.
fn inherited_part(pair: KeyValue<GrantPart>) -> Option<InheritedPart> {
    let index = pair.key.strip_prefix(GRANT_PARTS)?.parse().ok()?;
    Some(InheritedPart {
        index,
        version: pair.version,
        part: pair.value,
    })
}

/// Converts a listed plan record.
fn inherited_plan(pair: KeyValue<Value>) -> InheritedPlan {
    let name = pair.key.strip_prefix(PLANS).unwrap_or_default();
    InheritedPlan {
        name: name.to_owned(),
        version: pair.version,
        value: pair.value,
    }
}

impl Node {
    /// Reads the records of the previous leader, and retries until the read succeeds. Returns
    /// `None` once the lease is lost or its renewal deadline has passed.
    pub(super) async fn recover_state(
        &self,
        elected: WonElection,
        lease: &LeaderLease,
    ) -> Option<RecoveredState> {
        while !lease.is_lost() && self.clock.now() < lease.renew_until() {
            match self.try_recover_state(elected).await {
                Ok(recovered) => return Some(recovered),
                Err(_) => sleep(RETRY_S).await,
            }
        }
        None
    }

    async fn try_recover_state(
        &self,
        elected: WonElection,
    ) -> Result<RecoveredState, KeyValueError> {
        let jobs_read_at = self.clock.now();
        let jobs = self
            .kv
            .list::<JobRecord>(JOBS, RequestPriority::Critical)
            .await;
        let progress_records = self
            .kv
            .list::<JobProgressRecord>(JOB_PROGRESS, RequestPriority::Critical)
            .await;
        let parts = self
            .kv
            .list::<GrantPart>(GRANT_PARTS, RequestPriority::Critical)
            .await;
        let ((jobs, revision), (progress_records, _), (parts, _)) =
            (jobs?, progress_records?, parts?);
        let plans = match elected.plans {
            true => {
                self.kv
                    .list::<Value>(PLANS, RequestPriority::Critical)
                    .await?
                    .0
            }
            false => Vec::new(),
        };
        let mut progress = progress_by_job(progress_records);
        let jobs = jobs
            .into_iter()
            .map(|pair| {
                let id = &pair.value.spec.id;
                self.batched_polls
                    .record_version(id, pair.version, jobs_read_at);
                InheritedJob {
                    run: progress.remove(id),
                    record: pair.value,
                    version: pair.version,
                }
            })
            .collect();
        let ended_jobs = progress.into_iter().map(|(id, (record, _))| (id, record));
        let inheritance = InheritedState {
            revision: elected.token,
            leader_version: elected.token,
            grant_parts: parts.into_iter().filter_map(inherited_part).collect(),
            jobs,
            finished_jobs: ended_jobs.collect(),
            count_whole_machines: elected.count_whole_machines,
            predecessor_degraded: elected.predecessor_degraded,
            types: self.machine_types.borrow().clone(),
            plans: plans.into_iter().map(inherited_plan).collect(),
        };
        Ok(RecoveredState {
            inheritance,
            revision,
            jobs_read_at,
        })
    }
}

/// Progress records with their versions, by job id.
fn progress_by_job(
    progress_records: Vec<KeyValue<JobProgressRecord>>,
) -> BTreeMap<String, (JobProgressRecord, u64)> {
    let by_job = |pair: KeyValue<JobProgressRecord>| {
        let id = pair.key.strip_prefix(JOB_PROGRESS)?.to_owned();
        Some((id, (pair.value, pair.version)))
    };
    progress_records.into_iter().filter_map(by_job).collect()
}
