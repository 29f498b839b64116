use super::*;
use crate::place::tests::machine_type;

fn machine(machine: u32, spot: bool, idle_s: Option<f64>) -> FleetMachine<u32> {
    FleetMachine {
        machine,
        type_index: 0,
        zone: "a".into(),
        spot,
        long_running: Shape::default(),
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
        max_per_zone: None,
        spot: true,
        tasks,
        long_running: BTreeMap::new(),
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

#[test]
fn capacity_in_one_zone_is_no_capacity_for_the_tasks_that_must_be_in_another() {
    // Guards against a spread job that waits for ever: the zone with free capacity already
    // holds as many of its tasks as it may.
    let types = [machine_type("small", 8.0, 1.0)];
    let in_zone = |zone: &str, name| FleetMachine {
        zone: zone.into(),
        ..machine(name, false, None)
    };
    let fleet = [in_zone("a", 1), in_zone("a", 2)];
    let mut spread = demand(2.0, 5, 0);
    spread.max_per_zone = Some(3);
    let rent = |fleet: &[FleetMachine<u32>], spread: &Demand| {
        let demands = std::slice::from_ref(spread);
        plan_rental(&types, demands, fleet, |_, _, _| false, &limits(), 1e9).requests
    };
    let requests = rent(&fleet, &spread);
    assert_eq!(requests.len(), 1);
    assert_eq!((requests[0].zone.as_str(), requests[0].count), ("b", 1));
    // From an empty fleet each zone gets machines for no more than its share.
    spread.tasks = 17;
    spread.max_per_zone = Some(9);
    let requests = rent(&[], &spread);
    let machines = |zone: &str| -> u32 {
        let of_zone = requests.iter().filter(|r| r.zone == zone);
        of_zone.map(|r| r.count).sum()
    };
    assert!(machines("a") >= 2 && machines("b") >= 2, "{requests:?}");
}

#[test]
fn long_running_tasks_stay_on_their_machines() {
    // Guards against a large task that waits for ever: the free capacity suffices for it, but
    // is divided between two machines by tasks that are not moved and do not end.
    let types = [machine_type("small", 16.0, 1.0)];
    let shape = |cpus| Shape {
        cpus,
        ..Shape::default()
    };
    let with_service = |name, cpus| FleetMachine {
        long_running: shape(cpus),
        ..machine(name, false, None)
    };
    let fleet = [with_service(1, 10.0), with_service(2, 6.0)];
    let service = |cpus| Demand {
        long_running: [("a".to_owned(), 1)].into(),
        ..demand(cpus, 1, 0)
    };
    let rented = |waiting: Demand| -> u32 {
        let demands = [service(10.0), service(6.0), waiting];
        let plan = plan_rental(&types, &demands, &fleet, |_, _, _| false, &limits(), 1e9);
        plan.requests.iter().map(|r| r.count).sum()
    };
    assert_eq!(rented(demand(16.0, 1, 0)), 1);
    assert_eq!(
        rented(demand(10.0, 1, 0)),
        0,
        "fits beside the small service"
    );
    assert_eq!(rented(demand(6.0, 2, 0)), 0, "fits beside the services");
}
