//! Client of the state service, which observes this controller's share of its rate limits. The
//! settings call it `state`.

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

/// Why a request to the state service failed.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum KeyValueError {
    /// The request exceeds this node's share of the rate limits, or the state service's own
    /// limits.
    #[error("rate limit of the state service exceeded")]
    RateLimited,
    /// The request was not executed: the state service said so, or the request was never sent.
    #[error("the state service did not execute the request: {0}")]
    Unavailable(String),
    /// The outcome is unknown: the request may have been executed, or may be executed later.
    #[error("the state service may have executed the request: {0}")]
    NoAnswer(String),
    /// The lease has expired, or the state service no longer holds the requested revisions.
    #[error("the lease has expired or the revisions are compacted")]
    Gone,
}

/// A token bucket that refills at a fixed rate. Requests of high priority may overdraw it.
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

    /// Takes `n` tokens if the bucket holds enough. Returns whether it did.
    pub fn take(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        // A request larger than the bucket needs only a full bucket; otherwise it would never
        // be admitted.
        if self.level >= n.min(self.rate.max(1.0)) {
            self.level -= n;
            true
        } else {
            false
        }
    }

    /// Whether the bucket is overdrawn by less than the tokens of one second.
    pub fn has_credit(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level > -self.rate + 1.0
    }

    /// Takes `n` tokens, and overdraws the bucket if it does not hold enough.
    pub fn force_take(&mut self, now: Time, n: f64) {
        self.refill(now);
        self.level = (self.level - n).max(-self.rate);
    }
}

/// Priority of a request, which decides how the rate limits apply to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leadership depends on the request: always admitted.
    Critical,
    /// Waits until the rate limits admit the request.
    Background,
    /// Refused at once if the rate limits do not admit the request. The user polls again in
    /// a few seconds, and many polls must not delay submissions.
    Poll,
    /// A user waits for the answer. The request may overdraw the budget by the tokens of one
    /// second, so that a submission is not refused because the ends of jobs were recorded
    /// just before. Beyond that the request is refused.
    Interactive,
    /// Like `Interactive`, for best-effort jobs: the request does not overdraw the write
    /// budget, and on a leader leaves half of that budget for task launches. Polls can't
    /// crowd out the request.
    BestEffort,
}

/// Client of the state service. Clones share the rate limits and the connections.
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
    /// Since when all requests have failed.
    failing_since: Cell<Option<Time>>,
    /// When the state service last sent any response, including an error.
    last_response_at: Cell<Time>,
    /// Since when requests have had no response of any kind.
    unresponsive_since: Cell<Option<Time>>,
    /// Without any response for this long the state service counts as unreachable, in seconds.
    unresponsive_s: f64,
    /// Number of malformed responses.
    malformed: Cell<u64>,
    /// Whether this node is the leader.
    is_leader: Cell<bool>,
}

impl KeyValueClient {
    pub fn new(
        http: Client,
        addr: SocketAddr,
        clock: Rc<dyn Clock>,
        rps: f64,
        write_rps: f64,
        timeout_s: f64,
        unresponsive_s: f64,
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
                last_response_at: Cell::new(f64::MIN),
                unresponsive_since: Cell::new(None),
                unresponsive_s,
                malformed: Cell::new(0),
                is_leader: Cell::new(false),
            }),
        }
    }

    /// Sets this node's share of the rate limits, which depends on its role.
    pub fn set_rates(&self, rps: f64, write_rps: f64, is_leader: bool) {
        self.inner.is_leader.set(is_leader);
        self.inner.requests.borrow_mut().set_rate(rps);
        self.inner.writes.borrow_mut().set_rate(write_rps);
    }

    /// When the state service last answered a request without an error.
    pub fn last_success(&self) -> Option<Time> {
        self.inner.last_success.get()
    }

    /// Since when all requests of this node have failed.
    pub fn failing_since(&self) -> Option<Time> {
        self.inner.failing_since.get()
    }

    /// Whether the state service has ever sent any response, including an error.
    pub fn has_ever_responded(&self) -> bool {
        self.inner.last_response_at.get() > f64::MIN
    }

    /// Since when the state service has sent no response at all, not even an error. In an
    /// outage it responds with errors; if it sends nothing, it can't be reached.
    pub fn unresponsive_since(&self) -> Option<Time> {
        self.inner.unresponsive_since.get()
    }

    /// Whether the state service has been unresponsive for so long that it counts as
    /// unreachable.
    fn is_unreachable(&self) -> bool {
        let now = self.inner.clock.now();
        self.unresponsive_since()
            .is_some_and(|at| now - at >= self.inner.unresponsive_s)
    }

    /// Records whether the request sent at `sent_at` had a response of any kind. Not used for
    /// watches, whose responses may take long.
    fn record_response(&self, sent_at: Time, answered: bool) {
        let inner = &self.inner;
        if answered {
            inner.last_response_at.set(inner.clock.now());
            inner.unresponsive_since.set(None);
        } else if inner.unresponsive_since.get().is_none() {
            inner
                .unresponsive_since
                .set(Some(sent_at.max(inner.last_response_at.get())));
        }
    }

    fn record_failure(&self) {
        let failing = &self.inner.failing_since;
        if failing.get().is_none() {
            failing.set(Some(self.inner.clock.now()));
        }
    }

    /// Returns how many changes can be written now, and how many of those may be used for
    /// writes that no user waits for: half of the bucket is reserved for other writes.
    pub fn write_budget(&self) -> (usize, usize) {
        let mut writes = self.inner.writes.borrow_mut();
        writes.refill(self.inner.clock.now());
        let background = writes.level - writes.rate / 2.0;
        (writes.level.max(0.0) as usize, background.max(0.0) as usize)
    }

    /// Whether an `Interactive` request with this many changes would be admitted.
    pub fn has_budget(&self, writes: f64) -> bool {
        let now = self.inner.clock.now();
        let requests = self.inner.requests.borrow_mut().has_credit(now);
        requests && (writes == 0.0 || self.inner.writes.borrow_mut().has_credit(now))
    }

    /// Admits a request that changes `writes` keys, or fails if the rate limits do not allow
    /// the request. A request of `Background` priority waits.
    async fn admit(&self, priority: RequestPriority, writes: f64) -> Result<(), KeyValueError> {
        let may_wait = matches!(
            priority,
            RequestPriority::Critical | RequestPriority::Background
        );
        if !may_wait && self.is_unreachable() {
            // Fails at once, because a user waits for the answer. Requests of `Critical`
            // and `Background` priority show when the state service is reachable again.
            return Err(KeyValueError::Unavailable(
                "it has sent no response for too long".into(),
            ));
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
        let within_budget = self.has_budget(writes);
        let mut requests = self.inner.requests.borrow_mut();
        let mut budget = self.inner.writes.borrow_mut();
        let is_leader = self.inner.is_leader.get();
        let reserved = if is_leader { budget.rate / 2.0 } else { 0.0 };
        let admitted = match priority {
            RequestPriority::Critical => true,
            RequestPriority::Interactive => within_budget,
            RequestPriority::BestEffort => within_budget && budget.level - reserved >= writes,
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
            self.record_response(sent_at, result.is_ok());
        }
        match result {
            Ok((429, _)) => {
                debug!(method, target, "state service: rate limit exceeded");
                Err(KeyValueError::RateLimited)
            }
            Ok((503, _)) => {
                self.record_failure();
                Err(KeyValueError::Unavailable("status 503".into()))
            }
            Ok((status, body)) if status < 500 => {
                // A watch opened before an outage ends with status 200 during the
                // outage, so it does not show whether the state service serves requests.
                if !target.starts_with(paths::WATCH) {
                    self.inner.last_success.set(Some(self.inner.clock.now()));
                    self.inner.failing_since.set(None);
                }
                Ok((status, body))
            }
            Ok((status, _)) => Err(KeyValueError::NoAnswer(format!("status {status}"))),
            Err(e) if e.is_request_not_executed() => {
                self.record_failure();
                Err(KeyValueError::Unavailable(e.to_string()))
            }
            Err(e) => {
                self.record_failure();
                Err(KeyValueError::NoAnswer(e.to_string()))
            }
        }
    }

    fn decode_response<T: DeserializeOwned>(
        &self,
        what: &str,
        body: &[u8],
    ) -> Result<T, KeyValueError> {
        decode(body).map_err(|e| self.malformed_answer(what, &e.to_string()))
    }

    /// Logs and counts a malformed response. The request counts as unanswered.
    fn malformed_answer(&self, what: &str, reason: &str) -> KeyValueError {
        let count = self.inner.malformed.get() + 1;
        self.inner.malformed.set(count);
        warn!(
            what,
            reason, count, "malformed response of the state service"
        );
        KeyValueError::NoAnswer("malformed response".into())
    }

    /// Reads a key's current value and version.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
        priority: RequestPriority,
    ) -> Result<Option<(T, u64)>, KeyValueError> {
        self.admit(priority, 0.0).await?;
        let target = format!("{}/{key}", paths::KEYS);
        match self.call("GET", &target, b"", self.inner.timeout_s).await? {
            (200, body) => {
                let pair: KeyValue<T> = self.decode_response("key", &body)?;
                Ok(Some((pair.value, pair.version)))
            }
            (404, _) => Ok(None),
            (status, _) => Err(self.malformed_answer("key", &format!("status {status}"))),
        }
    }

    /// Lists all keys with a prefix, and the revision of the first page. A watch that starts
    /// from this revision misses no change.
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
                    let page: KeyList<T> = self.decode_response("list", &body)?;
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

    /// Executes a transaction.
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
            Ok((200, body)) => match self.decode_response::<TxnResult>("transaction", &body) {
                Ok(result) => TxnOutcome::Applied {
                    revision: result.revision,
                },
                Err(_) => TxnOutcome::Unknown,
            },
            Ok((409, body)) => match self.decode_response::<TxnResult>("transaction", &body) {
                Ok(result) => TxnOutcome::Conflict {
                    failed: result.failed,
                },
                Err(_) => TxnOutcome::Unknown,
            },
            Ok((status, body)) => {
                warn!(
                    status,
                    body = &*String::from_utf8_lossy(&body),
                    "the state service rejected a transaction"
                );
                TxnOutcome::NotExecuted
            }
            Err(KeyValueError::RateLimited | KeyValueError::Unavailable(_)) => {
                TxnOutcome::NotExecuted
            }
            Err(_) => TxnOutcome::Unknown,
        }
    }

    /// Creates a lease, and returns its id.
    pub async fn grant_lease(&self, ttl_s: f64) -> Result<u64, KeyValueError> {
        self.admit(RequestPriority::Critical, 0.0).await?;
        let body = encode(&LeaseRequest {
            ttl_ms: (ttl_s * 1000.0) as u64,
        });
        match self
            .call("POST", paths::LEASES, &body, self.inner.timeout_s)
            .await?
        {
            (200, body) => Ok(self.decode_response::<LeaseGranted>("lease", &body)?.lease),
            (status, _) => Err(self.malformed_answer("lease", &format!("status {status}"))),
        }
    }

    /// Extends a lease by its full duration.
    pub async fn renew_lease(&self, lease: u64, timeout_s: f64) -> Result<(), KeyValueError> {
        self.admit(RequestPriority::Critical, 0.0).await?;
        let target = format!("{}/{lease}/{}", paths::LEASES, paths::RENEW);
        match self.call("POST", &target, b"", timeout_s).await? {
            (200, _) => Ok(()),
            (404, _) => Err(KeyValueError::Gone),
            (status, _) => Err(self.malformed_answer("renewal", &format!("status {status}"))),
        }
    }

    /// Ends a lease and deletes the keys attached to it.
    pub async fn end_lease(&self, lease: u64) {
        let target = format!("{}/{lease}", paths::LEASES);
        if self.admit(RequestPriority::Critical, 0.0).await.is_ok() {
            // If the request fails, the lease expires by itself.
            let _ = self
                .call("DELETE", &target, b"", self.inner.timeout_s)
                .await;
        }
    }

    /// Waits for changes under a prefix after a revision, for `hold_s` seconds at most.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
        hold_s: f64,
    ) -> Result<WatchResult<T>, KeyValueError> {
        self.admit(RequestPriority::Background, 0.0).await?;
        self.request_changes(prefix, from, hold_s).await
    }

    /// Reads the changes under a prefix from a revision up to now. Leadership depends on this
    /// read, so its priority is `Critical`.
    pub async fn changes_since<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
    ) -> Result<WatchResult<T>, KeyValueError> {
        self.admit(RequestPriority::Critical, 0.0).await?;
        self.request_changes(prefix, from, 0.0).await
    }

    async fn request_changes<T: DeserializeOwned>(
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
            (200, body) => self.decode_response("watch", &body),
            (410, _) => Err(KeyValueError::Gone),
            (status, _) => Err(self.malformed_answer("watch", &format!("status {status}"))),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_refills_and_is_overdrawn_by_forced_takes_only() {
        let mut bucket = TokenBucket::new(10.0);
        assert!((0..10).all(|_| bucket.take(0.0, 1.0)));
        assert!(!bucket.take(0.0, 1.0));
        bucket.force_take(0.0, 5.0);
        assert!(!bucket.take(0.4, 1.0));
        assert!(bucket.take(0.7, 1.0));
    }
}
