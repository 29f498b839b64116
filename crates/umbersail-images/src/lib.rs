//! Distribution of large container images over a fleet.
//!
//! When many machines need the same large image at once, fetching it from the
//! image store alone would be slow for all of them. This crate decides when
//! each machine may start its fetch and whether it reads from the store or
//! from machines that already hold the image.
//!
//! The crate does no I/O and reads no clock: callers pass reports and the time
//! in, and decisions come out. [`CacheView`] tracks which machine holds,
//! fetches or waits for which image; [`TransferRates`] learns the throughput of
//! the store and of peers from the duration of completed fetches.
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
