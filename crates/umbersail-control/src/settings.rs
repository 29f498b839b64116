//! The platform's settings file.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;
use umbersail_policy::TeamLimits;

/// A settings file that can't be used.
#[derive(Debug, Error, PartialEq)]
#[error("{file}: {reason}")]
pub struct SettingsError {
    /// Path of the file.
    pub file: String,
    /// What is wrong with it.
    pub reason: InvalidSettings,
}

/// What is wrong with settings.
#[derive(Debug, Error, PartialEq)]
pub enum InvalidSettings {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(String),
    /// Not TOML, or not of the expected form.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line of the mistake, from 1 on.
        line: usize,
        /// The parser's words, in one line.
        message: String,
    },
    /// A number is below its bound, or none.
    #[error("{key}: {value} must be at least {least}")]
    TooSmall {
        /// The key.
        key: &'static str,
        /// The value.
        value: f64,
        /// The least valid value.
        least: f64,
    },
    /// This node has no name.
    #[error("member: must not be empty")]
    NoMember,
    /// This node stands among its own peers.
    #[error("known: names this member, {0}")]
    KnowsItself(String),
    /// A team's amount is negative, or none.
    #[error("facts.teams {team}: {key}: {value} must not be negative")]
    NegativeTeamAmount {
        /// The team.
        team: String,
        /// The key.
        key: &'static str,
        /// The value.
        value: f64,
    },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub member: String,
    #[serde(rename = "area", default)]
    pub zone: String,
    pub front: SocketAddr,
    pub back: SocketAddr,
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    pub external: External,
    pub facts: Facts,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    pub member: String,
    #[serde(rename = "area", default)]
    pub zone: String,
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct External {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateFacts,
    pub cloud: CloudFacts,
    pub resources: Resources,
    /// Bound of the error of any node's time of day, in milliseconds.
    #[serde(default = "a_second")]
    pub skew_ms: f64,
}

fn a_second() -> f64 {
    1000.0
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting or finishing, as far as the settings restate it.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
    /// Of a deadline: how many times its length still counts.
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateFacts {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudFacts {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Share of one core; a whole one if the platform says nothing.
    #[serde(default = "a_whole_core")]
    pub cpu: f64,
    pub max_sockets: usize,
}

fn a_whole_core() -> f64 {
    1.0
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file with what is wrong with it.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let fail = |reason| SettingsError {
            file: file.clone(),
            reason,
        };
        let text = std::fs::read_to_string(path)
            .map_err(|e| fail(InvalidSettings::Unreadable(e.to_string())))?;
        Settings::parse(&text).map_err(fail)
    }

    /// Reads and validates the text of a settings file. Unknown fields are ignored.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn parse(text: &str) -> Result<Settings, InvalidSettings> {
        // The error's own text spans lines with a picture of the place.
        let settings: Settings = toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map(|s| text[..s.start].lines().count().max(1))
                .unwrap_or(1);
            let message = e.message().replace('\n', " ");
            InvalidSettings::Syntax { line, message }
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Guarantees and limits of all teams.
    pub fn team_limits(&self) -> Vec<TeamLimits> {
        let teams = self.facts.teams.iter().map(|t| TeamLimits {
            name: t.name.clone(),
            cpus: t.cpus,
            cpus_max: t.cpus_max,
            gpus: t.gpus,
            gpus_max: t.gpus_max,
        });
        teams.collect()
    }

    fn check(&self) -> Result<(), InvalidSettings> {
        self.check_amounts()?;
        if self.member.is_empty() {
            return Err(InvalidSettings::NoMember);
        }
        if self.peers.iter().any(|p| p.member == self.member) {
            return Err(InvalidSettings::KnowsItself(self.member.clone()));
        }
        self.facts.teams.iter().try_for_each(Team::check)
    }

    fn check_amounts(&self) -> Result<(), InvalidSettings> {
        let facts = &self.facts;
        let amounts = [
            ("facts.workers.report_s", facts.workers.report_s, 0.05),
            ("facts.workers.lease_s", facts.workers.lease_s, 0.5),
            ("facts.workers.cancel_s", facts.workers.cancel_s, 0.5),
            ("facts.state.rps", facts.state.rps, 1.0),
            ("facts.state.write_rps", facts.state.write_rps, 1.0),
            ("facts.state.value_kb", facts.state.value_kb, 1.0),
            ("facts.state.txn_ops", facts.state.txn_ops as f64, 4.0),
            ("facts.cloud.rps", facts.cloud.rps, 0.1),
            ("facts.cloud.list_lag_s", facts.cloud.list_lag_s, 0.0),
            ("facts.resources.cpu", facts.resources.cpu, 1e-6),
            (
                "facts.resources.max_sockets",
                facts.resources.max_sockets as f64,
                20.0,
            ),
        ];
        for (key, value, least) in amounts {
            if !value.is_finite() || value < least || value > 1e9 {
                return Err(InvalidSettings::TooSmall { key, value, least });
            }
        }
        Ok(())
    }
}

impl Team {
    fn check(&self) -> Result<(), InvalidSettings> {
        let amounts = [
            ("cpus", self.cpus),
            ("cpus_max", self.cpus_max),
            ("gpus", self.gpus),
            ("gpus_max", self.gpus_max),
        ];
        for (key, value) in amounts {
            if !value.is_finite() || value < 0.0 {
                return Err(InvalidSettings::NegativeTeamAmount {
                    team: self.name.clone(),
                    key,
                    value,
                });
            }
        }
        Ok(())
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub(crate) const EXAMPLE: &str = r#"
member = "bothy-0"
area = "a"
front = "127.0.0.1:8080"
back = "127.0.0.1:8081"
field_of_the_future = 3

[[known]]
member = "bothy-1"
area = "b"
addr = "127.0.0.1:8082"

[external]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"

[facts]
size = 2

[[facts.teams]]
name = "t"
cpus = 16.0
cpus_max = 32.0

[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0

[facts.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 20

[facts.cloud]
rps = 5.0
list_lag_s = 4.0

[facts.resources]
max_sockets = 600
"#;

    #[test]
    fn unknown_fields_are_ignored_and_errors_name_key_and_reason() {
        let settings = Settings::parse(EXAMPLE).unwrap();
        assert_eq!(settings.peers.len(), 1);
        let error = Settings::parse(&EXAMPLE.replace("lease_s = 10.0", "lease_s = -1.0"));
        let error = error.unwrap_err().to_string();
        assert!(error.contains("facts.workers.lease_s"), "{error}");
        let error = Settings::parse(&EXAMPLE.replace("127.0.0.1:8443", "nowhere")).unwrap_err();
        let error = error.to_string();
        assert!(!error.contains('\n') && error.contains("line"), "{error}");
        let error = Settings::parse(&EXAMPLE.replace("bothy-1", "bothy-0")).unwrap_err();
        let error = error.to_string();
        assert!(error.contains("known"), "{error}");
        assert!(Settings::parse("member = 5").is_err());
    }
}
