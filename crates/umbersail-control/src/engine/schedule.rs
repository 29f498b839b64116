//! Which waiting task goes where: a cycle, in slices that end.

use std::collections::{BTreeMap, BTreeSet};

use tracing::debug;
use umbersail_cycle::{
    CandidateSlots, Cheapest, CycleQueue, ImageKey, Locality, Rankings, Slot, Steps,
};
use umbersail_policy::{
    MachineView, PlaceWeights, Shape, TaskView, Usage, Wants, cost_of, names_type, placement_cost,
    quota_room,
};
use umbersail_wire::{MachineType, Priority};

use super::evict::EvictionCandidates;
use super::{Engine, Job, JobId, MachineId, Placement, Stop, Time};

/// How often a blocked job may be looked at for eviction in one cycle.
pub(super) const MAX_EVICTIONS_PER_CYCLE: usize = 4;

/// A cycle that is under way.
pub(super) struct SchedulingCycle {
    queue: CycleQueue<JobId>,
    reserved: BTreeMap<Priority, Vec<f64>>,
}

/// The fleet as one slice of a cycle sees it, from one walk over the machines.
#[derive(Default)]
pub(super) struct ClusterSnapshot {
    pub places: CandidateSlots<MachineId>,
    /// CandidateSlots kept for the winners of evictions, and from which tier on.
    claimed: Vec<(Priority, usize)>,
    /// Machines that may hold tasks of jobs already over (rule 4).
    unaccounted: Shape,
    /// CPUs that stay, up or coming: of each type the ordinary and the spot ones.
    pub cpus: Vec<[f64; 2]>,
    /// How many machines that take tasks have an image, by type; counted once
    /// somebody asks.
    with_image: Option<BTreeMap<(ImageKey, usize), usize>>,
    /// CandidateSlots as jobs rank them that are key, and how many that took to look at.
    rankings: Option<Rankings<RankingKey>>,
    ranked: u64,
}

impl ClusterSnapshot {
    /// CandidateSlots looked at so far.
    fn looked(&self) -> u64 {
        self.places.looked() + self.ranked
    }

    /// Nothing more goes to this machine in this slice.
    pub fn close(&mut self, machine: &MachineId) {
        let at = (0..self.places.len()).find(|i| self.places.get(*i).machine == *machine);
        if let Some(index) = at {
            self.places.close(index);
        }
    }
}

/// What one slice of a cycle works with.
struct CycleSlice<'a> {
    usage: &'a mut [Usage],
    fleet: &'a mut ClusterSnapshot,
    reserved: &'a [f64],
}

/// What jobs have in common that rank places key.
#[derive(Debug, Clone, PartialEq)]
struct RankingKey {
    image: ImageKey,
    wants: Wants,
    locality: Locality,
}

/// Where a job's tasks go.
struct PlacementDecision {
    wanted: u32,
    quota: u32,
    awaits_image: bool,
    /// Indices, each with its number of tasks.
    places: Vec<(usize, u32)>,
}

impl PlacementDecision {
    /// So many tasks at most go there, unless the job's record can name no more
    /// machines. How many do.
    fn take(
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
    /// True if something changed that may let a task start, or if a cycle was
    /// cut short.
    pub fn wants_schedule(&self) -> bool {
        self.schedule_wanted || self.unfinished_cycle.is_some()
    }

    /// Whether a cycle was cut short: it goes on without waiting for its turn.
    pub fn is_mid_cycle(&self) -> bool {
        self.unfinished_cycle.is_some()
    }

    /// The work done in cycles since this was last asked, in steps of about one
    /// look at one machine.
    pub fn take_steps(&mut self) -> u64 {
        std::mem::take(&mut self.steps)
    }

    /// CandidateSlots waiting tasks; launches follow with the machines' next reports.
    ///
    /// A cycle ends after [`super::EngineConfig::slice_steps`] and goes on with the next
    /// call where it was, so that reports, renewals and users wait for a slice
    /// and not for a whole fleet. Upper tiers and the most urgent jobs are placed
    /// in the first slice. Each slice looks at the fleet anew: what was reported
    /// or cancelled in between holds (rules 3 and 4).
    pub fn schedule(&mut self, now: Time) {
        let mut steps = Steps::new(self.cfg.slice_steps);
        if self.unfinished_cycle.is_none() && !self.is_order_fresh(now) {
            self.cached_order = None;
            self.least_shape = self.least_waiting();
        }
        let mut fleet = self.cluster_snapshot(now);
        let mut usage = self.team_usage(&fleet.unaccounted);
        let mut cycle = match self.unfinished_cycle.take() {
            Some(cycle) => cycle,
            None => {
                self.schedule_wanted = false;
                let order = self.order_of_cycle(now, &usage, &fleet);
                self.may_wait = !order.jobs.is_empty();
                SchedulingCycle {
                    queue: CycleQueue::new(order.jobs),
                    reserved: order.reserved,
                }
            }
        };
        let looked = fleet.looked();
        let placed = self.fill_held_slots(now, &cycle.reserved, &mut usage, &mut fleet);
        steps.spend(fleet.looked() - looked + placed * Steps::TASK);
        while !steps.is_over()
            && let Some(id) = cycle.queue.next_waiting()
        {
            let Some(tier) = self.jobs.get(&id).map(|j| j.spec.priority) else {
                continue;
            };
            let looked = fleet.looked();
            let mut slice = CycleSlice {
                usage: &mut usage,
                fleet: &mut fleet,
                reserved: &cycle.reserved[&tier],
            };
            let (placed, blocked) = self.place_job(now, &id, &mut slice);
            if blocked {
                cycle.queue.block(id);
            }
            steps.spend(Steps::JOB + fleet.looked() - looked + placed * Steps::TASK);
        }
        let mut candidates_seen = EvictionCandidates::default();
        while !steps.is_over() && cycle.queue.evicting < MAX_EVICTIONS_PER_CYCLE {
            let Some(id) = cycle.queue.next_blocked() else {
                break;
            };
            steps.spend(Steps::JOB);
            let looked = candidates_seen.looked;
            if self.evict_for(now, &id, &mut usage, &mut candidates_seen) {
                cycle.queue.evicting += 1;
            }
            steps.spend(candidates_seen.looked - looked);
        }
        self.steps += steps.done() + self.machines.len() as u64;
        if steps.is_over() && !cycle.queue.is_done(MAX_EVICTIONS_PER_CYCLE) {
            self.unfinished_cycle = Some(cycle);
        }
    }

    /// The least that any waiting job's task takes, of each amount by itself.
    fn least_waiting(&self) -> Shape {
        let mut least = Shape {
            cpus: f64::INFINITY,
            gpus: f64::INFINITY,
            memory_gb: f64::INFINITY,
        };
        for job in self.jobs.values().filter(|j| j.waits()) {
            least.cpus = least.cpus.min(job.shape.cpus);
            least.gpus = least.gpus.min(job.shape.gpus);
            least.memory_gb = least.memory_gb.min(job.shape.memory_gb);
        }
        least
    }

    /// One walk over the machines for all that a slice wants to know of them.
    fn cluster_snapshot(&self, now: Time) -> ClusterSnapshot {
        let silent_after = self.silent_after();
        let mut fleet = ClusterSnapshot {
            cpus: vec![[0.0; 2]; self.types.len()],
            ..ClusterSnapshot::default()
        };
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let room = Shape::of_type(&self.types[index]);
            if self.is_unsized(machine) {
                fleet.unaccounted.add(&room, 1.0);
            }
            if machine.delete_reason.is_none()
                && machine.notice_until.is_none()
                && !machine.reachability.is_unreachable()
            {
                fleet.cpus[index][usize::from(machine.spot)] += room.cpus;
            }
            let free = room.plus(&machine.used, -1.0);
            // Most machines of a busy fleet are full: what follows is for the
            // few that are not.
            if !self.least_shape.fits_in(&free) || !machine.takes_tasks(now, silent_after) {
                continue;
            }
            let spot = Slot {
                type_index: index,
                zone: &machine.zone,
                spot: machine.spot,
                free,
                report_in_s: (self.cfg.report_s - machine.silent_for(now)).max(0.0),
                reservations: machine.reservations,
            };
            fleet
                .places
                .push(machine.name.clone(), spot, &machine.images);
            for (image, _) in &machine.image_uses {
                fleet.places.fetching(*image);
            }
            if let Some(claim) = &machine.claim
                && now < claim.until
            {
                fleet.claimed.push((claim.tier, fleet.places.len() - 1));
            }
        }
        fleet
    }

    /// Whether the machine may hold tasks of jobs already over that no record
    /// gives the size of.
    pub(super) fn is_unsized(&self, machine: &super::Machine) -> bool {
        machine.unsized_strangers
            || (machine.inherited
                && (self.whole_machines
                    || self.unaccounted_machines.contains(&machine.name)
                    || self.orphaned_jobs.is_unsized_at(&machine.name)))
    }

    /// What each team's tasks use. Unaccounted ones count as present (rule 4):
    /// tasks whose recovery is pending and attempts of jobs already over by their own size, known
    /// from records that stand for as long as one may be about; and for limited
    /// teams every machine by its whole size that may hold what no record tells.
    pub(super) fn team_usage(&self, unaccounted: &Shape) -> Vec<Usage> {
        let mut usage = vec![Usage::default(); self.cfg.teams.len()];
        for job in self.jobs.values() {
            if let Some(team) = job.team {
                // What no record tells of is on machines that count whole.
                let counted = job.occupied() - job.unrecorded_recovery_pending();
                usage[team].add(&job.shape, counted as f64);
            }
        }
        self.orphaned_jobs.add_to(&mut usage);
        for (team, used) in self.cfg.teams.iter().zip(&mut usage) {
            if team.is_limited() {
                used.add(unaccounted, 1.0);
            }
        }
        usage
    }

    /// Whether the job does better to wait for a place where its image is: it
    /// would start too late after a fetch, and in time if such a place falls
    /// free within the time that is left.
    fn awaits_image(&self, now: Time, job: &Job, slice: &mut CycleSlice<'_>) -> bool {
        if !self.fetch_is_late(now, job, slice.usage) {
            return false;
        }
        let tuning = &self.cfg.tuning;
        let least = (tuning.image_places * f64::from(job.pending())).ceil() as usize;
        let counts = slice.fleet.with_image.get_or_insert_with(|| {
            let mut counts = BTreeMap::new();
            let silent_after = self.silent_after();
            let up = |m: &&super::Machine| m.takes_tasks(now, silent_after);
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
            .types
            .iter()
            .enumerate()
            .filter(|(_, t)| job.shape.fits_in(&Shape::of_type(t)))
            .filter_map(|(index, _)| counts.get(&(job.image, index)))
            .sum();
        places >= least
    }

    /// Whether a fetch of its image would make the job start too late, with time
    /// left to wait for a place that has it.
    fn fetch_is_late(&self, now: Time, job: &Job, usage: &[Usage]) -> bool {
        let within = self.start_aim(job, self.is_guaranteed(job, usage));
        within.is_some_and(|within| {
            let left = within - (now - job.submitted);
            left >= self.cfg.tuning.image_wait_s && self.fetch_s(job) > left
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
        for placement in job.live.values() {
            if let Some(machine) = self.machines.get(&placement.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        let unseen = job.recovery_pending.len() as u32 + job.inherited_extra();
        for host in &job.inherited {
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
    pub(super) fn locality(&self, job: &Job, reserved: &[f64]) -> Locality {
        let least = job.smallest_cpus + 1e-6;
        self.locality_where(job, |index, t| {
            t.cpus <= least || reserved.get(index).is_some_and(|most| *most <= least)
        })
    }

    /// The machines that the job allows, of types that `open` takes.
    pub(super) fn locality_where(
        &self,
        job: &Job,
        open: impl Fn(usize, &MachineType) -> bool,
    ) -> Locality {
        let types = self.types.iter().enumerate();
        Locality {
            types: types
                .map(|(index, t)| names_type(&job.spec, &t.name) && open(index, t))
                .collect(),
            zone: job.spec.zone.clone(),
            spot: job.spec.spot(),
            reservations: job.reservations,
        }
    }

    /// CandidateSlots what fits of one job. How many tasks were placed, and whether some
    /// are left that a machine might take if there were room.
    fn place_job(&mut self, now: Time, id: &JobId, slice: &mut CycleSlice<'_>) -> (u64, bool) {
        let Some(job) = self.jobs.get(id).filter(|j| j.waits()) else {
            return (0, false);
        };
        // Tiers come in turn, so what is kept from this one is kept from the rest.
        let tier = job.spec.priority;
        let ClusterSnapshot {
            places, claimed, ..
        } = &mut *slice.fleet;
        let waits = |job: &JobId| self.jobs.get(job).is_some_and(Job::waits);
        for (_, index) in claimed.extract_if(.., |(above, _)| tier < *above) {
            let machine = self.machines.get(&places.get(index).machine);
            let claim = machine.and_then(|m| m.claim.as_ref());
            if claim.is_some_and(|c| waits(&c.winner)) {
                places.close(index);
            }
        }
        let quota = match job.team {
            Some(team) => quota_room(&self.cfg.teams[team], &slice.usage[team], &job.shape),
            None => 0,
        };
        if quota == 0 {
            self.set_blocked(id, "the team's limit");
            return (0, false);
        }
        let locality = self.locality(job, slice.reserved);
        // A job comes twice if the starvation guard boosts it: first for the task with which
        // it begins, then in its own place.
        let begins = self.is_boosted_to_start(id, job);
        let wanted = job.startable().min(if begins { 1 } else { u32::MAX });
        let mut choice = PlacementDecision {
            wanted,
            quota,
            awaits_image: false,
            places: Vec::new(),
        };
        if !slice.fleet.places.is_hopeless(&locality, &job.shape) {
            let plain = !job.spec.one_zone()
                && !job.spec.spread()
                && job.error_machines.is_empty()
                && !self.fetch_is_late(now, job, slice.usage);
            if plain {
                self.decide_by_ranking(job, locality, slice, &mut choice);
            } else {
                self.decide(now, job, &locality, slice, &mut choice);
            }
        }
        let (shape, image) = (job.shape, job.image);
        let ClusterSnapshot {
            places, rankings, ..
        } = &mut *slice.fleet;
        let mut chosen: Vec<(MachineId, u32)> = Vec::new();
        for (index, n) in choice.places {
            places.take(index, &shape, n, image);
            if let Some(rankings) = rankings {
                rankings.taken(index, |key, index| self.rank(places, key, index));
            }
            chosen.push((places.get(index).machine.clone(), n));
        }
        let mut placed = 0;
        for (machine, n) in chosen {
            placed += u64::from(n);
            for _ in 0..n {
                self.place(now, id, &machine, slice.usage);
            }
        }
        if begins && placed > 0 {
            self.note_starting(id);
        }
        let PlacementDecision {
            wanted,
            quota,
            awaits_image,
            ..
        } = choice;
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
        (placed, wanted > 0 && quota > 0 && !awaits_image)
    }

    fn weights(&self) -> PlaceWeights {
        let tuning = &self.cfg.tuning;
        PlaceWeights {
            image: tuning.image_weight_s,
            oversize: tuning.oversize_cost,
            ordinary: tuning.ordinary_cost,
        }
    }

    /// What a place costs those who rank key, if any task may go there.
    fn rank(
        &self,
        places: &CandidateSlots<MachineId>,
        key: &RankingKey,
        index: usize,
    ) -> Option<f64> {
        let place = places.get(index);
        let zone = places.zone(index);
        if !key
            .locality
            .has(place.type_index, zone, place.spot, place.reservations)
            || !self.least_shape.fits_in(&place.free)
        {
            return None;
        }
        let view = self.view(places, index, key.image);
        let kept = self.kept_cost(place.reservations, key.locality.reservations);
        Some(cost_of(&key.wants, &view, self.weights()) + kept)
    }

    fn view<'a>(
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
            report_in_s: place.report_in_s,
        }
    }

    /// Machines that the job's record can name beside those that it does; without
    /// bound where it can name all.
    fn more_hosts(&self, job: &Job) -> Option<(BTreeSet<MachineId>, usize)> {
        let most = self.most_hosts(job.spec.tasks);
        (most < self.machines.len()).then(|| {
            let hosts = job.hosts();
            let left = most.saturating_sub(hosts.len());
            (hosts, left)
        })
    }

    /// Candidate slots for a job with no wishes but its locality: it goes on in the ranking
    /// where the jobs before it that rank key have left it.
    fn decide_by_ranking(
        &self,
        job: &Job,
        locality: Locality,
        slice: &mut CycleSlice<'_>,
        choice: &mut PlacementDecision,
    ) {
        let ClusterSnapshot {
            places,
            rankings,
            ranked,
            ..
        } = &mut *slice.fleet;
        let rankings = rankings.get_or_insert_with(|| Rankings::new(places.len()));
        let key = RankingKey {
            image: job.image,
            wants: Wants {
                image_gb: job.spec.image_gb,
                smallest_cpus: job.smallest_cpus,
                spot: job.spec.spot(),
            },
            locality: locality.clone(),
        };
        *ranked += rankings.open(key, |key, index| self.rank(places, key, index));
        let mut hosts = self.more_hosts(job);
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
            places.missed(&locality, &job.shape);
        }
    }

    /// CandidateSlots for any job.
    fn decide(
        &self,
        now: Time,
        job: &Job,
        locality: &Locality,
        slice: &mut CycleSlice<'_>,
        choice: &mut PlacementDecision,
    ) {
        let shape = job.shape;
        let allowed = |machine: &MachineId| !job.error_machines.contains(machine);
        let mut found = slice.fleet.places.fitting(locality, &shape, allowed);
        let has_image =
            |places: &CandidateSlots<MachineId>, place| places.image(place, job.image).0;
        choice.awaits_image = found.iter().any(|p| !has_image(&slice.fleet.places, *p))
            && self.awaits_image(now, job, slice);
        let places = &slice.fleet.places;
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
        let weights = self.weights();
        let offers = found.iter().filter_map(|&index| {
            let view = self.view(places, index, job.image);
            let (cost, slots) = placement_cost(&task, &view, weights)?;
            let kept = self.kept_cost(places.get(index).reservations, job.reservations);
            Some((cost + kept, index, slots))
        });
        let zone_limit = job.spec.tasks.div_ceil(2);
        let mut hosts = self.more_hosts(job);
        for (index, mut slots) in Cheapest::new(offers) {
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

    pub(super) fn set_blocked(&mut self, id: &JobId, reason: &'static str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.blocked = reason;
        }
    }

    pub(super) fn place(
        &mut self,
        now: Time,
        id: &JobId,
        machine: &MachineId,
        usage: &mut [Usage],
    ) {
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
        let (shape, image) = (job.shape, job.image);
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.hold(id, task, &shape, image);
            self.untold.insert(machine.name.clone());
        }
        debug!(job = &**id, task, machine = &**machine, attempt, "placed");
    }

    /// Machines about to be taken back: what can't finish there moves now.
    pub(super) fn handle_notices(&mut self, now: Time) {
        let mut stops: Vec<(JobId, u32, f64)> = Vec::new();
        let silent_after = self.silent_after();
        let mut unplan: Vec<(JobId, u32)> = Vec::new();
        for machine in self.machines.values_mut() {
            let leaving = machine.notice_until;
            let silent = machine.silent_for(now) >= silent_after;
            let unreachable = machine.reachability.is_unreachable();
            if leaving.is_none() && !silent && !unreachable && machine.delete_reason.is_none() {
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
