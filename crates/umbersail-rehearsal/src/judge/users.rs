//! Checks the answers that users get about their jobs, and that they get answers at all.

use umbersail_wire::JobStage;

use super::{AnswerContext, Checker, FORGOTTEN_S, JobState, Rule};
use crate::answers::MAX_SILENCE_S;

impl Checker<'_> {
    /// Records a status request, and reports a job whose requests have gone unanswered for too
    /// long after all faults.
    pub(super) fn status_requested(&mut self, index: usize, t: f64, id: &str, answered: bool) {
        self.queries.count(answered);
        let is_pending = |j: &JobState| j.cancel_requested_at.is_none() && j.final_stage.is_none();
        if self.jobs.get(id).is_some_and(is_pending) && self.queries.record_query(t, id, answered) {
            let detail =
                format!("{id}: no question answered for {MAX_SILENCE_S} s after all troubles");
            self.breach(Rule::ForgottenAtEnd, t, index, detail);
        }
    }

    /// Checks the answer to a poll.
    pub(super) fn polled(
        &mut self,
        answer: AnswerContext,
        id: &str,
        status: u16,
        stage: Option<JobStage>,
    ) {
        let (index, t) = (answer.event, answer.t);
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
                self.last_answer_at = t;
                self.job(id).unanswered_since = None;
                self.stage_reported(answer, id, stage);
            }
            (404, _) => {
                self.last_answer_at = t;
                if known && self.job(id).answers.was_known_before(answer) {
                    self.breach(
                        Rule::Forgotten,
                        t,
                        index,
                        format!("{id}: accepted, answered 404"),
                    );
                }
            }
            _ if known => {
                let others_answered = t - self.last_answer_at < 20.0;
                let since = *self.job(id).unanswered_since.get_or_insert(t);
                if t - since > FORGOTTEN_S && others_answered {
                    self.breach(Rule::Forgotten, t, index, format!("{id}: every poll fails"));
                    self.job(id).unanswered_since = Some(t);
                }
            }
            _ => {}
        }
    }

    /// Checks and records a stage that was reported to a user.
    pub(super) fn stage_reported(&mut self, answer: AnswerContext, id: &str, stage: JobStage) {
        let (index, t) = (answer.event, answer.t);
        self.check_no_longer_running(answer, id, stage);
        let job = self.job(id);
        let before = job.final_stage;
        let tasks = job.spec.as_ref().map_or(0, |s| s.tasks) as usize;
        let complete = job.done_tasks.len() >= tasks;
        let cancel_requested = job.cancel_requested_at.is_some();
        let is_final = matches!(stage, JobStage::Done | JobStage::Cancelled);
        // An answer whose request was sent before the final stage was reported may be older.
        let contradicted = before.filter(|b| *b != stage);
        let contradicted =
            contradicted.filter(|_| is_final || job.answers.was_final_before(answer));
        job.answers.stage_reported(t, stage);
        if is_final {
            job.final_stage = Some(stage);
        }
        match stage {
            JobStage::Done => drop(job.done_reported_at.get_or_insert(t)),
            JobStage::Cancelled => drop(job.cancel_acknowledged_at.get_or_insert(t)),
            _ => {}
        }
        if let Some(before) = contradicted {
            let detail = format!("{id}: called {before:?}, then {stage:?}");
            self.breach(Rule::WentBack, t, index, detail);
        }
        if stage == JobStage::Cancelled && !cancel_requested {
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
