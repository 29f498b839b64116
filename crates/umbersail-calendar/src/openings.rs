//! When runs open and are due: recurrence rules and time zones, with a bundled time zone
//! database.
//!
//! A recurrence rule is evaluated in local time without daylight saving changes, and each local
//! time is then converted to Unix time. A local time that is skipped when clocks go forward is
//! converted with the offset before the change. A local time that occurs twice when clocks go
//! back counts once, at its first occurrence.

use chrono::{DateTime, Days, NaiveDateTime, NaiveTime, Offset, TimeDelta, TimeZone, Utc};
use chrono_tz::Tz;
use rrule::{Frequency, RRule, Unvalidated};
use thiserror::Error;

/// Unix time in milliseconds.
pub type UnixMs = u64;

/// Converts a local time of a zone to Unix time. A local time that is skipped is converted with
/// the offset before the change; a local time that occurs twice means its first occurrence.
fn unix_ms_of(zone: Tz, local: NaiveDateTime) -> UnixMs {
    let found = zone.from_local_datetime(&local).earliest();
    let at = found.map(|at| at.with_timezone(&Utc)).or_else(|| {
        let before = local.checked_sub_days(Days::new(1))?;
        let offset = zone.offset_from_local_datetime(&before).latest()?.fix();
        Some(local.checked_sub_offset(offset)?.and_utc())
    });
    at.map_or(u64::MAX, |at| {
        u64::try_from(at.timestamp_millis()).unwrap_or(0)
    })
}

/// Converts Unix time to local time of a zone; `None` if the time is out of range.
fn local_time_of(zone: Tz, at: UnixMs) -> Option<NaiveDateTime> {
    let at = DateTime::from_timestamp_millis(i64::try_from(at).ok()?)?;
    Some(at.with_timezone(&zone).naive_local())
}

/// Why the text of a field is not a valid value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidValue {
    /// The text is neither a time of day nor a duration.
    #[error("'{0}' is neither a time of day such as 06:00 nor a duration such as 2h 30m")]
    NeitherTimeNorDuration(String),
    /// The duration is too short or too long.
    #[error("'{0}' must be from 1s to 31days")]
    DurationOutOfRange(String),
    /// The text is not a duration.
    #[error("'{0}' is not a duration such as 2h 30m")]
    NotADuration(String),
    /// The text is not a number of jobs, or the number is out of range.
    #[error("'{text}' must be a number from 1 to {max}")]
    Count {
        /// The text.
        text: String,
        /// The largest valid number.
        max: u32,
    },
}

/// A time relative to the opening time of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelativeTime {
    /// The next time after the opening when local time is this time of day.
    TimeOfDay(NaiveTime),
    /// This many milliseconds after the opening.
    Delay(u64),
}

impl RelativeTime {
    /// Parses a time of day such as `06:00`, or a duration such as `2h 30m`.
    pub(crate) fn parse(text: &str) -> Result<RelativeTime, InvalidValue> {
        for format in ["%H:%M", "%H:%M:%S"] {
            if let Ok(time) = NaiveTime::parse_from_str(text, format) {
                return Ok(RelativeTime::TimeOfDay(time));
            }
        }
        let seconds = parse_duration_s(text)
            .map_err(|_| InvalidValue::NeitherTimeNorDuration(text.to_owned()))?;
        Ok(RelativeTime::Delay((seconds * 1000.0) as u64))
    }
}

/// Parses a duration such as `2h 30m` and returns seconds.
pub(crate) fn parse_duration_s(text: &str) -> Result<f64, InvalidValue> {
    match humantime::parse_duration(text) {
        Ok(duration) if (1.0..=MAX_DURATION_S).contains(&duration.as_secs_f64()) => {
            Ok(duration.as_secs_f64())
        }
        Ok(_) => Err(InvalidValue::DurationOutOfRange(text.to_owned())),
        Err(_) => Err(InvalidValue::NotADuration(text.to_owned())),
    }
}

/// Longest valid duration in seconds; a run may hold jobs for this long.
const MAX_DURATION_S: f64 = 31.0 * 86400.0;

/// When the runs of an entry open.
#[derive(Debug, Clone, PartialEq)]
pub struct Openings {
    zone: Tz,
    first: NaiveDateTime,
    rule: Option<RRule<Unvalidated>>,
}

impl Openings {
    /// Parses the name of a time zone, the first opening in local time such as
    /// `2027-01-04 22:00`, and a recurrence rule as defined by RFC 5545. The error contains the
    /// name of the invalid field and the reason.
    pub(crate) fn parse(
        zone: &str,
        first: &str,
        rule: Option<&str>,
    ) -> Result<Openings, (&'static str, String)> {
        let zone: Tz = zone
            .parse()
            .map_err(|_| ("zone", format!("'{zone}' is not the name of a time zone")))?;
        let invalid_first = |reason: String| ("opens", reason);
        let first = ["%Y-%m-%d %H:%M", "%Y-%m-%dT%H:%M", "%Y-%m-%d %H:%M:%S"]
            .iter()
            .find_map(|format| NaiveDateTime::parse_from_str(first, format).ok())
            .ok_or_else(|| {
                invalid_first(format!("'{first}' is not a time such as 2027-01-04 22:00"))
            })?;
        // The occurrences of a rule are iterated from the first opening, so the range of years
        // limits their number.
        let year = chrono::Datelike::year(&first);
        if !(2000..2200).contains(&year) {
            return Err(invalid_first("the year must be from 2000 to 2199".into()));
        }
        let mut openings = Openings {
            zone,
            first,
            rule: None,
        };
        if let Some(text) = rule {
            let invalid_rule = |reason: String| ("repeat", reason);
            let rule: RRule<Unvalidated> = text
                .trim_start_matches("RRULE:")
                .parse()
                .map_err(|e| invalid_rule(format!("'{text}': {e}")))?;
            if rule.get_freq() == Frequency::Secondly {
                return Err(invalid_rule("runs may open at most once per minute".into()));
            }
            let parts = text.to_ascii_uppercase();
            if openings.is_hourly_or_minutely(&rule)
                && parts.split(';').any(|p| p.starts_with("BY"))
            {
                return Err(invalid_rule(
                    "HOURLY and MINUTELY allow no BY part; use FREQ=DAILY;BYHOUR=... instead"
                        .into(),
                ));
            }
            rule.clone()
                .build(floating(first))
                .map_err(|e| invalid_rule(format!("'{text}': {e}")))?;
            openings.rule = Some(rule);
            if openings.local_openings_from(0).next().is_none() {
                return Err(invalid_rule(format!("'{text}' never occurs")));
            }
        }
        Ok(openings)
    }

    /// Whether the rule recurs hourly or by the minute. Such a rule has too many occurrences to
    /// iterate over all of them.
    fn is_hourly_or_minutely(&self, rule: &RRule<Unvalidated>) -> bool {
        matches!(rule.get_freq(), Frequency::Hourly | Frequency::Minutely)
    }

    /// The last opening at or before this time, and the first opening after this time.
    pub fn last_and_next(&self, at: UnixMs) -> (Option<UnixMs>, Option<UnixMs>) {
        let mut last = None;
        for local in self.local_openings_from(at) {
            let opening = unix_ms_of(self.zone, local);
            if opening > at {
                return (last, Some(opening));
            }
            last = Some(opening);
        }
        (last, None)
    }

    /// Openings in local time in ascending order. The first opening returned is not after `at`,
    /// unless all openings are after `at`.
    fn local_openings_from(&self, at: UnixMs) -> Box<dyn Iterator<Item = NaiveDateTime> + '_> {
        let Some(rule) = &self.rule else {
            return Box::new(std::iter::once(self.first));
        };
        let mut start = self.first;
        if self.is_hourly_or_minutely(rule) && rule.get_count().is_none() {
            let minutes = match rule.get_freq() {
                Frequency::Hourly => 60,
                _ => 1,
            } * i64::from(rule.get_interval().max(1));
            // One day earlier, the local time is before `at` whatever the daylight saving change.
            let day_before =
                local_time_of(self.zone, at).and_then(|n| n.checked_sub_days(Days::new(1)));
            let elapsed =
                day_before.map_or(0, |before| (before - self.first).num_minutes() / minutes);
            let shift = TimeDelta::try_minutes(elapsed.max(0) * minutes);
            start = shift
                .and_then(|m| start.checked_add_signed(m))
                .unwrap_or(start);
        }
        // The library's limit ends the search for a rule that never occurs.
        match rule.clone().build(floating(start)) {
            Ok(set) => Box::new((&set.limit()).into_iter().map(|at| at.naive_utc())),
            Err(_) => Box::new(std::iter::empty()),
        }
    }

    /// Converts a time relative to an opening to Unix time.
    pub fn resolve(&self, opening: UnixMs, time: RelativeTime) -> UnixMs {
        match time {
            RelativeTime::Delay(ms) => opening.saturating_add(ms),
            RelativeTime::TimeOfDay(time_of_day) => {
                let Some(local) = local_time_of(self.zone, opening) else {
                    return opening;
                };
                let today = unix_ms_of(self.zone, local.date().and_time(time_of_day));
                if today > opening {
                    return today;
                }
                let next = local.date().checked_add_days(Days::new(1));
                next.map_or(opening, |day| {
                    unix_ms_of(self.zone, day.and_time(time_of_day))
                })
            }
        }
    }
}

/// Local time as a time in UTC, a zone without daylight saving changes.
fn floating(local: NaiveDateTime) -> DateTime<rrule::Tz> {
    rrule::Tz::UTC.from_utc_datetime(&local)
}
