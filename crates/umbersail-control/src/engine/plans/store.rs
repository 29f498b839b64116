//! The records of plans as they should be and as the state service holds them.
//!
//! Every record is written on the condition of the leader's key and of its own version,
//! like a part of the grant: a late write fails, and what a successor lists after its
//! election is final. A record that does not exist has no version of its own, so one whose
//! creation had no answer is not deleted under the same leader, or the late creation would
//! find what it asks for: a tombstone takes its place, which the next leader deletes.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use umbersail_wire::{Change, Condition, Txn, Value, encode, from_value, to_value};

use super::Time;
use crate::records::{PlanRecord, Record, plan_key};

/// A recorded plan found by a new leader.
#[derive(Debug, Clone)]
pub struct InheritedPlan {
    /// Kind and name, without the prefix of all plans.
    pub name: String,
    /// Version of its key.
    pub version: u64,
    /// The record, not yet looked into.
    pub value: Value,
}

/// Why a plan can't be recorded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BookError {
    #[error("{0} plans are recorded already (plans.records): remove one or raise the bound")]
    Full(usize),
    #[error("its record takes {0} bytes, more than the state service's bound on a value")]
    TooLarge(usize),
    #[error("its record can't be put into MessagePack: {0}")]
    Unencodable(String),
}

/// Why a recorded plan can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    #[error("version {0} is not known to this build")]
    Version(u32),
    #[error("not a plan of this kind: {0}")]
    Nonsense(String),
}

#[derive(Debug, Default)]
struct Entry {
    /// 0: it does not exist; absent: unknown, to be read before it is written.
    version: Option<u64>,
    /// As it should stand; absent: removed.
    wanted: Option<PlanRecord>,
    recorded: Option<PlanRecord>,
    /// Since when the two differ.
    due_since: Option<Time>,
    /// Not a plan at all: left as it stands until somebody writes its name.
    aside: bool,
    /// A creation by us had no answer and may yet be carried out where no record stands.
    creation_open: bool,
}

/// A plan on its way to the state service.
#[derive(Debug, Clone)]
pub struct WrittenPlan {
    name: String,
    record: Option<PlanRecord>,
}

/// All plans by kind and name.
pub struct PlanStore {
    entries: BTreeMap<String, Entry>,
    most: usize,
    value_bytes: usize,
}

/// What a record's key, condition and frame take in a transaction.
const FRAME_BYTES: usize = 300;

impl PlanStore {
    pub fn new(most: usize, value_bytes: usize) -> PlanStore {
        PlanStore {
            entries: BTreeMap::new(),
            most,
            value_bytes,
        }
    }

    /// Takes a record in; its name and the reason if it is none and is set aside.
    pub fn inherit(&mut self, found: InheritedPlan) -> Result<(), (String, String)> {
        let record = from_value::<PlanRecord>(&found.value);
        let entry = self.entries.entry(found.name.clone()).or_default();
        entry.version = Some(found.version);
        match record {
            Ok(record) if record.is_tombstone => {
                // Its late creation fails under us: nothing needs to stand there.
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
                entry.aside = true;
                Err((found.name, e.to_string()))
            }
        }
    }

    /// Names of a kind's plans, those to be removed and those set aside left out.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let of_kind = |name: &str| name.strip_prefix(kind).is_some_and(|n| n.starts_with('/'));
        self.entries
            .iter()
            .filter(|(name, e)| of_kind(name) && e.wanted.is_some())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Reads a plan as it should stand; none if there is none.
    ///
    /// # Errors
    /// If it is of another version, or not of this kind: it is then to be set aside.
    pub fn read<T: DeserializeOwned>(
        &self,
        name: &str,
        version: u32,
    ) -> Result<Option<T>, ReadError> {
        let Some(record) = self.entries.get(name).and_then(|e| e.wanted.as_ref()) else {
            return Ok(None);
        };
        if record.version != version {
            return Err(ReadError::Version(record.version));
        }
        from_value(&record.plan)
            .map(Some)
            .map_err(|e| ReadError::Nonsense(e.to_string()))
    }

    /// Leaves a record as it stands; nobody is told of it any more.
    pub fn set_aside(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.wanted = None;
            entry.due_since = None;
            entry.aside = true;
        }
    }

    /// The plan shall stand so. Equal to what stands already, it costs nothing.
    ///
    /// # Errors
    /// If it can't be recorded: then nothing has changed.
    pub fn put(
        &mut self,
        now: Time,
        name: &str,
        version: u32,
        plan: &impl Serialize,
    ) -> Result<(), BookError> {
        let plan = to_value(plan).map_err(|e| BookError::Unencodable(e.to_string()))?;
        let record = PlanRecord {
            version,
            plan,
            is_tombstone: false,
        };
        let bytes = encode(&record).len();
        if bytes > self.value_bytes {
            return Err(BookError::TooLarge(bytes));
        }
        let recorded = || self.entries.values().filter(|e| !e.is_tombstone()).count();
        if !self.entries.contains_key(name) && recorded() >= self.most {
            return Err(BookError::Full(recorded()));
        }
        let entry = self.entries.entry(name.to_owned()).or_insert(Entry {
            version: Some(0),
            ..Entry::default()
        });
        entry.aside = false;
        entry.wanted = Some(record);
        entry.note(now);
        Ok(())
    }

    /// The plan shall be gone.
    pub fn remove(&mut self, now: Time, name: &str) {
        if let Some(entry) = self.entries.get_mut(name)
            && !entry.aside
        {
            entry.wanted = None;
            entry.note(now);
        }
        self.forget_gone(name);
    }

    /// Whether the state service holds the plan just as it should stand: what a
    /// successor is to know before we act is recorded.
    pub fn is_recorded(&self, name: &str) -> bool {
        self.entries
            .get(name)
            .is_some_and(|e| !e.aside && e.version.is_some() && !e.differs())
    }

    fn forget_gone(&mut self, name: &str) {
        let gone =
            |e: &Entry| !e.aside && e.wanted.is_none() && e.version == Some(0) && !e.creation_open;
        if self.entries.get(name).is_some_and(gone) {
            self.entries.remove(name);
        }
    }

    /// Whether something waits to be written, for longer than `patience_s`.
    pub fn is_overdue(&self, now: Time, patience_s: f64) -> bool {
        let late = |e: &Entry| e.due_since.is_some_and(|since| now - since > patience_s);
        self.entries.values().any(late)
    }

    /// Adds what waits longest to a transaction, within `changes` and `bytes`.
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
            let size = FRAME_BYTES + entry.wanted.as_ref().map_or(0, |r| encode(r).len());
            if size > bytes {
                break;
            }
            bytes -= size;
            let key = plan_key(name);
            txn.conditions.push(Condition {
                key: key.clone(),
                version: entry.version.unwrap_or(0),
            });
            let tombstone = entry.creation_open.then(PlanRecord::tombstone);
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

    /// These stand now, with this version.
    pub fn applied(&mut self, now: Time, written: Vec<WrittenPlan>, version: u64) {
        for plan in written {
            if let Some(entry) = self.entries.get_mut(&plan.name) {
                let stands = plan.record.is_some() || entry.creation_open;
                entry.version = Some(if stands { version } else { 0 });
                entry.recorded = plan.record;
                entry.due_since = None;
                entry.note(now);
            }
            self.forget_gone(&plan.name);
        }
    }

    /// They may stand or not: each is read before it is written again.
    pub fn unsure(&mut self, written: &[WrittenPlan]) {
        for plan in written {
            if let Some(entry) = self.entries.get_mut(&plan.name) {
                entry.creation_open |= entry.version == Some(0);
            }
            self.moved(&plan.name);
        }
    }

    /// A write found another version than we know: our own late one.
    pub fn moved(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.version = None;
        }
    }

    /// Plans whose versions must be read before they are written.
    pub fn unread(&self) -> Vec<String> {
        let unread = self.entries.iter().filter(|(_, e)| e.version.is_none());
        unread.map(|(name, _)| name.clone()).collect()
    }

    /// A fresh read: the record and its version, if it exists.
    pub fn read_back(&mut self, now: Time, name: &str, found: Option<(Value, u64)>) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.version = Some(found.as_ref().map_or(0, |(_, version)| *version));
            let record = found.and_then(|(value, _)| from_value::<PlanRecord>(&value).ok());
            entry.recorded = record.filter(|r| !r.is_tombstone);
            entry.due_since = None;
            entry.note(now);
        }
        self.forget_gone(name);
    }
}

impl Entry {
    fn note(&mut self, now: Time) {
        if self.differs() {
            self.due_since.get_or_insert(now);
        } else {
            self.due_since = None;
        }
    }

    /// Whether what stands is not what should: also nothing where a tombstone is due.
    fn differs(&self) -> bool {
        let bare = self.wanted.is_none() && self.creation_open && self.version == Some(0);
        self.wanted != self.recorded || bare
    }

    fn is_tombstone(&self) -> bool {
        self.creation_open && self.wanted.is_none() && !self.differs()
    }
}
