//! Failovers: which tasks a new leader may start, and what it knows of former leaders.

use super::*;

#[test]
fn a_new_leader_starts_no_task_that_may_run_on_a_machine_until_the_machine_shows_its_token() {
    // Guards against a task that runs twice (rule breach `ran_twice`, as the rehearsal reports
    // it) after a failover: a heartbeat from before the machine received the new leader's token
    // proves nothing.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    let started = started_tasks(&other.send_heartbeat(&mut engine, 1.0));
    assert_eq!(started, ["req-1/2"], "only the task that was never started");

    let mut m1 = Worker::new("m1", "a");
    m1.token = first_token(LEADER_REVISION - 10);
    m1.tasks = vec![TaskReport {
        task: "req-1/0".into(),
        attempt: 5,
        state: TaskState::Running,
        cause: None,
        saved: None,
    }];
    assert_eq!(
        m1.send_heartbeat(&mut engine, 1.5),
        vec![],
        "not fenced yet"
    );
    commit(&mut engine, 1.6);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 2.0)).len(),
        0
    );

    // The machine is fenced now: task 0 continues, and task 1 is on no machine and may start.
    m1.send_heartbeat(&mut engine, 2.1);
    commit(&mut engine, 2.2);
    let started: Vec<String> = [
        started_tasks(&m1.send_heartbeat(&mut engine, 3.0)),
        started_tasks(&other.send_heartbeat(&mut engine, 3.0)),
    ]
    .concat();
    assert_eq!(started, ["req-1/1"]);
    m1.send_heartbeat(&mut engine, 4.0);
    other.send_heartbeat(&mut engine, 4.0);
    assert_eq!(
        engine.job_progress(4.0, "req-1").map(|c| c.running),
        Some(3)
    );
}

#[test]
fn attempt_numbers_do_not_repeat_after_all_controllers_restart_at_once() {
    // Guards against a new leader that uses an attempt number again: the worker would ignore the
    // launch, or run the same attempt a second time after it has forgotten the first.
    let mut first = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut first, "m1", "a");
    accept(&mut first, 1.0, spec("req-1", 1, 2.0));
    commit(&mut first, 1.0);
    let heartbeat = worker.heartbeat();
    let commands = receive_and_reply(&mut first, 2.0, &heartbeat, true).unwrap();
    let Command::Start {
        attempt: first_attempt,
        ..
    } = commands[0]
    else {
        panic!("{commands:?}");
    };
    let mut second = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        InheritedState {
            revision: LEADER_REVISION + 1,
            jobs: vec![InheritedJob {
                record: job_record(spec("req-1", 1, 2.0)),
                version: 70,
                run: None,
            }],
            ..empty_inherited_state()
        },
    );
    worker.send_heartbeat(&mut second, 0.5);
    worker.send_heartbeat(&mut second, 1.0);
    commit(&mut second, 1.0);
    let commands = worker.send_heartbeat(&mut second, 2.0);
    let Command::Start {
        attempt: second_attempt,
        ..
    } = commands[0]
    else {
        panic!("{commands:?}");
    };
    assert!(second_attempt > first_attempt);
}

#[test]
fn a_task_started_without_a_record_is_recorded_before_recovery_counts_as_complete() {
    // Guards against a task that runs twice (rule breach `ran_twice`) under the leader after
    // next: a new leader learned from a heartbeat of a task that its predecessor had started
    // without a record, did not record the task, and ended.
    let mut inherited_state = inherited_state_of(spec("req-1", 4, 2.0));
    inherited_state.predecessor_degraded = true;
    let config = config(vec![team(0.0, 0.0)], Tuning::default());
    let mut engine = Engine::new(config, 0.0, 0, inherited_state);
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 1.5)).len(),
        0,
        "any task may run on m1"
    );
    let mut m1 = Worker::new("m1", "a");
    m1.tasks = vec![running_task("req-1/3", 7)];
    m1.send_heartbeat(&mut engine, 2.0);
    let heartbeat = m1.heartbeat();
    assert!(engine.receive_heartbeat(2.5, &heartbeat));
    let written = commit(&mut engine, 2.6);
    let position = |found: &dyn Fn(&Change<Record>) -> bool| written.iter().position(found);
    let records_task = |c: &Change<Record>| {
        matches!(c, Change::Put { value: Record::JobProgress(run), .. }
            if run.high_water == 4 && run.hosts.iter().any(|h| h == "m1"))
    };
    let completes_recovery =
        |c: &Change<Record>| matches!(c, Change::Delete { key } if key == RECOVERY_PENDING_KEY);
    assert!(
        position(&records_task).is_some()
            && position(&records_task) < position(&completes_recovery)
    );
    let started = started_tasks(&other.send_heartbeat(&mut engine, 2.7)).len()
        + started_tasks(&m1.send_heartbeat(&mut engine, 3.1)).len();
    assert_eq!(started, 3);
}
