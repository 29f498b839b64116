//! `umbersail rehearse`: a whole night on this machine.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use indicatif::{ProgressBar, ProgressStyle};
use umbersail_rehearsal::experiment::{self, Experiment};
use umbersail_rehearsal::paper;
use umbersail_rehearsal::{
    BUNDLED, Bundled, Night, NightError, Outcome, bundled, play, play_many, play_real, report,
};

/// Cores of this machine.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// A rule was broken, or the night was not played in its time.
const FAILED: u8 = 1;
/// The night can't be played.
const BAD_NIGHT: u8 = 2;

/// Play a night: real controllers, stand-ins for everything else, scripted
/// failures, simulated time. The last line is `outcome <hash>`; the same night
/// and seed give the same hash.
#[derive(clap::Args)]
pub struct Rehearse {
    /// A night file (TOML), or the name of a bundled night.
    #[arg(value_name = "NIGHT", required_unless_present_any = ["list", "schema"])]
    night: Option<String>,
    /// What decides all chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Play so many seeds, from --seed on, over the cores, and tell those that
    /// broke a rule.
    #[arg(long, value_name = "N", conflicts_with = "report")]
    seeds: Option<u64>,
    /// Play it with real processes of this program on loopback, so many times as
    /// fast. What loopback can't do (cuts, skewed clocks) is left out and said.
    #[arg(long, value_name = "TIMES", num_args = 0..=1, default_missing_value = "4",
          conflicts_with = "seeds")]
    real: Option<f64>,
    /// Write report.html, figures.json and history.tar.gz into this folder.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// List the bundled nights.
    #[arg(long)]
    list: bool,
    /// Print the schema of night files (JSON Schema).
    #[arg(long)]
    schema: bool,
    /// Print a bundled night, as a start for one of your own.
    #[arg(long)]
    print: bool,
}

/// Text of a night by its name or path, and what it is called in errors.
fn text_of(name: &str) -> Result<(String, String), NightError> {
    if let Some(text) = bundled(name) {
        return Ok((name.to_owned(), text.to_owned()));
    }
    match std::fs::read_to_string(name) {
        Ok(text) => Ok((name.to_owned(), text)),
        Err(e) => Err(NightError {
            file: name.to_owned(),
            key: "file".into(),
            reason: format!("{e}; bundled nights are listed by --list"),
        }),
    }
}

fn list() {
    for Bundled { name, text, .. } in BUNDLED {
        match Night::parse(name, text) {
            Ok(night) => println!("{name:<35} {}", night.title),
            Err(e) => eprintln!("{e}"),
        }
    }
}

impl Rehearse {
    /// Exit code 0, 1 if a rule was broken or the night was not played in its
    /// time, 2 if it can't be played.
    pub fn run(&self) -> ExitCode {
        if self.list {
            list();
            return ExitCode::SUCCESS;
        }
        if self.schema {
            println!("{:#}", Night::schema());
            return ExitCode::SUCCESS;
        }
        let name = self.night.as_deref().unwrap_or("");
        let read = text_of(name).and_then(|(file, text)| {
            let night = Night::parse(&file, &text)?;
            Ok((night, text))
        });
        let (night, text) = match read {
            Ok(read) => read,
            Err(e) => {
                eprintln!("umbersail: {e}");
                return ExitCode::from(BAD_NIGHT);
            }
        };
        if self.print {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        let played = match self.seeds {
            Some(seeds) => self.play_seeds(&night, seeds),
            None => self.play_one(&night, &text),
        };
        match played {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(FAILED),
            Err(e) => {
                eprintln!("umbersail: {name}: {e:#}");
                ExitCode::from(BAD_NIGHT)
            }
        }
    }

    /// True unless the night failed.
    fn play_one(&self, night: &Night, text: &str) -> anyhow::Result<bool> {
        let hastened = self.real.map(|times| night.hastened(times.max(0.1)));
        let (night, outcome) = match &hastened {
            Some(night) => (
                night,
                play_real(night, self.seed, &std::env::current_exe()?)?,
            ),
            None => (night, self.play(night, self.seed)?),
        };
        if let Some(dir) = &self.report {
            report::write(dir, night, text, &outcome).with_context(|| dir.display().to_string())?;
            println!("report in {}", dir.join("report.html").display());
        }
        print!("{}", report::summary(night, &outcome));
        Ok(!outcome.figures.failed())
    }

    /// A line for each seed, with those that failed at length.
    fn play_seeds(&self, night: &Night, seeds: u64) -> anyhow::Result<bool> {
        let seeds: Vec<u64> = (self.seed..self.seed.saturating_add(seeds)).collect();
        let outcomes = play_many(night, &seeds, cores())?;
        let mut failed = 0;
        for outcome in &outcomes {
            let figures = &outcome.figures;
            let met = figures.aims.iter().filter(|a| a.met).count();
            println!(
                "seed {}: {} of {} aims met, {} rules broken, {:.1} s of a core, outcome {}",
                outcome.seed,
                met,
                figures.aims.len(),
                figures.breaches.len(),
                figures.processor_s,
                outcome.hash
            );
            if figures.failed() {
                failed += 1;
                print!("{}", report::summary(night, outcome));
            }
        }
        println!("{} seeds, {failed} failed", outcomes.len());
        Ok(failed == 0)
    }

    fn play(&self, night: &Night, seed: u64) -> Result<Outcome, umbersail_rehearsal::PlayError> {
        if !std::io::stderr().is_terminal() {
            return play(night, seed, &mut |_, _| {});
        }
        let bar = ProgressBar::new((night.length_s + night.drain_s) as u64);
        // The template is a constant; a bad one falls back to the default look.
        if let Ok(style) = ProgressStyle::with_template("{msg} {bar:40} {pos} of at most {len} s") {
            bar.set_style(style);
        }
        bar.set_message(format!("seed {seed}"));
        let outcome = play(night, seed, &mut |at, _| bar.set_position(at as u64));
        bar.finish_and_clear();
        outcome
    }
}

/// Play variants of the operators' properties on the same nights with the same
/// seeds, and tell the differences with 95% intervals.
#[derive(clap::Args)]
pub struct Experiments {
    /// An experiment file (TOML).
    #[arg(value_name = "EXPERIMENT", required_unless_present = "paper")]
    file: Option<PathBuf>,
    /// The experiment of the paper behind the design, its Table 2 and Figure 4.
    #[arg(long, conflicts_with = "file")]
    paper: bool,
    /// Seeds of the paper's experiment, at each of its points.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

impl Experiments {
    /// Exit code 0, or 2 if a file can't be used.
    pub fn run(&self) -> ExitCode {
        let Some(file) = &self.file else {
            print!("{}", paper::table(self.seeds.max(2)));
            return ExitCode::SUCCESS;
        };
        let read = Experiment::load(file).and_then(|e| Ok((e.nights()?, e)));
        let played = match read {
            Ok((nights, found)) => {
                experiment::run(&found, &nights, cores()).map_err(|e| e.to_string())
            }
            Err(e) => Err(e.to_string()),
        };
        match played {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("umbersail: {e}");
                ExitCode::from(BAD_NIGHT)
            }
        }
    }
}
