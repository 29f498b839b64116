//! Which machines a job's tasks may use: types, zones, images.

use std::collections::BTreeMap;

use umbersail_cycle::MachineFilter;
use umbersail_policy::{Shape, Usage, allows_type};
use umbersail_wire::MachineType;

use super::schedule::CycleSlice;
use super::{Engine, Job, Time};

impl Engine {
    /// Whether the job does better to wait for a place where its image is: it
    /// would start too late after a fetch, and in time if such a place falls
    /// free within the time that is left.
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
        let least = (tuning.image_places * f64::from(job.pending())).ceil() as usize;
        let counts = slice.snapshot.machines_with_image.get_or_insert_with(|| {
            let mut counts = BTreeMap::new();
            let silent_after = self.silence_limit_s();
            let up = |m: &&super::Machine| m.accepts_tasks(now, silent_after);
            for machine in self.machines.values().filter(up) {
                for image in &machine.images {
                    if let Some(index) = machine.type_index {
                        *counts.entry((*image, index)).or_default() += 1;
                    }
                }
            }
            counts
        });
        let places: usize = self
            .machine_types
            .iter()
            .enumerate()
            .filter(|(_, t)| job.shape.fits_in(&Shape::of_type(t)))
            .filter_map(|(index, _)| counts.get(&(job.image, index)))
            .sum();
        places >= least
    }

    /// Whether a fetch of its image would make the job start too late, with time
    /// left to wait for a place that has it.
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

    /// The zone that the job's present tasks fix, and how many each zone has.
    /// Tasks whose recovery is pending count wherever they may be, and so do attempts of completed tasks
    /// that an earlier holder left (rule 4).
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
        let unseen = job.recovery_pending.len() as u32 + job.inherited_extra_attempts();
        for host in &job.inherited_machines {
            if let Some(machine) = self.machines.get(host) {
                *zones.entry(machine.zone.clone()).or_default() += unseen;
            }
        }
        let only = job
            .spec
            .one_zone()
            .then(|| zones.keys().next().cloned())
            .flatten();
        (only, zones)
    }

    /// The machines that the job's tasks may use now: types that waiting larger
    /// work can't do without are closed to it.
    pub(super) fn machine_filter(&self, job: &Job, large_task_cpus: &[f64]) -> MachineFilter {
        let least = job.smallest_cpus + 1e-6;
        self.machine_filter_where(job, |index, t| {
            t.cpus <= least
                || large_task_cpus
                    .get(index)
                    .is_some_and(|most| *most <= least)
        })
    }

    /// The machines that the job allows, of types that `open` takes.
    pub(super) fn machine_filter_where(
        &self,
        job: &Job,
        open: impl Fn(usize, &MachineType) -> bool,
    ) -> MachineFilter {
        let types = self.machine_types.iter().enumerate();
        MachineFilter {
            types: types
                .map(|(index, t)| allows_type(&job.spec, &t.name) && open(index, t))
                .collect(),
            zone: job.spec.zone.clone(),
            spot: job.spec.spot(),
            reservations: job.reservations,
        }
    }
}
