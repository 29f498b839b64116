//! Times by the clocks of a node.

use crate::openings::UnixMs;

/// The current time by both clocks of a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timestamp {
    /// Steady clock in seconds; meaningless to other processes.
    pub steady_s: f64,
    /// Time of day; may be wrong by [`Settings::skew_ms`](crate::Settings::skew_ms).
    pub unix_ms: UnixMs,
}

/// Seconds from one time of day to a later one; 0 if it is not later.
pub(crate) fn seconds_between(from: UnixMs, to: UnixMs) -> f64 {
    to.saturating_sub(from) as f64 / 1000.0
}

/// Converts seconds to milliseconds; negative values become zero.
pub(crate) fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}
