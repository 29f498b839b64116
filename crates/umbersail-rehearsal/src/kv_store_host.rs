//! The stand-in for the state service: `umbersail-ledger` behind HTTP, a door
//! of its own for each controller, and the troubles that it may have.

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
use crate::history::{History, What};
use crate::scenario::{LATE_FROM_S, LATE_TO_S, State};
use crate::state_figures::StateFigures;

/// Names the leader, as the controllers write it.
const LEADER_KEY: &str = "leader";
/// Answers to a transaction that was applied, and to one whose conditions failed.
const APPLIED: u16 = 200;
const CONFLICT: u16 = 409;
/// The sender of a late transaction hears nothing for so long, in seconds: longer than
/// any controller waits.
const NO_ANSWER_S: f64 = 60.0;
/// A late transaction that is due in an outage looks so often whether it is over, seconds.
const OUTAGE_LOOK_S: f64 = 0.1;

/// Bounds of a stand-in's listener: nothing of the kit is meant to be scarce.
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

pub(crate) fn answer(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, encode(body))
}

/// The service, its troubles, and who asked how much.
pub struct KvStoreHost {
    world: WorldHandle,
    ledger: RefCell<KvStore>,
    changed: Broadcast,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    down: Cell<bool>,
    /// Seconds that every answer takes on top.
    pub slow_s: Cell<f64>,
    /// Controllers that are refused alone.
    pub refused: RefCell<Vec<bool>>,
    /// Share of the transactions that get no answer and are carried out late.
    pub late: Cell<f64>,
    /// Share of the transactions that are carried out and whose answer is lost.
    pub unanswered: Cell<f64>,
    rng: RefCell<ChaCha8Rng>,
    history: History,
    /// Version of the leader's key whose election is in the history.
    elected: Cell<u64>,
    /// Called after each election.
    on_election: RefCell<Vec<Box<dyn Fn()>>>,
    granted: GrantWatch,
    pub figures: StateFigures,
}

impl KvStoreHost {
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
            ledger: RefCell::new(KvStore::new(bounds)),
            changed: Broadcast::default(),
            requests: RefCell::new(TokenBucket::new(state.rps, 1.0)),
            writes: RefCell::new(TokenBucket::new(state.write_rps, 1.0)),
            down: Cell::new(false),
            slow_s: Cell::new(0.0),
            refused: RefCell::new(vec![false; controllers]),
            late: Cell::new(0.0),
            unanswered: Cell::new(0.0),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x6c77_7269_7465)),
            history,
            elected: Cell::new(0),
            on_election: RefCell::default(),
            granted: GrantWatch::default(),
            figures: StateFigures::default(),
        })
    }

    /// Serves one controller at one address.
    pub async fn door(self: Rc<Self>, controller: usize, addr: SocketAddr) {
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

    /// Ends leases in time.
    pub async fn expire(self: Rc<Self>) {
        loop {
            sleep(0.02).await;
            let now = self.world.now();
            if !self.down.get() && self.ledger.borrow_mut().expire(now) {
                self.changed.notify_all();
            }
        }
    }

    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        if !down {
            self.ledger.borrow_mut().restart_leases(self.world.now());
            self.changed.notify_all();
        }
    }

    /// The member that the leader's key names.
    pub fn leader(&self) -> Option<String> {
        let found = self.ledger.borrow().get(LEADER_KEY)?;
        let fields = found.value.as_map()?;
        let member = fields.iter().find(|(k, _)| k.as_str() == Some("member"))?;
        member.1.as_str().map(str::to_owned)
    }

    /// From now on the hook is called right after each election.
    pub fn on_election(&self, hook: Box<dyn Fn()>) {
        self.on_election.borrow_mut().push(hook);
    }

    /// Adds an election to the history once the leader's key has been put anew.
    fn tell_election(&self) {
        let version = self.ledger.borrow().get("leader").map_or(0, |k| k.version);
        if version > self.elected.get()
            && let Some(member) = self.leader()
        {
            self.elected.set(version);
            self.history.add(What::Elected { member });
            for hook in self.on_election.borrow().iter() {
                hook();
            }
        }
    }

    fn away(&self, controller: usize) -> bool {
        self.down.get() || self.refused.borrow()[controller]
    }

    /// Whether a transaction is to come late, and after how many seconds.
    fn puts_off(&self) -> Option<f64> {
        let share = self.late.get();
        let mut rng = self.rng.borrow_mut();
        (share > 0.0 && rng.random_bool(share)).then(|| rng.random_range(LATE_FROM_S..=LATE_TO_S))
    }

    /// Carries a transaction out late; in an outage, once it is over.
    async fn carry_out(self: Rc<Self>, controller: usize, txn: Txn<Value>, wait_s: f64) {
        let sent_at = self.ledger.borrow().revision();
        sleep(wait_s).await;
        while self.down.get() {
            sleep(OUTAGE_LOOK_S).await;
        }
        let key = |c: &Change<Value>| match c {
            Change::Put { key, .. } | Change::Delete { key } => key.clone(),
        };
        let keys: Vec<String> = txn.changes.iter().map(key).collect();
        let since = self.ledger.borrow().changes_since("", sent_at);
        let changed: BTreeSet<String> = since
            .into_iter()
            .flatten()
            .filter_map(|e| e.put.or(e.delete))
            .collect();
        let is_changed = |key: &&String| changed.contains(*key);
        let overtaken = keys.iter().filter(is_changed).cloned().collect();
        let done = self.ledger.borrow_mut().txn(self.world.now(), &txn);
        self.changed.notify_all();
        let applied = matches!(done, Ok(Outcome::Applied { .. }));
        if applied {
            self.figures.applied(&txn);
            self.granted.applied(&self.history, &txn);
        }
        self.history.add(What::LateWrite {
            controller,
            keys,
            applied,
            overtaken,
            leader_changed: changed.contains(LEADER_KEY),
        });
    }

    /// Whether the answer to a transaction is to be lost.
    fn loses_answer(&self) -> bool {
        let share = self.unanswered.get();
        share > 0.0 && self.rng.borrow_mut().random_bool(share)
    }

    /// Tells the history of a transaction whose sender hears nothing of it.
    fn tell_lost_answer(&self, controller: usize, txn: &Txn<Value>, applied: bool) {
        let (mut puts, mut deletes) = (Vec::new(), Vec::new());
        for change in &txn.changes {
            match change {
                Change::Put { key, .. } => puts.push(key.clone()),
                Change::Delete { key } => deletes.push(key.clone()),
            }
        }
        self.history.add(What::LostAnswer {
            controller,
            conditions: txn.conditions.iter().map(|c| c.key.clone()).collect(),
            puts,
            deletes,
            applied,
        });
    }

    /// Tells the history of a transaction whose conditions failed, by its answer.
    fn tell_conflict(&self, controller: usize, body: &[u8]) {
        if let Ok(result) = decode::<TxnResult>(body) {
            let failed = result.failed;
            self.history.add(What::Conflict { controller, failed });
        }
    }

    async fn handle(self: Rc<Self>, controller: usize, request: Request) -> Response {
        if self.slow_s.get() > 0.0 {
            sleep(self.slow_s.get()).await;
        }
        if self.away(controller) {
            return Response::empty(503);
        }
        let now = self.world.now();
        let taken = self.requests.borrow_mut().take(now, 1.0);
        self.figures.asked(!taken);
        if !taken {
            return Response::empty(429);
        }
        let call = match KvRequest::parse(&request.method, &request.target, &request.body) {
            Ok(call) => call,
            Err(status) => return Response::empty(status),
        };
        if let KvRequest::Watch {
            prefix: under,
            from,
            wait_s: hold_s,
        } = &call
        {
            return self.watch(controller, under, *from, now + hold_s).await;
        }
        let writes = call.change_count() as f64;
        if writes > 0.0 && !self.writes.borrow_mut().take(now, writes) {
            return Response::empty(429);
        }
        if let KvRequest::Txn(txn) = &call
            && let Some(wait_s) = self.puts_off()
        {
            // Its sender may give up and end meanwhile: it is on its way all the same.
            let late = self.clone().carry_out(controller, txn.clone(), wait_s);
            self.world.spawn(late);
            sleep(NO_ANSWER_S).await;
            return Response::empty(503);
        }
        let before = self.ledger.borrow().revision();
        let (status, body) = call.execute(&mut self.ledger.borrow_mut(), now);
        if self.ledger.borrow().revision() != before {
            self.changed.notify_all();
            self.tell_election();
            if let KvRequest::Txn(txn) = &call {
                self.figures.applied(txn);
                self.granted.applied(&self.history, txn);
            }
        }
        if self.unanswered.get() > 0.0 && status == CONFLICT && writes > 0.0 {
            self.tell_conflict(controller, &body);
        }
        if let KvRequest::Txn(txn) = &call
            && self.loses_answer()
        {
            self.tell_lost_answer(controller, txn, status == APPLIED);
            sleep(NO_ANSWER_S).await;
            return Response::empty(503);
        }
        Response::new(status, body)
    }

    /// Waits for a change; during an outage it stays open.
    async fn watch(&self, controller: usize, under: &str, from: u64, until: f64) -> Response {
        loop {
            let now = self.world.now();
            let away = self.away(controller);
            if !away {
                let due = watch_reply(&self.ledger.borrow(), under, from, now >= until);
                if let Some((status, body)) = due {
                    return Response::new(status, body);
                }
            }
            let wait = if away { 0.5 } else { until - now };
            let _ = select(pin!(self.changed.notified()), pin!(sleep(wait.max(0.001)))).await;
        }
    }
}
