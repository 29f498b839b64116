//! Operators' entries for plans, checked before anything starts.

use thiserror::Error;
use umbersail_tuning::Tuning;

use crate::settings::Settings;

/// An entry that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct PlanError {
    pub key: String,
    pub reason: String,
}

/// Checks all entries for plans against one another and the platform's settings.
///
/// # Errors
/// The first entry that can't be used, with the reason.
pub fn check_plans(_settings: &Settings, tuning: &Tuning) -> Result<(), PlanError> {
    match tuning.plan_entries.keys().next() {
        None => Ok(()),
        Some(key) => Err(PlanError {
            key: key.clone(),
            reason: "no plan of this kind is known".into(),
        }),
    }
}
