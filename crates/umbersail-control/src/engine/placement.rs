//! Chooses slots for the waiting tasks of one job and places the tasks.

use std::collections::{BTreeMap, BTreeSet};

use tracing::debug;
use umbersail_cycle::{CandidateSlots, CheapestFirst, ImageKey, MachineFilter, Rankings};
use umbersail_policy::{
    CostProfile, MachineView, PlacementWeights, TaskView, Usage, machine_cost, placement_cost,
    remaining_quota,
};

use umbersail_wire::Priority;

use super::schedule::{ClusterSnapshot, CycleSlice, RankingKey};
use super::{BlockedReason, Engine, Job, JobId, MachineId, Placement, Time};

/// The slots chosen for a job's tasks, and what is left to place.
pub(super) struct PlacementDecision {
    wanted: u32,
    quota: u32,
    awaits_image: bool,
    /// Slot indices, each with the number of tasks to place there.
    slots: Vec<(usize, u32)>,
}

impl PlacementDecision {
    /// Why some tasks remain unplaced.
    fn blocked_reason(&self) -> BlockedReason {
        match self.quota {
            0 => BlockedReason::TeamLimit,
            _ if self.awaits_image => BlockedReason::AwaitingImage,
            _ => BlockedReason::NoCapacity,
        }
    }

    /// Assigns up to `count` tasks to a slot, unless the machine is new to the job and the
    /// job's record has no room for another machine name. Returns the number of tasks
    /// assigned.
    pub(super) fn take(
        &mut self,
        index: usize,
        count: u32,
        machine: &MachineId,
        hosts: &mut Option<(BTreeSet<MachineId>, usize)>,
    ) -> u32 {
        let n = count.min(self.wanted).min(self.quota);
        if n == 0 {
            return 0;
        }
        if let Some((hosts, left)) = hosts
            && !hosts.contains(machine)
        {
            if *left == 0 {
                return 0;
            }
            *left -= 1;
        }
        self.wanted -= n;
        self.quota -= n;
        self.slots.push((index, n));
        n
    }
}

impl Engine {
    /// Places as many of the job's tasks as fit. Returns the number of tasks placed, and
    /// whether tasks remain that could be placed if a machine had room.
    pub(super) fn place_job(
        &mut self,
        now: Time,
        id: &JobId,
        slice: &mut CycleSlice<'_>,
    ) -> (u64, bool) {
        let Some(job) = self.jobs.get(id).filter(|j| j.is_schedulable()) else {
            return (0, false);
        };
        self.close_claimed_slots(job.spec.priority, slice);
        let quota = match job.team {
            Some(team) => remaining_quota(&self.cfg.teams[team], &slice.usage[team], &job.shape),
            None => 0,
        };
        if quota == 0 {
            self.set_blocked_reason(id, BlockedReason::TeamLimit);
            return (0, false);
        }
        // A job that the starvation guard boosts is listed twice: first for its first task,
        // then at its normal position.
        let first_task_only = self.is_boosted_to_start(id, job);
        let mut decision = PlacementDecision {
            wanted: job
                .startable()
                .min(if first_task_only { 1 } else { u32::MAX }),
            quota,
            awaits_image: false,
            slots: Vec::new(),
        };
        self.choose_slots(now, job, slice, &mut decision);
        let placed = self.place_tasks(now, id, slice, &decision.slots);
        if first_task_only && placed > 0 {
            self.record_starting(id);
        }
        let is_left = decision.wanted > 0;
        if is_left {
            self.set_blocked_reason(id, decision.blocked_reason());
        }
        self.jobs_await_image |= decision.awaits_image && is_left;
        let might_evict = is_left && decision.quota > 0 && !decision.awaits_image;
        (placed, might_evict)
    }

    /// Closes slots claimed for jobs of upper tiers that still wait. Tiers are processed
    /// from the top down, so a slot closed to this tier is closed to all later tiers.
    fn close_claimed_slots(&self, tier: Priority, slice: &mut CycleSlice<'_>) {
        let ClusterSnapshot {
            slots,
            claimed_slots,
            ..
        } = &mut *slice.snapshot;
        let waits = |job: &JobId| self.jobs.get(job).is_some_and(Job::is_schedulable);
        for (_, index) in claimed_slots.extract_if(.., |(above, _)| tier < *above) {
            let machine = self.machines.get(&slots.get(index).machine);
            let claim = machine.and_then(|m| m.claim.as_ref());
            if claim.is_some_and(|c| waits(&c.claimant)) {
                slots.close(index);
            }
        }
    }

    /// Chooses slots for a job, unless an earlier search has shown that none fits.
    fn choose_slots(
        &self,
        now: Time,
        job: &Job,
        slice: &mut CycleSlice<'_>,
        decision: &mut PlacementDecision,
    ) {
        let filter = self.machine_filter(job, slice.large_task_cpus);
        if slice.snapshot.slots.cannot_fit(&filter, &job.shape) {
            return;
        }
        let plain = !job.spec.one_zone()
            && !job.spec.spread()
            && job.avoided_machines.is_empty()
            && !self.fetch_misses_start_objective(now, job, slice.usage);
        if plain {
            self.choose_by_ranking(job, filter, slice, decision);
        } else {
            self.choose_by_search(now, job, &filter, slice, decision);
        }
    }

    /// Places the job's next tasks into the chosen slots.
    fn place_tasks(
        &mut self,
        now: Time,
        id: &JobId,
        slice: &mut CycleSlice<'_>,
        chosen: &[(usize, u32)],
    ) -> u64 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let (shape, image) = (job.shape, job.image);
        let ClusterSnapshot {
            slots, rankings, ..
        } = &mut *slice.snapshot;
        let mut placements: Vec<(MachineId, u32)> = Vec::new();
        for &(index, n) in chosen {
            slots.take(index, &shape, n, image);
            if let Some(rankings) = rankings {
                rankings.rerank(index, |key, index| self.ranking_cost(slots, key, index));
            }
            placements.push((slots.get(index).machine.clone(), n));
        }
        let mut placed = 0;
        for (machine, n) in placements {
            placed += u64::from(n);
            for _ in 0..n {
                self.place_task(now, id, &machine, slice.usage);
            }
        }
        placed
    }

    pub(super) fn placement_weights(&self) -> PlacementWeights {
        let tuning = &self.cfg.tuning;
        PlacementWeights {
            image: tuning.image_weight_s,
            oversize: tuning.oversize_cost,
            on_demand: tuning.ordinary_cost,
        }
    }

    /// Cost of a slot for jobs with this ranking key; `None` if none of these jobs may use
    /// the slot.
    pub(super) fn ranking_cost(
        &self,
        slots: &CandidateSlots<MachineId>,
        key: &RankingKey,
        index: usize,
    ) -> Option<f64> {
        let slot = slots.get(index);
        let zone = slots.zone(index);
        if !key
            .filter
            .matches(slot.type_index, zone, slot.spot, slot.reservations)
            || !self.smallest_waiting_shape.fits_in(&slot.free)
        {
            return None;
        }
        let view = self.machine_view(slots, index, key.image);
        let reservation_cost = self.reservation_cost(slot.reservations, key.filter.reservations);
        Some(machine_cost(&key.profile, &view, self.placement_weights()) + reservation_cost)
    }

    pub(super) fn machine_view<'a>(
        &'a self,
        slots: &'a CandidateSlots<MachineId>,
        index: usize,
        image: ImageKey,
    ) -> MachineView<'a, ()> {
        let (has_image, fetching_image) = slots.image(index, image);
        let slot = slots.get(index);
        MachineView {
            machine: (),
            machine_type: &self.machine_types[slot.type_index],
            zone: slots.zone(index),
            spot: slot.spot,
            free: slot.free,
            has_image,
            fetching_image,
            heartbeat_due_in_s: slot.heartbeat_due_in_s,
        }
    }

    /// The machines that the job's record names, and how many more the record has room for;
    /// `None` if the record has room for all machines.
    pub(super) fn host_allowance(&self, job: &Job) -> Option<(BTreeSet<MachineId>, usize)> {
        let max_hosts = self.max_recorded_machines(job.spec.tasks);
        (max_hosts < self.machines.len()).then(|| {
            let hosts = job.machines();
            let left = max_hosts.saturating_sub(hosts.len());
            (hosts, left)
        })
    }

    /// Chooses slots for a job whose only restriction is its machine filter. Jobs with
    /// equal ranking keys share one ranking, so the search continues from where the
    /// previous such job left the ranking.
    pub(super) fn choose_by_ranking(
        &self,
        job: &Job,
        filter: MachineFilter,
        slice: &mut CycleSlice<'_>,
        decision: &mut PlacementDecision,
    ) {
        let ClusterSnapshot {
            slots,
            rankings,
            ranked_examined,
            ..
        } = &mut *slice.snapshot;
        let rankings = rankings.get_or_insert_with(|| Rankings::new(slots.len()));
        let key = RankingKey {
            image: job.image,
            profile: CostProfile {
                image_gb: job.spec.image_gb,
                smallest_cpus: job.smallest_cpus,
                spot: job.spec.spot(),
            },
            filter: filter.clone(),
        };
        *ranked_examined += rankings.open(key, |key, index| self.ranking_cost(slots, key, index));
        let mut hosts = self.host_allowance(job);
        let mut fits = false;
        *ranked_examined += rankings.visit(|index| {
            let slot = slots.get(index);
            if !job.shape.fits_in(&slot.free) {
                return true;
            }
            fits = true;
            decision.take(
                index,
                job.shape.slots_in(&slot.free),
                &slot.machine,
                &mut hosts,
            );
            decision.wanted > 0 && decision.quota > 0
        });
        if !fits {
            slots.record_failed_search(&filter, &job.shape);
        }
    }

    /// Chooses slots for any job by examining all candidate slots.
    pub(super) fn choose_by_search(
        &self,
        now: Time,
        job: &Job,
        filter: &MachineFilter,
        slice: &mut CycleSlice<'_>,
        decision: &mut PlacementDecision,
    ) {
        let shape = job.shape;
        let allowed = |machine: &MachineId| !job.avoided_machines.contains(machine);
        let mut found = slice.snapshot.slots.fitting(filter, &shape, allowed);
        let has_image = |slots: &CandidateSlots<MachineId>, index| slots.image(index, job.image).0;
        decision.awaits_image = found
            .iter()
            .any(|index| !has_image(&slice.snapshot.slots, *index))
            && self.should_await_image(now, job, slice);
        let slots = &slice.snapshot.slots;
        if decision.awaits_image {
            found.retain(|index| has_image(slots, *index));
        }
        let (mut only_zone, mut zones) = self.zones_of(job);
        if only_zone.is_none() && job.spec.one_zone() {
            // All tasks go to the zone with the most room.
            let mut room: BTreeMap<&str, u32> = BTreeMap::new();
            for index in &found {
                *room.entry(slots.zone(*index)).or_default() +=
                    shape.slots_in(&slots.get(*index).free);
            }
            only_zone = room
                .into_iter()
                .max_by_key(|(_, count)| *count)
                .map(|(zone, _)| zone.to_owned());
        }
        let task = TaskView {
            spec: &job.spec,
            shape,
            smallest_cpus: job.smallest_cpus,
            only_zone: only_zone.as_deref(),
            reserved_types: &[],
        };
        let weights = self.placement_weights();
        let offers = found.iter().filter_map(|&index| {
            let view = self.machine_view(slots, index, job.image);
            let (cost, count) = placement_cost(&task, &view, weights)?;
            let reservation_cost =
                self.reservation_cost(slots.get(index).reservations, job.reservations);
            Some((cost + reservation_cost, index, count))
        });
        let max_per_zone = job.spec.max_per_zone();
        let mut hosts = self.host_allowance(job);
        for (index, mut count) in CheapestFirst::new(offers) {
            if decision.wanted == 0 || decision.quota == 0 {
                break;
            }
            let in_zone = zones.get(slots.zone(index)).copied().unwrap_or(0);
            if let Some(max) = max_per_zone {
                count = count.min(max.saturating_sub(in_zone));
            }
            let n = decision.take(index, count, &slots.get(index).machine, &mut hosts);
            if max_per_zone.is_some() {
                zones.insert(slots.zone(index).to_owned(), in_zone + n);
            }
        }
    }

    pub(super) fn set_blocked_reason(&mut self, id: &JobId, reason: BlockedReason) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.blocked_reason = reason;
        }
    }

    pub(super) fn place_task(
        &mut self,
        now: Time,
        id: &JobId,
        machine: &MachineId,
        usage: &mut [Usage],
    ) {
        // Rule 5 of `docs/design.md`: the fencing token differs between leaders and the counter
        // between attempts, so no attempt number is ever used twice.
        self.attempt_counter += 1;
        let attempt = (self.revision() << 24) + self.attempt_counter;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.take_next_task() else {
            return;
        };
        job.placements.insert(
            task,
            Placement {
                machine: machine.clone(),
                attempt,
                launched_in: None,
                observed_state: None,
                running_since: None,
                placed_at: now,
                pending_stop: None,
            },
        );
        if !job.is_recorded(task, machine) {
            job.mark_dirty(now);
        }
        if let Some(team) = job.team {
            usage[team].add(&job.shape, 1.0);
        }
        let (shape, image) = (job.shape, job.image);
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.add_task(id, task, &shape, image);
            self.machines_with_unsent_launches
                .insert(machine.name.clone());
        }
        debug!(
            job = &**id,
            task,
            machine = &**machine,
            attempt,
            "task placed"
        );
    }
}
