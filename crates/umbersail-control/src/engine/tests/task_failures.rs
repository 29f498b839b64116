//! Failing tasks: how the engine distinguishes faulty machines from faulty jobs.

use super::*;

#[test]
fn a_faulty_machine_is_quarantined_and_a_faulty_job_backs_off() {
    // Guards against quarantining the whole fleet because of one faulty job, and against
    // starting task after task on a machine where every task fails.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    for (i, id) in ["req-1", "req-2", "req-3"].iter().enumerate() {
        let now = 1.0 + 3.0 * i as f64;
        accept(&mut engine, now, spec(id, 1, 8.0));
        commit(&mut engine, now);
        worker.send_heartbeat(&mut engine, now + 1.0);
        worker.exit(&format!("{id}/0"), None, ExitCause::Error);
        worker.send_heartbeat(&mut engine, now + 2.0);
    }
    engine.tick(13.0);
    assert!(engine.machines["m1"].quarantined);

    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers: Vec<Worker> = (1..=4)
        .map(|i| ready_worker(&mut engine, &format!("m{i}"), "a"))
        .collect();
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    for i in 0..12 {
        let now = 2.0 + f64::from(i);
        commit(&mut engine, now);
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
            worker.exit("req-1/0", None, ExitCause::Error);
        }
    }
    assert!(engine.jobs["req-1"].backoff_until.is_some());
    assert!(engine.machines.values().all(|m| !m.quarantined));
}

/// Simulates a fleet for `seconds` seconds from `from` on. Every task on a machine in
/// `faulty` fails, every task of a job with an `x` in its name fails on every machine, and all
/// other tasks complete after three seconds. Returns the number of launches by job.
fn simulate_failures(
    engine: &mut Engine,
    workers: &mut [Worker],
    faulty: &[&str],
    from: Time,
    seconds: u32,
) -> BTreeMap<String, u32> {
    let mut launches: BTreeMap<String, u32> = BTreeMap::new();
    let mut ends: BTreeMap<(String, String), Time> = BTreeMap::new();
    for step in 0..seconds {
        let now = from + f64::from(step);
        engine.tick(now);
        commit(engine, now);
        for worker in workers.iter_mut() {
            if engine.machines[&*worker.name].quarantined {
                continue;
            }
            for task in started_tasks(&worker.send_heartbeat(engine, now)) {
                let id = task.split('/').next().unwrap().to_owned();
                *launches.entry(id.clone()).or_default() += 1;
                if faulty.contains(&&*worker.name) || id.contains('x') {
                    worker.exit(&task, None, ExitCause::Error);
                } else {
                    ends.insert((worker.name.clone(), task), now + 3.0);
                }
            }
            for ((machine, task), at) in &ends {
                if *machine == worker.name && now >= *at {
                    worker.exit(task, None, ExitCause::Done);
                }
            }
            worker.send_heartbeat(engine, now + 0.5);
        }
    }
    launches
}

#[test]
fn ten_faulty_jobs_cause_no_quarantine_of_a_healthy_machine_and_hide_no_faulty_machine() {
    // Guards against healthy machines that are quarantined because of jobs that fail on every
    // machine, and against a faulty machine that goes unnoticed among their failures.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers: Vec<Worker> = (0..12)
        .map(|i| ready_worker(&mut engine, &format!("m{i:02}"), "a"))
        .collect();
    for i in 0..10 {
        accept(&mut engine, 1.0, spec(&format!("req-x{i}"), 4, 1.0));
        accept(&mut engine, 1.0, spec(&format!("req-{i}"), 30, 1.0));
    }
    let launches = simulate_failures(&mut engine, &mut workers, &["m05"], 2.0, 60);
    let quarantined: Vec<&str> = (engine.machines.values())
        .filter(|m| m.quarantined)
        .map(|m| &*m.name)
        .collect();
    assert_eq!(quarantined, ["m05"]);
    assert!((0..10).all(|i| !engine.jobs.contains_key(&*format!("req-{i}"))));
    for i in 0..10 {
        let name = format!("req-x{i}");
        assert!(engine.jobs[&*name].suspected_faulty, "{name}");
        // All four tasks on three machines, and then one task after each backoff.
        assert!(launches[&name] <= 16, "{name}: {}", launches[&name]);
    }
}

#[test]
fn a_new_leader_knows_a_suspected_job_and_starts_a_single_trial_task() {
    let mut inherited_state = inherited_state_of(spec("req-1", 20, 0.1));
    let record = inherited_state.jobs[0].run.as_mut().unwrap();
    (record.0.suspect, record.0.high_water, record.0.hosts) = (true, 0, vec![]);
    let mut engine = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        inherited_state,
    );
    let mut worker = ready_worker(&mut engine, "m1", "a");
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 2.0)).len(),
        1
    );
    // The machines were faulty, not the job: all tasks start once the trial task has run for
    // longer than the failed tasks did.
    worker.send_heartbeat(&mut engine, 3.0);
    commit(&mut engine, 3.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 4.0)).len(),
        0,
        "the trial is not over"
    );
    worker.send_heartbeat(&mut engine, 9.5);
    let changes = commit(&mut engine, 9.5);
    assert!(
        (changes.iter())
            .any(|c| matches!(c, Change::Put { value: Record::JobProgress(r), .. } if !r.suspect))
    );
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 10.0)).len(),
        19
    );
}

#[test]
fn a_healthy_job_whose_first_tasks_ran_on_faulty_machines_completes_soon() {
    // Guards against a healthy job that is suspected to be faulty until its first task
    // completes.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers: Vec<Worker> = (0..8)
        .map(|i| ready_worker(&mut engine, &format!("m{i:02}"), "a"))
        .collect();
    let faulty = ["m00", "m01", "m02", "m03", "m04"];
    accept(&mut engine, 1.0, spec("req-1", 5, 8.0));
    simulate_failures(&mut engine, &mut workers, &faulty, 2.0, 30);
    assert!(
        !engine.jobs.contains_key("req-1"),
        "the job completes within 30 s"
    );
}
