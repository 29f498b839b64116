//! The command line of umbersail.
#![deny(missing_docs)]

mod plans;
mod rehearse;

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use anyhow::{Context, anyhow};
use clap::{Parser, Subcommand};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use umbersail_control::Settings;
use umbersail_runtime::{Runtime, SystemClock};
use umbersail_tuning::Tuning;

/// A cluster scheduler. Without a subcommand, this process runs one controller.
#[derive(Parser)]
#[command(
    name = "umbersail",
    version,
    about,
    args_conflicts_with_subcommands = true
)]
struct Cli {
    #[command(flatten)]
    files: SettingsFiles,
    #[command(subcommand)]
    command: Option<Subcommands>,
}

/// Options that name the settings files.
#[derive(clap::Args)]
struct SettingsFiles {
    /// Platform settings (TOML): addresses, peers, cloud, state service, teams and limits.
    /// Required.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operator settings (Java properties). Properties that are not set have their defaults.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Validate the settings files without starting a controller; prints "ok".
    Check {
        #[command(flatten)]
        files: SettingsFiles,
    },
    /// Print the calendar runs and capacity reservations in the settings, with their next times.
    Plans {
        #[command(flatten)]
        files: SettingsFiles,
        /// Also print all plans recorded in the state service that --config names, including
        /// image rollouts in progress.
        #[arg(long)]
        recorded: bool,
    },
    /// List all properties with default, bounds, unit and purpose.
    Properties,
    Rehearse(rehearse::Rehearse),
    Experiment(rehearse::Experiments),
}

/// Exit code if a settings file is missing, unreadable or invalid, or if the recorded plans
/// can't be read.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (files, check_only) = match cli.command {
        Some(Subcommands::Properties) => {
            print_properties();
            return ExitCode::SUCCESS;
        }
        Some(Subcommands::Rehearse(rehearsal)) => {
            start_logging(true);
            return rehearsal.run();
        }
        Some(Subcommands::Experiment(experiments)) => {
            start_logging(true);
            return experiments.run();
        }
        Some(Subcommands::Plans { files, recorded }) => {
            return match load(&files).and_then(|(s, t)| plans::print(&s, &t, recorded)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("umbersail: {e:#}");
                    ExitCode::from(EXIT_INVALID_SETTINGS)
                }
            };
        }
        Some(Subcommands::Check { files }) => (files, true),
        None => (cli.files, false),
    };
    let (settings, tuning) = match load(&files) {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("umbersail: {e:#}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if check_only {
        println!("ok");
        return ExitCode::SUCCESS;
    }
    start_logging(false);
    match serve(settings, tuning) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("umbersail: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Loads and validates the settings files.
fn load(files: &SettingsFiles) -> anyhow::Result<(Settings, Tuning)> {
    let config = files
        .config
        .as_deref()
        .ok_or_else(|| anyhow!("the option --config FILE is required"))?;
    let settings = Settings::load(config)?;
    let tuning = match files.settings.as_deref() {
        Some(path) => load_properties(path)?,
        None => Tuning::default(),
    };
    if let Err(e) = umbersail_control::check_plans(&settings, &tuning) {
        // Entries of plans are properties, so the operator settings contain the error.
        let file = files.settings.as_deref().unwrap_or(config);
        return Err(anyhow!(e).context(file.display().to_string()));
    }
    Ok((settings, tuning))
}

/// Loads the operator settings; errors name the file.
fn load_properties(path: &Path) -> anyhow::Result<Tuning> {
    let name = || path.display().to_string();
    let file = File::open(path).with_context(name)?;
    Tuning::from_properties(file).with_context(name)
}

/// Prints all properties in the format of a properties file.
fn print_properties() {
    for c in umbersail_tuning::CONSTANTS {
        println!(
            "# {}\n# {} to {}, {}\n{} = {}\n",
            c.reason, c.min, c.max, c.unit, c.key, c.default
        );
    }
}

/// Returns the level that the environment variable `LOG_LEVEL` names (`error`, `info` or
/// `debug`), or `default` if the variable is unset or has another value.
fn log_level(default: LevelFilter) -> LevelFilter {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("info") => LevelFilter::INFO,
        Ok("debug") => LevelFilter::DEBUG,
        _ => default,
    }
}

/// Prefixes log lines with simulated time and the name of the simulated host, instead of the
/// time of this machine.
struct SimulatedTime;

impl FormatTime for SimulatedTime {
    fn format_time(&self, w: &mut Writer<'_>) -> std::fmt::Result {
        match umbersail_runtime::simulated_time_and_host() {
            Some((at, host)) => write!(w, "{at:.6} {host}"),
            None => write!(w, "not simulated"),
        }
    }
}

/// Starts logging to standard error. The default level is `info`; for a rehearsal the default
/// is `error`, because many controllers log at once.
fn start_logging(rehearsal: bool) {
    let default = if rehearsal {
        LevelFilter::ERROR
    } else {
        LevelFilter::INFO
    };
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(log_level(default))
        .with_writer(std::io::stderr)
        .with_ansi(false);
    if rehearsal {
        subscriber.with_timer(SimulatedTime).init();
    } else {
        subscriber
            .with_timer(tracing_subscriber::fmt::time::uptime())
            .init();
    }
}

/// Runs the controller until the process is killed.
fn serve(settings: Settings, tuning: Tuning) -> anyhow::Result<()> {
    let runtime = Runtime::new().context("the event loop cannot be created")?;
    let clock = Rc::new(SystemClock::default());
    runtime
        .block_on(umbersail_control::run(settings, tuning, clock))
        .context("the event loop failed")?
        .context("the controller cannot listen on its addresses")
}
