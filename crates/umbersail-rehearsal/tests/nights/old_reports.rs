//! Reports that arrive after newer ones of their machine: of an earlier count or
//! session, of a machine that is gone, at the leader, at its peers and at successors.

use std::collections::{BTreeMap, BTreeSet};

use umbersail_rehearsal::Outcome;
use umbersail_rehearsal::history::{Event, EventKind};

use crate::harness::{begins_at, holds, seeds, shop};

/// How often old reports met what, in one night or several.
fn met(outcomes: &[Outcome]) -> BTreeMap<String, usize> {
    let mut met = BTreeMap::<String, usize>::new();
    for outcome in outcomes {
        let mut gone: BTreeSet<&str> = BTreeSet::new();
        let ended: Vec<f64> = begins_at(&outcome.events, "controller-crash");
        for Event { t, what } in &outcome.events {
            match what {
                EventKind::MachineGone { machine, .. } => drop(gone.insert(machine)),
                EventKind::LateHeartbeat {
                    machine,
                    node,
                    status,
                    order,
                    newest,
                    ended: then,
                    begun,
                    ..
                } if order < newest => {
                    let mut note = |kind: &str| *met.entry(kind.to_owned()).or_default() += 1;
                    note("old");
                    note(&format!("at {node}"));
                    note(&format!("answered {status}"));
                    let kinds = [
                        (order.0 == newest.0, "earlier count"),
                        (order.0 < newest.0, "earlier session"),
                        (gone.contains(machine.as_str()), "of one that is gone"),
                        (*then > 0, "runs in the old one"),
                        (*begun > 0, "exited in the old one, runs in the newer"),
                        // Elected when the key of the one that ended has run out.
                        (
                            ended.iter().any(|at| (3.0..10.0).contains(&(t - at))),
                            "after a leader's end",
                        ),
                    ];
                    kinds
                        .iter()
                        .filter(|(is, _)| *is)
                        .for_each(|(_, kind)| note(kind));
                }
                _ => {}
            }
        }
    }
    println!("{met:?}");
    met
}

const COPIES: &str =
    "[[failures]]\nwhat = \"reports-late\"\nat_s = 20\nfor_s = 110\nfrom_s = 0.6\nto_s = 30\n";

fn wants(met: &BTreeMap<String, usize>, kinds: &[&str]) {
    for kind in kinds {
        assert!(
            met.get(*kind).is_some_and(|n| *n > 0),
            "none {kind}: {met:?}"
        );
    }
}

#[test]
fn old_reports_at_leaders_that_follow_each_other() {
    // Guards against a successor that takes an old list for what runs now.
    let mut failures = COPIES.to_owned();
    for (at, back) in [
        (45.0, 4.0),
        (58.0, 0.2),
        (75.0, 4.0),
        (82.0, 4.0),
        (105.0, 0.2),
    ] {
        failures += &format!(
            "[[failures]]\nwhat = \"controller-crash\"\nat_s = {at}\nwho = \"leader\"\nback_s = {back}\n"
        );
    }
    failures += "[[failures]]\nwhat = \"machines-hang\"\nat_s = 50\nfor_s = 15\ncount = 5\n\
        [[failures]]\nwhat = \"spot-wave\"\nat_s = 60\ncount = 4\n\
        [[failures]]\nwhat = \"machines-stop\"\nat_s = 70\ncount = 2\n";
    let outcomes = holds(&shop(140.0, &failures), &seeds(3));
    wants(
        &met(&outcomes),
        &[
            "earlier count",
            "earlier session",
            "of one that is gone",
            "runs in the old one",
            "after a leader's end",
            "at 0",
            "at 1",
            "at 2",
        ],
    );
}

#[test]
fn old_reports_at_peers_that_answer_in_the_leaders_stead() {
    // Guards against a copy that is taken for a sign of life by a peer, or that ends
    // the time for which it keeps a machine.
    let mut failures = COPIES.to_owned();
    for at in [40.0, 75.0, 105.0] {
        failures += &format!(
            "[[failures]]\nwhat = \"controller-cut-from-workers\"\nat_s = {at}\nwho = \"leader\"\nfor_s = 20\n\
             [[failures]]\nwhat = \"machines-cut\"\nat_s = {}\nfor_s = 14\ncount = 4\n",
            at + 4.0
        );
    }
    failures +=
        "[[failures]]\nwhat = \"controller-freezes\"\nat_s = 85\nwho = \"leader\"\nfor_s = 9\n";
    let outcomes = holds(&shop(140.0, &failures), &seeds(3));
    wants(
        &met(&outcomes),
        &[
            "earlier count",
            "earlier session",
            "runs in the old one",
            "at 0",
            "at 1",
            "at 2",
        ],
    );
}

#[test]
fn an_old_report_shows_an_end_of_what_runs_again_on_the_same_machine() {
    // Guards against a task that is started a third time, since a copy says that
    // its first attempt has ended.
    let failures = format!(
        "{COPIES}[[failures]]\nwhat = \"machines-fail-tasks\"\nat_s = 25\nfor_s = 12\ncount = 16\n\
         [[failures]]\nwhat = \"controller-crash\"\nat_s = 40\nwho = \"leader\"\nback_s = 0.2\n\
         [[failures]]\nwhat = \"machines-fail-tasks\"\nat_s = 60\nfor_s = 12\ncount = 16\n\
         [[failures]]\nwhat = \"controller-crash\"\nat_s = 74\nwho = \"leader\"\nback_s = 4\n"
    );
    let outcomes = holds(&shop(140.0, &failures), &seeds(3));
    wants(
        &met(&outcomes),
        &[
            "exited in the old one, runs in the newer",
            "runs in the old one",
        ],
    );
}
