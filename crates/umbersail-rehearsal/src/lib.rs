//! Deterministic rehearsals: runs a whole cluster on one machine in simulated time.
//!
//! The real controllers run in a simulated network (`umbersail-runtime`) against simulated
//! workers, cloud, state service, load balancer and users, which use the published protocol.
//! A scenario file defines the cluster, its load and the faults to inject. One seed determines
//! all random numbers, so that the same scenario and seed give the same outcome. The judge
//! checks the rules and measures the objectives from the recorded history alone.
//!
//! ```no_run
//! use umbersail_rehearsal::{Scenario, bundled, run};
//!
//! let text = bundled("zone-power-loss-cold-caches").unwrap();
//! let scenario = Scenario::parse("zone-power-loss-cold-caches", text).unwrap();
//! let outcome = run(&scenario, 7, &mut |_, _| {}).unwrap();
//! assert!(outcome.figures.breaches.is_empty());
//! ```

mod addresses;
mod answers;
pub mod baseline;
mod bound;
mod bundled;
mod cancel_now;
mod cancellations;
mod command_copies;
mod delays;
pub mod experiment;
mod fault;
mod fleet;
mod grants;
pub mod history;
mod image_store;
mod judge;
mod kv_store_host;
mod odd_requests;
mod query_bursts;
mod real;
pub mod report;
pub mod rollouts;
mod run;
mod runs;
mod scenario;
mod served;
mod state_figures;
mod user_faults;
mod users;
mod worker;

pub use answers::{MAX_SILENCE_S, QueryFigures};
pub use bundled::{BUNDLED, Bundled, bundled};
pub use judge::{Breach, Figures, ObjectiveResult, Rule, evaluate};
pub use odd_requests::{InvalidSubmission, REQUIRED_FIELDS, invalid_submissions};
pub use real::run_real;
pub use run::{Outcome, RunError, run, run_many, settings};
pub use runs::{CalendarRun, CalendarRunFigures, RunStep};
pub use scenario::{Failure, Fault, Priority, Scenario, ScenarioError, Team};
pub use served::{JobGroup, MAX_START_S, MIN_JOBS_FOR_SHARE, MIN_SERVED_SHARE, ServedFigures};
