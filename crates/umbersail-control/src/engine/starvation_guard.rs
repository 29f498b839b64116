//! The starvation guard of the priority order: boosts jobs that have waited too long, and
//! holds slots for them.
//!
//! The guard records nothing in the state service. How long a job has waited, and whether
//! any of its tasks may have started, follow from the job's record and its progress record,
//! so a new leader reaches the same decisions. The guard follows the same safety rules as
//! any scheduling cycle: a slot is held or filled only on a machine that takes tasks, a
//! launch is sent only after it is recorded, and every machine that may run the task is
//! accounted for, so that it is known what runs there (rules 3 and 4 of `docs/design.md`). The
//! guard never stops a task.

use std::collections::{BTreeMap, BTreeSet};

use tracing::info;
use umbersail_policy::{
    Shape, UnstartedJob, Usage, boosted_jobs, remaining_quota, seconds_until_free,
};
use umbersail_wire::Priority;

use super::schedule::ClusterSnapshot;
use super::{Engine, Job, JobId, MachineId, Time};

/// Most new held slots per priority order. Choosing one examines every machine.
const MAX_NEW_HELD_SLOTS: usize = 4;

/// State that the starvation guard keeps between cycles.
#[derive(Default)]
pub(super) struct StarvationGuard {
    /// Held slots, oldest first. Their number is bounded by the share of each machine type
    /// that may be held.
    held_slots: Vec<HeldSlot>,
    /// Jobs that the newest priority order boosts, and whether all tasks of the job are
    /// boosted because the job is underserved. Bounded by the share of the cluster that
    /// boosted jobs may use.
    boosted: BTreeMap<JobId, bool>,
    /// Jobs that started because they were boosted, each with its first task, until that
    /// task ends. Bounded by the same share. A new leader starts with an empty map.
    starting: BTreeMap<JobId, u32>,
}

/// Capacity on a machine that is held for one task of a job until enough of it is free.
#[derive(Debug, Clone, PartialEq)]
struct HeldSlot {
    job: JobId,
    machine: MachineId,
    type_index: usize,
    cpus: f64,
    underserved: bool,
    /// When the hold expires. The capacity should have been free long before, so another
    /// slot is chosen.
    until: Time,
}

/// A job that goes first in its tier.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct BoostedJob {
    pub job: JobId,
    /// Too few jobs of its class, team or size met their deadlines recently. All tasks of
    /// the job are boosted, not only the first one.
    pub underserved: bool,
}

impl Job {
    /// Whether no task of the job has run or may be about to run.
    pub(super) fn is_unstarted(&self) -> bool {
        self.placements.is_empty() && self.recovery_pending.is_empty() && !self.has_started
    }

    /// Whether the job's tasks may be placed independently of each other.
    fn has_independent_placement(&self) -> bool {
        !self.spec.one_zone() && !self.spec.spread()
    }

    /// CPUs of all the job's tasks together.
    pub(super) fn total_cpus(&self) -> f64 {
        f64::from(self.spec.tasks) * self.shape.cpus
    }
}

impl Engine {
    /// Selects the waiting jobs that have waited so long without starting any task that
    /// they go first in their tier, each with one task.
    pub(super) fn jobs_to_boost(
        &self,
        now: Time,
        waiting: &[&JobId],
        snapshot: &ClusterSnapshot,
    ) -> Vec<BoostedJob> {
        let tuning = &self.cfg.tuning;
        let mut by_tier: BTreeMap<Priority, (Vec<&JobId>, Vec<UnstartedJob<_>>)> = BTreeMap::new();
        for id in waiting {
            let Some(job) = self.jobs.get(*id) else {
                continue;
            };
            let waited_s = now - job.submitted_at;
            if !job.is_unstarted()
                || waited_s < tuning.starvation_wait_s
                || self.is_deprioritized(job)
            {
                continue;
            }
            let unstarted = UnstartedJob {
                group: job.team,
                waited_s,
                cpus: job.shape.cpus,
            };
            let (ids, members) = by_tier.entry(job.spec.priority).or_default();
            ids.push(id);
            members.push(unstarted);
        }
        let cluster_cpus = snapshot.cpus_by_type.iter().flatten().sum::<f64>();
        let mut boosted = Vec::new();
        for (tier, (ids, unstarted)) in by_tier.into_iter().rev() {
            let teams: BTreeSet<_> = unstarted.iter().map(|u| u.group).collect();
            let limits: f64 = teams
                .into_iter()
                .map(|team| self.team_cpu_limit(team))
                .sum();
            let share_cpus = cluster_cpus.min(limits) * tuning.starvation_cpu_share;
            let busy_cpus = self.starting_cpus(tier);
            let of_tier = boosted_jobs(&unstarted, tuning.starvation_wait_s, share_cpus, busy_cpus);
            boosted.extend(of_tier.into_iter().map(|index| BoostedJob {
                job: ids[index].clone(),
                underserved: false,
            }));
        }
        boosted
    }

    /// CPUs of a tier's first tasks that run, or are about to run, because their jobs were
    /// boosted.
    fn starting_cpus(&self, tier: Priority) -> f64 {
        let cpus = |(id, task): (&JobId, &u32)| {
            let job = self.jobs.get(id)?;
            let counts = job.spec.priority == tier && job.placements.contains_key(task);
            counts.then_some(job.shape.cpus)
        };
        self.starvation_guard.starting.iter().filter_map(cpus).sum()
    }

    /// Records that the first task of a boosted job was placed.
    pub(super) fn record_starting(&mut self, id: &JobId) {
        let task = self
            .jobs
            .get(id)
            .and_then(|j| j.placements.keys().next().copied());
        if let Some(task) = task {
            self.starvation_guard.starting.insert(id.clone(), task);
        }
    }

    /// Takes over the boosted jobs of a new priority order and holds slots for those that
    /// have none. Capacity that frees up in small amounts is refilled by small tasks of
    /// upper tiers and never becomes large enough for a large task of a lower tier, so a
    /// held slot is closed to all other jobs. Boosted jobs of the lowest tier go first in
    /// that tier, but no slots are held for them.
    pub(super) fn update_starvation_guard(
        &mut self,
        now: Time,
        boosted: Vec<BoostedJob>,
        large_task_cpus: &BTreeMap<Priority, Vec<f64>>,
        usage: &[Usage],
        snapshot: &ClusterSnapshot,
    ) {
        let jobs = &self.jobs;
        self.starvation_guard.starting.retain(|id, task| {
            jobs.get(id)
                .is_some_and(|j| j.placements.contains_key(task))
        });
        self.starvation_guard.boosted.clear();
        for BoostedJob { job, underserved } in &boosted {
            *self
                .starvation_guard
                .boosted
                .entry(job.clone())
                .or_default() |= underserved;
        }
        let mut held_slots = std::mem::take(&mut self.starvation_guard.held_slots);
        held_slots.retain(|slot| self.is_held(now, slot));
        // A task that is less than twice as large as the smallest waiting task of its tier
        // and of each tier above fits into nearly any capacity that frees up. Going first is
        // enough for such a task, so no slot is held.
        let mut smallest_by_tier: BTreeMap<Priority, f64> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.is_schedulable()) {
            let smallest = smallest_by_tier
                .entry(job.spec.priority)
                .or_insert(f64::INFINITY);
            *smallest = smallest.min(job.shape.cpus);
        }
        let mut new_slots = 0;
        for BoostedJob {
            job: id,
            underserved,
        } in &boosted
        {
            if new_slots >= MAX_NEW_HELD_SLOTS {
                break;
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let held = held_slots.iter().filter(|slot| slot.job == *id).count() as u32;
            let max_slots = match () {
                () if *underserved && job.has_independent_placement() => job.startable(),
                () => u32::from(job.is_unstarted()),
            };
            let tier = job.spec.priority;
            let needs_no_slot = tier == Priority::Low
                || job.errors > 0
                || smallest_by_tier
                    .range(tier..)
                    .all(|(_, cpus)| *cpus > job.shape.cpus / 2.0);
            let quota = job.team.map_or(0, |t| {
                remaining_quota(&self.cfg.teams[t], &usage[t], &job.shape)
            });
            if needs_no_slot || held >= max_slots.min(quota) {
                continue;
            }
            let Some(large_task_cpus) = large_task_cpus.get(&tier) else {
                continue;
            };
            new_slots += 1;
            self.cycle_steps += self.machines.len() as u64;
            if let Some(slot) = self.earliest_slot(
                now,
                id,
                *underserved,
                large_task_cpus,
                &held_slots,
                snapshot,
            ) {
                if !underserved {
                    info!(
                        job = &**id,
                        machine = &*slot.machine,
                        waited_s = (now - job.submitted_at) as u64,
                        cpus = job.shape.cpus,
                        "holding a slot until the job starts"
                    );
                }
                held_slots.push(slot);
            }
        }
        self.starvation_guard.held_slots = held_slots;
    }

    /// Whether the slot is still to be held.
    fn is_held(&self, now: Time, slot: &HeldSlot) -> bool {
        let job = self.jobs.get(&slot.job).filter(|j| j.is_schedulable());
        let machine = self.machines.get(&slot.machine);
        now < slot.until
            && machine.is_some_and(|m| m.accepts_tasks(now, self.silence_limit_s()))
            && job.is_some_and(|j| {
                // A slot is kept even if the newest forecast of which jobs finish on time
                // briefly favours other jobs.
                let in_time = || self.slack_s(now, j).is_some_and(|s| s >= 0.0);
                j.is_unstarted() || (slot.underserved && j.has_independent_placement() && in_time())
            })
    }

    /// The slot that has room soonest for one more task of this job.
    fn earliest_slot(
        &self,
        now: Time,
        id: &JobId,
        underserved: bool,
        large_task_cpus: &[f64],
        held_slots: &[HeldSlot],
        snapshot: &ClusterSnapshot,
    ) -> Option<HeldSlot> {
        let job = self.jobs.get(id)?;
        let share = self.cfg.tuning.starvation_cpu_share;
        let mut held = vec![0.0; self.machine_types.len()];
        for slot in held_slots {
            held[slot.type_index] += slot.cpus;
        }
        let filter = self.machine_filter(job, large_task_cpus);
        let silence_limit_s = self.silence_limit_s();
        let mut best: Option<(f64, HeldSlot)> = None;
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let capacity = Shape::of_type(&self.machine_types[index]);
            let max_held_cpus = snapshot.cpus_by_type[index].iter().sum::<f64>() * share;
            if !job.shape.fits_in(&capacity)
                || !filter.matches(index, &machine.zone, machine.spot, machine.reservations)
                || !machine.accepts_tasks(now, silence_limit_s)
                || job.avoided_machines.contains(&machine.name)
                || (held[index] > 0.0 && held[index] + job.shape.cpus > max_held_cpus)
                || machine.claim.as_ref().is_some_and(|c| now < c.until)
            {
                continue;
            }
            let mut others = Shape::default();
            for slot in held_slots
                .iter()
                .filter(|slot| slot.machine == machine.name)
            {
                if let Some(other) = self.jobs.get(&slot.job) {
                    others.add(&other.shape, 1.0);
                }
            }
            if !job.shape.plus(&others, 1.0).fits_in(&capacity) {
                continue;
            }
            let ends = machine.tasks.iter().filter_map(|(other, task)| {
                let other = self.jobs.get(other)?;
                let since = other.placements.get(task).and_then(|p| p.running_since);
                let remaining_s = self.run_estimate(other).remaining_s(now, since);
                Some((remaining_s.max(1.0), other.shape.cpus))
            });
            let wanted = job.shape.cpus + others.cpus;
            let free = capacity.cpus - machine.allocated.cpus;
            let Some(wait_s) = seconds_until_free(free, wanted, ends.collect()) else {
                continue;
            };
            if best.as_ref().is_none_or(|(shortest, _)| wait_s < *shortest) {
                let slot = HeldSlot {
                    job: id.clone(),
                    machine: machine.name.clone(),
                    type_index: index,
                    cpus: job.shape.cpus,
                    underserved,
                    until: now + 2.0 * wait_s + self.cfg.lease_s,
                };
                best = Some((wait_s, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    /// Runs at the start of each slice: places a task of each job with a held slot if the
    /// held slot or another slot has room, and closes the remaining held slots to all jobs.
    /// A job covered by its team's guarantee does not have to wait
    /// for other teams, so no slot is closed while such a job waits. Returns the number of
    /// tasks placed.
    pub(super) fn fill_held_slots(
        &mut self,
        now: Time,
        large_task_cpus: &BTreeMap<Priority, Vec<f64>>,
        usage: &mut [Usage],
        snapshot: &mut ClusterSnapshot,
    ) -> u64 {
        let held_slots = std::mem::take(&mut self.starvation_guard.held_slots);
        if held_slots.is_empty() {
            return 0;
        }
        let guaranteed = self.cfg.teams.iter().any(|t| t.has_guarantee())
            && (self.jobs.values()).any(|j| j.is_schedulable() && self.is_guaranteed(j, usage));
        let mut remaining = Vec::new();
        let mut placed = 0;
        for slot in &held_slots {
            if !self.is_held(now, slot) {
                continue;
            }
            let Some(job) = self.jobs.get(&slot.job) else {
                continue;
            };
            let quota = job.team.map_or(0, |t| {
                remaining_quota(&self.cfg.teams[t], &usage[t], &job.shape)
            });
            let Some(large_task_cpus) = large_task_cpus
                .get(&job.spec.priority)
                .filter(|_| quota > 0)
            else {
                continue;
            };
            let filter = self.machine_filter(job, large_task_cpus);
            let others = |m: &MachineId| held_slots.iter().any(|slot| slot.machine == *m);
            let allowed = |m: &MachineId| {
                !job.avoided_machines.contains(m) && (*m == slot.machine || !others(m))
            };
            let found = snapshot.slots.fitting(&filter, &job.shape, allowed);
            let own = |index: &&usize| snapshot.slots.get(**index).machine == slot.machine;
            let Some(&index) = found.iter().find(own).or(found.first()) else {
                if !guaranteed {
                    snapshot.close(&slot.machine);
                }
                remaining.push(slot.clone());
                continue;
            };
            let machine = snapshot.slots.get(index).machine.clone();
            let is_first_task = job.is_unstarted();
            snapshot.slots.take(index, &job.shape, 1, job.image);
            self.place_task(now, &slot.job, &machine, usage);
            if is_first_task {
                self.record_starting(&slot.job);
            }
            placed += 1;
        }
        self.starvation_guard.held_slots = remaining;
        placed
    }

    /// Whether the starvation guard boosts this job for its first task only.
    pub(super) fn is_boosted_to_start(&self, id: &JobId, job: &Job) -> bool {
        job.is_unstarted() && self.starvation_guard.boosted.get(id) == Some(&false)
    }

    /// Counts jobs that can no longer meet their deadline. Each job counts once against its
    /// class and its team, whatever happens to it later. A new leader counts unfinished
    /// jobs again.
    pub(super) fn count_missed_deadlines(&mut self, now: Time) {
        let late: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.deadline_counted && !j.cancelled && j.pending() > 0)
            .filter(|(_, j)| self.slack_s(now, j).is_some_and(|s| s < 0.0))
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            self.record_deadline_outcome(&id, false);
        }
    }

    /// Records whether a job with a deadline met it.
    pub(super) fn record_deadline_outcome(&mut self, id: &JobId, in_time: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        // Jobs that may be preempted have no deadline by default, so they are not counted.
        if job.deadline_counted || job.spec.deadline_s.is_none() {
            return;
        }
        job.deadline_counted = true;
        let size = job.total_cpus();
        for name in service_history_keys(job) {
            self.service_history.record(&name, size, in_time);
        }
    }

    /// The size in CPUs from which jobs are underserved, by class and team.
    pub(super) fn underserved_min_sizes(&self) -> BTreeMap<String, f64> {
        let tuning = &self.cfg.tuning;
        let min_jobs = tuning.service_min_jobs as usize;
        let from = |name: &str| {
            self.service_history.underserved_min_size(
                name,
                tuning.underserved_share_below,
                min_jobs,
            )
        };
        let names = self.service_history.names();
        names
            .filter_map(|name| Some((name.to_owned(), from(name)?)))
            .collect()
    }

    /// Whether the job's class, size or team is underserved.
    pub(super) fn is_underserved(&self, job: &Job, from: &BTreeMap<String, f64>) -> bool {
        let size = job.total_cpus();
        !from.is_empty()
            && job.spec.deadline_s.is_some()
            && service_history_keys(job)
                .iter()
                .any(|name| from.get(name).is_some_and(|from| size >= *from))
    }
}

/// Keys under which a job is counted. The prefixes are needed because a class and a team
/// may have the same name.
fn service_history_keys(job: &Job) -> [String; 2] {
    [
        format!("class {}", job.spec.class),
        format!("team {}", job.spec.team),
    ]
}
