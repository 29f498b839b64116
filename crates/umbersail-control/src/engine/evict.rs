//! The design's ordinary path: who is evicted for an upper-tier job.

use tracing::info;
use umbersail_policy::{Host, Running, Shape, Usage, select_victims, type_allowed};
use umbersail_wire::{Priority, TaskState};

use super::{Engine, Job, Name, Placement, Stop, Time};

impl Engine {
    /// The design's ordinary path: an upper-tier job that neither fits nor can
    /// rent room in time evicts, of the sets priced at or below the median,
    /// the one with the fewest jobs. True if the search was worth its time.
    pub(super) fn evict_for(&mut self, now: Time, id: &Name, usage: &[Usage]) -> bool {
        let tuning = self.cfg.tuning.clone();
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        // A job that fails everywhere would keep evicting for ever.
        if job.errors >= tuning.evict_errors_limit as u32 || now < job.evict_hold_until {
            return false;
        }
        let reclaim = self.is_guaranteed(job, usage);
        if !reclaim && job.spec.priority == Priority::Low {
            return false;
        }
        if self.can_rent_in_time(now, job) && !reclaim {
            return false;
        }
        let silent_after = self.silent_after();
        let mut hosts: Vec<Host<Name, Name>> = Vec::new();
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let machine_type = &self.types[index];
            if !machine.takes_tasks(now, silent_after)
                || !type_allowed(&job.spec, &machine_type.name, &machine.zone, machine.spot)
                || !job.shape.fits_in(&Shape::of_type(machine_type))
            {
                continue;
            }
            let running: Vec<Running<Name>> = machine
                .tasks
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
            if !running.is_empty() {
                hosts.push(Host {
                    machine: machine.name.clone(),
                    free: Shape::of_type(machine_type).plus(&machine.used, -1.0),
                    running,
                });
            }
        }
        if hosts.is_empty() {
            return false;
        }
        let Some(choice) = select_victims(&job.shape, &hosts, tuning.evict_sets as usize) else {
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
        for (victim, task) in &choice.tasks {
            if let Some(victim) = self.jobs.get_mut(victim) {
                victim.evictions += 1;
                victim.touch(now);
                let (evictions, save_s, saves) = (
                    victim.evictions,
                    victim.spec.save_s(),
                    victim.spec.checkpoint_s() > 0.0,
                );
                if let Some(placement) = victim.live.get_mut(task) {
                    placement.stop = Some(Stop {
                        grace_s: if saves { save_s + 1.0 } else { 0.0 },
                        evictions,
                    });
                }
            }
        }
        let hold = 2.0 * self.cfg.report_s + 1.0;
        if let Some(job) = self.jobs.get_mut(id) {
            job.evict_hold_until = now + hold;
        }
        true
    }

    fn is_preemptable(
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
            || victim.evictions >= tuning.evict_loser_limit as u32
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

    /// Work lost since the start or the last checkpoint, in seconds.
    fn price(&self, now: Time, victim: &Job, placement: &Placement) -> f64 {
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
    fn can_rent_in_time(&self, now: Time, job: &Job) -> bool {
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
