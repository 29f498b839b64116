//! Scenario files: their types, JSON Schema and validation.

use std::collections::BTreeSet;
use std::path::Path;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::runs::{self, CalendarRun};

/// An error in a scenario file.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{file}: {key}: {reason}")]
pub struct ScenarioError {
    /// Name of the scenario file.
    pub file: String,
    /// Path of the key in the file, with dots and indices.
    pub key: String,
    /// Why the value of the key is invalid.
    pub reason: String,
}

/// A scenario: a cluster, its load, and the faults injected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One-line description.
    pub title: String,
    /// Seconds during which jobs are submitted.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub length_s: f64,
    /// Seconds that the run continues after `length_s`, unless all jobs end sooner.
    #[serde(default = "Scenario::drain")]
    #[schemars(range(min = 0.0, max = 86400.0))]
    pub drain_s: f64,
    /// Seconds at the start that objectives and costs exclude as warm-up.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 86400.0))]
    pub warm_up_s: f64,
    /// Controllers and their resources.
    pub controllers: Controllers,
    /// Timing of the worker protocol.
    #[serde(default)]
    pub workers: Workers,
    /// Limits of the state service.
    #[serde(default)]
    pub state: State,
    /// Limits and failure rates of the cloud.
    #[serde(default)]
    pub cloud: Cloud,
    /// Image store shared by all machines. Without a store, each machine fetches images at
    /// its own rate, independent of the other machines.
    #[serde(default)]
    pub store: Option<Store>,
    /// Machine types.
    pub machines: Vec<MachineKind>,
    /// Teams with their quotas.
    pub teams: Vec<Team>,
    /// Job classes, which define the load.
    pub classes: Vec<Class>,
    /// Service-level objectives.
    #[serde(default, rename = "aims")]
    pub objectives: Vec<Objective>,
    /// Faults to inject.
    #[serde(default)]
    pub failures: Vec<Failure>,
    /// Calendar runs: sequences of steps, each of which starts after the previous one.
    #[serde(default)]
    pub runs: Vec<CalendarRun>,
    /// Whether the calendar sequences the steps of runs. Otherwise their users submit each
    /// step when the previous one has ended.
    #[serde(default = "Scenario::calendar")]
    pub calendar: bool,
}

impl Scenario {
    fn drain() -> f64 {
        300.0
    }
    fn calendar() -> bool {
        true
    }
}

/// Controllers and their resources.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Controllers {
    /// Number of controllers.
    #[schemars(range(min = 1, max = 15))]
    pub count: usize,
    /// Zones, to which controllers are assigned round-robin.
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Share of one core that each controller may use.
    #[serde(default = "Controllers::core")]
    #[schemars(range(min = 0.001, max = 1.0))]
    pub core: f64,
    /// Limit of the processor time of all controllers together, in seconds of a whole core.
    /// A run that uses more fails, because the controllers could not keep up in real time.
    #[serde(default)]
    #[schemars(range(min = 0.001, max = 1000000.0))]
    pub processor_most_s: Option<f64>,
    /// Limit of open sockets for each controller.
    #[serde(default = "Controllers::sockets")]
    #[schemars(range(min = 50, max = 100000))]
    pub max_sockets: usize,
    /// Seconds from the end of a controller process to its restart.
    #[serde(default = "Controllers::back")]
    #[schemars(range(min = 0.1, max = 600.0))]
    pub back_s: f64,
    /// Maximum error of the wall clock, in milliseconds.
    #[serde(default = "Controllers::skew")]
    #[schemars(range(min = 0.0, max = 60000.0))]
    pub skew_ms: f64,
    /// Operator settings, with the keys of the properties file.
    #[serde(default)]
    pub properties: std::collections::BTreeMap<String, f64>,
    /// Text entries of the properties file, such as `reserve.sale.team = "lots"`.
    #[serde(default)]
    pub entries: std::collections::BTreeMap<String, String>,
}

impl Controllers {
    fn core() -> f64 {
        0.05
    }
    fn sockets() -> usize {
        1000
    }
    fn back() -> f64 {
        4.0
    }
    fn skew() -> f64 {
        1000.0
    }
}

/// Timing of the worker protocol, in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Workers {
    /// Mean interval between the heartbeats of a worker.
    #[schemars(range(min = 0.2, max = 60.0))]
    pub report_s: f64,
    /// Lease of a task: without an acknowledged heartbeat for this long, the worker stops
    /// the task.
    #[schemars(range(min = 1.0, max = 600.0))]
    pub lease_s: f64,
    /// Time limit for a cancellation to take effect.
    #[schemars(range(min = 1.0, max = 600.0))]
    pub cancel_s: f64,
    /// Nominal notice period before a spot machine is reclaimed.
    #[schemars(range(min = 0.0, max = 600.0))]
    pub notice_s: f64,
}

impl Default for Workers {
    fn default() -> Self {
        Workers {
            report_s: 1.5,
            lease_s: 12.0,
            cancel_s: 40.0,
            notice_s: 25.0,
        }
    }
}

/// Limits of the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct State {
    /// Requests per second.
    #[schemars(range(min = 5.0, max = 100000.0))]
    pub rps: f64,
    /// Writes per second.
    #[schemars(range(min = 2.0, max = 100000.0))]
    pub write_rps: f64,
    /// Size limit of a value, in KB.
    #[schemars(range(min = 1.0, max = 1024.0))]
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    #[schemars(range(min = 4, max = 1000))]
    pub txn_ops: usize,
}

impl Default for State {
    fn default() -> Self {
        State {
            rps: 150.0,
            write_rps: 40.0,
            value_kb: 32.0,
            txn_ops: 32,
        }
    }
}

/// Limits and failure rates of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Cloud {
    /// Requests per second.
    #[schemars(range(min = 0.2, max = 1000.0))]
    pub rps: f64,
    /// Nominal delay in seconds until the list of machines shows a change; the actual delay is
    /// 0.8 to 1.6 times as long.
    #[schemars(range(min = 0.0, max = 120.0))]
    pub list_lag_s: f64,
    /// Share of machines that take several times as long to boot.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub late: f64,
    /// Share of machines that never finish booting.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub never: f64,
}

impl Default for Cloud {
    fn default() -> Self {
        Cloud {
            rps: 5.0,
            list_lag_s: 5.0,
            late: 0.03,
            never: 0.01,
        }
    }
}

/// The image store. Workers also serve images to other workers, if a launch command names
/// them as sources.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Total bandwidth of the store.
    #[schemars(range(min = 0.001, max = 100000.0))]
    pub gb_per_s: f64,
    /// Upload bandwidth of a machine, as a share of the fetch rate of its type.
    #[serde(default = "Store::share")]
    #[schemars(range(min = 0.001, max = 100.0))]
    pub up_share: f64,
    /// Size of the pieces in which images are transferred.
    #[serde(default = "Store::piece")]
    #[schemars(range(min = 0.001, max = 100.0))]
    pub piece_gb: f64,
    /// Start of an outage of the store, in seconds.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub out_at_s: f64,
    /// Length of the outage in seconds.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub out_for_s: f64,
}

impl Store {
    fn share() -> f64 {
        1.0
    }
    fn piece() -> f64 {
        0.25
    }
}

/// A machine type and the number of machines available.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    #[schemars(range(min = 0.1, max = 10000.0))]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub gpus: f64,
    /// Memory of a machine in GB.
    #[schemars(range(min = 0.1, max = 100000.0))]
    pub memory_gb: f64,
    /// Price per hour of an on-demand machine.
    #[schemars(range(min = 0.0, max = 10000.0))]
    pub price: f64,
    /// Price per hour of a spot machine.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub spot_price: Option<f64>,
    /// Boot time in seconds.
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub boot_s: f64,
    /// Zones that have machines of this type.
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Size of the image cache in GB.
    #[serde(default = "MachineKind::cache")]
    #[schemars(range(min = 0.0))]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images.
    #[serde(default = "MachineKind::fetch")]
    #[schemars(range(min = 0.001, max = 1000.0))]
    pub fetch_gb_per_s: f64,
    /// On-demand machines available in each zone.
    pub ordinary: usize,
    /// Spot machines available in each zone.
    #[serde(default)]
    pub spot: usize,
    /// On-demand machines running at the start, in all zones together.
    #[serde(default)]
    pub at_start: usize,
}

impl MachineKind {
    fn cache() -> f64 {
        60.0
    }
    fn fetch() -> f64 {
        0.5
    }
}

/// A team with its guaranteed quota and its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs; 0 means no guarantee.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub cpus: f64,
    /// Limit of CPUs in use; 0 means no limit.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub cpus_max: f64,
}

/// Job priority, as in the user protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Below `normal`.
    Low,
    /// The usual priority.
    Normal,
    /// Above `normal`.
    High,
    /// The highest priority.
    Production,
}

/// A job class, with the distributions from which its jobs are drawn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Team that submits the jobs.
    pub team: String,
    /// Priority of the jobs.
    pub priority: Priority,
    /// Mean number of tasks of a job; the number is geometrically distributed and capped at
    /// `most`.
    #[schemars(range(min = 1.0, max = 100000.0))]
    pub tasks: f64,
    /// Maximum number of tasks of a job.
    #[schemars(range(min = 1, max = 100000))]
    pub most: u32,
    /// CPUs of a task.
    #[schemars(range(min = 0.01, max = 10000.0))]
    pub cpus: f64,
    /// Memory of a task in GB.
    #[schemars(range(min = 0.0, max = 100000.0))]
    pub memory_gb: f64,
    /// Median run time of a task in seconds; run times are log-normally distributed.
    #[schemars(range(min = 0.1, max = 86400.0))]
    pub run_s: f64,
    /// Sigma of the logarithm of the run time between jobs.
    #[serde(default = "Class::spread_of_runs")]
    #[schemars(range(min = 0.0, max = 3.0))]
    pub run_sigma: f64,
    /// Sigma of the logarithm of the run time between the tasks of a job.
    #[serde(default = "Class::spread_of_tasks")]
    #[schemars(range(min = 0.0, max = 3.0))]
    pub task_sigma: f64,
    /// Sigma of the logarithm of the error of the user's run time estimate.
    #[serde(default = "Class::error")]
    #[schemars(range(min = 0.0, max = 3.0))]
    pub estimate_sigma: f64,
    /// Size of an image in GB.
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub image_gb: f64,
    /// Number of different images that jobs of the class use.
    #[serde(default = "Class::images")]
    #[schemars(range(min = 1, max = 1000))]
    pub images: u32,
    /// Jobs submitted per minute.
    #[schemars(range(min = 0.0, max = 10000.0))]
    pub per_minute: f64,
    /// Jobs submitted at the start.
    #[serde(default)]
    pub at_start: u32,
    /// Whether tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Seconds between checkpoints; 0 means no checkpoints.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub checkpoint_s: f64,
    /// Seconds to save a checkpoint when a task is preempted.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub save_s: f64,
    /// Deadline as a multiple of the estimate, to which `deadline_s` is added. A job has no
    /// deadline if both are 0.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub deadline_times: f64,
    /// Seconds added to the deadline.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub deadline_s: f64,
    /// Whether all tasks of a job run in one zone.
    #[serde(default)]
    pub together: bool,
    /// Whether the tasks of a job are spread over at least two zones.
    #[serde(default)]
    pub spread: bool,
    /// The only zone where tasks of the class may run.
    #[serde(default)]
    pub zone: Option<String>,
    /// Whether every job has exactly `most` tasks.
    #[serde(default)]
    pub exactly: bool,
    /// Seconds from the start of the run to the first submission.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 86400.0))]
    pub from_s: f64,
    /// Share of jobs with a bug: they fail on every machine, until their users cancel them
    /// one to two minutes later.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub mistaken: f64,
    /// Share of jobs that their users cancel.
    #[serde(default = "Class::cancelled")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub cancelled: f64,
    /// Users cancel within this many seconds after acceptance; 0 means between one second and
    /// one minute after acceptance.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 600.0))]
    pub cancelled_within_s: f64,
}

impl Class {
    fn spread_of_runs() -> f64 {
        0.25
    }
    fn spread_of_tasks() -> f64 {
        0.1
    }
    fn error() -> f64 {
        0.4
    }
    fn images() -> u32 {
        3
    }
    fn cancelled() -> f64 {
        0.02
    }
}

/// A service-level objective, measured as the user protocol defines it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Objective {
    /// Share of jobs done within `times` their deadline.
    Deadline {
        class: String,
        #[serde(default = "Objective::once")]
        times: f64,
        share: f64,
    },
    /// Share of tasks started within `within_s` seconds of submission.
    Wait {
        class: String,
        within_s: f64,
        share: f64,
    },
    /// Share of submissions accepted within `within_ms` milliseconds.
    Submit { within_ms: f64, share: f64 },
    /// Share of the money spent on useful work.
    Useful { share: f64 },
    /// Maximum ratio of the money spent to the cost of the useful work at the lowest nominal
    /// price.
    Price { most: f64 },
}

impl Objective {
    fn once() -> f64 {
        1.0
    }
}

/// A kind of fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// New machines take `times` as long to boot.
    BootsLate,
    /// New machines never finish booting.
    BootsNever,
    /// New machines boot within one to two seconds.
    BootsQuick,
    /// The cloud executes a `share` of the requests for machines at once and answers them
    /// `from_s` to `to_s` later.
    RentalsLate,
    /// The submission rate of `class` is multiplied by `times`.
    Burst,
    /// `count` machines fail every task that they start.
    MachinesFailTasks,
    /// `count` machines run their tasks `times` slower.
    MachinesSlow,
    /// `count` machines lose all network connections.
    MachinesCut,
    /// `count` machines stop and lose their tasks and cached images.
    MachinesStop,
    /// `count` machines hang, and continue when the fault ends.
    MachinesHang,
    /// `count` machines are unreachable: controllers receive their heartbeats, but no reply
    /// and no command reaches the machines.
    MachinesDeaf,
    /// A `share` of the acknowledged heartbeats is delivered again `from_s` to `to_s` later,
    /// to the same or to another controller, even if the machine no longer exists. With
    /// `for_next`, some copies of each machine's heartbeats are kept until the next leader is
    /// elected, and delivered to all controllers `from_s` to `to_s` after the election.
    ReportsLate,
    /// `count` machines, all machines of `zone`, or a `share` of the machines can't reach any
    /// controller, while they receive and answer direct commands.
    MachinesMute,
    /// Workers execute a `share` of the direct commands at once, and the reply is delayed by
    /// `from_s` to `to_s`.
    CommandAnswersLate,
    /// A `share` of the direct commands to workers is delayed and executed `from_s` to `to_s`
    /// later, although the sender has timed out.
    CommandsLate,
    /// A `share` of the direct commands that workers have carried out and answered reaches them
    /// once more, `from_s` to `to_s` later, also after a restart of the machine.
    CommandsRepeated,
    /// Users cancel `count` running jobs, evenly distributed over the duration, at the
    /// controllers that `who` names in turn. Jobs on machines with a fault are chosen first. A
    /// `share` of the cancellations is of jobs without running tasks.
    CancelSweep,
    /// A machine that runs a task stops during the task.
    WorkerDiesMidJob,
    /// All machines of `zone` lose power, and restart with empty caches when the fault ends.
    PowerCut,
    /// `count` spot machines are reclaimed, most with notice.
    SpotWave,
    /// Only a `share` of the machines of the cloud is available.
    CapacityShrinks,
    /// The controllers `who` crash: a number, `leader` or `all`.
    ControllerCrash,
    /// All controllers are restarted one after the other.
    RollingRestart,
    /// `who` loses all network connections.
    ControllerCut,
    /// Nothing that `who` sends arrives, and messages to `who` are held until the fault ends.
    ControllerSilent,
    /// `who` loses only the connection to the state service.
    ControllerCutFromState,
    /// `who` loses only the connections to the workers.
    ControllerCutFromWorkers,
    /// `who` loses the connections to the state service and its peers, but reaches workers and
    /// users.
    ControllerIsolated,
    /// The state service rejects requests of `who` only.
    StateRefuses,
    /// `who` computes `times` slower.
    ControllerSlow,
    /// The processes of `who` are frozen.
    ControllerFreezes,
    /// The wall clocks of `who` are wrong by `times` the maximum clock error.
    ClockSkew,
    /// New connections between controllers are refused; open connections continue.
    PeersRefused,
    /// Controllers can't reach each other: packets between controllers are held.
    ControllersApart,
    /// The state service is down.
    StateDown,
    /// The state service takes `times` 100 ms for each answer.
    StateSlow,
    /// A `share` of the transactions to the state service gets no reply and is executed 2 to
    /// 12 s later, each at a random time, or `at_once`.
    LateWrites,
    /// Right after a job was accepted, has ended or was cancelled, users query all controllers
    /// within milliseconds and repeat the submission. With `job`, users do so for this job
    /// when the fault begins.
    CloseLooks,
    /// Users repeat submissions of unfinished jobs, cancel finished jobs, and send invalid
    /// submissions.
    OddRequests,
    /// A `share` of the jobs that end is cancelled when the last task ends, or `from_s` to
    /// `to_s` later.
    CancelAtEnd,
    /// Users cancel `count` jobs with much remaining run time, or `job`, almost at the same
    /// time. With `hang_s`, some machines of these jobs hang for that many seconds.
    CancelNow,
    /// Every packet takes `times` ms longer, and a `share` of the packets is lost and
    /// retransmitted.
    LinksSlow,
    /// `zone` is partitioned from all hosts outside of the zone.
    ZoneCut,
    /// The first zone and the other zones can't reach each other; packets are held.
    ZonesApart,
}

impl Fault {
    /// Returns whether the fault can be injected without a simulated network and simulated
    /// clocks.
    pub fn can_run_on_loopback(self) -> bool {
        use Fault::*;
        !matches!(
            self,
            MachinesCut
                | MachinesHang
                | CancelNow
                | ControllerCut
                | ControllerSilent
                | ControllerCutFromState
                | ControllerCutFromWorkers
                | ControllerIsolated
                | ControllerSlow
                | ClockSkew
                | PeersRefused
                | ControllersApart
                | LateWrites
                | LinksSlow
                | ZoneCut
                | ZonesApart
        )
    }
}

/// One fault to inject, with its time and parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// Kind of the fault.
    pub what: Fault,
    /// Start of the fault in seconds.
    #[schemars(range(min = 0.0))]
    pub at_s: f64,
    /// Duration of the fault in seconds.
    #[serde(default = "Failure::length")]
    #[schemars(range(min = 0.0))]
    pub for_s: f64,
    /// Zone to which the fault is limited.
    #[serde(default)]
    pub zone: Option<String>,
    /// Controllers with the fault: a number, `leader`, or `all`.
    #[serde(default)]
    pub who: Option<String>,
    /// Job class of a burst.
    #[serde(default)]
    pub class: Option<String>,
    /// Factor or amount, as the kind of fault defines it.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub times: Option<f64>,
    /// Share, as the kind of fault defines it.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: Option<f64>,
    /// Number of machines or jobs with the fault.
    #[serde(default)]
    pub count: Option<usize>,
    /// Seconds from the end to the restart. For controllers, overrides the value of the
    /// scenario. Machines restart only if this is set, with empty caches and the same names.
    #[serde(default)]
    #[schemars(range(min = 0.2, max = 600.0))]
    pub back_s: Option<f64>,
    /// Minimum delay, in seconds, of the delayed messages or requests.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub from_s: Option<f64>,
    /// Maximum delay, in seconds, of the delayed messages or requests.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub to_s: Option<f64>,
    /// For late writes: the transactions are executed at once, and only the reply is lost.
    #[serde(default)]
    pub at_once: bool,
    /// Whether copies of heartbeats are kept for the next leader.
    #[serde(default)]
    pub for_next: Option<bool>,
    /// The only job to which the fault applies.
    #[serde(default)]
    pub job: Option<String>,
    /// Seconds for which machines hang.
    #[serde(default)]
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub hang_s: Option<f64>,
}

impl Failure {
    fn length() -> f64 {
        20.0
    }

    /// Returns the seconds from the end of a controller process to its restart.
    pub fn back_s(&self, controllers: &Controllers) -> f64 {
        self.back_s.unwrap_or(controllers.back_s)
    }

    /// Returns the time at which the direct effects of the fault end: stopped processes and
    /// machines have restarted, and delayed messages are delivered.
    fn over_s(&self, scenario: &Scenario) -> f64 {
        let back_s = self.back_s(&scenario.controllers);
        let lasts_s = match self.what {
            Fault::ControllerCrash => back_s,
            Fault::RollingRestart => (back_s + ROLL_S) * scenario.controllers.count as f64,
            Fault::MachinesStop | Fault::WorkerDiesMidJob => self.back_s.unwrap_or(0.0),
            Fault::SpotWave => 1.5 * scenario.workers.notice_s,
            Fault::LateWrites => self.for_s + LATE_TO_S,
            Fault::ReportsLate
            | Fault::CommandsLate
            | Fault::CommandsRepeated
            | Fault::CommandAnswersLate => self.for_s + self.to_s.unwrap_or(0.0),
            Fault::CancelNow => self.hang_s.unwrap_or(0.0),
            _ => self.for_s,
        };
        self.at_s + lasts_s
    }
}

/// Minimum delay of a late write in seconds. The delay exceeds the timeout of the sender, so
/// that newer transactions are executed first.
pub const LATE_FROM_S: f64 = 2.0;
/// Maximum delay of a late write in seconds.
pub const LATE_TO_S: f64 = 12.0;
/// Seconds between the restart of one controller and the stop of the next one in a rolling
/// restart.
pub const ROLL_S: f64 = 6.0;
/// Seconds that a run continues after the last fault while jobs are unfinished. Longer than
/// the time after which the judge reports a job as forgotten.
const GRACE_S: f64 = 90.0;

impl Scenario {
    /// Returns the time in seconds at which the last fault has ended.
    pub fn faults_over_s(&self) -> f64 {
        let ends = self.failures.iter().map(|f| f.over_s(self));
        ends.fold(0.0, f64::max)
    }

    /// Returns the latest end of the run in seconds.
    pub fn ends_s(&self) -> f64 {
        (self.length_s + self.drain_s).max(self.faults_over_s() + GRACE_S)
    }

    /// Returns the scenario with all times divided by `times`. Used for real processes, whose
    /// own timeouts are shortened by properties.
    pub fn accelerated(&self, times: f64) -> Scenario {
        let mut scenario = self.clone();
        let quick = |seconds: &mut f64| *seconds /= times;
        quick(&mut scenario.length_s);
        quick(&mut scenario.drain_s);
        quick(&mut scenario.warm_up_s);
        quick(&mut scenario.controllers.back_s);
        let workers = &mut scenario.workers;
        let waits = [
            &mut workers.report_s,
            &mut workers.lease_s,
            &mut workers.cancel_s,
        ];
        waits.into_iter().for_each(quick);
        quick(&mut scenario.workers.notice_s);
        scenario.state.rps *= times;
        scenario.state.write_rps *= times;
        scenario.cloud.rps *= times;
        quick(&mut scenario.cloud.list_lag_s);
        for kind in &mut scenario.machines {
            quick(&mut kind.boot_s);
            kind.fetch_gb_per_s *= times;
        }
        for class in &mut scenario.classes {
            class.per_minute *= times;
            let waits = [
                &mut class.run_s,
                &mut class.checkpoint_s,
                &mut class.save_s,
                &mut class.deadline_s,
                &mut class.from_s,
                &mut class.cancelled_within_s,
            ];
            waits.into_iter().for_each(quick);
        }
        for objective in &mut scenario.objectives {
            match objective {
                Objective::Wait { within_s, .. } => quick(within_s),
                Objective::Submit { within_ms, .. } => quick(within_ms),
                _ => {}
            }
        }
        for run in &mut scenario.runs {
            quick(&mut run.opens_s);
            quick(&mut run.due_s);
            quick(&mut run.quiet_s);
        }
        for failure in &mut scenario.failures {
            quick(&mut failure.at_s);
            quick(&mut failure.for_s);
            let waits = [
                &mut failure.back_s,
                &mut failure.from_s,
                &mut failure.to_s,
                &mut failure.hang_s,
            ];
            waits.into_iter().flatten().for_each(quick);
        }
        let waits = umbersail_tuning::CONSTANTS.iter().filter(|c| c.unit == "s");
        for constant in waits {
            let set = scenario.controllers.properties.get(constant.key).copied();
            let value = (set.unwrap_or(constant.default) / times).clamp(constant.min, constant.max);
            scenario
                .controllers
                .properties
                .insert(constant.key.to_owned(), value);
        }
        scenario
    }

    /// Returns the schema of scenario files (JSON Schema 2020-12).
    pub fn schema() -> serde_json::Value {
        serde_json::to_value(schemars::schema_for!(Scenario)).unwrap_or_default()
    }

    /// Reads and validates a scenario file.
    ///
    /// # Errors
    /// Returns file, key and reason in one line if the file can't be read or is invalid.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Scenario::parse(&file, &text),
            Err(e) => Err(ScenarioError {
                file,
                key: "file".into(),
                reason: e.to_string(),
            }),
        }
    }

    /// Parses and validates the text of a scenario file; `file` is the name in errors.
    ///
    /// # Errors
    /// Returns the first error: a TOML syntax error, a violation of the schema, or a
    /// contradiction between values.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let fail = |key: String, reason: String| ScenarioError {
            file: file.to_owned(),
            key,
            reason: reason.replace('\n', " "),
        };
        let value: toml::Value = toml::from_str(text).map_err(|e: toml::de::Error| {
            let start = e.span().map_or(0, |s| s.start.min(text.len()));
            let line = text[..start].lines().count().max(1);
            fail(format!("line {line}"), e.message().to_owned())
        })?;
        let json = serde_json::to_value(&value).map_err(|e| fail("file".into(), e.to_string()))?;
        let validator = jsonschema::validator_for(&Scenario::schema())
            .map_err(|e| fail("schema".into(), e.to_string()))?;
        if let Some(error) = validator.iter_errors(&json).next() {
            let key = error.instance_path.to_string();
            let key = key.trim_start_matches('/').replace('/', ".");
            let key = if key.is_empty() { "top".into() } else { key };
            return Err(fail(key, error.to_string()));
        }
        let scenario: Scenario =
            serde_json::from_value(json).map_err(|e| fail("top".into(), e.to_string()))?;
        scenario
            .check()
            .map_err(|(key, reason)| fail(key, reason))?;
        Ok(scenario)
    }

    /// Checks what the schema can't express: references between entries and relations between
    /// values.
    fn check(&self) -> Result<(), (String, String)> {
        let fail = |key: String, reason: &str| Err((key, reason.to_owned()));
        let zones: BTreeSet<&String> = self
            .controllers
            .zones
            .iter()
            .chain(self.machines.iter().flat_map(|m| &m.zones))
            .collect();
        if self.warm_up_s >= self.length_s {
            return fail("warm_up_s".into(), "must be less than length_s");
        }
        if self.workers.cancel_s <= self.workers.lease_s + 5.0 {
            let reason =
                "must exceed lease_s by more than 5, or a cancellation can't take effect in time";
            return fail("workers.cancel_s".into(), reason);
        }
        if self.machines.is_empty() || self.classes.is_empty() || self.teams.is_empty() {
            return fail(
                "top".into(),
                "machines, classes and teams need one entry each",
            );
        }
        for (i, kind) in self.machines.iter().enumerate() {
            if kind.spot > 0 && kind.spot_price.is_none() {
                return fail(
                    format!("machines.{i}.spot_price"),
                    "spot machines need a price",
                );
            }
            if kind.at_start > kind.ordinary * kind.zones.len() {
                return fail(
                    format!("machines.{i}.at_start"),
                    "exceeds the number of available machines",
                );
            }
        }
        for (i, class) in self.classes.iter().enumerate() {
            let at = |key: &str| format!("classes.{i}.{key}");
            let Some(team) = self.teams.iter().find(|t| t.name == class.team) else {
                return fail(at("team"), "no team has this name");
            };
            let is_there =
                |m: &MachineKind| class.zone.as_ref().is_none_or(|z| m.zones.contains(z));
            let fits = |m: &MachineKind| {
                class.cpus <= m.cpus && class.memory_gb <= m.memory_gb && is_there(m)
            };
            if !self.machines.iter().any(fits) {
                return fail(at("cpus"), "a task fits no machine");
            }
            if team.cpus_max > 0.0 && class.cpus > team.cpus_max {
                return fail(at("cpus"), "a task exceeds its team's limit");
            }
            if class.together && class.spread && class.most > 1 {
                return fail(
                    at("spread"),
                    "contradicts together: tasks can't be in one zone and in two",
                );
            }
            if f64::from(class.most) < class.tasks {
                return fail(at("most"), "less than the mean number of tasks");
            }
        }
        for (i, objective) in self.objectives.iter().enumerate() {
            if let Objective::Deadline { class, .. } | Objective::Wait { class, .. } = objective {
                let Some(class) = self.classes.iter().find(|c| c.name == *class) else {
                    return fail(format!("aims.{i}.class"), "no class has this name");
                };
                let timeless = class.deadline_times <= 0.0 && class.deadline_s <= 0.0;
                if matches!(objective, Objective::Deadline { .. }) && timeless {
                    return fail(format!("aims.{i}.class"), "the class has no deadline");
                }
            }
        }
        for (i, objective) in self.objectives.iter().enumerate() {
            // Not checked by the schema, whose error would name the entry and not the key.
            let share = match objective {
                Objective::Deadline { share, .. } | Objective::Wait { share, .. } => Some(share),
                Objective::Submit { share, .. } | Objective::Useful { share } => Some(share),
                Objective::Price { .. } => None,
            };
            if share.is_some_and(|share| !(0.0..=1.0).contains(share)) {
                return fail(format!("aims.{i}.share"), "is not from 0 to 1");
            }
            let (key, amount) = match objective {
                Objective::Deadline { times, .. } => ("times", *times),
                Objective::Wait { within_s, .. } => ("within_s", *within_s),
                Objective::Submit { within_ms, .. } => ("within_ms", *within_ms),
                Objective::Price { most } => ("most", *most),
                Objective::Useful { .. } => continue,
            };
            if amount < 0.0 {
                return fail(format!("aims.{i}.{key}"), "is negative");
            }
        }
        for (i, failure) in self.failures.iter().enumerate() {
            self.check_failure(failure, &zones)
                .map_err(|(key, reason)| (format!("failures.{i}.{key}"), reason.to_owned()))?;
        }
        runs::check(self)
    }

    fn check_failure(
        &self,
        failure: &Failure,
        zones: &BTreeSet<&String>,
    ) -> Result<(), (&'static str, &'static str)> {
        use Fault::*;
        let what = failure.what;
        if failure.at_s >= self.length_s + self.drain_s {
            return Err(("at_s", "after the end of the scenario"));
        }
        match &failure.zone {
            Some(zone) if !zones.contains(zone) => return Err(("zone", "no such zone")),
            None if matches!(what, PowerCut | ZoneCut) => return Err(("zone", "is missing")),
            _ => {}
        }
        let of_controller = matches!(
            what,
            ControllerCrash
                | ControllerCut
                | ControllerCutFromState
                | ControllerCutFromWorkers
                | ControllerIsolated
                | StateRefuses
                | ControllerSlow
                | ControllerFreezes
                | ClockSkew
        );
        match failure.who.as_deref() {
            None if of_controller => return Err(("who", "is missing")),
            Some("leader" | "all") | None => {}
            Some(number) => match number.parse::<usize>() {
                Ok(n) if n < self.controllers.count => {}
                _ => return Err(("who", "no such controller")),
            },
        }
        match &failure.class {
            Some(class) if self.classes.iter().all(|c| c.name != *class) => {
                return Err(("class", "no class has this name"));
            }
            None if what == Burst => return Err(("class", "is missing")),
            _ => {}
        }
        if matches!(
            what,
            BootsLate | Burst | MachinesSlow | ControllerSlow | StateSlow | ClockSkew | LinksSlow
        ) && failure.times.is_none()
        {
            return Err(("times", "is missing"));
        }
        if what == LinksSlow && failure.share.is_some_and(|share| share >= 1.0) {
            return Err(("share", "must be less than 1, or no packet arrives"));
        }
        if matches!(what, CapacityShrinks | LateWrites | CancelAtEnd) && failure.share.is_none() {
            return Err(("share", "is missing"));
        }
        if failure.at_once && what != LateWrites {
            return Err(("at_once", "is only for late-writes"));
        }
        if matches!(
            what,
            ReportsLate | CommandsLate | CommandsRepeated | CommandAnswersLate | RentalsLate
        ) {
            match (failure.from_s, failure.to_s) {
                (None, _) => return Err(("from_s", "is missing")),
                (_, None) => return Err(("to_s", "is missing")),
                (Some(from), Some(to)) if from > to => {
                    return Err(("to_s", "is less than from_s"));
                }
                _ => {}
            }
        }
        if failure.for_next.is_some() && what != ReportsLate {
            return Err(("for_next", "is only for reports-late"));
        }
        if what == CancelNow && failure.count.is_none() && failure.job.is_none() {
            return Err(("count", "is missing"));
        }
        if failure.job.is_some() && !matches!(what, CancelNow | CloseLooks) {
            return Err(("job", "this fault does not apply to a single job"));
        }
        if failure.hang_s.is_some() && what != CancelNow {
            return Err(("hang_s", "is only for cancel-now"));
        }
        let ends = matches!(
            what,
            ControllerCrash | RollingRestart | MachinesStop | WorkerDiesMidJob
        );
        if failure.back_s.is_some() && !ends {
            return Err(("back_s", "nothing ends that could restart"));
        }
        Ok(())
    }
}
