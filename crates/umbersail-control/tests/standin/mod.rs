//! Stand-ins for the state service and the cloud, by the published protocol,
//! as far as the tests need them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rmpv::Value;
use umbersail_http::{Handler, Request, Response, ServerLimits, serve};
use umbersail_runtime::{TcpListener, sleep, spawn};
use umbersail_wire::{
    Catalogue, Change, Condition, KeyList, KeyValue, LeaseGranted, MachineList, MachineType, Txn,
    TxnResult, WatchEvent, WatchResult, decode, encode,
};

pub fn limits() -> ServerLimits {
    ServerLimits {
        max_body_bytes: 1 << 20,
        max_connections: 100,
        reserved: Rc::default(),
        least_unreserved: 100,
        reserved_paths: vec![],
        idle_s: 30.0,
        receive_s: 5.0,
        send_s: 5.0,
    }
}

fn answer(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, encode(body))
}

/// A value, its version and its lease.
type Stored = (Value, u64, Option<u64>);

/// The state service: one map, revisions, leases that end when nobody renews.
#[derive(Default)]
pub struct StateService {
    keys: RefCell<BTreeMap<String, Stored>>,
    log: RefCell<Vec<WatchEvent<Value>>>,
    revision: Cell<u64>,
    leases: RefCell<BTreeMap<u64, (f64, f64)>>,
    next_lease: Cell<u64>,
    now: Cell<f64>,
    pub down: Cell<bool>,
}

impl StateService {
    pub fn start() -> Rc<StateService> {
        let service = Rc::new(StateService::default());
        let inner = service.clone();
        spawn(async move {
            loop {
                sleep(0.02).await;
                if !inner.down.get() {
                    inner.expire(0.02);
                }
            }
        });
        service
    }

    /// An address of its own for one node, and a switch that refuses only it.
    pub fn door(self: &Rc<Self>) -> (SocketAddr, Rc<Cell<bool>>) {
        let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
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
        self.keys.borrow().contains_key(key)
    }

    /// The member that the leader's key names.
    pub fn leader(&self) -> Option<String> {
        let keys = self.keys.borrow();
        let (value, ..) = keys.get("leader")?;
        let member = value
            .as_map()?
            .iter()
            .find(|(k, _)| k.as_str() == Some("member"))?;
        member.1.as_str().map(str::to_owned)
    }

    fn expire(&self, dt: f64) {
        self.now.set(self.now.get() + dt);
        let now = self.now.get();
        let ended: Vec<u64> = self
            .leases
            .borrow()
            .iter()
            .filter(|(_, (_, end))| *end < now)
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|id| self.end(id));
    }

    fn end(&self, lease: u64) {
        self.leases.borrow_mut().remove(&lease);
        let gone: Vec<String> = self
            .keys
            .borrow()
            .iter()
            .filter(|(_, (_, _, l))| *l == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        for key in gone {
            self.revision.set(self.revision.get() + 1);
            self.delete(&key);
        }
    }

    fn delete(&self, key: &str) {
        self.keys.borrow_mut().remove(key);
        self.log.borrow_mut().push(WatchEvent {
            put: None,
            delete: Some(key.to_owned()),
            value: None,
            version: self.revision.get(),
        });
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if self.down.get() {
            return Response::empty(503);
        }
        let path = request.path().to_owned();
        let query = |name: &str| {
            let (_, query) = request.target.split_once('?')?;
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(k, _)| *k == name)
                .map(|(_, v)| v.to_owned())
        };
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/keys") => {
                let prefix = query("under").unwrap_or_default();
                let items = self
                    .keys
                    .borrow()
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix))
                    .map(|(k, (value, version, _))| KeyValue {
                        key: k.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect();
                answer(
                    200,
                    &KeyList {
                        items,
                        more: false,
                        revision: self.revision.get(),
                    },
                )
            }
            ("GET", "/follow") => {
                let prefix = query("under").unwrap_or_default();
                let from: u64 = query("from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let hold: f64 = query("hold_ms").and_then(|f| f.parse().ok()).unwrap_or(0.0);
                self.follow(&prefix, from, hold / 1000.0).await
            }
            ("POST", "/multi") => self.multi(&request.body),
            ("POST", "/holds") => {
                let wanted: umbersail_wire::LeaseRequest = decode(&request.body).unwrap();
                let ttl = wanted.ttl_ms as f64 / 1000.0;
                let id = self.next_lease.get() + 1;
                self.next_lease.set(id);
                self.leases
                    .borrow_mut()
                    .insert(id, (ttl, self.now.get() + ttl));
                answer(200, &LeaseGranted { lease: id })
            }
            (method, path) => {
                if let Some(key) = path.strip_prefix("/keys/") {
                    return match self.keys.borrow().get(key) {
                        Some((value, version, _)) => answer(
                            200,
                            &KeyValue {
                                key: key.to_owned(),
                                value: value.clone(),
                                version: *version,
                            },
                        ),
                        None => Response::empty(404),
                    };
                }
                let Some(rest) = path.strip_prefix("/holds/") else {
                    return Response::empty(400);
                };
                let id: u64 = rest.split('/').next().unwrap().parse().unwrap();
                if method == "DELETE" {
                    self.end(id);
                    return Response::empty(200);
                }
                match self.leases.borrow_mut().get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = self.now.get() + *ttl;
                        Response::empty(200)
                    }
                    None => Response::empty(404),
                }
            }
        }
    }

    async fn follow(&self, prefix: &str, from: u64, hold_s: f64) -> Response {
        let mut waited = 0.0;
        loop {
            let events: Vec<WatchEvent<Value>> = self
                .log
                .borrow()
                .iter()
                .filter(|e| e.version > from)
                .filter(|e| {
                    let key = e.put.as_ref().or(e.delete.as_ref());
                    key.is_some_and(|k| k.starts_with(prefix))
                })
                .cloned()
                .collect();
            if !events.is_empty() || waited >= hold_s {
                return answer(
                    200,
                    &WatchResult {
                        revision: self.revision.get(),
                        events,
                    },
                );
            }
            sleep(0.01).await;
            waited += 0.01;
        }
    }

    fn multi(&self, body: &[u8]) -> Response {
        let txn: Txn<Value> = decode(body).unwrap();
        let version = |key: &str| self.keys.borrow().get(key).map_or(0, |(_, v, _)| *v);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|Condition { key, version: v }| version(key) != *v)
            .map(|c| c.key.clone())
            .collect();
        let status = if failed.is_empty() { 200 } else { 409 };
        if failed.is_empty() {
            self.revision.set(self.revision.get() + 1);
            for change in txn.changes {
                match change {
                    Change::Put { key, value, lease } => {
                        let revision = self.revision.get();
                        self.keys
                            .borrow_mut()
                            .insert(key.clone(), (value.clone(), revision, lease));
                        self.log.borrow_mut().push(WatchEvent {
                            put: Some(key),
                            delete: None,
                            value: Some(value),
                            version: revision,
                        });
                    }
                    Change::Delete { key } => self.delete(&key),
                }
            }
        }
        answer(
            status,
            &TxnResult {
                revision: self.revision.get(),
                failed,
            },
        )
    }
}

/// A cloud that has one machine type and no machines to give.
pub fn start_cloud() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
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
