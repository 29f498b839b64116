//! `umbersail rehearse`: a whole night on this machine.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use indicatif::{ProgressBar, ProgressStyle};
use umbersail_rehearsal::{BUNDLED, Night, NightError, Outcome, bundled, play, report};

/// A rule was broken.
const BROKEN: u8 = 1;
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
    /// Play so many seeds, from --seed on, and stop at the first broken rule.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seeds: u64,
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
    for (name, text) in BUNDLED {
        match Night::parse(name, text) {
            Ok(night) => println!("{name:<18} {}", night.title),
            Err(e) => eprintln!("{e}"),
        }
    }
}

impl Rehearse {
    /// Exit code 0, 1 if a rule was broken, 2 if the night can't be played.
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
        for seed in self.seed..self.seed.saturating_add(self.seeds.max(1)) {
            let outcome = match self.play(&night, seed) {
                Ok(outcome) => outcome,
                Err(e) => {
                    eprintln!("umbersail: {name}: {e}");
                    return ExitCode::from(BAD_NIGHT);
                }
            };
            if let Some(dir) = &self.report {
                if let Err(e) = report::write(dir, &night, &text, &outcome) {
                    eprintln!("umbersail: {}: {e}", dir.display());
                    return ExitCode::from(BAD_NIGHT);
                }
                println!("report in {}", dir.join("report.html").display());
            }
            print!("{}", report::summary(&night, &outcome));
            if !outcome.figures.breaches.is_empty() {
                return ExitCode::from(BROKEN);
            }
        }
        ExitCode::SUCCESS
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
