//! A leader that is cut from the state service and from its peers, and that workers
//! and users still reach, meets jobs cancelled through the new one.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_rehearsal::Scenario;

use crate::harness::{
    begins_at, cancelled_while_running, each, elections, failure, holds, leader_at, leader_number,
    seeds, shop,
};

/// The cut begins then, in seconds.
const CUT_AT_S: f64 = 45.0;

/// A shop whose tasks run for long and whose users cancel most of their jobs.
fn cancelling(failures: &str) -> Scenario {
    let mut night = shop(90.0, failures);
    for class in &mut night.classes {
        (class.run_s, class.cancelled) = (45.0, 0.8);
        (class.tasks, class.most) = (4.0, 12);
        (class.deadline_times, class.deadline_s) = (0.0, 0.0);
        class.per_minute = 20.0;
    }
    night.objectives.clear();
    night
}

/// Plays the night; the leader was cut, another was elected in the cut, and users were
/// told of cancellations after that and before its end while the jobs' tasks ran.
fn meets(night: &Scenario, seed: u64, cut_s: f64) {
    let outcomes = holds(night, &[seed]);
    let events = &outcomes[0].events;
    assert_eq!(begins_at(events, "controller-isolated")[0], CUT_AT_S);
    let old = leader_at(events, CUT_AT_S);
    let elections = elections(events);
    let new = elections.iter().find(|(t, _)| *t > CUT_AT_S);
    let (at, new) = new.expect("another was elected");
    let told = cancelled_while_running(events, *at, CUT_AT_S + cut_s);
    assert!(
        Some(*new) != old && !told.is_empty(),
        "seed {seed}: {old:?}, {new} at {at}; {told:?}"
    );
}

/// Cases for each seed: the offset of a second trouble after the cut's begin.
fn offsets(seeds: &[u64], most_s: f64) -> Vec<(u64, f64)> {
    let draw = |seed: &u64| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        (*seed, rng.random_range(0.0..most_s))
    };
    seeds.iter().map(draw).collect()
}

#[test]
fn machines_that_hang_in_the_cut_lose_the_tasks_of_cancelled_jobs_in_time() {
    // Guards against a machine that wakes in the cut and is kept by the old leader
    // with what was cancelled through the new one.
    each(&offsets(&seeds(2), 15.0), |(seed, offset_s)| {
        let cut = failure("controller-isolated", CUT_AT_S, 40.0, "who = \"leader\"");
        let hang = failure("machines-hang", CUT_AT_S + offset_s, 9.0, "count = 6");
        meets(&cancelling(&(cut + &hang)), *seed, 40.0);
    });
}

#[test]
fn an_old_leader_that_freezes_in_the_cut_wakes_to_nothing() {
    // Guards against what the old leader had under way when it froze: it wakes with
    // reports to answer, and jobs are cancelled meanwhile.
    each(&offsets(&seeds(2), 8.0), |(seed, offset_s)| {
        let cut = failure("controller-isolated", CUT_AT_S, 45.0, "who = \"leader\"");
        let old = leader_number(&cancelling(""), *seed, CUT_AT_S);
        let who = format!("who = \"{old}\"");
        let freeze = failure("controller-freezes", CUT_AT_S + offset_s, 14.0, &who);
        meets(&cancelling(&(cut + &freeze)), *seed, 45.0);
    });
}

#[test]
fn a_new_leader_that_is_cut_in_its_turn_is_followed_by_a_third() {
    // Guards against cancellations that only a leader knew which was cut right after,
    // and against two old ones that answer at once.
    each(&offsets(&seeds(2), 12.0), |(seed, offset_s)| {
        let first = failure("controller-isolated", CUT_AT_S, 30.0, "who = \"leader\"");
        let at_s = CUT_AT_S + 1.0 + offset_s;
        let second = failure("controller-isolated", at_s, 30.0, "who = \"leader\"");
        meets(&cancelling(&(first + &second)), *seed, 30.0);
    });
}

#[test]
fn workers_that_reach_the_old_leader_alone_are_answered_for_its_time_only() {
    // Guards against an old leader that answers beyond `cancel_s - lease_s - 4 s` after
    // its last renewal (rule 2): nobody else can bring the workers a token.
    each(&offsets(&seeds(3), 3.0), |(seed, offset_s)| {
        let cut = failure("controller-isolated", CUT_AT_S, 75.0, "who = \"leader\"");
        let mut night = cancelling("");
        night.controllers.count = 2;
        let new = 1 - leader_number(&night, *seed, CUT_AT_S);
        let who = format!("who = \"{new}\"");
        let at_s = CUT_AT_S - 1.0 + offset_s;
        let deaf = failure("controller-cut-from-workers", at_s, 70.0, &who);
        night.failures = cancelling(&(cut + &deaf)).failures;
        meets(&night, *seed, 75.0);
    });
}
