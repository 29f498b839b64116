//! Client of the cloud provider's API, which observes the provider's rate limit.

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

/// Outcome of a rental request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RentOutcome {
    Machines(Vec<String>),
    /// The cloud refused the request, for lack of machines or because of a fault of the cloud.
    /// No machine was rented.
    NoCapacity,
    /// The machines may have been rented, or may be rented later. In that case they appear in
    /// the machine list.
    Unknown,
}

/// Client of the cloud provider's API. Clones share the rate limit and the connections.
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
                debug!(method, target, reason = %e, "request to the cloud failed");
                None
            }
        }
    }

    fn decode_response<T: DeserializeOwned>(&self, what: &str, body: &[u8]) -> Option<T> {
        match decode(body) {
            Ok(value) => Some(value),
            Err(e) => {
                let count = self.inner.malformed.get() + 1;
                self.inner.malformed.set(count);
                warn!(what, reason = %e, count, "malformed response of the cloud");
                None
            }
        }
    }

    /// Reads the machine types with their current prices. Types with a negative or non-finite
    /// number are left out.
    pub async fn catalogue(&self) -> Option<Vec<MachineType>> {
        match self.call("GET", paths::MACHINE_TYPES, b"").await? {
            (200, body) => {
                let mut types = self.decode_response::<Catalogue>("catalogue", &body)?.types;
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
                debug!(status, "cloud returned no catalogue of machine types");
                None
            }
        }
    }

    pub async fn rent(&self, request: &RentRequest) -> RentOutcome {
        match self.call("POST", paths::MACHINES, &encode(request)).await {
            Some((200, body)) => match self.decode_response::<MachineNames>("rental", &body) {
                Some(names) => RentOutcome::Machines(names.machines),
                None => RentOutcome::Unknown,
            },
            Some((503, body)) => {
                // "no capacity" and "trouble" are handled alike: the rental is retried
                // later.
                debug!(
                    answer = &*String::from_utf8_lossy(&body),
                    "cloud refused a rental"
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

    /// Deletes machines. Returns true if the cloud confirmed the deletion.
    pub async fn delete(&self, names: &[String]) -> bool {
        let body = encode(&MachineNames {
            machines: names.to_vec(),
        });
        matches!(
            self.call("POST", paths::DELETE_MACHINES, &body).await,
            Some((200, _))
        )
    }

    /// Lists all machines. Returns `None` if a page can't be read.
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
                    let page: MachineList = self.decode_response("machine list", &body)?;
                    let more = page.more && !page.machines.is_empty();
                    all.extend(page.machines);
                    if !more {
                        return Some(all);
                    }
                }
                (status, _) => {
                    debug!(status, "cloud returned no machine list");
                    return None;
                }
            }
        }
    }
}
