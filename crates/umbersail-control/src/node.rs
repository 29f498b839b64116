//! One controller process: its clients, its role (leader or follower), and its long-lived
//! tasks.

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
use umbersail_wire::{MachineType, TaskCounts};

use crate::all_replica_read::AllReplicaReads;
use crate::capacity::{cloud_client, key_value_client, peer_client, worker_client};
use crate::cloud::CloudClient;
use crate::delegate::Delegate;
use crate::engine::{Engine, EngineConfig};
use crate::leader::LeaderLease;
use crate::peer_clock::PeerClock;
use crate::polls::BatchedPolls;
use crate::records::{CATALOGUE_KEY, CatalogueRecord};
use crate::redirects::RedirectTracker;
use crate::retry_backoff::RetryBackoff;
use crate::settings::Settings;
use crate::state::{KeyValueClient, RequestPriority};
use crate::terminal_cache::TerminalCache;

/// The current role of this node.
pub(crate) enum Role {
    /// This node follows the leader, or waits for an election.
    Following,
    /// This node is the leader.
    Leading(Box<LeaderState>),
}

/// State that exists only while this node leads.
pub(crate) struct LeaderState {
    pub engine: Engine,
    pub lease: Rc<LeaderLease>,
    /// Revision up to which the engine knows all accepted and cancelled jobs.
    pub jobs_revision: Cell<u64>,
    /// A newer leader was observed.
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

/// The last known state of a peer, which is another controller.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerState {
    /// Relation between this node's clock and that of the peer's process.
    pub clock: Option<PeerClock>,
    /// When the peer sent its newest message, at the earliest.
    pub heard_at: Option<Time>,
    /// Whether the peer reported that it reaches the state service.
    pub state_reachable: bool,
    /// When the peer last replied to a hello message of this node, at the earliest.
    pub answered_at: Option<Time>,
    /// The last request relayed to the peer had no response at all, and the peer has not
    /// responded since.
    pub unresponsive: bool,
    /// Uptime of the peer's process at its newest message, in seconds.
    pub uptime_s: f64,
    /// How late timers fired in the peer's process, in seconds.
    pub lag_s: f64,
    /// When the state service last answered the peer, on this node's clock.
    pub store_answer_at: Option<Time>,
    /// When this node, as the leader, last sent the peer the task counts of the jobs.
    pub progress_sent_at: Option<Time>,
}

/// The newest task counts of unfinished jobs that the leader sent to this node.
#[derive(Debug, Default)]
pub(crate) struct ReportedProgress {
    /// When the leader sent the counts, at the earliest.
    pub at: Option<Time>,
    /// Task counts by job id.
    pub jobs: BTreeMap<String, TaskCounts>,
}

/// The state that all tasks of one controller process share.
pub struct Node {
    pub(crate) settings: Settings,
    /// Tuning parameters from the properties file.
    pub(crate) tuning: Rc<Tuning>,
    pub(crate) clock: Rc<dyn Clock>,
    /// Client of the state service.
    pub(crate) kv: KeyValueClient,
    /// Client of the cloud provider's API.
    pub(crate) cloud: CloudClient,
    /// HTTP client for requests to workers.
    pub(crate) worker_http: Client,
    /// HTTP client for requests to other controllers.
    pub(crate) peer_http: Client,
    /// Random number that identifies this process among all processes of the member.
    pub(crate) incarnation: u64,
    pub(crate) role: RefCell<Role>,
    /// Name and token of the newest known leader.
    pub(crate) leader: RefCell<Option<(String, u64)>>,
    pub(crate) machine_types: RefCell<Vec<MachineType>>,
    /// The other controllers, by name.
    pub(crate) peers: RefCell<BTreeMap<String, PeerState>>,
    /// Recently ended jobs.
    pub(crate) terminal_cache: RefCell<TerminalCache>,
    pub(crate) batched_polls: BatchedPolls,
    pub(crate) all_replica_reads: AllReplicaReads,
    /// Workers redirected to the leader, or by the leader to the delegate of their zone.
    pub(crate) redirects: RefCell<RedirectTracker>,
    /// Workers redirected to other nodes because this node is isolated, or is no longer the
    /// leader.
    pub(crate) handed_off_workers: RefCell<RedirectTracker>,
    /// When the last message arrived from a sender that a network partition of this zone
    /// would cut off: the load balancer, a user, or a worker of another zone.
    pub(crate) outside_contact_at: Cell<Time>,
    /// The last successor that this node designated while it was the leader.
    pub(crate) last_designated: RefCell<Option<String>>,
    pub(crate) delegate: RefCell<Delegate>,
    pub(crate) started_at: Time,
    pub(crate) reported_progress: RefCell<ReportedProgress>,
    pub(crate) retry_backoff: RefCell<RetryBackoff>,
    /// Connections to the public API that are reserved for workers.
    pub(crate) reserved_sockets: Rc<Cell<usize>>,
    /// Wakes the leader's scheduler.
    pub(crate) scheduler_wakeup: Notify,
    /// Raised after each scheduling cycle and each finished transaction of the leader.
    pub(crate) scheduler_progress: Broadcast,
    /// Wakes the leader to check whether its term is over.
    pub(crate) step_down: Notify,
    /// Collects the evidence that the leader has failed.
    pub(crate) failure_detector: RefCell<FailureDetector>,
    /// Wakes the failure detector.
    pub(crate) suspected: Notify,
    /// Version of the leader key whose holder has failed and which is to be replaced.
    pub(crate) confirmed_failure: Cell<Option<u64>>,
    /// Wakes a waiting follower, so that it campaigns if the leader's failure is confirmed.
    pub(crate) campaign_requested: Notify,
    /// This node is committing an election transaction. The transaction states whether tasks
    /// may have been started without a record, so this node must not agree to such starts
    /// until the transaction is finished.
    pub(crate) campaigning: Cell<bool>,
    /// Version of the leader key last read, and the incarnation of its holder.
    pub(crate) leader_key_read: Cell<Option<(u64, u64)>>,
    /// The successor that the current leader has designated.
    pub(crate) designated_successor: RefCell<Option<String>>,
    /// This node leads, and asks another node to take over.
    pub(crate) resigning: Cell<bool>,
    /// After handing leadership over, this node does not campaign before this time.
    pub(crate) step_down_backoff_until: Cell<Time>,
    /// How late timers fire in this process.
    pub(crate) timer_lag: Cell<TimerLag>,
    /// What is known of starts without a record by any holder of the grant, including
    /// this node.
    pub(crate) degraded_mode_record: RefCell<DegradedModeMemory>,
    /// Whether this leader currently starts tasks without a record.
    pub(crate) degraded_mode: RefCell<DegradedMode>,
    /// Raised when this node becomes leader, stops being leader, or starts or stops resigning.
    pub(crate) role_changed: Broadcast,
}

/// Runs a node until the process is killed.
///
/// # Errors
/// If a listening socket can't be bound to one of the node's addresses.
pub async fn run(settings: Settings, tuning: Tuning, clock: Rc<dyn Clock>) -> std::io::Result<()> {
    let front = TcpListener::bind(settings.front)?;
    let back = TcpListener::bind(settings.back)?;
    let node = Node::new(settings, tuning, clock);
    info!(
        member = node.settings.member,
        zone = node.settings.zone,
        front = %node.settings.front,
        "controller started"
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

    /// Derives the engine's configuration from the settings and the tuning parameters.
    pub(crate) fn engine_config(&self) -> EngineConfig {
        let facts = &self.settings.facts;
        let start_limits = facts
            .objectives
            .iter()
            .filter_map(|o| Some((o.class.clone(), o.within_s?)));
        let mut deadline_factors: BTreeMap<String, f64> = BTreeMap::new();
        for objective in &facts.objectives {
            if let (Some(class), Some(times)) = (&objective.class, objective.times)
                && times > 1.0
            {
                let largest = deadline_factors.entry(class.clone()).or_insert(times);
                *largest = largest.max(times);
            }
        }
        EngineConfig {
            member: self.settings.member.clone(),
            teams: self.settings.team_limits(),
            start_objectives: start_limits
                .clone()
                .filter_map(|(class, within)| Some((class?, within)))
                .collect(),
            deadline_factors,
            guarantee_start_objective: start_limits
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

    /// Name of the newest known leader.
    pub(crate) fn leader_name(&self) -> Option<String> {
        self.leader.borrow().as_ref().map(|(name, _)| name.clone())
    }

    /// Records an observed leader. A leader older than the newest known one is ignored.
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

    /// Loads the machine types once: from the record of a leader, otherwise from the cloud.
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
                    info!(types = types.len(), "machine types loaded");
                    *self.machine_types.borrow_mut() = types;
                    return;
                }
                _ => {
                    let pause = random(|rng| rng.random_range(0.5..1.5));
                    warn!(
                        "machine types unknown: neither the state service nor the cloud returned them"
                    );
                    sleep(pause).await;
                }
            }
        }
    }

    async fn run_elections(self: Rc<Self>) -> std::convert::Infallible {
        loop {
            let replaced_version = self.clone().wait_to_campaign().await;
            self.clone().campaign(replaced_version).await;
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

/// Tasks that are cancelled together.
#[derive(Default)]
pub(crate) struct TaskGroup(Vec<Routine>);

impl TaskGroup {
    pub fn start(&mut self, task: impl Future<Output = ()> + 'static) {
        self.0.push(spawn(task));
    }

    pub fn cancel(self) {
        for routine in self.0 {
            routine.cancel();
        }
    }
}
