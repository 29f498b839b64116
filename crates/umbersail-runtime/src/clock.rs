//! Clocks, as routines see them.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds on the steady clock of this process, counted from its start.
pub type Time = f64;

/// Where routines read time; decisions take it as an argument.
pub trait Clock {
    /// Steady time: never goes back, may drift.
    fn now(&self) -> Time;
    /// Time of day in milliseconds since the Unix epoch, accurate within the
    /// platform's bound.
    fn unix_ms(&self) -> u64;
}

/// The machine's clocks.
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

/// A clock that a test moves by hand.
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
