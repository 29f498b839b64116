//! Computes an upper bound of the share of jobs that any scheduler could have served: a linear
//! program in which work is divisible at will, over all machines that the cloud had, with all
//! faults known in advance.
//!
//! No scheduler reaches this bound: the program limits the machines of a kind only in sum,
//! images need no fetching, no work is lost or repeated, and of all faults only power cuts take
//! machines away, because machines lost to other faults can be replaced.

use std::collections::{BTreeMap, BTreeSet};

use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};
use umbersail_wire::JobSpec;

use crate::history::{EndReason, Event, EventKind};
use crate::scenario::{Fault, MachineKind, Scenario};
use crate::served::ServedFigures;

/// Length of a time step in seconds.
const STEP_S: f64 = 15.0;
/// Programs with more variables are not solved: they would take minutes.
const MAX_VARIABLES: usize = 40_000;
/// The shortest boot time of a machine, as a share of its usual boot time.
const MIN_BOOT_SHARE: f64 = 0.6;
/// Weight of a job that was in time, relative to the target jobs: high, so that the solution
/// keeps these jobs in time wherever possible.
const SERVED_WEIGHT: f64 = 50.0;

/// The largest share of the jobs of a row that could have been in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// If all other jobs that were in time are served as well.
    pub with_others: f64,
    /// If all machines serve only these jobs.
    pub without_others: f64,
}

/// A job of the run; `work_s` is the run time of one task. `is_target` marks the jobs of the row
/// that the bound is computed for.
struct Job {
    spec: JobSpec,
    submitted_at: f64,
    due: f64,
    work_s: f64,
    in_time: bool,
    is_target: bool,
}

/// Jobs of one class that are submitted in the same time step and due in the same time step.
#[derive(Default)]
struct Flow {
    jobs: f64,
    /// Total task seconds.
    work: f64,
    /// Tasks, all of which may run at once.
    tasks: f64,
    from: f64,
    to: f64,
    cpus: f64,
    memory_gb: f64,
    spot: bool,
    team: String,
}

/// Computes the bound of a row, or `None` if the program is too large or cannot be solved.
pub fn bound(night: &Scenario, events: &[Event], row: &ServedFigures) -> Option<Bound> {
    let end = events.last()?.t;
    let jobs = jobs(night, events, row, end);
    Some(Bound {
        with_others: solve(night, &jobs, end, true)?,
        without_others: solve(night, &jobs, end, false)?,
    })
}

/// Collects the jobs that were not cancelled from the history.
fn jobs(night: &Scenario, events: &[Event], row: &ServedFigures, end: f64) -> Vec<Job> {
    struct JobTrace<'a> {
        spec: &'a JobSpec,
        submitted_at: f64,
        work_s: f64,
        done: BTreeSet<u32>,
        completed_at: Option<f64>,
        cancelled: bool,
    }
    let mut traces: BTreeMap<&str, JobTrace<'_>> = BTreeMap::new();
    for event in events {
        match &event.what {
            EventKind::Submitted { spec } => {
                let job = JobTrace {
                    spec,
                    submitted_at: event.t,
                    work_s: 0.0,
                    done: BTreeSet::new(),
                    completed_at: None,
                    cancelled: false,
                };
                traces.insert(&spec.id, job);
            }
            EventKind::CancelRequested { job } => {
                if let Some(job) = traces.get_mut(job.as_str()) {
                    job.cancelled = true;
                }
            }
            EventKind::Ended {
                job,
                task,
                how,
                useful_s,
                ..
            } => {
                if let Some(job) = traces.get_mut(job.as_str()) {
                    job.work_s += useful_s;
                    let last = *how == EndReason::Done
                        && job.done.insert(*task)
                        && job.done.len() == job.spec.tasks as usize;
                    if last {
                        job.completed_at = Some(event.t);
                    }
                }
            }
            _ => {}
        }
    }
    let counted = traces.into_values().filter(|j| !j.cancelled);
    let to_job = |j: JobTrace<'_>| {
        let due = j.spec.deadline_s.map_or(end, |d| j.submitted_at + d);
        let is_in_group = match row.group.is_team() {
            true => j.spec.team == row.name,
            false => {
                let size = f64::from(j.spec.tasks) * j.spec.cpus;
                j.spec.class == row.name && size >= row.min_size
            }
        };
        let is_due = j.spec.deadline_s.is_none() || due < end;
        Job {
            submitted_at: j.submitted_at,
            due,
            // A job without a finished task is assumed to take as long as its estimate.
            work_s: match j.done.len() {
                0 => j.spec.estimate_s,
                n => j.work_s / n as f64,
            },
            in_time: j.completed_at.is_some_and(|at| at <= due),
            is_target: is_in_group && is_due && j.submitted_at >= night.warm_up_s,
            spec: j.spec.clone(),
        }
    };
    counted.map(to_job).collect()
}

/// Returns the machine seconds of one kind that are available in a time span: of ordinary
/// machines, or with `spot` of all.
fn machine_seconds(night: &Scenario, kind: &MachineKind, spot: bool, from: f64, to: f64) -> f64 {
    let per_zone = (kind.ordinary + if spot { kind.spot } else { 0 }) as f64;
    let overlap = |a: f64, b: f64| (to.min(b) - from.max(a)).max(0.0);
    let all = per_zone * kind.zones.len() as f64;
    let up = kind.at_start as f64;
    let booting = overlap(0.0, kind.boot_s * MIN_BOOT_SHARE) * (all - up).max(0.0);
    let is_power_cut = |f: &&crate::scenario::Failure| {
        let is_in_zone = f.zone.as_ref().is_some_and(|z| kind.zones.contains(z));
        f.what == Fault::PowerCut && is_in_zone
    };
    let power_cuts = night.failures.iter().filter(is_power_cut);
    let without_power: f64 = power_cuts
        .map(|f| overlap(f.at_s, f.at_s + f.for_s) * per_zone)
        .sum();
    ((to - from) * all - booting - without_power).max(0.0)
}

/// Returns whether a task of the flow fits on an empty machine of this kind.
fn fits(kind: &MachineKind, flow: &Flow) -> bool {
    flow.cpus <= kind.cpus && flow.memory_gb <= kind.memory_gb
}

/// Groups the jobs into flows. The key is whether the jobs are targets, their class, and the
/// time steps of their submission and deadline.
fn flows(
    night: &Scenario,
    jobs: &[Job],
    with_others: bool,
) -> BTreeMap<(bool, String, i64, i64), Flow> {
    let mut flows: BTreeMap<(bool, String, i64, i64), Flow> = BTreeMap::new();
    for job in jobs {
        let wanted = job.is_target || (with_others && job.in_time);
        // A job cannot be in time if less time remains than one task takes.
        let possible = job.in_time || job.submitted_at + job.work_s <= job.due;
        if !wanted || !possible {
            continue;
        }
        let step = |t: f64| (t / STEP_S).floor() as i64;
        let key = (
            job.is_target,
            job.spec.class.clone(),
            step(job.submitted_at),
            step(job.due),
        );
        let class = night.classes.iter().find(|c| c.name == job.spec.class);
        let tasks = f64::from(job.spec.tasks);
        let flow = flows.entry(key).or_default();
        flow.from = match flow.jobs > 0.0 {
            true => flow.from.min(job.submitted_at),
            false => job.submitted_at,
        };
        flow.to = flow.to.max(job.due);
        flow.jobs += 1.0;
        flow.work += tasks * job.work_s;
        flow.tasks += tasks;
        flow.cpus = job.spec.cpus;
        flow.memory_gb = job.spec.memory_gb;
        flow.spot = class.is_some_and(|c| c.spot);
        flow.team.clone_from(&job.spec.team);
    }
    flows
}

/// Returns the largest share of the target jobs that could have been in time.
fn solve(night: &Scenario, jobs: &[Job], end: f64, with_others: bool) -> Option<f64> {
    let targets = jobs.iter().filter(|j| j.is_target).count();
    if targets == 0 {
        return None;
    }
    let flows = flows(night, jobs, with_others);
    let steps = (end / STEP_S).ceil() as usize;
    let mut program = Problem::new(OptimizationDirection::Maximize);
    // By machine kind and time step: CPUs, memory, and the CPUs of jobs that must not use spot
    // machines.
    let mut cpus: BTreeMap<(usize, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut memory: BTreeMap<(usize, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut ordinary: BTreeMap<(usize, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut teams: BTreeMap<(&str, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut shares: Vec<(Variable, f64)> = Vec::new();
    let mut variables = 0;
    for ((is_target, ..), flow) in &flows {
        let weight = if *is_target { 1.0 } else { SERVED_WEIGHT };
        let share = program.add_var(weight * flow.jobs, (0.0, 1.0));
        if *is_target {
            shares.push((share, flow.jobs));
        }
        let mut served = vec![(share, -flow.work)];
        for step in (flow.from / STEP_S) as usize..steps.min((flow.to / STEP_S) as usize + 1) {
            let (from, to) = (step as f64 * STEP_S, (step + 1) as f64 * STEP_S);
            let duration_s = to.min(flow.to) - from.max(flow.from);
            let mut at_once = Vec::new();
            let kinds = night.machines.iter().enumerate();
            for (index, _) in kinds.filter(|(_, k)| fits(k, flow)) {
                // In units of 1,000 task seconds, so that all coefficients have similar sizes.
                let amount = program.add_var(0.0, (0.0, (flow.tasks * duration_s / 1e3).max(0.0)));
                variables += 1;
                served.push((amount, 1e3));
                at_once.push((amount, 1.0));
                let place = (index, step);
                cpus.entry(place).or_default().push((amount, flow.cpus));
                memory
                    .entry(place)
                    .or_default()
                    .push((amount, flow.memory_gb));
                if !flow.spot {
                    ordinary.entry(place).or_default().push((amount, flow.cpus));
                }
                let team = teams.entry((&flow.team, step)).or_default();
                team.push((amount, flow.cpus));
            }
            if at_once.len() > 1 {
                let limit = (flow.tasks * duration_s / 1e3).max(0.0);
                program.add_constraint(at_once, ComparisonOp::Le, limit);
            }
        }
        program.add_constraint(served, ComparisonOp::Ge, 0.0);
    }
    if variables > MAX_VARIABLES {
        return None;
    }
    let mut bounded = |table: BTreeMap<(usize, usize), Vec<(Variable, f64)>>,
                       spot: bool,
                       of: fn(&MachineKind) -> f64| {
        for ((index, step), terms) in table {
            let kind = &night.machines[index];
            let from = step as f64 * STEP_S;
            let available = machine_seconds(night, kind, spot, from, from + STEP_S) * of(kind);
            program.add_constraint(terms, ComparisonOp::Le, available / 1e3);
        }
    };
    bounded(cpus, true, |k| k.cpus);
    bounded(memory, true, |k| k.memory_gb);
    bounded(ordinary, false, |k| k.cpus);
    for ((name, _), terms) in teams {
        let team = night.teams.iter().find(|t| t.name == name);
        if let Some(team) = team.filter(|t| t.cpus_max > 0.0) {
            program.add_constraint(terms, ComparisonOp::Le, team.cpus_max * STEP_S / 1e3);
        }
    }
    let solution = program.solve().ok()?.into_solution().ok()?;
    let served: f64 = shares
        .iter()
        .map(|(share, jobs)| solution.var_value(*share) * jobs)
        .sum();
    Some((served / targets as f64).clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::bundled::bundled;
    use crate::served::JobGroup;
    use umbersail_wire::{JobKind, Priority};

    /// Returns a scenario with one machine kind of eight CPUs, four machines that are up from
    /// the start, and none to rent.
    fn night(cpus_max: f64) -> Scenario {
        let text = bundled("leader-changes-in-outages").unwrap();
        let mut night = Scenario::parse("test", text).unwrap();
        night.failures.clear();
        night.machines.truncate(1);
        let kind = &mut night.machines[0];
        (kind.cpus, kind.memory_gb) = (8.0, 32.0);
        (kind.ordinary, kind.spot, kind.at_start) = (2, 0, 4);
        night.teams[0].cpus_max = cpus_max;
        night
    }

    /// Returns a history in which jobs are submitted at 0 s: each tuple is a class, a number of
    /// tasks with four CPUs and 15 s of work, and whether they are done at 20 s. All are due
    /// after 60 s.
    fn events_of(jobs: &[(&str, u32, bool)]) -> Vec<Event> {
        let mut events = Vec::new();
        for (n, (class, tasks, done)) in jobs.iter().enumerate() {
            let spec = JobSpec {
                id: format!("req-{n}"),
                class: (*class).into(),
                team: "kitchen".into(),
                kind: JobKind::Array,
                priority: Priority::High,
                tasks: *tasks,
                cpus: 4.0,
                gpus: None,
                memory_gb: 1.0,
                image: "i".into(),
                image_gb: 1.0,
                types: None,
                zone: None,
                one_zone: None,
                spread: None,
                spot: None,
                estimate_s: 15.0,
                checkpoint_s: None,
                save_s: None,
                deadline_s: Some(60.0),
            };
            let id = spec.id.clone();
            let what = EventKind::Submitted {
                spec: Box::new(spec),
            };
            events.push(Event { t: 0.0, what });
            for task in (0..*tasks).filter(|_| *done) {
                let what = EventKind::Ended {
                    machine: "m".into(),
                    job: id.clone(),
                    task,
                    attempt: 1,
                    how: EndReason::Done,
                    useful_s: 15.0,
                };
                events.push(Event { t: 20.0, what });
            }
        }
        let what = EventKind::Up {
            machine: "m".into(),
        };
        events.push(Event { t: 120.0, what });
        events
    }

    fn bound_of(night: &Scenario, events: &[Event]) -> Bound {
        let row = ServedFigures {
            group: JobGroup::Class,
            name: "labels".into(),
            total_jobs: 8,
            min_size: 0.0,
            jobs: 8,
            in_time: 0.0,
            in_extended_time: 0.0,
            done: 0.0,
            longest_start_s: 0.0,
            started_late: 0,
            longest_all_started_s: 0.0,
        };
        bound(night, events, &row).unwrap()
    }

    #[test]
    fn the_bound_follows_machines_quotas_and_other_jobs() {
        // Four machines of eight CPUs run eight tasks at once, 32 in 60 s.
        let near = |found: f64, wanted: f64| (found - wanted).abs() < 1e-6;
        let labels = vec![("labels", 8, false); 8];
        let free = bound_of(&night(0.0), &events_of(&labels));
        assert!(
            near(free.without_others, 0.5) && near(free.with_others, 0.5),
            "{free:?}"
        );
        // Other jobs that were served use machines, unless the bound leaves them out.
        let mut shared = labels.clone();
        shared.extend([("pages", 8, true); 2]);
        let shared = bound_of(&night(0.0), &events_of(&shared));
        assert!(
            near(shared.without_others, 0.5) && near(shared.with_others, 0.25),
            "{shared:?}"
        );
        // The quota of the team limits the bound as well.
        let limited = bound_of(&night(8.0), &events_of(&labels));
        assert!(near(limited.without_others, 0.125), "{limited:?}");
        // A task that takes longer than the time to its deadline cannot be in time.
        let mut long = events_of(&labels);
        for event in &mut long {
            if let EventKind::Submitted { spec } = &mut event.what {
                spec.estimate_s = 61.0;
            }
        }
        assert!(near(bound_of(&night(0.0), &long).without_others, 0.0));
        // Machines without power run no tasks.
        let mut unpowered = night(0.0);
        let cut = "what = \"power-cut\"\nzone = \"south\"\nat_s = 0\nfor_s = 60\n";
        unpowered.failures.push(toml::from_str(cut).unwrap());
        assert!(near(
            bound_of(&unpowered, &events_of(&labels)).without_others,
            0.25
        ));
    }
}
