//! Selection of the jobs that can finish by their deadlines.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The deadline and the remaining work of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeadlineDemand {
    /// Seconds until its last task must start.
    pub slack_s: f64,
    /// Seconds that the machines the job may use need for its waiting tasks.
    pub work_s: f64,
    /// Too few jobs of its class, team or size met their deadlines recently, so the job is
    /// dropped last.
    pub underserved: bool,
}

/// A selected job. The greatest candidate is dropped first: the one with the most work,
/// protected jobs last.
#[derive(Debug, PartialEq)]
struct DropCandidate {
    protected: bool,
    work_s: f64,
    index: usize,
}

impl Eq for DropCandidate {}

impl PartialOrd for DropCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DropCandidate {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.protected.cmp(&self.protected))
            .then(self.work_s.total_cmp(&other.work_s))
            .then(self.index.cmp(&other.index))
    }
}

/// Selects the jobs to serve first so that as many as possible finish on time
/// (Moore-Hodgson algorithm): jobs are added in the order in which they must start, and
/// whenever one would be late, the job with the most work among those added so far is
/// dropped. Ordering by deadline alone would make every job slightly late in an overload.
///
/// Dropping by work alone would never let the largest jobs finish on time. Of the
/// underserved jobs, as many as can finish on time on `underserved_share` of the machines
/// are therefore only dropped after all other jobs.
///
/// `busy_s` is the time for which the machines are occupied by work that goes before all of
/// these jobs. Returns which jobs are served on time, in the order given, and the seconds
/// that these jobs take, `busy_s` included.
pub fn max_on_time(
    jobs: &[DeadlineDemand],
    busy_s: f64,
    underserved_share: f64,
) -> (Vec<bool>, f64) {
    let underserved: Vec<usize> = (0..jobs.len()).filter(|i| jobs[*i].underserved).collect();
    let mut protected = vec![false; jobs.len()];
    if !underserved.is_empty() && underserved_share > 0.0 {
        let underserved_only: Vec<DeadlineDemand> = underserved
            .iter()
            .map(|i| DeadlineDemand {
                work_s: jobs[*i].work_s / underserved_share,
                ..jobs[*i]
            })
            .collect();
        let (kept, _) = drop_largest(
            &underserved_only,
            &vec![false; underserved_only.len()],
            busy_s,
        );
        for (index, kept) in underserved.into_iter().zip(kept) {
            protected[index] = kept;
        }
    }
    drop_largest(jobs, &protected, busy_s)
}

/// Runs the algorithm; jobs marked as protected are dropped after all other jobs.
fn drop_largest(jobs: &[DeadlineDemand], protected: &[bool], busy_s: f64) -> (Vec<bool>, f64) {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|&a, &b| jobs[a].slack_s.total_cmp(&jobs[b].slack_s));
    let mut kept = vec![false; jobs.len()];
    let mut largest: BinaryHeap<DropCandidate> = BinaryHeap::new();
    let mut taken_s = busy_s;
    for index in order {
        let work_s = jobs[index].work_s;
        kept[index] = true;
        taken_s += work_s;
        largest.push(DropCandidate {
            protected: protected[index],
            work_s,
            index,
        });
        while taken_s > jobs[index].slack_s.max(0.0)
            && let Some(dropped) = largest.pop()
        {
            kept[dropped.index] = false;
            taken_s -= dropped.work_s;
            if dropped.index == index {
                break;
            }
        }
    }
    (kept, taken_s)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn due(slack_s: f64, work_s: f64) -> DeadlineDemand {
        DeadlineDemand {
            slack_s,
            work_s,
            underserved: false,
        }
    }

    #[test]
    fn in_an_overload_the_largest_job_is_dropped_and_the_others_finish_on_time() {
        // Guards against ordering by deadline alone: the first job would make the three
        // jobs after it late.
        let jobs = [
            due(10.0, 9.0),
            due(11.0, 2.0),
            due(12.0, 3.0),
            due(13.0, 4.0),
        ];
        let (kept, taken_s) = max_on_time(&jobs, 0.0, 1.0);
        assert_eq!(kept, [false, true, true, true]);
        assert_eq!(taken_s, 9.0);
        let (kept, _) = max_on_time(&jobs, 5.0, 1.0);
        assert_eq!(kept, [false, true, true, false]);
        // With enough capacity, no job is dropped.
        let (kept, _) = max_on_time(&jobs[1..], 0.0, 1.0);
        assert_eq!(kept, [true; 3]);
    }

    #[test]
    fn underserved_jobs_are_dropped_only_for_other_underserved_jobs() {
        // Guards against a class whose largest jobs never finish on time: they have the
        // most work, so dropping by work alone would always drop them.
        let mut jobs = [due(10.0, 9.0), due(11.0, 2.0), due(12.0, 3.0)];
        jobs[0].underserved = true;
        assert_eq!(max_on_time(&jobs, 0.0, 1.0).0, [true, true, false]);
        // An underserved job gets no more than the underserved share of the machines.
        assert_eq!(max_on_time(&jobs, 0.0, 0.5).0, [false, true, true]);
        jobs[1].underserved = true;
        jobs[2].underserved = true;
        assert_eq!(max_on_time(&jobs, 0.0, 1.0).0, [false, true, true]);
        // An underserved job that cannot finish on time displaces no other job.
        let late = [
            due(4.0, 3.0),
            DeadlineDemand {
                underserved: true,
                ..due(5.0, 9.0)
            },
        ];
        assert_eq!(max_on_time(&late, 0.0, 1.0).0, [true, false]);
    }

    #[test]
    fn a_job_that_is_already_late_displaces_no_other_job() {
        let (kept, taken_s) = max_on_time(&[due(-5.0, 1.0), due(4.0, 4.0)], 0.0, 1.0);
        assert_eq!(kept, [false, true]);
        assert_eq!(taken_s, 4.0);
    }
}
