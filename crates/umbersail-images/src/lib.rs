//! Distribution of large container images over a fleet.
//!
//! When many machines fetch the same large image from the image store at once, the
//! store becomes saturated and every fetch is slow. This crate decides when each
//! machine may start its fetch and whether the machine fetches from the store or
//! from peers: machines that have the image or are fetching it.
//!
//! The crate performs no I/O and reads no clock: callers pass in the contents of
//! heartbeats and the current time. [`CacheView`] tracks which machines have, fetch
//! or wait for each image and decides on requests to fetch. [`TransferRates`]
//! estimates the throughput of the store and of peers from the durations of
//! completed fetches. [`ImageRecord`] is what a leader stores for the next leader.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod cache_view;
mod fetch;
mod machine_cache;
mod rates;
mod record;
mod request;
mod rollout;
mod settings;
mod store_fetches;

pub use cache_view::{CacheView, ImageCounts};
pub use rates::{CompletedFetch, TransferRates};
pub use record::{ImageRecord, InvalidImageRecord, RECORD_VERSION};
pub use request::{Decision, FetchPriority, FetchRequest};
pub use settings::Settings;
