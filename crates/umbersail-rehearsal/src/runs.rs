//! Calendar runs: jobs in steps that follow one another. This module submits the jobs, writes
//! the operators' calendar entries, and evaluates how the runs went.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use chrono::DateTime;
use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use umbersail_runtime::{sleep, spawn};

use crate::history::{EndReason, Event, EventKind};
use crate::scenario::Scenario;
use crate::users::Users;

/// Jobs of a team in steps. Each step starts when the preceding one has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Run")]
pub struct CalendarRun {
    /// Name of the calendar entry.
    pub name: String,
    /// When the first run opens, in seconds of the scenario.
    #[schemars(range(min = 5.0, max = 86400.0))]
    pub opens_s: f64,
    /// Number of runs.
    #[serde(default = "CalendarRun::once")]
    #[schemars(range(min = 1, max = 1000))]
    pub times: u32,
    /// Minutes between the openings of two runs.
    #[serde(default = "CalendarRun::once")]
    #[schemars(range(min = 1, max = 1440))]
    pub every_min: u32,
    /// All jobs must be done within this many seconds of the opening.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub due_s: f64,
    /// A step closes once no job of it has arrived for this many seconds, in case an expected
    /// job never arrives.
    #[serde(default = "CalendarRun::quiet")]
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub quiet_s: f64,
    /// The steps, in order.
    #[schemars(length(min = 1, max = 16))]
    pub steps: Vec<RunStep>,
}

/// One step of a calendar run: a number of jobs of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Step")]
pub struct RunStep {
    /// Name of the class of the jobs.
    pub class: String,
    /// Number of jobs.
    #[schemars(range(min = 1, max = 10000))]
    pub jobs: u32,
}

impl CalendarRun {
    fn once() -> u32 {
        1
    }
    fn quiet() -> f64 {
        20.0
    }

    /// Returns when the runs open, in seconds of the scenario.
    fn openings(&self) -> impl Iterator<Item = f64> + '_ {
        (0..self.times).map(|n| self.opens_s + f64::from(n * self.every_min) * 60.0)
    }
}

/// How the calendar runs of a rehearsal went.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct CalendarRunFigures {
    /// Runs that opened.
    pub runs: usize,
    /// Runs that ended by their due time.
    pub in_time: usize,
    /// Seconds by which the runs ended after they were due (negative: before), sorted. Runs that
    /// never ended are left out.
    pub late_s: Vec<f64>,
    /// Jobs that started before the preceding step had ended, and when.
    pub out_of_order: Vec<(String, f64)>,
}

/// Returns the calendar entries as lines of the operators' properties file, for a world that
/// started at `epoch_ms`.
pub(crate) fn properties(night: &Scenario, epoch_ms: u64) -> String {
    let mut out = String::new();
    if !night.calendar {
        return out;
    }
    for run in &night.runs {
        let team = team(night, run);
        let opens_ms = epoch_ms + (run.opens_s * 1000.0) as u64;
        let opens = i64::try_from(opens_ms)
            .ok()
            .and_then(DateTime::from_timestamp_millis);
        let opens = opens.unwrap_or_default().format("%Y-%m-%d %H:%M:%S");
        let mut line = |field: &str, value: String| {
            out += &format!("calendar.{}.{field}={value}\n", run.name);
        };
        line("team", team.to_owned());
        line("zone", "Etc/UTC".into());
        line("opens", opens.to_string());
        let (every, times) = (run.every_min, run.times);
        line(
            "repeat",
            format!("FREQ=MINUTELY;INTERVAL={every};COUNT={times}"),
        );
        line("due", format!("{}s", run.due_s as u64));
        for (index, step) in run.steps.iter().enumerate() {
            let mut field = |name: &str, value: String| {
                line(&format!("step.{}.{name}", index + 1), value);
            };
            field("classes", step.class.clone());
            field("count", step.jobs.to_string());
            field("quiet", format!("{}s", run.quiet_s as u64));
        }
    }
    out
}

/// Returns the team of a run: that of the class of its first step.
fn team<'a>(night: &'a Scenario, run: &CalendarRun) -> &'a str {
    let class = run.steps.first().map(|s| &s.class);
    let found = night.classes.iter().find(|c| Some(&c.name) == class);
    found.map_or("", |c| &c.team)
}

/// Checks that the runs can be executed.
///
/// # Errors
/// The field of the scenario file that is invalid, and the reason.
pub(crate) fn check(night: &Scenario) -> Result<(), (String, String)> {
    for (r, run) in night.runs.iter().enumerate() {
        for (s, step) in run.steps.iter().enumerate() {
            let class = night.classes.iter().find(|c| c.name == step.class);
            let reason = match class {
                None => "no class has this name",
                Some(class) if class.team != team(night, run) => {
                    "the class belongs to another team"
                }
                Some(class) if class.per_minute > 0.0 || class.at_start > 0 => {
                    "a class used by a run must have per_minute = 0 and at_start = 0"
                }
                Some(_) => continue,
            };
            return Err((format!("runs.{r}.steps.{s}.class"), reason.into()));
        }
    }
    Ok(())
}

impl Users {
    /// Submits the jobs of all runs: all at the opening if the calendar keeps the steps apart,
    /// otherwise each step once the preceding one is reported over.
    pub(crate) fn submit_runs(self: &Rc<Self>) {
        let night = self.night();
        for (index, run) in night.runs.iter().enumerate() {
            for opens_s in run.openings() {
                spawn(self.clone().submit_run(night.clone(), index, opens_s));
            }
        }
    }

    async fn submit_run(self: Rc<Self>, night: Rc<Scenario>, index: usize, opens_s: f64) {
        sleep(opens_s - self.now()).await;
        let run = &night.runs[index];
        for (step, RunStep { class, jobs }) in run.steps.iter().enumerate() {
            let Some(class) = night.classes.iter().find(|c| c.name == *class) else {
                continue;
            };
            let mut ids = Vec::new();
            for _ in 0..*jobs {
                let truth = self.draw_job(class);
                let id = truth.spec.id.clone();
                self.record(EventKind::RunJob {
                    run: run.name.clone(),
                    opens_s,
                    step,
                    job: id.clone(),
                });
                ids.push(id);
                let after_s = self.draw_random(|rng| rng.random_range(0.0..3.0));
                let user = self.clone().run_user(truth);
                spawn(async move {
                    sleep(after_s).await;
                    user.await;
                });
            }
            while !night.calendar && !self.are_finished(&ids) {
                sleep(0.5).await;
            }
        }
        // The users' tasks are cancelled when this one ends, and they still wait for their jobs.
        std::future::pending::<()>().await;
    }
}

/// What the history says about a job of a run.
#[derive(Default)]
struct JobTrace {
    run: usize,
    step: usize,
    tasks: u32,
    done: BTreeSet<u32>,
    accepted_at: Option<f64>,
    started_at: Option<f64>,
    ended_at: Option<f64>,
    /// Refused, cancelled or failed: the step does not wait for the job.
    excluded: bool,
}

/// Evaluates the calendar runs from the history.
pub(crate) fn run_figures(night: &Scenario, events: &[Event]) -> CalendarRunFigures {
    let mut figures = CalendarRunFigures::default();
    if night.runs.is_empty() {
        return figures;
    }
    let mut runs: BTreeMap<(String, u64), usize> = BTreeMap::new();
    // For each run: when it opened, when it is due, and the time by which an accepted job is
    // certain to be counted before its step closes.
    let mut times: Vec<(f64, f64, f64)> = Vec::new();
    let mut jobs: BTreeMap<&str, JobTrace> = BTreeMap::new();
    for event in events {
        match &event.what {
            EventKind::RunJob {
                run,
                opens_s,
                step,
                job,
            } => {
                let index = *runs
                    .entry((run.clone(), opens_s.to_bits()))
                    .or_insert_with(|| {
                        let of = night.runs.iter().find(|r| r.name == *run);
                        let (due_s, quiet_s) = of.map_or((0.0, 0.0), |r| (r.due_s, r.quiet_s));
                        times.push((*opens_s, opens_s + due_s, opens_s + quiet_s));
                        times.len() - 1
                    });
                let trace = jobs.entry(job).or_default();
                (trace.run, trace.step) = (index, *step);
            }
            EventKind::Submitted { spec } => {
                if let Some(trace) = jobs.get_mut(spec.id.as_str()) {
                    trace.tasks = spec.tasks;
                }
            }
            EventKind::Accepted { job, .. } => {
                if let Some(trace) = jobs.get_mut(job.as_str()) {
                    trace.accepted_at.get_or_insert(event.t);
                }
            }
            EventKind::Refused { job, .. } | EventKind::CancelRequested { job } => {
                if let Some(trace) = jobs.get_mut(job.as_str()) {
                    trace.excluded = true;
                }
            }
            EventKind::Started { job, .. } => {
                if let Some(trace) = jobs.get_mut(job.as_str()) {
                    trace.started_at.get_or_insert(event.t);
                }
            }
            EventKind::Ended { job, task, how, .. } => {
                if let Some(trace) = jobs.get_mut(job.as_str()) {
                    match how {
                        EndReason::Done => drop(trace.done.insert(*task)),
                        EndReason::Error => trace.excluded = true,
                        _ => {}
                    }
                    if trace.done.len() as u32 == trace.tasks {
                        trace.ended_at.get_or_insert(event.t);
                    }
                }
            }
            _ => {}
        }
    }
    for (index, (_, due, certain)) in times.iter().enumerate() {
        let of_run = || jobs.iter().filter(move |(_, j)| j.run == index);
        figures.runs += 1;
        let ends: Option<Vec<f64>> = of_run()
            .filter(|(_, j)| !j.excluded)
            .map(|(_, j)| j.ended_at)
            .collect();
        if let Some(end) = ends.map(|e| e.into_iter().fold(0.0, f64::max)) {
            figures.in_time += usize::from(end <= *due);
            figures.late_s.push(end - due);
        }
        if !night.calendar {
            continue;
        }
        for (id, job) in of_run() {
            // All jobs may start at the due time, by a controller's clock that may be ahead.
            let certain_due = due - night.controllers.skew_ms / 1000.0;
            let Some(started) = job.started_at.filter(|at| *at < certain_due) else {
                continue;
            };
            let waits_for = |(_, j): &(&&str, &JobTrace)| {
                j.step < job.step
                    && !j.excluded
                    && j.accepted_at.is_some_and(|at| at < *certain)
                    && j.ended_at.is_none_or(|at| at > started)
            };
            if of_run().any(|j| waits_for(&j)) {
                figures.out_of_order.push(((*id).to_owned(), started));
            }
        }
    }
    figures.late_s.sort_by(f64::total_cmp);
    figures
}
