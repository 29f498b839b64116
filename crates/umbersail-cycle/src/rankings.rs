//! Rankings of slots that serve one job after the other, where they rank alike.

use std::collections::BinaryHeap;

use crate::cheapest::PricedSlot;

/// Rankings kept at once; the oldest goes first.
const MAX_RANKINGS: usize = 32;

/// Rankings by what jobs have in common when they rank slots: a slot that one
/// of them takes is ranked anew in each, the others stay where they are, so many
/// jobs alike cost one look at each slot and not one each.
#[derive(Debug)]
pub struct Rankings<K> {
    /// Offers note the version of their slot.
    rankings: Vec<(K, BinaryHeap<PricedSlot>)>,
    /// How often each slot was taken.
    versions: Vec<u32>,
}

impl<K: PartialEq> Rankings<K> {
    /// For so many slots.
    pub fn new(slots: usize) -> Rankings<K> {
        Rankings {
            rankings: Vec::new(),
            versions: vec![0; slots],
        }
    }

    /// The ranking of those who rank like `key`, made if there is none. `cost`
    /// tells what a slot costs, if it may be taken at all. How many slots were
    /// looked at for it.
    pub fn open(&mut self, key: K, mut cost: impl FnMut(&K, usize) -> Option<f64>) -> u64 {
        if let Some(at) = self.rankings.iter().position(|(k, _)| *k == key) {
            let found = self.rankings.remove(at);
            self.rankings.push(found);
            return 0;
        }
        let offer = |(index, version): (usize, &u32)| {
            let cost = cost(&key, index)?;
            Some(PricedSlot {
                cost,
                index,
                tag: *version,
            })
        };
        let offers: Vec<PricedSlot> = self.versions.iter().enumerate().filter_map(offer).collect();
        if self.rankings.len() >= MAX_RANKINGS {
            self.rankings.remove(0);
        }
        self.rankings.push((key, offers.into()));
        self.versions.len() as u64
    }

    /// Slots of the ranking opened last, from the cheapest on, as far as `visit`
    /// wants them: it tells whether to go on. Those visited keep their slot in
    /// the ranking. How many were looked at.
    pub fn visit(&mut self, mut visit: impl FnMut(usize) -> bool) -> u64 {
        let Some((_, heap)) = self.rankings.last_mut() else {
            return 0;
        };
        let mut visited = Vec::new();
        let mut examined = 0;
        while let Some(offer) = heap.pop() {
            examined += 1;
            if offer.tag != self.versions[offer.index] {
                continue;
            }
            visited.push(offer);
            if !visit(offer.index) {
                break;
            }
        }
        heap.extend(visited);
        examined
    }

    /// A slot has less room, and an image on its way: it is ranked anew.
    pub fn rerank(&mut self, index: usize, mut cost: impl FnMut(&K, usize) -> Option<f64>) {
        self.versions[index] += 1;
        let version = self.versions[index];
        for (key, heap) in &mut self.rankings {
            if let Some(cost) = cost(key, index) {
                heap.push(PricedSlot {
                    cost,
                    index,
                    tag: version,
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_place_that_was_taken_is_ranked_anew_for_everybody() {
        // Guards against an old offer: a slot would be thought cheap, or empty.
        let mut costs = [3.0, 1.0, 2.0];
        let mut rankings: Rankings<f64> = Rankings::new(3);
        let order = |rankings: &mut Rankings<f64>| {
            let mut seen = Vec::new();
            rankings.visit(|index| {
                seen.push(index);
                true
            });
            seen
        };
        for key in [1.0, -1.0] {
            let by = |k: &f64, i: usize| Some(k * costs[i]);
            assert_eq!(rankings.open(key, by), 3);
        }
        assert_eq!(order(&mut rankings), [0, 2, 1], "the dearest first for -1");
        costs[0] = 0.0;
        rankings.rerank(0, |k, i| (i > 0 || *k > 0.0).then_some(k * costs[i]));
        assert_eq!(order(&mut rankings), [2, 1], "not to be taken for -1");
        assert_eq!(rankings.open(1.0, |_, _| None), 0, "made already");
        assert_eq!(order(&mut rankings), [0, 1, 2]);
        let mut first = None;
        rankings.visit(|index| {
            first = Some(index);
            false
        });
        assert_eq!(first, Some(0));
        assert_eq!(
            order(&mut rankings),
            [0, 1, 2],
            "a visit takes nothing away"
        );
    }
}
