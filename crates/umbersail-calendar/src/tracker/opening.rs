//! Opens runs and removes ended runs.

use std::rc::Rc;

use super::{RunTracker, TickOutcome};
use crate::Timestamp;
use crate::entry::Entry;
use crate::event::{RunEventKind, RunKey};
use crate::openings::UnixMs;
use crate::run::Run;
use crate::timestamp::seconds_between;

impl RunTracker {
    /// Opens the runs that are due to open.
    pub(super) fn open_runs(&mut self, at: Timestamp, outcome: &mut TickOutcome) {
        let calendar = self.calendar.clone();
        if !std::mem::replace(&mut self.started, true) {
            self.report_changed_entries(outcome);
        }
        let ahead = self.ahead_ms(at);
        for (name, entry) in &calendar.entries {
            if self.next.get(&**name).is_some_and(|next| ahead < *next) {
                continue;
            }
            let name: Rc<str> = name.as_str().into();
            let (last, next) = entry.openings.last_and_next(ahead);
            self.next.insert(name.clone(), next.unwrap_or(UnixMs::MAX));
            if let Some(opening) = last
                && !self.is_covered(&name, entry, opening)
            {
                self.open_run(at, (name, opening), entry, outcome);
            }
        }
    }

    /// Reports inherited runs whose entry was changed or removed.
    fn report_changed_entries(&self, outcome: &mut TickOutcome) {
        for (key, run) in self.runs.iter().filter(|(_, run)| !run.is_over()) {
            let kind = match self.calendar.entries.get(&*key.0) {
                None => RunEventKind::Removed,
                Some(entry) if entry.fingerprint != run.record.fingerprint => RunEventKind::Changed,
                Some(_) => continue,
            };
            outcome.report(key, kind);
        }
    }

    /// Whether the newest run of the entry covers this opening. If that run was opened with
    /// another version of the entry, an opening before the run's due time counts as the same
    /// opening at a changed time.
    fn is_covered(&self, name: &Rc<str>, entry: &Entry, opening: UnixMs) -> bool {
        self.newest(name).is_some_and(|(_, run)| {
            let record = &run.record;
            let is_changed = record.fingerprint != entry.fingerprint;
            opening <= record.opening_ms || (is_changed && opening < record.due_ms)
        })
    }

    fn open_run(&mut self, at: Timestamp, key: RunKey, entry: &Entry, outcome: &mut TickOutcome) {
        let (name, opening) = &key;
        if at.unix_ms >= entry.due(*opening) {
            outcome.report(&key, RunEventKind::Missed);
            return;
        }
        let late_s = seconds_between(*opening, at.unix_ms);
        outcome.report(&key, RunEventKind::Opened { late_s });
        let previous = self.newest(name).map(|(_, run)| run);
        let run = Run::open(entry, *opening, previous, at);
        self.supersede_earlier(at, &key, outcome);
        self.runs.insert(key, run);
        outcome.opened = true;
    }

    /// Marks earlier runs of the entry as superseded, and ends the oldest runs if the entry has
    /// too many active runs.
    fn supersede_earlier(&mut self, at: Timestamp, key: &RunKey, outcome: &mut TickOutcome) {
        let earlier = (key.0.clone(), 0)..key.clone();
        let mut active = Vec::new();
        for (key, run) in self.runs.range_mut(earlier).filter(|(_, r)| !r.is_over()) {
            run.superseded = true;
            active.push(key.clone());
        }
        let max_earlier = self.settings.max_active_runs.max(1) - 1;
        for key in active.iter().rev().skip(max_earlier) {
            let Some(run) = self.runs.get_mut(key) else {
                continue;
            };
            let mut events = Vec::new();
            run.end(at, &mut events);
            outcome.released = true;
            for kind in events {
                outcome.report(key, kind);
            }
        }
    }

    /// The time up to which openings are due. Runs open early, because a controller whose clock is
    /// ahead may already have accepted a job of the run.
    pub(super) fn ahead_ms(&self, at: Timestamp) -> UnixMs {
        at.unix_ms
            .saturating_add(self.settings.skew_ms + self.settings.tick_ms)
    }

    fn newest(&self, entry: &Rc<str>) -> Option<(&RunKey, &Run)> {
        let all = (entry.clone(), 0)..=(entry.clone(), UnixMs::MAX);
        self.runs.range(all).next_back()
    }

    /// Removes an ended run when a later run of the same entry is recorded: without that record,
    /// a new leader would open the ended run again. Removes an ended run without an entry after
    /// the retention time.
    pub(super) fn remove_ended_runs(&mut self, at: Timestamp) {
        let mut ended: Vec<RunKey> = Vec::new();
        for (key, run) in &self.runs {
            let later = (key.0.clone(), key.1 + 1)..=(key.0.clone(), UnixMs::MAX);
            let later_recorded =
                (self.runs.range(later)).any(|(_, later)| later.written_version > 0);
            let retention_ms = (self.settings.retention_s * 1000.0) as u64;
            let expired = !self.calendar.entries.contains_key(&*key.0)
                && at.unix_ms >= run.record.due_ms.saturating_add(retention_ms);
            if run.is_over() && run.written_version >= run.version && (later_recorded || expired) {
                ended.push(key.clone());
            }
        }
        for key in ended {
            if let Some(run) = self.runs.remove(&key) {
                for id in run.states.iter().flat_map(|state| state.members.keys()) {
                    self.members.remove(id);
                }
            }
            self.removed_records.insert(key);
        }
    }
}
