//! What users are told of their jobs, and whether anybody answers them at all.

use umbersail_wire::JobStage;

use super::{FORGOTTEN_S, Given, JobSeen, Judge, Rule};
use crate::answers::SILENT_S;

impl Judge<'_> {
    /// Whether somebody was answered, whatever it was.
    pub(super) fn asked(&mut self, index: usize, t: f64, id: &str, answered: bool) {
        self.questions.count(answered);
        let waits = |j: &JobSeen| j.cancel_asked.is_none() && j.told.is_none();
        if self.jobs.get(id).is_some_and(waits) && self.questions.asked(t, id, answered) {
            let detail = format!("{id}: no question answered for {SILENT_S} s after all troubles");
            self.breach(Rule::ForgottenAtEnd, t, index, detail);
        }
    }

    pub(super) fn polled(&mut self, given: Given, id: &str, status: u16, stage: Option<JobStage>) {
        let (index, t) = (given.event, given.t);
        let known = self.jobs.contains_key(id);
        match (status, stage) {
            (200, Some(_)) if !known => {
                self.breach(
                    Rule::Invented,
                    t,
                    index,
                    format!("{id}: nobody submitted it"),
                );
            }
            (200, Some(stage)) => {
                self.answered_at = t;
                self.job(id).unanswered_since = None;
                self.told(given, id, stage);
            }
            (404, _) => {
                self.answered_at = t;
                if known && self.job(id).answers.is_known_to(given) {
                    self.breach(
                        Rule::Forgotten,
                        t,
                        index,
                        format!("{id}: accepted, answered 404"),
                    );
                }
            }
            _ if known => {
                let others = t - self.answered_at < 20.0;
                let since = *self.job(id).unanswered_since.get_or_insert(t);
                if t - since > FORGOTTEN_S && others {
                    self.breach(Rule::Forgotten, t, index, format!("{id}: every poll fails"));
                    self.job(id).unanswered_since = Some(t);
                }
            }
            _ => {}
        }
    }

    /// Somebody was told how a job stands.
    pub(super) fn told(&mut self, given: Given, id: &str, stage: JobStage) {
        let (index, t) = (given.event, given.t);
        self.runs_no_more(given, id, stage);
        let job = self.job(id);
        let before = job.told;
        let tasks = job.spec.as_ref().map_or(0, |s| s.tasks) as usize;
        let complete = job.done_tasks.len() >= tasks;
        let asked = job.cancel_asked.is_some();
        let over = matches!(stage, JobStage::Done | JobStage::Cancelled);
        // An answer that is on its way while another tells the end may be the older one.
        let back = before.filter(|b| *b != stage);
        let back = back.filter(|_| over || job.answers.is_over_to(given));
        job.answers.told(t, stage);
        if over {
            job.told = Some(stage);
        }
        match stage {
            JobStage::Done => drop(job.done_told.get_or_insert(t)),
            JobStage::Cancelled => drop(job.cancel_told.get_or_insert(t)),
            _ => {}
        }
        if let Some(before) = back {
            let detail = format!("{id}: called {before:?}, then {stage:?}");
            self.breach(Rule::WentBack, t, index, detail);
        }
        if stage == JobStage::Cancelled && !asked {
            self.breach(
                Rule::WentBack,
                t,
                index,
                format!("{id}: cancelled by nobody"),
            );
        }
        if stage == JobStage::Done && !complete {
            let detail = format!("{id}: called done before all {tasks} tasks were");
            self.breach(Rule::NotDone, t, index, detail);
        }
    }
}
