//! Reservations: machines that are kept for one team's work during a time window. This crate
//! only makes decisions; it performs no I/O and reads no clock.
//!
//! [`Reservations::parse`] reads the operators' entries. For each entry one
//! [`ReservationRecord`] states what was promised, the rental requests with their names, and
//! the reserved machines. [`plan()`] updates the records to the current state of the cluster.
//! The caller stores the records and sends only those rental requests that are recorded.
//! After a change of leader, the next leader therefore sends the same requests under the same
//! names, and no machine is rented twice.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
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
