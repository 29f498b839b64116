//! Which waiting task goes where, and who is evicted for it.

use std::collections::{BTreeMap, BTreeSet};

use tracing::{debug, info};
use umbersail_policy::{
    Due, Host, MachineView, PlaceWeights, Running, Shape, TaskView, Usage, most_in_time,
    quota_room, rank_machines, select_victims, type_allowed,
};
use umbersail_wire::{MachineType, Priority, TaskState};

use super::{Engine, Job, Name, Placement, Stop, Time};

/// How often a blocked job may be looked at for eviction in one pass.
const EVICTIONS_PER_PASS: usize = 4;

/// Tier, guaranteed, can still start in time, how it stands to its deadline.
type Rank = (Priority, bool, bool, Standing);

/// Whether a job can end in time beside the others that wait; the later one
/// goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Late,
    /// Late, but while it still counts.
    Soon,
    InTime,
}

/// A waiting job in the order of placement.
struct Waiting<'a> {
    id: &'a Name,
    job: &'a Job,
    slack_s: Option<f64>,
    standing: Standing,
}

/// Jobs that compete for the same machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Pool {
    tier: Priority,
    /// Of all machine types, which ones take a task.
    types: Vec<bool>,
    spot: bool,
}

impl Engine {
    /// True if something changed that may let a task start.
    pub fn wants_schedule(&self) -> bool {
        self.schedule_wanted
    }

    /// Places waiting tasks; launches follow with the machines' next reports.
    pub fn schedule(&mut self, now: Time) {
        self.schedule_wanted = false;
        let usage = self.team_usage();
        let mut usage: Vec<Usage> = usage;
        let order = self.waiting_order(now, &usage);
        let reserved: BTreeMap<Priority, Vec<f64>> = order
            .iter()
            .filter_map(|id| self.jobs.get(id).map(|j| j.spec.priority))
            .collect::<BTreeSet<Priority>>()
            .into_iter()
            .map(|tier| (tier, self.reserved_types(&order, tier)))
            .collect();
        let mut blocked: Vec<Name> = Vec::new();
        for id in order {
            let Some(tier) = self.jobs.get(&id).map(|j| j.spec.priority) else {
                continue;
            };
            if self.place_job(now, &id, &mut usage, &reserved[&tier]) {
                blocked.push(id);
            }
        }
        let mut looked_at = 0;
        for id in blocked {
            if looked_at >= EVICTIONS_PER_PASS {
                break;
            }
            if self.evict_for(now, &id, &usage) {
                looked_at += 1;
            }
        }
    }

    /// What each team's tasks use. Unaccounted ones count as present (rule 4):
    /// tasks in limbo by their own size, and for limited teams every machine
    /// that may hold tasks of jobs already over by its whole size.
    fn team_usage(&self) -> Vec<Usage> {
        let mut usage = vec![Usage::default(); self.cfg.teams.len()];
        for job in self.jobs.values() {
            if let Some(team) = job.team {
                usage[team].add(&job.shape, job.occupied() as f64);
            }
        }
        let mut unaccounted = Shape::default();
        for machine in self.machines.values() {
            if (machine.inherited || machine.strangers)
                && let Some(index) = machine.type_index
            {
                unaccounted.add(&Shape::of_type(&self.types[index]), 1.0);
            }
        }
        for (team, used) in self.cfg.teams.iter().zip(&mut usage) {
            if team.is_limited() {
                used.add(&unaccounted, 1.0);
            }
        }
        usage
    }

    /// Estimated seconds that a task of this job runs.
    pub(super) fn run_s(&self, job: &Job) -> f64 {
        self.learner.run_s(&job.spec.class, job.spec.estimate_s)
    }

    /// Seconds until the job must start to meet its deadline, with the fetch of
    /// its image: whoever is late for certain shall not go before one who
    /// need not be.
    pub(super) fn slack_s(&self, now: Time, job: &Job) -> Option<f64> {
        let deadline = job.spec.deadline_s?;
        Some(job.submitted + deadline - now - self.run_s(job) - self.fetch_s(job))
    }

    /// Seconds that the fetch of the job's image takes at the least.
    fn fetch_s(&self, job: &Job) -> f64 {
        let fitting = |t: &&MachineType| job.shape.fits_in(&Shape::of_type(t));
        let rates = self.types.iter().filter(fitting).map(|t| t.fetch_gb_per_s);
        job.spec.image_gb / rates.fold(1e-3, f64::max)
    }

    /// Whether a job's team stays within its guarantee with this job.
    fn is_guaranteed(&self, job: &Job, usage: &[Usage]) -> bool {
        let Some(index) = job.team else {
            return false;
        };
        let team = &self.cfg.teams[index];
        team.has_guarantee() && team.guarantees(&usage[index].plus(&job.shape, 1.0))
    }

    /// Within how many seconds the job should start, if it is soon.
    fn start_aim(&self, job: &Job, guaranteed: bool) -> Option<f64> {
        let own = self.cfg.start_aims.get(&job.spec.class).copied();
        if guaranteed {
            own.or(self.cfg.guarantee_aim)
        } else {
            own
        }
    }

    /// Whether the job can still meet its aim on starting. In an overload
    /// these go first: by deadline alone every job would come just too late.
    fn is_fresh(&self, now: Time, job: &Job, guaranteed: bool) -> bool {
        self.start_aim(job, guaranteed)
            .is_some_and(|within| now - job.submitted < within)
    }

    /// Whether the job does better to wait for a place where its image is: it
    /// would start too late after a fetch, and in time if such a place falls
    /// free within the time that is left.
    fn awaits_image(&self, now: Time, job: &Job, usage: &[Usage], silent_after: f64) -> bool {
        let tuning = &self.cfg.tuning;
        let Some(within) = self.start_aim(job, self.is_guaranteed(job, usage)) else {
            return false;
        };
        let left = within - (now - job.submitted);
        if left < tuning.image_wait_s || self.fetch_s(job) <= left {
            return false;
        }
        let places = self.machines.values().filter(|m| {
            m.has_image(&job.spec.image)
                && m.takes_tasks(now, silent_after)
                && m.type_index
                    .is_some_and(|i| job.shape.fits_in(&Shape::of_type(&self.types[i])))
        });
        let least = (tuning.image_places * f64::from(job.pending())).ceil() as usize;
        places.take(least).count() >= least
    }

    /// Most urgent first: tier, then what a guarantee covers, then what can
    /// still start in time, then what can end in time or soon after (see
    /// `standings`), by the time it must start.
    fn waiting_order(&self, now: Time, usage: &[Usage]) -> Vec<Name> {
        let waiting: Vec<Waiting> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.waits())
            .map(|(id, job)| Waiting {
                id,
                job,
                slack_s: self.slack_s(now, job),
                standing: Standing::InTime,
            })
            .collect();
        let mut order: Vec<(Rank, f64, &Name)> = self
            .standings(waiting)
            .into_iter()
            .map(|w| {
                let guaranteed = self.is_guaranteed(w.job, usage);
                let rank = (
                    w.job.spec.priority,
                    guaranteed,
                    self.is_fresh(now, w.job, guaranteed),
                    w.standing,
                );
                let slack = w.slack_s.unwrap_or(1e9 - (now - w.job.submitted));
                (rank, slack, w.id)
            })
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        order.into_iter().map(|(.., id)| id.clone()).collect()
    }

    /// Of the jobs that want the same machines, as many as can end by their
    /// deadlines; of the rest, as many as can end while that still counts.
    fn standings<'a>(&self, mut waiting: Vec<Waiting<'a>>) -> Vec<Waiting<'a>> {
        let mut pools: BTreeMap<Pool, Vec<usize>> = BTreeMap::new();
        for (index, w) in waiting.iter().enumerate() {
            if w.slack_s.is_some() {
                pools.entry(self.pool(w.job)).or_default().push(index);
            }
        }
        for (pool, members) in pools {
            let cpus = self.pool_cpus(&pool);
            if cpus <= 0.0 {
                continue;
            }
            let due = |index: &usize, times: f64| {
                let Waiting { job, slack_s, .. } = &waiting[*index];
                let later = (times - 1.0) * job.spec.deadline_s.unwrap_or(0.0);
                Due {
                    slack_s: slack_s.unwrap_or(0.0) + later,
                    work_s: f64::from(job.pending()) * job.shape.cpus * self.run_s(job) / cpus,
                }
            };
            let first: Vec<Due> = members.iter().map(|i| due(i, 1.0)).collect();
            let (in_time, busy_s) = most_in_time(&first, 0.0);
            let late: Vec<usize> = members
                .iter()
                .zip(&in_time)
                .filter_map(|(i, kept)| (!kept).then_some(*i))
                .collect();
            let second: Vec<Due> = late
                .iter()
                .map(|i| {
                    let class = &waiting[*i].job.spec.class;
                    due(i, self.cfg.late_aims.get(class).copied().unwrap_or(1.0))
                })
                .collect();
            let (soon, _) = most_in_time(&second, busy_s);
            for (index, soon) in late.into_iter().zip(soon) {
                waiting[index].standing = if soon { Standing::Soon } else { Standing::Late };
            }
        }
        waiting
    }

    /// The machines that a job competes for, and with which tier.
    fn pool(&self, job: &Job) -> Pool {
        let fits = |t: &MachineType| {
            job.shape.fits_in(&Shape::of_type(t))
                && job.spec.types.as_ref().is_none_or(|n| n.contains(&t.name))
        };
        Pool {
            tier: job.spec.priority,
            types: self.types.iter().map(fits).collect(),
            spot: job.spec.spot(),
        }
    }

    /// CPUs of a pool's machines, up or coming, less what upper tiers use that
    /// does not go elsewhere.
    fn pool_cpus(&self, pool: &Pool) -> f64 {
        let (mut inside, mut outside) = (0.0, 0.0);
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            if machine.delete_reason.is_some() || machine.notice_until.is_some() {
                continue;
            }
            let cpus = self.types[index].cpus;
            if pool.types[index] && (pool.spot || !machine.spot) {
                inside += cpus;
            } else {
                outside += cpus;
            }
        }
        let above: f64 = self
            .jobs
            .values()
            .filter(|j| j.spec.priority > pool.tier)
            .map(|j| j.occupied() as f64 * j.shape.cpus)
            .sum();
        (inside - (above - outside).max(0.0)) * self.cfg.tuning.pool_share
    }

    /// For each type the largest "smallest type" among waiting jobs of this
    /// tier or above that it takes: smaller tasks keep off. A lower tier's
    /// large task reserves nothing against an upper tier.
    fn reserved_types(&self, waiting: &[Name], tier: Priority) -> Vec<f64> {
        self.types
            .iter()
            .map(|t| {
                let room = Shape::of_type(t);
                waiting
                    .iter()
                    .filter_map(|id| self.jobs.get(id))
                    .filter(|j| {
                        j.spec.priority >= tier
                            && j.shape.fits_in(&room)
                            && j.spec
                                .types
                                .as_ref()
                                .is_none_or(|names| names.contains(&t.name))
                    })
                    .map(|j| j.smallest_cpus)
                    .fold(0.0, f64::max)
            })
            .collect()
    }

    /// The zone that the job's present tasks fix, and how many each zone has.
    /// Tasks in limbo count wherever they may be (rule 4).
    fn zones_of(&self, job: &Job) -> (Option<String>, BTreeMap<String, u32>) {
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        for placement in job.live.values() {
            if let Some(machine) = self.machines.get(&placement.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        for host in &job.inherited {
            if let Some(machine) = self.machines.get(host) {
                *zones.entry(machine.zone.clone()).or_default() += job.limbo.len() as u32;
            }
        }
        let only = job
            .spec
            .one_zone()
            .then(|| zones.keys().next().cloned())
            .flatten();
        (only, zones)
    }

    /// Places what fits of one job; true if tasks are left that a machine
    /// might take if there were room.
    fn place_job(&mut self, now: Time, id: &Name, usage: &mut [Usage], reserved: &[f64]) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut quota = match job.team {
            Some(team) => quota_room(&self.cfg.teams[team], &usage[team], &job.shape),
            None => 0,
        };
        if quota == 0 {
            self.set_blocked(id, "the team's limit");
            return false;
        }
        let reserved_types: Vec<String> = self
            .types
            .iter()
            .zip(reserved)
            .filter(|(_, most)| **most > job.smallest_cpus + 1e-6)
            .map(|(t, _)| t.name.clone())
            .collect();
        let (mut only_zone, mut zones) = self.zones_of(job);
        let silent_after = self.silent_after();
        let mut views: Vec<MachineView<'_, Name>> = Vec::new();
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let machine_type = &self.types[index];
            // Most machines of a busy fleet are full: what follows is for the
            // few that are not.
            let free = Shape::of_type(machine_type).plus(&machine.used, -1.0);
            if !job.shape.fits_in(&free)
                || !machine.takes_tasks(now, silent_after)
                || !type_allowed(&job.spec, &machine_type.name, &machine.zone, machine.spot)
                || job.error_machines.contains(&machine.name)
            {
                continue;
            }
            let has_image = machine.has_image(&job.spec.image);
            views.push(MachineView {
                machine: machine.name.clone(),
                machine_type,
                zone: &machine.zone,
                spot: machine.spot,
                free,
                has_image,
                report_in_s: (self.cfg.report_s - machine.silent_for(now)).max(0.0),
                fetching_image: !has_image
                    && machine.tasks.iter().any(|(other, _)| {
                        self.jobs
                            .get(other)
                            .is_some_and(|o| o.spec.image == job.spec.image)
                    }),
            });
        }
        // Looked at only where it decides anything: it goes over all machines.
        let awaits_image =
            views.iter().any(|v| !v.has_image) && self.awaits_image(now, job, usage, silent_after);
        if awaits_image {
            views.retain(|v| v.has_image);
        }
        if only_zone.is_none() && job.spec.one_zone() {
            // The zone with most room takes them all.
            let mut room: BTreeMap<&str, u32> = BTreeMap::new();
            for view in &views {
                if type_allowed(&job.spec, &view.machine_type.name, view.zone, view.spot) {
                    *room.entry(view.zone).or_default() += job.shape.slots_in(&view.free);
                }
            }
            only_zone = room
                .into_iter()
                .max_by_key(|(_, slots)| *slots)
                .map(|(zone, _)| zone.to_owned());
        }
        let task = TaskView {
            spec: &job.spec,
            shape: job.shape,
            smallest_cpus: job.smallest_cpus,
            only_zone: only_zone.as_deref(),
            reserved_types: &reserved_types,
        };
        let ranked = rank_machines(
            &task,
            &views,
            PlaceWeights {
                image: self.cfg.tuning.image_weight_s,
                oversize: self.cfg.tuning.oversize_cost,
                ordinary: self.cfg.tuning.ordinary_cost,
            },
        );
        let zone_limit = if job.spec.spread() {
            job.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        // Where the record could not name all machines, the job keeps to some.
        let most_hosts = self.most_hosts(job.spec.tasks);
        let hosts = (most_hosts < self.machines.len()).then(|| job.hosts());
        let mut hosts_left = hosts
            .as_ref()
            .map_or(usize::MAX, |hosts| most_hosts.saturating_sub(hosts.len()));
        let mut wanted = job.pending();
        let mut chosen: Vec<(Name, u32)> = Vec::new();
        for (machine, slots) in ranked {
            let Some(zone) = self.machines.get(&machine).map(|m| m.zone.clone()) else {
                continue;
            };
            let in_zone = zones.entry(zone).or_default();
            let n = slots
                .min(wanted)
                .min(quota)
                .min(zone_limit.saturating_sub(*in_zone));
            if n == 0 {
                continue;
            }
            if hosts
                .as_ref()
                .is_some_and(|hosts| !hosts.contains(&machine))
            {
                if hosts_left == 0 {
                    continue;
                }
                hosts_left -= 1;
            }
            *in_zone += n;
            wanted -= n;
            quota -= n;
            chosen.push((machine, n));
        }
        for (machine, n) in chosen {
            for _ in 0..n {
                self.place(now, id, &machine, usage);
            }
        }
        if wanted > 0 {
            self.set_blocked(
                id,
                if quota == 0 {
                    "the team's limit"
                } else if awaits_image {
                    "a place with its image is awaited"
                } else {
                    "no machine has room"
                },
            );
        }
        self.awaiting |= awaits_image && wanted > 0;
        wanted > 0 && quota > 0 && !awaits_image
    }

    fn set_blocked(&mut self, id: &Name, reason: &'static str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.blocked = reason;
        }
    }

    fn place(&mut self, now: Time, id: &Name, machine: &Name, usage: &mut [Usage]) {
        // Rule 5: the token differs for every holder and the counter for every
        // attempt, so no attempt number is ever given twice.
        self.attempts += 1;
        let attempt = (self.revision() << 24) + self.attempts;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.take_pending() else {
            return;
        };
        job.live.insert(
            task,
            Placement {
                machine: machine.clone(),
                attempt,
                ordered: None,
                seen: None,
                running_since: None,
                planned_at: now,
                stop: None,
            },
        );
        if !job.is_recorded(task, machine) {
            job.touch(now);
        }
        if let Some(team) = job.team {
            usage[team].add(&job.shape, 1.0);
        }
        let shape = job.shape;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.hold(id, task, &shape);
            self.untold.insert(machine.name.clone());
        }
        debug!(job = &**id, task, machine = &**machine, attempt, "placed");
    }

    /// The design's ordinary path: an upper-tier job that neither fits nor can
    /// rent room in time evicts, of the sets priced at or below the median,
    /// the one with the fewest jobs. True if the search was worth its time.
    fn evict_for(&mut self, now: Time, id: &Name, usage: &[Usage]) -> bool {
        let tuning = self.cfg.tuning.clone();
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        // A job that fails everywhere would keep evicting for ever.
        if job.errors >= tuning.evict_errors_limit as u32 || now < job.evict_hold_until {
            return false;
        }
        let reclaim = self.is_guaranteed(job, usage);
        if !reclaim && job.spec.priority == Priority::Low {
            return false;
        }
        if self.can_rent_in_time(now, job) && !reclaim {
            return false;
        }
        let silent_after = self.silent_after();
        let mut hosts: Vec<Host<Name, Name>> = Vec::new();
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let machine_type = &self.types[index];
            if !machine.takes_tasks(now, silent_after)
                || !type_allowed(&job.spec, &machine_type.name, &machine.zone, machine.spot)
                || !job.shape.fits_in(&Shape::of_type(machine_type))
            {
                continue;
            }
            let running: Vec<Running<Name>> = machine
                .tasks
                .iter()
                .filter_map(|(other, task)| {
                    let victim = self.jobs.get(other)?;
                    let placement = victim.live.get(task)?;
                    self.is_preemptable(job, victim, placement, reclaim, usage)
                        .then(|| Running {
                            job: other.clone(),
                            task: *task,
                            shape: victim.shape,
                            price: self.price(now, victim, placement),
                        })
                })
                .collect();
            if !running.is_empty() {
                hosts.push(Host {
                    machine: machine.name.clone(),
                    free: Shape::of_type(machine_type).plus(&machine.used, -1.0),
                    running,
                });
            }
        }
        if hosts.is_empty() {
            return false;
        }
        let Some(choice) = select_victims(&job.shape, &hosts, tuning.evict_sets as usize) else {
            return true;
        };
        info!(
            job = &**id,
            machine = &*choice.machine,
            victims = ?choice.tasks.iter().map(|(j, t)| format!("{j}/{t}")).collect::<Vec<_>>(),
            price_s = choice.price,
            median_s = choice.median,
            sets = choice.sets,
            jobs = choice.jobs,
            reason = if reclaim { "the team's guarantee" } else { "upper tier, no room and none to rent in time" },
            "evicts"
        );
        for (victim, task) in &choice.tasks {
            if let Some(victim) = self.jobs.get_mut(victim) {
                victim.evictions += 1;
                victim.touch(now);
                let (evictions, save_s, saves) = (
                    victim.evictions,
                    victim.spec.save_s(),
                    victim.spec.checkpoint_s() > 0.0,
                );
                if let Some(placement) = victim.live.get_mut(task) {
                    placement.stop = Some(Stop {
                        grace_s: if saves { save_s + 1.0 } else { 0.0 },
                        evictions,
                    });
                }
            }
        }
        let hold = 2.0 * self.cfg.report_s + 1.0;
        if let Some(job) = self.jobs.get_mut(id) {
            job.evict_hold_until = now + hold;
        }
        true
    }

    fn is_preemptable(
        &self,
        winner: &Job,
        victim: &Job,
        placement: &Placement,
        reclaim: bool,
        usage: &[Usage],
    ) -> bool {
        let tuning = &self.cfg.tuning;
        if placement.stop.is_some()
            || placement.seen == Some(TaskState::Saving)
            || victim.is_service()
            || victim.cancelled
            || victim.evictions >= tuning.evict_loser_limit as u32
        {
            return false;
        }
        // Never below the victim team's guarantee.
        let beyond = victim.team.is_none_or(|team| {
            let limits = &self.cfg.teams[team];
            !limits.has_guarantee() || usage[team].cpus - victim.shape.cpus >= limits.cpus - 1e-6
        });
        if !beyond {
            return false;
        }
        let has_deadline = victim.spec.deadline_s.is_some();
        if reclaim && victim.team != winner.team {
            return !has_deadline || tuning.reclaim_deadline_work > 0.0;
        }
        victim.spec.priority < winner.spec.priority
            && (!has_deadline || tuning.evict_deadline_work > 0.0)
    }

    /// Work lost since the start or the last checkpoint, in seconds.
    fn price(&self, now: Time, victim: &Job, placement: &Placement) -> f64 {
        let ran = placement.running_since.map_or(0.0, |since| now - since);
        let checkpoint = victim.spec.checkpoint_s();
        let lost = if checkpoint > 0.0 {
            // It saves when told to stop: what is lost is the time to save.
            (ran % checkpoint).min(victim.spec.save_s())
        } else {
            ran
        };
        lost.max(self.cfg.tuning.min_work_price_s)
    }

    /// Whether a rented machine can be up before the job must start.
    fn can_rent_in_time(&self, now: Time, job: &Job) -> bool {
        let Some(slack) = self.slack_s(now, job) else {
            return true;
        };
        self.types.iter().enumerate().any(|(index, t)| {
            job.shape.fits_in(&Shape::of_type(t))
                && t.boot_s <= slack
                && t.zones.iter().any(|zone| {
                    [true, false].into_iter().any(|spot| {
                        type_allowed(&job.spec, &t.name, zone, spot)
                            && !self.is_refused(now, index, zone, spot)
                    })
                })
        })
    }

    /// Machines about to be taken back: what can't finish there moves now.
    pub(super) fn handle_notices(&mut self, now: Time) {
        let mut stops: Vec<(Name, u32, f64)> = Vec::new();
        let silent_after = self.silent_after();
        let mut unplan: Vec<(Name, u32)> = Vec::new();
        for machine in self.machines.values_mut() {
            let leaving = machine.notice_until;
            let silent = machine.silent_for(now) >= silent_after;
            if leaving.is_none() && !silent && machine.delete_reason.is_none() {
                continue;
            }
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(placement) = job.live.get(task) else {
                    continue;
                };
                if placement.ordered.is_none() && placement.seen.is_none() {
                    // Told to nobody: it can wait elsewhere at once.
                    unplan.push((id.clone(), *task));
                    continue;
                }
                let Some(until) = leaving else {
                    continue;
                };
                if machine.notice_handled || placement.stop.is_some() {
                    continue;
                }
                let ran = placement.running_since.map_or(0.0, |since| now - since);
                let run_s = self.learner.run_s(&job.spec.class, job.spec.estimate_s);
                if job.is_service() || ran + (until - now) < run_s {
                    let grace = if job.spec.checkpoint_s() > 0.0 {
                        job.spec.save_s() + 1.0
                    } else {
                        0.0
                    };
                    stops.push((id.clone(), *task, grace));
                }
            }
            if leaving.is_some() {
                machine.notice_handled = true;
            }
        }
        for (id, task) in unplan {
            self.return_task(&id, task);
        }
        for (id, task, grace_s) in stops {
            if let Some(placement) = self.jobs.get_mut(&id).and_then(|j| j.live.get_mut(&task)) {
                placement.stop = Some(Stop {
                    grace_s,
                    evictions: 0,
                });
            }
        }
    }
}
