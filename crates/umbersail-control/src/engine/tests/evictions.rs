//! Evictions: when they are recorded, when stop commands are sent, and which tasks may not be
//! evicted.

use super::*;

/// One machine that a low-priority job fills, and a high-priority job that cannot start in
/// time on a newly booted machine.
fn machine_full_of_low_priority() -> (Engine, Worker, JobSpec) {
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut low = spec("req-1", 1, 8.0);
    low.priority = Priority::Low;
    accept(&mut engine, 1.0, low);
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    assert_eq!(engine.job_progress(3.0, "req-1"), Some(counts(0, 1)));
    let mut high = spec("req-2", 1, 8.0);
    high.priority = Priority::High;
    high.deadline_s = Some(25.0);
    (engine, worker, high)
}

#[test]
fn an_eviction_is_recorded_before_the_stop_command_is_sent() {
    // Each eviction is recorded in the state service, because a new leader must know of it.
    let (mut engine, mut worker, high) = machine_full_of_low_priority();
    accept(&mut engine, 4.0, high);
    assert_eq!(
        stop_count(&worker.send_heartbeat(&mut engine, 4.0)),
        0,
        "not recorded yet"
    );
    let changes = commit(&mut engine, 4.5);
    assert!(changes.iter().any(
        |c| matches!(c, Change::Put { value: Record::JobProgress(r), .. } if r.evictions == 1)
    ));
    assert_eq!(stop_count(&worker.send_heartbeat(&mut engine, 5.0)), 1);
    worker.send_heartbeat(&mut engine, 6.0);
    commit(&mut engine, 6.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 7.0)),
        ["req-2/0"]
    );
}

#[test]
fn an_evicted_task_whose_launch_was_never_sent_waits_again_and_frees_its_slot_for_the_preemptor() {
    // Guards against two faults. A task whose launch was never sent could not be stopped by
    // any worker, and its slot stayed occupied until the next leader. A further low-priority
    // task took the room of the first evicted task, so that the preemptor evicted again.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let low = |id: &str, cpus| JobSpec {
        priority: Priority::Low,
        checkpoint_s: Some(30.0),
        save_s: Some(3.0),
        ..spec(id, 3, cpus)
    };
    accept(&mut engine, 1.0, low("req-1", 4.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    // One of the two running tasks is complete; the third task is placed, but its launch has
    // not been sent yet.
    worker.exit("req-1/0", None, ExitCause::Done);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 4.0)),
        Vec::<String>::new()
    );
    engine.schedule(4.0);
    let planned = &engine.jobs["req-1"].placements[&2];
    assert!(!planned.may_be_known_to_worker());
    let mut high = spec("req-2", 1, 8.0);
    (high.priority, high.deadline_s) = (Priority::High, Some(25.0));
    accept(&mut engine, 4.0, high);
    assert!(
        !engine.jobs["req-1"].placements.contains_key(&2),
        "the task waits again"
    );
    assert_eq!(
        engine.jobs["req-1"].evictions, 1,
        "only the running task counts as evicted"
    );
    engine.schedule(4.1);
    assert!(
        !engine.jobs["req-1"].placements.contains_key(&2),
        "no low-priority task takes the freed room"
    );
    commit(&mut engine, 4.5);
    assert_eq!(stop_count(&worker.send_heartbeat(&mut engine, 5.0)), 1);
    engine.schedule(7.0);
    assert_eq!(
        engine.jobs["req-1"].evictions, 1,
        "no further eviction while a task is saving"
    );
    worker.exit("req-1/1", None, ExitCause::Stopped);
    worker.send_heartbeat(&mut engine, 8.5);
    commit(&mut engine, 8.5);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 9.0)),
        ["req-2/0"]
    );
}

#[test]
fn a_job_that_fails_on_every_machine_may_not_evict_and_a_job_is_not_evicted_without_limit() {
    // Guards against two known weaknesses of the design: a failing job that evicts others
    // again and again, and a job that is evicted again and again.
    let (mut engine, _worker, high) = machine_full_of_low_priority();
    engine.job_accepted(4.0, 4000, job_record(high), 71);
    engine.jobs.get_mut("req-2").unwrap().errors = 5;
    engine.schedule(4.0);
    assert_eq!(engine.jobs["req-1"].evictions, 0);
    engine.jobs.get_mut("req-2").unwrap().errors = 0;
    engine.jobs.get_mut("req-1").unwrap().evictions = 3;
    engine.schedule(4.0);
    assert_eq!(engine.jobs["req-1"].evictions, 3);
}

#[test]
fn no_task_is_evicted_in_a_zone_that_is_closed_to_the_waiting_job() {
    // Guards against evictions that help nobody: the present tasks of a job bind its other tasks
    // to their zone, and capacity freed in another zone stays unused.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers =
        [("m1", "a"), ("m2", "b")].map(|(name, zone)| ready_worker(&mut engine, name, zone));
    let high = JobSpec {
        priority: Priority::High,
        deadline_s: Some(25.0),
        one_zone: Some(true),
        zone: None,
        ..spec("req-1", 2, 8.0)
    };
    accept(&mut engine, 1.0, high);
    commit(&mut engine, 1.0);
    let low = JobSpec {
        priority: Priority::Low,
        ..spec("req-2", 1, 8.0)
    };
    accept(&mut engine, 1.0, low);
    commit(&mut engine, 1.0);
    for now in [2.0, 3.0] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
        }
    }
    assert_eq!(engine.job_progress(3.0, "req-1"), Some(counts(0, 1)));
    assert_eq!(engine.job_progress(3.0, "req-2"), Some(counts(0, 1)));
    engine.schedule(4.0);
    assert_eq!(engine.jobs["req-2"].evictions, 0);
}
