//! Jobs that are left waiting although a machine has room for them: none may be, for
//! long, once all troubles are over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use umbersail_wire::JobSpec;

use crate::history::{End, Event, What};
use crate::scenario::Scenario;

/// So many seconds a job may wait beside a machine with room for it.
const LEFT_S: f64 = 90.0;
/// A place counts as free once its task has been gone for so many seconds: under a
/// backlog some place or other is empty at any moment, for as long as it takes to be
/// reported, recorded and filled again.
const REFILL_S: f64 = 10.0;
/// Seconds that the sum of a night's ticks may be short of that by rounding.
const ROUNDING_S: f64 = 1e-3;
/// CPUs and gigabytes that may be missing by rounding.
const ROUNDING: f64 = 1e-6;

/// A job that was left waiting.
#[derive(Debug, PartialEq)]
pub(super) struct LeftWaiting {
    pub job: String,
    pub t: f64,
    /// Index of the event at which it had waited too long.
    pub event: usize,
    /// A machine that had room for it then.
    pub machine: String,
}

/// A task on a machine, or on its way there.
type Place = (String, u32, String, u64);

struct Machine {
    kind: usize,
    zone: String,
    spot: bool,
    is_up: bool,
    /// A failure holds it out of use until then.
    struck_until: f64,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
}

/// The run of the calendar, and the step of it, that a job belongs to.
type StepOf = (String, u64, usize);

struct Job {
    spec: JobSpec,
    accepted: bool,
    cancelled: bool,
    /// One of its tasks failed: its calendar's later steps don't wait for it.
    failed: bool,
    done: BTreeSet<u32>,
    /// Tasks that run, and tasks whose machines only fetch their images.
    running: usize,
    fetching: usize,
    /// Since when it waits beside room.
    since: Option<f64>,
}

impl Job {
    fn is_complete(&self) -> bool {
        self.done.len() >= self.spec.tasks as usize
    }

    fn waits(&self) -> bool {
        self.accepted && !self.cancelled && !self.is_complete() && self.running == 0
    }
}

/// Follows the machines' room and the jobs that wait for it.
struct Tracker<'a> {
    night: &'a Scenario,
    machines: BTreeMap<String, Machine>,
    jobs: BTreeMap<String, Job>,
    steps: BTreeMap<String, StepOf>,
    /// Where tasks hold room, and whether they run already.
    places: BTreeMap<Place, bool>,
    used: BTreeMap<String, f64>,
    /// Places that will count as free, and when.
    refilled: VecDeque<(f64, Place)>,
    found: Vec<LeftWaiting>,
}

/// Jobs that were left waiting for [`LEFT_S`] after all troubles, from the history.
pub(super) fn judged(night: &Scenario, events: &[Event]) -> Vec<LeftWaiting> {
    let mut tracker = tracker(night);
    let over_s = night.faults_over_s();
    for (index, event) in events.iter().enumerate() {
        tracker.see(event);
        if event.t >= over_s && matches!(event.what, What::Level { .. }) {
            tracker.look(index, event.t);
        }
    }
    tracker.found
}

fn tracker(night: &Scenario) -> Tracker<'_> {
    Tracker {
        night,
        machines: BTreeMap::new(),
        jobs: BTreeMap::new(),
        steps: BTreeMap::new(),
        places: BTreeMap::new(),
        used: BTreeMap::new(),
        refilled: VecDeque::new(),
        found: Vec::new(),
    }
}

impl Tracker<'_> {
    fn see(&mut self, event: &Event) {
        match &event.what {
            What::OfRun {
                run,
                opens_s,
                step,
                job,
            } => {
                let step = (run.clone(), opens_s.to_bits(), *step);
                self.steps.insert(job.clone(), step);
            }
            What::Asked { spec } => self.asked(spec),
            What::Accepted { job, .. } => self.with(job, |j| j.accepted = true),
            What::Refused { job, .. } | What::CancelAsked { job } => {
                self.with(job, |j| j.cancelled = true);
            }
            What::Rented {
                machine,
                kind,
                zone,
                spot,
            } => self.rented(machine, kind, zone, *spot),
            What::Up { machine } => self.set_up(machine, true),
            What::MachineGone { machine, .. } => self.set_up(machine, false),
            What::Struck { machine, for_s, .. } => {
                if let Some(here) = self.machines.get_mut(machine) {
                    here.struck_until = here.struck_until.max(event.t + for_s);
                }
            }
            What::Launched {
                machine,
                job,
                task,
                attempt,
            } => self.hold((job.clone(), *task, machine.clone(), *attempt), false),
            What::Started {
                machine,
                job,
                task,
                attempt,
            } => self.hold((job.clone(), *task, machine.clone(), *attempt), true),
            What::Withdrawn {
                machine,
                job,
                task,
                attempt,
            } => {
                let place = (job.clone(), *task, machine.clone(), *attempt);
                if self.leave(&place) {
                    self.take_room(&place, -1.0);
                }
            }
            What::Ended {
                machine,
                job,
                task,
                attempt,
                how,
                ..
            } => {
                let place = (job.clone(), *task, machine.clone(), *attempt);
                if self.leave(&place) {
                    self.refilled.push_back((event.t + REFILL_S, place));
                }
                self.with(job, |j| match how {
                    End::Done => drop(j.done.insert(*task)),
                    End::Error => j.failed = true,
                    _ => {}
                });
            }
            _ => {}
        }
    }

    fn with(&mut self, job: &str, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.jobs.get_mut(job) {
            change(job);
        }
    }

    fn asked(&mut self, spec: &JobSpec) {
        let job = Job {
            spec: spec.clone(),
            accepted: false,
            cancelled: false,
            failed: false,
            done: BTreeSet::new(),
            running: 0,
            fetching: 0,
            since: None,
        };
        self.jobs.entry(spec.id.clone()).or_insert(job);
    }

    fn rented(&mut self, name: &str, kind: &str, zone: &str, spot: bool) {
        let kinds = &self.night.machines;
        let Some(kind) = kinds.iter().position(|k| k.name == kind) else {
            return;
        };
        let machine = Machine {
            kind,
            zone: zone.to_owned(),
            spot,
            is_up: false,
            struck_until: 0.0,
            cpus: 0.0,
            gpus: 0.0,
            memory_gb: 0.0,
        };
        self.machines.insert(name.to_owned(), machine);
    }

    fn set_up(&mut self, machine: &str, is_up: bool) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.is_up = is_up;
        }
    }

    /// The task holds room on its machine from now on, and runs there or not yet.
    fn hold(&mut self, place: Place, runs: bool) {
        let is_new = !self.places.contains_key(&place);
        if is_new {
            self.take_room(&place, 1.0);
        }
        let ran = self.places.insert(place.clone(), runs);
        self.with(&place.0, |job| {
            match ran {
                Some(true) => job.running -= 1,
                Some(false) => job.fetching -= 1,
                None => {}
            }
            match runs {
                true => job.running += 1,
                false => job.fetching += 1,
            }
        });
    }

    /// The task has left its place; false if it was not there.
    fn leave(&mut self, place: &Place) -> bool {
        let Some(ran) = self.places.remove(place) else {
            return false;
        };
        self.with(&place.0, |job| match ran {
            true => job.running -= 1,
            false => job.fetching -= 1,
        });
        true
    }

    /// Places whose time to be filled again is over count as free.
    fn free_places(&mut self, t: f64) {
        let is_due = |(at, _): &&(f64, Place)| *at <= t;
        let due = self.refilled.iter().take_while(is_due).count();
        let places: Vec<Place> = self.refilled.drain(..due).map(|(_, place)| place).collect();
        for place in places {
            self.take_room(&place, -1.0);
        }
    }

    fn take_room(&mut self, (job, _, machine, _): &Place, times: f64) {
        let Some(spec) = self.jobs.get(job).map(|j| &j.spec) else {
            return;
        };
        *self.used.entry(spec.team.clone()).or_default() += times * spec.cpus;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.cpus += times * spec.cpus;
            machine.gpus += times * spec.gpus();
            machine.memory_gb += times * spec.memory_gb;
        }
    }

    /// Follows how long each job has waited beside room, and notes those that have for
    /// too long: once for each wait.
    fn look(&mut self, index: usize, t: f64) {
        self.free_places(t);
        let mut rooms: BTreeMap<String, Option<String>> = BTreeMap::new();
        let mut waits: Vec<(String, Option<f64>)> = Vec::new();
        for (id, job) in &self.jobs {
            let waits_beside = match job.waits() {
                false => None,
                // Its machine fetches the image: that is no wait for room, nor its end.
                true if job.fetching > 0 => continue,
                true if self.is_held(id, t) => None,
                true => rooms
                    .entry(wanted(&job.spec))
                    .or_insert_with(|| self.room(&job.spec, t))
                    .clone(),
            };
            let Some(machine) = waits_beside else {
                if job.since.is_some() {
                    waits.push((id.clone(), None));
                }
                continue;
            };
            let since = job.since.unwrap_or(t);
            if t - since < LEFT_S - ROUNDING_S {
                waits.push((id.clone(), Some(since)));
                continue;
            }
            self.found.push(LeftWaiting {
                job: id.clone(),
                t,
                event: index,
                machine,
            });
            waits.push((id.clone(), None));
        }
        for (id, since) in waits {
            self.with(&id, |job| job.since = since);
        }
    }

    /// Whether the calendar holds the job back: a step before its own has not ended,
    /// and its run is not due yet.
    fn is_held(&self, id: &str, t: f64) -> bool {
        let Some((run, opens, step)) = self.steps.get(id) else {
            return false;
        };
        let due_s = self.night.runs.iter().find(|r| r.name == *run);
        let due_s = due_s.map_or(0.0, |r| r.due_s) + f64::from_bits(*opens);
        if !self.night.calendar || t > due_s + self.night.controllers.skew_ms / 1000.0 {
            return false;
        }
        self.steps.iter().any(|(other, (of, opened, before))| {
            let is_before = of == run && opened == opens && before < step;
            let is_open = |j: &Job| !j.is_complete() && !j.cancelled && !j.failed;
            is_before && self.jobs.get(other).is_some_and(is_open)
        })
    }

    /// A machine with room for a task of the job, if its team's limit has room too.
    fn room(&self, spec: &JobSpec, t: f64) -> Option<String> {
        let used = self.used.get(&spec.team).copied().unwrap_or(0.0);
        let team = self.night.teams.iter().find(|x| x.name == spec.team);
        let most = team.map(|x| x.cpus_max).filter(|most| *most > 0.0);
        if most.is_some_and(|most| used + spec.cpus > most + ROUNDING) {
            return None;
        }
        let mut machines = self.machines.iter();
        let found = machines.find(|(_, machine)| self.has_room(machine, spec, t));
        found.map(|(name, _)| name.clone())
    }

    fn has_room(&self, machine: &Machine, spec: &JobSpec, t: f64) -> bool {
        let kind = &self.night.machines[machine.kind];
        let types = spec.types.as_ref();
        let is_allowed = types.is_none_or(|types| types.contains(&kind.name))
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && (!machine.spot || spec.spot());
        machine.is_up
            && machine.struck_until <= t
            && is_allowed
            && machine.cpus + spec.cpus <= kind.cpus + ROUNDING
            && machine.gpus + spec.gpus() <= kind.gpus + ROUNDING
            && machine.memory_gb + spec.memory_gb <= kind.memory_gb + ROUNDING
    }
}

/// What the job wants of machines and of its team, as a key: jobs with the same find
/// room in the same places.
fn wanted(spec: &JobSpec) -> String {
    format!(
        "{} {} {} {} {:?} {:?} {}",
        spec.team,
        spec.cpus,
        spec.gpus(),
        spec.memory_gb,
        spec.types,
        spec.zone,
        spec.spot(),
    )
}

#[cfg(test)]
mod tests;
