//! Machines of the cloud: rented, listed, given notice and deleted.

use super::*;

#[test]
fn a_deleted_or_failed_machine_is_accounted_for_at_once() {
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    engine.machines_deleted(&["m1".into()]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let mut listed = listed_machine("m1");
    engine.apply_machine_list(1.0, std::slice::from_ref(&listed));
    engine.apply_machine_list(1.0, &[]);
    assert_eq!(engine.jobs["req-1"].pending(), 1, "absence is not proof");
    listed.state = MachineState::Failed;
    engine.apply_machine_list(2.0, &[listed]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}

#[test]
fn a_machine_with_a_notice_gets_nothing_new_and_moves_what_cannot_finish() {
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut long = spec("req-1", 1, 2.0);
    long.estimate_s = 500.0;
    accept(&mut engine, 1.0, long);
    accept(&mut engine, 1.0, spec("req-2", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    let mut heartbeat = worker.heartbeat();
    heartbeat.notice_s = Some(25.0);
    receive_and_reply(&mut engine, 4.0, &heartbeat, true);
    engine.tick(4.0);
    accept(&mut engine, 4.0, spec("req-3", 1, 1.0));
    commit(&mut engine, 4.0);
    let mut heartbeat = worker.heartbeat();
    heartbeat.notice_s = Some(24.0);
    let told = receive_and_reply(&mut engine, 5.0, &heartbeat, true).unwrap();
    assert_eq!(stop_count(&told), 1, "{told:?}");
    assert_eq!(started_tasks(&told).len(), 0);
}

#[test]
fn a_deleted_machine_does_not_come_back_by_an_old_list() {
    // Guards against counting, and deleting again, what is gone: the list
    // lags by seconds.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let listed = listed_machine("m1");
    engine.apply_machine_list(1.0, std::slice::from_ref(&listed));
    engine.machines_deleted(&["m1".into()]);
    engine.apply_machine_list(6.0, std::slice::from_ref(&listed));
    assert!(engine.machines.is_empty());
}

#[test]
fn a_rental_without_answer_is_asked_again_by_its_name_and_none_other_meanwhile() {
    // Guards against renting without bound while the cloud does not answer.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    accept(&mut engine, 0.0, spec("req-1", 40, 2.0));
    let mut first = engine.cloud_actions(1.0);
    let Some(CloudAction::Rent(request)) = first.pop() else {
        panic!("nothing rented");
    };
    for other in first {
        if let CloudAction::Rent(other) = other {
            engine.machines_rented(1.0, &other, &["host-1".to_owned()]);
        }
    }
    engine.rental_unanswered(request.clone());
    let again = engine.cloud_actions(2.0);
    assert_eq!(again, vec![CloudAction::Rent(request)]);
}

#[test]
fn a_silent_machine_that_a_list_leaves_out_among_newer_ones_is_deleted_at_once() {
    // Guards against waiting, after a take-over, for the old holder's time and
    // the lease of spot machines that were taken without notice.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let deletes = |engine: &mut Engine, now| {
        let actions = engine.cloud_actions(now);
        let deletes = |a: &CloudAction| matches!(a, CloudAction::Delete(n) if n == &["m1"]);
        actions.iter().any(deletes)
    };
    // An older list proves nothing, nor does one that shows it.
    engine.apply_machine_list(1.0, &[listed_machine("m0")]);
    assert!(!deletes(&mut engine, 1.0));
    engine.apply_machine_list(2.0, &[listed_machine("m1"), listed_machine("m2")]);
    assert!(!deletes(&mut engine, 2.0));
    engine.apply_machine_list(3.0, &[listed_machine("m2")]);
    assert!(deletes(&mut engine, 3.0));
    assert_eq!(
        engine.jobs["req-1"].recovery_pending.len(),
        2,
        "only the answer proves it"
    );
    engine.machines_deleted(&["m1".into()]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}
