//! Who may lose a task to whom: known as jobs come and go, not searched for.

use std::collections::BTreeMap;

use imbl::OrdSet;

/// How a job stands when it is asked for room: by tier, and by team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreemptionClass<T> {
    /// Priority tier.
    pub tier: T,
    /// Index of the team.
    pub team: Option<usize>,
}

/// Jobs that might lose a task, by class. A job in it may have nothing to
/// lose just now; a job that is not in it never has. The sets are persistent:
/// a cycle holds those that it began with while jobs come and go.
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

    /// The job is over, or has lost as often as it may. Absent ones are fine.
    pub fn remove(&mut self, class: PreemptionClass<T>, job: &J) {
        if let Some(set) = self.sets.get_mut(&class) {
            set.remove(job);
            if set.is_empty() {
                self.sets.remove(&class);
            }
        }
    }

    /// Jobs that may have to make room for one of this class: those of lower
    /// tiers and, if it takes back its team's guarantee, those of other teams.
    /// Costs nothing where there are none.
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
    fn only_lower_tiers_and_for_a_guarantee_other_teams_may_lose() {
        type Names = PreemptibleJobs<u8, &'static str>;
        let class = |tier, team| PreemptionClass {
            tier,
            team: Some(team),
        };
        let mut preemptible = Names::default();
        preemptible.insert(class(0, 0), "low");
        preemptible.insert(class(2, 0), "high");
        preemptible.insert(class(2, 1), "other team's");
        let to = |preemptible: &Names, tier, team, reclaim| -> Vec<&'static str> {
            let sets = preemptible.preemptible_by(class(tier, team), reclaim);
            sets.iter().flat_map(|s| s.iter().copied()).collect()
        };
        assert_eq!(to(&preemptible, 2, 0, false), ["low"]);
        assert_eq!(to(&preemptible, 2, 0, true), ["low", "other team's"]);
        assert!(to(&preemptible, 0, 0, false).is_empty());
        preemptible.remove(class(0, 0), &"low");
        preemptible.remove(class(0, 0), &"low");
        assert!(to(&preemptible, 2, 0, false).is_empty());
        assert_eq!(preemptible.len(), 2);
    }
}
