//! Limits of teams: whatever may still run counts.

use super::*;

#[test]
fn a_limit_counts_what_may_still_run_after_a_take_over() {
    // Guards against quota: tasks whose recovery is pending use room, and just they.
    let mut engine = engine_after_failover(vec![team(0.0, 10.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    accept(&mut engine, 1.0, spec("req-2", 4, 2.0));
    commit(&mut engine, 1.0);
    let told = started_tasks(&other.send_heartbeat(&mut engine, 2.0)).len();
    assert_eq!(told, 3, "10 CPUs by 2, less two whose recovery is pending");
    let mut old = Worker::new("m1", "a");
    old.send_heartbeat(&mut engine, 2.0);
    old.send_heartbeat(&mut engine, 2.5);
    commit(&mut engine, 2.6);
    let told = started_tasks(&other.send_heartbeat(&mut engine, 3.0)).len()
        + started_tasks(&old.send_heartbeat(&mut engine, 3.0)).len();
    assert_eq!(told, 2, "m1 held nothing");
}

/// What a new leader finds of a job of four that was cancelled or has ended: two
/// of its tasks were done, the rest may run on m1.
fn with_orphaned_attempts(
    limit: f64,
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
    let mut found = inherited_state_of(spec("req-1", 3, 2.0));
    found.jobs.clear();
    found.finished_jobs = vec![("req-9".into(), run)];
    found.count_whole_machines = whole_machines;
    let config = config(vec![team(0.0, limit)], Tuning::default());
    Engine::new(config, 0.0, 0, found)
}

#[test]
fn what_may_still_run_of_jobs_that_are_over_counts_by_its_size_until_it_is_gone() {
    // Guards against quota, and against limited teams that start nothing after
    // a take-over until most machines have shown the token.
    let size = Some((2.0, 0.0, 1.0));
    for (whole, size, first) in [(false, size, 1), (true, size, 0), (false, None, 0)] {
        let mut engine = with_orphaned_attempts(8.0, whole, size);
        let mut other = ready_worker(&mut engine, "m2", "a");
        accept(&mut engine, 1.0, spec("req-2", 4, 2.0));
        commit(&mut engine, 1.0);
        let told = started_tasks(&other.send_heartbeat(&mut engine, 2.0)).len();
        assert_eq!(told, first, "8 CPUs by 2, less three attempts of req-9");
        let removes = |changes: &[Change<Record>]| {
            let of_it = |c: &Change<Record>| matches!(c, Change::Delete { key } if *key == progress_key("req-9"));
            changes.iter().any(of_it)
        };
        // m1 still runs one: it counts, is stopped, and its record stays.
        let mut old = Worker::new("m1", "a");
        old.tasks = vec![running_task("req-9/3", 4)];
        // Fenced by a direct command: an answer of ours would have stopped it.
        old.token = first_token(TOKEN);
        let heartbeat = old.heartbeat();
        assert!(engine.receive_heartbeat(2.5, &heartbeat));
        assert!(!removes(&commit(&mut engine, 2.6)));
        let told = engine.reply(2.6, &heartbeat, true);
        assert_eq!(stop_count(&told), 1);
        old.apply_commands(first_token(TOKEN), &told);
        old.send_heartbeat(&mut engine, 3.0);
        assert!(removes(&commit(&mut engine, 3.1)), "nothing of it is left");
        let told = [
            other.send_heartbeat(&mut engine, 3.5),
            old.send_heartbeat(&mut engine, 3.5),
        ];
        let told: usize = told.iter().map(|c| started_tasks(c).len()).sum();
        assert_eq!(first + told, 4);
    }
}

#[test]
fn a_cancelled_jobs_progress_stands_until_nothing_of_it_can_run() {
    // Guards against quota: the leader that heard of the cancellation ends, and
    // its successor finds no trace of tasks that are still being stopped.
    let mut engine = engine_after_failover(vec![team(0.0, 4.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    engine.job_key_removed("req-1");
    accept(&mut engine, 1.0, spec("req-2", 2, 2.0));
    let kept = commit(&mut engine, 5.0);
    let removes =
        |c: &Change<Record>| matches!(c, Change::Delete { key } if *key == progress_key("req-1"));
    assert!(!kept.iter().any(removes));
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 5.0)).len(),
        0
    );
    let mut old = Worker::new("m1", "a");
    old.send_heartbeat(&mut engine, 5.5);
    old.send_heartbeat(&mut engine, 6.0);
    assert!(commit(&mut engine, 7.0).iter().any(removes));
}

#[test]
fn an_attempt_of_a_completed_task_counts_until_it_is_gone() {
    // Guards against a team's limit that is broken after a take-over: a result
    // came late, and the attempt in its stead still runs.
    let mut engine = engine_after_failover(vec![team(0.0, 4.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    other.tasks = vec![running_task("req-1/0", 4)];
    other.exit("req-1/0", None, ExitCause::Done);
    other.send_heartbeat(&mut engine, 1.0);
    let mut worker = Worker::new("m1", "a");
    worker.token = first_token(TOKEN);
    worker.tasks = vec![running_task("req-1/0", 5), running_task("req-1/1", 5)];
    let heartbeat = worker.heartbeat();
    assert!(engine.receive_heartbeat(1.5, &heartbeat));
    commit(&mut engine, 1.6);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 1.7)).len(),
        0
    );
    let told = engine.reply(1.8, &heartbeat, true);
    assert_eq!(stop_count(&told), 1, "it is of no use to anybody");
    assert_eq!(started_tasks(&told).len(), 0);
    worker.apply_commands(first_token(TOKEN), &told);
    worker.send_heartbeat(&mut engine, 2.0);
    commit(&mut engine, 2.1);
    let told = [
        other.send_heartbeat(&mut engine, 2.7),
        worker.send_heartbeat(&mut engine, 2.7),
    ];
    assert_eq!(
        told.iter()
            .flat_map(|c| started_tasks(c))
            .collect::<Vec<_>>(),
        ["req-1/2"]
    );
}

#[test]
fn what_still_runs_of_a_job_that_is_done_counts_at_once() {
    // Guards against a limit that is broken between a job's end and the next
    // report of the machine on which an attempt of it still runs.
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
    let told = [
        idle.send_heartbeat(&mut engine, 5.0),
        runs.send_heartbeat(&mut engine, 5.0),
    ];
    assert_eq!(
        told.iter().map(|c| started_tasks(c).len()).sum::<usize>(),
        1
    );
}
