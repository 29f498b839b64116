//! The controllers' real memory of unrecorded starts, comparable and hashable.

use std::hash::{Hash, Hasher};

use umbersail_standby::DegradedModeMemory;

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
    pub real: DegradedModeMemory,
    pub fingerprint: (u8, u8, u8),
}

impl Default for Memory {
    fn default() -> Memory {
        let real = DegradedModeMemory::default();
        let fingerprint = fingerprint(&real);
        Memory { real, fingerprint }
    }
}

/// Derives the fingerprint from what the memory replies to probes.
fn fingerprint(memory: &DegradedModeMemory) -> (u8, u8, u8) {
    let told = |asked: f64| {
        let mut probe = memory.clone();
        (0..=TOKEN_LIMIT).find(|token| {
            probe.on_leader_report(asked, u64::from(*token), false);
            probe.fully_recorded_token() == Some(u64::from(*token))
        })
    };
    let token = told(AFTER).unwrap_or(u8::MAX);
    let known = match memory.fully_recorded_token() {
        Some(_) => 1,
        None if told(BEFORE) != Some(token) => 2,
        None => 0,
    };
    let mut probe = memory.clone();
    probe.on_own_term_ended(AGREED, u64::MAX - 1, false);
    let older = (0..=TOKEN_LIMIT).filter(|t| probe.may_have_unrecorded_starts(u64::from(*t)));
    let first = match probe.may_have_unrecorded_starts(u64::MAX) {
        true => 0,
        false => older.count() as u8,
    };
    (token, known, first)
}

impl Memory {
    pub fn update<R>(&mut self, update: impl FnOnce(&mut DegradedModeMemory) -> R) -> R {
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
