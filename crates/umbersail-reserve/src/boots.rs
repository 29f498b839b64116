//! How long machines take to come up, learned with the tail.

use std::collections::{BTreeMap, VecDeque};

/// Boots in shares of the type's nominal time before any was seen: 0.6 to 1.5 times.
const PRIOR: [f64; 8] = [0.6, 0.75, 0.9, 1.05, 1.2, 1.35, 1.5, 1.5];

/// Boots seen, by type, newest last, in shares of the type's nominal time.
#[derive(Debug, Default)]
pub struct Boots {
    seen: BTreeMap<String, VecDeque<f64>>,
    most: usize,
    types_most: usize,
}

impl Boots {
    /// Remembers so many of each type, and so many types.
    pub fn new(most: usize, types_most: usize) -> Boots {
        Boots {
            seen: BTreeMap::new(),
            most: most.max(1),
            types_most,
        }
    }

    /// One took `took_s` from its rental to its first report, or was given up after
    /// that long, where its type says `boot_s`.
    pub fn observe(&mut self, machine_type: &str, boot_s: f64, took_s: f64) {
        if !(boot_s > 0.0 && took_s >= 0.0 && took_s.is_finite()) {
            return;
        }
        if !self.seen.contains_key(machine_type) && self.seen.len() >= self.types_most {
            return;
        }
        let seen = self.seen.entry(machine_type.to_owned()).or_default();
        seen.push_back(took_s / boot_s);
        while seen.len() > self.most {
            seen.pop_front();
        }
    }

    /// Seconds within which this share of the machines of a type come up. What was not
    /// seen yet is taken from 0.6 to 1.5 times the nominal time, until enough was.
    pub fn quantile_s(&self, machine_type: &str, boot_s: f64, share: f64) -> f64 {
        let mut shares: Vec<f64> = Vec::new();
        if let Some(seen) = self.seen.get(machine_type) {
            shares.extend(seen);
        }
        if shares.len() < 4 * PRIOR.len() {
            shares.extend(PRIOR);
        }
        shares.sort_by(f64::total_cmp);
        let rank = (share.clamp(0.0, 1.0) * shares.len() as f64).ceil() as usize;
        shares[rank.clamp(1, shares.len()) - 1] * boot_s
    }
}
