//! What anybody could have served: a night as a linear program in which tasks are
//! a fluid, over all machines that the cloud had, failures known beforehand.
//!
//! It is above what any scheduler reaches: machines are whole only in sum, images
//! are there, nothing is lost or run twice, and of failures only power cuts take
//! machines away, since others can be replaced.

use std::collections::{BTreeMap, BTreeSet};

use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};
use umbersail_wire::JobSpec;

use crate::history::{End, Event, What};
use crate::scenario::{Fault, MachineKind, Scenario};
use crate::served::Served;

/// Time goes on in steps of so many seconds.
const STEP_S: f64 = 15.0;
/// Larger programs are left out: they would take minutes.
const MOST_AMOUNTS: usize = 40_000;
/// The earliest that a machine is up, as a share of its usual boot time.
const SOONEST: f64 = 0.6;
/// What was served is worth so many times as much as the jobs that are looked at:
/// it is kept wherever that is possible.
const KEPT: f64 = 50.0;

/// The largest shares of the jobs of a row that could have been in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// With all others that were in time served as well.
    pub beside: f64,
    /// With everything for these jobs.
    pub alone: f64,
}

/// A job as far as it matters here; `work_s` is the run time of one task.
struct Job {
    spec: JobSpec,
    asked_at: f64,
    due: f64,
    work_s: f64,
    in_time: bool,
    looked_at: bool,
}

/// Jobs of one class that come and are due within the same steps.
#[derive(Default)]
struct Flow {
    jobs: f64,
    /// Task seconds in all, tasks that may run at once.
    work: f64,
    tasks: f64,
    from: f64,
    to: f64,
    cpus: f64,
    memory_gb: f64,
    spot: bool,
    team: String,
}

/// The bound of a row, or `None` if the program is too large or can't be solved.
pub fn bound(night: &Scenario, events: &[Event], row: &Served) -> Option<Bound> {
    let end = events.last()?.t;
    let jobs = jobs(night, events, row, end);
    Some(Bound {
        beside: solve(night, &jobs, end, true)?,
        alone: solve(night, &jobs, end, false)?,
    })
}

fn jobs(night: &Scenario, events: &[Event], row: &Served, end: f64) -> Vec<Job> {
    struct JobTrace<'a> {
        spec: &'a JobSpec,
        asked_at: f64,
        work_s: f64,
        done: BTreeSet<u32>,
        complete_at: Option<f64>,
        cancelled: bool,
    }
    let mut seen: BTreeMap<&str, JobTrace<'_>> = BTreeMap::new();
    for event in events {
        match &event.what {
            What::Asked { spec } => {
                let job = JobTrace {
                    spec,
                    asked_at: event.t,
                    work_s: 0.0,
                    done: BTreeSet::new(),
                    complete_at: None,
                    cancelled: false,
                };
                seen.insert(&spec.id, job);
            }
            What::CancelAsked { job } => {
                if let Some(job) = seen.get_mut(job.as_str()) {
                    job.cancelled = true;
                }
            }
            What::Ended {
                job,
                task,
                how,
                useful_s,
                ..
            } => {
                if let Some(job) = seen.get_mut(job.as_str()) {
                    job.work_s += useful_s;
                    let last = *how == End::Done
                        && job.done.insert(*task)
                        && job.done.len() == job.spec.tasks as usize;
                    if last {
                        job.complete_at = Some(event.t);
                    }
                }
            }
            _ => {}
        }
    }
    let counted = seen.into_values().filter(|j| !j.cancelled);
    let known = |j: JobTrace<'_>| {
        let due = j.spec.deadline_s.map_or(end, |d| j.asked_at + d);
        let of = match row.of.is_of_team() {
            true => j.spec.team == row.name,
            false => {
                let size = f64::from(j.spec.tasks) * j.spec.cpus;
                j.spec.class == row.name && size >= row.least_size
            }
        };
        let is_due = j.spec.deadline_s.is_none() || due < end;
        Job {
            asked_at: j.asked_at,
            due,
            // What nobody finished is as long as its owner thought.
            work_s: match j.done.len() {
                0 => j.spec.estimate_s,
                n => j.work_s / n as f64,
            },
            in_time: j.complete_at.is_some_and(|at| at <= due),
            looked_at: of && is_due && j.asked_at >= night.warm_up_s,
            spec: j.spec.clone(),
        }
    };
    counted.map(known).collect()
}

/// Machine seconds of one kind that there are in one step, ordinary or all.
fn machines(night: &Scenario, kind: &MachineKind, spot: bool, from: f64, to: f64) -> f64 {
    let per_zone = (kind.ordinary + if spot { kind.spot } else { 0 }) as f64;
    let lasts = |a: f64, b: f64| (to.min(b) - from.max(a)).max(0.0);
    let all = per_zone * kind.zones.len() as f64;
    let up = kind.at_start as f64;
    let late = lasts(0.0, kind.boot_s * SOONEST) * (all - up).max(0.0);
    let dark = |f: &&crate::scenario::Failure| {
        let here = f.zone.as_ref().is_some_and(|z| kind.zones.contains(z));
        f.what == Fault::PowerCut && here
    };
    let dark = night.failures.iter().filter(dark);
    let dark: f64 = dark
        .map(|f| lasts(f.at_s, f.at_s + f.for_s) * per_zone)
        .sum();
    ((to - from) * all - late - dark).max(0.0)
}

fn fits(kind: &MachineKind, flow: &Flow) -> bool {
    flow.cpus <= kind.cpus && flow.memory_gb <= kind.memory_gb
}

/// Jobs that are alike are one flow; the key's first says whether they are those
/// that are looked at.
fn flows(night: &Scenario, jobs: &[Job], others: bool) -> BTreeMap<(bool, String, i64, i64), Flow> {
    let mut flows: BTreeMap<(bool, String, i64, i64), Flow> = BTreeMap::new();
    for job in jobs {
        let wanted = job.looked_at || (others && job.in_time);
        // Nobody runs a task in less time than it takes.
        let possible = job.in_time || job.asked_at + job.work_s <= job.due;
        if !wanted || !possible {
            continue;
        }
        let step = |t: f64| (t / STEP_S).floor() as i64;
        let key = (
            job.looked_at,
            job.spec.class.clone(),
            step(job.asked_at),
            step(job.due),
        );
        let class = night.classes.iter().find(|c| c.name == job.spec.class);
        let tasks = f64::from(job.spec.tasks);
        let flow = flows.entry(key).or_default();
        flow.from = match flow.jobs > 0.0 {
            true => flow.from.min(job.asked_at),
            false => job.asked_at,
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

/// The largest share of the jobs that are looked at.
fn solve(night: &Scenario, jobs: &[Job], end: f64, others: bool) -> Option<f64> {
    let of = jobs.iter().filter(|j| j.looked_at).count();
    if of == 0 {
        return None;
    }
    let flows = flows(night, jobs, others);
    let steps = (end / STEP_S).ceil() as usize;
    let mut program = Problem::new(OptimizationDirection::Maximize);
    // By kind and step: CPUs, memory, and what may not use spot machines.
    let mut cpus: BTreeMap<(usize, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut memory: BTreeMap<(usize, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut ordinary: BTreeMap<(usize, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut teams: BTreeMap<(&str, usize), Vec<(Variable, f64)>> = BTreeMap::new();
    let mut shares: Vec<(Variable, f64)> = Vec::new();
    let mut amounts = 0;
    for ((looked_at, ..), flow) in &flows {
        let worth = if *looked_at { 1.0 } else { KEPT };
        let share = program.add_var(worth * flow.jobs, (0.0, 1.0));
        if *looked_at {
            shares.push((share, flow.jobs));
        }
        let mut served = vec![(share, -flow.work)];
        for step in (flow.from / STEP_S) as usize..steps.min((flow.to / STEP_S) as usize + 1) {
            let (from, to) = (step as f64 * STEP_S, (step + 1) as f64 * STEP_S);
            let lasts = to.min(flow.to) - from.max(flow.from);
            let mut at_once = Vec::new();
            let kinds = night.machines.iter().enumerate();
            for (index, _) in kinds.filter(|(_, k)| fits(k, flow)) {
                // In units of 1,000 task seconds, to keep amounts alike.
                let amount = program.add_var(0.0, (0.0, (flow.tasks * lasts / 1e3).max(0.0)));
                amounts += 1;
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
                let most = (flow.tasks * lasts / 1e3).max(0.0);
                program.add_constraint(at_once, ComparisonOp::Le, most);
            }
        }
        program.add_constraint(served, ComparisonOp::Ge, 0.0);
    }
    if amounts > MOST_AMOUNTS {
        return None;
    }
    let mut bounded = |table: BTreeMap<(usize, usize), Vec<(Variable, f64)>>,
                       spot: bool,
                       of: fn(&MachineKind) -> f64| {
        for ((index, step), terms) in table {
            let kind = &night.machines[index];
            let from = step as f64 * STEP_S;
            let there = machines(night, kind, spot, from, from + STEP_S) * of(kind);
            program.add_constraint(terms, ComparisonOp::Le, there / 1e3);
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
    Some((served / of as f64).clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::bundled::bundled;
    use crate::served::Of;
    use umbersail_wire::{JobKind, Priority};

    /// A night of one kind of machine with eight CPUs, four of them up from the
    /// start, and none to be rented.
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

    /// Jobs of so many tasks with four CPUs each that run for 15 s and are due
    /// after 60 s, all asked for at 0, and done at once if it says so.
    fn asked(jobs: &[(&str, u32, bool)]) -> Vec<Event> {
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
            let what = What::Asked {
                spec: Box::new(spec),
            };
            events.push(Event { t: 0.0, what });
            for task in (0..*tasks).filter(|_| *done) {
                let what = What::Ended {
                    machine: "m".into(),
                    job: id.clone(),
                    task,
                    attempt: 1,
                    how: End::Done,
                    useful_s: 15.0,
                };
                events.push(Event { t: 20.0, what });
            }
        }
        let what = What::Up {
            machine: "m".into(),
        };
        events.push(Event { t: 120.0, what });
        events
    }

    fn reckoned(night: &Scenario, events: &[Event]) -> Bound {
        let row = Served {
            of: Of::Class,
            name: "labels".into(),
            whole: 8,
            least_size: 0.0,
            jobs: 8,
            in_time: 0.0,
            late: 0.0,
            done: 0.0,
            begin_s: 0.0,
            begun_late: 0,
            beside_s: 0.0,
        };
        bound(night, events, &row).unwrap()
    }

    #[test]
    fn the_bound_is_what_machines_limits_and_others_leave() {
        // Four machines of eight CPUs run eight tasks at once, 32 in 60 s.
        let near = |found: f64, wanted: f64| (found - wanted).abs() < 1e-6;
        let labels = vec![("labels", 8, false); 8];
        let free = reckoned(&night(0.0), &asked(&labels));
        assert!(near(free.alone, 0.5) && near(free.beside, 0.5), "{free:?}");
        // Others that were served take their part, unless they are left out.
        let mut shared = labels.clone();
        shared.extend([("pages", 8, true); 2]);
        let shared = reckoned(&night(0.0), &asked(&shared));
        assert!(
            near(shared.alone, 0.5) && near(shared.beside, 0.25),
            "{shared:?}"
        );
        // A limit binds as machines do.
        let limited = reckoned(&night(8.0), &asked(&labels));
        assert!(near(limited.alone, 0.125), "{limited:?}");
        // Nor does anybody run a task in less time than it takes.
        let mut long = asked(&labels);
        for event in &mut long {
            if let What::Asked { spec } = &mut event.what {
                spec.estimate_s = 61.0;
            }
        }
        assert!(near(reckoned(&night(0.0), &long).alone, 0.0));
        // And machines without power run nothing.
        let mut dark = night(0.0);
        let cut = "what = \"power-cut\"\nzone = \"south\"\nat_s = 0\nfor_s = 60\n";
        dark.failures.push(toml::from_str(cut).unwrap());
        assert!(near(reckoned(&dark, &asked(&labels)).alone, 0.25));
    }
}
