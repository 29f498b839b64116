//! There is more work than room, urgent and not, over slow links.

use std::collections::BTreeMap;

use umbersail_rehearsal::history::{Event, EventKind};
use umbersail_rehearsal::{Priority, Scenario};

use crate::harness::{failure, keeps_the_rules, seeds, shop};

/// Both classes come for so many seconds.
const LENGTH_S: f64 = 100.0;
/// What a packet takes at the least, in seconds.
const LINK_S: f64 = 0.08;
/// Tasks that wait for so many seconds at the least show the overload.
const OVERLOAD_S: usize = 40;
/// More waiting tasks than this cannot be on their way to a free place.
const WAITING: u32 = 60;

/// Six machines for two classes of equal jobs, one urgent and one not, each of which
/// would take two thirds of them; links take 80 ms and lose a packet in thirty.
fn overloaded(failures: &str) -> Scenario {
    let slow = failure("links-slow", 5.0, 150.0, "times = 80\nshare = 0.03");
    let mut night = shop(LENGTH_S, &(slow + failures));
    (night.machines[0].ordinary, night.machines[0].spot) = (3, 0);
    night.machines[0].at_start = 6;
    night.teams[0].cpus_max = 0.0;
    for (class, priority) in night
        .classes
        .iter_mut()
        .zip([Priority::Production, Priority::Normal])
    {
        class.priority = priority;
        (class.tasks, class.most, class.exactly) = (8.0, 8, true);
        (class.cpus, class.memory_gb, class.run_s, class.image_gb) = (2.0, 4.0, 12.0, 0.2);
        (class.per_minute, class.at_start, class.spread) = (20.0, 2, false);
        (class.checkpoint_s, class.save_s) = (0.0, 0.0);
        (class.deadline_times, class.deadline_s) = (0.0, 300.0);
    }
    night.objectives.clear();
    night
}

/// Seconds in which more tasks waited than could be on their way.
fn overload_s(events: &[Event]) -> usize {
    let waits =
        |e: &&Event| matches!(e.what, EventKind::UsageSample { waiting, .. } if waiting > WAITING);
    events.iter().filter(waits).count()
}

/// How long acceptances took at the median: two ways over slow links, at the least.
fn accepted_after_s(events: &[Event]) -> f64 {
    let after = events.iter().filter_map(|e| match &e.what {
        EventKind::Accepted { after_s, .. } => Some(*after_s),
        _ => None,
    });
    median(after.collect())
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Of each class, how long its jobs waited for their first task at the median.
fn waits(events: &[Event]) -> BTreeMap<String, f64> {
    let mut asked: BTreeMap<&str, (f64, &str)> = BTreeMap::new();
    let mut began: BTreeMap<&str, f64> = BTreeMap::new();
    for event in events {
        match &event.what {
            EventKind::Submitted { spec } => drop(asked.insert(&spec.id, (event.t, &spec.class))),
            EventKind::Started { job, .. } => drop(began.entry(job).or_insert(event.t)),
            _ => {}
        }
    }
    let end = events.last().map_or(0.0, |e| e.t);
    let mut by_class: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (job, (at, class)) in asked {
        let wait = began.get(job).copied().unwrap_or(end) - at;
        by_class.entry(class.to_owned()).or_default().push(wait);
    }
    by_class
        .into_iter()
        .map(|(class, w)| (class, median(w)))
        .collect()
}

#[test]
fn urgent_work_is_served_first_when_there_is_more_than_room_over_slow_links() {
    // Guards against slow answers that make controllers doubt each other or machines
    // lapse, and against an order that slow links turn round.
    let failures = failure(
        "controller-crash",
        45.0,
        0.0,
        "who = \"leader\"\nback_s = 2",
    ) + &failure("state-down", 70.0, 9.0, "");
    for outcome in keeps_the_rules(&overloaded(&failures), &seeds(2)) {
        let (seed, overload) = (outcome.seed, overload_s(&outcome.events));
        let waits = waits(&outcome.events);
        println!(
            "seed {seed}: {overload} s of overload; median wait {waits:?}; {} lapsed",
            outcome.figures.lapsed
        );
        let accepted_s = accepted_after_s(&outcome.events);
        assert!(accepted_s > 2.0 * LINK_S, "seed {seed}: {accepted_s} s");
        assert!(overload >= OVERLOAD_S, "seed {seed}: {overload} s");
        let (urgent, other) = (waits["pages"], waits["translations"]);
        assert!(urgent * 2.0 < other, "seed {seed}: {urgent} s, {other} s");
    }
}
