//! What users hear of their jobs: the longest time without an answer, questions
//! that nobody answered, and jobs about which nobody knows anything any more once
//! all troubles are over.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use statrs::statistics::{Data, OrderStatistics};

/// Once troubles are over, a job about which no question is answered for so many
/// seconds is forgotten.
pub const SILENT_S: f64 = 75.0;

/// Figures of users' questions.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Answers {
    /// Questions, and those that nobody answered: neither 200 nor 404.
    pub polls: usize,
    pub in_vain: usize,
    /// Longest time without an answer, in seconds, while somebody asked: of each
    /// job the longest, of these the largest and the 99th percentile.
    pub gap_most_s: f64,
    pub gap_p99_s: f64,
}

#[derive(Default)]
struct Asked {
    answered_at: f64,
    longest_s: f64,
    /// Since when nobody answers, after the troubles.
    silent: bool,
}

/// Follows the questions of one night.
pub struct Questions {
    /// From when on nothing goes wrong any more.
    over_s: f64,
    jobs: BTreeMap<String, Asked>,
    answers: Answers,
}

impl Questions {
    pub fn new(over_s: f64) -> Questions {
        Questions {
            over_s,
            jobs: BTreeMap::new(),
            answers: Answers::default(),
        }
    }

    /// The job was accepted, or somebody was told of it.
    pub fn heard(&mut self, t: f64, job: &str) {
        let asked = self.jobs.entry(job.to_owned()).or_default();
        asked.answered_at = t;
        asked.silent = false;
    }

    /// A question about a job that its user waits for, and whether it was answered.
    /// True if the job is forgotten by this: it is said once for each silence.
    pub fn asked(&mut self, t: f64, job: &str, answered: bool) -> bool {
        let over_s = self.over_s;
        let Some(asked) = self.jobs.get_mut(job) else {
            return false;
        };
        asked.longest_s = asked.longest_s.max(t - asked.answered_at);
        if answered {
            self.heard(t, job);
            return false;
        }
        let forgotten = t - asked.answered_at.max(over_s) > SILENT_S;
        !std::mem::replace(&mut asked.silent, forgotten) && forgotten
    }

    /// Any question, also about jobs of nobody.
    pub fn count(&mut self, answered: bool) {
        self.answers.polls += 1;
        self.answers.in_vain += usize::from(!answered);
    }

    pub fn finish(self) -> Answers {
        let gaps: Vec<f64> = self.jobs.values().map(|a| a.longest_s).collect();
        if gaps.is_empty() {
            return self.answers;
        }
        let mut gaps = Data::new(gaps);
        Answers {
            gap_most_s: gaps.quantile(1.0),
            gap_p99_s: gaps.quantile(0.99),
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
        let mut questions = Questions::new(100.0);
        questions.heard(10.0, "a");
        questions.heard(10.0, "b");
        let ask = |questions: &mut Questions, from: u32, to: u32| -> Vec<u32> {
            let asked = (from..to).filter(|t| t % 5 == 0);
            asked
                .filter(|t| questions.asked(f64::from(*t), "a", false))
                .collect()
        };
        // Not while troubles last, and not before 75 s are over; then once.
        assert_eq!(ask(&mut questions, 15, 300), [180]);
        assert!(!questions.asked(300.0, "a", true));
        assert_eq!(ask(&mut questions, 305, 400), [380]);
        assert!(!questions.asked(14.0, "b", true));
        let answers = questions.finish();
        assert!((answers.gap_most_s - 290.0).abs() < 1e-9, "{answers:?}");
    }
}
