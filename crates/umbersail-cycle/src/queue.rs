//! The remaining work of a scheduling cycle. A cycle runs in slices, and other events are
//! handled between them.

use std::collections::VecDeque;

use imbl::Vector;

/// The work budget of a slice. Work is counted in steps and not timed, so that a cycle with
/// the same input is always interrupted at the same point. One step is about the cost of
/// examining one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepBudget {
    budget: u64,
    done: u64,
}

impl StepBudget {
    /// Steps for examining a waiting job.
    pub const JOB_COST: u64 = 8;
    /// Steps for placing a task.
    pub const TASK_COST: u64 = 40;

    /// A budget of `budget` steps.
    pub fn new(budget: u64) -> StepBudget {
        StepBudget { budget, done: 0 }
    }

    /// Adds steps to the work done.
    pub fn spend(&mut self, steps: u64) {
        self.done += steps;
    }

    /// Steps done so far.
    pub fn done(&self) -> u64 {
        self.done
    }

    /// Whether the budget is used up. The budget is only checked between pieces of work, so
    /// every slice does at least one piece of work and a cycle always ends.
    pub fn is_exhausted(&self) -> bool {
        self.done >= self.budget
    }
}

/// Jobs that the cycle has yet to process, most urgent first, and jobs that did not fit and
/// may evict other tasks once all jobs have been processed.
#[derive(Debug, Clone)]
pub struct CycleQueue<J: Clone> {
    waiting: Vector<J>,
    blocked: VecDeque<J>,
    /// Number of searches that found evictable tasks.
    pub eviction_searches: usize,
}

impl<J: Clone> CycleQueue<J> {
    /// Creates the queue of a cycle over these jobs, most urgent first.
    pub fn new(order: Vector<J>) -> CycleQueue<J> {
        CycleQueue {
            waiting: order,
            blocked: VecDeque::new(),
            eviction_searches: 0,
        }
    }

    /// Takes the most urgent job that was not processed yet.
    pub fn next_waiting(&mut self) -> Option<J> {
        self.waiting.pop_front()
    }

    /// Sets aside a job that did not fit. The job may evict other tasks later.
    pub fn block(&mut self, job: J) {
        self.blocked.push_back(job);
    }

    /// Takes the next job that did not fit.
    pub fn next_blocked(&mut self) -> Option<J> {
        self.blocked.pop_front()
    }

    /// Whether nothing is left to do if the cycle may do at most `max_searches` eviction
    /// searches.
    pub fn is_done(&self, max_searches: usize) -> bool {
        self.waiting.is_empty()
            && (self.blocked.is_empty() || self.eviction_searches >= max_searches)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interrupted_cycle_resumes_where_it_paused_and_leaves_its_order_unchanged() {
        // Guards against a cycle that starts over after each slice: the jobs at the end of
        // a long order would never be examined.
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
        let mut empty = StepBudget::new(0);
        assert!(empty.is_exhausted());
        empty.spend(1);
        assert_eq!(empty.done(), 1);
    }
}
