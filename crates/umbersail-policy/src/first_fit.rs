//! First-fit search over bins in a fixed order.

use crate::Shape;

/// A tree over bins in which every node holds the maximum of each free resource below it.
/// The search for the first bin that fits skips full bins, which on a busy cluster are
/// nearly all.
#[derive(Debug, Clone)]
pub struct FirstFit {
    /// Heap order: the children of node `i` are `2i` and `2i + 1`; the leaves are the bins.
    max_free: Vec<Shape>,
    leaves: usize,
    bins: usize,
}

/// Free resources of an absent bin: not even a task without any demand fits.
const NO_ROOM: Shape = Shape::uniform(f64::NEG_INFINITY);

impl FirstFit {
    /// Creates bins with these free resources.
    pub fn new(capacities: &[Shape]) -> FirstFit {
        let leaves = capacities.len().next_power_of_two();
        let mut max_free = vec![NO_ROOM; 2 * leaves];
        max_free[leaves..leaves + capacities.len()].copy_from_slice(capacities);
        for node in (1..leaves).rev() {
            max_free[node] = max_free[2 * node].elementwise_max(&max_free[2 * node + 1]);
        }
        FirstFit {
            max_free,
            leaves,
            bins: capacities.len(),
        }
    }

    /// Free resources of a bin.
    pub fn free(&self, bin: usize) -> &Shape {
        &self.max_free[self.leaves + bin]
    }

    /// Takes resources for `times` tasks of this shape from a bin.
    pub fn take(&mut self, bin: usize, shape: &Shape, times: u32) {
        let mut node = self.leaves + bin;
        self.max_free[node].add(shape, -f64::from(times));
        while node > 1 {
            node /= 2;
            self.max_free[node] =
                self.max_free[2 * node].elementwise_max(&self.max_free[2 * node + 1]);
        }
    }

    /// The first bin with index `from` or above that fits the shape.
    pub fn first_from(&self, from: usize, shape: &Shape) -> Option<usize> {
        if from >= self.bins {
            return None;
        }
        let mut node = self.leaves + from;
        // Moves up and to the right until a subtree may contain a fitting bin, then down
        // into the subtree. If the maxima of a subtree come from different bins and none of
        // them fits, the search goes on to the right.
        loop {
            if shape.fits_in(&self.max_free[node]) {
                if node >= self.leaves {
                    return Some(node - self.leaves);
                }
                node *= 2;
                continue;
            }
            while node % 2 == 1 {
                node /= 2;
                if node <= 1 {
                    return None;
                }
            }
            node += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

    #[test]
    fn the_first_bin_is_the_one_that_a_linear_search_finds() {
        // Guards against a rental plan that overlooks machines with free capacity and rents
        // more.
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
        let config = Config {
            failure_persistence: None,
            ..Config::default()
        };
        let capacities = prop::collection::vec((0u8..5, 0u8..5), 0..40);
        let asks = prop::collection::vec((0usize..42, 0u8..5, 0u8..5), 1..60);
        type Asks = Vec<(usize, u8, u8)>;
        let check = |(capacities, asks): (Vec<(u8, u8)>, Asks)| {
            let shape = |cpus: u8, memory_gb: u8| Shape {
                cpus: f64::from(cpus),
                gpus: 0.0,
                memory_gb: f64::from(memory_gb),
                task_entries: 0.0,
            };
            let mut plain: Vec<Shape> = capacities.iter().map(|(c, m)| shape(*c, *m)).collect();
            let mut tree = FirstFit::new(&plain);
            for (from, cpus, memory_gb) in asks {
                let ask = shape(cpus, memory_gb);
                let found = (from..plain.len()).find(|i| ask.fits_in(&plain[*i]));
                prop_assert_eq!(tree.first_from(from, &ask), found);
                if let Some(bin) = found {
                    tree.take(bin, &ask, 1);
                    plain[bin].add(&ask, -1.0);
                    prop_assert_eq!(tree.free(bin), &plain[bin]);
                }
            }
            Ok(())
        };
        TestRunner::new_with_rng(config, rng)
            .run(&(capacities, asks), check)
            .unwrap();
    }
}
