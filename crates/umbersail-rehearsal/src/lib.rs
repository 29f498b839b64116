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
//! use umbersail_rehearsal::{Scenario, bundled, run};
//!
//! let text = bundled("zone-power-loss-cold-caches").unwrap();
//! let night = Scenario::parse("zone-power-loss-cold-caches", text).unwrap();
//! let outcome = run(&night, 7, &mut |_, _| {}).unwrap();
//! assert!(outcome.figures.breaches.is_empty());
//! ```

mod answers;
pub mod baseline;
mod bound;
mod bundled;
mod cancel_now;
mod cancellations;
mod close_looks;
pub mod experiment;
mod fault;
mod fleet;
mod grants;
pub mod history;
mod judge;
mod kv_store_host;
mod late;
mod odd_requests;
mod places;
mod real;
pub mod report;
pub mod rollouts;
mod run;
mod runs;
mod scenario;
mod served;
mod state_figures;
mod store;
mod user_troubles;
mod users;
mod worker;

pub use answers::{Answers, SILENT_S};
pub use bundled::{BUNDLED, Bundled, bundled};
pub use judge::{Breach, Figures, Reached, Rule, judge};
pub use odd_requests::{Invalid, REQUIRED_FIELDS, invalid_submissions};
pub use real::run_real;
pub use run::{Outcome, RunError, run, run_many, settings};
pub use runs::{Run, RunFigures, Step};
pub use scenario::{Failure, Fault, Priority, Scenario, ScenarioError, Team};
pub use served::{BEGIN_S, Of, SERVED_FEW, SERVED_LEAST, Served};
