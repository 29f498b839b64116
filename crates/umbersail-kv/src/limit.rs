//! Limits on requests a second, with a burst.

use crate::Time;

/// A bucket that fills at a rate and holds a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    rate: f64,
    most: f64,
    left: f64,
    at: Time,
}

impl Bucket {
    /// `rate` a second, with bursts of `burst_s` seconds' worth.
    pub fn new(rate: f64, burst_s: f64) -> Bucket {
        let most = (rate * burst_s).max(1.0);
        Bucket {
            rate,
            most,
            left: most,
            at: 0.0,
        }
    }

    /// Takes so much if it is there.
    pub fn take(&mut self, now: Time, amount: f64) -> bool {
        self.left = (self.left + (now - self.at).max(0.0) * self.rate).min(self.most);
        self.at = self.at.max(now);
        if self.left + 1e-9 < amount {
            return false;
        }
        self.left -= amount;
        true
    }
}
