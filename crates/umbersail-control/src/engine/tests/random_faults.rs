//! Runs real engines and delegates under random faults: nodes crash, freeze and are cut
//! off, workers hang, replies and transactions are lost or delayed, clocks drift, machines
//! become unreachable or are deleted and replaced, and duplicates of heartbeats arrive at
//! any node.
//!
//! The workers and the state service are simulated after the protocol and know the true
//! time. They check these properties:
//!
//! - When a worker starts a task, no other worker whose lease has not expired runs that
//!   task or can still receive a command to start it.
//! - The team's CPU limit holds.
//! - No task of a cancelled job runs after the cancellation time limit.
//! - A leader answers no duplicate of a heartbeat that it has answered, and no duplicate
//!   makes a deleted machine count again.
//!
//! A case is a list of faults and a seed, both drawn by `proptest`, which shrinks a failing
//! case to the relevant faults. The draws are the same in every run; the environment
//! variable `UMBERSAIL_CASES` sets the number of cases.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::delegate::Delegate;
use crate::records::{
    EndedJobRecord, GrantRecord, Outcome, RECOVERY_PENDING_KEY, RecoveryPendingRecord,
};
use crate::records::{
    GRANT_KEY, JOB_PROGRESS, JOBS, JobRecord, LEADER_KEY, LeaderRecord, ended_job_key,
};
use umbersail_standby::{DegradedMode, DegradedModeMemory};

const NODES: usize = 3;
const WORKERS: usize = 5;
/// Length of a run: enough for two failovers with the renewal times of both leaders.
const RUN_S: f64 = 75.0;
const STEP_S: f64 = 0.1;
/// The protocol requires a worker to abandon a heartbeat, and to ignore its reply, after this
/// time, in seconds.
const REPLY_TIMEOUT_S: f64 = 4.0;
const TEAM_LIMIT_CPUS: f64 = 22.0;
const TASK_CPUS: f64 = 2.0;
const CASES: u32 = 1200;

#[derive(Debug, Clone, Copy, PartialEq)]
enum FaultKind {
    Crash,
    Freeze,
    StateRejectsNode,
    StateOutage,
    ZonesPartitioned,
    WorkerPartitionedFromNode,
    WorkerHangs,
    RepliesLost,
    DirectCommandsDelayed,
    PeersPartitioned,
    /// The node reaches neither the state service nor its peers, but its workers. In a long
    /// isolation, the node reaches only one worker, and this worker reaches no other node.
    Isolated,
    /// The worker's heartbeats arrive, but neither replies nor commands reach the worker.
    WorkerUnreachable,
    /// The worker's heartbeats are delivered a second time, between 0.1 s and three lease
    /// times later.
    HeartbeatsDuplicated,
    /// The machine is deleted and replaced by another.
    MachineDeleted,
    /// The node is down for a fifth of the drawn duration, 0.2 s at least.
    BriefCrash,
    /// The node suspects that the leader is dead, correctly or not, and replaces the leader
    /// key.
    Suspicions,
    /// Many writes get no reply and are executed late, after newer ones.
    DelayedWrites,
    /// The state service repeatedly rejects the leader alone, for less than a lease duration
    /// each time, while other nodes confirm a cancellation. Then the service is unavailable to
    /// every node for longer than the time limit for stopping cancelled tasks.
    RejectionsThenOutage,
}

/// How long the leader is rejected at a time, in seconds.
const REJECTED_S: f64 = 2.6;
/// How long the leader is served between two rejections, in seconds: often too short for
/// the leader's watch of the jobs to be delivered.
const SERVED_S: f64 = 0.8;
/// The longest delay until a watch delivers after the state service is reachable, in
/// seconds.
const MAX_WATCH_DELAY_S: f64 = 1.0;
/// Length of a run with `RejectionsThenOutage`: until its outage has ended, or nearly.
const REJECTIONS_RUN_S: f64 = 95.0;

/// A fault, when it begins and how long it lasts, and the node and the worker affected.
#[derive(Debug, Clone, Copy)]
struct Fault {
    kind: FaultKind,
    at: f64,
    duration_s: f64,
    node: usize,
    worker: usize,
}

impl Fault {
    fn ends_at(&self) -> f64 {
        self.at + self.duration_s
    }

    /// Whether the state service rejects the requests of the leader at time `t` under
    /// `RejectionsThenOutage`.
    fn rejects_leader_at(&self, t: f64) -> bool {
        (t - self.at) % (REJECTED_S + SERVED_S) < REJECTED_S
    }

    /// Whether an isolated node reaches only one worker. No other worker can then bring the
    /// node a newer token.
    fn leaves_one_worker(&self) -> bool {
        self.duration_s > 30.0
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let kind = prop::sample::select(vec![
        FaultKind::Crash,
        FaultKind::Freeze,
        FaultKind::Freeze,
        FaultKind::StateRejectsNode,
        FaultKind::StateRejectsNode,
        FaultKind::StateOutage,
        FaultKind::StateOutage,
        FaultKind::StateOutage,
        FaultKind::ZonesPartitioned,
        FaultKind::WorkerPartitionedFromNode,
        FaultKind::WorkerPartitionedFromNode,
        FaultKind::WorkerHangs,
        FaultKind::RepliesLost,
        FaultKind::DirectCommandsDelayed,
        FaultKind::PeersPartitioned,
        FaultKind::Isolated,
        FaultKind::Isolated,
        FaultKind::WorkerUnreachable,
        FaultKind::HeartbeatsDuplicated,
        FaultKind::HeartbeatsDuplicated,
        FaultKind::MachineDeleted,
        FaultKind::MachineDeleted,
        FaultKind::BriefCrash,
        FaultKind::Suspicions,
        FaultKind::Suspicions,
        FaultKind::DelayedWrites,
        FaultKind::DelayedWrites,
        FaultKind::RejectionsThenOutage,
        FaultKind::RejectionsThenOutage,
        FaultKind::RejectionsThenOutage,
    ]);
    let node = 0..NODES;
    (kind, 5.0..RUN_S - 15.0, 1.0..22.0, node, 0..WORKERS).prop_map(
        |(kind, at, duration_s, node, worker)| Fault {
            kind,
            // Early enough for the outage that follows the rejections.
            at: if kind == FaultKind::RejectionsThenOutage {
                10.0 + at / 6.0
            } else {
                at
            },
            duration_s: match kind {
                // At least 0.2 s, which is far less than a lease duration.
                FaultKind::BriefCrash => duration_s / 5.0,
                FaultKind::Isolated => duration_s * 3.0,
                FaultKind::RejectionsThenOutage => 4.0 + duration_s / 2.0,
                _ => duration_s,
            },
            node,
            worker,
        },
    )
}

/// A monotonic clock. Clocks differ in origin and by up to 0.05% in rate.
#[derive(Debug, Clone, Copy)]
struct DriftingClock {
    rate: f64,
    origin: f64,
}

impl DriftingClock {
    fn random(rng: &mut StdRng) -> DriftingClock {
        DriftingClock {
            rate: 1.0 + rng.random_range(0.0..=0.0005),
            origin: rng.random_range(0.0..50.0),
        }
    }

    fn read(&self, t: f64) -> Time {
        self.origin + t * self.rate
    }
}

/// A worker with its lease, simulated in true time.
struct Host {
    worker: Worker,
    clock: DriftingClock,
    /// When the last answered heartbeat was sent, on the worker's own clock.
    lease_renewed_at: Time,
    node: usize,
    next_heartbeat_at: f64,
    pending_reply: Option<Reply>,
    /// How many earlier machines with this index were deleted and replaced.
    generation: usize,
    /// Whether the current machine is deleted and not yet replaced.
    deleted: bool,
    /// When each running attempt of a task will end, in true time.
    task_ends: BTreeMap<(String, u64), f64>,
}

/// A reply that has not arrived yet.
#[derive(Clone)]
struct Reply {
    arrives_at: f64,
    /// When the heartbeat was sent, in true time.
    sent_at: f64,
    session: u64,
    token: u64,
    commands: Vec<Command>,
}

impl Host {
    fn has_lease(&self, t: f64) -> bool {
        self.clock.read(t) - self.lease_renewed_at <= LEASE_S
    }

    fn runs_task(&self, t: f64, task: &str) -> bool {
        let is_running = |r: &TaskReport| r.task == task && r.state != TaskState::Exited;
        self.has_lease(t) && self.worker.tasks.iter().any(is_running)
    }

    /// Whether a reply in flight can still start the task on this worker.
    fn may_start(&self, t: f64, task: &str) -> bool {
        self.pending_reply.as_ref().is_some_and(|r| {
            r.arrives_at.max(t) - r.sent_at <= REPLY_TIMEOUT_S
                && r.token >= self.worker.token
                && r.session == self.worker.session
                && started_tasks(&r.commands).iter().any(|s| s == task)
        })
    }

    fn expire_lease(&mut self, t: f64) {
        if !self.has_lease(t) {
            self.worker.tasks.clear();
            self.worker.session += 1;
            self.lease_renewed_at = self.clock.read(t);
        }
    }
}

/// The state of a node that leads.
struct Leadership {
    engine: Engine,
    /// Until when the leader may send start commands, on the node's own clock.
    start_until: Time,
    /// Until when the leader may answer heartbeats, on the node's own clock.
    renew_until: Time,
    superseded: bool,
    degraded_mode: DegradedMode,
    /// The heartbeats that this leader has answered.
    answered_heartbeats: BTreeSet<(String, (u64, u64))>,
    /// The machines that this leader knows to be deleted.
    deleted_machines: BTreeSet<String>,
    /// When the leader's watch of the jobs delivers next, in true time, if the state
    /// service answers without interruption until then.
    watch_delivers_at: Option<f64>,
}

/// A controller node.
struct Member {
    clock: DriftingClock,
    up: bool,
    started_at: Time,
    delegate: Delegate,
    /// The newest leader that the node knows of, and that leader's token.
    leader: Option<(usize, u64)>,
    degraded_mode_memory: DegradedModeMemory,
    leadership: Option<Leadership>,
    next_duties_at: f64,
    next_hello_at: f64,
}

/// The parts of the state service that these tests need.
#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, (Record, u64)>,
    /// When the lease of the leader key expires without a renewal, in true time.
    lease_expires_at: f64,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |(_, version)| *version)
    }

    fn apply(&mut self, txn: &umbersail_wire::Txn<Record>) -> TxnOutcome {
        let differs = |c: &&umbersail_wire::Condition| self.version(&c.key) != c.version;
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(differs)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return TxnOutcome::Conflict { failed };
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, .. } => {
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision));
                }
                Change::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        TxnOutcome::Applied {
            revision: self.revision,
        }
    }

    fn jobs(&self) -> Vec<(JobRecord, u64)> {
        let jobs = self.keys.range(JOBS.to_owned()..);
        jobs.take_while(|(key, _)| key.starts_with(JOBS))
            .filter_map(|(_, (record, version))| match record {
                Record::Job(job) => Some((job.clone(), *version)),
                _ => None,
            })
            .collect()
    }

    fn inherited_state(&self, revision: u64) -> InheritedState {
        let progress = |id: &str| match self.keys.get(&progress_key(id)) {
            Some((Record::JobProgress(progress), version)) => Some((progress.clone(), *version)),
            _ => None,
        };
        let jobs = self
            .jobs()
            .into_iter()
            .map(|(record, version)| InheritedJob {
                run: progress(&record.spec.id),
                record,
                version,
            });
        let part = |(key, (record, version)): (&String, &(Record, u64))| match record {
            Record::GrantPart(part) => Some(InheritedPart {
                index: key[GRANT_PARTS.len()..].parse().ok()?,
                version: *version,
                part: part.clone(),
            }),
            _ => None,
        };
        let inherited_jobs: Vec<InheritedJob> = jobs.collect();
        let progress_ids = self
            .keys
            .keys()
            .filter_map(|key| key.strip_prefix(JOB_PROGRESS));
        InheritedState {
            revision,
            leader_version: revision,
            grant_parts: self.keys.iter().filter_map(part).collect(),
            finished_jobs: progress_ids
                .filter(|id| inherited_jobs.iter().all(|j| j.record.spec.id != *id))
                .filter_map(|id| Some((id.to_owned(), progress(id)?.0)))
                .collect(),
            count_whole_machines: false,
            predecessor_degraded: false,
            jobs: inherited_jobs,
            types: vec![machine_type()],
            plans: Vec::new(),
        }
    }
}

/// A message or transaction that arrives late.
enum Delayed {
    Heartbeat {
        node: usize,
        heartbeat: Heartbeat,
    },
    DirectCommand {
        host: usize,
        generation: usize,
        token: u64,
        session: u64,
    },
    Txn(umbersail_wire::Txn<Record>),
    /// An election whose lease gets its full duration again when the transaction is executed,
    /// as after an outage of the state service.
    Election(umbersail_wire::Txn<Record>),
    HelloReply {
        to: usize,
        asked_at: Time,
        hello: umbersail_wire::Hello,
    },
}

/// One run of the nodes, the workers and the state service under a list of faults.
struct FaultRun {
    /// The true time, in seconds.
    t: f64,
    rng: StdRng,
    faults: Vec<Fault>,
    cfg: Rc<EngineConfig>,
    store: Store,
    members: Vec<Member>,
    hosts: Vec<Host>,
    /// Delayed messages and transactions, with the time of their delivery.
    delayed: Vec<(f64, Delayed)>,
    /// Ids of cancelled jobs and when the user got the confirmation.
    cancelled: Vec<(String, f64)>,
    launches: usize,
    elections: usize,
    /// How often a leader entered degraded mode.
    degraded_mode_entries: usize,
    /// Cancellations confirmed while the state service rejects the leader.
    cancelled_while_rejected: usize,
    /// Election transactions that were executed late.
    delayed_elections: usize,
    /// The node that led when `RejectionsThenOutage` began.
    rejected_leader: Option<usize>,
}

fn zone_of(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "a" } else { "b" }
}

fn member_name(node: usize) -> String {
    format!("controller-{node}")
}

fn node_of(member: &str) -> usize {
    member["controller-".len()..].parse().unwrap()
}

impl FaultRun {
    fn new(faults: &[Fault], seed: u64) -> FaultRun {
        let mut rng = StdRng::seed_from_u64(seed);
        let cfg = config(vec![team(0.0, TEAM_LIMIT_CPUS)], Tuning::default());
        let members = (0..NODES).map(|_| {
            let clock = DriftingClock::random(&mut rng);
            Member {
                clock,
                up: true,
                started_at: clock.read(0.0),
                delegate: Delegate::new(LEASE_S, cfg.renewal_s()),
                leader: None,
                degraded_mode_memory: DegradedModeMemory::default(),
                leadership: None,
                next_duties_at: rng.random_range(0.0..0.5),
                next_hello_at: rng.random_range(0.0..1.0),
            }
        });
        let members = members.collect();
        let hosts = (0..WORKERS).map(|index| {
            let clock = DriftingClock::random(&mut rng);
            Host {
                worker: Worker::new(&format!("m{index}"), zone_of(index)),
                clock,
                lease_renewed_at: clock.read(0.0),
                node: rng.random_range(0..NODES),
                next_heartbeat_at: rng.random_range(0.0..1.0),
                pending_reply: None,
                generation: 0,
                deleted: false,
                task_ends: BTreeMap::new(),
            }
        });
        let hosts = hosts.collect();
        FaultRun {
            t: 0.0,
            rng,
            faults: faults.to_vec(),
            cfg,
            store: Store::default(),
            members,
            hosts,
            delayed: Vec::new(),
            cancelled: Vec::new(),
            launches: 0,
            elections: 0,
            degraded_mode_entries: 0,
            cancelled_while_rejected: 0,
            delayed_elections: 0,
            rejected_leader: None,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        let rejections = self
            .faults
            .iter()
            .find(|f| f.kind == FaultKind::RejectionsThenOutage)
            .copied();
        let run_s = if rejections.is_some() {
            REJECTIONS_RUN_S
        } else {
            RUN_S
        };
        for step in 0..(run_s / STEP_S) as usize {
            self.t = step as f64 * STEP_S;
            if let Some(rejections) = rejections {
                self.begin_rejections(rejections);
            }
            if step % 120 == 10 {
                self.submit_job(step);
            }
            if step % 240 == 130 {
                self.cancel_newest_job();
            }
            self.apply_crashes();
            self.deliver_delayed_messages()?;
            if !self.state_is_out() && self.t > self.store.lease_expires_at {
                self.store.keys.remove(LEADER_KEY);
            }
            for node in 0..NODES {
                self.run_duties(node);
                self.check_deleted_machines(node)?;
            }
            for host in 0..WORKERS {
                self.step_worker(host)?;
            }
        }
        Ok(())
    }

    /// When the fault begins, selects the leader to reject; cancels a job soon after.
    fn begin_rejections(&mut self, rejections: Fault) {
        let begins_in_this_step = |at: f64| at <= self.t && self.t < at + STEP_S;
        if begins_in_this_step(rejections.at) {
            let leads = |m: &Member| m.leadership.as_ref().is_some_and(|l| !l.superseded);
            self.rejected_leader = self.members.iter().position(leads);
        }
        if begins_in_this_step(rejections.at + REJECTED_S / 2.0) {
            let peer_reaches_state =
                (0..NODES).any(|n| Some(n) != self.rejected_leader && self.reaches_state(n));
            if self.rejected_leader.is_some() && peer_reaches_state {
                let count_before = self.cancelled.len();
                self.cancel_newest_job();
                self.cancelled_while_rejected += self.cancelled.len() - count_before;
            }
        }
    }

    /// Whether the state service is unavailable to every node. The outage of
    /// `RejectionsThenOutage` begins when the rejections have ended.
    fn state_is_out(&self) -> bool {
        let rejections_ended =
            |f: &&Fault| f.kind == FaultKind::RejectionsThenOutage && f.ends_at() <= self.t;
        let outage_s = self.cfg.cancel_s + LEASE_S;
        let rejections = self
            .faults
            .iter()
            .find(|f| f.kind == FaultKind::RejectionsThenOutage);
        self.is_active(FaultKind::StateOutage, |_| true)
            || rejections
                .filter(rejections_ended)
                .is_some_and(|f| self.t < f.ends_at() + outage_s)
    }

    fn active_fault(&self, kind: FaultKind, applies: impl Fn(&Fault) -> bool) -> Option<&Fault> {
        let is_active_now =
            |f: &&Fault| f.kind == kind && f.at <= self.t && self.t < f.ends_at() && applies(f);
        self.faults.iter().find(is_active_now)
    }

    fn is_active(&self, kind: FaultKind, applies: impl Fn(&Fault) -> bool) -> bool {
        self.active_fault(kind, applies).is_some()
    }

    /// Until when this worker and this node cannot reach each other, if they cannot.
    fn partitioned_until(&self, host: usize, node: usize) -> Option<f64> {
        let zones_differ = zone_of(host) != zone_of(node);
        self.active_fault(FaultKind::ZonesPartitioned, |_| zones_differ)
            .or_else(|| {
                self.active_fault(FaultKind::WorkerPartitionedFromNode, |f| {
                    f.node == node && f.worker == host
                })
            })
            .or_else(|| self.active_fault(FaultKind::Freeze, |f| f.node == node))
            .or_else(|| {
                self.active_fault(FaultKind::Isolated, |f| {
                    f.leaves_one_worker() && (f.worker == host) != (f.node == node)
                })
            })
            .map(Fault::ends_at)
    }

    fn is_unreachable(&self, host: usize) -> bool {
        self.is_active(FaultKind::WorkerUnreachable, |f| f.worker == host)
    }

    fn peers_are_partitioned(&self, a: usize, b: usize) -> bool {
        let zones_differ = zone_of(a) != zone_of(b);
        self.is_active(FaultKind::ZonesPartitioned, |_| zones_differ)
            || self.is_active(FaultKind::PeersPartitioned, |f| f.node == a || f.node == b)
            || self.is_active(FaultKind::Isolated, |f| f.node == a || f.node == b)
            || self.is_active(FaultKind::Freeze, |f| f.node == a || f.node == b)
    }

    fn reaches_state(&self, node: usize) -> bool {
        let affected_by = |kind| self.is_active(kind, |f| f.node == node);
        let rejecting = self.active_fault(FaultKind::RejectionsThenOutage, |f| {
            f.rejects_leader_at(self.t)
        });
        let is_rejected = rejecting.is_some() && self.rejected_leader == Some(node);
        !self.state_is_out()
            && !affected_by(FaultKind::StateRejectsNode)
            && !affected_by(FaultKind::Isolated)
            && !is_rejected
    }

    fn unix_ms(&self) -> u64 {
        (self.t * 1000.0) as u64
    }

    fn submit_job(&mut self, step: usize) {
        let record = job_record(spec(&format!("req-{step}"), 12, TASK_CPUS));
        let key = job_key(&record.spec.id);
        let txn = umbersail_wire::Txn {
            conditions: vec![],
            changes: vec![Change::Put {
                key,
                value: Record::Job(record),
                lease: None,
            }],
        };
        self.store.apply(&txn);
    }

    fn cancel_newest_job(&mut self) {
        let Some((job, version)) = self.store.jobs().pop() else {
            return;
        };
        let id = job.spec.id;
        let ended_job = EndedJobRecord {
            outcome: Outcome::Cancelled,
            done: 0,
        };
        let outcome = self.store.apply(&umbersail_wire::Txn {
            conditions: vec![umbersail_wire::Condition {
                key: job_key(&id),
                version,
            }],
            changes: vec![
                Change::Delete { key: job_key(&id) },
                Change::Put {
                    key: ended_job_key(&id),
                    value: Record::EndedJob(ended_job),
                    lease: None,
                },
            ],
        });
        assert!(matches!(outcome, TxnOutcome::Applied { .. }));
        self.cancelled.push((id, self.t));
    }

    /// Applies crashes and restarts. An outage gives the lease its full time again.
    fn apply_crashes(&mut self) {
        let ttl_s = self.cfg.tuning.leader_ttl_s;
        if self.state_is_out() {
            self.store.lease_expires_at = self.store.lease_expires_at.max(self.t + ttl_s);
        }
        for node in 0..NODES {
            let down = self.is_active(FaultKind::Crash, |f| f.node == node)
                || self.is_active(FaultKind::BriefCrash, |f| f.node == node);
            let member = &mut self.members[node];
            if down && member.up {
                member.up = false;
                member.leadership = None;
                member.leader = None;
            } else if !down && !member.up {
                member.up = true;
                member.started_at = member.clock.read(self.t);
                member.delegate = Delegate::new(LEASE_S, self.cfg.renewal_s());
                member.degraded_mode_memory = DegradedModeMemory::default();
            }
        }
    }

    fn deliver_delayed_messages(&mut self) -> Result<(), String> {
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(delivered_at, _)| *delivered_at <= self.t);
        self.delayed = later;
        let due: Vec<(f64, Delayed)> = due;
        for (_, message) in due {
            match message {
                // The worker has abandoned this heartbeat and ignores the answer.
                Delayed::Heartbeat { node, heartbeat } => {
                    let frozen = self.is_active(FaultKind::Freeze, |f| f.node == node);
                    if !frozen {
                        drop(self.deliver_heartbeat(node, &heartbeat, false)?);
                    }
                }
                Delayed::DirectCommand {
                    host,
                    generation,
                    token,
                    session,
                } => {
                    if self.hosts[host].generation == generation && !self.update_deletion(host) {
                        self.execute_direct_command(host, token, session);
                    }
                }
                Delayed::Txn(txn) => drop(self.store.apply(&txn)),
                Delayed::Election(txn) => {
                    if let TxnOutcome::Applied { .. } = self.store.apply(&txn) {
                        self.store.lease_expires_at = self.t + self.cfg.tuning.leader_ttl_s;
                        self.delayed_elections += 1;
                    }
                }
                Delayed::HelloReply {
                    to,
                    asked_at,
                    hello,
                } => {
                    if self.members[to].up && !self.is_active(FaultKind::Freeze, |f| f.node == to) {
                        self.on_hello_reply(to, asked_at, &hello);
                    }
                }
            }
        }
        Ok(())
    }

    fn observe_leader(&mut self, node: usize, leader: usize, revision: u64) {
        let member = &mut self.members[node];
        if member.leader.is_some_and(|(_, known)| known >= revision) {
            return;
        }
        member.leader = Some((leader, revision));
        member.delegate.on_newer_leader(revision);
        if let Some(leadership) = &mut member.leadership
            && leadership.engine.revision() < revision
        {
            leadership.superseded = true;
        }
    }

    /// The periodic duties of a node, about twice a second, and its hello messages to peers.
    fn run_duties(&mut self, node: usize) {
        let frozen = self.is_active(FaultKind::Freeze, |f| f.node == node);
        if !self.members[node].up || frozen {
            return;
        }
        if self.t >= self.members[node].next_hello_at {
            self.members[node].next_hello_at = self.t + self.rng.random_range(0.8..1.2);
            for peer in (0..NODES).filter(|p| *p != node) {
                self.send_hello(node, peer);
            }
        }
        if self.t < self.members[node].next_duties_at {
            return;
        }
        self.members[node].next_duties_at = self.t + self.rng.random_range(0.2..0.7);
        let now = self.members[node].clock.read(self.t);
        if self.reaches_state(node) {
            match self.store.keys.get(LEADER_KEY) {
                Some((Record::Leader(record), revision)) => {
                    let revision = *revision;
                    self.members[node]
                        .degraded_mode_memory
                        .observe_leader_key(revision);
                    let leader = node_of(&record.member);
                    let is_own_record =
                        record.incarnation == self.members[node].started_at.to_bits();
                    let suspects = self.is_active(FaultKind::Suspicions, |f| f.node == node);
                    if suspects && !is_own_record && self.rng.random_bool(0.1) {
                        // The leader may be alive; it continues until it learns of this
                        // election or finds that the leader key has changed (rule 2 of
                        // `docs/design.md`).
                        self.try_election(node, now);
                    } else if leader == node && !is_own_record {
                        // The record is of this node's former process, which has ended, so
                        // that its lease need not be awaited.
                        self.try_election(node, now);
                    } else {
                        self.observe_leader(node, leader, revision);
                        let leads = |l: &Leadership| l.engine.revision() == revision;
                        if is_own_record
                            && self.members[node].leadership.as_ref().is_some_and(leads)
                        {
                            self.renew(node, now);
                        }
                    }
                }
                _ => self.try_election(node, now),
            }
        }
        let term_ended = self.members[node]
            .leadership
            .as_ref()
            .is_some_and(|leadership| {
                let key_replaced = self.reaches_state(node)
                    && self.store.version(LEADER_KEY) != leadership.engine.revision();
                leadership.superseded || leadership.engine.has_lost_leadership() || key_replaced
            });
        if term_ended && let Some(leadership) = self.members[node].leadership.take() {
            let (revision, may_have_unrecorded) = (
                leadership.engine.revision(),
                leadership.degraded_mode.may_have_unrecorded_starts(),
            );
            self.members[node].degraded_mode_memory.on_own_term_ended(
                now,
                revision,
                may_have_unrecorded,
            );
        }
        self.run_degraded_mode(node, now);
        self.run_leader_duties(node, now);
    }

    /// Does what `Node::renew_once` does: a renewal extends the time to answer heartbeats
    /// only if the accepted and cancelled jobs have been read, whatever the watch has
    /// delivered.
    fn renew(&mut self, node: usize, now: Time) {
        let (jobs, unix_ms) = (self.store.jobs(), self.unix_ms());
        let jobs_read = self.rng.random_bool(0.9);
        let tuning = &self.cfg.tuning;
        self.store.lease_expires_at = self.t + tuning.leader_ttl_s;
        if let Some(leadership) = &mut self.members[node].leadership {
            leadership.start_until = now + tuning.leader_ttl_s * (1.0 - tuning.clock_drift) - 0.1;
            if jobs_read {
                leadership.engine.jobs_listed(now, unix_ms, jobs);
                leadership.renew_until = now + self.cfg.renewal_s();
            }
        }
    }

    /// Draws whether a write sent now gets no reply and is executed late.
    fn delays_write(&mut self) -> bool {
        let often = self.is_active(FaultKind::DelayedWrites, |_| true);
        self.rng.random_bool(if often { 0.3 } else { 0.025 })
    }

    fn try_election(&mut self, node: usize, now: Time) {
        if self.members[node].leadership.is_some() || self.rng.random_bool(0.5) {
            return;
        }
        let incarnation = self.members[node].started_at.to_bits();
        let leader = LeaderRecord {
            member: member_name(node),
            incarnation,
        };
        let grant = GrantRecord {
            holder: member_name(node),
            keeps_orphaned_attempts: true,
            plans: false,
        };
        let put = |key: &str, value| Change::Put {
            key: key.into(),
            value,
            lease: None,
        };
        let grant_version = self.store.version(GRANT_KEY);
        let may_have_unrecorded = grant_version > 0
            && self.members[node]
                .degraded_mode_memory
                .may_have_unrecorded_starts(grant_version);
        let predecessor_degraded =
            may_have_unrecorded || self.store.version(RECOVERY_PENDING_KEY) > 0;
        let mut changes = vec![
            put(LEADER_KEY, Record::Leader(leader)),
            put(GRANT_KEY, Record::Grant(grant)),
        ];
        if predecessor_degraded {
            let member = member_name(node);
            let record = Record::RecoveryPending(RecoveryPendingRecord { member });
            changes.push(put(RECOVERY_PENDING_KEY, record));
        }
        let condition = |key: &str| umbersail_wire::Condition {
            key: key.into(),
            version: self.store.version(key),
        };
        let txn = umbersail_wire::Txn {
            conditions: vec![condition(LEADER_KEY), condition(GRANT_KEY)],
            changes,
        };
        if self.delays_write() {
            let executed_at = self.t + self.rng.random_range(0.5..12.0);
            self.delayed.push((executed_at, Delayed::Election(txn)));
            return;
        }
        self.store.apply(&txn);
        self.elections += 1;
        let revision = self.store.revision;
        let mut inherited_state = self.store.inherited_state(revision);
        inherited_state.predecessor_degraded = predecessor_degraded;
        let engine = Engine::new(self.cfg.clone(), now, self.unix_ms(), inherited_state);
        self.members[node].leadership = Some(Leadership {
            engine,
            start_until: 0.0,
            renew_until: 0.0,
            superseded: false,
            degraded_mode: DegradedMode::Off,
            answered_heartbeats: BTreeSet::new(),
            deleted_machines: BTreeSet::new(),
            watch_delivers_at: None,
        });
        self.renew(node, now);
        self.observe_leader(node, node, revision);
    }

    /// Does what `Node::run_degraded_mode` does, except that all peers answer at once.
    fn run_degraded_mode(&mut self, node: usize, now: Time) {
        let reachable = self.reaches_state(node);
        let (t, degraded_mode_s) = (self.t, self.cfg.tuning.degraded_mode_max_s);
        let renewal_s = self.cfg.renewal_s();
        let Some(leadership) = &mut self.members[node].leadership else {
            return;
        };
        let revision = leadership.engine.revision();
        let in_time = now
            < leadership
                .renew_until
                .min(leadership.renew_until - renewal_s + degraded_mode_s);
        match leadership.degraded_mode {
            DegradedMode::Off if !reachable && in_time && !leadership.superseded => {
                leadership.degraded_mode = DegradedMode::Requesting(Default::default());
            }
            DegradedMode::Active if reachable || !in_time => {
                leadership.degraded_mode.stop_starts();
                leadership.engine.set_degraded_mode(false);
                return;
            }
            DegradedMode::Draining if leadership.engine.unrecorded_job_count() == 0 => {
                leadership.degraded_mode.on_all_recorded();
                return;
            }
            _ => return,
        }
        for peer in (0..NODES).filter(|p| *p != node) {
            let state_unreachable = !self.reaches_state(peer);
            let peer_reachable = self.members[peer].up && !self.peers_are_partitioned(node, peer);
            let reply_received = self.rng.random_bool(0.9);
            let member = &mut self.members[peer];
            let peer_now = member.clock.read(t);
            let newest_token = member.leader.map_or(0, |(_, revision)| revision);
            let agreed = peer_reachable && member.leadership.is_none() && {
                member.degraded_mode_memory.agree(
                    peer_now,
                    revision,
                    newest_token,
                    state_unreachable,
                )
            };
            if let Some(leadership) = self.members[node]
                .leadership
                .as_mut()
                .filter(|_| agreed && reply_received)
            {
                leadership
                    .degraded_mode
                    .on_peer_agreed(&member_name(peer), NODES - 1);
            }
        }
        if let Some(leadership) = &mut self.members[node].leadership {
            if leadership.degraded_mode.allows_unrecorded_starts() {
                leadership.engine.set_degraded_mode(true);
                self.degraded_mode_entries += 1;
            } else {
                leadership.degraded_mode = DegradedMode::Off;
            }
        }
    }

    /// A leader's duties: updates the engine, schedules, writes records and sends direct
    /// commands.
    fn run_leader_duties(&mut self, node: usize, now: Time) {
        let (jobs, unix_ms) = (self.store.jobs(), self.unix_ms());
        let reachable = self.reaches_state(node);
        let t = self.t;
        let delay = self.rng.random_range(0.0..MAX_WATCH_DELAY_S);
        let writes_delayed = self.is_active(FaultKind::DelayedWrites, |_| true);
        let Some(leadership) = &mut self.members[node].leadership else {
            return;
        };
        let engine = &mut leadership.engine;
        // An open watch waits while the state service rejects the leader, and delivers some
        // time after the service answers again.
        let delivers_at = *leadership.watch_delivers_at.get_or_insert(t + delay);
        if !reachable {
            leadership.watch_delivers_at = None;
        } else if t >= delivers_at {
            engine.jobs_listed(now, unix_ms, jobs);
            leadership.watch_delivers_at = None;
        }
        engine.tick(now);
        engine.schedule(now);
        if reachable {
            let (jobs, parts) = engine.unknown_versions();
            for id in jobs {
                let exists = self.store.version(&job_key(&id)) > 0;
                engine.version_read(&id, exists, self.store.version(&progress_key(&id)));
            }
            for part in parts {
                engine.part_read(
                    part,
                    self.store.version(&crate::records::grant_part_key(part)),
                );
            }
        }
        for _ in 0..4 {
            let Some(pending) = engine.next_txn(now, 20, 20) else {
                break;
            };
            let delayed = writes_delayed && self.rng.random_bool(0.3);
            let outcome = match self.rng.random_range(0..40) {
                _ if !reachable => TxnOutcome::NotExecuted,
                0 => {
                    self.store.apply(&pending.txn);
                    TxnOutcome::Unknown
                }
                draw if draw == 1 || delayed => {
                    let executed_at = self.t + self.rng.random_range(0.5..30.0);
                    self.delayed
                        .push((executed_at, Delayed::Txn(pending.txn.clone())));
                    TxnOutcome::Unknown
                }
                _ => self.store.apply(&pending.txn),
            };
            let executed = outcome != TxnOutcome::NotExecuted;
            engine.txn_finished(now, pending, outcome);
            if !executed {
                break;
            }
        }
        let mut direct_commands = engine.token_increments(now);
        direct_commands.extend(engine.fencing_commands(now));
        for command in direct_commands {
            self.send_direct_command(node, &command);
        }
    }

    fn send_direct_command(&mut self, node: usize, command: &FencingCommand) {
        let index: usize = command.machine[1..].parse().unwrap();
        let host = index % WORKERS;
        if self.hosts[host].worker.name != command.machine
            || self.is_unreachable(host)
            || self.update_deletion(host)
        {
            return;
        }
        let (token, session) = (command.token, command.session.max(1));
        let delayed_until = self
            .partitioned_until(host, node)
            .or_else(|| {
                self.active_fault(FaultKind::WorkerHangs, |f| f.worker == host)
                    .map(Fault::ends_at)
            })
            .or_else(|| {
                self.active_fault(FaultKind::DirectCommandsDelayed, |f| f.worker == host)
                    .map(Fault::ends_at)
            });
        if let Some(delivered_at) = delayed_until {
            self.delayed.push((
                delivered_at,
                Delayed::DirectCommand {
                    host,
                    generation: self.hosts[host].generation,
                    token,
                    session,
                },
            ));
            return;
        }
        let response = self.execute_direct_command(host, token, session);
        let response_received = self.rng.random_bool(0.9);
        let now = self.members[node].clock.read(self.t);
        if let Some(leadership) = self.members[node]
            .leadership
            .as_mut()
            .filter(|_| response_received)
        {
            leadership.engine.receive_command_response(now, &response);
        }
    }

    /// A worker executes a direct command that carries no task commands, if the command's
    /// session is current. Returns the worker's response.
    fn execute_direct_command(&mut self, host: usize, token: u64, session: u64) -> Heartbeat {
        let t = self.t;
        let unreachable = self.is_unreachable(host);
        let host = &mut self.hosts[host];
        host.expire_lease(t);
        if session == host.worker.session && !unreachable {
            host.worker.token = host.worker.token.max(token);
        }
        host.worker.heartbeat()
    }

    fn send_hello(&mut self, node: usize, peer: usize) {
        if !self.members[peer].up || self.peers_are_partitioned(node, peer) {
            return;
        }
        let asked_at = self.members[node].clock.read(self.t);
        let hello = self.hello(peer, node);
        let known_leader = self.members[node].leader;
        if let Some((leader, revision)) = known_leader {
            self.observe_leader(peer, leader, revision);
        }
        let delay_s = self.rng.random_range(0.0..1.5);
        self.delayed.push((
            self.t + delay_s,
            Delayed::HelloReply {
                to: node,
                asked_at,
                hello,
            },
        ));
    }

    /// Builds the reply of `Node::build_hello_reply`.
    fn hello(&mut self, node: usize, to: usize) -> umbersail_wire::Hello {
        let now = self.members[node].clock.read(self.t);
        let member = &mut self.members[node];
        let (mut renewal_ms, mut ended_jobs) = (None, vec![]);
        if let Some(leadership) = member
            .leadership
            .as_mut()
            .filter(|l| !l.superseded && l.renew_until > now)
            && let Some(jobs) = leadership.engine.finished_jobs()
        {
            ended_jobs = jobs;
            leadership
                .engine
                .delegate_renewals_to(&member_name(to), leadership.renew_until);
            renewal_ms = Some(((leadership.renew_until - now) * 1000.0) as u64);
        }
        umbersail_wire::Hello {
            member: member_name(node),
            incarnation: 0,
            state_reachable: true,
            token: member.leader.map_or(0, |(_, revision)| revision),
            leader: member.leader.map(|(leader, _)| member_name(leader)),
            machine_count: 0,
            progress: vec![],
            renewal_ms,
            ended_jobs,
            uptime_ms: ((now - member.started_at) * 1000.0) as u64,
            renewed: member.delegate.recent_renewals(now),
            is_leader: member.leadership.is_some(),
            unrecorded_starts: (member.leadership.as_ref())
                .is_some_and(|l| l.degraded_mode.may_have_unrecorded_starts()),
            recorded_token: member.degraded_mode_memory.fully_recorded_token(),
            ..umbersail_wire::Hello::default()
        }
    }

    /// Does what `Node::on_hello_reply` does.
    fn on_hello_reply(&mut self, node: usize, asked_at: Time, hello: &umbersail_wire::Hello) {
        let drift = self.cfg.tuning.clock_drift;
        let now = self.members[node].clock.read(self.t);
        if let Some(leader) = &hello.leader {
            self.observe_leader(node, node_of(leader), hello.token);
        }
        let member = &mut self.members[node];
        if let Some(renewal_ms) = hello
            .renewal_ms
            .filter(|_| hello.leader.as_ref() == Some(&hello.member))
        {
            let until = asked_at + renewal_ms as f64 / 1000.0 * (1.0 - drift);
            member
                .delegate
                .on_delegation(hello.token, until, &hello.ended_jobs);
        }
        if hello.is_leader && hello.leader.as_ref() == Some(&hello.member) {
            member.degraded_mode_memory.on_leader_report(
                asked_at,
                hello.token,
                hello.unrecorded_starts,
            );
        } else if let Some(token) = hello.recorded_token {
            // The peer's token counts only if the leader with this token was this node's
            // former process (see `DegradedModeMemory::on_peer_report`).
            let former_self = member.leader == Some((node, token)) && member.leadership.is_none();
            member
                .degraded_mode_memory
                .on_peer_report(token, former_self);
        }
        if let Some(leadership) = &mut member.leadership {
            let uptime_s = hello.uptime_ms as f64 / 1000.0;
            leadership.engine.record_delegated_renewals(
                now,
                &hello.member,
                asked_at,
                uptime_s,
                &hello.renewed,
            );
        }
    }

    /// Advances a worker by one step: its lease, its tasks and its heartbeats.
    fn step_worker(&mut self, index: usize) -> Result<(), String> {
        let t = self.t;
        if self.update_deletion(index)
            || self.is_active(FaultKind::WorkerHangs, |f| f.worker == index)
        {
            return Ok(());
        }
        for (id, cancelled_at) in &self.cancelled {
            let is_running_task_of_job = |r: &TaskReport| {
                r.task.starts_with(&format!("{id}/")) && r.state != TaskState::Exited
            };
            let host = &self.hosts[index];
            if t > cancelled_at + self.cfg.cancel_s
                && host.has_lease(t)
                && host.worker.tasks.iter().any(is_running_task_of_job)
            {
                return Err(format!(
                    "{t:.1}: {id} still runs on m{index} after its cancellation"
                ));
            }
        }
        let host = &mut self.hosts[index];
        host.expire_lease(t);
        host.task_ends.retain(|(task, attempt), end| {
            if *end <= t {
                host.worker.exit(task, Some(*attempt), ExitCause::Done);
            }
            *end > t
        });
        if host
            .pending_reply
            .as_ref()
            .is_some_and(|r| r.arrives_at <= t)
        {
            let reply = host.pending_reply.take().unwrap();
            self.apply_reply(index, reply)?;
        }
        if t >= self.hosts[index].next_heartbeat_at && self.hosts[index].pending_reply.is_none() {
            self.send_heartbeat(index)?;
        }
        Ok(())
    }

    fn apply_reply(&mut self, index: usize, reply: Reply) -> Result<(), String> {
        let t = self.t;
        let host = &self.hosts[index];
        let timed_out = t - reply.sent_at > REPLY_TIMEOUT_S;
        if timed_out || reply.session != host.worker.session || reply.token < host.worker.token {
            return Ok(());
        }
        for task in started_tasks(&reply.commands) {
            self.check_start(index, &task)?;
        }
        let host = &mut self.hosts[index];
        host.lease_renewed_at = host.clock.read(reply.sent_at);
        let task_count_before = host.worker.tasks.len();
        host.worker.apply_commands(reply.token, &reply.commands);
        for started_task in &host.worker.tasks[task_count_before.min(host.worker.tasks.len())..] {
            // Some tasks outlast the renewal time and the time after it.
            let long_running = self.rng.random_bool(0.15);
            let end = t + self
                .rng
                .random_range(4.0..if long_running { 75.0 } else { 25.0 });
            host.task_ends
                .insert((started_task.task.clone(), started_task.attempt), end);
        }
        self.launches += started_tasks(&reply.commands).len();
        let hosts_with_lease = self.hosts.iter().filter(|h| h.has_lease(t));
        let running: usize = hosts_with_lease
            .map(|h| {
                h.worker
                    .tasks
                    .iter()
                    .filter(|r| r.state != TaskState::Exited)
                    .count()
            })
            .sum();
        if running as f64 * TASK_CPUS > TEAM_LIMIT_CPUS {
            return Err(format!(
                "{t:.1}: {running} tasks run, which exceeds the team's limit"
            ));
        }
        Ok(())
    }

    /// Checks that no other worker runs the task or can still receive a command to start
    /// it, and that the task's job was not cancelled too long ago.
    fn check_start(&self, index: usize, task: &str) -> Result<(), String> {
        for (other, host) in self.hosts.iter().enumerate().filter(|(i, _)| *i != index) {
            if host.runs_task(self.t, task) || host.may_start(self.t, task) {
                return Err(format!(
                    "{:.1}: {task} starts on m{index} while m{other} may run it",
                    self.t
                ));
            }
        }
        let ended_before_now = |(id, cancelled_at): &(String, f64)| {
            task.starts_with(&format!("{id}/")) && self.t > cancelled_at + self.cfg.cancel_s
        };
        if self.cancelled.iter().any(ended_before_now) {
            return Err(format!(
                "{:.1}: {task} starts after its cancellation",
                self.t
            ));
        }
        Ok(())
    }

    fn send_heartbeat(&mut self, index: usize) -> Result<(), String> {
        let t = self.t;
        let node = self.hosts[index].node;
        let heartbeat = self.hosts[index].worker.heartbeat();
        let (sent_at, session) = (t, heartbeat.session);
        if self.is_active(FaultKind::HeartbeatsDuplicated, |f| f.worker == index) {
            // The duplicate arrives at the same node or at any other, like a packet that was
            // repeated on another route.
            let to = self.rng.random_range(0..2 * NODES);
            let copy = Delayed::Heartbeat {
                node: if to < NODES { to } else { node },
                heartbeat: heartbeat.clone(),
            };
            let earliest = self
                .partitioned_until(index, node)
                .map_or(t, |end| end.max(t));
            // Half of the duplicates arrive while the reply to the original still matters.
            let within_second = self.rng.random_bool(0.5);
            let delay_s = self
                .rng
                .random_range(0.1..if within_second { 1.0 } else { 3.0 * LEASE_S });
            self.delayed.push((earliest + delay_s, copy));
        }
        if let Some(end) = self.partitioned_until(index, node) {
            self.delayed
                .push((end, Delayed::Heartbeat { node, heartbeat }));
            self.retry_on_next_node(index, REPLY_TIMEOUT_S + 1.0);
            return Ok(());
        }
        if !self.members[node].up {
            self.retry_on_next_node(index, 1.0);
            return Ok(());
        }
        match self.deliver_heartbeat(node, &heartbeat, true)? {
            HeartbeatOutcome::Reply(token, commands) => {
                for task in started_tasks(&commands) {
                    self.check_start(index, &task)?;
                }
                let lost = self.is_active(FaultKind::RepliesLost, |f| f.worker == index)
                    || self.is_unreachable(index);
                if lost || self.rng.random_bool(0.02) {
                    self.retry_on_next_node(index, REPLY_TIMEOUT_S + 1.0);
                    return Ok(());
                }
                let slow_reply = self.rng.random_bool(0.05);
                let delay = self
                    .rng
                    .random_range(0.0..if slow_reply { 5.0 } else { 0.2 });
                let token_changed = token > self.hosts[index].worker.token;
                let host = &mut self.hosts[index];
                host.next_heartbeat_at = t + if token_changed {
                    delay + 0.5
                } else {
                    self.rng.random_range(0.75..1.25)
                };
                host.pending_reply = Some(Reply {
                    arrives_at: t + delay,
                    sent_at,
                    session,
                    token,
                    commands,
                });
            }
            HeartbeatOutcome::Redirected(_) if self.is_unreachable(index) => {
                self.retry_on_next_node(index, REPLY_TIMEOUT_S + 1.0)
            }
            HeartbeatOutcome::Redirected(to) => {
                self.hosts[index].node = to;
                self.hosts[index].next_heartbeat_at = t + 0.2;
            }
            HeartbeatOutcome::Rejected => self.retry_on_next_node(index, 1.0),
        }
        Ok(())
    }

    /// Checks that no deleted machine may receive tasks or counts as capacity because of a
    /// late heartbeat.
    fn check_deleted_machines(&self, node: usize) -> Result<(), String> {
        let now = self.members[node].clock.read(self.t);
        let Some(leadership) = &self.members[node].leadership else {
            return Ok(());
        };
        let silent_after = leadership.engine.silence_limit_s();
        for (name, machine) in &leadership.engine.machines {
            let exists = |h: &Host| !h.deleted && h.worker.name == **name;
            let counts_as_capacity = machine.accepts_tasks(now, silent_after)
                || (machine.confirmed && machine.grant_part.is_none());
            if counts_as_capacity && !self.hosts.iter().any(exists) {
                return Err(format!(
                    "{:.1}: {name} is deleted but counted as capacity",
                    self.t
                ));
            }
        }
        Ok(())
    }

    /// Deletes or replaces the machine if due, and returns whether it is deleted and not
    /// yet replaced. The leader at the time of the deletion learns of it; a later leader
    /// does not.
    fn update_deletion(&mut self, index: usize) -> bool {
        let deletion_ended = |f: &&Fault| {
            f.kind == FaultKind::MachineDeleted && f.worker == index && f.ends_at() <= self.t
        };
        let generation = self.faults.iter().filter(deletion_ended).count();
        let is_being_deleted = self.is_active(FaultKind::MachineDeleted, |f| f.worker == index);
        let t = self.t;
        let host = &mut self.hosts[index];
        if generation > host.generation {
            host.generation = generation;
            let name = format!("m{}", index + WORKERS * generation);
            host.worker = Worker::new(&name, zone_of(index));
            host.lease_renewed_at = host.clock.read(t);
        }
        if is_being_deleted && !host.deleted {
            host.worker.tasks.clear();
            host.task_ends.clear();
            host.pending_reply = None;
            let name = host.worker.name.clone();
            for member in &mut self.members {
                if let Some(leadership) = &mut member.leadership {
                    leadership.deleted_machines.insert(name.clone());
                    leadership
                        .engine
                        .machines_deleted(std::slice::from_ref(&name));
                }
            }
        }
        self.hosts[index].deleted = is_being_deleted;
        is_being_deleted
    }

    fn retry_on_next_node(&mut self, index: usize, delay_s: f64) {
        let host = &mut self.hosts[index];
        host.node = (host.node + 1) % NODES;
        host.next_heartbeat_at = self.t + delay_s;
    }

    /// A node receives a heartbeat: it answers as the leader, relays the heartbeat to the
    /// leader, or renews the lease as a delegate (`front.rs`, `peers.rs`).
    fn deliver_heartbeat(
        &mut self,
        node: usize,
        heartbeat: &Heartbeat,
        may_redirect: bool,
    ) -> Result<HeartbeatOutcome, String> {
        if !self.members[node].up {
            return Ok(HeartbeatOutcome::Rejected);
        }
        if self.members[node].leadership.is_some() {
            let redirects_to_zone =
                zone_of(node) != heartbeat.zone && may_redirect && self.rng.random_bool(0.3);
            let zone_delegate = (0..NODES).find(|n| zone_of(*n) == heartbeat.zone);
            return Ok(match zone_delegate.filter(|_| redirects_to_zone) {
                Some(zone_delegate) => HeartbeatOutcome::Redirected(zone_delegate),
                None => self.answer_as_leader(node, heartbeat)?,
            });
        }
        let Some((leader, _)) = self.members[node].leader.filter(|(l, _)| *l != node) else {
            return Ok(HeartbeatOutcome::Rejected);
        };
        let peers_partitioned = self.peers_are_partitioned(node, leader);
        if may_redirect
            && !peers_partitioned
            && zone_of(node) != heartbeat.zone
            && self.rng.random_bool(0.7)
        {
            return Ok(HeartbeatOutcome::Redirected(leader));
        }
        if !peers_partitioned && self.members[leader].up && !self.rng.random_bool(0.03) {
            let answer = self.answer_as_leader(leader, heartbeat)?;
            if matches!(answer, HeartbeatOutcome::Reply(..)) {
                // Otherwise the leader's reply is lost, and the delegate renews the lease.
                if self.rng.random_bool(0.97) {
                    self.members[node].delegate.on_relayed_reply(heartbeat);
                    return Ok(answer);
                }
            } else {
                return Ok(HeartbeatOutcome::Redirected(leader));
            }
        }
        let now = self.members[node].clock.read(self.t);
        let delegate = &mut self.members[node].delegate;
        Ok(match delegate.renew(now, heartbeat) {
            Some(token) => {
                HeartbeatOutcome::Reply(token, delegate.stop_commands(heartbeat, |_| false))
            }
            None => HeartbeatOutcome::Redirected(leader),
        })
    }

    /// Does what `Node::accept_heartbeat` does.
    fn answer_as_leader(
        &mut self,
        node: usize,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatOutcome, String> {
        let (t, now) = (self.t, self.members[node].clock.read(self.t));
        let Some(leadership) = &mut self.members[node].leadership else {
            return Ok(HeartbeatOutcome::Rejected);
        };
        leadership.superseded |= epoch(heartbeat.token) > leadership.engine.revision();
        if leadership.superseded
            || now >= leadership.renew_until
            || !leadership.engine.receive_heartbeat(now, heartbeat)
        {
            return Ok(HeartbeatOutcome::Rejected);
        }
        let machine = &heartbeat.machine;
        if !leadership
            .answered_heartbeats
            .insert((machine.clone(), heartbeat.ordering_key()))
        {
            return Err(format!(
                "{t:.1}: a duplicate heartbeat from {machine} is answered"
            ));
        }
        if leadership.deleted_machines.contains(machine) {
            return Err(format!(
                "{t:.1}: a heartbeat of the deleted {machine} is accepted"
            ));
        }
        let may_start =
            leadership.degraded_mode.allows_unrecorded_starts() || now < leadership.start_until;
        let commands = leadership.engine.reply(now, heartbeat, may_start);
        Ok(HeartbeatOutcome::Reply(
            leadership.engine.token_for(&heartbeat.machine),
            commands,
        ))
    }
}

/// A controller's response to a heartbeat.
enum HeartbeatOutcome {
    /// The fencing token and the commands of the reply.
    Reply(u64, Vec<Command>),
    /// The index of the controller that the worker is redirected to.
    Redirected(usize),
    Rejected,
}

#[test]
fn no_task_runs_twice_under_any_sequence_of_faults() {
    // Guards against lease arithmetic that holds in every case with a test of its own, but
    // not in all cases.
    let cases = std::env::var("UMBERSAIL_CASES").ok();
    let cases = cases.and_then(|c| c.parse().ok()).unwrap_or(CASES);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (prop::collection::vec(any_fault(), 1..7), any::<u64>());
    let totals = std::cell::Cell::new((0usize, 0usize, 0usize, 0usize));
    let rare_events = std::cell::Cell::new((0usize, 0usize));
    let first_failing_case = std::cell::Cell::new(None);
    let result = runner.run(&strategy, |(faults, seed)| {
        let mut run = FaultRun::new(&faults, seed);
        let outcome = run.run();
        let (cases_run, launches, elections, degraded_mode_entries) = totals.get();
        totals.set((
            cases_run + 1,
            launches + run.launches,
            elections + run.elections,
            degraded_mode_entries + run.degraded_mode_entries,
        ));
        let (cancelled_while_rejected, delayed_elections) = rare_events.get();
        rare_events.set((
            cancelled_while_rejected + run.cancelled_while_rejected,
            delayed_elections + run.delayed_elections,
        ));
        outcome.map_err(|reason| {
            // Cases after the first failure only shrink that failure.
            first_failing_case.set(first_failing_case.get().or(Some(cases_run + 1)));
            TestCaseError::fail(reason)
        })
    });
    if let Err(failure) = result {
        panic!("case {:?}: {failure}", first_failing_case.get());
    }
    let (cases_run, launches, elections, degraded_mode_entries) = totals.get();
    // Guards against runs in which nothing happens.
    assert!(
        launches > 20 * cases_run
            && elections > cases_run
            && degraded_mode_entries > cases_run / 20
    );
    let (cancelled_while_rejected, delayed_elections) = rare_events.get();
    assert!(
        cancelled_while_rejected > cases_run / 20 && delayed_elections > 0,
        "{rare_events:?}"
    );
}
