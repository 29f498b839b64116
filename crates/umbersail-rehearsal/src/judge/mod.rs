//! Rules, aims and cost, from the history alone (PROTOCOL, "Rules" and "How
//! aims are counted").

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbersail_wire::{JobSpec, JobStage};

use crate::answers::{Answers, Questions};
use crate::history::{Event, Question, What};
use crate::runs::{self, RunFigures};
use crate::scenario::Scenario;
use crate::served::Served;

mod aims;
mod monotonic;
mod tasks;
#[cfg(test)]
mod tests;
mod users;
mod waiting;

/// The rules of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    /// Of our own: once all troubles were over, nobody answered for it for long.
    ForgottenAtEnd,
    /// Of our own: a question that was sent after another had been answered got an older
    /// answer about the same job, at whatever controller.
    OlderAnswer,
    /// Of our own: a submission was accepted that can't run or lacks a field.
    AcceptedInvalid,
    /// Of our own: a job of a later step ran before the step before its own had ended.
    OutOfOrder,
    /// Of our own: after all troubles it waited for long beside a machine with room.
    LeftWaiting,
}

/// A rule that was broken, and by which event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: Rule,
    pub t: f64,
    pub detail: String,
    /// Index of the event in the history.
    pub event: usize,
}

/// An aim, what was reached, and of how many.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reached {
    pub aim: String,
    pub value: f64,
    pub wanted: f64,
    pub of: usize,
    pub met: bool,
}

/// Figures of a night.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Figures {
    pub breaches: Vec<Breach>,
    pub aims: Vec<Reached>,
    pub jobs: usize,
    pub accepted: usize,
    pub done: usize,
    pub cancelled: usize,
    pub starts: usize,
    pub lapsed: usize,
    pub lost: usize,
    /// The longest that a task was on a machine after its user had been told that
    /// its job is cancelled, in seconds.
    #[serde(default)]
    pub cancelled_gone_s: f64,
    pub machines: usize,
    /// Money, useful share of it, and money against useful work at the lowest
    /// nominal price.
    pub spent: f64,
    pub useful: f64,
    pub price: f64,
    /// When the last accepted job was done, in seconds.
    pub finished_s: Option<f64>,
    /// Processor time of all controllers, in seconds of a whole core, and whether
    /// that was more than the night gives them.
    pub processor_s: f64,
    pub overrun: bool,
    /// By class, by team, and of the largest jobs of each class.
    pub served: Vec<Served>,
    /// Work in steps.
    #[serde(default)]
    pub runs: RunFigures,
    pub answers: Answers,
}

impl Figures {
    /// Whether the night failed: a rule was broken, it was not played in its
    /// time, less than half of a class, of a team or of a class's largest jobs was
    /// served, or one of the largest began too late.
    pub fn failed(&self) -> bool {
        let fails = |s: &Served| s.is_under() || s.is_begun_late();
        !self.breaches.is_empty() || self.overrun || self.served.iter().any(fails)
    }
}

#[derive(Default)]
struct JobSeen {
    spec: Option<JobSpec>,
    asked_at: f64,
    accepted: Option<f64>,
    cancel_asked: Option<f64>,
    cancel_told: Option<f64>,
    told: Option<JobStage>,
    answers: monotonic::Answered,
    done_tasks: BTreeSet<u32>,
    /// When its last task had completed, and when its user was told.
    complete_at: Option<f64>,
    done_told: Option<f64>,
    started: BTreeMap<u32, f64>,
    unanswered_since: Option<f64>,
}

struct MachineSeen {
    kind: usize,
    zone: String,
    spot: bool,
}

/// A poll that fails for this long means forgotten.
const FORGOTTEN_S: f64 = 90.0;
/// A start counts if it is not stopped by command within this.
const HOLDS_S: f64 = 30.0;

/// A machine, an attempt, and since when it is there.
type Place = (String, u64, f64);

struct Judge<'a> {
    night: &'a Scenario,
    jobs: BTreeMap<String, JobSeen>,
    machines: BTreeMap<String, MachineSeen>,
    /// Where each task is now.
    on: BTreeMap<(String, u32), Vec<Place>>,
    used: BTreeMap<String, f64>,
    answered_at: f64,
    questions: Questions,
    /// Answers that are older than others if a task turns out to have run all along.
    doubted: Vec<monotonic::Doubted>,
    /// When a trouble last took a machine.
    struck: BTreeMap<String, f64>,
    useful_cpu_s: f64,
    /// What useful work cost at nominal prices, for its share of the machines.
    useful_money: f64,
    /// Spent while it only warmed up.
    spent_before: f64,
    figures: Figures,
}

/// An answer in the history: its event, when it was given, and to which question.
#[derive(Clone, Copy)]
struct Given {
    event: usize,
    t: f64,
    sent_s: f64,
}

impl Given {
    /// An older history does not say when questions were sent: each then follows all
    /// answers before it.
    fn new(event: usize, t: f64, question: Option<Question>) -> Given {
        let sent_s = question.map_or(t, |q| q.sent_s);
        Given { event, t, sent_s }
    }

    /// Whether the question was sent when an answer of that time had been given.
    fn follows(&self, given_s: f64) -> bool {
        self.sent_s >= given_s
    }
}

/// Judges a night by its history.
pub fn judge(night: &Scenario, events: &[Event]) -> Figures {
    let mut judge = Judge {
        night,
        jobs: BTreeMap::new(),
        machines: BTreeMap::new(),
        on: BTreeMap::new(),
        used: BTreeMap::new(),
        answered_at: 0.0,
        questions: Questions::new(night.faults_over_s()),
        doubted: Vec::new(),
        struck: BTreeMap::new(),
        useful_cpu_s: 0.0,
        useful_money: 0.0,
        spent_before: 0.0,
        figures: Figures::default(),
    };
    for (index, event) in events.iter().enumerate() {
        judge.see(index, event);
    }
    let end = events.last().map_or(0.0, |e| e.t);
    judge.figures.runs = runs::judged(night, events);
    for (job, t) in judge.figures.runs.out_of_order.clone() {
        let detail = format!("{job}: began before the step before its own had ended");
        judge.breach(Rule::OutOfOrder, t, events.len().saturating_sub(1), detail);
    }
    for left in waiting::judged(night, events) {
        let detail = format!("{}: waits although {} has room", left.job, left.machine);
        judge.breach(Rule::LeftWaiting, left.t, left.event, detail);
    }
    judge.finish(end, events.len().saturating_sub(1))
}

impl Judge<'_> {
    fn breach(&mut self, rule: Rule, t: f64, event: usize, detail: String) {
        self.figures.breaches.push(Breach {
            rule,
            t,
            detail,
            event,
        });
    }

    fn see(&mut self, index: usize, event: &Event) {
        let t = event.t;
        match &event.what {
            What::Asked { spec } => {
                let job = self.jobs.entry(spec.id.clone()).or_default();
                job.asked_at = t;
                job.spec = Some((**spec).clone());
            }
            What::Accepted { job, .. } => {
                self.job(job).accepted = Some(t);
                self.job(job).answers.knows(t);
                self.answered_at = t;
                self.questions.heard(t, job);
            }
            What::Refused { job, status } => {
                if *status != 0 && self.job(job).accepted.is_some() {
                    let detail = format!("{job}: accepted, then refused with {status}");
                    self.breach(Rule::Forgotten, t, index, detail);
                }
            }
            What::Polled {
                job,
                status,
                stage,
                question,
            } => {
                let given = Given::new(index, t, *question);
                self.asked(index, t, job, *status == 404 || stage.is_some());
                self.polled(given, job, *status, *stage);
            }
            What::Repeated {
                job,
                status,
                stage,
                question,
            } => {
                let given = Given::new(index, t, *question);
                if matches!(status, 400 | 422) {
                    let detail = format!("{job}: repeated submission answered {status}");
                    self.breach(Rule::Forgotten, t, index, detail);
                }
                if *status == 201 {
                    self.accepted_anew(given, job);
                }
                if let Some(stage) = stage {
                    self.told(given, job, *stage);
                }
            }
            What::CancelAsked { job } => {
                self.job(job).cancel_asked.get_or_insert(t);
            }
            What::CancelTold {
                job,
                stage,
                question,
            } => self.told(Given::new(index, t, *question), job, *stage),
            What::CancelRefused {
                job,
                status,
                question,
            } => self.refused_cancel(Given::new(index, t, *question), job, *status),
            What::InvalidSubmission {
                job,
                defect,
                status: status @ (200 | 201),
                ..
            } => {
                let detail = format!("{job}: {defect}, and answered {status}");
                self.breach(Rule::AcceptedInvalid, t, index, detail);
            }
            What::Rented {
                machine,
                kind,
                zone,
                spot,
            } => {
                let kinds = &self.night.machines;
                let kind = kinds.iter().position(|k| k.name == *kind).unwrap_or(0);
                let seen = MachineSeen {
                    kind,
                    zone: zone.clone(),
                    spot: *spot,
                };
                self.machines.insert(machine.clone(), seen);
                self.figures.machines += 1;
            }
            What::Started {
                machine,
                job,
                task,
                attempt,
            } => self.started(index, t, machine, job, *task, *attempt),
            What::Ended {
                machine,
                job,
                task,
                attempt,
                how,
                useful_s,
            } => {
                let key = (job.clone(), *task);
                if let Some(places) = self.on.get_mut(&key) {
                    places.retain(|(m, a, _)| !(m == machine && a == attempt));
                    if places.is_empty() {
                        self.on.remove(&key);
                    }
                }
                self.ended(t, machine, job, *task, *how, *useful_s);
                self.ran_all_along(machine, (job, *task, *attempt), *how);
                self.job(job).answers.ended(t);
            }
            What::Level { spent, .. } => {
                if t <= self.night.warm_up_s {
                    self.spent_before = *spent;
                }
                self.figures.spent = *spent - self.spent_before;
                self.look_for_cancelled(index, t);
            }
            What::Struck { machine, .. } => {
                self.struck.insert(machine.clone(), t);
            }
            What::InvalidSubmission { .. }
            | What::Up { .. }
            | What::MachineGone { .. }
            | What::Elected { .. }
            | What::Trouble { .. }
            | What::OfRun { .. }
            | What::LateWrite { .. }
            | What::LostAnswer { .. }
            | What::RentalAnswered { .. }
            | What::Listed { .. }
            | What::Granted { .. }
            | What::State { .. }
            | What::Launched { .. }
            | What::Withdrawn { .. }
            | What::Conflict { .. }
            | What::LateCommand { .. }
            | What::LateAnswer { .. }
            | What::LateReport { .. }
            | What::StoreSent { .. } => {}
        }
    }

    fn job(&mut self, id: &str) -> &mut JobSeen {
        self.jobs.entry(id.to_owned()).or_default()
    }
}
