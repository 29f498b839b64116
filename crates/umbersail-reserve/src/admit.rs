//! Admission: decides how many machines an entry is promised. The limits are the catalogue of
//! machine types, and the team's limit less what was promised to the team earlier. The texts of
//! the reasons are part of the stored format and must not change.

use umbersail_policy::{Shape, TeamLimits};
use umbersail_wire::MachineType;

use crate::{Admission, ClusterView, Demand, PromisedMachines, Terms};

/// Machines that were promised earlier to another entry of the same team whose window
/// overlaps.
pub(crate) struct EarlierPromise<'a> {
    pub name: &'a str,
    pub items: &'a [PromisedMachines],
}

/// Decides how much of an entry's demand is promised, and which machines.
pub(crate) fn admit(
    name: &str,
    terms: &Terms,
    earlier: &[EarlierPromise<'_>],
    view: &ClusterView<'_>,
) -> (Admission, Vec<PromisedMachines>) {
    let mut reasons: Vec<String> = Vec::new();
    let mut items = match &terms.demand {
        Demand::Machines(machines) => machines
            .iter()
            .filter_map(|(machine_type, count)| {
                let item = PromisedMachines {
                    machine_type: machine_type.clone(),
                    count: *count,
                    exact: true,
                };
                let found = view.types.iter().find(|t| t.name == *machine_type);
                match found {
                    None => reasons.push(format!("the catalogue has no type '{machine_type}'")),
                    Some(t) if !is_offered(t, terms) => {
                        let zone = terms.zone.as_deref().unwrap_or_default();
                        reasons.push(format!("type '{machine_type}' is not in zone '{zone}'"));
                    }
                    Some(_) => return Some(item),
                }
                None
            })
            .collect(),
        Demand::Resources { cpus, memory_gb } => {
            match cheapest_type(name, terms, *cpus, *memory_gb, view) {
                Some(item) => vec![item],
                None => {
                    reasons.push("no type of the catalogue takes its tasks there".to_owned());
                    Vec::new()
                }
            }
        }
    };
    let mut left = view.settings.max_machines;
    for item in &mut items {
        if item.count > left {
            item.count = left;
            reasons.push(format!("more than {} machines", view.settings.max_machines));
        }
        left -= item.count;
    }
    let limits = view.teams.iter().find(|t| t.name == terms.team);
    match limits {
        None => {
            reasons.push(format!("there is no team '{}'", terms.team));
            items.clear();
        }
        Some(limits) => trim_to_team_limit(limits, &mut items, earlier, view, &mut reasons),
    }
    items.retain(|item| item.count > 0);
    let reason = reasons.join("; ");
    let admission = match (items.is_empty(), reason.is_empty()) {
        (true, _) => Admission::Rejected(reason),
        (false, true) => Admission::Full,
        (false, false) => Admission::Partial(reason),
    };
    (admission, items)
}

/// Reduces the items to what the team can use within its limit. The last items are reduced
/// first.
fn trim_to_team_limit(
    limits: &TeamLimits,
    items: &mut [PromisedMachines],
    earlier: &[EarlierPromise<'_>],
    view: &ClusterView<'_>,
    reasons: &mut Vec<String>,
) {
    let size = |item: &PromisedMachines| {
        let machine_type = view.types.iter().find(|t| t.name == item.machine_type);
        machine_type.map(Shape::of_type).unwrap_or_default()
    };
    let cpus = |s: &Shape| s.cpus;
    let gpus = |s: &Shape| s.gpus;
    let mut promised = Shape::default();
    for item in earlier.iter().flat_map(|b| b.items) {
        promised.add(&size(item), f64::from(item.count));
    }
    for (kind, limit, amount) in [
        ("CPUs", limits.max_cpus, cpus as fn(&Shape) -> f64),
        ("GPUs", limits.max_gpus, gpus),
    ] {
        if limit <= 0.0 {
            continue;
        }
        let mut left = (limit - amount(&promised)).max(0.0);
        let mut trimmed = false;
        for item in items.iter_mut() {
            let each = amount(&size(item));
            if each <= 0.0 {
                continue;
            }
            // A demand for resources is rounded up to whole machines: a machine is useful even
            // if the team may use only a part of it. A demand for machine types is rounded
            // down.
            let count = if item.exact {
                (left / each + 1e-9).floor()
            } else {
                (left / each - 1e-9).ceil().max(0.0)
            };
            if f64::from(item.count) > count {
                item.count = count as u32;
                trimmed = true;
            }
            left = (left - each * f64::from(item.count)).max(0.0);
        }
        if trimmed {
            let names: Vec<&str> = earlier.iter().map(|b| b.name).collect();
            let earlier_note = match names.as_slice() {
                [] => String::new(),
                names => format!(
                    ", {:.0} of them promised to {}",
                    amount(&promised),
                    names.join(", ")
                ),
            };
            reasons.push(format!("the team's limit of {limit} {kind}{earlier_note}"));
        }
    }
}

/// Whether the machine type is offered in the entry's zone, or in any zone if the entry names
/// none.
pub(crate) fn is_offered(t: &MachineType, terms: &Terms) -> bool {
    terms
        .zone
        .as_ref()
        .map_or(!t.zones.is_empty(), |zone| t.zones.contains(zone))
}

/// Whether machines of the type suit an entry that asks for amounts of resources: the largest
/// observed task of the entry's classes fits on the machine, and the machine has no GPUs
/// unless that task uses GPUs.
pub(crate) fn suits_resources(name: &str, t: &MachineType, view: &ClusterView<'_>) -> bool {
    let machine = Shape::of_type(t);
    match view.largest_tasks.get(name) {
        Some(task) => task.fits_in(&machine) && (t.gpus <= 0.0 || task.gpus > 0.0),
        None => t.gpus <= 0.0,
    }
}

/// The machine type that provides the amounts of resources at the lowest price, and the number
/// of machines.
fn cheapest_type(
    name: &str,
    terms: &Terms,
    cpus: f64,
    memory_gb: f64,
    view: &ClusterView<'_>,
) -> Option<PromisedMachines> {
    let machines_needed = |t: &MachineType| {
        let need = |demand: f64, each: f64| match demand > 0.0 {
            true if each <= 0.0 => f64::INFINITY,
            true => (demand / each - 1e-9).ceil(),
            false => 0.0,
        };
        let count = need(cpus, t.cpus).max(need(memory_gb, t.memory_gb));
        (count.is_finite() && count < 1e9).then_some(count as u32)
    };
    view.types
        .iter()
        .filter(|t| is_offered(t, terms) && suits_resources(name, t, view))
        .filter_map(|t| Some((t, machines_needed(t)?)))
        .min_by(|(a, na), (b, nb)| {
            let price = |t: &MachineType, n: u32| t.price * f64::from(n);
            price(a, *na)
                .total_cmp(&price(b, *nb))
                .then(a.name.cmp(&b.name))
        })
        .map(|(t, count)| PromisedMachines {
            machine_type: t.name.clone(),
            count,
            exact: false,
        })
}
