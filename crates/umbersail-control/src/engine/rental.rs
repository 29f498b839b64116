//! Renting machines from the cloud and returning them.

use tracing::{info, warn};
use umbersail_policy::{
    ClassStats, Demand, FleetMachine, IdleLimits, ScaleOutRequest, Shape, plan_rental,
};
use umbersail_wire::{MachineType, RentRequest};

use super::{CloudAction, Engine, Machine, MachineId, Time, epoch};

/// Limits set by the cloud protocol: machine names per deletion request, and machines per
/// rental request.
const MAX_MACHINES_PER_DELETION: usize = 100;
pub(super) const MAX_MACHINES_PER_RENTAL: u32 = 50;

impl Engine {
    /// Returns the requests to send to the cloud now. Deletions come first because the
    /// machines cost money and hold up their tasks.
    pub fn cloud_actions(&mut self, now: Time) -> Vec<CloudAction> {
        self.mark_failed_machines(now);
        let mut actions = Vec::new();
        // Unanswered requests are repeated under their old name. The cloud may already have
        // granted them, so new names would rent machines without bound while the cloud does
        // not answer.
        let mut requests = match self.unanswered_rentals.pop_front() {
            Some(request) => vec![request],
            None => self.plan_rentals(now),
        };
        requests.extend(self.reservation_requests());
        let mut deletes: Vec<String> = Vec::new();
        for (name, machine) in &mut self.machines {
            if let Some(reason) = machine.delete_reason
                && !machine.delete_requested
                && deletes.len() < MAX_MACHINES_PER_DELETION
            {
                machine.delete_requested = true;
                info!(machine = &**name, reason, "returning machine to the cloud");
                deletes.push(name.to_string());
            }
        }
        if !deletes.is_empty() {
            actions.push(CloudAction::Delete(deletes));
        }
        actions.extend(requests.into_iter().map(CloudAction::Rent));
        actions
    }

    /// Marks machines for deletion that fail to boot, or that have been silent or
    /// unreachable for too long.
    fn mark_failed_machines(&mut self, now: Time) {
        let tuning = self.cfg.tuning.clone();
        let mostly_unreachable = self.is_mostly_unreachable();
        let mut failed_boots = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.delete_reason.is_some() {
                continue;
            }
            if let Some(last_heartbeat) = machine.last_heartbeat {
                let unreachable_s = machine
                    .reachability
                    .unreachable_since()
                    .map_or(0.0, |at| now - at);
                if now - last_heartbeat > tuning.silent_machine_delete_s {
                    machine.delete_reason = Some("no heartbeat for too long");
                } else if !machine.confirmed && now - last_heartbeat > 2.0 * self.cfg.lease_s {
                    // If the machine no longer exists, deleting it has no effect.
                    machine.delete_reason = Some("known only from an old heartbeat");
                } else if unreachable_s > tuning.unreachable_delete_s
                    && machine.tasks.is_empty()
                    && !mostly_unreachable
                {
                    machine.delete_reason = Some("unreachable for too long");
                }
                continue;
            }
            let boot_s = machine
                .type_index
                .map_or(60.0, |i| self.machine_types[i].boot_s);
            let patience = tuning.boot_timeout_factor * boot_s + tuning.boot_timeout_margin_s;
            // A machine that ran under an earlier leader needs time to connect to this one.
            let since = machine.created_at.max(self.elected_at + 20.0 - patience);
            if now - since > patience {
                warn!(
                    machine = &**name,
                    waited_s = (now - machine.created_at) as u64,
                    "machine failed to boot in time"
                );
                machine.delete_reason = Some("failed to boot in time");
                failed_boots.push(name.clone());
            }
        }
        for name in failed_boots {
            self.note_boot_ended(now, &name);
        }
    }

    /// Whether most machines are unreachable. The fault is then probably on this
    /// controller's side, so no machine is returned or replaced for being unreachable.
    pub(super) fn is_mostly_unreachable(&self) -> bool {
        let up = self
            .machines
            .values()
            .filter(|m| m.last_heartbeat.is_some());
        let (unreachable, all) = up.fold((0, 0), |(unreachable, all), m| {
            (
                unreachable + usize::from(m.reachability.is_unreachable()),
                all + 1,
            )
        });
        unreachable > 1 && 2 * unreachable > all
    }

    /// Plans which machines to rent, and marks machines that no job needs for return.
    fn plan_rentals(&mut self, now: Time) -> Vec<RentRequest> {
        let dt = (now - self.last_rental_at).max(0.0);
        self.last_rental_at = now;
        self.learner.decay_load(dt, self.cfg.tuning.load_window_s);
        let mut reserved_room = self.reserved_capacity();
        let mut fleet = self.rented_fleet(now);
        let long_running = self.add_long_running_tasks(now, &mut fleet);
        let mut demands = self.current_demands(now, &long_running, reserved_room.as_mut());
        let spare = self.spare_demands(now, &demands, reserved_room.as_ref());
        demands.extend(spare);
        demands.extend(self.planned_demands(now));
        let demands: Vec<Demand> = demands.into_iter().map(|(_, demand)| demand).collect();
        let plan = plan_rental(
            &self.machine_types,
            &demands,
            &fleet,
            |index, zone, spot| self.is_rental_backed_off(now, index, zone, spot),
            &self.idle_limits(now),
            self.cfg.tuning.ordinary_share,
        );
        self.return_surplus(plan.surplus, &fleet);
        plan.requests
            .into_iter()
            .map(|request| self.rent_request(request))
            .collect()
    }

    /// The unreserved machines that are expected to stay, in the order of their names, as input
    /// for the rental plan.
    fn rented_fleet(&self, now: Time) -> Vec<FleetMachine<MachineId>> {
        let mostly_unreachable = self.is_mostly_unreachable();
        let is_staying = |machine: &&Machine| {
            machine.delete_reason.is_none()
                && machine.reclaim_at.is_none()
                && machine.reservations == 0
                && machine.confirmed
                && (mostly_unreachable || !machine.reachability.is_unreachable())
                && (machine.last_heartbeat.is_none()
                    || machine.silent_for(now) < 2.0 * self.cfg.lease_s)
        };
        let machines = self.machines.values().filter(is_staying);
        machines
            .filter_map(|machine| {
                let up = machine.last_heartbeat.is_some() && machine.fenced;
                let is_occupied =
                    !machine.tasks.is_empty() || machine.has_orphaned_tasks || machine.inherited;
                Some(FleetMachine {
                    machine: machine.name.clone(),
                    type_index: machine.type_index?,
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    long_running: Shape::default(),
                    idle_s: (up && !is_occupied).then_some(now - machine.idle_since),
                })
            })
            .collect()
    }

    fn idle_limits(&self, now: Time) -> IdleLimits {
        let tuning = &self.cfg.tuning;
        let by_type = |max_s: f64| -> Vec<f64> {
            let types = self.machine_types.iter();
            types
                .map(|t| self.type_idle_limit_s(now, t, max_s))
                .collect()
        };
        IdleLimits {
            warm_s: by_type(tuning.idle_s),
            cold_s: by_type(tuning.cold_idle_s.min(tuning.idle_s)),
        }
    }

    /// Marks surplus machines for return, except where that would leave less than the
    /// teams' guarantees require: guaranteed capacity must be available at once. The last
    /// machine of a zone with an image that others fetch or wait for is kept as well.
    fn return_surplus(&mut self, surplus: Vec<MachineId>, fleet: &[FleetMachine<MachineId>]) {
        let headroom = self.cfg.tuning.headroom;
        let guaranteed_cpus = self
            .cfg
            .teams
            .iter()
            .map(|t| t.guaranteed_cpus)
            .sum::<f64>()
            * headroom;
        let mut kept_cpus: f64 = fleet
            .iter()
            .map(|m| self.machine_types[m.type_index].cpus)
            .sum();
        for name in surplus {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            let in_use = !machine.tasks.is_empty() || machine.reservations != 0;
            if in_use || self.plans.images.is_last_holder(&name) {
                continue;
            }
            let cpus = machine
                .type_index
                .map_or(0.0, |i| self.machine_types[i].cpus);
            if kept_cpus - cpus < guaranteed_cpus {
                continue;
            }
            kept_cpus -= cpus;
            machine.delete_reason = Some("idle and not needed");
        }
    }

    /// Names a request. The fencing token differs between leaders, so no name is used
    /// twice.
    fn rent_request(&mut self, request: ScaleOutRequest) -> RentRequest {
        self.request_counter += 1;
        let epoch = epoch(self.token);
        let rent = RentRequest {
            request: format!("{}-{epoch}-{}", self.cfg.member, self.request_counter),
            machine_type: self.machine_types[request.type_index].name.clone(),
            zone: request.zone,
            spot: request.spot,
            count: request.count.min(MAX_MACHINES_PER_RENTAL),
        };
        info!(
            machine_type = rent.machine_type,
            zone = rent.zone,
            spot = rent.spot,
            count = rent.count,
            waiting_tasks = self.jobs.values().map(|j| j.pending()).sum::<u32>(),
            "requesting machines from the cloud"
        );
        rent
    }

    /// How long machines of a type are kept idle, in seconds. Machines are kept for a
    /// shorter time if no class whose tasks fit the type seems to submit jobs any more.
    fn type_idle_limit_s(&self, now: Time, machine_type: &MachineType, max_s: f64) -> f64 {
        let room = Shape::of_type(machine_type);
        let inactive = self.class_samples.iter().all(|(class, sample)| {
            let is_inactive = |stats: &ClassStats| stats.is_inactive(now);
            !sample.task_shape.fits_in(&room) || self.learner.get(class).is_some_and(is_inactive)
        });
        if inactive && !self.class_samples.is_empty() {
            self.cfg.tuning.quiet_idle_s.min(max_s)
        } else {
            max_s
        }
    }
}
