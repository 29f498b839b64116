//! The rehearsal kit: a whole night of umbersail on one machine, the same
//! twice.
//!
//! The real controllers run in a simulated world (`umbersail-runtime`) against
//! stand-ins for workers, cloud, state service, load balancer and users, by the
//! published protocol. A night file says what is there, who wants what and what
//! goes wrong when; one seed decides all chance. The judge reads the history
//! and nothing else.
//!
//! ```no_run
//! use umbersail_rehearsal::{Night, bundled, play};
//!
//! let text = bundled("zone-power-loss-cold-caches").unwrap();
//! let night = Night::parse("zone-power-loss-cold-caches", text).unwrap();
//! let outcome = play(&night, 7, &mut |_, _| {}).unwrap();
//! assert!(outcome.figures.breaches.is_empty());
//! ```

mod addresses;
mod answers;
mod bound;
mod bundled;
mod cancel_now;
mod cancellations;
mod delays;
pub mod experiment;
mod fleet;
mod grants;
pub mod history;
mod image_store;
mod judge;
mod kv_store_host;
mod night;
mod odd_requests;
pub mod paper;
mod play;
mod query_bursts;
mod real;
pub mod report;
mod runs;
mod served;
mod state_figures;
mod trouble;
mod user_faults;
mod users;
pub mod waves;
mod worker;

pub use answers::{MAX_SILENCE_S, QueryFigures};
pub use bundled::{BUNDLED, Bundled, bundled};
pub use judge::{Breach, Figures, ObjectiveResult, Rule, evaluate};
pub use night::{Failure, Night, NightError, Priority, Team, Trouble};
pub use odd_requests::{InvalidSubmission, REQUIRED_FIELDS, invalid_submissions};
pub use play::{Outcome, PlayError, play, play_many, settings};
pub use real::run_real;
pub use runs::{CalendarRun, CalendarRunFigures, RunStep};
pub use served::{JobGroup, MAX_START_S, MIN_JOBS_FOR_SHARE, MIN_SERVED_SHARE, ServedFigures};
