//! What jobs that are over may still run, so that a successor counts just that.

use std::collections::BTreeMap;

use umbersail_policy::{Shape, Usage};

/// A report's place among those of its machine: (session, count).
pub type HeartbeatOrder = (u64, u64);

/// A job that is over whose attempts may still be about.
#[derive(Debug, Clone, PartialEq)]
pub struct OrphanedAttempts<M> {
    /// Index of its team.
    pub team: Option<usize>,
    /// What each attempt takes; absent where the record does not say.
    pub shape: Option<Shape>,
    /// Attempts that may still run, at most.
    pub attempts: u32,
    /// Machines that may hold them. One leaves with a report that shows our token
    /// and nothing of the job; where an order stands, only with a later report
    /// that came in turn, since a launch may have been on its way.
    pub machines: BTreeMap<M, Option<HeartbeatOrder>>,
}

/// All of them, by job and by machine.
///
/// A job's record of progress stands for as long as it is in here: whoever
/// takes over finds it, and so no machine needs to count by its whole size
/// (rule 4).
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
    /// Takes in what is left of a job; false if nothing is, and its record may go.
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

    /// Whether this job's attempts are counted here by their own size.
    pub fn has_known_shape(&self, job: &J) -> bool {
        self.jobs.get(job).is_some_and(|r| r.shape.is_some())
    }

    /// Whether this machine may hold attempts of unknown size.
    pub fn may_hold_unknown_shape(&self, machine: &M) -> bool {
        self.by_machine.get(machine).is_some_and(|jobs| {
            jobs.iter()
                .any(|job| self.jobs.get(job).is_some_and(|r| r.shape.is_none()))
        })
    }

    /// A machine's report with our token shows active tasks of just those jobs
    /// that `active` names. Jobs of which nothing is left come back: their
    /// records may go.
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

    /// The machine is proven empty: its lease has lapsed, or it is gone.
    pub fn on_machine_empty(&mut self, machine: &M) -> Vec<J> {
        self.settle_where(machine, |_, _| true)
    }

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

    /// Adds what may still run to its team's use.
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
            }),
            attempts,
            machines: machines.iter().copied().collect(),
        }
    }

    #[test]
    fn orphaned_attempts_count_until_their_last_machine_has_shown_that_nothing_is_left() {
        // Guards against a team's limit broken by a cancelled job's tasks on
        // machines that a new leader has not heard of yet.
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
        // A launch may be on its way: only a later report in turn settles it.
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
    fn a_record_without_size_closes_its_machines_by_their_whole_size() {
        // Guards against records of an older build, which did not say it.
        let mut orphaned_jobs: OrphanedJobs<&str, &str> = OrphanedJobs::default();
        let unsized_one = OrphanedAttempts {
            shape: None,
            ..orphaned_attempts(1, &[("m1", None)])
        };
        orphaned_jobs.insert("old", unsized_one);
        assert!(
            orphaned_jobs.may_hold_unknown_shape(&"m1")
                && !orphaned_jobs.may_hold_unknown_shape(&"m2")
        );
        assert!(!orphaned_jobs.has_known_shape(&"old"));
        assert_eq!(orphaned_jobs.on_machine_empty(&"m1"), ["old"]);
        assert!(!orphaned_jobs.may_hold_unknown_shape(&"m1"));
    }
}
