//! Every message of the protocol, with its names on the wire.
//!
//! The wire has names of its own for common things; they stand only here, as
//! `serde` renames. Everything else in the project uses the field's standard
//! terms. Clients written in Rust can use this package as it is.
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod cloud;
mod jobs;
mod peers;
mod state;
mod workers;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use rmpv::Value;

pub use cloud::*;
pub use jobs::*;
pub use peers::*;
pub use state::*;
pub use workers::*;

/// Paths of the service and of the systems that it uses.
pub mod paths {
    /// Jobs.
    pub const JOBS: &str = "/v2/runs";
    /// Last part of the path that cancels a job.
    pub const CANCEL: &str = "abort";
    /// Readiness of a node.
    pub const HEALTH: &str = "/ready";
    /// Reports of workers.
    pub const HEARTBEAT: &str = "/v1/report";
    /// Commands to a worker.
    pub const WORKER_COMMANDS: &str = "/orders";
    /// Machine types of the cloud.
    pub const MACHINE_TYPES: &str = "/catalog";
    /// Machines of the cloud.
    pub const MACHINES: &str = "/hosts";
    /// Returns machines to the cloud.
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
    /// Greetings between controllers.
    pub const PEER_HELLO: &str = "/peer/hello";
    /// A hello whose answer waits until its receiver does not lead any more.
    pub const PEER_WATCH_LEADER: &str = "/peer/attend";
    /// The leader asks to start tasks without a record while the state service is out.
    pub const PEER_DEGRADED_MODE: &str = "/peer/open";
    /// A worker's report, handed on by a node that it can reach.
    pub const PEER_HEARTBEAT: &str = "/peer/report";
    /// A submission handed on by a node that can't have it recorded itself.
    pub const PEER_SUBMIT: &str = "/peer/runs";
    /// A user's question on a job, and a cancellation, handed on by a node that the
    /// state service alone refuses. Their body names the job.
    pub const PEER_POLL: &str = "/peer/poll";
    /// A cancellation, forwarded like a poll.
    pub const PEER_CANCEL: &str = "/peer/abort";
    /// What a controller knows of jobs, asked of all while the state service is out.
    pub const PEER_REPLICA_READ: &str = "/peer/word";
}

/// The bytes are not the message that was expected.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The message is not a map.
    #[error("not a MessagePack map")]
    NotAMap,
    /// A field is missing or invalid.
    #[error("{0}")]
    Invalid(#[from] rmp_serde::decode::Error),
}

/// A message as a MessagePack map keyed by text.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Every type here has text keys and no fallible serializer: an error is
    // impossible, and an empty body is refused by every receiver.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Reads a message; it must be a map, unknown fields are ignored.
///
/// # Errors
/// If the bytes are not a MessagePack map, or a field is missing or invalid.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    match bytes.first() {
        // fixmap, map 16, map 32: a struct would also be read from a list.
        Some(0x80..=0x8f | 0xde | 0xdf) => Ok(rmp_serde::from_slice(bytes)?),
        _ => Err(DecodeError::NotAMap),
    }
}

/// A record as data whose reader need not know its type: maps keyed by text.
///
/// # Errors
/// If the type can't be put into MessagePack, for instance a map without text keys.
pub fn to_value<T: Serialize>(record: &T) -> Result<Value, DecodeError> {
    let bytes = encode(record);
    Ok(rmp_serde::from_slice(&bytes)?)
}

/// Reads a record of a known type; unknown fields are ignored.
///
/// # Errors
/// If the data is of another shape.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Result<T, DecodeError> {
    decode(&encode(value))
}

#[cfg(test)]
mod tests;
