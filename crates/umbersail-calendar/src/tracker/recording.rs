//! Determines which records of runs must be stored or removed.

use super::RunTracker;
use crate::Timestamp;
use crate::event::RunKey;
use crate::record::RunRecord;

/// A record that must be stored or removed.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordWrite {
    /// The run.
    pub run: RunKey,
    /// The new record; `None` to remove it.
    pub record: Option<RunRecord>,
    /// Whether the write must not be delayed, because jobs may wait for its completion.
    pub urgent: bool,
    version: u64,
}

impl RunTracker {
    /// Records that are due to be stored, urgent ones first, and records that must be removed.
    pub fn due_writes(&self, at: Timestamp) -> Vec<RecordWrite> {
        let mut writes: Vec<RecordWrite> = Vec::new();
        for (run, state) in &self.runs {
            let is_due = |since: f64| at.steady_s - since >= self.settings.write_delay_s;
            if state.urgent || state.dirty_since.is_some_and(is_due) {
                writes.push(RecordWrite {
                    run: run.clone(),
                    record: Some(state.to_record(self.settings.max_names)),
                    urgent: state.urgent,
                    version: state.version,
                });
            }
        }
        writes.sort_by_key(|w| !w.urgent);
        writes.extend(self.removed_records.iter().map(|run| RecordWrite {
            run: run.clone(),
            record: None,
            urgent: false,
            version: 0,
        }));
        writes
    }

    /// Called when a write has been stored. Returns whether jobs that were held may start.
    pub fn mark_written(&mut self, at: Timestamp, write: &RecordWrite) -> bool {
        let Some(record) = &write.record else {
            self.removed_records.remove(&write.run);
            return false;
        };
        let Some(run) = self.runs.get_mut(&write.run) else {
            return false;
        };
        let first_unfinished = record.steps.iter().position(|s| s.finished_ms.is_none());
        let previously_recorded = run.recorded_steps;
        run.mark_written(
            at,
            write.version,
            first_unfinished.unwrap_or(record.steps.len()),
        );
        run.recorded_steps > previously_recorded
    }
}
