//! Operators' plan entries (calendars and reservations) in the properties file, which are
//! validated before the controller starts, and the plans recorded in the state service.

use std::net::SocketAddr;

use thiserror::Error;
use umbersail_calendar::Calendar;
use umbersail_http::{Client, ClientLimits};
use umbersail_reserve::Reservations;
use umbersail_tuning::Tuning;
use umbersail_wire::{KeyList, KeyValue, Value, decode, paths};

use crate::engine::reservation_limits;
use crate::records::{PLANS, PlanRecord};
use crate::settings::Settings;

/// A plan entry that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct PlanError {
    /// Key of the property.
    pub key: String,
    /// What is wrong with the entry.
    pub reason: String,
}

/// Validates all plan entries, against one another and against the settings file.
///
/// # Errors
/// The first entry that can't be used, with the reason.
pub fn check_plans(settings: &Settings, tuning: &Tuning) -> Result<(), PlanError> {
    let plan_error = |key, reason| PlanError { key, reason };
    let teams = &settings.facts.teams;
    Calendar::parse(&tuning.plan_entries)
        .and_then(|calendar| calendar.check_teams(|team| teams.iter().any(|t| t.name == team)))
        .map_err(|e| plan_error(e.key, e.reason))?;
    let limits = settings.team_limits();
    let facts = reservation_limits(&limits, tuning);
    Reservations::parse(&tuning.plan_entries, &facts).map_err(|e| plan_error(e.key, e.reason))?;
    let prefixes = [umbersail_calendar::PREFIX, umbersail_reserve::PREFIX];
    let known = |key: &&String| prefixes.iter().any(|p| key.starts_with(p));
    match tuning.plan_entries.keys().find(|key| !known(key)) {
        None => Ok(()),
        Some(key) => Err(PlanError {
            key: key.clone(),
            reason: "unknown kind of plan".into(),
        }),
    }
}

/// An entry of a calendar or a reservation, with its current or next time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEntry {
    /// `calendar` or `reserve`, and the entry's name.
    pub name: String,
    /// Team that the entry applies to.
    pub team: String,
    /// Job classes of each step, in order. A reservation has one step with all its classes.
    pub steps: Vec<Vec<String>>,
    /// The current run or window, otherwise the next one: its start, and its due time or end,
    /// in milliseconds since 1970. Absent if there is none.
    pub next_ms: Option<(u64, u64)>,
}

/// Returns the plan entries of the properties file with their times as seen at `now_ms`.
///
/// # Errors
/// The first entry that can't be used, with the reason.
pub fn planned_entries(
    settings: &Settings,
    tuning: &Tuning,
    now_ms: u64,
) -> Result<Vec<PlannedEntry>, PlanError> {
    check_plans(settings, tuning)?;
    let plan_error = |key, reason| PlanError { key, reason };
    let calendar =
        Calendar::parse(&tuning.plan_entries).map_err(|e| plan_error(e.key, e.reason))?;
    let limits = settings.team_limits();
    let reservations =
        Reservations::parse(&tuning.plan_entries, &reservation_limits(&limits, tuning))
            .map_err(|e| plan_error(e.key, e.reason))?;
    let runs = calendar.entries.iter().map(|(name, entry)| {
        let (last, next) = entry.openings.last_and_next(now_ms);
        let open = last.filter(|opening| entry.due(*opening) > now_ms);
        PlannedEntry {
            name: format!("calendar {name}"),
            team: entry.team.clone(),
            steps: entry.steps().map(<[String]>::to_vec).collect(),
            next_ms: (open.or(next)).map(|opening| (opening, entry.due(opening))),
        }
    });
    let windows = reservations.iter().map(|entry| PlannedEntry {
        name: format!("reserve {}", entry.name),
        team: entry.terms.team.clone(),
        steps: vec![entry.terms.classes.to_vec()],
        next_ms: (entry.schedule.window_at(now_ms)).map(|window| (window.from_ms, window.to_ms)),
    });
    Ok(runs.chain(windows).collect())
}

/// Timeout for reading one page of plans, in seconds.
const READ_TIMEOUT_S: f64 = 5.0;

/// Reads all plans from the state service. Each plan is returned as its kind and name, its
/// version, and its content. A value that is not a plan record is returned unchanged, without a
/// version.
///
/// # Errors
/// The status of an error response, or the reason why there was no valid response.
pub async fn recorded_plans(
    state: SocketAddr,
) -> Result<Vec<(String, Option<u32>, Value)>, String> {
    let client = Client::new(ClientLimits {
        max_body_bytes: 8 << 20,
        max_per_address: 1,
        max_idle: 1,
        max_total: 1,
        connect_timeout_s: READ_TIMEOUT_S,
    });
    let mut plans = Vec::new();
    let mut from = String::new();
    loop {
        let target = format!("{}?under={PLANS}&most=500{from}", paths::KEYS);
        let answer = client
            .request(state, "GET", &target, b"", READ_TIMEOUT_S)
            .await;
        let body = match answer {
            Ok((200, body)) => body,
            Ok((status, _)) => {
                return Err(format!(
                    "the state service answered with status {status}: try again"
                ));
            }
            Err(e) => return Err(format!("the state service did not answer: {e}")),
        };
        let page: KeyList<Value> = decode(&body).map_err(|e| e.to_string())?;
        let Some(last) = page.items.last() else {
            return Ok(plans);
        };
        from = format!("&from={}", last.key);
        for KeyValue { key, value, .. } in page.items {
            let name = key[PLANS.len().min(key.len())..].to_owned();
            match umbersail_wire::from_value::<PlanRecord>(&value) {
                Ok(record) => plans.push((name, Some(record.version), record.plan)),
                Err(_) => plans.push((name, None, value)),
            }
        }
        if !page.more {
            return Ok(plans);
        }
    }
}
