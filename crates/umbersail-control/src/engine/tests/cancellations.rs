//! Cancelled jobs: which stop commands their workers receive, from the leader or through
//! delegates.

use super::*;

fn task(id: &str, attempt: u64) -> TaskReport {
    running_task(&format!("{id}/0"), attempt)
}

#[test]
fn a_new_leaders_first_reply_stops_tasks_of_finished_jobs_because_it_renews_the_lease() {
    // Guards against a task of a cancelled job that still runs (rule breach `ran_cancelled`, as
    // the rehearsal reports it): the lease since the former leader's last reply has almost
    // expired, the new leader's first reply renews the lease, and only the reply to the next
    // heartbeat contains the stop command.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    accept(&mut engine, 0.0, spec("req-3", 1, 2.0));
    engine.job_key_removed("req-3");
    let mut worker = Worker::new("m1", "a");
    worker.token = first_token(50);
    worker.tasks = vec![task("req-1", 7), task("req-2", 8), task("req-3", 9)];
    let stopped = |commands: &[Command]| -> Vec<String> {
        let stops = commands.iter().map(|c| match c {
            Command::Stop { task, grace_s, .. } if *grace_s == 0.0 => task.clone(),
            other => panic!("{other:?}"),
        });
        stops.collect()
    };
    let first_reply = worker.send_heartbeat(&mut engine, 1.0);
    assert_eq!(
        stopped(&first_reply),
        ["req-2/0", "req-3/0"],
        "{first_reply:?}"
    );
    assert_eq!(epoch(worker.token), engine.revision());
}

#[test]
fn a_cancellation_stops_a_task_that_is_saving_a_checkpoint() {
    // Guards against an earlier stop command with a grace period that stays in force after the
    // job is cancelled.
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
    let heartbeat = worker.heartbeat();
    let commands = receive_and_reply(&mut engine, 4.0, &heartbeat, true).unwrap();
    assert!(
        matches!(commands[..], [Command::Stop { grace_s: 30.0, .. }]),
        "{commands:?}"
    );
    worker.tasks[0].state = TaskState::Saving;
    assert!(worker.send_heartbeat(&mut engine, 5.0).is_empty());
    engine.job_key_removed("req-1");
    let commands = worker.send_heartbeat(&mut engine, 6.0);
    assert!(
        matches!(commands[..], [Command::Stop { grace_s: 0.0, .. }]),
        "{commands:?}"
    );
}

#[test]
fn delegates_are_told_of_a_finished_job_as_long_as_its_tasks_may_still_run() {
    // Guards against tasks of a cancelled job that live on because peers renew their worker's
    // lease: the peers reply in place of the leader, and only the leader knows of the
    // cancellation.
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
        "the stop was sent, but no heartbeat has shown its effect"
    );
    worker.send_heartbeat(&mut engine, 5.0);
    assert_eq!(engine.finished_jobs().unwrap(), Vec::<String>::new());
}

#[test]
fn no_renewals_are_delegated_while_tasks_may_run_that_were_started_without_a_record() {
    // Guards against a task without a record whose job was cancelled before the election:
    // neither the new leader nor a peer would know that this task must stop.
    let mut inherited_state = inherited_state_of(spec("req-1", 3, 2.0));
    inherited_state.predecessor_degraded = true;
    let mut engine = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        inherited_state,
    );
    assert_eq!(engine.finished_jobs(), None);
    let mut worker = Worker::new("m1", "a");
    worker.send_heartbeat(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    commit(&mut engine, 3.0);
    assert!(engine.finished_jobs().is_some());
}

#[test]
fn a_task_whose_launch_was_in_flight_during_the_cancellation_is_stopped() {
    // Guards against a task of a cancelled job that still runs (rule breach `ran_cancelled`):
    // the launch command may arrive after the cancellation was acknowledged.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 8.0));
    commit(&mut engine, 1.0);
    let heartbeat = worker.heartbeat();
    let in_flight = receive_and_reply(&mut engine, 2.0, &heartbeat, true).unwrap();
    assert_eq!(started_tasks(&in_flight).len(), 1);
    engine.job_key_removed("req-1");
    assert_eq!(engine.job_count(), 1, "one task may be on the worker");
    worker.apply_commands(first_token(LEADER_REVISION), &in_flight);
    assert_eq!(stop_count(&worker.send_heartbeat(&mut engine, 3.0)), 1);
    worker.send_heartbeat(&mut engine, 4.0);
    assert_eq!(engine.job_count(), 0);
    assert!(
        worker.tasks.is_empty(),
        "tasks left on the worker: {:?}",
        worker.tasks
    );
}

#[test]
fn tasks_of_finished_jobs_are_stopped_and_their_machine_takes_no_other_task_until_then() {
    // Guards against a task of a cancelled job that still runs (rule breach `ran_cancelled`)
    // and an exceeded quota (rule breach `quota`) after a failover: the new leader has no
    // record of a job that was cancelled before its election.
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
    let commands = worker.send_heartbeat(&mut engine, 1.5);
    assert_eq!(stop_count(&commands), 1);
    assert!(engine.machines["m1"].has_orphaned_tasks);
    worker.send_heartbeat(&mut engine, 2.0);
    assert!(!engine.machines["m1"].has_orphaned_tasks);
}
