//! The controllers' real memory of unrecorded starts, comparable and hashable.

use std::hash::{Hash, Hasher};

use umbersail_standby::DegradedModeRecord;

use crate::state::TOKEN_LIMIT;

/// Instants on a controller's clock, relative to its own last agreement.
pub const BEFORE: f64 = 0.0;
pub const AGREED: f64 = 1.0;
pub const AFTER: f64 = 2.0;

/// The real memory, and a fingerprint by which states are compared: the leader that
/// it knows of, whether it agreed with it (2) or was told that all is recorded (1),
/// and how many tokens are no newer than the first that it read.
#[derive(Debug, Clone)]
pub struct Memory {
    pub real: DegradedModeRecord,
    pub fingerprint: (u8, u8, u8),
}

impl Default for Memory {
    fn default() -> Memory {
        let real = DegradedModeRecord::default();
        let fingerprint = fingerprint(&real);
        Memory { real, fingerprint }
    }
}

/// Derives the fingerprint from what the memory replies to probes.
fn fingerprint(memory: &DegradedModeRecord) -> (u8, u8, u8) {
    let told = |asked: f64| {
        let mut probe = memory.clone();
        (0..=TOKEN_LIMIT).find(|token| {
            probe.holder_reported(asked, u64::from(*token), false);
            probe.recorded() == Some(u64::from(*token))
        })
    };
    let token = told(AFTER).unwrap_or(u8::MAX);
    let known = match memory.recorded() {
        Some(_) => 1,
        None if told(BEFORE) != Some(token) => 2,
        None => 0,
    };
    let mut probe = memory.clone();
    probe.held_by_us(AGREED, u64::MAX - 1, false);
    let older = (0..=TOKEN_LIMIT).filter(|t| probe.may_have_unrecorded(u64::from(*t)));
    let first = match probe.may_have_unrecorded(u64::MAX) {
        true => 0,
        false => older.count() as u8,
    };
    (token, known, first)
}

impl Memory {
    pub fn update<R>(&mut self, update: impl FnOnce(&mut DegradedModeRecord) -> R) -> R {
        let result = update(&mut self.real);
        self.fingerprint = fingerprint(&self.real);
        result
    }
}

impl PartialEq for Memory {
    fn eq(&self, other: &Memory) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for Memory {}

impl Hash for Memory {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}
