//! Reservations: capacity held for a team's work over a window of time. Decisions only,
//! without I/O and without a clock.
//!
//! An operator's entries ([`Reservations::parse`]) are admitted, and what was admitted,
//! which rental requests were named for it and which machines are held stands in one
//! record by entry ([`ReservationRecord`]). [`plan`] brings the records up to what is: the
//! caller records them, and asks the cloud only for requests that are recorded, so
//! that a successor asks by the same names and rents nothing twice.
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod admit;
mod boot_times;
mod borrow;
mod entry;
mod plan;
mod record;
#[cfg(test)]
mod tests;
mod window;

pub use boot_times::BootTimeStats;
pub use borrow::{Borrower, may_borrow};
pub use entry::{Entry, EntryError, EntryLimits, PREFIX, Reservations};
pub use plan::{
    Availability, ClusterView, Notice, NoticeKind, ReservableMachine, Settings, lead_s, plan,
};
pub use record::{
    Admission, Batch, BorrowPolicy, Demand, PromisedMachines, ReservationRecord, Terms, VERSION,
};
pub use window::{Schedule, ScheduleError, Window};
