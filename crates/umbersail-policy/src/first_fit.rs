//! Bins in a fixed order, and the first one from a place on that takes a shape.

use crate::Shape;

/// A tree over bins whose nodes know the most of each amount below them. The
/// first bin that fits is found without looking at those that are full, which on
/// a busy fleet are nearly all.
#[derive(Debug, Clone)]
pub struct FirstFit {
    /// Heap order: the children of `i` are `2i` and `2i + 1`, bins are the leaves.
    max_free: Vec<Shape>,
    leaves: usize,
    bins: usize,
}

/// Room for nothing, not even for a task that takes nothing.
const NO_ROOM: Shape = Shape {
    cpus: f64::NEG_INFINITY,
    gpus: f64::NEG_INFINITY,
    memory_gb: f64::NEG_INFINITY,
};

fn elementwise_max(a: &Shape, b: &Shape) -> Shape {
    Shape {
        cpus: a.cpus.max(b.cpus),
        gpus: a.gpus.max(b.gpus),
        memory_gb: a.memory_gb.max(b.memory_gb),
    }
}

impl FirstFit {
    /// Bins with this much room each.
    pub fn new(capacities: &[Shape]) -> FirstFit {
        let leaves = capacities.len().next_power_of_two();
        let mut max_free = vec![NO_ROOM; 2 * leaves];
        max_free[leaves..leaves + capacities.len()].copy_from_slice(capacities);
        for node in (1..leaves).rev() {
            max_free[node] = elementwise_max(&max_free[2 * node], &max_free[2 * node + 1]);
        }
        FirstFit {
            max_free,
            leaves,
            bins: capacities.len(),
        }
    }

    /// What room a bin has.
    pub fn free(&self, bin: usize) -> &Shape {
        &self.max_free[self.leaves + bin]
    }

    /// So much of a bin is taken.
    pub fn take(&mut self, bin: usize, shape: &Shape, times: u32) {
        let mut node = self.leaves + bin;
        self.max_free[node].add(shape, -f64::from(times));
        while node > 1 {
            node /= 2;
            self.max_free[node] =
                elementwise_max(&self.max_free[2 * node], &self.max_free[2 * node + 1]);
        }
    }

    /// The first bin from `from` on that takes the shape.
    pub fn first_from(&self, from: usize, shape: &Shape) -> Option<usize> {
        if from >= self.bins {
            return None;
        }
        let mut node = self.leaves + from;
        // Up and to the right until a subtree may hold one, then down into it,
        // and on to the right where the parts of its best came from two bins.
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
    fn the_first_bin_is_the_one_that_a_walk_finds() {
        // Guards against a rental that overlooks machines with room and buys more.
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
        let config = Config {
            failure_persistence: None,
            ..Config::default()
        };
        let rooms = prop::collection::vec((0u8..5, 0u8..5), 0..40);
        let asks = prop::collection::vec((0usize..42, 0u8..5, 0u8..5), 1..60);
        type Asks = Vec<(usize, u8, u8)>;
        let check = |(rooms, asks): (Vec<(u8, u8)>, Asks)| {
            let shape = |cpus: u8, memory_gb: u8| Shape {
                cpus: f64::from(cpus),
                gpus: 0.0,
                memory_gb: f64::from(memory_gb),
            };
            let mut plain: Vec<Shape> = rooms.iter().map(|(c, m)| shape(*c, *m)).collect();
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
            .run(&(rooms, asks), check)
            .unwrap();
    }
}
