//! Operator settings of the calendar.

/// Operator settings of the calendar.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Bound of the error of any node's time of day, in milliseconds.
    pub skew_ms: u64,
    /// Ticks may be this late, in milliseconds. Runs open as much ahead of their time,
    /// so that no job of a later step starts before the run has opened.
    pub tick_ms: u64,
    /// Changed counts are recorded after this many seconds.
    pub write_delay_s: f64,
    /// A job that has failed on every machine for this many seconds is no longer
    /// waited for.
    pub failing_grace_s: f64,
    /// Seconds after its due time when an unfinished run is given up and an ended
    /// one is forgotten.
    pub retention_s: f64,
    /// Concurrent runs of one entry.
    pub max_active_runs: usize,
    /// Names of jobs in a record.
    pub max_names: usize,
}
