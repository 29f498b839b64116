//! Planning of machine rentals and returns.

use std::collections::BTreeMap;

use umbersail_wire::MachineType;

use crate::{FirstFit, Shape};

/// Tasks of one shape that need machines.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Resources of one task.
    pub shape: Shape,
    /// Machine types that the tasks may use; `None` allows all types.
    pub types: Option<Vec<String>>,
    /// Zone that the tasks must use, if any.
    pub zone: Option<String>,
    /// Most of the tasks that one zone may hold, if they must be spread over zones.
    pub max_per_zone: Option<u32>,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// Number of running and waiting tasks.
    pub tasks: u32,
    /// Of `tasks`, those that are included in [`FleetMachine::long_running`], by zone.
    pub long_running: BTreeMap<String, u32>,
    /// How many times the machines in use may finish their tasks and become free before the
    /// waiting tasks must start. Such tasks wait for machines in use to become free before
    /// on-demand machines are rented.
    pub max_turnovers: f64,
    /// Number of further tasks to keep capacity for. Only spot machines are rented for
    /// this.
    pub spare: u32,
    /// Number of tasks beyond `spare` for which no machines are rented, but idle machines
    /// are kept longer.
    pub warm_spare: u32,
}

/// A machine that is running or booting.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetMachine<M> {
    /// The machine.
    pub machine: M,
    /// Index of the machine type.
    pub type_index: usize,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Resources of the machine's tasks that run for much longer than a machine takes to boot.
    /// They are not available to other tasks; those of all other running tasks are.
    pub long_running: Shape,
    /// Seconds since the machine last ran a task, if it is running and empty.
    pub idle_s: Option<f64>,
}

/// Machines to rent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOutRequest {
    /// Index of the machine type.
    pub type_index: usize,
    /// The zone.
    pub zone: String,
    /// Whether they are spot machines.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// The machines to rent and the idle machines to return.
#[derive(Debug, Clone, PartialEq)]
pub struct RentalPlan<M> {
    /// Machines to rent.
    pub requests: Vec<ScaleOutRequest>,
    /// Machines to return.
    pub surplus: Vec<M>,
}

/// How long idle machines of each type are kept, in seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct IdleLimits {
    /// Limit for machines that demands which cannot wait for a boot may need soon.
    pub warm_s: Vec<f64>,
    /// Limit for all other machines.
    pub cold_s: Vec<f64>,
}

/// Cost factor for renting a type for a demand that fits other types too, while some other
/// demand fits only this type.
const SCARCE_TYPE_FACTOR: f64 = 2.0;

/// Share by which each requested machine raises the cost of the next one of its kind in the
/// same zone.
const ZONE_SPREAD_COST: f64 = 0.001;

/// Packs the demands onto the existing machines, large tasks first and each task onto the
/// smallest machine type that fits it. Long-running tasks stay where they are: nothing moves
/// them. For the remaining tasks, the plan rents the machines with the least price per task.
pub fn plan_rental<M: Clone>(
    types: &[MachineType],
    demands: &[Demand],
    fleet: &[FleetMachine<M>],
    refused: impl Fn(usize, &str, bool) -> bool,
    idle: &IdleLimits,
    on_demand_share: f64,
) -> RentalPlan<M> {
    let mut planner = Planner::new(types, demands, fleet, refused, on_demand_share);
    let mut sorted: Vec<&Demand> = demands.iter().collect();
    sorted.sort_by(|a, b| b.shape.cpus.total_cmp(&a.shape.cpus));
    // Running and waiting tasks of all shapes go before spare capacity.
    let mut used = vec![false; fleet.len()];
    for demand in &sorted {
        let mut zones = ZoneRoom::new(demand.max_per_zone);
        let mut movable = demand.tasks;
        for (zone, tasks) in &demand.long_running {
            zones.take(zone, *tasks);
            movable = movable.saturating_sub(*tasks);
        }
        let left = planner.pack(demand, movable, &mut zones, &mut used);
        planner.rent(demand, left, &mut zones, Purpose::Tasks);
    }
    for demand in &sorted {
        let mut zones = ZoneRoom::new(None);
        let left = planner.pack(demand, demand.spare, &mut zones, &mut used);
        planner.rent(demand, left, &mut zones, Purpose::Spare);
    }
    let mut warm = vec![false; fleet.len()];
    for demand in &sorted {
        let mut zones = ZoneRoom::new(None);
        planner.pack(demand, demand.warm_spare, &mut zones, &mut warm);
    }
    let is_surplus = |index: usize| {
        let limits_s = if warm[index] {
            &idle.warm_s
        } else {
            &idle.cold_s
        };
        let machine = &fleet[index];
        let limit_s = idle_limit(types, machine, limits_s);
        !used[index] && machine.idle_s.is_some_and(|s| s >= limit_s)
    };
    RentalPlan {
        surplus: (0..fleet.len())
            .filter(|index| is_surplus(*index))
            .map(|index| fleet[index].machine.clone())
            .collect(),
        requests: planner.requests,
    }
}

/// What machines are rented for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// Running and waiting tasks.
    Tasks,
    /// Spare capacity, for which only spot machines are rented.
    Spare,
}

/// How many more tasks of a demand each zone may hold.
struct ZoneRoom<'a> {
    max_per_zone: Option<u32>,
    /// Number of tasks by zone; empty if the number is not limited.
    tasks: BTreeMap<&'a str, u32>,
}

impl<'a> ZoneRoom<'a> {
    fn new(max_per_zone: Option<u32>) -> ZoneRoom<'a> {
        ZoneRoom {
            max_per_zone,
            tasks: BTreeMap::new(),
        }
    }

    fn left(&self, zone: &str) -> u32 {
        self.max_per_zone.map_or(u32::MAX, |max| {
            max.saturating_sub(self.tasks.get(zone).copied().unwrap_or(0))
        })
    }

    fn take(&mut self, zone: &'a str, tasks: u32) {
        if self.max_per_zone.is_some() {
            *self.tasks.entry(zone).or_default() += tasks;
        }
    }
}

/// A machine that could be rented for a demand.
struct Offer<'a> {
    type_index: usize,
    zone: &'a str,
    spot: bool,
    /// Price per task.
    cost: f64,
    /// Number of the demand's tasks that may run on the machine.
    slots: u32,
}

/// A plan in progress.
struct Planner<'a, M, R> {
    types: &'a [MachineType],
    fleet: &'a [FleetMachine<M>],
    /// Whether the cloud refuses machines of this type and zone, spot or on-demand.
    refused: R,
    /// Indices into `fleet` in the order in which machines are used.
    order: Vec<usize>,
    /// Free resources of the machines in `order`.
    bins: FirstFit,
    /// Number of machines of each type.
    count_by_type: Vec<f64>,
    /// Types that some demand depends on because it fits no other type.
    sole_types: Vec<bool>,
    /// Number of on-demand machines.
    on_demand: f64,
    /// Most on-demand machines while tasks that may wait get no more of them.
    max_on_demand: f64,
    /// Number of machines that would be needed for the tasks that wait for machines in use.
    deferred: f64,
    requests: Vec<ScaleOutRequest>,
}

impl<'a, M, R: Fn(usize, &str, bool) -> bool> Planner<'a, M, R> {
    fn new(
        types: &'a [MachineType],
        demands: &'a [Demand],
        fleet: &'a [FleetMachine<M>],
        refused: R,
        on_demand_share: f64,
    ) -> Self {
        let order = packing_order(types, fleet);
        let capacities: Vec<Shape> = order
            .iter()
            .map(|i| {
                let machine = &fleet[*i];
                Shape::of_type(&types[machine.type_index]).plus(&machine.long_running, -1.0)
            })
            .collect();
        let mut count_by_type = vec![0.0; types.len()];
        for machine in fleet {
            count_by_type[machine.type_index] += 1.0;
        }
        let on_demand = fleet.iter().filter(|m| !m.spot).count() as f64;
        Planner {
            types,
            fleet,
            refused,
            order,
            bins: FirstFit::new(&capacities),
            count_by_type,
            sole_types: sole_types(types, demands),
            on_demand,
            max_on_demand: on_demand_share * (fleet.len() as f64 - on_demand),
            deferred: 0.0,
            requests: Vec::new(),
        }
    }

    /// Packs tasks onto the existing machines and marks these as used. Returns the number of
    /// tasks that did not fit.
    fn pack(
        &mut self,
        demand: &Demand,
        mut wanted: u32,
        zones: &mut ZoneRoom<'a>,
        used: &mut [bool],
    ) -> u32 {
        let mut from = 0;
        while wanted > 0
            && let Some(bin) = self.bins.first_from(from, &demand.shape)
        {
            from = bin + 1;
            let i = self.order[bin];
            let m = &self.fleet[i];
            if !allowed(demand, &self.types[m.type_index].name, &m.zone, m.spot) {
                continue;
            }
            let slots = demand.shape.slots_in(self.bins.free(bin));
            let slots = slots.min(wanted).min(zones.left(&m.zone));
            if slots > 0 {
                self.bins.take(bin, &demand.shape, slots);
                zones.take(&m.zone, slots);
                used[i] = true;
                wanted -= slots;
            }
        }
        wanted
    }

    /// Requests machines for tasks that did not fit on existing machines, with the least price
    /// per task.
    fn rent(
        &mut self,
        demand: &Demand,
        mut wanted: u32,
        zones: &mut ZoneRoom<'a>,
        purpose: Purpose,
    ) {
        while wanted > 0
            && let Some(offer) = self.cheapest_offer(demand, wanted, zones, purpose)
        {
            if !offer.spot && self.can_wait(demand, wanted, offer.slots) {
                return;
            }
            zones.take(offer.zone, offer.slots.min(wanted));
            wanted = wanted.saturating_sub(offer.slots);
            self.add_request(&offer);
        }
    }

    fn cheapest_offer(
        &self,
        demand: &Demand,
        wanted: u32,
        zones: &ZoneRoom<'_>,
        purpose: Purpose,
    ) -> Option<Offer<'a>> {
        let mut best: Option<Offer<'a>> = None;
        for (type_index, t) in self.types.iter().enumerate() {
            for zone in &t.zones {
                let in_zone = zones.left(zone);
                for spot in [true, false] {
                    if purpose == Purpose::Spare && !spot {
                        continue;
                    }
                    let offer = self.offer(demand, wanted.min(in_zone), type_index, zone, spot);
                    if let Some(mut offer) = offer
                        && best.as_ref().is_none_or(|b| offer.cost < b.cost)
                    {
                        offer.slots = offer.slots.min(in_zone);
                        best = Some(offer);
                    }
                }
            }
        }
        best
    }

    /// What a machine of this kind would cost for each of the `wanted` tasks; `None` if it can't
    /// be rented or no task may run there.
    fn offer(
        &self,
        demand: &Demand,
        wanted: u32,
        type_index: usize,
        zone: &'a str,
        spot: bool,
    ) -> Option<Offer<'a>> {
        let t = &self.types[type_index];
        let slots = demand.shape.slots_in(&Shape::of_type(t));
        if slots.min(wanted) == 0
            || !allowed(demand, &t.name, zone, spot)
            || (self.refused)(type_index, zone, spot)
        {
            return None;
        }
        let price = if spot { t.spot_price? } else { t.price };
        let fits_elsewhere =
            |u: &MachineType| u.name != t.name && demand.shape.fits_in(&Shape::of_type(u));
        let scarce = self.sole_types[type_index] && self.types.iter().any(fits_elsewhere);
        let per_task =
            price / f64::from(slots.min(wanted)) * if scarce { SCARCE_TYPE_FACTOR } else { 1.0 };
        // Spreads machines over zones, so that a reclaim of spot machines in one zone does
        // not take all of them.
        let requested = self.requested(|r| r.is_for(type_index, zone, spot));
        Some(Offer {
            type_index,
            zone,
            spot,
            cost: per_task * (1.0 + ZONE_SPREAD_COST * f64::from(requested)),
            slots,
        })
    }

    /// Whether the waiting tasks get no on-demand machine. Tasks that may run on spot machines
    /// and can wait for machines in use get none while `max_on_demand` is reached, or while
    /// the machines in use can do all deferred work before they have become free as often as
    /// `max_turnovers` allows. `slots` is the number of tasks that fit on the machine.
    fn can_wait(&mut self, demand: &Demand, wanted: u32, slots: u32) -> bool {
        if !demand.spot || demand.max_turnovers <= 0.0 {
            return false;
        }
        let rented = self.requested(|r| !r.spot);
        if self.on_demand + f64::from(rented) + 1.0 > self.max_on_demand {
            return true;
        }
        // Counted in machines, because every job may have a different shape.
        let fits = |t: &MachineType| demand.shape.fits_in(&Shape::of_type(t));
        let in_use: f64 = (self.types.iter().zip(&self.count_by_type))
            .filter(|(t, _)| fits(t))
            .map(|(_, count)| count)
            .sum();
        let rented = self.requested(|r| fits(&self.types[r.type_index]));
        let waiting_machines = f64::from(wanted) / f64::from(slots);
        let can_wait =
            self.deferred + waiting_machines <= (in_use + f64::from(rented)) * demand.max_turnovers;
        if can_wait {
            self.deferred += waiting_machines;
        }
        can_wait
    }

    /// Number of requested machines that the condition selects.
    fn requested(&self, condition: impl Fn(&ScaleOutRequest) -> bool) -> u32 {
        let selected = self.requests.iter().filter(|r| condition(r));
        selected.map(|r| r.count).sum()
    }

    /// Adds one machine to the requests.
    fn add_request(&mut self, offer: &Offer<'_>) {
        let is_same = |r: &&mut ScaleOutRequest| r.is_for(offer.type_index, offer.zone, offer.spot);
        match self.requests.iter_mut().find(is_same) {
            Some(r) => r.count += 1,
            None => self.requests.push(ScaleOutRequest {
                type_index: offer.type_index,
                zone: offer.zone.to_owned(),
                spot: offer.spot,
                count: 1,
            }),
        }
    }
}

impl ScaleOutRequest {
    fn is_for(&self, type_index: usize, zone: &str, spot: bool) -> bool {
        self.type_index == type_index && self.zone == zone && self.spot == spot
    }
}

/// Indices of the machines in the order in which they are used: small types first. Within a
/// type, machines in use come first, then spot machines, then the most recently used; the
/// machines at the end are the ones left idle.
fn packing_order<M>(types: &[MachineType], fleet: &[FleetMachine<M>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..fleet.len()).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (&fleet[a], &fleet[b]);
        let cpus = |m: &FleetMachine<M>| types[m.type_index].cpus;
        let idle_s = |m: &FleetMachine<M>| m.idle_s.unwrap_or(0.0);
        (cpus(a).total_cmp(&cpus(b)))
            .then(a.idle_s.is_some().cmp(&b.idle_s.is_some()))
            .then((!a.spot).cmp(&!b.spot))
            .then(idle_s(a).total_cmp(&idle_s(b)))
    });
    order
}

/// Marks the machine types that some demand depends on because it fits no other type.
fn sole_types(types: &[MachineType], demands: &[Demand]) -> Vec<bool> {
    let mut sole = vec![false; types.len()];
    for demand in demands.iter().filter(|d| d.tasks + d.spare > 0) {
        let fits = |t: &MachineType| demand.shape.fits_in(&Shape::of_type(t));
        for (index, t) in types.iter().enumerate() {
            sole[index] |= fits(t) && types.iter().all(|u| u.name == t.name || !fits(u));
        }
    }
    sole
}

/// Idle limit of a machine, in seconds. On-demand machines are more expensive, so their
/// limit is shortened until the idle time costs no more than on a spot machine.
fn idle_limit<M>(types: &[MachineType], machine: &FleetMachine<M>, limits_s: &[f64]) -> f64 {
    let t = &types[machine.type_index];
    let limit_s = limits_s[machine.type_index];
    match t.spot_price {
        Some(spot) if !machine.spot && t.price > 0.0 => limit_s * (spot / t.price).min(1.0),
        _ => limit_s,
    }
}

fn allowed(demand: &Demand, machine_type: &str, zone: &str, spot: bool) -> bool {
    demand
        .types
        .as_ref()
        .is_none_or(|types| types.iter().any(|t| t == machine_type))
        && demand.zone.as_ref().is_none_or(|z| z == zone)
        && (!spot || demand.spot)
}

#[cfg(test)]
mod tests;
