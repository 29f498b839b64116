//! The design's ordinary path: who is evicted for an upper-tier job.

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

/// What may be lost, gathered once in a slice for all blocked jobs that stand
/// alike.
#[derive(Default)]
pub(super) struct EvictionCandidates {
    groups: Vec<CandidateGroup>,
    /// Machines and tasks looked at so far.
    pub examined: u64,
}

/// For beneficiaries of one class.
struct CandidateGroup {
    of: (PreemptionClass<Priority>, bool),
    /// Machines by name, with the tasks there that may be lost.
    machines: Vec<(MachineId, Vec<(JobId, u32)>)>,
    /// Localities in which none of them lies.
    exhausted: Vec<MachineFilter>,
    examined: u64,
}

impl Engine {
    /// Whether the job could ever lose a task: if not, no search looks at it.
    pub(super) fn may_ever_be_preempted(&self, job: &Job) -> bool {
        let tuning = &self.cfg.tuning;
        !job.is_service()
            && !job.has_reached_eviction_limit(tuning.max_evictions_per_task)
            && (job.spec.deadline_s.is_none()
                || tuning.evict_deadline_work > 0.0
                || tuning.reclaim_deadline_work > 0.0)
    }

    /// The design's ordinary path: an upper-tier job that neither fits nor can
    /// rent room in time evicts, of the sets priced at or below the median,
    /// the one with the fewest jobs. True if the search was worth its time.
    pub(super) fn evict_for(
        &mut self,
        now: Time,
        id: &JobId,
        usage: &mut [Usage],
        searched: &mut EvictionCandidates,
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
        let group = self.candidate_group(job, reclaim, usage, &preemptible, searched);
        if searched.groups[group].exhausted.contains(&filter) {
            return false;
        }
        let mut examined = 0;
        let mut hosts = 0;
        let machines = searched.groups[group].machines.iter();
        let candidates = machines.filter_map(|(name, tasks)| {
            examined += 1;
            let machine = self.evictable_machine(now, name, &filter)?;
            examined += tasks.len() as u64;
            let host = self.eviction_host(now, job, machine, tasks, reclaim, usage)?;
            hosts += 1;
            Some(host)
        });
        let max_sets = self.cfg.tuning.max_eviction_sets as usize;
        let selection = select_victims(&job.shape, candidates, max_sets);
        searched.examined += examined;
        if hosts == 0 {
            // Who may lose, where, only becomes less while this slice lasts.
            searched.groups[group].exhausted.push(filter);
            return false;
        }
        let Some(selection) = selection else {
            return true;
        };
        log_eviction(id, &selection, reclaim);
        let tier = job.spec.priority;
        let saving_s = self.stop_victims(now, &selection.tasks, usage);
        self.claim_room(now, id, tier, &selection.machine, saving_s);
        true
    }

    /// Whether the job may evict at all just now.
    fn may_evict(&self, now: Time, job: &Job) -> bool {
        // A job that fails everywhere would keep evicting for ever.
        job.is_schedulable()
            && !job.suspected_faulty
            && job.errors < self.cfg.tuning.max_errors_of_evicting_job as u32
            && now >= job.next_eviction_at
    }

    /// Index of the group of candidates for jobs of this class, gathered once in a slice.
    fn candidate_group(
        &self,
        job: &Job,
        reclaim: bool,
        usage: &[Usage],
        preemptible: &[OrdSet<JobId>],
        searched: &mut EvictionCandidates,
    ) -> usize {
        let of = (job.preemption_class(), reclaim);
        if let Some(group) = searched.groups.iter().position(|group| group.of == of) {
            return group;
        }
        let group = self.build_candidate_group(job, reclaim, usage, preemptible);
        searched.examined += group.examined;
        searched.groups.push(group);
        searched.groups.len() - 1
    }

    /// The machine, if it takes tasks and lies within the filter.
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

    /// What may be evicted on a machine, with prices; none if nothing may.
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
        let capacity = Shape::of_type(&self.machine_types[machine.type_index?]);
        (!running.is_empty()).then(|| EvictionHost {
            machine: machine.name.clone(),
            free: capacity.plus(&machine.allocated, -1.0),
            running,
        })
    }

    /// Stops the victims, or lets those wait again that nobody was told of. The longest
    /// time that one has to save, in seconds.
    fn stop_victims(&mut self, now: Time, tasks: &[(JobId, u32)], usage: &mut [Usage]) -> f64 {
        let limit = self.cfg.tuning.max_evictions_per_task;
        let mut saving_s: f64 = 0.0;
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
            saving_s = saving_s.max(grace_s);
            if let Some(placement) = victim.placements.get_mut(task) {
                placement.pending_stop = Some(PendingStop {
                    grace_s,
                    required_eviction_count: evictions,
                });
            }
        }
        saving_s
    }

    /// Keeps the room for the job until it is free, or the job would evict for it again.
    fn claim_room(
        &mut self,
        now: Time,
        id: &JobId,
        tier: Priority,
        machine: &MachineId,
        saving_s: f64,
    ) {
        let hold_s = 2.0 * self.cfg.heartbeat_interval_s + 1.0 + saving_s;
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

    /// Lets a task wait again that no worker has been told of, if it is one. No
    /// worker could obey a stop: the task would stay planned, and hold its place,
    /// until the next leader.
    pub(super) fn unplace_if_unsent(&mut self, id: &JobId, task: u32, usage: &mut [Usage]) -> bool {
        let unsent_launches = |job: &&Job| {
            job.placements
                .get(&task)
                .is_some_and(|p| !p.may_be_known_to_worker())
        };
        let Some(job) = self.jobs.get(id).filter(unsent_launches) else {
            return false;
        };
        if let Some(team) = job.team {
            usage[team].add(&job.shape, -1.0);
        }
        self.requeue_task(id, task);
        true
    }

    /// The tasks that may be lost to a job of this class, by machine.
    fn build_candidate_group(
        &self,
        winner: &Job,
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
                if !self.may_preempt(winner, victim, placement, reclaim, usage) {
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
            of: (winner.preemption_class(), reclaim),
            machines: machines.into_iter().collect(),
            exhausted: Vec::new(),
            examined,
        }
    }

    pub(super) fn may_preempt(
        &self,
        winner: &Job,
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
        // Never below the victim team's guarantee.
        let beyond = victim.team.is_none_or(|team| {
            let limits = &self.cfg.teams[team];
            !limits.has_guarantee()
                || usage[team].cpus - victim.shape.cpus >= limits.guaranteed_cpus - 1e-6
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

    /// Work lost since the start or the last checkpoint, in seconds: nothing where
    /// no worker has been told yet.
    pub(super) fn lost_work_s(&self, now: Time, victim: &Job, placement: &Placement) -> f64 {
        if !placement.may_be_known_to_worker() {
            return 0.0;
        }
        let ran = placement.running_since.map_or(0.0, |since| now - since);
        let checkpoint = victim.spec.checkpoint_s();
        let lost = if checkpoint > 0.0 {
            // It saves when told to stop: what is lost is the time to save.
            (ran % checkpoint).min(victim.spec.save_s())
        } else {
            ran
        };
        lost.max(self.cfg.tuning.min_eviction_price_s)
    }

    /// Whether a rented machine can be up before the job must start.
    pub(super) fn can_rent_in_time(&self, now: Time, job: &Job) -> bool {
        let Some(slack) = self.slack_s(now, job) else {
            return true;
        };
        self.machine_types.iter().enumerate().any(|(index, t)| {
            job.shape.fits_in(&Shape::of_type(t))
                && t.boot_s <= slack
                && t.zones.iter().any(|zone| {
                    [true, false].into_iter().any(|spot| {
                        allows_machine(&job.spec, &t.name, zone, spot)
                            && !self.is_rental_backed_off(now, index, zone, spot)
                    })
                })
        })
    }
}

fn log_eviction(id: &JobId, selection: &VictimSet<MachineId, JobId>, reclaim: bool) {
    let victims: Vec<String> = selection
        .tasks
        .iter()
        .map(|(job, task)| format!("{job}/{task}"))
        .collect();
    let reason = match reclaim {
        true => "the team's guarantee",
        false => "upper tier, no room and none to rent in time",
    };
    info!(
        job = &**id,
        machine = &*selection.machine,
        ?victims,
        price_s = selection.lost_work_s,
        median_s = selection.median_lost_work_s,
        sets = selection.set_count,
        jobs = selection.job_count,
        reason,
        "evicts"
    );
}
