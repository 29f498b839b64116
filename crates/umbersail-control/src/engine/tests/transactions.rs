//! Transactions on the state service: their conditions, unacknowledged writes, sizes, and the
//! budget of changes.

use super::*;

#[test]
fn after_an_unacknowledged_write_the_record_is_read_before_a_task_is_started() {
    // Guards against a late transaction, which may be applied after the leader's next one.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    assert!(
        pending
            .txn
            .conditions
            .iter()
            .any(|c| c.key == LEADER && c.version == LEADER_REVISION)
    );
    assert!(
        pending
            .txn
            .conditions
            .iter()
            .any(|c| c.key == progress_key("req-1") && c.version == 0)
    );
    engine.txn_finished(1.0, pending, TxnOutcome::Unknown);
    assert_eq!(engine.unknown_versions().0, ["req-1"]);
    assert!(
        engine.next_txn(2.0, 20, 20).is_none(),
        "the record is read first"
    );
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 2.0)).len(),
        0
    );
    engine.version_read("req-1", true, 90);
    let pending = engine.next_txn(2.0, 20, 20).unwrap();
    assert!(
        pending
            .txn
            .conditions
            .iter()
            .any(|c| c.key == progress_key("req-1") && c.version == 90)
    );
    engine.txn_finished(2.0, pending, TxnOutcome::Applied { revision: 91 });
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 3.0)).len(),
        1
    );
}

#[test]
fn a_transaction_that_fails_on_the_leader_key_ends_the_leadership() {
    // Guards against two leaders: the state service decides who the leader is.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    let failed = vec![LEADER.to_owned()];
    engine.txn_finished(1.0, pending, TxnOutcome::Conflict { failed });
    assert!(engine.has_lost_leadership());
    assert!(engine.next_txn(2.0, 20, 20).is_none());
}

#[test]
fn a_task_is_not_launched_on_a_machine_that_a_write_in_flight_removes_from_the_record() {
    // Guards against a launch on a machine that the job's record is about to lose.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 3, 8.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.exit("req-1/0", None, ExitCause::Done);
    worker.send_heartbeat(&mut engine, 3.0);
    // The completion of task 0 is written, which leaves no host in the record.
    let pending = engine.next_txn(4.0, 20, 20).unwrap();
    // Meanwhile, task 1 is placed on the same machine.
    engine.schedule(4.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 4.0)).len(),
        0
    );
    engine.txn_finished(4.1, pending, TxnOutcome::Applied { revision: 2000 });
    commit(&mut engine, 4.2);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 5.0)),
        ["req-1/1"]
    );
}

#[test]
fn records_of_best_effort_jobs_leave_half_of_the_change_budget_to_other_jobs() {
    // Guards against launches of jobs with deadlines that wait behind thousands of best-effort
    // jobs of one task each: with 25 changes per second, these launches were 12 s late.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    for i in 0..20 {
        let mut best_effort = spec(&format!("req-{i:02}"), 1, 0.1);
        best_effort.priority = Priority::Low;
        accept(&mut engine, 1.0, best_effort);
    }
    accept(&mut engine, 1.5, spec("req-99", 1, 2.0));
    let pending = engine.next_txn(2.0, 12, 6).unwrap();
    let first = match &pending.txn.changes[0] {
        Change::Put { key, .. } | Change::Delete { key } => key.clone(),
    };
    assert_eq!(first, "runs/req-99", "accepted last, and written first");
    assert!(pending.txn.changes.len() <= 6);
    engine.txn_finished(2.0, pending, TxnOutcome::Applied { revision: 2000 });
    assert!(
        engine.next_txn(2.1, 6, 0).is_none(),
        "best-effort jobs leave the rest of the budget"
    );
    commit(&mut engine, 3.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 4.0)).len(),
        21
    );
}

#[test]
fn the_grant_of_a_large_fleet_stays_within_the_size_limits_of_values_and_transactions() {
    // Guards against a fleet that exceeds the size of one value: no task could be started any
    // more, and each new machine would require a write of all machines.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let name = |i: usize| format!("host-{i:06}");
    for i in 0..600 {
        Worker::new(&name(i), "a").send_heartbeat(&mut engine, 0.0);
    }
    let mut workers: Vec<Worker> = (0..600).map(|i| Worker::new(&name(i), "a")).collect();
    for worker in &mut workers {
        worker.seq = 1;
        worker.token = first_token(LEADER_REVISION);
        worker.send_heartbeat(&mut engine, 0.5);
    }
    let mut largest = 0;
    while let Some(pending) = engine.next_txn(1.0, 20, 20) {
        let bytes = umbersail_wire::encode(&pending.txn).len();
        assert!(
            bytes < 48 * 1024 && pending.txn.changes.len() <= 20,
            "{bytes}"
        );
        for change in &pending.txn.changes {
            largest = largest.max(umbersail_wire::encode(change).len());
        }
        engine.txn_finished(1.0, pending, TxnOutcome::Applied { revision: 1000 });
    }
    assert!(largest > 0 && largest < 16 * 1024, "{largest}");
    assert!(engine.machines.values().all(|m| m.grant_recorded));

    // One more machine: exactly one part of the grant is written.
    add_fenced_worker(&mut engine, "host-000600", 2.0);
    let pending = engine.next_txn(2.5, 20, 20).unwrap();
    assert_eq!(pending.txn.changes.len(), 1);
    engine.txn_finished(2.5, pending, TxnOutcome::Unknown);
    assert!(!engine.machines["host-000600"].grant_recorded);
    assert!(
        engine.next_txn(2.5, 20, 20).is_none(),
        "the part is read first"
    );
    let (_, parts) = engine.unknown_versions();
    engine.part_read(parts[0], 1001);
    assert!(engine.next_txn(2.6, 20, 20).is_some());
}

/// Adds a machine whose worker has shown the leader's token, and which is not yet in the
/// recorded grant.
fn add_fenced_worker(engine: &mut Engine, name: &str, now: Time) {
    let mut worker = Worker::new(name, "a");
    worker.send_heartbeat(engine, now);
    worker.send_heartbeat(engine, now + 0.5);
}

#[test]
fn the_progress_record_of_the_largest_job_array_on_a_large_fleet_stays_within_the_size_limit() {
    // Guards against a record that the state service rejects: the record would block every
    // other write of the leader.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    for i in 0..600 {
        add_fenced_worker(&mut engine, &format!("host-{i:06}"), 0.0);
    }
    commit(&mut engine, 0.6);
    accept(&mut engine, 1.0, spec("req-1", 100_000, 8.0));
    let job = engine.jobs.get_mut("req-1").unwrap();
    for task in (10_000..100_000).step_by(2) {
        job.done.insert(task);
    }
    let placed = job.placements.len();
    assert!(placed > 250 && placed < 600, "{placed}");
    let changes = commit(&mut engine, 1.0);
    let largest = changes
        .iter()
        .map(|c| umbersail_wire::encode(c).len())
        .max();
    assert!(
        largest.is_some_and(|bytes| bytes > 25_000 && bytes < 32 * 1024),
        "{largest:?}"
    );
}

#[test]
fn a_launch_is_written_at_once_while_progress_waits_for_spare_budget() {
    // Guards against launches that wait, behind progress records that are not urgent, until the
    // budget suffices for a large transaction.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.exit("req-1/0", None, ExitCause::Done);
    worker.send_heartbeat(&mut engine, 3.0);
    assert!(engine.next_txn(4.0, 20, 0).is_none(), "progress can wait");
    accept(&mut engine, 4.0, spec("req-2", 1, 2.0));
    let launch = engine.next_txn(4.0, 0, 0).unwrap();
    assert!(
        matches!(&launch.txn.changes[..], [Change::Put { key, .. }] if *key == progress_key("req-2"))
    );
    engine.txn_finished(4.0, launch, TxnOutcome::Applied { revision: 2000 });

    // The end of a job is written without the deletion of its progress record, which follows
    // later.
    worker.exit("req-1/1", None, ExitCause::Done);
    worker.send_heartbeat(&mut engine, 5.0);
    let job_end = engine.next_txn(5.0, 2, 0).unwrap();
    assert_eq!(job_end.txn.changes.len(), 2);
    engine.txn_finished(5.0, job_end, TxnOutcome::Applied { revision: 2001 });
    assert!(engine.next_txn(5.0, 20, 0).is_none());
    let deletion = engine.next_txn(5.0, 20, 5).unwrap();
    assert!(
        deletion
            .txn
            .changes
            .iter()
            .any(|c| matches!(c, Change::Delete { key } if *key == progress_key("req-1")))
    );
}
