//! Heartbeats that arrive twice or late, and machines that receive no replies.

use super::*;

/// The worker sends a heartbeat, but the reply is lost. Returns the tasks that the lost reply
/// starts.
fn heartbeat_with_lost_reply(worker: &mut Worker, engine: &mut Engine, now: Time) -> Vec<String> {
    let heartbeat = worker.heartbeat();
    if !engine.receive_heartbeat(now, &heartbeat) {
        return vec![];
    }
    // The reply is sent after the scheduling cycle that this heartbeat triggers.
    commit(engine, now);
    started_tasks(&engine.reply(now, &heartbeat, true))
}

fn rents_machines(engine: &mut Engine, now: Time) -> bool {
    let actions = engine.cloud_actions(now);
    actions.iter().any(|a| matches!(a, CloudAction::Rent(_)))
}

#[test]
fn a_late_copy_of_a_heartbeat_does_not_bring_back_a_deleted_machine() {
    // Guards against a deleted machine that is given tasks until it counts as silent, or that
    // counts as free room. The copy may show the leader's token or date from before the
    // machine received that token.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = Worker::new("m1", "a");
    let first = worker.heartbeat();
    assert!(receive_and_reply(&mut engine, 0.0, &first, true).is_some());
    worker.token = engine.token_for("m1");
    let second = worker.heartbeat();
    assert!(receive_and_reply(&mut engine, 0.5, &second, true).is_some());
    engine.machines_deleted(&["m1".to_owned()]);
    engine.apply_machine_list(30.0, &[]);
    accept(&mut engine, 30.0, spec("req-1", 1, 2.0));
    for (at, copy) in [(31.0, &first), (31.1, &second)] {
        assert_eq!(
            receive_and_reply(&mut engine, at, copy, true),
            None,
            "the old heartbeat got a reply"
        );
        engine.receive_command_response(at, copy);
        commit(&mut engine, at);
    }
    assert_eq!(engine.machine_count(), 0);
    assert!(
        rents_machines(&mut engine, 31.2),
        "the deleted machine counts as room"
    );
}

/// Simulates a worker that receives no replies: in each round, it waits 4 s for a reply and one
/// second more. Every second round its lease expires and a new session begins. Returns the
/// number of launches in the lost replies.
fn rounds_with_lost_replies(
    worker: &mut Worker,
    engine: &mut Engine,
    from: Time,
    rounds: u32,
) -> usize {
    let mut started = 0;
    for round in 0..rounds {
        let now = from + 5.0 * f64::from(round);
        worker.session += u64::from(round % 2 == 1);
        engine.tick(now);
        started += heartbeat_with_lost_reply(worker, engine, now).len();
    }
    started
}

#[test]
fn an_unreachable_machine_gets_no_more_launches_after_two_missed_replies() {
    // Guards against tasks that are launched again and again on a machine where they never
    // start, and against a useless machine that is kept and counted as capacity.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut unreachable = ready_worker(&mut engine, "m1", "a");
    let mut other = ready_worker(&mut engine, "m2", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 8.0));
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 1.5)).len(),
        1
    );
    let started = rounds_with_lost_replies(&mut unreachable, &mut engine, 2.0, 4);
    assert!((1..=2).contains(&started), "{started} launches");
    assert!(
        rents_machines(&mut engine, 18.0),
        "the unreachable machine counts as room"
    );
    // Once m2 has room, the task of the unreachable machine starts there.
    other.send_heartbeat(&mut engine, 18.0);
    let [task] = &mut other.tasks[..] else {
        panic!("one task runs")
    };
    (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Done));
    other.send_heartbeat(&mut engine, 18.5);
    commit(&mut engine, 18.6);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 19.0)).len(),
        1
    );

    assert_eq!(
        rounds_with_lost_replies(&mut unreachable, &mut engine, 22.0, 8),
        0
    );
    other.send_heartbeat(&mut engine, 60.0);
    let deletes = CloudAction::Delete(vec!["m1".into()]);
    assert!(engine.cloud_actions(60.0).contains(&deletes));
}

#[test]
fn a_machine_that_receives_replies_again_takes_tasks_within_two_heartbeats() {
    // Guards against a machine that stays unused forever after a network partition.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    rounds_with_lost_replies(&mut worker, &mut engine, 2.0, 5);
    let mut heartbeats = 0;
    while worker.tasks.is_empty() {
        heartbeats += 1;
        assert!(heartbeats <= 2, "the machine takes no tasks yet");
        let now = 27.0 + f64::from(heartbeats);
        let heartbeat = worker.heartbeat();
        assert!(engine.receive_heartbeat(now, &heartbeat));
        commit(&mut engine, now);
        let commands = engine.reply(now, &heartbeat, true);
        worker.apply_commands(engine.token_for("m1"), &commands);
    }
}

#[test]
fn replies_lost_far_apart_or_in_one_burst_make_no_machine_unreachable() {
    // Guards against a healthy machine that gets no tasks because of one lost reply, of two
    // unrelated lost replies, or of a pause of the leader process, after which the leader
    // replies to all queued heartbeats at once and no worker waits for these replies any more.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    for burst in 0..4 {
        heartbeat_with_lost_reply(&mut worker, &mut engine, 2.0 + 0.01 * f64::from(burst));
    }
    assert_eq!(
        heartbeat_with_lost_reply(&mut worker, &mut engine, 8.0).len(),
        1,
        "the machine takes tasks"
    );

    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    for at in [2.0, 102.0] {
        accept(&mut engine, at, spec(&format!("req-{at}"), 1, 8.0));
        assert_eq!(
            heartbeat_with_lost_reply(&mut worker, &mut engine, at).len(),
            1
        );
        let heartbeat = worker.heartbeat();
        engine.receive_heartbeat(at + 5.0, &heartbeat);
        engine.job_key_removed(&format!("req-{at}"));
    }
    accept(&mut engine, 108.0, spec("req-last", 1, 8.0));
    assert_eq!(
        heartbeat_with_lost_reply(&mut worker, &mut engine, 109.0).len(),
        1,
        "the machine takes tasks"
    );
}

#[test]
fn a_machine_unknown_to_the_leader_takes_tasks_from_its_second_heartbeat_on() {
    // Guards against excessive caution with unknown machines.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    let mut worker = Worker::new("m7", "a");
    worker.send_heartbeat(&mut engine, 2.0);
    assert!(
        rents_machines(&mut engine, 2.1),
        "the heartbeat may be a late copy"
    );
    let heartbeat = worker.heartbeat();
    assert!(engine.receive_heartbeat(2.5, &heartbeat));
    commit(&mut engine, 2.5);
    assert_eq!(started_tasks(&engine.reply(2.6, &heartbeat, true)).len(), 1);

    // A machine that a former leader deleted sends no further heartbeat, and is deleted again.
    let mut deleted = Worker::new("m1", "a");
    deleted.token = first_token(LEADER_REVISION - 10);
    heartbeat_with_lost_reply(&mut deleted, &mut engine, 3.0);
    worker.send_heartbeat(&mut engine, 24.0);
    let deletes = CloudAction::Delete(vec!["m1".into()]);
    assert!(engine.cloud_actions(24.0).contains(&deletes));
}

/// The entry of a task in a heartbeat: exited with the given cause, or running without one.
fn task_report(task: &str, attempt: u64, cause: Option<ExitCause>) -> TaskReport {
    TaskReport {
        state: cause.map_or(TaskState::Running, |_| TaskState::Exited),
        cause,
        ..running_task(task, attempt)
    }
}

/// Starts the single task of a job on m1, where it runs at 2 s. Returns its attempt number.
fn start_one_task(engine: &mut Engine, worker: &mut Worker) -> u64 {
    accept(engine, 1.0, spec("req-1", 1, 2.0));
    commit(engine, 1.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(engine, 1.5)),
        ["req-1/0"]
    );
    worker.send_heartbeat(engine, 2.0);
    worker.tasks[0].attempt
}

#[test]
fn an_old_heartbeat_with_an_exited_attempt_does_not_end_the_newer_attempt() {
    // Guards against two faults after a task was restarted on the machine where its earlier
    // attempt exited: a further attempt is started beside the running one, or the running one
    // is stopped. The old heartbeat has a lower sequence number, or a higher one of an earlier
    // session.
    for earlier_session in [false, true] {
        let mut engine = new_engine(vec![team(0.0, 0.0)]);
        let mut other = ready_worker(&mut engine, "m2", "a");
        accept(&mut engine, 0.8, spec("req-full", 1, 8.0));
        commit(&mut engine, 0.8);
        assert_eq!(
            started_tasks(&other.send_heartbeat(&mut engine, 0.9)).len(),
            1
        );
        other.send_heartbeat(&mut engine, 1.0);
        // Only m1 has room for more.
        let mut worker = ready_worker(&mut engine, "m1", "a");
        let first = start_one_task(&mut engine, &mut worker);
        worker.exit("req-1/0", None, ExitCause::Stopped);
        let mut old_heartbeat = worker.heartbeat();
        assert!(receive_and_reply(&mut engine, 3.0, &old_heartbeat, true).is_some());
        worker.tasks.clear();
        if earlier_session {
            (worker.session, worker.seq, old_heartbeat.seq) =
                (2, worker.seq, old_heartbeat.seq + 100);
        }
        commit(&mut engine, 3.1);
        let mut started = started_tasks(&worker.send_heartbeat(&mut engine, 3.5));
        commit(&mut engine, 3.6);
        started.extend(started_tasks(&worker.send_heartbeat(&mut engine, 4.0)));
        assert_eq!(
            started,
            ["req-1/0"],
            "the task restarts on the same machine"
        );
        worker.send_heartbeat(&mut engine, 4.5);
        let second = worker.tasks[0].attempt;
        assert!(second > first);

        assert_eq!(
            receive_and_reply(&mut engine, 5.0, &old_heartbeat, true),
            None
        );
        engine.receive_command_response(5.0, &old_heartbeat);
        engine.tick(5.1);
        commit(&mut engine, 5.1);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 5.5)).is_empty());
        assert_eq!(worker.send_heartbeat(&mut engine, 5.5), vec![]);
        assert_eq!(worker.tasks, [running_task("req-1/0", second)]);
    }
}

#[test]
fn an_old_heartbeat_does_not_bring_back_an_attempt_that_a_newer_heartbeat_no_longer_lists() {
    // Guards against a task that counts as running on a machine, or is adopted under its
    // earlier attempt number, although a newer heartbeat shows that the attempt is gone.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let first = start_one_task(&mut engine, &mut worker);
    let old_heartbeat = worker.heartbeat();
    // The session of m1 ends: the task is lost there and starts on another machine.
    (worker.session, worker.tasks) = (2, vec![]);
    worker.send_heartbeat(&mut engine, 3.0);
    worker.tasks = vec![running_task("req-fill/0", 1)];
    worker.send_heartbeat(&mut engine, 3.2);
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 3.5);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 4.0)),
        ["req-1/0"]
    );
    other.send_heartbeat(&mut engine, 4.5);
    let second = other.tasks[0].attempt;
    assert!(second > first);

    assert_eq!(
        receive_and_reply(&mut engine, 5.0, &old_heartbeat, true),
        None,
        "the old heartbeat got a reply"
    );
    engine.receive_command_response(5.0, &old_heartbeat);
    commit(&mut engine, 5.1);
    // The second attempt continues, and its completion completes the job.
    assert_eq!(other.send_heartbeat(&mut engine, 5.5), vec![]);
    other.exit("req-1/0", None, ExitCause::Done);
    other.send_heartbeat(&mut engine, 6.0);
    commit(&mut engine, 6.1);
    assert!(
        engine
            .job_progress(6.1, "req-1")
            .is_none_or(|c| c.running == 0),
        "a task still counts as active"
    );
}

#[test]
fn a_new_leader_concludes_nothing_from_an_old_heartbeat_in_its_first_second() {
    // Guards against a second attempt of a task that runs on m1. The old heartbeat arrives
    // before all others. It shows the former leader's token and either an earlier attempt that
    // has exited or none of the tasks that the former leader started since.
    for tasks in [
        vec![],
        vec![task_report("req-1/0", 4, Some(ExitCause::Stopped))],
    ] {
        let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 2, 2.0));
        let mut other = ready_worker(&mut engine, "m2", "a");
        let mut worker = Worker::new("m1", "a");
        worker.token = first_token(LEADER_REVISION - 10);
        worker.tasks = tasks;
        let old_heartbeat = worker.heartbeat();
        worker.tasks = vec![running_task("req-1/0", 5), running_task("req-1/1", 6)];
        assert_eq!(
            receive_and_reply(&mut engine, 0.6, &old_heartbeat, true),
            Some(vec![])
        );
        commit(&mut engine, 0.7);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 0.8)).is_empty());

        // New heartbeats of m1 show its tasks; the reply to the first one carries the new
        // leader's token.
        worker.send_heartbeat(&mut engine, 0.9);
        assert_eq!(
            worker.send_heartbeat(&mut engine, 1.4),
            vec![],
            "both tasks continue"
        );
        commit(&mut engine, 1.5);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 1.6)).is_empty());
        assert_eq!(
            receive_and_reply(&mut engine, 1.7, &old_heartbeat, true),
            None,
            "the old heartbeat got a reply"
        );
        commit(&mut engine, 1.8);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 1.9)).is_empty());
        assert_eq!(
            engine.job_progress(1.9, "req-1").map(|c| c.running),
            Some(2)
        );
    }
}

#[test]
fn a_new_leader_accepts_from_an_old_heartbeat_only_that_a_task_has_completed() {
    // Guards against computing a result a second time, and against treating a task as running
    // because an old heartbeat lists it: the worker received the leader's token through a
    // direct command, and its session has ended since that heartbeat.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 2, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    let mut worker = Worker::new("m1", "a");
    worker.token = engine.token_for("m1");
    let done = task_report("req-1/0", 5, Some(ExitCause::Done));
    worker.tasks = vec![done, running_task("req-1/1", 6)];
    let old_heartbeat = worker.heartbeat();
    assert!(receive_and_reply(&mut engine, 0.6, &old_heartbeat, true).is_some());
    commit(&mut engine, 0.7);
    assert!(
        started_tasks(&other.send_heartbeat(&mut engine, 0.8)).is_empty(),
        "the task may run on m1"
    );

    (worker.session, worker.seq, worker.tasks) = (2, 0, vec![]);
    let mut started = started_tasks(&worker.send_heartbeat(&mut engine, 1.0));
    commit(&mut engine, 1.1);
    started.extend(started_tasks(&worker.send_heartbeat(&mut engine, 1.5)));
    started.extend(started_tasks(&other.send_heartbeat(&mut engine, 1.6)));
    assert_eq!(started, ["req-1/1"]);
    assert_eq!(
        receive_and_reply(&mut engine, 2.0, &old_heartbeat, true),
        None,
        "the old heartbeat got a reply"
    );
}

#[test]
fn a_reply_to_a_machine_just_found_unreachable_contains_no_launch() {
    // Guards against a launch on an unreachable machine that was placed before the heartbeat
    // that shows that the machine is unreachable.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    assert_eq!(
        heartbeat_with_lost_reply(&mut worker, &mut engine, 2.0).len(),
        1
    );
    assert_eq!(
        heartbeat_with_lost_reply(&mut worker, &mut engine, 7.0).len(),
        1,
        "one missed reply is not enough"
    );
    accept(&mut engine, 8.0, spec("req-2", 1, 2.0));
    commit(&mut engine, 8.0);
    let heartbeat = worker.heartbeat();
    let commands = receive_and_reply(&mut engine, 12.0, &heartbeat, true).unwrap();
    assert!(started_tasks(&commands).is_empty(), "{commands:?}");
}

#[test]
fn tasks_started_by_a_former_leader_count_as_running_until_their_machine_shows_otherwise() {
    // Guards against a job that runs without interruption and is shown as waiting after a
    // failover until its machines send heartbeats.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    assert_eq!(engine.job_progress(12.0, "req-1"), Some(counts(0, 2)));
    let lease_expired_at = (engine.cfg.renewal_s() + LEASE_S) * 1.001 + 0.6;
    engine.tick(lease_expired_at);
    assert_eq!(engine.job_progress(12.0, "req-1"), Some(counts(0, 0)));
}
