//! Throughput of the store and of peers, learned from completed fetches.

use std::collections::VecDeque;

use crate::Settings;

/// Recent store fetches that are judged together: one slow machine proves nothing.
const SAMPLE_WINDOW: usize = 16;
/// Smallest number of them that proves something.
const MIN_SAMPLES: usize = 6;
/// A slow fetch with fewer concurrent ones may be the machine's own fault.
const MIN_CONCURRENCY: f64 = 3.0;
/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Slots in excess of the estimated throughput: the store stays saturated, and
/// shows when it can deliver more.
const OVERSUBSCRIPTION: f64 = 1.25;
/// Share of the saturating concurrency from which on a sample tells the throughput.
const SATURATED_SHARE: f64 = 0.75;
/// Shortest duration assumed for a fetch, in seconds.
const MIN_DURATION_S: f64 = 0.1;
/// Smallest size or rate assumed: avoids a division by zero.
const EPSILON: f64 = 1e-6;

/// Measurements of a fetch that has completed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CompletedFetch {
    /// Size of the image in GB.
    pub size_gb: f64,
    /// Duration in seconds without contention.
    pub nominal_s: f64,
    /// Lower bound of its duration in seconds: it ended between two reports.
    pub min_duration_s: f64,
    /// Upper bound of its duration in seconds.
    pub max_duration_s: f64,
    /// Mean number of concurrent store fetches, itself included; `None` if peers
    /// served it.
    pub store_concurrency: Option<f64>,
}

/// Whether the store slowed a fetch down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slowdown {
    Slowed,
    Unaffected,
    /// It ended between two reports on both sides of the limit.
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

/// Throughput of the store and of peers, as learned.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TransferRates {
    /// Whether the most recent store fetches were slowed down.
    recent_slowdowns: VecDeque<bool>,
    /// Total throughput of the store, once it has slowed fetches down.
    store_gb_s: Option<f64>,
    /// Largest concurrency at which fetches did not slow each other down.
    max_unaffected_concurrency: f64,
    /// Rate at which a machine receives from peers.
    peer_gb_s: Option<f64>,
}

impl TransferRates {
    /// Rates that a predecessor recorded; invalid values are ignored.
    pub fn restored(store_gb_s: Option<f64>, peer_gb_s: Option<f64>) -> TransferRates {
        let is_valid = |rate: &f64| rate.is_finite() && *rate > 0.0;
        TransferRates {
            store_gb_s: store_gb_s.filter(is_valid),
            peer_gb_s: peer_gb_s.filter(is_valid),
            ..TransferRates::default()
        }
    }

    /// Total throughput of the store in GB/s; `None` while it slows nobody down.
    pub fn store_gb_s(&self) -> Option<f64> {
        self.store_gb_s
    }

    /// Rate at which a machine receives from peers, in GB/s.
    pub fn peer_gb_s(&self) -> Option<f64> {
        self.peer_gb_s
    }

    /// Learns from a completed fetch.
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
            // Below saturation a fetch does not show what the store can deliver.
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

    /// How many store fetches may be in progress at once, for machines that fetch
    /// at `nominal_gb_s`. Without peer-to-peer distribution there is no limit
    /// (`usize::MAX`) until fetches have slowed each other down.
    pub fn store_slots(&self, nominal_gb_s: f64, settings: &Settings) -> usize {
        if !settings.peer_to_peer {
            return self.saturating_fetches(nominal_gb_s).unwrap_or(usize::MAX);
        }
        let initial = settings.initial_store_fetches;
        // Peers as fast as the store relieve it.
        let Some(slow_peer_gb_s) = self.peer_gb_s.filter(|rate| 2.0 * rate < nominal_gb_s) else {
            let saturating = self.saturating_fetches(nominal_gb_s);
            return saturating.map_or(initial, |slots| slots.min(initial));
        };
        let probe_slots = (2.0 * self.max_unaffected_concurrency).max(initial as f64) as usize;
        self.saturating_fetches(slow_peer_gb_s)
            .unwrap_or(probe_slots)
    }

    /// Fetches at this rate that saturate the store, if its throughput is known.
    fn saturating_fetches(&self, rate_gb_s: f64) -> Option<usize> {
        let store_gb_s = self.store_gb_s?;
        let fetches = OVERSUBSCRIPTION * store_gb_s / rate_gb_s.max(EPSILON);
        Some(fetches.ceil().clamp(1.0, 1e6) as usize)
    }
}
