//! Placement: zone constraints, jobs that can still meet their deadlines, and images that must
//! be fetched.

use super::*;

#[test]
fn zone_spread_and_single_zone_placement_count_tasks_that_may_still_run() {
    // Guards against tasks in a wrong zone (rule breach `wrong_place`, as the rehearsal reports
    // it) before the heartbeats show the tasks that a former leader started.
    let mut job = spec("req-1", 4, 2.0);
    job.spread = Some(true);
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], job);
    let mut same_zone = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&same_zone.send_heartbeat(&mut engine, 2.0)).len(),
        0,
        "zone a may already hold its half of the tasks"
    );

    let mut job = spec("req-1", 4, 2.0);
    job.one_zone = Some(true);
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], job);
    let mut elsewhere = ready_worker(&mut engine, "m2", "b");
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&elsewhere.send_heartbeat(&mut engine, 2.0)).len(),
        0,
        "all tasks must run in zone a"
    );
}

#[test]
fn in_an_overload_jobs_that_can_still_start_in_time_are_placed_first() {
    // Guards against earliest-deadline-first order, which makes every job of a burst late.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut submit = |id: &str, at: Time| {
        let mut job = spec(id, 1, 8.0);
        job.class = "bounded-start".into();
        job.deadline_s = Some(60.0);
        engine.job_accepted(at, (at * 1000.0) as u64, job_record(job), 70);
    };
    submit("req-1", 0.0);
    submit("req-2", 9.0);
    // Both jobs can still meet their deadlines; only the second can meet its start objective.
    engine.jobs.get_mut("req-1").unwrap().submitted_at = 0.0;
    engine.jobs.get_mut("req-2").unwrap().submitted_at = 9.0;
    worker.send_heartbeat(&mut engine, 9.9);
    commit(&mut engine, 10.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 10.5)),
        ["req-2/0"]
    );
}

#[test]
fn a_job_whose_image_fetch_takes_too_long_is_placed_after_a_job_that_can_end_in_time() {
    // Guards against slots used by jobs that are certain to be late.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    ready_worker(&mut engine, "m1", "a");
    let mut late_job = spec("req-1", 1, 8.0);
    late_job.deadline_s = Some(25.0);
    late_job.image_gb = 5.0;
    let mut other = spec("req-2", 1, 8.0);
    other.deadline_s = Some(60.0);
    other.image = "j".into();
    for job in [late_job, other] {
        engine.job_accepted(1.0, 1000, job_record(job), 70);
    }
    engine.schedule(1.0);
    assert_eq!(engine.jobs["req-2"].placements.len(), 1);
    assert_eq!(engine.jobs["req-1"].placements.len(), 0);
}

#[test]
fn a_task_that_an_image_fetch_would_make_late_waits_for_a_machine_with_the_image() {
    // Guards against an image fetch that is certain to make the start late while a machine that
    // has the image is about to have room.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut warm = ready_worker(&mut engine, "m1", "a");
    let job_with_start_objective = |id: &str| JobSpec {
        class: "bounded-start".into(),
        image: "large".into(),
        image_gb: 5.0,
        ..spec(id, 1, 8.0)
    };
    accept(&mut engine, 1.0, job_with_start_objective("req-1"));
    commit(&mut engine, 1.0);
    warm.send_heartbeat(&mut engine, 2.0);
    warm.send_heartbeat(&mut engine, 3.0);
    let mut cold = ready_worker(&mut engine, "m2", "a");
    cold.send_heartbeat(&mut engine, 4.0);
    // The start objective is 8 s and the fetch takes 10 s; m1 has the image and is full.
    accept(&mut engine, 4.0, job_with_start_objective("req-2"));
    assert_eq!(engine.jobs["req-2"].pending(), 1);
    accept(&mut engine, 4.0, job_with_start_objective("req-3"));
    warm.exit("req-1/0", None, ExitCause::Done);
    warm.send_heartbeat(&mut engine, 5.0);
    cold.send_heartbeat(&mut engine, 5.0);
    engine.schedule(5.0);
    let on_m1 = |id: &str| {
        engine.jobs[id]
            .placements
            .values()
            .any(|p| &*p.machine == "m1")
    };
    assert!(
        on_m1("req-2") ^ on_m1("req-3"),
        "exactly one of the two jobs gets the slot on m1"
    );
    // The other job stops waiting for m1 before its start objective of 8 s has passed.
    engine.tick(6.0);
    assert!(engine.needs_scheduling());
    warm.send_heartbeat(&mut engine, 7.2);
    cold.send_heartbeat(&mut engine, 7.2);
    engine.schedule(7.2);
    assert_eq!(
        engine.jobs["req-2"].pending() + engine.jobs["req-3"].pending(),
        0
    );
}
