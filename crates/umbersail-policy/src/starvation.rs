//! The starvation guard of the priority order: no job waits without end for being large.

use std::collections::{BTreeMap, VecDeque};

/// A job of which nothing has begun, as the starvation guard sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct UnstartedJob<G> {
    /// Who takes turns: whoever floods waits behind its own.
    pub group: G,
    /// Seconds since it was first accepted.
    pub waited_s: f64,
    /// CPUs of the one task that makes it begin.
    pub cpus: f64,
}

/// Which of these the starvation guard boosts, in the order given: those that have waited for
/// `near_s`, the groups in turn and in each the longest waiting first, as far as
/// `share_cpus` go less the `busy_cpus` that tasks boosted before still take: else in a
/// lasting overload every place would begin another job and none would end. The
/// first always if none of those runs, however small the share: else the largest
/// task of all would wait for ever. One task each, so a job of many small tasks
/// gains no more than a small job.
pub fn boosted_jobs<G: Ord>(
    jobs: &[UnstartedJob<G>],
    near_s: f64,
    share_cpus: f64,
    busy_cpus: f64,
) -> Vec<usize> {
    let mut by_group: BTreeMap<&G, Vec<usize>> = BTreeMap::new();
    for (index, job) in jobs.iter().enumerate() {
        if job.waited_s >= near_s {
            by_group.entry(&job.group).or_default().push(index);
        }
    }
    let mut turns: Vec<(usize, usize)> = Vec::new();
    for members in by_group.values_mut() {
        members.sort_by(|&a, &b| longest_first(jobs, a, b));
        turns.extend(members.iter().copied().enumerate());
    }
    turns.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| longest_first(jobs, a.1, b.1)));
    let mut left = share_cpus - busy_cpus;
    let mut chosen = Vec::new();
    for (_, index) in turns {
        let cpus = jobs[index].cpus;
        let is_first = chosen.is_empty() && busy_cpus <= 0.0;
        if cpus > left && !is_first {
            break;
        }
        left -= cpus;
        chosen.push(index);
    }
    chosen
}

fn longest_first<G>(jobs: &[UnstartedJob<G>], a: usize, b: usize) -> std::cmp::Ordering {
    let waited = |index: usize| jobs[index].waited_s;
    waited(b).total_cmp(&waited(a)).then(a.cmp(&b))
}

/// Seconds until `wanted` CPUs of a machine are free, if they will be. `ends` are
/// its tasks: seconds until each ends, and its CPUs.
pub fn seconds_until_free(free: f64, wanted: f64, mut ends: Vec<(f64, f64)>) -> Option<f64> {
    ends.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut free = free;
    let mut at_s: f64 = 0.0;
    let mut ends = ends.into_iter();
    // Sums of decimals are off by rounding.
    while free + 1e-6 < wanted {
        let (end_s, cpus) = ends.next()?;
        at_s = at_s.max(end_s);
        free += cpus;
    }
    at_s.is_finite().then_some(at_s)
}

/// How a job fared against its deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DeadlineOutcome {
    size: f64,
    in_time: bool,
}

/// Who of late was served in time, by class and size and by team, in bounded memory.
#[derive(Debug)]
pub struct ServiceHistory {
    groups: BTreeMap<String, VecDeque<DeadlineOutcome>>,
    most: usize,
    window: usize,
}

impl ServiceHistory {
    /// For so many names at most, of each the last `window` jobs.
    pub fn new(most: usize, window: usize) -> ServiceHistory {
        ServiceHistory {
            groups: BTreeMap::new(),
            most: most.max(1),
            window: window.max(1),
        }
    }

    /// A job with a deadline ended, or can't be in time any more. `size` is its tasks
    /// times the CPUs of one.
    pub fn record(&mut self, name: &str, size: f64, in_time: bool) {
        if !self.groups.contains_key(name) {
            if self.groups.len() >= self.most {
                return;
            }
            self.groups.insert(name.to_owned(), VecDeque::new());
        }
        if let Some(outcomes) = self.groups.get_mut(name) {
            if outcomes.len() >= self.window {
                outcomes.pop_front();
            }
            outcomes.push_back(DeadlineOutcome { size, in_time });
        }
    }

    /// All names that it knows.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.groups.keys().map(String::as_str)
    }

    /// From which size on jobs by this name are underserved, if any are: fewer than `near`
    /// of all were served, or of the largest quarter or tenth. Silent until
    /// `least` such jobs are known.
    pub fn underserved_min_size(&self, name: &str, near: f64, least: usize) -> Option<f64> {
        let outcomes = self.groups.get(name)?;
        let mut sizes: Vec<f64> = outcomes.iter().map(|f| f.size).collect();
        sizes.sort_by(|a, b| b.total_cmp(a));
        [1.0, 0.25, 0.1].iter().find_map(|part| {
            let count = (sizes.len() as f64 * part).ceil() as usize;
            let from = *sizes.get(count.max(1) - 1)?;
            // Those at the edge that are alike belong together.
            let of: Vec<&DeadlineOutcome> = outcomes.iter().filter(|f| f.size >= from).collect();
            let in_time = of.iter().filter(|f| f.in_time).count();
            let few = of.len() >= least && (in_time as f64) < near * of.len() as f64;
            few.then_some(if *part < 1.0 { from } else { 0.0 })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn unstarted(group: u32, waited_s: f64, cpus: f64) -> UnstartedJob<u32> {
        UnstartedJob {
            group,
            waited_s,
            cpus,
        }
    }

    #[test]
    fn a_flood_of_small_jobs_takes_turns_with_the_one_large_job_of_another() {
        // Guards against debt by number: a guest's hundreds of jobs, each as old
        // as the large one, would all go before it.
        let mut jobs: Vec<UnstartedJob<u32>> = (0..300).map(|_| unstarted(1, 150.0, 1.0)).collect();
        jobs.push(unstarted(2, 149.0, 32.0));
        let chosen = boosted_jobs(&jobs, 140.0, 64.0, 0.0);
        assert_eq!(chosen[..2], [0, 300]);
        assert_eq!(chosen.len(), 33, "no more than there is room for");
        assert_eq!(boosted_jobs(&jobs, 151.0, 64.0, 0.0), []);
        // However little room, the first is boosted, and the longest waiting is first.
        let jobs = [unstarted(2, 150.0, 32.0), unstarted(2, 200.0, 64.0)];
        assert_eq!(boosted_jobs(&jobs, 140.0, 1.0, 0.0), [1]);
    }

    #[test]
    fn what_was_lifted_and_still_runs_counts_against_the_share() {
        // Guards against a share that is given anew with every order.
        let jobs: Vec<UnstartedJob<u32>> = (0..9).map(|_| unstarted(1, 150.0, 8.0)).collect();
        assert_eq!(boosted_jobs(&jobs, 140.0, 32.0, 0.0).len(), 4);
        assert_eq!(boosted_jobs(&jobs, 140.0, 32.0, 16.0).len(), 2);
        assert_eq!(boosted_jobs(&jobs, 140.0, 32.0, 32.0), []);
        assert_eq!(boosted_jobs(&jobs, 140.0, 4.0, 8.0), [], "one runs already");
    }

    #[test]
    fn a_machine_is_free_once_enough_of_its_tasks_end() {
        let ends = vec![(30.0, 16.0), (5.0, 8.0), (f64::INFINITY, 16.0)];
        assert_eq!(seconds_until_free(32.0, 32.0, ends.clone()), Some(0.0));
        assert_eq!(seconds_until_free(24.0, 32.0, ends.clone()), Some(5.0));
        assert_eq!(seconds_until_free(24.0, 40.0, ends.clone()), Some(30.0));
        assert_eq!(
            seconds_until_free(24.0, 64.0, ends),
            None,
            "a service never ends"
        );
    }

    #[test]
    fn the_largest_of_a_class_near_half_though_the_class_is_not() {
        let mut served = ServiceHistory::new(2, 32);
        for i in 0..24 {
            served.record("c", 2.0, true);
            if i % 3 == 0 {
                served.record("c", 64.0, i == 0);
            }
        }
        assert_eq!(
            served.underserved_min_size("c", 0.55, 4),
            Some(64.0),
            "25 of all 32 were served, and one of the largest 8"
        );
        assert_eq!(
            served.underserved_min_size("c", 0.55, 9),
            None,
            "too few to tell"
        );
        // Old outcomes give way, and a name too many is not counted.
        for name in ["c", "d", "e"] {
            (0..32).for_each(|_| served.record(name, 64.0, name == "c"));
        }
        assert_eq!(served.underserved_min_size("c", 0.55, 4), None);
        assert_eq!(
            served.underserved_min_size("d", 0.55, 4),
            Some(0.0),
            "all of the class"
        );
        assert_eq!(served.underserved_min_size("e", 0.55, 4), None);
    }
}
