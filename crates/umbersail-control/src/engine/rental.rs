//! Machines: what the cloud lists, what is rented and what goes back.

use std::collections::BTreeMap;

use tracing::{info, warn};
use umbersail_policy::{ClassStats, Demand, FleetMachine, IdleLimits, Shape, plan_rental};
use umbersail_wire::{MachineType, RentRequest};

use super::plans::KeptRoom;
use super::{CloudAction, Engine, Job, MachineId, Time, epoch};

/// Most names in one deletion, and machines in one rental, by the protocol.
const DELETE_MOST: usize = 100;
pub(super) const RENT_MOST: u32 = 50;

impl Engine {
    /// What the cloud shall do now, deletions first: they cost money and hold
    /// up tasks.
    pub fn cloud_actions(&mut self, now: Time) -> Vec<CloudAction> {
        self.condemn(now);
        let mut actions = Vec::new();
        // A new name for what may have been granted already would rent without
        // bound while the cloud does not answer.
        let mut purchases = match self.unanswered.pop_front() {
            Some(request) => vec![request],
            None => self.plan(now),
        };
        purchases.extend(self.reserve_requests());
        let mut deletes: Vec<String> = Vec::new();
        for (name, machine) in &mut self.machines {
            if let Some(reason) = machine.delete_reason
                && !machine.delete_asked
                && deletes.len() < DELETE_MOST
            {
                machine.delete_asked = true;
                info!(machine = &**name, reason, "returned");
                deletes.push(name.to_string());
            }
        }
        if !deletes.is_empty() {
            actions.push(CloudAction::Delete(deletes));
        }
        actions.extend(purchases.into_iter().map(CloudAction::Rent));
        actions
    }

    /// Machines that don't come up, and silent ones that nobody explains.
    fn condemn(&mut self, now: Time) {
        let tuning = self.cfg.tuning.clone();
        let mostly_unreachable = self.is_mostly_unreachable();
        let mut late = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.delete_reason.is_some() {
                continue;
            }
            if let Some(report) = machine.last_report {
                let unreachable_s = machine
                    .reachability
                    .unreachable_since()
                    .map_or(0.0, |at| now - at);
                if now - report > tuning.vanish_s {
                    machine.delete_reason = Some("silent for too long");
                } else if !machine.vouched && now - report > 2.0 * self.cfg.lease_s {
                    // The deletion of one that is gone already does nothing.
                    machine.delete_reason = Some("heard of by an old report only");
                } else if unreachable_s > tuning.unreachable_delete_s
                    && machine.tasks.is_empty()
                    && !mostly_unreachable
                {
                    machine.delete_reason = Some("hears nothing");
                }
                continue;
            }
            let boot_s = machine.type_index.map_or(60.0, |i| self.types[i].boot_s);
            let patience = tuning.boot_patience * boot_s + tuning.boot_patience_s;
            // A machine that ran under an earlier holder needs time to find us.
            let since = machine.since.max(self.elected_at + 20.0 - patience);
            if now - since > patience {
                warn!(
                    machine = &**name,
                    waited_s = (now - machine.since) as u64,
                    "does not come up"
                );
                machine.delete_reason = Some("does not come up");
                late.push(name.clone());
            }
        }
        for name in late {
            self.boot_ended(now, &name);
        }
    }

    /// Whether so many machines hear nothing that it is us: none is given back
    /// or replaced for it.
    pub(super) fn is_mostly_unreachable(&self) -> bool {
        let up = self.machines.values().filter(|m| m.last_report.is_some());
        let (unreachable, all) = up.fold((0, 0), |(unreachable, all), m| {
            (
                unreachable + usize::from(m.reachability.is_unreachable()),
                all + 1,
            )
        });
        unreachable > 1 && 2 * unreachable > all
    }

    fn plan(&mut self, now: Time) -> Vec<RentRequest> {
        let tuning = self.cfg.tuning.clone();
        let dt = (now - self.last_rental).max(0.0);
        self.last_rental = now;
        self.learner.fade(dt, tuning.load_window_s);
        let mut kept = self.kept_room();
        let mut demands = self.demands(now, kept.as_mut());
        // Learn the load of each class, and keep ready for those with an aim
        // on starting.
        let mut now_by_class: BTreeMap<String, u32> = BTreeMap::new();
        for (class, demand) in &demands {
            *now_by_class.entry(class.clone()).or_default() += demand.now;
        }
        for (class, sample) in &self.samples {
            if self.cfg.guarantee_aim.is_none() && !self.cfg.start_aims.contains_key(class) {
                continue;
            }
            let Some(stats) = self.learner.get(class) else {
                continue;
            };
            if stats.is_silent(now) {
                continue;
            }
            let there = now_by_class.get(class).copied().unwrap_or(0);
            let keep = (stats.load * tuning.headroom + stats.tasks_per_job).ceil() as u32;
            let there = there
                + kept
                    .as_ref()
                    .map_or(0, |kept| kept.ready(self, class, &sample.shape));
            let reserve = keep.saturating_sub(there);
            let warm = (stats.load * tuning.warm_headroom + stats.tasks_per_job).ceil() as u32;
            demands.push((
                class.clone(),
                Demand {
                    shape: sample.shape,
                    types: sample.types.clone(),
                    zone: sample.zone.clone(),
                    spot: sample.spot,
                    now: 0,
                    turns: 0.0,
                    reserve,
                    warm: warm.saturating_sub(there + reserve),
                },
            ));
        }
        demands.extend(self.planned_demands(now));
        let mostly_unreachable = self.is_mostly_unreachable();
        let fleet: Vec<FleetMachine<MachineId>> = self
            .machines
            .values()
            .filter(|m| {
                m.delete_reason.is_none()
                    && m.notice_until.is_none()
                    && m.reservations == 0
                    && m.vouched
                    && (mostly_unreachable || !m.reachability.is_unreachable())
                    && (m.last_report.is_none() || m.silent_for(now) < 2.0 * self.cfg.lease_s)
            })
            .filter_map(|m| {
                let up = m.last_report.is_some() && m.fenced;
                Some(FleetMachine {
                    machine: m.name.clone(),
                    type_index: m.type_index?,
                    zone: m.zone.clone(),
                    spot: m.spot,
                    idle_s: (up && m.tasks.is_empty() && !m.strangers && !m.inherited)
                        .then_some(now - m.idle_since),
                })
            })
            .collect();
        let demands: Vec<Demand> = demands.into_iter().map(|(_, d)| d).collect();
        let limits = |most_s: f64| -> Vec<f64> {
            let types = self.types.iter();
            types.map(|t| self.idle_limit_s(now, t, most_s)).collect()
        };
        let idle = IdleLimits {
            warm_s: limits(tuning.idle_s),
            cold_s: limits(tuning.cold_idle_s.min(tuning.idle_s)),
        };
        let plan = plan_rental(
            &self.types,
            &demands,
            &fleet,
            |index, zone, spot| self.is_refused(now, index, zone, spot),
            &idle,
            tuning.ordinary_share,
        );
        // What the teams are guaranteed must be there at once, and with it the
        // images that only machines in use have.
        let guaranteed: f64 = self.cfg.teams.iter().map(|t| t.cpus).sum::<f64>() * tuning.headroom;
        let mut kept: f64 = fleet.iter().map(|m| self.types[m.type_index].cpus).sum();
        for name in plan.surplus {
            if let Some(machine) = self.machines.get_mut(&name)
                && machine.tasks.is_empty()
                && machine.reservations == 0
                && !self.plans.images.keeps(&name)
            {
                let cpus = machine.type_index.map_or(0.0, |i| self.types[i].cpus);
                if kept - cpus < guaranteed {
                    continue;
                }
                kept -= cpus;
                machine.delete_reason = Some("idle beyond need");
            }
        }
        let mut requests = Vec::new();
        for purchase in plan.purchases {
            self.requests += 1;
            let machine_type = &self.types[purchase.type_index];
            // The token differs for every holder, so no name is used twice.
            let request = RentRequest {
                request: format!(
                    "{}-{}-{}",
                    self.cfg.member,
                    epoch(self.token),
                    self.requests
                ),
                machine_type: machine_type.name.clone(),
                zone: purchase.zone,
                spot: purchase.spot,
                count: purchase.count.min(RENT_MOST),
            };
            info!(
                machine_type = request.machine_type,
                zone = request.zone,
                spot = request.spot,
                count = request.count,
                waiting = self.jobs.values().map(|j| j.pending()).sum::<u32>(),
                "rents"
            );
            requests.push(request);
        }
        requests
    }

    /// How long machines of a type are kept idle: for what comes next, if
    /// anything that fits seems to come.
    fn idle_limit_s(&self, now: Time, machine_type: &MachineType, most_s: f64) -> f64 {
        let room = Shape::of_type(machine_type);
        let quiet = self.samples.iter().all(|(class, sample)| {
            let silent = |stats: &ClassStats| stats.is_silent(now);
            !sample.shape.fits_in(&room) || self.learner.get(class).is_some_and(silent)
        });
        if quiet && !self.samples.is_empty() {
            self.cfg.tuning.quiet_idle_s.min(most_s)
        } else {
            most_s
        }
    }

    /// How often machines in use turn over before a job's waiting tasks must
    /// start. What is late already, or would be when a machine has booted,
    /// gains little by an ordinary one: it waits for a turn of what there is.
    fn turns(&self, now: Time, job: &Job) -> f64 {
        let tuning = &self.cfg.tuning;
        if self.cfg.guarantee_aim.is_some() {
            return 0.0;
        }
        if job.pending() == 0 {
            return f64::INFINITY;
        }
        let boots = self
            .types
            .iter()
            .filter(|t| job.shape.fits_in(&Shape::of_type(t)));
        let boot_s = boots.map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        match self.slack_s(now, job) {
            Some(slack) if slack >= boot_s => tuning.turns_share * slack / self.run_s(job).max(1.0),
            Some(_) => tuning.late_turns,
            None => 0.0,
        }
    }

    /// Tasks that run or wait, by class and shape, as far as their teams'
    /// limits let them run at once.
    fn demands(&self, now: Time, mut kept: Option<&mut KeptRoom<'_>>) -> Vec<(String, Demand)> {
        let mut left: Vec<f64> = (0..self.cfg.teams.len())
            .map(|team| self.limit_cpus(Some(team)))
            .collect();
        let mut jobs: Vec<_> = self.jobs.iter().filter(|(_, j)| !j.cancelled).collect();
        jobs.sort_by(|(_, a), (_, b)| {
            b.spec
                .priority
                .cmp(&a.spec.priority)
                .then(a.submitted.total_cmp(&b.submitted))
        });
        let mut demands: Vec<(String, Demand)> = Vec::new();
        let mut indices = BTreeMap::new();
        for (id, job) in jobs {
            let faulty = job.backoff_until.is_some() && job.errors > 0;
            let waiting = if faulty { 0 } else { job.startable() };
            let mut tasks = waiting + job.occupied() as u32;
            if let Some(team) = job.team
                && job.shape.cpus > 0.0
            {
                let room = (left[team] / job.shape.cpus + 1e-6).floor().min(1e6) as u32;
                tasks = tasks.min(room);
                left[team] -= f64::from(tasks) * job.shape.cpus;
            }
            if let Some(kept) = &mut kept {
                tasks -= kept.serve(self, job, tasks);
            }
            if tasks == 0 {
                continue;
            }
            let turns = self.turns(now, job);
            // The task with which a boosted job begins does not wait for a turn.
            let begins = u32::from(waiting > 0 && self.is_boosted_to_start(id, job)).min(tasks);
            // By what tells demands apart: every job may have a shape of its own.
            let bits = |amount: f64| amount.to_bits();
            let key = (
                job.spec.class.as_str(),
                [
                    bits(job.shape.cpus),
                    bits(job.shape.gpus),
                    bits(job.shape.memory_gb),
                ],
                job.spec.types.as_deref(),
                job.spec.zone.as_deref(),
                job.spec.spot(),
            );
            let parts = [(begins, 0.0, true), (tasks - begins, turns, false)];
            for (tasks, turns, begins) in parts.into_iter().filter(|(n, ..)| *n > 0) {
                let next = demands.len();
                let index = *indices.entry((key, begins)).or_insert(next);
                match demands.get_mut(index) {
                    Some((_, demand)) => {
                        demand.now += tasks;
                        demand.turns = demand.turns.min(turns);
                    }
                    None => demands.push((
                        job.spec.class.clone(),
                        Demand {
                            shape: Shape::of_task(&job.spec),
                            types: job.spec.types.clone(),
                            zone: job.spec.zone.clone(),
                            spot: job.spec.spot(),
                            now: tasks,
                            turns,
                            reserve: 0,
                            warm: 0,
                        },
                    )),
                }
            }
        }
        demands
    }
}
