//! `umbersail plans`: entries of the calendar and the planner, and plans as recorded.

use anyhow::{Context, anyhow};
use jiff::Timestamp;
use umbersail_control::{Settings, planned_entries, recorded_plans};
use umbersail_runtime::Runtime;
use umbersail_tuning::Tuning;

/// A time of day as the command line shows it, in UTC.
fn moment(ms: u64) -> String {
    Timestamp::from_millisecond(ms as i64).map_or_else(|_| "beyond time".into(), |t| t.to_string())
}

/// Prints a line for each entry and, if asked, for each record.
///
/// # Errors
/// An entry that can't be used, or a state service that does not answer.
pub fn print(settings: &Settings, tuning: &Tuning, recorded: bool) -> anyhow::Result<()> {
    let now_ms = Timestamp::now().as_millisecond().max(0) as u64;
    for entry in planned_entries(settings, tuning, now_ms)? {
        let steps: Vec<String> = entry.steps.iter().map(|s| s.join("+")).collect();
        let when = match entry.next_ms {
            Some((from, to)) => format!("{} to {}", moment(from), moment(to)),
            None => "no more".into(),
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
        let runtime = Runtime::new().context("event loop")?;
        let plans = runtime
            .block_on(recorded_plans(state))
            .context("event loop")?
            .map_err(|e| anyhow!("{state}: {e}"))?;
        for (name, version, plan) in plans {
            let plan = serde_json::to_string(&plan).context("a record")?;
            match version {
                Some(version) => println!("recorded {name} (version {version}): {plan}"),
                None => println!("recorded {name}, no plan: {plan}"),
            }
        }
    }
    Ok(())
}
