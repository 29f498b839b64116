//! Stand-ins for the state service and the cloud, by the published protocol,
//! as far as the tests need them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use umbersail_http::{Handler, Request, Response, ServerLimits, serve};
use umbersail_kv::api::{KvRequest, watch_reply};
use umbersail_kv::{KvStore, Limits};
use umbersail_runtime::{TcpListener, sleep, spawn};
use umbersail_wire::{Catalogue, Change, MachineList, MachineType, Txn, Value, encode};

pub fn limits() -> ServerLimits {
    ServerLimits {
        max_body_bytes: 1 << 20,
        max_connections: 100,
        reserved: Rc::default(),
        min_unreserved: 100,
        reserved_paths: vec![],
        idle_timeout_s: 30.0,
        receive_timeout_s: 5.0,
        send_timeout_s: 5.0,
    }
}

fn answer(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, encode(body))
}

/// The state service: the store on the tests' own time, which stands still in
/// an outage.
pub struct StateService {
    store: RefCell<KvStore>,
    now: Cell<f64>,
    pub down: Cell<bool>,
    /// The answer to the next transaction that changes such a key is held up.
    pub held_answer: RefCell<Option<HeldAnswer>>,
}

/// An answer that comes late, or too late for whoever waits for it.
pub struct HeldAnswer {
    /// The transaction changes a key with this prefix.
    pub prefix: &'static str,
    pub for_s: f64,
}

fn changes_key(txn: &Txn<Value>, prefix: &str) -> bool {
    let keys = txn.changes.iter().map(|change| match change {
        Change::Put { key, .. } | Change::Delete { key } => key,
    });
    keys.into_iter().any(|key| key.starts_with(prefix))
}

impl StateService {
    pub fn start() -> Rc<StateService> {
        let service = Rc::new(StateService {
            store: RefCell::new(KvStore::new(Limits::default())),
            now: Cell::new(0.0),
            down: Cell::new(false),
            held_answer: RefCell::default(),
        });
        let inner = service.clone();
        spawn(async move {
            loop {
                sleep(0.02).await;
                if !inner.down.get() {
                    inner.now.set(inner.now.get() + 0.02);
                    inner.store.borrow_mut().expire(inner.now.get());
                }
            }
        });
        service
    }

    /// An address of its own for one node, and a switch that refuses only it.
    pub fn door(self: &Rc<Self>, addr: SocketAddr) -> (SocketAddr, Rc<Cell<bool>>) {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let refuses: Rc<Cell<bool>> = Rc::default();
        let (inner, refused) = (self.clone(), refuses.clone());
        let handler: Handler = Rc::new(move |request| {
            let (inner, refused) = (inner.clone(), refused.clone());
            Box::pin(async move {
                if refused.get() {
                    return Response::empty(503);
                }
                inner.handle(request).await
            })
        });
        spawn(serve(listener, limits(), handler));
        (addr, refuses)
    }

    pub fn has(&self, key: &str) -> bool {
        self.store.borrow().get(key).is_some()
    }

    /// The member that the leader's key names.
    pub fn leader(&self) -> Option<String> {
        let found = self.store.borrow().get("leader")?;
        let fields = found.value.as_map()?;
        let member = fields.iter().find(|(k, _)| k.as_str() == Some("member"))?;
        member.1.as_str().map(str::to_owned)
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if self.down.get() {
            return Response::empty(503);
        }
        let (status, body) = match KvRequest::parse(&request.method, &request.target, &request.body)
        {
            Ok(KvRequest::Watch {
                prefix: under,
                from,
                wait_s: hold_s,
            }) => self.watch(&under, from, hold_s).await,
            Ok(call) => {
                let reply = call.execute(&mut self.store.borrow_mut(), self.now.get());
                if let KvRequest::Txn(txn) = &call {
                    self.hold_answer(txn).await;
                }
                reply
            }
            Err(status) => (status, Vec::new()),
        };
        Response::new(status, body)
    }

    /// Waits before an answer if it is the one to be held up; the transaction is carried
    /// out already.
    async fn hold_answer(&self, txn: &Txn<Value>) {
        let held = self
            .held_answer
            .borrow_mut()
            .take_if(|held| changes_key(txn, held.prefix));
        if let Some(held) = held {
            sleep(held.for_s).await;
        }
    }

    async fn watch(&self, under: &str, from: u64, hold_s: f64) -> (u16, Vec<u8>) {
        let mut waited = 0.0;
        loop {
            let due = watch_reply(&self.store.borrow(), under, from, waited >= hold_s);
            if let Some(reply) = due {
                return reply;
            }
            sleep(0.01).await;
            waited += 0.01;
        }
    }
}

/// A cloud that has one machine type and no machines to give.
pub fn start_cloud(addr: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(addr).unwrap();
    let addr = listener.local_addr().unwrap();
    let handler: Handler = Rc::new(|request: Request| {
        Box::pin(async move {
            match request.path() {
                "/catalog" => answer(
                    200,
                    &Catalogue {
                        types: vec![MachineType {
                            name: "m8".into(),
                            cpus: 8.0,
                            gpus: 0.0,
                            memory_gb: 32.0,
                            cache_gb: 50.0,
                            fetch_gb_per_s: 1.0,
                            price: 1.0,
                            spot_price: None,
                            boot_s: 30.0,
                            zones: vec!["a".into()],
                        }],
                    },
                ),
                "/hosts" if request.method == "GET" => answer(
                    200,
                    &MachineList {
                        machines: vec![],
                        more: false,
                    },
                ),
                "/hosts/delete" => Response::empty(200),
                _ => Response::empty(503),
            }
        })
    });
    spawn(serve(listener, limits(), handler));
    addr
}
