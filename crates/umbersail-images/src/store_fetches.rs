//! Fetches from the image store that are in progress, for all images.

use std::collections::BTreeSet;

/// Store fetches in progress and the time integral of their number, from which the
/// mean concurrency during a fetch is computed.
#[derive(Debug, Clone)]
pub(crate) struct StoreFetches<M, I> {
    /// Active fetches: start time in milliseconds, machine and image.
    active: BTreeSet<(u64, M, I)>,
    /// Time integral of the number of active fetches up to `integrated_until`, in
    /// seconds.
    integral: f64,
    integrated_until: f64,
    /// Time at which a store fetch last completed; negative infinity if none has.
    last_completed_at: f64,
}

impl<M: Ord, I: Ord> StoreFetches<M, I> {
    pub fn new() -> StoreFetches<M, I> {
        StoreFetches {
            active: BTreeSet::new(),
            integral: 0.0,
            integrated_until: 0.0,
            last_completed_at: f64::NEG_INFINITY,
        }
    }

    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// The active fetches, oldest first: start time in seconds, machine and image.
    pub fn iter(&self) -> impl Iterator<Item = (f64, &M, &I)> {
        let active = self.active.iter();
        active.map(|(started_ms, machine, image)| (ms_to_s(*started_ms), machine, image))
    }

    pub fn insert(&mut self, started_at: f64, machine: M, image: I) {
        self.active.insert((s_to_ms(started_at), machine, image));
    }

    pub fn remove(&mut self, started_at: f64, machine: M, image: I) {
        self.active.remove(&(s_to_ms(started_at), machine, image));
    }

    /// Advances the time integral of the number of active fetches to `now` and returns
    /// the integral.
    ///
    /// Callers advance the integral before a fetch starts and when a fetch completes. A
    /// cancelled fetch is removed without an update and therefore does not count from
    /// the last update on.
    pub fn integral_until(&mut self, now: f64) -> f64 {
        let elapsed_s = (now - self.integrated_until).max(0.0);
        self.integral += elapsed_s * self.active.len() as f64;
        self.integrated_until = now.max(self.integrated_until);
        self.integral
    }

    pub fn record_completion(&mut self, now: f64) {
        self.last_completed_at = now;
    }

    pub fn last_completed_at(&self) -> f64 {
        self.last_completed_at
    }
}

fn s_to_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

fn ms_to_s(milliseconds: u64) -> f64 {
    milliseconds as f64 / 1000.0
}
