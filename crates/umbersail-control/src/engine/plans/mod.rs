//! Recorded plans: what the engine asks them, and the book that keeps their records.
//!
//! Plans order starts, keep room and rent ahead; with none recorded and none set the
//! engine decides as it would without this file. What a plan decides is pure and stands
//! in packages below; here it meets jobs, machines and the state service.

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

/// All plans of the block.
pub(super) struct Plans {
    pub store: PlanStore,
    pub calendar: CalendarState,
    pub reserve: ReservationState,
    pub images: Images,
    /// Time of day, in milliseconds since 1970, at a moment of our steady clock.
    wall_clock: (Time, u64),
}

impl Plans {
    pub fn new(now: Time, unix_ms: u64, cfg: &EngineConfig) -> Plans {
        Plans {
            store: PlanStore::new(cfg.tuning.max_plan_records as usize, cfg.value_bytes),
            calendar: CalendarState::new(cfg),
            reserve: ReservationState::new(cfg),
            images: Images::new(now, &cfg.tuning),
            wall_clock: (now, unix_ms),
        }
    }

    /// Time of day in milliseconds since 1970, within the bound that the settings give.
    pub fn unix_ms(&self, now: Time) -> u64 {
        let (at, unix_ms) = self.wall_clock;
        unix_ms.saturating_add_signed(((now - at) * 1000.0) as i64)
    }
}

impl Engine {
    /// The time of day, as the clock says it now.
    pub fn set_wall_clock(&mut self, now: Time, unix_ms: u64) {
        self.plans.wall_clock = (now, unix_ms);
    }

    /// Takes in what a holder before us recorded.
    pub(super) fn inherit_plans(&mut self, now: Time, found: Vec<InheritedPlan>) {
        for plan in found {
            if let Err((name, reason)) = self.plans.store.inherit(plan) {
                warn!(plan = name, reason, "recorded plan set aside");
            }
        }
        self.inherit_calendar_runs(now);
        self.inherit_images(now);
    }

    /// A job was accepted, or found by us as a new leader.
    pub(super) fn plans_job_accepted(&mut self, now: Time, id: &JobId) {
        self.calendar_job_accepted(now, id);
        self.set_job_reservations(id);
    }

    /// A job is over: completed, or cancelled by its user.
    pub(super) fn plans_job_ended(&mut self, job: &Job) {
        self.calendar_job_ended(job);
    }

    /// What plans want rented beside the jobs that are there, by class.
    pub(super) fn planned_demands(&self, _now: Time) -> Vec<(String, Demand)> {
        Vec::new()
    }

    /// What plans do as time goes by.
    pub(super) fn tick_plans(&mut self, now: Time) {
        self.tick_calendar(now);
        self.tick_reservations(now);
        self.tick_images(now);
    }
}
