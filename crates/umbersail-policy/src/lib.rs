//! Decisions without I/O and without a clock: what fits where, whom to evict,
//! what to rent, and what a team may use.
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod bitmap;
mod evict;
mod first_fit;
mod learn;
mod order;
mod place;
mod quota;
mod rent;
mod shape;
mod starvation;

pub use bitmap::{Bitmap, BitmapError};
pub use evict::{
    EvictionHost, PreemptibleTask, Preference, Selection, candidate_sets, choose, select_victims,
};
pub use first_fit::FirstFit;
pub use learn::{ClassStats, Learner, Window};
pub use order::{DeadlineDemand, max_on_time};
pub use place::{
    MachineView, PlaceWeights, PlacementConstraint, TaskView, cost_of, names_type, placement_cost,
    rank_machines, smallest_cpus, type_allowed,
};
pub use quota::{TeamLimits, Usage, quota_room};
pub use rent::{Demand, FleetMachine, IdleLimits, Plan, ScaleOutRequest, plan_rental};
pub use shape::Shape;
pub use starvation::{ServiceHistory, UnstartedJob, boosted_jobs, free_in_s};
