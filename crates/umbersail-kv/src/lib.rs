//! The key-value store of the state service, without I/O and clock: keys with revisions,
//! leases, transactions, changes for watches, and limits, according to the published
//! protocol.
//!
//! The caller passes the time as seconds of the service's own monotonic clock. Serving
//! requests, storing data on disk and simulating outages are not part of this package.
//!
//! ```
//! use umbersail_kv::{KvStore, Limits, Outcome};
//! use umbersail_wire::{Change, Condition, Txn};
//!
//! let mut store = KvStore::new(Limits::default());
//! let txn = Txn {
//!     conditions: vec![Condition { key: "a/b".into(), version: 0 }],
//!     changes: vec![Change::Put { key: "a/b".into(), value: 7.into(), lease: None }],
//! };
//! assert_eq!(store.txn(0.0, &txn), Ok(Outcome::Applied { revision: 1 }));
//! assert_eq!(store.txn(0.0, &txn), Ok(Outcome::Failed { keys: vec!["a/b".into()] }));
//! ```
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

pub mod api;
mod limit;
mod size;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

use rmpv::Value;
use thiserror::Error;
use umbersail_wire::{Change, KeyList, KeyValue, Txn, WatchEvent};

pub use limit::TokenBucket;
pub use size::json_bytes;

/// Seconds of the service's monotonic clock.
pub type Time = f64;

/// Limits of the protocol; sizes are bytes of the JSON form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of puts and deletes of one transaction. Four times as many conditions
    /// are allowed.
    pub txn_ops: usize,
    /// Maximum size of one transaction.
    pub txn_bytes: usize,
    /// Maximum size of one value.
    pub value_bytes: usize,
    /// Maximum number of items of one listing.
    pub list_items: usize,
    /// Maximum size of one listing.
    pub list_bytes: usize,
    /// Number of changes that are kept for watches.
    pub kept_changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            txn_ops: 32,
            txn_bytes: 64 * 1024,
            value_bytes: 32 * 1024,
            list_items: 1000,
            list_bytes: 512 * 1024,
            kept_changes: 10_000,
        }
    }
}

/// Why a request cannot be executed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request violates the protocol.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The lease does not exist or has expired.
    #[error("no such lease")]
    NoSuchLease,
    /// Changes after the requested revision are no longer kept.
    #[error("compacted: read the keys again")]
    Compacted,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// All puts and deletes were applied.
    Applied {
        /// Revision of the store afterwards.
        revision: u64,
    },
    /// Conditions did not hold, and nothing was changed.
    Failed {
        /// The keys whose version was not the expected one.
        keys: Vec<String>,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl_s: f64,
    expires_at: Time,
    keys: BTreeSet<String>,
}

/// Keys with their values, leases, and the newest changes.
#[derive(Debug)]
pub struct KvStore {
    limits: Limits,
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: VecDeque<WatchEvent<Value>>,
    /// The newest revision whose changes are no longer kept.
    compacted: u64,
}

fn check_key(key: &str) -> Result<(), RequestError> {
    if key.is_empty() || key.len() > 200 || key.contains(' ') {
        return Err(RequestError::Malformed(
            "a key has 1 to 200 bytes and no spaces",
        ));
    }
    Ok(())
}

impl KvStore {
    /// An empty store.
    pub fn new(limits: Limits) -> KvStore {
        KvStore {
            limits,
            revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            log: VecDeque::new(),
            compacted: 0,
        }
    }

    /// Revision of the store: increases with every transaction and lease expiry that changes a
    /// key.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns a key with its value; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<KeyValue<Value>> {
        let entry = self.keys.get(key)?;
        Some(KeyValue {
            key: key.to_owned(),
            value: entry.value.clone(),
            version: entry.version,
        })
    }

    /// Lists the keys with a prefix in order, starting after `from`: at most `limit` keys and
    /// as many as fit into one answer.
    pub fn list(&self, prefix: &str, from: Option<&str>, limit: usize) -> KeyList<Value> {
        let limit = limit.clamp(1, self.limits.list_items);
        let start = match from {
            Some(from) if from >= prefix => Bound::Excluded(from.to_owned()),
            _ => Bound::Included(prefix.to_owned()),
        };
        let mut items: Vec<KeyValue<Value>> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        let range = self.keys.range((start, Bound::Unbounded));
        for (key, entry) in range.take_while(|(key, _)| key.starts_with(prefix)) {
            let size = json_bytes(&entry.value) + key.len() + 32;
            if items.len() >= limit || (bytes + size > self.limits.list_bytes && !items.is_empty())
            {
                more = true;
                break;
            }
            bytes += size;
            items.push(KeyValue {
                key: key.clone(),
                value: entry.value.clone(),
                version: entry.version,
            });
        }
        KeyList {
            items,
            more,
            revision: self.revision,
        }
    }

    /// Applies a transaction completely or not at all.
    ///
    /// # Errors
    /// `Malformed` if the transaction exceeds the limits; `NoSuchLease` if a put names a lease
    /// that has ended, even if the conditions do not hold.
    pub fn txn(&mut self, now: Time, txn: &Txn<Value>) -> Result<Outcome, RequestError> {
        self.expire(now);
        self.check_txn(txn)?;
        let version = |key: &str| self.keys.get(key).map_or(0, |e| e.version);
        let wrong = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version);
        let failed: Vec<String> = wrong.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return Ok(Outcome::Failed { keys: failed });
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
        }
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => self.put(key, value, *lease),
                Change::Delete { key } => self.delete_key(key),
            }
        }
        Ok(Outcome::Applied {
            revision: self.revision,
        })
    }

    fn check_txn(&self, txn: &Txn<Value>) -> Result<(), RequestError> {
        let limits = &self.limits;
        if txn.changes.len() > limits.txn_ops || txn.conditions.len() > 4 * limits.txn_ops {
            return Err(RequestError::Malformed("too many changes or conditions"));
        }
        let mut bytes = 0;
        for condition in &txn.conditions {
            check_key(&condition.key)?;
            bytes += condition.key.len() + 32;
        }
        let mut named = BTreeSet::new();
        for change in &txn.changes {
            let (Change::Put { key, .. } | Change::Delete { key }) = change;
            check_key(key)?;
            if !named.insert(key) {
                return Err(RequestError::Malformed("a key is changed twice"));
            }
            bytes += key.len() + 16;
            if let Change::Put { value, .. } = change {
                let size = json_bytes(value);
                if size > limits.value_bytes {
                    return Err(RequestError::Malformed("a value is too large"));
                }
                bytes += size;
            }
        }
        if bytes > limits.txn_bytes {
            return Err(RequestError::Malformed("the transaction is too large"));
        }
        let ended = |change: &Change<Value>| match change {
            Change::Put {
                lease: Some(lease), ..
            } => !self.leases.contains_key(lease),
            _ => false,
        };
        match txn.changes.iter().any(ended) {
            true => Err(RequestError::NoSuchLease),
            false => Ok(()),
        }
    }

    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let entry = Entry {
            value: value.clone(),
            version: self.revision,
            lease,
        };
        let before = self
            .keys
            .insert(key.to_owned(), entry)
            .and_then(|e| e.lease);
        self.detach(key, before);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.to_owned());
        }
        self.log_event(WatchEvent {
            put: Some(key.to_owned()),
            delete: None,
            value: Some(value.clone()),
            version: self.revision,
        });
    }

    fn delete_key(&mut self, key: &str) {
        let Some(entry) = self.keys.remove(key) else {
            return;
        };
        self.detach(key, entry.lease);
        self.log_event(WatchEvent {
            put: None,
            delete: Some(key.to_owned()),
            value: None,
            version: self.revision,
        });
    }

    fn detach(&mut self, key: &str, lease: Option<u64>) {
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn log_event(&mut self, event: WatchEvent<Value>) {
        self.log.push_back(event);
        while self.log.len() > self.limits.kept_changes {
            if let Some(old) = self.log.pop_front() {
                self.compacted = old.version;
            }
        }
    }

    /// Changes of keys with a prefix after a revision, oldest first.
    ///
    /// # Errors
    /// `Compacted` if some of these changes may no longer be kept.
    pub fn changes_since(
        &self,
        prefix: &str,
        from: u64,
    ) -> Result<Vec<WatchEvent<Value>>, RequestError> {
        if from < self.compacted {
            return Err(RequestError::Compacted);
        }
        let start = self.log.partition_point(|e| e.version <= from);
        let named = |e: &&WatchEvent<Value>| {
            let key = e.put.as_ref().or(e.delete.as_ref());
            key.is_some_and(|k| k.starts_with(prefix))
        };
        Ok(self.log.range(start..).filter(named).cloned().collect())
    }

    /// Grants a lease of `ttl_ms` milliseconds and returns its number.
    ///
    /// # Errors
    /// `Malformed` if `ttl_ms` is not within 100 to 600,000.
    pub fn grant(&mut self, now: Time, ttl_ms: u64) -> Result<u64, RequestError> {
        if !(100..=600_000).contains(&ttl_ms) {
            return Err(RequestError::Malformed("ttl_ms is 100 to 600000"));
        }
        self.last_lease += 1;
        let ttl_s = ttl_ms as f64 / 1000.0;
        let lease = Lease {
            ttl_s,
            expires_at: now + ttl_s,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_lease, lease);
        Ok(self.last_lease)
    }

    /// Renews a lease: it expires after its full duration from now.
    ///
    /// # Errors
    /// `NoSuchLease` if the lease has ended. A lease has ended at the exact time of its expiry.
    pub fn renew(&mut self, now: Time, lease: u64) -> Result<(), RequestError> {
        self.expire(now);
        let lease = self
            .leases
            .get_mut(&lease)
            .ok_or(RequestError::NoSuchLease)?;
        lease.expires_at = now + lease.ttl_s;
        Ok(())
    }

    /// Ends a lease and deletes the keys attached to it.
    ///
    /// # Errors
    /// `NoSuchLease` if the lease has already ended.
    pub fn revoke(&mut self, now: Time, lease: u64) -> Result<(), RequestError> {
        self.expire(now);
        let lease = self
            .leases
            .remove(&lease)
            .ok_or(RequestError::NoSuchLease)?;
        self.delete_keys(lease.keys);
        Ok(())
    }

    fn delete_keys(&mut self, keys: BTreeSet<String>) {
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete_key(&key);
        }
    }

    /// Ends the leases that have expired. Returns whether a key was deleted with a lease.
    pub fn expire(&mut self, now: Time) -> bool {
        let expired = |(id, lease): (&u64, &Lease)| (lease.expires_at <= now).then_some(*id);
        let expired: Vec<u64> = self.leases.iter().filter_map(expired).collect();
        let before = self.revision;
        for id in expired {
            if let Some(lease) = self.leases.remove(&id) {
                self.delete_keys(lease.keys);
            }
        }
        self.revision != before
    }

    /// When the next lease expires unless it is renewed.
    pub fn next_expiry(&self) -> Option<Time> {
        self.leases.values().map(|l| l.expires_at).reduce(f64::min)
    }

    /// Restarts the duration of every lease, as the service does after an outage.
    pub fn restart_leases(&mut self, now: Time) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }
}

#[cfg(test)]
mod tests;
