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
