//! Finds jobs that are left waiting although a machine has room for them. After all faults have
//! ended, no job may wait like this for longer than [`MAX_WAIT_S`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use umbersail_wire::JobSpec;

use crate::history::{EndReason, Event, EventKind};
use crate::scenario::Scenario;

/// How many seconds a job may wait while a machine has room for it.
const MAX_WAIT_S: f64 = 90.0;
/// The resources of a task count as free this many seconds after the task has ended: with a
/// backlog, the resources of some task are free at any moment, for as long as it takes to report
/// its end, record it and place another task.
const REFILL_ALLOWANCE_S: f64 = 10.0;
/// Seconds by which a wait measured between samples may fall short of [`MAX_WAIT_S`] because of
/// rounding.
const TIME_TOLERANCE_S: f64 = 1e-3;
/// CPUs, GPUs and gigabytes by which usage may exceed a limit because of rounding.
const RESOURCE_TOLERANCE: f64 = 1e-6;

/// A job that was left waiting.
#[derive(Debug, PartialEq)]
pub(super) struct LeftWaiting {
    pub job: String,
    pub t: f64,
    /// Index of the event at which the wait became too long.
    pub event: usize,
    /// A machine that had room for the job at that time.
    pub machine: String,
}

/// An attempt on a machine, running or waiting for its image: job, task, machine, attempt.
type Place = (String, u32, String, u64);

struct Machine {
    kind: usize,
    zone: String,
    spot: bool,
    is_up: bool,
    /// A fault keeps the machine out of use until then.
    unavailable_until: f64,
    /// Resources in use.
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
}

/// The calendar run that a job belongs to: its name, the bits of its opening time, and the step
/// of the job.
type StepKey = (String, u64, usize);

struct Job {
    spec: JobSpec,
    accepted: bool,
    cancelled: bool,
    /// A task failed: later steps of the calendar run do not wait for the job.
    failed: bool,
    done: BTreeSet<u32>,
    /// Tasks that run, and tasks whose machines are still fetching their images.
    running: usize,
    fetching: usize,
    /// Since when the job has waited while a machine has room for it.
    waiting_since: Option<f64>,
}

impl Job {
    fn is_complete(&self) -> bool {
        self.done.len() >= self.spec.tasks as usize
    }

    fn is_waiting(&self) -> bool {
        self.accepted && !self.cancelled && !self.is_complete() && self.running == 0
    }
}

/// Tracks the free resources of the machines and the jobs that wait for them.
struct Tracker<'a> {
    night: &'a Scenario,
    machines: BTreeMap<String, Machine>,
    jobs: BTreeMap<String, Job>,
    steps: BTreeMap<String, StepKey>,
    /// Attempts that occupy a machine, and whether each already runs.
    places: BTreeMap<Place, bool>,
    /// CPUs in use by team.
    team_cpus: BTreeMap<String, f64>,
    /// Attempts that have ended but still count as occupying their machines, and until when.
    pending_releases: VecDeque<(f64, Place)>,
    found: Vec<LeftWaiting>,
}

/// Returns the jobs that were left waiting for [`MAX_WAIT_S`] after all faults had ended.
pub(super) fn find_left_waiting(night: &Scenario, events: &[Event]) -> Vec<LeftWaiting> {
    let mut tracker = tracker(night);
    let faults_end_s = night.faults_over_s();
    for (index, event) in events.iter().enumerate() {
        tracker.apply(event);
        if event.t >= faults_end_s && matches!(event.what, EventKind::UsageSample { .. }) {
            tracker.check_waits(index, event.t);
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
        team_cpus: BTreeMap::new(),
        pending_releases: VecDeque::new(),
        found: Vec::new(),
    }
}

impl Tracker<'_> {
    fn apply(&mut self, event: &Event) {
        match &event.what {
            EventKind::RunJob {
                run,
                opens_s,
                step,
                job,
            } => {
                let step = (run.clone(), opens_s.to_bits(), *step);
                self.steps.insert(job.clone(), step);
            }
            EventKind::Submitted { spec } => self.submitted(spec),
            EventKind::Accepted { job, .. } => self.update_job(job, |j| j.accepted = true),
            EventKind::Refused { job, .. } | EventKind::CancelRequested { job } => {
                self.update_job(job, |j| j.cancelled = true);
            }
            EventKind::Rented {
                machine,
                kind,
                zone,
                spot,
            } => self.rented(machine, kind, zone, *spot),
            EventKind::Up { machine } => self.set_available(machine, true),
            EventKind::MachineGone { machine, .. } => self.set_available(machine, false),
            EventKind::MachineFaulted { machine, for_s, .. } => {
                if let Some(machine) = self.machines.get_mut(machine) {
                    machine.unavailable_until = machine.unavailable_until.max(event.t + for_s);
                }
            }
            EventKind::Launched {
                machine,
                job,
                task,
                attempt,
            } => self.occupy((job.clone(), *task, machine.clone(), *attempt), false),
            EventKind::Started {
                machine,
                job,
                task,
                attempt,
            } => self.occupy((job.clone(), *task, machine.clone(), *attempt), true),
            EventKind::Withdrawn {
                machine,
                job,
                task,
                attempt,
            } => {
                let place = (job.clone(), *task, machine.clone(), *attempt);
                if self.release(&place) {
                    self.add_usage(&place, -1.0);
                }
            }
            EventKind::Ended {
                machine,
                job,
                task,
                attempt,
                how,
                ..
            } => {
                let place = (job.clone(), *task, machine.clone(), *attempt);
                if self.release(&place) {
                    self.pending_releases
                        .push_back((event.t + REFILL_ALLOWANCE_S, place));
                }
                self.update_job(job, |j| match how {
                    EndReason::Done => drop(j.done.insert(*task)),
                    EndReason::Error => j.failed = true,
                    _ => {}
                });
            }
            _ => {}
        }
    }

    /// Applies `change` to the job if it is known.
    fn update_job(&mut self, job: &str, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.jobs.get_mut(job) {
            change(job);
        }
    }

    fn submitted(&mut self, spec: &JobSpec) {
        let job = Job {
            spec: spec.clone(),
            accepted: false,
            cancelled: false,
            failed: false,
            done: BTreeSet::new(),
            running: 0,
            fetching: 0,
            waiting_since: None,
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
            unavailable_until: 0.0,
            cpus: 0.0,
            gpus: 0.0,
            memory_gb: 0.0,
        };
        self.machines.insert(name.to_owned(), machine);
    }

    fn set_available(&mut self, machine: &str, is_up: bool) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.is_up = is_up;
        }
    }

    /// Records that an attempt occupies its machine from now on, and whether it already runs.
    fn occupy(&mut self, place: Place, runs: bool) {
        let is_new = !self.places.contains_key(&place);
        if is_new {
            self.add_usage(&place, 1.0);
        }
        let ran = self.places.insert(place.clone(), runs);
        self.update_job(&place.0, |job| {
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

    /// Records that an attempt has left its machine. Returns false if it was not there.
    fn release(&mut self, place: &Place) -> bool {
        let Some(ran) = self.places.remove(place) else {
            return false;
        };
        self.update_job(&place.0, |job| match ran {
            true => job.running -= 1,
            false => job.fetching -= 1,
        });
        true
    }

    /// Frees the resources of attempts that ended at least [`REFILL_ALLOWANCE_S`] ago.
    fn release_due_places(&mut self, t: f64) {
        let has_passed = |(at, _): &&(f64, Place)| *at <= t;
        let due = self.pending_releases.iter().take_while(has_passed).count();
        let places: Vec<Place> = self
            .pending_releases
            .drain(..due)
            .map(|(_, place)| place)
            .collect();
        for place in places {
            self.add_usage(&place, -1.0);
        }
    }

    /// Adds the resources of an attempt to the usage of its team and machine, `times` times: 1
    /// or -1.
    fn add_usage(&mut self, (job, _, machine, _): &Place, times: f64) {
        let Some(spec) = self.jobs.get(job).map(|j| &j.spec) else {
            return;
        };
        *self.team_cpus.entry(spec.team.clone()).or_default() += times * spec.cpus;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.cpus += times * spec.cpus;
            machine.gpus += times * spec.gpus();
            machine.memory_gb += times * spec.memory_gb;
        }
    }

    /// Updates how long each job has waited while a machine has room, and reports a job that has
    /// waited too long, once for each [`MAX_WAIT_S`] of waiting.
    fn check_waits(&mut self, index: usize, t: f64) {
        self.release_due_places(t);
        let mut rooms: BTreeMap<String, Option<String>> = BTreeMap::new();
        let mut new_waits: Vec<(String, Option<f64>)> = Vec::new();
        for (id, job) in &self.jobs {
            let machine_with_room = match job.is_waiting() {
                false => None,
                // A machine fetches the image for the job: this time neither counts as waiting
                // nor resets the wait.
                true if job.fetching > 0 => continue,
                true if self.is_held_by_calendar(id, t) => None,
                true => rooms
                    .entry(requirements_key(&job.spec))
                    .or_insert_with(|| self.find_room(&job.spec, t))
                    .clone(),
            };
            let Some(machine) = machine_with_room else {
                if job.waiting_since.is_some() {
                    new_waits.push((id.clone(), None));
                }
                continue;
            };
            let since = job.waiting_since.unwrap_or(t);
            if t - since < MAX_WAIT_S - TIME_TOLERANCE_S {
                new_waits.push((id.clone(), Some(since)));
                continue;
            }
            self.found.push(LeftWaiting {
                job: id.clone(),
                t,
                event: index,
                machine,
            });
            new_waits.push((id.clone(), None));
        }
        for (id, since) in new_waits {
            self.update_job(&id, |job| job.waiting_since = since);
        }
    }

    /// Returns whether the calendar holds the job back: an earlier step of its run has not
    /// ended, and the run is not due yet.
    fn is_held_by_calendar(&self, id: &str, t: f64) -> bool {
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

    /// Returns a machine with room for a task of the job, or `None` if there is none or the
    /// quota of the team is used up.
    fn find_room(&self, spec: &JobSpec, t: f64) -> Option<String> {
        let used = self.team_cpus.get(&spec.team).copied().unwrap_or(0.0);
        let team = self.night.teams.iter().find(|x| x.name == spec.team);
        let quota = team.map(|x| x.cpus_max).filter(|quota| *quota > 0.0);
        if quota.is_some_and(|quota| used + spec.cpus > quota + RESOURCE_TOLERANCE) {
            return None;
        }
        let mut machines = self.machines.iter();
        let found = machines.find(|(_, machine)| self.has_room(machine, spec, t));
        found.map(|(name, _)| name.clone())
    }

    /// Returns whether the machine is up and unaffected by faults, allowed for the job, and has
    /// room for a task of it.
    fn has_room(&self, machine: &Machine, spec: &JobSpec, t: f64) -> bool {
        let kind = &self.night.machines[machine.kind];
        let types = spec.types.as_ref();
        let is_allowed = types.is_none_or(|types| types.contains(&kind.name))
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && (!machine.spot || spec.spot());
        machine.is_up
            && machine.unavailable_until <= t
            && is_allowed
            && machine.cpus + spec.cpus <= kind.cpus + RESOURCE_TOLERANCE
            && machine.gpus + spec.gpus() <= kind.gpus + RESOURCE_TOLERANCE
            && machine.memory_gb + spec.memory_gb <= kind.memory_gb + RESOURCE_TOLERANCE
    }
}

/// Returns a key of what the job requires of a machine and its team: jobs with the same key
/// have room on the same machines.
fn requirements_key(spec: &JobSpec) -> String {
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
