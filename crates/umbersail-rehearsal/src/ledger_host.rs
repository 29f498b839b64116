//! The stand-in for the state service: `umbersail-ledger` behind HTTP, a door
//! of its own for each controller, and the troubles that it may have.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use futures::future::select;
use rmpv::Value;
use std::pin::pin;
use umbersail_http::{Handler, Request, Response, ServerLimits, serve};
use umbersail_ledger::{Bounds, Bucket, Ledger, Outcome, Refusal};
use umbersail_runtime::{Broadcast, TcpListener, WorldHandle, sleep, spawn};
use umbersail_wire::{
    Change, LeaseGranted, LeaseRequest, Txn, TxnResult, WatchResult, decode, encode, paths,
};

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

/// One parameter of a request's query.
pub(crate) fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let (_, query) = request.target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(k, _)| *k == name).map(|(_, v)| v)
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
}

impl LedgerHost {
    pub fn new(world: WorldHandle, state: &State, controllers: usize) -> Rc<LedgerHost> {
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
        let refused = |refusal: Refusal| match refusal {
            Refusal::Malformed(_) => Response::empty(400),
            Refusal::NoSuchLease => Response::empty(404),
            Refusal::Compacted => Response::empty(410),
        };
        let path = request.path();
        let under = query(&request, "under").unwrap_or("");
        let lease = |rest: &str| rest.split('/').next().and_then(|id| id.parse::<u64>().ok());
        match (request.method.as_str(), path) {
            ("GET", paths::KEYS) => {
                let most = query(&request, "most").and_then(|m| m.parse().ok());
                let ledger = self.ledger.borrow();
                answer(
                    200,
                    &ledger.list(under, query(&request, "from"), most.unwrap_or(1000)),
                )
            }
            ("GET", paths::WATCH) => self.watch(controller, &request, under).await,
            ("POST", paths::TXN) => self.txn(now, &request.body),
            ("POST", paths::LEASES) => match decode::<LeaseRequest>(&request.body) {
                Ok(wanted) => match self.ledger.borrow_mut().grant(now, wanted.ttl_ms) {
                    Ok(lease) => answer(200, &LeaseGranted { lease }),
                    Err(refusal) => refused(refusal),
                },
                Err(_) => Response::empty(400),
            },
            (method, path) => {
                if let Some(key) = path.strip_prefix("/keys/") {
                    let ledger = self.ledger.borrow();
                    return match ledger.get(key) {
                        Some(found) => answer(200, &found),
                        None => answer(404, &missing(ledger.revision())),
                    };
                }
                let Some(id) = path.strip_prefix("/holds/").and_then(lease) else {
                    return Response::empty(404);
                };
                let mut ledger = self.ledger.borrow_mut();
                let outcome = match method {
                    "DELETE" => ledger.end(now, id),
                    _ => ledger.renew(now, id),
                };
                drop(ledger);
                self.changed.raise();
                outcome.map_or_else(refused, |()| Response::empty(200))
            }
        }
    }

    fn txn(&self, now: f64, body: &[u8]) -> Response {
        let Ok(txn) = decode::<Txn<Value>>(body) else {
            return Response::empty(400);
        };
        let writes = txn.changes.len() as f64;
        if writes > 0.0 && !self.writes.borrow_mut().take(now, writes) {
            return Response::empty(429);
        }
        let outcome = self.ledger.borrow_mut().txn(now, &txn);
        let revision = self.ledger.borrow().revision();
        match outcome {
            Ok(Outcome::Applied { revision }) => {
                if txn
                    .changes
                    .iter()
                    .any(|c| matches!(c, Change::Put { .. } | Change::Delete { .. }))
                {
                    self.changed.raise();
                }
                answer(
                    200,
                    &TxnResult {
                        revision,
                        failed: vec![],
                    },
                )
            }
            Ok(Outcome::Failed { keys }) => answer(
                409,
                &TxnResult {
                    revision,
                    failed: keys,
                },
            ),
            Err(_) => Response::empty(400),
        }
    }

    /// Waits for a change; during an outage it stays open.
    async fn watch(&self, controller: usize, request: &Request, under: &str) -> Response {
        let from = query(request, "from")
            .and_then(|f| f.parse().ok())
            .unwrap_or(0);
        let hold_ms = query(request, "hold_ms").and_then(|h| h.parse::<f64>().ok());
        let until = self.world.now() + hold_ms.unwrap_or(0.0).min(60_000.0) / 1000.0;
        loop {
            let over = self.world.now() >= until;
            let away = self.away(controller);
            if !away {
                match self.ledger.borrow().changes(under, from) {
                    Err(_) => return Response::empty(410),
                    Ok(events) if !events.is_empty() || over => {
                        let revision = self.ledger.borrow().revision();
                        return answer(200, &WatchResult { revision, events });
                    }
                    Ok(_) => {}
                }
            }
            let wait = if away { 0.5 } else { until - self.world.now() };
            let _ = select(pin!(self.changed.raised()), pin!(sleep(wait.max(0.001)))).await;
        }
    }
}

fn missing(revision: u64) -> TxnResult {
    TxnResult {
        revision,
        failed: vec![],
    }
}
