//! The records in the state service, their keys, and the transactions that write them.

use serde::{Deserialize, Serialize};
use umbersail_wire::{Change, Condition, JobSpec, MachineType, Txn, Value};

/// Key of the [`LeaderRecord`]. The key is attached to the leader's lease and disappears
/// with it.
pub const LEADER_KEY: &str = "leader";
/// Key of the [`GrantRecord`], which names the controller that may schedule on the fleet.
/// One grant covers every machine today; a second grant would be a sibling under `grants/`.
pub const GRANT_KEY: &str = "grants/fleet";
/// Prefix of the [`GrantPart`] records, which list the machines of the grant.
pub const GRANT_PARTS: &str = "grants/fleet/";
/// Prefix of the [`SuspicionRecord`]s of followers, each under the follower's name.
pub const SUSPICIONS: &str = "doubts/";
/// Key of the leader's answer to suspicions, a [`LivenessRecord`]. The write itself proves
/// that the leader is alive.
pub const LIVENESS_KEY: &str = "alive";
/// Key of the [`RecoveryPendingRecord`]. The key exists until the leader knows, and has
/// recorded, all tasks that an earlier holder may have started without a record.
pub const RECOVERY_PENDING_KEY: &str = "unsettled";
/// Key of the machine types, for nodes that start while the cloud API is unavailable.
pub const CATALOGUE_KEY: &str = "catalogue";
/// Prefix of unfinished jobs, as they were accepted.
pub const JOBS: &str = "jobs/";
/// Prefix of the progress records of jobs, which only the leader writes.
pub const JOB_PROGRESS: &str = "runs/";
/// Prefix of ended jobs, which are never deleted.
pub const ENDED_JOBS: &str = "over/";

/// Prefix of plans of any kind, each under its kind and name.
pub const PLANS: &str = "plans/";

/// Key of a plan, named by its kind and name.
pub fn plan_key(name: &str) -> String {
    format!("{PLANS}{name}")
}

/// Key of an unfinished job.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Key of a grant part.
pub fn grant_part_key(index: u32) -> String {
    format!("{GRANT_PARTS}{index}")
}

/// Key under which a follower records its suspicion that the leader has failed.
pub fn suspicion_key(member: &str) -> String {
    format!("{SUSPICIONS}{member}")
}

/// Key of a job's progress record.
pub fn progress_key(id: &str) -> String {
    format!("{JOB_PROGRESS}{id}")
}

/// Key of an ended job.
pub fn ended_job_key(id: &str) -> String {
    format!("{ENDED_JOBS}{id}")
}

/// The current leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader.
    pub member: String,
    /// Identifies the leader's process; differs for each start.
    pub incarnation: u64,
}

/// The holder of the fleet grant. The revision at which the holder received the grant is
/// its fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GrantRecord {
    /// Name of the holder.
    pub holder: String,
    /// The holder keeps a job's progress record for as long as orphaned attempts of the job
    /// may be running, and records their resources there. After a holder whose build did not
    /// do so, a new leader counts the machines as fully occupied (rule 4 of `docs/design.md`).
    #[serde(rename = "keeps_remnants", default)]
    pub keeps_orphaned_attempts: bool,
    /// Plans are recorded, or this holder may record plans. A new leader then reads the plans
    /// before it starts any task, whatever its own settings are.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub plans: bool,
}

/// Machines on which the holder of the grant may have started tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GrantPart {
    /// The machines.
    pub machines: Vec<GrantedMachine>,
}

/// A machine of the grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedMachine {
    /// Name of the machine.
    pub name: String,
    /// Name of the machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Address of the machine's worker; empty if unknown.
    pub addr: String,
}

/// An unfinished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// Time at which the job was first accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// Progress of a job. The record is written before a task is started on a machine, so that
/// a new leader knows which machines may hold which tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct JobProgressRecord {
    /// High-water mark: tasks with this number or a higher one were never started.
    #[serde(rename = "hi")]
    pub high_water: u32,
    /// Completed tasks, in the format of `Bitmap::to_text`.
    #[serde(default)]
    pub done: String,
    /// Machines that may hold tasks of the job.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Number of evictions in which the job lost tasks.
    #[serde(rename = "ev", default)]
    pub evictions: u32,
    /// Number of completed tasks, for display.
    #[serde(default)]
    pub done_count: u32,
    /// Number of running tasks that was known when the record was written.
    #[serde(default)]
    pub running: u32,
    /// Number of attempts of completed tasks that may still be running.
    #[serde(rename = "ex", default, skip_serializing_if = "is_zero")]
    pub orphaned_attempts: u32,
    /// Team of the job. Stored here, as is `size`, for the time after the job's own key was
    /// deleted.
    #[serde(rename = "tm", default)]
    pub team: String,
    /// CPUs, GPUs and GB of memory of one task.
    #[serde(rename = "sz", default)]
    pub size: Option<(f64, f64, f64)>,
    /// The job has failed on every machine on which it was tried. A new leader tries one
    /// task of it at first.
    #[serde(rename = "su", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

impl JobProgressRecord {
    /// Number of running tasks, for display. The record is written before tasks start and
    /// rarely afterwards, so the recorded number may be too low. At least one task counts as
    /// running while a machine may hold a task that is not completed.
    pub fn running_at_least(&self) -> u32 {
        let may_run = !self.hosts.is_empty() && self.high_water > self.done_count;
        self.running.max(u32::from(may_run))
    }
}

// `skip_serializing_if` requires a function that takes a reference.
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// All tasks have completed.
    Done,
    /// The user cancelled the job.
    Cancelled,
}

/// The end of a job. The record is never deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJobRecord {
    /// How the job ended.
    pub outcome: Outcome,
    /// Number of completed tasks.
    pub done: u32,
}

/// The machine types that the cloud returned last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueRecord {
    /// The types.
    pub types: Vec<MachineType>,
}

/// A follower's suspicion that the leader has failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionRecord {
    /// Version of the suspected leader's key.
    pub token: u64,
}

/// The leader's answer to suspicions: a leader with this token is alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// Version of the leader's key.
    pub token: u64,
    /// Whether the leader may have started tasks without a record.
    #[serde(rename = "open", default = "assume_unrecorded")]
    pub may_have_unrecorded: bool,
    /// Revision of the newest suspicion that the leader had read before it wrote this answer.
    #[serde(rename = "answers", default)]
    pub newest_suspicion: u64,
}

/// A record without the field may come from a leader that has started tasks without a
/// record.
fn assume_unrecorded() -> bool {
    true
}

/// The leader that must find and record the tasks started without a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryPendingRecord {
    /// Name of the leader.
    pub member: String,
}

/// A recorded plan. Its content is interpreted by the code for the plan's kind and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRecord {
    /// Version of the content's format; each kind of plan has its own versions.
    #[serde(rename = "v")]
    pub version: u32,
    /// Content of the plan.
    pub plan: Value,
    /// A tombstone: there is no plan, and a delayed transaction that creates the plan must
    /// fail. Older builds take a tombstone for a plan of an unknown version.
    #[serde(rename = "gone", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_tombstone: bool,
}

impl PlanRecord {
    /// Returns the record that marks a deleted plan.
    pub fn tombstone() -> PlanRecord {
        PlanRecord {
            version: 0,
            plan: Value::Nil,
            is_tombstone: true,
        }
    }
}

/// A record of any type, for writing.
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

/// A transaction that is valid only during one leader's term. If it is executed late, under
/// another leader, it fails.
fn during_term(token: u64, change: Change<Record>) -> Txn<Record> {
    Txn {
        conditions: vec![Condition {
            key: LEADER_KEY.into(),
            version: token,
        }],
        changes: vec![change],
    }
}

/// Accepts a job. If the transaction was retried and the first attempt is executed late, it
/// conflicts with the job's key, or with the record of its end, which is never deleted.
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

/// Cancels a job whose key has this version. The version does not change until the job
/// ends, and the key is never written again. If the transaction was retried and the first
/// attempt is executed late, it conflicts because the key is gone.
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

/// Makes `leader` the leader and the holder of the fleet grant. Every election changes the
/// version of the grant. An election transaction that is executed late therefore fails after
/// any other election, even if the leader elected there has lost its term since.
pub fn election_txn(
    leader: LeaderRecord,
    lease: u64,
    replaced_version: u64,
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
            condition(LEADER_KEY, replaced_version),
            condition(GRANT_KEY, grant_version),
        ],
        changes,
    }
}

/// Replaces the recorded machine types of this version. If the transaction was retried and
/// the first attempt is executed late, it does not undo the retry.
pub fn catalogue_txn(token: u64, version: u64, types: Vec<MachineType>) -> Txn<Record> {
    let record = Record::Catalogue(CatalogueRecord { types });
    let mut txn = during_term(token, put(CATALOGUE_KEY.into(), record));
    txn.conditions.push(Condition {
        key: CATALOGUE_KEY.into(),
        version,
    });
    txn
}

/// Records a follower's suspicion. A duplicate suspicion is harmless.
pub fn suspicion_txn(member: &str, token: u64) -> Txn<Record> {
    let record = Record::Suspicion(SuspicionRecord { token });
    during_term(token, put(suspicion_key(member), record))
}

/// Records the leader's answer. The answer names the newest suspicion that it covers, so a
/// late write does not count as the answer to a newer suspicion.
pub fn liveness_txn(record: LivenessRecord) -> Txn<Record> {
    during_term(
        record.token,
        put(LIVENESS_KEY.into(), Record::Liveness(record)),
    )
}
