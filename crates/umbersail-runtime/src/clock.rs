//! Clocks: the steady clock and the time of day.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds on the steady clock of a process, counted from the start of the process.
pub type Time = f64;

/// A source of time for routines. Functions that make decisions take the time as an argument
/// instead, so that the same inputs always give the same decision.
pub trait Clock {
    /// Returns the steady time, which never goes back but may drift.
    fn now(&self) -> Time;
    /// Returns the time of day in milliseconds since the Unix epoch. Its error stays within
    /// the clock skew that the platform guarantees.
    fn unix_ms(&self) -> u64;
}

/// The clocks of the machine.
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        self.start.elapsed().as_secs_f64()
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}

/// Time of day at which [`FakeClock`] starts, in milliseconds.
const FAKE_EPOCH_MS: u64 = 1_000_000_000;

/// A clock for tests, which moves only through [`FakeClock::advance`].
#[derive(Default)]
pub struct FakeClock {
    now: Cell<Time>,
}

impl FakeClock {
    /// Moves the clock forward.
    pub fn advance(&self, seconds: Time) {
        self.now.set(self.now.get() + seconds);
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Time {
        self.now.get()
    }

    fn unix_ms(&self) -> u64 {
        FAKE_EPOCH_MS + (self.now.get() * 1000.0) as u64
    }
}
