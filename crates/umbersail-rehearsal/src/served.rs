//! Computes which share of each class, of each team and of the largest jobs of each class was
//! served, and how soon these jobs started. The worst of these figures decides whether a run
//! fails, even if all others are good.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A class, a team or the largest jobs of a class count as not served if a smaller share of
/// their jobs than this was done in time.
pub const MIN_SERVED_SHARE: f64 = 0.5;
/// The share is not evaluated for classes and teams with fewer jobs than this.
pub const MIN_JOBS_FOR_SHARE: usize = 8;
/// The largest jobs of a class must start within this many seconds of their first submission.
pub const MAX_START_S: f64 = 240.0;

/// Which jobs a row covers: those of a team, of a class, or the largest of a class, by tasks
/// times CPUs. Jobs as large as the smallest included one are included as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobGroup {
    /// All jobs of a class.
    Class,
    /// The largest quarter of the jobs of a class.
    LargestQuarter,
    /// The largest tenth of the jobs of a class.
    LargestTenth,
    /// The largest job of a class.
    Largest,
    /// All jobs of a team.
    Team,
}

impl JobGroup {
    /// Returns the description that precedes the name of the class or team in reports.
    pub fn words(self) -> &'static str {
        match self {
            JobGroup::Class => "class",
            JobGroup::LargestQuarter => "largest quarter of",
            JobGroup::LargestTenth => "largest tenth of",
            JobGroup::Largest => "largest of",
            JobGroup::Team => "team",
        }
    }

    pub(crate) fn is_team(self) -> bool {
        self == JobGroup::Team
    }

    fn is_largest(self) -> bool {
        matches!(
            self,
            JobGroup::LargestQuarter | JobGroup::LargestTenth | JobGroup::Largest
        )
    }
}

/// One row: how the jobs of a group were served. Cancelled jobs are left out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServedFigures {
    /// Which jobs of the class or team the row covers.
    #[serde(rename = "of")]
    pub group: JobGroup,
    /// Name of the class or team.
    pub name: String,
    /// Number of jobs of the whole class or team.
    #[serde(rename = "whole")]
    pub total_jobs: usize,
    /// The smallest size, in tasks times CPUs, of the jobs that the row covers.
    #[serde(rename = "least_size")]
    pub min_size: f64,
    /// Jobs that were due before the end of the run; the deadline counts from the first attempt
    /// to submit.
    pub jobs: usize,
    /// Share of `jobs` that were done by their deadline.
    pub in_time: f64,
    /// Share of `jobs` that were done by 1.5 times their deadline.
    #[serde(rename = "late")]
    pub in_extended_time: f64,
    /// Share of `jobs` that were done at all.
    pub done: f64,
    /// Longest time in seconds from the first attempt to submit a job that was accepted until
    /// its first task ran, or until the end of the run if none did.
    #[serde(rename = "begin_s")]
    pub longest_start_s: f64,
    /// Accepted jobs that did not start within [`MAX_START_S`].
    #[serde(rename = "begun_late")]
    pub started_late: usize,
    /// Longest time in seconds from the start of a job's first task until each of its tasks had
    /// started.
    #[serde(rename = "beside_s")]
    pub longest_all_started_s: f64,
}

impl ServedFigures {
    /// Returns whether the run fails because too few of these jobs were served.
    pub fn is_underserved(&self) -> bool {
        self.total_jobs >= MIN_JOBS_FOR_SHARE && self.jobs > 0 && self.in_time < MIN_SERVED_SHARE
    }

    /// Returns whether the run fails because one of the largest jobs started too late.
    pub fn has_late_start(&self) -> bool {
        self.group.is_largest() && self.started_late > 0
    }
}

/// A job that is counted.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    pub class: &'a str,
    pub team: &'a str,
    /// Tasks times CPUs.
    pub size: f64,
    pub submitted_at: f64,
    pub accepted: bool,
    /// Seconds from `submitted_at`; a job without a deadline is in time if it is done.
    pub deadline_s: Option<f64>,
    /// When the first task started, and when every task had started.
    pub first_started_at: Option<f64>,
    pub all_started_at: Option<f64>,
    pub completed_at: Option<f64>,
}

impl Job<'_> {
    /// Returns whether the job was done within `times` its deadline.
    fn within(&self, times: f64) -> bool {
        let due = self
            .deadline_s
            .map_or(f64::MAX, |d| self.submitted_at + d * times);
        self.completed_at.is_some_and(|at| at <= due)
    }

    /// Returns whether the job was due before `end`. A job without a deadline is always due.
    fn is_due(&self, end: f64) -> bool {
        self.deadline_s.is_none_or(|d| self.submitted_at + d < end)
    }
}

/// Computes all rows: classes, then the largest jobs of each class, then teams.
pub fn served_figures<'a>(jobs: impl Iterator<Item = Job<'a>>, end: f64) -> Vec<ServedFigures> {
    let mut classes: BTreeMap<&str, Vec<Job<'a>>> = BTreeMap::new();
    let mut teams: BTreeMap<&str, Vec<Job<'a>>> = BTreeMap::new();
    for job in jobs {
        classes.entry(job.class).or_default().push(job);
        teams.entry(job.team).or_default().push(job);
    }
    let mut rows: Vec<ServedFigures> = Vec::new();
    for (name, jobs) in &classes {
        rows.extend(row(JobGroup::Class, name, jobs.len(), jobs, end));
    }
    for (name, jobs) in &mut classes {
        jobs.sort_by(|a, b| b.size.total_cmp(&a.size));
        let total_jobs = jobs.len();
        let parts = [
            (JobGroup::LargestQuarter, total_jobs.div_ceil(4)),
            (JobGroup::LargestTenth, total_jobs.div_ceil(10)),
            (JobGroup::Largest, 1),
        ];
        for (group, count) in parts {
            let min_size = jobs[count - 1].size;
            let included = jobs.partition_point(|j| j.size >= min_size);
            rows.extend(row(group, name, total_jobs, &jobs[..included], end));
        }
    }
    for (name, jobs) in &teams {
        rows.extend(row(JobGroup::Team, name, jobs.len(), jobs, end));
    }
    rows
}

/// Computes one row, or `None` if no job was due and none started late.
fn row(
    group: JobGroup,
    name: &str,
    total_jobs: usize,
    jobs: &[Job<'_>],
    end: f64,
) -> Option<ServedFigures> {
    let due: Vec<&Job<'_>> = jobs.iter().filter(|j| j.is_due(end)).collect();
    let share = |hits: usize| match due.len() {
        0 => 1.0,
        of => hits as f64 / of as f64,
    };
    let count = |hit: &dyn Fn(&Job<'_>) -> bool| due.iter().filter(|j| hit(j)).count();
    let accepted = || jobs.iter().filter(|j| j.accepted);
    let start_times = accepted().map(|j| j.first_started_at.unwrap_or(end) - j.submitted_at);
    let all_started = jobs
        .iter()
        .filter_map(|j| Some(j.all_started_at? - j.first_started_at?));
    let row = ServedFigures {
        group,
        name: name.to_owned(),
        total_jobs,
        min_size: jobs.iter().map(|j| j.size).fold(f64::MAX, f64::min),
        jobs: due.len(),
        in_time: share(count(&|j| j.within(1.0))),
        in_extended_time: share(count(&|j| j.within(1.5))),
        done: share(count(&|j| j.completed_at.is_some())),
        longest_start_s: start_times.clone().fold(0.0, f64::max),
        started_late: start_times.filter(|s| *s > MAX_START_S).count(),
        longest_all_started_s: all_started.fold(0.0, f64::max),
    };
    (!due.is_empty() || row.started_late > 0).then_some(row)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(class: &'static str, team: &'static str, completed_at: Option<f64>) -> Job<'static> {
        Job {
            class,
            team,
            size: 1.0,
            submitted_at: 10.0,
            accepted: true,
            deadline_s: Some(20.0),
            first_started_at: Some(12.0),
            all_started_at: Some(14.0),
            completed_at,
        }
    }

    fn find<'a>(table: &'a [ServedFigures], group: JobGroup, name: &str) -> &'a ServedFigures {
        table
            .iter()
            .find(|s| s.group == group && s.name == name)
            .unwrap()
    }

    #[test]
    fn a_class_served_below_half_fails_the_run_even_if_all_others_are_served() {
        // Guards against a run that passes because its many small jobs were served.
        let mut jobs = vec![job("pages", "kitchen", Some(25.0)); 90];
        jobs.extend([job("photos", "kitchen", Some(39.0)); 5]);
        jobs.extend([job("photos", "kitchen", Some(30.0)); 3]);
        jobs.push(job("photos", "kitchen", None));
        let table = served_figures(jobs.iter().copied(), 100.0);
        let photos = find(&table, JobGroup::Class, "photos");
        assert!(photos.is_underserved());
        assert_eq!(photos.jobs, 9);
        assert!((photos.in_time - 3.0 / 9.0).abs() < 1e-9);
        assert!((photos.in_extended_time - 8.0 / 9.0).abs() < 1e-9);
        assert!(!find(&table, JobGroup::Class, "pages").is_underserved());
        assert!(!find(&table, JobGroup::Team, "kitchen").is_underserved());
        // A job without a deadline is served once it is done.
        let without_deadline = |completed_at| Job {
            deadline_s: None,
            ..job("sweep", "guests", completed_at)
        };
        let mut no_deadlines = vec![without_deadline(None); 5];
        no_deadlines.extend([without_deadline(Some(99.0)); 4]);
        let table = served_figures(no_deadlines.iter().copied(), 100.0);
        assert!(table.iter().all(|s| s.jobs == 9 && s.is_underserved()));
        // Jobs due after the end, and groups of only a few jobs, are not evaluated.
        assert!(served_figures(jobs.iter().copied(), 30.0).is_empty());
        let few = served_figures(jobs[90..95].iter().copied(), 100.0);
        assert!(few.iter().all(|s| !s.is_underserved()));
    }

    #[test]
    fn the_largest_jobs_of_a_class_are_evaluated_separately() {
        // Guards against a class that counts as served while none of its large jobs was.
        let of_size = |size, completed_at| Job {
            size,
            ..job("photos", "kitchen", completed_at)
        };
        let mut jobs: Vec<Job<'_>> = (0..36)
            .map(|n| of_size(1.0 + f64::from(n), Some(25.0)))
            .collect();
        jobs.extend([
            of_size(90.0, None),
            of_size(80.0, None),
            of_size(80.0, Some(25.0)),
        ]);
        jobs.push(of_size(70.0, Some(25.0)));
        let table = served_figures(jobs.iter().copied(), 300.0);
        let of = |of| find(&table, of, "photos");
        assert!(!of(JobGroup::Class).is_underserved());
        assert_eq!(
            (
                of(JobGroup::LargestQuarter).jobs,
                of(JobGroup::LargestTenth).jobs
            ),
            (10, 4)
        );
        assert!(
            !of(JobGroup::LargestQuarter).is_underserved()
                && !of(JobGroup::LargestTenth).is_underserved()
        );
        assert!(of(JobGroup::Largest).is_underserved());
        // Jobs as large as the smallest of the largest ones are included.
        jobs.push(of_size(90.0, Some(25.0)));
        let table = served_figures(jobs.iter().copied(), 300.0);
        assert_eq!(find(&table, JobGroup::Largest, "photos").jobs, 2);
        assert!(!find(&table, JobGroup::Largest, "photos").is_underserved());
    }

    #[test]
    fn a_largest_job_that_starts_late_or_never_fails_the_run_and_a_small_one_does_not() {
        // Guards against jobs that wait forever because they are large.
        let waits = |size, first_started_at| Job {
            size,
            deadline_s: Some(900.0),
            first_started_at,
            all_started_at: None,
            ..job("photos", "kitchen", None)
        };
        let mut jobs: Vec<Job<'_>> = (0..7)
            .map(|n| waits(1.0 + f64::from(n), Some(20.0)))
            .collect();
        jobs[0].first_started_at = Some(400.0);
        jobs.push(waits(9.0, Some(249.0)));
        let late = |jobs: &[Job<'_>], end| -> Vec<JobGroup> {
            let table = served_figures(jobs.iter().copied(), end);
            let late = table.iter().filter(|s| s.has_late_start());
            late.map(|s| s.group).collect()
        };
        assert!(late(&jobs, 1000.0).is_empty());
        let largest = [
            JobGroup::LargestQuarter,
            JobGroup::LargestTenth,
            JobGroup::Largest,
        ];
        jobs[7].first_started_at = Some(251.0);
        assert_eq!(late(&jobs, 1000.0), largest);
        // A job that has not started fails before its deadline, but not before MAX_START_S.
        jobs[7].first_started_at = None;
        assert_eq!(late(&jobs, 251.0), largest);
        assert!(late(&jobs, 249.0).is_empty());
    }
}
