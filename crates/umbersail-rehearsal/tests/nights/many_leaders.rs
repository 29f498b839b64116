//! Leaders that change ten times in two minutes, also while the state service is out.

use umbersail_rehearsal::history::Event;

use crate::harness::{begins_at, elections, failure, holds, leaderless_s, seeds, shop};

/// The first of the ends, and the time from one to the next, in seconds.
const FROM_S: f64 = 30.0;
const EVERY_S: f64 = 10.0;
const ENDS: u32 = 11;
/// Two minutes with ten changes.
const WINDOW_S: f64 = 120.0;
const CHANGES: usize = 10;
/// An outage begins so long before every second end and lasts beyond it, seconds.
const OUT_BEFORE_S: f64 = 1.5;
const OUT_FOR_S: f64 = 2.5;

fn ends_at() -> Vec<f64> {
    (0..ENDS).map(|n| FROM_S + EVERY_S * f64::from(n)).collect()
}

fn crash(at_s: f64) -> String {
    failure(
        "controller-crash",
        at_s,
        0.0,
        "who = \"leader\"\nback_s = 0.5",
    )
}

/// Ten elections within two minutes.
fn took_place(events: &[Event], seed: u64) {
    let at: Vec<f64> = elections(events).into_iter().map(|(t, _)| t).collect();
    let met = at
        .windows(CHANGES)
        .any(|w| w[CHANGES - 1] - w[0] < WINDOW_S);
    assert!(met, "seed {seed}: {at:?}");
}

#[test]
fn leaders_change_ten_times_in_two_minutes() {
    // Guards against what adds up over changes: tasks that are counted and started again,
    // machines that are never accounted for, and jobs that each successor puts off.
    let failures: String = ends_at().into_iter().map(crash).collect();
    for outcome in holds(&shop(145.0, &failures), &seeds(2)) {
        took_place(&outcome.events, outcome.seed);
    }
}

#[test]
fn leaders_change_ten_times_in_two_minutes_and_every_other_time_in_an_outage() {
    // Guards against starts without a record that the next leader but one knows nothing
    // of, and against a leader's key that stands after the outage and whose holder ended.
    let mut failures = String::new();
    for (n, at_s) in ends_at().into_iter().enumerate() {
        failures += &crash(at_s);
        if n % 2 == 1 {
            failures += &failure("state-down", at_s - OUT_BEFORE_S, OUT_FOR_S, "");
        }
    }
    for outcome in holds(&shop(145.0, &failures), &seeds(2)) {
        let (events, seed) = (&outcome.events, outcome.seed);
        took_place(events, seed);
        let outages = begins_at(events, "state-down");
        let in_outage: Vec<f64> = begins_at(events, "controller-crash")
            .into_iter()
            .filter(|end| {
                outages
                    .iter()
                    .any(|at| (0.0..OUT_FOR_S).contains(&(end - at)))
            })
            .collect();
        assert!(in_outage.len() >= 5, "seed {seed}: {in_outage:?}");
        let wait_s = leaderless_s(events, &in_outage);
        assert!(wait_s.iter().all(|s| *s < 8.0), "seed {seed}: {wait_s:?}");
    }
}
