//! The calendar in the engine: several leaders, one after the other, on one state service.

use umbersail_calendar::RunRecord as Recorded;
use umbersail_wire::{Value, from_value, to_value};

use super::*;
use crate::records::{PLANS, PlanRecord};

const FILE: &str = "
    calendar.dawn.team = t
    calendar.dawn.zone = Etc/UTC
    calendar.dawn.opens = 2027-01-04 22:00
    calendar.dawn.repeat = FREQ=DAILY
    calendar.dawn.due = 10m
    calendar.dawn.step.1.classes = scan
    calendar.dawn.step.1.count = 2
    calendar.dawn.step.1.quiet = 2m
    calendar.dawn.step.2.classes = print
    calendar.dawn.step.2.quiet = 1m
    calendar.dawn.step.2.takes = 5m
";
/// When it opens, in milliseconds of the time of day.
const OPENS_MS: u64 = 1_799_100_000_000;

/// What a state service holds of jobs and plans, and whoever leads.
struct Place {
    file: String,
    jobs: BTreeMap<String, (JobSpec, u64)>,
    runs: BTreeMap<String, JobProgressRecord>,
    plans: BTreeMap<String, (Value, u64)>,
    engine: Engine,
    workers: Vec<Worker>,
    now: Time,
    holder: u64,
    revision: u64,
    /// Tasks that were started, with how often.
    started: BTreeMap<String, u32>,
}

fn engine(file: &str, now: Time, inheritance: InheritedState) -> Engine {
    let tuning = Tuning::from_properties(file.as_bytes()).unwrap();
    let cfg = config(vec![team(0.0, 0.0)], tuning);
    Engine::new(cfg, now, wall(now), inheritance)
}

/// The run opens a second after the first leader's start.
fn wall(now: Time) -> u64 {
    OPENS_MS - 1000 + (now * 1000.0) as u64
}

impl Place {
    fn new() -> Place {
        Place {
            file: FILE.into(),
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            plans: BTreeMap::new(),
            engine: engine(FILE, 0.0, empty_inherited_state()),
            workers: vec![Worker::new("m1", "a"), Worker::new("m2", "b")],
            now: 0.0,
            holder: TOKEN,
            revision: 1000,
            started: BTreeMap::new(),
        }
    }

    /// Another leader reads what is recorded.
    fn take_over(&mut self) {
        self.holder += 1;
        let granted = |w: &Worker| GrantedMachine {
            name: w.name.clone(),
            machine_type: "m8".into(),
            zone: w.zone.clone(),
            spot: false,
            addr: "127.0.0.1:9".into(),
        };
        let inheritance = InheritedState {
            revision: self.holder,
            grant_parts: vec![InheritedPart {
                index: 0,
                version: 40,
                part: GrantPart {
                    machines: self.workers.iter().map(granted).collect(),
                },
            }],
            jobs: (self.jobs.iter())
                .map(|(id, (spec, accepted_ms))| InheritedJob {
                    record: JobRecord {
                        spec: spec.clone(),
                        accepted_ms: *accepted_ms,
                    },
                    version: 70,
                    run: self.runs.get(id).map(|run| (run.clone(), 80)),
                })
                .collect(),
            plans: (self.plans.iter())
                .map(|(name, (value, version))| InheritedPlan {
                    name: name.clone(),
                    version: *version,
                    value: value.clone(),
                })
                .collect(),
            ..empty_inherited_state()
        };
        self.engine = engine(&self.file, self.now, inheritance);
    }

    fn submit(&mut self, id: &str, class: &str) {
        let spec = JobSpec {
            class: class.into(),
            ..spec(id, 2, 1.0)
        };
        let record = JobRecord {
            spec: spec.clone(),
            accepted_ms: wall(self.now),
        };
        self.jobs.insert(id.into(), (spec, wall(self.now)));
        (self.engine).job_accepted(self.now, wall(self.now), record, 70);
    }

    /// The state service takes what is due.
    fn write(&mut self) {
        while let Some(pending) = self.engine.next_txn(self.now, 20, 20) {
            self.revision += 1;
            for change in &pending.txn.changes {
                let (key, value) = match change {
                    Change::Put { key, value, .. } => (key, Some(value)),
                    Change::Delete { key } => (key, None),
                };
                if let Some(id) = key.strip_prefix("jobs/") {
                    self.jobs.remove(id);
                } else if let (Some(id), Some(Record::JobProgress(run))) =
                    (key.strip_prefix("runs/"), value)
                {
                    self.runs.insert(id.into(), run.clone());
                } else if let Some(name) = key.strip_prefix(PLANS) {
                    match value {
                        Some(Record::Plan(plan)) => {
                            let value = to_value(plan).unwrap();
                            self.plans.insert(name.into(), (value, self.revision));
                        }
                        _ => drop(self.plans.remove(name)),
                    }
                }
            }
            let revision = self.revision;
            let outcome = TxnOutcome::Applied { revision };
            self.engine.txn_finished(self.now, pending, outcome);
        }
    }

    /// Half a second: a tick, a cycle, records, and reports with their answers.
    fn step(&mut self) {
        self.now += 0.5;
        self.engine.set_wall_clock(self.now, wall(self.now));
        self.engine.tick(self.now);
        self.engine.schedule(self.now);
        self.write();
        for worker in &mut self.workers {
            for task in started_tasks(&worker.send_heartbeat(&mut self.engine, self.now)) {
                *self.started.entry(task).or_default() += 1;
            }
        }
    }

    fn steps(&mut self, seconds: f64) {
        for _ in 0..(seconds * 2.0) as usize {
            self.step();
        }
    }

    /// All tasks of a job end on their workers.
    fn end(&mut self, id: &str) {
        for worker in &mut self.workers {
            let of_job = |t: &&mut TaskReport| t.task.split('/').next() == Some(id);
            for task in worker.tasks.iter_mut().filter(of_job) {
                task.state = TaskState::Exited;
                task.cause = Some(ExitCause::Done);
            }
        }
    }

    fn begun(&self, id: &str) -> usize {
        let of_job = |task: &&String| task.split('/').next() == Some(id);
        self.started.keys().filter(of_job).count()
    }

    fn recorded(&self) -> Recorded {
        let (value, _) = &self.plans[&format!("calendar/dawn/{OPENS_MS}")];
        let plan: PlanRecord = from_value(value).unwrap();
        from_value(&plan.plan).unwrap()
    }
}

#[test]
fn a_later_step_starts_once_the_end_of_the_earlier_one_is_recorded() {
    // Guards against work on what is not there yet, and against a successor that holds
    // back again what has begun.
    let mut place = Place::new();
    place.steps(2.0);
    assert_eq!(place.recorded().opening_ms, OPENS_MS);
    for (id, class) in [("req-1", "scan"), ("req-2", "print"), ("req-3", "scan")] {
        place.submit(id, class);
    }
    place.steps(3.0);
    assert_eq!(
        [1, 2, 3].map(|n| place.begun(&format!("req-{n}"))),
        [2, 0, 2]
    );
    assert_eq!(
        place.engine.jobs["req-2"].blocked_reason,
        BlockedReason::HeldByPlan("an earlier step of its run")
    );
    // By when it must end for five minutes of printing, by a clock that may be wrong.
    let due = place.engine.jobs["req-1"].planned_deadline.unwrap();
    assert!((due - (1.0 + 300.0 - 0.5)).abs() < 0.01, "{due}");
    assert_eq!(
        place.engine.jobs["req-2"]
            .planned_deadline
            .map(|at| at.round()),
        Some(601.0)
    );
    place.end("req-1");
    place.end("req-3");
    // The ends are recorded and told; the step's end is not.
    for _ in 0..4 {
        place.now += 0.5;
        for worker in &mut place.workers {
            worker.send_heartbeat(&mut place.engine, place.now);
        }
        place.engine.tick(place.now);
        place.engine.schedule(place.now);
        assert!(place.engine.jobs["req-2"].hold_reason.is_some());
        while let Some(pending) = place.engine.next_txn(place.now, 20, 20) {
            let has_plan = pending.txn.changes.iter().any(|c| match c {
                Change::Put { key, .. } | Change::Delete { key } => key.starts_with(PLANS),
            });
            let outcome = match has_plan {
                true => TxnOutcome::NotExecuted,
                false => TxnOutcome::Applied { revision: 5000 },
            };
            place.engine.txn_finished(place.now, pending, outcome);
            if has_plan {
                break;
            }
        }
    }
    assert!(place.engine.job_count() == 1, "both ends are recorded");
    place.steps(2.0);
    assert!(place.recorded().steps[0].finished_ms.is_some());
    assert_eq!(place.begun("req-2"), 2);
}

#[test]
fn leaders_that_end_at_any_point_of_a_run_start_nothing_twice_and_go_on_within_two_seconds() {
    // Guards against a step that is run again, or waits for ever, after a take-over.
    for ends_at in 0..40 {
        let mut place = Place::new();
        place.steps(2.0);
        let (mut went_on, mut count) = (None, 0);
        for step in 0..60 {
            match step {
                2 => {
                    place.submit("req-1", "scan");
                    place.submit("req-2", "print");
                }
                5 => place.submit("req-3", "scan"),
                12 => place.end("req-1"),
                18 => place.end("req-3"),
                36 => place.end("req-2"),
                _ => {}
            }
            if step == ends_at || (ends_at % 3 == 0 && step == ends_at + 1) {
                place.take_over();
                count += 1;
            }
            place.step();
            let waits = place.jobs.contains_key("req-1") || place.jobs.contains_key("req-3");
            if waits {
                assert_eq!(place.begun("req-2"), 0, "ends at {ends_at}, step {step}");
            } else if place.begun("req-2") == 2 {
                went_on.get_or_insert(step);
            }
        }
        assert!(count > 0);
        // The last end comes with the report of step 18; machines must be heard anew.
        let went_on = went_on.unwrap();
        assert!(
            went_on <= 24,
            "ends at {ends_at}: goes on at step {went_on}"
        );
        assert!(
            place.started.values().all(|n| *n == 1),
            "{:?}",
            place.started
        );
        assert!(place.jobs.is_empty());
        let steps = place.recorded().steps;
        assert!(steps[0].finished_ms.is_some(), "ends at {ends_at}");
        assert_eq!(steps[0].came, 2);
    }
}

#[test]
fn a_successor_without_the_entry_keeps_the_recorded_steps() {
    // Guards against a rolling restart in which a run loses its order half-way.
    let mut place = Place::new();
    place.steps(2.0);
    place.submit("req-1", "scan");
    place.submit("req-2", "print");
    place.steps(3.0);
    place.file.clear();
    place.take_over();
    place.submit("req-3", "scan");
    place.steps(2.0);
    assert_eq!((place.begun("req-2"), place.begun("req-3")), (0, 2));
    place.end("req-1");
    place.end("req-3");
    place.steps(3.0);
    assert_eq!(place.begun("req-2"), 2);
}

#[test]
fn a_run_recorded_by_a_newer_build_or_with_nonsense_is_set_aside_and_the_leader_goes_on() {
    // Guards against a recorded run that ends every leader, one after the other.
    let mut place = Place::new();
    place.steps(2.0);
    place.submit("req-1", "scan");
    let name = format!("calendar/dawn/{OPENS_MS}");
    let good: PlanRecord = from_value(&place.plans[&name].0).unwrap();
    let mut newer = good.clone();
    newer.version = 2;
    let mut bad: Recorded = from_value(&good.plan).unwrap();
    bad.steps.clear();
    let empty = PlanRecord {
        version: 1,
        plan: to_value(&bad).unwrap(),
        is_tombstone: false,
    };
    for record in [
        to_value(&newer).unwrap(),
        to_value(&empty).unwrap(),
        "?".into(),
    ] {
        place.plans.insert(name.clone(), (record.clone(), 77));
        place.take_over();
        assert_eq!(
            place.engine.plans.store.names("calendar"),
            Vec::<String>::new()
        );
        place.engine.tick(place.now);
        assert_eq!(place.engine.job_count(), 1);
    }
}

#[test]
fn a_cancelled_job_and_one_that_fails_everywhere_hold_no_step_back() {
    // Guards against a run that one bad job stops until it is due.
    let mut place = Place::new();
    place.steps(2.0);
    place.submit("req-1", "scan");
    place.submit("req-2", "print");
    place.submit("req-3", "scan");
    place.steps(2.0);
    place.jobs.remove("req-1");
    place.engine.job_key_removed("req-1");
    let job: JobId = "req-3".into();
    let failing = place.engine.jobs.get_mut(&job).unwrap();
    (failing.suspected_faulty, failing.longest_failed_run_s) = (true, 1e6);
    place.steps(58.0);
    assert_eq!(place.begun("req-2"), 0);
    place.steps(5.0);
    assert_eq!(place.begun("req-2"), 2);
}
