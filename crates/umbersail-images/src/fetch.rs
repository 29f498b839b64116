//! Fetches in progress and the measurements taken when they complete.

use crate::{CompletedFetch, FetchPriority};

/// A machine's fetch of an image, from its start until it completes or is cancelled.
#[derive(Debug, Clone)]
pub(crate) struct ActiveFetch<M> {
    /// Time at which the fetch started, or was first observed if `adopted`.
    pub started_at: f64,
    /// Time at which a heartbeat last showed the fetch in progress.
    pub last_observed_at: f64,
    /// Expected duration without contention, in seconds.
    pub nominal_s: f64,
    /// Largest number of concurrent fetches observed on the machine during this fetch.
    pub concurrent_fetches: usize,
    pub priority: FetchPriority,
    /// Peers that serve the fetch; empty if the image store serves the fetch or if
    /// the fetch is `adopted`.
    pub sources: Vec<FetchSource<M>>,
    /// Time integral of the number of concurrent store fetches when this fetch
    /// started; `None` if the fetch does not read from the store.
    pub store_integral_at_start: Option<f64>,
    /// Whether a previous leader started the fetch: its start time and its peers are
    /// unknown.
    pub adopted: bool,
    /// Distance from a complete copy through the farthest source, in hops; 1 for a fetch
    /// from the store.
    pub hops: u32,
}

/// A peer that serves a fetch.
#[derive(Debug, Clone)]
pub(crate) struct FetchSource<M> {
    pub machine: M,
    /// Generation of the peer's cache when the peer was chosen. A machine that is
    /// removed and added again gets a new generation.
    pub generation: u64,
}

impl<M> ActiveFetch<M> {
    /// Whether the image store serves the fetch.
    pub fn is_from_store(&self) -> bool {
        self.store_integral_at_start.is_some()
    }

    /// Measurements of the fetch if it completes at `now`; `None` if its duration is
    /// unknown (an adopted fetch) or not positive.
    ///
    /// `store_integral` is the time integral of the number of concurrent store
    /// fetches up to `now`.
    pub fn measure_completion(
        &self,
        now: f64,
        size_gb: f64,
        store_integral: f64,
    ) -> Option<CompletedFetch> {
        let duration_s = now - self.started_at;
        if self.adopted || duration_s <= 0.0 {
            return None;
        }
        let mean_since = |at_start: f64| (store_integral - at_start) / duration_s;
        Some(CompletedFetch {
            size_gb,
            nominal_s: self.nominal_s * self.concurrent_fetches as f64,
            min_duration_s: self.last_observed_at - self.started_at,
            max_duration_s: duration_s,
            store_concurrency: self.store_integral_at_start.map(mean_since),
        })
    }
}
