//! The priority order of waiting jobs.

use std::collections::{BTreeMap, BTreeSet};

use imbl::Vector;
use umbersail_policy::{DeadlineDemand, Shape, Usage, allows_type, max_on_time};
use umbersail_wire::{MachineType, Priority};

use super::schedule::ClusterSnapshot;
use super::starvation_guard::BoostedJob;
use super::{Engine, Job, JobId, Time};

/// The priority order of a cycle. Cycles that start within a short time reuse the order.
#[derive(Debug, Clone)]
pub(super) struct CachedPriorityOrder {
    pub computed_at: Time,
    pub jobs: Vector<JobId>,
    /// By tier and machine type: the CPUs of the largest "smallest fitting type" among the
    /// waiting jobs of this tier or above that fit the machine type. Jobs with smaller
    /// tasks do not use such a type. A large task of a lower tier reserves no type against
    /// an upper tier.
    pub large_task_cpus: BTreeMap<Priority, Vec<f64>>,
}

/// Sort key of the priority order, from the most to the least significant field. Greater
/// keys go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// False for a job that is retried after repeated failures; such jobs go last.
    not_failing: bool,
    tier: Priority,
    /// Covered by its team's guarantee.
    guaranteed: bool,
    /// Moved to the front of its tier by the starvation guard.
    boosted: bool,
    /// Can still meet its start-time objective.
    can_start_in_time: bool,
    forecast: DeadlineForecast,
}

/// Whether a job is expected to finish by its deadline, given the other waiting jobs. Later
/// variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum DeadlineForecast {
    Missed,
    /// After the deadline, but within the time in which a late job still counts.
    WithinGrace,
    OnTime,
}

/// A waiting job with the values that decide its position in the order.
struct WaitingJob<'a> {
    id: &'a JobId,
    job: &'a Job,
    slack_s: Option<f64>,
    forecast: DeadlineForecast,
    /// Too few jobs of its class, team or size met their deadlines recently.
    underserved: bool,
}

/// A set of machines that jobs of one tier compete for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePool {
    tier: Priority,
    /// For each machine type, whether the task fits that type and the job allows it.
    types: Vec<bool>,
    spot: bool,
}

impl Engine {
    /// Estimated run time in seconds of one task of this job.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        self.learner
            .expected_run_s(&job.spec.class, job.spec.estimate_s)
    }

    /// Seconds until the job must start to meet its deadline, including the fetch of its
    /// image. Without the fetch, a job that is certain to be late could go before a job
    /// that can still be on time.
    pub(super) fn slack_s(&self, now: Time, job: &Job) -> Option<f64> {
        let own = job
            .spec
            .deadline_s
            .map(|deadline| job.submitted_at + deadline);
        let due = match (own, job.planned_deadline) {
            (Some(own), Some(planned)) => own.min(planned),
            (own, planned) => own.or(planned)?,
        };
        Some(due - now - self.expected_run_s(job) - self.image_fetch_s(job))
    }

    /// Least number of seconds needed to fetch the job's image.
    pub(super) fn image_fetch_s(&self, job: &Job) -> f64 {
        let fits = |t: &&MachineType| job.shape.fits_in(&Shape::of_type(t));
        let rates = self
            .machine_types
            .iter()
            .filter(fits)
            .map(|t| t.fetch_gb_per_s);
        job.spec.image_gb / rates.fold(1e-3, f64::max)
    }

    /// Whether one more task of this job keeps its team within the team's guarantee.
    pub(super) fn is_guaranteed(&self, job: &Job, usage: &[Usage]) -> bool {
        let Some(index) = job.team else {
            return false;
        };
        let team = &self.cfg.teams[index];
        team.has_guarantee() && team.is_within_guarantee(&usage[index].plus(&job.shape, 1.0))
    }

    /// Start-time objective of the job in seconds since submission, if one applies.
    pub(super) fn start_objective_s(&self, job: &Job, guaranteed: bool) -> Option<f64> {
        let own = self.cfg.start_objectives.get(&job.spec.class).copied();
        if guaranteed {
            own.or(self.cfg.guarantee_start_objective)
        } else {
            own
        }
    }

    /// Whether the job can still meet its start-time objective. In an overload, jobs that
    /// can go first: ordering by deadline alone would make every job start slightly too
    /// late.
    pub(super) fn can_meet_start_objective(&self, now: Time, job: &Job, guaranteed: bool) -> bool {
        self.start_objective_s(job, guaranteed)
            .is_some_and(|within| now - job.submitted_at < within)
    }

    /// Returns the waiting jobs, most urgent first, and the jobs boosted by the starvation
    /// guard. The criteria are, in this order: tier, covered by the team's guarantee,
    /// boosted by the starvation guard, can meet its start-time objective, and can finish
    /// on time or shortly after (see `forecast_deadlines`); ties are broken by the time at
    /// which the job must start. Jobs that fail repeatedly go last. A job that is boosted
    /// for its first task is listed twice: at its boosted position and at its normal
    /// position.
    pub(super) fn priority_order(
        &self,
        now: Time,
        usage: &[Usage],
        snapshot: &ClusterSnapshot,
    ) -> (Vec<JobId>, Vec<BoostedJob>) {
        let underserved_min_sizes = self.underserved_min_sizes();
        let waiting: Vec<WaitingJob> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.is_schedulable())
            .map(|(id, job)| WaitingJob {
                id,
                job,
                slack_s: self.slack_s(now, job),
                forecast: DeadlineForecast::OnTime,
                underserved: self.is_underserved(job, &underserved_min_sizes),
            })
            .collect();
        let waiting = self.forecast_deadlines(waiting, snapshot);
        let ids: Vec<&JobId> = waiting.iter().map(|w| w.id).collect();
        let mut boosted = self.jobs_to_boost(now, &ids, snapshot);
        let boosted_to_start: BTreeSet<JobId> = boosted.iter().map(|b| b.job.clone()).collect();
        // Jobs in tiers below an underserved tier are not boosted for being underserved.
        let underserved_tier = waiting.iter().filter(|w| w.underserved);
        let underserved_tier = underserved_tier.map(|w| w.job.spec.priority).max();
        let mut order: Vec<(QueuePosition, f64, &JobId)> = Vec::with_capacity(waiting.len());
        for w in &waiting {
            let guaranteed = self.is_guaranteed(w.job, usage);
            let tier = w.job.spec.priority;
            let underserved = w.underserved
                && w.forecast == DeadlineForecast::OnTime
                && Some(tier) == underserved_tier;
            let position = |boosted| QueuePosition {
                not_failing: !self.is_deprioritized(w.job),
                tier,
                guaranteed,
                boosted,
                can_start_in_time: self.can_meet_start_objective(now, w.job, guaranteed),
                forecast: w.forecast,
            };
            let slack = w.slack_s.unwrap_or(1e9 - (now - w.job.submitted_at));
            order.push((position(underserved), slack, w.id));
            if boosted_to_start.contains(w.id) {
                order.push((position(true), slack, w.id));
            }
            if underserved {
                boosted.push(BoostedJob {
                    job: w.id.clone(),
                    underserved,
                });
            }
        }
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        let order = order.into_iter().map(|(.., id)| id.clone()).collect();
        (order, boosted)
    }

    pub(super) fn is_deprioritized(&self, job: &Job) -> bool {
        job.is_scheduled_last(self.cfg.tuning.job_backoff_s)
    }

    /// Forecasts which jobs finish on time. Among jobs that compete for the same machines,
    /// selects as many as possible that can finish by their deadlines; of the others, as
    /// many as possible that can finish while a late job still counts.
    fn forecast_deadlines<'a>(
        &self,
        mut waiting: Vec<WaitingJob<'a>>,
        snapshot: &ClusterSnapshot,
    ) -> Vec<WaitingJob<'a>> {
        let mut pools: BTreeMap<MachinePool, Vec<usize>> = BTreeMap::new();
        for (index, w) in waiting.iter().enumerate() {
            if w.slack_s.is_some() && !self.is_deprioritized(w.job) {
                pools.entry(self.pool(w.job)).or_default().push(index);
            }
        }
        // CPUs in use by tier and by team, computed once for all pools.
        let mut occupied: BTreeMap<Priority, f64> = BTreeMap::new();
        let mut by_team: BTreeMap<(usize, Priority), f64> = BTreeMap::new();
        if !pools.is_empty() {
            for job in self.jobs.values() {
                let cpus = job.occupied_tasks() as f64 * job.shape.cpus;
                *occupied.entry(job.spec.priority).or_default() += cpus;
                if let Some(team) = job.team {
                    *by_team.entry((team, job.spec.priority)).or_default() += cpus;
                }
            }
        }
        let underserved_share = self.cfg.tuning.starvation_cpu_share;
        for (pool, members) in pools {
            let underserved = members.iter().any(|i| waiting[*i].underserved);
            let teams = members.iter().map(|i| waiting[*i].job.team).collect();
            let allowed = self.allowed_cpus(pool.tier, &teams, &by_team);
            let cpus = self
                .pool_cpus(&pool, snapshot, &occupied, underserved)
                .min(allowed);
            if cpus <= 0.0 {
                continue;
            }
            let demand = |index: &usize, deadline_factor: f64| {
                let WaitingJob {
                    job,
                    slack_s,
                    underserved,
                    ..
                } = &waiting[*index];
                let extension_s = (deadline_factor - 1.0) * job.spec.deadline_s.unwrap_or(0.0);
                DeadlineDemand {
                    slack_s: slack_s.unwrap_or(0.0) + extension_s,
                    work_s: f64::from(job.pending()) * job.shape.cpus * self.expected_run_s(job)
                        / cpus,
                    underserved: *underserved,
                }
            };
            let on_time_demands: Vec<DeadlineDemand> =
                members.iter().map(|i| demand(i, 1.0)).collect();
            let (on_time, busy_s) = max_on_time(&on_time_demands, 0.0, underserved_share);
            let late: Vec<usize> = members
                .iter()
                .zip(&on_time)
                .filter_map(|(i, on_time)| (!on_time).then_some(*i))
                .collect();
            let late_demands: Vec<DeadlineDemand> = late
                .iter()
                .map(|i| {
                    let class = &waiting[*i].job.spec.class;
                    demand(
                        i,
                        self.cfg.deadline_factors.get(class).copied().unwrap_or(1.0),
                    )
                })
                .collect();
            let (within_grace, _) = max_on_time(&late_demands, busy_s, underserved_share);
            for (index, within_grace) in late.into_iter().zip(within_grace) {
                waiting[index].forecast = if within_grace {
                    DeadlineForecast::WithinGrace
                } else {
                    DeadlineForecast::Missed
                };
            }
        }
        waiting
    }

    /// The machine pool that a job competes for.
    fn pool(&self, job: &Job) -> MachinePool {
        let fits = |t: &MachineType| {
            job.shape.fits_in(&Shape::of_type(t)) && allows_type(&job.spec, &t.name)
        };
        MachinePool {
            tier: job.spec.priority,
            types: self.machine_types.iter().map(fits).collect(),
            spot: job.spec.spot(),
        }
    }

    /// CPUs that a team may use at the same time; infinite without a limit.
    pub(super) fn team_cpu_limit(&self, team: Option<usize>) -> f64 {
        let limit = team.map_or(0.0, |t| self.cfg.teams[t].max_cpus);
        match limit > 0.0 {
            true => limit,
            false => f64::INFINITY,
        }
    }

    /// CPUs that the limits of these teams leave to a tier, less what the teams' upper
    /// tiers use; infinite if any of the teams has no limit.
    fn allowed_cpus(
        &self,
        tier: Priority,
        teams: &BTreeSet<Option<usize>>,
        occupied: &BTreeMap<(usize, Priority), f64>,
    ) -> f64 {
        let allowed = teams.iter().map(|team| {
            let above = team.map_or(0.0, |team| {
                let of_team = occupied.range((team, Priority::Low)..=(team, Priority::Production));
                let upper = of_team.filter(|((_, used_in), _)| *used_in > tier);
                upper.map(|(_, cpus)| cpus).sum()
            });
            (self.team_cpu_limit(*team) - above).max(0.0)
        });
        allowed.sum()
    }

    /// CPUs of a pool's machines, running or booting, less what upper tiers use and cannot
    /// run on machines outside the pool. If a job in the pool is underserved, the result is
    /// at least the share that may be held for underserved jobs.
    fn pool_cpus(
        &self,
        pool: &MachinePool,
        snapshot: &ClusterSnapshot,
        occupied: &BTreeMap<Priority, f64>,
        underserved: bool,
    ) -> f64 {
        let (mut inside, mut outside) = (0.0, 0.0);
        for (&takes, &[on_demand, spot]) in pool.types.iter().zip(&snapshot.cpus_by_type) {
            for (cpus, is_spot) in [(on_demand, false), (spot, true)] {
                if takes && (pool.spot || !is_spot) {
                    inside += cpus;
                } else {
                    outside += cpus;
                }
            }
        }
        let above: f64 = occupied
            .iter()
            .filter(|(tier, _)| **tier > pool.tier)
            .map(|(_, cpus)| cpus)
            .sum();
        let min_cpus = if underserved {
            inside * self.cfg.tuning.starvation_cpu_share
        } else {
            f64::NEG_INFINITY
        };
        (inside - (above - outside).max(0.0)).max(min_cpus) * self.cfg.tuning.usable_cpu_share
    }

    /// Whether the cached order is recent enough to be reused. The cache is cleared when a
    /// job starts to wait, and what changes in the order with time alone changes slowly.
    pub(super) fn is_cached_order_valid(&self, now: Time) -> bool {
        let valid_s = 0.0..self.cfg.tuning.order_reuse_s;
        let cached = self.cached_order.as_ref();
        cached.is_some_and(|cached| valid_s.contains(&(now - cached.computed_at)))
    }

    /// Returns the order for a cycle, from the cache if possible, together with the
    /// reserved machine types.
    pub(super) fn cycle_order(
        &mut self,
        now: Time,
        usage: &[Usage],
        snapshot: &ClusterSnapshot,
    ) -> CachedPriorityOrder {
        if let Some(cached) = &self.cached_order {
            return cached.clone();
        }
        let (jobs, boosted) = self.priority_order(now, usage, snapshot);
        let jobs: Vector<JobId> = jobs.into_iter().collect();
        let order = CachedPriorityOrder {
            computed_at: now,
            large_task_cpus: self.large_task_cpus(&jobs),
            jobs,
        };
        self.update_starvation_guard(now, boosted, &order.large_task_cpus, usage, snapshot);
        self.cached_order = Some(order.clone());
        order
    }

    /// See [`CachedPriorityOrder::large_task_cpus`].
    fn large_task_cpus(&self, waiting: &Vector<JobId>) -> BTreeMap<Priority, Vec<f64>> {
        let none = vec![0.0; self.machine_types.len()];
        let mut by_tier: BTreeMap<Priority, Vec<f64>> = BTreeMap::new();
        for job in waiting.iter().filter_map(|id| self.jobs.get(id)) {
            let largest = by_tier
                .entry(job.spec.priority)
                .or_insert_with(|| none.clone());
            if self.is_deprioritized(job) {
                continue;
            }
            for (t, largest) in self.machine_types.iter().zip(largest) {
                if allows_type(&job.spec, &t.name) && job.shape.fits_in(&Shape::of_type(t)) {
                    *largest = largest.max(job.smallest_cpus);
                }
            }
        }
        let mut above = none;
        for largest in by_tier.values_mut().rev() {
            for (largest, above) in largest.iter_mut().zip(&mut above) {
                *above = above.max(*largest);
                *largest = *above;
            }
        }
        by_tier
    }
}
