//! `umbersail plans`: prints the configured calendar runs and capacity reservations, and the
//! plans recorded in the state service.

use anyhow::{Context, anyhow};
use jiff::Timestamp;
use umbersail_control::{Settings, planned_entries, recorded_plans};
use umbersail_runtime::Runtime;
use umbersail_tuning::Tuning;

/// Formats milliseconds since the Unix epoch as a timestamp in UTC.
fn format_timestamp(ms: u64) -> String {
    Timestamp::from_millisecond(ms as i64).map_or_else(|_| "out of range".into(), |t| t.to_string())
}

/// Prints a line for each entry and, with `recorded`, for each plan in the state service.
///
/// # Errors
/// If an entry is invalid or the state service does not answer.
pub fn print(settings: &Settings, tuning: &Tuning, recorded: bool) -> anyhow::Result<()> {
    let now_ms = Timestamp::now().as_millisecond().max(0) as u64;
    for entry in planned_entries(settings, tuning, now_ms)? {
        let steps: Vec<String> = entry.steps.iter().map(|s| s.join("+")).collect();
        let when = match entry.next_ms {
            Some((from, to)) => {
                format!("{} to {}", format_timestamp(from), format_timestamp(to))
            }
            None => "no further occurrence".into(),
        };
        println!(
            "{}: team {}, {}, {when}",
            entry.name,
            entry.team,
            steps.join(" then ")
        );
    }
    if recorded {
        let state = settings.external.state;
        let runtime = Runtime::new().context("the event loop cannot be created")?;
        let plans = runtime
            .block_on(recorded_plans(state))
            .context("the event loop failed")?
            .map_err(|e| anyhow!("{state}: {e}"))?;
        for (name, version, plan) in plans {
            let plan = serde_json::to_string(&plan)
                .with_context(|| format!("recorded plan {name} cannot be printed as JSON"))?;
            match version {
                Some(version) => println!("recorded {name} (version {version}): {plan}"),
                None => println!("recorded {name}, no plan: {plan}"),
            }
        }
    }
    Ok(())
}
