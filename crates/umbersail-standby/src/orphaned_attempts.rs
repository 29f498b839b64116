//! Orphaned attempts: task attempts of finished jobs that may still be running. A new
//! leader charges exactly these attempts to their teams.

use std::collections::BTreeMap;

use umbersail_policy::{Shape, Usage};

/// Position of a heartbeat among all heartbeats of its machine: (agent session, sequence
/// number).
pub type HeartbeatOrder = (u64, u64);

/// The attempts of one finished job that may still be running.
#[derive(Debug, Clone, PartialEq)]
pub struct OrphanedAttempts<M> {
    /// Index of the job's team.
    pub team: Option<usize>,
    /// Resources of each attempt; `None` if the job's record does not state them.
    pub shape: Option<Shape>,
    /// Upper bound on the attempts that may still be running.
    pub attempts: u32,
    /// Machines that may run the attempts. A machine is removed by a heartbeat that shows
    /// this leader's token and no active task of the job. If the machine has a
    /// `HeartbeatOrder`, a launch may have been in flight; then only a later heartbeat that
    /// arrived in sequence removes the machine.
    pub machines: BTreeMap<M, Option<HeartbeatOrder>>,
}

/// All finished jobs with orphaned attempts, indexed by job and by machine.
///
/// The progress record of a job is kept in the state service for as long as the job is in
/// this index. The next leader therefore reads which attempts may be running, and does not
/// have to treat whole machines as occupied (rule 4 of `docs/design.md`).
#[derive(Debug, Clone)]
pub struct OrphanedJobs<J, M> {
    jobs: BTreeMap<J, OrphanedAttempts<M>>,
    by_machine: BTreeMap<M, Vec<J>>,
}

impl<J, M> Default for OrphanedJobs<J, M> {
    fn default() -> Self {
        OrphanedJobs {
            jobs: BTreeMap::new(),
            by_machine: BTreeMap::new(),
        }
    }
}

impl<J: Ord + Clone, M: Ord + Clone> OrphanedJobs<J, M> {
    /// Adds the orphaned attempts of a job. Returns false if there are none, in which case
    /// the job's record may be deleted.
    pub fn insert(&mut self, job: J, orphaned_attempts: OrphanedAttempts<M>) -> bool {
        if orphaned_attempts.attempts == 0 || orphaned_attempts.machines.is_empty() {
            return false;
        }
        for machine in orphaned_attempts.machines.keys() {
            let jobs = self.by_machine.entry(machine.clone()).or_default();
            if !jobs.contains(&job) {
                jobs.push(job.clone());
            }
        }
        self.jobs.insert(job, orphaned_attempts);
        true
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &J> {
        self.jobs.keys()
    }

    /// Whether this job is in the index and the resources of its attempts are known.
    pub fn has_known_shape(&self, job: &J) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|attempts| attempts.shape.is_some())
    }

    /// Whether this machine may run orphaned attempts whose resources are unknown.
    pub fn may_hold_unknown_shape(&self, machine: &M) -> bool {
        self.by_machine.get(machine).is_some_and(|jobs| {
            jobs.iter()
                .any(|job| (self.jobs.get(job)).is_some_and(|attempts| attempts.shape.is_none()))
        })
    }

    /// Handles a heartbeat that shows this leader's token. `active` tells whether the
    /// heartbeat lists an active task of a job. Returns the jobs that have no orphaned
    /// attempts any more; their records may be deleted.
    pub fn on_heartbeat(
        &mut self,
        machine: &M,
        order: HeartbeatOrder,
        in_sequence: bool,
        active: impl Fn(&J) -> bool,
    ) -> Vec<J> {
        self.settle_where(machine, |job, after| {
            !active(job) && after.is_none_or(|after| in_sequence && order > after)
        })
    }

    /// Handles proof that a machine runs no tasks: its lease has expired or the machine was
    /// deleted. Returns the jobs that have no orphaned attempts any more.
    pub fn on_machine_empty(&mut self, machine: &M) -> Vec<J> {
        self.settle_where(machine, |_, _| true)
    }

    /// Removes the machine from all of its jobs for which `is_settled` holds. Returns the
    /// jobs that are left without a machine.
    fn settle_where(
        &mut self,
        machine: &M,
        is_settled: impl Fn(&J, Option<HeartbeatOrder>) -> bool,
    ) -> Vec<J> {
        let Some(jobs) = self.by_machine.get_mut(machine) else {
            return Vec::new();
        };
        let mut settled = Vec::new();
        jobs.retain(|job| {
            let Some(orphaned_attempts) = self.jobs.get_mut(job) else {
                return false;
            };
            let after = orphaned_attempts.machines.get(machine).copied().flatten();
            if !is_settled(job, after) {
                return true;
            }
            orphaned_attempts.machines.remove(machine);
            if orphaned_attempts.machines.is_empty() {
                settled.push(job.clone());
            }
            false
        });
        if jobs.is_empty() {
            self.by_machine.remove(machine);
        }
        for job in &settled {
            self.jobs.remove(job);
        }
        settled
    }

    /// Adds the resources of the orphaned attempts to the usage of their teams.
    pub fn add_usage_to(&self, usage: &mut [Usage]) {
        for orphaned_attempts in self.jobs.values() {
            if let (Some(shape), Some(used)) = (
                orphaned_attempts.shape,
                orphaned_attempts.team.and_then(|team| usage.get_mut(team)),
            ) {
                used.add(&shape, f64::from(orphaned_attempts.attempts));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn orphaned_attempts(
        attempts: u32,
        machines: &[(&'static str, Option<HeartbeatOrder>)],
    ) -> OrphanedAttempts<&'static str> {
        OrphanedAttempts {
            team: Some(0),
            shape: Some(Shape {
                cpus: 2.0,
                gpus: 0.0,
                memory_gb: 1.0,
                task_entries: 1.0,
            }),
            attempts,
            machines: machines.iter().copied().collect(),
        }
    }

    #[test]
    fn orphaned_attempts_are_charged_until_every_machine_has_reported_none() {
        // Guards against exceeding a team's limit: a new leader has not received heartbeats
        // from some machines yet, and they still run tasks of a cancelled job.
        let mut orphaned_jobs: OrphanedJobs<&str, &str> = OrphanedJobs::default();
        assert!(!orphaned_jobs.insert("none", orphaned_attempts(0, &[("m1", None)])));
        assert!(orphaned_jobs.insert(
            "job",
            orphaned_attempts(3, &[("m1", None), ("m2", Some((1, 5)))])
        ));
        let used = |orphaned_jobs: &OrphanedJobs<&str, &str>| {
            let mut usage = [Usage::default()];
            orphaned_jobs.add_usage_to(&mut usage);
            usage[0].cpus
        };
        assert_eq!(used(&orphaned_jobs), 6.0);
        assert!(
            orphaned_jobs
                .on_heartbeat(&"m1", (1, 1), false, |_| true)
                .is_empty()
        );
        assert!(
            orphaned_jobs
                .on_heartbeat(&"m1", (1, 2), false, |_| false)
                .is_empty()
        );
        // A launch may be in flight to m2: only a later heartbeat that arrived in sequence
        // proves that m2 does not run the job.
        assert!(
            orphaned_jobs
                .on_heartbeat(&"m2", (1, 6), false, |_| false)
                .is_empty()
        );
        assert!(
            orphaned_jobs
                .on_heartbeat(&"m2", (1, 5), true, |_| false)
                .is_empty()
        );
        assert_eq!(used(&orphaned_jobs), 6.0);
        assert_eq!(
            orphaned_jobs.on_heartbeat(&"m2", (1, 6), true, |_| false),
            ["job"]
        );
        assert_eq!(used(&orphaned_jobs), 0.0);
        assert!(orphaned_jobs.is_empty() && orphaned_jobs.on_machine_empty(&"m2").is_empty());
    }

    #[test]
    fn a_record_without_resources_marks_its_machines_as_holding_unknown_attempts() {
        // Guards against treating attempts as free of cost: records written by an older
        // build do not state the resources of an attempt.
        let mut orphaned_jobs: OrphanedJobs<&str, &str> = OrphanedJobs::default();
        let unknown_shape = OrphanedAttempts {
            shape: None,
            ..orphaned_attempts(1, &[("m1", None)])
        };
        orphaned_jobs.insert("old", unknown_shape);
        assert!(
            orphaned_jobs.may_hold_unknown_shape(&"m1")
                && !orphaned_jobs.may_hold_unknown_shape(&"m2")
        );
        assert!(!orphaned_jobs.has_known_shape(&"old"));
        assert_eq!(orphaned_jobs.on_machine_empty(&"m1"), ["old"]);
        assert!(!orphaned_jobs.may_hold_unknown_shape(&"m1"));
    }
}
