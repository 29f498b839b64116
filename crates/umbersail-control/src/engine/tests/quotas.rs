//! Quotas of teams: every attempt that may still run counts.

use super::*;

#[test]
fn tasks_whose_recovery_is_pending_after_a_failover_count_toward_the_quota() {
    // Guards against an exceeded quota (rule breach `quota`, as the rehearsal reports it):
    // exactly the tasks whose recovery is pending count.
    let mut engine = engine_after_failover(vec![team(0.0, 10.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    accept(&mut engine, 1.0, spec("req-2", 4, 2.0));
    commit(&mut engine, 1.0);
    let started = started_tasks(&other.send_heartbeat(&mut engine, 2.0)).len();
    assert_eq!(
        started, 3,
        "10 CPUs by 2, less two whose recovery is pending"
    );
    let mut m1 = Worker::new("m1", "a");
    m1.send_heartbeat(&mut engine, 2.0);
    m1.send_heartbeat(&mut engine, 2.5);
    commit(&mut engine, 2.6);
    let started = started_tasks(&other.send_heartbeat(&mut engine, 3.0)).len()
        + started_tasks(&m1.send_heartbeat(&mut engine, 3.0)).len();
    assert_eq!(started, 2, "m1 runs no task");
}

/// A new leader that finds the progress record of a cancelled or ended job of four tasks: two
/// tasks are complete, and three attempts may still run on m1: one of a completed task, and
/// those of the two other tasks.
fn engine_with_orphaned_attempts(
    quota_cpus: f64,
    whole_machines: bool,
    size: Option<(f64, f64, f64)>,
) -> Engine {
    let run = JobProgressRecord {
        high_water: 4,
        done_count: 2,
        orphaned_attempts: 1,
        hosts: vec!["m1".into(), "gone".into()],
        team: "t".into(),
        size,
        ..JobProgressRecord::default()
    };
    let mut inherited_state = inherited_state_of(spec("req-1", 3, 2.0));
    inherited_state.jobs.clear();
    inherited_state.finished_jobs = vec![("req-9".into(), run)];
    inherited_state.count_whole_machines = whole_machines;
    let config = config(vec![team(0.0, quota_cpus)], Tuning::default());
    Engine::new(config, 0.0, 0, inherited_state)
}

#[test]
fn attempts_of_finished_jobs_count_by_their_size_until_they_are_gone() {
    // Guards against an exceeded quota (rule breach `quota`), and against teams with a quota
    // that start no task after a failover until most machines have shown the token.
    let size = Some((2.0, 0.0, 1.0));
    for (whole_machines, size, first) in [(false, size, 1), (true, size, 0), (false, None, 0)] {
        let mut engine = engine_with_orphaned_attempts(8.0, whole_machines, size);
        let mut other = ready_worker(&mut engine, "m2", "a");
        accept(&mut engine, 1.0, spec("req-2", 4, 2.0));
        commit(&mut engine, 1.0);
        let started = started_tasks(&other.send_heartbeat(&mut engine, 2.0)).len();
        assert_eq!(started, first, "8 CPUs by 2, less three attempts of req-9");
        let removes = |changes: &[Change<Record>]| {
            let deletes_record = |c: &Change<Record>| matches!(c, Change::Delete { key } if *key == progress_key("req-9"));
            changes.iter().any(deletes_record)
        };
        // m1 still runs one attempt, which counts and is stopped; the progress record stays.
        let mut m1 = Worker::new("m1", "a");
        m1.tasks = vec![running_task("req-9/3", 4)];
        // The machine was fenced by a direct command: a reply to a heartbeat would already have
        // stopped the task.
        m1.token = first_token(LEADER_REVISION);
        let heartbeat = m1.heartbeat();
        assert!(engine.receive_heartbeat(2.5, &heartbeat));
        assert!(!removes(&commit(&mut engine, 2.6)));
        let commands = engine.reply(2.6, &heartbeat, true);
        assert_eq!(stop_count(&commands), 1);
        m1.apply_commands(first_token(LEADER_REVISION), &commands);
        m1.send_heartbeat(&mut engine, 3.0);
        assert!(
            removes(&commit(&mut engine, 3.1)),
            "no attempt of req-9 is left"
        );
        let replies = [
            other.send_heartbeat(&mut engine, 3.5),
            m1.send_heartbeat(&mut engine, 3.5),
        ];
        let started: usize = replies.iter().map(|c| started_tasks(c).len()).sum();
        assert_eq!(first + started, 4);
    }
}

#[test]
fn the_progress_record_of_a_cancelled_job_stays_until_none_of_its_tasks_can_run() {
    // Guards against an exceeded quota (rule breach `quota`): the leader that received the
    // cancellation ends, and the next leader finds no record of tasks that are still being
    // stopped.
    let mut engine = engine_after_failover(vec![team(0.0, 4.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    engine.job_key_removed("req-1");
    accept(&mut engine, 1.0, spec("req-2", 2, 2.0));
    let changes = commit(&mut engine, 5.0);
    let removes =
        |c: &Change<Record>| matches!(c, Change::Delete { key } if *key == progress_key("req-1"));
    assert!(!changes.iter().any(removes));
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 5.0)).len(),
        0
    );
    let mut m1 = Worker::new("m1", "a");
    m1.send_heartbeat(&mut engine, 5.5);
    m1.send_heartbeat(&mut engine, 6.0);
    assert!(commit(&mut engine, 7.0).iter().any(removes));
}

#[test]
fn an_attempt_of_a_completed_task_counts_until_the_attempt_is_gone() {
    // Guards against exceeding a team's quota after a failover: a completion arrived late, and
    // the attempt that was started as a replacement still runs.
    let mut engine = engine_after_failover(vec![team(0.0, 4.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    other.tasks = vec![running_task("req-1/0", 4)];
    other.exit("req-1/0", None, ExitCause::Done);
    other.send_heartbeat(&mut engine, 1.0);
    let mut worker = Worker::new("m1", "a");
    worker.token = first_token(LEADER_REVISION);
    worker.tasks = vec![running_task("req-1/0", 5), running_task("req-1/1", 5)];
    let heartbeat = worker.heartbeat();
    assert!(engine.receive_heartbeat(1.5, &heartbeat));
    commit(&mut engine, 1.6);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 1.7)).len(),
        0
    );
    let commands = engine.reply(1.8, &heartbeat, true);
    assert_eq!(
        stop_count(&commands),
        1,
        "the attempt of the completed task is stopped"
    );
    assert_eq!(started_tasks(&commands).len(), 0);
    worker.apply_commands(first_token(LEADER_REVISION), &commands);
    worker.send_heartbeat(&mut engine, 2.0);
    commit(&mut engine, 2.1);
    let replies = [
        other.send_heartbeat(&mut engine, 2.7),
        worker.send_heartbeat(&mut engine, 2.7),
    ];
    assert_eq!(
        replies
            .iter()
            .flat_map(|c| started_tasks(c))
            .collect::<Vec<_>>(),
        ["req-1/2"]
    );
}

#[test]
fn an_attempt_that_outlives_its_completed_job_counts_at_once() {
    // Guards against exceeding a quota between the completion of a job and the next heartbeat
    // of the machine on which an attempt of that job still runs.
    let mut engine = new_engine(vec![team(0.0, 2.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut other = ready_worker(&mut engine, "m2", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    let first = worker.send_heartbeat(&mut engine, 1.5);
    let second = other.send_heartbeat(&mut engine, 1.5);
    let (runs, idle) = match started_tasks(&first).len() {
        1 => (&mut worker, &mut other),
        _ => (&mut other, &mut worker),
    };
    assert_eq!(
        started_tasks(&first).len() + started_tasks(&second).len(),
        1
    );
    runs.send_heartbeat(&mut engine, 2.5);
    idle.tasks = vec![running_task("req-1/0", 1)];
    idle.exit("req-1/0", None, ExitCause::Done);
    idle.send_heartbeat(&mut engine, 2.6);
    commit(&mut engine, 2.7);
    assert!(engine.jobs.is_empty());
    accept(&mut engine, 2.8, spec("req-2", 1, 2.0));
    commit(&mut engine, 2.8);
    assert_eq!(
        started_tasks(&idle.send_heartbeat(&mut engine, 3.0)).len(),
        0
    );
    runs.send_heartbeat(&mut engine, 3.5);
    runs.send_heartbeat(&mut engine, 4.0);
    commit(&mut engine, 4.1);
    let replies = [
        idle.send_heartbeat(&mut engine, 5.0),
        runs.send_heartbeat(&mut engine, 5.0),
    ];
    assert_eq!(
        replies
            .iter()
            .map(|c| started_tasks(c).len())
            .sum::<usize>(),
        1
    );
}
