//! Index of the jobs whose tasks may be evicted, updated as jobs arrive and finish.

use std::collections::BTreeMap;

use imbl::OrdSet;

/// The properties of a job that decide whose tasks it may evict, and who may evict its
/// tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreemptionClass<T> {
    /// Priority tier.
    pub tier: T,
    /// Index of the team.
    pub team: Option<usize>,
}

/// Jobs whose tasks might be evicted, by class. A job in the index may have no evictable
/// task at the moment; a job that is not in the index never has one. The sets are
/// persistent: a cycle keeps the sets it started with while jobs are added and removed.
#[derive(Debug, Clone)]
pub struct PreemptibleJobs<T, J: Ord> {
    sets: BTreeMap<PreemptionClass<T>, OrdSet<J>>,
}

impl<T: Ord + Copy, J: Ord + Clone> Default for PreemptibleJobs<T, J> {
    fn default() -> Self {
        PreemptibleJobs {
            sets: BTreeMap::new(),
        }
    }
}

impl<T: Ord + Copy, J: Ord + Clone> PreemptibleJobs<T, J> {
    /// Adds a job.
    pub fn insert(&mut self, class: PreemptionClass<T>, job: J) {
        self.sets.entry(class).or_default().insert(job);
    }

    /// Removes a job that has finished or has reached its eviction limit. Does nothing if
    /// the job is not in the index.
    pub fn remove(&mut self, class: PreemptionClass<T>, job: &J) {
        if let Some(set) = self.sets.get_mut(&class) {
            set.remove(job);
            if set.is_empty() {
                self.sets.remove(&class);
            }
        }
    }

    /// The jobs whose tasks a job of class `beneficiary` may evict: those of lower tiers
    /// and, if `reclaim` is set because the beneficiary's team reclaims its guarantee,
    /// those of other teams. Costs almost nothing if there are none.
    pub fn preemptible_by(&self, beneficiary: PreemptionClass<T>, reclaim: bool) -> Vec<OrdSet<J>> {
        self.sets
            .iter()
            .filter(|(s, _)| s.tier < beneficiary.tier || (reclaim && s.team != beneficiary.team))
            .map(|(_, set)| set.clone())
            .collect()
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.sets.values().map(OrdSet::len).sum()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_lower_tiers_and_for_a_guarantee_other_teams_may_be_evicted() {
        type Names = PreemptibleJobs<u8, &'static str>;
        let class = |tier, team| PreemptionClass {
            tier,
            team: Some(team),
        };
        let mut preemptible = Names::default();
        preemptible.insert(class(0, 0), "low");
        preemptible.insert(class(2, 0), "high");
        preemptible.insert(class(2, 1), "other team's");
        let victims = |preemptible: &Names, tier, team, reclaim| -> Vec<&'static str> {
            let sets = preemptible.preemptible_by(class(tier, team), reclaim);
            sets.iter().flat_map(|s| s.iter().copied()).collect()
        };
        assert_eq!(victims(&preemptible, 2, 0, false), ["low"]);
        assert_eq!(victims(&preemptible, 2, 0, true), ["low", "other team's"]);
        assert!(victims(&preemptible, 0, 0, false).is_empty());
        preemptible.remove(class(0, 0), &"low");
        preemptible.remove(class(0, 0), &"low");
        assert!(victims(&preemptible, 2, 0, false).is_empty());
        assert_eq!(preemptible.len(), 2);
    }
}
