//! Operator settings for image distribution.

use umbersail_tuning::Tuning;

/// Operator settings for image distribution (`images.*` in the properties).
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Machines fetch from each other where possible.
    pub peer_to_peer: bool,
    /// A machine serves the pieces of an image that it is still fetching.
    pub serve_partial: bool,
    /// Sources named for one fetch.
    pub sources_per_fetch: usize,
    /// Concurrent fetches that one source serves at most.
    pub fetches_per_source: u32,
    /// Concurrent store fetches while the store's throughput is unknown.
    pub initial_store_fetches: usize,
    /// Images that a machine fetches faster than this, in seconds, are not tracked.
    pub min_fetch_s: f64,
    /// A fetch that exceeds its nominal duration by this factor counts as slowed.
    pub slowdown_factor: f64,
    /// A queued machine that has not asked again for this many seconds is dropped.
    pub queue_expiry_s: f64,
    /// Images tracked at once.
    pub max_images: usize,
}

impl Settings {
    /// Reads the settings from the operator's tuning.
    pub fn from_tuning(tuning: &Tuning) -> Settings {
        Settings {
            peer_to_peer: tuning.images_hand_on >= 0.5,
            serve_partial: tuning.images_pieces >= 0.5,
            sources_per_fetch: tuning.images_sources as usize,
            fetches_per_source: tuning.images_load as u32,
            initial_store_fetches: tuning.images_first as usize,
            min_fetch_s: tuning.images_least_s,
            slowdown_factor: tuning.images_slowed,
            queue_expiry_s: tuning.images_stale_s,
            max_images: tuning.images_most as usize,
        }
    }
}
