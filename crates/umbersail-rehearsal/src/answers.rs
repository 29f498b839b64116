//! What users hear of their jobs: the longest time without an answer, questions
//! that nobody answered, and jobs about which nobody knows anything any more once
//! all troubles are over.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use statrs::statistics::{Data, OrderStatistics};

/// Once troubles are over, a job about which no question is answered for so many
/// seconds is forgotten.
pub const MAX_SILENCE_S: f64 = 75.0;

/// Figures of users' questions.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct QueryFigures {
    /// Questions, and those that nobody answered: neither 200 nor 404.
    pub polls: usize,
    #[serde(rename = "in_vain")]
    pub unanswered: usize,
    /// Longest time without an answer, in seconds, while somebody asked: of each
    /// job the longest, of these the largest and the 99th percentile.
    #[serde(rename = "gap_most_s")]
    pub longest_gap_s: f64,
    #[serde(rename = "gap_p99_s")]
    pub p99_gap_s: f64,
}

#[derive(Default)]
struct JobQueries {
    last_answer_s: f64,
    longest_gap_s: f64,
    /// Since when nobody answers, after the troubles.
    is_silent: bool,
}

/// Follows the questions of one night.
pub struct QueryTracker {
    /// From when on nothing goes wrong any more.
    faults_end_s: f64,
    jobs: BTreeMap<String, JobQueries>,
    answers: QueryFigures,
}

impl QueryTracker {
    pub fn new(faults_end_s: f64) -> QueryTracker {
        QueryTracker {
            faults_end_s,
            jobs: BTreeMap::new(),
            answers: QueryFigures::default(),
        }
    }

    /// The job was accepted, or somebody was told of it.
    pub fn record_answer(&mut self, t: f64, job: &str) {
        let job_queries = self.jobs.entry(job.to_owned()).or_default();
        job_queries.last_answer_s = t;
        job_queries.is_silent = false;
    }

    /// A question about a job that its user waits for, and whether it was answered.
    /// True if the job is forgotten by this: it is said once for each silence.
    pub fn record_query(&mut self, t: f64, job: &str, answered: bool) -> bool {
        let faults_end_s = self.faults_end_s;
        let Some(job_queries) = self.jobs.get_mut(job) else {
            return false;
        };
        job_queries.longest_gap_s = job_queries.longest_gap_s.max(t - job_queries.last_answer_s);
        if answered {
            self.record_answer(t, job);
            return false;
        }
        let forgotten = t - job_queries.last_answer_s.max(faults_end_s) > MAX_SILENCE_S;
        !std::mem::replace(&mut job_queries.is_silent, forgotten) && forgotten
    }

    /// Any question, also about jobs of nobody.
    pub fn count(&mut self, answered: bool) {
        self.answers.polls += 1;
        self.answers.unanswered += usize::from(!answered);
    }

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
    fn a_job_unheard_of_for_75_s_after_the_troubles_is_forgotten_however_others_fare() {
        // Guards against a night in which nobody is answered and nobody fails it.
        let mut queries = QueryTracker::new(100.0);
        queries.record_answer(10.0, "a");
        queries.record_answer(10.0, "b");
        let ask = |queries: &mut QueryTracker, from: u32, to: u32| -> Vec<u32> {
            let times = (from..to).filter(|t| t % 5 == 0);
            times
                .filter(|t| queries.record_query(f64::from(*t), "a", false))
                .collect()
        };
        // Not while troubles last, and not before 75 s are over; then once.
        assert_eq!(ask(&mut queries, 15, 300), [180]);
        assert!(!queries.record_query(300.0, "a", true));
        assert_eq!(ask(&mut queries, 305, 400), [380]);
        assert!(!queries.record_query(14.0, "b", true));
        let answers = queries.finish();
        assert!((answers.longest_gap_s - 290.0).abs() < 1e-9, "{answers:?}");
    }
}
