//! The engine against scripted workers and a hand-moved clock. Each test
//! names the failure that it guards against.

mod calendar;
mod cancelled;
mod delegates;
mod faults;
mod floor;
mod images;
mod late;
mod passes;
mod plans;
mod reports;
mod reserve;
mod zones;

use std::rc::Rc;

use umbersail_policy::TeamLimits;
use umbersail_tuning::Tuning;
use umbersail_wire::{
    Change, Command, ExitCause, JobKind, JobSpec, ListedMachine, MachineState, MachineType,
    Priority, Report, TaskReport, TaskState,
};

use super::*;
use crate::records::{
    GRANT_PARTS, GrantPart, GrantedMachine, RECOVERY_PENDING_KEY, Record, job_key, run_key,
};

const TOKEN: u64 = 100;
const LEASE_S: f64 = 10.0;

fn machine_type() -> MachineType {
    MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: Some(0.3),
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn config(teams: Vec<TeamLimits>, tuning: Tuning) -> Rc<EngineConfig> {
    Rc::new(EngineConfig {
        member: "bothy-0".into(),
        teams,
        start_aims: [("aimed".to_owned(), 8.0)].into(),
        guarantee_aim: None,
        late_aims: [("c".to_owned(), 1.5)].into(),
        report_s: 1.0,
        lease_s: LEASE_S,
        cancel_s: 40.0,
        list_lag_s: 4.0,
        txn_ops: 20,
        value_bytes: 32 * 1024,
        skew_ms: 500.0,
        slice_steps: u64::MAX,
        tuning: Rc::new(tuning),
    })
}

fn team(cpus: f64, cpus_max: f64) -> TeamLimits {
    TeamLimits {
        name: "t".into(),
        cpus,
        cpus_max,
        ..TeamLimits::default()
    }
}

fn spec(id: &str, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus,
        gpus: None,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: None,
        spread: None,
        spot: Some(true),
        estimate_s: 20.0,
        checkpoint_s: None,
        save_s: None,
        deadline_s: None,
    }
}

fn record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_ms: 0,
    }
}

/// A worker as the protocol describes it, driven by hand.
struct Worker {
    name: String,
    zone: String,
    session: u64,
    seq: u64,
    token: u64,
    tasks: Vec<TaskReport>,
}

impl Worker {
    fn new(name: &str, zone: &str) -> Worker {
        Worker {
            name: name.into(),
            zone: zone.into(),
            session: 1,
            seq: 0,
            token: 0,
            tasks: vec![],
        }
    }

    fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.name.clone(),
            addr: "127.0.0.1:9".into(),
            machine_type: "m8".into(),
            zone: self.zone.clone(),
            spot: Some(false),
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self.tasks.clone(),
        }
    }

    fn obey(&mut self, token: u64, commands: &[Command]) {
        self.token = self.token.max(token);
        for command in commands {
            match command {
                Command::Start { task, attempt, .. } => self.tasks.push(TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: TaskState::Running,
                    cause: None,
                    saved: None,
                }),
                Command::Stop { task, attempt, .. } => {
                    self.exit(task, Some(*attempt), ExitCause::Stopped);
                }
                Command::Forget { task, attempt } => self
                    .tasks
                    .retain(|t| !(t.task == *task && t.attempt == *attempt)),
            }
        }
    }

    fn exit(&mut self, task: &str, attempt: Option<u64>, cause: ExitCause) {
        for t in &mut self.tasks {
            if t.task == task && attempt.is_none_or(|a| a == t.attempt) {
                t.state = TaskState::Exited;
                t.cause = Some(cause);
            }
        }
    }

    /// Reports and obeys; returns what it was told.
    fn turn(&mut self, engine: &mut Engine, now: Time) -> Vec<Command> {
        let report = self.report();
        let commands = converse(engine, now, &report, true).unwrap_or_default();
        self.obey(engine.token_for(&self.name), &commands);
        commands
    }
}

/// A report and the reply to it, as the front door makes them.
fn converse(
    engine: &mut Engine,
    now: Time,
    report: &Report,
    may_start: bool,
) -> Option<Vec<Command>> {
    engine
        .report(now, report)
        .then(|| engine.reply(now, report, may_start))
}

fn starts(commands: &[Command]) -> Vec<String> {
    commands
        .iter()
        .filter_map(|c| match c {
            Command::Start { task, .. } => Some(task.clone()),
            _ => None,
        })
        .collect()
}

fn stops(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|c| matches!(c, Command::Stop { .. }))
        .count()
}

fn empty_inheritance() -> Inheritance {
    Inheritance {
        revision: TOKEN,
        leader_version: TOKEN,
        parts: vec![],
        over: vec![],
        whole_machines: false,
        open_before: false,
        jobs: vec![],
        types: vec![machine_type()],
        plans: Vec::new(),
    }
}

fn fresh(teams: Vec<TeamLimits>) -> Engine {
    Engine::new(
        config(teams, Tuning::default()),
        0.0,
        0,
        empty_inheritance(),
    )
}

/// What a leader finds whose predecessor started tasks 0 and 1 of a job of
/// three on machine m1, and may have started more there.
fn after_crash(teams: Vec<TeamLimits>, job: JobSpec) -> Engine {
    let config = config(teams, Tuning::default());
    Engine::new(config, 0.0, 0, inheritance_of(job))
}

fn inheritance_of(job: JobSpec) -> Inheritance {
    let run = RunRecord {
        high: 2,
        hosts: vec!["m1".into()],
        ..RunRecord::default()
    };
    Inheritance {
        parts: vec![InheritedPart {
            index: 0,
            version: 40,
            part: GrantPart {
                machines: vec![GrantedMachine {
                    name: "m1".into(),
                    machine_type: "m8".into(),
                    zone: "a".into(),
                    spot: false,
                    addr: "127.0.0.1:9".into(),
                }],
            },
        }],
        jobs: vec![InheritedJob {
            record: record(job),
            version: 50,
            run: Some((run, 60)),
        }],
        ..empty_inheritance()
    }
}

/// Writes all that is due, as a state service that answers would.
fn commit(engine: &mut Engine, now: Time) -> Vec<Change<Record>> {
    let mut all = Vec::new();
    let mut revision = 1000 + (now * 100.0) as u64;
    engine.schedule(now);
    while let Some(pending) = engine.next_txn(now + 1.0, 20, 20) {
        revision += 1;
        all.extend(pending.txn.changes.clone());
        engine.txn_done(now, pending, TxnOutcome::Applied { revision });
    }
    all
}

/// A worker that is up, fenced and in the grant.
fn ready_worker(engine: &mut Engine, name: &str, zone: &str) -> Worker {
    let mut worker = Worker::new(name, zone);
    worker.turn(engine, 0.0);
    worker.turn(engine, 0.5);
    commit(engine, 0.5);
    worker
}

fn running(task: &str, attempt: u64) -> TaskReport {
    TaskReport {
        task: task.into(),
        attempt,
        state: TaskState::Running,
        cause: None,
        saved: None,
    }
}

/// A machine as the cloud lists it.
fn listed(id: &str) -> ListedMachine {
    ListedMachine {
        id: id.into(),
        addr: None,
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: None,
        state: MachineState::Running,
        age_s: 100.0,
    }
}

fn accept(engine: &mut Engine, now: Time, spec: JobSpec) {
    engine.job_accepted(now, (now * 1000.0) as u64, record(spec), 70);
    engine.schedule(now);
}

#[test]
fn a_launch_waits_for_its_record_and_comes_in_a_reply() {
    // Guards against a successor that does not know where a task may run.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    assert_eq!(starts(&worker.turn(&mut engine, 1.0)).len(), 0);
    let changes = commit(&mut engine, 1.0);
    assert!(changes.iter().any(
        |c| matches!(c, Change::Put { key, value: Record::Run(r), .. }
        if *key == run_key("req-1") && r.high == 2 && r.hosts == ["m1"])
    ));
    assert_eq!(starts(&worker.turn(&mut engine, 2.0)).len(), 2);
    assert_eq!(starts(&worker.turn(&mut engine, 3.0)).len(), 0);
}

#[test]
fn a_successor_starts_nothing_that_may_run_until_the_machine_shows_its_token() {
    // Guards against ran_twice after a take-over: a report from before our
    // token proves nothing.
    let mut engine = after_crash(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    let told = starts(&other.turn(&mut engine, 1.0));
    assert_eq!(told, ["req-1/2"], "only the task never started before");

    let mut old = Worker::new("m1", "a");
    old.token = token_of(TOKEN - 10);
    old.tasks = vec![TaskReport {
        task: "req-1/0".into(),
        attempt: 5,
        state: TaskState::Running,
        cause: None,
        saved: None,
    }];
    assert_eq!(old.turn(&mut engine, 1.5), vec![], "not fenced yet");
    commit(&mut engine, 1.6);
    assert_eq!(starts(&other.turn(&mut engine, 2.0)).len(), 0);

    // Fenced: task 0 goes on, task 1 is on no machine and may start.
    old.turn(&mut engine, 2.1);
    commit(&mut engine, 2.2);
    let told: Vec<String> = [
        starts(&old.turn(&mut engine, 3.0)),
        starts(&other.turn(&mut engine, 3.0)),
    ]
    .concat();
    assert_eq!(told, ["req-1/1"]);
    old.turn(&mut engine, 4.0);
    other.turn(&mut engine, 4.0);
    assert_eq!(engine.counts("req-1").map(|c| c.1), Some(3));
}

#[test]
fn all_controllers_ending_at_once_leaves_attempts_that_never_repeat() {
    // Guards against a launch that a worker ignores, or runs again after reap,
    // because a successor gave the same number.
    let mut first = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut first, "m1", "a");
    accept(&mut first, 1.0, spec("req-1", 1, 2.0));
    commit(&mut first, 1.0);
    let report = worker.report();
    let told = converse(&mut first, 2.0, &report, true).unwrap();
    let Command::Start {
        attempt: before, ..
    } = told[0]
    else {
        panic!("{told:?}");
    };
    let mut second = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        Inheritance {
            revision: TOKEN + 1,
            jobs: vec![InheritedJob {
                record: record(spec("req-1", 1, 2.0)),
                version: 70,
                run: None,
            }],
            ..empty_inheritance()
        },
    );
    worker.turn(&mut second, 0.5);
    worker.turn(&mut second, 1.0);
    commit(&mut second, 1.0);
    let told = worker.turn(&mut second, 2.0);
    let Command::Start { attempt: after, .. } = told[0] else {
        panic!("{told:?}");
    };
    assert!(after > before);
}

#[test]
fn a_late_report_changes_nothing_and_gets_no_answer() {
    // Guards against believing an old task list that a cut held back.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let late = worker.report();
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.turn(&mut engine, 3.0);
    assert_eq!(engine.counts("req-1"), Some((0, 1)));
    assert_eq!(converse(&mut engine, 4.0, &late, true), None);
    assert_eq!(engine.counts("req-1"), Some((0, 1)));
}

#[test]
fn a_lost_launch_reply_is_settled_by_the_next_report_in_turn_only() {
    // Guards against starting a second attempt while the first reply may
    // still be under way: an answer to direct commands proves nothing.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    let report = worker.report();
    let lost = converse(&mut engine, 2.0, &report, true).unwrap();
    assert_eq!(starts(&lost).len(), 1);
    let direct = worker.report();
    engine.direct_report(2.1, &direct);
    commit(&mut engine, 2.2);
    assert_eq!(engine.jobs["req-1"].pending(), 0, "still possibly there");
    let told = worker.turn(&mut engine, 6.5);
    assert_eq!(starts(&told).len(), 0);
    commit(&mut engine, 6.6);
    let again = worker.turn(&mut engine, 7.0);
    assert_eq!(starts(&again), ["req-1/0"]);
    assert_ne!(again[0], lost[0], "a new attempt");
}

#[test]
fn silence_proves_nothing_before_the_lease_has_lapsed_with_drift() {
    // Guards against taking a hanging machine for an empty one.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut hanging = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    hanging.turn(&mut engine, 2.0);
    let report = hanging.report();
    converse(&mut engine, 3.0, &report, true);
    engine.tick(3.0 + LEASE_S);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    engine.tick(3.0 + LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn an_unfenced_machine_lapses_only_after_its_old_holder_must_have_stopped() {
    // Guards against ran_twice when the old leader is cut off together with
    // the machine and keeps its tasks alive.
    let mut engine = after_crash(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let keep = engine.cfg.renewal_s();
    assert!(keep + LEASE_S < 40.0, "a cancellation told elsewhere holds");
    engine.tick(keep + LEASE_S);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 2);
    engine.tick((keep + LEASE_S) * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 0);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}

#[test]
fn a_deleted_or_failed_machine_is_accounted_for_at_once() {
    let mut engine = after_crash(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    engine.deleted(&["m1".into()]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
    let mut engine = after_crash(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let mut listed = listed("m1");
    engine.listing(1.0, std::slice::from_ref(&listed));
    engine.listing(1.0, &[]);
    assert_eq!(engine.jobs["req-1"].pending(), 1, "absence is not proof");
    listed.state = MachineState::Failed;
    engine.listing(2.0, &[listed]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}

#[test]
fn a_cancellation_against_a_launch_in_flight_ends_in_a_stop() {
    // Guards against ran_cancelled: the launch may arrive after the
    // cancellation was told.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 8.0));
    commit(&mut engine, 1.0);
    let report = worker.report();
    let in_flight = converse(&mut engine, 2.0, &report, true).unwrap();
    assert_eq!(starts(&in_flight).len(), 1);
    engine.job_dropped("req-1");
    assert_eq!(engine.job_count(), 1, "one task may be there");
    worker.obey(token_of(TOKEN), &in_flight);
    assert_eq!(stops(&worker.turn(&mut engine, 3.0)), 1);
    worker.turn(&mut engine, 4.0);
    assert_eq!(engine.job_count(), 0);
    assert!(worker.tasks.is_empty(), "reaped: {:?}", worker.tasks);
}

#[test]
fn tasks_of_jobs_that_are_over_are_stopped_and_keep_their_machine_closed() {
    // Guards against ran_cancelled and quota after a take-over: the new
    // leader never heard of a job that was cancelled before.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    worker.tasks.push(TaskReport {
        task: "req-9/0".into(),
        attempt: 3,
        state: TaskState::Running,
        cause: None,
        saved: None,
    });
    accept(&mut engine, 1.0, spec("req-1", 1, 1.0));
    commit(&mut engine, 1.0);
    let told = worker.turn(&mut engine, 1.5);
    assert_eq!(stops(&told), 1);
    assert!(engine.machines["m1"].strangers);
    worker.turn(&mut engine, 2.0);
    assert!(!engine.machines["m1"].strangers);
}

#[test]
fn a_limit_counts_what_may_still_run_after_a_take_over() {
    // Guards against quota: tasks whose recovery is pending use room, and just they.
    let mut engine = after_crash(vec![team(0.0, 10.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    accept(&mut engine, 1.0, spec("req-2", 4, 2.0));
    commit(&mut engine, 1.0);
    let told = starts(&other.turn(&mut engine, 2.0)).len();
    assert_eq!(told, 3, "10 CPUs by 2, less two whose recovery is pending");
    let mut old = Worker::new("m1", "a");
    old.turn(&mut engine, 2.0);
    old.turn(&mut engine, 2.5);
    commit(&mut engine, 2.6);
    let told =
        starts(&other.turn(&mut engine, 3.0)).len() + starts(&old.turn(&mut engine, 3.0)).len();
    assert_eq!(told, 2, "m1 held nothing");
}

/// What a new leader finds of a job of four that was cancelled or has ended: two
/// of its tasks were done, the rest may run on m1.
fn with_orphaned_attempts(
    limit: f64,
    whole_machines: bool,
    size: Option<(f64, f64, f64)>,
) -> Engine {
    let run = RunRecord {
        high: 4,
        done_count: 2,
        extra: 1,
        hosts: vec!["m1".into(), "gone".into()],
        team: "t".into(),
        size,
        ..RunRecord::default()
    };
    let mut found = inheritance_of(spec("req-1", 3, 2.0));
    found.jobs.clear();
    found.over = vec![("req-9".into(), run)];
    found.whole_machines = whole_machines;
    let config = config(vec![team(0.0, limit)], Tuning::default());
    Engine::new(config, 0.0, 0, found)
}

#[test]
fn what_may_still_run_of_jobs_that_are_over_counts_by_its_size_until_it_is_gone() {
    // Guards against quota, and against limited teams that start nothing after
    // a take-over until most machines have shown the token.
    let size = Some((2.0, 0.0, 1.0));
    for (whole, size, first) in [(false, size, 1), (true, size, 0), (false, None, 0)] {
        let mut engine = with_orphaned_attempts(8.0, whole, size);
        let mut other = ready_worker(&mut engine, "m2", "a");
        accept(&mut engine, 1.0, spec("req-2", 4, 2.0));
        commit(&mut engine, 1.0);
        let told = starts(&other.turn(&mut engine, 2.0)).len();
        assert_eq!(told, first, "8 CPUs by 2, less three attempts of req-9");
        let removes = |changes: &[Change<Record>]| {
            let of_it = |c: &Change<Record>| matches!(c, Change::Delete { key } if *key == run_key("req-9"));
            changes.iter().any(of_it)
        };
        // m1 still runs one: it counts, is stopped, and its record stays.
        let mut old = Worker::new("m1", "a");
        old.tasks = vec![running("req-9/3", 4)];
        // Fenced by a direct command: an answer of ours would have stopped it.
        old.token = token_of(TOKEN);
        let report = old.report();
        assert!(engine.report(2.5, &report));
        assert!(!removes(&commit(&mut engine, 2.6)));
        let told = engine.reply(2.6, &report, true);
        assert_eq!(stops(&told), 1);
        old.obey(token_of(TOKEN), &told);
        old.turn(&mut engine, 3.0);
        assert!(removes(&commit(&mut engine, 3.1)), "nothing of it is left");
        let told = [other.turn(&mut engine, 3.5), old.turn(&mut engine, 3.5)];
        let told: usize = told.iter().map(|c| starts(c).len()).sum();
        assert_eq!(first + told, 4);
    }
}

#[test]
fn a_cancelled_jobs_progress_stands_until_nothing_of_it_can_run() {
    // Guards against quota: the leader that heard of the cancellation ends, and
    // its successor finds no trace of tasks that are still being stopped.
    let mut engine = after_crash(vec![team(0.0, 4.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    engine.job_dropped("req-1");
    accept(&mut engine, 1.0, spec("req-2", 2, 2.0));
    let kept = commit(&mut engine, 5.0);
    let removes =
        |c: &Change<Record>| matches!(c, Change::Delete { key } if *key == run_key("req-1"));
    assert!(!kept.iter().any(removes));
    assert_eq!(starts(&other.turn(&mut engine, 5.0)).len(), 0);
    let mut old = Worker::new("m1", "a");
    old.turn(&mut engine, 5.5);
    old.turn(&mut engine, 6.0);
    assert!(commit(&mut engine, 7.0).iter().any(removes));
}

#[test]
fn spread_and_together_count_tasks_that_may_still_run() {
    // Guards against wrong_place while an earlier holder's tasks are unseen.
    let mut job = spec("req-1", 4, 2.0);
    job.spread = Some(true);
    let mut engine = after_crash(vec![team(0.0, 0.0)], job);
    let mut same_zone = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    assert_eq!(
        starts(&same_zone.turn(&mut engine, 2.0)).len(),
        0,
        "zone a may hold its half"
    );

    let mut job = spec("req-1", 4, 2.0);
    job.one_zone = Some(true);
    let mut engine = after_crash(vec![team(0.0, 0.0)], job);
    let mut elsewhere = ready_worker(&mut engine, "m2", "b");
    commit(&mut engine, 1.0);
    assert_eq!(
        starts(&elsewhere.turn(&mut engine, 2.0)).len(),
        0,
        "bound to zone a"
    );
}

#[test]
fn a_completed_task_is_reaped_only_once_its_end_is_recorded() {
    // Guards against losing a result that no record holds.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.exit("req-1/0", None, ExitCause::Done);
    assert_eq!(worker.turn(&mut engine, 3.0), vec![]);
    commit(&mut engine, 3.0);
    assert!(matches!(
        worker.turn(&mut engine, 4.0)[..],
        [Command::Forget { .. }]
    ));
    worker.exit("req-1/1", None, ExitCause::Done);
    worker.turn(&mut engine, 5.0);
    let changes = commit(&mut engine, 5.0);
    assert!(
        changes
            .iter()
            .any(|c| matches!(c, Change::Delete { key } if *key == job_key("req-1")))
    );
    assert!(changes.iter().any(|c| matches!(
        c,
        Change::Put {
            value: Record::Over(_),
            ..
        }
    )));
    assert_eq!(engine.job_count(), 0);
}

#[test]
fn a_write_without_answer_is_read_before_anything_is_started_on_it() {
    // Guards against a late transaction: ours may be applied after our next.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    assert!(
        pending
            .txn
            .conditions
            .iter()
            .any(|c| c.key == LEADER && c.version == TOKEN)
    );
    assert!(
        pending
            .txn
            .conditions
            .iter()
            .any(|c| c.key == run_key("req-1") && c.version == 0)
    );
    engine.txn_done(1.0, pending, TxnOutcome::Unknown);
    assert_eq!(engine.unknown_versions().0, ["req-1"]);
    assert!(engine.next_txn(2.0, 20, 20).is_none(), "first the read");
    assert_eq!(starts(&worker.turn(&mut engine, 2.0)).len(), 0);
    engine.version_read("req-1", true, 90);
    let pending = engine.next_txn(2.0, 20, 20).unwrap();
    assert!(
        pending
            .txn
            .conditions
            .iter()
            .any(|c| c.key == run_key("req-1") && c.version == 90)
    );
    engine.txn_done(2.0, pending, TxnOutcome::Applied { revision: 91 });
    assert_eq!(starts(&worker.turn(&mut engine, 3.0)).len(), 1);
}

const LEADER: &str = crate::records::LEADER_KEY;

#[test]
fn a_write_refused_for_the_leaders_key_ends_leadership() {
    // Guards against two leaders: the state service has the last word.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    let failed = vec![LEADER.to_owned()];
    engine.txn_done(1.0, pending, TxnOutcome::Conflict { failed });
    assert!(engine.is_lost());
    assert!(engine.next_txn(2.0, 20, 20).is_none());
}

#[test]
fn a_record_that_drops_a_host_is_not_relied_on_for_it_while_under_way() {
    // Guards against a launch on a machine that the record is just losing.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 3, 8.0));
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.exit("req-1/0", None, ExitCause::Done);
    worker.turn(&mut engine, 3.0);
    // The end of task 0 is written with no host left ...
    let pending = engine.next_txn(4.0, 20, 20).unwrap();
    // ... and meanwhile task 1 is placed on the same machine.
    engine.schedule(4.0);
    assert_eq!(starts(&worker.turn(&mut engine, 4.0)).len(), 0);
    engine.txn_done(4.1, pending, TxnOutcome::Applied { revision: 2000 });
    commit(&mut engine, 4.2);
    assert_eq!(starts(&worker.turn(&mut engine, 5.0)), ["req-1/1"]);
}

#[test]
fn records_of_what_gives_way_leave_half_of_the_bucket_to_others() {
    // Guards against launches of jobs with deadlines behind a guest's thousands of
    // single tasks: with 25 changes a second they came 12 s late.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    for i in 0..20 {
        let mut guest = spec(&format!("req-{i:02}"), 1, 0.1);
        guest.priority = Priority::Low;
        accept(&mut engine, 1.0, guest);
    }
    accept(&mut engine, 1.5, spec("req-99", 1, 2.0));
    let pending = engine.next_txn(2.0, 12, 6).unwrap();
    let first = match &pending.txn.changes[0] {
        Change::Put { key, .. } | Change::Delete { key } => key.clone(),
    };
    assert_eq!(first, "runs/req-99", "younger, and first");
    assert!(pending.txn.changes.len() <= 6);
    engine.txn_done(2.0, pending, TxnOutcome::Applied { revision: 2000 });
    assert!(
        engine.next_txn(2.1, 6, 0).is_none(),
        "guests leave the rest"
    );
    commit(&mut engine, 3.0);
    assert_eq!(starts(&worker.turn(&mut engine, 4.0)).len(), 21);
}

#[test]
fn during_a_state_outage_running_tasks_are_kept_and_none_is_started() {
    // Guards against starting on a lease that may be somebody else's.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    let report = worker.report();
    assert_eq!(converse(&mut engine, 2.0, &report, false), Some(vec![]));
    let report = worker.report();
    assert_eq!(
        starts(&converse(&mut engine, 3.0, &report, true).unwrap()).len(),
        1
    );
}

#[test]
fn a_faulty_machine_is_returned_and_a_faulty_job_backs_off() {
    // Guards against condemning the fleet for one broken job, and against
    // feeding a machine that fails everything.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut bad = ready_worker(&mut engine, "m1", "a");
    for (i, id) in ["req-1", "req-2", "req-3"].iter().enumerate() {
        let now = 1.0 + 3.0 * i as f64;
        accept(&mut engine, now, spec(id, 1, 8.0));
        commit(&mut engine, now);
        bad.turn(&mut engine, now + 1.0);
        bad.exit(&format!("{id}/0"), None, ExitCause::Error);
        bad.turn(&mut engine, now + 2.0);
    }
    engine.tick(13.0);
    assert!(engine.machines["m1"].quarantined);

    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut workers: Vec<Worker> = (1..=4)
        .map(|i| ready_worker(&mut engine, &format!("m{i}"), "a"))
        .collect();
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    for i in 0..12 {
        let now = 2.0 + f64::from(i);
        commit(&mut engine, now);
        for worker in &mut workers {
            worker.turn(&mut engine, now);
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
            for task in starts(&worker.turn(engine, now)) {
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
            worker.turn(engine, now + 0.5);
        }
    }
    launches
}

#[test]
fn ten_mistaken_jobs_condemn_no_sound_machine_and_hide_no_sick_one() {
    // Guards against healthy machines given back for jobs that fail everywhere, and
    // against a sick one that goes unseen among their failures.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
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
        assert!(engine.jobs[&*name].suspect, "{name}");
        // All four on three machines, and then one after each pause.
        assert!(launches[&name] <= 16, "{name}: {}", launches[&name]);
    }
}

#[test]
fn a_successor_knows_a_mistaken_job_and_tries_one_task_of_it() {
    let mut run = inheritance_of(spec("req-1", 20, 0.1));
    let record = run.jobs[0].run.as_mut().unwrap();
    (record.0.suspect, record.0.high, record.0.hosts) = (true, 0, vec![]);
    let mut engine = Engine::new(config(vec![team(0.0, 0.0)], Tuning::default()), 0.0, 0, run);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    commit(&mut engine, 1.0);
    assert_eq!(starts(&worker.turn(&mut engine, 2.0)).len(), 1);
    // It was the machines and not the job: all go on once one runs for longer
    // than it took to fail.
    worker.turn(&mut engine, 3.0);
    commit(&mut engine, 3.0);
    assert_eq!(
        starts(&worker.turn(&mut engine, 4.0)).len(),
        0,
        "still tried"
    );
    worker.turn(&mut engine, 9.5);
    let changes = commit(&mut engine, 9.5);
    assert!(
        (changes.iter())
            .any(|c| matches!(c, Change::Put { value: Record::Run(r), .. } if !r.suspect))
    );
    assert_eq!(starts(&worker.turn(&mut engine, 10.0)).len(), 19);
}

#[test]
fn a_sound_job_whose_first_tasks_met_sick_machines_goes_on_soon() {
    // Guards against a sound job held for mistaken until its first task is done.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut workers: Vec<Worker> = (0..8)
        .map(|i| ready_worker(&mut engine, &format!("m{i:02}"), "a"))
        .collect();
    let sick = ["m00", "m01", "m02", "m03", "m04"];
    accept(&mut engine, 1.0, spec("req-1", 5, 8.0));
    play_faults(&mut engine, &mut workers, &sick, 2.0, 30);
    assert!(!engine.jobs.contains_key("req-1"), "done within 30 s");
}

/// One machine, full of a low job, and a high one that can't wait for a boot.
fn full_of_low() -> (Engine, Worker, JobSpec) {
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut low = spec("req-1", 1, 8.0);
    low.priority = Priority::Low;
    accept(&mut engine, 1.0, low);
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.turn(&mut engine, 3.0);
    assert_eq!(engine.counts("req-1"), Some((0, 1)));
    let mut high = spec("req-2", 1, 8.0);
    high.priority = Priority::High;
    high.deadline_s = Some(25.0);
    (engine, worker, high)
}

#[test]
fn an_eviction_is_recorded_before_the_stop_goes_out() {
    // One state record per eviction; a successor must know of it.
    let (mut engine, mut worker, high) = full_of_low();
    accept(&mut engine, 4.0, high);
    assert_eq!(stops(&worker.turn(&mut engine, 4.0)), 0, "not recorded yet");
    let changes = commit(&mut engine, 4.5);
    assert!(
        changes
            .iter()
            .any(|c| matches!(c, Change::Put { value: Record::Run(r), .. } if r.evictions == 1))
    );
    assert_eq!(stops(&worker.turn(&mut engine, 5.0)), 1);
    worker.turn(&mut engine, 6.0);
    commit(&mut engine, 6.0);
    assert_eq!(starts(&worker.turn(&mut engine, 7.0)), ["req-2/0"]);
}

#[test]
fn an_evicted_task_that_nobody_was_told_of_waits_again_and_its_place_is_the_winners() {
    // Guards against a task that no worker could ever be told to stop, whose place
    // stayed taken until the next leader; and against a guest's next task in the
    // room of the first one stopped, for which the winner evicted again.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let low = |id: &str, cpus| JobSpec {
        priority: Priority::Low,
        checkpoint_s: Some(30.0),
        save_s: Some(3.0),
        ..spec(id, 3, cpus)
    };
    accept(&mut engine, 1.0, low("req-1", 4.0));
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.turn(&mut engine, 3.0);
    // One of two is done; the third is planned and not yet told.
    worker.exit("req-1/0", None, ExitCause::Done);
    assert_eq!(starts(&worker.turn(&mut engine, 4.0)), Vec::<String>::new());
    engine.schedule(4.0);
    let planned = &engine.jobs["req-1"].live[&2];
    assert!(!planned.told());
    let mut high = spec("req-2", 1, 8.0);
    (high.priority, high.deadline_s) = (Priority::High, Some(25.0));
    accept(&mut engine, 4.0, high);
    assert!(
        !engine.jobs["req-1"].live.contains_key(&2),
        "it waits again"
    );
    assert_eq!(
        engine.jobs["req-1"].evictions, 1,
        "only one task loses anything"
    );
    engine.schedule(4.1);
    assert!(
        !engine.jobs["req-1"].live.contains_key(&2),
        "nothing moves in"
    );
    commit(&mut engine, 4.5);
    assert_eq!(stops(&worker.turn(&mut engine, 5.0)), 1);
    engine.schedule(7.0);
    assert_eq!(
        engine.jobs["req-1"].evictions, 1,
        "none while one is saving"
    );
    worker.exit("req-1/1", None, ExitCause::Stopped);
    worker.turn(&mut engine, 8.5);
    commit(&mut engine, 8.5);
    assert_eq!(starts(&worker.turn(&mut engine, 9.0)), ["req-2/0"]);
}

#[test]
fn a_job_that_fails_everywhere_may_not_evict_and_a_loser_is_spared_in_time() {
    // The design's two known weaknesses.
    let (mut engine, _worker, high) = full_of_low();
    engine.job_accepted(4.0, 4000, record(high), 71);
    engine.jobs.get_mut("req-2").unwrap().errors = 5;
    engine.schedule(4.0);
    assert_eq!(engine.jobs["req-1"].evictions, 0);
    engine.jobs.get_mut("req-2").unwrap().errors = 0;
    engine.jobs.get_mut("req-1").unwrap().evictions = 3;
    engine.schedule(4.0);
    assert_eq!(engine.jobs["req-1"].evictions, 3);
}

#[test]
fn the_grant_names_a_machine_before_anything_starts_there() {
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = Worker::new("m1", "a");
    worker.turn(&mut engine, 0.0);
    worker.turn(&mut engine, 0.5);
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    assert!(
        pending
            .txn
            .changes
            .iter()
            .any(|c| matches!(c, Change::Put { key, .. } if key.starts_with(GRANT_PARTS)))
    );
    engine.txn_done(1.0, pending, TxnOutcome::NotExecuted);
    assert_eq!(starts(&worker.turn(&mut engine, 1.5)).len(), 0);
    commit(&mut engine, 2.0);
    assert_eq!(starts(&worker.turn(&mut engine, 2.5)).len(), 1);
}

#[test]
fn a_machine_with_a_notice_gets_nothing_new_and_moves_what_cannot_finish() {
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut long = spec("req-1", 1, 2.0);
    long.estimate_s = 500.0;
    accept(&mut engine, 1.0, long);
    accept(&mut engine, 1.0, spec("req-2", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.turn(&mut engine, 3.0);
    let mut report = worker.report();
    report.notice_s = Some(25.0);
    converse(&mut engine, 4.0, &report, true);
    engine.tick(4.0);
    accept(&mut engine, 4.0, spec("req-3", 1, 1.0));
    commit(&mut engine, 4.0);
    let mut report = worker.report();
    report.notice_s = Some(24.0);
    let told = converse(&mut engine, 5.0, &report, true).unwrap();
    assert_eq!(stops(&told), 1, "{told:?}");
    assert_eq!(starts(&told).len(), 0);
}

#[test]
fn a_deleted_machine_does_not_come_back_by_an_old_list() {
    // Guards against counting, and deleting again, what is gone: the list
    // lags by seconds.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let listed = listed("m1");
    engine.listing(1.0, std::slice::from_ref(&listed));
    engine.deleted(&["m1".into()]);
    engine.listing(6.0, std::slice::from_ref(&listed));
    assert!(engine.machines.is_empty());
}

#[test]
fn in_an_overload_jobs_that_can_still_start_in_time_go_first() {
    // Guards against earliest deadline first making every job of a burst late.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut aimed = |id: &str, at: Time| {
        let mut job = spec(id, 1, 8.0);
        job.class = "aimed".into();
        job.deadline_s = Some(60.0);
        engine.job_accepted(at, (at * 1000.0) as u64, record(job), 70);
    };
    aimed("req-1", 0.0);
    aimed("req-2", 9.0);
    // Both can still meet their deadlines; only the second its start.
    engine.jobs.get_mut("req-1").unwrap().submitted = 0.0;
    engine.jobs.get_mut("req-2").unwrap().submitted = 9.0;
    worker.turn(&mut engine, 9.9);
    commit(&mut engine, 10.0);
    assert_eq!(starts(&worker.turn(&mut engine, 10.5)), ["req-2/0"]);
}

#[test]
fn a_token_increment_raises_only_the_machines_own_token_and_keeps_the_holder_apart() {
    // Guards against increments that overtake a successor's token, and against
    // taking a worker with an incremented token for one that saw another holder.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    worker.turn(&mut engine, 1.0);
    accept(&mut engine, 1.1, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.1);
    let increment = engine.token_increments(1.1).remove(0);
    assert_eq!(epoch(increment.token), TOKEN);
    assert!(increment.token < token_of(TOKEN + 1));
    assert!(
        engine.token_increments(1.2).is_empty(),
        "at most once per half lease"
    );
    worker.token = increment.token;
    assert_eq!(starts(&worker.turn(&mut engine, 1.3)), ["req-1/0"]);
    assert_eq!(engine.token_for("m1"), increment.token);
    worker.turn(&mut engine, 2.0);
    assert_eq!(engine.counts("req-1"), Some((0, 1)));
    // The count never runs over into another holder's tokens.
    worker.token = token_of(TOKEN + 1) - 1;
    worker.turn(&mut engine, 20.0);
    accept(&mut engine, 20.1, spec("req-2", 1, 2.0));
    commit(&mut engine, 20.1);
    assert!(engine.token_increments(20.1).is_empty());
}

#[test]
fn the_record_of_a_large_fleet_stays_within_the_bounds_of_a_value_and_a_transaction() {
    // Guards against a fleet that outgrows one value: nothing could be started
    // any more, and each new machine would cost a write of all of them.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let name = |i: usize| format!("host-{i:06}");
    for i in 0..600 {
        Worker::new(&name(i), "a").turn(&mut engine, 0.0);
    }
    let mut workers: Vec<Worker> = (0..600).map(|i| Worker::new(&name(i), "a")).collect();
    for worker in &mut workers {
        worker.seq = 1;
        worker.token = token_of(TOKEN);
        worker.turn(&mut engine, 0.5);
    }
    let mut largest = 0;
    while let Some(pending) = engine.next_txn(1.0, 20, 20) {
        let bytes = umbersail_wire::encode(&pending.txn).len();
        assert!(
            bytes < 48 * 1024 && pending.txn.changes.len() <= 20,
            "{bytes}"
        );
        for change in &pending.txn.changes {
            largest = largest.max(umbersail_wire::encode(change).len());
        }
        engine.txn_done(1.0, pending, TxnOutcome::Applied { revision: 1000 });
    }
    assert!(largest > 0 && largest < 16 * 1024, "{largest}");
    assert!(engine.machines.values().all(|m| m.recorded));

    // One more machine: one part is written, and no other.
    ready_worker_at(&mut engine, "host-000600", 2.0);
    let pending = engine.next_txn(2.5, 20, 20).unwrap();
    assert_eq!(pending.txn.changes.len(), 1);
    engine.txn_done(2.5, pending, TxnOutcome::Unknown);
    assert!(!engine.machines["host-000600"].recorded);
    assert!(engine.next_txn(2.5, 20, 20).is_none(), "to be read before");
    let (_, parts) = engine.unknown_versions();
    engine.part_read(parts[0], 1001);
    assert!(engine.next_txn(2.6, 20, 20).is_some());
}

fn ready_worker_at(engine: &mut Engine, name: &str, now: Time) {
    let mut worker = Worker::new(name, "a");
    worker.turn(engine, now);
    worker.turn(engine, now + 0.5);
}

#[test]
fn a_rental_without_answer_is_asked_again_by_its_name_and_none_other_meanwhile() {
    // Guards against renting without bound while the cloud does not answer.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    accept(&mut engine, 0.0, spec("req-1", 40, 2.0));
    let mut first = engine.cloud_actions(1.0);
    let Some(CloudAction::Rent(request)) = first.pop() else {
        panic!("nothing rented");
    };
    for other in first {
        if let CloudAction::Rent(other) = other {
            engine.rented(1.0, &other, &["host-1".to_owned()]);
        }
    }
    engine.rent_unanswered(request.clone());
    let again = engine.cloud_actions(2.0);
    assert_eq!(again, vec![CloudAction::Rent(request)]);
}

#[test]
fn the_largest_array_on_a_large_fleet_keeps_its_record_within_the_bound() {
    // Guards against a record that the state service refuses: it would hold up
    // every other write of the leader with it.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    for i in 0..600 {
        ready_worker_at(&mut engine, &format!("host-{i:06}"), 0.0);
    }
    commit(&mut engine, 0.6);
    accept(&mut engine, 1.0, spec("req-1", 100_000, 8.0));
    let job = engine.jobs.get_mut("req-1").unwrap();
    for task in (10_000..100_000).step_by(2) {
        job.done.insert(task);
    }
    let placed = job.live.len();
    assert!(placed > 250 && placed < 600, "{placed}");
    let changes = commit(&mut engine, 1.0);
    let largest = changes
        .iter()
        .map(|c| umbersail_wire::encode(c).len())
        .max();
    assert!(
        largest.is_some_and(|bytes| bytes > 25_000 && bytes < 32 * 1024),
        "{largest:?}"
    );
}

#[test]
fn a_launch_is_written_at_once_while_progress_waits_for_budget_to_spare() {
    // Guards against launches that wait until the budget takes a large
    // transaction, behind records that nobody waits for.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.exit("req-1/0", None, ExitCause::Done);
    worker.turn(&mut engine, 3.0);
    assert!(engine.next_txn(4.0, 20, 0).is_none(), "progress can wait");
    accept(&mut engine, 4.0, spec("req-2", 1, 2.0));
    let launch = engine.next_txn(4.0, 0, 0).unwrap();
    assert!(
        matches!(&launch.txn.changes[..], [Change::Put { key, .. }] if *key == run_key("req-2"))
    );
    engine.txn_done(4.0, launch, TxnOutcome::Applied { revision: 2000 });

    // An end goes without the removal of its progress, which follows later.
    worker.exit("req-1/1", None, ExitCause::Done);
    worker.turn(&mut engine, 5.0);
    let end = engine.next_txn(5.0, 2, 0).unwrap();
    assert_eq!(end.txn.changes.len(), 2);
    engine.txn_done(5.0, end, TxnOutcome::Applied { revision: 2001 });
    assert!(engine.next_txn(5.0, 20, 0).is_none());
    let rest = engine.next_txn(5.0, 20, 5).unwrap();
    assert!(
        rest.txn
            .changes
            .iter()
            .any(|c| matches!(c, Change::Delete { key } if *key == run_key("req-1")))
    );
}

#[test]
fn a_job_whose_image_comes_too_late_does_not_go_before_one_that_can_end_in_time() {
    // Guards against places spent on jobs that are late for certain.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    ready_worker(&mut engine, "m1", "a");
    let mut doomed = spec("req-1", 1, 8.0);
    doomed.deadline_s = Some(25.0);
    doomed.image_gb = 5.0;
    let mut other = spec("req-2", 1, 8.0);
    other.deadline_s = Some(60.0);
    other.image = "j".into();
    for job in [doomed, other] {
        engine.job_accepted(1.0, 1000, record(job), 70);
    }
    engine.schedule(1.0);
    assert_eq!(engine.jobs["req-2"].live.len(), 1);
    assert_eq!(engine.jobs["req-1"].live.len(), 0);
}

/// A job's one task runs on m1, which was last answered by us at 3 s and has
/// been silent since; bothy-1 may answer in our stead until 20 s.
fn silent_with_a_delegate() -> Engine {
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.turn(&mut engine, 2.0);
    worker.turn(&mut engine, 3.0);
    engine.delegate_to("bothy-1", 20.0);
    engine
}

fn renewed(machine: &str, ago_ms: u64) -> umbersail_wire::RenewedMachine {
    umbersail_wire::RenewedMachine {
        machine: machine.into(),
        ago_ms,
    }
}

/// Tasks of the job that wait once the peer has told whom it kept.
fn waiting_once_told(
    engine: &mut Engine,
    now: Time,
    up_s: f64,
    renewed: &[umbersail_wire::RenewedMachine],
) -> u32 {
    engine.renewed_by(now, "bothy-1", now - 0.1, up_s, renewed);
    engine.tick(now);
    engine.jobs["req-1"].pending()
}

#[test]
fn a_machine_that_a_delegate_may_have_renewed_has_not_lapsed() {
    // Guards against ran_twice when the zones are apart: the worker's lease is
    // renewed by a peer of its zone, and we hear of neither.
    let mut engine = silent_with_a_delegate();
    engine.tick(14.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0, "silence is not proof");
    // What it told before the lease could have lapsed proves nothing either.
    engine.renewed_by(12.0, "bothy-1", 11.9, 100.0, &[]);
    engine.tick(14.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    engine.tick(30.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    // Its time is over and the lease with it.
    engine.tick(20.0 + LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn a_delegates_report_of_no_renewal_settles_a_silent_machine() {
    // Guards against every hung machine holding up its tasks for as long as
    // a peer might renew their leases.
    let mut engine = silent_with_a_delegate();
    assert_eq!(waiting_once_told(&mut engine, 14.1, 100.0, &[]), 1);

    let mut engine = silent_with_a_delegate();
    // Answered at 10 s.
    for (now, ago_ms, waiting) in [(14.1, 4100, 0), (20.3, 10_300, 0), (21.0, 11_000, 1)] {
        let kept = [renewed("m1", ago_ms)];
        assert_eq!(waiting_once_told(&mut engine, now, 100.0, &kept), waiting);
    }
}

#[test]
fn a_machine_renewed_by_one_delegate_and_then_another_has_not_lapsed() {
    // Guards against ran_twice where the leader hears of neither: one peer kept
    // the machine for its whole time, and another took it over after that one
    // had told us that it had kept nothing.
    let mut engine = silent_with_a_delegate();
    engine.delegate_to("bothy-2", 60.0);
    engine.renewed_by(15.0, "bothy-2", 14.9, 100.0, &[]);
    engine.tick(31.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    // Its word from after the first one's time and a lease settles it.
    engine.renewed_by(31.0, "bothy-2", 30.9, 100.0, &[]);
    engine.tick(31.1);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn what_a_former_holder_started_without_a_record_is_found_by_the_next_but_one() {
    // Guards against ran_twice: a leader saw in a report what its predecessor had
    // started without a record, wrote nothing of it, and ended.
    let mut found = inheritance_of(spec("req-1", 4, 2.0));
    found.open_before = true;
    let config = config(vec![team(0.0, 0.0)], Tuning::default());
    let mut engine = Engine::new(config, 0.0, 0, found);
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    assert_eq!(
        starts(&other.turn(&mut engine, 1.5)).len(),
        0,
        "any task may run on m1"
    );
    let mut old = Worker::new("m1", "a");
    old.tasks = vec![running("req-1/3", 7)];
    old.turn(&mut engine, 2.0);
    let report = old.report();
    assert!(engine.report(2.5, &report));
    let written = commit(&mut engine, 2.6);
    let at = |found: &dyn Fn(&Change<Record>) -> bool| written.iter().position(found);
    let names_it = |c: &Change<Record>| {
        matches!(c, Change::Put { value: Record::Run(run), .. }
            if run.high == 4 && run.hosts.iter().any(|h| h == "m1"))
    };
    let settles =
        |c: &Change<Record>| matches!(c, Change::Delete { key } if key == RECOVERY_PENDING_KEY);
    assert!(at(&names_it).is_some() && at(&names_it) < at(&settles));
    let told =
        starts(&other.turn(&mut engine, 2.7)).len() + starts(&old.turn(&mut engine, 3.1)).len();
    assert_eq!(told, 3);
}

#[test]
fn with_everybodys_agreement_tasks_start_before_they_are_recorded() {
    // Guards against a fleet that runs empty while the state service is out, and
    // against starts without a record whose place depends on one another.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut spread = spec("req-2", 2, 2.0);
    spread.spread = Some(true);
    accept(&mut engine, 1.0, spec("req-1", 2, 2.0));
    accept(&mut engine, 1.0, spread);
    engine.schedule(1.0);
    assert_eq!(starts(&worker.turn(&mut engine, 1.5)).len(), 0);
    assert!(engine.waits_openly() || engine.unrecorded_jobs() == 0);
    engine.set_open(true);
    let told = starts(&worker.turn(&mut engine, 2.0));
    assert_eq!(told, ["req-1/0", "req-1/1"]);
    assert_eq!(engine.unrecorded_jobs(), 1);
    worker.turn(&mut engine, 2.5);
    engine.set_open(false);
    commit(&mut engine, 3.0);
    assert_eq!(engine.unrecorded_jobs(), 0);
}

#[test]
fn a_delegate_that_has_restarted_does_not_know_what_it_renewed_before() {
    // Guards against the word of a fresh process that its predecessor kept
    // nothing: that one may have answered until it ended.
    let mut engine = silent_with_a_delegate();
    assert_eq!(waiting_once_told(&mut engine, 14.1, 4.1, &[]), 0);
    assert_eq!(waiting_once_told(&mut engine, 20.9, 10.9, &[]), 1);
}

#[test]
fn an_unfenced_machine_that_we_answered_late_lapses_from_that_answer() {
    // Guards against taking a machine for lapsed that got our token, and with
    // it a new lease, just before its old holder's time was over.
    let mut engine = after_crash(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let end = engine.cfg.renewal_s() + LEASE_S;
    let report = Worker::new("m1", "a").report();
    assert!(engine.report(end - 1.0, &report));
    engine.reply(end - 1.0, &report, true);
    engine.tick(end * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 2);
    engine.tick(end - 1.0 + LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 0);
}

/// After a take-over, m1 shows our token with its two tasks at 9.5 s, by direct
/// command. With `stale_word` bothy-1 has told that it answered m1 at 0 s; the
/// former leader did so later, which nobody tells us.
fn fenced_directly(stale_word: bool) -> Engine {
    let mut engine = after_crash(vec![team(0.0, 0.0)], spec("req-1", 2, 2.0));
    if stale_word {
        engine.renewed_by(1.0, "bothy-1", 0.9, 100.0, &[renewed("m1", 1000)]);
    }
    let mut worker = Worker::new("m1", "a");
    worker.token = token_of(TOKEN);
    worker.tasks = vec![running("req-1/0", 5), running("req-1/1", 5)];
    engine.direct_report(9.5, &worker.report());
    assert_eq!(engine.jobs["req-1"].live.len(), 2);
    engine
}

#[test]
fn a_peers_word_on_its_own_answers_says_nothing_of_the_former_leaders() {
    // Guards against ran_twice after a take-over: the newest answer that we
    // know of was a peer's, before the former leader's last one, and the
    // machine was taken for lapsed half a second after it showed its tasks.
    let mut engine = fenced_directly(true);
    engine.tick(LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].pending(), 0, "answered until 9.5 s");
    engine.renewed_by(18.0, "bothy-1", 17.9, 100.0, &[renewed("m1", 18_000)]);
    engine.tick(19.4);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
}

#[test]
fn a_machine_fenced_directly_and_never_answered_by_us_lapses_in_the_end() {
    // Guards against tasks that wait for ever on a machine that showed our
    // token and then fell silent before any report of its own came.
    for stale_word in [true, false] {
        let mut engine = fenced_directly(stale_word);
        engine.tick(9.5 + LEASE_S);
        assert_eq!(engine.jobs["req-1"].live.len(), 2);
        engine.tick(9.5 + LEASE_S * 1.001 + 0.6);
        assert_eq!(engine.jobs["req-1"].pending(), 2);
    }
}

#[test]
fn an_attempt_of_a_completed_task_counts_until_it_is_gone() {
    // Guards against a team's limit that is broken after a take-over: a result
    // came late, and the attempt in its stead still runs.
    let mut engine = after_crash(vec![team(0.0, 4.0)], spec("req-1", 3, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    other.tasks = vec![running("req-1/0", 4)];
    other.exit("req-1/0", None, ExitCause::Done);
    other.turn(&mut engine, 1.0);
    let mut worker = Worker::new("m1", "a");
    worker.token = token_of(TOKEN);
    worker.tasks = vec![running("req-1/0", 5), running("req-1/1", 5)];
    let report = worker.report();
    assert!(engine.report(1.5, &report));
    commit(&mut engine, 1.6);
    assert_eq!(starts(&other.turn(&mut engine, 1.7)).len(), 0);
    let told = engine.reply(1.8, &report, true);
    assert_eq!(stops(&told), 1, "it is of no use to anybody");
    assert_eq!(starts(&told).len(), 0);
    worker.obey(token_of(TOKEN), &told);
    worker.turn(&mut engine, 2.0);
    commit(&mut engine, 2.1);
    let told = [other.turn(&mut engine, 2.7), worker.turn(&mut engine, 2.7)];
    assert_eq!(
        told.iter().flat_map(|c| starts(c)).collect::<Vec<_>>(),
        ["req-1/2"]
    );
}

#[test]
fn what_still_runs_of_a_job_that_is_done_counts_at_once() {
    // Guards against a limit that is broken between a job's end and the next
    // report of the machine on which an attempt of it still runs.
    let mut engine = fresh(vec![team(0.0, 2.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let mut other = ready_worker(&mut engine, "m2", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    let first = worker.turn(&mut engine, 1.5);
    let second = other.turn(&mut engine, 1.5);
    let (runs, idle) = match starts(&first).len() {
        1 => (&mut worker, &mut other),
        _ => (&mut other, &mut worker),
    };
    assert_eq!(starts(&first).len() + starts(&second).len(), 1);
    runs.turn(&mut engine, 2.5);
    idle.tasks = vec![running("req-1/0", 1)];
    idle.exit("req-1/0", None, ExitCause::Done);
    idle.turn(&mut engine, 2.6);
    commit(&mut engine, 2.7);
    assert!(engine.jobs.is_empty());
    accept(&mut engine, 2.8, spec("req-2", 1, 2.0));
    commit(&mut engine, 2.8);
    assert_eq!(starts(&idle.turn(&mut engine, 3.0)).len(), 0);
    runs.turn(&mut engine, 3.5);
    runs.turn(&mut engine, 4.0);
    commit(&mut engine, 4.1);
    let told = [idle.turn(&mut engine, 5.0), runs.turn(&mut engine, 5.0)];
    assert_eq!(told.iter().map(|c| starts(c).len()).sum::<usize>(), 1);
}

#[test]
fn a_silent_machine_that_a_list_leaves_out_among_newer_ones_is_deleted_at_once() {
    // Guards against waiting, after a take-over, for the old holder's time and
    // the lease of spot machines that were taken without notice.
    let mut engine = after_crash(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let deletes = |engine: &mut Engine, now| {
        let actions = engine.cloud_actions(now);
        let deletes = |a: &CloudAction| matches!(a, CloudAction::Delete(n) if n == &["m1"]);
        actions.iter().any(deletes)
    };
    // An older list proves nothing, nor does one that shows it.
    engine.listing(1.0, &[listed("m0")]);
    assert!(!deletes(&mut engine, 1.0));
    engine.listing(2.0, &[listed("m1"), listed("m2")]);
    assert!(!deletes(&mut engine, 2.0));
    engine.listing(3.0, &[listed("m2")]);
    assert!(deletes(&mut engine, 3.0));
    assert_eq!(
        engine.jobs["req-1"].recovery_pending.len(),
        2,
        "only the answer proves it"
    );
    engine.deleted(&["m1".into()]);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}

#[test]
fn a_start_that_a_fetch_would_make_late_waits_for_a_place_with_the_image() {
    // Guards against fetching an image, late for certain, while a machine that
    // has it is about to have room.
    let mut engine = fresh(vec![team(0.0, 0.0)]);
    let mut warm = ready_worker(&mut engine, "m1", "a");
    let aimed = |id: &str| JobSpec {
        class: "aimed".into(),
        image: "large".into(),
        image_gb: 5.0,
        ..spec(id, 1, 8.0)
    };
    accept(&mut engine, 1.0, aimed("req-1"));
    commit(&mut engine, 1.0);
    warm.turn(&mut engine, 2.0);
    warm.turn(&mut engine, 3.0);
    let mut cold = ready_worker(&mut engine, "m2", "a");
    cold.turn(&mut engine, 4.0);
    // The aim is 8 s, the fetch takes 10 s; m1 has the image and is full.
    accept(&mut engine, 4.0, aimed("req-2"));
    assert_eq!(engine.jobs["req-2"].pending(), 1);
    accept(&mut engine, 4.0, aimed("req-3"));
    warm.exit("req-1/0", None, ExitCause::Done);
    warm.turn(&mut engine, 5.0);
    cold.turn(&mut engine, 5.0);
    engine.schedule(5.0);
    let on_m1 = |id: &str| engine.jobs[id].live.values().any(|p| &*p.machine == "m1");
    assert!(
        on_m1("req-2") ^ on_m1("req-3"),
        "the first place is for one"
    );
    // The other gives up before it would be late anyway.
    engine.tick(6.0);
    assert!(engine.wants_schedule());
    warm.turn(&mut engine, 7.2);
    cold.turn(&mut engine, 7.2);
    engine.schedule(7.2);
    assert_eq!(
        engine.jobs["req-2"].pending() + engine.jobs["req-3"].pending(),
        0
    );
}
