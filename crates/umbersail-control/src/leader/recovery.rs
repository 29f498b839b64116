//! What a new leader reads before it acts: jobs, their progress, the grant, plans (rules 3
//! and 4).

use std::collections::BTreeMap;

use umbersail_runtime::{Time, sleep};
use umbersail_wire::{KeyValue, Value};

use super::LeaderLease;
use super::election::Elected;
use crate::engine::{InheritedJob, InheritedPart, InheritedPlan, InheritedState};
use crate::node::Node;
use crate::records::{
    GRANT_PARTS, GrantPart, JOB_PROGRESS, JOBS, JobProgressRecord, JobRecord, PLANS,
};
use crate::state::{KeyValueError, RequestPriority};

/// Pause before what could not be read is read again, in seconds.
const RETRY_S: Time = 0.2;

/// What the predecessor left, and how far it is known.
pub(super) struct Recovered {
    pub inheritance: InheritedState,
    /// The jobs are those of this revision.
    pub revision: u64,
    /// They were read after this time.
    pub jobs_read_at: Time,
}

/// A part of the grant's record as the list shows it.
fn inherited_part(pair: KeyValue<GrantPart>) -> Option<InheritedPart> {
    let index = pair.key.strip_prefix(GRANT_PARTS)?.parse().ok()?;
    Some(InheritedPart {
        index,
        version: pair.version,
        part: pair.value,
    })
}

/// A plan's record as the list shows it.
fn inherited_plan(pair: KeyValue<Value>) -> InheritedPlan {
    let name = pair.key.strip_prefix(PLANS).unwrap_or_default();
    InheritedPlan {
        name: name.to_owned(),
        version: pair.version,
        value: pair.value,
    }
}

impl Node {
    /// Reads what the predecessor left, as often as it takes; none once the lease is over.
    pub(super) async fn read_predecessor(
        &self,
        elected: Elected,
        lease: &LeaderLease,
    ) -> Option<Recovered> {
        while !lease.is_lost() && self.clock.now() < lease.renew_until() {
            match self.try_read_predecessor(elected).await {
                Ok(recovered) => return Some(recovered),
                Err(_) => sleep(RETRY_S).await,
            }
        }
        None
    }

    async fn try_read_predecessor(&self, elected: Elected) -> Result<Recovered, KeyValueError> {
        let jobs_read_at = self.clock.now();
        let jobs = self
            .kv
            .list::<JobRecord>(JOBS, RequestPriority::Critical)
            .await;
        let runs = self
            .kv
            .list::<JobProgressRecord>(JOB_PROGRESS, RequestPriority::Critical)
            .await;
        let parts = self
            .kv
            .list::<GrantPart>(GRANT_PARTS, RequestPriority::Critical)
            .await;
        let ((jobs, revision), (runs, _), (parts, _)) = (jobs?, runs?, parts?);
        let plans = match elected.plans {
            true => {
                self.kv
                    .list::<Value>(PLANS, RequestPriority::Critical)
                    .await?
                    .0
            }
            false => Vec::new(),
        };
        let mut progress = progress_by_job(runs);
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
        let over = progress.into_iter().map(|(id, (run, _))| (id, run));
        let inheritance = InheritedState {
            revision: elected.token,
            leader_version: elected.token,
            grant_parts: parts.into_iter().filter_map(inherited_part).collect(),
            jobs,
            finished_jobs: over.collect(),
            count_whole_machines: elected.whole_machines,
            predecessor_degraded: elected.predecessor_degraded,
            types: self.machine_types.borrow().clone(),
            plans: plans.into_iter().map(inherited_plan).collect(),
        };
        Ok(Recovered {
            inheritance,
            revision,
            jobs_read_at,
        })
    }
}

/// Records of progress with their versions, by job.
fn progress_by_job(
    runs: Vec<KeyValue<JobProgressRecord>>,
) -> BTreeMap<String, (JobProgressRecord, u64)> {
    let by_job = |pair: KeyValue<JobProgressRecord>| {
        let id = pair.key.strip_prefix(JOB_PROGRESS)?.to_owned();
        Some((id, (pair.value, pair.version)))
    };
    runs.into_iter().filter_map(by_job).collect()
}
