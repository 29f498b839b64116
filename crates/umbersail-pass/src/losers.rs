//! Who may lose a task to whom: known as jobs come and go, not searched for.

use std::collections::BTreeMap;

use imbl::OrdSet;

/// How a job stands when it is asked for room: by tier, and by team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Standing<T> {
    /// Priority tier.
    pub tier: T,
    /// Index of the team.
    pub team: Option<usize>,
}

/// Jobs that might lose a task, by standing. A job in it may have nothing to
/// lose just now; a job that is not in it never has. The sets are persistent:
/// a pass holds those that it began with while jobs come and go.
#[derive(Debug, Clone)]
pub struct Losers<T, J: Ord> {
    sets: BTreeMap<Standing<T>, OrdSet<J>>,
}

impl<T: Ord + Copy, J: Ord + Clone> Default for Losers<T, J> {
    fn default() -> Self {
        Losers {
            sets: BTreeMap::new(),
        }
    }
}

impl<T: Ord + Copy, J: Ord + Clone> Losers<T, J> {
    /// Adds a job.
    pub fn insert(&mut self, standing: Standing<T>, job: J) {
        self.sets.entry(standing).or_default().insert(job);
    }

    /// The job is over, or has lost as often as it may. Absent ones are fine.
    pub fn remove(&mut self, standing: Standing<T>, job: &J) {
        if let Some(set) = self.sets.get_mut(&standing) {
            set.remove(job);
            if set.is_empty() {
                self.sets.remove(&standing);
            }
        }
    }

    /// Jobs that may have to make room for one of this standing: those of lower
    /// tiers and, if it takes back its team's guarantee, those of other teams.
    /// Costs nothing where there are none.
    pub fn to(&self, winner: Standing<T>, reclaim: bool) -> Vec<OrdSet<J>> {
        self.sets
            .iter()
            .filter(|(s, _)| s.tier < winner.tier || (reclaim && s.team != winner.team))
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
        type Names = Losers<u8, &'static str>;
        let standing = |tier, team| Standing {
            tier,
            team: Some(team),
        };
        let mut losers = Names::default();
        losers.insert(standing(0, 0), "low");
        losers.insert(standing(2, 0), "high");
        losers.insert(standing(2, 1), "other team's");
        let to = |losers: &Names, tier, team, reclaim| -> Vec<&'static str> {
            let sets = losers.to(standing(tier, team), reclaim);
            sets.iter().flat_map(|s| s.iter().copied()).collect()
        };
        assert_eq!(to(&losers, 2, 0, false), ["low"]);
        assert_eq!(to(&losers, 2, 0, true), ["low", "other team's"]);
        assert!(to(&losers, 0, 0, false).is_empty());
        losers.remove(standing(0, 0), &"low");
        losers.remove(standing(0, 0), &"low");
        assert!(to(&losers, 2, 0, false).is_empty());
        assert_eq!(losers.len(), 2);
    }
}
