//! What a window is promised: by the catalogue, and by what its team may use beside what
//! was promised to it earlier.

use umbersail_policy::{Shape, TeamLimits};
use umbersail_wire::MachineType;

use crate::{Admission, ClusterView, Demand, PromisedMachines, Terms};

/// What was promised to the same team earlier, for times that overlap.
pub(crate) struct EarlierPromise<'a> {
    pub name: &'a str,
    pub items: &'a [PromisedMachines],
}

/// The admission on an entry's window, and what it is promised.
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

/// Takes off, from the last item on, what the team could not use within its limit.
fn trim_to_team_limit(
    limits: &TeamLimits,
    items: &mut [PromisedMachines],
    earlier: &[EarlierPromise<'_>],
    view: &ClusterView<'_>,
    reasons: &mut Vec<String>,
) {
    let size = |item: &PromisedMachines| {
        let found = view.types.iter().find(|t| t.name == item.machine_type);
        found.map(Shape::of_type).unwrap_or_default()
    };
    let cpus = |s: &Shape| s.cpus;
    let gpus = |s: &Shape| s.gpus;
    let mut promised = Shape::default();
    for item in earlier.iter().flat_map(|b| b.items) {
        promised.add(&size(item), f64::from(item.count));
    }
    for (kind, most, of) in [
        ("CPUs", limits.max_cpus, cpus as fn(&Shape) -> f64),
        ("GPUs", limits.max_gpus, gpus),
    ] {
        if most <= 0.0 {
            continue;
        }
        let mut left = (most - of(&promised)).max(0.0);
        let mut trimmed = false;
        for item in items.iter_mut() {
            let each = of(&size(item));
            if each <= 0.0 {
                continue;
            }
            // A machine of which the team may use a part is worth having if it is the
            // first; amounts asked for are rounded up to machines.
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
            let beside = match names.as_slice() {
                [] => String::new(),
                names => format!(
                    ", {:.0} of them promised to {}",
                    of(&promised),
                    names.join(", ")
                ),
            };
            reasons.push(format!("the team's limit of {most} {kind}{beside}"));
        }
    }
}

/// Whether the type can be had where the entry wants it.
pub(crate) fn is_offered(t: &MachineType, terms: &Terms) -> bool {
    terms
        .zone
        .as_ref()
        .map_or(!t.zones.is_empty(), |zone| t.zones.contains(zone))
}

/// Whether machines of the type are of use for amounts: they take the largest task of its
/// classes that was seen, and have no GPUs that nobody asked for.
pub(crate) fn suits_resources(name: &str, t: &MachineType, view: &ClusterView<'_>) -> bool {
    let room = Shape::of_type(t);
    match view.largest_tasks.get(name) {
        Some(task) => task.fits_in(&room) && (t.gpus <= 0.0 || task.gpus > 0.0),
        None => t.gpus <= 0.0,
    }
}

/// The type that gives these amounts at the least price, and how many of it.
fn cheapest_type(
    name: &str,
    terms: &Terms,
    cpus: f64,
    memory_gb: f64,
    view: &ClusterView<'_>,
) -> Option<PromisedMachines> {
    let of_type = |t: &MachineType| {
        let need = |want: f64, each: f64| match want > 0.0 {
            true if each <= 0.0 => f64::INFINITY,
            true => (want / each - 1e-9).ceil(),
            false => 0.0,
        };
        let count = need(cpus, t.cpus).max(need(memory_gb, t.memory_gb));
        (count.is_finite() && count < 1e9).then_some(count as u32)
    };
    view.types
        .iter()
        .filter(|t| is_offered(t, terms) && suits_resources(name, t, view))
        .filter_map(|t| Some((t, of_type(t)?)))
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
