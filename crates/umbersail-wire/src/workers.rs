use serde::{Deserialize, Serialize};

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The worker is fetching the task's image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The image is present; the task waits until the other tasks of its gang are ready.
    #[serde(rename = "waiting")]
    Waiting,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task is saving a checkpoint before it stops.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has exited.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// The task has completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: the machine has too few free resources for the task.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Refused: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// Refused: there is no such job or task.
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause that this version does not define.
    #[serde(other)]
    Other,
}

/// One task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the task.
    #[serde(rename = "portion")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why the attempt has exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether a checkpoint was saved before the exit.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's periodic message to the controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "hob")]
    pub machine: String,
    /// Address of the worker.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "borrowed", default)]
    pub spot: Option<bool>,
    /// Session of the worker; a new one begins when its lease expires.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Increases with every heartbeat of the session.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "ladle", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine, once the cloud has announced it.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// The tasks on the machine.
    #[serde(rename = "portions", default)]
    pub tasks: Vec<TaskReport>,
}

impl Heartbeat {
    /// Of two heartbeats of a machine, the one with the larger key is the newer.
    pub fn ordering_key(&self) -> (u64, u64) {
        (self.session, self.seq)
    }
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts a task.
    #[serde(rename = "launch")]
    Start {
        /// Name of the task.
        #[serde(rename = "portion")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Addresses of workers that have the task's image or are fetching it, nearest
        /// first. A worker that supports peer-to-peer transfer fetches the image from
        /// them, and from the image store if none of them serves it. If empty, the worker
        /// fetches from the image store.
        #[serde(rename = "lenders", default, skip_serializing_if = "Vec::is_empty")]
        image_sources: Vec<String>,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// Name of the task.
        #[serde(rename = "portion")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the task has for saving a checkpoint.
        #[serde(rename = "cooldown_s")]
        grace_s: f64,
    },
    /// Tells the worker to omit an exited task from further heartbeats.
    #[serde(rename = "reap")]
    Forget {
        /// Name of the task.
        #[serde(rename = "portion")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Command {
    /// Stops an attempt that a heartbeat lists, with `grace_s` seconds to save a checkpoint.
    pub fn stop(listed: &TaskReport, grace_s: f64) -> Command {
        Command::Stop {
            task: listed.task.clone(),
            attempt: listed.attempt,
            grace_s,
        }
    }
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's fencing token.
    #[serde(rename = "ladle")]
    pub token: u64,
    /// Commands that the worker is to execute.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Directs a worker to the controller that its heartbeats should go to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Misdirected {
    /// Name of that controller; absent if none is known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub heartbeat_to: Option<String>,
}

/// Commands that the leader sends to a worker without waiting for its next heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's fencing token.
    #[serde(rename = "ladle")]
    pub token: u64,
    /// Session of the worker that the commands are addressed to.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands that the worker is to execute.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
