//! Guarantees and limits of teams.

use crate::Shape;

/// A team's guarantee and limit. A limit of 0 means no limit.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TeamLimits {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// Most CPUs that the team may use.
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    pub guaranteed_gpus: f64,
    /// Most GPUs that the team may use.
    pub max_gpus: f64,
}

/// Resources that a team's tasks use, including attempts of which it is not known whether they
/// still run.
pub type Usage = Shape;

impl TeamLimits {
    /// Whether the team has a limit.
    pub fn is_limited(&self) -> bool {
        self.max_cpus > 0.0 || self.max_gpus > 0.0
    }

    /// Whether the team has a guarantee.
    pub fn has_guarantee(&self) -> bool {
        self.guaranteed_cpus > 0.0 || self.guaranteed_gpus > 0.0
    }

    /// Whether this usage is within the guarantee.
    pub fn is_within_guarantee(&self, usage: &Usage) -> bool {
        usage.cpus <= self.guaranteed_cpus + 1e-6
            && (usage.gpus <= 0.0 || usage.gpus <= self.guaranteed_gpus + 1e-6)
    }
}

/// Number of further tasks of this shape that the team's limit allows.
pub fn remaining_quota(limits: &TeamLimits, usage: &Usage, task: &Shape) -> u32 {
    let per = |max: f64, used: f64, need: f64| {
        if max <= 0.0 || need <= 0.0 {
            f64::INFINITY
        } else {
            ((max - used + 1e-6) / need).floor().max(0.0)
        }
    };
    per(limits.max_cpus, usage.cpus, task.cpus)
        .min(per(limits.max_gpus, usage.gpus, task.gpus))
        .min(1e6) as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_apply_and_zero_means_no_limit() {
        let task = Shape {
            cpus: 16.0,
            gpus: 0.0,
            memory_gb: 1.0,
            task_entries: 1.0,
        };
        let used = Shape {
            cpus: 100.0,
            ..Shape::default()
        };
        let mut team = TeamLimits {
            max_cpus: 128.0,
            ..TeamLimits::default()
        };
        assert_eq!(remaining_quota(&team, &used, &task), 1);
        team.max_cpus = 99.0;
        assert_eq!(remaining_quota(&team, &used, &task), 0);
        team.max_cpus = 0.0;
        assert!(remaining_quota(&team, &used, &task) > 1000);
    }
}
