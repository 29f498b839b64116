//! The cost of a scheduling cycle, of a search for tasks to evict, of a heartbeat and of a
//! failover, by the numbers of waiting tasks and machines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use umbersail_control::engine::{
    Engine, EngineConfig, InheritedJob, InheritedPart, InheritedState, TxnOutcome,
};
use umbersail_control::records::{GrantPart, GrantedMachine, JobProgressRecord, JobRecord, Record};
use umbersail_policy::TeamLimits;
use umbersail_tuning::Tuning;
use umbersail_wire::{
    Change, Command, ExitCause, Heartbeat, JobKind, JobSpec, MachineType, Priority, TaskReport,
    TaskState,
};

const SIZES: [(usize, usize); 9] = [
    (3_000, 600),
    (10_000, 600),
    (20_000, 600),
    (3_000, 1_300),
    (10_000, 1_300),
    (20_000, 1_300),
    (3_000, 4_000),
    (10_000, 4_000),
    (20_000, 4_000),
];
const TASKS_PER_JOB: u32 = 20;

fn machine_type() -> MachineType {
    MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 60.0,
        fetch_gb_per_s: 0.4,
        price: 0.5,
        spot_price: Some(0.16),
        boot_s: 35.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn config() -> Rc<EngineConfig> {
    Rc::new(EngineConfig {
        member: "node-0".into(),
        teams: vec![TeamLimits {
            name: "t".into(),
            ..TeamLimits::default()
        }],
        start_objectives: [("c".to_owned(), 5.0)].into(),
        guarantee_start_objective: None,
        deadline_factors: [("c".to_owned(), 1.5)].into(),
        heartbeat_interval_s: 2.5,
        lease_s: 15.0,
        cancel_s: 45.0,
        cloud_list_lag_s: 4.0,
        max_txn_changes: 20,
        max_value_bytes: 32 * 1024,
        max_clock_skew_ms: 500.0,
        slice_steps: u64::MAX,
        tuning: Rc::new(Tuning::default()),
    })
}

fn spec(id: &str, priority: Priority, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority,
        tasks,
        cpus,
        gpus: None,
        memory_gb: 4.0,
        image: "img-1".into(),
        image_gb: 1.2,
        types: None,
        zone: None,
        one_zone: None,
        spread: None,
        spot: Some(true),
        estimate_s: 15.0,
        checkpoint_s: None,
        save_s: None,
        deadline_s: (priority != Priority::Low).then_some(40.0),
    }
}

fn job_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_ms: 0,
    }
}

fn machine_name(machine: usize) -> String {
    format!("host-{machine:06}")
}

struct Bench {
    engine: Engine,
    heartbeats: Vec<Heartbeat>,
    now: f64,
}

impl Bench {
    /// An engine with `count` running machines that are in the grant and have no tasks.
    fn with_machines(count: usize) -> Bench {
        let inherited = InheritedState {
            revision: 100,
            leader_version: 100,
            grant_parts: vec![],
            jobs: vec![],
            finished_jobs: vec![],
            count_whole_machines: false,
            predecessor_degraded: false,
            types: vec![machine_type()],
            plans: Vec::new(),
        };
        let heartbeat = |machine| Heartbeat {
            machine: machine_name(machine),
            addr: "127.0.0.1:9".into(),
            machine_type: "m8".into(),
            zone: ["a", "b"][machine % 2].into(),
            spot: Some(machine % 5 > 0),
            session: 1,
            seq: 0,
            token: 0,
            notice_s: None,
            tasks: vec![],
        };
        let mut bench = Bench {
            engine: Engine::new(config(), 0.0, 0, inherited),
            heartbeats: (0..count).map(heartbeat).collect(),
            now: 0.0,
        };
        bench.send_all_heartbeats();
        bench.send_all_heartbeats();
        bench.write_records();
        bench
    }

    fn send_heartbeat(&mut self, machine: usize) {
        let heartbeat = &mut self.heartbeats[machine];
        heartbeat.seq += 1;
        if !self.engine.receive_heartbeat(self.now, heartbeat) {
            return;
        }
        let commands = self.engine.reply(self.now, heartbeat, true);
        heartbeat.token = heartbeat
            .token
            .max(self.engine.token_for(&heartbeat.machine));
        for command in commands {
            match command {
                Command::Start { task, attempt, .. } => heartbeat.tasks.push(TaskReport {
                    task,
                    attempt,
                    state: TaskState::Running,
                    cause: None,
                    saved: None,
                }),
                Command::Stop { task, .. } | Command::Forget { task, .. } => {
                    heartbeat.tasks.retain(|t| t.task != task);
                }
            }
        }
    }

    fn send_all_heartbeats(&mut self) {
        let count = self.heartbeats.len();
        for machine in 0..count {
            self.now += 0.6 / count as f64;
            self.send_heartbeat(machine);
        }
    }

    /// Sends heartbeats from a tenth of the machines. Successive calls take the tenths in
    /// turn, so that no machine counts as silent.
    fn send_tenth_of_heartbeats(&mut self) {
        let count = self.heartbeats.len();
        let first = (self.now * 4.0) as usize * count / 10;
        for machine in first..first + count / 10 {
            self.send_heartbeat(machine % count);
        }
    }

    fn write_records(&mut self) {
        let mut revision = 1000 + (self.now * 1000.0) as u64;
        while let Some(pending) = self.engine.next_txn(self.now + 2.0, 20, 20) {
            revision += 1;
            self.engine
                .txn_finished(self.now, pending, TxnOutcome::Applied { revision });
        }
    }

    /// The number of evictions in the next transaction.
    fn count_evictions(&mut self) -> u32 {
        let pending = self.engine.next_txn(self.now, 20, 20);
        let changes = pending.map(|p| p.txn.changes).unwrap_or_default();
        let evictions = changes.iter().map(|change| match change {
            Change::Put {
                value: Record::JobProgress(run),
                ..
            } => run.evictions,
            _ => 0,
        });
        evictions.sum()
    }

    fn submit_job(&mut self, spec: JobSpec) {
        let at_ms = (self.now * 1000.0) as u64;
        self.engine
            .job_accepted(self.now, at_ms, job_record(spec), 70);
    }

    /// Submits jobs with `tasks` waiting tasks in total. The CPUs per task differ between
    /// jobs.
    fn add_waiting_jobs(&mut self, tasks: usize) {
        for job in 0..tasks / TASKS_PER_JOB as usize {
            let cpus = 2.0 + (job * 37 % 100) as f64 / 128.0;
            let id = format!("req-{job:06}");
            self.submit_job(spec(&id, Priority::High, TASKS_PER_JOB, cpus));
        }
    }

    /// Fills all machines with tasks: one in `best_effort_every` machines with tasks that
    /// may be evicted, or none if `best_effort_every` is 0.
    fn fill_machines(&mut self, best_effort_every: usize) {
        let machines = self.heartbeats.len();
        let best_effort_machines = machines.checked_div(best_effort_every).unwrap_or(0);
        let jobs = [
            (Priority::Low, best_effort_machines),
            (Priority::High, machines - best_effort_machines),
        ];
        for (priority, machines) in jobs {
            for job in 0..machines.div_ceil(10) {
                let id = format!("run-{}-{job:06}", i32::from(priority == Priority::Low));
                let tasks = 4 * (machines - 10 * job).min(10) as u32;
                self.submit_job(spec(&id, priority, tasks, 2.0));
            }
            self.engine.schedule(self.now);
        }
        self.write_records();
        self.send_all_heartbeats();
        self.send_all_heartbeats();
    }
}

/// Times `run` once per iteration on a new `Bench`; `set_up` is not timed.
fn measure_each(
    iterations: u64,
    mut set_up: impl FnMut() -> Bench,
    mut run: impl FnMut(&mut Bench),
) -> Duration {
    let mut elapsed = Duration::ZERO;
    for _ in 0..iterations {
        let mut bench = set_up();
        let started = Instant::now();
        run(&mut bench);
        elapsed += started.elapsed();
    }
    elapsed
}

fn scheduling_cycles(c: &mut Criterion) {
    let mut group = c.benchmark_group("cycle");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_millis(800));
    for (waiting, machines) in SIZES {
        let size = format!("{waiting}-{machines}");
        // Every machine is full, so that no waiting task can be placed.
        let mut full_cluster = Bench::with_machines(machines);
        full_cluster.fill_machines(0);
        full_cluster.add_waiting_jobs(waiting);
        group.bench_function(BenchmarkId::new("blocked", &size), |b| {
            b.iter_custom(|iterations| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..iterations {
                    // Far enough apart that the job order of the previous cycle is not
                    // reused.
                    full_cluster.now += 0.25;
                    full_cluster.send_tenth_of_heartbeats();
                    let started = Instant::now();
                    full_cluster.engine.schedule(full_cluster.now);
                    elapsed += started.elapsed();
                }
                elapsed
            });
        });
        // One machine reports the end of a task, which makes room for one task.
        let mut machine = 0;
        group.bench_function(BenchmarkId::new("after-a-report", &size), |b| {
            b.iter_custom(|iterations| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..iterations {
                    machine = (machine + 1) % machines;
                    full_cluster.now += 0.002;
                    if let Some(task) = full_cluster.heartbeats[machine].tasks.first_mut() {
                        task.state = TaskState::Exited;
                        task.cause = Some(ExitCause::Done);
                    }
                    full_cluster.send_heartbeat(machine);
                    let started = Instant::now();
                    full_cluster.engine.schedule(full_cluster.now);
                    elapsed += started.elapsed();
                }
                elapsed
            });
        });
        // A tenth of the machines run tasks that may be evicted, and some are evicted.
        let with_preemptible_tasks = || {
            let mut bench = Bench::with_machines(machines);
            bench.fill_machines(10);
            bench.now += 60.0;
            bench.send_all_heartbeats();
            bench.add_waiting_jobs(waiting);
            bench
        };
        group.bench_function(BenchmarkId::new("eviction", &size), |b| {
            b.iter_custom(|n| {
                measure_each(n, with_preemptible_tasks, |bench| {
                    bench.engine.schedule(bench.now)
                })
            });
        });
        let mut bench = with_preemptible_tasks();
        bench.engine.schedule(bench.now);
        assert!(bench.count_evictions() > 0);
        // All machines are free, and every waiting task is placed.
        let with_free_machines = || {
            let mut bench = Bench::with_machines(machines);
            bench.add_waiting_jobs(waiting);
            bench
        };
        group.bench_function(BenchmarkId::new("freed-at-once", &size), |b| {
            b.iter_custom(|n| {
                measure_each(n, with_free_machines, |bench| {
                    bench.engine.schedule(bench.now)
                })
            });
        });
    }
    group.finish();
}

fn heartbeats(c: &mut Criterion) {
    let mut group = c.benchmark_group("report");
    group.sample_size(10);
    for machines in [600, 1_300, 4_000] {
        let mut bench = Bench::with_machines(machines);
        bench.fill_machines(0);
        let mut machine = 0;
        group.bench_function(BenchmarkId::from_parameter(machines), |b| {
            b.iter(|| {
                machine = (machine + 1) % machines;
                bench.now += 0.0005;
                bench.send_heartbeat(machine);
            });
        });
    }
    group.finish();
}

/// A successor builds its engine from the inherited records and receives the first
/// heartbeat of every machine.
fn failover(c: &mut Criterion) {
    let mut group = c.benchmark_group("take-over");
    group.sample_size(10);
    for (waiting, machines) in [(3_000, 600), (10_000, 1_300), (20_000, 4_000)] {
        let granted_machine = |machine| GrantedMachine {
            name: machine_name(machine),
            machine_type: "m8".into(),
            zone: ["a", "b"][machine % 2].into(),
            spot: true,
            addr: "127.0.0.1:9".into(),
        };
        let inherited_state = || {
            let parts = (0..machines).step_by(64).zip(0..).map(|(first, index)| {
                let end = (first + 64).min(machines);
                InheritedPart {
                    index,
                    version: 40,
                    part: GrantPart {
                        machines: (first..end).map(granted_machine).collect(),
                    },
                }
            });
            // Each job occupies ten machines, and all its tasks have started.
            let running = (0..machines / 10).map(|job| InheritedJob {
                record: job_record(spec(&format!("run-{job}"), Priority::High, 40, 2.0)),
                version: 70,
                run: Some((
                    JobProgressRecord {
                        high_water: 40,
                        hosts: (10 * job..10 * job + 10).map(machine_name).collect(),
                        ..JobProgressRecord::default()
                    },
                    60,
                )),
            });
            let idle = (0..waiting / TASKS_PER_JOB as usize).map(|job| InheritedJob {
                record: job_record(spec(
                    &format!("req-{job}"),
                    Priority::High,
                    TASKS_PER_JOB,
                    2.0,
                )),
                version: 70,
                run: None,
            });
            InheritedState {
                revision: 101,
                leader_version: 101,
                grant_parts: parts.collect(),
                jobs: running.chain(idle).collect(),
                finished_jobs: vec![],
                count_whole_machines: false,
                predecessor_degraded: false,
                types: vec![machine_type()],
                plans: Vec::new(),
            }
        };
        let heartbeats: BTreeMap<usize, Heartbeat> = Bench::with_machines(machines)
            .heartbeats
            .into_iter()
            .map(|mut heartbeat| {
                (heartbeat.seq, heartbeat.token) = (heartbeat.seq + 1, 101 << 16);
                heartbeat
            })
            .enumerate()
            .collect();
        group.bench_function(BenchmarkId::from_parameter(machines), |b| {
            b.iter_batched(
                inherited_state,
                |inherited| {
                    let mut engine = Engine::new(config(), 1.0, 1000, inherited);
                    for heartbeat in heartbeats.values() {
                        engine.receive_heartbeat(1.5, heartbeat);
                    }
                    engine
                },
                criterion::BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, scheduling_cycles, heartbeats, failover);
criterion_main!(benches);
