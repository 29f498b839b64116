//! Jobs of one task come four a second, and a quarter of them is cancelled within two
//! seconds: what each costs at the state service, and that none is left waiting.

use std::collections::BTreeMap;

use umbersail_rehearsal::history::{Event, EventKind};
use umbersail_rehearsal::{Figures, Scenario};

use crate::harness::{holds, seeds, shop};

/// Jobs a second.
const JOBS_PER_S: f64 = 4.0;
/// They come for so many seconds, and for ten minutes where more seeds are asked for.
const SHORT_S: f64 = 60.0;
const LONG_S: f64 = 600.0;
/// Changes at the state service that a job may take: accepted (1), launched (1), ended
/// (2: `jobs/` goes and `over/` stands), and its progress removed (1).
const MOST_CHANGES: f64 = 5.0;
/// Further changes a minute that are nobody's job: the leader's, grants and doubts.
const OTHERS_PER_MINUTE: f64 = 60.0;

fn one_task_jobs(length_s: f64) -> Scenario {
    let mut night = shop(length_s, "");
    night.classes.truncate(1);
    let class = &mut night.classes[0];
    (class.tasks, class.most, class.exactly) = (1.0, 1, true);
    (class.per_minute, class.at_start) = (60.0 * JOBS_PER_S, 0);
    (class.cancelled, class.cancelled_within_s) = (0.25, 2.0);
    (class.run_s, class.image_gb) = (8.0, 0.1);
    night.objectives.clear();
    night
}

/// What the state service took and held at the end of the night.
struct State<'a> {
    changes: &'a BTreeMap<String, u64>,
    standing: &'a BTreeMap<String, u64>,
    requests: u64,
    refused: u64,
}

fn state(events: &[Event]) -> State<'_> {
    let told = events.iter().rev().find_map(|e| match &e.what {
        EventKind::StateSample {
            changes,
            live_keys: standing,
            requests,
            refused,
        } => Some(State {
            changes,
            standing,
            requests: *requests,
            refused: *refused,
        }),
        _ => None,
    });
    told.expect("the history tells of the state service")
}

/// Cancellations that were asked for within two seconds of the acceptance.
fn cancelled_soon(events: &[Event]) -> usize {
    let mut accepted = BTreeMap::new();
    let mut soon = 0;
    for event in events {
        match &event.what {
            EventKind::Accepted { job, .. } => drop(accepted.insert(job.as_str(), event.t)),
            EventKind::CancelRequested { job } => {
                soon += usize::from(
                    accepted
                        .get(job.as_str())
                        .is_some_and(|t| event.t < t + 2.1),
                );
            }
            _ => {}
        }
    }
    soon
}

fn told(figures: &Figures, state: &State<'_>) {
    let jobs = figures.accepted as f64;
    let by = |count: u64| format!("{:.2}", count as f64 / jobs);
    let changes: Vec<String> = (state.changes.iter())
        .map(|(first, count)| format!("{first} {}", by(*count)))
        .collect();
    println!(
        "{} jobs, {} cancelled; changes by job: {:.2} ({}); requests by job {}, refused {}; \
         standing {:?}; polls by job {:.2}; processor {:.2} s",
        figures.accepted,
        figures.cancelled,
        state.changes.values().sum::<u64>() as f64 / jobs,
        changes.join(", "),
        by(state.requests),
        state.refused,
        state.standing,
        figures.answers.polls as f64 / jobs,
        figures.processor_s,
    );
}

#[test]
fn jobs_of_one_task_four_a_second_with_a_quarter_cancelled_at_once() {
    // Guards against records of small jobs that take more changes than the bucket of
    // the state service has, or that stay once their jobs are over.
    let seeds = seeds(1);
    let length_s = if seeds.len() > 1 { LONG_S } else { SHORT_S };
    let night = one_task_jobs(length_s);
    for outcome in holds(&night, &seeds) {
        let (figures, state) = (&outcome.figures, state(&outcome.events));
        told(figures, &state);
        let jobs = figures.accepted as f64;
        assert!(jobs > 0.8 * JOBS_PER_S * length_s, "{figures:?}");
        let soon = cancelled_soon(&outcome.events) as f64;
        assert!((0.18..0.32).contains(&(soon / jobs)), "{soon} of {jobs}");
        let changes = state.changes.values().sum::<u64>() as f64;
        let others = OTHERS_PER_MINUTE * outcome.length_s / 60.0;
        assert!(
            changes <= MOST_CHANGES * jobs + others,
            "{changes} for {jobs}"
        );
        // All that a job leaves for ever is how it ended.
        assert_eq!(state.standing["over"], figures.accepted as u64);
        assert_eq!(state.standing["jobs"], 0);
        assert!(figures.served.iter().all(|s| s.longest_start_s < 90.0));
    }
}
