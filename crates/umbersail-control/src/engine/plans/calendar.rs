//! The publishing calendar in the engine: which jobs wait for an earlier step of their
//! run, and by when they should end. It starts and stops nothing itself: a job held back
//! has no task that a pass may place, and what of it runs goes on (rules 3 and 5 stand
//! as they are). What lets a step begin is recorded first, like all that a successor has
//! to know (rule 6).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tracing::{info, warn};
use umbersail_calendar::{
    Arrival, Book as Runs, Bounds, Calendar, Moment, Note, RunKey, RunRecord, Write,
};
use umbersail_wire::JobKind;

use super::super::{Engine, EngineConfig, Job, Name, Time};

/// What the names of its records begin with, and their version.
pub(super) const KIND: &str = "calendar";
const VERSION: u32 = 1;

/// Why a held job waits.
const HELD: &str = "an earlier step of its run";

/// The calendar of the block.
pub(in crate::engine) struct Publishing {
    runs: Runs,
    /// Records as they were put into the book of all plans and do not stand yet.
    under_way: BTreeMap<RunKey, Write>,
    /// A job came, ended or failed since the last turn.
    stirred: bool,
    next_turn: Time,
    next_look: Time,
    /// Runs that can't be recorded, and that this has been said of.
    unrecorded: BTreeSet<RunKey>,
}

fn record_name(run: &RunKey) -> String {
    format!("{KIND}/{}/{}", run.0, run.1)
}

impl Publishing {
    pub fn new(cfg: &EngineConfig) -> Publishing {
        let tuning = &cfg.tuning;
        // Entries were checked before anything started.
        let calendar = Calendar::parse(&tuning.plan_entries).unwrap_or_else(|e| {
            warn!(reason = %e, "calendar left out");
            Calendar::default()
        });
        let bounds = Bounds {
            skew_ms: cfg.skew_ms.max(0.0) as u64,
            turn_ms: (2000.0 * tuning.tick_s) as u64,
            write_s: tuning.calendar_write_s,
            mistaken_s: tuning.calendar_mistaken_s,
            keep_s: tuning.calendar_keep_s,
            runs_most: tuning.calendar_runs as usize,
            names_most: tuning.calendar_names as usize,
        };
        Publishing {
            runs: Runs::new(Rc::new(calendar), bounds),
            under_way: BTreeMap::new(),
            stirred: true,
            next_turn: f64::MIN,
            next_look: f64::MIN,
            unrecorded: BTreeSet::new(),
        }
    }
}

fn tell(notes: &[Note]) {
    for note in notes {
        let (entry, opening) = (&*note.run.0, note.run.1);
        if note.is_warning() {
            warn!(entry, opening, "run {}", note.what);
        } else {
            info!(entry, opening, "run {}", note.what);
        }
    }
}

impl Engine {
    fn moment(&self, now: Time) -> Moment {
        Moment {
            steady_s: now,
            unix_ms: self.plans.unix_ms(now),
        }
    }

    /// Goes on with the runs that a holder before us recorded.
    pub(super) fn inherit_runs(&mut self, now: Time) {
        let at = self.moment(now);
        for name in self.plans.book.names(KIND) {
            let entry = name
                .strip_prefix(KIND)
                .and_then(|rest| rest.strip_prefix('/')?.split_once('/'))
                .map(|(entry, _)| entry);
            let read = self.plans.book.read::<RunRecord>(&name, VERSION);
            let taken = match (entry, read) {
                (Some(entry), Ok(Some(record))) => {
                    let runs = &mut self.plans.calendar.runs;
                    runs.inherit(at, entry, record).map_err(str::to_owned)
                }
                (_, Err(e)) => Err(e.to_string()),
                _ => Err("its name has no entry and opening".to_owned()),
            };
            if let Err(reason) = taken {
                warn!(plan = name, reason, "recorded plan set aside");
                self.plans.book.set_aside(&name);
            }
        }
    }

    /// A job was accepted, or found by us as a new leader.
    pub(super) fn job_for_run(&mut self, now: Time, id: &Name) {
        if self.plans.calendar.runs.is_empty() {
            return;
        }
        let at = self.moment(now);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        // A service does not end, so no step can wait for it.
        if job.spec.kind != JobKind::Array || job.cancelled {
            return;
        }
        let age_ms = ((now - job.submitted).max(0.0) * 1000.0) as u64;
        let run_s = self.run_s(job);
        let arrival = Arrival {
            id,
            team: &job.spec.team,
            class: &job.spec.class,
            accepted_ms: at.unix_ms.saturating_sub(age_ms),
            run_s,
        };
        if self.plans.calendar.runs.came(at, arrival) {
            self.plans.calendar.stirred = true;
            self.apply_run(now, id);
        }
    }

    /// A job is over.
    pub(super) fn job_left_run(&mut self, job: &Job) {
        let (now, _) = self.plans.wall;
        let at = self.moment(now);
        let calendar = &mut self.plans.calendar;
        calendar.stirred |= calendar.runs.ended(at, &job.spec.id);
    }

    /// Whether a job is held back, and by when it should end.
    fn apply_run(&mut self, now: Time, id: &Name) {
        let at = self.moment(now);
        let runs = &self.plans.calendar.runs;
        let held = runs.is_held(id).then_some(HELD);
        let due = runs.by_ms(id);
        let planned_due = due.map(|ms| now + (ms as f64 - at.unix_ms as f64) / 1000.0);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.planned_due = planned_due;
        let released = job.held.is_some() && held.is_none();
        job.held = held;
        if let Some(reason) = held {
            job.blocked = reason;
        } else if released {
            job.blocked = "not yet looked at";
            self.begins_to_wait();
        }
    }

    /// What the calendar does as time goes by, and as jobs come and end.
    pub(in crate::engine) fn tick_calendar(&mut self, now: Time) {
        if self.plans.calendar.runs.is_empty() {
            return;
        }
        let at = self.moment(now);
        let book = &self.plans.book;
        let stands = |run: &RunKey| book.is_recorded(&record_name(run));
        let calendar = &mut self.plans.calendar;
        let done: Vec<RunKey> = (calendar.under_way.keys())
            .filter(|run| stands(run))
            .cloned()
            .collect();
        let written: Vec<Write> = (done.iter())
            .filter_map(|run| calendar.under_way.remove(run))
            .collect();
        let mut released = false;
        for write in written {
            released |= calendar.runs.written(at, &write);
            calendar.unrecorded.remove(&write.run);
            calendar.stirred = true;
        }
        if !calendar.stirred && now < calendar.next_turn {
            return;
        }
        calendar.stirred = false;
        let looks = now >= calendar.next_look;
        if looks {
            calendar.next_look = now + self.cfg.tuning.calendar_look_s;
            self.look_at_members(at);
        }
        let turn = self.plans.calendar.runs.turn(at);
        tell(&turn.notes);
        if turn.opened {
            let ids: Vec<Name> = self.jobs.keys().cloned().collect();
            for id in ids {
                self.job_for_run(now, &id);
            }
        }
        self.record_runs(now, at);
        if looks || released || turn.released {
            let members: Vec<Name> = self.plans.calendar.runs.members().cloned().collect();
            for id in members {
                self.apply_run(now, &id);
            }
        }
        let calendar = &mut self.plans.calendar;
        let most_s = self.cfg.tuning.calendar_look_s;
        calendar.next_turn = now + calendar.runs.wakes_in_s(at).min(most_s);
    }

    /// Jobs that fail wherever they run, and those that their users have cancelled:
    /// no step waits for them.
    fn look_at_members(&mut self, at: Moment) {
        let members: Vec<Name> = self.plans.calendar.runs.members().cloned().collect();
        for id in members {
            let runs = &mut self.plans.calendar.runs;
            match self.jobs.get(&id) {
                Some(job) if !job.cancelled => runs.failing(at, &id, job.suspect),
                _ => drop(runs.ended(at, &id)),
            }
        }
    }

    fn record_runs(&mut self, now: Time, at: Moment) {
        for write in self.plans.calendar.runs.writes(at) {
            let name = record_name(&write.run);
            let Some(record) = &write.record else {
                self.plans.book.remove(now, &name);
                self.plans.calendar.under_way.remove(&write.run);
                self.plans.calendar.runs.written(at, &write);
                continue;
            };
            match self.plans.book.put(now, &name, VERSION, record) {
                Ok(()) => drop(
                    self.plans
                        .calendar
                        .under_way
                        .insert(write.run.clone(), write),
                ),
                // Its later steps wait until it is due, or until there is room.
                Err(e) if self.plans.calendar.unrecorded.insert(write.run) => {
                    warn!(plan = name, reason = %e, "run can't be recorded");
                }
                Err(_) => {}
            }
        }
    }
}
