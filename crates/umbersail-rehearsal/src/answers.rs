//! Evaluates the answers to users' status requests: the longest time without an answer, requests
//! that were not answered, and jobs for which no request is answered after all faults have
//! ended.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use statrs::statistics::{Data, OrderStatistics};

/// After all faults have ended, a job counts as forgotten if none of its status requests is
/// answered for this many seconds.
pub const MAX_SILENCE_S: f64 = 75.0;

/// Figures of users' status requests.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct QueryFigures {
    /// Status requests.
    pub polls: usize,
    /// Status requests that were answered neither with 200 nor with 404.
    #[serde(rename = "in_vain")]
    pub unanswered: usize,
    /// The largest, over all jobs, of the longest time in seconds that a job's requests went
    /// unanswered.
    #[serde(rename = "gap_most_s")]
    pub longest_gap_s: f64,
    /// The 99th percentile of the same, over all jobs.
    #[serde(rename = "gap_p99_s")]
    pub p99_gap_s: f64,
}

/// The status requests for one job.
#[derive(Default)]
struct JobQueries {
    last_answer_s: f64,
    longest_gap_s: f64,
    /// Whether the job counts as forgotten since its last answer.
    is_silent: bool,
}

/// Tracks the status requests of one run.
pub struct QueryTracker {
    /// When the last fault ends.
    faults_end_s: f64,
    jobs: BTreeMap<String, JobQueries>,
    answers: QueryFigures,
}

impl QueryTracker {
    /// Creates a tracker for a run whose last fault ends at `faults_end_s`.
    pub fn new(faults_end_s: f64) -> QueryTracker {
        QueryTracker {
            faults_end_s,
            jobs: BTreeMap::new(),
            answers: QueryFigures::default(),
        }
    }

    /// Records that the job was accepted or that a request for it was answered.
    pub fn record_answer(&mut self, t: f64, job: &str) {
        let queries = self.jobs.entry(job.to_owned()).or_default();
        queries.last_answer_s = t;
        queries.is_silent = false;
    }

    /// Records a request for a job that its user waits for, and whether it was answered. Returns
    /// true if the job counts as forgotten from this request on: once for each period without
    /// answers.
    pub fn record_query(&mut self, t: f64, job: &str, answered: bool) -> bool {
        let faults_end_s = self.faults_end_s;
        let Some(queries) = self.jobs.get_mut(job) else {
            return false;
        };
        queries.longest_gap_s = queries.longest_gap_s.max(t - queries.last_answer_s);
        if answered {
            self.record_answer(t, job);
            return false;
        }
        let forgotten = t - queries.last_answer_s.max(faults_end_s) > MAX_SILENCE_S;
        !std::mem::replace(&mut queries.is_silent, forgotten) && forgotten
    }

    /// Counts a request, for any job, known or not.
    pub fn count(&mut self, answered: bool) {
        self.answers.polls += 1;
        self.answers.unanswered += usize::from(!answered);
    }

    /// Returns the figures of all requests.
    pub fn finish(self) -> QueryFigures {
        let gaps: Vec<f64> = self.jobs.values().map(|a| a.longest_gap_s).collect();
        if gaps.is_empty() {
            return self.answers;
        }
        let mut gaps = Data::new(gaps);
        QueryFigures {
            longest_gap_s: gaps.quantile(1.0),
            p99_gap_s: gaps.quantile(0.99),
            ..self.answers
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_job_without_answers_for_75_s_after_the_faults_is_forgotten_even_if_others_get_answers() {
        // Guards against a run that passes although no request is answered.
        let mut queries = QueryTracker::new(100.0);
        queries.record_answer(10.0, "a");
        queries.record_answer(10.0, "b");
        let ask = |queries: &mut QueryTracker, from: u32, to: u32| -> Vec<u32> {
            let times = (from..to).filter(|t| t % 5 == 0);
            times
                .filter(|t| queries.record_query(f64::from(*t), "a", false))
                .collect()
        };
        // A job is reported once, not during the faults and not before 75 s have passed.
        assert_eq!(ask(&mut queries, 15, 300), [180]);
        assert!(!queries.record_query(300.0, "a", true));
        assert_eq!(ask(&mut queries, 305, 400), [380]);
        assert!(!queries.record_query(14.0, "b", true));
        let answers = queries.finish();
        assert!((answers.longest_gap_s - 290.0).abs() < 1e-9, "{answers:?}");
    }
}
