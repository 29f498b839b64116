//! Operator settings of the calendar.

/// Operator settings of the calendar.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Maximum error of the time of day of any controller, in milliseconds.
    pub skew_ms: u64,
    /// Maximum delay of a tick, in milliseconds. Runs open earlier by this time, so that no job
    /// of a later step starts before the run has opened.
    pub tick_ms: u64,
    /// Changed job counts are recorded after this many seconds.
    pub write_delay_s: f64,
    /// A step no longer waits for a job that has failed on every machine for this many seconds.
    pub failing_grace_s: f64,
    /// Seconds after the due time of a run when the run is given up if it is unfinished, and
    /// when the record of an ended run without an entry is removed.
    pub retention_s: f64,
    /// Maximum number of concurrent runs of one entry.
    pub max_active_runs: usize,
    /// Maximum number of job names in a record.
    pub max_names: usize,
}
