//! Scheduling policy without I/O or a clock: placement, eviction, rental and team quotas.
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
    EvictionHost, PreemptibleTask, VictimPreference, VictimSet, candidate_victim_sets,
    choose_victims, select_victims,
};
pub use first_fit::FirstFit;
pub use learn::{ClassStats, Learner, LoadWindow};
pub use order::{DeadlineDemand, max_on_time};
pub use place::{
    CostProfile, MachineView, PlacementWeights, TaskView, allows_machine, allows_type,
    machine_cost, placement_cost, rank_machines, smallest_cpus,
};
pub use quota::{TeamLimits, Usage, remaining_quota};
pub use rent::{Demand, FleetMachine, IdleLimits, RentalPlan, ScaleOutRequest, plan_rental};
pub use shape::Shape;
pub use starvation::{ServiceHistory, UnstartedJob, boosted_jobs, seconds_until_free};
