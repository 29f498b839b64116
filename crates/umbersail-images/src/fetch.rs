//! A fetch in progress.

use crate::{CompletedFetch, FetchPriority};

/// A fetch in progress on one machine.
#[derive(Debug, Clone)]
pub(crate) struct ActiveFetch<M> {
    /// When it started, or when it was first seen if `adopted`.
    pub started_at: f64,
    /// When a report last showed it in progress.
    pub last_observed_at: f64,
    /// Expected duration in seconds without contention.
    pub nominal_s: f64,
    /// Largest number of concurrent fetches seen on its machine.
    pub concurrent_fetches: usize,
    pub priority: FetchPriority,
    pub sources: Vec<FetchSource<M>>,
    /// For a store fetch, the time integral of concurrent store fetches at its start.
    pub store_integral_at_start: Option<f64>,
    /// Started under a predecessor: its start time is unknown.
    pub adopted: bool,
    /// Distance from the store, in hops.
    pub hops: u32,
}

/// A machine that serves a fetch.
#[derive(Debug, Clone)]
pub(crate) struct FetchSource<M> {
    pub machine: M,
    /// Registration of the machine's cache when it was chosen: a machine that
    /// left and came back has another one.
    pub generation: u64,
}

impl<M> ActiveFetch<M> {
    /// Whether it reads from the store.
    pub fn is_from_store(&self) -> bool {
        self.store_integral_at_start.is_some()
    }

    /// The measurement that its completion at `now` yields, if it is usable.
    ///
    /// `store_integral` is the time integral of concurrent store fetches up to `now`.
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
