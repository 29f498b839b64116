//! Evaluates a run from its history alone: the protocol's rules, the service-level
//! objectives and the cost (PROTOCOL, "Rules" and "How aims are counted").

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbersail_wire::{JobSpec, JobStage};

use crate::answers::{QueryFigures, QueryTracker};
use crate::history::{Event, EventKind, Question};
use crate::runs::{self, CalendarRunFigures};
use crate::scenario::Scenario;
use crate::served::ServedFigures;

mod monotonic;
mod objectives;
mod tasks;
#[cfg(test)]
mod tests;
mod users;
mod waiting;

/// A rule that every run must keep: those of the protocol, and additional ones of the
/// rehearsal package.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task ran on two machines at the same time.
    RanTwice,
    /// A team used more CPUs than its quota.
    Quota,
    /// A task started on a machine that its job does not allow.
    WrongPlace,
    /// A task ran although the cancellation of its job had been acknowledged.
    RanCancelled,
    /// An accepted job is later refused or no longer known, or every poll of it fails.
    Forgotten,
    /// A status was reported for a job that nobody submitted.
    Invented,
    /// A job was reported done before all of its tasks were.
    NotDone,
    /// A final stage was reported and later another stage, or a job was reported cancelled
    /// that no user cancelled.
    WentBack,
    /// No task was started in the whole run.
    NothingRan,
    /// Additional: after all faults had ended, no status request for the job was answered for
    /// [`crate::MAX_SILENCE_S`].
    ForgottenAtEnd,
    /// Additional: a request that was sent after another had been answered got an older answer
    /// about the same job, possibly from another controller.
    OlderAnswer,
    /// Additional: a submission was accepted that cannot run or lacks a field.
    AcceptedInvalid,
    /// Additional: a job of a calendar run started before the preceding step had ended.
    OutOfOrder,
    /// Additional: after all faults had ended, a job waited too long although a machine had
    /// room for a task of it.
    LeftWaiting,
}

/// A violation of a rule, with the event that revealed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// When, in seconds of the run.
    pub t: f64,
    /// Description; starts with the id of the job or the name of the team.
    pub detail: String,
    /// Index of the event in the history.
    pub event: usize,
}

/// The value that a run reached for a service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveResult {
    /// Name of the objective, with its class and limit.
    #[serde(rename = "aim")]
    pub objective: String,
    /// The value that the run reached.
    pub value: f64,
    /// The value that the scenario requires.
    #[serde(rename = "wanted")]
    pub target: f64,
    /// How many jobs, tasks or machines were counted.
    #[serde(rename = "of")]
    pub count: usize,
    /// Whether the value meets the target.
    pub met: bool,
}

/// Figures of a run, as written to `figures.json`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Figures {
    /// Violations of rules, in the order in which the checks found them.
    pub breaches: Vec<Breach>,
    /// Results of the service-level objectives.
    #[serde(rename = "aims")]
    pub objectives: Vec<ObjectiveResult>,
    /// Jobs that users submitted.
    pub jobs: usize,
    /// Jobs whose submission was accepted.
    pub accepted: usize,
    /// Jobs of which all tasks completed.
    pub done: usize,
    /// Jobs whose cancellation was acknowledged.
    pub cancelled: usize,
    /// Task starts.
    pub starts: usize,
    /// Attempts that were killed because their lease had expired.
    pub lapsed: usize,
    /// Attempts that were lost with their machines.
    pub lost: usize,
    /// The longest time in seconds that a task stayed on a machine after the cancellation of
    /// its job had been acknowledged.
    #[serde(default)]
    pub cancelled_gone_s: f64,
    /// Machines rented.
    pub machines: usize,
    /// Money spent after the warm-up.
    pub spent: f64,
    /// Share of `spent` that paid for useful work.
    pub useful: f64,
    /// `spent` divided by the cost of the useful work at the lowest nominal price per CPU.
    pub price: f64,
    /// When the last job that was not cancelled was done, in seconds.
    pub finished_s: Option<f64>,
    /// Processor time of all controllers, in seconds of one core.
    pub processor_s: f64,
    /// Whether `processor_s` exceeds the limit of the scenario.
    pub overrun: bool,
    /// Served shares by class, by team, and for the largest jobs of each class.
    pub served: Vec<ServedFigures>,
    /// Calendar runs.
    #[serde(default)]
    pub runs: CalendarRunFigures,
    /// Answers to users' status requests.
    pub answers: QueryFigures,
}

impl Figures {
    /// Returns whether the run failed: a rule was broken, the controllers exceeded their
    /// processor time, less than half of a class, of a team or of a class's largest jobs was
    /// served, or one of the largest jobs started too late.
    pub fn failed(&self) -> bool {
        let fails = |s: &ServedFigures| s.is_underserved() || s.has_late_start();
        !self.breaches.is_empty() || self.overrun || self.served.iter().any(fails)
    }
}

/// What the history has shown of a job so far.
#[derive(Default)]
struct JobState {
    spec: Option<JobSpec>,
    submitted_at: f64,
    accepted: Option<f64>,
    cancel_requested_at: Option<f64>,
    cancel_acknowledged_at: Option<f64>,
    /// The last stage reported that was final: done or cancelled.
    final_stage: Option<JobStage>,
    answers: monotonic::AnswerHistory,
    done_tasks: BTreeSet<u32>,
    /// When the last task had completed, and when the job was first reported done.
    completed_at: Option<f64>,
    done_reported_at: Option<f64>,
    /// When each task first started; starts that were stopped within [`MIN_START_S`] are
    /// removed.
    started: BTreeMap<u32, f64>,
    /// Since when every poll has failed.
    unanswered_since: Option<f64>,
}

struct MachineState {
    /// Index into the machine kinds of the scenario.
    kind: usize,
    zone: String,
    spot: bool,
}

/// A job whose polls fail for more than this many seconds, while others are answered, counts
/// as forgotten.
const FORGOTTEN_S: f64 = 90.0;
/// A start counts unless a command stops the task within this many seconds.
const MIN_START_S: f64 = 30.0;

/// A machine, an attempt that occupies it, and when the attempt started.
type Place = (String, u64, f64);

/// Applies the events of a history in order, and collects breaches and figures.
struct Checker<'a> {
    night: &'a Scenario,
    jobs: BTreeMap<String, JobState>,
    machines: BTreeMap<String, MachineState>,
    /// Where each task runs now.
    placements: BTreeMap<(String, u32), Vec<Place>>,
    /// CPUs in use by team.
    team_cpus: BTreeMap<String, f64>,
    /// When any status request was last answered.
    last_answer_at: f64,
    queries: QueryTracker,
    /// Answers that turn out to be older than a previous one if an attempt runs to its end.
    unresolved: Vec<monotonic::UnresolvedAnswer>,
    /// When a fault last affected each machine.
    machine_faulted_at: BTreeMap<String, f64>,
    useful_cpu_s: f64,
    /// Cost of the useful work at nominal prices, in proportion to its share of the machines.
    useful_money: f64,
    /// Money spent during the warm-up.
    warm_up_spent: f64,
    figures: Figures,
}

/// An answer in the history: the index of its event, when it arrived, and when its request
/// was sent.
#[derive(Clone, Copy)]
struct AnswerContext {
    event: usize,
    t: f64,
    sent_s: f64,
}

impl AnswerContext {
    /// Histories of earlier versions do not contain when requests were sent: each request
    /// then counts as sent when its answer arrived.
    fn new(event: usize, t: f64, question: Option<Question>) -> AnswerContext {
        let sent_s = question.map_or(t, |q| q.sent_s);
        AnswerContext { event, t, sent_s }
    }

    /// Returns whether the request was sent after an answer at `answered_s` had arrived.
    fn follows(&self, answered_s: f64) -> bool {
        self.sent_s >= answered_s
    }
}

/// Evaluates a run by its history.
pub fn evaluate(night: &Scenario, events: &[Event]) -> Figures {
    let mut checker = Checker {
        night,
        jobs: BTreeMap::new(),
        machines: BTreeMap::new(),
        placements: BTreeMap::new(),
        team_cpus: BTreeMap::new(),
        last_answer_at: 0.0,
        queries: QueryTracker::new(night.faults_over_s()),
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
    for waiting_job in waiting::find_left_waiting(night, events) {
        let detail = format!(
            "{}: waits although {} has room",
            waiting_job.job, waiting_job.machine
        );
        checker.breach(Rule::LeftWaiting, waiting_job.t, waiting_job.event, detail);
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
                let state = MachineState {
                    kind,
                    zone: zone.clone(),
                    spot: *spot,
                };
                self.machines.insert(machine.clone(), state);
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
            | EventKind::RepeatedCommand { .. }
            | EventKind::LateAnswer { .. }
            | EventKind::LateHeartbeat { .. }
            | EventKind::StoreSent { .. } => {}
        }
    }

    fn job(&mut self, id: &str) -> &mut JobState {
        self.jobs.entry(id.to_owned()).or_default()
    }
}
