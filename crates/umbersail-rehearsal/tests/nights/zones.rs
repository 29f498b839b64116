//! Jobs bound to zones, arrays too, lose machines while leaders change: what may still
//! run of them counts for where their other tasks may go.

use std::collections::BTreeMap;

use umbersail_rehearsal::history::{EndReason, Event, EventKind};
use umbersail_rehearsal::{Outcome, Scenario};

use crate::harness::{attempts, each, elections, failure, holds, seeds, shop};

/// Machines are in trouble from then on, in seconds.
const TROUBLE_AT_S: f64 = 45.0;

/// A shop of jobs whose tasks are in one zone, in both, or in the one that they name.
fn bound(failures: &str) -> Scenario {
    let mut night = shop(90.0, failures);
    let mut class = night.classes[0].clone();
    (class.tasks, class.most, class.exactly) = (6.0, 6, true);
    (class.cpus, class.memory_gb, class.image_gb) = (2.0, 6.0, 0.3);
    (class.run_s, class.task_sigma) = (55.0, 0.3);
    (class.cancelled, class.spot) = (0.1, true);
    (class.deadline_times, class.deadline_s) = (0.0, 0.0);
    (class.at_start, class.per_minute) = (4, 5.0);
    night.objectives.clear();
    night.classes.clear();
    let kinds = [
        ("together", true, false, None),
        ("spread", false, true, None),
        ("north", false, false, Some("north")),
        ("south-together", true, false, Some("south")),
    ];
    for (name, together, spread, zone) in kinds {
        class.name = name.to_owned();
        (class.together, class.spread) = (together, spread);
        class.zone = zone.map(str::to_owned);
        night.classes.push(class.clone());
    }
    night
}

/// Attempts of each class that were lost with their machine or its lease, and of those
/// tasks how many were started again.
fn lost(outcome: &Outcome) -> BTreeMap<&str, (usize, usize)> {
    let events = &outcome.events;
    let class_of: BTreeMap<&str, &str> = (events.iter())
        .filter_map(|e| match &e.what {
            EventKind::Submitted { spec } => Some((&*spec.id, &*spec.class)),
            _ => None,
        })
        .collect();
    let all = attempts(events);
    let mut lost: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for attempt in &all {
        if !matches!(attempt.how, Some(EndReason::Lapsed | EndReason::Gone))
            || attempt.to < TROUBLE_AT_S
        {
            continue;
        }
        let Some(class) = class_of.get(&*attempt.job) else {
            continue;
        };
        let again = all
            .iter()
            .any(|a| (&a.job, a.task) == (&attempt.job, attempt.task) && a.from >= attempt.to);
        let counts = lost.entry(class).or_default();
        counts.0 += 1;
        counts.1 += usize::from(again);
    }
    lost
}

fn elected_between(events: &[Event], from: f64, to: f64) -> usize {
    let elections = elections(events);
    elections
        .iter()
        .filter(|(t, _)| *t > from && *t < to)
        .count()
}

/// Plays it: leaders changed in the trouble, and of these classes tasks were lost and
/// started again.
fn meets(failures: &str, for_s: f64, classes: &[&str]) {
    each(&seeds(1), |seed| {
        let outcomes = holds(&bound(failures), &[*seed]);
        let events = &outcomes[0].events;
        let elections = elected_between(events, TROUBLE_AT_S, TROUBLE_AT_S + for_s);
        let lost = lost(&outcomes[0]);
        println!("seed {seed}: {elections} elections, lost and started again: {lost:?}");
        assert!(elections > 0, "seed {seed}");
        for class in classes {
            let (lost, again) = lost.get(class).copied().unwrap_or_default();
            assert!(lost > 0 && again > 0, "seed {seed}: {class} {lost} {again}");
        }
    });
}

fn crash(at_s: f64, back_s: f64) -> String {
    let who = format!("who = \"leader\"\nback_s = {back_s:?}");
    failure("controller-crash", at_s, 0.0, &who)
}

#[test]
fn jobs_bound_to_zones_lose_machines_as_leaders_change() {
    // Guards against a successor that places waiting tasks of a job without those that
    // may still run on machines which it has not heard of.
    let failures = failure("machines-cut", TROUBLE_AT_S, 24.0, "count = 5")
        + &failure("machines-stop", TROUBLE_AT_S + 1.0, 1.0, "count = 3")
        + &crash(TROUBLE_AT_S + 2.0, 0.2)
        + &failure("machines-hang", TROUBLE_AT_S + 6.0, 16.0, "count = 4")
        + &crash(TROUBLE_AT_S + 9.0, 4.0)
        + &failure("spot-wave", TROUBLE_AT_S + 10.0, 1.0, "count = 4");
    meets(&failures, 24.0, &["together", "spread"]);
}

#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    // Guards against tasks of a cut zone that are kept by its controller, or run on, and
    // are started elsewhere.
    let failures = failure("zone-cut", TROUBLE_AT_S, 45.0, "zone = \"south\"")
        + &crash(TROUBLE_AT_S + 5.0, 0.2);
    meets(&failures, 45.0, &["spread"]);
}

#[test]
fn the_zone_of_the_leader_is_cut_off_for_longer_than_a_lease() {
    // Guards against a former leader in the cut zone that keeps tasks beyond its time.
    let failures = failure("zone-cut", TROUBLE_AT_S, 40.0, "zone = \"north\"");
    meets(&failures, 40.0, &["spread"]);
}
