//! What stands in the state service, and under which keys.

use serde::{Deserialize, Serialize};
use umbersail_wire::{JobSpec, MachineType, Value};

/// Who leads; attached to the leader's state lease.
pub const LEADER_KEY: &str = "leader";
/// The grant of the machine block. One block holds every machine today; a
/// second would be a sibling under `grants/`.
pub const GRANT_KEY: &str = "grants/fleet";
/// The machines of the block, in parts.
pub const GRANT_PARTS: &str = "grants/fleet/";
/// Followers that ask whether the leader lives, each under its name.
pub const DOUBTS: &str = "doubts/";
/// The leader's answer to them: what counts is that it was written.
pub const ALIVE_KEY: &str = "alive";
/// Stands while the leader has not accounted for all that a holder before it may
/// have started without a record.
pub const UNSETTLED_KEY: &str = "unsettled";
/// The machine types, for nodes that start while the cloud does not answer.
pub const CATALOGUE_KEY: &str = "catalogue";
/// Unfinished jobs, as accepted.
pub const JOBS: &str = "jobs/";
/// Progress of unfinished jobs, written by the controller only.
pub const RUNS: &str = "runs/";
/// Finished jobs, kept for ever.
pub const OVER: &str = "over/";

/// Plans of any kind: each under its kind and name.
pub const PLANS: &str = "plans/";

pub fn plan_key(name: &str) -> String {
    format!("{PLANS}{name}")
}

pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

pub fn part_key(index: u32) -> String {
    format!("{GRANT_PARTS}{index}")
}

pub fn doubt_key(member: &str) -> String {
    format!("{DOUBTS}{member}")
}

pub fn run_key(id: &str) -> String {
    format!("{RUNS}{id}")
}

pub fn over_key(id: &str) -> String {
    format!("{OVER}{id}")
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    pub incarnation: u64,
}

/// Who holds the block; the revision that moved it is its token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GrantRecord {
    pub holder: String,
    /// The holder keeps a job's progress for as long as attempts of it may be
    /// about, and says there what they take. A build that did not leaves a
    /// successor machines that count by their whole size (rule 4).
    #[serde(default)]
    pub keeps_remnants: bool,
    /// Plans are recorded, or may be by this holder: a successor reads them before it
    /// starts anything, whatever its own settings.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub plans: bool,
}

/// Machines that the holder of the block may have started tasks on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GrantPart {
    pub machines: Vec<GrantedMachine>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedMachine {
    pub name: String,
    #[serde(rename = "type")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub addr: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day of the first attempt that was accepted.
    pub accepted_ms: u64,
}

/// How far a job has come. Written before a task is started on a machine, so
/// that a successor knows which machines may hold which tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct RunRecord {
    /// Tasks from this number on were never started.
    #[serde(rename = "hi")]
    pub high: u32,
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
    #[serde(default)]
    pub running: u32,
    /// Attempts of completed tasks that may still be about.
    #[serde(rename = "ex", default, skip_serializing_if = "is_zero")]
    pub extra: u32,
    /// Whose it is and what one task takes, for when the job's own key is gone.
    #[serde(rename = "tm", default)]
    pub team: String,
    #[serde(rename = "sz", default)]
    pub size: Option<(f64, f64, f64)>,
    /// It has failed on every machine that it tried: a successor tries one task.
    #[serde(rename = "su", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

// The signature is serde's.
fn is_zero(count: &u32) -> bool {
    *count == 0
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    Done,
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    pub outcome: Outcome,
    /// Completed tasks.
    pub done: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueRecord {
    pub types: Vec<MachineType>,
}

/// A follower asks whether the leader whose key has this version lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtRecord {
    pub token: u64,
}

/// The leader whose key has this version lives; whether it may have started tasks
/// that no record tells of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AliveRecord {
    pub token: u64,
    #[serde(default = "unsaid")]
    pub open: bool,
    /// The newest doubt that it had seen before it said so.
    #[serde(default)]
    pub answers: u64,
}

/// Who does not say whether it is open may be.
fn unsaid() -> bool {
    true
}

/// The leader that has to account for starts without a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledRecord {
    pub member: String,
}

/// A plan as recorded. What it says is read by those who know the kind and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRecord {
    #[serde(rename = "v")]
    pub version: u32,
    pub plan: Value,
}

/// Any record, to be written.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    Leader(LeaderRecord),
    Grant(GrantRecord),
    GrantPart(GrantPart),
    Job(JobRecord),
    Run(RunRecord),
    Over(OverRecord),
    Catalogue(CatalogueRecord),
    Doubt(DoubtRecord),
    Alive(AliveRecord),
    Unsettled(UnsettledRecord),
    Plan(PlanRecord),
}
