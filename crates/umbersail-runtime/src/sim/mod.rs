//! State of a simulated world: virtual time, hosts with clocks that drift, and
//! a network in memory that delays, loses, holds back and refuses packets.
//!
//! One seed decides everything, so that the same program runs the same way
//! twice. This module does not know the executor: what happens later is
//! scheduled on [`Timers`].

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

/// The time of day at which every simulated world begins, in milliseconds since 1970.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// Timers of a world whose network delivers [`Packet`]s.
pub(crate) type PacketTimers = Timers<Packet>;

/// Work that a simulated world has done so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Packets sent.
    pub packets: u64,
    /// Steps of routines.
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
    /// Sets how packets travel from now on.
    pub(crate) fn set_network_config(&self, config: NetworkConfig) {
        self.network_config.set(config);
    }

    /// A world without hosts.
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

    pub fn advance(&self, to: Nanos) {
        self.now.set(to.max(self.now.get()));
    }

    pub fn work_counters(&self) -> WorkCounters {
        self.work_counters.get()
    }

    fn count_packet(&self) {
        let mut work = self.work_counters.get();
        work.packets += 1;
        self.work_counters.set(work);
    }

    fn count_step(&self) {
        let mut work = self.work_counters.get();
        work.steps += 1;
        self.work_counters.set(work);
    }
}
