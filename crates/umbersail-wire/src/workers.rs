use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    /// Holds its place while the others of its gang come up.
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "exited")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// One task in a worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "portion")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "stage")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "hob")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "borrowed", default)]
    pub spot: Option<bool>,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "ladle", default)]
    pub token: u64,
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "portions", default)]
    pub tasks: Vec<TaskReport>,
}

impl Report {
    /// The larger one is the newer report of a machine.
    pub fn order(&self) -> (u64, u64) {
        (self.session, self.seq)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "portion")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        /// Addresses of workers that have the task's image or are fetching it, nearest
        /// first: a worker that knows of it fetches from them, and from the store once
        /// none of them gives. Empty: from the store.
        #[serde(rename = "lenders", default, skip_serializing_if = "Vec::is_empty")]
        holders: Vec<String>,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "portion")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "cooldown_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "portion")]
        task: String,
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
pub struct ReportReply {
    #[serde(rename = "ladle")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Names the node to report to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Misdirected {
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "ladle")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
