//! The persisted record of an image with an active rollout.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of [`ImageRecord`] that this build writes and reads.
pub const RECORD_VERSION: u32 = 1;

/// A small record of one image with an active rollout.
///
/// Reports show which machines hold or fetch it; the record holds what they do
/// not show. The field names are part of the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ImageRecord {
    /// Name of the image.
    pub image: String,
    /// Size in GB.
    #[serde(rename = "gb")]
    pub size_gb: f64,
    /// Machines that fetch it from the store.
    #[serde(default)]
    pub from_store: Vec<String>,
    /// Learned throughput of the store, in GB/s.
    #[serde(default)]
    pub store_gb_s: Option<f64>,
    /// Learned rate at which a machine receives from peers, in GB/s.
    #[serde(rename = "handed_gb_s", default)]
    pub peer_gb_s: Option<f64>,
}

/// What is wrong with a record of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidImageRecord {
    /// It has no name.
    #[error("it names no image")]
    MissingName,
    /// Its size is negative or no number.
    #[error("its size is no amount")]
    InvalidSize,
    /// It names more than [`ImageRecord::MAX_MACHINES`].
    #[error("it names too many machines")]
    TooManyMachines,
}

impl ImageRecord {
    /// Largest number of machines in a record, so that it stays small.
    pub const MAX_MACHINES: usize = 64;

    /// Validates the record.
    ///
    /// # Errors
    /// The reason why the record is invalid, for the log.
    pub fn validate(&self) -> Result<(), InvalidImageRecord> {
        if self.image.is_empty() {
            return Err(InvalidImageRecord::MissingName);
        }
        if !self.size_gb.is_finite() || self.size_gb < 0.0 {
            return Err(InvalidImageRecord::InvalidSize);
        }
        if self.from_store.len() > Self::MAX_MACHINES {
            return Err(InvalidImageRecord::TooManyMachines);
        }
        Ok(())
    }
}
