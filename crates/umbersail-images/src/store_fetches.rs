//! Fetches from the image store in progress, over all images.

use std::collections::BTreeSet;

/// Fetches from the store in progress, and their concurrency over time.
#[derive(Debug, Clone)]
pub(crate) struct StoreFetches<M, I> {
    /// By start time in milliseconds.
    active: BTreeSet<(u64, M, I)>,
    /// Time integral of the number of active fetches, up to `integrated_until`.
    integral: f64,
    integrated_until: f64,
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

    /// The active fetches, oldest first: start time, machine and image.
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

    /// The time integral of the number of active fetches up to `now`.
    ///
    /// Callers bring it up to date before a fetch starts and when one completes;
    /// a cancelled fetch counts until the next update.
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
