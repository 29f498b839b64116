//! When runs open and are due: recurrence and time zones, with bundled data.
//!
//! A rule recurs in the zone's own time, and each time found is then looked up in
//! the zone. So a time that the clocks skip is taken as if they had not yet been
//! moved, and one that they repeat counts once, the first time.

use chrono::{DateTime, Days, NaiveDateTime, NaiveTime, Offset, TimeDelta, TimeZone, Utc};
use chrono_tz::Tz;
use rrule::{Frequency, RRule, Unvalidated};
use thiserror::Error;

/// Milliseconds of the time of day since 1970.
pub type UnixMs = u64;

/// The time at which clocks in a zone show `local`. A skipped time counts as if the
/// clocks had not been moved; of a repeated one the first counts.
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

fn local_of(zone: Tz, at: UnixMs) -> Option<NaiveDateTime> {
    let at = DateTime::from_timestamp_millis(i64::try_from(at).ok()?)?;
    Some(at.with_timezone(&zone).naive_local())
}

/// The text of a field that is not the value that it should be.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidValue {
    /// Neither a time of day nor a span.
    #[error("'{0}' is neither a time of day such as 06:00 nor a span such as 2h 30m")]
    NeitherTimeNorDuration(String),
    /// A span that is too short or too long.
    #[error("'{0}' must be from 1s to 31days")]
    DurationOutOfRange(String),
    /// Not a span.
    #[error("'{0}' is no span such as 2h 30m")]
    NotADuration(String),
    /// Not a number of jobs from 1 on, or too many.
    #[error("'{text}' must be a number from 1 to {max}")]
    Count {
        /// The text.
        text: String,
        /// The largest valid number.
        max: u32,
    },
}

/// A time that follows an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelativeTime {
    /// When clocks in the zone show this next.
    TimeOfDay(NaiveTime),
    /// So many milliseconds later.
    Delay(u64),
}

impl RelativeTime {
    /// `06:00`, or a span as in `2h 30m`.
    pub(crate) fn parse(text: &str) -> Result<RelativeTime, InvalidValue> {
        for form in ["%H:%M", "%H:%M:%S"] {
            if let Ok(time) = NaiveTime::parse_from_str(text, form) {
                return Ok(RelativeTime::TimeOfDay(time));
            }
        }
        let seconds = parse_duration_s(text)
            .map_err(|_| InvalidValue::NeitherTimeNorDuration(text.to_owned()))?;
        Ok(RelativeTime::Delay((seconds * 1000.0) as u64))
    }
}

/// A span such as `2h 30m`, in seconds.
pub(crate) fn parse_duration_s(text: &str) -> Result<f64, InvalidValue> {
    match humantime::parse_duration(text) {
        Ok(span) if (1.0..=MAX_DURATION_S).contains(&span.as_secs_f64()) => Ok(span.as_secs_f64()),
        Ok(_) => Err(InvalidValue::DurationOutOfRange(text.to_owned())),
        Err(_) => Err(InvalidValue::NotADuration(text.to_owned())),
    }
}

/// Longest span in seconds: a run may hold back jobs for as long.
const MAX_DURATION_S: f64 = 31.0 * 86400.0;

/// When the runs of an entry open.
#[derive(Debug, Clone, PartialEq)]
pub struct Openings {
    zone: Tz,
    first: NaiveDateTime,
    rule: Option<RRule<Unvalidated>>,
}

impl Openings {
    /// `zone` by its name, `first` as in `2027-01-04 22:00`, `rule` as in RFC 5545.
    /// The error names the field.
    pub(crate) fn parse(
        zone: &str,
        first: &str,
        rule: Option<&str>,
    ) -> Result<Openings, (&'static str, String)> {
        let zone: Tz = zone
            .parse()
            .map_err(|_| ("zone", format!("'{zone}' is no time zone's name")))?;
        let opens = |reason: String| ("opens", reason);
        let first = ["%Y-%m-%d %H:%M", "%Y-%m-%dT%H:%M", "%Y-%m-%d %H:%M:%S"]
            .iter()
            .find_map(|form| NaiveDateTime::parse_from_str(first, form).ok())
            .ok_or_else(|| opens(format!("'{first}' is no time such as 2027-01-04 22:00")))?;
        // A rule is elapsed through from its first time on.
        let year = chrono::Datelike::year(&first);
        if !(2000..2200).contains(&year) {
            return Err(opens("the year must be from 2000 to 2199".into()));
        }
        let mut openings = Openings {
            zone,
            first,
            rule: None,
        };
        if let Some(text) = rule {
            let repeat = |reason: String| ("repeat", reason);
            let rule: RRule<Unvalidated> = text
                .trim_start_matches("RRULE:")
                .parse()
                .map_err(|e| repeat(format!("'{text}': {e}")))?;
            if rule.get_freq() == Frequency::Secondly {
                return Err(repeat("runs open once a minute at most".into()));
            }
            let parts = text.to_ascii_uppercase();
            if openings.is_hourly_or_minutely(&rule)
                && parts.split(';').any(|p| p.starts_with("BY"))
            {
                return Err(repeat(
                    "HOURLY and MINUTELY take no BY part; write FREQ=DAILY;BYHOUR=...".into(),
                ));
            }
            rule.clone()
                .build(floating(first))
                .map_err(|e| repeat(format!("'{text}': {e}")))?;
            openings.rule = Some(rule);
            if openings.local_openings_from(0).next().is_none() {
                return Err(repeat(format!("'{text}' never comes")));
            }
        }
        Ok(openings)
    }

    fn is_hourly_or_minutely(&self, rule: &RRule<Unvalidated>) -> bool {
        matches!(rule.get_freq(), Frequency::Hourly | Frequency::Minutely)
    }

    /// The last opening at or before this time, and the first one after it.
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

    /// Openings in local time from one on that is not after `at`, if there is one.
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
            // A day before is before it however the clocks are moved.
            let day_before = local_of(self.zone, at).and_then(|n| n.checked_sub_days(Days::new(1)));
            let elapsed =
                day_before.map_or(0, |before| (before - self.first).num_minutes() / minutes);
            let shift = TimeDelta::try_minutes(elapsed.max(0) * minutes);
            start = shift
                .and_then(|m| start.checked_add_signed(m))
                .unwrap_or(start);
        }
        // Limited: a rule that never comes ends the search.
        match rule.clone().build(floating(start)) {
            Ok(set) => Box::new((&set.limit()).into_iter().map(|at| at.naive_utc())),
            Err(_) => Box::new(std::iter::empty()),
        }
    }

    /// The time that follows an opening.
    pub fn resolve(&self, opening: UnixMs, after: RelativeTime) -> UnixMs {
        match after {
            RelativeTime::Delay(ms) => opening.saturating_add(ms),
            RelativeTime::TimeOfDay(time) => {
                let Some(local) = local_of(self.zone, opening) else {
                    return opening;
                };
                let today = unix_ms_of(self.zone, local.date().and_time(time));
                if today > opening {
                    return today;
                }
                let next = local.date().checked_add_days(Days::new(1));
                next.map_or(opening, |day| unix_ms_of(self.zone, day.and_time(time)))
            }
        }
    }
}

/// The zone's own time, as if it were a zone without changes.
fn floating(local: NaiveDateTime) -> DateTime<rrule::Tz> {
    rrule::Tz::UTC.from_utc_datetime(&local)
}
