//! Large images that many machines want at once: who begins to fetch when,
//! and from whom.
//!
//! Pure: reports go in with the time, and what a machine may do comes out. What
//! the store gives is learned from how long fetches take
//! ([`Rates`]); who has an image, who is fetching it and whom each was told to
//! fetch from stands in the [`Picture`]. Nothing here starts, keeps or ends a
//! task: a launch that waits for its fetch is told later, by the same rules.
#![forbid(unsafe_code)]

mod picture;
mod rates;
mod record;
#[cfg(test)]
mod tests;

use umbersail_tuning::Tuning;

pub use picture::{Answer, Ask, Picture, Rank};
pub use rates::{Fetched, Rates};
pub use record::{ImageRecord, RECORD_VERSION};

/// What operators set (`images.*` in the properties).
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Machines are told whom to fetch from.
    pub hand_on: bool,
    /// A machine hands on pieces of what it is still fetching.
    pub pieces: bool,
    /// Holders that one fetch is told of.
    pub sources: usize,
    /// Fetches that one machine is told to give to.
    pub load: u32,
    /// Fetches from the store that begin before anything is known of it.
    pub first: usize,
    /// Seconds of fetch, at the type's own rate, from which on an image counts.
    pub least_s: f64,
    /// A fetch that takes so many times its type's own rate was slowed.
    pub slowed: f64,
    /// A place in the queue that was not asked for again in so many seconds is lost.
    pub stale_s: f64,
    /// Images remembered.
    pub most: usize,
}

impl Bounds {
    /// As operators set them.
    pub fn of(tuning: &Tuning) -> Bounds {
        Bounds {
            hand_on: tuning.images_hand_on >= 0.5,
            pieces: tuning.images_pieces >= 0.5,
            sources: tuning.images_sources as usize,
            load: tuning.images_load as u32,
            first: tuning.images_first as usize,
            least_s: tuning.images_least_s,
            slowed: tuning.images_slowed,
            stale_s: tuning.images_stale_s,
            most: tuning.images_most as usize,
        }
    }
}
