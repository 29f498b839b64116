use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A waiting job as its deadline sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeadlineDemand {
    /// Seconds until its last task must start.
    pub slack_s: f64,
    /// Seconds that the machines it may use need for what it waits with.
    pub work_s: f64,
    /// Its class, team or size has been served too little: it gives way last.
    pub underserved: bool,
}

#[derive(Debug, PartialEq)]
struct Largest {
    firm: bool,
    work_s: f64,
    index: usize,
}

impl Eq for Largest {}

impl PartialOrd for Largest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Largest {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.firm.cmp(&self.firm))
            .then(self.work_s.total_cmp(&other.work_s))
            .then(self.index.cmp(&other.index))
    }
}

/// Which of these jobs to serve first so that the most of them end in time:
/// by the time they must start, and whenever one would come too late, the one
/// with the most work of those before it gives way (Moore and Hodgson). By
/// deadline alone, an overload makes every job come just too late. Of those who
/// are underserved, as many as come in time with `underserved_share` of the machines give way to
/// nobody: by work alone the largest never end in time.
///
/// `busy_s` is how long the machines are taken by what goes before all of
/// them. Returns who is served in time, in the order given, and the seconds
/// that those take together with `busy_s`.
pub fn max_on_time(
    jobs: &[DeadlineDemand],
    busy_s: f64,
    underserved_share: f64,
) -> (Vec<bool>, f64) {
    let underserved: Vec<usize> = (0..jobs.len()).filter(|i| jobs[*i].underserved).collect();
    let mut firm = vec![false; jobs.len()];
    if !underserved.is_empty() && underserved_share > 0.0 {
        let alone: Vec<DeadlineDemand> = underserved
            .iter()
            .map(|i| DeadlineDemand {
                work_s: jobs[*i].work_s / underserved_share,
                ..jobs[*i]
            })
            .collect();
        let (kept, _) = drop_largest(&alone, &vec![false; alone.len()], busy_s);
        for (index, kept) in underserved.into_iter().zip(kept) {
            firm[index] = kept;
        }
    }
    drop_largest(jobs, &firm, busy_s)
}

/// The same; who is firm gives way after all who are not.
fn drop_largest(jobs: &[DeadlineDemand], firm: &[bool], busy_s: f64) -> (Vec<bool>, f64) {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|&a, &b| jobs[a].slack_s.total_cmp(&jobs[b].slack_s));
    let mut kept = vec![false; jobs.len()];
    let mut largest: BinaryHeap<Largest> = BinaryHeap::new();
    let mut taken_s = busy_s;
    for index in order {
        let work_s = jobs[index].work_s;
        kept[index] = true;
        taken_s += work_s;
        largest.push(Largest {
            firm: firm[index],
            work_s,
            index,
        });
        while taken_s > jobs[index].slack_s.max(0.0)
            && let Some(out) = largest.pop()
        {
            kept[out.index] = false;
            taken_s -= out.work_s;
            if out.index == index {
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
    fn in_an_overload_the_largest_job_gives_way_and_the_rest_come_in_time() {
        // Guards against serving by deadline alone: the first job would make
        // the three after it late.
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
        // With room for all of them none gives way.
        let (kept, _) = max_on_time(&jobs[1..], 0.0, 1.0);
        assert_eq!(kept, [true; 3]);
    }

    #[test]
    fn who_is_owed_gives_way_to_none_but_those_who_are_owed_too() {
        // Guards against a class whose largest jobs are never in time: they have
        // the most work, so by work alone each of them gives way.
        let mut jobs = [due(10.0, 9.0), due(11.0, 2.0), due(12.0, 3.0)];
        jobs[0].underserved = true;
        assert_eq!(max_on_time(&jobs, 0.0, 1.0).0, [true, true, false]);
        // It gets no more than its share of the machines.
        assert_eq!(max_on_time(&jobs, 0.0, 0.5).0, [false, true, true]);
        jobs[1].underserved = true;
        jobs[2].underserved = true;
        assert_eq!(max_on_time(&jobs, 0.0, 1.0).0, [false, true, true]);
        // What can't be in time takes no one's place for being underserved.
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
    fn who_is_late_already_takes_no_ones_place() {
        let (kept, taken_s) = max_on_time(&[due(-5.0, 1.0), due(4.0, 4.0)], 0.0, 1.0);
        assert_eq!(kept, [false, true]);
        assert_eq!(taken_s, 4.0);
    }
}
