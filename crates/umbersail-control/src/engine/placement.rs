//! Where the waiting tasks of one job go.

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

/// Where a job's tasks go.
pub(super) struct PlacementDecision {
    wanted: u32,
    quota: u32,
    awaits_image: bool,
    /// Indices, each with its number of tasks.
    places: Vec<(usize, u32)>,
}

impl PlacementDecision {
    /// Why tasks are left over.
    fn blocked_reason(&self) -> BlockedReason {
        match self.quota {
            0 => BlockedReason::TeamLimit,
            _ if self.awaits_image => BlockedReason::AwaitingImage,
            _ => BlockedReason::NoCapacity,
        }
    }

    /// So many tasks at most go there, unless the job's record can name no more
    /// machines. How many do.
    pub(super) fn take(
        &mut self,
        index: usize,
        slots: u32,
        machine: &MachineId,
        hosts: &mut Option<(BTreeSet<MachineId>, usize)>,
    ) -> u32 {
        let n = slots.min(self.wanted).min(self.quota);
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
        self.places.push((index, n));
        n
    }
}

impl Engine {
    /// Places what fits of one job. How many tasks were placed, and whether some
    /// are left that a machine might take if there were room.
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
        // A job comes twice if the starvation guard boosts it: first for the task with
        // which it begins, then in its own place.
        let begins = self.is_boosted_to_start(id, job);
        let mut decision = PlacementDecision {
            wanted: job.startable().min(if begins { 1 } else { u32::MAX }),
            quota,
            awaits_image: false,
            places: Vec::new(),
        };
        self.choose_slots(now, job, slice, &mut decision);
        let placed = self.place_tasks(now, id, slice, &decision.places);
        if begins && placed > 0 {
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

    /// Closes slots claimed for jobs of upper tiers that still wait. Tiers come in turn, so
    /// what is kept from this one is kept from the rest.
    fn close_claimed_slots(&self, tier: Priority, slice: &mut CycleSlice<'_>) {
        let ClusterSnapshot {
            slots: places,
            claimed_slots: claimed,
            ..
        } = &mut *slice.snapshot;
        let waits = |job: &JobId| self.jobs.get(job).is_some_and(Job::is_schedulable);
        for (_, index) in claimed.extract_if(.., |(above, _)| tier < *above) {
            let machine = self.machines.get(&places.get(index).machine);
            let claim = machine.and_then(|m| m.claim.as_ref());
            if claim.is_some_and(|c| waits(&c.claimant)) {
                places.close(index);
            }
        }
    }

    /// Chooses slots for a job, unless a search has shown that there are none.
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
        slots: &[(usize, u32)],
    ) -> u64 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let (shape, image) = (job.shape, job.image);
        let ClusterSnapshot {
            slots: places,
            rankings,
            ..
        } = &mut *slice.snapshot;
        let mut chosen: Vec<(MachineId, u32)> = Vec::new();
        for &(index, n) in slots {
            places.take(index, &shape, n, image);
            if let Some(rankings) = rankings {
                rankings.rerank(index, |key, index| self.ranking_cost(places, key, index));
            }
            chosen.push((places.get(index).machine.clone(), n));
        }
        let mut placed = 0;
        for (machine, n) in chosen {
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

    /// What a place costs those who rank alike, if any task may go there.
    pub(super) fn ranking_cost(
        &self,
        places: &CandidateSlots<MachineId>,
        key: &RankingKey,
        index: usize,
    ) -> Option<f64> {
        let place = places.get(index);
        let zone = places.zone(index);
        if !key
            .filter
            .matches(place.type_index, zone, place.spot, place.reservations)
            || !self.smallest_waiting_shape.fits_in(&place.free)
        {
            return None;
        }
        let view = self.machine_view(places, index, key.image);
        let kept = self.reservation_cost(place.reservations, key.filter.reservations);
        Some(machine_cost(&key.profile, &view, self.placement_weights()) + kept)
    }

    pub(super) fn machine_view<'a>(
        &'a self,
        places: &'a CandidateSlots<MachineId>,
        index: usize,
        image: ImageKey,
    ) -> MachineView<'a, ()> {
        let (has_image, fetching_image) = places.image(index, image);
        let place = places.get(index);
        MachineView {
            machine: (),
            machine_type: &self.machine_types[place.type_index],
            zone: places.zone(index),
            spot: place.spot,
            free: place.free,
            has_image,
            fetching_image,
            heartbeat_due_in_s: place.heartbeat_due_in_s,
        }
    }

    /// Machines that the job's record can name beside those that it does; without
    /// bound where it can name all.
    pub(super) fn host_allowance(&self, job: &Job) -> Option<(BTreeSet<MachineId>, usize)> {
        let most = self.max_recorded_machines(job.spec.tasks);
        (most < self.machines.len()).then(|| {
            let hosts = job.machines();
            let left = most.saturating_sub(hosts.len());
            (hosts, left)
        })
    }

    /// Candidate slots for a job with no wishes but its filter: it goes on in the ranking
    /// where the jobs before it that rank alike have left it.
    pub(super) fn choose_by_ranking(
        &self,
        job: &Job,
        filter: MachineFilter,
        slice: &mut CycleSlice<'_>,
        choice: &mut PlacementDecision,
    ) {
        let ClusterSnapshot {
            slots: places,
            rankings,
            ranked_examined: ranked,
            ..
        } = &mut *slice.snapshot;
        let rankings = rankings.get_or_insert_with(|| Rankings::new(places.len()));
        let key = RankingKey {
            image: job.image,
            profile: CostProfile {
                image_gb: job.spec.image_gb,
                smallest_cpus: job.smallest_cpus,
                spot: job.spec.spot(),
            },
            filter: filter.clone(),
        };
        *ranked += rankings.open(key, |key, index| self.ranking_cost(places, key, index));
        let mut hosts = self.host_allowance(job);
        let mut fits = false;
        *ranked += rankings.visit(|index| {
            let place = places.get(index);
            if !job.shape.fits_in(&place.free) {
                return true;
            }
            fits = true;
            choice.take(
                index,
                job.shape.slots_in(&place.free),
                &place.machine,
                &mut hosts,
            );
            choice.wanted > 0 && choice.quota > 0
        });
        if !fits {
            places.record_failed_search(&filter, &job.shape);
        }
    }

    /// Slots for any job.
    pub(super) fn choose_by_search(
        &self,
        now: Time,
        job: &Job,
        filter: &MachineFilter,
        slice: &mut CycleSlice<'_>,
        choice: &mut PlacementDecision,
    ) {
        let shape = job.shape;
        let allowed = |machine: &MachineId| !job.avoided_machines.contains(machine);
        let mut found = slice.snapshot.slots.fitting(filter, &shape, allowed);
        let has_image =
            |places: &CandidateSlots<MachineId>, place| places.image(place, job.image).0;
        choice.awaits_image = found.iter().any(|p| !has_image(&slice.snapshot.slots, *p))
            && self.should_await_image(now, job, slice);
        let places = &slice.snapshot.slots;
        if choice.awaits_image {
            found.retain(|place| has_image(places, *place));
        }
        let (mut only_zone, mut zones) = self.zones_of(job);
        if only_zone.is_none() && job.spec.one_zone() {
            // The zone with most room takes them all.
            let mut room: BTreeMap<&str, u32> = BTreeMap::new();
            for place in &found {
                *room.entry(places.zone(*place)).or_default() +=
                    shape.slots_in(&places.get(*place).free);
            }
            only_zone = room
                .into_iter()
                .max_by_key(|(_, slots)| *slots)
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
            let view = self.machine_view(places, index, job.image);
            let (cost, slots) = placement_cost(&task, &view, weights)?;
            let kept = self.reservation_cost(places.get(index).reservations, job.reservations);
            Some((cost + kept, index, slots))
        });
        let zone_limit = job.spec.tasks.div_ceil(2);
        let mut hosts = self.host_allowance(job);
        for (index, mut slots) in CheapestFirst::new(offers) {
            if choice.wanted == 0 || choice.quota == 0 {
                break;
            }
            let in_zone = zones.get(places.zone(index)).copied().unwrap_or(0);
            if job.spec.spread() {
                slots = slots.min(zone_limit.saturating_sub(in_zone));
            }
            let n = choice.take(index, slots, &places.get(index).machine, &mut hosts);
            if job.spec.spread() {
                zones.insert(places.zone(index).to_owned(), in_zone + n);
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
        // Rule 5: the token differs for every holder and the counter for every
        // attempt, so no attempt number is ever given twice.
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
        debug!(job = &**id, task, machine = &**machine, attempt, "placed");
    }
}
