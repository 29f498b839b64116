//! The state service, as `PROTOCOL-umbersail.md` describes it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Req, Resp, serve};
use crate::msgpack::{V, map};

/// A limit in requests per second with bursts of `burst`.
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, burst: f64) -> Bucket {
        Bucket { rate, burst, level: burst, at: Instant::now() }
    }
    pub fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = now;
        if self.level < n {
            return false;
        }
        self.level -= n;
        true
    }
}

struct Entry {
    value: V,
    stamp: u64,
    lease: u64,
}

struct Event {
    key: String,
    value: Option<V>,
    stamp: u64,
}

struct Store {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    log: VecDeque<Event>,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
    /// All requests get 503.
    pub outage: AtomicBool,
    txn_ops: usize,
    value_bytes: usize,
}

fn reply(status: u16, v: V) -> Option<Resp> {
    Some(Resp { status, body: v.encode() })
}

fn failure(status: u16, why: &str) -> Option<Resp> {
    reply(status, map(vec![("error", why.into())]))
}

impl State {
    pub fn start(rps: f64, write_rps: f64, txn_ops: usize, value_kb: usize) -> (Arc<State>, SocketAddr) {
        let state = Arc::new(State {
            store: Mutex::new(Store {
                revision: 1,
                keys: BTreeMap::new(),
                leases: HashMap::new(),
                next_lease: 1,
                log: VecDeque::new(),
                requests: Bucket::new(rps, rps),
                writes: Bucket::new(write_rps, write_rps),
            }),
            changed: Condvar::new(),
            outage: AtomicBool::new(false),
            txn_ops,
            value_bytes: value_kb * 1024,
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let handler = state.clone();
        serve(listener, Arc::default(), Arc::new(move |req| handler.handle(req)));
        let ticker = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                if !ticker.outage.load(Ordering::SeqCst) {
                    ticker.expire(&mut ticker.store.lock().unwrap());
                }
            }
        });
        (state, addr)
    }

    /// Ends or begins an outage. After it every lease has its full time again.
    pub fn set_outage(&self, out: bool) {
        let mut store = self.store.lock().unwrap();
        if !out {
            let now = Instant::now();
            store.leases.values_mut().for_each(|(end, ttl)| *end = now + *ttl);
        }
        self.outage.store(out, Ordering::SeqCst);
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<V> {
        self.store.lock().unwrap().keys.get(key).map(|e| e.value.clone())
    }

    fn expire(&self, store: &mut Store) {
        let now = Instant::now();
        let ended: Vec<u64> =
            store.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(store, id);
        }
    }

    fn end_lease(&self, store: &mut Store, id: u64) {
        store.leases.remove(&id);
        let keys: Vec<String> =
            store.keys.iter().filter(|(_, e)| e.lease == id).map(|(k, _)| k.clone()).collect();
        if keys.is_empty() {
            return;
        }
        store.revision += 1;
        let stamp = store.revision;
        for key in keys {
            store.keys.remove(&key);
            self.record(store, Event { key, value: None, stamp });
        }
        self.changed.notify_all();
    }

    fn record(&self, store: &mut Store, event: Event) {
        store.log.push_back(event);
        if store.log.len() > 10_000 {
            store.log.pop_front();
        }
    }

    fn handle(&self, req: Req) -> Option<Resp> {
        std::thread::sleep(Duration::from_millis(2));
        let mut store = self.store.lock().unwrap();
        if !store.requests.take(1.0) {
            return failure(429, "too many requests");
        }
        if self.outage.load(Ordering::SeqCst) {
            return failure(503, "outage");
        }
        self.expire(&mut store);
        let path = req.path.clone();
        match (&*req.method, &*path) {
            ("GET", "/keys") => self.list(&store, &req),
            ("GET", "/follow") => {
                drop(store);
                self.follow(&req)
            }
            ("POST", "/multi") => self.multi(&mut store, &req),
            ("POST", "/holds") => {
                let ttl = V::decode(&req.body).and_then(|v| v.get("ttl_ms").u64());
                let Some(ttl) = ttl.filter(|t| (100..=600_000).contains(t)) else {
                    return failure(400, "ttl_ms");
                };
                let id = store.next_lease;
                store.next_lease += 1;
                let ttl = Duration::from_millis(ttl);
                store.leases.insert(id, (Instant::now() + ttl, ttl));
                reply(200, map(vec![("tenancy", id.into())]))
            }
            (method, path) if path.starts_with("/holds/") => {
                let rest = &path["/holds/".len()..];
                let (id, renew) = match rest.strip_suffix("/renew") {
                    Some(id) => (id, true),
                    None => (rest, false),
                };
                let id: u64 = id.parse().unwrap_or(0);
                match (method, renew) {
                    ("POST", true) => match store.leases.get_mut(&id) {
                        Some((end, ttl)) => {
                            *end = Instant::now() + *ttl;
                            reply(200, map(vec![("tenancy", id.into())]))
                        }
                        None => failure(404, "no such lease"),
                    },
                    ("DELETE", false) => {
                        self.end_lease(&mut store, id);
                        reply(200, map(vec![]))
                    }
                    _ => failure(400, "method"),
                }
            }
            ("GET", path) if path.starts_with("/keys/") => {
                let key = &path["/keys/".len()..];
                match store.keys.get(key) {
                    Some(e) => reply(
                        200,
                        map(vec![
                            ("key", key.into()),
                            ("value", e.value.clone()),
                            ("stamp", e.stamp.into()),
                            ("tenancy", if e.lease == 0 { V::Nil } else { e.lease.into() }),
                        ]),
                    ),
                    None => reply(404, map(vec![("ledger_count", store.revision.into())])),
                }
            }
            _ => failure(400, "no such request"),
        }
    }

    fn list(&self, store: &Store, req: &Req) -> Option<Resp> {
        let under = req.arg("under").unwrap_or("");
        let from = req.arg("from").unwrap_or("");
        let most: usize = req.arg("most").and_then(|m| m.parse().ok()).unwrap_or(1000);
        let all = store
            .keys
            .range(under.to_owned()..)
            .take_while(|(k, _)| k.starts_with(under))
            .filter(|(k, _)| from.is_empty() || ***k > *from);
        let mut pairs = Vec::new();
        let (mut more, mut bytes) = (false, 0);
        for (k, e) in all {
            bytes += k.len() + e.value.json().len() + 40;
            if pairs.len() >= most.min(1000) || bytes > 500 * 1024 {
                more = true;
                break;
            }
            pairs.push(map(vec![
                ("key", (&**k).into()),
                ("value", e.value.clone()),
                ("stamp", e.stamp.into()),
            ]));
        }
        reply(
            200,
            map(vec![
                ("pairs", pairs.into()),
                ("more", more.into()),
                ("ledger_count", store.revision.into()),
            ]),
        )
    }

    fn follow(&self, req: &Req) -> Option<Resp> {
        let under = req.arg("under").unwrap_or("").to_owned();
        let from: u64 = req.arg("from").and_then(|f| f.parse().ok()).unwrap_or(0);
        let hold: u64 = req.arg("hold_ms").and_then(|f| f.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(hold.min(60_000));
        let mut store = self.store.lock().unwrap();
        loop {
            if store.log.len() == 10_000 && store.log.front().is_some_and(|e| e.stamp > from + 1) {
                return failure(410, "too old");
            }
            let out = self.outage.load(Ordering::SeqCst);
            let events: Vec<V> = store
                .log
                .iter()
                .filter(|e| !out && e.stamp > from && e.key.starts_with(&under))
                .map(|e| match &e.value {
                    Some(v) => map(vec![
                        ("put", (&*e.key).into()),
                        ("value", v.clone()),
                        ("stamp", e.stamp.into()),
                    ]),
                    None => map(vec![("drop", (&*e.key).into()), ("stamp", e.stamp.into())]),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return reply(
                    200,
                    map(vec![("ledger_count", store.revision.into()), ("log", events.into())]),
                );
            }
            store = self.changed.wait_timeout(store, left.min(Duration::from_millis(200))).unwrap().0;
        }
    }

    fn multi(&self, store: &mut Store, req: &Req) -> Option<Resp> {
        let Some(txn) = V::decode(&req.body) else {
            return failure(400, "malformed");
        };
        let (conditions, changes) = (txn.get("if").list(), txn.get("then").list());
        if changes.len() > self.txn_ops
            || conditions.len() > 4 * self.txn_ops
            || txn.json().len() > 64 * 1024
        {
            return failure(400, "transaction too large");
        }
        for change in changes {
            if change.get("value").json().len() > self.value_bytes {
                return failure(400, "value too large");
            }
        }
        if !changes.is_empty() && !store.writes.take(changes.len() as f64) {
            return failure(429, "too many changes");
        }
        let failed: Vec<V> = conditions
            .iter()
            .filter(|c| {
                let key = c.get("key").str().unwrap_or("");
                let stamp = store.keys.get(key).map_or(0, |e| e.stamp);
                c.get("stamp").u64() != Some(stamp)
            })
            .map(|c| c.get("key").clone())
            .collect();
        for change in changes {
            if let Some(lease) = change.get("tenancy").u64()
                && !store.leases.contains_key(&lease)
            {
                return failure(400, "no such lease");
            }
        }
        if !failed.is_empty() {
            return reply(
                409,
                map(vec![("failed", failed.into()), ("ledger_count", store.revision.into())]),
            );
        }
        if !changes.is_empty() {
            store.revision += 1;
            let stamp = store.revision;
            for change in changes {
                if let Some(key) = change.get("put").str() {
                    let value = change.get("value").clone();
                    let lease = change.get("tenancy").u64().unwrap_or(0);
                    store.keys.insert(key.to_owned(), Entry { value: value.clone(), stamp, lease });
                    self.record(store, Event { key: key.to_owned(), value: Some(value), stamp });
                } else if let Some(key) = change.get("drop").str()
                    && store.keys.remove(key).is_some()
                {
                    self.record(store, Event { key: key.to_owned(), value: None, stamp });
                }
            }
            self.changed.notify_all();
        }
        reply(200, map(vec![("ledger_count", store.revision.into())]))
    }
}
