//! Cloud machines: rental, machine lists, reclaim notices and deletion.

use super::*;

#[test]
fn tasks_of_a_deleted_or_failed_machine_wait_again_at_once() {
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    engine.machines_deleted(&["m1".into()]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let mut entry = listed_machine("m1");
    engine.apply_machine_list(1.0, std::slice::from_ref(&entry));
    engine.apply_machine_list(1.0, &[]);
    assert_eq!(
        engine.jobs["req-1"].pending(),
        1,
        "absence from a list proves nothing"
    );
    entry.state = MachineState::Failed;
    engine.apply_machine_list(2.0, &[entry]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}

#[test]
fn a_machine_with_a_reclaim_notice_gets_no_new_tasks_and_tasks_that_cannot_finish_are_stopped() {
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
    let commands = receive_and_reply(&mut engine, 5.0, &heartbeat, true).unwrap();
    assert_eq!(stop_count(&commands), 1, "{commands:?}");
    assert_eq!(started_tasks(&commands).len(), 0);
}

#[test]
fn an_outdated_machine_list_does_not_bring_back_a_deleted_machine() {
    // Guards against counting a deleted machine, and deleting it again: the cloud's list lags
    // by seconds.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let entry = listed_machine("m1");
    engine.apply_machine_list(1.0, std::slice::from_ref(&entry));
    engine.machines_deleted(&["m1".into()]);
    engine.apply_machine_list(6.0, std::slice::from_ref(&entry));
    assert!(engine.machines.is_empty());
}

#[test]
fn an_unanswered_rental_is_repeated_under_its_request_name_and_no_other_is_sent_meanwhile() {
    // Guards against renting without limit while the cloud does not respond.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    accept(&mut engine, 0.0, spec("req-1", 40, 2.0));
    let mut first = engine.cloud_actions(1.0);
    let Some(CloudAction::Rent(request)) = first.pop() else {
        panic!("no rental request");
    };
    for other in first {
        if let CloudAction::Rent(other) = other {
            engine.machines_rented(1.0, &other, &["host-1".to_owned()]);
        }
    }
    engine.rental_unanswered(request.clone());
    let repeated = engine.cloud_actions(2.0);
    assert_eq!(repeated, vec![CloudAction::Rent(request)]);
}

#[test]
fn a_silent_machine_missing_from_a_list_that_shows_newer_machines_is_deleted_at_once() {
    // Guards against a wait after a failover for spot machines that were reclaimed without
    // notice: the wait would last until the former leader's renewals must have ended and the
    // lease has expired.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let deletes = |engine: &mut Engine, now| {
        let actions = engine.cloud_actions(now);
        let deletes = |a: &CloudAction| matches!(a, CloudAction::Delete(n) if n == &["m1"]);
        actions.iter().any(deletes)
    };
    // A list that shows only older machines proves nothing, nor does a list that shows m1.
    engine.apply_machine_list(1.0, &[listed_machine("m0")]);
    assert!(!deletes(&mut engine, 1.0));
    engine.apply_machine_list(2.0, &[listed_machine("m1"), listed_machine("m2")]);
    assert!(!deletes(&mut engine, 2.0));
    engine.apply_machine_list(3.0, &[listed_machine("m2")]);
    assert!(deletes(&mut engine, 3.0));
    assert_eq!(
        engine.jobs["req-1"].recovery_pending.len(),
        2,
        "only the response to the deletion proves that the machine is gone"
    );
    engine.machines_deleted(&["m1".into()]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}
