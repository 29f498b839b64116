use std::collections::BTreeMap;

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::decode;

/// How the tasks of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Job array: independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority tier of a job, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// The lowest priority.
    Low,
    /// The default priority.
    Normal,
    /// Goes before normal jobs.
    High,
    /// The highest priority.
    Production,
}

/// A job as the user submits it and as its record stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job.
    pub id: String,
    /// Class of the job; run times and load are learned for each class.
    #[serde(rename = "recipe")]
    pub class: String,
    /// Team that owns the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Whether the job is an array or a service.
    #[serde(rename = "cut")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "portions")]
    pub tasks: u32,
    /// CPUs of a task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of a task.
    #[serde(default)]
    pub gpus: Option<f64>,
    /// Memory of a task in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Name of the container image.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Machine types that the job may use; all if absent.
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Zone that the job must use; any zone if absent.
    #[serde(rename = "field", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "together", default)]
    pub one_zone: Option<bool>,
    /// Whether at most half of the tasks may run in any one zone.
    #[serde(default)]
    pub spread: Option<bool>,
    /// Whether the job may run on spot machines.
    #[serde(rename = "borrowed", default)]
    pub spot: Option<bool>,
    /// The owner's estimate of a task's run time in seconds.
    #[serde(rename = "cook_s")]
    pub estimate_s: f64,
    /// Seconds between checkpoints; absent or 0 if the job saves none.
    #[serde(rename = "stir_s", default)]
    pub checkpoint_s: Option<f64>,
    /// Seconds that saving a checkpoint takes.
    #[serde(rename = "bottle_s", default)]
    pub save_s: Option<f64>,
    /// Deadline in seconds after the submission; absent if the job has none.
    #[serde(rename = "serve_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length in bytes of the name of a class, team, image, zone or machine type.
const MAX_NAME_BYTES: usize = 200;
/// Maximum number of machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 64;

/// Why a submission is invalid, independently of the configured machines and teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidJob {
    /// An amount is negative, not a number or above 1e9.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// A name is empty or too long.
    #[error("{0} must have 1 to {MAX_NAME_BYTES} bytes")]
    TextLength(&'static str),
    /// The id does not have the form that the protocol defines.
    #[error("id is not of the form req-000412")]
    Id,
    /// The job has no tasks or too many.
    #[error("a job has 1 to {MAX_TASKS} tasks")]
    TaskCount,
    /// A task requests neither CPUs nor GPUs nor memory.
    #[error("a task takes something of its machine")]
    NoResources,
    /// The job names too many machine types, or one with an empty or too long name.
    #[error("machine types must be up to {MAX_MACHINE_TYPES} names")]
    MachineTypes,
}

/// Whether an id has the form that the protocol defines: `req-` and 1 to 20 digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        !digits.is_empty() && digits.len() <= 20 && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

impl JobSpec {
    /// Rejects values that are invalid for any job, independently of the configured machines
    /// and teams.
    ///
    /// # Errors
    /// Returns the first value that is out of its bounds.
    pub fn check(&self) -> Result<(), InvalidJob> {
        let amount = |name: &'static str, value: f64, least: f64| {
            if value.is_finite() && value >= least && value <= 1e9 {
                Ok(())
            } else {
                Err(InvalidJob::OutOfRange(name))
            }
        };
        let text = |name: &'static str, value: &str| {
            if value.is_empty() || value.len() > MAX_NAME_BYTES {
                Err(InvalidJob::TextLength(name))
            } else {
                Ok(())
            }
        };
        if !is_job_id(&self.id) {
            return Err(InvalidJob::Id);
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(InvalidJob::TaskCount);
        }
        text("class", &self.class)?;
        text("team", &self.team)?;
        text("image", &self.image)?;
        amount("cpus", self.cpus, 0.0)?;
        amount("gpus", self.gpus(), 0.0)?;
        amount("memory", self.memory_gb, 0.0)?;
        if self.cpus + self.gpus() + self.memory_gb <= 0.0 {
            return Err(InvalidJob::NoResources);
        }
        amount("image size", self.image_gb, 0.0)?;
        amount("estimate", self.estimate_s, 0.0)?;
        amount("checkpoint interval", self.checkpoint_s(), 0.0)?;
        amount("save time", self.save_s(), 0.0)?;
        if let Some(deadline) = self.deadline_s {
            amount("deadline", deadline, 0.0)?;
        }
        if let Some(types) = &self.types
            && (types.len() > MAX_MACHINE_TYPES
                || types
                    .iter()
                    .any(|t| t.is_empty() || t.len() > MAX_NAME_BYTES))
        {
            return Err(InvalidJob::MachineTypes);
        }
        if let Some(zone) = &self.zone {
            text("zone", zone)?;
        }
        Ok(())
    }

    /// Whether the job is best-effort: lowest priority and no deadline. Such a job yields
    /// scarce resources to others.
    pub fn is_best_effort(&self) -> bool {
        self.priority == Priority::Low && self.deadline_s.is_none()
    }

    /// GPUs of a task; 0 if the field is absent.
    pub fn gpus(&self) -> f64 {
        self.gpus.unwrap_or(0.0)
    }

    /// Whether all tasks must run in the same zone; false if the field is absent.
    pub fn one_zone(&self) -> bool {
        self.one_zone.unwrap_or(false)
    }

    /// Whether at most half of the tasks may run in any one zone; false if the field is absent.
    pub fn spread(&self) -> bool {
        self.spread.unwrap_or(false)
    }

    /// Most of the job's tasks that may run in one zone; `None` if any number may.
    pub fn max_per_zone(&self) -> Option<u32> {
        self.spread().then(|| self.tasks.div_ceil(2))
    }

    /// Whether the job may run on spot machines; false if the field is absent.
    pub fn spot(&self) -> bool {
        self.spot.unwrap_or(false)
    }

    /// Seconds between checkpoints; 0 if the job saves none.
    pub fn checkpoint_s(&self) -> f64 {
        self.checkpoint_s.unwrap_or(0.0)
    }

    /// Seconds that saving a checkpoint takes; 0 if the field is absent.
    pub fn save_s(&self) -> f64 {
        self.save_s.unwrap_or(0.0)
    }
}

/// Fields that every submission must have although a job's record may omit them.
const SUBMITTED_FIELDS: [&str; 6] = [
    "gpus", "together", "spread", "borrowed", "stir_s", "bottle_s",
];

/// The first field that a submission lacks although a record may omit it. The fields that a
/// record needs too are checked when the submission is decoded.
pub fn missing_field(submission: &[u8]) -> Option<&'static str> {
    let fields: BTreeMap<String, IgnoredAny> = decode(submission).ok()?;
    let is_missing = |field: &&&str| !fields.contains_key(**field);
    SUBMITTED_FIELDS.iter().find(is_missing).copied()
}

/// The answer to a submission that is refused permanently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason for the refusal, in one sentence.
    pub error: String,
}

/// Only the id of a submission, readable even if other fields are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobIdOnly {
    /// Name of the job.
    pub id: String,
}

/// State of a job as the user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// No task of the job is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are complete.
    Done,
    /// The job was cancelled.
    Cancelled,
}

/// The answer to submissions, polls and cancellations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Name of the job.
    pub id: String,
    /// State of the job.
    #[serde(rename = "stage")]
    pub state: JobStage,
    /// Number of tasks that are done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
