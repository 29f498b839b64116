//! All controllers are away for longer than a worker's lease.

use std::collections::BTreeSet;

use umbersail_rehearsal::history::{EndReason, Event, EventKind};
use umbersail_rehearsal::{Outcome, Scenario};

use crate::harness::{Attempt, attempts, elections, failure, holds, seeds, shop};

/// When they go, in seconds, and how much longer than a lease they stay away.
const AWAY_AT_S: f64 = 45.0;
const BEYOND_S: [f64; 2] = [0.5, 12.0];
/// An end that is reported is recorded within so many seconds.
const RECORDED_S: f64 = 5.0;
/// Within so many seconds after they are back tasks start again.
const BACK_WITHIN_S: f64 = 10.0;

fn night(away_s: f64, what: &str, more: &str) -> Scenario {
    let mut night = shop(80.0, &failure(what, AWAY_AT_S, away_s, more));
    for class in &mut night.classes {
        class.run_s = 30.0;
    }
    night
}

fn lease_s() -> f64 {
    shop(1.0, "").workers.lease_s
}

/// Tasks were lost with their leases while all were away, nothing was started meanwhile,
/// and soon after that tasks start under a new leader.
fn took_place(outcome: &Outcome, away_s: f64) {
    let (events, seed) = (&outcome.events, outcome.seed);
    let back_at = AWAY_AT_S + away_s;
    let lapsed = |e: &&Event| {
        matches!(
            &e.what,
            EventKind::Ended {
                how: EndReason::Lapsed,
                ..
            }
        )
    };
    let lost = events.iter().filter(lapsed);
    let lost = lost.filter(|e| (AWAY_AT_S..back_at + 1.0).contains(&e.t));
    let lost = lost.count();
    assert!(
        lost >= 5,
        "seed {seed}: {lost} tasks lost with their leases"
    );
    let is_start = |e: &&Event| matches!(&e.what, EventKind::Started { .. });
    let starts = |from: f64, to: f64| {
        let starts = events.iter().filter(is_start);
        starts.filter(|e| (from..to).contains(&e.t)).count()
    };
    // What had been told by then still fetched its image.
    assert_eq!(starts(AWAY_AT_S + lease_s(), back_at), 0, "seed {seed}");
    let again = starts(back_at, back_at + BACK_WITHIN_S);
    assert!(again >= 5, "seed {seed}: {again} starts after the return");
    let repeated = done_twice(events);
    assert!(repeated.is_empty(), "seed {seed}: {repeated:?}");
    let elected = elections(events).iter().any(|(t, _)| *t > back_at);
    assert!(elected, "seed {seed}");
}

/// Tasks that were done well before all went, and were started again after it.
fn done_twice(events: &[Event]) -> Vec<(String, u32)> {
    let attempts = attempts(events);
    let before = AWAY_AT_S - RECORDED_S;
    let done = |a: &&Attempt| a.how == Some(EndReason::Done) && a.to < before;
    let done: BTreeSet<(String, u32)> = (attempts.iter().filter(done))
        .map(|a| (a.job.clone(), a.task))
        .collect();
    assert!(done.len() >= 5, "{} tasks were done", done.len());
    let again = attempts.iter().filter(|a| a.from > AWAY_AT_S);
    let again = again.map(|a| (a.job.clone(), a.task));
    again.filter(|task| done.contains(task)).collect()
}

#[test]
fn all_controllers_end_and_are_back_after_the_leases() {
    // Guards against a successor that takes tasks for running whose workers gave them up,
    // or for gone that were done, and against jobs that are lost with all memories.
    for beyond_s in BEYOND_S {
        let away_s = lease_s() + beyond_s;
        let night = night(
            away_s,
            "controller-crash",
            &format!("who = \"all\"\nback_s = {away_s:?}"),
        );
        for outcome in holds(&night, &seeds(1)) {
            took_place(&outcome, away_s);
        }
    }
}

#[test]
fn all_controllers_freeze_until_after_the_leases() {
    // Guards against a leader that goes on where it stood: its time is over, its key gone,
    // and its workers have given up what it takes for running.
    for beyond_s in BEYOND_S {
        let away_s = lease_s() + beyond_s;
        let night = night(away_s, "controller-freezes", "who = \"all\"");
        for outcome in holds(&night, &seeds(1)) {
            took_place(&outcome, away_s);
        }
    }
}
