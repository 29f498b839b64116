//! Tasks that fail: sick machines told apart from mistaken jobs.

use super::*;

#[test]
fn a_faulty_machine_is_returned_and_a_faulty_job_backs_off() {
    // Guards against condemning the fleet for one broken job, and against
    // feeding a machine that fails everything.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut bad = ready_worker(&mut engine, "m1", "a");
    for (i, id) in ["req-1", "req-2", "req-3"].iter().enumerate() {
        let now = 1.0 + 3.0 * i as f64;
        accept(&mut engine, now, spec(id, 1, 8.0));
        commit(&mut engine, now);
        bad.send_heartbeat(&mut engine, now + 1.0);
        bad.exit(&format!("{id}/0"), None, ExitCause::Error);
        bad.send_heartbeat(&mut engine, now + 2.0);
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

/// Plays some seconds of a fleet, from `from` on: every machine named in `sick` fails
/// all that it starts, every job whose name has an `x` fails everywhere, and what is sound
/// is done after three seconds. How many launches each job had.
fn play_faults(
    engine: &mut Engine,
    workers: &mut [Worker],
    sick: &[&str],
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
                if sick.contains(&&*worker.name) || id.contains('x') {
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
fn ten_mistaken_jobs_condemn_no_sound_machine_and_hide_no_sick_one() {
    // Guards against healthy machines given back for jobs that fail everywhere, and
    // against a sick one that goes unseen among their failures.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers: Vec<Worker> = (0..12)
        .map(|i| ready_worker(&mut engine, &format!("m{i:02}"), "a"))
        .collect();
    for i in 0..10 {
        accept(&mut engine, 1.0, spec(&format!("req-x{i}"), 4, 1.0));
        accept(&mut engine, 1.0, spec(&format!("req-{i}"), 30, 1.0));
    }
    let launches = play_faults(&mut engine, &mut workers, &["m05"], 2.0, 60);
    let quarantined: Vec<&str> = (engine.machines.values())
        .filter(|m| m.quarantined)
        .map(|m| &*m.name)
        .collect();
    assert_eq!(quarantined, ["m05"]);
    assert!((0..10).all(|i| !engine.jobs.contains_key(&*format!("req-{i}"))));
    for i in 0..10 {
        let name = format!("req-x{i}");
        assert!(engine.jobs[&*name].suspected_faulty, "{name}");
        // All four on three machines, and then one after each pause.
        assert!(launches[&name] <= 16, "{name}: {}", launches[&name]);
    }
}

#[test]
fn a_successor_knows_a_mistaken_job_and_tries_one_task_of_it() {
    let mut run = inherited_state_of(spec("req-1", 20, 0.1));
    let record = run.jobs[0].run.as_mut().unwrap();
    (record.0.suspect, record.0.high_water, record.0.hosts) = (true, 0, vec![]);
    let mut engine = Engine::new(config(vec![team(0.0, 0.0)], Tuning::default()), 0.0, 0, run);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 2.0)).len(),
        1
    );
    // It was the machines and not the job: all go on once one runs for longer
    // than it took to fail.
    worker.send_heartbeat(&mut engine, 3.0);
    commit(&mut engine, 3.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 4.0)).len(),
        0,
        "still tried"
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
fn a_sound_job_whose_first_tasks_met_sick_machines_goes_on_soon() {
    // Guards against a sound job held for mistaken until its first task is done.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut workers: Vec<Worker> = (0..8)
        .map(|i| ready_worker(&mut engine, &format!("m{i:02}"), "a"))
        .collect();
    let sick = ["m00", "m01", "m02", "m03", "m04"];
    accept(&mut engine, 1.0, spec("req-1", 5, 8.0));
    play_faults(&mut engine, &mut workers, &sick, 2.0, 30);
    assert!(!engine.jobs.contains_key("req-1"), "done within 30 s");
}
