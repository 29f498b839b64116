//! Cancelled jobs: what their tasks' workers are told, and by whom.

use super::*;

fn task(id: &str, attempt: u64) -> TaskReport {
    running_task(&format!("{id}/0"), attempt)
}

#[test]
fn a_successors_first_answer_stops_what_is_over_since_it_renews_the_lease() {
    // Guards against ran_cancelled: the old leader's last answer and a lease are almost
    // over, the successor's first answer renews the lease, and the stop comes with the
    // next report only.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    accept(&mut engine, 0.0, spec("req-3", 1, 2.0));
    engine.job_key_removed("req-3");
    let mut old = Worker::new("m1", "a");
    old.token = first_token(50);
    old.tasks = vec![task("req-1", 7), task("req-2", 8), task("req-3", 9)];
    let stopped = |commands: &[Command]| -> Vec<String> {
        let stops = commands.iter().map(|c| match c {
            Command::Stop { task, grace_s, .. } if *grace_s == 0.0 => task.clone(),
            other => panic!("{other:?}"),
        });
        stops.collect()
    };
    let first = old.send_heartbeat(&mut engine, 1.0);
    assert_eq!(stopped(&first), ["req-2/0", "req-3/0"], "{first:?}");
    assert_eq!(epoch(old.token), engine.revision());
}

#[test]
fn a_cancellation_ends_what_was_told_to_save() {
    // Guards against a stop with time to save that stands when its job is cancelled.
    let mut job = spec("req-1", 1, 2.0);
    (job.checkpoint_s, job.save_s) = (Some(5.0), Some(30.0));
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, job);
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    let placement = (engine.jobs.get_mut("req-1").unwrap().placements.get_mut(&0)).unwrap();
    placement.pending_stop = Some(PendingStop {
        grace_s: 30.0,
        required_eviction_count: 0,
    });
    let told = worker.heartbeat();
    let told = receive_and_reply(&mut engine, 4.0, &told, true).unwrap();
    assert!(
        matches!(told[..], [Command::Stop { grace_s: 30.0, .. }]),
        "{told:?}"
    );
    worker.tasks[0].state = TaskState::Saving;
    assert!(worker.send_heartbeat(&mut engine, 5.0).is_empty());
    engine.job_key_removed("req-1");
    let told = worker.send_heartbeat(&mut engine, 6.0);
    assert!(
        matches!(told[..], [Command::Stop { grace_s: 0.0, .. }]),
        "{told:?}"
    );
}

#[test]
fn peers_are_told_what_to_stop_for_as_long_as_it_may_be_about() {
    // Guards against a worker that peers keep, and with it the tasks of a job that was
    // cancelled: they answer without the leader, who alone knows of it.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    assert_eq!(engine.finished_jobs().unwrap(), Vec::<String>::new());
    engine.job_key_removed("req-1");
    assert_eq!(engine.finished_jobs().unwrap(), ["req-1"]);
    worker.send_heartbeat(&mut engine, 4.0);
    assert_eq!(
        engine.finished_jobs().unwrap(),
        ["req-1"],
        "told, and not seen to obey"
    );
    worker.send_heartbeat(&mut engine, 5.0);
    assert_eq!(engine.finished_jobs().unwrap(), Vec::<String>::new());
}

#[test]
fn nothing_is_delegated_while_starts_without_a_record_are_not_known() {
    // Guards against a task that no record tells of, of a job that was cancelled before
    // the election: neither we nor a peer would know what to stop.
    let mut left = inherited_state_of(spec("req-1", 3, 2.0));
    left.predecessor_degraded = true;
    let mut engine = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        left,
    );
    assert_eq!(engine.finished_jobs(), None);
    let mut old = Worker::new("m1", "a");
    old.send_heartbeat(&mut engine, 1.0);
    old.send_heartbeat(&mut engine, 2.0);
    commit(&mut engine, 3.0);
    assert!(engine.finished_jobs().is_some());
}

#[test]
fn a_cancellation_against_a_launch_in_flight_ends_in_a_stop() {
    // Guards against ran_cancelled: the launch may arrive after the
    // cancellation was told.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 8.0));
    commit(&mut engine, 1.0);
    let heartbeat = worker.heartbeat();
    let in_flight = receive_and_reply(&mut engine, 2.0, &heartbeat, true).unwrap();
    assert_eq!(started_tasks(&in_flight).len(), 1);
    engine.job_key_removed("req-1");
    assert_eq!(engine.job_count(), 1, "one task may be there");
    worker.apply_commands(first_token(TOKEN), &in_flight);
    assert_eq!(stop_count(&worker.send_heartbeat(&mut engine, 3.0)), 1);
    worker.send_heartbeat(&mut engine, 4.0);
    assert_eq!(engine.job_count(), 0);
    assert!(worker.tasks.is_empty(), "reaped: {:?}", worker.tasks);
}

#[test]
fn tasks_of_jobs_that_are_over_are_stopped_and_keep_their_machine_closed() {
    // Guards against ran_cancelled and quota after a take-over: the new
    // leader never heard of a job that was cancelled before.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    worker.tasks.push(TaskReport {
        task: "req-9/0".into(),
        attempt: 3,
        state: TaskState::Running,
        cause: None,
        saved: None,
    });
    accept(&mut engine, 1.0, spec("req-1", 1, 1.0));
    commit(&mut engine, 1.0);
    let told = worker.send_heartbeat(&mut engine, 1.5);
    assert_eq!(stop_count(&told), 1);
    assert!(engine.machines["m1"].has_orphaned_tasks);
    worker.send_heartbeat(&mut engine, 2.0);
    assert!(!engine.machines["m1"].has_orphaned_tasks);
}
