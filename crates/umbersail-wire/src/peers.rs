use serde::{Deserialize, Serialize};

use crate::JobStatus;

/// How far an unfinished job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Name of the job.
    pub id: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// A machine whose lease a delegate renewed in the leader's stead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedMachine {
    /// Name of the machine.
    pub machine: String,
    /// Milliseconds since the last reply to it.
    #[serde(rename = "ago_ms")]
    pub reply_ago_ms: u64,
}

/// What controllers tell each other about once a second, both ways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the sender.
    pub member: String,
    /// Differs for each start of the process.
    pub incarnation: u64,
    /// Whether the state service answered it lately.
    pub state_reachable: bool,
    /// Highest token that it knows, and who holds it.
    pub token: u64,
    /// Name of the leader that it knows.
    pub leader: Option<String>,
    /// The leader's word on the number of machines.
    #[serde(rename = "machines", default)]
    pub machine_count: usize,
    /// The leader's word on unfinished jobs, for display by the others.
    #[serde(default)]
    pub progress: Vec<JobProgress>,
    /// In an answer of the leader: for how long from its question on the other
    /// may answer workers in the leader's stead.
    #[serde(rename = "keep_ms", default)]
    pub renewal_ms: Option<u64>,
    /// With that: jobs that are over of which tasks may still be about. Workers are told
    /// to stop those.
    #[serde(rename = "over", default)]
    pub ended_jobs: Vec<String>,
    /// Jobs that it lately read or recorded to be cancelled.
    #[serde(rename = "cancelled", default)]
    pub cancelled_jobs: Vec<String>,
    /// How long the process has run.
    #[serde(rename = "up_ms", default)]
    pub uptime_ms: u64,
    /// Machines whose leases it lately renewed in the leader's stead.
    #[serde(rename = "kept", default)]
    pub renewed: Vec<RenewedMachine>,
    /// It leads and may have started tasks that no record tells of.
    #[serde(rename = "open", default)]
    pub unrecorded_starts: bool,
    /// The leader that it knows to have recorded all that it started.
    #[serde(rename = "recorded", default)]
    pub recorded_token: Option<u64>,
    /// It leads, and means to go on.
    #[serde(rename = "leads", default)]
    pub is_leader: bool,
    /// It leads and wants another to.
    #[serde(rename = "resigns", default)]
    pub is_resigning: bool,
    /// The leader's word on who is to lead after it.
    #[serde(rename = "standby", default)]
    pub successor: Option<String>,
    /// How late its timers fire on average.
    #[serde(rename = "lag_ms", default)]
    pub timer_lag_ms: u64,
    /// How long ago the state service last answered it.
    #[serde(rename = "state_ago_ms", default)]
    pub state_answer_ago_ms: Option<u64>,
}

/// A leader asks a peer to agree that it starts tasks without a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DegradedModeRequest {
    /// Name of the leader.
    pub member: String,
    /// The leader's token.
    pub token: u64,
}

/// The peer's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DegradedModeAnswer {
    /// Whether the peer agrees.
    pub agreed: bool,
    /// Jobs that the peer lately read or recorded to be cancelled.
    #[serde(rename = "cancelled", default)]
    pub cancelled_jobs: Vec<String>,
}

/// A controller that the state service does not answer asks every other what it knows
/// of these jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReadRequest {
    /// Names of the jobs.
    pub ids: Vec<String>,
}

/// One replica's answer on a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReadEntry {
    /// How it has ended, if this controller has read or recorded that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<JobStatus>,
    /// How long ago at most the state service showed it unfinished, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unfinished_ago_ms: Option<u64>,
}

/// The answer, in the order of the question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReadAnswer {
    /// For how long this process remembers each end that it has told, milliseconds.
    #[serde(rename = "remembers_ms")]
    pub retention_ms: u64,
    /// What it knows of each job.
    #[serde(rename = "words")]
    pub jobs: Vec<ReplicaReadEntry>,
}
