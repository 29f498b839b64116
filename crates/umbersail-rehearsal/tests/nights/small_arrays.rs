//! Jobs of two and three tasks that end far apart, over one change of leader and
//! over two.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_rehearsal::Scenario;
use umbersail_rehearsal::history::{EndReason, Event, EventKind};
use umbersail_wire::JobStage;

use crate::harness::{Attempt, attempts, begins_at, each, elections, failure, holds, seeds, shop};

/// A shop of small arrays whose tasks take from seconds to a minute.
fn small(failures: &str) -> Scenario {
    let mut night = shop(100.0, failures);
    for (class, tasks) in night.classes.iter_mut().zip([2, 3]) {
        (class.tasks, class.most, class.exactly) = (f64::from(tasks), tasks, true);
        (class.run_s, class.run_sigma, class.task_sigma) = (20.0, 0.1, 0.65);
        (class.per_minute, class.cancelled, class.spread) = (25.0, 0.0, false);
        (class.cpus, class.memory_gb, class.spot) = (1.0, 2.0, false);
    }
    night.objectives.clear();
    night
}

/// For each job, the ends of its tasks that were done, in order. None of them began
/// again after its end while the machine that holds its result was there and had its
/// lease (a worker whose lease ends forgets all), nor after anybody was told that the job
/// is done.
fn ends(events: &[Event]) -> BTreeMap<String, Vec<f64>> {
    let mut done: BTreeMap<(String, u32), (f64, String)> = BTreeMap::new();
    let mut ends: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let all = attempts(events);
    let lapsed = |machine: &str, from: f64, to: f64| {
        let lapses = |a: &Attempt| a.how == Some(EndReason::Lapsed) && from < a.to && a.to < to;
        all.iter().any(|a| a.machine == machine && lapses(a))
    };
    for attempt in all.clone() {
        let (job, task, from) = (attempt.job, attempt.task, attempt.from);
        let told = told_done(events, &job);
        assert!(
            told.is_none_or(|t| from < t),
            "{job}/{task} began at {from} s; told done at {told:?} s"
        );
        if let Some((t, machine)) = done.get(&(job.clone(), task)) {
            assert!(
                gone_at(events, machine).is_some_and(|gone| gone < from)
                    || lapsed(machine, *t, from),
                "{job}/{task} was done at {t} s on {machine} and began again at {from} s"
            );
        }
        if attempt.how == Some(EndReason::Done) {
            done.insert((job.clone(), task), (attempt.to, attempt.machine));
            ends.entry(job).or_default().push(attempt.to);
        }
    }
    ends.values_mut().for_each(|e| e.sort_by(f64::total_cmp));
    ends
}

/// When somebody was first told that the job is done.
fn told_done(events: &[Event], of: &str) -> Option<f64> {
    let told = events.iter().find(|e| match &e.what {
        EventKind::Polled { job, stage, .. } | EventKind::Repeated { job, stage, .. } => {
            job == of && *stage == Some(JobStage::Done)
        }
        _ => false,
    });
    told.map(|e| e.t)
}

fn gone_at(events: &[Event], of: &str) -> Option<f64> {
    let gone =
        |e: &&Event| matches!(&e.what, EventKind::MachineGone { machine, .. } if machine == of);
    events.iter().find(gone).map(|e| e.t)
}

/// How many jobs had all these moments between two ends that are 5 to 60 s apart.
fn split_by(ends: &BTreeMap<String, Vec<f64>>, moments: &[f64]) -> usize {
    let splits = |e: &&Vec<f64>| {
        let (first, last) = (e[0], e[e.len() - 1]);
        let apart = (5.0..60.0).contains(&(last - first));
        apart && moments.iter().all(|t| first < *t && *t < last)
    };
    ends.values().filter(splits).count()
}

/// Plays leaders that end, freeze or are cut at these moments.
fn over_changes(what: &str, for_s: f64, seed: u64, moments: &[f64], jobs_at_least: usize) {
    let changes = moments.iter();
    let failures: String = changes
        .map(|at| failure(what, *at, for_s, "who = \"leader\""))
        .collect();
    let outcomes = holds(&small(&failures), &[seed]);
    let events = &outcomes[0].events;
    assert_eq!(begins_at(events, what).len(), moments.len());
    let after = |at: &f64| elections(events).iter().any(|(t, _)| t > at);
    assert!(moments.iter().all(after), "seed {seed}: a change each");
    let split = split_by(&ends(events), moments);
    assert!(
        split >= jobs_at_least,
        "seed {seed}, {what}: {split} jobs at {moments:?}"
    );
}

/// The ways in which a leader goes, and for how long.
const WAYS: [(&str, f64); 3] = [
    ("controller-crash", 0.0),
    ("controller-freezes", 12.0),
    ("controller-isolated", 25.0),
];

#[test]
fn small_arrays_are_done_in_time_and_once_over_a_change_of_leader() {
    // Guards against an end that the successor does not know of: a job that is never
    // done, done early, or a task that runs again.
    let cases: Vec<_> = seeds(2)
        .into_iter()
        .flat_map(|seed| WAYS.map(|way| (seed, way)))
        .collect();
    each(&cases, |(seed, (what, for_s))| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let at = rng.random_range(45.0..80.0);
        over_changes(what, *for_s, *seed, &[at], 5);
    });
}

#[test]
fn small_arrays_are_done_in_time_and_once_over_two_changes_of_leader() {
    // Guards against an end that only a leader knew of that led between two others.
    let cases: Vec<_> = seeds(2)
        .into_iter()
        .flat_map(|seed| WAYS.map(|way| (seed, way)))
        .collect();
    each(&cases, |(seed, (what, for_s))| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let at = rng.random_range(45.0..70.0);
        let next = at + rng.random_range(3.0..9.0);
        over_changes(what, *for_s, *seed, &[at, next], 3);
    });
}
