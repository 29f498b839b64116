//! Computes the final figures of a run: service-level objectives as the protocol counts them,
//! cost, and the share of jobs served.

use super::{Checker, Figures, JobState, ObjectiveResult, Rule};
use crate::answers::QueryTracker;
use crate::scenario::Objective;
use crate::served;

impl Checker<'_> {
    /// Computes the figures that need the whole history; `end` is the time and `last` the index
    /// of the last event.
    pub(super) fn finish(mut self, end: f64, last: usize) -> Figures {
        if self.figures.starts == 0 {
            self.breach(Rule::NothingRan, end, last, "no task was started".into());
        }
        let lowest = self.night.machines.iter().map(|k| {
            let hourly = if k.spot > 0 {
                k.spot_price.unwrap_or(k.price)
            } else {
                k.price
            };
            hourly / k.cpus / 3600.0
        });
        let lowest = lowest.reduce(f64::min).unwrap_or(0.0);
        let (useful_cost, spent) = (self.useful_cpu_s * lowest, self.figures.spent);
        let figures = &mut self.figures;
        figures.price = if useful_cost > 0.0 {
            spent / useful_cost
        } else {
            0.0
        };
        figures.useful = if spent > 0.0 {
            self.useful_money / spent
        } else {
            0.0
        };
        figures.jobs = self.jobs.values().filter(|j| j.spec.is_some()).count();
        figures.accepted = self.jobs.values().filter(|j| j.accepted.is_some()).count();
        figures.cancelled = self
            .jobs
            .values()
            .filter(|j| j.cancel_acknowledged_at.is_some())
            .count();
        figures.done = self
            .jobs
            .values()
            .filter(|j| j.completed_at.is_some())
            .count();
        let done = self
            .jobs
            .values()
            .filter(|j| j.cancel_requested_at.is_none());
        figures.finished_s = done.filter_map(|j| j.completed_at).reduce(f64::max);
        let from = self.night.warm_up_s;
        let counted = self.jobs.values().filter_map(|j| {
            let spec = j.spec.as_ref()?;
            (j.submitted_at >= from && j.cancel_requested_at.is_none()).then_some(served::Job {
                class: &spec.class,
                team: &spec.team,
                size: f64::from(spec.tasks) * spec.cpus,
                submitted_at: j.submitted_at,
                accepted: j.accepted.is_some(),
                deadline_s: spec.deadline_s,
                first_started_at: j.started.values().copied().reduce(f64::min),
                all_started_at: j
                    .started
                    .values()
                    .copied()
                    .reduce(f64::max)
                    .filter(|_| j.started.len() == spec.tasks as usize),
                completed_at: j.completed_at,
            })
        });
        self.figures.served = served::served_figures(counted, end);
        let queries = std::mem::replace(&mut self.queries, QueryTracker::new(0.0));
        self.figures.answers = queries.finish();
        let objectives = self.night.objectives.clone();
        for objective in &objectives {
            let result = self.objective_result(objective, end);
            self.figures.objectives.push(result);
        }
        self.figures
    }

    /// Computes the value that the run reached for an objective.
    fn objective_result(&self, objective: &Objective, end: f64) -> ObjectiveResult {
        let share = |hits: usize, of: usize| {
            if of == 0 {
                1.0
            } else {
                hits as f64 / of as f64
            }
        };
        let of_class = |class: &str| {
            let class = class.to_owned();
            let from = self.night.warm_up_s;
            let is_counted = move |j: &&JobState| {
                j.submitted_at >= from
                    && j.cancel_requested_at.is_none()
                    && j.spec.as_ref().is_some_and(|s| s.class == class)
            };
            self.jobs.values().filter(is_counted)
        };
        match objective {
            Objective::Deadline {
                class,
                times,
                share: target,
            } => {
                let due = |j: &&JobState| {
                    let deadline = j
                        .spec
                        .as_ref()
                        .and_then(|s| s.deadline_s)
                        .unwrap_or(f64::MAX);
                    j.submitted_at + deadline * times
                };
                let counted: Vec<&JobState> = of_class(class).filter(|j| due(j) < end).collect();
                // A job counts when its last task completes; its user may learn so up to 3 s
                // later.
                let is_in_time = |j: &&&JobState| j.completed_at.is_some_and(|at| at <= due(j));
                let value = share(counted.iter().filter(is_in_time).count(), counted.len());
                ObjectiveResult {
                    objective: format!("deadline {class} {times}x"),
                    value,
                    target: *target,
                    count: counted.len(),
                    met: value >= *target,
                }
            }
            Objective::Wait {
                class,
                within_s,
                share: target,
            } => {
                let (mut hits, mut of) = (0, 0);
                for job in of_class(class) {
                    let tasks = job.spec.as_ref().map_or(0, |s| s.tasks) as usize;
                    if job.submitted_at + within_s > end {
                        continue;
                    }
                    of += tasks;
                    let in_time = |at: &&f64| **at - job.submitted_at <= *within_s;
                    hits += job.started.values().filter(in_time).count();
                }
                let value = share(hits, of);
                ObjectiveResult {
                    objective: format!("wait {class} {within_s} s"),
                    value,
                    target: *target,
                    count: of,
                    met: value >= *target,
                }
            }
            Objective::Submit {
                within_ms,
                share: target,
            } => {
                let submitted: Vec<&JobState> = {
                    let from = self.night.warm_up_s;
                    let counts = |j: &&JobState| j.spec.is_some() && j.submitted_at >= from;
                    self.jobs.values().filter(counts).collect()
                };
                let is_in_time = |j: &&&JobState| {
                    j.accepted
                        .is_some_and(|at| (at - j.submitted_at) * 1000.0 <= *within_ms)
                };
                let value = share(submitted.iter().filter(is_in_time).count(), submitted.len());
                ObjectiveResult {
                    objective: format!("submit {within_ms} ms"),
                    value,
                    target: *target,
                    count: submitted.len(),
                    met: value >= *target,
                }
            }
            Objective::Useful { share: target } => ObjectiveResult {
                objective: "useful".into(),
                value: self.figures.useful,
                target: *target,
                count: self.figures.machines,
                met: self.figures.useful >= *target,
            },
            Objective::Price { most } => ObjectiveResult {
                objective: "price".into(),
                value: self.figures.price,
                target: *most,
                count: self.figures.machines,
                met: self.figures.price <= *most,
            },
        }
    }
}
