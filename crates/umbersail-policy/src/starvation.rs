//! Starvation guard of the priority order: prevents jobs from waiting without end because
//! they are large.

use std::collections::{BTreeMap, VecDeque};

/// A job that has not started any task.
#[derive(Debug, Clone, PartialEq)]
pub struct UnstartedJob<G> {
    /// Jobs of different groups take turns, so a group that submits many jobs only delays
    /// its own.
    pub group: G,
    /// Seconds since the job was first accepted.
    pub waited_s: f64,
    /// CPUs of one task of the job.
    pub cpus: f64,
}

/// Selects the jobs that the starvation guard boosts, by index in priority order: jobs that
/// have waited for at least `min_wait_s`, taking turns between groups, and within a group
/// the longest waiting job first.
///
/// The boosted jobs together get `share_cpus`, less the `busy_cpus` that tasks boosted
/// earlier still use. Without this bound, every slot would start another job during a
/// lasting overload, and no job would finish. The first job is boosted however small the
/// share is, if no task boosted earlier runs; otherwise the largest task of all would wait
/// without end.
///
/// Each job is boosted for one task only, so a job of many small tasks gains no more than a
/// small job.
pub fn boosted_jobs<G: Ord>(
    jobs: &[UnstartedJob<G>],
    min_wait_s: f64,
    share_cpus: f64,
    busy_cpus: f64,
) -> Vec<usize> {
    let mut by_group: BTreeMap<&G, Vec<usize>> = BTreeMap::new();
    for (index, job) in jobs.iter().enumerate() {
        if job.waited_s >= min_wait_s {
            by_group.entry(&job.group).or_default().push(index);
        }
    }
    let mut by_round: Vec<(usize, usize)> = Vec::new();
    for members in by_group.values_mut() {
        members.sort_by(|&a, &b| longest_first(jobs, a, b));
        by_round.extend(members.iter().copied().enumerate());
    }
    by_round.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| longest_first(jobs, a.1, b.1)));
    let mut left = share_cpus - busy_cpus;
    let mut chosen = Vec::new();
    for (_, index) in by_round {
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

/// Orders jobs by waiting time, longest first, and by index if the times are equal.
fn longest_first<G>(jobs: &[UnstartedJob<G>], a: usize, b: usize) -> std::cmp::Ordering {
    let waited = |index: usize| jobs[index].waited_s;
    waited(b).total_cmp(&waited(a)).then(a.cmp(&b))
}

/// Seconds until `wanted` CPUs of a machine are free; `None` if they never will be. `ends`
/// holds for each running task the seconds until its end and its CPUs.
pub fn seconds_until_free(free: f64, wanted: f64, mut ends: Vec<(f64, f64)>) -> Option<f64> {
    ends.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut free = free;
    let mut at_s: f64 = 0.0;
    let mut ends = ends.into_iter();
    // The tolerance is for rounding errors in sums of decimal amounts.
    while free + 1e-6 < wanted {
        let (end_s, cpus) = ends.next()?;
        at_s = at_s.max(end_s);
        free += cpus;
    }
    at_s.is_finite().then_some(at_s)
}

/// Whether a job of a given size met its deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DeadlineOutcome {
    size: f64,
    in_time: bool,
}

/// Recent deadline outcomes by class and by team, in bounded memory.
#[derive(Debug)]
pub struct ServiceHistory {
    groups: BTreeMap<String, VecDeque<DeadlineOutcome>>,
    max_groups: usize,
    window: usize,
}

impl ServiceHistory {
    /// Keeps the last `window` outcomes of each of at most `max_groups` groups.
    pub fn new(max_groups: usize, window: usize) -> ServiceHistory {
        ServiceHistory {
            groups: BTreeMap::new(),
            max_groups: max_groups.max(1),
            window: window.max(1),
        }
    }

    /// Records that a job with a deadline finished or can no longer meet its deadline.
    /// `size` is the number of its tasks times the CPUs of one task.
    pub fn record(&mut self, name: &str, size: f64, in_time: bool) {
        if !self.groups.contains_key(name) {
            if self.groups.len() >= self.max_groups {
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

    /// Names of all recorded groups.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.groups.keys().map(String::as_str)
    }

    /// The size from which jobs of this group are underserved, or `None` if none are. Jobs
    /// are underserved if less than `min_share` of all jobs of the group met their
    /// deadlines, or of the largest quarter or tenth. Returns `None` while fewer than
    /// `min_jobs` such jobs are recorded.
    pub fn underserved_min_size(&self, name: &str, min_share: f64, min_jobs: usize) -> Option<f64> {
        let outcomes = self.groups.get(name)?;
        let mut sizes: Vec<f64> = outcomes.iter().map(|f| f.size).collect();
        sizes.sort_by(|a, b| b.total_cmp(a));
        [1.0, 0.25, 0.1].iter().find_map(|part| {
            let count = (sizes.len() as f64 * part).ceil() as usize;
            let from = *sizes.get(count.max(1) - 1)?;
            // Jobs of the same size as the smallest selected job are included.
            let selected: Vec<&DeadlineOutcome> =
                outcomes.iter().filter(|f| f.size >= from).collect();
            let in_time = selected.iter().filter(|f| f.in_time).count();
            let is_underserved =
                selected.len() >= min_jobs && (in_time as f64) < min_share * selected.len() as f64;
            is_underserved.then_some(if *part < 1.0 { from } else { 0.0 })
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
    fn many_small_jobs_of_one_group_take_turns_with_a_large_job_of_another() {
        // Guards against boosting by waiting time alone: hundreds of small jobs of one group,
        // each as old as the large job of another, would all go before it.
        let mut jobs: Vec<UnstartedJob<u32>> = (0..300).map(|_| unstarted(1, 150.0, 1.0)).collect();
        jobs.push(unstarted(2, 149.0, 32.0));
        let chosen = boosted_jobs(&jobs, 140.0, 64.0, 0.0);
        assert_eq!(chosen[..2], [0, 300]);
        assert_eq!(chosen.len(), 33, "no more than the share has room for");
        assert_eq!(boosted_jobs(&jobs, 151.0, 64.0, 0.0), Vec::<usize>::new());
        // However small the share, one job is boosted, and it is the longest waiting one.
        let jobs = [unstarted(2, 150.0, 32.0), unstarted(2, 200.0, 64.0)];
        assert_eq!(boosted_jobs(&jobs, 140.0, 1.0, 0.0), [1]);
    }

    #[test]
    fn boosted_tasks_that_still_run_count_against_the_share() {
        // Guards against granting the full share again with every priority order.
        let jobs: Vec<UnstartedJob<u32>> = (0..9).map(|_| unstarted(1, 150.0, 8.0)).collect();
        assert_eq!(boosted_jobs(&jobs, 140.0, 32.0, 0.0).len(), 4);
        assert_eq!(boosted_jobs(&jobs, 140.0, 32.0, 16.0).len(), 2);
        assert_eq!(boosted_jobs(&jobs, 140.0, 32.0, 32.0), Vec::<usize>::new());
        assert_eq!(
            boosted_jobs(&jobs, 140.0, 4.0, 8.0),
            Vec::<usize>::new(),
            "a boosted task already runs"
        );
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
            "the third task, a service, never ends"
        );
    }

    #[test]
    fn the_largest_jobs_of_a_class_can_be_underserved_when_the_class_is_not() {
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
            "25 of all 32 met their deadlines, but only one of the largest 8"
        );
        assert_eq!(
            served.underserved_min_size("c", 0.55, 9),
            None,
            "too few outcomes recorded"
        );
        // New outcomes replace old ones, and a group beyond the limit is not recorded.
        for name in ["c", "d", "e"] {
            (0..32).for_each(|_| served.record(name, 64.0, name == "c"));
        }
        assert_eq!(served.underserved_min_size("c", 0.55, 4), None);
        assert_eq!(
            served.underserved_min_size("d", 0.55, 4),
            Some(0.0),
            "all jobs of the class"
        );
        assert_eq!(served.underserved_min_size("e", 0.55, 4), None);
    }
}
