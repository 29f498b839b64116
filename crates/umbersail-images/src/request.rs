//! Requests to fetch an image on a machine, and the decisions on these requests.

/// Minimum download rate assumed for a machine, in GB/s: avoids a division by zero.
const MIN_RATE_GB_S: f64 = 1e-6;

/// Priority of a fetch; the smallest value is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FetchPriority {
    /// Priority tier of the job; 0 is the highest.
    pub tier: u8,
    /// Order within the tier; the smallest value is the most urgent.
    pub order: u64,
}

/// A request to fetch an image that a machine needs for a task.
#[derive(Debug, Clone, Copy)]
pub struct FetchRequest<'a, M, I> {
    /// The image.
    pub image: &'a I,
    /// Size of the image in GB.
    pub size_gb: f64,
    /// Download rate of the machine's type in GB/s, without contention.
    pub rate_gb_s: f64,
    /// The machine that needs the image.
    pub machine: &'a M,
    /// The machine's zone.
    pub zone: &'a str,
    /// Priority of the task that needs the image.
    pub priority: FetchPriority,
    /// Number of concurrent fetches on the machine, including this fetch. Concurrent
    /// fetches share the download rate of the machine.
    pub concurrent_fetches: usize,
}

impl<M, I> FetchRequest<'_, M, I> {
    /// Duration of the fetch without contention, in seconds.
    pub(crate) fn nominal_s(&self) -> f64 {
        nominal_fetch_s(self.size_gb, self.rate_gb_s)
    }
}

/// Duration of a fetch without contention, in seconds.
pub(crate) fn nominal_fetch_s(size_gb: f64, rate_gb_s: f64) -> f64 {
    size_gb / rate_gb_s.max(MIN_RATE_GB_S)
}

/// The decision on a [`FetchRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision<M> {
    /// The fetch may start now.
    Start {
        /// Peers to fetch from; if empty, the image is fetched from the store.
        sources: Vec<M>,
    },
    /// The fetch must wait: starting the fetch now would only slow down more urgent
    /// fetches.
    Wait,
}
