//! Demand for machines: the running and waiting tasks of all jobs, and spare capacity, as input
//! for the rental plan.

use std::collections::BTreeMap;

use umbersail_policy::{Demand, Shape};

use super::long_running::LongRunningTasks;
use super::plans::ReservedCapacity;
use super::{Engine, Job, JobId, Time};

/// What distinguishes the demands of two jobs. Jobs with equal keys share one demand.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DemandKey<'a> {
    class: &'a str,
    /// Bits of a task's CPUs, GPUs and memory, since every job may have a different shape.
    shape_bits: [u64; 3],
    types: Option<&'a [String]>,
    zone: Option<String>,
    spot: bool,
    /// The job, if it is spread over zones: each such job has its own share of a zone.
    spread_job: Option<&'a JobId>,
    /// Whether it is the first task of a boosted job.
    is_boosted: bool,
}

/// Demands by class, in the order in which they were added.
#[derive(Default)]
struct Demands<'a> {
    by_class: Vec<(String, Demand)>,
    indices: BTreeMap<DemandKey<'a>, usize>,
}

impl<'a> Demands<'a> {
    /// The demand with this key. A new one starts without tasks.
    fn entry(&mut self, key: DemandKey<'a>, job: &Job) -> &mut Demand {
        let next = self.by_class.len();
        let zone = key.zone.clone();
        let index = *self.indices.entry(key).or_insert(next);
        if index == next {
            let demand = Demand {
                shape: job.shape,
                types: job.spec.types.clone(),
                zone,
                max_per_zone: job.spec.max_per_zone(),
                spot: job.spec.spot(),
                tasks: 0,
                long_running: BTreeMap::new(),
                max_turnovers: f64::INFINITY,
                spare: 0,
                warm_spare: 0,
            };
            self.by_class.push((job.spec.class.clone(), demand));
        }
        &mut self.by_class[index].1
    }

    fn add(&mut self, key: DemandKey<'a>, job: &Job, tasks: u32, max_turnovers: f64) {
        if tasks > 0 {
            let demand = self.entry(key, job);
            demand.tasks += tasks;
            demand.max_turnovers = demand.max_turnovers.min(max_turnovers);
        }
    }
}

impl Engine {
    /// Running and waiting tasks by class and shape, limited to what the teams' limits let
    /// run at the same time.
    pub(super) fn current_demands(
        &self,
        now: Time,
        long_running: &LongRunningTasks,
        mut reserved_room: Option<&mut ReservedCapacity<'_>>,
    ) -> Vec<(String, Demand)> {
        let mut cpus_left: Vec<f64> = (0..self.cfg.teams.len())
            .map(|team| self.team_cpu_limit(Some(team)))
            .collect();
        let mut jobs: Vec<_> = self.jobs.iter().filter(|(_, j)| !j.cancelled).collect();
        jobs.sort_by(|(_, a), (_, b)| {
            b.spec
                .priority
                .cmp(&a.spec.priority)
                .then(a.submitted_at.total_cmp(&b.submitted_at))
        });
        let mut demands = Demands::default();
        for (id, job) in jobs {
            let faulty = job.backoff_until.is_some() && job.errors > 0;
            let waiting = if faulty { 0 } else { job.startable() };
            let mut tasks = waiting + job.occupied_tasks() as u32;
            if let Some(team) = job.team
                && job.shape.cpus > 0.0
            {
                let allowed = (cpus_left[team] / job.shape.cpus + 1e-6).floor().min(1e6) as u32;
                tasks = tasks.min(allowed);
                cpus_left[team] -= f64::from(tasks) * job.shape.cpus;
            }
            if let Some(reserved_room) = &mut reserved_room {
                tasks -= reserved_room.assign(self, job, tasks);
            }
            if tasks == 0 {
                continue;
            }
            let key = self.demand_key(id, job);
            // The first task of a boosted job does not wait for machines in use to become free.
            if waiting > 0 && self.is_boosted_to_start(id, job) {
                let boosted = DemandKey {
                    is_boosted: true,
                    ..key.clone()
                };
                demands.add(boosted, job, 1, 0.0);
                tasks -= 1;
            }
            demands.add(key.clone(), job, tasks, self.max_turnovers(now, job));
            // A boosted job has not started, so it has no such tasks.
            for (zone, tasks) in long_running.get(id).into_iter().flatten() {
                let by_zone = &mut demands.entry(key.clone(), job).long_running;
                *by_zone.entry(zone.clone()).or_default() += tasks;
            }
        }
        demands.by_class
    }

    fn demand_key<'a>(&self, id: &'a JobId, job: &'a Job) -> DemandKey<'a> {
        // The zone of the tasks that are present binds the other tasks of such a job.
        let (present_zone, _) = self.zones_of(job);
        let amounts = [job.shape.cpus, job.shape.gpus, job.shape.memory_gb];
        DemandKey {
            class: &job.spec.class,
            shape_bits: amounts.map(f64::to_bits),
            types: job.spec.types.as_deref(),
            zone: job.spec.zone.clone().or(present_zone),
            spot: job.spec.spot(),
            spread_job: job.spec.spread().then_some(id),
            is_boosted: false,
        }
    }

    /// Spare capacity for classes with a start-time objective, from their learned load, in
    /// addition to what `demands` and reserved machines already provide.
    pub(super) fn spare_demands(
        &self,
        now: Time,
        demands: &[(String, Demand)],
        reserved_room: Option<&ReservedCapacity<'_>>,
    ) -> Vec<(String, Demand)> {
        let tuning = &self.cfg.tuning;
        let mut tasks_by_class: BTreeMap<&str, u32> = BTreeMap::new();
        for (class, demand) in demands {
            *tasks_by_class.entry(class).or_default() += demand.tasks;
        }
        let mut spare_demands = Vec::new();
        for (class, sample) in &self.class_samples {
            if self.cfg.guarantee_start_objective.is_none()
                && !self.cfg.start_objectives.contains_key(class)
            {
                continue;
            }
            let Some(stats) = self.learner.get(class).filter(|s| !s.is_inactive(now)) else {
                continue;
            };
            let reserved =
                reserved_room.map_or(0, |room| room.free_slots(self, class, &sample.task_shape));
            let available = tasks_by_class.get(&**class).copied().unwrap_or(0) + reserved;
            let tasks = |times: f64| (stats.load * times + stats.tasks_per_job).ceil() as u32;
            let spare = tasks(tuning.headroom).saturating_sub(available);
            let demand = Demand {
                shape: sample.task_shape,
                types: sample.types.clone(),
                zone: sample.zone.clone(),
                max_per_zone: None,
                spot: sample.spot,
                tasks: 0,
                long_running: BTreeMap::new(),
                max_turnovers: 0.0,
                spare,
                warm_spare: tasks(tuning.warm_headroom).saturating_sub(available + spare),
            };
            spare_demands.push((class.clone(), demand));
        }
        spare_demands
    }

    /// How many times the machines in use may finish their tasks and become free before the
    /// job's waiting tasks must start. A job that is late, or would be late by the time a new
    /// machine has booted, gains little from an on-demand machine, so it waits for machines in
    /// use to become free.
    fn max_turnovers(&self, now: Time, job: &Job) -> f64 {
        let tuning = &self.cfg.tuning;
        if self.cfg.guarantee_start_objective.is_some() {
            return 0.0;
        }
        if job.pending() == 0 {
            return f64::INFINITY;
        }
        let boots = self
            .machine_types
            .iter()
            .filter(|t| job.shape.fits_in(&Shape::of_type(t)));
        let boot_s = boots.map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        match self.slack_s(now, job) {
            Some(slack) if slack >= boot_s => {
                tuning.queueing_slack_share * slack / self.expected_run_s(job).max(1.0)
            }
            Some(_) => tuning.max_late_turns,
            None => 0.0,
        }
    }
}
