//! The persisted record of a run, for a successor.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::openings::UnixMs;

/// Largest number of steps in a valid record.
const MAX_STEPS: usize = 64;

/// A run as its leader records it.
///
/// It contains its own steps: a controller whose file has another version of the
/// entry, or none, continues with these. Field names are part of the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Team whose jobs belong to it.
    pub team: String,
    /// Its opening time.
    pub opening_ms: UnixMs,
    /// Its due time.
    pub due_ms: UnixMs,
    /// Fingerprint of the version of the entry that opened it.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Its steps in order.
    pub steps: Vec<StepRecord>,
    /// Whether its lateness has been reported.
    #[serde(default, rename = "told_late")]
    pub lateness_reported: bool,
    /// When it ended.
    #[serde(default)]
    pub ended_ms: Option<UnixMs>,
}

/// A step of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct StepRecord {
    /// Classes of the jobs that belong to it.
    pub classes: Vec<String>,
    /// It closes after this many jobs.
    #[serde(default)]
    pub count: Option<u32>,
    /// It closes after this many seconds without a new job.
    #[serde(default)]
    pub quiet_s: Option<f64>,
    /// It closes at this time in any case.
    pub until_ms: UnixMs,
    /// When it became the first unfinished step.
    #[serde(default)]
    pub began_ms: Option<UnixMs>,
    /// Jobs that it has taken, except those cut off `unfinished`.
    #[serde(default, rename = "came")]
    pub accepted_jobs: u32,
    /// Names of unfinished jobs among them, up to a limit: a successor must not count
    /// a job twice.
    #[serde(default)]
    pub unfinished: Vec<String>,
    /// When it closed.
    #[serde(default)]
    pub closed_ms: Option<UnixMs>,
    /// When all of its jobs had ended.
    #[serde(default)]
    pub finished_ms: Option<UnixMs>,
    /// Mean duration in earlier runs, in seconds.
    #[serde(default)]
    pub mean_s: f64,
    /// Mean deviation of that duration, in seconds.
    #[serde(default, rename = "range_s")]
    pub deviation_s: f64,
    /// Whether the duration was measured, not only configured.
    #[serde(default)]
    pub learned: bool,
}

/// What is wrong with the record of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidRunRecord {
    /// It has no steps, or too many.
    #[error("it has no steps, or more than {MAX_STEPS}")]
    StepCount,
    /// It is due before it opens.
    #[error("it is due before it opens")]
    DueBeforeOpening,
    /// A duration is negative or no number.
    #[error("a span is no number of seconds")]
    Duration,
    /// A step takes no jobs.
    #[error("a step has no class")]
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
