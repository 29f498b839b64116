//! When a reservation holds: once, or again and again by a pattern in a time zone.

use croner::Cron;
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// From and to, unix time in milliseconds; the end is not part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    pub from_ms: u64,
    pub to_ms: u64,
}

impl Window {
    pub fn overlaps(&self, other: &Window) -> bool {
        self.from_ms < other.to_ms && other.from_ms < self.to_ms
    }

    pub fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.to_ms
    }

    pub fn has_begun(&self, now_ms: u64) -> bool {
        now_ms >= self.from_ms
    }
}

/// Why a time can't be used.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ScheduleError {
    #[error(
        "'{0}' is neither a time with its offset (2027-02-05T18:00:00+01:00) nor a local one (2027-02-05T18:00)"
    )]
    InvalidTime(String),
    #[error("'{0}' is a local time: set time_zone beside it")]
    MissingTimeZone(String),
    #[error("time zone '{0}' is unknown")]
    UnknownTimeZone(String),
    #[error("'{value}' is no pattern of minute, hour, day, month, weekday: {reason}")]
    InvalidRecurrence { value: String, reason: String },
    #[error("'{0}' is no length of time (10h, 90m, 1h 30m)")]
    InvalidLength(String),
    #[error("lies before its beginning")]
    EndBeforeStart,
    #[error("windows of {length_h:.1} h begin {gap_h:.1} h apart: they overlap one another")]
    Overlapping { length_h: f64, gap_h: f64 },
    #[error("never comes")]
    NoOccurrence,
}

/// The time of an entry.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// For all time, or for as long as the pattern is heeded.
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

/// Occurrences looked at for two that overlap: more than a year of weeks.
const CHECKED_OCCURRENCES: usize = 60;

impl Schedule {
    /// One window.
    ///
    /// # Errors
    /// If it ends before it begins.
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

    /// A window of this length at each occurrence of a pattern of minute, hour, day of
    /// month, month and weekday in the time zone, between two times if given. The
    /// length is time that passes, whatever clocks are put forward or back within it.
    ///
    /// # Errors
    /// If the pattern makes no sense, or its windows overlap.
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
        // From a fixed day, since there is no clock here.
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

    /// The window that holds at this time or else the next one; none if all are over.
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

    /// The first window that begins at this time or later.
    fn starting_at(&self, ms: u64) -> Option<Window> {
        let recurrence = self.recurrence.as_ref()?;
        // Patterns are by whole seconds.
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

/// 2026-01-01.
const CHECK_FROM_MS: u64 = 1_767_225_600_000;

/// A time with its offset, or a local one in this zone. One that clocks skip is taken as
/// much later as they skip, one that they repeat as the first of the two.
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

/// In milliseconds.
pub(crate) fn parse_length(text: &str) -> Result<u64, ScheduleError> {
    let bad = || ScheduleError::InvalidLength(text.to_owned());
    let length: SignedDuration = text.parse().map_err(|_| bad())?;
    match u64::try_from(length.as_millis()) {
        Ok(ms) if ms >= 1000 => Ok(ms),
        _ => Err(bad()),
    }
}
