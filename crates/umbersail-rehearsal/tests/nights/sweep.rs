//! Sweeps: a quiet night is recorded, and played again with a failure placed at offsets
//! around one of its events. A seed decides all chance, so each replay is the recorded
//! night until the failure begins.
//!
//! ```ignore
//! let sweep = Sweep::record(night, seed);
//! let moment = &sweep.moments(Anchor::Completion)[5];
//! let outcomes = sweep.around(moment, &offsets(0.3, 0.05), |at_s| vec![failure_at(at_s)]);
//! ```

use umbersail_rehearsal::history::{EndReason, Event, EventKind};
use umbersail_rehearsal::{Failure, Fault, Outcome, Scenario, run_many};
use umbersail_wire::JobStage;

use crate::harness::{attempts, played};

/// Nights of a sweep that are played at once.
const AT_ONCE: usize = 2;

/// Times of events are told to the microsecond.
const RESOLUTION_S: f64 = 1e-6;

/// The kind of event that a failure is placed around.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Anchor {
    /// A user is told that a job is accepted.
    Acceptance,
    /// A job's last task completes on its machine.
    Completion,
    /// A user is told that a job is cancelled.
    Cancellation,
    /// A controller is elected.
    Election,
}

/// An event of the recorded night.
#[derive(Debug, Clone)]
pub struct Moment {
    pub t: f64,
    /// The job that it is about, if it is about one.
    pub job: Option<String>,
}

/// A recorded night.
pub struct Sweep {
    night: Scenario,
    seed: u64,
    events: Vec<Event>,
}

/// From `-most` to `most` in steps, in seconds.
pub fn offsets(most: f64, step: f64) -> Vec<f64> {
    let count = (most / step).round() as i32;
    (-count..=count).map(|n| f64::from(n) * step).collect()
}

/// A failure without anything that its kind does not need.
pub fn bare(what: Fault, at_s: f64, for_s: f64) -> Failure {
    Failure {
        what,
        at_s,
        for_s,
        zone: None,
        who: None,
        class: None,
        times: None,
        share: None,
        count: None,
        back_s: None,
        from_s: None,
        to_s: None,
        job: None,
        hang_s: None,
        at_once: false,
        for_next: None,
    }
}

impl Sweep {
    /// Plays the night as it is.
    pub fn record(night: Scenario, seed: u64) -> Sweep {
        let events = played(&night, seed).events;
        Sweep {
            night,
            seed,
            events,
        }
    }

    /// Events of this kind, in order.
    pub fn moments(&self, anchor: Anchor) -> Vec<Moment> {
        if anchor == Anchor::Completion {
            return self.completions();
        }
        let moment = |event: &Event| {
            let job = match (&event.what, anchor) {
                (EventKind::Accepted { job, .. }, Anchor::Acceptance) => Some(job.clone()),
                (
                    EventKind::CancelAcknowledged {
                        job,
                        stage: JobStage::Cancelled,
                        ..
                    },
                    Anchor::Cancellation,
                ) => Some(job.clone()),
                (EventKind::Elected { .. }, Anchor::Election) => None,
                _ => return None,
            };
            Some(Moment { t: event.t, job })
        };
        self.events.iter().filter_map(moment).collect()
    }

    fn completions(&self) -> Vec<Moment> {
        completions(&self.events)
            .into_iter()
            .map(|(t, job)| Moment { t, job: Some(job) })
            .collect()
    }

    /// The night once for each offset, with failures that begin then.
    pub fn around(
        &self,
        moment: &Moment,
        offsets: &[f64],
        failures: impl Fn(f64) -> Vec<Failure>,
    ) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for offset in offsets {
            let at_s = moment.t + offset;
            let mut night = self.night.clone();
            night.failures.extend(failures(at_s));
            let played = run_many(&night, &[self.seed], AT_ONCE).unwrap();
            for outcome in played {
                self.assert_same_until(&outcome, at_s);
                outcomes.push(outcome);
            }
        }
        outcomes
    }

    /// Guards against a sweep that plays another night than the recorded one.
    fn assert_same_until(&self, outcome: &Outcome, at_s: f64) {
        let before = |events: &[Event]| -> Vec<Event> {
            let until_s = at_s - RESOLUTION_S;
            events
                .iter()
                .take_while(|e| e.t < until_s)
                .cloned()
                .collect()
        };
        assert!(
            before(&self.events) == before(&outcome.events),
            "another night before {at_s} s"
        );
    }
}

/// When each job's last task completed, in order.
pub fn completions(events: &[Event]) -> Vec<(f64, String)> {
    let mut all: Vec<(f64, String)> = Vec::new();
    let attempts = attempts(events);
    for event in events {
        let EventKind::Submitted { spec } = &event.what else {
            continue;
        };
        let its = attempts
            .iter()
            .filter(|a| a.job == spec.id && a.how == Some(EndReason::Done));
        let mut ends: Vec<(u32, f64)> = its.map(|a| (a.task, a.to)).collect();
        ends.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut tasks = std::collections::BTreeSet::new();
        let last = ends.iter().find(|(task, _)| {
            tasks.insert(*task);
            tasks.len() == spec.tasks as usize
        });
        all.extend(last.map(|(_, t)| (*t, spec.id.clone())));
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}
