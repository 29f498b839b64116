//! Launches: their records, replies that are lost or late, and the recording of task ends.

use super::*;

#[test]
fn a_launch_is_sent_in_a_reply_after_it_has_been_recorded() {
    // Guards against a new leader that does not know on which machine a task may run.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 1.0)).len(),
        0
    );
    let changes = commit(&mut engine, 1.0);
    assert!(changes.iter().any(
        |c| matches!(c, Change::Put { key, value: Record::JobProgress(r), .. }
        if *key == progress_key("req-1") && r.high_water == 2 && r.hosts == ["m1"])
    ));
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 2.0)).len(),
        2
    );
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 3.0)).len(),
        0
    );
}

#[test]
fn a_late_heartbeat_changes_nothing_and_gets_no_reply() {
    // Guards against accepting an outdated task list that a network partition delayed.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let late_heartbeat = worker.heartbeat();
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    assert_eq!(engine.job_progress(3.0, "req-1"), Some(counts(0, 1)));
    assert_eq!(
        receive_and_reply(&mut engine, 4.0, &late_heartbeat, true),
        None
    );
    assert_eq!(engine.job_progress(4.0, "req-1"), Some(counts(0, 1)));
}

#[test]
fn a_launched_task_counts_as_running_once_the_heartbeat_that_would_list_it_is_overdue() {
    // Guards against a leader that tells `queued` for a task that runs on a machine that was
    // cut off right after the launch, although followers have told `running` from the record.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    let launch = worker.send_heartbeat(&mut engine, 2.0);
    assert_eq!(started_tasks(&launch).len(), 1);
    assert_eq!(engine.job_progress(2.1, "req-1"), Some(counts(0, 0)));
    assert_eq!(engine.job_progress(2.6, "req-1"), Some(counts(0, 1)));
    assert_eq!(engine.all_job_progress(2.6, 1)[0].running, 1);
    // The machine is heard again, and its task still waits for the image.
    worker.tasks[0].state = TaskState::Fetching;
    worker.send_heartbeat(&mut engine, 3.0);
    assert_eq!(engine.job_progress(5.0, "req-1"), Some(counts(0, 0)));
}

#[test]
fn only_the_next_periodic_heartbeat_proves_that_a_launch_was_lost() {
    // Guards against starting a second attempt while the reply with the first launch may still
    // be in flight: the response to a direct command does not prove that the launch was lost.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    let heartbeat = worker.heartbeat();
    let lost = receive_and_reply(&mut engine, 2.0, &heartbeat, true).unwrap();
    assert_eq!(started_tasks(&lost).len(), 1);
    let response = worker.heartbeat();
    engine.receive_command_response(2.1, &response);
    commit(&mut engine, 2.2);
    assert_eq!(
        engine.jobs["req-1"].pending(),
        0,
        "the first attempt may still start"
    );
    let commands = worker.send_heartbeat(&mut engine, 6.5);
    assert_eq!(started_tasks(&commands).len(), 0);
    commit(&mut engine, 6.6);
    let relaunch = worker.send_heartbeat(&mut engine, 7.0);
    assert_eq!(started_tasks(&relaunch), ["req-1/0"]);
    assert_ne!(relaunch[0], lost[0], "a new attempt");
}

#[test]
fn a_worker_forgets_a_completed_task_only_after_its_completion_is_recorded() {
    // Guards against losing a completion that neither a worker nor a record holds any more.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.exit("req-1/0", None, ExitCause::Done);
    assert_eq!(worker.send_heartbeat(&mut engine, 3.0), vec![]);
    commit(&mut engine, 3.0);
    assert!(matches!(
        worker.send_heartbeat(&mut engine, 4.0)[..],
        [Command::Forget { .. }]
    ));
    worker.exit("req-1/1", None, ExitCause::Done);
    worker.send_heartbeat(&mut engine, 5.0);
    let changes = commit(&mut engine, 5.0);
    assert!(
        changes
            .iter()
            .any(|c| matches!(c, Change::Delete { key } if *key == job_key("req-1")))
    );
    assert!(changes.iter().any(|c| matches!(
        c,
        Change::Put {
            value: Record::EndedJob(_),
            ..
        }
    )));
    assert_eq!(engine.job_count(), 0);
}

#[test]
fn during_an_outage_of_the_state_service_tasks_keep_running_and_none_is_started() {
    // Guards against starting tasks under a leadership that another controller may hold by now.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    let heartbeat = worker.heartbeat();
    assert_eq!(
        receive_and_reply(&mut engine, 2.0, &heartbeat, false),
        Some(vec![])
    );
    let heartbeat = worker.heartbeat();
    assert_eq!(
        started_tasks(&receive_and_reply(&mut engine, 3.0, &heartbeat, true).unwrap()).len(),
        1
    );
}

#[test]
fn a_machine_is_in_the_recorded_grant_before_a_task_starts_on_it() {
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = Worker::new("m1", "a");
    worker.send_heartbeat(&mut engine, 0.0);
    worker.send_heartbeat(&mut engine, 0.5);
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    assert!(
        pending
            .txn
            .changes
            .iter()
            .any(|c| matches!(c, Change::Put { key, .. } if key.starts_with(GRANT_PARTS)))
    );
    engine.txn_finished(1.0, pending, TxnOutcome::NotExecuted);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 1.5)).len(),
        0
    );
    commit(&mut engine, 2.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 2.5)).len(),
        1
    );
}

#[test]
fn in_degraded_mode_tasks_start_before_they_are_recorded() {
    // Guards against a fleet that becomes idle while the state service is unreachable, and
    // against starts without a record of jobs whose tasks constrain each other's placement.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut spread = spec("req-2", 2, 2.0);
    spread.spread = Some(true);
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    accept(&mut engine, 1.0, spread);
    engine.schedule(1.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 1.5)).len(),
        0
    );
    assert!(engine.has_jobs_for_degraded_mode() || engine.unrecorded_job_count() == 0);
    engine.set_degraded_mode(true);
    let started = started_tasks(&worker.send_heartbeat(&mut engine, 2.0));
    assert_eq!(started, ["req-1/0", "req-1/1"]);
    assert_eq!(engine.unrecorded_job_count(), 1);
    worker.send_heartbeat(&mut engine, 2.5);
    engine.set_degraded_mode(false);
    commit(&mut engine, 3.0);
    assert_eq!(engine.unrecorded_job_count(), 0);
}
