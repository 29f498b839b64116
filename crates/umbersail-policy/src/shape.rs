//! Resource amounts of tasks and machines.

use umbersail_wire::{JobSpec, MAX_TASKS_PER_WORKER, MachineType};

/// Resources of a task or a machine, or what is free on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Shape {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Entries in the worker's heartbeat: one for a task, and as many for a machine as its
    /// worker can list.
    pub task_entries: f64,
}

/// Tolerance for rounding errors in sums of decimal amounts; no real amount is this small.
const ROUNDING: f64 = 1e-6;

impl Shape {
    /// The same amount of every resource.
    pub const fn uniform(amount: f64) -> Shape {
        Shape {
            cpus: amount,
            gpus: amount,
            memory_gb: amount,
            task_entries: amount,
        }
    }

    /// Resources of one task of the job.
    pub fn of_task(spec: &JobSpec) -> Shape {
        Shape {
            cpus: spec.cpus,
            gpus: spec.gpus(),
            memory_gb: spec.memory_gb,
            task_entries: 1.0,
        }
    }

    /// Resources of a machine of this type.
    pub fn of_type(machine_type: &MachineType) -> Shape {
        Shape {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            task_entries: f64::from(MAX_TASKS_PER_WORKER),
        }
    }

    /// Whether these resources fit into `room`.
    pub fn fits_in(&self, room: &Shape) -> bool {
        self.cpus <= room.cpus + ROUNDING
            && self.gpus <= room.gpus + ROUNDING
            && self.memory_gb <= room.memory_gb + ROUNDING
            && self.task_entries <= room.task_entries + ROUNDING
    }

    /// How many times these resources fit into `room`.
    pub fn slots_in(&self, room: &Shape) -> u32 {
        let per = |need: f64, have: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + ROUNDING) / need).floor().max(0.0)
            }
        };
        per(self.cpus, room.cpus)
            .min(per(self.gpus, room.gpus))
            .min(per(self.memory_gb, room.memory_gb))
            .min(per(self.task_entries, room.task_entries))
            .min(1e6) as u32
    }

    /// Adds `times` times another amount.
    pub fn add(&mut self, other: &Shape, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
        self.task_entries += other.task_entries * times;
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn elementwise_max(&self, other: &Shape) -> Shape {
        Shape {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory_gb: self.memory_gb.max(other.memory_gb),
            task_entries: self.task_entries.max(other.task_entries),
        }
    }

    /// The smaller amount of each resource.
    #[must_use]
    pub fn elementwise_min(&self, other: &Shape) -> Shape {
        Shape {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
            task_entries: self.task_entries.min(other.task_entries),
        }
    }

    /// Returns the sum with `times` times another amount.
    pub fn plus(mut self, other: &Shape, times: f64) -> Shape {
        self.add(other, times);
        self
    }
}
