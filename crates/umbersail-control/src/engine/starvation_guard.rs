//! The starvation guard of the priority order: whom it boosts, and the slots held for them.
//!
//! Nothing of it is recorded. Since when a job waits, and whether anything of it may
//! have begun, follow from its own record and that of its progress, so a successor
//! finds the same debt. The starvation guard plans as any cycle does: no place is held or taken
//! on a machine that does not take tasks, a launch is told only once its record
//! stands, and every machine that could hold the task is accounted for (rules 3 and
//! 4). It stops nobody.

use std::collections::{BTreeMap, BTreeSet};

use tracing::info;
use umbersail_policy::{
    Shape, UnstartedJob, Usage, boosted_jobs, remaining_quota, seconds_until_free,
};
use umbersail_wire::Priority;

use super::schedule::ClusterSnapshot;
use super::{Engine, Job, JobId, MachineId, Time};

/// Slots that one order may begin to keep: each looks at every machine.
const MAX_NEW_HELD_SLOTS: usize = 4;

/// What the starvation guard holds from one cycle to the next.
#[derive(Default)]
pub(super) struct StarvationGuard {
    /// Held slots, in the order in which they were given; bounded by the share of
    /// each type that may be held.
    held_slots: Vec<HeldSlot>,
    /// Whom it boosts by the newest order, and whether it is underserved in full; bounded by
    /// the share of the fleet that those take.
    boosted: BTreeMap<JobId, bool>,
    /// Jobs that began by being boosted, with the task that made them begin, until
    /// that task ends; bounded by the same share. A successor starts with none.
    starting: BTreeMap<JobId, u32>,
}

/// Room on a machine that falls free for one task of a job.
#[derive(Debug, Clone, PartialEq)]
struct HeldSlot {
    job: JobId,
    machine: MachineId,
    type_index: usize,
    cpus: f64,
    underserved: bool,
    /// Then the room should have been free for long: another is chosen.
    until: Time,
}

/// A job that goes first in its tier.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct BoostedJob {
    pub job: JobId,
    /// Its class, team or size is served too little: all its tasks go first, not
    /// only the one with which it begins.
    pub underserved: bool,
}

impl Job {
    /// Nothing of it has run, and nothing is on its way to.
    pub(super) fn is_unstarted(&self) -> bool {
        self.placements.is_empty() && self.recovery_pending.is_empty() && !self.has_started
    }

    /// Where one task is says nothing on where the others may be.
    fn has_independent_placement(&self) -> bool {
        !self.spec.one_zone() && !self.spec.spread()
    }

    /// Its tasks times the CPUs of one.
    pub(super) fn total_cpus(&self) -> f64 {
        f64::from(self.spec.tasks) * self.shape.cpus
    }
}

impl Engine {
    /// Of the jobs that wait, those of which nothing has begun for so long that they
    /// go first in their tier, each with one task.
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
        let fleet_cpus = snapshot.cpus_by_type.iter().flatten().sum::<f64>();
        let mut out = Vec::new();
        for (tier, (ids, unstarted)) in by_tier.into_iter().rev() {
            let teams: BTreeSet<_> = unstarted.iter().map(|u| u.group).collect();
            let limits: f64 = teams
                .into_iter()
                .map(|team| self.team_cpu_limit(team))
                .sum();
            let share_cpus = fleet_cpus.min(limits) * tuning.starvation_cpu_share;
            let busy_cpus = self.starting_cpus(tier);
            let of_tier = boosted_jobs(&unstarted, tuning.starvation_wait_s, share_cpus, busy_cpus);
            out.extend(of_tier.into_iter().map(|index| BoostedJob {
                job: ids[index].clone(),
                underserved: false,
            }));
        }
        out
    }

    /// CPUs of a tier's tasks that run, or are about to, because their jobs were
    /// boosted to begin.
    fn starting_cpus(&self, tier: Priority) -> f64 {
        let cpus = |(id, task): (&JobId, &u32)| {
            let job = self.jobs.get(id)?;
            let counts = job.spec.priority == tier && job.placements.contains_key(task);
            counts.then_some(job.shape.cpus)
        };
        self.starvation_guard.starting.iter().filter_map(cpus).sum()
    }

    /// A boosted job was placed with the task that makes it begin.
    pub(super) fn record_starting(&mut self, id: &JobId) {
        let task = self
            .jobs
            .get(id)
            .and_then(|j| j.placements.keys().next().copied());
        if let Some(task) = task {
            self.starvation_guard.starting.insert(id.clone(), task);
        }
    }

    /// A new order: whom it boosts, and places for those of them that have none. What
    /// an upper tier's tasks fill again one by one never falls free for a large
    /// task of a lower tier, so a held place is closed to all others. The lowest
    /// tier goes first among its own, and has nothing held from others.
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
        held_slots.retain(|k| self.is_held(now, k));
        // What is about as small as all that goes before it takes any place that falls
        // free: for that to go first is enough.
        let mut least: BTreeMap<Priority, f64> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.is_schedulable()) {
            let least = least.entry(job.spec.priority).or_insert(f64::INFINITY);
            *least = least.min(job.shape.cpus);
        }
        let mut new = 0;
        for BoostedJob {
            job: id,
            underserved,
        } in &boosted
        {
            if new >= MAX_NEW_HELD_SLOTS {
                break;
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let has = held_slots.iter().filter(|k| k.job == *id).count() as u32;
            let most = match () {
                () if *underserved && job.has_independent_placement() => job.startable(),
                () => u32::from(job.is_unstarted()),
            };
            let tier = job.spec.priority;
            let barred = tier == Priority::Low
                || job.errors > 0
                || least
                    .range(tier..)
                    .all(|(_, cpus)| *cpus > job.shape.cpus / 2.0);
            let room = job.team.map_or(0, |t| {
                remaining_quota(&self.cfg.teams[t], &usage[t], &job.shape)
            });
            if barred || has >= most.min(room) {
                continue;
            }
            let Some(large_task_cpus) = large_task_cpus.get(&tier) else {
                continue;
            };
            new += 1;
            self.cycle_steps += self.machines.len() as u64;
            if let Some(place) = self.earliest_slot(
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
                        machine = &*place.machine,
                        waited_s = (now - job.submitted_at) as u64,
                        cpus = job.shape.cpus,
                        "a slot is held until it starts"
                    );
                }
                held_slots.push(place);
            }
        }
        self.starvation_guard.held_slots = held_slots;
    }

    /// Whether a place is held any longer.
    fn is_held(&self, now: Time, held_slots: &HeldSlot) -> bool {
        let job = self
            .jobs
            .get(&held_slots.job)
            .filter(|j| j.is_schedulable());
        let machine = self.machines.get(&held_slots.machine);
        now < held_slots.until
            && machine.is_some_and(|m| m.accepts_tasks(now, self.silence_limit_s()))
            && job.is_some_and(|j| {
                // Chosen once, it is not given up for a moment in which the choice
                // of who is in time falls on others.
                let in_time = || self.slack_s(now, j).is_some_and(|s| s >= 0.0);
                j.is_unstarted()
                    || (held_slots.underserved && j.has_independent_placement() && in_time())
            })
    }

    /// The place that falls free soonest for one more task of this job.
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
        for k in held_slots {
            held[k.type_index] += k.cpus;
        }
        let filter = self.machine_filter(job, large_task_cpus);
        let silent_after = self.silence_limit_s();
        let mut best: Option<(f64, HeldSlot)> = None;
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let room = Shape::of_type(&self.machine_types[index]);
            let most = snapshot.cpus_by_type[index].iter().sum::<f64>() * share;
            if !job.shape.fits_in(&room)
                || !filter.matches(index, &machine.zone, machine.spot, machine.reservations)
                || !machine.accepts_tasks(now, silent_after)
                || job.avoided_machines.contains(&machine.name)
                || (held[index] > 0.0 && held[index] + job.shape.cpus > most)
                || machine.claim.as_ref().is_some_and(|c| now < c.until)
            {
                continue;
            }
            let mut others = Shape::default();
            for k in held_slots.iter().filter(|k| k.machine == machine.name) {
                if let Some(other) = self.jobs.get(&k.job) {
                    others.add(&other.shape, 1.0);
                }
            }
            if !job.shape.plus(&others, 1.0).fits_in(&room) {
                continue;
            }
            let ends = machine.tasks.iter().filter_map(|(other, task)| {
                let other = self.jobs.get(other)?;
                let run_s = if other.is_service() {
                    f64::INFINITY
                } else {
                    self.expected_run_s(other)
                };
                let since = other.placements.get(task).and_then(|p| p.running_since);
                // What has run for longer than reckoned goes on for some time, too.
                let left = since.map_or(run_s + self.image_fetch_s(other), |at| {
                    let ran_s = now - at;
                    (run_s - ran_s).max(0.25 * ran_s)
                });
                Some((left.max(1.0), other.shape.cpus))
            });
            let wanted = job.shape.cpus + others.cpus;
            let free = room.cpus - machine.allocated.cpus;
            let Some(wait_s) = seconds_until_free(free, wanted, ends.collect()) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| wait_s < *least) {
                let place = HeldSlot {
                    job: id.clone(),
                    machine: machine.name.clone(),
                    type_index: index,
                    cpus: job.shape.cpus,
                    underserved,
                    until: now + 2.0 * wait_s + self.cfg.lease_s,
                };
                best = Some((wait_s, place));
            }
        }
        best.map(|(_, place)| place)
    }

    /// Before a slice: what has its held place free is placed, and the others'
    /// places are closed to all. A job whose team's guarantee covers it waits for no
    /// other team, so nothing is closed while one does. How many were placed.
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
        let mut left = Vec::new();
        let mut placed = 0;
        for place in &held_slots {
            if !self.is_held(now, place) {
                continue;
            }
            let Some(job) = self.jobs.get(&place.job) else {
                continue;
            };
            let room = job.team.map_or(0, |t| {
                remaining_quota(&self.cfg.teams[t], &usage[t], &job.shape)
            });
            let Some(large_task_cpus) =
                large_task_cpus.get(&job.spec.priority).filter(|_| room > 0)
            else {
                continue;
            };
            let filter = self.machine_filter(job, large_task_cpus);
            let others = |m: &MachineId| held_slots.iter().any(|k| k.machine == *m);
            let allowed = |m: &MachineId| {
                !job.avoided_machines.contains(m) && (*m == place.machine || !others(m))
            };
            let found = snapshot.slots.fitting(&filter, &job.shape, allowed);
            let own = |index: &&usize| snapshot.slots.get(**index).machine == place.machine;
            let Some(&index) = found.iter().find(own).or(found.first()) else {
                if !guaranteed {
                    snapshot.close(&place.machine);
                }
                left.push(place.clone());
                continue;
            };
            let machine = snapshot.slots.get(index).machine.clone();
            let begins = job.is_unstarted();
            snapshot.slots.take(index, &job.shape, 1, job.image);
            self.place_task(now, &place.job, &machine, usage);
            if begins {
                self.record_starting(&place.job);
            }
            placed += 1;
        }
        self.starvation_guard.held_slots = left;
        placed
    }

    /// Whether the starvation guard boosts this job for the one task with which it begins.
    pub(super) fn is_boosted_to_start(&self, id: &JobId, job: &Job) -> bool {
        job.is_unstarted() && self.starvation_guard.boosted.get(id) == Some(&false)
    }

    /// Jobs with a deadline that can't be in time any more: each counts once against
    /// its class and its team, however it goes on. A successor counts those that
    /// are still about anew.
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

    /// Counts how a job with a deadline fared.
    pub(super) fn record_deadline_outcome(&mut self, id: &JobId, in_time: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        // What gives way has no deadline, and so no debt.
        if job.deadline_counted || job.spec.deadline_s.is_none() {
            return;
        }
        job.deadline_counted = true;
        let size = job.total_cpus();
        for name in service_history_keys(job) {
            self.service_history.record(&name, size, in_time);
        }
    }

    /// From which size on jobs are underserved, by class and team.
    pub(super) fn underserved_min_sizes(&self) -> BTreeMap<String, f64> {
        let tuning = &self.cfg.tuning;
        let least = tuning.service_min_jobs as usize;
        let from = |name: &str| {
            self.service_history
                .underserved_min_size(name, tuning.underserved_share_below, least)
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

/// Under which names a job counts; a class may be called like a team.
fn service_history_keys(job: &Job) -> [String; 2] {
    [
        format!("class {}", job.spec.class),
        format!("team {}", job.spec.team),
    ]
}
