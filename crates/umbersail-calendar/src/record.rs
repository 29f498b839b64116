//! The stored record of a run, from which the next leader continues the run.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::openings::UnixMs;

/// Largest number of steps in a valid record.
const MAX_STEPS: usize = 64;

/// The stored state of a run.
///
/// The record contains the steps of the run: a controller whose properties contain another
/// version of the entry, or no such entry, continues with the recorded steps. The serialized
/// field names are part of the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Team whose jobs belong to the run.
    pub team: String,
    /// Opening time of the run.
    pub opening_ms: UnixMs,
    /// Due time of the run.
    pub due_ms: UnixMs,
    /// Fingerprint of the version of the entry that the run was opened with.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Steps of the run in order.
    pub steps: Vec<StepRecord>,
    /// Whether it was reported that the run is expected to end late.
    #[serde(default, rename = "told_late")]
    pub lateness_reported: bool,
    /// When the run ended.
    #[serde(default)]
    pub ended_ms: Option<UnixMs>,
}

/// A step of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct StepRecord {
    /// Classes of the jobs that belong to the step.
    pub classes: Vec<String>,
    /// The step closes after this many jobs.
    #[serde(default)]
    pub count: Option<u32>,
    /// The step closes after this many seconds without a new job.
    #[serde(default)]
    pub quiet_s: Option<f64>,
    /// The step closes at this time at the latest.
    pub until_ms: UnixMs,
    /// When the step became the first unfinished step.
    #[serde(default)]
    pub began_ms: Option<UnixMs>,
    /// Number of jobs that the step has accepted, without the unfinished jobs that `unfinished`
    /// has no room for.
    #[serde(default, rename = "came")]
    pub accepted_jobs: u32,
    /// Names of the unfinished jobs that are included in the number of accepted jobs, up to a
    /// limit, so that the next leader does not count a job twice.
    #[serde(default)]
    pub unfinished: Vec<String>,
    /// When the step closed.
    #[serde(default)]
    pub closed_ms: Option<UnixMs>,
    /// When all jobs of the step had ended.
    #[serde(default)]
    pub finished_ms: Option<UnixMs>,
    /// Mean duration of the step in earlier runs, in seconds.
    #[serde(default)]
    pub mean_s: f64,
    /// Mean deviation of that duration, in seconds.
    #[serde(default, rename = "range_s")]
    pub deviation_s: f64,
    /// Whether the duration was measured, not only configured.
    #[serde(default)]
    pub learned: bool,
}

/// Why the record of a run is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidRunRecord {
    /// The record has no steps, or too many.
    #[error("the record has no steps, or more than {MAX_STEPS}")]
    StepCount,
    /// The due time is before the opening time.
    #[error("the due time is before the opening time")]
    DueBeforeOpening,
    /// A duration is negative or not finite.
    #[error("a duration is negative or not finite")]
    Duration,
    /// A step has no classes.
    #[error("a step has no classes")]
    NoClass,
}

impl RunRecord {
    /// Validates the record.
    pub(crate) fn check(&self) -> Result<(), InvalidRunRecord> {
        let has_valid_durations = |s: &StepRecord| {
            [s.mean_s, s.deviation_s, s.quiet_s.unwrap_or(0.0)]
                .iter()
                .all(|v| v.is_finite() && *v >= 0.0)
        };
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(InvalidRunRecord::StepCount);
        }
        if self.due_ms < self.opening_ms {
            return Err(InvalidRunRecord::DueBeforeOpening);
        }
        if !self.steps.iter().all(has_valid_durations) {
            return Err(InvalidRunRecord::Duration);
        }
        if self.steps.iter().any(|s| s.classes.is_empty()) {
            return Err(InvalidRunRecord::NoClass);
        }
        Ok(())
    }
}
