//! Bins in a fixed order, and the first one from a place on that takes a shape.

use crate::Shape;

/// A tree over bins whose nodes know the most of each amount below them. The
/// first bin that fits is found without looking at those that are full, which on
/// a busy fleet are nearly all.
#[derive(Debug, Clone)]
pub struct FirstFit {
    /// Heap order: the children of `i` are `2i` and `2i + 1`, bins are the leaves.
    most: Vec<Shape>,
    leaves: usize,
    bins: usize,
}

/// Room for nothing, not even for a task that takes nothing.
const NONE: Shape = Shape {
    cpus: f64::NEG_INFINITY,
    gpus: f64::NEG_INFINITY,
    memory_gb: f64::NEG_INFINITY,
};

fn most_of(a: &Shape, b: &Shape) -> Shape {
    Shape {
        cpus: a.cpus.max(b.cpus),
        gpus: a.gpus.max(b.gpus),
        memory_gb: a.memory_gb.max(b.memory_gb),
    }
}

impl FirstFit {
    /// Bins with this much room each.
    pub fn new(rooms: &[Shape]) -> FirstFit {
        let leaves = rooms.len().next_power_of_two();
        let mut most = vec![NONE; 2 * leaves];
        most[leaves..leaves + rooms.len()].copy_from_slice(rooms);
        for node in (1..leaves).rev() {
            most[node] = most_of(&most[2 * node], &most[2 * node + 1]);
        }
        FirstFit {
            most,
            leaves,
            bins: rooms.len(),
        }
    }

    /// What room a bin has.
    pub fn room(&self, bin: usize) -> &Shape {
        &self.most[self.leaves + bin]
    }

    /// So much of a bin is taken.
    pub fn take(&mut self, bin: usize, shape: &Shape, times: u32) {
        let mut node = self.leaves + bin;
        self.most[node].add(shape, -f64::from(times));
        while node > 1 {
            node /= 2;
            self.most[node] = most_of(&self.most[2 * node], &self.most[2 * node + 1]);
        }
    }

    /// The first bin from `from` on that takes the shape.
    pub fn next(&self, from: usize, shape: &Shape) -> Option<usize> {
        if from >= self.bins {
            return None;
        }
        let mut node = self.leaves + from;
        // Up and to the right until a subtree may hold one, then down into it,
        // and on to the right where the parts of its best came from two bins.
        loop {
            if shape.fits_in(&self.most[node]) {
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
                prop_assert_eq!(tree.next(from, &ask), found);
                if let Some(bin) = found {
                    tree.take(bin, &ask, 1);
                    plain[bin].add(&ask, -1.0);
                    prop_assert_eq!(tree.room(bin), &plain[bin]);
                }
            }
            Ok(())
        };
        TestRunner::new_with_rng(config, rng)
            .run(&(rooms, asks), check)
            .unwrap();
    }
}
