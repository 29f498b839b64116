//! Operators' entries: `reserve.<name>.<field>`.

use std::collections::BTreeMap;

use jiff::tz::TimeZone;
use thiserror::Error;
use umbersail_policy::TeamLimits;
use umbersail_wire::Priority;

use crate::window::{parse_length, parse_time, parse_zone};
use crate::{Borrow, Terms, Want, When, Window};

/// What the keys of entries begin with.
pub const PREFIX: &str = "reserve.";

/// An entry that can't be used, and which of its keys says so.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct EntryError {
    pub key: String,
    pub reason: String,
}

/// What an entry is checked against.
#[derive(Debug, Clone, Copy)]
pub struct Facts<'a> {
    pub teams: &'a [TeamLimits],
    /// Entries at most.
    pub entries_most: usize,
    /// Machines at most of one entry: its record names them all.
    pub machines_most: u32,
}

/// One reservation as its operator wants it.
#[derive(Debug, Clone)]
pub struct Entry {
    pub name: String,
    pub terms: Terms,
    pub when: When,
}

/// All entries by name.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    entries: BTreeMap<String, Entry>,
}

const FIELDS: [&str; 14] = [
    "team",
    "classes",
    "cpus",
    "memory_gb",
    "machines",
    "zone",
    "from",
    "to",
    "time_zone",
    "recurrence",
    "length",
    "spot",
    "borrow",
    "priority",
];
const GIVE_BACK: &str = "give_back_s";
const GIVE_BACK_S: f64 = 30.0;
const NAME_MOST: usize = 40;

impl Reservations {
    /// Reads the entries among all properties; other keys are left alone.
    ///
    /// # Errors
    /// The first key that can't be used, with the reason.
    pub fn parse(
        properties: &BTreeMap<String, String>,
        facts: &Facts<'_>,
    ) -> Result<Reservations, EntryError> {
        let mut found: BTreeMap<&str, Fields<'_>> = BTreeMap::new();
        for (key, value) in properties {
            let Some(rest) = key.strip_prefix(PREFIX) else {
                continue;
            };
            let fail = |reason: &str| EntryError {
                key: key.clone(),
                reason: reason.to_owned(),
            };
            let (name, field) = rest
                .split_once('.')
                .ok_or_else(|| fail("must be reserve.NAME.FIELD"))?;
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if name.is_empty() || name.len() > NAME_MOST || !name.chars().all(plain) {
                return Err(fail("the name must be of 1 to 40 letters, digits, - and _"));
            }
            if !FIELDS.contains(&field) && field != GIVE_BACK {
                return Err(fail(&format!(
                    "no such field: use {} or {GIVE_BACK}",
                    FIELDS.join(", ")
                )));
            }
            let fields = found.entry(name).or_insert_with(|| Fields {
                name,
                values: BTreeMap::new(),
            });
            fields.values.insert(field, value.trim());
        }
        if found.len() > facts.entries_most {
            return Err(EntryError {
                key: PREFIX.to_owned(),
                reason: format!("{} entries: at most {}", found.len(), facts.entries_most),
            });
        }
        let entries = found
            .into_iter()
            .map(|(name, fields)| Ok((name.to_owned(), fields.entry(facts)?)));
        Ok(Reservations {
            entries: entries.collect::<Result<_, EntryError>>()?,
        })
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}

impl Entry {
    /// The window that holds at this time, or the next one.
    pub fn window_at(&self, now_ms: u64) -> Option<Window> {
        self.when.window_at(now_ms)
    }
}

struct Fields<'a> {
    name: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl Fields<'_> {
    fn fail(&self, field: &str, reason: impl ToString) -> EntryError {
        EntryError {
            key: format!("{PREFIX}{}.{field}", self.name),
            reason: reason.to_string(),
        }
    }

    fn get(&self, field: &str) -> Option<&str> {
        self.values.get(field).copied()
    }

    fn number(&self, field: &str, most: f64) -> Result<Option<f64>, EntryError> {
        let Some(text) = self.get(field) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(value) if (0.0..=most).contains(&value) => Ok(Some(value)),
            _ => Err(self.fail(field, format!("'{text}' must be a number from 0 to {most}"))),
        }
    }

    /// Words between commas, each once.
    fn words(&self, field: &str) -> Result<Vec<String>, EntryError> {
        let mut words: Vec<String> = Vec::new();
        for word in self.get(field).into_iter().flat_map(|text| text.split(',')) {
            let word = word.trim();
            if word.is_empty() || word.contains(char::is_whitespace) {
                return Err(self.fail(field, "must be names between commas"));
            }
            if words.iter().any(|w| w == word) {
                return Err(self.fail(field, format!("'{word}' stands twice")));
            }
            words.push(word.to_owned());
        }
        Ok(words)
    }

    fn entry(self, facts: &Facts<'_>) -> Result<Entry, EntryError> {
        let team = self
            .get("team")
            .ok_or_else(|| self.fail("team", "is missing"))?;
        let limits = facts.teams.iter().find(|t| t.name == team);
        let limits = limits.ok_or_else(|| self.fail("team", format!("no team '{team}'")))?;
        let want = self.want(limits, facts)?;
        let spot = match self.get("spot") {
            None | Some("false") => false,
            Some("true") => true,
            Some(text) => {
                return Err(self.fail("spot", format!("'{text}' must be true or false")));
            }
        };
        let zone = match self.words("zone")?.as_slice() {
            [] => None,
            [zone] => Some(zone.clone()),
            _ => return Err(self.fail("zone", "must be one zone, or left out for any")),
        };
        let priority = match self.get("priority") {
            None | Some("normal") => Priority::Normal,
            Some("low") => Priority::Low,
            Some("high") => Priority::High,
            Some("production") => Priority::Production,
            Some(text) => {
                let reason = format!("'{text}' must be production, high, normal or low");
                return Err(self.fail("priority", reason));
            }
        };
        let give_back_s = self.number(GIVE_BACK, 3600.0)?.unwrap_or(GIVE_BACK_S);
        let when = self.when()?;
        Ok(Entry {
            name: self.name.to_owned(),
            terms: Terms {
                team: team.to_owned(),
                classes: self.words("classes")?,
                want,
                zone,
                spot,
                borrow: self.borrow()?,
                priority,
                give_back_s,
            },
            when,
        })
    }

    fn want(&self, limits: &TeamLimits, facts: &Facts<'_>) -> Result<Want, EntryError> {
        let cpus = self.number("cpus", 1e6)?;
        let memory_gb = self.number("memory_gb", 1e7)?;
        if self.get("machines").is_none() {
            let (cpus, memory_gb) = (cpus.unwrap_or(0.0), memory_gb.unwrap_or(0.0));
            if cpus + memory_gb <= 0.0 {
                return Err(self.fail("cpus", "is missing: set cpus, memory_gb or machines"));
            }
            if limits.max_cpus > 0.0 && cpus > limits.max_cpus {
                let reason = format!(
                    "{cpus} is beyond the limit of team '{}', {}",
                    limits.name, limits.max_cpus
                );
                return Err(self.fail("cpus", reason));
            }
            return Ok(Want::Amounts { cpus, memory_gb });
        }
        for (field, value) in [("cpus", cpus), ("memory_gb", memory_gb)] {
            if value.is_some() {
                return Err(self.fail(field, "contradicts machines: set one of the two"));
            }
        }
        let mut machines = BTreeMap::new();
        let mut sum = 0u32;
        for word in self.words("machines")? {
            let parsed = word
                .split_once(':')
                .and_then(|(name, count)| Some((name.trim(), count.trim().parse::<u32>().ok()?)));
            let Some((name, count)) = parsed.filter(|(name, count)| {
                !name.is_empty() && (1..=facts.machines_most).contains(count)
            }) else {
                let reason = format!(
                    "'{word}' must be TYPE:NUMBER, of 1 to {} machines",
                    facts.machines_most
                );
                return Err(self.fail("machines", reason));
            };
            sum += count;
            if machines.insert(name.to_owned(), count).is_some() {
                return Err(self.fail("machines", format!("type '{name}' stands twice")));
            }
        }
        if machines.is_empty() || sum > facts.machines_most {
            let reason = format!("{sum} machines: 1 to {}", facts.machines_most);
            return Err(self.fail("machines", reason));
        }
        Ok(Want::Machines(machines))
    }

    fn borrow(&self) -> Result<Borrow, EntryError> {
        let mut words = self.words("borrow")?;
        if words.is_empty() {
            return Ok(Borrow {
                savable: true,
                classes: Vec::new(),
            });
        }
        if words.iter().any(|w| w == "nobody") {
            if words.len() > 1 {
                return Err(self.fail("borrow", "'nobody' contradicts the others"));
            }
            return Ok(Borrow::default());
        }
        let savable = words.iter().any(|w| w == "savable");
        words.retain(|w| w != "savable");
        Ok(Borrow {
            savable,
            classes: words,
        })
    }

    fn when(&self) -> Result<When, EntryError> {
        let zone: Option<TimeZone> = self
            .get("time_zone")
            .map(|text| parse_zone(text).map_err(|e| self.fail("time_zone", e)))
            .transpose()?;
        let time = |field: &str| {
            self.get(field)
                .map(|text| parse_time(text, zone.as_ref()).map_err(|e| self.fail(field, e)))
                .transpose()
        };
        let (from, to) = (time("from")?, time("to")?);
        let Some(pattern) = self.get("recurrence") else {
            if self.get("length").is_some() {
                return Err(self.fail("length", "goes with recurrence only: set to"));
            }
            let from = from.ok_or_else(|| self.fail("from", "is missing"))?;
            let to = to.ok_or_else(|| self.fail("to", "is missing"))?;
            return When::once(from, to).map_err(|e| self.fail("to", e));
        };
        let zone = zone
            .ok_or_else(|| self.fail("time_zone", "is missing: a recurrence is by local time"))?;
        let length = self
            .get("length")
            .ok_or_else(|| self.fail("length", "is missing: how long each window is"))?;
        let length_ms = parse_length(length).map_err(|e| self.fail("length", e))?;
        When::recurring(pattern, &zone, length_ms, from, to).map_err(|e| {
            let field = match e {
                crate::WhenError::Overlaps { .. } => "length",
                crate::WhenError::Reversed => "to",
                _ => "recurrence",
            };
            self.fail(field, e)
        })
    }
}
