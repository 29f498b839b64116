//! Transactions to the state service that are carried out at once and whose answers are
//! lost, while other controllers read what they wrote: by themselves, and with other
//! failures.

use std::collections::{BTreeMap, BTreeSet};

use umbersail_rehearsal::history::{Event, EventKind};

use umbersail_rehearsal::{CalendarRun, Outcome, Scenario};

use crate::harness::{elections, failure, holds, night, seeds, shop};

/// What a transaction does, of the kinds of `docs/design.md`, "Late transactions".
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Acceptance,
    Cancellation,
    Progress,
    End,
    ProgressRemoval,
    GrantPart,
    Plan,
    PlanRemoval,
    Election,
    UnsettledRemoval,
    Catalogue,
    Doubt,
    Alive,
    Comparison,
}

/// The kinds that one transaction is of: a leader writes several at once.
fn kinds(conditions: &[String], puts: &[String], deletes: &[String]) -> BTreeSet<Kind> {
    let mut kinds = BTreeSet::new();
    let is_leaders = conditions.iter().any(|key| key == "leader");
    for put in puts {
        kinds.extend(match put.as_str() {
            "leader" => Some(Kind::Election),
            "catalogue" => Some(Kind::Catalogue),
            "alive" => Some(Kind::Alive),
            key if key.starts_with("jobs/") => Some(Kind::Acceptance),
            key if key.starts_with("runs/") => Some(Kind::Progress),
            key if key.starts_with("grants/fleet/") => Some(Kind::GrantPart),
            key if key.starts_with("plans/") => Some(Kind::Plan),
            key if key.starts_with("doubts/") => Some(Kind::Doubt),
            _ => None,
        });
    }
    for delete in deletes {
        kinds.extend(match delete.as_str() {
            "unsettled" => Some(Kind::UnsettledRemoval),
            key if key.starts_with("jobs/") && is_leaders => Some(Kind::End),
            key if key.starts_with("jobs/") => Some(Kind::Cancellation),
            key if key.starts_with("runs/") => Some(Kind::ProgressRemoval),
            key if key.starts_with("plans/") => Some(Kind::PlanRemoval),
            _ => None,
        });
    }
    if puts.is_empty() && deletes.is_empty() {
        kinds.insert(Kind::Comparison);
    }
    kinds
}

/// Jobs of transactions of one kind that were applied and whose answers were lost, and
/// when.
fn lost(events: &[Event], kind: Kind) -> Vec<(f64, String)> {
    let mut jobs = Vec::new();
    for event in events {
        let EventKind::LostAnswer {
            conditions,
            puts,
            deletes,
            applied: true,
            ..
        } = &event.what
        else {
            continue;
        };
        if kinds(conditions, puts, deletes).contains(&kind) {
            let prefix = if kind == Kind::Progress {
                "runs/"
            } else {
                "jobs/"
            };
            let keys = puts.iter().chain(deletes);
            jobs.extend(keys.filter_map(|key| Some((event.t, key.strip_prefix(prefix)?.into()))));
        }
    }
    jobs
}

/// Each kind was applied and its answer lost so often at least, in all nights together.
fn meets(outcomes: &[Outcome], least: &[(Kind, usize)]) {
    let mut met: BTreeMap<Kind, usize> = BTreeMap::new();
    for event in outcomes.iter().flat_map(|o| &o.events) {
        if let EventKind::LostAnswer {
            conditions,
            puts,
            deletes,
            applied: true,
            ..
        } = &event.what
        {
            for kind in kinds(conditions, puts, deletes) {
                *met.entry(kind).or_default() += 1;
            }
        }
    }
    println!("answers lost: {met:?}");
    for (kind, least) in least {
        let count = met.get(kind).copied().unwrap_or(0);
        assert!(count >= *least, "{kind:?} only {count} times: {met:?}");
    }
}

/// Users learn what became of submissions and cancellations whose answers were lost: no
/// retry is refused because of its own first try.
fn retries_are_answered(outcomes: &[Outcome]) {
    let (mut accepted, mut cancelled) = (0, 0);
    for outcome in outcomes {
        let (events, seed) = (&outcome.events, outcome.seed);
        let refused = events.iter().find(|e| {
            matches!(
                &e.what,
                EventKind::Refused { .. } | EventKind::Repeated { status: 201.., .. }
            )
        });
        assert!(refused.is_none(), "seed {seed}: {refused:?}");
        let told = |id: &str, since: f64, is: &dyn Fn(&EventKind) -> Option<String>| {
            let mut later = events.iter().filter(|e| e.t >= since);
            later.any(|e| is(&e.what).as_deref() == Some(id))
        };
        let accepts = |what: &EventKind| match what {
            EventKind::Accepted { job, .. } => Some(job.clone()),
            _ => None,
        };
        let cancels = |what: &EventKind| match what {
            EventKind::CancelAcknowledged { job, .. } => Some(job.clone()),
            _ => None,
        };
        for (t, job) in lost(events, Kind::Acceptance) {
            assert!(told(&job, t, &accepts), "seed {seed}: {job} at {t}");
            accepted += 1;
        }
        for (t, job) in lost(events, Kind::Cancellation) {
            assert!(told(&job, t, &cancels), "seed {seed}: {job} at {t}");
            cancelled += 1;
        }
    }
    println!("retries answered: {accepted} submissions, {cancelled} cancellations");
}

/// What only the leader writes.
const LEADERS: [&str; 4] = ["runs/", "grants/fleet/", "plans/", "catalogue"];

/// A leader reads what it wrote without an answer before it writes it again: what it
/// alone writes never moves under its own transactions, unless another leads by then.
fn no_conflict_with_oneself(outcomes: &[Outcome]) {
    for outcome in outcomes {
        let by_itself = |event: &&Event| match &event.what {
            EventKind::Conflict { failed, .. } => {
                let is_leaders = |key: &String| LEADERS.iter().any(|p| key.starts_with(p));
                failed.iter().any(is_leaders) && !failed.iter().any(|key| key == "leader")
            }
            _ => false,
        };
        let found = outcome.events.iter().find(by_itself);
        assert!(found.is_none(), "seed {}: {found:?}", outcome.seed);
    }
}

/// Tasks that started after the answer to a record of their job's progress was lost.
fn starts_after_lost_progress(outcomes: &[Outcome]) -> usize {
    let of_one = |outcome: &Outcome| {
        let lost = lost(&outcome.events, Kind::Progress);
        let starts = |e: &&Event| match &e.what {
            EventKind::Started { job, .. } => lost
                .iter()
                .any(|(t, id)| id == job && (0.0..5.0).contains(&(e.t - t))),
            _ => false,
        };
        outcome.events.iter().filter(starts).count()
    };
    outcomes.iter().map(of_one).sum()
}

fn lost_answers(at_s: f64, for_s: f64, share: f64) -> String {
    let more = format!("share = {share:?}\nat_once = true");
    failure("late-writes", at_s, for_s, &more)
}

fn small_arrays(length_s: f64, failures: &str) -> Scenario {
    let mut night = shop(length_s, failures);
    for class in &mut night.classes {
        (class.tasks, class.most, class.cancelled) = (2.0, 3, 0.5);
    }
    night
}

/// A run of two steps with jobs of these classes, three times, a minute apart.
fn calendar_run(classes: [&str; 2]) -> CalendarRun {
    let mut run = night("calendar-runs-leader-changes").runs.remove(0);
    (run.opens_s, run.times, run.every_min, run.due_s) = (20.0, 3, 1, 55.0);
    for (step, class) in run.steps.iter_mut().zip(classes) {
        (step.class, step.jobs) = (class.into(), 4);
    }
    run
}

#[test]
fn a_retry_after_a_lost_answer_finds_its_own_first_try() {
    // Guards against a user who is refused, a job that runs twice, and progress or an
    // end that is taken for somebody else's, since the first try stands already.
    let outcomes = holds(
        &small_arrays(120.0, &lost_answers(5.0, 110.0, 0.3)),
        &seeds(2),
    );
    retries_are_answered(&outcomes);
    no_conflict_with_oneself(&outcomes);
    assert!(starts_after_lost_progress(&outcomes) >= 10);
    let least = [
        (Kind::Acceptance, 5),
        (Kind::Cancellation, 2),
        (Kind::Progress, 10),
        (Kind::End, 3),
        (Kind::ProgressRemoval, 3),
        (Kind::GrantPart, 1),
        (Kind::Comparison, 20),
    ];
    meets(&outcomes, &least);
}

#[test]
fn a_leader_that_ends_before_it_reads_what_it_wrote_leaves_that_to_its_successor() {
    // Guards against a successor that counts or starts again what its predecessor wrote
    // without an answer, and against an election that nobody knows to have won.
    let mut failures = lost_answers(10.0, 110.0, 0.3);
    for at_s in [30.0, 45.0, 60.0, 75.0, 90.0, 105.0] {
        failures += &failure(
            "controller-crash",
            at_s,
            0.0,
            "who = \"leader\"\nback_s = 0.5",
        );
    }
    let outcomes = holds(&small_arrays(130.0, &failures), &seeds(3));
    retries_are_answered(&outcomes);
    no_conflict_with_oneself(&outcomes);
    for outcome in &outcomes {
        let elected = elections(&outcome.events).len();
        assert!(elected >= 7, "seed {}: {elected} elections", outcome.seed);
    }
    let least = [
        (Kind::Election, 3),
        (Kind::Doubt, 1),
        (Kind::Catalogue, 1),
        (Kind::GrantPart, 1),
        (Kind::Progress, 10),
    ];
    meets(&outcomes, &least);
}

#[test]
fn leaders_that_end_in_outages_account_for_starts_whose_records_are_not_answered() {
    // Guards against records of an outage, and the word that all is recorded, that stand
    // and are written or taken for missing again.
    let mut failures = lost_answers(10.0, 150.0, 0.3);
    for at_s in [35.0, 75.0, 115.0] {
        failures += &failure("state-down", at_s, 8.0, "");
        failures += &failure(
            "controller-crash",
            at_s + 6.0,
            0.0,
            "who = \"all\"\nback_s = 0.5",
        );
    }
    let outcomes = holds(&small_arrays(150.0, &failures), &seeds(4));
    retries_are_answered(&outcomes);
    no_conflict_with_oneself(&outcomes);
    meets(
        &outcomes,
        &[(Kind::UnsettledRemoval, 1), (Kind::Election, 1)],
    );
}

#[test]
fn a_leader_whose_answer_to_a_doubt_is_lost_goes_on() {
    // Guards against doubts and answers to them that stand although nobody knows, and
    // against a verdict on a leader that has answered.
    let failures = lost_answers(10.0, 100.0, 0.3) + &failure("controllers-apart", 30.0, 60.0, "");
    let outcomes = holds(&small_arrays(120.0, &failures), &seeds(2));
    retries_are_answered(&outcomes);
    no_conflict_with_oneself(&outcomes);
    meets(&outcomes, &[(Kind::Doubt, 3), (Kind::Alive, 3)]);
}

#[test]
fn plans_whose_writes_are_not_answered_stand_once_and_go_once() {
    // Guards against a run of the calendar that is written over, or stands again, since
    // its first write was applied.
    let mut failures = lost_answers(10.0, 180.0, 0.4);
    for at_s in [40.0, 80.0, 120.0] {
        failures += &failure(
            "controller-crash",
            at_s,
            0.0,
            "who = \"leader\"\nback_s = 0.5",
        );
    }
    let mut night = small_arrays(180.0, &failures);
    for class in &mut night.classes {
        (class.per_minute, class.at_start, class.cancelled) = (0.0, 0, 0.0);
        class.run_s = 10.0;
    }
    night.runs = vec![calendar_run(["pages", "translations"])];
    let outcomes = holds(&night, &seeds(2));
    retries_are_answered(&outcomes);
    no_conflict_with_oneself(&outcomes);
    meets(&outcomes, &[(Kind::Plan, 5), (Kind::PlanRemoval, 1)]);
}
