//! What of a run is recorded, for a successor.

use serde::{Deserialize, Serialize};

use crate::when::UnixMs;

/// A run as its leader records it. It holds its own steps: a controller whose file
/// has another version of the entry, or none, goes on with these.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    pub team: String,
    pub opening_ms: UnixMs,
    pub due_ms: UnixMs,
    /// Of the version of the entry that it was opened by.
    pub print: String,
    pub steps: Vec<StepRecord>,
    /// That it will be late has been said.
    #[serde(default)]
    pub told_late: bool,
    #[serde(default)]
    pub ended_ms: Option<UnixMs>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct StepRecord {
    pub classes: Vec<String>,
    #[serde(default)]
    pub count: Option<u32>,
    #[serde(default)]
    pub quiet_s: Option<f64>,
    /// It takes no jobs from here on in any case.
    pub until_ms: UnixMs,
    /// When it became the first step that is not finished.
    #[serde(default)]
    pub began_ms: Option<UnixMs>,
    /// Jobs that have come, those cut off `unfinished` excepted.
    #[serde(default)]
    pub came: u32,
    /// Those of them that had not ended, as far as there is room for their names:
    /// a successor counts a job twice if it does not know that it was counted.
    #[serde(default)]
    pub unfinished: Vec<String>,
    #[serde(default)]
    pub closed_ms: Option<UnixMs>,
    #[serde(default)]
    pub finished_ms: Option<UnixMs>,
    /// How long it took in runs before, in seconds, and by how much that varied.
    #[serde(default)]
    pub mean_s: f64,
    #[serde(default)]
    pub range_s: f64,
    /// Those were seen, not only told by the entry.
    #[serde(default)]
    pub learned: bool,
}

impl RunRecord {
    /// Why a recorded run can't be gone on with.
    pub(crate) fn check(&self) -> Result<(), &'static str> {
        let spans = |s: &StepRecord| {
            [s.mean_s, s.range_s, s.quiet_s.unwrap_or(0.0)]
                .iter()
                .all(|v| v.is_finite() && *v >= 0.0)
        };
        match () {
            () if self.steps.is_empty() || self.steps.len() > 64 => Err("it has no steps"),
            () if self.due_ms < self.opening_ms => Err("it is due before it opens"),
            () if !self.steps.iter().all(spans) => Err("a span is no number of seconds"),
            () if self.steps.iter().any(|s| s.classes.is_empty()) => Err("a step has no class"),
            () => Ok(()),
        }
    }
}
