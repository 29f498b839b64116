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
    MissingMember,
    /// This node stands among its own peers.
    #[error("known: names this member, {0}")]
    ListsItselfAsPeer(String),
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

/// The settings file of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Its name.
    pub member: String,
    /// Its zone.
    #[serde(rename = "area", default)]
    pub zone: String,
    /// Where users, workers and health checks reach it.
    pub front: SocketAddr,
    /// Where the other controllers reach it.
    pub back: SocketAddr,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// The systems that it uses.
    pub external: External,
    /// What is known of the deployment.
    pub facts: Facts,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub member: String,
    /// Its zone.
    #[serde(rename = "area", default)]
    pub zone: String,
    /// Where it answers controllers.
    pub addr: SocketAddr,
}

/// Addresses of outside systems.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What is known of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Teams with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The workers' intervals.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: KeyValueLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What one controller has.
    pub resources: Resources,
    /// Bound of the error of any node's time of day, in milliseconds.
    #[serde(default = "a_second")]
    pub skew_ms: f64,
}

fn a_second() -> f64 {
    1000.0
}

/// A team. Amounts of 0 mean none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs that it is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs that its tasks may use at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that it is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs that its tasks may use at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting or finishing, as far as the settings restate it.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What it is about; those of an unknown kind are ignored.
    pub kind: String,
    /// The class that it is about; none: work of any class.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds within which work should start.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the work for which it should hold.
    #[serde(default)]
    pub share: Option<f64>,
    /// Of a deadline: how many times its length still counts.
    #[serde(default)]
    pub times: Option<f64>,
}

/// The workers' intervals.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two heartbeats.
    pub report_s: f64,
    /// Seconds that a worker's lease lasts.
    pub lease_s: f64,
    /// Seconds within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service, for all controllers together.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValueLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most changes of one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Seconds by which its list is late.
    pub list_lag_s: f64,
}

/// What one controller has.
#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Share of one core; a whole one if the platform says nothing.
    #[serde(default = "a_whole_core")]
    pub cpu: f64,
    /// Most sockets of the process.
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
            guaranteed_cpus: t.cpus,
            max_cpus: t.cpus_max,
            guaranteed_gpus: t.gpus,
            max_gpus: t.gpus_max,
        });
        teams.collect()
    }

    fn check(&self) -> Result<(), InvalidSettings> {
        self.check_amounts()?;
        if self.member.is_empty() {
            return Err(InvalidSettings::MissingMember);
        }
        if self.peers.iter().any(|p| p.member == self.member) {
            return Err(InvalidSettings::ListsItselfAsPeer(self.member.clone()));
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
