//! Rentals: a machine is rented for each waiting task that may be placed on no machine.

use umbersail_wire::RentRequest;

use super::*;

/// A service, whose tasks run until it is cancelled.
fn service(id: &str, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        estimate_s: 0.0,
        spot: Some(false),
        ..spec(id, tasks, cpus)
    }
}

/// Places all waiting tasks and lets the workers start them.
fn start_all(engine: &mut Engine, now: Time, workers: &mut [Worker]) {
    commit(engine, now);
    for round in 1..=2 {
        for worker in workers.iter_mut() {
            worker.send_heartbeat(engine, now + 0.1 * f64::from(round));
        }
    }
}

/// The machines that the engine rents now.
fn rentals(engine: &mut Engine, now: Time) -> Vec<RentRequest> {
    let actions = engine.cloud_actions(now).into_iter();
    let rentals = actions.filter_map(|action| match action {
        CloudAction::Rent(request) => Some(request),
        CloudAction::Delete(_) => None,
    });
    rentals.collect()
}

#[test]
fn a_service_bound_to_one_zone_gets_a_new_machine_there() {
    // Guards against a service that stays incomplete after it has lost a machine, because the
    // rental plan counts free capacity in a zone where its other tasks do not run.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers = [("m1", "a"), ("m2", "a"), ("m3", "b")]
        .map(|(name, zone)| ready_worker(&mut engine, name, zone));
    let in_zone_b = JobSpec {
        zone: Some("b".into()),
        ..service("req-1", 1, 2.0)
    };
    accept(&mut engine, 1.0, in_zone_b);
    start_all(&mut engine, 1.0, &mut workers);
    let together = JobSpec {
        one_zone: Some(true),
        ..service("req-2", 2, 5.0)
    };
    accept(&mut engine, 2.0, together);
    start_all(&mut engine, 2.0, &mut workers);
    assert_eq!(engine.job_progress(2.0, "req-2"), Some(counts(0, 2)));
    assert_eq!(rentals(&mut engine, 3.0), []);
    engine.machines_deleted(&["m1".into()]);
    start_all(&mut engine, 4.0, &mut workers[1..]);
    assert_eq!(engine.jobs["req-2"].pending(), 1);
    let rented = rentals(&mut engine, 5.0);
    assert_eq!(rented.len(), 1, "{rented:?}");
    assert_eq!((rented[0].zone.as_str(), rented[0].count), ("a", 1));
}

#[test]
fn a_spread_job_gets_a_machine_in_another_zone() {
    // Guards against a task that never starts, because the rental plan counts free capacity in
    // a zone that already holds as many of the job's tasks as it may.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers =
        [("m1", "a"), ("m2", "a")].map(|(name, zone)| ready_worker(&mut engine, name, zone));
    let spread = JobSpec {
        spread: Some(true),
        ..service("req-1", 4, 2.0)
    };
    accept(&mut engine, 1.0, spread);
    start_all(&mut engine, 1.0, &mut workers);
    assert_eq!(engine.jobs["req-1"].pending(), 2);
    let rented = rentals(&mut engine, 2.0);
    assert_eq!(rented.len(), 1, "{rented:?}");
    assert_eq!((rented[0].zone.as_str(), rented[0].count), ("b", 1));
}

/// Number of machines rented for a task that needs a whole machine, while one task of each of
/// two jobs runs on one of two machines. Together the two tasks would fit on one machine.
fn rented_beside(running: impl Fn(&str, f64) -> JobSpec) -> u32 {
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers = vec![ready_worker(&mut engine, "m1", "a")];
    accept(&mut engine, 1.0, running("req-1", 5.0));
    accept(&mut engine, 1.0, spec("req-2", 1, 3.0));
    start_all(&mut engine, 1.0, &mut workers);
    workers.push(ready_worker(&mut engine, "m2", "a"));
    accept(&mut engine, 2.0, running("req-3", 3.0));
    start_all(&mut engine, 2.0, &mut workers);
    workers[0].exit("req-2/0", None, ExitCause::Done);
    start_all(&mut engine, 3.0, &mut workers);
    assert_eq!(rentals(&mut engine, 4.0), []);
    accept(&mut engine, 5.0, spec("req-4", 1, 8.0));
    start_all(&mut engine, 5.0, &mut workers);
    assert_eq!(engine.job_progress(5.0, "req-1"), Some(counts(0, 1)));
    assert_eq!(engine.job_progress(5.0, "req-3"), Some(counts(0, 1)));
    assert_eq!(engine.jobs["req-4"].pending(), 1);
    rentals(&mut engine, 6.0).iter().map(|r| r.count).sum()
}

#[test]
fn a_task_that_would_fit_only_if_replicas_were_moved_gets_a_machine() {
    // Guards against a job that never starts: free capacity is divided between two machines by
    // services, which nothing moves, and the rental plan packs them together.
    assert_eq!(rented_beside(|id, cpus| service(id, 1, cpus)), 1);
}

#[test]
fn a_task_waits_for_tasks_that_end_soon_and_not_for_those_that_run_for_long() {
    // Guards against a job that waits for as long as the tasks of an array run, while the cloud
    // has machines, and against renting for capacity that is about to become free.
    let array = |estimate_s| {
        move |id: &str, cpus| JobSpec {
            estimate_s,
            ..spec(id, 1, cpus)
        }
    };
    assert_eq!(rented_beside(array(600.0)), 1);
    assert_eq!(rented_beside(array(20.0)), 0);
}

#[test]
fn a_large_task_starts_beside_a_long_running_task_that_leaves_room() {
    // Guards against renting for tasks that fit beside the long-running ones.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers = [ready_worker(&mut engine, "m1", "a")];
    accept(&mut engine, 1.0, service("req-1", 1, 3.0));
    start_all(&mut engine, 1.0, &mut workers);
    accept(&mut engine, 2.0, spec("req-2", 1, 5.0));
    assert_eq!(engine.jobs["req-2"].placements.len(), 1);
    assert_eq!(rentals(&mut engine, 2.5), []);
}
