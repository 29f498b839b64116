//! The rollout of an image: sources, queue of waiting machines, and progress.

use std::collections::{BTreeMap, BTreeSet};

use crate::FetchPriority;

/// Maximum number of queue entries or sources examined for a decision, so that the
/// cost of a decision does not grow with the fleet.
pub(crate) const MAX_EXAMINED: usize = 64;

/// Store fetches listed in a previous leader's record occupy store slots for this
/// many seconds. By then, every live machine has sent a heartbeat that shows its
/// fetches.
const RECORDED_EXPIRY_S: f64 = 30.0;

/// A machine that can serve an image. The order of the fields matters: the best
/// source, with the fewest hops and then the fewest uploads, sorts first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourceEntry<M> {
    /// Distance from a complete copy, in hops.
    pub hops: u32,
    /// Number of fetches that the machine serves already.
    pub uploads: u32,
    pub machine: M,
}

/// A machine in the queue.
#[derive(Debug, Clone, Copy)]
struct QueueEntry {
    priority: FetchPriority,
    /// Time of the machine's latest request.
    last_requested_at: f64,
}

/// The rollout of an image to the machines that need the image.
#[derive(Debug, Clone)]
pub(crate) struct Rollout<M: Ord> {
    pub size_gb: f64,
    /// Time of the latest request or newly tracked fetch.
    pub last_used_at: f64,
    /// Number of fetches in progress.
    pub fetching: usize,
    /// Number of complete copies on machines that are not suspended as sources.
    pub usable_copies: usize,
    /// Number of complete copies by zone.
    copies_by_zone: BTreeMap<String, usize>,
    /// Machines that can serve at least one more fetch, by zone.
    sources_by_zone: BTreeMap<String, BTreeSet<SourceEntry<M>>>,
    /// Number of further uploads that all sources together can serve.
    spare_capacity: u64,
    /// Waiting machines, most urgent first.
    queue: BTreeSet<(FetchPriority, M)>,
    /// Queue entries of the waiting machines, by machine.
    queue_entries: BTreeMap<M, QueueEntry>,
    /// Machines that a previous leader's record lists as fetching from the store and
    /// that have not shown the image in a heartbeat yet.
    recorded_store_fetches: BTreeSet<M>,
    /// Time at which the record was restored.
    restored_at: f64,
}

impl<M: Ord + Clone> Rollout<M> {
    pub fn new(size_gb: f64, now: f64) -> Rollout<M> {
        Rollout {
            size_gb,
            last_used_at: now,
            fetching: 0,
            usable_copies: 0,
            copies_by_zone: BTreeMap::new(),
            sources_by_zone: BTreeMap::new(),
            spare_capacity: 0,
            queue: BTreeSet::new(),
            queue_entries: BTreeMap::new(),
            recorded_store_fetches: BTreeSet::new(),
            restored_at: now,
        }
    }

    /// Whether any machine fetches the image or waits to fetch the image.
    pub fn is_active(&self) -> bool {
        self.fetching > 0 || !self.queue.is_empty()
    }

    // Queue of waiting machines.

    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_queued(&self, machine: &M) -> bool {
        self.queue_entries.contains_key(machine)
    }

    /// Adds the machine to the queue, or renews its entry.
    pub fn enqueue(&mut self, now: f64, machine: &M, priority: FetchPriority) {
        let queued_priority = self.queue_entries.get(machine).map(|entry| entry.priority);
        if queued_priority != Some(priority) {
            self.dequeue(machine);
            self.queue.insert((priority, machine.clone()));
        }
        let entry = QueueEntry {
            priority,
            last_requested_at: now,
        };
        self.queue_entries.insert(machine.clone(), entry);
    }

    pub fn dequeue(&mut self, machine: &M) {
        if let Some(entry) = self.queue_entries.remove(machine) {
            self.queue.remove(&(entry.priority, machine.clone()));
        }
    }

    /// Whether fewer than `limit` live entries precede the machine in the queue.
    ///
    /// Removes the preceding entries that were not renewed for `expiry_s` seconds, at
    /// most [`MAX_EXAMINED`] per call.
    pub fn is_among_first(&mut self, now: f64, machine: &M, limit: usize, expiry_s: f64) -> bool {
        let mut expired = Vec::new();
        let mut ahead = 0;
        for (_, queued) in &self.queue {
            if queued == machine || ahead >= limit {
                break;
            }
            match self.queue_entries.get(queued) {
                Some(entry) if now - entry.last_requested_at <= expiry_s => ahead += 1,
                _ => expired.push(queued.clone()),
            }
            if expired.len() >= MAX_EXAMINED {
                break;
            }
        }
        for machine in expired {
            self.dequeue(&machine);
        }
        ahead < limit
    }

    // Sources.

    pub fn spare_capacity(&self) -> u64 {
        self.spare_capacity
    }

    /// The sources in the zone, best first.
    pub fn sources_in(&self, zone: &str) -> impl Iterator<Item = &SourceEntry<M>> {
        self.sources_by_zone.get(zone).into_iter().flatten()
    }

    /// The zones that have sources: the zone `nearest` first if it has any, then the
    /// other zones ordered by their best source.
    pub fn source_zones(&self, nearest: &str) -> Vec<String> {
        let local = self.sources_by_zone.keys().filter(|zone| *zone == nearest);
        let mut remote: Vec<_> = (self.sources_by_zone.iter())
            .filter(|(zone, _)| *zone != nearest)
            .map(|(zone, sources)| (sources.first().map(|s| (s.hops, s.uploads)), zone))
            .collect();
        remote.sort();
        let remote = remote.into_iter().map(|(_, zone)| zone);
        local.chain(remote).cloned().collect()
    }

    pub fn add_source(&mut self, zone: &str, source: SourceEntry<M>, capacity: u64) {
        let sources = self.sources_by_zone.entry(zone.to_owned()).or_default();
        sources.insert(source);
        self.spare_capacity += capacity;
    }

    pub fn remove_source(&mut self, zone: &str, source: &SourceEntry<M>, capacity: u64) {
        let Some(sources) = self.sources_by_zone.get_mut(zone) else {
            return;
        };
        sources.remove(source);
        self.spare_capacity -= capacity;
        if sources.is_empty() {
            self.sources_by_zone.remove(zone);
        }
    }

    // Complete copies.

    pub fn copies(&self) -> usize {
        self.copies_by_zone.values().sum()
    }

    pub fn copies_in(&self, zone: &str) -> usize {
        self.copies_by_zone.get(zone).copied().unwrap_or(0)
    }

    pub fn add_copy(&mut self, zone: &str) {
        *self.copies_by_zone.entry(zone.to_owned()).or_default() += 1;
    }

    pub fn remove_copy(&mut self, zone: &str) {
        let Some(count) = self.copies_by_zone.get_mut(zone) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.copies_by_zone.remove(zone);
        }
    }

    // Store fetches that a previous leader recorded.

    pub fn restore_store_fetches(&mut self, now: f64, machines: BTreeSet<M>) {
        self.restored_at = now;
        self.recorded_store_fetches = machines;
    }

    /// Removes the recorded store fetch of the machine and returns whether there was
    /// one.
    pub fn take_recorded_store_fetch(&mut self, machine: &M) -> bool {
        self.recorded_store_fetches.remove(machine)
    }

    /// Number of recorded store fetches that still occupy store slots.
    pub fn recorded_store_fetches(&self, now: f64) -> usize {
        match now - self.restored_at <= RECORDED_EXPIRY_S {
            true => self.recorded_store_fetches.len(),
            false => 0,
        }
    }
}
