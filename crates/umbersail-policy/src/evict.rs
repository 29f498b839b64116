//! MOML (minimum overhead, minimum leases) of Amini Salehi, Javadi and Buyya,
//! "Resource Provisioning based on Lease Preemption in InterGrid", section
//! 4.2.3, algorithm 1, over candidate sets that are grown greedily.

use crate::Shape;

/// A task that may be evicted.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptibleTask<J> {
    /// Its job.
    pub job: J,
    /// Its number in the job.
    pub task: u32,
    /// Resources that it uses.
    pub shape: Shape,
    /// Seconds of work lost by stopping it.
    pub lost_work_s: f64,
}

/// A machine that the blocked task may use, with what may be evicted there.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionHost<M, J> {
    /// The machine.
    pub machine: M,
    /// Its free resources.
    pub free: Shape,
    /// Tasks that may be evicted from it.
    pub running: Vec<PreemptibleTask<J>>,
}

/// The chosen set.
#[derive(Debug, Clone, PartialEq)]
pub struct VictimSet<M, J> {
    /// The machine that gets room.
    pub machine: M,
    /// The tasks to evict, by job and number.
    pub tasks: Vec<(J, u32)>,
    /// Seconds of work lost in all.
    pub lost_work_s: f64,
    /// Number of jobs that lose tasks.
    pub job_count: usize,
    /// The threshold alpha, and how many sets it was the median of.
    pub median_lost_work_s: f64,
    /// Number of candidate sets.
    pub set_count: usize,
}

/// How one of the candidate sets is chosen (the paper's sections 4.2.1 to
/// 4.2.3). The service uses the third; the others are there to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VictimPreference {
    /// MOV: the least price.
    LeastWorkLost,
    /// MLIP: the fewest jobs.
    FewestJobs,
    /// MOML: the fewest jobs among those priced at or below the median.
    FewestJobsBelowMedian,
}

/// Among the candidate sets priced at or below the median, the one that
/// touches the fewest jobs; the cheaper one where that is equal.
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

/// Sets whose removal makes room, at most so many. Hosts are asked for one at a
/// time and no further than the sets go: on a large fleet most are never built.
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
    let mut seen: Vec<EvictionHost<M, J>> = Vec::new();
    for host in hosts {
        if sets.len() >= max_sets {
            break;
        }
        sets.extend(grow(needed, &host, 0));
        seen.push(host);
    }
    // Orders in which a set is grown: cheapest first, largest first, and job
    // by job, each a different trade between price and number of jobs.
    for order in 1..3 {
        for host in &seen {
            if sets.len() >= max_sets {
                break;
            }
            if let Some(set) = grow(needed, host, order)
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

/// One of the sets by a preference, with the median and their number.
pub fn choose_victims<M, J>(
    sets: Vec<VictimSet<M, J>>,
    preference: VictimPreference,
) -> Option<VictimSet<M, J>> {
    let mut prices: Vec<f64> = sets.iter().map(|s| s.lost_work_s).collect();
    prices.sort_by(f64::total_cmp);
    let median = median(&prices)?;
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

fn grow<M: Clone, J: Clone + Ord>(
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
    // Growth may have passed over the mark by members that are not needed.
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
    fn the_fewest_jobs_win_even_if_another_set_is_cheaper() {
        // Sets cost 2 (two jobs), 3 (one job) and 9 (one job): median 3.
        let hosts = [
            host(1, 0.0, &[("a", 0, 2.0, 1.0), ("b", 0, 2.0, 1.0)]),
            host(2, 0.0, &[("c", 0, 4.0, 3.0)]),
            host(3, 0.0, &[("d", 0, 4.0, 9.0)]),
        ];
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!(got.tasks, vec![("c", 0)]);
    }

    #[test]
    fn a_set_above_the_median_is_out_however_few_jobs_it_has() {
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
    fn an_even_count_takes_the_mean_of_the_middle_two() {
        let hosts = [
            host(1, 0.0, &[("a", 0, 4.0, 2.0)]),
            host(2, 0.0, &[("b", 0, 4.0, 4.0)]),
        ];
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!((got.median_lost_work_s, got.machine), (3.0, 1));
    }

    #[test]
    fn equal_prices_leave_all_sets_in_and_the_cap_holds() {
        let hosts: Vec<_> = (0..40)
            .map(|m| host(m, 0.0, &[("a", 0, 4.0, 5.0)]))
            .collect();
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!((got.lost_work_s, got.set_count), (5.0, 16));
    }

    #[test]
    fn tasks_that_are_not_needed_are_spared() {
        // Cheapest first takes a, then b; b alone is enough.
        let hosts = [host(1, 0.0, &[("a", 0, 1.0, 1.0), ("b", 0, 4.0, 2.0)])];
        let got = select_victims(&cpus(4.0), hosts, 16).unwrap();
        assert_eq!(got.tasks, vec![("b", 0)]);
    }
}
