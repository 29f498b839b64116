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
    places: Vec<(usize, u32)>,
}

impl PlacementDecision {
    /// Why some tasks remain unplaced.
    fn blocked_reason(&self) -> BlockedReason {
        match self.quota {
            0 => BlockedReason::TeamLimit,
            _ if self.awaits_image => BlockedReason::AwaitsImage,
            _ => BlockedReason::NoRoom,
        }
    }

    /// Assigns up to `slots` tasks to a slot, unless the machine is new to the job and the
    /// job's record has no room for another machine name. Returns the number of tasks
    /// assigned.
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
    /// Places as many of the job's tasks as fit. Returns the number of tasks placed, and
    /// whether tasks remain that could be placed if a machine had room.
    pub(super) fn place_job(
        &mut self,
        now: Time,
        id: &JobId,
        slice: &mut CycleSlice<'_>,
    ) -> (u64, bool) {
        let Some(job) = self.jobs.get(id).filter(|j| j.waits()) else {
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
        self.awaiting |= decision.awaits_image && is_left;
        let might_evict = is_left && decision.quota > 0 && !decision.awaits_image;
        (placed, might_evict)
    }

    /// Closes slots claimed for jobs of upper tiers that still wait. Tiers are processed
    /// from the top down, so a slot closed to this tier is closed to all later tiers.
    fn close_claimed_slots(&self, tier: Priority, slice: &mut CycleSlice<'_>) {
        let ClusterSnapshot {
            slots: places,
            claimed_slots: claimed,
            ..
        } = &mut *slice.snapshot;
        let waits = |job: &JobId| self.jobs.get(job).is_some_and(Job::waits);
        for (_, index) in claimed.extract_if(.., |(above, _)| tier < *above) {
            let machine = self.machines.get(&places.get(index).machine);
            let claim = machine.and_then(|m| m.claim.as_ref());
            if claim.is_some_and(|c| waits(&c.winner)) {
                places.close(index);
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
            && job.error_machines.is_empty()
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

    /// Cost of a slot for jobs with this ranking key; `None` if none of these jobs may use
    /// the slot.
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
            || !self.least_shape.fits_in(&place.free)
        {
            return None;
        }
        let view = self.machine_view(places, index, key.image);
        let kept = self.kept_cost(place.reservations, key.filter.reservations);
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
            machine_type: &self.types[place.type_index],
            zone: places.zone(index),
            spot: place.spot,
            free: place.free,
            has_image,
            fetching_image,
            heartbeat_due_in_s: place.heartbeat_due_in_s,
        }
    }

    /// The machines that the job's record names, and how many more the record has room for;
    /// `None` if the record has room for all machines.
    pub(super) fn host_allowance(&self, job: &Job) -> Option<(BTreeSet<MachineId>, usize)> {
        let most = self.most_hosts(job.spec.tasks);
        (most < self.machines.len()).then(|| {
            let hosts = job.hosts();
            let left = most.saturating_sub(hosts.len());
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

    /// Chooses slots for any job by examining all candidate slots.
    pub(super) fn choose_by_search(
        &self,
        now: Time,
        job: &Job,
        filter: &MachineFilter,
        slice: &mut CycleSlice<'_>,
        choice: &mut PlacementDecision,
    ) {
        let shape = job.shape;
        let allowed = |machine: &MachineId| !job.error_machines.contains(machine);
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
            // All tasks go to the zone with the most room.
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
            let kept = self.kept_cost(places.get(index).reservations, job.reservations);
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
            job.blocked = reason;
        }
    }

    pub(super) fn place_task(
        &mut self,
        now: Time,
        id: &JobId,
        machine: &MachineId,
        usage: &mut [Usage],
    ) {
        // Rule 5: the fencing token differs between leaders and the counter between
        // attempts, so no attempt number is ever used twice.
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
        let (shape, image) = (job.shape, job.image);
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.hold(id, task, &shape, image);
            self.unsent_launches.insert(machine.name.clone());
        }
        debug!(job = &**id, task, machine = &**machine, attempt, "placed");
    }
}
