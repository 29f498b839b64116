//! A simulated fleet that sends requests and observations to a [`CacheView`].

use std::collections::BTreeSet;
use std::ops::Range;

use umbersail_images::{CacheView, Decision, FetchPriority, FetchRequest, Settings};

const IMAGE_SIZE_GB: f64 = 40.0;

pub fn settings(peer_to_peer: bool) -> Settings {
    Settings {
        peer_to_peer,
        serve_partial: true,
        sources_per_fetch: 4,
        max_uploads_per_source: 5,
        initial_store_fetches: 8,
        min_fetch_s: 10.0,
        slowdown_factor: 2.5,
        queue_expiry_s: 10.0,
        max_tracked_images: 16,
    }
}

pub fn machine(n: usize) -> String {
    format!("host-{n:06}")
}

pub fn zone(n: usize) -> &'static str {
    ["east", "west", "north"][n % 3]
}

fn request_of<'a>(
    image: &'a &'static str,
    machine: &'a String,
    n: usize,
    tier: u8,
    concurrent_fetches: usize,
) -> FetchRequest<'a, String, &'static str> {
    FetchRequest {
        image,
        size_gb: IMAGE_SIZE_GB,
        rate_gb_s: 1.0,
        machine,
        zone: zone(n),
        priority: FetchPriority {
            tier,
            order: n as u64,
        },
        concurrent_fetches,
    }
}

/// A fleet of machines in three zones, each with a download rate of 1 GB/s.
pub struct Fleet {
    pub view: CacheView<String, &'static str>,
    /// Machines that are not usable as sources.
    pub unreachable: BTreeSet<String>,
    /// Concurrent fetches on each machine.
    pub concurrent_fetches: usize,
}

impl Fleet {
    pub fn new(settings: Settings) -> Fleet {
        Fleet {
            view: CacheView::new(settings),
            unreachable: BTreeSet::new(),
            concurrent_fetches: 1,
        }
    }

    pub fn request_image(
        &mut self,
        now: f64,
        image: &'static str,
        n: usize,
        tier: u8,
    ) -> Decision<String> {
        let (machine, unreachable) = (machine(n), &self.unreachable);
        let request = request_of(&image, &machine, n, tier, self.concurrent_fetches);
        self.view
            .request_fetch(now, &request, |m| !unreachable.contains(m))
    }

    pub fn request(&mut self, now: f64, n: usize) -> Decision<String> {
        self.request_image(now, "weights", n, 1)
    }

    /// Requests the image "weights" and returns the sources; `None` if the machine must
    /// wait.
    pub fn start(&mut self, now: f64, n: usize) -> Option<Vec<String>> {
        match self.request(now, n) {
            Decision::Start { sources } => Some(sources),
            Decision::Wait => None,
        }
    }

    pub fn observe_fetching(&mut self, now: f64, n: usize) {
        let machine = machine(n);
        let request = request_of(&"weights", &machine, n, 1, self.concurrent_fetches);
        self.view.observe_fetching(now, &request);
    }

    pub fn observe_cached(&mut self, now: f64, n: usize) {
        self.observe_cached_image(now, "weights", n);
    }

    pub fn observe_cached_image(&mut self, now: f64, image: &'static str, n: usize) {
        let machine = machine(n);
        self.view.observe_cached(
            now,
            &request_of(&image, &machine, n, 1, self.concurrent_fetches),
        );
    }

    /// Runs concurrent fetches from the store that start at `started_at` and take
    /// `duration_s` each.
    pub fn fetch(&mut self, started_at: f64, machines: Range<usize>, duration_s: f64) {
        for n in machines.clone() {
            assert_eq!(self.start(started_at, n), Some(vec![]));
        }
        for n in machines.clone() {
            self.observe_fetching(started_at + duration_s - 1.0, n);
        }
        for n in machines {
            self.observe_cached(started_at + duration_s, n);
        }
    }

    /// Number of store fetches in the record of the image.
    pub fn recorded_store_fetches_of(&self, image: &str) -> usize {
        let records = self.view.records(|i| (*i).to_owned(), String::clone);
        records.get(image).map_or(0, |r| r.from_store.len())
    }

    pub fn recorded_store_fetches(&self) -> usize {
        self.recorded_store_fetches_of("weights")
    }
}
