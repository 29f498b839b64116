//! Controllers that hand over and back, all end, and are back, also within a second.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_rehearsal::Scenario;
use umbersail_rehearsal::history::Event;

use crate::harness::{
    begins_at, each, elections, failure, holds, leader_at, leader_number, leaderless_s, seeds, shop,
};

/// The first of the ends, in seconds.
const END_AT_S: f64 = 45.0;

fn night(failures: &str) -> Scenario {
    shop(80.0, failures)
}

fn crash(at_s: f64, who: &str, back_s: f64) -> String {
    let more = format!("who = \"{who}\"\nback_s = {back_s:?}");
    failure("controller-crash", at_s, 0.0, &more)
}

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

fn played(failures: &str, seed: u64) -> Vec<Event> {
    let events = holds(&night(failures), &[seed]).remove(0).events;
    one_election_for_each_end(&events, seed);
    events
}

/// The service elects nobody while another holds the leader's key: there is one leader at
/// the start, and one more at the most each time that some end.
fn one_election_for_each_end(events: &[Event], seed: u64) {
    let mut ends = begins_at(events, "controller-crash");
    ends.dedup();
    let elections = elections(events);
    let until = |t: f64| elections.iter().filter(|(at, _)| *at <= t).count();
    let met = ends.iter().enumerate().all(|(n, end)| until(*end) <= n + 1);
    assert!(
        met && elections.len() <= ends.len() + 1,
        "seed {seed}: ends at {ends:?}, elections {elections:?}"
    );
}

#[test]
fn leaders_hand_over_and_back_within_a_second() {
    // Guards against a token, a start or an end that belongs to the leader of half a
    // second ago.
    each(&seeds(3), |seed| {
        let mut rng = rng(*seed);
        let mut failures = String::new();
        let mut at = END_AT_S;
        for _ in 0..6 {
            failures += &crash(at, "leader", 0.2);
            at += rng.random_range(0.3..0.7);
        }
        let events = played(&failures, *seed);
        let elections = elections(&events);
        let quick = |w: &[(f64, &str)]| w[0].0 > END_AT_S && w[1].0 - w[0].0 < 1.0;
        let met = elections.windows(2).any(quick);
        assert!(met, "seed {seed}: {elections:?}");
    });
}

#[test]
fn all_end_and_one_that_returns_at_once_leads() {
    // Guards against a service that waits for those that are not back, and against a
    // process that trusts what it can't remember.
    each(&seeds(3), |seed| {
        let one = *seed as usize % 3;
        let back_s = |n: usize| if n == one { 0.2 } else { 15.0 };
        let failures: String = (0..3)
            .map(|n| crash(END_AT_S, &n.to_string(), back_s(n)))
            .collect();
        let events = played(&failures, *seed);
        let wait_s = leaderless_s(&events, &[END_AT_S])[0];
        assert!(wait_s < 8.0, "seed {seed}: {wait_s} s without a leader");
    });
}

#[test]
fn the_same_member_is_elected_twice_in_a_row() {
    // Guards against a new process that goes on with the token, the answers or the
    // peers of the one before it under the same name.
    each(&seeds(3), |seed| {
        let leader = leader_number(&night(""), *seed, END_AT_S);
        let back_s = |n: usize| if n == leader { 0.2 } else { 6.0 };
        let mut failures: String = (0..3)
            .map(|n| crash(END_AT_S, &n.to_string(), back_s(n)))
            .collect();
        let again_s = rng(*seed).random_range(0.5..4.0);
        failures += &crash(END_AT_S + again_s, "leader", 0.2);
        let events = played(&failures, *seed);
        let before = leader_at(&events, END_AT_S);
        let elections = elections(&events);
        let next = elections.iter().find(|(t, _)| *t > END_AT_S);
        assert!(
            next.is_some_and(|(_, member)| Some(*member) == before),
            "seed {seed}: {elections:?}"
        );
    });
}

#[test]
fn a_leader_that_returns_in_the_election_of_its_successor_breaks_nothing() {
    // Guards against two that take the lead: the one that was elected last, and the one
    // that finds its own key.
    each(&seeds(3), |seed| {
        let mut rng = rng(*seed);
        let back_s = rng.random_range(0.2..0.5);
        let next_s = rng.random_range(0.0..back_s);
        let next = (leader_number(&night(""), *seed, END_AT_S) + 1) % 3;
        let failures =
            crash(END_AT_S, "leader", back_s) + &crash(END_AT_S + next_s, &next.to_string(), 0.2);
        let events = played(&failures, *seed);
        let wait_s = leaderless_s(&events, &[END_AT_S])[0];
        assert!(
            wait_s < 8.0,
            "seed {seed}: back after {back_s} s, elected after {wait_s} s"
        );
    });
}
