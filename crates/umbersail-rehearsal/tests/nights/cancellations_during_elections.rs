//! Jobs are cancelled at each controller in every step of a change of leader: before the
//! end of the old one is noticed, in the election, while the new one reads what it takes
//! over, and about its first scheduling cycle.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_rehearsal::history::{Event, EventKind};
use umbersail_rehearsal::{Outcome, Scenario};
use umbersail_wire::JobStage;

use crate::harness::{
    Attempt, attempts, each, elections, failure, first_start, holds, seeds, shop,
};

/// The leader's trouble begins then, in seconds.
const CHANGE_AT_S: f64 = 40.0;
/// Cancellations come from so long before it on, one in each step, for so many steps.
const SWEEP_AHEAD_S: f64 = 0.5;
const STEP_S: f64 = 0.025;
const STEPS: usize = 220;
/// An election is that close, in seconds: the new leader has hardly read anything.
const CLOSE_S: f64 = 0.5;

/// A launch that was under way takes effect within this, in seconds: a worker drops
/// answers after 4 s, and what it fetches is small.
const UNDER_WAY_S: f64 = 4.5;

/// Many jobs of one long task each, and a state service that takes what users do.
fn night(failures: &str) -> Scenario {
    let mut night = shop(50.0, failures);
    night.classes.truncate(1);
    let class = &mut night.classes[0];
    (class.tasks, class.most, class.exactly) = (1.0, 1, true);
    (class.cpus, class.memory_gb, class.image_gb) = (1.0, 2.0, 0.1);
    (class.run_s, class.cancelled, class.spot) = (60.0, 0.0, false);
    (class.deadline_times, class.deadline_s) = (0.0, 0.0);
    (class.at_start, class.per_minute) = (300, 90.0);
    night.objectives.clear();
    // Work waits all the time: whatever room there is, a new leader fills at once.
    night.teams[0].cpus_max = 200.0;
    night.machines[0].at_start = 20;
    (night.state.write_rps, night.state.rps) = (400.0, 1000.0);
    night.controllers.core = 0.3;
    night
}

/// When a cancellation was confirmed, by the change of leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Within [`CLOSE_S`] before the election.
    Before,
    /// After the election, before the first start by the new leader.
    BeforeItStarts,
    /// Within [`CLOSE_S`] after that start.
    After,
}

/// Confirmed cancellations, by phase and controller.
fn met(events: &[Event]) -> BTreeMap<(Phase, usize), usize> {
    let all = attempts(events);
    let mut met = BTreeMap::new();
    for (elected, _) in elections(events) {
        if elected < CHANGE_AT_S {
            continue;
        }
        let starts = first_start(&all, elected);
        for event in events {
            let EventKind::CancelAcknowledged {
                stage: JobStage::Cancelled,
                question: Some(question),
                ..
            } = &event.what
            else {
                continue;
            };
            let t = event.t;
            let phase = match t {
                t if (elected - CLOSE_S..elected).contains(&t) => Phase::Before,
                t if (elected..starts).contains(&t) => Phase::BeforeItStarts,
                t if (starts..starts + CLOSE_S).contains(&t) => Phase::After,
                _ => continue,
            };
            *met.entry((phase, question.node)).or_default() += 1;
        }
    }
    met
}

/// Plays the change of leader, with an offset between it and the sweep for each seed.
fn sweep(trouble: &str, for_s: f64, more: &str) -> Vec<Outcome> {
    let seeds = seeds(1);
    let outcomes = std::sync::Mutex::new(Vec::new());
    each(&seeds, |seed| {
        let offset_s = ChaCha8Rng::seed_from_u64(*seed).random_range(0.0..STEP_S);
        let failures = failure(trouble, CHANGE_AT_S, for_s, more)
            + &failure(
                "cancel-sweep",
                CHANGE_AT_S - SWEEP_AHEAD_S + offset_s,
                STEP_S * STEPS as f64,
                &format!("count = {STEPS}\nshare = 0.4"),
            );
        let played = holds(&night(&failures), &[*seed]);
        outcomes.lock().unwrap().extend(played);
    });
    outcomes.into_inner().unwrap()
}

/// Starts of jobs after their cancellation was confirmed: how long after.
fn starts_after(events: &[Event]) -> Vec<f64> {
    let told: BTreeMap<&str, f64> = (events.iter())
        .filter_map(|e| match &e.what {
            EventKind::CancelAcknowledged {
                job,
                stage: JobStage::Cancelled,
                ..
            } => Some((&**job, e.t)),
            _ => None,
        })
        .collect();
    let late = |a: &Attempt| told.get(&*a.job).map(|t| a.from - t).filter(|s| *s > 0.0);
    attempts(events).iter().filter_map(late).collect()
}

/// Cancellations fell into every phase, at several controllers, and nothing of a
/// cancelled job started later than a launch that was under way.
fn took_place(outcomes: &[Outcome]) {
    let mut sum: BTreeMap<(Phase, usize), usize> = BTreeMap::new();
    for outcome in outcomes {
        let gone_s = outcome.figures.cancelled_gone_s;
        println!("seed {}: gone after {gone_s:.2} s at most", outcome.seed);
        let starts = starts_after(&outcome.events);
        println!("starts after a cancellation: {starts:?}");
        assert!(starts.iter().all(|s| *s < UNDER_WAY_S), "{starts:?}");
        for (key, count) in met(&outcome.events) {
            *sum.entry(key).or_default() += count;
        }
    }
    println!("{sum:?}");
    // The time between an election and the first start is the shortest: 70 to 200 ms.
    for (phase, least) in [
        (Phase::Before, 2),
        (Phase::BeforeItStarts, 1),
        (Phase::After, 2),
    ] {
        let controllers = sum.keys().filter(|(p, _)| *p == phase).count();
        assert!(controllers >= least, "{phase:?}: {sum:?}");
    }
}

#[test]
fn cancellations_in_every_step_of_an_election_after_a_crash() {
    // Guards against a successor that starts what was cancelled between its read of the
    // jobs and its watch.
    took_place(&sweep(
        "controller-crash",
        0.0,
        "who = \"leader\"\nback_s = 4.0",
    ));
}

#[test]
fn cancellations_in_every_step_of_a_hand_over() {
    // Guards against two leaders of which each leaves the stops to the other.
    took_place(&sweep("state-refuses", 12.0, "who = \"leader\""));
}

#[test]
fn cancellations_in_every_step_while_the_old_leader_is_frozen() {
    // Guards against a leader that wakes up and starts what it had planned.
    took_place(&sweep("controller-freezes", 7.0, "who = \"leader\""));
}

#[test]
fn cancellations_in_every_step_while_the_old_leader_is_isolated() {
    // Guards against an isolated leader that goes on renewing leases of what was
    // cancelled through its successor.
    took_place(&sweep("controller-isolated", 20.0, "who = \"leader\""));
}
