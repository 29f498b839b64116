//! When users who were refused shall come back, so that they don't do it at once.

use umbersail_runtime::Time;

/// Refusals are counted over about so many seconds.
const MEMORY_S: f64 = 5.0;
/// The longest that the protocol lets a user be sent away, in seconds.
const LONGEST_S: f64 = 30.0;

/// How many were refused lately.
#[derive(Debug, Default)]
pub(crate) struct RetryBackoff {
    refused: f64,
    at: Time,
}

impl RetryBackoff {
    /// One more was refused.
    pub fn refused(&mut self, now: Time) {
        let passed = (now - self.at).max(0.0);
        self.refused = self.refused * (-passed / MEMORY_S).exp() + 1.0;
        self.at = now;
    }

    /// Whole seconds after which to come back: from the least on, spread over the
    /// time in which all who were refused can be served. `draw` is from 0 to 1.
    pub fn retry_after_s(&self, served_per_s: f64, least_s: f64, draw: f64) -> u32 {
        let spread_s = self.refused / served_per_s.max(0.1);
        (least_s + draw * spread_s).clamp(1.0, LONGEST_S) as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_storm_comes_back_over_the_time_in_which_it_can_be_served() {
        // Guards against refusals that gather everybody in the same second, where
        // most are refused again.
        let mut retry_backoff = RetryBackoff::default();
        retry_backoff.refused(100.0);
        assert_eq!(
            retry_backoff.retry_after_s(10.0, 1.0, 0.99),
            1,
            "one alone comes soon"
        );
        for _ in 0..200 {
            retry_backoff.refused(101.0);
        }
        assert_eq!(retry_backoff.retry_after_s(10.0, 1.0, 0.0), 1);
        assert_eq!(retry_backoff.retry_after_s(10.0, 1.0, 0.5), 11);
        assert_eq!(
            retry_backoff.retry_after_s(0.0, 1.0, 0.9),
            30,
            "never longer"
        );
        retry_backoff.refused(140.0);
        assert_eq!(
            retry_backoff.retry_after_s(10.0, 1.0, 0.99),
            1,
            "that was long ago"
        );
    }
}
