//! Reservations: capacity held for a team's work over a window of time. Decisions only,
//! without I/O and without a clock.
//!
//! An operator's entries ([`Reservations::parse`]) are admitted, and what was admitted,
//! which rental requests were named for it and which machines are held stands in one
//! record by entry ([`ReserveRecord`]). [`plan`] brings the records up to what is: the
//! caller records them, and asks the cloud only for requests that are recorded, so
//! that a successor asks by the same names and rents nothing twice.
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod admit;
mod boots;
mod entry;
mod lend;
mod plan;
mod record;
#[cfg(test)]
mod tests;
mod window;

pub use boots::Boots;
pub use entry::{Entry, EntryError, Facts, PREFIX, Reservations};
pub use lend::{Borrower, lends};
pub use plan::{HeldMachine, Notice, Rules, Standing, View, What, lead_s, plan};
pub use record::{Batch, Borrow, Item, ReserveRecord, Terms, VERSION, Verdict, Want};
pub use window::{When, WhenError, Window};
