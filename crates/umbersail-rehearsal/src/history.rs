//! The history of a run: the events that the checks evaluate and the archive keeps, in
//! order of simulated true time.
//!
//! The outcome hash is computed over the serialized events, so the serialized names and the
//! order of fields must not change; renamed identifiers carry a serde attribute.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use umbersail_runtime::WorldHandle;
use umbersail_wire::{JobSpec, JobStage};

/// Why an attempt of a task no longer occupies its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndReason {
    /// The task completed.
    Done,
    /// A controller stopped the task.
    Stopped,
    /// The task failed.
    Error,
    /// The worker killed the task because its lease had expired.
    Lapsed,
    /// The machine stopped, was reclaimed by the cloud, or was deleted.
    Gone,
}

/// How the fencing token and session of a delayed command compare with those that its
/// machine has seen by the time the command arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandFreshness {
    /// The token is higher than any the machine has seen: the command is obeyed.
    HigherToken,
    /// The token equals the highest that the machine has seen: the command is obeyed.
    SameToken,
    /// The machine has seen a higher token: the command is refused.
    StaleToken,
    /// The command was addressed to an earlier session of the machine's agent.
    StaleSession,
}

/// Which controller answered a user's request, and when the request was sent. The answer
/// arrived at the time of the event that holds this.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Index of the controller.
    pub node: usize,
    /// When the request was sent, in seconds of the run.
    pub sent_s: f64,
}

/// What an event records. Times and durations are in seconds; names are those of the
/// scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EventKind {
    /// A user is about to submit a job for the first time.
    #[serde(rename = "asked")]
    Submitted { spec: Box<JobSpec> },
    /// A submission was accepted, `after_s` after the user first tried.
    Accepted {
        job: String,
        after_s: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// A submission failed permanently: the status of the refusal, or 0 if the last retry got
    /// no answer.
    Refused { job: String, status: u16 },
    /// A job about to be submitted belongs to this step of the calendar run that opened at
    /// `opens_s`.
    #[serde(rename = "of_run")]
    RunJob {
        run: String,
        opens_s: f64,
        step: usize,
        job: String,
    },
    /// The result of a user's status request.
    Polled {
        job: String,
        status: u16,
        stage: Option<JobStage>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// The answer to a repeated submission of an accepted job.
    Repeated {
        job: String,
        status: u16,
        stage: Option<JobStage>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// A user requests the cancellation of a job.
    #[serde(rename = "cancel_asked")]
    CancelRequested { job: String },
    /// A controller acknowledged a cancellation with the stage of the job.
    #[serde(rename = "cancel_told")]
    CancelAcknowledged {
        job: String,
        stage: JobStage,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// A controller rejected a cancellation as impossible.
    CancelRefused {
        job: String,
        status: u16,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// A submission that must not be accepted: its defect, the expected status (`wanted`),
    /// the received status (0: no answer), and whether the answer contained a reason.
    InvalidSubmission {
        job: String,
        defect: String,
        wanted: u16,
        status: u16,
        says_why: bool,
        node: usize,
        sent_s: f64,
    },
    /// The cloud started a rental of a machine.
    Rented {
        machine: String,
        kind: String,
        zone: String,
        spot: bool,
    },
    /// The cloud answered a rental request, possibly long after the machines existed.
    RentalAnswered { machines: Vec<String> },
    /// A machine list of the cloud contains the machine for the first time.
    Listed { machine: String },
    /// A written part of the grant contains the machine for the first time.
    Granted { machine: String },
    /// The machine has booted.
    Up { machine: String },
    /// The machine stopped, was reclaimed or was deleted.
    MachineGone { machine: String, why: String },
    /// A worker obeyed a launch command: the task occupies its machine from now on, and
    /// starts once the machine has fetched its image.
    Launched {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
    },
    /// A launched task left its machine before the machine had fetched its image.
    Withdrawn {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
    },
    /// A task started to run.
    Started {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
    },
    /// An attempt of a task ended. `useful_s` is the part of its run time whose
    /// work was completed or saved and need not be repeated.
    Ended {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
        how: EndReason,
        useful_s: f64,
    },
    /// The leader key was written with a new leader.
    Elected { member: String },
    /// A scripted fault begins or ends.
    #[serde(rename = "trouble")]
    Fault {
        #[serde(rename = "trouble")]
        fault: String,
        begins: bool,
    },
    /// The state service executed a transaction now whose sender had got no answer: the keys
    /// that the transaction changes, whether it was applied or its conditions failed, which
    /// of the keys had been changed since it was sent (`overtaken`), and whether the leader
    /// key had.
    LateWrite {
        controller: usize,
        keys: Vec<String>,
        applied: bool,
        overtaken: Vec<String>,
        leader_changed: bool,
    },
    /// The state service executed a transaction and its answer was lost: the keys of its
    /// conditions, the keys that it puts and deletes, and whether it was applied or its
    /// conditions failed.
    LostAnswer {
        controller: usize,
        conditions: Vec<String>,
        puts: Vec<String>,
        deletes: Vec<String>,
        applied: bool,
    },
    /// While answers are lost: a transaction failed because these keys did not have the
    /// version that its sender expected.
    Conflict {
        controller: usize,
        failed: Vec<String>,
    },
    /// A fault affects this machine for `for_s`.
    #[serde(rename = "struck")]
    MachineFaulted {
        machine: String,
        #[serde(rename = "trouble")]
        fault: String,
        for_s: f64,
    },
    /// A direct command was executed or refused after a delay of `held_s`.
    LateCommand {
        machine: String,
        held_s: f64,
        status: u16,
        how: CommandFreshness,
        /// Whether the machine had seen a token of a later leader than the sender.
        #[serde(rename = "from_former")]
        sees_newer_leader: bool,
    },
    /// A copy of a direct command that had been carried out reached the machine again after
    /// `held_s`, with this status of the answer (0: no answer). The command contains `starts`
    /// commands that start a task.
    RepeatedCommand {
        machine: String,
        held_s: f64,
        status: u16,
        starts: usize,
    },
    /// The answer to a direct command arrived `held_s` after the command had been executed
    /// or refused.
    LateAnswer {
        machine: String,
        held_s: f64,
        status: u16,
    },
    /// A copy of a heartbeat arrived at a controller, which answered with this status (0: no
    /// answer) after `took_s`. `order` is the (session, count) pair of the copy, `newest` that
    /// of the machine's newest heartbeat that had been acknowledged by then.
    #[serde(rename = "late_report")]
    LateHeartbeat {
        machine: String,
        node: usize,
        status: u16,
        took_s: f64,
        order: (u64, u64),
        newest: (u64, u64),
        /// Tasks that are active in the copy but not in the newest heartbeat.
        ended: u32,
        /// Tasks that have exited in the copy but are active in the newest heartbeat.
        begun: u32,
    },
    /// Recorded every second: CPUs in use, waiting tasks, ordinary and spot machines that are
    /// up, and the money spent so far.
    #[serde(rename = "level")]
    UsageSample {
        cpus: f64,
        waiting: u32,
        ordinary: u32,
        spot: u32,
        spent: f64,
    },
    /// Recorded every ten seconds: load and contents of the state service.
    #[serde(rename = "state")]
    StateSample {
        /// Applied puts and deletes so far, by the first segment of their keys.
        changes: BTreeMap<String, u64>,
        /// Keys that currently exist, by their first segment.
        #[serde(rename = "standing")]
        live_keys: BTreeMap<String, u64>,
        /// Requests so far, and how many of them the rate limit refused.
        requests: u64,
        refused: u64,
    },
    /// The total that the image store has sent so far.
    StoreSent { gb: f64 },
}

/// An event and when it happened, in seconds of true time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub t: f64,
    /// What happened.
    #[serde(flatten)]
    pub what: EventKind,
}

/// The events recorded so far. Clones share the same list.
#[derive(Clone)]
pub struct History {
    world: WorldHandle,
    events: Rc<RefCell<Vec<Event>>>,
}

impl History {
    /// Creates an empty history that reads the time from `world`.
    pub fn new(world: WorldHandle) -> History {
        History {
            world,
            events: Rc::default(),
        }
    }

    /// Appends an event with the current time.
    pub fn add(&self, what: EventKind) {
        let t = self.now_s();
        self.events.borrow_mut().push(Event { t, what });
    }

    /// Returns the true time, rounded to the microsecond so that it is the same after a round
    /// trip through JSON.
    pub fn now_s(&self) -> f64 {
        (self.world.now() * 1e6).round() / 1e6
    }

    /// Removes and returns all events.
    pub fn take(&self) -> Vec<Event> {
        self.events.take()
    }
}

/// Serializes the events as JSON lines; returns the text and its BLAKE3 hash in hex.
pub fn lines(events: &[Event]) -> (Vec<u8>, String) {
    let mut out = Vec::new();
    for event in events {
        // Serialization cannot fail: all keys are strings and all numbers finite.
        let _ = serde_json::to_writer(&mut out, event);
        out.push(b'\n');
    }
    let hash = blake3::hash(&out).to_hex().to_string();
    (out, hash)
}
