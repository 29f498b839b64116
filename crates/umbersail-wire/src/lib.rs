//! Every message of the protocol, with the names that its fields have on the wire.
//!
//! The protocol's names differ from the standard terms that the rest of the project uses.
//! They appear only in this package, as `serde` renames. Clients written in Rust can use
//! this package unchanged.
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod cloud;
mod jobs;
mod limits;
mod peers;
mod state;
mod workers;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use rmpv::Value;

pub use cloud::*;
pub use jobs::*;
pub use limits::*;
pub use peers::*;
pub use state::*;
pub use workers::*;

/// Paths of the scheduler's API and of the services that it uses.
pub mod paths {
    /// Jobs.
    pub const JOBS: &str = "/v2/runs";
    /// Last part of the path that cancels a job.
    pub const CANCEL: &str = "abort";
    /// Readiness of a controller.
    pub const HEALTH: &str = "/ready";
    /// Heartbeats of workers.
    pub const HEARTBEAT: &str = "/v1/report";
    /// Commands to a worker.
    pub const WORKER_COMMANDS: &str = "/orders";
    /// Machine types of the cloud.
    pub const MACHINE_TYPES: &str = "/catalog";
    /// Machines of the cloud.
    pub const MACHINES: &str = "/hosts";
    /// Deletion of rented machines.
    pub const DELETE_MACHINES: &str = "/hosts/delete";
    /// Keys of the state service.
    pub const KEYS: &str = "/keys";
    /// Transactions of the state service.
    pub const TXN: &str = "/multi";
    /// Leases of the state service.
    pub const LEASES: &str = "/holds";
    /// Last part of the path that renews a lease.
    pub const RENEW: &str = "renew";
    /// Watches of the state service.
    pub const WATCH: &str = "/follow";
    /// Hello messages between controllers.
    pub const PEER_HELLO: &str = "/peer/hello";
    /// A hello message that its receiver answers only once it is no longer the leader.
    pub const PEER_WATCH_LEADER: &str = "/peer/attend";
    /// The leader's request to start tasks without a record while the state service is
    /// unavailable (degraded mode).
    pub const PEER_DEGRADED_MODE: &str = "/peer/open";
    /// A worker's heartbeat, relayed by a controller that the worker can reach.
    pub const PEER_HEARTBEAT: &str = "/peer/report";
    /// A submission, forwarded by a controller that cannot have the job recorded itself.
    pub const PEER_SUBMIT: &str = "/peer/runs";
    /// A user's poll of a job, forwarded by a controller that the state service refuses
    /// while it answers others. The body names the job.
    pub const PEER_POLL: &str = "/peer/poll";
    /// A cancellation, forwarded in the same way as a poll.
    pub const PEER_CANCEL: &str = "/peer/abort";
    /// A request to every controller for what it knows about jobs, sent while the state
    /// service is unavailable.
    pub const PEER_REPLICA_READ: &str = "/peer/word";
}

/// Why bytes could not be decoded as the expected message.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The message is not a map.
    #[error("not a MessagePack map")]
    NotAMap,
    /// A field is missing or invalid.
    #[error("{0}")]
    Invalid(#[from] rmp_serde::decode::Error),
}

/// Encodes a message as a MessagePack map with text keys.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Every type of this package has text keys and no fallible serializer, so encoding
    // cannot fail. Every receiver refuses an empty body.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a message. The bytes must be a MessagePack map; unknown fields are ignored.
///
/// # Errors
/// If the bytes are not a MessagePack map, or a field is missing or invalid.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    match bytes.first() {
        // Markers of fixmap, map 16 and map 32. The check is needed because the decoder
        // would also accept a list for a struct.
        Some(0x80..=0x8f | 0xde | 0xdf) => Ok(rmp_serde::from_slice(bytes)?),
        _ => Err(DecodeError::NotAMap),
    }
}

/// Converts a record to a generic value (maps with text keys) that can be stored without
/// knowing its type.
///
/// # Errors
/// If the record cannot be represented in MessagePack, for instance a map without text keys.
pub fn to_value<T: Serialize>(record: &T) -> Result<Value, DecodeError> {
    let bytes = encode(record);
    Ok(rmp_serde::from_slice(&bytes)?)
}

/// Converts a generic value to a record of a known type; unknown fields are ignored.
///
/// # Errors
/// If the value does not have the form of the record.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Result<T, DecodeError> {
    decode(&encode(value))
}

#[cfg(test)]
mod tests;
