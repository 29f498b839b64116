//! Calendar runs in the engine, also across failovers: several leaders, one after the other,
//! use the same state service.

use umbersail_calendar::RunRecord;
use umbersail_wire::{Value, from_value, to_value};

use super::*;
use crate::records::{PLANS, PlanRecord};

const PROPERTIES: &str = "
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
/// When the first run opens, in milliseconds of Unix time.
const OPENING_MS: u64 = 1_799_100_000_000;

/// The jobs, job progress and plans recorded in the state service, the current leader and its
/// workers.
struct Cluster {
    properties: String,
    jobs: BTreeMap<String, (JobSpec, u64)>,
    runs: BTreeMap<String, JobProgressRecord>,
    plans: BTreeMap<String, (Value, u64)>,
    engine: Engine,
    workers: Vec<Worker>,
    now: Time,
    leader_revision: u64,
    revision: u64,
    /// How often each task was started.
    started: BTreeMap<String, u32>,
}

fn engine(properties: &str, now: Time, inherited_state: InheritedState) -> Engine {
    let tuning = Tuning::from_properties(properties.as_bytes()).unwrap();
    let cfg = config(vec![team(0.0, 0.0)], tuning);
    Engine::new(cfg, now, wall_clock_ms(now), inherited_state)
}

/// Unix time in milliseconds. The first run opens one second after the start of the first leader.
fn wall_clock_ms(now: Time) -> u64 {
    OPENING_MS - 1000 + (now * 1000.0) as u64
}

impl Cluster {
    fn new() -> Cluster {
        Cluster {
            properties: PROPERTIES.into(),
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            plans: BTreeMap::new(),
            engine: engine(PROPERTIES, 0.0, empty_inherited_state()),
            workers: vec![Worker::new("m1", "a"), Worker::new("m2", "b")],
            now: 0.0,
            leader_revision: LEADER_REVISION,
            revision: 1000,
            started: BTreeMap::new(),
        }
    }

    /// Replaces the leader by a new one that reads the recorded state.
    fn fail_over(&mut self) {
        self.leader_revision += 1;
        let granted_machine = |w: &Worker| GrantedMachine {
            name: w.name.clone(),
            machine_type: "m8".into(),
            zone: w.zone.clone(),
            spot: false,
            addr: "127.0.0.1:9".into(),
        };
        let inherited_state = InheritedState {
            revision: self.leader_revision,
            grant_parts: vec![InheritedPart {
                index: 0,
                version: 40,
                part: GrantPart {
                    machines: self.workers.iter().map(granted_machine).collect(),
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
        self.engine = engine(&self.properties, self.now, inherited_state);
    }

    fn submit(&mut self, id: &str, class: &str) {
        let spec = JobSpec {
            class: class.into(),
            ..spec(id, 2, 1.0)
        };
        let record = JobRecord {
            spec: spec.clone(),
            accepted_ms: wall_clock_ms(self.now),
        };
        self.jobs.insert(id.into(), (spec, wall_clock_ms(self.now)));
        (self.engine).job_accepted(self.now, wall_clock_ms(self.now), record, 70);
    }

    /// Applies every transaction that is due.
    fn apply_transactions(&mut self) {
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

    /// Advances by half a second: a tick, a scheduling cycle, the transactions, and each
    /// worker's heartbeat with its reply.
    fn step(&mut self) {
        self.now += 0.5;
        self.engine
            .set_wall_clock(self.now, wall_clock_ms(self.now));
        self.engine.tick(self.now);
        self.engine.schedule(self.now);
        self.apply_transactions();
        for worker in &mut self.workers {
            for task in started_tasks(&worker.send_heartbeat(&mut self.engine, self.now)) {
                *self.started.entry(task).or_default() += 1;
            }
        }
    }

    fn run_for(&mut self, seconds: f64) {
        for _ in 0..(seconds * 2.0) as usize {
            self.step();
        }
    }

    /// Lets all tasks of a job complete on their workers.
    fn complete_job(&mut self, id: &str) {
        for worker in &mut self.workers {
            let of_job = |t: &&mut TaskReport| t.task.split('/').next() == Some(id);
            for task in worker.tasks.iter_mut().filter(of_job) {
                task.state = TaskState::Exited;
                task.cause = Some(ExitCause::Done);
            }
        }
    }

    /// Number of the job's tasks that were started.
    fn started_count(&self, id: &str) -> usize {
        let of_job = |task: &&String| task.split('/').next() == Some(id);
        self.started.keys().filter(of_job).count()
    }

    fn run_record(&self) -> RunRecord {
        let (value, _) = &self.plans[&format!("calendar/dawn/{OPENING_MS}")];
        let plan: PlanRecord = from_value(value).unwrap();
        from_value(&plan.plan).unwrap()
    }
}

#[test]
fn a_later_step_starts_once_the_end_of_the_earlier_step_is_recorded() {
    // Guards against tasks that start before the results they depend on exist, and against a
    // new leader that holds back a step that has already started.
    let mut cluster = Cluster::new();
    cluster.run_for(2.0);
    assert_eq!(cluster.run_record().opening_ms, OPENING_MS);
    for (id, class) in [("req-1", "scan"), ("req-2", "print"), ("req-3", "scan")] {
        cluster.submit(id, class);
    }
    cluster.run_for(3.0);
    assert_eq!(
        [1, 2, 3].map(|n| cluster.started_count(&format!("req-{n}"))),
        [2, 0, 2]
    );
    assert_eq!(
        cluster.engine.jobs["req-2"].blocked_reason,
        BlockedReason::HeldByPlan("an earlier step of its run")
    );
    // The run is due at 601 s. The first step must leave the five minutes that the second step
    // takes, and half a second for clock skew.
    let due = cluster.engine.jobs["req-1"].planned_deadline.unwrap();
    assert!((due - (1.0 + 300.0 - 0.5)).abs() < 0.01, "{due}");
    assert_eq!(
        cluster.engine.jobs["req-2"]
            .planned_deadline
            .map(|at| at.round()),
        Some(601.0)
    );
    cluster.complete_job("req-1");
    cluster.complete_job("req-3");
    // The ends of both jobs are recorded and acknowledged, but the end of the step is not
    // recorded.
    for _ in 0..4 {
        cluster.now += 0.5;
        for worker in &mut cluster.workers {
            worker.send_heartbeat(&mut cluster.engine, cluster.now);
        }
        cluster.engine.tick(cluster.now);
        cluster.engine.schedule(cluster.now);
        assert!(cluster.engine.jobs["req-2"].hold_reason.is_some());
        while let Some(pending) = cluster.engine.next_txn(cluster.now, 20, 20) {
            let has_plan = pending.txn.changes.iter().any(|c| match c {
                Change::Put { key, .. } | Change::Delete { key } => key.starts_with(PLANS),
            });
            let outcome = match has_plan {
                true => TxnOutcome::NotExecuted,
                false => TxnOutcome::Applied { revision: 5000 },
            };
            cluster.engine.txn_finished(cluster.now, pending, outcome);
            if has_plan {
                break;
            }
        }
    }
    assert!(
        cluster.engine.job_count() == 1,
        "the ends of both jobs are recorded"
    );
    cluster.run_for(2.0);
    assert!(cluster.run_record().steps[0].finished_ms.is_some());
    assert_eq!(cluster.started_count("req-2"), 2);
}

#[test]
fn a_failover_at_any_point_of_a_run_starts_no_task_twice_and_delays_the_run_by_at_most_two_seconds()
{
    // Guards against a step that runs again, or waits forever, after a failover.
    for failover_at in 0..40 {
        let mut cluster = Cluster::new();
        cluster.run_for(2.0);
        let (mut continued_at, mut failovers) = (None, 0);
        for step in 0..60 {
            match step {
                2 => {
                    cluster.submit("req-1", "scan");
                    cluster.submit("req-2", "print");
                }
                5 => cluster.submit("req-3", "scan"),
                12 => cluster.complete_job("req-1"),
                18 => cluster.complete_job("req-3"),
                36 => cluster.complete_job("req-2"),
                _ => {}
            }
            if step == failover_at || (failover_at % 3 == 0 && step == failover_at + 1) {
                cluster.fail_over();
                failovers += 1;
            }
            cluster.step();
            let first_step_open =
                cluster.jobs.contains_key("req-1") || cluster.jobs.contains_key("req-3");
            if first_step_open {
                assert_eq!(
                    cluster.started_count("req-2"),
                    0,
                    "failover at step {failover_at}, now step {step}"
                );
            } else if cluster.started_count("req-2") == 2 {
                continued_at.get_or_insert(step);
            }
        }
        assert!(failovers > 0);
        // The last completion of the first step arrives with the heartbeat of step 18; after
        // a failover, the machines must first send new heartbeats.
        let continued_at = continued_at.unwrap();
        assert!(
            continued_at <= 24,
            "failover at step {failover_at}: continued at step {continued_at}"
        );
        assert!(
            cluster.started.values().all(|n| *n == 1),
            "{:?}",
            cluster.started
        );
        assert!(cluster.jobs.is_empty());
        let steps = cluster.run_record().steps;
        assert!(
            steps[0].finished_ms.is_some(),
            "failover at step {failover_at}"
        );
        assert_eq!(steps[0].accepted_jobs, 2);
    }
}

#[test]
fn a_new_leader_without_the_calendar_entry_keeps_the_recorded_steps() {
    // Guards against a rolling restart that removes the entry from the settings and thereby
    // the order of the steps of a run that has already started.
    let mut cluster = Cluster::new();
    cluster.run_for(2.0);
    cluster.submit("req-1", "scan");
    cluster.submit("req-2", "print");
    cluster.run_for(3.0);
    cluster.properties.clear();
    cluster.fail_over();
    cluster.submit("req-3", "scan");
    cluster.run_for(2.0);
    assert_eq!(
        (
            cluster.started_count("req-2"),
            cluster.started_count("req-3")
        ),
        (0, 2)
    );
    cluster.complete_job("req-1");
    cluster.complete_job("req-3");
    cluster.run_for(3.0);
    assert_eq!(cluster.started_count("req-2"), 2);
}

#[test]
fn a_run_record_of_a_newer_version_or_with_invalid_content_is_ignored_and_the_leader_continues() {
    // Guards against a recorded run that crashes every leader, one after the other.
    let mut cluster = Cluster::new();
    cluster.run_for(2.0);
    cluster.submit("req-1", "scan");
    let name = format!("calendar/dawn/{OPENING_MS}");
    let valid: PlanRecord = from_value(&cluster.plans[&name].0).unwrap();
    let mut newer = valid.clone();
    newer.version = 2;
    let mut without_steps: RunRecord = from_value(&valid.plan).unwrap();
    without_steps.steps.clear();
    let without_steps_record = PlanRecord {
        version: 1,
        plan: to_value(&without_steps).unwrap(),
        is_tombstone: false,
    };
    for record in [
        to_value(&newer).unwrap(),
        to_value(&without_steps_record).unwrap(),
        "?".into(),
    ] {
        cluster.plans.insert(name.clone(), (record.clone(), 77));
        cluster.fail_over();
        assert_eq!(
            cluster.engine.plans.store.names("calendar"),
            Vec::<String>::new()
        );
        cluster.engine.tick(cluster.now);
        assert_eq!(cluster.engine.job_count(), 1);
    }
}

#[test]
fn a_cancelled_job_and_a_job_that_fails_on_every_machine_do_not_hold_back_the_next_step() {
    // Guards against a run in which a single failing job blocks the later steps until the run
    // is due.
    let mut cluster = Cluster::new();
    cluster.run_for(2.0);
    cluster.submit("req-1", "scan");
    cluster.submit("req-2", "print");
    cluster.submit("req-3", "scan");
    cluster.run_for(2.0);
    cluster.jobs.remove("req-1");
    cluster.engine.job_key_removed("req-1");
    let job: JobId = "req-3".into();
    let failing = cluster.engine.jobs.get_mut(&job).unwrap();
    (failing.suspected_faulty, failing.longest_failed_run_s) = (true, 1e6);
    cluster.run_for(58.0);
    assert_eq!(cluster.started_count("req-2"), 0);
    cluster.run_for(5.0);
    assert_eq!(cluster.started_count("req-2"), 2);
}
