//! Entries of the calendar, read from operators' properties.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::openings::{InvalidValue, Openings, RelativeTime, UnixMs, parse_duration_s};

/// Prefix of the keys of all entries.
pub const PREFIX: &str = "calendar.";

// Limits on a file, so that tables and records stay small.
const MAX_ENTRIES: usize = 256;
const MAX_STEPS: usize = 16;
const MAX_CLASSES: usize = 16;
const MAX_NAME_BYTES: usize = 60;
const MAX_COUNT: u32 = 100_000;

/// A property that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct EntryError {
    /// Key of the property.
    pub key: String,
    /// Why it can't be used.
    pub reason: String,
}

/// An entry: recurring steps in order, and when all of them are due.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Team whose jobs belong to its runs.
    pub team: String,
    /// When its runs open.
    pub openings: Openings,
    pub(crate) due: RelativeTime,
    pub(crate) steps: Vec<Step>,
    /// Distinguishes versions of the entry.
    pub(crate) fingerprint: String,
}

/// Jobs of these classes, and when the step takes no more of them.
#[derive(Debug, Clone, PartialEq, Default)]
pub(crate) struct Step {
    pub classes: Vec<String>,
    pub count: Option<u32>,
    pub quiet_s: Option<f64>,
    pub until: Option<RelativeTime>,
    /// How long it takes, in seconds, as long as none has been seen.
    pub expected_s: Option<f64>,
}

impl Entry {
    /// The classes of each step, in their order.
    pub fn steps(&self) -> impl Iterator<Item = &[String]> {
        self.steps.iter().map(|step| step.classes.as_slice())
    }

    /// When the run that opens at this moment is due.
    pub fn due(&self, opening: UnixMs) -> UnixMs {
        self.openings.resolve(opening, self.due)
    }
}

/// The entries of a file, by name.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Calendar {
    /// Entries by name.
    pub entries: BTreeMap<String, Entry>,
}

/// The fields of one entry with their keys.
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

    /// A field that may be left out, read by `read`.
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
                    return Err(self.error(&field, format!("class {class} stands twice")));
                }
            }
            steps.push(step);
        }
        if steps.is_empty() {
            return Err(self.error("step.1.classes", "is missing"));
        }
        if let Some(field) = self.values.keys().next() {
            let reason = if field.starts_with("step.") {
                format!("steps are numbered from 1 to {MAX_STEPS} without a gap")
            } else {
                "is no field of an entry".into()
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
            let reason = format!("must be up to {MAX_CLASSES} classes, with commas between");
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
            let reason = "a step closes by count, quiet or until: one of them at least";
            return Err(self.error(&field("classes"), reason));
        }
        // For what is left under this step's number to be told as no field.
        let left = self.values.keys().find(|field| field.starts_with(prefix));
        if let Some(left) = left {
            return Err(self.error(left, "is no field of a step"));
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
    /// Reads the entries from properties whose keys begin with [`PREFIX`]; others are
    /// ignored.
    ///
    /// # Errors
    /// The first key that can't be used, and why.
    pub fn parse(pairs: &BTreeMap<String, String>) -> Result<Calendar, EntryError> {
        let mut by_name: BTreeMap<&str, BTreeMap<&str, &str>> = BTreeMap::new();
        for (key, text) in pairs {
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
            let good = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(good) {
                return Err(error(
                    "an entry's name is of small letters, digits and hyphens, 60 at most",
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

    /// A job belongs to one run at most, so no two entries name the same class of a
    /// team.
    fn check_classes(&self) -> Result<(), EntryError> {
        let mut seen: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for (name, entry) in &self.entries {
            for (index, step) in entry.steps.iter().enumerate() {
                for class in &step.classes {
                    if let Some(other) = seen.insert((&entry.team, class), name) {
                        return Err(EntryError {
                            key: format!("{PREFIX}{name}.step.{}.classes", index + 1),
                            reason: format!(
                                "class {class} of team {} stands in entry {other} too",
                                entry.team
                            ),
                        });
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks that all teams are known: entries of others would never take jobs.
    ///
    /// # Errors
    /// Names the key of the first unknown team.
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

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
