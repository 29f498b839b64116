//! Admission of fetches: decides which machines may start to fetch, by priority.

use std::fmt::Debug;

use super::CacheView;
use crate::fetch::{ActiveFetch, FetchSource};
use crate::machine_cache::CachedImage;
use crate::rollout::MAX_EXAMINED;
use crate::{Decision, FetchRequest};

/// A store fetch that has taken more than this many times its duration without
/// contention no longer occupies a store slot, provided that another store fetch has
/// completed after that time.
const OVERDUE_FACTOR: f64 = 3.0;

impl<M: Ord + Clone + Debug, I: Ord + Clone + Debug> CacheView<M, I> {
    /// Decides whether a machine may start to fetch an image.
    ///
    /// After [`Decision::Start`] for a tracked image that the machine does not have
    /// yet, the fetch counts as in progress. `is_usable` tells whether a machine can
    /// serve as a source now: the machine is reachable, is not being returned, and
    /// its lease is not about to expire.
    pub fn request_fetch(
        &mut self,
        now: f64,
        request: &FetchRequest<'_, M, I>,
        is_usable: impl Fn(&M) -> bool,
    ) -> Decision<M> {
        let start_without_sources = Decision::Start {
            sources: Vec::new(),
        };
        if !self.is_large_request(request) || self.cached(request.image, request.machine).is_some()
        {
            return start_without_sources;
        }
        if !self.track(now, request.image, request.size_gb) {
            return start_without_sources;
        }
        // Concurrent fetches on a machine share its download rate, so a fetch waits
        // while the machine runs a fetch of the same or a higher priority.
        if self.settings.peer_to_peer && self.has_fetch_at_least_as_urgent(request) {
            return Decision::Wait;
        }
        let free_slots = self.free_store_slots(now, request.rate_gb_s);
        if !self.update_queue_and_check_turn(now, request, free_slots) {
            return Decision::Wait;
        }
        let sources = self.choose_sources(request, free_slots, is_usable);
        if sources.is_empty() && free_slots == 0 {
            return Decision::Wait;
        }
        self.start(now, request, sources.clone());
        Decision::Start { sources }
    }

    /// Whether the machine runs a fetch of the same or a higher priority.
    fn has_fetch_at_least_as_urgent(&self, request: &FetchRequest<'_, M, I>) -> bool {
        let Some(cache) = self.machines.get(request.machine) else {
            return false;
        };
        cache
            .images
            .values()
            .any(|cached_image| match cached_image {
                CachedImage::Partial(fetch) => fetch.priority <= request.priority,
                CachedImage::Complete => false,
            })
    }

    /// Whether the machine is among the most urgent machines for which there is
    /// capacity now, at the store or at peers. Queues the machine if store slots are
    /// limited, and removes it from the queue otherwise.
    fn update_queue_and_check_turn(
        &mut self,
        now: f64,
        request: &FetchRequest<'_, M, I>,
        free_slots: usize,
    ) -> bool {
        let Some(rollout) = self.rollouts.get_mut(request.image) else {
            return true;
        };
        rollout.last_used_at = now;
        if free_slots == usize::MAX {
            rollout.dequeue(request.machine);
            return true;
        }
        rollout.enqueue(now, request.machine, request.priority);
        let servable_by_peers = match self.settings.peer_to_peer {
            true => {
                let sources_per_fetch = self.settings.sources_per_fetch.max(1);
                (rollout.spare_capacity() as usize).div_ceil(sources_per_fetch)
            }
            false => 0,
        };
        let limit = free_slots
            .saturating_add(servable_by_peers)
            .min(MAX_EXAMINED);
        rollout.is_among_first(now, request.machine, limit, self.settings.queue_expiry_s)
    }

    /// Records that the fetch starts now, from the store if `sources` is empty.
    fn start(&mut self, now: f64, request: &FetchRequest<'_, M, I>, sources: Vec<M>) {
        let hops_of = |machine: &M| Some(self.cached(request.image, machine)?.hops());
        let farthest = sources.iter().filter_map(hops_of).max();
        let hops = farthest.map_or(1, |hops| hops + 1);
        let from_store = sources.is_empty();
        let mut fetch_sources = Vec::new();
        for machine in sources {
            self.update_machine(&machine, |cache| cache.uploads += 1);
            if let Some(cache) = self.machines.get(&machine) {
                let generation = cache.generation;
                fetch_sources.push(FetchSource {
                    machine,
                    generation,
                });
            }
        }
        let fetch = ActiveFetch {
            started_at: now,
            last_observed_at: now,
            nominal_s: request.nominal_s(),
            concurrent_fetches: request.concurrent_fetches.max(1),
            priority: request.priority,
            sources: fetch_sources,
            store_integral_at_start: from_store.then(|| self.store_fetches.integral_until(now)),
            adopted: false,
            hops,
        };
        self.insert_fetch(now, request, fetch);
    }

    /// Number of store fetches that may start now; `usize::MAX` if there is no limit.
    fn free_store_slots(&self, now: f64, rate_gb_s: f64) -> usize {
        let slots = self.rates.store_slots(rate_gb_s, &self.settings);
        if slots == usize::MAX {
            return slots;
        }
        let recorded = self.rollouts.values();
        let recorded: usize = recorded.map(|r| r.recorded_store_fetches(now)).sum();
        let counted = self.store_fetches.len() - self.overdue_store_fetches(now);
        slots.saturating_sub(counted + recorded)
    }

    /// Number of the oldest store fetches that are overdue by [`OVERDUE_FACTOR`] while
    /// other store fetches complete.
    fn overdue_store_fetches(&self, now: f64) -> usize {
        let last_completed_at = self.store_fetches.last_completed_at();
        let mut overdue = 0;
        for (started_at, machine, image) in self.store_fetches.iter() {
            let Some(CachedImage::Partial(fetch)) = self.cached(image, machine) else {
                continue;
            };
            let overdue_at = started_at + OVERDUE_FACTOR * fetch.nominal_s;
            // If no store fetch has completed since `overdue_at`, the store itself is slow,
            // and more concurrent store fetches would not help.
            if now <= overdue_at || last_completed_at <= overdue_at {
                break;
            }
            overdue += 1;
        }
        overdue
    }
}
