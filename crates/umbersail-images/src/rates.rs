//! What the store and the holders give, learned from how long fetches took.

use std::collections::VecDeque;

use crate::Bounds;

/// Fetches judged together; one slow machine says nothing of the store.
const JUDGED: usize = 16;
/// The least number of them that says something.
const JUDGED_LEAST: usize = 6;
/// Fetches beside a slow one without which the machine may be to blame.
const BESIDE_LEAST: f64 = 3.0;
/// Weight of the newest sample.
const WEIGHT: f64 = 0.25;
/// Fetches at once over what the store seems to give: so it stays in full use, and
/// shows when it gives more.
const OVER: f64 = 1.25;

/// A fetch that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fetched {
    pub gb: f64,
    /// How long its machine takes by itself, in seconds.
    pub nominal_s: f64,
    /// How long it took at the least and at the most, in seconds: its end lies
    /// between two reports.
    pub least_s: f64,
    pub most_s: f64,
    /// Fetches from the store during it, in the mean, itself included; `None` if it
    /// came from holders.
    pub beside: Option<f64>,
}

/// Rates as learned.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rates {
    /// Whether the newest fetches from the store were slowed.
    judged: VecDeque<bool>,
    /// What the store gives in all, once it has slowed fetches.
    store_gb_s: Option<f64>,
    /// The most fetches at once that did not slow each other.
    free_beside: f64,
    /// What a machine gets that fetches from holders.
    handed_gb_s: Option<f64>,
}

impl Rates {
    /// As a predecessor had learned them; nonsense is dropped.
    pub fn known(store_gb_s: Option<f64>, handed_gb_s: Option<f64>) -> Rates {
        let sound = |rate: &f64| rate.is_finite() && *rate > 0.0;
        Rates {
            store_gb_s: store_gb_s.filter(sound),
            handed_gb_s: handed_gb_s.filter(sound),
            ..Rates::default()
        }
    }

    /// What the store gives in all, in GB/s; `None` as long as it slows nobody.
    pub fn store_gb_s(&self) -> Option<f64> {
        self.store_gb_s
    }

    /// What a machine gets from holders, in GB/s.
    pub fn handed_gb_s(&self) -> Option<f64> {
        self.handed_gb_s
    }

    /// Learns from a fetch that ended.
    pub fn learn(&mut self, fetch: &Fetched, bounds: &Bounds) {
        let Some(beside) = fetch.beside else {
            let seen = fetch.gb / fetch.most_s.max(0.1);
            let known = self.handed_gb_s.get_or_insert(seen);
            *known += (seen - *known) * WEIGHT;
            return;
        };
        let limit_s = fetch.nominal_s * bounds.slowed;
        let slowed = match () {
            () if fetch.least_s > limit_s => true,
            () if fetch.most_s <= limit_s => false,
            // Its end lies between two reports on both sides of the limit.
            () => return,
        };
        let seen = fetch.gb / fetch.most_s.max(0.1) * beside;
        if let Some(known) = &mut self.store_gb_s {
            // Fewer at once than it serves say nothing of what it gives.
            let full = *known * fetch.nominal_s / fetch.gb.max(1e-6);
            if slowed || beside >= 0.75 * full {
                *known += (seen - *known) * WEIGHT;
            }
            return;
        }
        if !slowed {
            self.free_beside = self.free_beside.max(beside);
        }
        if beside < BESIDE_LEAST && slowed {
            return;
        }
        self.judged.push_back(slowed);
        if self.judged.len() > JUDGED {
            self.judged.pop_front();
        }
        let bad = self.judged.iter().filter(|slowed| **slowed).count();
        if slowed && self.judged.len() >= JUDGED_LEAST && 4 * bad >= 3 * self.judged.len() {
            self.store_gb_s = Some(seen);
            self.judged.clear();
        }
    }

    /// How many fetches from the store may be under way at once, for machines that
    /// take `nominal_gb_s` by themselves. Without handing on it is without bound
    /// until fetches have slowed each other.
    pub fn slots(&self, nominal_gb_s: f64, bounds: &Bounds) -> usize {
        let served = |rate: f64| {
            self.store_gb_s
                .map(|store| (OVER * store / rate.max(1e-6)).ceil().clamp(1.0, 1e6) as usize)
        };
        if !bounds.hand_on {
            return served(nominal_gb_s).unwrap_or(usize::MAX);
        }
        // Holders give as fast as the store would: the store is spared.
        let Some(handed) = self.handed_gb_s.filter(|rate| 2.0 * rate < nominal_gb_s) else {
            return served(nominal_gb_s).map_or(bounds.first, |n| n.min(bounds.first));
        };
        let free = (2.0 * self.free_beside).max(bounds.first as f64) as usize;
        served(handed).unwrap_or(free)
    }
}
