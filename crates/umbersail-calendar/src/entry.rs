//! Reads the entries of the calendar from the operators' properties.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::openings::{InvalidValue, Openings, RelativeTime, UnixMs, parse_duration_s};

/// Prefix of the keys of all entries.
pub const PREFIX: &str = "calendar.";

// Limits on the properties, which bound the size of tables and records.
const MAX_ENTRIES: usize = 256;
const MAX_STEPS: usize = 16;
const MAX_CLASSES: usize = 16;
const MAX_NAME_BYTES: usize = 60;
const MAX_COUNT: u32 = 100_000;

/// Why a property is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct EntryError {
    /// Key of the property.
    pub key: String,
    /// What is wrong with the property.
    pub reason: String,
}

/// An entry of the calendar: a sequence of steps that recurs, and when each run is due.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Team whose jobs belong to the runs of the entry.
    pub team: String,
    /// When the runs of the entry open.
    pub openings: Openings,
    pub(crate) due: RelativeTime,
    pub(crate) steps: Vec<Step>,
    /// Distinguishes versions of the entry.
    pub(crate) fingerprint: String,
}

/// A step: the classes of its jobs, and when the step closes, after which it accepts no more
/// jobs.
#[derive(Debug, Clone, PartialEq, Default)]
pub(crate) struct Step {
    pub classes: Vec<String>,
    pub count: Option<u32>,
    pub quiet_s: Option<f64>,
    pub until: Option<RelativeTime>,
    /// Expected duration in seconds until a duration has been measured.
    pub expected_s: Option<f64>,
}

impl Entry {
    /// The classes of each step, in the order of the steps.
    pub fn steps(&self) -> impl Iterator<Item = &[String]> {
        self.steps.iter().map(|step| step.classes.as_slice())
    }

    /// Due time of the run that opens at this time.
    pub fn due(&self, opening: UnixMs) -> UnixMs {
        self.openings.resolve(opening, self.due)
    }
}

/// The configured entries.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Calendar {
    /// Entries by name.
    pub entries: BTreeMap<String, Entry>,
}

/// The fields of one entry that have not been read yet, as text.
struct Fields<'a> {
    name: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl Fields<'_> {
    fn key(&self, field: &str) -> String {
        format!("{PREFIX}{}.{field}", self.name)
    }

    fn error(&self, field: &str, reason: impl Into<String>) -> EntryError {
        EntryError {
            key: self.key(field),
            reason: reason.into(),
        }
    }

    fn take(&mut self, field: &str) -> Option<&str> {
        self.values.remove(field).map(str::trim)
    }

    fn required(&mut self, field: &str) -> Result<String, EntryError> {
        match self.take(field) {
            Some(text) if !text.is_empty() && text.len() <= 200 => Ok(text.to_owned()),
            Some(_) => Err(self.error(field, "must have 1 to 200 bytes")),
            None => Err(self.error(field, "is missing")),
        }
    }

    /// Reads an optional field with the function `parse`.
    fn optional<T>(
        &mut self,
        field: &str,
        parse: impl FnOnce(&str) -> Result<T, InvalidValue>,
    ) -> Result<Option<T>, EntryError> {
        let value = self.take(field).map(parse).transpose();
        value.map_err(|reason| self.error(field, reason.to_string()))
    }

    fn entry(mut self) -> Result<Entry, EntryError> {
        let text = format!("{:?}", self.values);
        let team = self.required("team")?;
        let zone = self.required("zone")?;
        let opens = self.required("opens")?;
        let repeat = self.take("repeat").map(str::to_owned);
        let openings = Openings::parse(&zone, &opens, repeat.as_deref())
            .map_err(|(field, reason)| self.error(field, reason))?;
        let due = self.required("due")?;
        let due =
            RelativeTime::parse(&due).map_err(|reason| self.error("due", reason.to_string()))?;
        let mut steps: Vec<Step> = Vec::new();
        let mut seen: BTreeSet<String> = BTreeSet::new();
        while steps.len() < MAX_STEPS {
            let prefix = format!("step.{}.", steps.len() + 1);
            if !self.values.keys().any(|field| field.starts_with(&prefix)) {
                break;
            }
            let step = self.step(&prefix)?;
            for class in &step.classes {
                if !seen.insert(class.clone()) {
                    let field = format!("{prefix}classes");
                    return Err(self.error(&field, format!("class {class} is listed twice")));
                }
            }
            steps.push(step);
        }
        if steps.is_empty() {
            return Err(self.error("step.1.classes", "is missing"));
        }
        if let Some(field) = self.values.keys().next() {
            let reason = if field.starts_with("step.") {
                format!("steps must be numbered from 1 to {MAX_STEPS} without a gap")
            } else {
                "not a field of an entry".into()
            };
            return Err(self.error(field, reason));
        }
        Ok(Entry {
            team,
            openings,
            due,
            steps,
            fingerprint: format!("{:016x}", xxh3_64(text.as_bytes())),
        })
    }

    fn step(&mut self, prefix: &str) -> Result<Step, EntryError> {
        let field = |name: &str| format!("{prefix}{name}");
        let classes = self.required(&field("classes"))?;
        let classes: Vec<String> = classes.split(',').map(|c| c.trim().to_owned()).collect();
        if classes.len() > MAX_CLASSES || classes.iter().any(String::is_empty) {
            let reason = format!("must be 1 to {MAX_CLASSES} classes separated by commas");
            return Err(self.error(&field("classes"), reason));
        }
        let count = self.optional(&field("count"), |text| match text.parse::<u32>() {
            Ok(count) if (1..=MAX_COUNT).contains(&count) => Ok(count),
            _ => Err(InvalidValue::Count {
                text: text.to_owned(),
                max: MAX_COUNT,
            }),
        })?;
        let quiet_s = self.optional(&field("quiet"), parse_duration_s)?;
        let until = self.optional(&field("until"), RelativeTime::parse)?;
        let expected_s = self.optional(&field("takes"), parse_duration_s)?;
        if count.is_none() && quiet_s.is_none() && until.is_none() {
            let reason =
                "count, quiet or until must be set as well: they define when the step closes";
            return Err(self.error(&field("classes"), reason));
        }
        // Without this check, an unknown field of this step would be reported as a gap in the
        // numbers of the steps.
        let unknown = self.values.keys().find(|field| field.starts_with(prefix));
        if let Some(unknown) = unknown {
            return Err(self.error(unknown, "not a field of a step"));
        }
        Ok(Step {
            classes,
            count,
            quiet_s,
            until,
            expected_s,
        })
    }
}

impl Calendar {
    /// Reads the entries from properties whose keys begin with [`PREFIX`] and ignores other
    /// keys.
    ///
    /// # Errors
    /// The first invalid property, with the reason.
    pub fn parse(properties: &BTreeMap<String, String>) -> Result<Calendar, EntryError> {
        let mut by_name: BTreeMap<&str, BTreeMap<&str, &str>> = BTreeMap::new();
        for (key, text) in properties {
            let Some(rest) = key.strip_prefix(PREFIX) else {
                continue;
            };
            let error = |reason: &str| EntryError {
                key: key.clone(),
                reason: reason.into(),
            };
            let (name, field) = rest
                .split_once('.')
                .ok_or_else(|| error("must be calendar.<name>.<field>"))?;
            let is_valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_valid) {
                return Err(error(
                    "the name must have 1 to 60 characters: lowercase letters, digits and hyphens",
                ));
            }
            by_name.entry(name).or_default().insert(field, text);
            if by_name.len() > MAX_ENTRIES {
                return Err(error("more than 256 entries"));
            }
        }
        let mut calendar = Calendar::default();
        for (name, values) in by_name {
            let entry = Fields { name, values }.entry()?;
            calendar.entries.insert(name.to_owned(), entry);
        }
        calendar.check_classes()?;
        Ok(calendar)
    }

    /// Checks that no two entries list the same class of the same team, because a job belongs to
    /// at most one run.
    fn check_classes(&self) -> Result<(), EntryError> {
        let mut seen: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for (name, entry) in &self.entries {
            for (index, step) in entry.steps.iter().enumerate() {
                for class in &step.classes {
                    if let Some(other) = seen.insert((&entry.team, class), name) {
                        return Err(EntryError {
                            key: format!("{PREFIX}{name}.step.{}.classes", index + 1),
                            reason: format!(
                                "class {class} of team {} is also listed in entry {other}",
                                entry.team
                            ),
                        });
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks that all teams are known. An entry of an unknown team would never accept a job.
    ///
    /// # Errors
    /// The key of the first unknown team.
    pub fn check_teams(&self, known: impl Fn(&str) -> bool) -> Result<(), EntryError> {
        let unknown = self.entries.iter().find(|(_, e)| !known(&e.team));
        match unknown {
            Some((name, entry)) => Err(EntryError {
                key: format!("{PREFIX}{name}.team"),
                reason: format!("team {} is unknown", entry.team),
            }),
            None => Ok(()),
        }
    }

    /// Whether the calendar has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
