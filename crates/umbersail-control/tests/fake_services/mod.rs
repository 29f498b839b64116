//! Fakes of the state service and of the cloud. They implement the part of the published
//! protocol that the tests need.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use umbersail_http::{Handler, Request, Response, ServerLimits, serve};
use umbersail_kv::api::{KvRequest, watch_reply};
use umbersail_kv::{KvStore, Limits};
use umbersail_runtime::{TcpListener, sleep, spawn};
use umbersail_wire::{Catalogue, Change, MachineList, MachineType, Txn, Value, encode};

pub fn server_limits() -> ServerLimits {
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

/// A fake state service: the state service with a clock of its own. The clock stops during an
/// outage, so that no lease expires then.
pub struct StateService {
    store: RefCell<KvStore>,
    now: Cell<f64>,
    /// Whether the service rejects every request, as during an outage.
    pub down: Cell<bool>,
    /// The service rejects reads of keys with this prefix.
    pub rejects_reads_of: Cell<Option<&'static str>>,
    /// The reply to delay next; cleared once a matching transaction has been executed.
    pub delayed_reply: RefCell<Option<DelayedReply>>,
}

/// A reply that the service delays, possibly beyond the timeout of the client.
pub struct DelayedReply {
    /// Delays the reply to the next transaction that changes a key with this prefix.
    pub key_prefix: &'static str,
    pub delay_s: f64,
}

fn changes_key(txn: &Txn<Value>, key_prefix: &str) -> bool {
    let keys = txn.changes.iter().map(|change| match change {
        Change::Put { key, .. } | Change::Delete { key } => key,
    });
    keys.into_iter().any(|key| key.starts_with(key_prefix))
}

impl StateService {
    pub fn start() -> Rc<StateService> {
        let service = Rc::new(StateService {
            store: RefCell::new(KvStore::new(Limits::default())),
            now: Cell::new(0.0),
            down: Cell::new(false),
            rejects_reads_of: Cell::default(),
            delayed_reply: RefCell::default(),
        });
        let ticking_service = service.clone();
        spawn(async move {
            loop {
                sleep(0.02).await;
                if !ticking_service.down.get() {
                    ticking_service.now.set(ticking_service.now.get() + 0.02);
                    ticking_service
                        .store
                        .borrow_mut()
                        .expire(ticking_service.now.get());
                }
            }
        });
        service
    }

    /// Opens a separate listener for one node. Returns its address and a switch that makes
    /// the service reject the requests of this node alone.
    pub fn listen_for_node(self: &Rc<Self>, addr: SocketAddr) -> (SocketAddr, Rc<Cell<bool>>) {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let rejects_requests: Rc<Cell<bool>> = Rc::default();
        let (service, rejects_node) = (self.clone(), rejects_requests.clone());
        let handler: Handler = Rc::new(move |request| {
            let (service, rejects_node) = (service.clone(), rejects_node.clone());
            Box::pin(async move {
                if rejects_node.get() {
                    return Response::empty(503);
                }
                service.handle(request).await
            })
        });
        spawn(serve(listener, server_limits(), handler));
        (addr, rejects_requests)
    }

    pub fn has(&self, key: &str) -> bool {
        self.store.borrow().get(key).is_some()
    }

    /// The member named in the record of the leader key.
    pub fn leader_member(&self) -> Option<String> {
        let found = self.store.borrow().get("leader")?;
        let fields = found.value.as_map()?;
        let member = fields.iter().find(|(k, _)| k.as_str() == Some("member"))?;
        member.1.as_str().map(str::to_owned)
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if self.down.get() || self.rejects_read(&request) {
            return Response::empty(503);
        }
        let (status, body) = match KvRequest::parse(&request.method, &request.target, &request.body)
        {
            Ok(KvRequest::Watch {
                prefix,
                from,
                wait_s,
            }) => self.watch(&prefix, from, wait_s).await,
            Ok(call) => {
                let reply = call.execute(&mut self.store.borrow_mut(), self.now.get());
                if let KvRequest::Txn(txn) = &call {
                    self.delay_reply(txn).await;
                }
                reply
            }
            Err(status) => (status, Vec::new()),
        };
        Response::new(status, body)
    }

    fn rejects_read(&self, request: &Request) -> bool {
        let key = request.target.strip_prefix("/keys/");
        let prefix = self.rejects_reads_of.get();
        key.zip(prefix)
            .is_some_and(|(key, prefix)| key.starts_with(prefix))
    }

    /// Delays the reply to a transaction that matches `delayed_reply`. The transaction has
    /// already been executed.
    async fn delay_reply(&self, txn: &Txn<Value>) {
        let delayed = self
            .delayed_reply
            .borrow_mut()
            .take_if(|delayed| changes_key(txn, delayed.key_prefix));
        if let Some(delayed) = delayed {
            sleep(delayed.delay_s).await;
        }
    }

    async fn watch(&self, prefix: &str, from: u64, wait_s: f64) -> (u16, Vec<u8>) {
        let mut waited = 0.0;
        loop {
            let reply = watch_reply(&self.store.borrow(), prefix, from, waited >= wait_s);
            if let Some(reply) = reply {
                return reply;
            }
            sleep(0.01).await;
            waited += 0.01;
        }
    }
}

/// A fake cloud with one machine type that has no machines to rent.
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
    spawn(serve(listener, server_limits(), handler));
    addr
}
