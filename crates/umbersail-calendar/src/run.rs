//! One run: which step it is at, who waits for it, by when it must end.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::book::{Bounds, Moment, What};
use crate::entry::Entry;
use crate::record::{RunRecord, StepRecord};
use crate::when::UnixMs;

/// Weight of the newest time that a step took.
const WEIGHT: f64 = 0.3;
/// A step's time is taken for no longer than the mean and so many times what it varies by.
const RANGES: f64 = 2.0;

/// What of a step is not recorded: a successor finds it anew.
#[derive(Debug, Clone, Default)]
pub(crate) struct Live {
    /// Unfinished jobs, with the seconds that their tasks are taken to run.
    pub members: BTreeMap<Rc<str>, f64>,
    /// The longest of those.
    longest_s: f64,
    /// Those that fail wherever they run, and since when on the steady clock.
    pub failing: BTreeMap<Rc<str>, f64>,
    /// Jobs that the record has counted as come.
    pub counted: BTreeSet<String>,
    /// The step began, a job of it came or we took over: quiet counts from here.
    pub stirred_s: f64,
    /// By when its jobs should end.
    pub by_ms: Option<UnixMs>,
}

#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub record: RunRecord,
    pub live: Vec<Live>,
    /// So many steps from the first on are recorded as finished: no successor holds
    /// back what waits for them, or takes more jobs for them.
    pub stands: usize,
    /// The next run of its entry has opened.
    pub overtaken: bool,
    /// Its due time has passed: it holds nothing back.
    pub let_go: bool,
    /// Counts its states, and which one is recorded.
    pub serial: u64,
    pub written: u64,
    pub dirty_since: Option<f64>,
    /// When time alone shows that it will be late, or moves what is left.
    look_ms: UnixMs,
    pub urgent: bool,
}

fn seconds(from: UnixMs, to: UnixMs) -> f64 {
    to.saturating_sub(from) as f64 / 1000.0
}

fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

/// When what takes so many seconds must begin.
fn least_start(due_ms: UnixMs, seconds: f64) -> UnixMs {
    due_ms.saturating_sub(millis(seconds))
}

impl Run {
    /// A run that opens now, with what was learned in the one before.
    pub fn open(entry: &Entry, opening: UnixMs, before: Option<&Run>, at: Moment) -> Run {
        let due_ms = entry.due(opening);
        let steps = entry.steps.iter().enumerate().map(|(index, step)| {
            let until = step.until.map(|u| entry.openings.after(opening, u));
            let known = before
                .and_then(|run| run.record.steps.get(index))
                .filter(|known| known.learned && known.classes == step.classes);
            StepRecord {
                classes: step.classes.clone(),
                count: step.count,
                quiet_s: step.quiet_s,
                until_ms: until.map_or(due_ms, |until| until.min(due_ms)),
                mean_s: known.map_or(step.takes_s.unwrap_or(0.0), |k| k.mean_s),
                range_s: known.map_or(0.0, |k| k.range_s),
                learned: known.is_some(),
                ..StepRecord::default()
            }
        });
        let record = RunRecord {
            team: entry.team.clone(),
            opening_ms: opening,
            due_ms,
            print: entry.print.clone(),
            steps: steps.collect(),
            told_late: false,
            ended_ms: None,
        };
        let mut run = Run::with(record, at);
        run.begin(0, at);
        run.touch(at, true);
        run
    }

    /// A run as a holder before recorded it.
    pub fn inherit(mut record: RunRecord, at: Moment) -> Run {
        let mut counted: Vec<BTreeSet<String>> = Vec::new();
        for step in &mut record.steps {
            counted.push(std::mem::take(&mut step.unfinished).into_iter().collect());
        }
        let mut run = Run::with(record, at);
        for (live, counted) in run.live.iter_mut().zip(counted) {
            live.counted = counted;
        }
        (run.serial, run.written) = (1, 1);
        run.stands = run.current();
        run.begin(run.stands, at);
        run
    }

    fn with(record: RunRecord, at: Moment) -> Run {
        let live = Live {
            stirred_s: at.steady_s,
            ..Live::default()
        };
        Run {
            live: vec![live; record.steps.len()],
            record,
            stands: 0,
            overtaken: false,
            let_go: false,
            serial: 0,
            written: 0,
            dirty_since: None,
            look_ms: UnixMs::MAX,
            urgent: false,
        }
    }

    fn begin(&mut self, index: usize, at: Moment) {
        if let Some(step) = self.record.steps.get_mut(index) {
            step.began_ms.get_or_insert(at.unix_ms);
            self.live[index].stirred_s = at.steady_s;
        }
    }

    /// Something changed that a successor should know.
    pub fn touch(&mut self, at: Moment, urgent: bool) {
        self.serial += 1;
        self.dirty_since.get_or_insert(at.steady_s);
        self.urgent |= urgent;
    }

    /// The first step that is not finished.
    pub fn current(&self) -> usize {
        let steps = &self.record.steps;
        let open = steps.iter().position(|s| s.finished_ms.is_none());
        open.unwrap_or(steps.len())
    }

    pub fn is_over(&self) -> bool {
        self.record.ended_ms.is_some()
    }

    /// The step that a job of this class belongs to if it was accepted then. What the
    /// leader saw before it closed the step may bear a later time by the clock of
    /// another node: both may be wrong.
    pub fn step_of(&self, class: &str, accepted_ms: UnixMs, skew_ms: u64) -> Option<usize> {
        let steps = &self.record.steps;
        let of = |s: &StepRecord| s.classes.iter().any(|c| c == class);
        let index = steps.iter().position(of)?;
        let step = &steps[index];
        let last = |at: UnixMs| at.saturating_add(2 * skew_ms);
        let closed = step.closed_ms.is_some_and(|at| accepted_ms > last(at));
        (!self.is_over() && step.finished_ms.is_none() && !closed).then_some(index)
    }

    pub fn came(&mut self, at: Moment, index: usize, id: &Rc<str>, run_s: f64) {
        let live = &mut self.live[index];
        let run_s = if run_s.is_finite() { run_s } else { 0.0 };
        if live.members.insert(id.clone(), run_s).is_some() {
            return;
        }
        live.longest_s = live.longest_s.max(run_s);
        live.stirred_s = live.stirred_s.max(at.steady_s);
        let step = &mut self.record.steps[index];
        // Once closed it takes no more: who is there was counted before.
        if !live.counted.remove(&**id) && step.closed_ms.is_none() {
            step.came = step.came.saturating_add(1);
        }
        if step.count.is_some() && step.closed_ms.is_none() {
            self.touch(at, false);
        }
    }

    pub fn ended(&mut self, at: Moment, index: usize, id: &str) {
        let live = &mut self.live[index];
        live.failing.remove(id);
        let Some(run_s) = live.members.remove(id) else {
            return;
        };
        if run_s >= live.longest_s {
            live.longest_s = live.members.values().copied().fold(0.0, f64::max);
        }
        if self.record.steps[index].count.is_some() {
            self.touch(at, false);
        }
    }

    /// Whether jobs of this step wait for an earlier one.
    pub fn holds(&self, index: usize) -> bool {
        index > self.stands && !self.let_go && !self.is_over()
    }

    /// The record as it should stand, with the names of so many jobs at most.
    pub fn to_record(&self, names_most: usize) -> RunRecord {
        let mut record = self.record.clone();
        let mut room = names_most;
        for (step, live) in record.steps.iter_mut().zip(&self.live) {
            if step.count.is_none() || step.closed_ms.is_some() {
                continue;
            }
            let named = live.members.keys().take(room);
            step.unfinished = named.map(|id| id.to_string()).collect();
            room -= step.unfinished.len();
            let cut = live.members.len() - step.unfinished.len();
            step.came = step.came.saturating_sub(cut as u32);
        }
        record
    }

    /// The record with this serial stands.
    pub fn recorded(&mut self, at: Moment, serial: u64, finished: usize) {
        self.written = self.written.max(serial);
        if self.written >= self.serial {
            self.dirty_since = None;
            self.urgent = false;
        }
        if finished > self.stands {
            self.stands = finished;
            self.begin(finished, at);
        }
    }

    /// Goes on as far as it can now. True if something is let go that was held back.
    pub fn turn(&mut self, at: Moment, bounds: &Bounds, notes: &mut Vec<What>) -> bool {
        if self.is_over() {
            return false;
        }
        let passed = at.unix_ms >= self.record.due_ms;
        let lets_go = passed && !self.let_go;
        if lets_go {
            self.let_go = true;
            let held = self.live[self.stands.min(self.live.len())..]
                .iter()
                .skip(1)
                .map(|l| l.members.len())
                .sum();
            if held > 0 {
                notes.push(What::LetGo { held });
            }
        }
        self.close(at, bounds, notes);
        self.finish(at, bounds, notes);
        let given_up = at.unix_ms >= self.record.due_ms.saturating_add(millis(bounds.keep_s));
        if self.current() == self.record.steps.len() || given_up {
            self.end(at, notes);
        } else {
            self.reckon(at, bounds, notes);
        }
        lets_go
    }

    pub fn end(&mut self, at: Moment, notes: &mut Vec<What>) {
        let left = self.live.iter().map(|l| l.members.len()).sum();
        notes.push(What::Ended {
            late_s: at.unix_ms as f64 / 1000.0 - self.record.due_ms as f64 / 1000.0,
            left,
        });
        self.record.ended_ms = Some(at.unix_ms);
        self.touch(at, true);
    }

    /// Steps that take no more jobs from now on.
    fn close(&mut self, at: Moment, bounds: &Bounds, notes: &mut Vec<What>) {
        let mut closed = Vec::new();
        for (index, (step, live)) in self.record.steps.iter_mut().zip(&self.live).enumerate() {
            if step.closed_ms.is_some() {
                continue;
            }
            // Other nodes' clocks may be behind ours, and their jobs still to be seen.
            let until = step.until_ms.saturating_add(bounds.skew_ms);
            let is_quiet = |quiet_s: f64| {
                // What comes for a step that can't begin yet is no sign of its end.
                index == self.stands && at.steady_s - live.stirred_s >= quiet_s
            };
            let why = match () {
                () if step.count.is_some_and(|count| step.came >= count) => "all have come",
                () if at.unix_ms >= until => "its closing hour",
                () if step.quiet_s.is_some_and(is_quiet) => "none came for its quiet time",
                () if self.overtaken => "the next run has opened",
                () => continue,
            };
            step.closed_ms = Some(at.unix_ms);
            let came = step.came;
            closed.push(What::Closed { index, why, came });
        }
        if !closed.is_empty() {
            self.touch(at, false);
            notes.append(&mut closed);
        }
    }

    /// The step that is at work, if all of its jobs have ended. The next one begins
    /// once that is recorded: else a successor would hold it back again.
    fn finish(&mut self, at: Moment, bounds: &Bounds, notes: &mut Vec<What>) {
        let index = self.current();
        if index != self.stands || index >= self.record.steps.len() {
            return;
        }
        let live = &self.live[index];
        let given_up = |since: &f64| at.steady_s - since >= bounds.mistaken_s;
        let waited_for =
            live.members.len() > live.failing.len() || !live.failing.values().all(given_up);
        let step = &mut self.record.steps[index];
        if step.closed_ms.is_none() || waited_for {
            return;
        }
        step.finished_ms = Some(at.unix_ms);
        step.unfinished.clear();
        let took_s = seconds(step.began_ms.unwrap_or(at.unix_ms), at.unix_ms);
        if step.came > 0 {
            if step.learned {
                step.range_s += WEIGHT * ((took_s - step.mean_s).abs() - step.range_s);
                step.mean_s += WEIGHT * (took_s - step.mean_s);
            } else {
                (step.mean_s, step.range_s) = (took_s, took_s / 4.0);
                step.learned = true;
            }
        }
        notes.push(What::Finished {
            index,
            took_s,
            came: step.came,
            failing: live.members.keys().next().cloned(),
        });
        self.touch(at, true);
    }

    /// How long a step takes: as learned, and no less than its longest job.
    fn need_s(&self, index: usize, ranges: f64) -> f64 {
        let step = &self.record.steps[index];
        (step.mean_s + ranges * step.range_s).max(self.live[index].longest_s)
    }

    /// Backward from the due time: by when each step should end. A time that can't
    /// be kept any more would put its jobs behind all that can be in time, so a step
    /// has at least what it needs; a run that is late, too, for as long again as it had.
    fn reckon(&mut self, at: Moment, bounds: &Bounds, notes: &mut Vec<What>) {
        let (current, due_ms) = (self.current(), self.record.due_ms);
        let steps = self.record.steps.len();
        let began_ms = self.record.steps[current].began_ms.unwrap_or(at.unix_ms);
        let elapsed_s = seconds(began_ms, at.unix_ms);
        let mut end_ms = at.unix_ms + millis(self.need_s(current, 0.0) - elapsed_s);
        let step = &self.record.steps[current];
        if step.closed_ms.is_none() && step.count.is_none() && step.quiet_s.is_none() {
            end_ms = end_ms.max(step.until_ms);
        }
        let given_ms = due_ms.saturating_sub(self.record.opening_ms);
        let given_up = at.unix_ms >= due_ms.saturating_add(given_ms);
        let (mut tail_s, mut most_tail_s) = (0.0, 0.0);
        for index in (current..steps).rev() {
            let careful = due_ms.saturating_sub(bounds.skew_ms + millis(most_tail_s));
            let least = least_start(due_ms, tail_s);
            let by_ms = match () {
                () if given_up => None,
                () if self.let_go => Some(at.unix_ms + millis(self.need_s(index, 0.0))),
                () if index > current || end_ms <= careful => Some(careful),
                () => Some(least.max(end_ms)),
            };
            self.live[index].by_ms = by_ms;
            if index > current {
                tail_s += self.need_s(index, 0.0);
                most_tail_s += self.need_s(index, RANGES);
            }
        }
        self.look_ms = match () {
            () if self.let_go => UnixMs::MAX,
            () if end_ms <= at.unix_ms => at.unix_ms + 1000,
            () if self.record.told_late => end_ms,
            () => end_ms.min(least_start(due_ms, tail_s)),
        };
        let end_ms = end_ms.saturating_add(millis(tail_s));
        if end_ms > due_ms && !self.record.told_late {
            self.record.told_late = true;
            notes.push(What::Late {
                index: current,
                by_s: seconds(due_ms, end_ms),
                why: self.why_late(current, elapsed_s),
            });
            self.touch(at, true);
        }
    }

    fn why_late(&self, index: usize, elapsed_s: f64) -> &'static str {
        let (step, live) = (&self.record.steps[index], &self.live[index]);
        let opened = self.record.steps[0].began_ms.unwrap_or(0);
        match () {
            () if !live.failing.is_empty() => "a job of it fails wherever it runs",
            () if step.came == 0 => "no job of it has come",
            () if step.learned && elapsed_s > step.mean_s + RANGES * step.range_s => {
                "it takes longer than before"
            }
            () if step.closed_ms.is_none() => "it still takes jobs",
            () if seconds(self.record.opening_ms, opened) > 60.0 => "the run opened late",
            () => "its jobs and the steps after it need longer than is left",
        }
    }

    /// When time alone may change something, in seconds from now.
    pub fn wakes_in_s(&self, at: Moment, bounds: &Bounds) -> f64 {
        if self.is_over() {
            return f64::INFINITY;
        }
        let to = |ms: UnixMs| seconds(at.unix_ms, ms);
        let mut least = if self.let_go {
            f64::INFINITY
        } else {
            to(self.record.due_ms)
        };
        for (index, (step, live)) in self.record.steps.iter().zip(&self.live).enumerate() {
            if step.closed_ms.is_none() {
                least = least.min(to(step.until_ms.saturating_add(bounds.skew_ms)));
                if let Some(quiet_s) = step.quiet_s
                    && index == self.stands
                {
                    least = least.min(live.stirred_s + quiet_s - at.steady_s);
                }
            }
            for since in live.failing.values() {
                let left_s = since + bounds.mistaken_s - at.steady_s;
                if left_s > 0.0 {
                    least = least.min(left_s);
                }
            }
        }
        least.min(to(self.look_ms))
    }
}
