//! What a cycle, a search for victims, a report and a take-over cost, by waiting
//! tasks and machines.

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

fn record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_ms: 0,
    }
}

fn name(machine: usize) -> String {
    format!("host-{machine:06}")
}

struct Bench {
    engine: Engine,
    reports: Vec<Heartbeat>,
    now: f64,
}

impl Bench {
    /// So many machines, up, in the grant and empty.
    fn machines(count: usize) -> Bench {
        let inheritance = InheritedState {
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
        let report = |machine| Heartbeat {
            machine: name(machine),
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
            engine: Engine::new(config(), 0.0, 0, inheritance),
            reports: (0..count).map(report).collect(),
            now: 0.0,
        };
        bench.everybody_reports();
        bench.everybody_reports();
        bench.write();
        bench
    }

    fn report(&mut self, machine: usize) {
        let report = &mut self.reports[machine];
        report.seq += 1;
        if !self.engine.receive_heartbeat(self.now, report) {
            return;
        }
        let commands = self.engine.reply(self.now, report, true);
        report.token = report.token.max(self.engine.token_for(&report.machine));
        for command in commands {
            match command {
                Command::Start { task, attempt, .. } => report.tasks.push(TaskReport {
                    task,
                    attempt,
                    state: TaskState::Running,
                    cause: None,
                    saved: None,
                }),
                Command::Stop { task, .. } | Command::Forget { task, .. } => {
                    report.tasks.retain(|t| t.task != task);
                }
            }
        }
    }

    fn everybody_reports(&mut self) {
        let count = self.reports.len();
        for machine in 0..count {
            self.now += 0.6 / count as f64;
            self.report(machine);
        }
    }

    /// A tenth of them, in turn: nobody is silent.
    fn some_report(&mut self) {
        let count = self.reports.len();
        let first = (self.now * 4.0) as usize * count / 10;
        for machine in first..first + count / 10 {
            self.report(machine % count);
        }
    }

    fn write(&mut self) {
        let mut revision = 1000 + (self.now * 1000.0) as u64;
        while let Some(pending) = self.engine.next_txn(self.now + 2.0, 20, 20) {
            revision += 1;
            self.engine
                .txn_finished(self.now, pending, TxnOutcome::Applied { revision });
        }
    }

    /// Evictions in the next record.
    fn evicted(&mut self) -> u32 {
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

    fn come(&mut self, spec: JobSpec) {
        let at_ms = (self.now * 1000.0) as u64;
        self.engine.job_accepted(self.now, at_ms, record(spec), 70);
    }

    /// Jobs that wait for so many tasks, each of a shape of its own.
    fn wait(&mut self, tasks: usize) {
        for job in 0..tasks / TASKS_PER_JOB as usize {
            let cpus = 2.0 + (job * 37 % 100) as f64 / 128.0;
            let id = format!("req-{job:06}");
            self.come(spec(&id, Priority::High, TASKS_PER_JOB, cpus));
        }
    }

    /// Fills all machines; every `low`-th one with tasks that may be evicted.
    fn fill(&mut self, low: usize) {
        let machines = self.reports.len();
        let of_low = machines.checked_div(low).unwrap_or(0);
        let jobs = [(Priority::Low, of_low), (Priority::High, machines - of_low)];
        for (priority, machines) in jobs {
            for job in 0..machines.div_ceil(10) {
                let id = format!("run-{}-{job:06}", i32::from(priority == Priority::Low));
                let tasks = 4 * (machines - 10 * job).min(10) as u32;
                self.come(spec(&id, priority, tasks, 2.0));
            }
            self.engine.schedule(self.now);
        }
        self.write();
        self.everybody_reports();
        self.everybody_reports();
    }
}

/// Each once per sample, after `before`, which is not counted.
fn timed(
    iterations: u64,
    mut before: impl FnMut() -> Bench,
    mut run: impl FnMut(&mut Bench),
) -> Duration {
    let mut took = Duration::ZERO;
    for _ in 0..iterations {
        let mut bench = before();
        let begun = Instant::now();
        run(&mut bench);
        took += begun.elapsed();
    }
    took
}

fn cycles(c: &mut Criterion) {
    let mut group = c.benchmark_group("cycle");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_millis(800));
    for (waiting, machines) in SIZES {
        let size = format!("{waiting}-{machines}");
        // Nothing has room: the cycle of a backlog.
        let mut full = Bench::machines(machines);
        full.fill(0);
        full.wait(waiting);
        group.bench_function(BenchmarkId::new("blocked", &size), |b| {
            b.iter_custom(|iterations| {
                let mut took = Duration::ZERO;
                for _ in 0..iterations {
                    // Far enough apart that no order is kept from the last one.
                    full.now += 0.25;
                    full.some_report();
                    let begun = Instant::now();
                    full.engine.schedule(full.now);
                    took += begun.elapsed();
                }
                took
            });
        });
        // One machine reports an end: room for one task.
        let mut machine = 0;
        group.bench_function(BenchmarkId::new("after-a-report", &size), |b| {
            b.iter_custom(|iterations| {
                let mut took = Duration::ZERO;
                for _ in 0..iterations {
                    machine = (machine + 1) % machines;
                    full.now += 0.002;
                    if let Some(task) = full.reports[machine].tasks.first_mut() {
                        task.state = TaskState::Exited;
                        task.cause = Some(ExitCause::Done);
                    }
                    full.report(machine);
                    let begun = Instant::now();
                    full.engine.schedule(full.now);
                    took += begun.elapsed();
                }
                took
            });
        });
        // A tenth of the machines runs what may be evicted, and some of it is.
        let candidates = || {
            let mut bench = Bench::machines(machines);
            bench.fill(10);
            bench.now += 60.0;
            bench.everybody_reports();
            bench.wait(waiting);
            bench
        };
        group.bench_function(BenchmarkId::new("eviction", &size), |b| {
            b.iter_custom(|n| timed(n, candidates, |bench| bench.engine.schedule(bench.now)));
        });
        let mut bench = candidates();
        bench.engine.schedule(bench.now);
        assert!(bench.evicted() > 0);
        // All is free at once and all that waits is placed.
        let empty = || {
            let mut bench = Bench::machines(machines);
            bench.wait(waiting);
            bench
        };
        group.bench_function(BenchmarkId::new("freed-at-once", &size), |b| {
            b.iter_custom(|n| timed(n, empty, |bench| bench.engine.schedule(bench.now)));
        });
    }
    group.finish();
}

fn reports(c: &mut Criterion) {
    let mut group = c.benchmark_group("report");
    group.sample_size(10);
    for machines in [600, 1_300, 4_000] {
        let mut bench = Bench::machines(machines);
        bench.fill(0);
        let mut machine = 0;
        group.bench_function(BenchmarkId::from_parameter(machines), |b| {
            b.iter(|| {
                machine = (machine + 1) % machines;
                bench.now += 0.0005;
                bench.report(machine);
            });
        });
    }
    group.finish();
}

/// A successor's picture, and the first report of each of its machines.
fn take_over(c: &mut Criterion) {
    let mut group = c.benchmark_group("take-over");
    group.sample_size(10);
    for (waiting, machines) in [(3_000, 600), (10_000, 1_300), (20_000, 4_000)] {
        let granted = |machine| GrantedMachine {
            name: name(machine),
            machine_type: "m8".into(),
            zone: ["a", "b"][machine % 2].into(),
            spot: true,
            addr: "127.0.0.1:9".into(),
        };
        let inherit = || {
            let parts = (0..machines).step_by(64).zip(0..).map(|(first, index)| {
                let last = (first + 64).min(machines);
                InheritedPart {
                    index,
                    version: 40,
                    part: GrantPart {
                        machines: (first..last).map(granted).collect(),
                    },
                }
            });
            // Ten machines each, all of whose tasks have begun.
            let running = (0..machines / 10).map(|job| InheritedJob {
                record: record(spec(&format!("run-{job}"), Priority::High, 40, 2.0)),
                version: 70,
                run: Some((
                    JobProgressRecord {
                        high_water: 40,
                        hosts: (10 * job..10 * job + 10).map(name).collect(),
                        ..JobProgressRecord::default()
                    },
                    60,
                )),
            });
            let idle = (0..waiting / TASKS_PER_JOB as usize).map(|job| InheritedJob {
                record: record(spec(
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
        let reports: BTreeMap<usize, Heartbeat> = Bench::machines(machines)
            .reports
            .into_iter()
            .map(|mut report| {
                (report.seq, report.token) = (report.seq + 1, 101 << 16);
                report
            })
            .enumerate()
            .collect();
        group.bench_function(BenchmarkId::from_parameter(machines), |b| {
            b.iter_batched(
                inherit,
                |inheritance| {
                    let mut engine = Engine::new(config(), 1.0, 1000, inheritance);
                    for report in reports.values() {
                        engine.receive_heartbeat(1.5, report);
                    }
                    engine
                },
                criterion::BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, cycles, reports, take_over);
criterion_main!(benches);
