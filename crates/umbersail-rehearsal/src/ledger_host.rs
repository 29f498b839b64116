//! The stand-in for the state service: `umbersail-ledger` behind HTTP, a door
//! of its own for each controller, and the troubles that it may have.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::select;
use umbersail_http::{Handler, Request, Response, ServerLimits, serve};
use umbersail_ledger::api::{Call, watched};
use umbersail_ledger::{Bounds, Bucket, Ledger};
use umbersail_runtime::{Broadcast, TcpListener, WorldHandle, sleep, spawn};
use umbersail_wire::encode;

use crate::history::{History, What};
use crate::night::State;

/// Bounds of a stand-in's listener: nothing of the kit is meant to be scarce.
pub(crate) fn wide_limits() -> ServerLimits {
    ServerLimits {
        max_body_bytes: 1 << 20,
        max_connections: 10_000,
        reserved: Rc::default(),
        least_unreserved: 10_000,
        reserved_paths: vec![],
        idle_s: 120.0,
        receive_s: 10.0,
        send_s: 10.0,
    }
}

pub(crate) fn answer(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, encode(body))
}

/// The service, its troubles, and who asked how much.
pub struct LedgerHost {
    world: WorldHandle,
    ledger: RefCell<Ledger>,
    changed: Broadcast,
    requests: RefCell<Bucket>,
    writes: RefCell<Bucket>,
    down: Cell<bool>,
    /// Seconds that every answer takes on top.
    pub slow_s: Cell<f64>,
    /// Controllers that are refused alone.
    pub refused: RefCell<Vec<bool>>,
    history: History,
    /// Version of the leader's key whose election is in the history.
    elected: Cell<u64>,
}

impl LedgerHost {
    pub fn new(
        world: WorldHandle,
        history: History,
        state: &State,
        controllers: usize,
    ) -> Rc<LedgerHost> {
        let bounds = Bounds {
            txn_ops: state.txn_ops,
            value_bytes: (state.value_kb * 1024.0) as usize,
            ..Bounds::default()
        };
        Rc::new(LedgerHost {
            world,
            ledger: RefCell::new(Ledger::new(bounds)),
            changed: Broadcast::default(),
            requests: RefCell::new(Bucket::new(state.rps, 1.0)),
            writes: RefCell::new(Bucket::new(state.write_rps, 1.0)),
            down: Cell::new(false),
            slow_s: Cell::new(0.0),
            refused: RefCell::new(vec![false; controllers]),
            history,
            elected: Cell::new(0),
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
                self.changed.raise();
            }
        }
    }

    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        if !down {
            self.ledger.borrow_mut().resume(self.world.now());
            self.changed.raise();
        }
    }

    /// The member that the leader's key names.
    pub fn leader(&self) -> Option<String> {
        let found = self.ledger.borrow().get("leader")?;
        let fields = found.value.as_map()?;
        let member = fields.iter().find(|(k, _)| k.as_str() == Some("member"))?;
        member.1.as_str().map(str::to_owned)
    }

    /// Adds an election to the history once the leader's key has been put anew.
    fn tell_election(&self) {
        let version = self.ledger.borrow().get("leader").map_or(0, |k| k.version);
        if version > self.elected.get()
            && let Some(member) = self.leader()
        {
            self.elected.set(version);
            self.history.add(What::Elected { member });
        }
    }

    fn away(&self, controller: usize) -> bool {
        self.down.get() || self.refused.borrow()[controller]
    }

    async fn handle(&self, controller: usize, request: Request) -> Response {
        if self.slow_s.get() > 0.0 {
            sleep(self.slow_s.get()).await;
        }
        if self.away(controller) {
            return Response::empty(503);
        }
        let now = self.world.now();
        if !self.requests.borrow_mut().take(now, 1.0) {
            return Response::empty(429);
        }
        let call = match Call::parse(&request.method, &request.target, &request.body) {
            Ok(call) => call,
            Err(status) => return Response::empty(status),
        };
        if let Call::Watch {
            under,
            from,
            hold_s,
        } = &call
        {
            return self.watch(controller, under, *from, now + hold_s).await;
        }
        let writes = call.writes() as f64;
        if writes > 0.0 && !self.writes.borrow_mut().take(now, writes) {
            return Response::empty(429);
        }
        let before = self.ledger.borrow().revision();
        let (status, body) = call.execute(&mut self.ledger.borrow_mut(), now);
        if self.ledger.borrow().revision() != before {
            self.changed.raise();
            self.tell_election();
        }
        Response::new(status, body)
    }

    /// Waits for a change; during an outage it stays open.
    async fn watch(&self, controller: usize, under: &str, from: u64, until: f64) -> Response {
        loop {
            let now = self.world.now();
            let away = self.away(controller);
            if !away {
                let due = watched(&self.ledger.borrow(), under, from, now >= until);
                if let Some((status, body)) = due {
                    return Response::new(status, body);
                }
            }
            let wait = if away { 0.5 } else { until - now };
            let _ = select(pin!(self.changed.raised()), pin!(sleep(wait.max(0.001)))).await;
        }
    }
}
