//! Boot-time statistics of each machine type, used to estimate high quantiles of boot times.

use std::collections::{BTreeMap, VecDeque};

/// Boot times that are assumed for a machine type with few samples, as multiples of its nominal
/// boot time: 0.6 to 1.5.
const PRIOR_FACTORS: [f64; 8] = [0.6, 0.75, 0.9, 1.05, 1.2, 1.35, 1.5, 1.5];

/// The most recent boot times of each machine type.
#[derive(Debug, Default)]
pub struct BootTimeStats {
    /// By machine type, oldest first, as multiples of the nominal boot time.
    samples: BTreeMap<String, VecDeque<f64>>,
    max_samples: usize,
    max_types: usize,
}

impl BootTimeStats {
    /// Statistics that keep at most `max_samples` boot times of each machine type, for at most
    /// `max_types` machine types.
    pub fn new(max_samples: usize, max_types: usize) -> BootTimeStats {
        BootTimeStats {
            samples: BTreeMap::new(),
            max_samples: max_samples.max(1),
            max_types,
        }
    }

    /// Adds a sample: a machine sent its first heartbeat, or its boot was given up,
    /// `duration_s` after its rental. `boot_s` is the nominal boot time of its type.
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

    /// The quantile of the boot times of a machine type, in seconds. With fewer than 32 samples,
    /// assumed boot times of 0.6 to 1.5 times the nominal boot time are included.
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
