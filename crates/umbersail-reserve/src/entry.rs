//! Reads the operators' entries from properties with keys of the form `reserve.<name>.<field>`.

use std::collections::BTreeMap;

use jiff::tz::TimeZone;
use thiserror::Error;
use umbersail_policy::TeamLimits;
use umbersail_wire::Priority;

use crate::window::{parse_length, parse_time, parse_zone};
use crate::{BorrowPolicy, Demand, Schedule, Terms, Window};

/// Prefix of the keys of all entries.
pub const PREFIX: &str = "reserve.";

/// Why an entry is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key '{key}': {reason}")]
pub struct EntryError {
    /// Key of the property that is invalid or missing.
    pub key: String,
    /// What is wrong with the property.
    pub reason: String,
}

/// The teams and limits that entries are validated against.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits<'a> {
    /// The known teams with their limits.
    pub teams: &'a [TeamLimits],
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum number of machines of one entry: the record of the entry contains the names of
    /// all its machines.
    pub max_machines: u32,
}

/// A reservation as configured by an operator.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the entry.
    pub name: String,
    /// What is reserved, for which work and under which conditions.
    pub terms: Terms,
    /// The time windows.
    pub schedule: Schedule,
}

/// The configured reservations by name.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    entries: BTreeMap<String, Entry>,
}

/// Fields of an entry, without [`GIVE_BACK_FIELD`].
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
/// Field with the maximum time in seconds that a borrower may need to save a checkpoint.
const GIVE_BACK_FIELD: &str = "give_back_s";
/// Default of [`GIVE_BACK_FIELD`].
const DEFAULT_CHECKPOINT_S: f64 = 30.0;
const MAX_NAME_BYTES: usize = 40;

impl Reservations {
    /// Reads the entries from all properties and ignores keys with another prefix.
    ///
    /// # Errors
    /// The first invalid property, with the reason.
    pub fn parse(
        properties: &BTreeMap<String, String>,
        limits: &EntryLimits<'_>,
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
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(plain) {
                return Err(fail(
                    "the name must have 1 to 40 characters: letters, digits, - and _",
                ));
            }
            if !FIELDS.contains(&field) && field != GIVE_BACK_FIELD {
                return Err(fail(&format!(
                    "no such field; the fields are {} and {GIVE_BACK_FIELD}",
                    FIELDS.join(", ")
                )));
            }
            let fields = found.entry(name).or_insert_with(|| Fields {
                name,
                values: BTreeMap::new(),
            });
            fields.values.insert(field, value.trim());
        }
        if found.len() > limits.max_entries {
            return Err(EntryError {
                key: PREFIX.to_owned(),
                reason: format!(
                    "{} entries exceed the maximum of {}",
                    found.len(),
                    limits.max_entries
                ),
            });
        }
        let entries = found
            .into_iter()
            .map(|(name, fields)| Ok((name.to_owned(), fields.entry(limits)?)));
        Ok(Reservations {
            entries: entries.collect::<Result<_, EntryError>>()?,
        })
    }

    /// Whether no reservation is configured.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry of this name.
    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// All entries, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}

impl Entry {
    /// The window that contains this time, or else the next window; `None` if all windows have
    /// ended.
    pub fn window_at(&self, now_ms: u64) -> Option<Window> {
        self.schedule.window_at(now_ms)
    }
}

/// The fields of one entry as text.
struct Fields<'a> {
    name: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl Fields<'_> {
    fn error(&self, field: &str, reason: impl ToString) -> EntryError {
        EntryError {
            key: format!("{PREFIX}{}.{field}", self.name),
            reason: reason.to_string(),
        }
    }

    fn get(&self, field: &str) -> Option<&str> {
        self.values.get(field).copied()
    }

    fn number(&self, field: &str, max: f64) -> Result<Option<f64>, EntryError> {
        let Some(text) = self.get(field) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(value) if (0.0..=max).contains(&value) => Ok(Some(value)),
            _ => Err(self.error(field, format!("'{text}' must be a number from 0 to {max}"))),
        }
    }

    /// Parses names separated by commas, without duplicates; empty if the field is absent.
    fn names(&self, field: &str) -> Result<Vec<String>, EntryError> {
        let mut names: Vec<String> = Vec::new();
        for item in self.get(field).into_iter().flat_map(|text| text.split(',')) {
            let item = item.trim();
            if item.is_empty() || item.contains(char::is_whitespace) {
                return Err(self.error(field, "must be names separated by commas"));
            }
            if names.iter().any(|name| name == item) {
                return Err(self.error(field, format!("'{item}' is listed twice")));
            }
            names.push(item.to_owned());
        }
        Ok(names)
    }

    fn entry(self, limits: &EntryLimits<'_>) -> Result<Entry, EntryError> {
        let team = self
            .get("team")
            .ok_or_else(|| self.error("team", "is missing"))?;
        let team_limits = limits.teams.iter().find(|t| t.name == team);
        let team_limits =
            team_limits.ok_or_else(|| self.error("team", format!("team '{team}' is unknown")))?;
        let demand = self.demand(team_limits, limits)?;
        let spot = match self.get("spot") {
            None | Some("false") => false,
            Some("true") => true,
            Some(text) => {
                return Err(self.error("spot", format!("'{text}' must be true or false")));
            }
        };
        let zone = match self.names("zone")?.as_slice() {
            [] => None,
            [zone] => Some(zone.clone()),
            _ => return Err(self.error("zone", "must be one zone, or absent for any zone")),
        };
        let priority = match self.get("priority") {
            None | Some("normal") => Priority::Normal,
            Some("low") => Priority::Low,
            Some("high") => Priority::High,
            Some("production") => Priority::Production,
            Some(text) => {
                let reason = format!("'{text}' must be production, high, normal or low");
                return Err(self.error("priority", reason));
            }
        };
        let max_checkpoint_s = self
            .number(GIVE_BACK_FIELD, 3600.0)?
            .unwrap_or(DEFAULT_CHECKPOINT_S);
        let schedule = self.schedule()?;
        Ok(Entry {
            name: self.name.to_owned(),
            terms: Terms {
                team: team.to_owned(),
                classes: self.names("classes")?,
                demand,
                zone,
                spot,
                borrow: self.borrow()?,
                priority,
                max_checkpoint_s,
            },
            schedule,
        })
    }

    fn demand(&self, team: &TeamLimits, limits: &EntryLimits<'_>) -> Result<Demand, EntryError> {
        let cpus = self.number("cpus", 1e6)?;
        let memory_gb = self.number("memory_gb", 1e7)?;
        if self.get("machines").is_none() {
            let (cpus, memory_gb) = (cpus.unwrap_or(0.0), memory_gb.unwrap_or(0.0));
            if cpus + memory_gb <= 0.0 {
                return Err(self.error("cpus", "is missing: set cpus, memory_gb or machines"));
            }
            if team.max_cpus > 0.0 && cpus > team.max_cpus {
                let reason = format!(
                    "{cpus} exceeds the limit of team '{}', {}",
                    team.name, team.max_cpus
                );
                return Err(self.error("cpus", reason));
            }
            return Ok(Demand::Resources { cpus, memory_gb });
        }
        for (field, value) in [("cpus", cpus), ("memory_gb", memory_gb)] {
            if value.is_some() {
                return Err(self.error(field, "cannot be combined with machines"));
            }
        }
        let mut machines = BTreeMap::new();
        let mut sum = 0u32;
        for item in self.names("machines")? {
            let parsed = item
                .split_once(':')
                .and_then(|(name, count)| Some((name.trim(), count.trim().parse::<u32>().ok()?)));
            let Some((name, count)) = parsed.filter(|(name, count)| {
                !name.is_empty() && (1..=limits.max_machines).contains(count)
            }) else {
                let reason = format!(
                    "'{item}' must be TYPE:NUMBER with a number from 1 to {}",
                    limits.max_machines
                );
                return Err(self.error("machines", reason));
            };
            sum += count;
            if machines.insert(name.to_owned(), count).is_some() {
                return Err(self.error("machines", format!("type '{name}' is listed twice")));
            }
        }
        if machines.is_empty() || sum > limits.max_machines {
            let reason = format!(
                "{sum} machines: the total must be from 1 to {}",
                limits.max_machines
            );
            return Err(self.error("machines", reason));
        }
        Ok(Demand::Machines(machines))
    }

    fn borrow(&self) -> Result<BorrowPolicy, EntryError> {
        let mut names = self.names("borrow")?;
        if names.is_empty() {
            return Ok(BorrowPolicy {
                checkpointable: true,
                classes: Vec::new(),
            });
        }
        if names.iter().any(|name| name == "nobody") {
            if names.len() > 1 {
                return Err(self.error("borrow", "'nobody' cannot be combined with other values"));
            }
            return Ok(BorrowPolicy::default());
        }
        let checkpointable = names.iter().any(|name| name == "savable");
        names.retain(|name| name != "savable");
        Ok(BorrowPolicy {
            checkpointable,
            classes: names,
        })
    }

    fn schedule(&self) -> Result<Schedule, EntryError> {
        let zone: Option<TimeZone> = self
            .get("time_zone")
            .map(|text| parse_zone(text).map_err(|e| self.error("time_zone", e)))
            .transpose()?;
        let time = |field: &str| {
            self.get(field)
                .map(|text| parse_time(text, zone.as_ref()).map_err(|e| self.error(field, e)))
                .transpose()
        };
        let (from, to) = (time("from")?, time("to")?);
        let Some(pattern) = self.get("recurrence") else {
            if self.get("length").is_some() {
                return Err(self.error("length", "valid with recurrence only; set to instead"));
            }
            let from = from.ok_or_else(|| self.error("from", "is missing"))?;
            let to = to.ok_or_else(|| self.error("to", "is missing"))?;
            return Schedule::once(from, to).map_err(|e| self.error("to", e));
        };
        let zone = zone
            .ok_or_else(|| self.error("time_zone", "is missing: a recurrence is in local time"))?;
        let length = self
            .get("length")
            .ok_or_else(|| self.error("length", "is missing: the duration of each window"))?;
        let length_ms = parse_length(length).map_err(|e| self.error("length", e))?;
        Schedule::recurring(pattern, &zone, length_ms, from, to).map_err(|e| {
            let field = match e {
                crate::ScheduleError::Overlapping { .. } => "length",
                crate::ScheduleError::EndBeforeStart => "to",
                _ => "recurrence",
            };
            self.error(field, e)
        })
    }
}
