//! Take-overs: what a successor may start, and what it knows of earlier holders.

use super::*;

#[test]
fn a_successor_starts_nothing_that_may_run_until_the_machine_shows_its_token() {
    // Guards against ran_twice after a take-over: a report from before our
    // token proves nothing.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    let told = started_tasks(&other.send_heartbeat(&mut engine, 1.0));
    assert_eq!(told, ["req-1/2"], "only the task never started before");

    let mut old = Worker::new("m1", "a");
    old.token = first_token(TOKEN - 10);
    old.tasks = vec![TaskReport {
        task: "req-1/0".into(),
        attempt: 5,
        state: TaskState::Running,
        cause: None,
        saved: None,
    }];
    assert_eq!(
        old.send_heartbeat(&mut engine, 1.5),
        vec![],
        "not fenced yet"
    );
    commit(&mut engine, 1.6);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 2.0)).len(),
        0
    );

    // Fenced: task 0 goes on, task 1 is on no machine and may start.
    old.send_heartbeat(&mut engine, 2.1);
    commit(&mut engine, 2.2);
    let told: Vec<String> = [
        started_tasks(&old.send_heartbeat(&mut engine, 3.0)),
        started_tasks(&other.send_heartbeat(&mut engine, 3.0)),
    ]
    .concat();
    assert_eq!(told, ["req-1/1"]);
    old.send_heartbeat(&mut engine, 4.0);
    other.send_heartbeat(&mut engine, 4.0);
    assert_eq!(engine.job_progress("req-1").map(|c| c.1), Some(3));
}

#[test]
fn all_controllers_ending_at_once_leaves_attempts_that_never_repeat() {
    // Guards against a launch that a worker ignores, or runs again after reap,
    // because a successor gave the same number.
    let mut first = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut first, "m1", "a");
    accept(&mut first, 1.0, spec("req-1", 1, 2.0));
    commit(&mut first, 1.0);
    let heartbeat = worker.heartbeat();
    let told = receive_and_reply(&mut first, 2.0, &heartbeat, true).unwrap();
    let Command::Start {
        attempt: before, ..
    } = told[0]
    else {
        panic!("{told:?}");
    };
    let mut second = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        InheritedState {
            revision: TOKEN + 1,
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
    let told = worker.send_heartbeat(&mut second, 2.0);
    let Command::Start { attempt: after, .. } = told[0] else {
        panic!("{told:?}");
    };
    assert!(after > before);
}

#[test]
fn what_a_former_holder_started_without_a_record_is_found_by_the_next_but_one() {
    // Guards against ran_twice: a leader saw in a report what its predecessor had
    // started without a record, wrote nothing of it, and ended.
    let mut found = inherited_state_of(spec("req-1", 4, 2.0));
    found.predecessor_degraded = true;
    let config = config(vec![team(0.0, 0.0)], Tuning::default());
    let mut engine = Engine::new(config, 0.0, 0, found);
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 1.5)).len(),
        0,
        "any task may run on m1"
    );
    let mut old = Worker::new("m1", "a");
    old.tasks = vec![running_task("req-1/3", 7)];
    old.send_heartbeat(&mut engine, 2.0);
    let heartbeat = old.heartbeat();
    assert!(engine.receive_heartbeat(2.5, &heartbeat));
    let written = commit(&mut engine, 2.6);
    let at = |found: &dyn Fn(&Change<Record>) -> bool| written.iter().position(found);
    let names_it = |c: &Change<Record>| {
        matches!(c, Change::Put { value: Record::JobProgress(run), .. }
            if run.high_water == 4 && run.hosts.iter().any(|h| h == "m1"))
    };
    let settles =
        |c: &Change<Record>| matches!(c, Change::Delete { key } if key == RECOVERY_PENDING_KEY);
    assert!(at(&names_it).is_some() && at(&names_it) < at(&settles));
    let told = started_tasks(&other.send_heartbeat(&mut engine, 2.7)).len()
        + started_tasks(&old.send_heartbeat(&mut engine, 3.1)).len();
    assert_eq!(told, 3);
}
