//! Rules, aims and cost, from the history alone (PROTOCOL, "Rules" and "How
//! aims are counted").

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbersail_wire::{JobSpec, JobStage};

use crate::answers::{QueryFigures, QueryTracker};
use crate::history::{Event, EventKind, Question};
use crate::night::Night;
use crate::runs::{self, CalendarRunFigures};
use crate::served::ServedFigures;

mod monotonic;
mod objectives;
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
pub struct ObjectiveResult {
    #[serde(rename = "aim")]
    pub objective: String,
    pub value: f64,
    #[serde(rename = "wanted")]
    pub target: f64,
    #[serde(rename = "of")]
    pub count: usize,
    pub met: bool,
}

/// Figures of a night.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Figures {
    pub breaches: Vec<Breach>,
    #[serde(rename = "aims")]
    pub objectives: Vec<ObjectiveResult>,
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
    pub served: Vec<ServedFigures>,
    /// Work in steps.
    #[serde(default)]
    pub runs: CalendarRunFigures,
    pub answers: QueryFigures,
}

impl Figures {
    /// Whether the night failed: a rule was broken, it was not played in its
    /// time, less than half of a class, of a team or of a class's largest jobs was
    /// served, or one of the largest began too late.
    pub fn failed(&self) -> bool {
        let fails = |s: &ServedFigures| s.is_underserved() || s.has_late_start();
        !self.breaches.is_empty() || self.overrun || self.served.iter().any(fails)
    }
}

#[derive(Default)]
struct JobState {
    spec: Option<JobSpec>,
    submitted_at: f64,
    accepted: Option<f64>,
    cancel_requested_at: Option<f64>,
    cancel_acknowledged_at: Option<f64>,
    final_stage: Option<JobStage>,
    answers: monotonic::AnswerHistory,
    done_tasks: BTreeSet<u32>,
    /// When its last task had completed, and when its user was told.
    completed_at: Option<f64>,
    done_reported_at: Option<f64>,
    started: BTreeMap<u32, f64>,
    unanswered_since: Option<f64>,
}

struct MachineState {
    kind: usize,
    zone: String,
    spot: bool,
}

/// A poll that fails for this long means forgotten.
const FORGOTTEN_S: f64 = 90.0;
/// A start counts if it is not stopped by command within this.
const MIN_START_S: f64 = 30.0;

/// A machine, an attempt, and since when it is there.
type Place = (String, u64, f64);

struct Checker<'a> {
    night: &'a Night,
    jobs: BTreeMap<String, JobState>,
    machines: BTreeMap<String, MachineState>,
    /// Where each task is now.
    placements: BTreeMap<(String, u32), Vec<Place>>,
    team_cpus: BTreeMap<String, f64>,
    last_answer_at: f64,
    queries: QueryTracker,
    /// Answers that are older than others if a task turns out to have run all along.
    unresolved: Vec<monotonic::UnresolvedAnswer>,
    /// When a trouble last took a machine.
    machine_faulted_at: BTreeMap<String, f64>,
    useful_cpu_s: f64,
    /// What useful work cost at nominal prices, for its share of the machines.
    useful_money: f64,
    /// Spent while it only warmed up.
    warm_up_spent: f64,
    figures: Figures,
}

/// An answer in the history: its event, when it was answer, and to which question.
#[derive(Clone, Copy)]
struct AnswerContext {
    event: usize,
    t: f64,
    sent_s: f64,
}

impl AnswerContext {
    /// An older history does not say when questions were sent: each then follows all
    /// answers before it.
    fn new(event: usize, t: f64, question: Option<Question>) -> AnswerContext {
        let sent_s = question.map_or(t, |q| q.sent_s);
        AnswerContext { event, t, sent_s }
    }

    /// Whether the question was sent when an answer of that time had been answer.
    fn follows(&self, answered_s: f64) -> bool {
        self.sent_s >= answered_s
    }
}

/// Judges a night by its history.
pub fn evaluate(night: &Night, events: &[Event]) -> Figures {
    let mut checker = Checker {
        night,
        jobs: BTreeMap::new(),
        machines: BTreeMap::new(),
        placements: BTreeMap::new(),
        team_cpus: BTreeMap::new(),
        last_answer_at: 0.0,
        queries: QueryTracker::new(night.troubles_over_s()),
        unresolved: Vec::new(),
        machine_faulted_at: BTreeMap::new(),
        useful_cpu_s: 0.0,
        useful_money: 0.0,
        warm_up_spent: 0.0,
        figures: Figures::default(),
    };
    for (index, event) in events.iter().enumerate() {
        checker.apply(index, event);
    }
    let end = events.last().map_or(0.0, |e| e.t);
    checker.figures.runs = runs::run_figures(night, events);
    for (job, t) in checker.figures.runs.out_of_order.clone() {
        let detail = format!("{job}: began before the step before its own had ended");
        checker.breach(Rule::OutOfOrder, t, events.len().saturating_sub(1), detail);
    }
    for left in waiting::find_left_waiting(night, events) {
        let detail = format!("{}: waits although {} has room", left.job, left.machine);
        checker.breach(Rule::LeftWaiting, left.t, left.event, detail);
    }
    checker.finish(end, events.len().saturating_sub(1))
}

impl Checker<'_> {
    fn breach(&mut self, rule: Rule, t: f64, event: usize, detail: String) {
        self.figures.breaches.push(Breach {
            rule,
            t,
            detail,
            event,
        });
    }

    fn apply(&mut self, index: usize, event: &Event) {
        let t = event.t;
        match &event.what {
            EventKind::Submitted { spec } => {
                let job = self.jobs.entry(spec.id.clone()).or_default();
                job.submitted_at = t;
                job.spec = Some((**spec).clone());
            }
            EventKind::Accepted { job, .. } => {
                self.job(job).accepted = Some(t);
                self.job(job).answers.known(t);
                self.last_answer_at = t;
                self.queries.record_answer(t, job);
            }
            EventKind::Refused { job, status } => {
                if *status != 0 && self.job(job).accepted.is_some() {
                    let detail = format!("{job}: accepted, then refused with {status}");
                    self.breach(Rule::Forgotten, t, index, detail);
                }
            }
            EventKind::Polled {
                job,
                status,
                stage,
                question,
            } => {
                let answer = AnswerContext::new(index, t, *question);
                self.status_requested(index, t, job, *status == 404 || stage.is_some());
                self.polled(answer, job, *status, *stage);
            }
            EventKind::Repeated {
                job,
                status,
                stage,
                question,
            } => {
                let answer = AnswerContext::new(index, t, *question);
                if matches!(status, 400 | 422) {
                    let detail = format!("{job}: repeated submission answered {status}");
                    self.breach(Rule::Forgotten, t, index, detail);
                }
                if *status == 201 {
                    self.check_accepted_again(answer, job);
                }
                if let Some(stage) = stage {
                    self.stage_reported(answer, job, *stage);
                }
            }
            EventKind::CancelRequested { job } => {
                self.job(job).cancel_requested_at.get_or_insert(t);
            }
            EventKind::CancelAcknowledged {
                job,
                stage,
                question,
            } => self.stage_reported(AnswerContext::new(index, t, *question), job, *stage),
            EventKind::CancelRefused {
                job,
                status,
                question,
            } => self.check_refused_cancel(AnswerContext::new(index, t, *question), job, *status),
            EventKind::InvalidSubmission {
                job,
                defect,
                status: status @ (200 | 201),
                ..
            } => {
                let detail = format!("{job}: {defect}, and answered {status}");
                self.breach(Rule::AcceptedInvalid, t, index, detail);
            }
            EventKind::Rented {
                machine,
                kind,
                zone,
                spot,
            } => {
                let kinds = &self.night.machines;
                let kind = kinds.iter().position(|k| k.name == *kind).unwrap_or(0);
                let seen = MachineState {
                    kind,
                    zone: zone.clone(),
                    spot: *spot,
                };
                self.machines.insert(machine.clone(), seen);
                self.figures.machines += 1;
            }
            EventKind::Started {
                machine,
                job,
                task,
                attempt,
            } => self.started(index, t, machine, job, *task, *attempt),
            EventKind::Ended {
                machine,
                job,
                task,
                attempt,
                how,
                useful_s,
            } => {
                let key = (job.clone(), *task);
                if let Some(places) = self.placements.get_mut(&key) {
                    places.retain(|(m, a, _)| !(m == machine && a == attempt));
                    if places.is_empty() {
                        self.placements.remove(&key);
                    }
                }
                self.ended(t, machine, job, *task, *how, *useful_s);
                self.resolve_answers(machine, (job, *task, *attempt), *how);
                self.job(job).answers.ended(t);
            }
            EventKind::UsageSample { spent, .. } => {
                if t <= self.night.warm_up_s {
                    self.warm_up_spent = *spent;
                }
                self.figures.spent = *spent - self.warm_up_spent;
                self.check_cancelled_tasks(index, t);
            }
            EventKind::MachineFaulted { machine, .. } => {
                self.machine_faulted_at.insert(machine.clone(), t);
            }
            EventKind::InvalidSubmission { .. }
            | EventKind::Up { .. }
            | EventKind::MachineGone { .. }
            | EventKind::Elected { .. }
            | EventKind::Fault { .. }
            | EventKind::RunJob { .. }
            | EventKind::LateWrite { .. }
            | EventKind::LostAnswer { .. }
            | EventKind::RentalAnswered { .. }
            | EventKind::Listed { .. }
            | EventKind::Granted { .. }
            | EventKind::StateSample { .. }
            | EventKind::Launched { .. }
            | EventKind::Withdrawn { .. }
            | EventKind::Conflict { .. }
            | EventKind::LateCommand { .. }
            | EventKind::LateAnswer { .. }
            | EventKind::LateHeartbeat { .. }
            | EventKind::StoreSent { .. } => {}
        }
    }

    fn job(&mut self, id: &str) -> &mut JobState {
        self.jobs.entry(id.to_owned()).or_default()
    }
}
