//! The command line of umbersail.

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

/// A cluster scheduler: one process of this program is one controller.
#[derive(Parser)]
#[command(
    name = "umbersail",
    version,
    about,
    args_conflicts_with_subcommands = true
)]
struct Cli {
    #[command(flatten)]
    files: Files,
    #[command(subcommand)]
    command: Option<Action>,
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator's settings (Java-style properties).
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Action {
    /// Validate the files without starting.
    Check {
        #[command(flatten)]
        files: Files,
    },
    /// Print the calendar's and the planner's entries with their next times and, if
    /// asked, all plans as the state service holds them, images under way included.
    Plans {
        #[command(flatten)]
        files: Files,
        /// Read what is recorded at the state service that --config names.
        #[arg(long)]
        recorded: bool,
    },
    /// List all properties with defaults, bounds, units and reasons.
    Properties,
    Rehearse(rehearse::Rehearse),
    Experiment(rehearse::Experiments),
}

/// A file that can't be used, or a command line without one.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (files, check_only) = match cli.command {
        Some(Action::Properties) => {
            print_properties();
            return ExitCode::SUCCESS;
        }
        Some(Action::Rehearse(rehearsal)) => {
            start_logging(true);
            return rehearsal.run();
        }
        Some(Action::Experiment(experiments)) => {
            start_logging(true);
            return experiments.run();
        }
        Some(Action::Plans { files, recorded }) => {
            return match load(&files).and_then(|(s, t)| plans::print(&s, &t, recorded)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("umbersail: {e:#}");
                    ExitCode::from(BAD_SETTINGS)
                }
            };
        }
        Some(Action::Check { files }) => (files, true),
        None => (cli.files, false),
    };
    let (settings, tuning) = match load(&files) {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("umbersail: {e:#}");
            return ExitCode::from(BAD_SETTINGS);
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

fn load(files: &Files) -> anyhow::Result<(Settings, Tuning)> {
    let config = files
        .config
        .as_deref()
        .ok_or_else(|| anyhow!("--config FILE is missing"))?;
    let settings = Settings::load(config)?;
    let tuning = match files.settings.as_deref() {
        Some(path) => load_properties(path)?,
        None => Tuning::default(),
    };
    if let Err(e) = umbersail_control::check_plans(&settings, &tuning) {
        // Entries come from the properties, so there is such a file.
        let file = files.settings.as_deref().unwrap_or(config);
        return Err(anyhow!(e).context(file.display().to_string()));
    }
    Ok((settings, tuning))
}

fn load_properties(path: &Path) -> anyhow::Result<Tuning> {
    let name = || path.display().to_string();
    let file = File::open(path).with_context(name)?;
    Tuning::from_properties(file).with_context(name)
}

fn print_properties() {
    for c in umbersail_tuning::CONSTANTS {
        println!(
            "# {}\n# {} to {}, {}\n{} = {}\n",
            c.reason, c.min, c.max, c.unit, c.key, c.default
        );
    }
}

/// `LOG_LEVEL` is `error`, `info` or `debug`; anything else means `info`, and
/// for a rehearsal, whose controllers say a lot, `error`.
fn log_level(usual: LevelFilter) -> LevelFilter {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("info") => LevelFilter::INFO,
        Ok("debug") => LevelFilter::DEBUG,
        _ => usual,
    }
}

/// Simulated time and the controller's name, in place of this machine's time.
struct SimulatedPlace;

impl FormatTime for SimulatedPlace {
    fn format_time(&self, w: &mut Writer<'_>) -> std::fmt::Result {
        match umbersail_runtime::simulated_time_and_host() {
            Some((at, host)) => write!(w, "{at:.6} {host}"),
            None => write!(w, "outside"),
        }
    }
}

fn start_logging(rehearsal: bool) {
    let usual = if rehearsal {
        LevelFilter::ERROR
    } else {
        LevelFilter::INFO
    };
    let logs = tracing_subscriber::fmt()
        .with_max_level(log_level(usual))
        .with_writer(std::io::stderr)
        .with_ansi(false);
    if rehearsal {
        logs.with_timer(SimulatedPlace).init();
    } else {
        logs.with_timer(tracing_subscriber::fmt::time::uptime())
            .init();
    }
}

fn serve(settings: Settings, tuning: Tuning) -> anyhow::Result<()> {
    let runtime = Runtime::new().context("event loop")?;
    let clock = Rc::new(SystemClock::default());
    runtime
        .block_on(umbersail_control::run(settings, tuning, clock))
        .context("event loop")?
        .context("listening")
}
