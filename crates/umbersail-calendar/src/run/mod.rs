//! One run of a calendar entry: its steps, their jobs, and its record.

mod deadlines;
mod progress;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::Timestamp;
use crate::entry::Entry;
use crate::openings::UnixMs;
use crate::record::{RunRecord, StepRecord};

/// State of a step that is not recorded; a new leader rebuilds this state.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepState {
    /// Unfinished jobs, each with the expected duration of its tasks in seconds.
    pub members: BTreeMap<Rc<str>, f64>,
    /// The longest expected duration of an unfinished job.
    pub longest_s: f64,
    /// Jobs that fail on every machine, each with the monotonic time since when.
    pub failing: BTreeMap<Rc<str>, f64>,
    /// Jobs that the inherited record has already counted.
    pub counted_jobs: BTreeSet<String>,
    /// Monotonic time at which the step began, its last job arrived, or this leader inherited the
    /// run, whichever is latest. The step's quiet time is measured from this time.
    pub last_activity_s: f64,
    /// When the jobs of the step should end.
    pub deadline_ms: Option<UnixMs>,
}

/// A run with its record and the state that is not recorded.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub record: RunRecord,
    /// State of each step, in the order of the recorded steps.
    pub states: Vec<StepState>,
    /// Number of leading steps that are recorded as finished.
    pub recorded_steps: usize,
    /// Whether the next run of the entry has opened.
    pub superseded: bool,
    /// Whether the due time has passed, so that the run holds no jobs.
    pub released: bool,
    /// Version of the record.
    pub version: u64,
    /// Newest version of the record that is stored.
    pub written_version: u64,
    /// Monotonic time of the oldest change that is not stored.
    pub dirty_since: Option<f64>,
    /// When the deadlines or the expected delay must be computed again even if nothing changes.
    pub next_check_ms: UnixMs,
    /// Whether the record must be stored without delay.
    pub urgent: bool,
}

impl Run {
    /// Opens a run with the durations that were learned in the previous run.
    pub fn open(entry: &Entry, opening: UnixMs, previous: Option<&Run>, at: Timestamp) -> Run {
        let due_ms = entry.due(opening);
        let steps = entry.steps.iter().enumerate().map(|(index, step)| {
            let until = step.until.map(|u| entry.openings.resolve(opening, u));
            let known = previous
                .and_then(|run| run.record.steps.get(index))
                .filter(|known| known.learned && known.classes == step.classes);
            StepRecord {
                classes: step.classes.clone(),
                count: step.count,
                quiet_s: step.quiet_s,
                until_ms: until.map_or(due_ms, |until| until.min(due_ms)),
                mean_s: known.map_or(step.expected_s.unwrap_or(0.0), |k| k.mean_s),
                deviation_s: known.map_or(0.0, |k| k.deviation_s),
                learned: known.is_some(),
                ..StepRecord::default()
            }
        });
        let record = RunRecord {
            team: entry.team.clone(),
            opening_ms: opening,
            due_ms,
            fingerprint: entry.fingerprint.clone(),
            steps: steps.collect(),
            lateness_reported: false,
            ended_ms: None,
        };
        let mut run = Run::with_record(record, at);
        run.begin_step(0, at);
        run.mark_changed(at, true);
        run
    }

    /// Continues a run that a previous leader recorded.
    pub fn inherit(mut record: RunRecord, at: Timestamp) -> Run {
        let mut counted: Vec<BTreeSet<String>> = Vec::new();
        for step in &mut record.steps {
            counted.push(std::mem::take(&mut step.unfinished).into_iter().collect());
        }
        let mut run = Run::with_record(record, at);
        for (state, counted) in run.states.iter_mut().zip(counted) {
            state.counted_jobs = counted;
        }
        (run.version, run.written_version) = (1, 1);
        run.recorded_steps = run.current();
        run.begin_step(run.recorded_steps, at);
        run
    }

    /// A run with this record and no jobs.
    fn with_record(record: RunRecord, at: Timestamp) -> Run {
        let state = StepState {
            last_activity_s: at.steady_s,
            ..StepState::default()
        };
        Run {
            states: vec![state; record.steps.len()],
            record,
            recorded_steps: 0,
            superseded: false,
            released: false,
            version: 0,
            written_version: 0,
            dirty_since: None,
            next_check_ms: UnixMs::MAX,
            urgent: false,
        }
    }

    /// Notes that a step has become the first unfinished step.
    fn begin_step(&mut self, index: usize, at: Timestamp) {
        if let Some(step) = self.record.steps.get_mut(index) {
            step.began_ms.get_or_insert(at.unix_ms);
            self.states[index].last_activity_s = at.steady_s;
        }
    }

    /// Notes that the record has changed and must be stored.
    pub fn mark_changed(&mut self, at: Timestamp, urgent: bool) {
        self.version += 1;
        self.dirty_since.get_or_insert(at.steady_s);
        self.urgent |= urgent;
    }

    /// Index of the first unfinished step, or the number of steps if all have finished.
    pub fn current(&self) -> usize {
        let steps = &self.record.steps;
        let open = steps.iter().position(|s| s.finished_ms.is_none());
        open.unwrap_or(steps.len())
    }

    /// Whether the run has ended.
    pub fn is_over(&self) -> bool {
        self.record.ended_ms.is_some()
    }

    /// Index of the step that a job of this class, accepted at this time, belongs to.
    ///
    /// Clocks of controllers differ: a job that the leader received before the step closed may
    /// have a later time of acceptance than the time at which the step closed.
    pub fn step_of(&self, class: &str, accepted_ms: UnixMs, skew_ms: u64) -> Option<usize> {
        let steps = &self.record.steps;
        let names_class = |s: &StepRecord| s.classes.iter().any(|c| c == class);
        let index = steps.iter().position(names_class)?;
        let step = &steps[index];
        let latest = |at: UnixMs| at.saturating_add(2 * skew_ms);
        let closed = step.closed_ms.is_some_and(|at| accepted_ms > latest(at));
        (!self.is_over() && step.finished_ms.is_none() && !closed).then_some(index)
    }

    /// Adds a job to the step with this index.
    pub fn job_accepted(&mut self, at: Timestamp, index: usize, id: &Rc<str>, run_s: f64) {
        let state = &mut self.states[index];
        let run_s = if run_s.is_finite() { run_s } else { 0.0 };
        if state.members.insert(id.clone(), run_s).is_some() {
            return;
        }
        state.longest_s = state.longest_s.max(run_s);
        state.last_activity_s = state.last_activity_s.max(at.steady_s);
        let step = &mut self.record.steps[index];
        // A closed step accepts no more jobs, so this job was counted before the step closed.
        if !state.counted_jobs.remove(&**id) && step.closed_ms.is_none() {
            step.accepted_jobs = step.accepted_jobs.saturating_add(1);
        }
        if step.count.is_some() && step.closed_ms.is_none() {
            self.mark_changed(at, false);
        }
    }

    /// Removes a job that has ended from the step with this index.
    pub fn job_ended(&mut self, at: Timestamp, index: usize, id: &str) {
        let state = &mut self.states[index];
        state.failing.remove(id);
        let Some(run_s) = state.members.remove(id) else {
            return;
        };
        if run_s >= state.longest_s {
            state.longest_s = state.members.values().copied().fold(0.0, f64::max);
        }
        if self.record.steps[index].count.is_some() {
            self.mark_changed(at, false);
        }
    }

    /// Whether the jobs of this step wait for an earlier step.
    pub fn is_step_held(&self, index: usize) -> bool {
        index > self.recorded_steps && !self.released && !self.is_over()
    }

    /// The record to store, with at most `max_names` names of jobs.
    pub fn to_record(&self, max_names: usize) -> RunRecord {
        let mut record = self.record.clone();
        let mut names_left = max_names;
        for (step, state) in record.steps.iter_mut().zip(&self.states) {
            if step.count.is_none() || step.closed_ms.is_some() {
                continue;
            }
            let named = state.members.keys().take(names_left);
            step.unfinished = named.map(|id| id.to_string()).collect();
            names_left -= step.unfinished.len();
            let unnamed = state.members.len() - step.unfinished.len();
            step.accepted_jobs = step.accepted_jobs.saturating_sub(unnamed as u32);
        }
        record
    }

    /// Called when this version of the record, with `finished` finished steps, has been stored.
    pub fn mark_written(&mut self, at: Timestamp, version: u64, finished: usize) {
        self.written_version = self.written_version.max(version);
        if self.written_version >= self.version {
            self.dirty_since = None;
            self.urgent = false;
        }
        if finished > self.recorded_steps {
            self.recorded_steps = finished;
            self.begin_step(finished, at);
        }
    }
}
