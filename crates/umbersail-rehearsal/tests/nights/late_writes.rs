//! Transactions to the state service that get no answer and are carried out 2 to 12 s
//! later, after newer ones: by themselves, and with other troubles.

use umbersail_rehearsal::Outcome;
use umbersail_rehearsal::history::EventKind;

use crate::harness::{begins_at, holds, seeds, shop};

/// What no late transaction may change once a newer one has: doubts and answers to them
/// may, and so may the removal of progress that is gone.
const FINAL: [&str; 5] = ["jobs/", "over/", "grants/", "leader", "plans/"];
/// What only the leader writes: nothing of it may be changed under the next.
const LEADERS: [&str; 4] = ["runs/", "grants/", "plans/", "catalogue"];

/// Looks at nights that hold: of each prefix a transaction came late, after others
/// had changed its keys, and did not undo them. Returns how many were applied, and
/// how many of a former leader came under the next.
fn meets(outcomes: &[Outcome], prefixes: &[&str]) -> (usize, usize) {
    let (mut late, mut all_applied, mut of_former) = (0, 0, 0);
    let mut met = vec![0; prefixes.len()];
    for outcome in outcomes {
        for event in &outcome.events {
            let EventKind::LateWrite {
                keys,
                applied,
                overtaken,
                leader_changed,
                ..
            } = &event.what
            else {
                continue;
            };
            let names = |prefix: &&str| overtaken.iter().any(|k| k.starts_with(prefix));
            let undoes = *applied && FINAL.iter().any(names);
            assert!(!undoes, "seed {}: {event:?}", outcome.seed);
            let is_leaders = LEADERS
                .iter()
                .any(|p| keys.iter().any(|k| k.starts_with(p)));
            let former = is_leaders && *leader_changed;
            assert!(!(former && *applied), "seed {}: {event:?}", outcome.seed);
            of_former += usize::from(former);
            late += 1;
            all_applied += usize::from(*applied);
            for (met, prefix) in met.iter_mut().zip(prefixes) {
                *met += usize::from(names(prefix));
            }
        }
    }
    println!(
        "{late} late, {all_applied} applied; {of_former} of former leaders; after newer ones: {prefixes:?} {met:?}"
    );
    assert!(met.iter().all(|met| *met > 0), "{prefixes:?} {met:?}");
    (all_applied, of_former)
}

fn late_writes(at_s: f64, for_s: f64, share: f64) -> String {
    format!(
        "[[failures]]\nwhat = \"late-writes\"\nat_s = {at_s}\nfor_s = {for_s}\nshare = {share}\n"
    )
}

#[test]
fn late_transactions_alone_undo_no_newer_one() {
    // Guards against a first try that undoes its retry: of a submission, of progress,
    // of an end or of a part of the grant.
    let night = shop(120.0, &late_writes(15.0, 90.0, 0.3));
    let (applied, _) = meets(&holds(&night, &seeds(2)), &["runs/", "jobs/", "over/"]);
    assert!(
        applied > 0,
        "those without a retry are carried out all the same"
    );
}

#[test]
fn late_transactions_of_leaders_that_have_ended_are_refused_to_the_next() {
    // Guards against progress, ends and elections of a leader that are carried out under
    // its successor, and against a key that nobody holds for long.
    let mut failures = late_writes(20.0, 90.0, 0.25);
    for at in [35, 55, 75, 95] {
        let what = "what = \"controller-crash\"\nwho = \"leader\"\nback_s = 0.5\n";
        failures += &format!("[[failures]]\nat_s = {at}\n{what}");
    }
    let (_, of_former) = meets(
        &holds(&shop(130.0, &failures), &seeds(3)),
        &["leader", "runs/"],
    );
    assert!(of_former > 0, "none of a former leader came under the next");
}

#[test]
fn late_transactions_over_an_outage_of_the_state_service_break_no_rule() {
    // Guards against transactions from before an outage that are carried out after it,
    // among starts without a record.
    let mut failures = late_writes(20.0, 80.0, 0.3);
    for at in [40, 75] {
        failures += &format!("[[failures]]\nwhat = \"state-down\"\nat_s = {at}\nfor_s = 9\n");
    }
    let outcomes = holds(&shop(130.0, &failures), &seeds(2));
    meets(&outcomes, &["runs/"]);
    // Those that were due in an outage come right after it.
    let after = |o: &Outcome| {
        let ends: Vec<f64> = begins_at(&o.events, "state-down")
            .iter()
            .map(|at| at + 9.0)
            .collect();
        let late = o.events.iter();
        late.filter(|e| matches!(e.what, EventKind::LateWrite { .. }))
            .filter(|e| ends.iter().any(|end| (0.0..0.2).contains(&(e.t - end))))
            .count()
    };
    assert!(outcomes.iter().map(after).sum::<usize>() > 0);
}

#[test]
fn late_transactions_of_small_arrays_with_many_cancellations_change_no_end() {
    // Guards against a job told cancelled or done whose late transaction says otherwise,
    // or that starts again.
    let mut night = shop(120.0, &late_writes(15.0, 90.0, 0.3));
    for class in &mut night.classes {
        (class.tasks, class.most, class.cancelled) = (2.0, 3, 0.5);
    }
    meets(&holds(&night, &seeds(2)), &["jobs/", "over/"]);
}
