//! Timestamps of the two clocks of a controller.

use crate::openings::UnixMs;

/// The current time by both clocks of a controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timestamp {
    /// Monotonic clock in seconds; not comparable between processes.
    pub steady_s: f64,
    /// Time of day; its error is at most [`Settings::skew_ms`](crate::Settings::skew_ms).
    pub unix_ms: UnixMs,
}

/// Seconds from one time of day to a later one; 0 if `to` is not later than `from`.
pub(crate) fn seconds_between(from: UnixMs, to: UnixMs) -> f64 {
    to.saturating_sub(from) as f64 / 1000.0
}

/// Converts seconds to milliseconds; negative values become zero.
pub(crate) fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}
