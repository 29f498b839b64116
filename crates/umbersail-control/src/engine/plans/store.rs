//! The records of plans: as they should be, and as the state service holds them.
//!
//! Like a part of the grant, every record is written on condition that the leader's key and
//! the record's own version are unchanged. A late write therefore fails, and the records that
//! the next leader lists after its election are final.
//!
//! The creation of a record is conditional on version 0, because a record that does not exist
//! has no version. If a creation got no answer, its request may still be executed later. The
//! same leader must then not delete the record, because the late creation would find its
//! condition fulfilled. It writes a tombstone instead, which the next leader deletes.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use umbersail_wire::{Change, Condition, Txn, Value, encode, from_value, to_value};

use super::Time;
use crate::records::{PlanRecord, Record, plan_key};

/// A recorded plan that a new leader read from the state service.
#[derive(Debug, Clone)]
pub struct InheritedPlan {
    /// Kind and name of the plan, without the key prefix of all plans.
    pub name: String,
    /// Version of the record's key.
    pub version: u64,
    /// The record, not decoded yet.
    pub value: Value,
}

/// Why a plan cannot be recorded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanWriteError {
    #[error("{0} plans are already recorded: remove one or raise the limit plans.records")]
    Full(usize),
    #[error("the record has {0} bytes, more than the state service's limit on a value")]
    TooLarge(usize),
    #[error("the plan cannot be encoded as MessagePack: {0}")]
    Unencodable(String),
}

/// Why a recorded plan cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanReadError {
    #[error("this build does not support version {0} of the record")]
    Version(u32),
    #[error("the record is not a plan of this kind: {0}")]
    Malformed(String),
}

/// The desired and the recorded state of one plan.
#[derive(Debug, Default)]
struct Entry {
    /// Version of the record's key. 0: the key does not exist; absent: the version is unknown
    /// and must be read before the next write.
    version: Option<u64>,
    /// The record as it should be; absent if it should be deleted.
    wanted: Option<PlanRecord>,
    /// The record as the state service holds it.
    recorded: Option<PlanRecord>,
    /// The time since which `wanted` and `recorded` differ.
    due_since: Option<Time>,
    /// The record is unusable and stays unchanged until a plan of its name is put.
    ignored: bool,
    /// This leader's creation of the record got no answer and may still be executed while no
    /// record exists.
    creation_uncertain: bool,
}

/// A plan that is part of a transaction without an answer yet.
#[derive(Debug, Clone)]
pub struct WrittenPlan {
    name: String,
    record: Option<PlanRecord>,
}

/// All plans, by kind and name.
pub struct PlanStore {
    entries: BTreeMap<String, Entry>,
    max_plans: usize,
    value_bytes: usize,
}

/// Bytes that a record's key, condition and framing take in a transaction.
const OVERHEAD_BYTES: usize = 300;

impl PlanStore {
    pub fn new(max_plans: usize, value_bytes: usize) -> PlanStore {
        PlanStore {
            entries: BTreeMap::new(),
            max_plans,
            value_bytes,
        }
    }

    /// Adds a record that a previous leader wrote. If it is not a plan's record, it is
    /// ignored, and its name and the reason are returned.
    pub fn inherit(&mut self, found: InheritedPlan) -> Result<(), (String, String)> {
        let record = from_value::<PlanRecord>(&found.value);
        let entry = self.entries.entry(found.name.clone()).or_default();
        entry.version = Some(found.version);
        match record {
            Ok(record) if record.is_tombstone => {
                // The uncertain creation was the previous leader's and now fails because the
                // leader's key has changed, so the tombstone can be deleted.
                entry.recorded = Some(record);
                entry.due_since = Some(0.0);
                Ok(())
            }
            Ok(record) => {
                entry.wanted = Some(record.clone());
                entry.recorded = Some(record);
                Ok(())
            }
            Err(e) => {
                entry.ignored = true;
                Err((found.name, e.to_string()))
            }
        }
    }

    /// Names of the plans of a kind, except those that are to be deleted or are ignored.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let of_kind = |name: &str| name.strip_prefix(kind).is_some_and(|n| n.starts_with('/'));
        self.entries
            .iter()
            .filter(|(name, e)| of_kind(name) && e.wanted.is_some())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns a plan as it should be recorded; `None` if there is no such plan.
    ///
    /// # Errors
    /// If the record has another version or is not a plan of this kind. The caller should then
    /// call [`PlanStore::ignore`].
    pub fn read<T: DeserializeOwned>(
        &self,
        name: &str,
        version: u32,
    ) -> Result<Option<T>, PlanReadError> {
        let Some(record) = self.entries.get(name).and_then(|e| e.wanted.as_ref()) else {
            return Ok(None);
        };
        if record.version != version {
            return Err(PlanReadError::Version(record.version));
        }
        from_value(&record.plan)
            .map(Some)
            .map_err(|e| PlanReadError::Malformed(e.to_string()))
    }

    /// Leaves a record unchanged in the state service and no longer lists or returns it.
    pub fn ignore(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.wanted = None;
            entry.due_since = None;
            entry.ignored = true;
        }
    }

    /// Sets the plan that should be recorded. If it equals the record, nothing is written.
    ///
    /// # Errors
    /// If the plan cannot be recorded. The store is then unchanged.
    pub fn put(
        &mut self,
        now: Time,
        name: &str,
        version: u32,
        plan: &impl Serialize,
    ) -> Result<(), PlanWriteError> {
        let plan = to_value(plan).map_err(|e| PlanWriteError::Unencodable(e.to_string()))?;
        let record = PlanRecord {
            version,
            plan,
            is_tombstone: false,
        };
        let bytes = encode(&record).len();
        if bytes > self.value_bytes {
            return Err(PlanWriteError::TooLarge(bytes));
        }
        let recorded = || self.entries.values().filter(|e| !e.is_tombstone()).count();
        if !self.entries.contains_key(name) && recorded() >= self.max_plans {
            return Err(PlanWriteError::Full(recorded()));
        }
        let entry = self.entries.entry(name.to_owned()).or_insert(Entry {
            version: Some(0),
            ..Entry::default()
        });
        entry.ignored = false;
        entry.wanted = Some(record);
        entry.update_due(now);
        Ok(())
    }

    /// Requests the deletion of a plan's record.
    pub fn remove(&mut self, now: Time, name: &str) {
        if let Some(entry) = self.entries.get_mut(name)
            && !entry.ignored
        {
            entry.wanted = None;
            entry.update_due(now);
        }
        self.drop_if_removed(name);
    }

    /// Whether the state service holds the plan exactly as it should be. A caller that must
    /// not act before a successor could read the plan waits for this.
    pub fn is_recorded(&self, name: &str) -> bool {
        self.entries
            .get(name)
            .is_some_and(|e| !e.ignored && e.version.is_some() && !e.differs())
    }

    fn drop_if_removed(&mut self, name: &str) {
        let is_removed = |e: &Entry| {
            !e.ignored && e.wanted.is_none() && e.version == Some(0) && !e.creation_uncertain
        };
        if self.entries.get(name).is_some_and(is_removed) {
            self.entries.remove(name);
        }
    }

    /// Whether any plan has waited to be written for longer than `max_wait_s`.
    pub fn is_overdue(&self, now: Time, max_wait_s: f64) -> bool {
        let late = |e: &Entry| e.due_since.is_some_and(|since| now - since > max_wait_s);
        self.entries.values().any(late)
    }

    /// Adds the plans that have waited longest to a transaction, at most `changes` plans and
    /// `bytes` bytes.
    pub fn write(
        &self,
        txn: &mut Txn<Record>,
        changes: usize,
        mut bytes: usize,
    ) -> Vec<WrittenPlan> {
        let mut due: Vec<(Time, &String, &Entry)> = self
            .entries
            .iter()
            .filter(|(_, e)| e.version.is_some())
            .filter_map(|(name, e)| Some((e.due_since?, name, e)))
            .collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let mut written = Vec::new();
        for (_, name, entry) in due.into_iter().take(changes) {
            let size = OVERHEAD_BYTES + entry.wanted.as_ref().map_or(0, |r| encode(r).len());
            if size > bytes {
                break;
            }
            bytes -= size;
            let key = plan_key(name);
            txn.conditions.push(Condition {
                key: key.clone(),
                version: entry.version.unwrap_or(0),
            });
            let tombstone = entry.creation_uncertain.then(PlanRecord::tombstone);
            txn.changes.push(match entry.wanted.clone().or(tombstone) {
                Some(record) => Change::Put {
                    key,
                    value: Record::Plan(record),
                    lease: None,
                },
                None => Change::Delete { key },
            });
            written.push(WrittenPlan {
                name: name.clone(),
                record: entry.wanted.clone(),
            });
        }
        written
    }

    /// The transaction that wrote these plans was applied; `version` is their new version.
    pub fn mark_written(&mut self, now: Time, written: Vec<WrittenPlan>, version: u64) {
        for plan in written {
            if let Some(entry) = self.entries.get_mut(&plan.name) {
                let exists = plan.record.is_some() || entry.creation_uncertain;
                entry.version = Some(if exists { version } else { 0 });
                entry.recorded = plan.record;
                entry.due_since = None;
                entry.update_due(now);
            }
            self.drop_if_removed(&plan.name);
        }
    }

    /// The transaction with these plans got no answer, so it may or may not have been applied:
    /// each record is read before it is written again.
    pub fn mark_uncertain(&mut self, written: &[WrittenPlan]) {
        for plan in written {
            if let Some(entry) = self.entries.get_mut(&plan.name) {
                entry.creation_uncertain |= entry.version == Some(0);
            }
            self.mark_version_unknown(&plan.name);
        }
    }

    /// The version of a record is not the expected one, because an earlier write of this
    /// leader was applied late: the version is read before the next write.
    pub fn mark_version_unknown(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.version = None;
        }
    }

    /// Names of the plans whose versions must be read before they are written.
    pub fn unknown_versions(&self) -> Vec<String> {
        let unknown = self.entries.iter().filter(|(_, e)| e.version.is_none());
        unknown.map(|(name, _)| name.clone()).collect()
    }

    /// Takes the result of a new read: the record and its version, or `None` if the key does
    /// not exist.
    pub fn set_stored(&mut self, now: Time, name: &str, found: Option<(Value, u64)>) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.version = Some(found.as_ref().map_or(0, |(_, version)| *version));
            let record = found.and_then(|(value, _)| from_value::<PlanRecord>(&value).ok());
            entry.recorded = record.filter(|r| !r.is_tombstone);
            entry.due_since = None;
            entry.update_due(now);
        }
        self.drop_if_removed(name);
    }
}

impl Entry {
    /// Sets or clears the time since which a write is due.
    fn update_due(&mut self, now: Time) {
        if self.differs() {
            self.due_since.get_or_insert(now);
        } else {
            self.due_since = None;
        }
    }

    /// Whether the record is not as it should be. This includes a missing tombstone: no record
    /// exists, but a creation may still be executed.
    fn differs(&self) -> bool {
        let lacks_tombstone =
            self.wanted.is_none() && self.creation_uncertain && self.version == Some(0);
        self.wanted != self.recorded || lacks_tombstone
    }

    fn is_tombstone(&self) -> bool {
        self.creation_uncertain && self.wanted.is_none() && !self.differs()
    }
}
