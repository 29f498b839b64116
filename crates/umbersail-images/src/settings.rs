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
    pub max_uploads_per_source: u32,
    /// Concurrent store fetches while the store's throughput is unknown.
    pub initial_store_fetches: usize,
    /// Images that a machine fetches faster than this, in seconds, are not tracked.
    pub min_fetch_s: f64,
    /// A fetch that exceeds its nominal duration by this factor counts as slowed.
    pub slowdown_factor: f64,
    /// A queued machine that has not asked again for this many seconds is dropped.
    pub queue_expiry_s: f64,
    /// Images tracked at once.
    pub max_tracked_images: usize,
}

impl Settings {
    /// Reads the settings from the operator's tuning.
    pub fn from_tuning(tuning: &Tuning) -> Settings {
        Settings {
            peer_to_peer: tuning.peer_to_peer_images >= 0.5,
            serve_partial: tuning.peer_to_peer_pieces >= 0.5,
            sources_per_fetch: tuning.image_sources_per_fetch as usize,
            max_uploads_per_source: tuning.image_uploads_per_machine as u32,
            initial_store_fetches: tuning.initial_store_fetches as usize,
            min_fetch_s: tuning.image_min_fetch_s,
            slowdown_factor: tuning.slow_fetch_factor,
            queue_expiry_s: tuning.fetch_turn_timeout_s,
            max_tracked_images: tuning.max_tracked_images as usize,
        }
    }
}
