//! Simulated key-value store service: `umbersail-kv` behind HTTP, with a separate listener for
//! each controller, and its injected faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::select;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_http::{Handler, Request, Response, ServerLimits, serve};
use umbersail_kv::api::{KvRequest, watch_reply};
use umbersail_kv::{KvStore, Limits, Outcome, TokenBucket};
use umbersail_runtime::{Broadcast, TcpListener, WorldHandle, sleep, spawn};
use umbersail_wire::{Change, Txn, TxnResult, Value, decode, encode};

use crate::grants::GrantWatch;
use crate::history::{EventKind, History};
use crate::scenario::{LATE_FROM_S, LATE_TO_S, State};
use crate::state_figures::StateFigures;

/// Key of the record that names the leader, as the controllers write it.
const LEADER_KEY: &str = "leader";
/// Statuses of a transaction that was applied, and of one whose conditions failed.
const APPLIED: u16 = 200;
const CONFLICT: u16 = 409;
/// A transaction without reply is held open for this many seconds, longer than any controller
/// waits.
const NO_REPLY_S: f64 = 60.0;
/// A delayed transaction that is due in an outage checks at this interval, in seconds, whether
/// the outage is over.
const OUTAGE_CHECK_S: f64 = 0.1;

/// Returns limits for the listeners of simulated services, large enough never to be reached.
pub(crate) fn wide_limits() -> ServerLimits {
    ServerLimits {
        max_body_bytes: 1 << 20,
        max_connections: 10_000,
        reserved: Rc::default(),
        min_unreserved: 10_000,
        reserved_paths: vec![],
        idle_timeout_s: 120.0,
        receive_timeout_s: 10.0,
        send_timeout_s: 10.0,
    }
}

/// Encodes a reply.
pub(crate) fn answer(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, encode(body))
}

/// The simulated key-value store, its active faults and its request statistics.
pub struct KvStoreHost {
    world: WorldHandle,
    store: RefCell<KvStore>,
    changed: Broadcast,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    down: Cell<bool>,
    /// Delay of every reply, in seconds.
    pub slow_s: Cell<f64>,
    /// By controller index, whether the controller's requests are refused.
    pub refused: RefCell<Vec<bool>>,
    /// Share of the transactions that get no reply and are applied late.
    pub late_share: Cell<f64>,
    /// Share of the transactions that are executed but whose reply is lost.
    pub lost_answer_share: Cell<f64>,
    rng: RefCell<ChaCha8Rng>,
    history: History,
    /// Version of the leader's key at the last election that is in the history.
    election_version: Cell<u64>,
    /// Hooks that run after each election.
    on_election: RefCell<Vec<Box<dyn Fn()>>>,
    grant_watch: GrantWatch,
    /// Statistics of requests and changes.
    pub figures: StateFigures,
}

impl KvStoreHost {
    /// Creates an empty store without faults, with the limits of the scenario.
    pub fn new(
        world: WorldHandle,
        history: History,
        state: &State,
        controllers: usize,
        seed: u64,
    ) -> Rc<KvStoreHost> {
        let bounds = Limits {
            txn_ops: state.txn_ops,
            value_bytes: (state.value_kb * 1024.0) as usize,
            ..Limits::default()
        };
        Rc::new(KvStoreHost {
            world,
            store: RefCell::new(KvStore::new(bounds)),
            changed: Broadcast::default(),
            requests: RefCell::new(TokenBucket::new(state.rps, 1.0)),
            writes: RefCell::new(TokenBucket::new(state.write_rps, 1.0)),
            down: Cell::new(false),
            slow_s: Cell::new(0.0),
            refused: RefCell::new(vec![false; controllers]),
            late_share: Cell::new(0.0),
            lost_answer_share: Cell::new(0.0),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x6c77_7269_7465)),
            history,
            election_version: Cell::new(0),
            on_election: RefCell::default(),
            grant_watch: GrantWatch::default(),
            figures: StateFigures::default(),
        })
    }

    /// Serves one controller at this address.
    pub async fn serve_controller(self: Rc<Self>, controller: usize, addr: SocketAddr) {
        let Ok(listener) = TcpListener::bind(addr) else {
            return;
        };
        let handler: Handler = Rc::new(move |request| {
            let host = self.clone();
            Box::pin(async move { host.handle(controller, request).await })
        });
        spawn(serve(listener, wide_limits(), handler));
        std::future::pending::<()>().await;
    }

    /// Ends leases when they expire. During an outage none expires.
    pub async fn expire(self: Rc<Self>) {
        loop {
            sleep(0.02).await;
            let now = self.world.now();
            if !self.down.get() && self.store.borrow_mut().expire(now) {
                self.changed.notify_all();
            }
        }
    }

    /// Starts or ends an outage. After an outage all leases run anew.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        if !down {
            self.store.borrow_mut().restart_leases(self.world.now());
            self.changed.notify_all();
        }
    }

    /// Returns the member that the leader's key names.
    pub fn leader(&self) -> Option<String> {
        let found = self.store.borrow().get(LEADER_KEY)?;
        let fields = found.value.as_map()?;
        let member = fields.iter().find(|(k, _)| k.as_str() == Some("member"))?;
        member.1.as_str().map(str::to_owned)
    }

    /// Adds a hook that is called right after each election.
    pub fn on_election(&self, hook: Box<dyn Fn()>) {
        self.on_election.borrow_mut().push(hook);
    }

    /// Adds an election to the history, and calls the hooks, if the leader's key was written
    /// since the last recorded election.
    fn record_election(&self) {
        let version = self.store.borrow().get("leader").map_or(0, |k| k.version);
        if version > self.election_version.get()
            && let Some(member) = self.leader()
        {
            self.election_version.set(version);
            self.history.add(EventKind::Elected { member });
            for hook in self.on_election.borrow().iter() {
                hook();
            }
        }
    }

    /// Whether an outage or a fault of this controller alone makes the store unavailable.
    fn is_unavailable(&self, controller: usize) -> bool {
        self.down.get() || self.refused.borrow()[controller]
    }

    /// Draws whether a transaction is delayed, and by how many seconds.
    fn draw_write_delay(&self) -> Option<f64> {
        let share = self.late_share.get();
        let mut rng = self.rng.borrow_mut();
        (share > 0.0 && rng.random_bool(share)).then(|| rng.random_range(LATE_FROM_S..=LATE_TO_S))
    }

    /// Applies a transaction after `wait_s` seconds, or after the outage if the transaction is
    /// due in one. The history gets which of the transaction's keys changed in the meantime.
    async fn apply_late(self: Rc<Self>, controller: usize, txn: Txn<Value>, wait_s: f64) {
        let sent_at = self.store.borrow().revision();
        sleep(wait_s).await;
        while self.down.get() {
            sleep(OUTAGE_CHECK_S).await;
        }
        let key = |c: &Change<Value>| match c {
            Change::Put { key, .. } | Change::Delete { key } => key.clone(),
        };
        let keys: Vec<String> = txn.changes.iter().map(key).collect();
        let since = self.store.borrow().changes_since("", sent_at);
        let changed: BTreeSet<String> = since
            .into_iter()
            .flatten()
            .filter_map(|e| e.put.or(e.delete))
            .collect();
        let is_changed = |key: &&String| changed.contains(*key);
        let overtaken = keys.iter().filter(is_changed).cloned().collect();
        let done = self.store.borrow_mut().txn(self.world.now(), &txn);
        self.changed.notify_all();
        let applied = matches!(done, Ok(Outcome::Applied { .. }));
        if applied {
            self.figures.record_transaction(&txn);
            self.grant_watch.applied(&self.history, &txn);
        }
        self.history.add(EventKind::LateWrite {
            controller,
            keys,
            applied,
            overtaken,
            leader_changed: changed.contains(LEADER_KEY),
        });
    }

    /// Draws whether the reply to a transaction is lost.
    fn draw_lost_answer(&self) -> bool {
        let share = self.lost_answer_share.get();
        share > 0.0 && self.rng.borrow_mut().random_bool(share)
    }

    /// Adds a transaction whose reply is lost to the history.
    fn record_lost_answer(&self, controller: usize, txn: &Txn<Value>, applied: bool) {
        let (mut puts, mut deletes) = (Vec::new(), Vec::new());
        for change in &txn.changes {
            match change {
                Change::Put { key, .. } => puts.push(key.clone()),
                Change::Delete { key } => deletes.push(key.clone()),
            }
        }
        self.history.add(EventKind::LostAnswer {
            controller,
            conditions: txn.conditions.iter().map(|c| c.key.clone()).collect(),
            puts,
            deletes,
            applied,
        });
    }

    /// Adds a transaction whose conditions failed to the history, from its reply.
    fn record_conflict(&self, controller: usize, body: &[u8]) {
        if let Ok(result) = decode::<TxnResult>(body) {
            let failed = result.failed;
            self.history.add(EventKind::Conflict { controller, failed });
        }
    }

    async fn handle(self: Rc<Self>, controller: usize, request: Request) -> Response {
        if self.slow_s.get() > 0.0 {
            sleep(self.slow_s.get()).await;
        }
        if self.is_unavailable(controller) {
            return Response::empty(503);
        }
        let now = self.world.now();
        let taken = self.requests.borrow_mut().take(now, 1.0);
        self.figures.record_request(!taken);
        if !taken {
            return Response::empty(429);
        }
        let call = match KvRequest::parse(&request.method, &request.target, &request.body) {
            Ok(call) => call,
            Err(status) => return Response::empty(status),
        };
        if let KvRequest::Watch {
            prefix,
            from,
            wait_s: hold_s,
        } = &call
        {
            return self.watch(controller, prefix, *from, now + hold_s).await;
        }
        let writes = call.change_count() as f64;
        if writes > 0.0 && !self.writes.borrow_mut().take(now, writes) {
            return Response::empty(429);
        }
        if let KvRequest::Txn(txn) = &call
            && let Some(wait_s) = self.draw_write_delay()
        {
            // The transaction is applied even if its sender times out or ends in the meantime.
            let late = self.clone().apply_late(controller, txn.clone(), wait_s);
            self.world.spawn(late);
            sleep(NO_REPLY_S).await;
            return Response::empty(503);
        }
        let before = self.store.borrow().revision();
        let (status, body) = call.execute(&mut self.store.borrow_mut(), now);
        if self.store.borrow().revision() != before {
            self.changed.notify_all();
            self.record_election();
            if let KvRequest::Txn(txn) = &call {
                self.figures.record_transaction(txn);
                self.grant_watch.applied(&self.history, txn);
            }
        }
        if self.lost_answer_share.get() > 0.0 && status == CONFLICT && writes > 0.0 {
            self.record_conflict(controller, &body);
        }
        if let KvRequest::Txn(txn) = &call
            && self.draw_lost_answer()
        {
            self.record_lost_answer(controller, txn, status == APPLIED);
            sleep(NO_REPLY_S).await;
            return Response::empty(503);
        }
        Response::new(status, body)
    }

    /// Serves a watch: waits for a change under the prefix until the time `until`. During an
    /// outage the request stays open.
    async fn watch(&self, controller: usize, prefix: &str, from: u64, until: f64) -> Response {
        loop {
            let now = self.world.now();
            let away = self.is_unavailable(controller);
            if !away {
                let due = watch_reply(&self.store.borrow(), prefix, from, now >= until);
                if let Some((status, body)) = due {
                    return Response::new(status, body);
                }
            }
            let wait = if away { 0.5 } else { until - now };
            let _ = select(pin!(self.changed.notified()), pin!(sleep(wait.max(0.001)))).await;
        }
    }
}
