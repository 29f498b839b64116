//! Plans: the publishing calendar, reservations and image distribution, and the store of
//! their records.
//!
//! Plans order the start of jobs, reserve machines and rent machines in advance. If no plan
//! is configured or recorded, the engine decides as if this module did not exist. The
//! decisions of each plan are pure functions in packages of their own; this module connects
//! them to the engine's jobs and machines and to the state service.

mod calendar;
mod images;
mod reserve;
mod store;

use tracing::warn;
use umbersail_policy::Demand;

use super::{Engine, EngineConfig, Job, JobId, MachineId, Time};
pub(super) use calendar::CalendarState;
use images::Images;
pub(crate) use images::image_fits_cache;
pub(crate) use reserve::reservation_limits;
pub(super) use reserve::{ReservationState, ReservedCapacity};
pub use store::InheritedPlan;
pub(super) use store::{PlanStore, WrittenPlan};

/// All plans of the cluster.
pub(super) struct Plans {
    pub store: PlanStore,
    pub calendar: CalendarState,
    pub reserve: ReservationState,
    pub images: Images,
    /// A moment of the monotonic clock and the time of day at that moment, in milliseconds
    /// since 1970.
    wall_clock: (Time, u64),
}

impl Plans {
    pub fn new(now: Time, unix_ms: u64, cfg: &EngineConfig) -> Plans {
        Plans {
            store: PlanStore::new(cfg.tuning.max_plan_records as usize, cfg.max_value_bytes),
            calendar: CalendarState::new(cfg),
            reserve: ReservationState::new(cfg),
            images: Images::new(now, &cfg.tuning),
            wall_clock: (now, unix_ms),
        }
    }

    /// Time of day in milliseconds since 1970. Its error is at most the clock skew that the
    /// settings allow.
    pub fn unix_ms(&self, now: Time) -> u64 {
        let (at, unix_ms) = self.wall_clock;
        unix_ms.saturating_add_signed(((now - at) * 1000.0) as i64)
    }
}

impl Engine {
    /// Sets the time of day that belongs to `now`.
    pub fn set_wall_clock(&mut self, now: Time, unix_ms: u64) {
        self.plans.wall_clock = (now, unix_ms);
    }

    /// Restores the plans that previous leaders recorded.
    pub(super) fn inherit_plans(&mut self, now: Time, found: Vec<InheritedPlan>) {
        for plan in found {
            if let Err((name, reason)) = self.plans.store.inherit(plan) {
                warn!(plan = name, reason, "ignoring an unusable recorded plan");
            }
        }
        self.inherit_calendar_runs(now);
        self.inherit_images(now);
    }

    /// Called when a job was accepted, and for each job that a new leader finds.
    pub(super) fn plans_job_accepted(&mut self, now: Time, id: &JobId) {
        self.calendar_job_accepted(now, id);
        self.set_job_reservations(id);
    }

    /// Called when a job has completed or was cancelled by its user.
    pub(super) fn plans_job_ended(&mut self, job: &Job) {
        self.calendar_job_ended(job);
    }

    /// Machines that plans need rented in addition to those for existing jobs, by class.
    pub(super) fn planned_demands(&self, _now: Time) -> Vec<(String, Demand)> {
        Vec::new()
    }

    /// Runs the periodic work of all plans.
    pub(super) fn tick_plans(&mut self, now: Time) {
        self.tick_calendar(now);
        self.tick_reservations(now);
        self.tick_images(now);
    }
}
