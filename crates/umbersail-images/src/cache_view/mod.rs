//! Tracks which machines have, fetch or wait for each image.
//!
//! This module contains the state and keeps its indices consistent. [`admission`]
//! decides on requests to fetch, [`sources`] selects peers, [`observations`] applies
//! the contents of heartbeats, and [`recovery`] creates and restores records.

mod admission;
mod observations;
mod recovery;
mod sources;

use std::collections::BTreeMap;
use std::fmt::Debug;

use crate::fetch::ActiveFetch;
use crate::machine_cache::{CachedImage, MachineCache};
use crate::request::nominal_fetch_s;
use crate::rollout::{Rollout, SourceEntry};
use crate::store_fetches::StoreFetches;
use crate::{FetchRequest, Settings, TransferRates};

/// Number of machines per state of an image.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ImageCounts {
    /// Number of machines that fetch the image.
    pub fetching: usize,
    /// Number of machines that are queued to fetch the image.
    pub waiting: usize,
    /// Number of machines that have the whole image.
    pub cached: usize,
}

impl ImageCounts {
    /// Whether no machine has, fetches or waits for the image.
    pub fn is_empty(&self) -> bool {
        *self == ImageCounts::default()
    }
}

/// The image caches of all machines, as known from heartbeats and from the decisions
/// on requests to fetch.
///
/// `M` identifies a machine and `I` an image.
#[derive(Debug, Clone)]
pub struct CacheView<M: Ord, I: Ord> {
    settings: Settings,
    rates: TransferRates,
    rollouts: BTreeMap<I, Rollout<M>>,
    /// Caches of the machines that have or fetch at least one tracked image.
    machines: BTreeMap<M, MachineCache<M, I>>,
    /// Generation of the most recently added machine cache.
    last_generation: u64,
    store_fetches: StoreFetches<M, I>,
}

impl<M: Ord + Clone + Debug, I: Ord + Clone + Debug> CacheView<M, I> {
    /// Creates a view without machines and images.
    pub fn new(settings: Settings) -> CacheView<M, I> {
        CacheView {
            settings,
            rates: TransferRates::default(),
            rollouts: BTreeMap::new(),
            machines: BTreeMap::new(),
            last_generation: 0,
            store_fetches: StoreFetches::new(),
        }
    }

    /// The estimated throughput of the store and of peers.
    pub fn rates(&self) -> &TransferRates {
        &self.rates
    }

    /// The number of machines that fetch, wait for and have the image.
    pub fn counts(&self, image: &I) -> ImageCounts {
        let Some(rollout) = self.rollouts.get(image) else {
            return ImageCounts::default();
        };
        ImageCounts {
            fetching: rollout.fetching,
            waiting: rollout.queue_len(),
            cached: rollout.copies(),
        }
    }

    /// Whether an image is large enough to be tracked on a machine that fetches at
    /// `rate_gb_s`.
    pub fn is_large(&self, size_gb: f64, rate_gb_s: f64) -> bool {
        nominal_fetch_s(size_gb, rate_gb_s) >= self.settings.min_fetch_s
    }

    /// Whether the machine is queued to fetch the image.
    pub fn is_queued(&self, image: &I, machine: &M) -> bool {
        let rollout = self.rollouts.get(image);
        rollout.is_some_and(|rollout| rollout.is_queued(machine))
    }

    /// Whether the machine has the only complete copy of an image in its zone while any
    /// machine fetches or waits for that image. Such a machine should not be returned.
    pub fn is_last_holder(&self, machine: &M) -> bool {
        if !self.settings.peer_to_peer {
            return false;
        }
        let Some(cache) = self.machines.get(machine) else {
            return false;
        };
        cache.images.iter().any(|(image, cached_image)| {
            let rollout = self.rollouts.get(image).filter(|r| r.is_active());
            cached_image.is_complete() && rollout.is_some_and(|r| r.copies_in(&cache.zone) == 1)
        })
    }

    fn cached(&self, image: &I, machine: &M) -> Option<&CachedImage<M>> {
        self.machines.get(machine)?.images.get(image)
    }

    fn is_large_request(&self, request: &FetchRequest<'_, M, I>) -> bool {
        self.is_large(request.size_gb, request.rate_gb_s)
    }

    /// Starts to track an image, if it is not tracked yet, and returns whether the
    /// image is tracked. If the maximum number of images is reached, the least recently
    /// used image without an active rollout is no longer tracked.
    fn track(&mut self, now: f64, image: &I, size_gb: f64) -> bool {
        if self.rollouts.contains_key(image) {
            return true;
        }
        if self.rollouts.len() >= self.settings.max_tracked_images.max(1)
            && !self.untrack_idle_image()
        {
            return false;
        }
        let rollout = Rollout::new(size_gb, now);
        self.rollouts.insert(image.clone(), rollout);
        true
    }

    /// Stops tracking the least recently used image without an active rollout. Returns
    /// `false` if there is no such image.
    fn untrack_idle_image(&mut self) -> bool {
        let idle = self.rollouts.iter().filter(|(_, r)| !r.is_active());
        let oldest = idle.min_by(|a, b| a.1.last_used_at.total_cmp(&b.1.last_used_at));
        let Some(oldest) = oldest.map(|(image, _)| image.clone()) else {
            return false;
        };
        let holders: Vec<M> = (self.machines.iter())
            .filter(|(_, cache)| cache.images.contains_key(&oldest))
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in holders {
            self.remove_image(&oldest, &machine);
        }
        self.rollouts.remove(&oldest);
        true
    }

    /// Adds a fetch in progress to the indices.
    fn insert_fetch(&mut self, now: f64, request: &FetchRequest<'_, M, I>, fetch: ActiveFetch<M>) {
        let (image, machine) = (request.image, request.machine);
        if fetch.is_from_store() {
            self.store_fetches.integral_until(now);
            self.store_fetches
                .insert(fetch.started_at, machine.clone(), image.clone());
        }
        let rollout = self
            .rollouts
            .entry(image.clone())
            .or_insert_with(|| Rollout::new(request.size_gb, now));
        rollout.dequeue(machine);
        rollout.fetching += 1;
        rollout.last_used_at = now;
        self.insert_cached(image, machine, request.zone, CachedImage::Partial(fetch));
    }

    /// Removes a fetch, whether completed or cancelled, and releases its sources.
    fn end_fetch(&mut self, image: &I, machine: &M) {
        let Some(CachedImage::Partial(fetch)) = self.cached(image, machine) else {
            return;
        };
        let fetch = fetch.clone();
        if fetch.is_from_store() {
            self.store_fetches
                .remove(fetch.started_at, machine.clone(), image.clone());
        }
        self.remove_cached(image, machine);
        if let Some(rollout) = self.rollouts.get_mut(image) {
            rollout.fetching -= 1;
        }
        for source in fetch.sources {
            let cache = self.machines.get(&source.machine);
            if cache.is_some_and(|cache| cache.generation == source.generation) {
                self.update_machine(&source.machine, |cache| {
                    cache.uploads = cache.uploads.saturating_sub(1);
                });
            }
        }
    }

    fn insert_cached(&mut self, image: &I, machine: &M, zone: &str, cached: CachedImage<M>) {
        if !self.machines.contains_key(machine) {
            self.last_generation += 1;
            let cache = MachineCache::new(zone, self.last_generation);
            self.machines.insert(machine.clone(), cache);
        }
        self.update_machine(machine, |cache| {
            cache.images.insert(image.clone(), cached);
        });
    }

    fn remove_cached(&mut self, image: &I, machine: &M) {
        let cache = self.machines.get(machine);
        let copy_zone = cache
            .filter(|cache| {
                cache
                    .images
                    .get(image)
                    .is_some_and(CachedImage::is_complete)
            })
            .map(|cache| cache.zone.clone());
        if let Some(zone) = copy_zone
            && let Some(rollout) = self.rollouts.get_mut(image)
        {
            rollout.remove_copy(&zone);
        }
        self.update_machine(machine, |cache| {
            cache.images.remove(image);
        });
    }

    /// Updates a machine's cache and the index of sources.
    fn update_machine(&mut self, machine: &M, update: impl FnOnce(&mut MachineCache<M, I>)) {
        self.index_sources(machine, IndexChange::Remove);
        if let Some(cache) = self.machines.get_mut(machine) {
            update(cache);
        }
        self.index_sources(machine, IndexChange::Add);
    }

    /// Adds the machine to the sources of its images, or removes the machine from them.
    fn index_sources(&mut self, machine: &M, change: IndexChange) {
        let Some(cache) = self.machines.get(machine).filter(|c| !c.suspended) else {
            return;
        };
        let capacity = self
            .settings
            .max_uploads_per_source
            .saturating_sub(cache.uploads);
        for (image, cached_image) in &cache.images {
            let Some(rollout) = self.rollouts.get_mut(image) else {
                continue;
            };
            if cached_image.is_complete() {
                match change {
                    IndexChange::Add => rollout.usable_copies += 1,
                    IndexChange::Remove => rollout.usable_copies -= 1,
                }
            }
            let serves = cached_image.is_complete() || self.settings.serve_partial;
            if capacity == 0 || !serves {
                continue;
            }
            let source = SourceEntry {
                hops: cached_image.hops(),
                uploads: cache.uploads,
                machine: machine.clone(),
            };
            match change {
                IndexChange::Add => rollout.add_source(&cache.zone, source, capacity.into()),
                IndexChange::Remove => {
                    rollout.remove_source(&cache.zone, &source, capacity.into());
                }
            }
        }
    }
}

/// A change to the index of sources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IndexChange {
    Add,
    Remove,
}
