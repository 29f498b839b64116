//! What is left of a cycle: it is done in slices, and what came in between goes
//! first.

use std::collections::VecDeque;

use imbl::Vector;

/// The work of a slice, counted rather than timed, so that the same input is cut
/// at the same slot. One step is about one look at one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepBudget {
    budget: u64,
    done: u64,
}

impl StepBudget {
    /// Looking at a waiting job, in steps.
    pub const JOB_COST: u64 = 8;
    /// Placing a task, in steps.
    pub const TASK_COST: u64 = 40;

    /// A slice of so many steps.
    pub fn new(budget: u64) -> StepBudget {
        StepBudget { budget, done: 0 }
    }

    /// Counts steps of work.
    pub fn spend(&mut self, steps: u64) {
        self.done += steps;
    }

    /// Steps done so far.
    pub fn done(&self) -> u64 {
        self.done
    }

    /// Whether the slice is over. What was begun is finished: a slice does at
    /// least one thing, so a cycle always ends.
    pub fn is_exhausted(&self) -> bool {
        self.done >= self.budget
    }
}

/// Jobs that a cycle has yet to slot, most urgent first, and those that found no
/// room and may evict once all have been placed.
#[derive(Debug, Clone)]
pub struct CycleQueue<J: Clone> {
    waiting: Vector<J>,
    blocked: VecDeque<J>,
    /// Evictions that have been worth their time.
    pub evictions: usize,
}

impl<J: Clone> CycleQueue<J> {
    /// A cycle over these, most urgent first.
    pub fn new(order: Vector<J>) -> CycleQueue<J> {
        CycleQueue {
            waiting: order,
            blocked: VecDeque::new(),
            evictions: 0,
        }
    }

    /// Takes the most urgent job that is not placed yet.
    pub fn next_waiting(&mut self) -> Option<J> {
        self.waiting.pop_front()
    }

    /// Puts a job aside that found no room; it may evict later.
    pub fn block(&mut self, job: J) {
        self.blocked.push_back(job);
    }

    /// Takes the next job that found no room.
    pub fn next_blocked(&mut self) -> Option<J> {
        self.blocked.pop_front()
    }

    /// Whether nothing is left to do with so many evictions at most.
    pub fn is_done(&self, max_evictions: usize) -> bool {
        self.waiting.is_empty() && (self.blocked.is_empty() || self.evictions >= max_evictions)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cut_cycle_goes_on_where_it_was_and_the_order_it_came_from_stays_whole() {
        // Guards against a cycle that starts anew after each slice: the jobs at
        // the end of a long order would never be looked at.
        let order: Vector<u32> = (0..10).collect();
        let mut queue = CycleQueue::new(order.clone());
        let mut seen = Vec::new();
        let mut slices = 0;
        loop {
            slices += 1;
            let mut steps = StepBudget::new(3 * StepBudget::JOB_COST);
            while !steps.is_exhausted()
                && let Some(job) = queue.next_waiting()
            {
                steps.spend(StepBudget::JOB_COST);
                seen.push(job);
            }
            if queue.is_done(0) {
                break;
            }
        }
        assert_eq!((seen, slices), ((0..10).collect(), 4));
        queue.block(3);
        assert!(!queue.is_done(1) && queue.is_done(0));
        assert_eq!(order.len(), 10);
        let mut none = StepBudget::new(0);
        assert!(none.is_exhausted());
        none.spend(1);
        assert_eq!(none.done(), 1);
    }
}
