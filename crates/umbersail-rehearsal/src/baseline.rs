//! Reproduces a published experiment with this project's eviction policies: 32 nodes and 3,000
//! requests; measures the rejection of local requests with and without preemption, and compares
//! the policies MOV, MLIP and MOML (Amini Salehi, Javadi and Buyya, section 5).
//!
//! Differences from the paper, and why: requests are drawn from the run time and
//! arrival distributions of Lublin and Feitelson's model, with the parameters
//! that they published for batch jobs and without its daily cycle, since the
//! original generator is not available; arrivals are scaled to a stated load; the
//! candidate sets are those of the service (grown greedily in three orders), not all
//! sets; there is no advance reservation: a deadline request starts at once or
//! is rejected, a best-effort one waits.

use std::fmt::Write as _;

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Gamma};
use umbersail_policy::{
    EvictionHost, PreemptibleTask, Shape, VictimPreference, candidate_victim_sets, choose_victims,
};

use crate::experiment::Mean;

/// Nodes of the provider, one core each.
const NODES: f64 = 32.0;
const REQUESTS: usize = 3000;
/// Seconds to suspend, resume and migrate one machine of 1 GB (section 5.2).
const SUSPEND_S: f64 = 161.0;
const RESUME_S: f64 = 126.0;
const MIGRATE_S: f64 = 160.0;
/// Offered load, as a share of the capacity of the nodes.
const LOAD: f64 = 1.0;
/// Maximum number of candidate victim sets.
const SETS: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Local,
    Cancelable,
    Suspendable,
    Migratable,
    NonPreemptable,
}

#[derive(Debug, Clone)]
struct Request {
    at: f64,
    kind: Kind,
    nodes: f64,
    run_s: f64,
}

/// One workload: one point of a row of the paper's Table 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Workload {
    /// Mean number of nodes of a request.
    pub mean_nodes: f64,
    /// Number of best-effort requests.
    pub best_effort: usize,
    /// Number of deadline requests.
    pub deadline: usize,
    /// Number of local requests.
    pub local: usize,
}

/// Results of one run.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Run {
    /// Share of local requests that were rejected.
    pub local_rejected: f64,
    /// Share of grid requests that were rejected.
    pub grid_rejected: f64,
    /// Number of preempted requests.
    pub preemptions: usize,
    /// Share of the capacity of the nodes that was used.
    pub utilization: f64,
}

/// Draws a run time in seconds. The median is about an hour, with a long tail (hyper-gamma
/// distribution of the logarithm; Lublin and Feitelson 2003, batch jobs).
fn run_s(rng: &mut dyn RngCore, nodes: f64) -> f64 {
    let short = (0.78 - 0.0054 * nodes).clamp(0.0, 1.0);
    let gamma = if rng.random_bool(short) {
        Gamma::new(4.2, 0.94)
    } else {
        Gamma::new(312.0, 0.03)
    };
    let log: f64 = gamma.map_or(8.0, |g| g.sample(rng));
    log.min(12.0).exp()
}

fn requests(workload: &Workload, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut kinds: Vec<Kind> = Vec::with_capacity(REQUESTS);
    let alternate = |n: usize, a, b| (0..n).map(move |i| if i % 2 == 0 { a } else { b });
    kinds.extend(alternate(
        workload.best_effort,
        Kind::Cancelable,
        Kind::Suspendable,
    ));
    kinds.extend(alternate(
        workload.deadline,
        Kind::Migratable,
        Kind::NonPreemptable,
    ));
    kinds.extend(std::iter::repeat_n(Kind::Local, workload.local));
    use rand::seq::SliceRandom;
    kinds.shuffle(&mut rng);
    // Two-stage uniform around the mean, as the paper sets it.
    let low = (workload.mean_nodes - 2.0).max(1.0);
    let mut at = 0.0;
    let mut all: Vec<Request> = kinds
        .into_iter()
        .map(|kind| {
            let wide = rng.random_bool(0.2);
            let top = if wide {
                2.0 * workload.mean_nodes
            } else {
                workload.mean_nodes + 1.0
            };
            let nodes = rng.random_range(low..=top).round().clamp(1.0, NODES);
            let gap: f64 = Gamma::new(10.23, 0.4871).map_or(1.0, |g| g.sample(&mut rng));
            at += gap.min(12.0).exp();
            Request {
                at,
                kind,
                nodes,
                run_s: run_s(&mut rng, nodes),
            }
        })
        .collect();
    let work: f64 = all.iter().map(|r| r.nodes * r.run_s).sum();
    let scale = work / (LOAD * NODES) / at;
    all.iter_mut().for_each(|r| r.at *= scale);
    all
}

/// A running request, which holds nodes until its end.
struct Lease {
    index: usize,
    end: f64,
}

/// Runs one workload, with one of the policies or without preemption.
pub fn run(workload: &Workload, seed: u64, policy: Option<VictimPreference>) -> Run {
    let all = requests(workload, seed);
    let mut left: Vec<f64> = all.iter().map(|r| r.run_s).collect();
    let mut running: Vec<Lease> = Vec::new();
    let mut queue: Vec<usize> = Vec::new();
    let mut out = Run::default();
    let (mut local, mut grid, mut used, mut last) = (0.0, 0.0, 0.0, 0.0f64);
    let mut next = 0;
    loop {
        let ending = running
            .iter()
            .enumerate()
            .min_by(|a, b| a.1.end.total_cmp(&b.1.end));
        let ending = ending.map(|(i, l)| (i, l.end));
        let arrival = all.get(next).map(|r| r.at);
        let now = match (arrival, ending) {
            (Some(at), Some((i, end))) if end <= at => {
                running.swap_remove(i);
                end
            }
            (Some(at), _) => at,
            (None, Some((i, end))) => {
                running.swap_remove(i);
                end
            }
            (None, None) => break,
        };
        last = last.max(now);
        if arrival == Some(now) {
            let request = &all[next];
            let free = NODES - running.iter().map(|l| all[l.index].nodes).sum::<f64>();
            let fits = request.nodes <= free;
            match request.kind {
                Kind::Cancelable | Kind::Suspendable => queue.push(next),
                _ if fits => start(&mut running, &left, next, now),
                Kind::Local => {
                    let victims =
                        policy.and_then(|p| victims(&all, &running, request, free, now, p));
                    match victims {
                        Some(victims) => {
                            out.preemptions += victims.len();
                            for index in victims {
                                preempt(&all, &mut running, &mut left, &mut queue, index, now);
                            }
                            start(&mut running, &left, next, now);
                        }
                        None => {
                            local += 1.0;
                            left[next] = f64::NEG_INFINITY;
                        }
                    }
                }
                _ => {
                    grid += 1.0;
                    left[next] = f64::NEG_INFINITY;
                }
            }
            next += 1;
        }
        // First come, first served; later requests that fit into the free nodes start too.
        queue.retain(|index| {
            let free = NODES - running.iter().map(|l| all[l.index].nodes).sum::<f64>();
            let fits = all[*index].nodes <= free;
            if fits {
                start(&mut running, &left, *index, now);
            }
            !fits
        });
    }
    for request in &all {
        used += request.nodes * request.run_s;
    }
    let grids = (workload.best_effort + workload.deadline) as f64;
    out.local_rejected = local / (workload.local as f64).max(1.0);
    out.grid_rejected = grid / grids.max(1.0);
    // Excludes rejected and cancelled work, and overheads.
    out.utilization = used_of(&all, &left, used) / (NODES * last.max(1.0));
    out
}

/// Returns the work of completed requests. `left` is negative infinity for requests that were
/// cancelled or rejected.
fn used_of(all: &[Request], left: &[f64], used: f64) -> f64 {
    let lost = all.iter().zip(left).filter(|(_, left)| !left.is_finite());
    used - lost.map(|(r, _)| r.nodes * r.run_s).sum::<f64>()
}

fn start(running: &mut Vec<Lease>, left: &[f64], index: usize, now: f64) {
    running.push(Lease {
        index,
        end: now + left[index],
    });
}

fn preempt(
    all: &[Request],
    running: &mut Vec<Lease>,
    left: &mut [f64],
    queue: &mut Vec<usize>,
    index: usize,
    now: f64,
) {
    let Some(at) = running.iter().position(|l| l.index == index) else {
        return;
    };
    let lease = running.swap_remove(at);
    let rest = lease.end - now;
    match all[index].kind {
        Kind::Cancelable => left[index] = f64::NEG_INFINITY,
        Kind::Migratable => {
            left[index] = rest + MIGRATE_S;
            queue.insert(0, index);
        }
        _ => {
            left[index] = rest + SUSPEND_S + RESUME_S;
            queue.push(index);
        }
    }
}

/// Returns the requests that the policy preempts for a local request.
fn victims(
    all: &[Request],
    running: &[Lease],
    request: &Request,
    free: f64,
    now: f64,
    policy: VictimPreference,
) -> Option<Vec<usize>> {
    let shape = |cpus: f64| Shape {
        cpus,
        ..Shape::default()
    };
    let price = |kind: Kind, lease: &Lease| match kind {
        // A cancelled request loses all work done; the paper counts no overhead for it.
        Kind::Cancelable => (all[lease.index].run_s - (lease.end - now)).max(0.0),
        Kind::Migratable => MIGRATE_S,
        _ => SUSPEND_S + RESUME_S,
    };
    let preemptable = running.iter().filter(|l| {
        matches!(
            all[l.index].kind,
            Kind::Cancelable | Kind::Suspendable | Kind::Migratable
        )
    });
    let host = EvictionHost {
        machine: 0u8,
        free: shape(free),
        running: preemptable
            .map(|l| PreemptibleTask {
                job: l.index,
                task: 0,
                shape: shape(all[l.index].nodes),
                lost_work_s: price(all[l.index].kind, l) * all[l.index].nodes,
            })
            .collect(),
    };
    let sets = candidate_victim_sets(&shape(request.nodes), [host], SETS);
    let chosen = choose_victims(sets, policy)?;
    Some(chosen.tasks.into_iter().map(|(index, _)| index).collect())
}

/// Returns the rows of Table 1, each with its points.
fn rows() -> Vec<(&'static str, Vec<(f64, Workload)>)> {
    let at = |mean_nodes, best_effort, deadline, local| Workload {
        mean_nodes,
        best_effort,
        deadline,
        local,
    };
    let sizes = (2..=9).map(|n| (f64::from(n), at(f64::from(n), 1000, 1000, 1000)));
    let efforts = (1..=9).map(|n| (n as f64 * 10.0, at(4.0, n * 200, 2000 - n * 200, 1000)));
    let deadlines = (1..=9).map(|n| (n as f64 * 10.0, at(4.0, 2000 - n * 200, n * 200, 330)));
    let locals = (1..=9).map(|n| {
        let local = n * 300;
        (
            local as f64,
            at(4.0, (REQUESTS - local) / 2, (REQUESTS - local) / 2, local),
        )
    });
    vec![
        ("average nodes of a request", sizes.collect()),
        ("percentage of best-effort requests", efforts.collect()),
        ("percentage of deadline requests", deadlines.collect()),
        ("local requests", locals.collect()),
    ]
}

/// Runs all workloads with `seeds` seeds and returns the paper's Table 2, and the numbers of
/// preemptions of its Figure 4.
pub fn table(seeds: u64) -> String {
    let policies = [
        ("MOV", VictimPreference::LeastWorkLost),
        ("MLIP", VictimPreference::FewestJobs),
        ("MOML", VictimPreference::FewestJobsBelowMedian),
    ];
    let mut out = String::from(
        "Decrease of the rejection of local requests by preemption (MOML), in per cent of\n\
         the rejections without it, and change for grid requests; mean with 95% interval.\n",
    );
    let mut counts = String::new();
    for (name, points) in rows() {
        let (mut local, mut grid) = (Vec::new(), Vec::new());
        // Writing to a String cannot fail.
        let _ = writeln!(
            counts,
            "\n{name}: preemptions (utilization) by MOV, MLIP, MOML"
        );
        for (x, workload) in &points {
            let mut line = format!("  {x:>6}");
            for (_, policy) in policies {
                let runs: Vec<Run> = (0..seeds)
                    .map(|seed| run(workload, seed, Some(policy)))
                    .collect();
                let mean = |f: fn(&Run) -> f64| runs.iter().map(f).sum::<f64>() / seeds as f64;
                let (count, used) = (mean(|r| r.preemptions as f64), mean(|r| r.utilization));
                let _ = write!(line, "  {count:>7.1} ({used:.3})");
                if policy == VictimPreference::FewestJobsBelowMedian {
                    for (seed, with) in runs.iter().enumerate() {
                        let without = run(workload, seed as u64, None);
                        if without.local_rejected > 0.0 {
                            let less = without.local_rejected - with.local_rejected;
                            local.push(100.0 * less / without.local_rejected);
                        }
                        grid.push(100.0 * (with.grid_rejected - without.grid_rejected));
                    }
                }
            }
            let _ = writeln!(counts, "{line}");
        }
        let (local, grid) = (Mean::of(&local), Mean::of(&grid));
        let _ = writeln!(
            out,
            "  {name:<38} {:.1}% ({:.1} to {:.1}); grid {:+.2} points ± {:.2}",
            local.mean,
            local.mean - local.half,
            local.mean + local.half,
            grid.mean,
            grid.half
        );
    }
    out + &counts
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn preemption_serves_local_requests_and_mlip_stops_the_fewest() {
        // Guards against an experiment without effect: preemption must reduce rejections, as in
        // the paper, and the policies must have the paper's order of preemption counts.
        let workload = rows()[0].1[2].1;
        let sum = |policy| {
            let runs = (0..6).map(|seed| run(&workload, seed, policy));
            runs.fold((0.0, 0), |s, r| {
                (s.0 + r.local_rejected, s.1 + r.preemptions)
            })
        };
        let without = sum(None);
        let [mov, mlip, moml] = [
            VictimPreference::LeastWorkLost,
            VictimPreference::FewestJobs,
            VictimPreference::FewestJobsBelowMedian,
        ]
        .map(|p| sum(Some(p)));
        assert_eq!(without.1, 0);
        assert!(moml.0 < 0.7 * without.0, "{moml:?} {without:?}");
        assert!(
            mlip.1 <= moml.1 && moml.1 <= mov.1,
            "{mov:?} {mlip:?} {moml:?}"
        );
    }
}
