//! `umbersail rehearse` runs a scenario on this machine; `umbersail experiment` compares
//! settings over scenarios.
//!
//! A scenario is a [`Scenario`] in the code: a fleet, its users and the failures injected.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use indicatif::{ProgressBar, ProgressStyle};
use umbersail_rehearsal::baseline;
use umbersail_rehearsal::experiment::{self, Experiment};
use umbersail_rehearsal::{
    BUNDLED, Bundled, Outcome, Scenario, ScenarioError, bundled, report, run, run_many, run_real,
};

/// Returns the number of cores of this machine.
fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Exit code if the run failed: a rule was broken, the scenario did not end in time, too few
/// jobs were served, or one of the largest jobs started too late.
const EXIT_FAILED: u8 = 1;
/// Exit code if the scenario or experiment is invalid or can't be run.
const EXIT_INVALID_SCENARIO: u8 = 2;

/// Run a scenario with real controllers and injected failures in simulated time.
///
/// Machines, cloud, state service, load balancer and users are simulated. The last line of the
/// output is `outcome <hash>`; the same scenario and seed give the same hash. The exit code is 0,
/// 1 if the run failed, or 2 if the scenario is invalid or cannot be run.
#[derive(clap::Args)]
pub struct Rehearse {
    /// Scenario file (TOML), or the name of a bundled scenario.
    #[arg(value_name = "SCENARIO", required_unless_present_any = ["list", "schema"])]
    scenario: Option<String>,
    /// Seed that determines all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run N seeds, starting with --seed, in parallel on all cores. Prints a line for each seed
    /// and the summary of each failed run.
    #[arg(long, value_name = "N", conflicts_with = "report")]
    seeds: Option<u64>,
    /// Run the scenario with real processes of this program on the loopback interface, TIMES
    /// times as fast. Failures that are impossible on loopback (network partitions, clock skew)
    /// are skipped and listed.
    #[arg(long, value_name = "TIMES", num_args = 0..=1, default_missing_value = "4",
          conflicts_with = "seeds")]
    real: Option<f64>,
    /// Write report.html, figures.json and history.tar.gz into this directory.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// List the bundled scenarios.
    #[arg(long)]
    list: bool,
    /// Print the JSON Schema of scenario files.
    #[arg(long)]
    schema: bool,
    /// Print the scenario file instead of running it, for example as a template.
    #[arg(long)]
    print: bool,
}

/// Returns the name of a scenario for error messages, and its text: that of the bundled scenario
/// with this name, else that of the file with this path.
fn scenario_text(name: &str) -> Result<(String, String), ScenarioError> {
    if let Some(text) = bundled(name) {
        return Ok((name.to_owned(), text.to_owned()));
    }
    match std::fs::read_to_string(name) {
        Ok(text) => Ok((name.to_owned(), text)),
        Err(e) => Err(ScenarioError {
            file: name.to_owned(),
            key: "file".into(),
            reason: format!("{e}; --list shows the bundled scenarios"),
        }),
    }
}

/// Prints names and titles of the bundled scenarios.
fn print_bundled() {
    for Bundled { name, text, .. } in BUNDLED {
        match Scenario::parse(name, text) {
            Ok(scenario) => println!("{name:<35} {}", scenario.title),
            Err(e) => eprintln!("{e}"),
        }
    }
}

impl Rehearse {
    /// Runs the subcommand. Returns exit code 0, [`EXIT_FAILED`] or [`EXIT_INVALID_SCENARIO`].
    pub fn run(&self) -> ExitCode {
        if self.list {
            print_bundled();
            return ExitCode::SUCCESS;
        }
        if self.schema {
            println!("{:#}", Scenario::schema());
            return ExitCode::SUCCESS;
        }
        let name = self.scenario.as_deref().unwrap_or("");
        let parsed = scenario_text(name).and_then(|(file, text)| {
            let scenario = Scenario::parse(&file, &text)?;
            Ok((scenario, text))
        });
        let (scenario, text) = match parsed {
            Ok(parsed) => parsed,
            Err(e) => {
                eprintln!("umbersail: {e}");
                return ExitCode::from(EXIT_INVALID_SCENARIO);
            }
        };
        if self.print {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        let result = match self.seeds {
            Some(seeds) => self.run_seeds(&scenario, seeds),
            None => self.run_once(&scenario, &text),
        };
        match result {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(EXIT_FAILED),
            Err(e) => {
                eprintln!("umbersail: {name}: {e:#}");
                ExitCode::from(EXIT_INVALID_SCENARIO)
            }
        }
    }

    /// Runs the scenario with one seed and prints its summary. Returns whether the run succeeded.
    fn run_once(&self, scenario: &Scenario, text: &str) -> anyhow::Result<bool> {
        let accelerated = self.real.map(|times| scenario.accelerated(times.max(0.1)));
        let (scenario, outcome) = match &accelerated {
            Some(scenario) => (
                scenario,
                run_real(scenario, self.seed, &std::env::current_exe()?)?,
            ),
            None => (scenario, self.simulate(scenario, self.seed)?),
        };
        if let Some(dir) = &self.report {
            report::write(dir, scenario, text, &outcome)
                .with_context(|| dir.display().to_string())?;
            println!("report in {}", dir.join("report.html").display());
        }
        print!("{}", report::summary(scenario, &outcome));
        Ok(!outcome.figures.failed())
    }

    /// Runs several seeds; prints a line for each and the summary of each failed run. Returns
    /// whether all runs succeeded.
    fn run_seeds(&self, scenario: &Scenario, seeds: u64) -> anyhow::Result<bool> {
        let seeds: Vec<u64> = (self.seed..self.seed.saturating_add(seeds)).collect();
        let outcomes = run_many(scenario, &seeds, cores())?;
        let mut failed = 0;
        for outcome in &outcomes {
            let figures = &outcome.figures;
            let met = figures.objectives.iter().filter(|a| a.met).count();
            println!(
                "seed {}: {} of {} aims met, {} rules broken, {:.1} s of a core, outcome {}",
                outcome.seed,
                met,
                figures.objectives.len(),
                figures.breaches.len(),
                figures.processor_s,
                outcome.hash
            );
            if figures.failed() {
                failed += 1;
                print!("{}", report::summary(scenario, outcome));
            }
        }
        println!("{} seeds, {failed} failed", outcomes.len());
        Ok(failed == 0)
    }

    /// Simulates the scenario with one seed; shows progress if standard error is a terminal.
    fn simulate(
        &self,
        scenario: &Scenario,
        seed: u64,
    ) -> Result<Outcome, umbersail_rehearsal::RunError> {
        if !std::io::stderr().is_terminal() {
            return run(scenario, seed, &mut |_, _| {});
        }
        let bar = ProgressBar::new((scenario.length_s + scenario.drain_s) as u64);
        // If the template were invalid, the progress bar would keep its default style.
        if let Ok(style) = ProgressStyle::with_template("{msg} {bar:40} {pos} of at most {len} s") {
            bar.set_style(style);
        }
        bar.set_message(format!("seed {seed}"));
        let outcome = run(scenario, seed, &mut |at, _| bar.set_position(at as u64));
        bar.finish_and_clear();
        outcome
    }
}

/// Compare variants of the operator settings over the same scenarios and seeds.
///
/// Prints the differences between the variants with 95% confidence intervals.
#[derive(clap::Args)]
pub struct Experiments {
    /// Experiment file (TOML).
    #[arg(value_name = "EXPERIMENT", required_unless_present = "paper")]
    file: Option<PathBuf>,
    /// Run the experiment behind Table 2 and Figure 4 of the paper on which the design is based
    /// (Amini Salehi, Javadi and Buyya), with the eviction policy of this program.
    #[arg(long, conflicts_with = "file")]
    paper: bool,
    /// Number of seeds for each point of the paper's experiment; at least 2 are used.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

impl Experiments {
    /// Runs the subcommand. Returns exit code 0, or [`EXIT_INVALID_SCENARIO`] if a file is
    /// invalid or a run fails.
    pub fn run(&self) -> ExitCode {
        let Some(file) = &self.file else {
            print!("{}", baseline::table(self.seeds.max(2)));
            return ExitCode::SUCCESS;
        };
        let loaded = Experiment::load(file).and_then(|e| Ok((e.scenarios()?, e)));
        let result = match loaded {
            Ok((scenarios, experiment)) => {
                experiment::run(&experiment, &scenarios, cores()).map_err(|e| e.to_string())
            }
            Err(e) => Err(e.to_string()),
        };
        match result {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("umbersail: {e}");
                ExitCode::from(EXIT_INVALID_SCENARIO)
            }
        }
    }
}
