//! One controller process: its clients, its role, and its long-lived tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::rc::Rc;

use rand::Rng;
use tracing::{info, warn};
use umbersail_http::{Client, ClientLimits, Handler, ServerLimits, serve};
use umbersail_runtime::{
    Broadcast, Clock, Notify, Routine, TcpListener, Time, random, sleep, spawn,
};
use umbersail_standby::{DegradedMode, DegradedModeRecord, DetectorTimeouts, FailureDetector, Lag};
use umbersail_tuning::Tuning;
use umbersail_wire::{MachineType, paths};

use crate::all_replica_read::AllReplicaReads;
use crate::cloud::CloudClient;
use crate::delegate::Delegate;
use crate::engine::{Engine, EngineConfig};
use crate::leader::LeaderLease;
use crate::polls::BatchedPolls;
use crate::records::{
    CATALOGUE_KEY, CatalogueRecord, LEADER_KEY, LeaderRecord, Outcome, OverRecord,
};
use crate::retry_backoff::RetryBackoff;
use crate::settings::Settings;
use crate::state::{StateClient, Urgency};

/// What this node is just now.
pub(crate) enum Role {
    Following,
    Leading(Box<Leading>),
}

/// The leader's part.
pub(crate) struct Leading {
    pub engine: Engine,
    pub lease: Rc<LeaderLease>,
    /// The engine knows what was accepted and cancelled up to this revision.
    pub followed: Cell<u64>,
    pub superseded: Cell<bool>,
}

impl Leading {
    pub fn new(engine: Engine, lease: Rc<LeaderLease>, followed: u64) -> Leading {
        Leading {
            engine,
            lease,
            followed: Cell::new(followed),
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
    pub silent: bool,
    /// How long its process had run when it was last heard of, and how late
    /// its timers fired, seconds.
    pub up_s: f64,
    pub lag_s: f64,
    /// When the state service last answered it, on our clock.
    pub state_answer_at: Option<Time>,
}

/// The leader's newest word on unfinished jobs: tasks done and running.
#[derive(Debug, Default)]
pub(crate) struct ReportedProgress {
    pub at: Option<Time>,
    pub jobs: BTreeMap<String, (u32, u32)>,
}

/// Workers that can't reach the leader: they came back although they were directed
/// there, or have shown its token and come to another node all the same.
pub(crate) struct RedirectTracker {
    /// When each was last directed, or until when it is helped.
    machines: BTreeMap<String, Redirect>,
    again_s: Time,
    help_s: Time,
}

#[derive(Debug, Clone, Copy)]
enum Redirect {
    Directed(Time),
    Until(Time),
}

/// Connections to the state service and the cloud, and to peers beside those
/// that hand on reports to one of them.
const STATE_CONNECTIONS: usize = 48;
const CLOUD_CONNECTIONS: usize = 4;
const EXTRA_PEER_CONNECTIONS: usize = 8;
/// One connection to each peer for so many sockets: 61 of 3,051, enough for 600 reports a
/// second that wait 0.1 s each.
const SOCKETS_PER_PEER_CONNECTION: usize = 50;
/// Connections to workers, however few sockets there are.
const MIN_OUTGOING: f64 = 16.0;
/// Listening sockets, the event loop, logs.
const RESERVED_SOCKETS: usize = 12;

/// How often a state service that is out of reach is asked for, seconds.
const SILENT_PROBE_S: Time = 0.3;

/// Upper bound on remembered workers, some 50 bytes each: twice a fleet of 4,000. Above
/// it all are forgotten, and a worker that can't reach the leader is helped anew.
const MAX_REDIRECTS: usize = 8192;
/// Upper bound on a message between controllers, in bytes. The largest is a delegate's
/// answer that lists every machine it renewed: some 40 bytes for each of 4,000 machines,
/// beside the ids of thousands of jobs.
const MAX_PEER_BODY_BYTES: usize = 1 << 20;

impl RedirectTracker {
    fn new(again_s: Time, help_s: Time) -> RedirectTracker {
        RedirectTracker {
            machines: BTreeMap::new(),
            again_s,
            help_s,
        }
    }

    /// Whether this worker's report is to be handed on; remembers it if not. `left`:
    /// the leader has answered it before, and it comes here. Sent back to a leader
    /// that drops all from it without a word, its lease would be over before it came
    /// again: it waits 4 s for an answer there, a second before, and a second after.
    pub fn is_returning(&mut self, machine: &str, left: bool, now: Time) -> bool {
        let helped = Redirect::Until(now + self.help_s);
        let next = match self.machines.get(machine) {
            Some(Redirect::Until(end)) if now < *end => return true,
            // The leader may be back.
            Some(Redirect::Until(end)) if now - end < self.again_s => Redirect::Directed(now),
            Some(Redirect::Directed(at)) if now - at < self.again_s => helped,
            _ if left => helped,
            _ => Redirect::Directed(now),
        };
        if self.machines.len() >= MAX_REDIRECTS && !self.machines.contains_key(machine) {
            self.machines.clear();
        }
        self.machines.insert(machine.to_owned(), next);
        matches!(next, Redirect::Until(_))
    }
}

/// Ends of jobs, the newest few.
pub(crate) struct TerminalCache {
    most: usize,
    ends: BTreeMap<String, OverRecord>,
    /// When each was taken in, the oldest first.
    order: VecDeque<(Time, String)>,
    /// All that were taken in after this are still here.
    complete_from: Time,
}

impl TerminalCache {
    fn new(most: usize) -> TerminalCache {
        TerminalCache {
            most,
            ends: BTreeMap::new(),
            order: VecDeque::new(),
            complete_from: if most == 0 { f64::MAX } else { f64::MIN },
        }
    }

    pub fn get(&self, id: &str) -> Option<OverRecord> {
        self.ends.get(id).copied()
    }

    /// Jobs cancelled whose ends were taken in after this, the newest first.
    pub fn cancelled_since(&self, since: Time) -> impl Iterator<Item = &String> {
        let newest = self
            .order
            .iter()
            .rev()
            .take_while(move |(at, _)| *at > since);
        let ids = newest.map(|(_, id)| id);
        ids.filter(|id| (self.ends.get(*id)).is_some_and(|over| over.outcome == Outcome::Cancelled))
    }

    pub fn complete_from(&self) -> Time {
        self.complete_from
    }

    pub fn put(&mut self, now: Time, id: &str, over: OverRecord) {
        if self.most == 0 {
            return;
        }
        if self.ends.insert(id.to_owned(), over).is_none() {
            self.order.push_back((now, id.to_owned()));
        }
        while self.ends.len() > self.most {
            if let Some((at, oldest)) = self.order.pop_front() {
                self.ends.remove(&oldest);
                self.complete_from = at;
            }
        }
    }
}

/// Everything that the routines of one process share.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) tuning: Rc<Tuning>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) state: StateClient,
    pub(crate) cloud: CloudClient,
    /// For workers.
    pub(crate) http: Client,
    pub(crate) peer_http: Client,
    pub(crate) incarnation: u64,
    pub(crate) role: RefCell<Role>,
    /// The newest leader that we know of, with its token.
    pub(crate) leader: RefCell<Option<(String, u64)>>,
    pub(crate) types: RefCell<Vec<MachineType>>,
    pub(crate) peers: RefCell<BTreeMap<String, PeerState>>,
    pub(crate) cache: RefCell<TerminalCache>,
    pub(crate) polls: BatchedPolls,
    pub(crate) all_replica_reads: AllReplicaReads,
    pub(crate) redirects: RefCell<RedirectTracker>,
    /// Workers that we sent to other nodes because we are isolated, or lead no more.
    pub(crate) handed_off: RefCell<RedirectTracker>,
    /// When somebody was last heard of whom a cut of our zone would keep from us: the
    /// balancer, a user, a worker of another zone.
    pub(crate) outside_heard_at: Cell<Time>,
    /// The last successor that we named while we led.
    pub(crate) last_designated: RefCell<Option<String>>,
    pub(crate) delegate: RefCell<Delegate>,
    pub(crate) started_at: Time,
    pub(crate) reported_progress: RefCell<ReportedProgress>,
    pub(crate) retry_backoff: RefCell<RetryBackoff>,
    /// Front connections kept for workers, by the number of machines.
    pub(crate) reserved_sockets: Rc<Cell<usize>>,
    /// Wakes the leader's scheduler.
    pub(crate) wake: Notify,
    /// Raised when the leader has planned or recorded something.
    pub(crate) progress: Broadcast,
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
    pub(crate) elected: Cell<Option<(u64, u64)>>,
    /// Whom the leader named to lead after it.
    pub(crate) designated_successor: RefCell<Option<String>>,
    /// We lead, and want another to.
    pub(crate) resigning: Cell<bool>,
    /// Having handed the lead over, we don't take it back before then.
    pub(crate) step_down_backoff_until: Cell<Time>,
    pub(crate) lag: Cell<Lag>,
    /// What we know of a holder's starts without a record, and our own.
    pub(crate) degraded_mode_record: RefCell<DegradedModeRecord>,
    pub(crate) degraded_mode: RefCell<DegradedMode>,
    /// Raised when we begin or cease to lead, or want another to.
    pub(crate) changed: Broadcast,
}

/// Runs a node until the process is killed; returns only if it can't start.
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
    let handler: Handler = Rc::new(move |request| Box::pin(front_node.clone().front(request)));
    let back_node = node.clone();
    let back_handler: Handler =
        Rc::new(move |request| Box::pin(back_node.clone().peer_request(request)));
    spawn(serve(front, limits, handler));
    spawn(serve(back, back_limits, back_handler));
    spawn(node.clone().learn_types());
    spawn(node.clone().probe_state());
    spawn(node.clone().measure_lag());
    spawn(node.clone().watch_leader());
    spawn(node.clone().run_failure_detector());
    for peer in node.settings.peers.clone() {
        spawn(node.clone().exchange_hellos(peer));
    }
    match node.run_elections().await {}
}

impl Node {
    fn new(settings: Settings, tuning: Tuning, clock: Rc<dyn Clock>) -> Rc<Node> {
        let client = |max_body_bytes, max_per_address, max_idle, max_total| {
            Client::new(ClientLimits {
                max_body_bytes,
                max_per_address,
                max_idle,
                max_total,
                connect_s: 1.0,
            })
        };
        let facts = &settings.facts;
        let state = StateClient::new(
            client(8 << 20, STATE_CONNECTIONS, 8, STATE_CONNECTIONS),
            settings.external.state,
            clock.clone(),
            facts.state.rps,
            facts.state.write_rps,
            tuning.state_timeout_s,
            tuning.state_silent_s,
        );
        let cloud = CloudClient::new(
            client(1 << 20, CLOUD_CONNECTIONS, 2, CLOUD_CONNECTIONS),
            settings.external.cloud,
            clock.clone(),
            (facts.cloud.rps * tuning.cloud_share).max(0.1),
            tuning.cloud_timeout_s,
        );
        let sockets = facts.resources.max_sockets as f64;
        let to_peer = connections_to_peer(&tuning, &settings);
        let node = Rc::new(Node {
            tuning: Rc::new(tuning.clone()),
            state,
            cloud,
            // Workers' addresses are many, and what is asked of a worker directly
            // is rare.
            http: client(
                128 << 10,
                40,
                2,
                (sockets * tuning.outgoing_share).max(MIN_OUTGOING) as usize,
            ),
            // Reports are handed on to one peer, many at a time.
            peer_http: client(
                MAX_PEER_BODY_BYTES,
                to_peer,
                to_peer,
                EXTRA_PEER_CONNECTIONS + to_peer,
            ),
            incarnation: random(|rng| rng.random()),
            role: RefCell::new(Role::Following),
            leader: RefCell::new(None),
            types: RefCell::new(Vec::new()),
            peers: RefCell::new(BTreeMap::new()),
            polls: BatchedPolls::default(),
            all_replica_reads: AllReplicaReads::default(),
            cache: RefCell::new(TerminalCache::new(tuning.terminal_cache as usize)),
            redirects: RefCell::new(RedirectTracker::new(tuning.relay_again_s, tuning.relay_s)),
            handed_off: RefCell::new(RedirectTracker::new(tuning.relay_again_s, tuning.relay_s)),
            outside_heard_at: Cell::new(f64::MIN),
            last_designated: RefCell::default(),
            delegate: RefCell::new(Delegate::new(
                facts.workers.lease_s,
                tuning.renewal_s(facts.workers.cancel_s, facts.workers.lease_s),
            )),
            started_at: clock.now(),
            reported_progress: RefCell::default(),
            retry_backoff: RefCell::default(),
            reserved_sockets: Rc::default(),
            wake: Notify::default(),
            progress: Broadcast::default(),
            step_down: Notify::default(),
            failure_detector: RefCell::new(FailureDetector::new(DetectorTimeouts {
                rank_s: tuning.rank_s,
                answer_s: tuning.answer_s,
                silent_answer_s: tuning.silent_answer_s,
                settle_s: tuning.settle_s,
                slack_s: tuning.answer_slack_s,
                cleared_s: tuning.cleared_s,
            })),
            suspected: Notify::default(),
            confirmed_failure: Cell::default(),
            campaign_requested: Notify::default(),
            campaigning: Cell::default(),
            elected: Cell::default(),
            designated_successor: RefCell::default(),
            resigning: Cell::default(),
            step_down_backoff_until: Cell::new(f64::MIN),
            lag: Cell::default(),
            degraded_mode_record: RefCell::default(),
            degraded_mode: RefCell::default(),
            changed: Broadcast::default(),
            clock,
            settings,
        });
        node.share_limits(false);
        node
    }

    /// The state service's limits hold for all nodes together.
    pub(crate) fn share_limits(&self, leading: bool) {
        let facts = &self.settings.facts;
        let others = self.settings.peers.len().max(1) as f64;
        let share = |leader: f64| {
            if leading {
                leader
            } else {
                (1.0 - leader) / others
            }
        };
        self.state.set_rates(
            facts.state.rps * share(self.tuning.state_share_leader),
            facts.state.write_rps * share(self.tuning.write_share_leader),
            leading,
        );
    }

    fn server_limits(&self) -> (ServerLimits, ServerLimits) {
        let sockets = self.settings.facts.resources.max_sockets as f64;
        let tuning = &self.tuning;
        let to_peer = connections_to_peer(tuning, &self.settings);
        let from_peers = self.settings.peers.len() * to_peer + 8;
        let elsewhere = STATE_CONNECTIONS
            + CLOUD_CONNECTIONS
            + EXTRA_PEER_CONNECTIONS
            + to_peer
            + from_peers
            + (sockets * tuning.outgoing_share).max(MIN_OUTGOING) as usize
            + RESERVED_SOCKETS;
        let most = (sockets * tuning.front_total_share) as usize;
        let least = (sockets * tuning.front_users_least_share) as usize;
        let left = (sockets as usize).saturating_sub(elsewhere);
        let front = ServerLimits {
            max_body_bytes: tuning.max_body_bytes as usize,
            max_connections: most.min(left).max(least),
            reserved: self.reserved_sockets.clone(),
            least_unreserved: least,
            reserved_paths: vec![paths::REPORT.into(), paths::HEALTH.into()],
            idle_s: tuning.idle_connection_s,
            receive_s: tuning.receive_s,
            send_s: tuning.receive_s,
        };
        let back = ServerLimits {
            max_body_bytes: MAX_PEER_BODY_BYTES,
            max_connections: from_peers,
            reserved: Rc::default(),
            least_unreserved: 0,
            ..front.clone()
        };
        (front, back)
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
            start_aims: aims
                .clone()
                .filter_map(|(class, within)| Some((class?, within)))
                .collect(),
            late_aims,
            guarantee_aim: aims
                .filter(|(class, _)| class.is_none())
                .map(|(_, within)| within)
                .reduce(f64::min),
            report_s: facts.workers.report_s,
            lease_s: facts.workers.lease_s,
            cancel_s: facts.workers.cancel_s,
            list_lag_s: facts.cloud.list_lag_s,
            txn_ops: facts.state.txn_ops,
            value_bytes: (facts.state.value_kb * 1024.0) as usize,
            skew_ms: facts.skew_ms,
            slice_steps: (facts.resources.cpu * self.tuning.slice_s * 1e9 / self.tuning.step_ns)
                as u64,
            tuning: self.tuning.clone(),
        }
    }

    /// Keeps a front connection for each worker, and some for those that come
    /// back by a new one before the old one is known to be gone.
    pub(crate) fn keep_sockets_for(&self, machines: usize) {
        self.reserved_sockets.set(machines + machines / 8 + 4);
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
        self.delegate.borrow_mut().superseded(token);
        self.failure_detector
            .borrow_mut()
            .leader(self.clock.now(), token);
        if let Role::Leading(leading) = &*self.role.borrow()
            && leading.engine.revision() < token
        {
            leading.superseded.set(true);
            self.step_down.notify();
        }
    }

    /// Whether the state service answered us lately.
    pub(crate) fn sees_state(&self) -> bool {
        let now = self.clock.now();
        self.state
            .last_answer()
            .is_some_and(|at| now - at < self.tuning.blind_s)
    }

    /// Whether no peer has been heard of lately, though there are some.
    fn hears_no_peer(&self, now: Time) -> bool {
        let lately = |at: Time| now - at < self.tuning.isolated_s;
        !self.settings.peers.is_empty()
            && !(self.peers.borrow().values()).any(|p| p.heard_at.is_some_and(lately))
    }

    /// Whether we reach neither the state service, which has not even refused
    /// anything, nor any peer: then others lead, or soon will.
    pub(crate) fn is_isolated(&self, now: Time) -> bool {
        let silent = self.state.silent_since();
        silent.is_some_and(|at| now - at >= self.tuning.isolated_s) && self.hears_no_peer(now)
    }

    /// Whether it is only us whom the rest does not reach: isolated, and not by a cut
    /// of our zone, which would keep the balancer from us too. Our workers then reach
    /// the other nodes, and are better off there.
    pub(crate) fn is_isolated_alone(&self, now: Time) -> bool {
        self.is_isolated(now) && now - self.outside_heard_at.get() < self.tuning.outside_s
    }

    /// A node that alone is blind takes itself out; when all are blind alike,
    /// leaving would only add the balancer's penalty to the outage.
    pub(crate) fn is_ready(&self) -> bool {
        if self.types.borrow().is_empty() {
            return false;
        }
        if self.sees_state() {
            return true;
        }
        let now = self.clock.now();
        let Some(last_answer) = self.state.last_answer() else {
            // Started in an outage: refused like all others, it takes users as they do,
            // and the balancer need not wait for it afterwards.
            let refused = self.state.silent_since().is_none() && self.state.is_heard();
            let reached = |p: &PeerState| p.state_reachable;
            return refused
                && !self.hears_no_peer(now)
                && !self.peers.borrow().values().any(reached);
        };
        // Nobody can say whether the state service refuses others too; that takes
        // longer, so that no short outage among controllers that are apart counts.
        let refused_s = 2.0 * self.tuning.blind_s;
        if self.is_isolated(now) || self.hears_no_peer(now) && now - last_answer >= refused_s {
            return false;
        }
        // A peer's word counts only if it is clearly newer than our own last
        // answer: at the start of an outage all of them still say "reachable".
        let proven = last_answer + self.tuning.blind_s + self.tuning.peer_interval_s;
        !self.peers.borrow().values().any(|p| {
            p.state_reachable && p.heard_at.is_some_and(|at| at > proven && now - at < 3.0)
        })
    }

    /// Learns the machine types once: from a leader's record, else from the
    /// cloud.
    async fn learn_types(self: Rc<Self>) {
        while self.types.borrow().is_empty() {
            let recorded = self
                .state
                .get::<CatalogueRecord>(CATALOGUE_KEY, Urgency::Patient)
                .await;
            let types = match recorded {
                Ok(Some((record, _))) => Some(record.types),
                _ => self.cloud.catalogue().await,
            };
            match types {
                Some(types) if !types.is_empty() => {
                    info!(types = types.len(), "machine types known");
                    *self.types.borrow_mut() = types;
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

    /// Asks the state service for something small when nothing else has been
    /// asked lately. Without it a node that no user asks would hold itself
    /// blind, and leave the balancer, although all is well.
    async fn probe_state(self: Rc<Self>) {
        loop {
            // Users are refused until it answers.
            let interval = match self.state.silent_since() {
                Some(_) => SILENT_PROBE_S.min(self.tuning.probe_s),
                None => self.tuning.probe_s,
            };
            sleep(interval).await;
            let now = self.clock.now();
            if self
                .state
                .last_answer()
                .is_none_or(|at| now - at >= interval)
            {
                // What comes of it is seen by `sees_state`.
                let _ = self
                    .state
                    .get::<LeaderRecord>(LEADER_KEY, Urgency::Patient)
                    .await;
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

/// Connections from one controller to another: reports that are handed on wait there,
/// and how many come grows with the fleet, as the sockets do.
fn connections_to_peer(tuning: &Tuning, settings: &Settings) -> usize {
    let by_sockets = settings.facts.resources.max_sockets / SOCKETS_PER_PEER_CONNECTION;
    by_sockets.max(tuning.peer_connections as usize)
}

/// Routines that end together.
#[derive(Default)]
pub(crate) struct TaskGroup(Vec<Routine>);

impl TaskGroup {
    pub fn start(&mut self, duty: impl Future<Output = ()> + 'static) {
        self.0.push(spawn(duty));
    }

    pub fn end(self) {
        for routine in self.0 {
            routine.cancel();
        }
    }
}

#[cfg(test)]
mod tests {
    use umbersail_wire::{Hello, JobProgress, RenewedMachine, encode};

    use super::*;

    #[test]
    fn a_worker_that_comes_back_is_helped_for_a_while_and_then_sent_on_again() {
        // Guards against losing all tasks while workers reach every node but
        // the leader and nobody can be elected.
        let mut redirects = RedirectTracker::new(8.0, 20.0);
        assert!(!redirects.is_returning("m1", false, 0.0));
        assert!(!redirects.is_returning("m2", false, 1.0));
        assert!(redirects.is_returning("m1", false, 5.0));
        assert!(redirects.is_returning("m1", false, 24.0));
        assert!(
            !redirects.is_returning("m1", false, 26.0),
            "the leader may be back"
        );
        assert!(
            !redirects.is_returning("m2", false, 60.0),
            "that was long ago"
        );
    }

    #[test]
    fn a_worker_that_leaves_the_leader_that_answered_it_is_helped_at_once() {
        // Guards against leases that lapse while a leader loses the workers alone:
        // each try at it cost up to 5 s of a lease of 10 s.
        let mut redirects = RedirectTracker::new(8.0, 20.0);
        assert!(redirects.is_returning("m1", true, 0.0));
        assert!(redirects.is_returning("m1", true, 19.0));
        assert!(
            !redirects.is_returning("m1", true, 20.5),
            "the leader may be back"
        );
        assert!(redirects.is_returning("m1", true, 25.0), "it is not");
        assert!(redirects.is_returning("m1", true, 100.0));
    }

    #[test]
    fn every_worker_of_a_fleet_of_4000_is_remembered() {
        let mut redirects = RedirectTracker::new(8.0, 20.0);
        let names: Vec<String> = (0..4000).map(|n| format!("m{n}")).collect();
        for name in &names {
            assert!(!redirects.is_returning(name, false, 0.0));
        }
        for name in &names {
            assert!(
                redirects.is_returning(name, false, 5.0),
                "{name} was forgotten"
            );
        }
    }

    #[test]
    fn what_controllers_tell_each_other_of_a_fleet_of_4000_fits_a_message() {
        // Guards against an answer beyond the bound, which is dropped whole: the leader
        // would take machines for lapsed that its delegate keeps renewing.
        let id = |n: u64| format!("req-{n:09}");
        let hello = Hello {
            over: (0..4096).map(id).collect(),
            cancelled: (0..1024).map(id).collect(),
            renewed: (0..6000)
                .map(|n| RenewedMachine {
                    machine: format!("host-{n:09}"),
                    ago_ms: 20_000,
                })
                .collect(),
            progress: (0..500)
                .map(|n| JobProgress {
                    id: id(n),
                    done: 70_000,
                    running: 70_000,
                })
                .collect(),
            ..Hello::default()
        };
        assert!(encode(&hello).len() <= MAX_PEER_BODY_BYTES);
    }

    #[test]
    fn a_worker_is_not_sent_back_and_forth_by_a_memory_that_is_full() {
        let mut redirects = RedirectTracker::new(8.0, 20.0);
        for n in 0..=MAX_REDIRECTS {
            assert!(redirects.is_returning(&format!("m{n}"), true, 0.0));
        }
        assert!(redirects.machines.len() <= MAX_REDIRECTS);
        assert!(
            redirects.is_returning("m0", true, 1.0),
            "forgotten, and helped again"
        );
    }
}
