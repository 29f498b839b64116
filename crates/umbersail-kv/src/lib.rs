//! The state service without I/O and clock: keys with revisions, leases,
//! transactions, changes for watches, and limits, by the published protocol.
//!
//! Time goes in as seconds on the service's own steady clock. What answers
//! requests, keeps data on a disk or plays an outage stands elsewhere.
//!
//! ```
//! use umbersail_kv::{KvStore, Limits, Outcome};
//! use umbersail_wire::{Change, Condition, Txn};
//!
//! let mut ledger = KvStore::new(Limits::default());
//! let txn = Txn {
//!     conditions: vec![Condition { key: "a/b".into(), version: 0 }],
//!     changes: vec![Change::Put { key: "a/b".into(), value: 7.into(), lease: None }],
//! };
//! assert_eq!(ledger.txn(0.0, &txn), Ok(Outcome::Applied { revision: 1 }));
//! assert_eq!(ledger.txn(0.0, &txn), Ok(Outcome::Failed { keys: vec!["a/b".into()] }));
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

/// Seconds on the service's steady clock.
pub type Time = f64;

/// Limits of the protocol; sizes in bytes of the JSON form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Puts and deletes of one transaction; four times as many conditions.
    pub txn_ops: usize,
    /// Bytes of one transaction.
    pub txn_bytes: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
    /// Items and bytes of one listing.
    pub list_items: usize,
    /// Bytes of one listing.
    pub list_bytes: usize,
    /// Changes that a watch may still ask for.
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

/// Why a request can't be executed as it is.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request violates the protocol.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The lease does not exist or has expired.
    #[error("no such lease")]
    NoSuchLease,
    /// Changes from that revision on are not kept any more.
    #[error("compacted: read the keys again")]
    Compacted,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// All puts and deletes were applied.
    Applied {
        /// Revision of the store afterwards.
        revision: u64,
    },
    /// These keys did not have the version that was asked for.
    Failed {
        /// The keys.
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

/// Keys, leases and the newest changes.
#[derive(Debug)]
pub struct KvStore {
    limits: Limits,
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: VecDeque<WatchEvent<Value>>,
    /// The newest revision whose changes are not kept any more.
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

    /// Counts every transaction that changed something.
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

    /// One key; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<KeyValue<Value>> {
        let entry = self.keys.get(key)?;
        Some(KeyValue {
            key: key.to_owned(),
            value: entry.value.clone(),
            version: entry.version,
        })
    }

    /// Keys with a prefix, in order, after `from`, as many as one answer holds.
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

    /// Applies a transaction whole or not at all.
    ///
    /// # Errors
    /// `Malformed` if it is out of limits, `NoSuchLease` if a put names a lease
    /// that has ended, whatever its conditions say.
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
    /// `Compacted` if some of them may not be kept any more.
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

    /// A lease for so many milliseconds.
    ///
    /// # Errors
    /// `Malformed` outside of 100 to 600,000.
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

    /// Its full time again.
    ///
    /// # Errors
    /// `NoSuchLease` once it has ended, also in the very instant of its end.
    pub fn renew(&mut self, now: Time, lease: u64) -> Result<(), RequestError> {
        self.expire(now);
        let lease = self
            .leases
            .get_mut(&lease)
            .ok_or(RequestError::NoSuchLease)?;
        lease.expires_at = now + lease.ttl_s;
        Ok(())
    }

    /// Ends a lease, and with it the keys attached to it.
    ///
    /// # Errors
    /// `NoSuchLease` if it has ended before.
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

    /// Ends the leases whose time is over; true if a key went with one.
    pub fn expire(&mut self, now: Time) -> bool {
        let over = |(id, lease): (&u64, &Lease)| (lease.expires_at <= now).then_some(*id);
        let ended: Vec<u64> = self.leases.iter().filter_map(over).collect();
        let before = self.revision;
        for id in ended {
            if let Some(lease) = self.leases.remove(&id) {
                self.delete_keys(lease.keys);
            }
        }
        self.revision != before
    }

    /// When the next lease ends unless it is renewed.
    pub fn next_expiry(&self) -> Option<Time> {
        self.leases.values().map(|l| l.expires_at).reduce(f64::min)
    }

    /// After an outage every lease has its full time again.
    pub fn restart_leases(&mut self, now: Time) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }
}

#[cfg(test)]
mod tests;
