//! The runs under way: which ones open, which jobs belong to them, what is recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

use crate::entry::Calendar;
use crate::record::RunRecord;
use crate::run::Run;
use crate::when::UnixMs;

/// Now, by both clocks: the time of day may be wrong by [`Bounds::skew_ms`], the
/// steady one means nothing to another process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Moment {
    pub steady_s: f64,
    pub unix_ms: UnixMs,
}

/// What an operator may set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Bound of the error of any node's time of day, in milliseconds.
    pub skew_ms: u64,
    /// Turns may be this late, in milliseconds: runs open as much ahead of their time,
    /// so that no job of a later step begins before the run has opened.
    pub turn_ms: u64,
    /// Counts are recorded after so many seconds, together with what came since.
    pub write_s: f64,
    /// A job that has failed wherever it ran for so many seconds is no longer waited for.
    pub mistaken_s: f64,
    /// A run is given up, and one that has ended forgotten, so many seconds after
    /// its due time.
    pub keep_s: f64,
    /// Runs of an entry that are under way at once.
    pub runs_most: usize,
    /// Names of jobs in a record.
    pub names_most: usize,
}

/// A job that was accepted.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    pub id: &'a Rc<str>,
    pub team: &'a str,
    pub class: &'a str,
    /// By the clock of the node that accepted it.
    pub accepted_ms: UnixMs,
    /// How long its tasks are taken to run, in seconds.
    pub run_s: f64,
}

/// A run by its entry and its opening.
pub type RunKey = (Rc<str>, UnixMs);

/// A record that is due to be written, or removed.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    pub run: RunKey,
    /// None: it goes.
    pub record: Option<RunRecord>,
    /// Work waits for it.
    pub urgent: bool,
    serial: u64,
}

/// Something that the log should tell.
#[derive(Debug, Clone, PartialEq)]
pub struct Note {
    pub run: RunKey,
    pub what: What,
}

#[derive(Debug, Clone, PartialEq)]
pub enum What {
    Opened {
        late_s: f64,
    },
    /// It was not opened in time: it is left out.
    Missed,
    /// Another version of the entry stands in the file.
    Changed,
    /// Its name is not in the file.
    Removed,
    Closed {
        index: usize,
        why: &'static str,
        came: u32,
    },
    Finished {
        index: usize,
        took_s: f64,
        came: u32,
        /// One that was not waited for, since it fails wherever it runs.
        failing: Option<Rc<str>>,
    },
    Late {
        index: usize,
        by_s: f64,
        why: &'static str,
    },
    /// Its due time has come while jobs of later steps were held back.
    LetGo {
        held: usize,
    },
    Ended {
        late_s: f64,
        left: usize,
    },
}

impl Note {
    /// Somebody may have to do something.
    pub fn is_warning(&self) -> bool {
        match &self.what {
            What::Missed | What::Late { .. } | What::LetGo { .. } => true,
            What::Finished { failing, .. } => failing.is_some(),
            What::Ended { late_s, left } => *late_s > 0.0 || *left > 0,
            _ => false,
        }
    }
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            What::Opened { late_s } => write!(f, "opened {late_s:.1} s after its time"),
            What::Missed => write!(f, "missed: its due time passed before it could open"),
            What::Changed => write!(f, "goes on with its recorded steps: the entry has changed"),
            What::Removed => write!(f, "goes on with its recorded steps: the entry is gone"),
            What::Closed { index, why, came } => {
                write!(
                    f,
                    "step {} takes no more jobs: {why}; {came} came",
                    index + 1
                )
            }
            What::Finished {
                index,
                took_s,
                came,
                failing,
            } => {
                write!(
                    f,
                    "step {} finished in {took_s:.1} s, {came} jobs",
                    index + 1
                )?;
                match failing {
                    Some(id) => write!(f, "; not waiting for {id}, which fails wherever it runs"),
                    None => Ok(()),
                }
            }
            What::Late { index, by_s, why } => {
                write!(f, "will be late by {by_s:.0} s: step {}: {why}", index + 1)
            }
            What::LetGo { held } => write!(f, "is due: lets go {held} jobs of later steps"),
            What::Ended { late_s, left: 0 } if *late_s <= 0.0 => {
                write!(f, "ended {:.1} s before its due time", -late_s)
            }
            What::Ended { late_s, left: 0 } => write!(f, "ended {late_s:.1} s late"),
            What::Ended { left, .. } => write!(f, "given up with {left} jobs unfinished"),
        }
    }
}

/// What a turn brought.
#[derive(Debug, Default, PartialEq)]
pub struct Turn {
    pub notes: Vec<Note>,
    /// Runs have opened: jobs that came since their opening are to be offered again.
    pub opened: bool,
    /// Jobs may start that were held back.
    pub released: bool,
}

/// The calendar with its runs under way.
#[derive(Debug)]
pub struct Book {
    calendar: Rc<Calendar>,
    bounds: Bounds,
    runs: BTreeMap<RunKey, Run>,
    /// Records to be removed.
    gone: BTreeSet<RunKey>,
    /// The first turn has been taken.
    looked: bool,
    /// The next opening of each entry, once looked for.
    next: BTreeMap<Rc<str>, UnixMs>,
    /// Unfinished jobs, with the run and the step that they belong to.
    members: BTreeMap<Rc<str>, (RunKey, usize)>,
}

impl Book {
    pub fn new(calendar: Rc<Calendar>, bounds: Bounds) -> Book {
        Book {
            calendar,
            bounds,
            runs: BTreeMap::new(),
            gone: BTreeSet::new(),
            looked: false,
            next: BTreeMap::new(),
            members: BTreeMap::new(),
        }
    }

    /// A run that a holder before recorded; all are read before the first turn. The
    /// error says why it can't be gone on with.
    pub fn inherit(
        &mut self,
        at: Moment,
        entry: &str,
        record: RunRecord,
    ) -> Result<(), &'static str> {
        record.check()?;
        let key = (entry.into(), record.opening_ms);
        self.runs.insert(key, Run::inherit(record, at));
        Ok(())
    }

    /// The runs under way and the newest of each entry, with their records.
    pub fn runs(&self) -> impl Iterator<Item = (&RunKey, &RunRecord)> {
        self.runs.iter().map(|(key, run)| (key, &run.record))
    }

    /// Whether any entry or run is there: without one nothing is decided here.
    pub fn is_empty(&self) -> bool {
        self.calendar.is_empty() && self.runs.is_empty()
    }

    /// Unfinished jobs of all runs.
    pub fn members(&self) -> impl Iterator<Item = &Rc<str>> {
        self.members.keys()
    }

    /// A job was accepted, or is there as we take over. False if it belongs to no run.
    pub fn came(&mut self, at: Moment, job: Arrival<'_>) -> bool {
        if self.members.contains_key(job.id) {
            return true;
        }
        // Clocks differ: who may have come after the opening belongs to the run. Of
        // several the one that opened last; one whose step is closed takes none, and
        // leaves it to no earlier one.
        let seen_ms = job.accepted_ms.saturating_add(self.bounds.skew_ms);
        let names = |run: &Run| {
            run.record.team == job.team
                && (run.record.steps.iter()).any(|s| s.classes.iter().any(|c| c == job.class))
        };
        let newest = self
            .runs
            .iter()
            .filter(|((_, opening), run)| *opening <= seen_ms && names(run))
            .max_by_key(|((_, opening), _)| *opening)
            .map(|(key, _)| key.clone());
        let Some(key) = newest else {
            return false;
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return false;
        };
        let Some(index) = run.step_of(job.class, job.accepted_ms, self.bounds.skew_ms) else {
            return false;
        };
        run.came(at, index, job.id, job.run_s);
        self.members.insert(job.id.clone(), (key, index));
        true
    }

    /// A job is over: done, cancelled or dropped. False if it belonged to no run.
    pub fn ended(&mut self, at: Moment, id: &str) -> bool {
        let Some((key, index)) = self.members.remove(id) else {
            return false;
        };
        if let Some(run) = self.runs.get_mut(&key) {
            run.ended(at, index, id);
        }
        true
    }

    /// Whether a job fails wherever it runs, as far as one can tell.
    pub fn failing(&mut self, at: Moment, id: &str, failing: bool) {
        let Some((key, index)) = self.members.get(id) else {
            return;
        };
        let live = self.runs.get_mut(key).map(|r| &mut r.live[*index]);
        match live.and_then(|live| Some((live.members.get_key_value(id)?.0.clone(), live))) {
            Some((id, live)) if failing => {
                live.failing.entry(id).or_insert(at.steady_s);
            }
            Some((id, live)) => {
                live.failing.remove(&id);
            }
            None => {}
        }
    }

    /// Whether a job waits for an earlier step of its run. What of it runs goes on.
    pub fn is_held(&self, id: &str) -> bool {
        self.members
            .get(id)
            .and_then(|(key, index)| Some((self.runs.get(key)?, *index)))
            .is_some_and(|(run, index)| run.holds(index))
    }

    /// By when a job should end for its run to be in time.
    pub fn by_ms(&self, id: &str) -> Option<UnixMs> {
        let (key, index) = self.members.get(id)?;
        self.runs.get(key)?.live[*index].by_ms
    }

    /// Opens what is to open, and goes on with all runs.
    pub fn turn(&mut self, at: Moment) -> Turn {
        let mut turn = Turn::default();
        self.open(at, &mut turn);
        let mut notes = Vec::new();
        for (key, run) in &mut self.runs {
            turn.released |= run.turn(at, &self.bounds, &mut notes);
            let run = || key.clone();
            turn.notes
                .extend(notes.drain(..).map(|what| Note { run: run(), what }));
        }
        self.forget(at);
        turn
    }

    fn open(&mut self, at: Moment, turn: &mut Turn) {
        let calendar = self.calendar.clone();
        let ahead = self.ahead_ms(at);
        if !std::mem::replace(&mut self.looked, true) {
            for (key, run) in &self.runs {
                let entry = calendar.entries.get(&*key.0);
                let what = match entry {
                    None => What::Removed,
                    Some(entry) if entry.print != run.record.print => What::Changed,
                    Some(_) => continue,
                };
                if !run.is_over() {
                    let run = key.clone();
                    turn.notes.push(Note { run, what });
                }
            }
        }
        for (name, entry) in &calendar.entries {
            if self.next.get(&**name).is_some_and(|next| ahead < *next) {
                continue;
            }
            let name: Rc<str> = name.as_str().into();
            let (last, next) = entry.openings.around(ahead);
            self.next.insert(name.clone(), next.unwrap_or(UnixMs::MAX));
            let newest = self.newest(&name);
            let mut note = |key: &RunKey, what| {
                turn.notes.push(Note {
                    run: key.clone(),
                    what,
                })
            };
            let Some(opening) = last else {
                continue;
            };
            let key = (name.clone(), opening);
            // With another version of the entry this opening may be the one that has
            // been run already, moved a little.
            let covered = newest.is_some_and(|(_, run)| {
                let record = &run.record;
                opening <= record.opening_ms
                    || (record.print != entry.print && opening < record.due_ms)
            });
            if covered {
                continue;
            }
            if at.unix_ms >= entry.due(opening) {
                note(&key, What::Missed);
                continue;
            }
            let late_s = at.unix_ms.saturating_sub(opening) as f64 / 1000.0;
            note(&key, What::Opened { late_s });
            let run = Run::open(entry, opening, newest.map(|(_, run)| run), at);
            let earlier = (name.clone(), 0)..key.clone();
            let mut under_way = Vec::new();
            for (key, run) in self.runs.range_mut(earlier).filter(|(_, r)| !r.is_over()) {
                run.overtaken = true;
                under_way.push(key.clone());
            }
            let spare = self.bounds.runs_most.max(1) - 1;
            for key in under_way.iter().rev().skip(spare) {
                let mut notes = Vec::new();
                if let Some(run) = self.runs.get_mut(key) {
                    run.end(at, &mut notes);
                    turn.released = true;
                }
                let run = || key.clone();
                let told = notes.into_iter().map(|what| Note { run: run(), what });
                turn.notes.extend(told);
            }
            self.runs.insert(key, run);
            turn.opened = true;
        }
    }

    /// Runs that open until then open now: by a node whose
    /// clock is ahead of ours a job may have been accepted already.
    fn ahead_ms(&self, at: Moment) -> UnixMs {
        at.unix_ms
            .saturating_add(self.bounds.skew_ms + self.bounds.turn_ms)
    }

    fn newest(&self, entry: &Rc<str>) -> Option<(&RunKey, &Run)> {
        let all = (entry.clone(), 0)..=(entry.clone(), UnixMs::MAX);
        self.runs.range(all).next_back()
    }

    /// Runs that are over go once a later one of their entry stands, which says that
    /// they are not to be opened again; those of no entry after a while.
    fn forget(&mut self, at: Moment) {
        let mut over: Vec<RunKey> = Vec::new();
        for (key, run) in &self.runs {
            let later = (key.0.clone(), key.1 + 1)..=(key.0.clone(), UnixMs::MAX);
            let follows = (self.runs.range(later)).any(|(_, later)| later.written > 0);
            let keep_ms = (self.bounds.keep_s * 1000.0) as u64;
            let old = !self.calendar.entries.contains_key(&*key.0)
                && at.unix_ms >= run.record.due_ms.saturating_add(keep_ms);
            if run.is_over() && run.written >= run.serial && (follows || old) {
                over.push(key.clone());
            }
        }
        for key in over {
            if let Some(run) = self.runs.remove(&key) {
                for id in run.live.iter().flat_map(|live| live.members.keys()) {
                    self.members.remove(id);
                }
            }
            self.gone.insert(key);
        }
    }

    /// When the next turn is due if nothing happens before, in seconds from now.
    pub fn wakes_in_s(&self, at: Moment) -> f64 {
        let runs = self.runs.values().map(|r| r.wakes_in_s(at, &self.bounds));
        let ahead = self.ahead_ms(at);
        let openings = self.calendar.entries.keys().map(|name| {
            let next = self.next.get(&**name).copied().unwrap_or(0);
            next.saturating_sub(ahead) as f64 / 1000.0
        });
        runs.chain(openings).fold(f64::INFINITY, f64::min).max(0.0)
    }

    /// Records that are due, those that work waits for first.
    pub fn writes(&self, at: Moment) -> Vec<Write> {
        let mut writes: Vec<Write> = Vec::new();
        for (run, state) in &self.runs {
            let waited = |since: f64| at.steady_s - since >= self.bounds.write_s;
            if state.urgent || state.dirty_since.is_some_and(waited) {
                writes.push(Write {
                    run: run.clone(),
                    record: Some(state.to_record(self.bounds.names_most)),
                    urgent: state.urgent,
                    serial: state.serial,
                });
            }
        }
        writes.sort_by_key(|w| !w.urgent);
        writes.extend(self.gone.iter().map(|run| Write {
            run: run.clone(),
            record: None,
            urgent: false,
            serial: 0,
        }));
        writes
    }

    /// This write has been applied. True if jobs may start that were held back.
    pub fn written(&mut self, at: Moment, write: &Write) -> bool {
        let Some(record) = &write.record else {
            self.gone.remove(&write.run);
            return false;
        };
        let Some(run) = self.runs.get_mut(&write.run) else {
            return false;
        };
        let open = record.steps.iter().position(|s| s.finished_ms.is_none());
        let before = run.stands;
        run.recorded(at, write.serial, open.unwrap_or(record.steps.len()));
        run.stands > before
    }
}
