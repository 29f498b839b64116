//! Planning of machine rentals and returns.

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
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// Number of running and waiting tasks.
    pub tasks: u32,
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

/// Packs the demands onto the existing machines, large tasks first and each task onto the
/// smallest machine type that fits it. For the remaining tasks, the plan rents the machines
/// with the least price per task.
pub fn plan_rental<M: Clone>(
    types: &[MachineType],
    demands: &[Demand],
    fleet: &[FleetMachine<M>],
    refused: impl Fn(usize, &str, bool) -> bool,
    idle: &IdleLimits,
    on_demand_share: f64,
) -> RentalPlan<M> {
    let on_demand = fleet.iter().filter(|m| !m.spot).count() as f64;
    let mut count_by_type = vec![0.0; types.len()];
    for machine in fleet {
        count_by_type[machine.type_index] += 1.0;
    }
    let mut used = vec![false; fleet.len()];
    // Small types first. Within a type, machines in use come first, then spot machines,
    // then the most recently used; the machines at the end are the ones left idle.
    let mut order: Vec<usize> = (0..fleet.len()).collect();
    order.sort_by(|&a, &b| {
        let key = |i: usize| {
            let m: &FleetMachine<M> = &fleet[i];
            (types[m.type_index].cpus, m.idle_s.is_some(), !m.spot)
        };
        let idle = |i: usize| fleet[i].idle_s.unwrap_or(0.0);
        let (ka, kb) = (key(a), key(b));
        ka.0.total_cmp(&kb.0)
            .then(ka.1.cmp(&kb.1))
            .then(ka.2.cmp(&kb.2))
            .then(idle(a).total_cmp(&idle(b)))
    });
    let capacities: Vec<Shape> = order
        .iter()
        .map(|i| Shape::of_type(&types[fleet[*i].type_index]))
        .collect();
    let mut bins = FirstFit::new(&capacities);
    let mut requests: Vec<ScaleOutRequest> = Vec::new();
    // Number of machines that would be needed for the tasks that wait for machines in use.
    let mut deferred = 0.0;
    let mut sorted: Vec<&Demand> = demands.iter().collect();
    sorted.sort_by(|a, b| b.shape.cpus.total_cmp(&a.shape.cpus));
    let sole = sole_types(types, demands);
    // Running and waiting tasks of all shapes go before spare capacity.
    for spare in [false, true] {
        for demand in &sorted {
            let wanted = if spare { demand.spare } else { demand.tasks };
            let wanted = pack(types, demand, wanted, fleet, &order, &mut bins, &mut used);
            let in_use = types
                .iter()
                .zip(&count_by_type)
                .filter(|(t, _)| demand.shape.fits_in(&Shape::of_type(t)))
                .map(|(_, count)| count)
                .sum();
            rent_for(
                types,
                &sole,
                demand,
                wanted,
                spare,
                &refused,
                in_use,
                on_demand,
                on_demand_share * (fleet.len() as f64 - on_demand),
                &mut deferred,
                &mut requests,
            );
        }
    }
    let mut warm = vec![false; fleet.len()];
    for demand in &sorted {
        pack(
            types,
            demand,
            demand.warm_spare,
            fleet,
            &order,
            &mut bins,
            &mut warm,
        );
    }
    let surplus = fleet
        .iter()
        .zip(used.iter().zip(warm))
        .filter(|(m, (used, warm))| {
            let limits_s = if *warm { &idle.warm_s } else { &idle.cold_s };
            !**used
                && m.idle_s
                    .is_some_and(|s| s >= idle_limit(types, m, limits_s))
        })
        .map(|(m, _)| m.machine.clone())
        .collect();
    RentalPlan { requests, surplus }
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

/// Packs tasks onto machines in the given order. Returns the number of tasks that did not
/// fit.
fn pack<M>(
    types: &[MachineType],
    demand: &Demand,
    mut wanted: u32,
    fleet: &[FleetMachine<M>],
    order: &[usize],
    bins: &mut FirstFit,
    used: &mut [bool],
) -> u32 {
    let mut from = 0;
    while wanted > 0
        && let Some(bin) = bins.first_from(from, &demand.shape)
    {
        from = bin + 1;
        let i = order[bin];
        let m = &fleet[i];
        if !allowed(demand, &types[m.type_index].name, &m.zone, m.spot) {
            continue;
        }
        let slots = demand.shape.slots_in(bins.free(bin)).min(wanted);
        if slots > 0 {
            bins.take(bin, &demand.shape, slots);
            used[i] = true;
            wanted -= slots;
        }
    }
    wanted
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

/// Adds rental requests for tasks that did not fit on existing machines, with the least price
/// per task. Tasks that may run on spot machines and can wait for machines in use get no
/// on-demand machine while `max_on_demand` is reached, or while the machines in use can do all
/// deferred work before they have become free as often as `max_turnovers` allows.
#[allow(clippy::too_many_arguments)]
fn rent_for(
    types: &[MachineType],
    sole: &[bool],
    demand: &Demand,
    mut wanted: u32,
    spot_only: bool,
    refused: &impl Fn(usize, &str, bool) -> bool,
    in_use: f64,
    on_demand: f64,
    max_on_demand: f64,
    deferred: &mut f64,
    requests: &mut Vec<ScaleOutRequest>,
) {
    while wanted > 0 {
        let mut best: Option<(f64, ScaleOutRequest, u32)> = None;
        for (i, t) in types.iter().enumerate() {
            let slots = demand.shape.slots_in(&Shape::of_type(t));
            if slots == 0 {
                continue;
            }
            let fits_elsewhere =
                |u: &MachineType| u.name != t.name && demand.shape.fits_in(&Shape::of_type(u));
            let scarce = sole[i] && types.iter().any(fits_elsewhere);
            for zone in &t.zones {
                for spot in [true, false] {
                    if (spot_only && !spot)
                        || !allowed(demand, &t.name, zone, spot)
                        || refused(i, zone, spot)
                    {
                        continue;
                    }
                    let price = match (spot, t.spot_price) {
                        (true, Some(price)) => price,
                        (true, None) => continue,
                        (false, _) => t.price,
                    };
                    let per_task = price / f64::from(slots.min(wanted))
                        * if scarce { SCARCE_TYPE_FACTOR } else { 1.0 };
                    // Spreads machines over zones, so that a reclaim of spot machines in
                    // one zone does not take all of them.
                    let requested: u32 = requests
                        .iter()
                        .filter(|r| r.type_index == i && r.zone == *zone && r.spot == spot)
                        .map(|r| r.count)
                        .sum();
                    let cost = per_task * (1.0 + 0.001 * f64::from(requested));
                    if best.as_ref().is_none_or(|(c, _, _)| cost < *c) {
                        best = Some((
                            cost,
                            ScaleOutRequest {
                                type_index: i,
                                zone: zone.clone(),
                                spot,
                                count: 1,
                            },
                            slots,
                        ));
                    }
                }
            }
        }
        let Some((_, request, slots)) = best else {
            return;
        };
        if !request.spot && demand.spot && demand.max_turnovers > 0.0 {
            let rented: u32 = requests.iter().filter(|r| !r.spot).map(|r| r.count).sum();
            if on_demand + f64::from(rented) + 1.0 > max_on_demand {
                return;
            }
            // Counted in machines, because every job may have a different shape.
            let rented = requests
                .iter()
                .filter(|r| demand.shape.fits_in(&Shape::of_type(&types[r.type_index])))
                .map(|r| r.count)
                .sum::<u32>();
            let waiting_machines = f64::from(wanted) / f64::from(slots);
            if *deferred + waiting_machines <= (in_use + f64::from(rented)) * demand.max_turnovers {
                *deferred += waiting_machines;
                return;
            }
        }
        wanted = wanted.saturating_sub(slots);
        match requests.iter_mut().find(|r| {
            r.type_index == request.type_index && r.zone == request.zone && r.spot == request.spot
        }) {
            Some(r) => r.count += 1,
            None => requests.push(request),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::place::tests::machine_type;

    fn machine(machine: u32, spot: bool, idle_s: Option<f64>) -> FleetMachine<u32> {
        FleetMachine {
            machine,
            type_index: 0,
            zone: "a".into(),
            spot,
            idle_s,
        }
    }

    fn limits() -> IdleLimits {
        IdleLimits {
            warm_s: vec![90.0; 2],
            cold_s: vec![60.0; 2],
        }
    }

    fn demand(cpus: f64, tasks: u32, spare: u32) -> Demand {
        Demand {
            shape: Shape {
                cpus,
                gpus: 0.0,
                memory_gb: 1.0,
                task_entries: 1.0,
            },
            types: None,
            zone: None,
            spot: true,
            tasks,
            max_turnovers: 0.0,
            spare,
            warm_spare: 0,
        }
    }

    #[test]
    fn spot_machines_first_on_demand_if_refused_and_spare_capacity_only_spot() {
        let types = [machine_type("small", 8.0, 1.0)];
        let plan = plan_rental::<u32>(
            &types,
            &[demand(2.0, 8, 0)],
            &[],
            |_, _, _| false,
            &limits(),
            1e9,
        );
        assert_eq!(plan.requests.iter().map(|r| r.count).sum::<u32>(), 2);
        assert!(plan.requests.iter().all(|r| r.spot));
        let no_spot = |_: usize, _: &str, spot: bool| spot;
        let plan = plan_rental::<u32>(&types, &[demand(2.0, 8, 0)], &[], no_spot, &limits(), 1e9);
        assert!(plan.requests.iter().all(|r| !r.spot));
        let plan = plan_rental::<u32>(&types, &[demand(2.0, 0, 8)], &[], no_spot, &limits(), 1e9);
        assert_eq!(plan.requests, vec![]);
    }

    #[test]
    fn booting_machines_count_and_unneeded_idle_machines_are_surplus() {
        let types = [machine_type("small", 8.0, 1.0)];
        let machine = |name, idle_s| machine(name, true, idle_s);
        let fleet = [
            machine(1, None),
            machine(2, Some(100.0)),
            machine(3, Some(10.0)),
        ];
        let plan = plan_rental(
            &types,
            &[demand(2.0, 4, 0)],
            &fleet,
            |_, _, _| false,
            &limits(),
            1e9,
        );
        assert_eq!(plan.requests, vec![]);
        assert_eq!(plan.surplus, vec![2]);
        // A demand that cannot wait for a boot may need the machine soon.
        let mut soon = demand(2.0, 4, 0);
        soon.warm_spare = 8;
        let fleet = [
            machine(1, None),
            machine(2, Some(80.0)),
            machine(3, Some(80.0)),
        ];
        let plan = plan_rental(&types, &[soon], &fleet, |_, _, _| false, &limits(), 1e9);
        assert_eq!(
            plan.surplus,
            Vec::<u32>::new(),
            "two machines are kept warm"
        );
        let plan = plan_rental(
            &types,
            &[demand(2.0, 4, 0)],
            &fleet,
            |_, _, _| false,
            &limits(),
            1e9,
        );
        assert_eq!(plan.surplus, vec![2, 3]);
    }

    #[test]
    fn large_tasks_get_the_only_type_that_fits_them() {
        let types = [
            machine_type("small", 8.0, 1.0),
            machine_type("large", 64.0, 7.0),
        ];
        let plan = plan_rental::<u32>(
            &types,
            &[demand(2.0, 40, 0), demand(32.0, 2, 0)],
            &[],
            |_, _, _| false,
            &limits(),
            1e9,
        );
        let count = |i| {
            plan.requests
                .iter()
                .filter(|r| r.type_index == i)
                .map(|r| r.count)
                .sum::<u32>()
        };
        assert_eq!((count(0), count(1)), (10, 1));
    }

    #[test]
    fn work_that_can_wait_gets_no_on_demand_machine_and_idle_ones_are_returned_sooner() {
        // Guards against renting on-demand machines for a backlog that booting spot
        // machines clear in one turnover, and against keeping them idle as long as cheaper
        // machines.
        let types = [machine_type("small", 8.0, 1.0)];
        let fleet = [machine(1, true, None), machine(2, true, None)];
        let no_spot = |_: usize, _: &str, spot: bool| spot;
        let mut backlog = demand(2.0, 24, 0);
        backlog.max_turnovers = 2.0;
        let plan = plan_rental(&types, &[backlog.clone()], &fleet, no_spot, &limits(), 1e9);
        assert_eq!(
            plan.requests,
            vec![],
            "16 tasks wait until 2 machines have become free twice"
        );
        backlog.tasks = 25;
        let bought = |backlog: &Demand, share| -> u32 {
            let backlog = std::slice::from_ref(backlog);
            let plan = plan_rental(&types, backlog, &fleet, no_spot, &limits(), share);
            plan.requests.iter().map(|r| r.count).sum()
        };
        assert_eq!(bought(&backlog, 1e9), 1);
        // However long the backlog, on-demand machines stay a share of the spot machines.
        backlog.tasks = 1000;
        assert_eq!(bought(&backlog, 1.5), 3);
        backlog.max_turnovers = 0.0;
        assert!(
            bought(&backlog, 1.5) > 200,
            "tasks that cannot wait get on-demand machines"
        );

        let idle = [machine(1, true, Some(30.0)), machine(2, false, Some(30.0))];
        let plan = plan_rental(&types, &[], &idle, no_spot, &limits(), 1e9);
        assert_eq!(plan.surplus, vec![2]);
    }
}
