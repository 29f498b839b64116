//! Fixtures shared by the engine tests: a configuration, jobs, simulated workers, a simulated
//! state service, and the state that a new leader inherits.

use super::*;

/// Revision of the leader record under which the engine under test was elected.
pub(super) const LEADER_REVISION: u64 = 100;
/// Length of a worker's lease.
pub(super) const LEASE_S: f64 = 10.0;

pub(super) const LEADER: &str = crate::records::LEADER_KEY;

pub(super) fn counts(done: u32, running: u32) -> TaskCounts {
    TaskCounts { done, running }
}

pub(super) fn machine_type() -> MachineType {
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

pub(super) fn config(teams: Vec<TeamLimits>, tuning: Tuning) -> Rc<EngineConfig> {
    Rc::new(EngineConfig {
        member: "controller-0".into(),
        teams,
        start_objectives: [("bounded-start".to_owned(), 8.0)].into(),
        guarantee_start_objective: None,
        deadline_factors: [("c".to_owned(), 1.5)].into(),
        heartbeat_interval_s: 1.0,
        lease_s: LEASE_S,
        cancel_s: 40.0,
        cloud_list_lag_s: 4.0,
        max_txn_changes: 20,
        max_value_bytes: 32 * 1024,
        max_clock_skew_ms: 500.0,
        slice_steps: u64::MAX,
        tuning: Rc::new(tuning),
    })
}

pub(super) fn team(cpus: f64, cpus_max: f64) -> TeamLimits {
    TeamLimits {
        name: "t".into(),
        guaranteed_cpus: cpus,
        max_cpus: cpus_max,
        ..TeamLimits::default()
    }
}

pub(super) fn spec(id: &str, tasks: u32, cpus: f64) -> JobSpec {
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

pub(super) fn job_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_ms: 0,
    }
}

/// A simulated worker that follows the worker protocol. The test decides when it sends a
/// heartbeat and when its tasks exit.
pub(super) struct Worker {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) session: u64,
    pub(super) seq: u64,
    pub(super) token: u64,
    pub(super) tasks: Vec<TaskReport>,
}

impl Worker {
    pub(super) fn new(name: &str, zone: &str) -> Worker {
        Worker {
            name: name.into(),
            zone: zone.into(),
            session: 1,
            seq: 0,
            token: 0,
            tasks: vec![],
        }
    }

    /// The worker's next heartbeat, with a new sequence number.
    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
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

    /// Adopts the token of a reply if it is higher than the worker's own, and carries out the
    /// commands. A stopped task exits at once.
    pub(super) fn apply_commands(&mut self, token: u64, commands: &[Command]) {
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

    /// Marks a task as exited: the given attempt, or every attempt if none is given.
    pub(super) fn exit(&mut self, task: &str, attempt: Option<u64>, cause: ExitCause) {
        for t in &mut self.tasks {
            if t.task == task && attempt.is_none_or(|a| a == t.attempt) {
                t.state = TaskState::Exited;
                t.cause = Some(cause);
            }
        }
    }

    /// Sends a heartbeat and carries out the commands of the reply; returns these commands.
    pub(super) fn send_heartbeat(&mut self, engine: &mut Engine, now: Time) -> Vec<Command> {
        let heartbeat = self.heartbeat();
        let commands = receive_and_reply(engine, now, &heartbeat, true).unwrap_or_default();
        self.apply_commands(engine.token_for(&self.name), &commands);
        commands
    }
}

/// Passes a heartbeat to the engine and returns the commands of its reply, as the HTTP front
/// end does. `None`: the engine rejected the heartbeat and sends no reply.
pub(super) fn receive_and_reply(
    engine: &mut Engine,
    now: Time,
    heartbeat: &Heartbeat,
    may_start: bool,
) -> Option<Vec<Command>> {
    engine
        .receive_heartbeat(now, heartbeat)
        .then(|| engine.reply(now, heartbeat, may_start))
}

/// Names of the tasks that the commands start.
pub(super) fn started_tasks(commands: &[Command]) -> Vec<String> {
    commands
        .iter()
        .filter_map(|c| match c {
            Command::Start { task, .. } => Some(task.clone()),
            _ => None,
        })
        .collect()
}

/// Number of stop commands.
pub(super) fn stop_count(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|c| matches!(c, Command::Stop { .. }))
        .count()
}

/// The state that the first leader of a new cluster finds: no jobs and no machines.
pub(super) fn empty_inherited_state() -> InheritedState {
    InheritedState {
        revision: LEADER_REVISION,
        leader_version: LEADER_REVISION,
        grant_parts: vec![],
        finished_jobs: vec![],
        count_whole_machines: false,
        predecessor_degraded: false,
        jobs: vec![],
        types: vec![machine_type()],
        plans: Vec::new(),
    }
}

/// The first leader of a new cluster.
pub(super) fn new_engine(teams: Vec<TeamLimits>) -> Engine {
    Engine::new(
        config(teams, Tuning::default()),
        0.0,
        0,
        empty_inherited_state(),
    )
}

/// A new leader after a failover, with the state of `inherited_state_of`.
pub(super) fn engine_after_failover(teams: Vec<TeamLimits>, job: JobSpec) -> Engine {
    let config = config(teams, Tuning::default());
    Engine::new(config, 0.0, 0, inherited_state_of(job))
}

/// The state that a new leader finds after its predecessor has started tasks 0 and 1 of the
/// job on machine m1.
pub(super) fn inherited_state_of(job: JobSpec) -> InheritedState {
    let run = JobProgressRecord {
        high_water: 2,
        hosts: vec!["m1".into()],
        ..JobProgressRecord::default()
    };
    InheritedState {
        grant_parts: vec![InheritedPart {
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
            record: job_record(job),
            version: 50,
            run: Some((run, 60)),
        }],
        ..empty_inherited_state()
    }
}

/// Runs a scheduling cycle and applies every transaction that is due, as a state service that
/// answers at once does. Returns the applied changes.
pub(super) fn commit(engine: &mut Engine, now: Time) -> Vec<Change<Record>> {
    let mut all = Vec::new();
    let mut revision = 1000 + (now * 100.0) as u64;
    engine.schedule(now);
    while let Some(pending) = engine.next_txn(now + 1.0, 20, 20) {
        revision += 1;
        all.extend(pending.txn.changes.clone());
        engine.txn_finished(now, pending, TxnOutcome::Applied { revision });
    }
    all
}

/// A worker that has shown the leader's token and whose machine is in the recorded grant.
pub(super) fn ready_worker(engine: &mut Engine, name: &str, zone: &str) -> Worker {
    let mut worker = Worker::new(name, zone);
    worker.send_heartbeat(engine, 0.0);
    worker.send_heartbeat(engine, 0.5);
    commit(engine, 0.5);
    worker
}

/// The entry of a running task in a heartbeat.
pub(super) fn running_task(task: &str, attempt: u64) -> TaskReport {
    TaskReport {
        task: task.into(),
        attempt,
        state: TaskState::Running,
        cause: None,
        saved: None,
    }
}

/// The entry of a running machine in the cloud's machine list.
pub(super) fn listed_machine(id: &str) -> ListedMachine {
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

/// Accepts a job and runs a scheduling cycle.
pub(super) fn accept(engine: &mut Engine, now: Time, spec: JobSpec) {
    engine.job_accepted(now, (now * 1000.0) as u64, job_record(spec), 70);
    engine.schedule(now);
}
