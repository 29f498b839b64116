//! Operator settings for image distribution.

use umbersail_tuning::Tuning;

/// Operator settings for image distribution (`images.*` in the properties).
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Whether machines fetch images from each other (peer-to-peer transfer).
    pub peer_to_peer: bool,
    /// Whether a machine serves pieces of an image that the machine is still fetching.
    pub serve_partial: bool,
    /// Number of peers assigned to a fetch as sources.
    pub sources_per_fetch: usize,
    /// Maximum number of concurrent fetches that a machine serves.
    pub max_uploads_per_source: u32,
    /// Maximum number of concurrent store fetches while the throughput of the store is
    /// unknown, with peer-to-peer transfer.
    pub initial_store_fetches: usize,
    /// Images that a machine fetches in less than this many seconds are not tracked.
    pub min_fetch_s: f64,
    /// A fetch that takes more than this many times its duration without contention
    /// counts as slowed down.
    pub slowdown_factor: f64,
    /// A queued machine that has not repeated its request for this many seconds is
    /// removed from the queue.
    pub queue_expiry_s: f64,
    /// Maximum number of images that are tracked at the same time.
    pub max_tracked_images: usize,
}

impl Settings {
    /// Takes the settings for image distribution from all tuning settings.
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
