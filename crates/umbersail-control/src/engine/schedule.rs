//! Which waiting task goes where: a cycle, in slices that end.

use std::collections::BTreeMap;

use umbersail_cycle::{
    CandidateSlots, CycleQueue, ImageKey, MachineFilter, Rankings, SlotInfo, StepBudget,
};
use umbersail_policy::{CostProfile, Shape, Usage};
use umbersail_wire::Priority;

use super::evict::EvictionCandidates;
use super::{Engine, JobId, MachineId, Time};

/// How often a blocked job may be looked at for eviction in one cycle.
pub(super) const MAX_EVICTIONS_PER_CYCLE: usize = 4;

/// A cycle that is under way.
pub(super) struct SchedulingCycle {
    queue: CycleQueue<JobId>,
    large_task_cpus: BTreeMap<Priority, Vec<f64>>,
}

/// The fleet as one slice of a cycle sees it, from one walk over the machines.
#[derive(Default)]
pub(super) struct ClusterSnapshot {
    pub slots: CandidateSlots<MachineId>,
    /// Slots kept for the winners of evictions, and from which tier on.
    pub claimed_slots: Vec<(Priority, usize)>,
    /// Machines that may hold tasks of jobs already over (rule 4).
    unaccounted: Shape,
    /// CPUs that stay, up or coming: of each type the ordinary and the spot ones.
    pub cpus_by_type: Vec<[f64; 2]>,
    /// How many machines that take tasks have an image, by type; counted once
    /// somebody asks.
    pub machines_with_image: Option<BTreeMap<(ImageKey, usize), usize>>,
    /// Slots as jobs rank them that are alike, and how many that took to look at.
    pub rankings: Option<Rankings<RankingKey>>,
    pub ranked_examined: u64,
}

impl ClusterSnapshot {
    /// Slots looked at so far.
    fn examined(&self) -> u64 {
        self.slots.examined() + self.ranked_examined
    }

    /// Nothing more goes to this machine in this slice.
    pub fn close(&mut self, machine: &MachineId) {
        let at = (0..self.slots.len()).find(|i| self.slots.get(*i).machine == *machine);
        if let Some(index) = at {
            self.slots.close(index);
        }
    }
}

/// What one slice of a cycle works with.
pub(super) struct CycleSlice<'a> {
    pub usage: &'a mut [Usage],
    pub snapshot: &'a mut ClusterSnapshot,
    pub large_task_cpus: &'a [f64],
}

/// What jobs have in common that rank places alike.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RankingKey {
    pub image: ImageKey,
    pub profile: CostProfile,
    pub filter: MachineFilter,
}

impl Engine {
    /// True if something changed that may let a task start, or if a cycle was
    /// cut short.
    pub fn needs_scheduling(&self) -> bool {
        self.cycle_requested || self.unfinished_cycle.is_some()
    }

    /// Whether a cycle was cut short: it goes on without waiting for its turn.
    pub fn is_mid_cycle(&self) -> bool {
        self.unfinished_cycle.is_some()
    }

    /// The work done in cycles since this was last asked, in steps of about one
    /// look at one machine.
    pub fn take_steps(&mut self) -> u64 {
        std::mem::take(&mut self.cycle_steps)
    }

    /// Places waiting tasks; launches follow with the machines' next reports.
    ///
    /// A cycle ends after [`super::EngineConfig::slice_steps`] and goes on with the next
    /// call where it was, so that reports, renewals and users wait for a slice
    /// and not for a whole snapshot. Upper tiers and the most urgent jobs are placed
    /// in the first slice. Each slice looks at the fleet anew: what was reported
    /// or cancelled in between holds (rules 3 and 4).
    pub fn schedule(&mut self, now: Time) {
        let mut steps = StepBudget::new(self.cfg.slice_steps);
        if self.unfinished_cycle.is_none() && !self.is_cached_order_valid(now) {
            self.cached_order = None;
            self.smallest_waiting_shape = self.least_waiting();
        }
        let mut snapshot = self.cluster_snapshot(now);
        let mut usage = self.team_usage(&snapshot.unaccounted);
        let mut cycle = match self.unfinished_cycle.take() {
            Some(cycle) => cycle,
            None => {
                self.cycle_requested = false;
                let order = self.cycle_order(now, &usage, &snapshot);
                self.may_have_waiting_jobs = !order.jobs.is_empty();
                SchedulingCycle {
                    queue: CycleQueue::new(order.jobs),
                    large_task_cpus: order.large_task_cpus,
                }
            }
        };
        let examined = snapshot.examined();
        let placed = self.fill_held_slots(now, &cycle.large_task_cpus, &mut usage, &mut snapshot);
        steps.spend(snapshot.examined() - examined + placed * StepBudget::TASK_COST);
        while !steps.is_exhausted()
            && let Some(id) = cycle.queue.next_waiting()
        {
            let Some(tier) = self.jobs.get(&id).map(|j| j.spec.priority) else {
                continue;
            };
            let examined = snapshot.examined();
            let mut slice = CycleSlice {
                usage: &mut usage,
                snapshot: &mut snapshot,
                large_task_cpus: &cycle.large_task_cpus[&tier],
            };
            let (placed, blocked) = self.place_job(now, &id, &mut slice);
            if blocked {
                cycle.queue.block(id);
            }
            steps.spend(
                StepBudget::JOB_COST + snapshot.examined() - examined
                    + placed * StepBudget::TASK_COST,
            );
        }
        let mut candidates = EvictionCandidates::default();
        while !steps.is_exhausted() && cycle.queue.evictions < MAX_EVICTIONS_PER_CYCLE {
            let Some(id) = cycle.queue.next_blocked() else {
                break;
            };
            steps.spend(StepBudget::JOB_COST);
            let examined = candidates.examined;
            if self.evict_for(now, &id, &mut usage, &mut candidates) {
                cycle.queue.evictions += 1;
            }
            steps.spend(candidates.examined - examined);
        }
        self.cycle_steps += steps.done() + self.machines.len() as u64;
        if steps.is_exhausted() && !cycle.queue.is_done(MAX_EVICTIONS_PER_CYCLE) {
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
        for job in self.jobs.values().filter(|j| j.is_schedulable()) {
            least.cpus = least.cpus.min(job.shape.cpus);
            least.gpus = least.gpus.min(job.shape.gpus);
            least.memory_gb = least.memory_gb.min(job.shape.memory_gb);
        }
        least
    }

    /// One walk over the machines for all that a slice wants to know of them.
    fn cluster_snapshot(&self, now: Time) -> ClusterSnapshot {
        let silent_after = self.silence_limit_s();
        let mut snapshot = ClusterSnapshot {
            cpus_by_type: vec![[0.0; 2]; self.machine_types.len()],
            ..ClusterSnapshot::default()
        };
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let room = Shape::of_type(&self.machine_types[index]);
            if self.is_unsized(machine) {
                snapshot.unaccounted.add(&room, 1.0);
            }
            if machine.delete_reason.is_none()
                && machine.reclaim_at.is_none()
                && !machine.reachability.is_unreachable()
            {
                snapshot.cpus_by_type[index][usize::from(machine.spot)] += room.cpus;
            }
            let free = room.plus(&machine.allocated, -1.0);
            // Most machines of a busy fleet are full: what follows is for the
            // few that are not.
            if !self.smallest_waiting_shape.fits_in(&free)
                || !machine.accepts_tasks(now, silent_after)
            {
                continue;
            }
            let spot = SlotInfo {
                type_index: index,
                zone: &machine.zone,
                spot: machine.spot,
                free,
                heartbeat_due_in_s: (self.cfg.heartbeat_interval_s - machine.silent_for(now))
                    .max(0.0),
                reservations: machine.reservations,
            };
            snapshot
                .slots
                .push(machine.name.clone(), spot, &machine.images);
            for (image, _) in &machine.image_uses {
                snapshot.slots.add_fetching(*image);
            }
            if let Some(claim) = &machine.claim
                && now < claim.until
            {
                snapshot
                    .claimed_slots
                    .push((claim.tier, snapshot.slots.len() - 1));
            }
        }
        snapshot
    }

    /// Whether the machine may hold tasks of jobs already over that no record
    /// gives the size of.
    pub(super) fn is_unsized(&self, machine: &super::Machine) -> bool {
        machine.has_unsized_orphans
            || (machine.inherited
                && (self.count_whole_machines
                    || self.unaccounted_machines.contains(&machine.name)
                    || self.orphaned_jobs.may_hold_unknown_shape(&machine.name)))
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
                let counted = job.occupied_tasks() - job.unrecorded_recovery_pending();
                usage[team].add(&job.shape, counted as f64);
            }
        }
        self.orphaned_jobs.add_usage_to(&mut usage);
        for (team, used) in self.cfg.teams.iter().zip(&mut usage) {
            if team.is_limited() {
                used.add(unaccounted, 1.0);
            }
        }
        usage
    }
}
