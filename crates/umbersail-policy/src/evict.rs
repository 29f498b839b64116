//! Victim selection for evictions with the MOML policy (minimum overhead, minimum leases)
//! from Amini Salehi, Javadi and Buyya, "Resource Provisioning based on Lease Preemption in
//! InterGrid", section 4.2.3, algorithm 1. The candidate sets are built greedily.

use crate::Shape;

/// A task that may be evicted.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptibleTask<J> {
    /// Job of the task.
    pub job: J,
    /// Number of the task within the job.
    pub task: u32,
    /// Resources that the task uses.
    pub shape: Shape,
    /// Seconds of work that stopping the task would lose.
    pub lost_work_s: f64,
}

/// A machine that the blocked task may use, with the tasks that may be evicted from it.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionHost<M, J> {
    /// The machine.
    pub machine: M,
    /// Free resources of the machine.
    pub free: Shape,
    /// Tasks that may be evicted from it.
    pub running: Vec<PreemptibleTask<J>>,
}

/// A set of tasks on one machine whose eviction makes enough room.
#[derive(Debug, Clone, PartialEq)]
pub struct VictimSet<M, J> {
    /// The machine on which room is made.
    pub machine: M,
    /// The tasks to evict, by job and number.
    pub tasks: Vec<(J, u32)>,
    /// Seconds of work that are lost in total.
    pub lost_work_s: f64,
    /// Number of jobs that lose tasks.
    pub job_count: usize,
    /// The median lost work of all candidate sets (the paper's threshold alpha).
    pub median_lost_work_s: f64,
    /// Number of candidate sets.
    pub set_count: usize,
}

/// How a candidate set is chosen (the paper's sections 4.2.1 to 4.2.3). The scheduler uses
/// the third policy; the others serve for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VictimPreference {
    /// MOV: the least lost work.
    LeastWorkLost,
    /// MLIP: the fewest jobs.
    FewestJobs,
    /// MOML: the fewest jobs among the sets whose lost work is at or below the median.
    FewestJobsBelowMedian,
}

/// Chooses, among the candidate sets whose lost work is at or below the median, the one
/// that affects the fewest jobs; among those, the one with the least lost work.
pub fn select_victims<M, J>(
    needed: &Shape,
    hosts: impl IntoIterator<Item = EvictionHost<M, J>>,
    max_sets: usize,
) -> Option<VictimSet<M, J>>
where
    M: Clone + PartialEq,
    J: Clone + Ord,
{
    choose_victims(
        candidate_victim_sets(needed, hosts, max_sets),
        VictimPreference::FewestJobsBelowMedian,
    )
}

/// Builds at most `max_sets` sets whose eviction makes room. Hosts are taken from the
/// iterator one at a time until there are enough sets, so on a large cluster most hosts are
/// never built.
pub fn candidate_victim_sets<M, J>(
    needed: &Shape,
    hosts: impl IntoIterator<Item = EvictionHost<M, J>>,
    max_sets: usize,
) -> Vec<VictimSet<M, J>>
where
    M: Clone + PartialEq,
    J: Clone + Ord,
{
    let mut sets: Vec<VictimSet<M, J>> = Vec::new();
    let mut examined_hosts: Vec<EvictionHost<M, J>> = Vec::new();
    for host in hosts {
        if sets.len() >= max_sets {
            break;
        }
        sets.extend(build_victim_set(needed, &host, 0));
        examined_hosts.push(host);
    }
    // The orders in which a set is built: least lost work first, largest first, and job by
    // job. Each is a different trade-off between lost work and number of jobs.
    for order in 1..3 {
        for host in &examined_hosts {
            if sets.len() >= max_sets {
                break;
            }
            if let Some(set) = build_victim_set(needed, host, order)
                && !sets
                    .iter()
                    .any(|s| s.machine == set.machine && s.tasks == set.tasks)
            {
                sets.push(set);
            }
        }
    }
    sets
}

/// Chooses one of the sets by a preference, and fills in the median and the number of sets.
pub fn choose_victims<M, J>(
    sets: Vec<VictimSet<M, J>>,
    preference: VictimPreference,
) -> Option<VictimSet<M, J>> {
    let mut lost_work: Vec<f64> = sets.iter().map(|s| s.lost_work_s).collect();
    lost_work.sort_by(f64::total_cmp);
    let median = median(&lost_work)?;
    let count = sets.len();
    let by_lost_work =
        |a: &VictimSet<M, J>, b: &VictimSet<M, J>| a.lost_work_s.total_cmp(&b.lost_work_s);
    let chosen = match preference {
        VictimPreference::LeastWorkLost => sets
            .into_iter()
            .min_by(|a, b| by_lost_work(a, b).then(a.job_count.cmp(&b.job_count))),
        VictimPreference::FewestJobs => sets
            .into_iter()
            .min_by(|a, b| a.job_count.cmp(&b.job_count).then(by_lost_work(a, b))),
        VictimPreference::FewestJobsBelowMedian => sets
            .into_iter()
            .filter(|s| s.lost_work_s <= median)
            .min_by(|a, b| a.job_count.cmp(&b.job_count).then(by_lost_work(a, b))),
    };
    chosen.map(|s| VictimSet {
        median_lost_work_s: median,
        set_count: count,
        ..s
    })
}

fn median(sorted: &[f64]) -> Option<f64> {
    let n = sorted.len();
    match n {
        0 => None,
        _ if n % 2 == 1 => Some(sorted[n / 2]),
        _ => Some((sorted[n / 2 - 1] + sorted[n / 2]) / 2.0),
    }
}

/// Builds a set of victims on one machine by adding its tasks in the given order until there
/// is enough room. `None` if no task is needed or all tasks together are not enough.
fn build_victim_set<M: Clone, J: Clone + Ord>(
    needed: &Shape,
    host: &EvictionHost<M, J>,
    order: u8,
) -> Option<VictimSet<M, J>> {
    let mut tasks: Vec<&PreemptibleTask<J>> = host.running.iter().collect();
    match order {
        0 => tasks.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s)),
        1 => tasks.sort_by(|a, b| {
            b.shape
                .cpus
                .total_cmp(&a.shape.cpus)
                .then(a.lost_work_s.total_cmp(&b.lost_work_s))
        }),
        _ => {
            let weight = |job: &J| {
                host.running
                    .iter()
                    .filter(|r| r.job == *job)
                    .map(|r| r.shape.cpus)
                    .sum::<f64>()
            };
            tasks.sort_by(|a, b| {
                weight(&b.job)
                    .total_cmp(&weight(&a.job))
                    .then(a.job.cmp(&b.job))
                    .then(a.lost_work_s.total_cmp(&b.lost_work_s))
            });
        }
    }
    let mut room = host.free;
    let mut chosen: Vec<&PreemptibleTask<J>> = Vec::new();
    for task in tasks {
        if needed.fits_in(&room) {
            break;
        }
        room.add(&task.shape, 1.0);
        chosen.push(task);
    }
    if chosen.is_empty() || !needed.fits_in(&room) {
        return None;
    }
    // Removes tasks that turned out not to be needed.
    for i in (0..chosen.len()).rev() {
        let without = room.plus(&chosen[i].shape, -1.0);
        if chosen.len() > 1 && needed.fits_in(&without) {
            room = without;
            chosen.remove(i);
        }
    }
    let mut tasks: Vec<(J, u32)> = chosen.iter().map(|r| (r.job.clone(), r.task)).collect();
    tasks.sort();
    let mut jobs: Vec<&J> = tasks.iter().map(|(j, _)| j).collect();
    jobs.dedup();
    let jobs = jobs.len();
    Some(VictimSet {
        machine: host.machine.clone(),
        lost_work_s: chosen.iter().map(|r| r.lost_work_s).sum(),
        tasks,
        job_count: jobs,
        median_lost_work_s: 0.0,
        set_count: 0,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cpus(cpus: f64) -> Shape {
        Shape {
            cpus,
            ..Shape::default()
        }
    }

    fn host(
        machine: u32,
        free: f64,
        running: &[(&'static str, u32, f64, f64)],
    ) -> EvictionHost<u32, &'static str> {
        EvictionHost {
            machine,
            free: cpus(free),
            running: running
                .iter()
                .map(|&(job, task, c, price)| PreemptibleTask {
                    job,
                    task,
                    shape: cpus(c),
                    lost_work_s: price,
                })
                .collect(),
        }
    }

    #[test]
    fn no_set_when_nothing_frees_enough() {
        assert_eq!(
            select_victims(&cpus(8.0), [host(1, 2.0, &[("a", 0, 4.0, 1.0)])], 16),
            None
        );
        assert_eq!(select_victims::<u32, &str>(&cpus(8.0), [], 16), None);
    }

    #[test]
    fn one_set_is_its_own_median() {
        let got = select_victims(&cpus(4.0), [host(1, 0.0, &[("a", 0, 4.0, 9.0)])], 16).unwrap();
        assert_eq!(got.tasks, vec![("a", 0)]);
        assert_eq!((got.median_lost_work_s, got.set_count), (9.0, 1));
    }

    #[test]
    fn the_set_with_the_fewest_jobs_wins_even_if_another_loses_less_work() {
        // The sets lose 2 s (two jobs), 3 s (one job) and 9 s (one job): median 3 s.
        let hosts = [
            host(1, 0.0, &[("a", 0, 2.0, 1.0), ("b", 0, 2.0, 1.0)]),
            host(2, 0.0, &[("c", 0, 4.0, 3.0)]),
            host(3, 0.0, &[("d", 0, 4.0, 9.0)]),
        ];
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!(got.tasks, vec![("c", 0)]);
    }

    #[test]
    fn a_set_above_the_median_is_excluded_however_few_jobs_it_has() {
        let hosts = [
            host(1, 0.0, &[("a", 0, 2.0, 1.0), ("b", 0, 2.0, 1.0)]),
            host(2, 0.0, &[("c", 0, 2.0, 1.5), ("d", 0, 2.0, 1.0)]),
            host(3, 0.0, &[("e", 0, 4.0, 9.0)]),
        ];
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!(got.machine, 1);
        assert_eq!(got.job_count, 2);
    }

    #[test]
    fn the_median_of_an_even_count_is_the_mean_of_the_middle_two() {
        let hosts = [
            host(1, 0.0, &[("a", 0, 4.0, 2.0)]),
            host(2, 0.0, &[("b", 0, 4.0, 4.0)]),
        ];
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!((got.median_lost_work_s, got.machine), (3.0, 1));
    }

    #[test]
    fn equal_lost_work_keeps_all_sets_and_the_number_of_sets_is_bounded() {
        let hosts: Vec<_> = (0..40)
            .map(|m| host(m, 0.0, &[("a", 0, 4.0, 5.0)]))
            .collect();
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!((got.lost_work_s, got.set_count), (5.0, 16));
    }

    #[test]
    fn tasks_that_need_not_be_evicted_are_kept() {
        // Least lost work first takes a, then b; b alone is enough.
        let hosts = [host(1, 0.0, &[("a", 0, 1.0, 1.0), ("b", 0, 4.0, 2.0)])];
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!(got.tasks, vec![("b", 0)]);
    }
}
