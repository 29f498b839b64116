//! The starvation guard: jobs that upper tiers or smaller tasks would keep waiting without
//! limit, also after a failover.

use super::*;

/// Simulates the seconds from `from` to `to`. In each second the worker's oldest task of the
/// job `small` completes, so that slots become free one by one. Returns the second of the first
/// launch of a task whose name starts with `large`, and the number of these launches.
fn simulate(
    engine: &mut Engine,
    worker: &mut Worker,
    from: u32,
    to: u32,
    large: &str,
) -> (Option<u32>, usize) {
    let (mut first, mut launches) = (None, 0);
    for second in from..to {
        let now = f64::from(second);
        let small = worker.tasks.iter().find(|t| t.task.starts_with("small/"));
        if let Some(task) = small.map(|t| t.task.clone()) {
            worker.exit(&task, None, ExitCause::Done);
        }
        for task in started_tasks(&worker.send_heartbeat(engine, now)) {
            if task.starts_with(large) {
                first = first.or(Some(second));
                launches += 1;
            }
        }
        engine.tick(now);
        commit(engine, now);
    }
    (first, launches)
}

/// A high-priority job of small tasks, which fill every slot as soon as the slot is free.
fn small(tasks: u32) -> JobSpec {
    JobSpec {
        priority: Priority::High,
        ..spec("small", tasks, 1.0)
    }
}

#[test]
fn a_large_job_starts_within_the_starvation_limit_although_upper_tiers_take_every_free_slot() {
    // Guards against a job that waits forever because it is large: eight slots of one CPU
    // become free one by one, and each is taken before the next one is free.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, small(1000));
    accept(&mut engine, 1.0, spec("large", 2, 8.0));
    let (first, launches) = simulate(&mut engine, &mut worker, 2, 240, "large/");
    assert!(
        first.is_some_and(|at| (120..200).contains(&at)),
        "{first:?}"
    );
    assert_eq!(
        launches, 1,
        "a job that has started waits in normal priority order"
    );
    // After the first large task ends, the upper tier comes first again: the starvation guard
    // boosts only jobs that have not started.
    worker.exit("large/0", None, ExitCause::Done);
    let (first, _) = simulate(&mut engine, &mut worker, 240, 500, "large/");
    assert_eq!(first, None);
}

#[test]
fn in_a_lasting_overload_jobs_that_have_started_are_also_completed() {
    // Guards against a starvation guard that starts one job after the other and completes none.
    // Four slots become free one after the other, tasks run for one minute, and all forty jobs
    // of two tasks are late.
    const TASK_S: u32 = 60;
    const SLOT_INTERVAL_S: u32 = 15;
    const JOBS: usize = 40;
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    for n in 0..JOBS {
        let spec = JobSpec {
            deadline_s: Some(90.0),
            ..spec(&format!("job-{n:03}"), 2, 2.0)
        };
        engine.job_accepted(1.0, 1000, job_record(spec), 70);
    }
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    for second in 2..600 {
        let now = f64::from(second);
        let completed = ends.extract_if(.., |_, end| second >= *end);
        for (task, _) in completed {
            worker.exit(&task, None, ExitCause::Done);
        }
        for task in started_tasks(&worker.send_heartbeat(&mut engine, now)) {
            let first = second < SLOT_INTERVAL_S;
            let run_s = if first {
                SLOT_INTERVAL_S * (1 + ends.len() as u32)
            } else {
                TASK_S
            };
            ends.insert(task, second + run_s);
        }
        engine.tick(now);
        commit(&mut engine, now);
    }
    let completed = JOBS - engine.jobs.len();
    let unstarted = engine.jobs.values().filter(|j| j.is_unstarted()).count();
    // The slots suffice for 18 jobs; every fourth slot goes to a job that has not started.
    assert!(completed >= 14, "{completed} of {JOBS} jobs are complete");
    assert!(unstarted <= 22, "{unstarted} of {JOBS} have not started");
}

#[test]
fn a_new_leader_boosts_a_job_that_has_waited_too_long_unless_it_has_started() {
    // Guards against a failover after which a starved job has to wait all over again, or after
    // which a job that has already started is boosted a second time.
    let mut boosted = Vec::new();
    for running in [0, 1] {
        let inherited = |spec: JobSpec, run| InheritedJob {
            record: job_record(spec),
            version: 50,
            run,
        };
        let run = JobProgressRecord {
            high_water: running,
            running,
            ..JobProgressRecord::default()
        };
        let mut engine = Engine::new(
            config(vec![team(0.0, 0.0)], Tuning::default()),
            0.0,
            115_000,
            InheritedState {
                jobs: vec![
                    inherited(small(1000), None),
                    inherited(spec("large", 2, 8.0), Some((run, 60))),
                ],
                ..empty_inherited_state()
            },
        );
        let mut worker = ready_worker(&mut engine, "m1", "a");
        let (first, _) = simulate(&mut engine, &mut worker, 1, 90, "large/");
        boosted.push(first.is_some());
    }
    assert_eq!(boosted, [true, false]);
}

#[test]
fn no_slot_is_held_for_best_effort_jobs_or_against_a_team_within_its_guarantee() {
    // Guards against a best-effort job for which a machine is kept empty, and against a team
    // that waits, within its guarantee, for the starved job of another team.
    for (best_effort, guaranteed) in [(true, false), (false, true), (false, false)] {
        let other = TeamLimits {
            name: "u".into(),
            ..team(if guaranteed { 8.0 } else { 0.0 }, 0.0)
        };
        let mut engine = new_engine(vec![team(0.0, 0.0), other]);
        let mut worker = ready_worker(&mut engine, "m1", "a");
        accept(
            &mut engine,
            1.0,
            JobSpec {
                team: "u".into(),
                ..small(1000)
            },
        );
        let priority = if best_effort {
            Priority::Low
        } else {
            Priority::Normal
        };
        let large = JobSpec {
            priority,
            ..spec("large", 1, 8.0)
        };
        accept(&mut engine, 1.0, large);
        let (first, _) = simulate(&mut engine, &mut worker, 2, 300, "large/");
        assert_eq!(
            first.is_some(),
            !best_effort && !guaranteed,
            "best effort: {best_effort}"
        );
    }
}

#[test]
fn the_largest_job_of_an_underserved_class_that_can_be_in_time_is_placed_first() {
    // Guards against large jobs that are always late, although each could be in time: the usual
    // order places the jobs with the most work last.
    let placed_large_tasks = |missed: u32| {
        let mut engine = engine_with_underserved_share(0.6);
        let _worker = ready_worker(&mut engine, "m1", "a");
        for n in 0..30 {
            let large = n % 5 == 0;
            let size = if large { 8.0 } else { 2.0 };
            engine
                .service_history
                .record("class c", size, !large || n / 5 >= missed);
        }
        let mut submit = |id: &str, tasks| {
            let spec = JobSpec {
                deadline_s: Some(110.0),
                ..spec(id, tasks, 2.0)
            };
            engine.job_accepted(1.0, 1000, job_record(spec), 70);
        };
        (0..20).for_each(|n| submit(&format!("small-{n}"), 1));
        submit("large", 4);
        engine.schedule(1.0);
        engine.jobs["large"].placements.len()
    };
    assert_eq!(
        placed_large_tasks(1),
        0,
        "five of six large jobs were in time"
    );
    assert_eq!(
        placed_large_tasks(4),
        4,
        "two of six large jobs were in time"
    );
}

#[test]
fn no_slot_in_another_zone_is_held_for_a_job_that_must_stay_in_one_zone() {
    // Guards against held slots that are chosen without regard to the zones of the job's other
    // tasks.
    let used_zones = |one_zone: bool| {
        let mut engine = engine_with_underserved_share(0.6);
        let mut workers = [("m1", "a"), ("m2", "b")].map(|(m, z)| ready_worker(&mut engine, m, z));
        (0..8).for_each(|_| engine.service_history.record("class c", 16.0, false));
        accept(&mut engine, 1.0, small(1000));
        let large = JobSpec {
            deadline_s: Some(400.0),
            one_zone: Some(one_zone),
            ..spec("large", 2, 8.0)
        };
        accept(&mut engine, 1.0, large);
        for second in 2..120 {
            for worker in &mut workers {
                simulate(&mut engine, worker, second, second + 1, "large/");
            }
        }
        let placements = engine.jobs["large"].placements.values();
        placements
            .map(|p| engine.machines[&p.machine].zone.clone())
            .collect::<BTreeSet<_>>()
            .len()
    };
    assert_eq!(used_zones(false), 2);
    assert_eq!(used_zones(true), 1);
}

/// An engine that places jobs first whose class and size had less than this share of jobs in
/// time. By default, no jobs are placed first for this reason.
fn engine_with_underserved_share(share: f64) -> Engine {
    let tuning = Tuning {
        underserved_share_below: share,
        ..Tuning::default()
    };
    let cfg = config(vec![team(0.0, 0.0)], tuning);
    Engine::new(cfg, 0.0, 0, empty_inherited_state())
}

#[test]
fn which_jobs_can_be_in_time_is_computed_within_the_teams_quota() {
    // Guards against an order of jobs that assumes machines which the team may not use: each
    // job of two tasks would start in time and end too late. The team may use four of eight
    // slots, which become free one after the other. The estimates are correct.
    const TASK_S: u32 = 60;
    const SLOT_INTERVAL_S: u32 = 15;
    const JOBS: usize = 48;
    const DEADLINE_INTERVAL_S: f64 = 10.0;
    let mut engine = new_engine(vec![team(0.0, 4.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let deadline_s = |n: usize| 150.0 + DEADLINE_INTERVAL_S * n as f64;
    for n in 0..JOBS {
        let spec = JobSpec {
            deadline_s: Some(deadline_s(n)),
            estimate_s: f64::from(TASK_S),
            ..spec(&format!("job-{n:03}"), 2, 1.0)
        };
        engine.job_accepted(1.0, 1000, job_record(spec), 70);
    }
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    let mut in_time = 0;
    for second in 2..600 {
        let now = f64::from(second);
        let completed = ends.extract_if(.., |_, end| second >= *end);
        for (task, _) in completed {
            worker.exit(&task, None, ExitCause::Done);
        }
        for task in started_tasks(&worker.send_heartbeat(&mut engine, now)) {
            let run_s = match second < SLOT_INTERVAL_S {
                true => SLOT_INTERVAL_S * (1 + ends.len() as u32),
                false => TASK_S,
            };
            ends.insert(task, second + run_s);
        }
        let before: Vec<_> = engine.jobs.keys().cloned().collect();
        engine.tick(now);
        commit(&mut engine, now);
        for id in before.iter().filter(|id| !engine.jobs.contains_key(*id)) {
            let number: usize = id[4..].parse().unwrap();
            in_time += usize::from(now <= 1.0 + deadline_s(number));
        }
    }
    eprintln!(
        "in time: {in_time} of {JOBS}, completed: {}",
        JOBS - engine.jobs.len()
    );
    assert!(in_time >= 11, "{in_time} of {JOBS} jobs in time");
}
