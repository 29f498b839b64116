//! Estimates the throughput of the image store and of peers from completed fetches.

use std::collections::VecDeque;

use crate::Settings;

/// Number of recent store fetches that are evaluated together to detect saturation:
/// a single slow machine is no evidence of a saturated store.
const SAMPLE_WINDOW: usize = 16;
/// Minimum number of recent store fetches required to detect saturation.
const MIN_SAMPLES: usize = 6;
/// Minimum mean concurrency at which a slow store fetch is evidence of saturation:
/// at a lower concurrency, the machine itself may be slow.
const MIN_CONCURRENCY: f64 = 3.0;
/// Weight of the newest sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Ratio of store slots to the number of fetches that saturate the store at its
/// estimated throughput. The excess keeps the store saturated, so that samples show
/// when the store can deliver more than estimated.
const OVERSUBSCRIPTION: f64 = 1.25;
/// Minimum concurrency, as a share of the concurrency that saturates the store, at
/// which an unaffected fetch is a sample of the store's throughput.
const SATURATED_SHARE: f64 = 0.75;
/// Minimum duration assumed for a fetch, in seconds: avoids a division by zero.
const MIN_DURATION_S: f64 = 0.1;
/// Minimum size (GB) or rate (GB/s) assumed: avoids a division by zero.
const EPSILON: f64 = 1e-6;

/// Measurements of a completed fetch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CompletedFetch {
    /// Size of the image in GB.
    pub size_gb: f64,
    /// Expected duration without contention from other machines, in seconds.
    pub nominal_s: f64,
    /// Lower bound of the duration, in seconds. The exact duration is unknown because
    /// the fetch completed between two heartbeats.
    pub min_duration_s: f64,
    /// Upper bound of the duration, in seconds.
    pub max_duration_s: f64,
    /// Mean number of concurrent store fetches during this fetch, including this
    /// fetch; `None` if peers served the fetch.
    pub store_concurrency: Option<f64>,
}

/// Whether contention for the store slowed down a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slowdown {
    Slowed,
    Unaffected,
    /// The lower bound of the duration is within the limit and the upper bound
    /// exceeds the limit.
    Unknown,
}

impl CompletedFetch {
    fn slowdown(&self, settings: &Settings) -> Slowdown {
        let limit_s = self.nominal_s * settings.slowdown_factor;
        if self.min_duration_s > limit_s {
            Slowdown::Slowed
        } else if self.max_duration_s <= limit_s {
            Slowdown::Unaffected
        } else {
            Slowdown::Unknown
        }
    }

    fn rate_gb_s(&self) -> f64 {
        self.size_gb / self.max_duration_s.max(MIN_DURATION_S)
    }
}

/// Estimated throughput of the store and of peers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TransferRates {
    /// Whether each of the most recent store fetches was slowed down, oldest first.
    recent_slowdowns: VecDeque<bool>,
    /// Estimated total throughput of the store in GB/s; `None` until the store has
    /// been saturated.
    store_gb_s: Option<f64>,
    /// Largest mean concurrency at which a store fetch was not slowed down.
    max_unaffected_concurrency: f64,
    /// Estimated rate at which a machine receives an image from peers, in GB/s.
    peer_gb_s: Option<f64>,
}

impl TransferRates {
    /// Restores the rates that a previous leader recorded. Values that are not finite
    /// and positive are ignored.
    pub fn restored(store_gb_s: Option<f64>, peer_gb_s: Option<f64>) -> TransferRates {
        let is_valid = |rate: &f64| rate.is_finite() && *rate > 0.0;
        TransferRates {
            store_gb_s: store_gb_s.filter(is_valid),
            peer_gb_s: peer_gb_s.filter(is_valid),
            ..TransferRates::default()
        }
    }

    /// Estimated total throughput of the store in GB/s; `None` until the store has
    /// been saturated.
    pub fn store_gb_s(&self) -> Option<f64> {
        self.store_gb_s
    }

    /// Estimated rate at which a machine receives an image from peers, in GB/s;
    /// `None` until such a fetch has completed.
    pub fn peer_gb_s(&self) -> Option<f64> {
        self.peer_gb_s
    }

    /// Updates the estimates with the measurements of a completed fetch.
    pub fn record(&mut self, fetch: &CompletedFetch, settings: &Settings) {
        match fetch.store_concurrency {
            None => self.record_from_peers(fetch),
            Some(concurrency) => self.record_from_store(fetch, concurrency, settings),
        }
    }

    fn record_from_peers(&mut self, fetch: &CompletedFetch) {
        let sample = fetch.rate_gb_s();
        let average = self.peer_gb_s.get_or_insert(sample);
        *average += (sample - *average) * SAMPLE_WEIGHT;
    }

    fn record_from_store(&mut self, fetch: &CompletedFetch, concurrency: f64, settings: &Settings) {
        let slowed = match fetch.slowdown(settings) {
            Slowdown::Slowed => true,
            Slowdown::Unaffected => false,
            Slowdown::Unknown => return,
        };
        let sample = fetch.rate_gb_s() * concurrency;
        if let Some(average) = &mut self.store_gb_s {
            // Below saturation, the rate of a fetch does not show the store's throughput.
            let saturating = *average * fetch.nominal_s / fetch.size_gb.max(EPSILON);
            if slowed || concurrency >= SATURATED_SHARE * saturating {
                *average += (sample - *average) * SAMPLE_WEIGHT;
            }
            return;
        }
        if !slowed {
            self.max_unaffected_concurrency = self.max_unaffected_concurrency.max(concurrency);
        }
        if slowed && concurrency < MIN_CONCURRENCY {
            return;
        }
        self.recent_slowdowns.push_back(slowed);
        if self.recent_slowdowns.len() > SAMPLE_WINDOW {
            self.recent_slowdowns.pop_front();
        }
        if slowed && self.is_store_saturated() {
            self.store_gb_s = Some(sample);
            self.recent_slowdowns.clear();
        }
    }

    /// Whether at least three quarters of the recent store fetches were slowed down.
    fn is_store_saturated(&self) -> bool {
        let total = self.recent_slowdowns.len();
        let slowed = self.recent_slowdowns.iter().filter(|s| **s).count();
        total >= MIN_SAMPLES && 4 * slowed >= 3 * total
    }

    /// Maximum number of concurrent store fetches for machines that fetch at
    /// `nominal_gb_s`. Without peer-to-peer transfer, there is no limit (`usize::MAX`)
    /// until the store has been saturated.
    pub fn store_slots(&self, nominal_gb_s: f64, settings: &Settings) -> usize {
        if !settings.peer_to_peer {
            return self.saturating_slots(nominal_gb_s).unwrap_or(usize::MAX);
        }
        let initial = settings.initial_store_fetches;
        // If peers deliver at least half of the nominal rate, or their rate is unknown,
        // the initial limit suffices: peers serve the remaining machines.
        let Some(slow_peer_gb_s) = self.peer_gb_s.filter(|rate| 2.0 * rate < nominal_gb_s) else {
            let saturating = self.saturating_slots(nominal_gb_s);
            return saturating.map_or(initial, |slots| slots.min(initial));
        };
        // If peers are slow and the store's throughput is unknown, the limit is twice the
        // largest concurrency without slowdown. The limit therefore grows until the store
        // is saturated.
        let probe_slots = (2.0 * self.max_unaffected_concurrency).max(initial as f64) as usize;
        self.saturating_slots(slow_peer_gb_s).unwrap_or(probe_slots)
    }

    /// Number of store slots for fetches at `rate_gb_s`: slightly more than saturate
    /// the store. `None` if the throughput of the store is unknown.
    fn saturating_slots(&self, rate_gb_s: f64) -> Option<usize> {
        let store_gb_s = self.store_gb_s?;
        let fetches = OVERSUBSCRIPTION * store_gb_s / rate_gb_s.max(EPSILON);
        Some(fetches.ceil().clamp(1.0, 1e6) as usize)
    }
}
