//! Tracks the active runs: which jobs belong to which run, and when each run advances.

mod opening;
mod recording;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::entry::Calendar;
use crate::event::{RunEvent, RunEventKind, RunKey};
use crate::openings::UnixMs;
use crate::record::{InvalidRunRecord, RunRecord};
use crate::run::Run;
use crate::{Settings, Timestamp};

pub use recording::RecordWrite;

/// A job that a controller accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedJob<'a> {
    /// Name of the job.
    pub id: &'a Rc<str>,
    /// Team of the job.
    pub team: &'a str,
    /// Class of the job.
    pub class: &'a str,
    /// Time of acceptance by the clock of the controller that accepted the job.
    pub accepted_ms: UnixMs,
    /// Expected duration of the job's tasks in seconds.
    pub run_s: f64,
}

/// The outcome of a tick.
#[derive(Debug, Default, PartialEq)]
pub struct TickOutcome {
    /// Events for the log.
    pub events: Vec<RunEvent>,
    /// Whether runs have opened. If so, the caller must pass all jobs to
    /// [`RunTracker::job_accepted`] again.
    pub opened: bool,
    /// Whether jobs that were held may start.
    pub released: bool,
}

impl TickOutcome {
    fn report(&mut self, run: &RunKey, kind: RunEventKind) {
        let run = run.clone();
        self.events.push(RunEvent { run, kind });
    }
}

/// The calendar with its active runs.
#[derive(Debug)]
pub struct RunTracker {
    calendar: Rc<Calendar>,
    settings: Settings,
    runs: BTreeMap<RunKey, Run>,
    /// Runs whose stored records must be removed.
    removed_records: BTreeSet<RunKey>,
    /// Whether the first tick has been processed.
    started: bool,
    /// The next opening of each entry for which it was computed.
    next: BTreeMap<Rc<str>, UnixMs>,
    /// Unfinished jobs, each with its run and the index of its step.
    members: BTreeMap<Rc<str>, (RunKey, usize)>,
}

impl RunTracker {
    /// Creates a tracker without runs.
    pub fn new(calendar: Rc<Calendar>, settings: Settings) -> RunTracker {
        RunTracker {
            calendar,
            settings,
            runs: BTreeMap::new(),
            removed_records: BTreeSet::new(),
            started: false,
            next: BTreeMap::new(),
            members: BTreeMap::new(),
        }
    }

    /// Continues a run that a previous leader recorded. Must be called before the first tick.
    ///
    /// # Errors
    /// Why the record is invalid.
    pub fn inherit(
        &mut self,
        at: Timestamp,
        entry: &str,
        record: RunRecord,
    ) -> Result<(), InvalidRunRecord> {
        record.check()?;
        let key = (entry.into(), record.opening_ms);
        self.runs.insert(key, Run::inherit(record, at));
        Ok(())
    }

    /// The active runs and the newest run of each entry, with their records.
    pub fn runs(&self) -> impl Iterator<Item = (&RunKey, &RunRecord)> {
        self.runs.iter().map(|(key, run)| (key, &run.record))
    }

    /// Whether the tracker has neither entries nor runs.
    pub fn is_empty(&self) -> bool {
        self.calendar.is_empty() && self.runs.is_empty()
    }

    /// Unfinished jobs of all runs.
    pub fn members(&self) -> impl Iterator<Item = &Rc<str>> {
        self.members.keys()
    }

    /// Called when a job was accepted, and for each job that a new leader finds. Adds the job to
    /// its run; returns whether the job belongs to a run.
    pub fn job_accepted(&mut self, at: Timestamp, job: AcceptedJob<'_>) -> bool {
        if self.members.contains_key(job.id) {
            return true;
        }
        // Clocks differ, so a job that may have been accepted after the opening belongs to the
        // run. If several runs match, the job belongs to the run that opened last. If that run's
        // step is closed, the job belongs to no run, not to an earlier run.
        let latest_opening_ms = job.accepted_ms.saturating_add(self.settings.skew_ms);
        let takes_job = |run: &Run| {
            run.record.team == job.team
                && (run.record.steps.iter()).any(|s| s.classes.iter().any(|c| c == job.class))
        };
        let newest = self
            .runs
            .iter()
            .filter(|((_, opening), run)| *opening <= latest_opening_ms && takes_job(run))
            .max_by_key(|((_, opening), _)| *opening)
            .map(|(key, _)| key.clone());
        let Some(key) = newest else {
            return false;
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return false;
        };
        let Some(index) = run.step_of(job.class, job.accepted_ms, self.settings.skew_ms) else {
            return false;
        };
        run.job_accepted(at, index, job.id, job.run_s);
        self.members.insert(job.id.clone(), (key, index));
        true
    }

    /// Called when a job is done, cancelled or dropped. Returns whether the job belonged to a
    /// run.
    pub fn job_ended(&mut self, at: Timestamp, id: &str) -> bool {
        let Some((key, index)) = self.members.remove(id) else {
            return false;
        };
        if let Some(run) = self.runs.get_mut(&key) {
            run.job_ended(at, index, id);
        }
        true
    }

    /// Sets whether a job appears to fail on every machine.
    pub fn set_failing(&mut self, at: Timestamp, id: &str, failing: bool) {
        let Some((key, index)) = self.members.get(id) else {
            return;
        };
        let state = self.runs.get_mut(key).map(|run| &mut run.states[*index]);
        match state.and_then(|state| Some((state.members.get_key_value(id)?.0.clone(), state))) {
            Some((id, state)) if failing => {
                state.failing.entry(id).or_insert(at.steady_s);
            }
            Some((id, state)) => {
                state.failing.remove(&id);
            }
            None => {}
        }
    }

    /// Whether a job waits for an earlier step of its run. Running tasks of such a job continue.
    pub fn is_held(&self, id: &str) -> bool {
        self.members
            .get(id)
            .and_then(|(key, index)| Some((self.runs.get(key)?, *index)))
            .is_some_and(|(run, index)| run.is_step_held(index))
    }

    /// When a job should end so that its run ends before the due time.
    pub fn deadline_ms(&self, id: &str) -> Option<UnixMs> {
        let (key, index) = self.members.get(id)?;
        self.runs.get(key)?.states[*index].deadline_ms
    }

    /// Opens the runs that are due to open, and advances all runs.
    pub fn tick(&mut self, at: Timestamp) -> TickOutcome {
        let mut outcome = TickOutcome::default();
        self.open_runs(at, &mut outcome);
        let mut events = Vec::new();
        for (key, run) in &mut self.runs {
            outcome.released |= run.tick(at, &self.settings, &mut events);
            for kind in events.drain(..) {
                outcome.report(key, kind);
            }
        }
        self.remove_ended_runs(at);
        outcome
    }

    /// Seconds until the next tick is due if no job arrives, ends or fails before.
    pub fn next_tick_in_s(&self, at: Timestamp) -> f64 {
        let runs = self
            .runs
            .values()
            .map(|r| r.next_tick_in_s(at, &self.settings));
        let ahead = self.ahead_ms(at);
        let openings = self.calendar.entries.keys().map(|name| {
            let next = self.next.get(&**name).copied().unwrap_or(0);
            next.saturating_sub(ahead) as f64 / 1000.0
        });
        runs.chain(openings).fold(f64::INFINITY, f64::min).max(0.0)
    }
}
