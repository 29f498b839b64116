//! Which waiting job goes first.

use std::collections::{BTreeMap, BTreeSet};

use imbl::Vector;
use umbersail_policy::{DeadlineDemand, Shape, Usage, allows_type, max_on_time};
use umbersail_wire::{MachineType, Priority};

use super::schedule::ClusterSnapshot;
use super::starvation_guard::BoostedJob;
use super::{Engine, Job, JobId, Time};

/// The order of a cycle, which the next cycles take as it is for a moment.
#[derive(Debug, Clone)]
pub(super) struct CachedPriorityOrder {
    pub computed_at: Time,
    pub jobs: Vector<JobId>,
    /// By tier and type of machine, the largest "smallest type" among the waiting
    /// jobs of this tier or above that it takes: smaller tasks keep off. A lower
    /// tier's large task reserves nothing against an upper tier.
    pub large_task_cpus: BTreeMap<Priority, Vec<f64>>,
}

/// Position in the priority order, from the most to the least significant field; the
/// greater position goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Not retried after repeated failures: those go last.
    not_failing: bool,
    tier: Priority,
    /// Within its team's guarantee.
    guaranteed: bool,
    /// Put first in its tier by the starvation guard.
    boosted: bool,
    /// Can still meet its objective on starting.
    can_start_in_time: bool,
    forecast: DeadlineForecast,
}

/// Whether a job can end in time beside the others that wait; the later one
/// goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum DeadlineForecast {
    Missed,
    /// Late, but while it still counts.
    WithinGrace,
    OnTime,
}

/// A waiting job in the order of placement.
struct WaitingJob<'a> {
    id: &'a JobId,
    job: &'a Job,
    slack_s: Option<f64>,
    forecast: DeadlineForecast,
    /// Its class, team or size has been served too little.
    underserved: bool,
}

/// Jobs that compete for the same machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePool {
    tier: Priority,
    /// Of all machine types, which ones take a task.
    types: Vec<bool>,
    spot: bool,
}

impl Engine {
    /// Estimated seconds that a task of this job runs.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        self.learner
            .expected_run_s(&job.spec.class, job.spec.estimate_s)
    }

    /// Seconds until the job must start to meet its deadline, with the fetch of
    /// its image: whoever is late for certain shall not go before one who
    /// need not be.
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

    /// Seconds that the fetch of the job's image takes at the least.
    pub(super) fn image_fetch_s(&self, job: &Job) -> f64 {
        let fitting = |t: &&MachineType| job.shape.fits_in(&Shape::of_type(t));
        let rates = self
            .machine_types
            .iter()
            .filter(fitting)
            .map(|t| t.fetch_gb_per_s);
        job.spec.image_gb / rates.fold(1e-3, f64::max)
    }

    /// Whether a job's team stays within its guarantee with this job.
    pub(super) fn is_guaranteed(&self, job: &Job, usage: &[Usage]) -> bool {
        let Some(index) = job.team else {
            return false;
        };
        let team = &self.cfg.teams[index];
        team.has_guarantee() && team.is_within_guarantee(&usage[index].plus(&job.shape, 1.0))
    }

    /// Within how many seconds the job should start, if it is soon.
    pub(super) fn start_objective_s(&self, job: &Job, guaranteed: bool) -> Option<f64> {
        let own = self.cfg.start_objectives.get(&job.spec.class).copied();
        if guaranteed {
            own.or(self.cfg.guarantee_start_objective)
        } else {
            own
        }
    }

    /// Whether the job can still meet its aim on starting. In an overload
    /// these go first: by deadline alone every job would come just too late.
    pub(super) fn can_meet_start_objective(&self, now: Time, job: &Job, guaranteed: bool) -> bool {
        self.start_objective_s(job, guaranteed)
            .is_some_and(|within| now - job.submitted_at < within)
    }

    /// Most urgent first: tier, then what a guarantee covers, then what the starvation guard
    /// boosts, then what can still start in time, then what can end in time or soon
    /// after (see `forecast_deadlines`), by the time it must start. What fails again and again
    /// is last. Who is boosted to begin comes a second time, in its own place; and
    /// who is boosted.
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
        let begins: BTreeSet<JobId> = boosted.iter().map(|l| l.job.clone()).collect();
        // Below a tier that is underserved itself nobody is boosted for a share.
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
            if begins.contains(w.id) {
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

    /// Of the jobs that want the same machines, as many as can end by their
    /// deadlines; of the rest, as many as can end while that still counts.
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
        // What runs, by tier and by team: looked at once and not for each pool.
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
            let due = |index: &usize, times: f64| {
                let WaitingJob {
                    job,
                    slack_s,
                    underserved,
                    ..
                } = &waiting[*index];
                let later = (times - 1.0) * job.spec.deadline_s.unwrap_or(0.0);
                DeadlineDemand {
                    slack_s: slack_s.unwrap_or(0.0) + later,
                    work_s: f64::from(job.pending()) * job.shape.cpus * self.expected_run_s(job)
                        / cpus,
                    underserved: *underserved,
                }
            };
            let first: Vec<DeadlineDemand> = members.iter().map(|i| due(i, 1.0)).collect();
            let (in_time, busy_s) = max_on_time(&first, 0.0, underserved_share);
            let late: Vec<usize> = members
                .iter()
                .zip(&in_time)
                .filter_map(|(i, kept)| (!kept).then_some(*i))
                .collect();
            let second: Vec<DeadlineDemand> = late
                .iter()
                .map(|i| {
                    let class = &waiting[*i].job.spec.class;
                    due(
                        i,
                        self.cfg.deadline_factors.get(class).copied().unwrap_or(1.0),
                    )
                })
                .collect();
            let (soon, _) = max_on_time(&second, busy_s, underserved_share);
            for (index, soon) in late.into_iter().zip(soon) {
                waiting[index].forecast = if soon {
                    DeadlineForecast::WithinGrace
                } else {
                    DeadlineForecast::Missed
                };
            }
        }
        waiting
    }

    /// The machines that a job competes for, and with which tier.
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

    /// CPUs that a team may use at once; infinite without a limit.
    pub(super) fn team_cpu_limit(&self, team: Option<usize>) -> f64 {
        let limit = team.map_or(0.0, |t| self.cfg.teams[t].max_cpus);
        match limit > 0.0 {
            true => limit,
            false => f64::INFINITY,
        }
    }

    /// CPUs that the limits of these teams leave to a tier, less what their upper tiers
    /// use; infinite if one of them has no limit.
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

    /// CPUs of a pool's machines, up or coming, less what upper tiers use that
    /// does not go elsewhere; where somebody is underserved no less than what may be
    /// kept for those.
    fn pool_cpus(
        &self,
        pool: &MachinePool,
        snapshot: &ClusterSnapshot,
        occupied: &BTreeMap<Priority, f64>,
        underserved: bool,
    ) -> f64 {
        let (mut inside, mut outside) = (0.0, 0.0);
        for (&takes, &[ordinary, spot]) in pool.types.iter().zip(&snapshot.cpus_by_type) {
            for (cpus, is_spot) in [(ordinary, false), (spot, true)] {
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
        let least = if underserved {
            inside * self.cfg.tuning.starvation_cpu_share
        } else {
            f64::NEG_INFINITY
        };
        (inside - (above - outside).max(0.0)).max(least) * self.cfg.tuning.usable_cpu_share
    }

    /// Whether the order made last serves again: it was made a moment ago and no
    /// job has begun to wait since. What moves in it by time alone moves slowly.
    pub(super) fn is_cached_order_valid(&self, now: Time) -> bool {
        let moment = 0.0..self.cfg.tuning.order_reuse_s;
        let kept = self.cached_order.as_ref();
        kept.is_some_and(|kept| moment.contains(&(now - kept.computed_at)))
    }

    /// The order of a cycle with what it reserves.
    pub(super) fn cycle_order(
        &mut self,
        now: Time,
        usage: &[Usage],
        snapshot: &ClusterSnapshot,
    ) -> CachedPriorityOrder {
        if let Some(kept) = &self.cached_order {
            return kept.clone();
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

    /// See [`CachedPriorityOrder::reserved`].
    fn large_task_cpus(&self, waiting: &Vector<JobId>) -> BTreeMap<Priority, Vec<f64>> {
        let none = vec![0.0; self.machine_types.len()];
        let mut by_tier: BTreeMap<Priority, Vec<f64>> = BTreeMap::new();
        for job in waiting.iter().filter_map(|id| self.jobs.get(id)) {
            let most = by_tier
                .entry(job.spec.priority)
                .or_insert_with(|| none.clone());
            if self.is_deprioritized(job) {
                continue;
            }
            for (t, most) in self.machine_types.iter().zip(most) {
                if allows_type(&job.spec, &t.name) && job.shape.fits_in(&Shape::of_type(t)) {
                    *most = most.max(job.smallest_cpus);
                }
            }
        }
        let mut above = none;
        for most in by_tier.values_mut().rev() {
            for (most, above) in most.iter_mut().zip(&mut above) {
                *above = above.max(*most);
                *most = *above;
            }
        }
        by_tier
    }
}
