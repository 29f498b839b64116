//! Runs of steps that follow one another: who submits their jobs, what the operators'
//! calendar says of them, and how they went.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use chrono::DateTime;
use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use umbersail_runtime::{sleep, spawn};

use crate::history::{End, Event, What};
use crate::scenario::Scenario;
use crate::users::Users;

/// A team's jobs in steps, each to begin when the one before has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Run {
    pub name: String,
    #[schemars(range(min = 5.0, max = 86400.0))]
    pub opens_s: f64,
    /// So many times, so many minutes apart.
    #[serde(default = "Run::once")]
    #[schemars(range(min = 1, max = 1000))]
    pub times: u32,
    #[serde(default = "Run::once")]
    #[schemars(range(min = 1, max = 1440))]
    pub every_min: u32,
    /// All must be over so many seconds after the opening.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub due_s: f64,
    /// A step closes once none has come for so long, should one never come.
    #[serde(default = "Run::quiet")]
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub quiet_s: f64,
    #[schemars(length(min = 1, max = 16))]
    pub steps: Vec<Step>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub class: String,
    #[schemars(range(min = 1, max = 10000))]
    pub jobs: u32,
}

impl Run {
    fn once() -> u32 {
        1
    }
    fn quiet() -> f64 {
        20.0
    }

    /// When its runs open, in seconds of the night.
    fn openings(&self) -> impl Iterator<Item = f64> + '_ {
        (0..self.times).map(|n| self.opens_s + f64::from(n * self.every_min) * 60.0)
    }
}

/// How the runs of a night went.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct RunFigures {
    pub runs: usize,
    pub in_time: usize,
    /// Seconds by which they ended before (less than 0) or after they were due, sorted;
    /// those that never ended left out.
    pub late_s: Vec<f64>,
    /// Jobs that began before the step before theirs had ended, and when.
    pub out_of_order: Vec<(String, f64)>,
}

/// The calendar's entries, as in the operators' file, for a world that began then.
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

fn team<'a>(night: &'a Scenario, run: &Run) -> &'a str {
    let class = run.steps.first().map(|s| &s.class);
    let found = night.classes.iter().find(|c| Some(&c.name) == class);
    found.map_or("", |c| &c.team)
}

/// What of the runs can't be played, with the place in the file.
pub(crate) fn check(night: &Scenario) -> Result<(), (String, String)> {
    for (r, run) in night.runs.iter().enumerate() {
        for (s, step) in run.steps.iter().enumerate() {
            let class = night.classes.iter().find(|c| c.name == step.class);
            let reason = match class {
                None => "no class has this name",
                Some(class) if class.team != team(night, run) => "is another team's",
                Some(class) if class.per_minute > 0.0 || class.at_start > 0 => {
                    "its jobs come in runs only: per_minute must be 0"
                }
                Some(_) => continue,
            };
            return Err((format!("runs.{r}.steps.{s}.class"), reason.into()));
        }
    }
    Ok(())
}

impl Users {
    /// Submits the jobs of all runs: at the opening where the calendar keeps the steps
    /// apart, else each step once the one before has been told to be over.
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
        for (step, Step { class, jobs }) in run.steps.iter().enumerate() {
            let Some(class) = night.classes.iter().find(|c| c.name == *class) else {
                continue;
            };
            let mut ids = Vec::new();
            for _ in 0..*jobs {
                let truth = self.draw(class);
                let id = truth.spec.id.clone();
                self.note(What::OfRun {
                    run: run.name.clone(),
                    opens_s,
                    step,
                    job: id.clone(),
                });
                ids.push(id);
                let after_s = self.chance(|rng| rng.random_range(0.0..3.0));
                let user = self.clone().user(truth);
                spawn(async move {
                    sleep(after_s).await;
                    user.await;
                });
            }
            while !night.calendar && !self.are_over(&ids) {
                sleep(0.5).await;
            }
        }
        // Its users end with it, and they still wait for their jobs.
        std::future::pending::<()>().await;
    }
}

#[derive(Default)]
struct JobTrace {
    run: usize,
    step: usize,
    tasks: u32,
    done: BTreeSet<u32>,
    accepted_at: Option<f64>,
    began_at: Option<f64>,
    ended_at: Option<f64>,
    /// Refused, cancelled or failing everywhere: the step does not wait for it.
    left: bool,
}

/// How the runs went, from the history.
pub(crate) fn judged(night: &Scenario, events: &[Event]) -> RunFigures {
    let mut figures = RunFigures::default();
    if night.runs.is_empty() {
        return figures;
    }
    let mut runs: BTreeMap<(String, u64), usize> = BTreeMap::new();
    // When each opened, and when its jobs have certainly been seen before a step closed.
    let mut times: Vec<(f64, f64, f64)> = Vec::new();
    let mut jobs: BTreeMap<&str, JobTrace> = BTreeMap::new();
    for event in events {
        match &event.what {
            What::OfRun {
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
                let seen = jobs.entry(job).or_default();
                (seen.run, seen.step) = (index, *step);
            }
            What::Asked { spec } => {
                if let Some(seen) = jobs.get_mut(spec.id.as_str()) {
                    seen.tasks = spec.tasks;
                }
            }
            What::Accepted { job, .. } => {
                if let Some(seen) = jobs.get_mut(job.as_str()) {
                    seen.accepted_at.get_or_insert(event.t);
                }
            }
            What::Refused { job, .. } | What::CancelAsked { job } => {
                if let Some(seen) = jobs.get_mut(job.as_str()) {
                    seen.left = true;
                }
            }
            What::Started { job, .. } => {
                if let Some(seen) = jobs.get_mut(job.as_str()) {
                    seen.began_at.get_or_insert(event.t);
                }
            }
            What::Ended { job, task, how, .. } => {
                if let Some(seen) = jobs.get_mut(job.as_str()) {
                    match how {
                        End::Done => drop(seen.done.insert(*task)),
                        End::Error => seen.left = true,
                        _ => {}
                    }
                    if seen.done.len() as u32 == seen.tasks {
                        seen.ended_at.get_or_insert(event.t);
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
            .filter(|(_, j)| !j.left)
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
            // All is let go at the due time, by a clock that may be ahead.
            let certain_due = due - night.controllers.skew_ms / 1000.0;
            let Some(began) = job.began_at.filter(|at| *at < certain_due) else {
                continue;
            };
            let waits_for = |(_, j): &(&&str, &JobTrace)| {
                j.step < job.step
                    && !j.left
                    && j.accepted_at.is_some_and(|at| at < *certain)
                    && j.ended_at.is_none_or(|at| at > began)
            };
            if of_run().any(|j| waits_for(&j)) {
                figures.out_of_order.push(((*id).to_owned(), began));
            }
        }
    }
    figures.late_s.sort_by(f64::total_cmp);
    figures
}
