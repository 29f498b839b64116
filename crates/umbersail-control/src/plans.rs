//! Operators' entries for plans, checked before anything starts.

use thiserror::Error;
use umbersail_calendar::Calendar;
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
    let refused = |key, reason| PlanError { key, reason };
    let teams = &settings.facts.teams;
    Calendar::parse(&tuning.plan_entries)
        .and_then(|calendar| calendar.check_teams(|team| teams.iter().any(|t| t.name == team)))
        .map_err(|e| refused(e.key, e.reason))?;
    let limits = settings.team_limits();
    let facts = reserve_facts(&limits, tuning);
    Reservations::parse(&tuning.plan_entries, &facts).map_err(|e| refused(e.key, e.reason))?;
    let prefixes = [umbersail_calendar::PREFIX, umbersail_reserve::PREFIX];
    let known = |key: &&String| prefixes.iter().any(|p| key.starts_with(p));
    match tuning.plan_entries.keys().find(|key| !known(key)) {
        None => Ok(()),
        Some(key) => Err(PlanError {
            key: key.clone(),
            reason: "no plan of this kind is known".into(),
        }),
    }
}
