//! Which machines a job's tasks may use, by type, zone and cached image.

use std::collections::BTreeMap;

use umbersail_cycle::MachineFilter;
use umbersail_policy::{Shape, Usage, allows_type};
use umbersail_wire::MachineType;

use super::schedule::CycleSlice;
use super::{Engine, Job, Time};

/// The zones that the present tasks of a job leave open to its other tasks.
pub(super) struct OpenZones {
    /// The only zone that is open, if tasks are present and all must be in one zone.
    only: Option<String>,
    /// Zones that hold as many of the job's tasks as they may.
    full: Vec<String>,
}

impl OpenZones {
    pub fn allows(&self, zone: &str) -> bool {
        self.only.as_ref().is_none_or(|only| only == zone) && !self.full.iter().any(|z| z == zone)
    }

    /// Whether every zone is open.
    pub fn are_all(&self) -> bool {
        self.only.is_none() && self.full.is_empty()
    }
}

impl Engine {
    /// Whether the job should wait for a slot on a machine that has its image. This is the
    /// case if fetching the image would make the job miss its start-time objective, and
    /// enough machines have the image that one of them is likely to have room in time.
    pub(super) fn should_await_image(
        &self,
        now: Time,
        job: &Job,
        slice: &mut CycleSlice<'_>,
    ) -> bool {
        if !self.fetch_misses_start_objective(now, job, slice.usage) {
            return false;
        }
        let tuning = &self.cfg.tuning;
        let min_machines = (tuning.image_places * f64::from(job.pending())).ceil() as usize;
        let counts = slice.snapshot.machines_with_image.get_or_insert_with(|| {
            let mut counts = BTreeMap::new();
            let silence_limit_s = self.silence_limit_s();
            let is_schedulable = |m: &&super::Machine| m.accepts_tasks(now, silence_limit_s);
            for machine in self.machines.values().filter(is_schedulable) {
                for image in &machine.images {
                    if let Some(index) = machine.type_index {
                        *counts.entry((*image, index)).or_default() += 1;
                    }
                }
            }
            counts
        });
        let machine_count: usize = self
            .machine_types
            .iter()
            .enumerate()
            .filter(|(_, t)| job.shape.fits_in(&Shape::of_type(t)))
            .filter_map(|(index, _)| counts.get(&(job.image, index)))
            .sum();
        machine_count >= min_machines
    }

    /// Whether fetching the image would make the job miss its start-time objective, while
    /// there is still time to wait for a slot on a machine that has the image.
    pub(super) fn fetch_misses_start_objective(
        &self,
        now: Time,
        job: &Job,
        usage: &[Usage],
    ) -> bool {
        let within = self.start_objective_s(job, self.is_guaranteed(job, usage));
        within.is_some_and(|within| {
            let left = within - (now - job.submitted_at);
            left >= self.cfg.tuning.image_wait_s && self.image_fetch_s(job) > left
        })
    }

    /// The zone that the job's present tasks require, and the number of tasks in each zone.
    /// Tasks whose recovery is pending count in every zone where they may run, and so do
    /// attempts of completed tasks that an earlier leader started (rule 4 of `docs/design.md`).
    pub(super) fn zones_of(&self, job: &Job) -> (Option<String>, BTreeMap<String, u32>) {
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        if !job.spec.one_zone() && !job.spec.spread() {
            return (None, zones);
        }
        for placement in job.placements.values() {
            if let Some(machine) = self.machines.get(&placement.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        let unconfirmed = job.recovery_pending.len() as u32 + job.inherited_extra_attempts();
        for host in &job.inherited_machines {
            if let Some(machine) = self.machines.get(host) {
                *zones.entry(machine.zone.clone()).or_default() += unconfirmed;
            }
        }
        let only = job
            .spec
            .one_zone()
            .then(|| zones.keys().next().cloned())
            .flatten();
        (only, zones)
    }

    /// The zones where further tasks of the job may start.
    pub(super) fn open_zones(&self, job: &Job) -> OpenZones {
        let (only, tasks_by_zone) = self.zones_of(job);
        let max_per_zone = job.spec.max_per_zone().unwrap_or(u32::MAX);
        let full = tasks_by_zone
            .into_iter()
            .filter(|(_, n)| *n >= max_per_zone);
        OpenZones {
            only,
            full: full.map(|(zone, _)| zone).collect(),
        }
    }

    /// The machines that the job's tasks may use now. Machine types that waiting jobs with
    /// larger tasks depend on are excluded.
    pub(super) fn machine_filter(&self, job: &Job, large_task_cpus: &[f64]) -> MachineFilter {
        let smallest_cpus = job.smallest_cpus + 1e-6;
        self.machine_filter_where(job, |index, t| {
            t.cpus <= smallest_cpus
                || large_task_cpus
                    .get(index)
                    .is_some_and(|largest| *largest <= smallest_cpus)
        })
    }

    /// The machines that the job allows, restricted to types that `allows` accepts.
    pub(super) fn machine_filter_where(
        &self,
        job: &Job,
        allows: impl Fn(usize, &MachineType) -> bool,
    ) -> MachineFilter {
        let types = self.machine_types.iter().enumerate();
        MachineFilter {
            types: types
                .map(|(index, t)| allows_type(&job.spec, &t.name) && allows(index, t))
                .collect(),
            zone: job.spec.zone.clone(),
            spot: job.spec.spot(),
            reservations: job.reservations,
        }
    }
}
