//! Rankings of slots, shared by jobs that rank slots alike.

use std::collections::BinaryHeap;

use crate::cheapest::PricedSlot;

/// Most rankings kept. The least recently used ranking is dropped first.
const MAX_RANKINGS: usize = 32;

/// Rankings of slots by a key that jobs with the same ranking have in common. When a slot
/// is used, it is ranked again in each ranking while the other slots keep their positions.
/// A series of similar jobs therefore examines each slot once in total, not once per job.
#[derive(Debug)]
pub struct Rankings<K> {
    /// Each entry is tagged with the version of its slot at the time of ranking.
    rankings: Vec<(K, BinaryHeap<PricedSlot>)>,
    /// Version of each slot: how often it was used.
    versions: Vec<u32>,
}

impl<K: PartialEq> Rankings<K> {
    /// Creates rankings over this number of slots.
    pub fn new(slots: usize) -> Rankings<K> {
        Rankings {
            rankings: Vec::new(),
            versions: vec![0; slots],
        }
    }

    /// Selects the ranking for `key` and builds it if there is none. `cost` returns the
    /// cost of a slot, or `None` if the slot may not be used. Returns the number of slots
    /// examined.
    pub fn open(&mut self, key: K, mut cost: impl FnMut(&K, usize) -> Option<f64>) -> u64 {
        if let Some(position) = self.rankings.iter().position(|(k, _)| *k == key) {
            let found = self.rankings.remove(position);
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

    /// Visits the slots of the selected ranking from the cheapest on, until `visit` returns
    /// false. Visited slots stay in the ranking. Returns the number of entries examined.
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

    /// Ranks a slot again after it was used: it has less free capacity, and an image is
    /// being fetched there.
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
    fn a_used_slot_is_ranked_again_in_every_ranking() {
        // Guards against outdated entries: a slot would keep its old cost, or seem free
        // when it is full.
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
        assert_eq!(
            order(&mut rankings),
            [0, 2, 1],
            "most expensive first for key -1"
        );
        costs[0] = 0.0;
        rankings.rerank(0, |k, i| (i > 0 || *k > 0.0).then_some(k * costs[i]));
        assert_eq!(
            order(&mut rankings),
            [2, 1],
            "slot 0 is not allowed for key -1"
        );
        assert_eq!(
            rankings.open(1.0, |_, _| None),
            0,
            "the ranking already exists"
        );
        assert_eq!(order(&mut rankings), [0, 1, 2]);
        let mut first = None;
        rankings.visit(|index| {
            first = Some(index);
            false
        });
        assert_eq!(first, Some(0));
        assert_eq!(order(&mut rankings), [0, 1, 2], "a visit removes no slot");
    }
}
