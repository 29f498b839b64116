//! Limits on the number of requests per second, with bursts.

use crate::Time;

/// A token bucket: filled at a constant rate, and its capacity is the largest burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket with `rate` tokens per second, which holds the tokens of `burst_s`
    /// seconds.
    pub fn new(rate: f64, burst_s: f64) -> TokenBucket {
        let capacity = (rate * burst_s).max(1.0);
        TokenBucket {
            rate,
            capacity,
            tokens: capacity,
            refilled_at: 0.0,
        }
    }

    /// Takes `amount` tokens; returns false and takes none if there are fewer.
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
