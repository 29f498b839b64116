//! What happened in a night: the events that the judge reads and the archive
//! keeps, in order of true time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use umbersail_runtime::WorldHandle;
use umbersail_wire::{JobSpec, JobStage};

/// Why a task is on its machine no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    Done,
    Stopped,
    Error,
    /// Killed by its worker's lease.
    Lapsed,
    /// Its machine stopped, was taken or deleted.
    Gone,
}

/// How a command that comes late stands to what its machine has seen since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Late {
    /// Its token is higher than all before: obeyed.
    HigherToken,
    /// The machine has its token: obeyed.
    SameToken,
    /// The machine has seen a higher token.
    StaleToken,
    /// It was meant for an earlier session.
    StaleSession,
}

/// Which controller answered a question, and when the question was sent. Its answer came
/// at the time of the event that tells it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Question {
    pub node: usize,
    pub sent_s: f64,
}

/// One event; seconds and names as the night has them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    Asked {
        spec: Box<JobSpec>,
    },
    Accepted {
        job: String,
        after_s: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// Not taken, for good: the status, or 0 after the last try.
    Refused {
        job: String,
        status: u16,
    },
    /// The job, about to be submitted, is of a step of the run that opened then.
    OfRun {
        run: String,
        opens_s: f64,
        step: usize,
        job: String,
    },
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
    CancelAsked {
        job: String,
    },
    CancelTold {
        job: String,
        stage: JobStage,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// The answer to a cancellation was one of those that say that it can't be.
    CancelRefused {
        job: String,
        status: u16,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<Question>,
    },
    /// A submission that must not be accepted: what is wrong with it, the status that it
    /// should get, the one that it got (0: no answer), and whether a reason came with it.
    InvalidSubmission {
        job: String,
        defect: String,
        wanted: u16,
        status: u16,
        says_why: bool,
        node: usize,
        sent_s: f64,
    },
    Rented {
        machine: String,
        kind: String,
        zone: String,
        spot: bool,
    },
    /// The cloud's answer to a rental, which may come long after the machines.
    RentalAnswered {
        machines: Vec<String>,
    },
    /// A list of the cloud names the machine for the first time.
    Listed {
        machine: String,
    },
    /// A part of the grant that was written names the machine for the first time.
    Granted {
        machine: String,
    },
    Up {
        machine: String,
    },
    MachineGone {
        machine: String,
        why: String,
    },
    /// A worker obeyed a launch: the task holds room on its machine from now on, and
    /// starts once it has its image.
    Launched {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
    },
    /// A task that was launched left its machine before it had its image.
    Withdrawn {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
    },
    Started {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
    },
    Ended {
        machine: String,
        job: String,
        task: u32,
        attempt: u64,
        how: End,
        useful_s: f64,
    },
    /// The leader's key was put anew.
    Elected {
        member: String,
    },
    Trouble {
        trouble: String,
        begins: bool,
    },
    /// A transaction without an answer was carried out now: what it changes, whether it
    /// was applied or its conditions failed, and which of the keys had been changed since
    /// it was sent, and whether the leader's key had.
    LateWrite {
        controller: usize,
        keys: Vec<String>,
        applied: bool,
        overtaken: Vec<String>,
        leader_changed: bool,
    },
    /// A transaction was carried out and its answer lost: the keys that it asks about and
    /// those that it puts and deletes, and whether it was applied or its conditions
    /// failed.
    LostAnswer {
        controller: usize,
        conditions: Vec<String>,
        puts: Vec<String>,
        deletes: Vec<String>,
        applied: bool,
    },
    /// While answers are lost: a transaction failed, since these keys did not have the
    /// version that its sender took them to have.
    Conflict {
        controller: usize,
        failed: Vec<String>,
    },
    /// The trouble took this machine, for so many seconds.
    Struck {
        machine: String,
        trouble: String,
        for_s: f64,
    },
    /// A direct command was carried out, or refused, after it had been held up for
    /// so long.
    LateCommand {
        machine: String,
        held_s: f64,
        status: u16,
        how: Late,
        /// The machine has seen a token of a later leader's.
        from_former: bool,
    },
    /// The answer to a direct command was held up for so long after the command had
    /// been carried out, or refused.
    LateAnswer {
        machine: String,
        held_s: f64,
        status: u16,
    },
    /// A copy of a report arrived at a controller, which answered with this status
    /// (0: with none) after `took_s`. Orders are (session, count): of the copy, and of the newest
    /// report of the machine that had been answered by then.
    LateReport {
        machine: String,
        node: usize,
        status: u16,
        took_s: f64,
        order: (u64, u64),
        newest: (u64, u64),
        /// Tasks that are active in the copy and not in the newest report.
        ended: u32,
        /// Tasks that have exited in the copy and are active in the newest report.
        begun: u32,
    },
    /// Once a second: CPUs in use, tasks that wait, machines ordinary and spot,
    /// money so far.
    Level {
        cpus: f64,
        waiting: u32,
        ordinary: u32,
        spot: u32,
        spent: f64,
    },
    /// Every ten seconds: what the state service has taken and holds.
    State {
        /// Puts and deletes so far that were applied, by the first part of their keys.
        changes: BTreeMap<String, u64>,
        /// Keys that stand, likewise.
        standing: BTreeMap<String, u64>,
        /// Requests so far, and those refused since they were too many.
        requests: u64,
        refused: u64,
    },
    /// What the store of images has sent so far.
    StoreSent {
        gb: f64,
    },
}

/// An event and when, in seconds of true time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub t: f64,
    #[serde(flatten)]
    pub what: What,
}

/// The events so far, shared by all who add to them.
#[derive(Clone)]
pub struct History {
    world: WorldHandle,
    events: Rc<RefCell<Vec<Event>>>,
}

impl History {
    pub fn new(world: WorldHandle) -> History {
        History {
            world,
            events: Rc::default(),
        }
    }

    pub fn add(&self, what: What) {
        let t = self.now_s();
        self.events.borrow_mut().push(Event { t, what });
    }

    /// True time to the microsecond, so that text and number are the same.
    pub fn now_s(&self) -> f64 {
        (self.world.now() * 1e6).round() / 1e6
    }

    pub fn take(&self) -> Vec<Event> {
        self.events.take()
    }
}

/// The events as lines of JSON, and the hash (BLAKE3, hex) over them.
pub fn lines(events: &[Event]) -> (Vec<u8>, String) {
    let mut out = Vec::new();
    for event in events {
        // Text keys and finite numbers only: it can't fail.
        let _ = serde_json::to_writer(&mut out, event);
        out.push(b'\n');
    }
    let hash = blake3::hash(&out).to_hex().to_string();
    (out, hash)
}
