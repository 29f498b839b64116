//! Resource amounts of tasks and machines.

use umbersail_wire::{JobSpec, MachineType};

/// Resources of a task or a machine, or what is free on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Shape {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance for rounding errors in sums of decimal amounts; no real amount is this small.
const ROUNDING: f64 = 1e-6;

impl Shape {
    /// Resources of one task of the job.
    pub fn of_task(spec: &JobSpec) -> Shape {
        Shape {
            cpus: spec.cpus,
            gpus: spec.gpus(),
            memory_gb: spec.memory_gb,
        }
    }

    /// Resources of a machine of this type.
    pub fn of_type(machine_type: &MachineType) -> Shape {
        Shape {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether these resources fit into `room`.
    pub fn fits_in(&self, room: &Shape) -> bool {
        self.cpus <= room.cpus + ROUNDING
            && self.gpus <= room.gpus + ROUNDING
            && self.memory_gb <= room.memory_gb + ROUNDING
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
            .min(1e6) as u32
    }

    /// Adds `times` times another amount.
    pub fn add(&mut self, other: &Shape, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
    }

    /// Returns the sum with `times` times another amount.
    pub fn plus(mut self, other: &Shape, times: f64) -> Shape {
        self.add(other, times);
        self
    }
}
