//! Reports that the network held back reach every controller just as a new leader
//! begins: before it has read anything, before its first scheduling cycle, and after.

use std::collections::BTreeMap;

use umbersail_rehearsal::Scenario;
use umbersail_rehearsal::history::{Event, EventKind};

use crate::harness::{attempts, elections, failure, first_start, holds, seeds, shop};

/// The leader ends at these times, in seconds.
const ENDS_S: [f64; 5] = [40.0, 52.0, 66.0, 67.5, 84.0];
/// Copies come that long after an election, at most.
const MOST_S: f64 = 3.0;

/// Small jobs whose tasks end and start all the time, and leaders that end.
fn night(more: &str) -> Scenario {
    let for_next = format!("from_s = 0.0\nto_s = {MOST_S:?}\nfor_next = true");
    let mut failures = failure("reports-late", 15.0, 85.0, &for_next) + more;
    for (n, at_s) in ENDS_S.iter().enumerate() {
        let back_s = if n % 2 == 0 { 4.0 } else { 0.2 };
        let who = format!("who = \"leader\"\nback_s = {back_s:?}");
        failures += &failure("controller-crash", *at_s, 0.0, &who);
    }
    let mut night = shop(110.0, &failures);
    for class in &mut night.classes {
        class.cancelled = 0.2;
    }
    night
}

/// How often old reports met what, by the moment of their arrival.
fn met(events: &[Event]) -> BTreeMap<String, usize> {
    let mut met = BTreeMap::<String, usize>::new();
    let elections = elections(events);
    let all = attempts(events);
    for Event { t, what } in events {
        let EventKind::LateHeartbeat {
            node,
            status,
            took_s,
            order,
            newest,
            ended,
            begun,
            ..
        } = what
        else {
            continue;
        };
        let came = t - took_s;
        let Some((elected, leader)) = elections.iter().rev().find(|(at, _)| *at <= came) else {
            continue;
        };
        let starts = first_start(&all, *elected);
        let after_s = came - elected;
        let is_leader = leader
            .chars()
            .filter(char::is_ascii_digit)
            .collect::<String>()
            == node.to_string();
        let place = if is_leader { "leader" } else { "other" };
        let moment = match after_s {
            s if s < 0.05 => "within 50 ms",
            _ if came < starts => "before it starts anything",
            _ => "after its first start",
        };
        let mut note = |kind: &str| {
            let key = format!("{place}: {kind}, {moment}");
            *met.entry(key).or_default() += 1;
        };
        note("any");
        note(&format!("answered {status}"));
        let kinds = [
            (order < newest, "old"),
            (order.0 < newest.0, "earlier session"),
            (*ended > 0, "shows what has ended"),
            (*begun > 0, "shows an end of what runs"),
        ];
        for (_, kind) in kinds.iter().filter(|(is, _)| *is) {
            note(kind);
        }
    }
    met
}

/// Plays it, and sums up over the seeds what was met.
fn sum(night: &Scenario, few: u64) -> BTreeMap<String, usize> {
    let mut sum = BTreeMap::new();
    for outcome in holds(night, &seeds(few)) {
        for (key, count) in met(&outcome.events) {
            *sum.entry(key).or_default() += count;
        }
    }
    println!("{sum:#?}");
    sum
}

fn wants(sum: &BTreeMap<String, usize>, kinds: &[&str]) {
    for kind in kinds {
        assert!(
            sum.get(*kind).is_some_and(|n| *n > 0),
            "none {kind}: {sum:#?}"
        );
    }
}

#[test]
fn held_back_reports_reach_every_controller_as_a_leader_begins() {
    // Guards against a successor that takes the first report it gets for the newest,
    // and starts again what it shows as ended, or forgets what it does not show.
    let sum = sum(&night(""), 1);
    wants(
        &sum,
        &[
            "leader: old, within 50 ms",
            "leader: old, before it starts anything",
            "leader: old, after its first start",
            "other: old, within 50 ms",
            "other: old, before it starts anything",
            "other: old, after its first start",
            "leader: shows what has ended, before it starts anything",
        ],
    );
}

#[test]
fn held_back_reports_of_earlier_sessions_and_attempts_reach_a_new_leader() {
    // Guards against a report of a session that has ended, whose tasks run elsewhere by
    // now, and against an end of an attempt that is taken for the end of the next.
    let more = failure("machines-hang", 24.5, 14.0, "count = 8")
        + &failure("machines-cut", 50.0, 15.0, "count = 8")
        + &failure("machines-fail-tasks", 26.0, 12.0, "count = 16")
        + &failure("machines-fail-tasks", 58.0, 8.0, "count = 16")
        + &failure("machines-stop", 50.0, 1.0, "count = 2");
    let sum = sum(&night(&more), 2);
    wants(
        &sum,
        &[
            "leader: earlier session, before it starts anything",
            "leader: earlier session, after its first start",
            "other: earlier session, before it starts anything",
            "leader: shows what has ended, after its first start",
        ],
    );
}
