//! Time windows of reservations: a single window, or windows that recur by a cron pattern in a
//! time zone.

use croner::Cron;
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A time window; its end is exclusive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Start, as Unix time in milliseconds.
    pub from_ms: u64,
    /// End, as Unix time in milliseconds.
    pub to_ms: u64,
}

impl Window {
    /// Whether the two windows have a moment in common.
    pub fn overlaps(&self, other: &Window) -> bool {
        self.from_ms < other.to_ms && other.from_ms < self.to_ms
    }

    /// Whether the window has ended.
    pub fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.to_ms
    }

    /// Whether the window has started.
    pub fn has_begun(&self, now_ms: u64) -> bool {
        now_ms >= self.from_ms
    }
}

/// Why the time fields of an entry are invalid.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ScheduleError {
    /// The text is not a time.
    #[error(
        "'{0}' is neither a time with a UTC offset (2027-02-05T18:00:00+01:00) nor a local time (2027-02-05T18:00)"
    )]
    InvalidTime(String),
    /// The text is a local time and the entry has no time zone.
    #[error("'{0}' is a local time: time_zone must be set")]
    MissingTimeZone(String),
    /// The text is not the name of a time zone.
    #[error("time zone '{0}' is unknown")]
    UnknownTimeZone(String),
    /// The text is not a cron pattern.
    #[error(
        "'{value}' is not a cron pattern of minute, hour, day of month, month and weekday: {reason}"
    )]
    InvalidRecurrence {
        /// The text.
        value: String,
        /// What is wrong with the text.
        reason: String,
    },
    /// The text is not a duration of at least one second.
    #[error("'{0}' is not a duration of at least one second (10h, 90m, 1h 30m)")]
    InvalidLength(String),
    /// The end is at or before the start.
    #[error("the end is not after the start")]
    EndBeforeStart,
    /// A window of the pattern starts before the previous window has ended.
    #[error("windows of {length_h:.1} h that start {gap_h:.1} h apart overlap")]
    Overlapping {
        /// Length of a window in hours.
        length_h: f64,
        /// Time between the starts of the two windows in hours.
        gap_h: f64,
    },
    /// The pattern has no occurrence in the allowed time.
    #[error("the pattern never occurs")]
    NoOccurrence,
}

/// The windows of an entry.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Start and end of the single window, or of the time in which the pattern applies.
    from_ms: u64,
    to_ms: u64,
    recurrence: Option<Recurrence>,
}

#[derive(Debug, Clone)]
struct Recurrence {
    cron: Cron,
    zone: TimeZone,
    length_ms: u64,
}

/// Number of occurrences that are checked for overlaps: more than one year of a weekly pattern.
const CHECKED_OCCURRENCES: usize = 60;

impl Schedule {
    /// A schedule with a single window.
    ///
    /// # Errors
    /// If the end is not after the start.
    pub fn once(from_ms: u64, to_ms: u64) -> Result<Schedule, ScheduleError> {
        if to_ms <= from_ms {
            return Err(ScheduleError::EndBeforeStart);
        }
        Ok(Schedule {
            from_ms,
            to_ms,
            recurrence: None,
        })
    }

    /// A schedule with a window at each occurrence of a cron pattern of minute, hour, day of
    /// month, month and weekday in the time zone. If `from_ms` or `to_ms` is set, only windows
    /// that start in that time occur, and a window ends at `to_ms` at the latest. The length is
    /// elapsed time: changes of daylight saving time during a window do not affect it.
    ///
    /// # Errors
    /// If the pattern is invalid or never occurs, the windows overlap, or `to_ms` is not after
    /// `from_ms`.
    pub fn recurring(
        pattern: &str,
        zone: &TimeZone,
        length_ms: u64,
        from_ms: Option<u64>,
        to_ms: Option<u64>,
    ) -> Result<Schedule, ScheduleError> {
        let fail = |reason: String| ScheduleError::InvalidRecurrence {
            value: pattern.to_owned(),
            reason,
        };
        let cron: Cron = pattern.parse().map_err(|e| fail(format!("{e}")))?;
        let schedule = Schedule {
            from_ms: from_ms.unwrap_or(0),
            to_ms: to_ms.unwrap_or(u64::MAX),
            recurrence: Some(Recurrence {
                cron,
                zone: zone.clone(),
                length_ms,
            }),
        };
        if schedule.to_ms <= schedule.from_ms {
            return Err(ScheduleError::EndBeforeStart);
        }
        // The check starts on a fixed day, because this crate reads no clock.
        let mut last = schedule.from_ms.max(CHECK_FROM_MS);
        let mut before: Option<Window> = None;
        for _ in 0..CHECKED_OCCURRENCES {
            let Some(window) = schedule.starting_at(last) else {
                break;
            };
            if let Some(before) = before
                && window.from_ms < before.from_ms + length_ms
            {
                let hours = |ms: u64| ms as f64 / 3.6e6;
                return Err(ScheduleError::Overlapping {
                    length_h: hours(length_ms),
                    gap_h: hours(window.from_ms - before.from_ms),
                });
            }
            last = window.from_ms + 1;
            before = Some(window);
        }
        if before.is_none() {
            return Err(ScheduleError::NoOccurrence);
        }
        Ok(schedule)
    }

    /// The window that contains this time, or else the next window; `None` if all windows have
    /// ended.
    pub fn window_at(&self, now_ms: u64) -> Option<Window> {
        match &self.recurrence {
            None => {
                let window = Window {
                    from_ms: self.from_ms,
                    to_ms: self.to_ms,
                };
                (!window.is_over(now_ms)).then_some(window)
            }
            Some(recurrence) => {
                let earliest = now_ms.saturating_sub(recurrence.length_ms) + 1;
                self.starting_at(earliest.max(self.from_ms))
            }
        }
    }

    /// The first window that starts at this time or later.
    fn starting_at(&self, ms: u64) -> Option<Window> {
        let recurrence = self.recurrence.as_ref()?;
        // The pattern library works with whole seconds.
        let second = i64::try_from(ms.div_ceil(1000)).ok()?;
        let start = Timestamp::from_second(second).ok()?;
        let found = recurrence
            .cron
            .find_next_occurrence(&start.to_zoned(recurrence.zone.clone()), true)
            .ok()?;
        let from_ms = u64::try_from(found.timestamp().as_millisecond()).ok()?;
        let window = Window {
            from_ms,
            to_ms: (from_ms + recurrence.length_ms).min(self.to_ms),
        };
        (from_ms < self.to_ms).then_some(window)
    }
}

/// 2026-01-01, from which occurrences are checked for overlaps.
const CHECK_FROM_MS: u64 = 1_767_225_600_000;

/// Parses a time with a UTC offset, or a local time in the zone, and returns Unix time in
/// milliseconds. A local time that is skipped when clocks go forward is moved later by the
/// skipped duration. A local time that occurs twice when clocks go back means its first
/// occurrence.
pub(crate) fn parse_time(text: &str, zone: Option<&TimeZone>) -> Result<u64, ScheduleError> {
    let bad = || ScheduleError::InvalidTime(text.to_owned());
    let at = match text.parse::<Timestamp>() {
        Ok(at) => at,
        Err(_) => {
            let local: DateTime = text.parse().map_err(|_| bad())?;
            let zone = zone.ok_or_else(|| ScheduleError::MissingTimeZone(text.to_owned()))?;
            zone.to_timestamp(local).map_err(|_| bad())?
        }
    };
    u64::try_from(at.as_millisecond()).map_err(|_| bad())
}

pub(crate) fn parse_zone(text: &str) -> Result<TimeZone, ScheduleError> {
    TimeZone::get(text).map_err(|_| ScheduleError::UnknownTimeZone(text.to_owned()))
}

/// Parses a duration of at least one second and returns milliseconds.
pub(crate) fn parse_length(text: &str) -> Result<u64, ScheduleError> {
    let bad = || ScheduleError::InvalidLength(text.to_owned());
    let length: SignedDuration = text.parse().map_err(|_| bad())?;
    match u64::try_from(length.as_millis()) {
        Ok(ms) if ms >= 1000 => Ok(ms),
        _ => Err(bad()),
    }
}
