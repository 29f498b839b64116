//! The publishing calendar in the engine: which jobs wait for an earlier step of their
//! run, and by when they should end. It starts and stops nothing itself: a job held back
//! has no task that a cycle may place, and what of it runs goes on (rules 3 and 5 stand
//! as they are). What lets a step begin is recorded first, like all that a successor has
//! to know (rule 6).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tracing::{info, warn};
use umbersail_calendar::{
    AcceptedJob, Calendar, RecordWrite, RunEvent, RunKey, RunRecord, RunTracker, Settings,
    Timestamp,
};
use umbersail_wire::JobKind;

use super::super::{BlockedReason, Engine, EngineConfig, Job, JobId, Time};

/// What the names of its records begin with, and their version.
pub(super) const KIND: &str = "calendar";
const VERSION: u32 = 1;

/// Why a held job waits.
const HELD: &str = "an earlier step of its run";

/// The calendar of the block.
pub(in crate::engine) struct Publishing {
    runs: RunTracker,
    /// Records as they were put into the book of all plans and do not stand yet.
    under_way: BTreeMap<RunKey, RecordWrite>,
    /// A job came, ended or failed since the last tick.
    stirred: bool,
    next_tick: Time,
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
        let settings = Settings {
            skew_ms: cfg.skew_ms.max(0.0) as u64,
            tick_ms: (2000.0 * tuning.tick_s) as u64,
            write_delay_s: tuning.calendar_write_s,
            failing_grace_s: tuning.calendar_mistaken_s,
            retention_s: tuning.calendar_keep_s,
            max_active_runs: tuning.calendar_runs as usize,
            max_names: tuning.calendar_names as usize,
        };
        Publishing {
            runs: RunTracker::new(Rc::new(calendar), settings),
            under_way: BTreeMap::new(),
            stirred: true,
            next_tick: f64::MIN,
            next_look: f64::MIN,
            unrecorded: BTreeSet::new(),
        }
    }
}

fn log_events(events: &[RunEvent]) {
    for event in events {
        let (entry, opening) = (&*event.run.0, event.run.1);
        if event.is_warning() {
            warn!(entry, opening, "run {}", event.kind);
        } else {
            info!(entry, opening, "run {}", event.kind);
        }
    }
}

impl Engine {
    fn timestamp(&self, now: Time) -> Timestamp {
        Timestamp {
            steady_s: now,
            unix_ms: self.plans.unix_ms(now),
        }
    }

    /// Goes on with the runs that a holder before us recorded.
    pub(super) fn inherit_runs(&mut self, now: Time) {
        let at = self.timestamp(now);
        for name in self.plans.store.names(KIND) {
            let entry = name
                .strip_prefix(KIND)
                .and_then(|rest| rest.strip_prefix('/')?.split_once('/'))
                .map(|(entry, _)| entry);
            let read = self.plans.store.read::<RunRecord>(&name, VERSION);
            let taken = match (entry, read) {
                (Some(entry), Ok(Some(record))) => {
                    let runs = &mut self.plans.calendar.runs;
                    runs.inherit(at, entry, record).map_err(|e| e.to_string())
                }
                (_, Err(e)) => Err(e.to_string()),
                _ => Err("its name has no entry and opening".to_owned()),
            };
            if let Err(reason) = taken {
                warn!(plan = name, reason, "recorded plan set aside");
                self.plans.store.set_aside(&name);
            }
        }
    }

    /// Jobs that belong to runs under way.
    fn calendar_members(&self) -> Vec<JobId> {
        let members = self.plans.calendar.runs.members();
        members.map(|id| id.clone().into()).collect()
    }

    /// A job was accepted, or found by us as a new leader.
    pub(super) fn job_for_run(&mut self, now: Time, id: &JobId) {
        if self.plans.calendar.runs.is_empty() {
            return;
        }
        let at = self.timestamp(now);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        // A service does not end, so no step can wait for it.
        if job.spec.kind != JobKind::Array || job.cancelled {
            return;
        }
        let age_ms = ((now - job.submitted).max(0.0) * 1000.0) as u64;
        let run_s = self.expected_run_s(job);
        let accepted = AcceptedJob {
            id: id.shared(),
            team: &job.spec.team,
            class: &job.spec.class,
            accepted_ms: at.unix_ms.saturating_sub(age_ms),
            run_s,
        };
        if self.plans.calendar.runs.job_accepted(at, accepted) {
            self.plans.calendar.stirred = true;
            self.apply_run(now, id);
        }
    }

    /// A job is over.
    pub(super) fn job_left_run(&mut self, job: &Job) {
        let (now, _) = self.plans.wall;
        let at = self.timestamp(now);
        let calendar = &mut self.plans.calendar;
        calendar.stirred |= calendar.runs.job_ended(at, &job.spec.id);
    }

    /// Whether a job is held back, and by when it should end.
    fn apply_run(&mut self, now: Time, id: &JobId) {
        let at = self.timestamp(now);
        let runs = &self.plans.calendar.runs;
        let held = runs.is_held(id).then_some(HELD);
        let due = runs.deadline_ms(id);
        let planned_due = due.map(|ms| now + (ms as f64 - at.unix_ms as f64) / 1000.0);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.planned_due = planned_due;
        let released = job.held.is_some() && held.is_none();
        job.held = held;
        if let Some(reason) = held {
            job.blocked = BlockedReason::Held(reason);
        } else if released {
            job.blocked = BlockedReason::NotLookedAt;
            self.note_waiting();
        }
    }

    /// What the calendar does as time goes by, and as jobs come and end.
    pub(in crate::engine) fn tick_calendar(&mut self, now: Time) {
        if self.plans.calendar.runs.is_empty() {
            return;
        }
        let at = self.timestamp(now);
        let store = &self.plans.store;
        let stands = |run: &RunKey| store.is_recorded(&record_name(run));
        let calendar = &mut self.plans.calendar;
        let done: Vec<RunKey> = (calendar.under_way.keys())
            .filter(|run| stands(run))
            .cloned()
            .collect();
        let written: Vec<RecordWrite> = (done.iter())
            .filter_map(|run| calendar.under_way.remove(run))
            .collect();
        let mut released = false;
        for write in written {
            released |= calendar.runs.mark_written(at, &write);
            calendar.unrecorded.remove(&write.run);
            calendar.stirred = true;
        }
        if !calendar.stirred && now < calendar.next_tick {
            return;
        }
        calendar.stirred = false;
        let looks = now >= calendar.next_look;
        if looks {
            calendar.next_look = now + self.cfg.tuning.calendar_look_s;
            self.look_at_members(at);
        }
        let outcome = self.plans.calendar.runs.tick(at);
        log_events(&outcome.events);
        if outcome.opened {
            let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
            for id in ids {
                self.job_for_run(now, &id);
            }
        }
        self.record_runs(now, at);
        if looks || released || outcome.released {
            let members: Vec<JobId> = self.calendar_members();
            for id in members {
                self.apply_run(now, &id);
            }
        }
        let calendar = &mut self.plans.calendar;
        let most_s = self.cfg.tuning.calendar_look_s;
        calendar.next_tick = now + calendar.runs.next_tick_in_s(at).min(most_s);
    }

    /// Jobs that fail wherever they run, and those that their users have cancelled:
    /// no step waits for them.
    fn look_at_members(&mut self, at: Timestamp) {
        let members: Vec<JobId> = self.calendar_members();
        for id in members {
            let runs = &mut self.plans.calendar.runs;
            match self.jobs.get(&id) {
                Some(job) if !job.cancelled => runs.set_failing(at, &id, job.suspect),
                _ => drop(runs.job_ended(at, &id)),
            }
        }
    }

    fn record_runs(&mut self, now: Time, at: Timestamp) {
        for write in self.plans.calendar.runs.due_writes(at) {
            let name = record_name(&write.run);
            let Some(record) = &write.record else {
                self.plans.store.remove(now, &name);
                self.plans.calendar.under_way.remove(&write.run);
                self.plans.calendar.runs.mark_written(at, &write);
                continue;
            };
            match self.plans.store.put(now, &name, VERSION, record) {
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
