//! Experiments: compares variants of the operator settings over the same scenarios and seeds.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::bundled::bundled;
use crate::run::{Outcome, RunError, run_many};
use crate::scenario::{Scenario, ScenarioError};

/// An experiment file: the variants to compare, and the scenarios to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// One-line description.
    pub title: String,
    /// Names of bundled scenarios, or paths of scenario files.
    #[serde(rename = "nights")]
    pub scenarios: Vec<String>,
    /// Number of seeds.
    pub seeds: u64,
    /// First seed; the others follow in sequence.
    #[serde(default = "Experiment::first")]
    pub first_seed: u64,
    /// Variants. The first one is the baseline with which the others are compared.
    pub variants: Vec<Variant>,
}

/// A named set of operator settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name of the variant.
    pub name: String,
    /// Settings that override those of the scenario.
    #[serde(default)]
    pub properties: BTreeMap<String, f64>,
    /// Whether the calendar sequences the steps of runs; overrides the scenario's value.
    #[serde(default)]
    pub calendar: Option<bool>,
}

/// A mean with its 95% confidence interval (Student's t).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mean {
    /// Mean of the sample.
    pub mean: f64,
    /// Half of the width of the confidence interval.
    pub half: f64,
    /// Size of the sample.
    pub n: usize,
}

impl Mean {
    /// Computes the mean of a sample, such as paired differences. With fewer than two values,
    /// the interval is infinite.
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

    /// Returns whether zero lies outside of the interval.
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

    /// Reads and validates an experiment file.
    ///
    /// # Errors
    /// Returns file, key and reason in one line if the file can't be read or is invalid.
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
                "at least two variants are required".into(),
            ));
        }
        if experiment.seeds < 2 || experiment.scenarios.is_empty() {
            return Err(fail(
                "seeds",
                "at least two seeds and one scenario are required".into(),
            ));
        }
        Ok(experiment)
    }

    /// Loads the scenarios of the experiment.
    ///
    /// # Errors
    /// Returns the error of the first scenario that can't be read or is invalid.
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

/// Returns the figures by which variants are compared, as pairs of name and value.
fn figures(outcome: &Outcome) -> Vec<(String, f64)> {
    let f = &outcome.figures;
    let mut all: Vec<(String, f64)> = f
        .objectives
        .iter()
        .map(|a| (a.objective.clone(), a.value))
        .collect();
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

/// Runs all scenarios with all variants and returns a table of the differences from the first
/// variant, paired by seed, with 95% confidence intervals. Differences that are not
/// significantly different from zero are in parentheses.
///
/// # Errors
/// Returns an error if a scenario can't run with the settings of a variant.
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
        // Guards against intervals that are too narrow for few seeds. From a table of Student's t:
        // t(0.975, 3) = 3.182.
        let mean = Mean::of(&[1.0, 2.0, 3.0, 4.0]);
        assert!((mean.mean - 2.5).abs() < 1e-9);
        assert!((mean.half - 3.182 * (5.0f64 / 3.0 / 4.0).sqrt()).abs() < 1e-3);
        assert!(mean.differs() && !Mean::of(&[-1.0, 1.0, 0.5]).differs());
        assert!(!Mean::of(&[5.0]).differs());
    }
}
