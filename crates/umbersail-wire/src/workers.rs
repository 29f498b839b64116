use serde::{Deserialize, Serialize};

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// It waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Holds its place while the others of its gang come up.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It saves its work before it stops.
    #[serde(rename = "flushing")]
    Saving,
    /// It has exited.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// It has completed.
    #[serde(rename = "done")]
    Done,
    /// It was stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: the machine has no room for it.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Refused: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// Refused: there is no such job or task.
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// One task in a worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the task.
    #[serde(rename = "portion")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it has exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
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
    /// The zone.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed", default)]
    pub spot: Option<bool>,
    /// Session of the worker; a new one begins when its lease expires.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Increases with every report.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token that the worker has seen.
    #[serde(rename = "ladle", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine, once that is announced.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// The tasks on the machine.
    #[serde(rename = "portions", default)]
    pub tasks: Vec<TaskReport>,
}

impl Heartbeat {
    /// The larger one is the newer report of a machine.
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
        /// first: a worker that knows of it fetches from them, and from the store once
        /// none of them gives. Empty: from the store.
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
        /// Seconds that it has to save its work.
        #[serde(rename = "cooldown_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the reports.
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
    /// Stops an attempt that a report shows, with `grace_s` seconds to save.
    pub fn stop(shown: &TaskReport, grace_s: f64) -> Command {
        Command::Stop {
            task: shown.task.clone(),
            attempt: shown.attempt,
            grace_s,
        }
    }
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's token.
    #[serde(rename = "ladle")]
    pub token: u64,
    /// Commands to carry out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Names the node to report to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Misdirected {
    /// Address for later reports.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub heartbeat_to: Option<String>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's token.
    #[serde(rename = "ladle")]
    pub token: u64,
    /// Session of the worker that the commands are meant for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands to carry out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
