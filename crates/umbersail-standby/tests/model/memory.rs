//! The production type for what a controller knows about unrecorded starts (tasks started
//! without a record in the state service), made comparable and hashable.

use std::hash::{Hash, Hasher};

use umbersail_standby::DegradedModeMemory;

use crate::state::TOKEN_LIMIT;

/// Times on a controller's clock, relative to the controller's own last agreement.
pub const BEFORE: f64 = 0.0;
pub const AGREED: f64 = 1.0;
pub const AFTER: f64 = 2.0;

/// The production `DegradedModeMemory`, and a fingerprint by which states are compared. The
/// parts of the fingerprint are:
/// - the token of the leader that the memory is about;
/// - 2 if the controller agreed with that leader, 1 if the controller learned that all starts
///   are recorded, else 0;
/// - the number of tokens that are not newer than the first token that the controller read.
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

/// Derives the fingerprint by applying reports to copies of the memory and observing the
/// effect, since the memory's fields are private.
fn fingerprint(memory: &DegradedModeMemory) -> (u8, u8, u8) {
    let reported_token = |asked: f64| {
        let mut probe = memory.clone();
        (0..=TOKEN_LIMIT).find(|token| {
            probe.on_leader_report(asked, u64::from(*token), false);
            probe.fully_recorded_token() == Some(u64::from(*token))
        })
    };
    let token = reported_token(AFTER).unwrap_or(u8::MAX);
    let known = match memory.fully_recorded_token() {
        Some(_) => 1,
        None if reported_token(BEFORE) != Some(token) => 2,
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
