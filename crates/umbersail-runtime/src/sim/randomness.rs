//! Seeded random numbers: one generator for the network and one for each host.

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{HostId, Sim};
use crate::timers::{Nanos, nanos};

/// Multiplier that spreads the number of process starts over all bits of the seed.
const START_COUNT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Prime of the 64-bit FNV hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl Sim {
    /// Draws from the generator of the host, which is independent of the draws of other hosts.
    pub(crate) fn draw<R>(&self, host: HostId, draw: impl FnOnce(&mut dyn RngCore) -> R) -> R {
        draw(&mut self.host(host).rng)
    }

    /// Creates a generator seeded by the seed of the world, the name of the host and its number
    /// of process starts.
    pub(super) fn host_rng(&self, name: &str, starts: u64) -> ChaCha8Rng {
        let mut seed = self.seed ^ starts.wrapping_mul(START_COUNT_MULTIPLIER);
        for byte in name.bytes() {
            seed = (seed ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        ChaCha8Rng::seed_from_u64(seed)
    }

    /// Draws the transit time of a packet, including retransmissions.
    pub(super) fn draw_transit_time(&self) -> Nanos {
        let config = self.network_config.get();
        let mut rng = self.network_rng.borrow_mut();
        let sample: f64 = rng.random_range(1e-9..1.0);
        let mut seconds = config.latency_s - config.jitter_s * sample.ln();
        while config.loss > 0.0 && rng.random_bool(config.loss) {
            seconds += config.retransmit_s;
        }
        nanos(seconds)
    }
}
