//! Which waiting task goes where.

use std::collections::{BTreeMap, BTreeSet};

use tracing::debug;
use umbersail_policy::{
    MachineView, PlaceWeights, Shape, TaskView, Usage, quota_room, rank_machines, type_allowed,
};
use umbersail_wire::Priority;

use super::{Engine, Job, Name, Placement, Stop, Time};

/// How often a blocked job may be looked at for eviction in one pass.
const EVICTIONS_PER_PASS: usize = 4;

impl Engine {
    /// True if something changed that may let a task start.
    pub fn wants_schedule(&self) -> bool {
        self.schedule_wanted
    }

    /// Places waiting tasks; launches follow with the machines' next reports.
    pub fn schedule(&mut self, now: Time) {
        self.schedule_wanted = false;
        let usage = self.team_usage();
        let mut usage: Vec<Usage> = usage;
        let order = self.waiting_order(now, &usage);
        let reserved: BTreeMap<Priority, Vec<f64>> = order
            .iter()
            .filter_map(|id| self.jobs.get(id).map(|j| j.spec.priority))
            .collect::<BTreeSet<Priority>>()
            .into_iter()
            .map(|tier| (tier, self.reserved_types(&order, tier)))
            .collect();
        let mut blocked: Vec<Name> = Vec::new();
        for id in order {
            let Some(tier) = self.jobs.get(&id).map(|j| j.spec.priority) else {
                continue;
            };
            if self.place_job(now, &id, &mut usage, &reserved[&tier]) {
                blocked.push(id);
            }
        }
        let mut looked_at = 0;
        for id in blocked {
            if looked_at >= EVICTIONS_PER_PASS {
                break;
            }
            if self.evict_for(now, &id, &usage) {
                looked_at += 1;
            }
        }
    }

    /// What each team's tasks use. Unaccounted ones count as present (rule 4):
    /// tasks in limbo by their own size, and for limited teams every machine
    /// that may hold tasks of jobs already over by its whole size.
    fn team_usage(&self) -> Vec<Usage> {
        let mut usage = vec![Usage::default(); self.cfg.teams.len()];
        for job in self.jobs.values() {
            if let Some(team) = job.team {
                usage[team].add(&job.shape, job.occupied() as f64);
            }
        }
        let mut unaccounted = Shape::default();
        for machine in self.machines.values() {
            if (machine.inherited || machine.strangers)
                && let Some(index) = machine.type_index
            {
                unaccounted.add(&Shape::of_type(&self.types[index]), 1.0);
            }
        }
        for (team, used) in self.cfg.teams.iter().zip(&mut usage) {
            if team.is_limited() {
                used.add(&unaccounted, 1.0);
            }
        }
        usage
    }

    /// Whether the job does better to wait for a place where its image is: it
    /// would start too late after a fetch, and in time if such a place falls
    /// free within the time that is left.
    fn awaits_image(&self, now: Time, job: &Job, usage: &[Usage], silent_after: f64) -> bool {
        let tuning = &self.cfg.tuning;
        let Some(within) = self.start_aim(job, self.is_guaranteed(job, usage)) else {
            return false;
        };
        let left = within - (now - job.submitted);
        if left < tuning.image_wait_s || self.fetch_s(job) <= left {
            return false;
        }
        let places = self.machines.values().filter(|m| {
            m.has_image(&job.spec.image)
                && m.takes_tasks(now, silent_after)
                && m.type_index
                    .is_some_and(|i| job.shape.fits_in(&Shape::of_type(&self.types[i])))
        });
        let least = (tuning.image_places * f64::from(job.pending())).ceil() as usize;
        places.take(least).count() >= least
    }

    /// For each type the largest "smallest type" among waiting jobs of this
    /// tier or above that it takes: smaller tasks keep off. A lower tier's
    /// large task reserves nothing against an upper tier.
    fn reserved_types(&self, waiting: &[Name], tier: Priority) -> Vec<f64> {
        self.types
            .iter()
            .map(|t| {
                let room = Shape::of_type(t);
                waiting
                    .iter()
                    .filter_map(|id| self.jobs.get(id))
                    .filter(|j| {
                        j.spec.priority >= tier
                            && j.shape.fits_in(&room)
                            && j.spec
                                .types
                                .as_ref()
                                .is_none_or(|names| names.contains(&t.name))
                    })
                    .map(|j| j.smallest_cpus)
                    .fold(0.0, f64::max)
            })
            .collect()
    }

    /// The zone that the job's present tasks fix, and how many each zone has.
    /// Tasks in limbo count wherever they may be (rule 4).
    fn zones_of(&self, job: &Job) -> (Option<String>, BTreeMap<String, u32>) {
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        for placement in job.live.values() {
            if let Some(machine) = self.machines.get(&placement.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        for host in &job.inherited {
            if let Some(machine) = self.machines.get(host) {
                *zones.entry(machine.zone.clone()).or_default() += job.limbo.len() as u32;
            }
        }
        let only = job
            .spec
            .one_zone()
            .then(|| zones.keys().next().cloned())
            .flatten();
        (only, zones)
    }

    /// Places what fits of one job; true if tasks are left that a machine
    /// might take if there were room.
    fn place_job(&mut self, now: Time, id: &Name, usage: &mut [Usage], reserved: &[f64]) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut quota = match job.team {
            Some(team) => quota_room(&self.cfg.teams[team], &usage[team], &job.shape),
            None => 0,
        };
        if quota == 0 {
            self.set_blocked(id, "the team's limit");
            return false;
        }
        let reserved_types: Vec<String> = self
            .types
            .iter()
            .zip(reserved)
            .filter(|(_, most)| **most > job.smallest_cpus + 1e-6)
            .map(|(t, _)| t.name.clone())
            .collect();
        let (mut only_zone, mut zones) = self.zones_of(job);
        let silent_after = self.silent_after();
        let mut views: Vec<MachineView<'_, Name>> = Vec::new();
        for machine in self.machines.values() {
            let Some(index) = machine.type_index else {
                continue;
            };
            let machine_type = &self.types[index];
            // Most machines of a busy fleet are full: what follows is for the
            // few that are not.
            let free = Shape::of_type(machine_type).plus(&machine.used, -1.0);
            if !job.shape.fits_in(&free)
                || !machine.takes_tasks(now, silent_after)
                || !type_allowed(&job.spec, &machine_type.name, &machine.zone, machine.spot)
                || job.error_machines.contains(&machine.name)
            {
                continue;
            }
            let has_image = machine.has_image(&job.spec.image);
            views.push(MachineView {
                machine: machine.name.clone(),
                machine_type,
                zone: &machine.zone,
                spot: machine.spot,
                free,
                has_image,
                report_in_s: (self.cfg.report_s - machine.silent_for(now)).max(0.0),
                fetching_image: !has_image
                    && machine.tasks.iter().any(|(other, _)| {
                        self.jobs
                            .get(other)
                            .is_some_and(|o| o.spec.image == job.spec.image)
                    }),
            });
        }
        // Looked at only where it decides anything: it goes over all machines.
        let awaits_image =
            views.iter().any(|v| !v.has_image) && self.awaits_image(now, job, usage, silent_after);
        if awaits_image {
            views.retain(|v| v.has_image);
        }
        if only_zone.is_none() && job.spec.one_zone() {
            // The zone with most room takes them all.
            let mut room: BTreeMap<&str, u32> = BTreeMap::new();
            for view in &views {
                if type_allowed(&job.spec, &view.machine_type.name, view.zone, view.spot) {
                    *room.entry(view.zone).or_default() += job.shape.slots_in(&view.free);
                }
            }
            only_zone = room
                .into_iter()
                .max_by_key(|(_, slots)| *slots)
                .map(|(zone, _)| zone.to_owned());
        }
        let task = TaskView {
            spec: &job.spec,
            shape: job.shape,
            smallest_cpus: job.smallest_cpus,
            only_zone: only_zone.as_deref(),
            reserved_types: &reserved_types,
        };
        let ranked = rank_machines(
            &task,
            &views,
            PlaceWeights {
                image: self.cfg.tuning.image_weight_s,
                oversize: self.cfg.tuning.oversize_cost,
                ordinary: self.cfg.tuning.ordinary_cost,
            },
        );
        let zone_limit = if job.spec.spread() {
            job.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        // Where the record could not name all machines, the job keeps to some.
        let most_hosts = self.most_hosts(job.spec.tasks);
        let hosts = (most_hosts < self.machines.len()).then(|| job.hosts());
        let mut hosts_left = hosts
            .as_ref()
            .map_or(usize::MAX, |hosts| most_hosts.saturating_sub(hosts.len()));
        let mut wanted = job.pending();
        let mut chosen: Vec<(Name, u32)> = Vec::new();
        for (machine, slots) in ranked {
            let Some(zone) = self.machines.get(&machine).map(|m| m.zone.clone()) else {
                continue;
            };
            let in_zone = zones.entry(zone).or_default();
            let n = slots
                .min(wanted)
                .min(quota)
                .min(zone_limit.saturating_sub(*in_zone));
            if n == 0 {
                continue;
            }
            if hosts
                .as_ref()
                .is_some_and(|hosts| !hosts.contains(&machine))
            {
                if hosts_left == 0 {
                    continue;
                }
                hosts_left -= 1;
            }
            *in_zone += n;
            wanted -= n;
            quota -= n;
            chosen.push((machine, n));
        }
        for (machine, n) in chosen {
            for _ in 0..n {
                self.place(now, id, &machine, usage);
            }
        }
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
        wanted > 0 && quota > 0 && !awaits_image
    }

    fn set_blocked(&mut self, id: &Name, reason: &'static str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.blocked = reason;
        }
    }

    fn place(&mut self, now: Time, id: &Name, machine: &Name, usage: &mut [Usage]) {
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
        let shape = job.shape;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.hold(id, task, &shape);
            self.untold.insert(machine.name.clone());
        }
        debug!(job = &**id, task, machine = &**machine, attempt, "placed");
    }

    /// Machines about to be taken back: what can't finish there moves now.
    pub(super) fn handle_notices(&mut self, now: Time) {
        let mut stops: Vec<(Name, u32, f64)> = Vec::new();
        let silent_after = self.silent_after();
        let mut unplan: Vec<(Name, u32)> = Vec::new();
        for machine in self.machines.values_mut() {
            let leaving = machine.notice_until;
            let silent = machine.silent_for(now) >= silent_after;
            if leaving.is_none() && !silent && machine.delete_reason.is_none() {
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
