//! Experiments: variants of the operators' properties, played on the same
//! nights with the same seeds, and what difference they make.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::bundled::bundled;
use crate::run::{Outcome, RunError, run_many};
use crate::scenario::{Scenario, ScenarioError};

/// What is compared, on which nights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub title: String,
    /// Bundled nights by name, or night files.
    #[serde(rename = "nights")]
    pub scenarios: Vec<String>,
    pub seeds: u64,
    #[serde(default = "Experiment::first")]
    pub first_seed: u64,
    /// The first one is what the others are compared with.
    pub variants: Vec<Variant>,
}

/// Operators' properties under a name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    #[serde(default)]
    pub properties: BTreeMap<String, f64>,
    /// Whether the operators' calendar keeps the steps of runs apart.
    #[serde(default)]
    pub calendar: Option<bool>,
}

/// A mean with the half width of its 95% interval (Student's t).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub half: f64,
    pub n: usize,
}

impl Mean {
    /// Of paired differences, or of any sample; one value has no interval.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len();
        let mean = values.iter().sum::<f64>() / n.max(1) as f64;
        if n < 2 {
            return Mean {
                mean,
                half: f64::INFINITY,
                n,
            };
        }
        let spread: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
        let error = (spread / (n - 1) as f64 / n as f64).sqrt();
        let t = StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(1.96, |t| t.inverse_cdf(0.975));
        Mean {
            mean,
            half: t * error,
            n,
        }
    }

    /// Whether zero lies outside of the interval.
    pub fn differs(&self) -> bool {
        self.mean.abs() > self.half
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:+.4} ± {:.4}", self.mean, self.half)
    }
}

impl Experiment {
    fn first() -> u64 {
        1
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// File, key and reason, in one line.
    pub fn load(path: &Path) -> Result<Experiment, ScenarioError> {
        let file = path.display().to_string();
        let fail = |key: &str, reason: String| ScenarioError {
            file: file.clone(),
            key: key.into(),
            reason: reason.replace('\n', " "),
        };
        let text = std::fs::read_to_string(path).map_err(|e| fail("file", e.to_string()))?;
        let experiment: Experiment =
            toml::from_str(&text).map_err(|e| fail("top", e.message().to_owned()))?;
        if experiment.variants.len() < 2 {
            return Err(fail(
                "variants",
                "two at least, or there is nothing to compare".into(),
            ));
        }
        if experiment.seeds < 2 || experiment.scenarios.is_empty() {
            return Err(fail(
                "seeds",
                "two at least, on one scenario at least".into(),
            ));
        }
        Ok(experiment)
    }

    /// The nights it names.
    ///
    /// # Errors
    /// The first night that can't be read.
    pub fn scenarios(&self) -> Result<Vec<(String, Scenario)>, ScenarioError> {
        let read = |name: &String| {
            let scenario = match bundled(name) {
                Some(text) => Scenario::parse(name, text)?,
                None => Scenario::load(Path::new(name))?,
            };
            Ok((name.clone(), scenario))
        };
        self.scenarios.iter().map(read).collect()
    }
}

/// Figures by which variants are compared: name and value.
fn figures(outcome: &Outcome) -> Vec<(String, f64)> {
    let f = &outcome.figures;
    let mut all: Vec<(String, f64)> = f.aims.iter().map(|a| (a.aim.clone(), a.value)).collect();
    let more = [
        ("rules broken", f.breaches.len() as f64),
        ("spent", f.spent),
        ("useful share", f.useful),
        ("tasks lost", (f.lost + f.lapsed) as f64),
        ("last job done, s", f.finished_s.unwrap_or(0.0)),
    ];
    if f.runs.runs > 0 {
        let in_time = f.runs.in_time as f64 / f.runs.runs as f64;
        all.push(("runs by their due time".into(), in_time));
        let late: f64 = f.runs.late_s.iter().map(|s| s.max(0.0)).sum();
        all.push(("runs late in all, s".into(), late));
    }
    all.extend(more.map(|(name, value)| (name.to_owned(), value)));
    all
}

/// Plays it all and tells the differences from the first variant, paired by
/// seed, with 95% intervals; those that can't be told from zero are bracketed.
///
/// # Errors
/// If a night can't be played with a variant's properties.
pub fn run(
    experiment: &Experiment,
    scenarios: &[(String, Scenario)],
    threads: usize,
) -> Result<String, RunError> {
    let seeds: Vec<u64> =
        (experiment.first_seed..experiment.first_seed + experiment.seeds).collect();
    let mut out = format!(
        "{}\n{} seeds each, simulated machines\n",
        experiment.title,
        seeds.len()
    );
    for (name, scenario) in scenarios {
        let mut base: Option<Vec<Outcome>> = None;
        for variant in &experiment.variants {
            let mut varied = scenario.clone();
            varied
                .controllers
                .properties
                .extend(variant.properties.clone());
            varied.calendar = variant.calendar.unwrap_or(varied.calendar);
            let outcomes = run_many(&varied, &seeds, threads)?;
            // Writing to a String cannot fail.
            let _ = writeln!(out, "\n{name}, {}", variant.name);
            match &base {
                None => {
                    for (index, (figure, _)) in figures(&outcomes[0]).iter().enumerate() {
                        let values: Vec<f64> =
                            outcomes.iter().map(|o| figures(o)[index].1).collect();
                        let mean = Mean::of(&values);
                        let _ = writeln!(out, "  {figure:<28} {:.4} ± {:.4}", mean.mean, mean.half);
                    }
                    base = Some(outcomes);
                }
                Some(base) => {
                    for (index, (figure, _)) in figures(&outcomes[0]).iter().enumerate() {
                        let pairs = base.iter().zip(&outcomes);
                        let differences: Vec<f64> = pairs
                            .map(|(a, b)| figures(b)[index].1 - figures(a)[index].1)
                            .collect();
                        let mean = Mean::of(&differences);
                        let shown = if mean.differs() {
                            mean.to_string()
                        } else {
                            format!("({mean})")
                        };
                        let _ = writeln!(out, "  {figure:<28} {shown}");
                    }
                }
            }
        }
    }
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn intervals_are_those_of_students_t() {
        // Guards against intervals that are too narrow for few seeds. By a
        // table: t(0.975, 3) = 3.182.
        let mean = Mean::of(&[1.0, 2.0, 3.0, 4.0]);
        assert!((mean.mean - 2.5).abs() < 1e-9);
        assert!((mean.half - 3.182 * (5.0f64 / 3.0 / 4.0).sqrt()).abs() < 1e-3);
        assert!(mean.differs() && !Mean::of(&[-1.0, 1.0, 0.5]).differs());
        assert!(!Mean::of(&[5.0]).differs());
    }
}
