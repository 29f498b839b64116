//! What stands in the state service, and under which keys.

use serde::{Deserialize, Serialize};
use umbersail_wire::{Change, Condition, JobSpec, MachineType, Txn, Value};

/// Who leads; attached to the leader's state lease.
pub const LEADER_KEY: &str = "leader";
/// The grant of the machine block. One block holds every machine today; a
/// second would be a sibling under `grants/`.
pub const GRANT_KEY: &str = "grants/fleet";
/// The machines of the block, in parts.
pub const GRANT_PARTS: &str = "grants/fleet/";
/// Followers that ask whether the leader lives, each under its name.
pub const SUSPICIONS: &str = "doubts/";
/// The leader's answer to them: what counts is that it was written.
pub const LIVENESS_KEY: &str = "alive";
/// Stands while the leader has not accounted for all that a holder before it may
/// have started without a record.
pub const RECOVERY_PENDING_KEY: &str = "unsettled";
/// The machine types, for nodes that start while the cloud does not answer.
pub const CATALOGUE_KEY: &str = "catalogue";
/// Unfinished jobs, as accepted.
pub const JOBS: &str = "jobs/";
/// Progress of unfinished jobs, written by the controller only.
pub const JOB_PROGRESS: &str = "runs/";
/// Finished jobs, kept for ever.
pub const ENDED_JOBS: &str = "over/";

/// Plans of any kind: each under its kind and name.
pub const PLANS: &str = "plans/";

/// Key of a plan, named by its kind and name.
pub fn plan_key(name: &str) -> String {
    format!("{PLANS}{name}")
}

/// Key of an unfinished job.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Key of a part of the grant.
pub fn grant_part_key(index: u32) -> String {
    format!("{GRANT_PARTS}{index}")
}

/// Key under which a follower asks whether the leader lives.
pub fn suspicion_key(member: &str) -> String {
    format!("{SUSPICIONS}{member}")
}

/// Key of a job's progress.
pub fn progress_key(id: &str) -> String {
    format!("{JOB_PROGRESS}{id}")
}

/// Key of a job's end.
pub fn ended_job_key(id: &str) -> String {
    format!("{ENDED_JOBS}{id}")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader.
    pub member: String,
    /// Differs for each start of its process.
    pub incarnation: u64,
}

/// Who holds the block; the revision that moved it is its token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GrantRecord {
    /// Name of the holder.
    pub holder: String,
    /// The holder keeps a job's progress for as long as attempts of it may be
    /// about, and says there what they take. A build that did not leaves a
    /// successor machines that count by their whole size (rule 4).
    #[serde(rename = "keeps_remnants", default)]
    pub keeps_orphaned_attempts: bool,
    /// Plans are recorded, or may be by this holder: a successor reads them before it
    /// starts anything, whatever its own settings.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub plans: bool,
}

/// Machines that the holder of the block may have started tasks on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GrantPart {
    /// The machines.
    pub machines: Vec<GrantedMachine>,
}

/// A machine of the block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedMachine {
    /// Its name.
    pub name: String,
    /// Name of its type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address of its worker; empty if it was not known.
    pub addr: String,
}

/// An unfinished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// Time of day of the first attempt that was accepted.
    pub accepted_ms: u64,
}

/// How far a job has come. Written before a task is started on a machine, so
/// that a successor knows which machines may hold which tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct JobProgressRecord {
    /// Tasks from this number on were never started.
    #[serde(rename = "hi")]
    pub high_water: u32,
    /// Completed tasks, see `Bitmap::to_text`.
    #[serde(default)]
    pub done: String,
    /// Machines that may hold tasks of the job.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// How often the job lost tasks to eviction.
    #[serde(rename = "ev", default)]
    pub evictions: u32,
    /// For display.
    #[serde(default)]
    pub done_count: u32,
    /// Tasks that run, as far as was known when it was written.
    #[serde(default)]
    pub running: u32,
    /// Attempts of completed tasks that may still be about.
    #[serde(rename = "ex", default, skip_serializing_if = "is_zero")]
    pub orphaned_attempts: u32,
    /// Whose it is and what one task takes, for when the job's own key is gone.
    #[serde(rename = "tm", default)]
    pub team: String,
    /// CPUs, GPUs and GB of memory of one task.
    #[serde(rename = "sz", default)]
    pub size: Option<(f64, f64, f64)>,
    /// It has failed on every machine that it tried: a successor tries one task.
    #[serde(rename = "su", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

impl JobProgressRecord {
    /// Running tasks for display. The record is written before tasks start and seldom when
    /// they do: one runs at least while a machine may hold one that is not done.
    pub fn running_at_least(&self) -> u32 {
        let may_run = !self.hosts.is_empty() && self.high_water > self.done_count;
        self.running.max(u32::from(may_run))
    }
}

// The signature is serde's.
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// All its tasks have completed.
    Done,
    /// Its user has cancelled it.
    Cancelled,
}

/// The end of a job, kept for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJobRecord {
    /// How it ended.
    pub outcome: Outcome,
    /// Completed tasks.
    pub done: u32,
}

/// The machine types, as the cloud gave them last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueRecord {
    /// The types.
    pub types: Vec<MachineType>,
}

/// A follower asks whether the leader whose key has this version lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionRecord {
    /// Version of that leader's key.
    pub token: u64,
}

/// The leader whose key has this version lives; whether it may have started tasks
/// that no record tells of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// Version of the leader's key.
    pub token: u64,
    /// Whether it may have started tasks that no record tells of.
    #[serde(rename = "open", default = "assume_unrecorded")]
    pub may_have_unrecorded: bool,
    /// The newest suspicion that it had seen before it said so.
    #[serde(rename = "answers", default)]
    pub newest_suspicion: u64,
}

/// Who does not say whether it is open may be.
fn assume_unrecorded() -> bool {
    true
}

/// The leader that has to account for starts without a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryPendingRecord {
    /// Name of the leader.
    pub member: String,
}

/// A plan as recorded. What it says is read by those who know the kind and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRecord {
    /// Version of what it says, by its kind.
    #[serde(rename = "v")]
    pub version: u32,
    /// What it says.
    pub plan: Value,
    /// A tombstone: there is no plan, and a late creation of one is to fail. To an older
    /// build it is a plan of a version that it does not know.
    #[serde(rename = "gone", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_tombstone: bool,
}

impl PlanRecord {
    /// A record that there is no plan.
    pub fn tombstone() -> PlanRecord {
        PlanRecord {
            version: 0,
            plan: Value::Nil,
            is_tombstone: true,
        }
    }
}

/// Any record, to be written.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// Under [`LEADER_KEY`].
    Leader(LeaderRecord),
    /// Under [`GRANT_KEY`].
    Grant(GrantRecord),
    /// Under [`GRANT_PARTS`].
    GrantPart(GrantPart),
    /// Under [`JOBS`].
    Job(JobRecord),
    /// Under [`JOB_PROGRESS`].
    JobProgress(JobProgressRecord),
    /// Under [`ENDED_JOBS`].
    EndedJob(EndedJobRecord),
    /// Under [`CATALOGUE_KEY`].
    Catalogue(CatalogueRecord),
    /// Under [`SUSPICIONS`].
    Suspicion(SuspicionRecord),
    /// Under [`LIVENESS_KEY`].
    Liveness(LivenessRecord),
    /// Under [`RECOVERY_PENDING_KEY`].
    RecoveryPending(RecoveryPendingRecord),
    /// Under [`PLANS`].
    Plan(PlanRecord),
}

fn put(key: String, value: Record) -> Change<Record> {
    Change::Put {
        key,
        value,
        lease: None,
    }
}

/// A transaction for the time of one leader: carried out late, it fails under the next.
fn under(token: u64, change: Change<Record>) -> Txn<Record> {
    Txn {
        conditions: vec![Condition {
            key: LEADER_KEY.into(),
            version: token,
        }],
        changes: vec![change],
    }
}

/// Accepts a job. A first try carried out late finds the job, or its end, which is kept
/// for ever.
pub fn acceptance_txn(record: JobRecord) -> Txn<Record> {
    let (job, over) = (job_key(&record.spec.id), ended_job_key(&record.spec.id));
    let absent = |key: &String| Condition {
        key: key.clone(),
        version: 0,
    };
    Txn {
        conditions: vec![absent(&job), absent(&over)],
        changes: vec![put(job, Record::Job(record))],
    }
}

/// Cancels a job whose key has this version. The key keeps it until the job ends and
/// never comes back, so a first try carried out late finds it gone.
pub fn cancellation_txn(id: &str, version: u64, over: EndedJobRecord) -> Txn<Record> {
    Txn {
        conditions: vec![Condition {
            key: job_key(id),
            version,
        }],
        changes: vec![
            Change::Delete { key: job_key(id) },
            put(ended_job_key(id), Record::EndedJob(over)),
        ],
    }
}

/// Makes `leader` the holder of the block. Every election moves the grant, so one carried
/// out late fails after any other, also when that one's leader has ended.
pub fn election_txn(
    leader: LeaderRecord,
    lease: u64,
    former: u64,
    (grant_version, plans): (u64, bool),
    recovery_pending: bool,
) -> Txn<Record> {
    let member = leader.member.clone();
    let grant = GrantRecord {
        holder: member.clone(),
        keeps_orphaned_attempts: true,
        plans,
    };
    let condition = |key: &str, version| Condition {
        key: key.into(),
        version,
    };
    let mut changes = vec![
        Change::Put {
            key: LEADER_KEY.into(),
            value: Record::Leader(leader),
            lease: Some(lease),
        },
        put(GRANT_KEY.into(), Record::Grant(grant)),
    ];
    if recovery_pending {
        let record = Record::RecoveryPending(RecoveryPendingRecord { member });
        changes.push(put(RECOVERY_PENDING_KEY.into(), record));
    }
    Txn {
        conditions: vec![
            condition(LEADER_KEY, former),
            condition(GRANT_KEY, grant_version),
        ],
        changes,
    }
}

/// Records the machine types in place of those of this version: a first try carried out
/// late does not undo a retry.
pub fn catalogue_txn(token: u64, version: u64, types: Vec<MachineType>) -> Txn<Record> {
    let record = Record::Catalogue(CatalogueRecord { types });
    let mut txn = under(token, put(CATALOGUE_KEY.into(), record));
    txn.conditions.push(Condition {
        key: CATALOGUE_KEY.into(),
        version,
    });
    txn
}

/// Asks the leader whether it lives; one question more does no harm.
pub fn suspicion_txn(member: &str, token: u64) -> Txn<Record> {
    let record = Record::Suspicion(SuspicionRecord { token });
    under(token, put(suspicion_key(member), record))
}

/// The leader's answer; it says to which suspicion, so that a late one proves nothing newer.
pub fn liveness_txn(record: LivenessRecord) -> Txn<Record> {
    under(
        record.token,
        put(LIVENESS_KEY.into(), Record::Liveness(record)),
    )
}
