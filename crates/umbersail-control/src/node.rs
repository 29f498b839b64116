//! One controller process: its clients, its role, and its long-lived tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use rand::Rng;
use tracing::{info, warn};
use umbersail_http::{Client, Handler, serve};
use umbersail_runtime::{
    Broadcast, Clock, Notify, Routine, TcpListener, Time, random, sleep, spawn,
};
use umbersail_standby::{
    DegradedMode, DegradedModeMemory, DetectorTimeouts, FailureDetector, TimerLag,
};
use umbersail_tuning::Tuning;
use umbersail_wire::MachineType;

use crate::all_replica_read::AllReplicaReads;
use crate::capacity::{cloud_client, key_value_client, peer_client, worker_client};
use crate::cloud::CloudClient;
use crate::delegate::Delegate;
use crate::engine::{Engine, EngineConfig};
use crate::leader::LeaderLease;
use crate::polls::BatchedPolls;
use crate::records::{CATALOGUE_KEY, CatalogueRecord};
use crate::redirects::RedirectTracker;
use crate::retry_backoff::RetryBackoff;
use crate::settings::Settings;
use crate::state::{KeyValueClient, RequestPriority};
use crate::terminal_cache::TerminalCache;

/// What this node is just now.
pub(crate) enum Role {
    Following,
    Leading(Box<LeaderState>),
}

/// The leader's part.
pub(crate) struct LeaderState {
    pub engine: Engine,
    pub lease: Rc<LeaderLease>,
    /// The engine knows what was accepted and cancelled up to this revision.
    pub jobs_revision: Cell<u64>,
    pub superseded: Cell<bool>,
}

impl LeaderState {
    pub fn new(engine: Engine, lease: Rc<LeaderLease>, jobs_revision: u64) -> LeaderState {
        LeaderState {
            engine,
            lease,
            jobs_revision: Cell::new(jobs_revision),
            superseded: Cell::new(false),
        }
    }
}

/// What was last heard of a peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerState {
    pub heard_at: Option<Time>,
    pub state_reachable: bool,
    /// Its last answer to us.
    pub answered_at: Option<Time>,
    /// What was last handed on to it had no answer at all, and it has not
    /// answered since.
    pub unresponsive: bool,
    /// How long its process had run when it was last heard of, and how late
    /// its timers fired, seconds.
    pub uptime_s: f64,
    pub lag_s: f64,
    /// When the state service last answered it, on our clock.
    pub store_answer_at: Option<Time>,
}

/// The leader's newest word on unfinished jobs: tasks done and running.
#[derive(Debug, Default)]
pub(crate) struct ReportedProgress {
    pub at: Option<Time>,
    pub jobs: BTreeMap<String, (u32, u32)>,
}

/// Everything that the routines of one process share.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) tuning: Rc<Tuning>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) kv: KeyValueClient,
    pub(crate) cloud: CloudClient,
    /// For workers.
    pub(crate) worker_http: Client,
    pub(crate) peer_http: Client,
    pub(crate) incarnation: u64,
    pub(crate) role: RefCell<Role>,
    /// The newest leader that we know of, with its token.
    pub(crate) leader: RefCell<Option<(String, u64)>>,
    pub(crate) machine_types: RefCell<Vec<MachineType>>,
    pub(crate) peers: RefCell<BTreeMap<String, PeerState>>,
    pub(crate) terminal_cache: RefCell<TerminalCache>,
    pub(crate) batched_polls: BatchedPolls,
    pub(crate) all_replica_reads: AllReplicaReads,
    pub(crate) redirects: RefCell<RedirectTracker>,
    /// Workers that we sent to other nodes because we are isolated, or lead no more.
    pub(crate) handed_off_workers: RefCell<RedirectTracker>,
    /// When somebody was last heard of whom a cut of our zone would keep from us: the
    /// balancer, a user, a worker of another zone.
    pub(crate) outside_contact_at: Cell<Time>,
    /// The last successor that we named while we led.
    pub(crate) last_designated: RefCell<Option<String>>,
    pub(crate) delegate: RefCell<Delegate>,
    pub(crate) started_at: Time,
    pub(crate) reported_progress: RefCell<ReportedProgress>,
    pub(crate) retry_backoff: RefCell<RetryBackoff>,
    /// Front connections kept for workers, by the number of machines.
    pub(crate) reserved_sockets: Rc<Cell<usize>>,
    /// Wakes the leader's scheduler.
    pub(crate) scheduler_wakeup: Notify,
    /// Raised when the leader has planned or recorded something.
    pub(crate) scheduler_progress: Broadcast,
    /// Wakes the leader's failure detector: we may not be it any more.
    pub(crate) step_down: Notify,
    /// What speaks against the leader.
    pub(crate) failure_detector: RefCell<FailureDetector>,
    pub(crate) suspected: Notify,
    /// The version of a leader's key that is to be replaced.
    pub(crate) confirmed_failure: Cell<Option<u64>>,
    pub(crate) campaign_requested: Notify,
    /// An election of ours is under way: what it says of starts without a record holds
    /// only if we agree to none meanwhile.
    pub(crate) campaigning: Cell<bool>,
    /// The version of the newest leader's key that was read, and its process.
    pub(crate) leader_key_read: Cell<Option<(u64, u64)>>,
    /// Whom the leader named to lead after it.
    pub(crate) designated_successor: RefCell<Option<String>>,
    /// We lead, and want another to.
    pub(crate) resigning: Cell<bool>,
    /// Having handed the lead over, we don't take it back before then.
    pub(crate) step_down_backoff_until: Cell<Time>,
    pub(crate) timer_lag: Cell<TimerLag>,
    /// What we know of a holder's starts without a record, and our own.
    pub(crate) degraded_mode_record: RefCell<DegradedModeMemory>,
    pub(crate) degraded_mode: RefCell<DegradedMode>,
    /// Raised when we begin or cease to lead, or want another to.
    pub(crate) role_changed: Broadcast,
}

/// Runs a node until the process is killed.
///
/// # Errors
/// If one of its addresses can't be listened at.
pub async fn run(settings: Settings, tuning: Tuning, clock: Rc<dyn Clock>) -> std::io::Result<()> {
    let front = TcpListener::bind(settings.front)?;
    let back = TcpListener::bind(settings.back)?;
    let node = Node::new(settings, tuning, clock);
    info!(
        member = node.settings.member,
        zone = node.settings.zone,
        front = %node.settings.front,
        "controller starts"
    );
    let (limits, back_limits) = node.server_limits();
    let front_node = node.clone();
    let handler: Handler =
        Rc::new(move |request| Box::pin(front_node.clone().handle_front_request(request)));
    let back_node = node.clone();
    let back_handler: Handler =
        Rc::new(move |request| Box::pin(back_node.clone().handle_peer_request(request)));
    spawn(serve(front, limits, handler));
    spawn(serve(back, back_limits, back_handler));
    spawn(node.clone().load_machine_types());
    spawn(node.clone().probe_store());
    spawn(node.clone().measure_timer_lag());
    spawn(node.clone().watch_leader());
    spawn(node.clone().run_failure_detector());
    for peer in node.settings.peers.clone() {
        spawn(node.clone().exchange_hellos(peer));
    }
    match node.run_elections().await {}
}

impl Node {
    fn new(settings: Settings, tuning: Tuning, clock: Rc<dyn Clock>) -> Rc<Node> {
        let facts = &settings.facts;
        let node = Rc::new(Node {
            tuning: Rc::new(tuning.clone()),
            kv: key_value_client(&tuning, &settings, clock.clone()),
            cloud: cloud_client(&tuning, &settings, clock.clone()),
            worker_http: worker_client(&tuning, &settings),
            peer_http: peer_client(&tuning, &settings),
            incarnation: random(|rng| rng.random()),
            role: RefCell::new(Role::Following),
            leader: RefCell::new(None),
            machine_types: RefCell::new(Vec::new()),
            peers: RefCell::new(BTreeMap::new()),
            batched_polls: BatchedPolls::default(),
            all_replica_reads: AllReplicaReads::default(),
            terminal_cache: RefCell::new(TerminalCache::new(tuning.max_ended_jobs as usize)),
            redirects: RefCell::new(RedirectTracker::new(
                tuning.relay_detect_s,
                tuning.relay_duration_s,
            )),
            handed_off_workers: RefCell::new(RedirectTracker::new(
                tuning.relay_detect_s,
                tuning.relay_duration_s,
            )),
            outside_contact_at: Cell::new(f64::MIN),
            last_designated: RefCell::default(),
            delegate: RefCell::new(Delegate::new(
                facts.workers.lease_s,
                tuning.renewal_s(facts.workers.cancel_s, facts.workers.lease_s),
            )),
            started_at: clock.now(),
            reported_progress: RefCell::default(),
            retry_backoff: RefCell::default(),
            reserved_sockets: Rc::default(),
            scheduler_wakeup: Notify::default(),
            scheduler_progress: Broadcast::default(),
            step_down: Notify::default(),
            failure_detector: RefCell::new(failure_detector(&tuning)),
            suspected: Notify::default(),
            confirmed_failure: Cell::default(),
            campaign_requested: Notify::default(),
            campaigning: Cell::default(),
            leader_key_read: Cell::default(),
            designated_successor: RefCell::default(),
            resigning: Cell::default(),
            step_down_backoff_until: Cell::new(f64::MIN),
            timer_lag: Cell::default(),
            degraded_mode_record: RefCell::default(),
            degraded_mode: RefCell::default(),
            role_changed: Broadcast::default(),
            clock,
            settings,
        });
        node.apply_rate_limits(false);
        node
    }

    pub(crate) fn engine_config(&self) -> EngineConfig {
        let facts = &self.settings.facts;
        let aims = facts
            .objectives
            .iter()
            .filter_map(|o| Some((o.class.clone(), o.within_s?)));
        let mut late_aims: BTreeMap<String, f64> = BTreeMap::new();
        for objective in &facts.objectives {
            if let (Some(class), Some(times)) = (&objective.class, objective.times)
                && times > 1.0
            {
                let most = late_aims.entry(class.clone()).or_insert(times);
                *most = most.max(times);
            }
        }
        EngineConfig {
            member: self.settings.member.clone(),
            teams: self.settings.team_limits(),
            start_objectives: aims
                .clone()
                .filter_map(|(class, within)| Some((class?, within)))
                .collect(),
            deadline_factors: late_aims,
            guarantee_start_objective: aims
                .filter(|(class, _)| class.is_none())
                .map(|(_, within)| within)
                .reduce(f64::min),
            heartbeat_interval_s: facts.workers.report_s,
            lease_s: facts.workers.lease_s,
            cancel_s: facts.workers.cancel_s,
            cloud_list_lag_s: facts.cloud.list_lag_s,
            max_txn_changes: facts.state.txn_ops,
            max_value_bytes: (facts.state.value_kb * 1024.0) as usize,
            max_clock_skew_ms: facts.skew_ms,
            slice_steps: (facts.resources.cpu * self.tuning.slice_s * 1e9 / self.tuning.step_ns)
                as u64,
            tuning: self.tuning.clone(),
        }
    }

    /// The member that leads, as far as we know.
    pub(crate) fn leader_name(&self) -> Option<String> {
        self.leader.borrow().as_ref().map(|(name, _)| name.clone())
    }

    /// Takes in word of a leader; an older one than known is ignored.
    pub(crate) fn observe_leader(&self, member: &str, token: u64) {
        let mut leader = self.leader.borrow_mut();
        if leader.as_ref().is_some_and(|(_, known)| *known >= token) {
            return;
        }
        if leader.as_ref().is_none_or(|(name, _)| name != member) {
            info!(leader = member, token, "new leader");
        }
        *leader = Some((member.to_owned(), token));
        drop(leader);
        self.delegate.borrow_mut().on_newer_leader(token);
        self.failure_detector
            .borrow_mut()
            .observe_leader(self.clock.now(), token);
        if let Role::Leading(leading) = &*self.role.borrow()
            && leading.engine.revision() < token
        {
            leading.superseded.set(true);
            self.step_down.notify();
        }
    }

    /// Learns the machine types once: from a leader's record, else from the
    /// cloud.
    async fn load_machine_types(self: Rc<Self>) {
        while self.machine_types.borrow().is_empty() {
            let recorded = self
                .kv
                .get::<CatalogueRecord>(CATALOGUE_KEY, RequestPriority::Background)
                .await;
            let types = match recorded {
                Ok(Some((record, _))) => Some(record.types),
                _ => self.cloud.catalogue().await,
            };
            match types {
                Some(types) if !types.is_empty() => {
                    info!(types = types.len(), "machine types known");
                    *self.machine_types.borrow_mut() = types;
                    return;
                }
                _ => {
                    let pause = random(|rng| rng.random_range(0.5..1.5));
                    warn!("machine types not known yet: neither state service nor cloud tells");
                    sleep(pause).await;
                }
            }
        }
    }

    async fn run_elections(self: Rc<Self>) -> std::convert::Infallible {
        loop {
            let former = self.clone().follow().await;
            self.clone().campaign(former).await;
        }
    }
}

fn failure_detector(tuning: &Tuning) -> FailureDetector {
    FailureDetector::new(DetectorTimeouts {
        stagger_s: tuning.standby_rank_delay_s,
        probe_timeout_s: tuning.leader_answer_timeout_s,
        unresponsive_probe_timeout_s: tuning.silent_leader_answer_timeout_s,
        post_election_grace_s: tuning.election_settle_s,
        probe_slack_s: tuning.leader_answer_slack_s,
        probe_backoff_s: tuning.suspicion_cleared_s,
    })
}

/// Routines that end together.
#[derive(Default)]
pub(crate) struct TaskGroup(Vec<Routine>);

impl TaskGroup {
    pub fn start(&mut self, duty: impl Future<Output = ()> + 'static) {
        self.0.push(spawn(duty));
    }

    pub fn cancel(self) {
        for routine in self.0 {
            routine.cancel();
        }
    }
}
