//! What a successor finds of an image under way.

use serde::{Deserialize, Serialize};

/// The version of [`ImageRecord`] that this build writes and reads.
pub const RECORD_VERSION: u32 = 1;

/// A small record of one image under way. Who has it and who is fetching it is
/// seen in reports; the record holds what they don't show.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ImageRecord {
    pub image: String,
    pub gb: f64,
    /// Machines that were told to fetch it from the store, as far as they still do.
    #[serde(default)]
    pub from_store: Vec<String>,
    /// Learned rates in GB/s.
    #[serde(default)]
    pub store_gb_s: Option<f64>,
    #[serde(default)]
    pub handed_gb_s: Option<f64>,
}

impl ImageRecord {
    /// Machines that a record names at most, so that it stays small.
    pub const MACHINES_MOST: usize = 64;

    /// What is wrong with it, if anything.
    ///
    /// # Errors
    /// The reason, for the log.
    pub fn check(&self) -> Result<(), &'static str> {
        match () {
            () if self.image.is_empty() => Err("it names no image"),
            () if !self.gb.is_finite() || self.gb < 0.0 => Err("its size is no amount"),
            () if self.from_store.len() > Self::MACHINES_MOST => Err("it names too many machines"),
            () => Ok(()),
        }
    }
}
