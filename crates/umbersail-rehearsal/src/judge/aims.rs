//! What a night comes to: aims as the protocol counts them, money, and how much
//! was served.

use super::{Figures, JobSeen, Judge, Reached, Rule};
use crate::answers::Questions;
use crate::scenario::Objective;
use crate::served;

impl Judge<'_> {
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
        let (worth, spent) = (self.useful_cpu_s * lowest, self.figures.spent);
        let figures = &mut self.figures;
        figures.price = if worth > 0.0 { spent / worth } else { 0.0 };
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
            .filter(|j| j.cancel_told.is_some())
            .count();
        figures.done = self
            .jobs
            .values()
            .filter(|j| j.complete_at.is_some())
            .count();
        let done = self.jobs.values().filter(|j| j.cancel_asked.is_none());
        figures.finished_s = done.filter_map(|j| j.complete_at).reduce(f64::max);
        let from = self.night.warm_up_s;
        let counted = self.jobs.values().filter_map(|j| {
            let spec = j.spec.as_ref()?;
            (j.asked_at >= from && j.cancel_asked.is_none()).then_some(served::Job {
                class: &spec.class,
                team: &spec.team,
                size: f64::from(spec.tasks) * spec.cpus,
                asked_at: j.asked_at,
                accepted: j.accepted.is_some(),
                deadline_s: spec.deadline_s,
                began_at: j.started.values().copied().reduce(f64::min),
                beside_at: j
                    .started
                    .values()
                    .copied()
                    .reduce(f64::max)
                    .filter(|_| j.started.len() == spec.tasks as usize),
                complete_at: j.complete_at,
            })
        });
        self.figures.served = served::served(counted, end);
        let questions = std::mem::replace(&mut self.questions, Questions::new(0.0));
        self.figures.answers = questions.finish();
        let aims = self.night.objectives.clone();
        for aim in &aims {
            let reached = self.reached(aim, end);
            self.figures.aims.push(reached);
        }
        self.figures
    }

    fn reached(&self, aim: &Objective, end: f64) -> Reached {
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
            let here = move |j: &&JobSeen| {
                j.asked_at >= from
                    && j.cancel_asked.is_none()
                    && j.spec.as_ref().is_some_and(|s| s.class == class)
            };
            self.jobs.values().filter(here)
        };
        match aim {
            Objective::Deadline {
                class,
                times,
                share: wanted,
            } => {
                let due = |j: &&JobSeen| {
                    let deadline = j
                        .spec
                        .as_ref()
                        .and_then(|s| s.deadline_s)
                        .unwrap_or(f64::MAX);
                    j.asked_at + deadline * times
                };
                let counted: Vec<&JobSeen> = of_class(class).filter(|j| due(j) < end).collect();
                // Complete, and its user would be told so 3 s later.
                let kept = |j: &&&JobSeen| j.complete_at.is_some_and(|at| at <= due(j));
                let value = share(counted.iter().filter(kept).count(), counted.len());
                Reached {
                    aim: format!("deadline {class} {times}x"),
                    value,
                    wanted: *wanted,
                    of: counted.len(),
                    met: value >= *wanted,
                }
            }
            Objective::Wait {
                class,
                within_s,
                share: wanted,
            } => {
                let (mut hits, mut of) = (0, 0);
                for job in of_class(class) {
                    let tasks = job.spec.as_ref().map_or(0, |s| s.tasks) as usize;
                    if job.asked_at + within_s > end {
                        continue;
                    }
                    of += tasks;
                    let in_time = |at: &&f64| **at - job.asked_at <= *within_s;
                    hits += job.started.values().filter(in_time).count();
                }
                let value = share(hits, of);
                Reached {
                    aim: format!("wait {class} {within_s} s"),
                    value,
                    wanted: *wanted,
                    of,
                    met: value >= *wanted,
                }
            }
            Objective::Submit {
                within_ms,
                share: wanted,
            } => {
                let asked: Vec<&JobSeen> = {
                    let from = self.night.warm_up_s;
                    let counts = |j: &&JobSeen| j.spec.is_some() && j.asked_at >= from;
                    self.jobs.values().filter(counts).collect()
                };
                let quick = |j: &&&JobSeen| {
                    j.accepted
                        .is_some_and(|at| (at - j.asked_at) * 1000.0 <= *within_ms)
                };
                let value = share(asked.iter().filter(quick).count(), asked.len());
                Reached {
                    aim: format!("submit {within_ms} ms"),
                    value,
                    wanted: *wanted,
                    of: asked.len(),
                    met: value >= *wanted,
                }
            }
            Objective::Useful { share: wanted } => Reached {
                aim: "useful".into(),
                value: self.figures.useful,
                wanted: *wanted,
                of: self.figures.machines,
                met: self.figures.useful >= *wanted,
            },
            Objective::Price { most } => Reached {
                aim: "price".into(),
                value: self.figures.price,
                wanted: *most,
                of: self.figures.machines,
                met: self.figures.price <= *most,
            },
        }
    }
}
