//! The design's ordinary path: who is evicted for an upper-tier job.

use std::collections::BTreeMap;

use imbl::OrdSet;
use tracing::info;
use umbersail_cycle::{Locality, PreemptionClass};
use umbersail_policy::{Host, Running, Shape, Usage, select_victims, type_allowed};
use umbersail_wire::{Priority, TaskState};

use super::machine::Claim;
use super::{Engine, Job, JobId, MachineId, Placement, Stop, Time};

/// What may be lost, gathered once in a slice for all blocked jobs that stand
/// alike.
#[derive(Default)]
pub(super) struct EvictionCandidates {
    groups: Vec<CandidateGroup>,
    /// Machines and tasks looked at so far.
    pub looked: u64,
}

/// For winners of one class.
struct CandidateGroup {
    of: (PreemptionClass<Priority>, bool),
    /// Machines by name, with the tasks there that may be lost.
    machines: Vec<(MachineId, Vec<(JobId, u32)>)>,
    /// Reaches in which none of them lies.
    exhausted: Vec<Locality>,
    looked: u64,
}

impl Engine {
    /// Whether the job could ever lose a task: if not, no search looks at it.
    pub(super) fn is_ever_preemptible(&self, job: &Job) -> bool {
        let tuning = &self.cfg.tuning;
        !job.is_service()
            && !job.is_spared(tuning.evict_loser_limit)
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
        let tuning = self.cfg.tuning.clone();
        let Some(job) = self.jobs.get(id).filter(|j| j.waits()) else {
            return false;
        };
        // A job that fails everywhere would keep evicting for ever.
        if job.suspect
            || job.errors >= tuning.evict_errors_limit as u32
            || now < job.evict_hold_until
        {
            return false;
        }
        let reclaim = self.is_guaranteed(job, usage);
        if !reclaim && job.spec.priority == Priority::Low {
            return false;
        }
        let class = job.preemption_class();
        let preemptible = self.preemptible.to(class, reclaim);
        if preemptible.is_empty() || (!reclaim && self.can_rent_in_time(now, job)) {
            return false;
        }
        let locality = self.locality_where(job, |_, t| job.shape.fits_in(&Shape::of_type(t)));
        let group = match searched
            .groups
            .iter()
            .position(|h| h.of == (class, reclaim))
        {
            Some(group) => group,
            None => {
                let group = self.group(job, reclaim, usage, &preemptible);
                searched.looked += group.looked;
                searched.groups.push(group);
                searched.groups.len() - 1
            }
        };
        let CandidateGroup {
            machines,
            exhausted,
            ..
        } = &mut searched.groups[group];
        if exhausted.contains(&locality) {
            return false;
        }
        let silent_after = self.silent_after();
        let mut looked = 0;
        let mut hosts = 0;
        let candidates = machines.iter().filter_map(|(name, tasks)| {
            looked += 1;
            let machine = self.machines.get(name)?;
            let index = machine.type_index?;
            if !machine.takes_tasks(now, silent_after)
                || !locality.has(index, &machine.zone, machine.spot, machine.reservations)
            {
                return None;
            }
            looked += tasks.len() as u64;
            let running: Vec<Running<JobId>> = tasks
                .iter()
                .filter_map(|(other, task)| {
                    let victim = self.jobs.get(other)?;
                    let placement = victim.live.get(task)?;
                    self.is_preemptable(job, victim, placement, reclaim, usage)
                        .then(|| Running {
                            job: other.clone(),
                            task: *task,
                            shape: victim.shape,
                            price: self.price(now, victim, placement),
                        })
                })
                .collect();
            if running.is_empty() {
                return None;
            }
            hosts += 1;
            Some(Host {
                machine: name.clone(),
                free: Shape::of_type(&self.types[index]).plus(&machine.used, -1.0),
                running,
            })
        });
        let choice = select_victims(&job.shape, candidates, tuning.evict_sets as usize);
        searched.looked += looked;
        if hosts == 0 {
            // Who may lose, where, only becomes less while this slice lasts.
            exhausted.push(locality);
            return false;
        }
        let Some(choice) = choice else {
            return true;
        };
        info!(
            job = &**id,
            machine = &*choice.machine,
            victims = ?choice.tasks.iter().map(|(j, t)| format!("{j}/{t}")).collect::<Vec<_>>(),
            price_s = choice.price,
            median_s = choice.median,
            sets = choice.sets,
            jobs = choice.jobs,
            reason = if reclaim { "the team's guarantee" } else { "upper tier, no room and none to rent in time" },
            "evicts"
        );
        let tier = class.tier;
        let mut saving_s: f64 = 0.0;
        for (name, task) in &choice.tasks {
            if self.forgo(name, *task, usage) {
                continue;
            }
            if let Some(victim) = self.jobs.get_mut(name) {
                victim.evictions += 1;
                victim.touch(now);
                if victim.is_spared(tuning.evict_loser_limit) {
                    self.preemptible.remove(victim.preemption_class(), name);
                }
                let (evictions, save_s, saves) = (
                    victim.evictions,
                    victim.spec.save_s(),
                    victim.spec.checkpoint_s() > 0.0,
                );
                let grace_s = if saves { save_s + 1.0 } else { 0.0 };
                saving_s = saving_s.max(grace_s);
                if let Some(placement) = victim.live.get_mut(task) {
                    placement.stop = Some(Stop { grace_s, evictions });
                }
            }
        }
        // Until the room is free, or the winner would evict for it again.
        let hold = 2.0 * self.cfg.report_s + 1.0 + saving_s;
        if let Some(machine) = self.machines.get_mut(&choice.machine) {
            machine.claim = Some(Claim {
                winner: id.clone(),
                tier,
                until: now + hold,
            });
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.evict_hold_until = now + hold;
        }
        true
    }

    /// Lets a task wait again that no worker has been told of, if it is one. No
    /// worker could obey a stop: the task would stay planned, and hold its place,
    /// until the next leader.
    pub(super) fn forgo(&mut self, id: &JobId, task: u32, usage: &mut [Usage]) -> bool {
        let untold = |job: &&Job| job.live.get(&task).is_some_and(|p| !p.told());
        let Some(job) = self.jobs.get(id).filter(untold) else {
            return false;
        };
        if let Some(team) = job.team {
            usage[team].add(&job.shape, -1.0);
        }
        self.return_task(id, task);
        true
    }

    /// The tasks that may be lost to a job of this class, by machine.
    fn group(
        &self,
        winner: &Job,
        reclaim: bool,
        usage: &[Usage],
        preemptible: &[OrdSet<JobId>],
    ) -> CandidateGroup {
        let mut machines: BTreeMap<MachineId, Vec<(JobId, u32)>> = BTreeMap::new();
        let mut looked = 0;
        for id in preemptible.iter().flatten() {
            looked += 1;
            let Some(victim) = self.jobs.get(id) else {
                continue;
            };
            for (task, placement) in &victim.live {
                looked += 1;
                if !self.is_preemptable(winner, victim, placement, reclaim, usage) {
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
            looked,
        }
    }

    pub(super) fn is_preemptable(
        &self,
        winner: &Job,
        victim: &Job,
        placement: &Placement,
        reclaim: bool,
        usage: &[Usage],
    ) -> bool {
        let tuning = &self.cfg.tuning;
        if placement.stop.is_some()
            || placement.seen == Some(TaskState::Saving)
            || victim.is_service()
            || victim.cancelled
            || victim.is_spared(tuning.evict_loser_limit)
        {
            return false;
        }
        // Never below the victim team's guarantee.
        let beyond = victim.team.is_none_or(|team| {
            let limits = &self.cfg.teams[team];
            !limits.has_guarantee() || usage[team].cpus - victim.shape.cpus >= limits.cpus - 1e-6
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
    pub(super) fn price(&self, now: Time, victim: &Job, placement: &Placement) -> f64 {
        if !placement.told() {
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
        lost.max(self.cfg.tuning.min_work_price_s)
    }

    /// Whether a rented machine can be up before the job must start.
    pub(super) fn can_rent_in_time(&self, now: Time, job: &Job) -> bool {
        let Some(slack) = self.slack_s(now, job) else {
            return true;
        };
        self.types.iter().enumerate().any(|(index, t)| {
            job.shape.fits_in(&Shape::of_type(t))
                && t.boot_s <= slack
                && t.zones.iter().any(|zone| {
                    [true, false].into_iter().any(|spot| {
                        type_allowed(&job.spec, &t.name, zone, spot)
                            && !self.is_refused(now, index, zone, spot)
                    })
                })
        })
    }
}
