//! Limits on requests a second, with a burst.

use crate::Time;

/// A bucket that fills at a rate and holds a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// `rate` a second, with bursts of `burst_s` seconds' worth.
    pub fn new(rate: f64, burst_s: f64) -> TokenBucket {
        let capacity = (rate * burst_s).max(1.0);
        TokenBucket {
            rate,
            capacity,
            tokens: capacity,
            refilled_at: 0.0,
        }
    }

    /// Takes so much if it is there.
    pub fn take(&mut self, now: Time, amount: f64) -> bool {
        self.tokens =
            (self.tokens + (now - self.refilled_at).max(0.0) * self.rate).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens + 1e-9 < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
