//! The publishing calendar: recurring runs, each of which consists of steps, opens at a
//! configured time and is due at a configured time. This crate only makes decisions; it performs
//! no I/O and reads no clock: the time of day and the monotonic time are passed in.
//!
//! Users submit the jobs. The calendar decides which jobs wait for an earlier step of their run,
//! and by when each job should end. See `docs/calendar.md`.
//!
//! ```
//! use std::collections::BTreeMap;
//! use umbersail_calendar::Calendar;
//!
//! let mut properties = BTreeMap::new();
//! for (key, value) in [
//!     ("calendar.evening.team", "press"),
//!     ("calendar.evening.zone", "Europe/Lisbon"),
//!     ("calendar.evening.opens", "2027-01-04 22:00"),
//!     ("calendar.evening.repeat", "FREQ=DAILY"),
//!     ("calendar.evening.due", "02:30"),
//!     ("calendar.evening.step.1.classes", "scan"),
//!     ("calendar.evening.step.1.quiet", "5m"),
//! ] {
//!     properties.insert(key.to_owned(), value.to_owned());
//! }
//! let calendar = Calendar::parse(&properties).unwrap();
//! let evening = &calendar.entries["evening"];
//! let (_, next) = evening.openings.last_and_next(1_800_000_000_000);
//! assert_eq!(evening.due(next.unwrap()) - next.unwrap(), (4 * 60 + 30) * 60_000);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod entry;
mod event;
mod openings;
mod record;
mod run;
mod settings;
mod timestamp;
mod tracker;

pub use entry::{Calendar, Entry, EntryError, PREFIX};
pub use event::{RunEvent, RunEventKind, RunKey};
pub use openings::{InvalidValue, Openings, RelativeTime, UnixMs};
pub use record::{InvalidRunRecord, RunRecord, StepRecord};
pub use settings::Settings;
pub use timestamp::Timestamp;
pub use tracker::{AcceptedJob, RecordWrite, RunTracker, TickOutcome};
