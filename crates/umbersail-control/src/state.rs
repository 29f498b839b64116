//! Client of the state service, within its limits.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use thiserror::Error;
use tracing::{debug, warn};
use umbersail_http::Client;
use umbersail_runtime::{Clock, Time, sleep};
use umbersail_wire::{
    KeyList, KeyValue, LeaseGranted, LeaseRequest, Txn, TxnResult, WatchResult, decode, encode,
    paths,
};

use crate::engine::TxnOutcome;
use crate::records::Record;

#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum KeyValueError {
    /// Over our share of the limits, or over the service's.
    #[error("over budget")]
    RateLimited,
    /// Not executed, says the service, or it was never sent.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// It may have been executed, or may be later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The lease or the asked revisions are gone.
    #[error("gone")]
    Gone,
}

/// A bucket of requests that refills at a rate; urgent calls may overdraw it.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: rate,
            at: 0.0,
        }
    }

    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.level = self.level.min(rate);
    }

    fn refill(&mut self, now: Time) {
        self.level = (self.level + (now - self.at).max(0.0) * self.rate).min(self.rate.max(1.0));
        self.at = now;
    }

    /// Takes `n`, if they are there.
    pub fn take(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        // A bucket smaller than the call would never let it through.
        if self.level >= n.min(self.rate.max(1.0)) {
            self.level -= n;
            true
        } else {
            false
        }
    }

    /// Whether it is overdrawn by less than one second's worth.
    pub fn has_credit(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level > -self.rate + 1.0
    }

    /// Takes `n` even if they are not there.
    pub fn force_take(&mut self, now: Time, n: f64) {
        self.refill(now);
        self.level = (self.level - n).max(-self.rate);
    }
}

/// How a call stands towards the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leadership hangs on it: never held back.
    Critical,
    /// Waits for its turn.
    Background,
    /// Refused at once when there is no room: the user asks again in a few
    /// seconds, and submissions must not suffer from a storm of polls.
    Poll,
    /// Somebody waits for an answer: refused when there is no room, but may
    /// overdraw by one second's worth, so that a submission is not refused
    /// because records of ends were written just before.
    Interactive,
    /// Like `Interactive`, for what gives way to all else: overdraws no writes, and leaves a
    /// leader half of them for launches. Polls can't keep it out.
    BestEffort,
}

#[derive(Clone)]
pub struct KeyValueClient {
    inner: Rc<Inner>,
}

struct Inner {
    http: Client,
    addr: SocketAddr,
    clock: Rc<dyn Clock>,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    timeout_s: f64,
    last_success: Cell<Option<Time>>,
    /// Since when requests have failed, with no answer in between.
    failing_since: Cell<Option<Time>>,
    /// When anything at all was last heard of it, be it a refusal, and since when
    /// what we ask has had no answer of any kind.
    heard_at: Cell<Time>,
    unresponsive_since: Cell<Option<Time>>,
    /// Silent for this long it counts as out of reach, seconds.
    silent_s: f64,
    malformed: Cell<u64>,
    leads: Cell<bool>,
}

impl KeyValueClient {
    pub fn new(
        http: Client,
        addr: SocketAddr,
        clock: Rc<dyn Clock>,
        rps: f64,
        write_rps: f64,
        timeout_s: f64,
        silent_s: f64,
    ) -> KeyValueClient {
        KeyValueClient {
            inner: Rc::new(Inner {
                http,
                addr,
                clock,
                requests: RefCell::new(TokenBucket::new(rps)),
                writes: RefCell::new(TokenBucket::new(write_rps)),
                timeout_s,
                last_success: Cell::new(None),
                failing_since: Cell::new(None),
                heard_at: Cell::new(f64::MIN),
                unresponsive_since: Cell::new(None),
                silent_s,
                malformed: Cell::new(0),
                leads: Cell::new(false),
            }),
        }
    }

    /// Our share of the limits changes with our role.
    pub fn set_rates(&self, rps: f64, write_rps: f64, leads: bool) {
        self.inner.leads.set(leads);
        self.inner.requests.borrow_mut().set_rate(rps);
        self.inner.writes.borrow_mut().set_rate(write_rps);
    }

    /// When the service last answered a request as it should.
    pub fn last_success(&self) -> Option<Time> {
        self.inner.last_success.get()
    }

    /// Since when it has answered none of our requests.
    pub fn failing_since(&self) -> Option<Time> {
        self.inner.failing_since.get()
    }

    /// Whether it has answered anything yet, be it a refusal.
    pub fn has_ever_responded(&self) -> bool {
        self.inner.heard_at.get() > f64::MIN
    }

    /// Since when it has not even refused what we asked, if that is so. In an outage
    /// it refuses; one that is silent can't be reached.
    pub fn unresponsive_since(&self) -> Option<Time> {
        self.inner.unresponsive_since.get()
    }

    fn is_out_of_reach(&self) -> bool {
        let now = self.inner.clock.now();
        self.unresponsive_since()
            .is_some_and(|at| now - at >= self.inner.silent_s)
    }

    /// What was sent at `sent_at` has had an answer of whatever kind, or none. A watch
    /// waits for long and says nothing of either.
    fn heard(&self, sent_at: Time, answered: bool) {
        let inner = &self.inner;
        if answered {
            inner.heard_at.set(inner.clock.now());
            inner.unresponsive_since.set(None);
        } else if inner.unresponsive_since.get().is_none() {
            inner
                .unresponsive_since
                .set(Some(sent_at.max(inner.heard_at.get())));
        }
    }

    fn failed(&self) {
        let failing = &self.inner.failing_since;
        if failing.get().is_none() {
            failing.set(Some(self.inner.clock.now()));
        }
    }

    /// Changes that can be written at once, and how many of those may go to
    /// writes that nobody waits for: half of the bucket is kept for others.
    pub fn write_budget(&self) -> (usize, usize) {
        let mut writes = self.inner.writes.borrow_mut();
        writes.refill(self.inner.clock.now());
        let spare = writes.level - writes.rate / 2.0;
        (writes.level.max(0.0) as usize, spare.max(0.0) as usize)
    }

    /// Whether a prompt call with so many changes would be admitted.
    pub fn has_budget(&self, writes: f64) -> bool {
        let now = self.inner.clock.now();
        let requests = self.inner.requests.borrow_mut().has_credit(now);
        requests && (writes == 0.0 || self.inner.writes.borrow_mut().has_credit(now))
    }

    async fn admit(&self, priority: RequestPriority, writes: f64) -> Result<(), KeyValueError> {
        let waits = matches!(
            priority,
            RequestPriority::Critical | RequestPriority::Background
        );
        if !waits && self.is_out_of_reach() {
            // Somebody waits for an answer: told at once. What leadership and the
            // probe ask shows when it is back.
            return Err(KeyValueError::Unavailable("out of reach".into()));
        }
        while !self.try_admit(priority, writes) {
            if priority != RequestPriority::Background {
                return Err(KeyValueError::RateLimited);
            }
            sleep(0.05).await;
        }
        Ok(())
    }

    fn try_admit(&self, priority: RequestPriority, writes: f64) -> bool {
        let now = self.inner.clock.now();
        let room = self.has_budget(writes);
        let mut requests = self.inner.requests.borrow_mut();
        let mut budget = self.inner.writes.borrow_mut();
        let leads = self.inner.leads.get();
        let kept = if leads { budget.rate / 2.0 } else { 0.0 };
        let admitted = match priority {
            RequestPriority::Critical => true,
            RequestPriority::Interactive => room,
            RequestPriority::BestEffort => room && budget.level - kept >= writes,
            RequestPriority::Background | RequestPriority::Poll => false,
        };
        if admitted {
            requests.force_take(now, 1.0);
            budget.force_take(now, writes);
            return true;
        }
        if priority == RequestPriority::BestEffort {
            return false;
        }
        if !requests.take(now, 1.0) {
            return false;
        }
        if writes > 0.0 && !budget.take(now, writes) {
            requests.force_take(now, -1.0);
            return false;
        }
        true
    }

    async fn call(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        timeout_s: f64,
    ) -> Result<(u16, Vec<u8>), KeyValueError> {
        let sent_at = self.inner.clock.now();
        let result = self
            .inner
            .http
            .request(self.inner.addr, method, target, body, timeout_s)
            .await;
        if !target.starts_with(paths::WATCH) {
            self.heard(sent_at, result.is_ok());
        }
        match result {
            Ok((429, _)) => {
                debug!(method, target, "state service: over its limit");
                Err(KeyValueError::RateLimited)
            }
            Ok((503, _)) => {
                self.failed();
                Err(KeyValueError::Unavailable("503".into()))
            }
            Ok((status, body)) if status < 500 => {
                // A watch opened before an outage ends with 200 during it: it
                // says nothing about whether requests are served.
                if !target.starts_with(paths::WATCH) {
                    self.inner.last_success.set(Some(self.inner.clock.now()));
                    self.inner.failing_since.set(None);
                }
                Ok((status, body))
            }
            Ok((status, _)) => Err(KeyValueError::NoAnswer(format!("status {status}"))),
            Err(e) if e.is_request_not_executed() => {
                self.failed();
                Err(KeyValueError::Unavailable(e.to_string()))
            }
            Err(e) => {
                self.failed();
                Err(KeyValueError::NoAnswer(e.to_string()))
            }
        }
    }

    fn read<T: DeserializeOwned>(&self, what: &str, body: &[u8]) -> Result<T, KeyValueError> {
        decode(body).map_err(|e| self.malformed_answer(what, &e.to_string()))
    }

    /// A malformed answer is logged, counted and taken for none.
    fn malformed_answer(&self, what: &str, reason: &str) -> KeyValueError {
        let count = self.inner.malformed.get() + 1;
        self.inner.malformed.set(count);
        warn!(what, reason, count, "malformed answer of the state service");
        KeyValueError::NoAnswer("malformed".into())
    }

    /// A key's value and version, read now.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
        priority: RequestPriority,
    ) -> Result<Option<(T, u64)>, KeyValueError> {
        self.admit(priority, 0.0).await?;
        let target = format!("{}/{key}", paths::KEYS);
        match self.call("GET", &target, b"", self.inner.timeout_s).await? {
            (200, body) => {
                let pair: KeyValue<T> = self.read("key", &body)?;
                Ok(Some((pair.value, pair.version)))
            }
            (404, _) => Ok(None),
            (status, _) => Err(self.malformed_answer("key", &format!("status {status}"))),
        }
    }

    /// All keys with a prefix, and the revision that the first page shows: a
    /// watch from there misses nothing.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
        priority: RequestPriority,
    ) -> Result<(Vec<KeyValue<T>>, u64), KeyValueError> {
        let mut items: Vec<KeyValue<T>> = Vec::new();
        let mut revision = None;
        loop {
            self.admit(priority, 0.0).await?;
            let mut target = format!("{}?under={prefix}&most=500", paths::KEYS);
            if let Some(last) = items.last() {
                target.push_str("&from=");
                target.push_str(&last.key);
            }
            match self
                .call("GET", &target, b"", 3.0 * self.inner.timeout_s)
                .await?
            {
                (200, body) => {
                    let page: KeyList<T> = self.read("list", &body)?;
                    revision.get_or_insert(page.revision);
                    let more = page.more && !page.items.is_empty();
                    items.extend(page.items);
                    if !more {
                        return Ok((items, revision.unwrap_or(0)));
                    }
                }
                (status, _) => {
                    return Err(self.malformed_answer("list", &format!("status {status}")));
                }
            }
        }
    }

    pub async fn txn(&self, txn: &Txn<Record>, priority: RequestPriority) -> TxnOutcome {
        if self
            .admit(priority, txn.changes.len() as f64)
            .await
            .is_err()
        {
            return TxnOutcome::NotExecuted;
        }
        let body = encode(txn);
        match self
            .call("POST", paths::TXN, &body, self.inner.timeout_s)
            .await
        {
            Ok((200, body)) => match self.read::<TxnResult>("transaction", &body) {
                Ok(result) => TxnOutcome::Applied {
                    revision: result.revision,
                },
                Err(_) => TxnOutcome::Unknown,
            },
            Ok((409, body)) => match self.read::<TxnResult>("transaction", &body) {
                Ok(result) => TxnOutcome::Conflict {
                    failed: result.failed,
                },
                Err(_) => TxnOutcome::Unknown,
            },
            Ok((status, body)) => {
                warn!(
                    status,
                    body = &*String::from_utf8_lossy(&body),
                    "transaction refused"
                );
                TxnOutcome::NotExecuted
            }
            Err(KeyValueError::RateLimited | KeyValueError::Unavailable(_)) => {
                TxnOutcome::NotExecuted
            }
            Err(_) => TxnOutcome::Unknown,
        }
    }

    pub async fn grant_lease(&self, ttl_s: f64) -> Result<u64, KeyValueError> {
        self.admit(RequestPriority::Critical, 0.0).await?;
        let body = encode(&LeaseRequest {
            ttl_ms: (ttl_s * 1000.0) as u64,
        });
        match self
            .call("POST", paths::LEASES, &body, self.inner.timeout_s)
            .await?
        {
            (200, body) => Ok(self.read::<LeaseGranted>("lease", &body)?.lease),
            (status, _) => Err(self.malformed_answer("lease", &format!("status {status}"))),
        }
    }

    pub async fn renew_lease(&self, lease: u64, timeout_s: f64) -> Result<(), KeyValueError> {
        self.admit(RequestPriority::Critical, 0.0).await?;
        let target = format!("{}/{lease}/{}", paths::LEASES, paths::RENEW);
        match self.call("POST", &target, b"", timeout_s).await? {
            (200, _) => Ok(()),
            (404, _) => Err(KeyValueError::Gone),
            (status, _) => Err(self.malformed_answer("renewal", &format!("status {status}"))),
        }
    }

    pub async fn end_lease(&self, lease: u64) {
        let target = format!("{}/{lease}", paths::LEASES);
        if self.admit(RequestPriority::Critical, 0.0).await.is_ok() {
            // Without an answer the lease simply runs out.
            let _ = self
                .call("DELETE", &target, b"", self.inner.timeout_s)
                .await;
        }
    }

    /// Waits for changes under a prefix after a revision, `hold_s` seconds at most.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
        hold_s: f64,
    ) -> Result<WatchResult<T>, KeyValueError> {
        self.admit(RequestPriority::Background, 0.0).await?;
        self.follow(prefix, from, hold_s).await
    }

    /// The changes under a prefix after a revision, up to now: leadership hangs on it.
    pub async fn changes_since<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
    ) -> Result<WatchResult<T>, KeyValueError> {
        self.admit(RequestPriority::Critical, 0.0).await?;
        self.follow(prefix, from, 0.0).await
    }

    async fn follow<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
        hold_s: f64,
    ) -> Result<WatchResult<T>, KeyValueError> {
        let hold_ms = (hold_s * 1000.0) as u64;
        let target = format!(
            "{}?under={prefix}&from={from}&hold_ms={hold_ms}",
            paths::WATCH
        );
        let timeout_s = hold_s + self.inner.timeout_s;
        match self.call("GET", &target, b"", timeout_s).await? {
            (200, body) => self.read("watch", &body),
            (410, _) => Err(KeyValueError::Gone),
            (status, _) => Err(self.malformed_answer("watch", &format!("status {status}"))),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_refills_and_may_be_overdrawn_by_vital_calls_only() {
        let mut budget = TokenBucket::new(10.0);
        assert!((0..10).all(|_| budget.take(0.0, 1.0)));
        assert!(!budget.take(0.0, 1.0));
        budget.force_take(0.0, 5.0);
        assert!(!budget.take(0.4, 1.0));
        assert!(budget.take(0.7, 1.0));
    }
}
