//! Client of the cloud, within its limit.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use tracing::{debug, warn};
use umbersail_http::Client;
use umbersail_runtime::{Clock, sleep};
use umbersail_wire::{
    Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest, decode, encode,
    paths,
};

use crate::state::TokenBucket;

/// What came of a rental request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RentOutcome {
    Machines(Vec<String>),
    NoCapacity,
    /// Perhaps rented, now or later: the machines would show up in the list.
    Unknown,
}

#[derive(Clone)]
pub struct CloudClient {
    inner: Rc<Inner>,
}

struct Inner {
    http: Client,
    addr: SocketAddr,
    clock: Rc<dyn Clock>,
    budget: RefCell<TokenBucket>,
    timeout_s: f64,
    malformed: Cell<u64>,
}

impl CloudClient {
    pub fn new(
        http: Client,
        addr: SocketAddr,
        clock: Rc<dyn Clock>,
        rps: f64,
        timeout_s: f64,
    ) -> CloudClient {
        CloudClient {
            inner: Rc::new(Inner {
                http,
                addr,
                clock,
                budget: RefCell::new(TokenBucket::new(rps)),
                timeout_s,
                malformed: Cell::new(0),
            }),
        }
    }

    async fn call(&self, method: &str, target: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        while !self
            .inner
            .budget
            .borrow_mut()
            .take(self.inner.clock.now(), 1.0)
        {
            sleep(0.1).await;
        }
        match self
            .inner
            .http
            .request(self.inner.addr, method, target, body, self.inner.timeout_s)
            .await
        {
            Ok(answer) => Some(answer),
            Err(e) => {
                debug!(method, target, reason = %e, "cloud does not answer");
                None
            }
        }
    }

    fn read<T: DeserializeOwned>(&self, what: &str, body: &[u8]) -> Option<T> {
        match decode(body) {
            Ok(value) => Some(value),
            Err(e) => {
                let count = self.inner.malformed.get() + 1;
                self.inner.malformed.set(count);
                warn!(what, reason = %e, count, "malformed answer of the cloud");
                None
            }
        }
    }

    /// Machine types with current prices; types that make no sense are left out.
    pub async fn catalogue(&self) -> Option<Vec<MachineType>> {
        match self.call("GET", paths::MACHINE_TYPES, b"").await? {
            (200, body) => {
                let mut types = self.read::<Catalogue>("catalogue", &body)?.types;
                types.retain(|t| {
                    [
                        t.cpus,
                        t.gpus,
                        t.memory_gb,
                        t.cache_gb,
                        t.fetch_gb_per_s,
                        t.price,
                        t.boot_s,
                    ]
                    .iter()
                    .all(|v| v.is_finite() && *v >= 0.0)
                });
                Some(types)
            }
            (status, _) => {
                debug!(status, "cloud gives no catalogue");
                None
            }
        }
    }

    pub async fn rent(&self, request: &RentRequest) -> RentOutcome {
        match self.call("POST", paths::MACHINES, &encode(request)).await {
            Some((200, body)) => match self.read::<MachineNames>("rental", &body) {
                Some(names) => RentOutcome::Machines(names.machines),
                None => RentOutcome::Unknown,
            },
            Some((503, body)) => {
                // "no capacity" and "trouble" both mean: not now.
                debug!(
                    answer = &*String::from_utf8_lossy(&body),
                    "cloud refuses a rental"
                );
                RentOutcome::NoCapacity
            }
            Some((429, _)) => RentOutcome::Unknown,
            Some((status, _)) => {
                warn!(
                    status,
                    machine_type = request.machine_type,
                    "rental refused"
                );
                RentOutcome::NoCapacity
            }
            None => RentOutcome::Unknown,
        }
    }

    /// True once the machines are gone for certain.
    pub async fn delete(&self, names: &[String]) -> bool {
        let body = encode(&MachineNames {
            machines: names.to_vec(),
        });
        matches!(
            self.call("POST", paths::DELETE_MACHINES, &body).await,
            Some((200, _))
        )
    }

    /// All machines, or nothing if a page is missing.
    pub async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let mut target = format!("{}?most=500", paths::MACHINES);
            if let Some(last) = all.last() {
                target.push_str("&from=");
                target.push_str(&last.id);
            }
            match self.call("GET", &target, b"").await? {
                (200, body) => {
                    let page: MachineList = self.read("machine list", &body)?;
                    let more = page.more && !page.machines.is_empty();
                    all.extend(page.machines);
                    if !more {
                        return Some(all);
                    }
                }
                (status, _) => {
                    debug!(status, "cloud gives no list");
                    return None;
                }
            }
        }
    }
}
