//! Rules, aims and cost, from the history alone (PROTOCOL, "Rules" and "How
//! aims are counted").

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbersail_wire::{JobSpec, JobStage};

use crate::history::{End, Event, What};
use crate::night::{Aim, Night};
use crate::served::{self, Served};

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
    /// By class and by team.
    pub served: Vec<Served>,
}

impl Figures {
    /// Whether the night failed: a rule was broken, it was not played in its
    /// time, or less than half of a class or team was served.
    pub fn failed(&self) -> bool {
        !self.breaches.is_empty() || self.overrun || self.served.iter().any(Served::is_under)
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
    night: &'a Night,
    jobs: BTreeMap<String, JobSeen>,
    machines: BTreeMap<String, MachineSeen>,
    /// Where each task is now.
    on: BTreeMap<(String, u32), Vec<Place>>,
    used: BTreeMap<String, f64>,
    answered_at: f64,
    useful_cpu_s: f64,
    /// What useful work cost at nominal prices, for its share of the machines.
    useful_money: f64,
    /// Spent while it only warmed up.
    spent_before: f64,
    figures: Figures,
}

/// Judges a night by its history.
pub fn judge(night: &Night, events: &[Event]) -> Figures {
    let mut judge = Judge {
        night,
        jobs: BTreeMap::new(),
        machines: BTreeMap::new(),
        on: BTreeMap::new(),
        used: BTreeMap::new(),
        answered_at: 0.0,
        useful_cpu_s: 0.0,
        useful_money: 0.0,
        spent_before: 0.0,
        figures: Figures::default(),
    };
    for (index, event) in events.iter().enumerate() {
        judge.see(index, event);
    }
    let end = events.last().map_or(0.0, |e| e.t);
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
                self.answered_at = t;
            }
            What::Refused { job, status } => {
                if *status != 0 && self.job(job).accepted.is_some() {
                    let detail = format!("{job}: accepted, then refused with {status}");
                    self.breach(Rule::Forgotten, t, index, detail);
                }
            }
            What::Polled { job, status, stage } => self.polled(index, t, job, *status, *stage),
            What::Repeated { job, status, stage } => {
                if matches!(status, 400 | 422) {
                    let detail = format!("{job}: repeated submission answered {status}");
                    self.breach(Rule::Forgotten, t, index, detail);
                }
                if let Some(stage) = stage {
                    self.told(index, t, job, *stage);
                }
            }
            What::CancelAsked { job } => {
                self.job(job).cancel_asked.get_or_insert(t);
            }
            What::CancelTold { job, stage } => self.told(index, t, job, *stage),
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
            }
            What::Level { spent, .. } => {
                if t <= self.night.warm_up_s {
                    self.spent_before = *spent;
                }
                self.figures.spent = *spent - self.spent_before;
                self.look_for_cancelled(index, t);
            }
            What::Up { .. }
            | What::MachineGone { .. }
            | What::Trouble { .. }
            | What::StoreSent { .. } => {}
        }
    }

    fn job(&mut self, id: &str) -> &mut JobSeen {
        self.jobs.entry(id.to_owned()).or_default()
    }

    fn polled(&mut self, index: usize, t: f64, id: &str, status: u16, stage: Option<JobStage>) {
        let known = self.jobs.contains_key(id);
        match (status, stage) {
            (200, Some(_)) if !known => {
                self.breach(
                    Rule::Invented,
                    t,
                    index,
                    format!("{id}: nobody submitted it"),
                );
            }
            (200, Some(stage)) => {
                self.answered_at = t;
                self.job(id).unanswered_since = None;
                self.told(index, t, id, stage);
            }
            (404, _) => {
                self.answered_at = t;
                if known && self.job(id).accepted.is_some() {
                    self.breach(
                        Rule::Forgotten,
                        t,
                        index,
                        format!("{id}: accepted, answered 404"),
                    );
                }
            }
            _ if known => {
                let others = t - self.answered_at < 20.0;
                let since = *self.job(id).unanswered_since.get_or_insert(t);
                if t - since > FORGOTTEN_S && others {
                    self.breach(Rule::Forgotten, t, index, format!("{id}: every poll fails"));
                    self.job(id).unanswered_since = Some(t);
                }
            }
            _ => {}
        }
    }

    /// Somebody was told how a job stands.
    fn told(&mut self, index: usize, t: f64, id: &str, stage: JobStage) {
        let job = self.job(id);
        let before = job.told;
        let tasks = job.spec.as_ref().map_or(0, |s| s.tasks) as usize;
        let complete = job.done_tasks.len() >= tasks;
        let asked = job.cancel_asked.is_some();
        let over = matches!(stage, JobStage::Done | JobStage::Cancelled);
        if over {
            job.told = Some(stage);
        }
        match stage {
            JobStage::Done => drop(job.done_told.get_or_insert(t)),
            JobStage::Cancelled => drop(job.cancel_told.get_or_insert(t)),
            _ => {}
        }
        if let Some(before) = before.filter(|b| *b != stage) {
            let detail = format!("{id}: called {before:?}, then {stage:?}");
            self.breach(Rule::WentBack, t, index, detail);
        }
        if stage == JobStage::Cancelled && !asked {
            self.breach(
                Rule::WentBack,
                t,
                index,
                format!("{id}: cancelled by nobody"),
            );
        }
        if stage == JobStage::Done && !complete {
            let detail = format!("{id}: called done before all {tasks} tasks were");
            self.breach(Rule::NotDone, t, index, detail);
        }
    }

    fn started(&mut self, index: usize, t: f64, machine: &str, id: &str, task: u32, attempt: u64) {
        self.figures.starts += 1;
        let cancel_s = self.night.workers.cancel_s;
        let job = self.job(id);
        let Some(spec) = job.spec.clone() else {
            return;
        };
        job.started.entry(task).or_insert(t);
        let cancelled = job.cancel_told.is_some_and(|at| t > at + cancel_s);
        if cancelled {
            let detail = format!("{id}/{task} starts on {machine} although it is cancelled");
            self.breach(Rule::RanCancelled, t, index, detail);
        }
        let key = (id.to_owned(), task);
        if let Some((other, _, since)) = self.on.get(&key).and_then(|p| p.first()).cloned() {
            let detail =
                format!("{id}/{task} is on {other} since {since:.3} s and starts on {machine}");
            self.breach(Rule::RanTwice, t, index, detail);
        }
        self.check_place(index, t, machine, &spec, task);
        let place = (machine.to_owned(), attempt, t);
        self.on.entry(key).or_default().push(place);
        let used = self.used.entry(spec.team.clone()).or_default();
        *used += spec.cpus;
        let (used, team) = (*used, self.night.teams.iter().find(|x| x.name == spec.team));
        let most = team.map_or(0.0, |x| x.cpus_max);
        if most > 0.0 && used > most + 1e-6 {
            let detail = format!("{} uses {used} CPUs of {most}", spec.team);
            self.breach(Rule::Quota, t, index, detail);
        }
    }

    fn check_place(&mut self, index: usize, t: f64, machine: &str, spec: &JobSpec, task: u32) {
        let Some(here) = self.machines.get(machine) else {
            return;
        };
        let kind = &self.night.machines[here.kind].name;
        let mut wrong = None;
        if spec
            .types
            .as_ref()
            .is_some_and(|types| !types.contains(kind))
        {
            wrong = Some("its type is not allowed");
        }
        if spec.zone.as_ref().is_some_and(|zone| *zone != here.zone) {
            wrong = Some("its zone is not allowed");
        }
        if here.spot && !spec.spot() {
            wrong = Some("it is a spot machine");
        }
        if spec.one_zone() || spec.spread() {
            let range = (spec.id.clone(), 0)..=(spec.id.clone(), u32::MAX);
            let zones: Vec<&str> = self
                .on
                .range(range)
                .flat_map(|(_, places)| places)
                .filter_map(|(m, ..)| self.machines.get(m).map(|s| s.zone.as_str()))
                .collect();
            let same = zones.iter().filter(|z| **z == here.zone).count();
            if spec.one_zone() && same < zones.len() {
                wrong = Some("the job's tasks are in another zone");
            }
            if spec.spread() && same + 1 > (spec.tasks as usize).div_ceil(2) {
                wrong = Some("more than half of the tasks are in its zone");
            }
        }
        if let Some(why) = wrong {
            let detail = format!("{}/{task} starts on {machine}: {why}", spec.id);
            self.breach(Rule::WrongPlace, t, index, detail);
        }
    }

    fn ended(&mut self, t: f64, machine: &str, id: &str, task: u32, how: End, useful_s: f64) {
        let job = self.job(id);
        let Some(spec) = job.spec.clone() else {
            return;
        };
        if how == End::Done
            && job.done_tasks.insert(task)
            && job.done_tasks.len() == spec.tasks as usize
        {
            job.complete_at = Some(t);
        }
        if how == End::Stopped && job.started.get(&task).is_some_and(|at| t - at < HOLDS_S) {
            job.started.remove(&task);
        }
        *self.used.entry(spec.team).or_default() -= spec.cpus;
        let useful_s = useful_s.min(t - self.night.warm_up_s).max(0.0);
        self.useful_cpu_s += useful_s * spec.cpus;
        if let Some(here) = self.machines.get(machine) {
            let kind = &self.night.machines[here.kind];
            let share = (spec.cpus / kind.cpus).max(spec.memory_gb / kind.memory_gb);
            let hourly = if here.spot {
                kind.spot_price.unwrap_or(kind.price)
            } else {
                kind.price
            };
            self.useful_money += useful_s * share * hourly / 3600.0;
        }
        match how {
            End::Lapsed => self.figures.lapsed += 1,
            End::Gone => self.figures.lost += 1,
            _ => {}
        }
    }

    fn look_for_cancelled(&mut self, index: usize, t: f64) {
        let late = |at: f64| {
            t > at + self.night.workers.cancel_s + 0.5
                && t <= at + self.night.workers.cancel_s + 1.6
        };
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.cancel_told.is_some_and(late));
        let ids: Vec<String> = jobs.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let range = (id.clone(), 0)..=(id.clone(), u32::MAX);
            let there = self
                .on
                .range(range)
                .next()
                .map(|(k, p)| (k.1, p[0].0.clone()));
            if let Some((task, machine)) = there {
                let detail = format!("{id}/{task} is on {machine} long after its cancellation");
                self.breach(Rule::RanCancelled, t, index, detail);
            }
        }
    }

    fn finish(mut self, end: f64, last: usize) -> Figures {
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
                asked_at: j.asked_at,
                deadline_s: spec.deadline_s,
                complete_at: j.complete_at,
            })
        });
        self.figures.served = served::served(counted, end);
        let aims = self.night.aims.clone();
        for aim in &aims {
            let reached = self.reached(aim, end);
            self.figures.aims.push(reached);
        }
        self.figures
    }

    fn reached(&self, aim: &Aim, end: f64) -> Reached {
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
            Aim::Deadline {
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
            Aim::Wait {
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
            Aim::Submit {
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
            Aim::Useful { share: wanted } => Reached {
                aim: "useful".into(),
                value: self.figures.useful,
                wanted: *wanted,
                of: self.figures.machines,
                met: self.figures.useful >= *wanted,
            },
            Aim::Price { most } => Reached {
                aim: "price".into(),
                value: self.figures.price,
                wanted: *most,
                of: self.figures.machines,
                met: self.figures.price <= *most,
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::night::bundled;
    use umbersail_wire::{JobKind, Priority};

    fn spec(tasks: u32) -> JobSpec {
        JobSpec {
            id: "req-1".into(),
            class: "pages".into(),
            team: "kitchen".into(),
            kind: JobKind::Array,
            priority: Priority::High,
            tasks,
            cpus: 2.0,
            gpus: None,
            memory_gb: 1.0,
            image: "i".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: None,
            spread: None,
            spot: None,
            estimate_s: 10.0,
            checkpoint_s: None,
            save_s: None,
            deadline_s: Some(60.0),
        }
    }

    fn rented(machine: &str, zone: &str, spot: bool) -> What {
        What::Rented {
            machine: machine.into(),
            kind: "box".into(),
            zone: zone.into(),
            spot,
        }
    }

    fn started(machine: &str, task: u32) -> What {
        What::Started {
            machine: machine.into(),
            job: "req-1".into(),
            task,
            attempt: 1,
        }
    }

    fn ended(machine: &str, task: u32, how: End) -> What {
        What::Ended {
            machine: machine.into(),
            job: "req-1".into(),
            task,
            attempt: 1,
            how,
            useful_s: 5.0,
        }
    }

    fn polled(status: u16, stage: Option<JobStage>) -> What {
        What::Polled {
            job: "req-1".into(),
            status,
            stage,
        }
    }

    fn told(stage: JobStage) -> What {
        What::CancelTold {
            job: "req-1".into(),
            stage,
        }
    }

    /// Rules broken by a job that is accepted on two machines and then these
    /// events, ten seconds apart.
    fn broken(job: JobSpec, limit: f64, then: Vec<What>) -> Vec<Rule> {
        let text = bundled("power-cut-south").unwrap();
        let mut night = Night::parse("test", text).unwrap();
        night.teams[0].cpus_max = limit;
        let accepted = What::Accepted {
            job: "req-1".into(),
            after_s: 0.1,
        };
        let asked = What::Asked {
            spec: Box::new(job),
        };
        let all = vec![
            rented("m1", "north", false),
            rented("m2", "south", true),
            asked,
            accepted,
        ];
        let events: Vec<Event> = all
            .into_iter()
            .chain(then)
            .enumerate()
            .map(|(i, what)| Event {
                t: 10.0 * i as f64,
                what,
            })
            .collect();
        judge(&night, &events)
            .breaches
            .iter()
            .map(|b| b.rule)
            .collect()
    }

    #[test]
    fn each_rule_is_found_broken_by_what_breaks_it_and_by_nothing_else() {
        // Guards against a judge that can't say no, or says it for nothing.
        use Rule::*;
        let (done, cancelled) = (JobStage::Done, JobStage::Cancelled);
        let asked = || What::CancelAsked {
            job: "req-1".into(),
        };
        let start = || started("m1", 0);
        let finish = || ended("m1", 0, End::Done);
        let level = || What::Level {
            cpus: 0.0,
            waiting: 0,
            ordinary: 0,
            spot: 0,
            spent: 1.0,
        };
        let free = JobSpec {
            spot: Some(true),
            ..spec(1)
        };
        let two = JobSpec {
            tasks: 2,
            ..free.clone()
        };
        let with = |f: fn(&mut JobSpec)| {
            let mut job = two.clone();
            f(&mut job);
            job
        };
        let cases: Vec<(JobSpec, f64, Vec<What>, Vec<Rule>)> = vec![
            (
                free.clone(),
                0.0,
                vec![start(), finish(), polled(200, Some(done))],
                vec![],
            ),
            (
                free.clone(),
                0.0,
                vec![start(), started("m2", 0)],
                vec![RanTwice],
            ),
            (
                free.clone(),
                0.0,
                vec![start(), ended("m1", 0, End::Lapsed), started("m2", 0)],
                vec![],
            ),
            (two.clone(), 4.0, vec![start(), started("m1", 1)], vec![]),
            (
                two.clone(),
                3.0,
                vec![start(), started("m1", 1)],
                vec![Quota],
            ),
            (spec(1), 0.0, vec![started("m2", 0)], vec![WrongPlace]),
            (
                with(|j| j.zone = Some("north".into())),
                0.0,
                vec![started("m2", 0)],
                vec![WrongPlace],
            ),
            (
                with(|j| j.types = Some(vec!["x".into()])),
                0.0,
                vec![start()],
                vec![WrongPlace],
            ),
            (
                with(|j| j.one_zone = Some(true)),
                0.0,
                vec![start(), started("m2", 1)],
                vec![WrongPlace],
            ),
            (
                with(|j| j.spread = Some(true)),
                0.0,
                vec![start(), started("m1", 1)],
                vec![WrongPlace],
            ),
            (
                with(|j| j.spread = Some(true)),
                0.0,
                vec![start(), started("m2", 1)],
                vec![],
            ),
            (
                free.clone(),
                0.0,
                vec![
                    asked(),
                    told(cancelled),
                    start(),
                    ended("m1", 0, End::Stopped),
                ],
                vec![],
            ),
            (
                free.clone(),
                0.0,
                [
                    vec![asked(), told(cancelled)],
                    (0..4).map(|_| level()).collect(),
                    vec![start()],
                ]
                .concat(),
                vec![RanCancelled],
            ),
            (
                free.clone(),
                0.0,
                vec![start(), polled(404, None)],
                vec![Forgotten],
            ),
            (
                free.clone(),
                0.0,
                vec![
                    start(),
                    What::Repeated {
                        job: "req-1".into(),
                        status: 422,
                        stage: None,
                    },
                ],
                vec![Forgotten],
            ),
            (
                free.clone(),
                0.0,
                vec![
                    start(),
                    What::Polled {
                        job: "req-9".into(),
                        status: 200,
                        stage: Some(done),
                    },
                ],
                vec![Invented],
            ),
            (
                two.clone(),
                0.0,
                vec![start(), finish(), polled(200, Some(done))],
                vec![NotDone],
            ),
            (
                free.clone(),
                0.0,
                vec![
                    start(),
                    finish(),
                    polled(200, Some(done)),
                    polled(200, Some(JobStage::Running)),
                ],
                vec![WentBack],
            ),
            (
                free.clone(),
                0.0,
                vec![start(), polled(200, Some(cancelled))],
                vec![WentBack],
            ),
            (free, 0.0, vec![], vec![NothingRan]),
        ];
        for (index, (job, limit, then, wanted)) in cases.into_iter().enumerate() {
            assert_eq!(broken(job, limit, then), wanted, "case {index}");
        }
    }
}
