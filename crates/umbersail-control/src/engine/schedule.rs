//! The scheduling cycle: decides which waiting task runs on which machine, in slices of
//! bounded work.

use std::collections::BTreeMap;

use umbersail_cycle::{
    CandidateSlots, CycleQueue, ImageKey, MachineFilter, Rankings, SlotInfo, StepBudget,
};
use umbersail_policy::{CostProfile, Shape, Usage};
use umbersail_wire::Priority;

use super::evict::EvictionCandidates;
use super::{Engine, JobId, MachineId, Time};

/// Most eviction searches in one cycle. A search that finds no machine with evictable tasks
/// does not count.
pub(super) const MAX_EVICTIONS_PER_CYCLE: usize = 4;

/// A scheduling cycle in progress.
pub(super) struct SchedulingCycle {
    queue: CycleQueue<JobId>,
    large_task_cpus: BTreeMap<Priority, Vec<f64>>,
}

/// The machines as one slice of a cycle sees them, built by one pass over all machines.
#[derive(Default)]
pub(super) struct ClusterSnapshot {
    pub slots: CandidateSlots<MachineId>,
    /// Slots claimed for the beneficiaries of evictions: the beneficiary's tier and the
    /// slot's index.
    pub claimed_slots: Vec<(Priority, usize)>,
    /// Total capacity of the machines that may run orphaned attempts of unknown size (rule
    /// 4).
    unaccounted: Shape,
    /// CPUs by machine type, as [on-demand, spot], of the machines that are running or
    /// booting. Machines that are unreachable or about to be deleted or reclaimed are left
    /// out.
    pub cpus_by_type: Vec<[f64; 2]>,
    /// Number of schedulable machines that have an image cached, by image and machine type.
    /// Computed on first use.
    pub machines_with_image: Option<BTreeMap<(ImageKey, usize), usize>>,
    /// Slot rankings shared by jobs with the same ranking key, and the number of slots
    /// examined to build and read the rankings.
    pub rankings: Option<Rankings<RankingKey>>,
    pub ranked_examined: u64,
}

impl ClusterSnapshot {
    /// Number of slots examined so far.
    fn examined(&self) -> u64 {
        self.slots.examined() + self.ranked_examined
    }

    /// Excludes this machine from further placement in this slice.
    pub fn close(&mut self, machine: &MachineId) {
        let position = (0..self.slots.len()).find(|i| self.slots.get(*i).machine == *machine);
        if let Some(index) = position {
            self.slots.close(index);
        }
    }
}

/// State that the steps of one slice share.
pub(super) struct CycleSlice<'a> {
    pub usage: &'a mut [Usage],
    pub snapshot: &'a mut ClusterSnapshot,
    pub large_task_cpus: &'a [f64],
}

/// The properties of a job that determine its ranking of slots. Jobs with equal keys share
/// one ranking.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RankingKey {
    pub image: ImageKey,
    pub profile: CostProfile,
    pub filter: MachineFilter,
}

impl Engine {
    /// True if something changed that may let a task start, or if a cycle was interrupted.
    pub fn needs_scheduling(&self) -> bool {
        self.cycle_requested || self.unfinished_cycle.is_some()
    }

    /// Whether a cycle was interrupted. Such a cycle resumes without waiting for the next
    /// interval.
    pub fn is_mid_cycle(&self) -> bool {
        self.unfinished_cycle.is_some()
    }

    /// Returns the work that cycles did since the last call, and resets the count. One step
    /// is about the cost of examining one machine.
    pub fn take_steps(&mut self) -> u64 {
        std::mem::take(&mut self.cycle_steps)
    }

    /// Places waiting tasks on machines. Launch commands go out in the replies to the
    /// machines' next heartbeats.
    ///
    /// A cycle pauses after [`super::EngineConfig::slice_steps`] and resumes where it
    /// paused with the next call, so that heartbeats, lease renewals and user requests wait
    /// for one slice at most and not for a pass over the whole cluster. Upper tiers and the
    /// most urgent jobs are placed in the first slice. Each slice takes a new snapshot of
    /// the machines, so heartbeats and cancellations that arrived between two slices are
    /// respected (rules 3 and 4 of `docs/design.md`).
    pub fn schedule(&mut self, now: Time) {
        let mut steps = StepBudget::new(self.cfg.slice_steps);
        if self.unfinished_cycle.is_none() && !self.is_cached_order_valid(now) {
            self.cached_order = None;
            self.smallest_waiting_shape = self.smallest_waiting_shape();
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
        while !steps.is_exhausted() && cycle.queue.eviction_searches < MAX_EVICTIONS_PER_CYCLE {
            let Some(id) = cycle.queue.next_blocked() else {
                break;
            };
            steps.spend(StepBudget::JOB_COST);
            let examined = candidates.examined;
            if self.evict_for(now, &id, &mut usage, &mut candidates) {
                cycle.queue.eviction_searches += 1;
            }
            steps.spend(candidates.examined - examined);
        }
        self.cycle_steps += steps.done() + self.machines.len() as u64;
        if steps.is_exhausted() && !cycle.queue.is_done(MAX_EVICTIONS_PER_CYCLE) {
            self.unfinished_cycle = Some(cycle);
        }
    }

    /// The smallest amount of each resource that any waiting task needs, each resource
    /// taken separately.
    fn smallest_waiting_shape(&self) -> Shape {
        let schedulable = self.jobs.values().filter(|j| j.is_schedulable());
        schedulable.fold(Shape::uniform(f64::INFINITY), |smallest, job| {
            smallest.elementwise_min(&job.shape)
        })
    }

    /// Collects what a slice needs to know about the machines, in one pass over all
    /// machines.
    fn cluster_snapshot(&self, now: Time) -> ClusterSnapshot {
        let silence_limit_s = self.silence_limit_s();
        let mut snapshot = ClusterSnapshot {
            cpus_by_type: vec![[0.0; 2]; self.machine_types.len()],
            ..ClusterSnapshot::default()
        };
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let capacity = Shape::of_type(&self.machine_types[index]);
            if self.is_unsized(machine) {
                snapshot.unaccounted.add(&capacity, 1.0);
            }
            if machine.delete_reason.is_none()
                && machine.reclaim_at.is_none()
                && !machine.reachability.is_unreachable()
            {
                snapshot.cpus_by_type[index][usize::from(machine.spot)] += capacity.cpus;
            }
            let free = machine.free(&self.machine_types[index]);
            // On a busy cluster most machines are full; the remaining work is only done for
            // the few that have room.
            if !self.smallest_waiting_shape.fits_in(&free)
                || !machine.accepts_tasks(now, silence_limit_s)
            {
                continue;
            }
            let slot = SlotInfo {
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
                .push(machine.name.clone(), slot, &machine.images);
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

    /// Whether the machine may run orphaned attempts whose size no record states.
    pub(super) fn is_unsized(&self, machine: &super::Machine) -> bool {
        machine.has_unsized_orphans
            || (machine.inherited
                && (self.count_whole_machines
                    || self.unaccounted_machines.contains(&machine.name)
                    || self.orphaned_jobs.may_hold_unknown_shape(&machine.name)))
    }

    /// Resources that each team uses. Attempts that are not accounted for, so that they may run
    /// or not, count as running (rule 4). Tasks whose recovery is pending, and orphaned
    /// attempts, count by their own size, which is known from records that are kept for as long
    /// as such an attempt may exist. For teams with a limit, every machine that may run
    /// unrecorded attempts counts with its full capacity.
    pub(super) fn team_usage(&self, unaccounted: &Shape) -> Vec<Usage> {
        let mut usage = vec![Usage::default(); self.cfg.teams.len()];
        for job in self.jobs.values() {
            if let Some(team) = job.team {
                // Unrecorded tasks are on machines that count with their full capacity.
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
