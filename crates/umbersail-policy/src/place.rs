//! Placement: which machines a task may use, and the cost of using them.

use umbersail_wire::{JobSpec, MachineType};

use crate::Shape;

/// The properties of a machine that placement depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineView<'a, M> {
    /// The machine.
    pub machine: M,
    /// The machine type.
    pub machine_type: &'a MachineType,
    /// The zone of the machine.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free resources.
    pub free: Shape,
    /// Whether the machine has the task's image cached.
    pub has_image: bool,
    /// Whether the machine is fetching the image for another task.
    pub fetching_image: bool,
    /// Seconds until the machine's next heartbeat is due. Launch commands travel in the
    /// heartbeat reply.
    pub heartbeat_due_in_s: f64,
}

/// The properties of a task that placement depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskView<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// Resources of one task.
    pub shape: Shape,
    /// CPUs of the smallest machine type that fits the task.
    pub smallest_cpus: f64,
    /// The zone that the job's other tasks require, if any.
    pub only_zone: Option<&'a str>,
    /// Machine types that other waiting jobs depend on.
    pub reserved_types: &'a [String],
}

/// Whether the job allows this type of machine.
pub fn allows_type(spec: &JobSpec, machine_type: &str) -> bool {
    let types = spec.types.as_ref();
    types.is_none_or(|types| types.iter().any(|t| t == machine_type))
}

/// Whether the job allows machines of this type and zone, spot or on-demand.
pub fn allows_machine(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    allows_type(spec, machine_type)
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (!spot || spec.spot())
}

/// CPUs of the smallest allowed machine type that fits one task.
pub fn smallest_cpus(spec: &JobSpec, types: &[MachineType]) -> Option<f64> {
    let shape = Shape::of_task(spec);
    types
        .iter()
        .filter(|t| {
            allows_type(spec, &t.name)
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && shape.fits_in(&Shape::of_type(t))
        })
        .map(|t| t.cpus)
        .min_by(f64::total_cmp)
}

/// Weights of the terms of the placement cost. Costs are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct PlacementWeights {
    /// Cost per second of image fetch.
    pub image: f64,
    /// Cost of using a larger machine type than the task needs.
    pub oversize: f64,
    /// Cost of using an on-demand machine for a task that may run on a spot machine.
    pub on_demand: f64,
}

/// Cost in seconds of placing tasks on a machine, and the number of tasks that fit; `None`
/// if none fits. The caller checks the allowed types and zones.
pub fn placement_cost<M>(
    task: &TaskView<'_>,
    m: &MachineView<'_, M>,
    weights: PlacementWeights,
) -> Option<(f64, u32)> {
    if task.only_zone.is_some_and(|z| z != m.zone) {
        return None;
    }
    let slots = task.shape.slots_in(&m.free);
    if slots == 0 {
        return None;
    }
    let oversize = m.machine_type.cpus > task.smallest_cpus + 1e-6;
    // Small tasks on the only type that fits waiting large tasks would keep the large tasks
    // out for as long as small tasks keep arriving.
    if oversize && task.reserved_types.contains(&m.machine_type.name) {
        return None;
    }
    let profile = CostProfile {
        image_gb: task.spec.image_gb,
        smallest_cpus: task.smallest_cpus,
        spot: task.spec.spot(),
    };
    Some((machine_cost(&profile, m, weights), slots))
}

/// The properties of a job that the placement cost depends on. Jobs with an equal cost
/// profile and image rank machines alike.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostProfile {
    /// Size of the image in GB.
    pub image_gb: f64,
    /// CPUs of the smallest machine type that fits the task.
    pub smallest_cpus: f64,
    /// Whether the task may run on a spot machine.
    pub spot: bool,
}

/// Cost in seconds of placing a task on a machine, independent of the task's size.
pub fn machine_cost<M>(
    profile: &CostProfile,
    m: &MachineView<'_, M>,
    weights: PlacementWeights,
) -> f64 {
    let oversize = m.machine_type.cpus > profile.smallest_cpus + 1e-6;
    let fetch_s = profile.image_gb / m.machine_type.fetch_gb_per_s.max(1e-3);
    let fetch = match (m.has_image, m.fetching_image) {
        (true, _) => 0.0,
        (false, true) => fetch_s * 0.5,
        (false, false) => fetch_s,
    };
    let free_share = m.free.cpus / m.machine_type.cpus.max(1e-3);
    fetch * weights.image
        + m.heartbeat_due_in_s
        + if oversize { weights.oversize } else { 0.0 }
        + if profile.spot && !m.spot {
            weights.on_demand
        } else {
            0.0
        }
        + free_share
}

/// Machines that fit at least one task, cheapest first, each with the number of tasks that
/// fit. Machines of equal cost keep their input order.
pub fn rank_machines<M: Clone>(
    task: &TaskView<'_>,
    machines: &[MachineView<'_, M>],
    weights: PlacementWeights,
) -> Vec<(M, u32)> {
    let mut ranked: Vec<(f64, M, u32)> = machines
        .iter()
        .filter(|m| allows_machine(task.spec, &m.machine_type.name, m.zone, m.spot))
        .filter_map(|m| {
            let (cost, slots) = placement_cost(task, m, weights)?;
            Some((cost, m.machine.clone(), slots))
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.into_iter().map(|(_, m, slots)| (m, slots)).collect()
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use umbersail_wire::{JobKind, Priority};

    pub(crate) fn spec(cpus: f64) -> JobSpec {
        JobSpec {
            id: "req-1".into(),
            class: "c".into(),
            team: "t".into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: 1,
            cpus,
            gpus: None,
            memory_gb: 1.0,
            image: "i".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: None,
            spread: None,
            spot: Some(true),
            estimate_s: 10.0,
            checkpoint_s: None,
            save_s: None,
            deadline_s: None,
        }
    }

    pub(crate) fn machine_type(name: &str, cpus: f64, price: f64) -> MachineType {
        MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb: 256.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 0.5,
            price,
            spot_price: Some(price / 3.0),
            boot_s: 30.0,
            zones: vec!["a".into(), "b".into()],
        }
    }

    #[test]
    fn small_tasks_avoid_large_machines_and_prefer_cached_images() {
        let small = machine_type("small", 8.0, 1.0);
        let large = machine_type("large", 64.0, 8.0);
        let job = spec(2.0);
        let view = |machine, machine_type, cpus, has_image| MachineView {
            machine,
            machine_type,
            zone: "a",
            spot: false,
            free: Shape {
                cpus,
                gpus: 0.0,
                memory_gb: 100.0,
                task_entries: 100.0,
            },
            has_image,
            fetching_image: false,
            heartbeat_due_in_s: 0.0,
        };
        let machines = [
            view(1, &large, 64.0, true),
            view(2, &small, 8.0, false),
            view(3, &small, 4.0, true),
            view(4, &small, 1.0, true),
        ];
        let mut task = TaskView {
            spec: &job,
            shape: Shape::of_task(&job),
            smallest_cpus: 8.0,
            only_zone: None,
            reserved_types: &[],
        };
        let weights = PlacementWeights {
            image: 1.0,
            oversize: 8.0,
            on_demand: 0.0,
        };
        let order: Vec<_> = rank_machines(&task, &machines, weights);
        assert_eq!(order, vec![(3, 2), (2, 4), (1, 32)]);
        let reserved = ["large".to_owned()];
        task.reserved_types = &reserved;
        assert_eq!(rank_machines(&task, &machines, weights).len(), 2);
    }

    #[test]
    fn type_zone_and_spot_restrictions_apply() {
        let mut job = spec(2.0);
        job.spot = None;
        assert!(!allows_machine(&job, "g8", "a", true));
        job.types = Some(vec!["g8".into()]);
        job.zone = Some("a".into());
        assert!(allows_machine(&job, "g8", "a", false));
        assert!(!allows_machine(&job, "g9", "a", false));
        assert!(!allows_machine(&job, "g8", "b", false));
    }
}
