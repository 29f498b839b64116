//! The delay after which refused users should retry. The delays are spread, so that the
//! users do not all retry at the same time.

use umbersail_runtime::Time;

/// Time constant of the decaying count of refusals, in seconds.
const DECAY_S: f64 = 5.0;
/// The longest delay that the protocol allows, in seconds.
const MAX_DELAY_S: f64 = 30.0;

/// Decaying count of recent refusals.
#[derive(Debug, Default)]
pub(crate) struct RetryBackoff {
    refusals: f64,
    at: Time,
}

impl RetryBackoff {
    /// Counts one more refusal.
    pub fn record_refusal(&mut self, now: Time) {
        let passed = (now - self.at).max(0.0);
        self.refusals = self.refusals * (-passed / DECAY_S).exp() + 1.0;
        self.at = now;
    }

    /// Returns the whole seconds after which a user should retry: at least `least_s`, spread
    /// over the time in which all refused requests can be served. `draw` is a random number
    /// from 0 to 1.
    pub fn retry_after_s(&self, capacity_per_s: f64, least_s: f64, draw: f64) -> u32 {
        let spread_s = self.refusals / capacity_per_s.max(0.1);
        (least_s + draw * spread_s).clamp(1.0, MAX_DELAY_S) as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_spread_over_the_time_in_which_they_can_be_served() {
        // Guards against delays that make all users retry in the same second, in which
        // most are refused again.
        let mut retry_backoff = RetryBackoff::default();
        retry_backoff.record_refusal(100.0);
        assert_eq!(
            retry_backoff.retry_after_s(10.0, 1.0, 0.99),
            1,
            "a single refused user retries soon"
        );
        for _ in 0..200 {
            retry_backoff.record_refusal(101.0);
        }
        assert_eq!(retry_backoff.retry_after_s(10.0, 1.0, 0.0), 1);
        assert_eq!(retry_backoff.retry_after_s(10.0, 1.0, 0.5), 11);
        assert_eq!(
            retry_backoff.retry_after_s(0.0, 1.0, 0.9),
            30,
            "the delay never exceeds the protocol's limit"
        );
        retry_backoff.record_refusal(140.0);
        assert_eq!(
            retry_backoff.retry_after_s(10.0, 1.0, 0.99),
            1,
            "old refusals no longer count"
        );
    }
}
