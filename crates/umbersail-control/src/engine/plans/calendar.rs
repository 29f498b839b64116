//! The publishing calendar in the engine: which jobs wait for an earlier step of their run,
//! and when each job is due. The calendar itself starts and stops no task. A scheduling cycle
//! places no task of a held job, and tasks of such a job that already run continue, so rules
//! 3 and 5 are unaffected. The event that lets a step begin is recorded first, like
//! everything that the next leader has to know (rule 6 of `docs/design.md`).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tracing::{info, warn};
use umbersail_calendar::{
    AcceptedJob, Calendar, RecordWrite, RunEvent, RunKey, RunRecord, RunTracker, Settings,
    Timestamp,
};
use umbersail_wire::JobKind;

use super::super::{BlockedReason, Engine, EngineConfig, Job, JobId, Time};

/// Kind of the calendar's records: the prefix of their names.
pub(super) const KIND: &str = "calendar";
/// Version of the format of the calendar's records.
const VERSION: u32 = 1;

/// The reason that is logged for a held job.
const HELD: &str = "an earlier step of its run";

/// State of the calendar's runs.
pub(in crate::engine) struct CalendarState {
    runs: RunTracker,
    /// Records that were put into the plan store and are not yet recorded.
    pending_writes: BTreeMap<RunKey, RecordWrite>,
    /// Whether a job arrived, ended or failed since the last tick.
    changed: bool,
    next_tick: Time,
    next_refresh: Time,
    /// Runs that cannot be recorded and for which this was logged.
    unrecorded: BTreeSet<RunKey>,
}

fn record_name(run: &RunKey) -> String {
    format!("{KIND}/{}/{}", run.0, run.1)
}

impl CalendarState {
    pub fn new(cfg: &EngineConfig) -> CalendarState {
        let tuning = &cfg.tuning;
        // The entries were validated when the process started, so parsing does not fail here.
        let calendar = Calendar::parse(&tuning.plan_entries).unwrap_or_else(|e| {
            warn!(reason = %e, "ignoring the calendar: its entries are invalid");
            Calendar::default()
        });
        let settings = Settings {
            skew_ms: cfg.max_clock_skew_ms.max(0.0) as u64,
            tick_ms: (2000.0 * tuning.tick_s) as u64,
            write_delay_s: tuning.calendar_write_delay_s,
            failing_grace_s: tuning.calendar_failing_grace_s,
            retention_s: tuning.calendar_retention_s,
            max_active_runs: tuning.max_calendar_runs as usize,
            max_names: tuning.max_calendar_job_names as usize,
        };
        CalendarState {
            runs: RunTracker::new(Rc::new(calendar), settings),
            pending_writes: BTreeMap::new(),
            changed: true,
            next_tick: f64::MIN,
            next_refresh: f64::MIN,
            unrecorded: BTreeSet::new(),
        }
    }
}

fn log_events(events: &[RunEvent]) {
    for event in events {
        let (entry, opening) = (&*event.run.0, event.run.1);
        if event.is_warning() {
            warn!(entry, opening, "calendar run {}", event.kind);
        } else {
            info!(entry, opening, "calendar run {}", event.kind);
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

    /// Continues the runs that previous leaders recorded.
    pub(super) fn inherit_calendar_runs(&mut self, now: Time) {
        let at = self.timestamp(now);
        for name in self.plans.store.names(KIND) {
            let entry = name
                .strip_prefix(KIND)
                .and_then(|rest| rest.strip_prefix('/')?.split_once('/'))
                .map(|(entry, _)| entry);
            let read = self.plans.store.read::<RunRecord>(&name, VERSION);
            let inherited = match (entry, read) {
                (Some(entry), Ok(Some(record))) => {
                    let runs = &mut self.plans.calendar.runs;
                    runs.inherit(at, entry, record).map_err(|e| e.to_string())
                }
                (_, Err(e)) => Err(e.to_string()),
                _ => Err("the record's name lacks the entry or the opening time".to_owned()),
            };
            if let Err(reason) = inherited {
                warn!(plan = name, reason, "ignoring an unusable recorded plan");
                self.plans.store.ignore(&name);
            }
        }
    }

    /// Jobs that belong to active runs.
    fn calendar_members(&self) -> Vec<JobId> {
        let members = self.plans.calendar.runs.members();
        members.map(|id| id.clone().into()).collect()
    }

    /// Called when a job was accepted, and for each job that a new leader finds: adds the job
    /// to the run it belongs to.
    pub(super) fn calendar_job_accepted(&mut self, now: Time, id: &JobId) {
        if self.plans.calendar.runs.is_empty() {
            return;
        }
        let at = self.timestamp(now);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        // A service does not end, so no step can wait for its end.
        if job.spec.kind != JobKind::Array || job.cancelled {
            return;
        }
        let age_ms = ((now - job.submitted_at).max(0.0) * 1000.0) as u64;
        let run_s = self.expected_run_s(job);
        let accepted = AcceptedJob {
            id: id.shared(),
            team: &job.spec.team,
            class: &job.spec.class,
            accepted_ms: at.unix_ms.saturating_sub(age_ms),
            run_s,
        };
        if self.plans.calendar.runs.job_accepted(at, accepted) {
            self.plans.calendar.changed = true;
            self.update_job_from_calendar(now, id);
        }
    }

    /// Called when a job has ended: the job's run no longer waits for its end.
    pub(super) fn calendar_job_ended(&mut self, job: &Job) {
        let (now, _) = self.plans.wall_clock;
        let at = self.timestamp(now);
        let calendar = &mut self.plans.calendar;
        calendar.changed |= calendar.runs.job_ended(at, &job.spec.id);
    }

    /// Updates whether a job is held and when the job is due, according to its run.
    fn update_job_from_calendar(&mut self, now: Time, id: &JobId) {
        let at = self.timestamp(now);
        let runs = &self.plans.calendar.runs;
        let held = runs.is_held(id).then_some(HELD);
        let due = runs.deadline_ms(id);
        let planned_due = due.map(|ms| now + (ms as f64 - at.unix_ms as f64) / 1000.0);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.planned_deadline = planned_due;
        let released = job.hold_reason.is_some() && held.is_none();
        job.hold_reason = held;
        if let Some(reason) = held {
            job.blocked_reason = BlockedReason::HeldByPlan(reason);
        } else if released {
            job.blocked_reason = BlockedReason::NotConsidered;
            self.mark_jobs_waiting();
        }
    }

    /// Runs the calendar's work that is due: after a change of its jobs and periodically.
    pub(in crate::engine) fn tick_calendar(&mut self, now: Time) {
        if self.plans.calendar.runs.is_empty() {
            return;
        }
        let at = self.timestamp(now);
        let store = &self.plans.store;
        let is_recorded = |run: &RunKey| store.is_recorded(&record_name(run));
        let calendar = &mut self.plans.calendar;
        let recorded: Vec<RunKey> = (calendar.pending_writes.keys())
            .filter(|run| is_recorded(run))
            .cloned()
            .collect();
        let written: Vec<RecordWrite> = (recorded.iter())
            .filter_map(|run| calendar.pending_writes.remove(run))
            .collect();
        let mut released = false;
        for write in written {
            released |= calendar.runs.mark_written(at, &write);
            calendar.unrecorded.remove(&write.run);
            calendar.changed = true;
        }
        if !calendar.changed && now < calendar.next_tick {
            return;
        }
        calendar.changed = false;
        let refresh = now >= calendar.next_refresh;
        if refresh {
            calendar.next_refresh = now + self.cfg.tuning.calendar_refresh_s;
            self.refresh_calendar_members(at);
        }
        let outcome = self.plans.calendar.runs.tick(at);
        log_events(&outcome.events);
        if outcome.opened {
            let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
            for id in ids {
                self.calendar_job_accepted(now, &id);
            }
        }
        self.write_calendar_records(now, at);
        if refresh || released || outcome.released {
            let members: Vec<JobId> = self.calendar_members();
            for id in members {
                self.update_job_from_calendar(now, &id);
            }
        }
        let calendar = &mut self.plans.calendar;
        let refresh_s = self.cfg.tuning.calendar_refresh_s;
        calendar.next_tick = now + calendar.runs.next_tick_in_s(at).min(refresh_s);
    }

    /// Tells the runs which of their jobs fail on every machine and which were cancelled or
    /// have ended: no step waits for such jobs.
    fn refresh_calendar_members(&mut self, at: Timestamp) {
        let members: Vec<JobId> = self.calendar_members();
        for id in members {
            let runs = &mut self.plans.calendar.runs;
            match self.jobs.get(&id) {
                Some(job) if !job.cancelled => runs.set_failing(at, &id, job.suspected_faulty),
                _ => drop(runs.job_ended(at, &id)),
            }
        }
    }

    /// Puts the records of runs that are due into the plan store.
    fn write_calendar_records(&mut self, now: Time, at: Timestamp) {
        for write in self.plans.calendar.runs.due_writes(at) {
            let name = record_name(&write.run);
            let Some(record) = &write.record else {
                self.plans.store.remove(now, &name);
                self.plans.calendar.pending_writes.remove(&write.run);
                self.plans.calendar.runs.mark_written(at, &write);
                continue;
            };
            match self.plans.store.put(now, &name, VERSION, record) {
                Ok(()) => drop(
                    self.plans
                        .calendar
                        .pending_writes
                        .insert(write.run.clone(), write),
                ),
                // The later steps of the run wait until its due time, or until there is room
                // for the record.
                Err(e) if self.plans.calendar.unrecorded.insert(write.run) => {
                    warn!(plan = name, reason = %e, "cannot record a run of the calendar");
                }
                Err(_) => {}
            }
        }
    }
}
