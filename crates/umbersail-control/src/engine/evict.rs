//! Eviction: selects the tasks to stop so that a blocked job of an upper tier can run.

use std::collections::BTreeMap;

use imbl::OrdSet;
use tracing::info;
use umbersail_cycle::{MachineFilter, PreemptionClass};
use umbersail_policy::{
    EvictionHost, PreemptibleTask, Shape, Usage, VictimSet, allows_machine, select_victims,
};
use umbersail_wire::{Priority, TaskState};

use super::machine::Claim;
use super::{Engine, Job, JobId, Machine, MachineId, PendingStop, Placement, Time};

/// Tasks that may be evicted, collected once per slice for all blocked jobs of the same
/// preemption class.
#[derive(Default)]
pub(super) struct EvictionCandidates {
    groups: Vec<CandidateGroup>,
    /// Number of machines and tasks examined so far.
    pub examined: u64,
}

/// Eviction candidates for blocked jobs of one class.
struct CandidateGroup {
    class: (PreemptionClass<Priority>, bool),
    /// Machines by name, each with the tasks on it that may be evicted.
    machines: Vec<(MachineId, Vec<(JobId, u32)>)>,
    /// Machine filters for which a search found no machine with evictable tasks.
    exhausted: Vec<MachineFilter>,
    examined: u64,
}

impl Engine {
    /// Whether the job could ever lose a task to eviction. Jobs that cannot are left out of
    /// all searches.
    pub(super) fn may_ever_be_preempted(&self, job: &Job) -> bool {
        let tuning = &self.cfg.tuning;
        !job.is_service()
            && !job.has_reached_eviction_limit(tuning.max_evictions_per_task)
            && (job.spec.deadline_s.is_none()
                || tuning.evict_deadline_work > 0.0
                || tuning.reclaim_deadline_work > 0.0)
    }

    /// Evicts tasks for a blocked job that fits on no machine. The job must either be covered
    /// by its team's guarantee, or be of an upper tier and unable to get a rented machine in
    /// time. Of the candidate victim sets whose lost work is at or below the
    /// median, the set with the fewest jobs is evicted. Returns whether the search found
    /// any machine with evictable tasks.
    pub(super) fn evict_for(
        &mut self,
        now: Time,
        id: &JobId,
        usage: &mut [Usage],
        candidates: &mut EvictionCandidates,
    ) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| self.may_evict(now, job)) else {
            return false;
        };
        let reclaim = self.is_guaranteed(job, usage);
        if !reclaim && job.spec.priority == Priority::Low {
            return false;
        }
        let preemptible = self
            .preemptible_jobs
            .preemptible_by(job.preemption_class(), reclaim);
        if preemptible.is_empty() || (!reclaim && self.can_rent_in_time(now, job)) {
            return false;
        }
        let filter = self.machine_filter_where(job, |_, t| job.shape.fits_in(&Shape::of_type(t)));
        let group = self.candidate_group(job, reclaim, usage, &preemptible, candidates);
        if candidates.groups[group].exhausted.contains(&filter) {
            return false;
        }
        let zones = self.open_zones(job);
        let mut examined = 0;
        let mut host_count = 0;
        let machines = candidates.groups[group].machines.iter();
        let hosts = machines.filter_map(|(name, tasks)| {
            examined += 1;
            let machine = self.evictable_machine(now, name, &filter)?;
            if !zones.allows(&machine.zone) {
                return None;
            }
            examined += tasks.len() as u64;
            let host = self.eviction_host(now, job, machine, tasks, reclaim, usage)?;
            host_count += 1;
            Some(host)
        });
        let max_sets = self.cfg.tuning.max_eviction_sets as usize;
        let victim_set = select_victims(&job.shape, hosts, max_sets);
        candidates.examined += examined;
        if host_count == 0 {
            // Within a slice, tasks can only become unavailable for eviction, so a repeated
            // search would find nothing either.
            if zones.are_all() {
                candidates.groups[group].exhausted.push(filter);
            }
            return false;
        }
        let Some(victim_set) = victim_set else {
            return true;
        };
        log_eviction(id, &victim_set, reclaim);
        let tier = job.spec.priority;
        let max_grace_s = self.stop_victims(now, &victim_set.tasks, usage);
        self.claim_room(now, id, tier, &victim_set.machine, max_grace_s);
        true
    }

    /// Whether the job may evict other tasks now.
    fn may_evict(&self, now: Time, job: &Job) -> bool {
        // A job that fails on every machine would evict tasks without end.
        job.is_schedulable()
            && !job.suspected_faulty
            && job.errors < self.cfg.tuning.max_errors_of_evicting_job as u32
            && now >= job.next_eviction_at
    }

    /// Index of the candidate group for jobs of this class, which is built on first use in
    /// a slice.
    fn candidate_group(
        &self,
        job: &Job,
        reclaim: bool,
        usage: &[Usage],
        preemptible: &[OrdSet<JobId>],
        candidates: &mut EvictionCandidates,
    ) -> usize {
        let class = (job.preemption_class(), reclaim);
        if let Some(group) = candidates
            .groups
            .iter()
            .position(|group| group.class == class)
        {
            return group;
        }
        let group = self.build_candidate_group(job, reclaim, usage, preemptible);
        candidates.examined += group.examined;
        candidates.groups.push(group);
        candidates.groups.len() - 1
    }

    /// The machine, if it takes tasks and matches the filter.
    fn evictable_machine(
        &self,
        now: Time,
        name: &MachineId,
        filter: &MachineFilter,
    ) -> Option<&Machine> {
        let machine = self.machines.get(name)?;
        let index = machine.type_index?;
        let usable = machine.accepts_tasks(now, self.silence_limit_s())
            && filter.matches(index, &machine.zone, machine.spot, machine.reservations);
        usable.then_some(machine)
    }

    /// The tasks that may be evicted from a machine, with the work that each would lose;
    /// `None` if there are none.
    fn eviction_host(
        &self,
        now: Time,
        beneficiary: &Job,
        machine: &Machine,
        tasks: &[(JobId, u32)],
        reclaim: bool,
        usage: &[Usage],
    ) -> Option<EvictionHost<MachineId, JobId>> {
        let running: Vec<PreemptibleTask<JobId>> = tasks
            .iter()
            .filter_map(|(id, task)| {
                let victim = self.jobs.get(id)?;
                let placement = victim.placements.get(task)?;
                self.may_preempt(beneficiary, victim, placement, reclaim, usage)
                    .then(|| PreemptibleTask {
                        job: id.clone(),
                        task: *task,
                        shape: victim.shape,
                        lost_work_s: self.lost_work_s(now, victim, placement),
                    })
            })
            .collect();
        let machine_type = &self.machine_types[machine.type_index?];
        (!running.is_empty()).then(|| EvictionHost {
            machine: machine.name.clone(),
            free: machine.free(machine_type),
            running,
        })
    }

    /// Stops the victims; those that no worker was told of go back to the queue instead.
    /// Returns the longest grace period, in seconds, that a victim has for saving its
    /// state.
    fn stop_victims(&mut self, now: Time, tasks: &[(JobId, u32)], usage: &mut [Usage]) -> f64 {
        let limit = self.cfg.tuning.max_evictions_per_task;
        let mut max_grace_s: f64 = 0.0;
        for (id, task) in tasks {
            if self.unplace_if_unsent(id, *task, usage) {
                continue;
            }
            let Some(victim) = self.jobs.get_mut(id) else {
                continue;
            };
            victim.evictions += 1;
            victim.mark_dirty(now);
            if victim.has_reached_eviction_limit(limit) {
                self.preemptible_jobs.remove(victim.preemption_class(), id);
            }
            let evictions = victim.evictions;
            let grace_s = victim.save_grace_s();
            max_grace_s = max_grace_s.max(grace_s);
            if let Some(placement) = victim.placements.get_mut(task) {
                placement.pending_stop = Some(PendingStop {
                    grace_s,
                    required_eviction_count: evictions,
                });
            }
        }
        max_grace_s
    }

    /// Reserves the freed capacity for the job until the victims are gone. Otherwise the
    /// job would evict again for the same capacity.
    fn claim_room(
        &mut self,
        now: Time,
        id: &JobId,
        tier: Priority,
        machine: &MachineId,
        max_grace_s: f64,
    ) {
        let hold_s = 2.0 * self.cfg.heartbeat_interval_s + 1.0 + max_grace_s;
        let until = now + hold_s;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.claim = Some(Claim {
                claimant: id.clone(),
                tier,
                until,
            });
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.next_eviction_at = until;
        }
    }

    /// Returns a task to the queue if no worker was told of it, and reports whether it did
    /// so. No worker could carry out a stop command for such a task: it would stay
    /// planned, and occupy its slot, until the next leader takes over.
    pub(super) fn unplace_if_unsent(&mut self, id: &JobId, task: u32, usage: &mut [Usage]) -> bool {
        let is_unsent = |job: &&Job| {
            job.placements
                .get(&task)
                .is_some_and(|p| !p.may_be_known_to_worker())
        };
        let Some(job) = self.jobs.get(id).filter(is_unsent) else {
            return false;
        };
        if let Some(team) = job.team {
            usage[team].add(&job.shape, -1.0);
        }
        self.requeue_task(id, task);
        true
    }

    /// Collects the tasks that may be evicted for a job of this class, by machine.
    fn build_candidate_group(
        &self,
        beneficiary: &Job,
        reclaim: bool,
        usage: &[Usage],
        preemptible: &[OrdSet<JobId>],
    ) -> CandidateGroup {
        let mut machines: BTreeMap<MachineId, Vec<(JobId, u32)>> = BTreeMap::new();
        let mut examined = 0;
        for id in preemptible.iter().flatten() {
            examined += 1;
            let Some(victim) = self.jobs.get(id) else {
                continue;
            };
            for (task, placement) in &victim.placements {
                examined += 1;
                if !self.may_preempt(beneficiary, victim, placement, reclaim, usage) {
                    continue;
                }
                let tasks = machines.entry(placement.machine.clone()).or_default();
                tasks.push((id.clone(), *task));
            }
        }
        for tasks in machines.values_mut() {
            tasks.sort();
        }
        CandidateGroup {
            class: (beneficiary.preemption_class(), reclaim),
            machines: machines.into_iter().collect(),
            exhausted: Vec::new(),
            examined,
        }
    }

    pub(super) fn may_preempt(
        &self,
        beneficiary: &Job,
        victim: &Job,
        placement: &Placement,
        reclaim: bool,
        usage: &[Usage],
    ) -> bool {
        let tuning = &self.cfg.tuning;
        if placement.pending_stop.is_some()
            || placement.observed_state == Some(TaskState::Saving)
            || victim.is_service()
            || victim.cancelled
            || victim.has_reached_eviction_limit(tuning.max_evictions_per_task)
        {
            return false;
        }
        // An eviction must not take the victim's team below its guarantee.
        let keeps_guarantee = victim.team.is_none_or(|team| {
            let team_limits = &self.cfg.teams[team];
            !team_limits.has_guarantee()
                || usage[team].cpus - victim.shape.cpus >= team_limits.guaranteed_cpus - 1e-6
        });
        if !keeps_guarantee {
            return false;
        }
        let has_deadline = victim.spec.deadline_s.is_some();
        if reclaim && victim.team != beneficiary.team {
            return !has_deadline || tuning.reclaim_deadline_work > 0.0;
        }
        victim.spec.priority < beneficiary.spec.priority
            && (!has_deadline || tuning.evict_deadline_work > 0.0)
    }

    /// Work that stopping the task would lose, in seconds since its start or its last
    /// checkpoint. Zero if no worker was told of the task.
    pub(super) fn lost_work_s(&self, now: Time, victim: &Job, placement: &Placement) -> f64 {
        if !placement.may_be_known_to_worker() {
            return 0.0;
        }
        let ran = placement.running_since.map_or(0.0, |since| now - since);
        let checkpoint = victim.spec.checkpoint_s();
        let lost = if checkpoint > 0.0 {
            // The task saves a checkpoint when told to stop, so only the time for saving is
            // lost.
            (ran % checkpoint).min(victim.spec.save_s())
        } else {
            ran
        };
        lost.max(self.cfg.tuning.min_eviction_price_s)
    }

    /// Whether a newly rented machine can be ready before the job must start.
    pub(super) fn can_rent_in_time(&self, now: Time, job: &Job) -> bool {
        let Some(slack) = self.slack_s(now, job) else {
            return true;
        };
        let zones = self.open_zones(job);
        self.machine_types.iter().enumerate().any(|(index, t)| {
            job.shape.fits_in(&Shape::of_type(t))
                && t.boot_s <= slack
                && t.zones.iter().filter(|z| zones.allows(z)).any(|zone| {
                    [true, false].into_iter().any(|spot| {
                        allows_machine(&job.spec, &t.name, zone, spot)
                            && !self.is_rental_backed_off(now, index, zone, spot)
                    })
                })
        })
    }
}

fn log_eviction(id: &JobId, victim_set: &VictimSet<MachineId, JobId>, reclaim: bool) {
    let victims: Vec<String> = victim_set
        .tasks
        .iter()
        .map(|(job, task)| format!("{job}/{task}"))
        .collect();
    let reason = match reclaim {
        true => "reclaiming the team's guarantee",
        false => "upper-tier job has no room and cannot rent a machine in time",
    };
    info!(
        job = &**id,
        machine = &*victim_set.machine,
        ?victims,
        lost_work_s = victim_set.lost_work_s,
        median_lost_work_s = victim_set.median_lost_work_s,
        candidate_sets = victim_set.set_count,
        jobs = victim_set.job_count,
        reason,
        "evicting tasks"
    );
}
