//! State of a simulated world: virtual time, hosts with drifting clocks, and a network in
//! memory that delays, loses and holds back packets and refuses connections.
//!
//! One seed determines all random numbers, so that every run of the same program is
//! identical. This module does not depend on the executor: it schedules later events on
//! [`Timers`].

mod connection;
mod delivery;
mod host;
mod network;
mod partition;
mod randomness;

use std::cell::{Cell, RefCell};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::timers::{Nanos, Timers};

pub(crate) use connection::{ConnectionId, Side};
pub(crate) use delivery::{Packet, Payload};
pub(crate) use host::{Host, StepAdmission};
pub(crate) use network::Network;

pub use host::{HostId, HostSpec};
pub use network::NetworkConfig;
pub use partition::{PartitionId, PartitionMode};

/// The time of day at which every simulated world starts, in milliseconds since the Unix epoch.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// Timers whose delivery events carry a [`Packet`].
pub(crate) type PacketTimers = Timers<Packet>;

/// Counts of the work of a simulation so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Packets sent.
    pub packets: u64,
    /// Steps run by routines; a step is one poll of the future.
    pub steps: u64,
}

/// A simulated world.
pub(crate) struct Sim {
    now: Cell<Nanos>,
    seed: u64,
    network_config: Cell<NetworkConfig>,
    network_rng: RefCell<ChaCha8Rng>,
    network: RefCell<Network>,
    hosts: RefCell<Vec<Host>>,
    work_counters: Cell<WorkCounters>,
}

impl Sim {
    /// Sets latency, jitter and loss for packets sent from now on.
    pub(crate) fn set_network_config(&self, config: NetworkConfig) {
        self.network_config.set(config);
    }

    /// Creates a world without hosts.
    pub fn new(seed: u64, network_config: NetworkConfig) -> Sim {
        Sim {
            now: Cell::new(0),
            seed,
            network_config: Cell::new(network_config),
            network_rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            network: RefCell::default(),
            hosts: RefCell::new(Vec::new()),
            work_counters: Cell::default(),
        }
    }

    pub fn now(&self) -> Nanos {
        self.now.get()
    }

    /// Advances virtual time to `to`; never moves it back.
    pub fn advance(&self, to: Nanos) {
        self.now.set(to.max(self.now.get()));
    }

    pub fn work_counters(&self) -> WorkCounters {
        self.work_counters.get()
    }

    fn count_packet(&self) {
        let mut counters = self.work_counters.get();
        counters.packets += 1;
        self.work_counters.set(counters);
    }

    fn count_step(&self) {
        let mut counters = self.work_counters.get();
        counters.steps += 1;
        self.work_counters.set(counters);
    }
}
