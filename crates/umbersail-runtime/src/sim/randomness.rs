//! Seeded random numbers: one generator for the network, one per host.

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{HostId, Sim};
use crate::timers::{Nanos, nanos};

/// Multiplier that spreads the number of starts over the seed.
const START_COUNT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Prime of the 64-bit FNV hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl Sim {
    /// Draws from the host's own generator, which no other host's use disturbs.
    pub(crate) fn draw<R>(&self, host: HostId, draw: impl FnOnce(&mut dyn RngCore) -> R) -> R {
        draw(&mut self.host(host).rng)
    }

    /// A generator seeded by the world's seed, the host's name and its number of starts.
    pub(super) fn host_rng(&self, name: &str, starts: u64) -> ChaCha8Rng {
        let mut seed = self.seed ^ starts.wrapping_mul(START_COUNT_MULTIPLIER);
        for byte in name.bytes() {
            seed = (seed ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        ChaCha8Rng::seed_from_u64(seed)
    }

    /// Draws the travel time of a packet, retransmissions included.
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
