//! The settings file of a controller, which the deployment platform writes.

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
    /// What is wrong with the file.
    pub reason: InvalidSettings,
}

/// Why settings are invalid.
#[derive(Debug, Error, PartialEq)]
pub enum InvalidSettings {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(String),
    /// The file is not valid TOML, or a field is missing or has the wrong type.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line of the error; the first line is 1.
        line: usize,
        /// The parser's message, in one line.
        message: String,
    },
    /// A number is below its lower bound, above 1e9, or not finite.
    #[error("{key}: {value} must be at least {least}")]
    OutOfRange {
        /// Key of the setting.
        key: &'static str,
        /// The invalid value.
        value: f64,
        /// The smallest valid value.
        least: f64,
    },
    /// The name of this controller is empty.
    #[error("member: must not be empty")]
    MissingMember,
    /// The list of peers contains this controller.
    #[error("known: must not list this member, {0}")]
    ListsItselfAsPeer(String),
    /// A guarantee or limit of a team is negative or not finite.
    #[error(
        "facts.teams: team '{team}': {key}: {value} must be a finite number that is not negative"
    )]
    NegativeTeamAmount {
        /// Name of the team.
        team: String,
        /// Key of the setting.
        key: &'static str,
        /// The invalid value.
        value: f64,
    },
}

/// The settings file of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub member: String,
    /// Zone of this controller.
    #[serde(rename = "area", default)]
    pub zone: String,
    /// Address of the public API, for users, workers and health checks.
    pub front: SocketAddr,
    /// Address for requests from the other controllers.
    pub back: SocketAddr,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the external systems that the controller uses.
    pub external: External,
    /// Properties of the deployment.
    pub facts: Facts,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub member: String,
    /// Zone of the controller.
    #[serde(rename = "area", default)]
    pub zone: String,
    /// Address for requests from other controllers.
    pub addr: SocketAddr,
}

/// Addresses of external systems.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The API of the cloud provider.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// Properties of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Teams with their guaranteed and maximum resources.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Time limits of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: KeyValueLimits,
    /// Limits of the cloud provider.
    pub cloud: CloudLimits,
    /// Resources of one controller.
    pub resources: Resources,
    /// Upper bound on the error of any node's wall clock, in milliseconds.
    #[serde(default = "default_skew_ms")]
    pub skew_ms: f64,
}

fn default_skew_ms() -> f64 {
    1000.0
}

/// A team. A guarantee or limit of 0 means that the team has none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs that the team's tasks may use at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs that the team's tasks may use at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for the start or the completion of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective; objectives of unknown kinds are ignored.
    pub kind: String,
    /// Job class that the objective covers; jobs of every class if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds within which a job should start.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that should meet the objective.
    #[serde(default)]
    pub share: Option<f64>,
    /// For a deadline: a job that finishes within this multiple of the deadline's length
    /// still counts.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Time limits of the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two heartbeats.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Seconds within which the tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// Limits of the state service, for all controllers together.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValueLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changed keys per second.
    pub write_rps: f64,
    /// Largest size of a value, in KiB.
    pub value_kb: f64,
    /// Most changes in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud provider's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Seconds by which the machine list lags behind the actual machines.
    pub list_lag_s: f64,
}

/// Resources of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Share of one CPU core; one whole core if absent.
    #[serde(default = "default_cpu")]
    pub cpu: f64,
    /// Most sockets that the process may open.
    pub max_sockets: usize,
}

fn default_cpu() -> f64 {
    1.0
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The path of the file, and the first error found.
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
    /// The first error found.
    pub fn parse(text: &str) -> Result<Settings, InvalidSettings> {
        // The error's `Display` form quotes the source over several lines; the log needs
        // one line.
        let settings: Settings = toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map(|s| text[..s.start].lines().count().max(1))
                .unwrap_or(1);
            let message = e.message().replace('\n', " ");
            InvalidSettings::Syntax { line, message }
        })?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the guaranteed and maximum resources of all teams.
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

    fn validate(&self) -> Result<(), InvalidSettings> {
        self.validate_amounts()?;
        if self.member.is_empty() {
            return Err(InvalidSettings::MissingMember);
        }
        if self.peers.iter().any(|p| p.member == self.member) {
            return Err(InvalidSettings::ListsItselfAsPeer(self.member.clone()));
        }
        self.facts.teams.iter().try_for_each(Team::validate)
    }

    fn validate_amounts(&self) -> Result<(), InvalidSettings> {
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
                return Err(InvalidSettings::OutOfRange { key, value, least });
            }
        }
        Ok(())
    }
}

impl Team {
    fn validate(&self) -> Result<(), InvalidSettings> {
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
unknown_field = 3

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
