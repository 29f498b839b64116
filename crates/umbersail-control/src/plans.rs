//! Operators' entries for plans, checked before anything starts.

use thiserror::Error;
use umbersail_reserve::Reservations;
use umbersail_tuning::Tuning;

use crate::engine::reserve_facts;
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
pub fn check_plans(settings: &Settings, tuning: &Tuning) -> Result<(), PlanError> {
    let teams = settings.team_limits();
    Reservations::parse(&tuning.plan_entries, &reserve_facts(&teams, tuning)).map_err(|e| {
        PlanError {
            key: e.key,
            reason: e.reason,
        }
    })?;
    let known = |key: &&String| key.starts_with(umbersail_reserve::PREFIX);
    match tuning.plan_entries.keys().find(|key| !known(key)) {
        None => Ok(()),
        Some(key) => Err(PlanError {
            key: key.clone(),
            reason: "no plan of this kind is known".into(),
        }),
    }
}
