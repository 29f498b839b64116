//! Iterates over slots from the cheapest on, sorting only as many as are used.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A slot with its cost and a caller-defined number.
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
    /// The cheapest slot is the greatest; among slots of equal cost, the one with the
    /// lowest index.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = other.cost.total_cmp(&self.cost);
        by_cost.then(other.index.cmp(&self.index))
    }
}

/// Yields (index, tag) by cost, then by index. Most jobs take a few slots out of thousands. A
/// heap finds `k` of `n` slots in O(n + k log n) without sorting the rest.
#[derive(Debug)]
pub struct CheapestFirst(BinaryHeap<PricedSlot>);

impl CheapestFirst {
    /// Creates an iterator over offers (cost, index, tag). The tag is returned unchanged. Costs
    /// may be in any unit.
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
    fn offers_of_equal_cost_come_in_input_order() {
        // Guards against results that depend on the internal order of the heap: the same
        // simulation must give the same result twice.
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
