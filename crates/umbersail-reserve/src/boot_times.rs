//! How long machines take to come up, learned with the tail.

use std::collections::{BTreeMap, VecDeque};

/// Boots in shares of the type's nominal time before any was seen: 0.6 to 1.5 times.
const PRIOR_FACTORS: [f64; 8] = [0.6, 0.75, 0.9, 1.05, 1.2, 1.35, 1.5, 1.5];

/// Boots seen, by type, newest last, in shares of the type's nominal time.
#[derive(Debug, Default)]
pub struct BootTimeStats {
    samples: BTreeMap<String, VecDeque<f64>>,
    max_samples: usize,
    max_types: usize,
}

impl BootTimeStats {
    /// Remembers so many of each type, and so many types.
    pub fn new(max_samples: usize, max_types: usize) -> BootTimeStats {
        BootTimeStats {
            samples: BTreeMap::new(),
            max_samples: max_samples.max(1),
            max_types,
        }
    }

    /// One took `duration_s` from its rental to its first report, or was given up after
    /// that long, where its type says `boot_s`.
    pub fn observe(&mut self, machine_type: &str, boot_s: f64, duration_s: f64) {
        if !(boot_s > 0.0 && duration_s >= 0.0 && duration_s.is_finite()) {
            return;
        }
        if !self.samples.contains_key(machine_type) && self.samples.len() >= self.max_types {
            return;
        }
        let samples = self.samples.entry(machine_type.to_owned()).or_default();
        samples.push_back(duration_s / boot_s);
        while samples.len() > self.max_samples {
            samples.pop_front();
        }
    }

    /// Seconds within which this share of the machines of a type come up. What was not
    /// seen yet is taken from 0.6 to 1.5 times the nominal time, until enough was.
    pub fn quantile_s(&self, machine_type: &str, boot_s: f64, quantile: f64) -> f64 {
        let mut factors: Vec<f64> = Vec::new();
        if let Some(samples) = self.samples.get(machine_type) {
            factors.extend(samples);
        }
        if factors.len() < 4 * PRIOR_FACTORS.len() {
            factors.extend(PRIOR_FACTORS);
        }
        factors.sort_by(f64::total_cmp);
        let rank = (quantile.clamp(0.0, 1.0) * factors.len() as f64).ceil() as usize;
        factors[rank.clamp(1, factors.len()) - 1] * boot_s
    }
}
