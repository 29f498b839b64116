//! Recorded plans: when they are written, and how a new leader reads them.

use serde::{Deserialize, Serialize};
use umbersail_wire::{Value, to_value};

use super::*;
use crate::records::{PlanRecord, plan_key};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Note {
    steps: u32,
}

fn put(engine: &mut Engine, now: f64, name: &str, steps: u32) {
    engine
        .plans
        .store
        .put(now, name, 1, &Note { steps })
        .unwrap();
}

fn plans_in(changes: &[Change<Record>]) -> Vec<&str> {
    let of_plans = |c: &Change<Record>| {
        matches!(
            c,
            Change::Put {
                value: Record::Plan(_),
                ..
            }
        )
    };
    let keys = changes.iter().filter(|c| of_plans(c));
    keys.map(|c| match c {
        Change::Put { key, .. } | Change::Delete { key } => key.as_str(),
    })
    .collect()
}

#[test]
fn launches_are_recorded_before_a_plan_but_the_plan_does_not_wait_forever() {
    // Guards against plans that delay task starts, and against rentals that wait for a plan
    // record that is never written under high load.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let _worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 1.0));
    put(&mut engine, 1.0, "note/a", 1);
    let pending = engine.next_txn(1.0, 2, 2).unwrap();
    assert_eq!(plans_in(&pending.txn.changes), Vec::<&str>::new());
    engine.txn_finished(1.0, pending, TxnOutcome::NotExecuted);
    assert!(!engine.plans.store.is_recorded("note/a"));
    let pending = engine.next_txn(4.0, 2, 2).unwrap();
    assert_eq!(plans_in(&pending.txn.changes), [plan_key("note/a")]);
    assert!(
        pending.txn.changes.len() > 1,
        "the launch is in the same transaction"
    );
    engine.txn_finished(4.0, pending, TxnOutcome::Applied { revision: 110 });
    assert!(engine.plans.store.is_recorded("note/a"));
    put(&mut engine, 5.0, "note/a", 1);
    assert!(
        engine.next_txn(5.0, 20, 20).is_none(),
        "an unchanged plan is not written again"
    );
}

#[test]
fn a_plan_whose_write_was_not_acknowledged_is_read_before_it_is_written_again() {
    // Guards against a late transaction that replaces a newer plan by an older one.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    put(&mut engine, 1.0, "note/a", 1);
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    assert_eq!(pending.txn.conditions[0].key, LEADER);
    engine.txn_finished(1.0, pending, TxnOutcome::Unknown);
    put(&mut engine, 2.0, "note/a", 2);
    assert!(
        engine.next_txn(2.0, 20, 20).is_none(),
        "the plan is read first"
    );
    assert_eq!(engine.unread_plans(), ["note/a"]);
    let recorded = PlanRecord {
        version: 1,
        plan: to_value(&Note { steps: 1 }).unwrap(),
        is_tombstone: false,
    };
    engine.plan_read(2.0, "note/a", Some((to_value(&recorded).unwrap(), 77)));
    let pending = engine.next_txn(2.0, 20, 20).unwrap();
    let condition = pending
        .txn
        .conditions
        .iter()
        .find(|c| c.key == plan_key("note/a"));
    assert_eq!(condition.map(|c| c.version), Some(77));
    engine.txn_finished(2.0, pending, TxnOutcome::Applied { revision: 78 });
    assert!(engine.plans.store.is_recorded("note/a"));
}

#[test]
fn a_new_leader_reads_valid_plans_and_ignores_invalid_ones() {
    // Guards against a recorded plan that crashes every leader, one after the other.
    let valid = PlanRecord {
        version: 1,
        plan: to_value(&Note { steps: 3 }).unwrap(),
        is_tombstone: false,
    };
    let newer = PlanRecord {
        version: 9,
        ..valid.clone()
    };
    let records = [
        ("note/valid", to_value(&valid).unwrap()),
        ("note/newer", to_value(&newer).unwrap()),
        ("note/text", Value::from("invalid")),
        ("note/other", to_value(&Note { steps: 1 }).unwrap()),
    ];
    let inherited_state = InheritedState {
        plans: records
            .into_iter()
            .map(|(name, value)| InheritedPlan {
                name: name.into(),
                version: 50,
                value,
            })
            .collect(),
        ..empty_inherited_state()
    };
    let cfg = config(vec![team(0.0, 0.0)], Tuning::default());
    let mut engine = Engine::new(cfg, 0.0, 0, inherited_state);
    let store = &mut engine.plans.store;
    assert_eq!(store.read("note/valid", 1), Ok(Some(Note { steps: 3 })));
    assert!(store.read::<Note>("note/newer", 1).is_err());
    store.ignore("note/newer");
    assert_eq!(store.names("note"), ["note/valid"]);
    assert!(
        engine.next_txn(5.0, 20, 20).is_none(),
        "ignored plans stay unchanged"
    );
    engine.plans.store.remove(6.0, "note/valid");
    let changes = commit(&mut engine, 6.0);
    assert!(matches!(&changes[..], [Change::Delete { key }] if *key == plan_key("note/valid")));
    assert_eq!(engine.plans.store.names("note"), Vec::<String>::new());
}
