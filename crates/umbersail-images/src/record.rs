//! The stored record of an image with an active rollout.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the stored format of [`ImageRecord`] that this build reads and writes.
pub const RECORD_VERSION: u32 = 1;

/// The stored record of an image that machines fetch or wait for.
///
/// Heartbeats show a new leader which machines have or fetch the image. The record
/// contains only what heartbeats do not show. The serialized field names are part of
/// the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ImageRecord {
    /// Name of the image.
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "gb")]
    pub size_gb: f64,
    /// Machines that fetch the image from the image store.
    #[serde(default)]
    pub from_store: Vec<String>,
    /// Estimated total throughput of the store, in GB/s.
    #[serde(default)]
    pub store_gb_s: Option<f64>,
    /// Estimated rate at which a machine receives an image from peers, in GB/s.
    #[serde(rename = "handed_gb_s", default)]
    pub peer_gb_s: Option<f64>,
}

/// Reason why an [`ImageRecord`] is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidImageRecord {
    /// The image name is empty.
    #[error("the image name in the record is empty")]
    MissingName,
    /// The image size is negative or not finite.
    #[error("the image size in the record is negative or not finite")]
    InvalidSize,
    /// The record lists more than [`ImageRecord::MAX_MACHINES`] machines.
    #[error("the record lists more than {} machines", ImageRecord::MAX_MACHINES)]
    TooManyMachines,
}

impl ImageRecord {
    /// Maximum number of machines in a record. The limit keeps records small.
    pub const MAX_MACHINES: usize = 64;

    /// Validates the record, except the rates: invalid rates are ignored when the
    /// record is restored.
    ///
    /// # Errors
    /// The reason why the record is invalid.
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
