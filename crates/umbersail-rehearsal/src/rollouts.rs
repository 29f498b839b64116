//! A model of the rollout of a large image to a fleet: the decisions of `umbersail-images` with
//! the simulated image store and workers that serve images to other workers. The model has no
//! controllers, so that larger fleets and more faults are possible than in a scenario.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_images::{CacheView, Decision, FetchPriority, FetchRequest, Settings};

use crate::image_store::Swarm;

/// A fault to inject into a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The given number of machines, those that started to fetch first, stop for good.
    FirstDie(usize),
    /// The given number of machines, those that started to fetch first, transfer slower by the
    /// given factor.
    FirstSlow(usize, f64),
    /// The given zone is partitioned from the others for the given seconds.
    Cut(u16, f64),
    /// The image store is down for the given seconds.
    StoreOut(f64),
    /// A new leader takes over and restores its state from the records.
    TakeOver,
    /// The given number of machines, from the first of the fleet on, cancel their fetches.
    Cancelled(usize),
}

/// Parameters of a rollout.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// Number of machines.
    pub machines: usize,
    /// Number of zones, to which machines are assigned round-robin.
    pub zones: u16,
    /// Size of the image in GB.
    pub gb: f64,
    /// Total bandwidth of the store in GB/s.
    pub store_gb_s: f64,
    /// Upload bandwidth of a machine in GB/s.
    pub up_gb_s: f64,
    /// Download bandwidth of a machine in GB/s.
    pub down_gb_s: f64,
    /// Size of the pieces in which the image is transferred, in GB.
    pub piece_gb: f64,
    /// Mean interval between the heartbeats of a machine.
    pub report_s: f64,
    /// Settings of the image distribution.
    pub bounds: Settings,
    /// Times in seconds and faults to inject.
    pub faults: Vec<(f64, Fault)>,
    /// Seed that determines all random numbers.
    pub seed: u64,
}

/// Results of a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutResult {
    /// Seconds until half of the surviving machines had the image.
    pub half_s: f64,
    /// Seconds until nine tenths of the surviving machines had the image.
    pub most_s: f64,
    /// Seconds until all surviving machines had the image.
    pub all_s: f64,
    /// Number of machines that have the image at the end.
    pub had: usize,
    /// Data sent by the store, in GB.
    pub store_gb: f64,
    /// Number of fetches started; exceeds the number of machines if fetches were restarted.
    pub begun: usize,
    /// Number of heartbeats processed.
    pub reports: usize,
    /// Length of the longest chain of machines from the store.
    pub hops: u32,
    /// Wall clock time of all decisions, in seconds; differs from run to run.
    pub decided_s: f64,
}

impl Rollout {
    /// Returns the default `images.*` settings, with peer-to-peer transfers on or off.
    pub fn bounds(hand_on: bool) -> Settings {
        Settings::from_tuning(&umbersail_tuning::Tuning {
            peer_to_peer_images: f64::from(u8::from(hand_on)),
            ..umbersail_tuning::Tuning::default()
        })
    }

    /// Returns the lower bound of the rollout time in seconds, for any way of distribution.
    pub fn bound_s(&self) -> f64 {
        let n = self.machines as f64;
        let spread = n * self.gb / (self.store_gb_s + n * self.up_gb_s);
        let alone = self.gb / self.store_gb_s.min(self.down_gb_s);
        alone.max(spread)
    }

    /// Returns the rollout time in seconds if all machines fetch from the store at once.
    pub fn from_store_s(&self) -> f64 {
        let n = self.machines as f64;
        (n * self.gb / self.store_gb_s).max(self.gb / self.down_gb_s)
    }

    /// Runs until all surviving machines have the image, for at most `most_s` seconds.
    pub fn run(&self, most_s: f64) -> RolloutResult {
        let mut run = Run::new(self);
        run.run(most_s);
        run.result()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waits,
    Fetches,
    /// The machine has the image; `shown` is whether a heartbeat has reported this.
    Has {
        shown: bool,
    },
    Gone,
}

struct Run<'a> {
    rollout: &'a Rollout,
    cache_view: CacheView<usize, u32>,
    swarm: Swarm,
    stage: Vec<Stage>,
    hop: Vec<u32>,
    heard: Vec<f64>,
    begun: Vec<usize>,
    had_at: BTreeMap<usize, f64>,
    faults: BinaryHeap<Reverse<(u64, usize)>>,
    cut: Option<(u16, f64)>,
    store_out_until: Option<f64>,
    decided: Duration,
    reports: usize,
}

const IMAGE: u32 = 1;

impl<'a> Run<'a> {
    fn new(rollout: &'a Rollout) -> Run<'a> {
        let mut swarm = Swarm::new(rollout.store_gb_s, rollout.piece_gb);
        for node in 0..rollout.machines {
            swarm.add(
                node,
                node as u16 % rollout.zones,
                rollout.up_gb_s,
                rollout.down_gb_s,
            );
        }
        let faults = rollout.faults.iter().enumerate();
        Run {
            cache_view: CacheView::new(rollout.bounds.clone()),
            swarm,
            stage: vec![Stage::Waits; rollout.machines],
            hop: vec![0; rollout.machines],
            heard: vec![0.0; rollout.machines],
            begun: Vec::new(),
            had_at: BTreeMap::new(),
            faults: faults
                .map(|(index, (at, _))| Reverse(((at * 1e3) as u64, index)))
                .collect(),
            cut: None,
            store_out_until: None,
            decided: Duration::ZERO,
            reports: 0,
            rollout,
        }
    }

    fn run(&mut self, most_s: f64) {
        let rollout = self.rollout;
        let mut rng = ChaCha8Rng::seed_from_u64(rollout.seed);
        let mut reports: BinaryHeap<Reverse<(u64, usize)>> = (0..rollout.machines)
            .map(|node| Reverse(((rng.random_range(0.0..rollout.report_s) * 1e6) as u64, node)))
            .collect();
        while let Some(Reverse((at, node))) = reports.pop() {
            let now = at as f64 / 1e6;
            if now > most_s || self.is_over() {
                return;
            }
            self.apply_faults_until(now);
            self.advance(now);
            if self.stage[node] == Stage::Gone {
                continue;
            }
            let next = now + rollout.report_s * rng.random_range(0.75..1.25);
            reports.push(Reverse(((next * 1e6) as u64, node)));
            let began = Instant::now();
            let begins = self.report(now, node);
            self.decided += began.elapsed();
            self.reports += 1;
            if let Some(holders) = begins {
                self.swarm.fetch(now, node, IMAGE, rollout.gb, &holders);
            }
        }
    }

    fn is_over(&self) -> bool {
        let left = |s: &Stage| matches!(s, Stage::Waits | Stage::Fetches);
        !self.stage.iter().any(left)
    }

    fn advance(&mut self, now: f64) {
        while let Some(at) = self.swarm.next_at().filter(|at| *at <= now) {
            for (node, _) in self.swarm.advance(at) {
                self.stage[node] = Stage::Has { shown: false };
                self.had_at.insert(node, at);
            }
        }
    }

    fn report(&mut self, now: f64, node: usize) -> Option<Vec<usize>> {
        let rollout = self.rollout;
        let zone_number = node as u16 % rollout.zones;
        self.heard[node] = now;
        self.cache_view.observe_heartbeat(&node);
        let zone = zone_number.to_string();
        let ask = FetchRequest {
            image: &IMAGE,
            size_gb: rollout.gb,
            rate_gb_s: rollout.down_gb_s,
            machine: &node,
            zone: &zone,
            priority: FetchPriority {
                tier: 1,
                order: node as u64,
            },
            concurrent_fetches: 1,
        };
        match self.stage[node] {
            Stage::Waits => {
                let (heard, report_s) = (&self.heard, rollout.report_s);
                let usable = |m: &usize| now - heard[*m] < 3.0 * report_s;
                if let Decision::Start { sources: holders } =
                    self.cache_view.request_fetch(now, &ask, usable)
                {
                    let before = holders.iter().map(|h| self.hop[*h]).max();
                    self.hop[node] = before.map_or(1, |hop| hop + 1);
                    self.stage[node] = Stage::Fetches;
                    self.begun.push(node);
                    return Some(holders);
                }
            }
            Stage::Fetches => self.cache_view.observe_fetching(now, &ask),
            Stage::Has { shown } => {
                if !shown {
                    self.stage[node] = Stage::Has { shown: true };
                    self.cache_view.observe_cached(now, &ask);
                }
            }
            Stage::Gone => {}
        }
        None
    }

    fn apply_faults_until(&mut self, now: f64) {
        while let Some(Reverse((at, index))) = self.faults.peek().copied() {
            let at = at as f64 / 1e3;
            if at > now {
                break;
            }
            self.faults.pop();
            self.advance(at);
            self.apply_fault(at, self.rollout.faults[index].1);
        }
        if let Some((_, until)) = self.cut
            && now >= until
        {
            self.cut = None;
            self.swarm.partition_zone(now, None);
        }
        if self.store_out_until.is_some_and(|until| now >= until) {
            self.store_out_until = None;
            self.swarm.set_store_rate(now, self.rollout.store_gb_s);
        }
    }

    fn apply_fault(&mut self, now: f64, fault: Fault) {
        let first = |count| -> BTreeSet<usize> { self.begun.iter().take(count).copied().collect() };
        match fault {
            Fault::FirstDie(count) => {
                for node in first(count) {
                    self.swarm.remove(now, node);
                    self.cache_view.remove_machine(&node);
                    self.stage[node] = Stage::Gone;
                    self.had_at.remove(&node);
                }
            }
            Fault::FirstSlow(count, times) => {
                for node in first(count) {
                    self.swarm.slow_uplink(node, times);
                }
            }
            Fault::Cut(zone, for_s) => {
                self.cut = Some((zone, now + for_s));
                self.swarm.partition_zone(now, Some(zone));
            }
            Fault::StoreOut(for_s) => {
                self.store_out_until = Some(now + for_s);
                self.swarm.set_store_rate(now, 0.0);
            }
            Fault::TakeOver => {
                let records = self.cache_view.records(u32::to_string, usize::to_string);
                self.cache_view = CacheView::new(self.rollout.bounds.clone());
                for record in records.values() {
                    // Machine names are numbers in this model.
                    let machine = |name: &str| name.parse().unwrap_or(usize::MAX);
                    self.cache_view.restore(now, IMAGE, record, machine);
                }
                for stage in &mut self.stage {
                    if let Stage::Has { shown } = stage {
                        *shown = false;
                    }
                }
            }
            Fault::Cancelled(count) => {
                for node in 0..count.min(self.stage.len()) {
                    if self.stage[node] == Stage::Fetches {
                        self.swarm.release(now, node, IMAGE);
                        self.cache_view.cancel_fetch(&IMAGE, &node);
                        self.stage[node] = Stage::Gone;
                    }
                }
            }
        }
    }

    fn result(&self) -> RolloutResult {
        let mut times: Vec<f64> = self.had_at.values().copied().collect();
        times.sort_by(f64::total_cmp);
        let living = self.stage.iter().filter(|s| **s != Stage::Gone).count();
        let at = |share: f64| {
            let index = ((share * living as f64).ceil() as usize).max(1) - 1;
            times.get(index).copied().unwrap_or(f64::INFINITY)
        };
        RolloutResult {
            half_s: at(0.5),
            most_s: at(0.9),
            all_s: at(1.0),
            had: times.len(),
            store_gb: self.swarm.store_gb(),
            begun: self.begun.len(),
            reports: self.reports,
            decided_s: self.decided.as_secs_f64(),
            hops: self.hop.iter().copied().max().unwrap_or(0),
        }
    }
}
