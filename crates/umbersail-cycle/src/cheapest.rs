//! Placements from the cheapest on, ordered no further than they are asked for.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A slot at a cost, with a number of the holder's own.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PricedSlot {
    pub cost: f64,
    pub index: usize,
    pub tag: u32,
}

impl PartialEq for PricedSlot {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for PricedSlot {}

impl PartialOrd for PricedSlot {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PricedSlot {
    /// The cheapest is the greatest; of equal ones that which stands first.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = other.cost.total_cmp(&self.cost);
        by_cost.then(other.index.cmp(&self.index))
    }
}

/// Yields (index, slots) by cost, then by index. Most jobs take a few slots of
/// thousands: those are found in n + k log n, without sorting the rest.
#[derive(Debug)]
pub struct CheapestFirst(BinaryHeap<PricedSlot>);

impl CheapestFirst {
    /// Of offers (cost, index, slots); costs in any unit.
    pub fn new(offers: impl IntoIterator<Item = (f64, usize, u32)>) -> CheapestFirst {
        let offer = |(cost, index, tag)| PricedSlot { cost, index, tag };
        CheapestFirst(offers.into_iter().map(offer).collect::<Vec<_>>().into())
    }
}

impl Iterator for CheapestFirst {
    type Item = (usize, u32);

    fn next(&mut self) -> Option<(usize, u32)> {
        self.0.pop().map(|offer| (offer.index, offer.tag))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_offers_come_in_the_order_in_which_they_stand() {
        // Guards against a choice that depends on how a heap happens to lie: the
        // same night must be the same twice.
        let offers = [
            (2.0, 0, 1),
            (1.0, 1, 2),
            (2.0, 2, 3),
            (1.0, 3, 4),
            (0.5, 4, 5),
        ];
        let got: Vec<(usize, u32)> = CheapestFirst::new(offers).collect();
        assert_eq!(got, [(4, 5), (1, 2), (3, 4), (0, 1), (2, 3)]);
    }
}
