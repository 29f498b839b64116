//! The rollout of one image: its sources, its queue and its progress.

use std::collections::{BTreeMap, BTreeSet};

use crate::FetchPriority;

/// Queue entries examined for one decision, so that its cost does not grow with
/// the queue.
pub(crate) const MAX_EXAMINED: usize = 64;

/// Fetches named by a predecessor's record count for this many seconds; by then
/// every live machine has reported what it fetches.
const RECORDED_EXPIRY_S: f64 = 30.0;

/// A machine that can serve an image; the best source sorts first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourceEntry<M> {
    /// Distance in hops from a complete copy.
    pub hops: u32,
    /// Fetches that it serves already.
    pub uploads: u32,
    pub machine: M,
}

#[derive(Debug, Clone, Copy)]
struct QueueEntry {
    priority: FetchPriority,
    last_asked_at: f64,
}

/// The rollout of one image to the machines that need it.
#[derive(Debug, Clone)]
pub(crate) struct Rollout<M: Ord> {
    pub size_gb: f64,
    pub last_used_at: f64,
    /// Fetches in progress.
    pub fetching: usize,
    /// Complete copies on machines that can serve, as far as known.
    pub usable_copies: usize,
    /// Complete copies by zone.
    copies_by_zone: BTreeMap<String, usize>,
    /// Machines with spare capacity to serve, by zone.
    sources_by_zone: BTreeMap<String, BTreeSet<SourceEntry<M>>>,
    /// Fetches that all sources together can still take on.
    spare_capacity: u64,
    queue: BTreeSet<(FetchPriority, M)>,
    queue_entries: BTreeMap<M, QueueEntry>,
    /// Store fetches named by a predecessor's record and not yet reported.
    recorded_store_fetches: BTreeSet<M>,
    recorded_at: f64,
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
            recorded_at: now,
        }
    }

    /// Whether machines fetch the image or wait to.
    pub fn is_active(&self) -> bool {
        self.fetching > 0 || !self.queue.is_empty()
    }

    // The queue.

    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_queued(&self, machine: &M) -> bool {
        self.queue_entries.contains_key(machine)
    }

    /// Queues the machine, or renews its entry.
    pub fn enqueue(&mut self, now: f64, machine: &M, priority: FetchPriority) {
        let queued_priority = self.queue_entries.get(machine).map(|entry| entry.priority);
        if queued_priority != Some(priority) {
            self.dequeue(machine);
            self.queue.insert((priority, machine.clone()));
        }
        let entry = QueueEntry {
            priority,
            last_asked_at: now,
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
    /// Entries that were not renewed for `expiry_s` are dropped on the way.
    pub fn is_among_first(&mut self, now: f64, machine: &M, limit: usize, expiry_s: f64) -> bool {
        let mut expired = Vec::new();
        let mut ahead = 0;
        for (_, queued) in &self.queue {
            if queued == machine || ahead >= limit {
                break;
            }
            match self.queue_entries.get(queued) {
                Some(entry) if now - entry.last_asked_at <= expiry_s => ahead += 1,
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

    /// Sources in the zone, best first.
    pub fn sources_in(&self, zone: &str) -> impl Iterator<Item = &SourceEntry<M>> {
        self.sources_by_zone.get(zone).into_iter().flatten()
    }

    /// Zones with sources: the given one first, then those with the best source.
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

    // Store fetches that a predecessor recorded.

    pub fn restore_store_fetches(&mut self, now: f64, machines: BTreeSet<M>) {
        self.recorded_at = now;
        self.recorded_store_fetches = machines;
    }

    /// Forgets the recorded store fetch of a machine; whether there was one.
    pub fn take_recorded_store_fetch(&mut self, machine: &M) -> bool {
        self.recorded_store_fetches.remove(machine)
    }

    /// Recorded store fetches that still count.
    pub fn recorded_store_fetches(&self, now: f64) -> usize {
        match now - self.recorded_at <= RECORDED_EXPIRY_S {
            true => self.recorded_store_fetches.len(),
            false => 0,
        }
    }
}
