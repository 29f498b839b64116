//! The controller: leader election, the scheduling engine of the leader, the public HTTP
//! API, and the clients of the state service and the cloud provider.
//!
//! The state service holds all durable state. The settings call it `state`. Comments that name
//! a rule by its number, such as "rule 2", refer to the safety rules in `docs/design.md`.
#![deny(missing_docs)]
// Tests are exempt: some state in one long function what the engine does in several.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]
#![warn(
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod all_replica_read;
mod capacity;
mod cloud;
mod command_batch;
mod degraded_mode;
mod delegate;
pub mod engine;
mod front;
mod health;
mod job_status;
mod leader;
mod node;
mod peer_clock;
mod peers;
mod plans;
mod polls;
pub mod records;
mod redirects;
mod retry_backoff;
pub mod settings;
mod standby;
mod state;
mod terminal_cache;

pub use node::run;
pub use plans::{PlanError, PlannedEntry, check_plans, planned_entries, recorded_plans};
pub use settings::{InvalidSettings, Settings, SettingsError};
