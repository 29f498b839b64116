//! Operators' entries for plans, checked before anything starts, and plans as recorded.

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

/// An entry that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct PlanError {
    /// The property.
    pub key: String,
    /// What is wrong with it.
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
    let facts = reservation_limits(&limits, tuning);
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

/// A calendar's or a reservation's entry, and its next time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEntry {
    /// `calendar` or `reserve`, and the entry's name.
    pub name: String,
    /// The team that it is for.
    pub team: String,
    /// Classes of each step in order; those of a reservation together.
    pub steps: Vec<Vec<String>>,
    /// Under way or next: its beginning and its due time or end, in milliseconds since
    /// 1970; absent if there is no further one.
    pub next_ms: Option<(u64, u64)>,
}

/// The entries of the properties, as they stand at this time of day.
///
/// # Errors
/// The first entry that can't be used, with the reason.
pub fn planned_entries(
    settings: &Settings,
    tuning: &Tuning,
    now_ms: u64,
) -> Result<Vec<PlannedEntry>, PlanError> {
    check_plans(settings, tuning)?;
    let refused = |key, reason| PlanError { key, reason };
    let calendar = Calendar::parse(&tuning.plan_entries).map_err(|e| refused(e.key, e.reason))?;
    let limits = settings.team_limits();
    let reservations =
        Reservations::parse(&tuning.plan_entries, &reservation_limits(&limits, tuning))
            .map_err(|e| refused(e.key, e.reason))?;
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

/// Seconds that the state service has for one page of plans.
const READ_S: f64 = 5.0;

/// All plans as the state service holds them: kind and name, and the record. What is
/// no plan is shown as it stands, without a version.
///
/// # Errors
/// What the state service answered, or that it did not.
pub async fn recorded_plans(
    state: SocketAddr,
) -> Result<Vec<(String, Option<u32>, Value)>, String> {
    let client = Client::new(ClientLimits {
        max_body_bytes: 8 << 20,
        max_per_address: 1,
        max_idle: 1,
        max_total: 1,
        connect_s: READ_S,
    });
    let mut plans = Vec::new();
    let mut from = String::new();
    loop {
        let target = format!("{}?under={PLANS}&most=500{from}", paths::KEYS);
        let answer = client.request(state, "GET", &target, b"", READ_S).await;
        let body = match answer {
            Ok((200, body)) => body,
            Ok((status, _)) => {
                return Err(format!("the state service answers {status}: try again"));
            }
            Err(e) => return Err(format!("the state service does not answer: {e}")),
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
