//! Breadth-first search over states.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

use crate::fault::InjectedFault;
use crate::state::SystemState;

/// Searches breadth-first until a step runs the task twice or all reachable states were
/// visited. Remembers states only by their hash, and no more than `max_states` of them.
/// Returns the number of states and whether the task ran twice.
pub fn search(fault: InjectedFault, first: SystemState, max_states: usize) -> (usize, bool) {
    let hasher = RandomState::new();
    let mut seen = HashSet::from([hasher.hash_one(&first)]);
    let mut queue = VecDeque::from([first]);
    while let Some(state) = queue.pop_front() {
        for next in state.successors(fault) {
            let Ok(next) = next else {
                return (seen.len(), true);
            };
            let next = next.canonical();
            if seen.len() < max_states && seen.insert(hasher.hash_one(&next)) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), false)
}
