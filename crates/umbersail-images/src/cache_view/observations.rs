//! Applies what heartbeats show about the caches of machines.

use std::fmt::Debug;

use super::CacheView;
use crate::FetchRequest;
use crate::fetch::ActiveFetch;
use crate::machine_cache::CachedImage;

impl<M: Ord + Clone + Debug, I: Ord + Clone + Debug> CacheView<M, I> {
    /// Called when a heartbeat shows that the machine fetches the image.
    ///
    /// A fetch that a previous leader started is adopted without being restarted.
    pub fn observe_fetching(&mut self, now: f64, request: &FetchRequest<'_, M, I>) {
        let cache = self.machines.get_mut(request.machine);
        match cache.and_then(|cache| cache.images.get_mut(request.image)) {
            Some(CachedImage::Partial(fetch)) => {
                fetch.last_observed_at = now;
                fetch.concurrent_fetches = fetch.concurrent_fetches.max(request.concurrent_fetches);
            }
            Some(CachedImage::Complete) => {}
            None => self.adopt_fetch(now, request),
        }
    }

    /// Adopts a fetch that a previous leader started.
    fn adopt_fetch(&mut self, now: f64, request: &FetchRequest<'_, M, I>) {
        if !self.is_large_request(request) || !self.track(now, request.image, request.size_gb) {
            return;
        }
        let rollout = self.rollouts.get_mut(request.image);
        let from_store =
            rollout.is_some_and(|rollout| rollout.take_recorded_store_fetch(request.machine));
        // The sources of an adopted fetch from peers are unknown: assume two hops.
        let fetch = ActiveFetch {
            started_at: now,
            last_observed_at: now,
            nominal_s: request.nominal_s(),
            concurrent_fetches: request.concurrent_fetches.max(1),
            priority: request.priority,
            sources: Vec::new(),
            store_integral_at_start: from_store.then(|| self.store_fetches.integral_until(now)),
            adopted: true,
            hops: if from_store { 1 } else { 2 },
        };
        self.insert_fetch(now, request, fetch);
        // The number of fetches that the machine serves is unknown: assume that the
        // machine can serve only one more.
        let assumed_uploads = self.settings.max_uploads_per_source.saturating_sub(1);
        self.update_machine(request.machine, |cache| {
            cache.uploads = cache.uploads.max(assumed_uploads);
        });
    }

    /// Called when a heartbeat shows that the machine has the whole image.
    pub fn observe_cached(&mut self, now: f64, request: &FetchRequest<'_, M, I>) {
        let (image, machine) = (request.image, request.machine);
        let store_integral = self.store_fetches.integral_until(now);
        match self.cached(image, machine).cloned() {
            Some(CachedImage::Complete) => return,
            Some(CachedImage::Partial(fetch)) => {
                if let Some(completed) =
                    fetch.measure_completion(now, request.size_gb, store_integral)
                {
                    self.rates.record(&completed, &self.settings);
                }
                if fetch.is_from_store() {
                    self.store_fetches.record_completion(now);
                }
                self.end_fetch(image, machine);
            }
            None if self.rollouts.contains_key(image) => {}
            // Track the image, so that its sources are known before the first request.
            None if self.settings.peer_to_peer
                && self.is_large_request(request)
                && self.track(now, image, request.size_gb) => {}
            None => return,
        }
        if let Some(rollout) = self.rollouts.get_mut(image) {
            rollout.dequeue(machine);
            rollout.take_recorded_store_fetch(machine);
            rollout.add_copy(request.zone);
        }
        self.insert_cached(image, machine, request.zone, CachedImage::Complete);
    }

    /// Called for each heartbeat: a machine that was suspended as a source may serve
    /// as a source again.
    pub fn observe_heartbeat(&mut self, machine: &M) {
        if self.machines.get(machine).is_some_and(|c| c.suspended) {
            self.update_machine(machine, |cache| cache.suspended = false);
        }
    }

    /// Called when the machine evicted the image or cancelled its fetch.
    pub fn remove_image(&mut self, image: &I, machine: &M) {
        if let Some(rollout) = self.rollouts.get_mut(image) {
            rollout.dequeue(machine);
        }
        self.end_fetch(image, machine);
        self.remove_cached(image, machine);
        if (self.machines.get(machine)).is_some_and(|cache| cache.images.is_empty()) {
            self.machines.remove(machine);
        }
    }

    /// Called when no task on the machine needs the image any more: cancels a fetch in
    /// progress and keeps a complete copy.
    pub fn cancel_fetch(&mut self, image: &I, machine: &M) {
        match self.cached(image, machine) {
            Some(CachedImage::Partial(_)) => self.remove_image(image, machine),
            Some(CachedImage::Complete) => {}
            None => {
                if let Some(rollout) = self.rollouts.get_mut(image) {
                    rollout.dequeue(machine);
                }
            }
        }
    }

    /// Called when the machine and its cache no longer exist.
    pub fn remove_machine(&mut self, machine: &M) {
        let images: Vec<I> = match self.machines.get(machine) {
            Some(cache) => cache.images.keys().cloned().collect(),
            None => Vec::new(),
        };
        for image in images {
            self.remove_image(&image, machine);
        }
        for rollout in self.rollouts.values_mut() {
            rollout.dequeue(machine);
            rollout.take_recorded_store_fetch(machine);
        }
    }
}
