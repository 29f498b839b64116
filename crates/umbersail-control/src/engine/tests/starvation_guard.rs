//! The starvation guard against upper tiers that never rest, and over a take-over.

use super::*;

/// Plays from `from` to `to` in steps of a second: of a worker's tasks of the job
/// `small` the oldest ends each second, so that places fall free one by one. When a
/// task of `large` was first told to start, and how many are told by the end.
fn play(
    engine: &mut Engine,
    worker: &mut Worker,
    from: u32,
    to: u32,
    large: &str,
) -> (Option<u32>, usize) {
    let (mut first, mut told) = (None, 0);
    for second in from..to {
        let now = f64::from(second);
        let small = worker.tasks.iter().find(|t| t.task.starts_with("small/"));
        if let Some(task) = small.map(|t| t.task.clone()) {
            worker.exit(&task, None, ExitCause::Done);
        }
        for task in started_tasks(&worker.send_heartbeat(engine, now)) {
            if task.starts_with(large) {
                first = first.or(Some(second));
                told += 1;
            }
        }
        engine.tick(now);
        commit(engine, now);
    }
    (first, told)
}

fn small(tasks: u32) -> JobSpec {
    JobSpec {
        priority: Priority::High,
        ..spec("small", tasks, 1.0)
    }
}

#[test]
fn a_large_job_begins_within_its_time_though_upper_tiers_fill_every_place_again() {
    // Guards against waiting without end for being large: eight places of one CPU
    // fall free one by one, and each is taken before the next.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, small(1000));
    accept(&mut engine, 1.0, spec("large", 2, 8.0));
    let (first, told) = play(&mut engine, &mut worker, 2, 240, "large/");
    assert!(
        first.is_some_and(|at| (120..200).contains(&at)),
        "{first:?}"
    );
    assert_eq!(told, 1, "what has begun waits in its own place");
    // Its first task ends: the upper tier goes first again, the starvation guard owes nothing.
    worker.exit("large/0", None, ExitCause::Done);
    let (first, _) = play(&mut engine, &mut worker, 240, 500, "large/");
    assert_eq!(first, None);
}

#[test]
fn in_a_lasting_overload_jobs_that_have_begun_are_also_completed() {
    // Guards against a starvation guard that begins one job after the other and completes none:
    // four places that fall free one after the other, tasks of a minute, and forty
    // jobs of two tasks that are all late.
    const TASK_S: u32 = 60;
    const APART_S: u32 = 15;
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
        let over = ends.extract_if(.., |_, end| second >= *end);
        for (task, _) in over {
            worker.exit(&task, None, ExitCause::Done);
        }
        for task in started_tasks(&worker.send_heartbeat(&mut engine, now)) {
            let first = second < APART_S;
            let run_s = if first {
                APART_S * (1 + ends.len() as u32)
            } else {
                TASK_S
            };
            ends.insert(task, second + run_s);
        }
        engine.tick(now);
        commit(&mut engine, now);
    }
    let done = JOBS - engine.jobs.len();
    let unstarted = engine.jobs.values().filter(|j| j.is_unstarted()).count();
    // Places for 18 jobs; every fourth goes to a job that has not begun.
    assert!(done >= 14, "{done} of {JOBS} jobs are done");
    assert!(unstarted <= 22, "{unstarted} of {JOBS} have not begun");
}

#[test]
fn a_successor_finds_the_debt_that_was_and_none_that_was_paid() {
    // Guards against a debt that a take-over forgets, or pays twice.
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
        let (first, _) = play(&mut engine, &mut worker, 1, 90, "large/");
        boosted.push(first.is_some());
    }
    assert_eq!(boosted, [true, false]);
}

#[test]
fn work_that_gives_way_has_no_place_kept_and_none_is_closed_to_a_guarantee() {
    // Guards against a guest that holds a machine empty, and against a team that
    // waits within its guarantee for another's debt.
    for (guest, guaranteed) in [(true, false), (false, true), (false, false)] {
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
        let priority = if guest {
            Priority::Low
        } else {
            Priority::Normal
        };
        let large = JobSpec {
            priority,
            ..spec("large", 1, 8.0)
        };
        accept(&mut engine, 1.0, large);
        let (first, _) = play(&mut engine, &mut worker, 2, 300, "large/");
        assert_eq!(first.is_some(), !guest && !guaranteed, "guest {guest}");
    }
}

#[test]
fn of_a_class_served_too_little_the_largest_that_can_be_in_time_goes_first() {
    // Guards against the rule that the most work gives way: by it the largest
    // are late for ever, though each could be in time.
    let placed = |missed: u32| {
        let mut engine = served(0.6);
        let _worker = ready_worker(&mut engine, "m1", "a");
        for n in 0..30 {
            let large = n % 5 == 0;
            let size = if large { 8.0 } else { 2.0 };
            engine
                .service_history
                .record("class c", size, !large || n / 5 >= missed);
        }
        let mut due = |id: &str, tasks| {
            let spec = JobSpec {
                deadline_s: Some(110.0),
                ..spec(id, tasks, 2.0)
            };
            engine.job_accepted(1.0, 1000, job_record(spec), 70);
        };
        (0..20).for_each(|n| due(&format!("small-{n}"), 1));
        due("large", 4);
        engine.schedule(1.0);
        engine.jobs["large"].placements.len()
    };
    assert_eq!(placed(1), 0, "five of six were served");
    assert_eq!(placed(4), 4, "two of six");
}

#[test]
fn a_job_that_must_stay_in_one_zone_is_owed_no_place_elsewhere() {
    // Guards against kept places chosen without a look at the tasks beside them.
    let zones = |one_zone: bool| {
        let mut engine = served(0.6);
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
                play(&mut engine, worker, second, second + 1, "large/");
            }
        }
        let live = engine.jobs["large"].placements.values();
        live.map(|p| engine.machines[&p.machine].zone.clone())
            .collect::<BTreeSet<_>>()
            .len()
    };
    assert_eq!(zones(false), 2);
    assert_eq!(zones(true), 1);
}

/// An engine that puts those first of whom less than this share was in time; by
/// default none are.
fn served(share: f64) -> Engine {
    let tuning = Tuning {
        underserved_share_below: share,
        ..Tuning::default()
    };
    let cfg = config(vec![team(0.0, 0.0)], tuning);
    Engine::new(cfg, 0.0, 0, empty_inherited_state())
}

#[test]
fn who_can_be_in_time_is_reckoned_within_the_teams_limit() {
    // Guards against a choice for machines that the team may not use: of its jobs of two
    // tasks each begins in time and ends too late. Four places of eight are allowed, which
    // fall free one after the other; the owner's estimates are right.
    const TASK_S: u32 = 60;
    const APART_S: u32 = 15;
    const JOBS: usize = 48;
    const STEP_S: f64 = 10.0;
    let mut engine = new_engine(vec![team(0.0, 4.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let due_s = |n: usize| 150.0 + STEP_S * n as f64;
    for n in 0..JOBS {
        let spec = JobSpec {
            deadline_s: Some(due_s(n)),
            estimate_s: f64::from(TASK_S),
            ..spec(&format!("job-{n:03}"), 2, 1.0)
        };
        engine.job_accepted(1.0, 1000, job_record(spec), 70);
    }
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    let mut in_time = 0;
    for second in 2..600 {
        let now = f64::from(second);
        let over = ends.extract_if(.., |_, end| second >= *end);
        for (task, _) in over {
            worker.exit(&task, None, ExitCause::Done);
        }
        for task in started_tasks(&worker.send_heartbeat(&mut engine, now)) {
            let run_s = match second < APART_S {
                true => APART_S * (1 + ends.len() as u32),
                false => TASK_S,
            };
            ends.insert(task, second + run_s);
        }
        let before: Vec<_> = engine.jobs.keys().cloned().collect();
        engine.tick(now);
        commit(&mut engine, now);
        for id in before.iter().filter(|id| !engine.jobs.contains_key(*id)) {
            let number: usize = id[4..].parse().unwrap();
            in_time += usize::from(now <= 1.0 + due_s(number));
        }
    }
    eprintln!(
        "IN TIME {in_time} of {JOBS}, done {}",
        JOBS - engine.jobs.len()
    );
    assert!(in_time >= 11, "{in_time} of {JOBS} jobs in time");
}
