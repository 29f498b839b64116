//! The active runs: which jobs belong to them, and when they advance.

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

/// A job that was accepted by a node.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedJob<'a> {
    /// Name of the job.
    pub id: &'a Rc<str>,
    /// Its team.
    pub team: &'a str,
    /// Its class.
    pub class: &'a str,
    /// By the clock of the node that accepted it.
    pub accepted_ms: UnixMs,
    /// Expected duration of its tasks in seconds.
    pub run_s: f64,
}

/// The outcome of a tick.
#[derive(Debug, Default, PartialEq)]
pub struct TickOutcome {
    /// Events for the log.
    pub events: Vec<RunEvent>,
    /// Runs have opened: all jobs are to be offered again.
    pub opened: bool,
    /// Jobs that were held back may start.
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
    /// Records to be removed.
    removed_records: BTreeSet<RunKey>,
    /// The first tick has passed.
    started: bool,
    /// The next opening of each entry, once looked for.
    next: BTreeMap<Rc<str>, UnixMs>,
    /// Unfinished jobs, with the run and the step that they belong to.
    members: BTreeMap<Rc<str>, (RunKey, usize)>,
}

impl RunTracker {
    /// A tracker without runs.
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

    /// Takes over a run that a predecessor recorded; to be called before the first tick.
    ///
    /// # Errors
    /// The reason why the record can't be used.
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

    /// Whether there is neither an entry nor a run.
    pub fn is_empty(&self) -> bool {
        self.calendar.is_empty() && self.runs.is_empty()
    }

    /// Unfinished jobs of all runs.
    pub fn members(&self) -> impl Iterator<Item = &Rc<str>> {
        self.members.keys()
    }

    /// A job was accepted, or was found on taking over. Whether it belongs to a run.
    pub fn job_accepted(&mut self, at: Timestamp, job: AcceptedJob<'_>) -> bool {
        if self.members.contains_key(job.id) {
            return true;
        }
        // Clocks differ: who may have come after the opening belongs to the run. Of
        // several the one that opened last; one whose step is closed takes none, and
        // leaves it to no earlier one.
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

    /// A job is over: done, cancelled or dropped. Whether it belonged to a run.
    pub fn job_ended(&mut self, at: Timestamp, id: &str) -> bool {
        let Some((key, index)) = self.members.remove(id) else {
            return false;
        };
        if let Some(run) = self.runs.get_mut(&key) {
            run.job_ended(at, index, id);
        }
        true
    }

    /// Tells whether a job seems to fail on every machine.
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

    /// Whether a job waits for an earlier step of its run. Its running tasks continue.
    pub fn is_held(&self, id: &str) -> bool {
        self.members
            .get(id)
            .and_then(|(key, index)| Some((self.runs.get(key)?, *index)))
            .is_some_and(|(run, index)| run.is_step_held(index))
    }

    /// When a job should end for its run to be in time.
    pub fn deadline_ms(&self, id: &str) -> Option<UnixMs> {
        let (key, index) = self.members.get(id)?;
        self.runs.get(key)?.states[*index].deadline_ms
    }

    /// Opens runs and advances all of them.
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

    /// Seconds until the next tick is due if nothing happens before.
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
