use serde::{Deserialize, Serialize};

use crate::JobStatus;

/// Task counts of an unfinished job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// Progress of an unfinished job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Name of the job.
    pub id: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// A machine whose lease a delegate renewed on the leader's behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedMachine {
    /// Name of the machine.
    pub machine: String,
    /// Milliseconds since the delegate last answered a heartbeat of the machine.
    #[serde(rename = "ago_ms")]
    pub reply_ago_ms: u64,
}

/// The message that controllers exchange about once a second, both as request and as
/// answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the sender.
    pub member: String,
    /// A number that differs for each start of the process.
    pub incarnation: u64,
    /// Whether the state service has recently answered the sender.
    pub state_reachable: bool,
    /// Highest fencing token that the sender knows.
    pub token: u64,
    /// Name of the leader that holds this token, if the sender knows the leader.
    pub leader: Option<String>,
    /// Number of machines, set by the leader only.
    #[serde(rename = "machines", default)]
    pub machine_count: usize,
    /// Progress of unfinished jobs, set by the leader only; followers show these counts to
    /// users.
    #[serde(default)]
    pub progress: Vec<JobProgress>,
    /// In an answer of the leader: for how many milliseconds the receiver may answer
    /// workers on the leader's behalf, counted from the moment when it sent its request.
    #[serde(rename = "keep_ms", default)]
    pub renewal_ms: Option<u64>,
    /// Sent with `renewal_ms`: ended jobs of which tasks may still be running. The receiver
    /// tells workers to stop these tasks.
    #[serde(rename = "over", default)]
    pub ended_jobs: Vec<String>,
    /// Jobs that the sender has recently recorded as cancelled, or whose cancellation it has
    /// recently read.
    #[serde(rename = "cancelled", default)]
    pub cancelled_jobs: Vec<String>,
    /// Milliseconds since the process started.
    #[serde(rename = "up_ms", default)]
    pub uptime_ms: u64,
    /// Machines whose leases the sender has recently renewed on the leader's behalf.
    #[serde(rename = "kept", default)]
    pub renewed: Vec<RenewedMachine>,
    /// Whether the sender is the leader and may have started tasks without a record
    /// (degraded mode).
    #[serde(rename = "open", default)]
    pub unrecorded_starts: bool,
    /// Fencing token of the leader that, as far as the sender knows, has recorded every task
    /// it started.
    #[serde(rename = "recorded", default)]
    pub recorded_token: Option<u64>,
    /// Whether the sender is the leader and intends to remain the leader.
    #[serde(rename = "leads", default)]
    pub is_leader: bool,
    /// Whether the sender is the leader and wants to hand over leadership.
    #[serde(rename = "resigns", default)]
    pub is_resigning: bool,
    /// Name of the controller that is to succeed the leader, set by the leader only.
    #[serde(rename = "standby", default)]
    pub successor: Option<String>,
    /// Average delay of the sender's timers in milliseconds.
    #[serde(rename = "lag_ms", default)]
    pub timer_lag_ms: u64,
    /// Milliseconds since the state service last answered the sender.
    #[serde(rename = "state_ago_ms", default)]
    pub state_answer_ago_ms: Option<u64>,
}

/// The leader's request that a peer agrees to degraded mode: starting tasks without a
/// record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DegradedModeRequest {
    /// Name of the leader.
    pub member: String,
    /// The leader's fencing token.
    pub token: u64,
}

/// A peer's answer to a [`DegradedModeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DegradedModeAnswer {
    /// Whether the peer agrees.
    pub agreed: bool,
    /// Jobs that the peer has recently recorded as cancelled, or whose cancellation it has
    /// recently read.
    #[serde(rename = "cancelled", default)]
    pub cancelled_jobs: Vec<String>,
}

/// A controller that gets no answer from the state service asks every other controller
/// what that one knows of these jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReadRequest {
    /// Names of the jobs.
    pub ids: Vec<String>,
}

/// One controller's answer on one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReadEntry {
    /// Final status of the job, if this controller has read or recorded that the job ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<JobStatus>,
    /// Upper bound, in milliseconds, on the time since the state service showed the job as
    /// unfinished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unfinished_ago_ms: Option<u64>,
    /// Task counts of the unfinished job, if this controller is the leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counts: Option<TaskCounts>,
}

/// The answer to a [`ReplicaReadRequest`], in the order of its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReadAnswer {
    /// For how many milliseconds this process has kept the end of every job that it reported
    /// to users.
    #[serde(rename = "remembers_ms")]
    pub retention_ms: u64,
    /// One entry for each job.
    #[serde(rename = "words")]
    pub jobs: Vec<ReplicaReadEntry>,
}
