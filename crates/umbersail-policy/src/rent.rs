use umbersail_wire::MachineType;

use crate::{FirstFit, Shape};

/// Tasks of one shape that want machines.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Resources of one task.
    pub shape: Shape,
    /// Types that it may use; all if absent.
    pub types: Option<Vec<String>>,
    /// Zone that it must use.
    pub zone: Option<String>,
    /// Whether it may run on a spot machine.
    pub spot: bool,
    /// Tasks that run or wait.
    pub tasks: u32,
    /// How often the machines in use turn over before the waiting ones must
    /// start: such work waits for a place rather than for an ordinary machine.
    pub max_turnovers: f64,
    /// Tasks to be ready for beyond those; served by spot machines only.
    pub spare: u32,
    /// Tasks beyond the reserve for which nothing is rented, but what is idle is
    /// kept for longer.
    pub warm_spare: u32,
}

/// A machine that is up or on its way.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetMachine<M> {
    /// The machine.
    pub machine: M,
    /// Index of its type.
    pub type_index: usize,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Seconds since it last had a task, if it is up and empty.
    pub idle_s: Option<f64>,
}

/// Machines to rent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOutRequest {
    /// Index of the type.
    pub type_index: usize,
    /// The zone.
    pub zone: String,
    /// Whether they are spot machines.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// What to rent, and what is idle beyond need.
#[derive(Debug, Clone, PartialEq)]
pub struct RentalPlan<M> {
    /// Machines to rent.
    pub requests: Vec<ScaleOutRequest>,
    /// Machines to return.
    pub surplus: Vec<M>,
}

/// How long machines of each type are kept idle, in seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct IdleLimits {
    /// Those that somebody who can't wait for a boot may want soon.
    pub warm_s: Vec<f64>,
    /// All others.
    pub cold_s: Vec<f64>,
}

/// A type that only some demands can use costs others this much more.
const SCARCE_TYPE_FACTOR: f64 = 2.0;

/// Packs demands onto the fleet, large tasks first and each onto the smallest
/// type that takes it; buys for the rest at the least price for a task.
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
    // Small types first; of a type what is in use, then spot, then the one
    // that was used last: the rest is what falls idle.
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
    let rooms: Vec<Shape> = order
        .iter()
        .map(|i| Shape::of_type(&types[fleet[*i].type_index]))
        .collect();
    let mut bins = FirstFit::new(&rooms);
    let mut requests: Vec<ScaleOutRequest> = Vec::new();
    // Machines' worth of work that waits for places to fall free.
    let mut deferred = 0.0;
    let mut sorted: Vec<&Demand> = demands.iter().collect();
    sorted.sort_by(|a, b| b.shape.cpus.total_cmp(&a.shape.cpus));
    let sole = sole_types(types, demands);
    // Running and waiting tasks of all shapes go before any reserve.
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

/// Types that some demand can't do without: it fits no other.
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

/// Packs tasks onto machines in this order; how many found no room.
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

/// Idle time costs the same money on a machine of either kind.
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
                    // Spread over zones: one zone's wave of taken spot
                    // machines must not take them all.
                    let requested: u32 = requests
                        .iter()
                        .filter(|p| p.type_index == i && p.zone == *zone && p.spot == spot)
                        .map(|p| p.count)
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
            let bought: u32 = requests.iter().filter(|p| !p.spot).map(|p| p.count).sum();
            if on_demand + f64::from(bought) + 1.0 > max_on_demand {
                return;
            }
            // In machines, since every job has a shape of its own.
            let bought = requests
                .iter()
                .filter(|p| demand.shape.fits_in(&Shape::of_type(&types[p.type_index])))
                .map(|p| p.count)
                .sum::<u32>();
            let waits = f64::from(wanted) / f64::from(slots);
            if *deferred + waits <= (in_use + f64::from(bought)) * demand.max_turnovers {
                *deferred += waits;
                return;
            }
        }
        wanted = wanted.saturating_sub(slots);
        match requests.iter_mut().find(|p| {
            p.type_index == request.type_index && p.zone == request.zone && p.spot == request.spot
        }) {
            Some(p) => p.count += 1,
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

    fn demand(cpus: f64, now: u32, reserve: u32) -> Demand {
        Demand {
            shape: Shape {
                cpus,
                gpus: 0.0,
                memory_gb: 1.0,
            },
            types: None,
            zone: None,
            spot: true,
            tasks: now,
            max_turnovers: 0.0,
            spare: reserve,
            warm_spare: 0,
        }
    }

    #[test]
    fn spot_first_ordinary_when_refused_and_reserve_never_ordinary() {
        let types = [machine_type("small", 8.0, 1.0)];
        let plan = plan_rental::<u32>(
            &types,
            &[demand(2.0, 8, 0)],
            &[],
            |_, _, _| false,
            &limits(),
            1e9,
        );
        assert_eq!(plan.requests.iter().map(|p| p.count).sum::<u32>(), 2);
        assert!(plan.requests.iter().all(|p| p.spot));
        let no_spot = |_: usize, _: &str, spot: bool| spot;
        let plan = plan_rental::<u32>(&types, &[demand(2.0, 8, 0)], &[], no_spot, &limits(), 1e9);
        assert!(plan.requests.iter().all(|p| !p.spot));
        let plan = plan_rental::<u32>(&types, &[demand(2.0, 0, 8)], &[], no_spot, &limits(), 1e9);
        assert_eq!(plan.requests, vec![]);
    }

    #[test]
    fn machines_on_their_way_count_and_idle_ones_beyond_need_are_surplus() {
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
        // Somebody who can't wait for a boot may want it soon.
        let mut soon = demand(2.0, 4, 0);
        soon.warm_spare = 8;
        let fleet = [
            machine(1, None),
            machine(2, Some(80.0)),
            machine(3, Some(80.0)),
        ];
        let plan = plan_rental(&types, &[soon], &fleet, |_, _, _| false, &limits(), 1e9);
        assert_eq!(plan.surplus, vec![], "two machines are kept warm");
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
    fn large_tasks_get_the_only_type_that_takes_them() {
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
                .filter(|p| p.type_index == i)
                .map(|p| p.count)
                .sum::<u32>()
        };
        assert_eq!((count(0), count(1)), (10, 1));
    }

    #[test]
    fn work_that_can_wait_a_turn_gets_no_ordinary_machine_and_those_go_back_sooner() {
        // Guards against ordinary machines bought for a backlog that booting
        // spot ones clear in a turn, and held idle as long as cheap ones.
        let types = [machine_type("small", 8.0, 1.0)];
        let fleet = [machine(1, true, None), machine(2, true, None)];
        let no_spot = |_: usize, _: &str, spot: bool| spot;
        let mut backlog = demand(2.0, 24, 0);
        backlog.max_turnovers = 2.0;
        let plan = plan_rental(&types, &[backlog.clone()], &fleet, no_spot, &limits(), 1e9);
        assert_eq!(plan.requests, vec![], "16 wait on 2 machines for 2 turns");
        backlog.tasks = 25;
        let bought = |backlog: &Demand, share| -> u32 {
            let backlog = std::slice::from_ref(backlog);
            let plan = plan_rental(&types, backlog, &fleet, no_spot, &limits(), share);
            plan.requests.iter().map(|p| p.count).sum()
        };
        assert_eq!(bought(&backlog, 1e9), 1);
        // However long the backlog, they stay a share of the spot machines.
        backlog.tasks = 1000;
        assert_eq!(bought(&backlog, 1.5), 3);
        backlog.max_turnovers = 0.0;
        assert!(bought(&backlog, 1.5) > 200, "what can't wait gets them");

        let idle = [machine(1, true, Some(30.0)), machine(2, false, Some(30.0))];
        let plan = plan_rental(&types, &[], &idle, no_spot, &limits(), 1e9);
        assert_eq!(plan.surplus, vec![2]);
    }
}
