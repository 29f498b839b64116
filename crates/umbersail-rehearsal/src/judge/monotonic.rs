//! Monotonic reads: if a request about a job was sent after another request about the job had
//! been answered, its answer must not be older than that one, whichever controllers answered.

use umbersail_wire::JobStage;

use super::{AnswerContext, Checker, Rule};
use crate::history::EndReason;

/// Task counts, and so the information whether any task runs, may lag by this many seconds
/// (PROTOCOL).
const MAX_LAG_S: f64 = 3.0;

/// When users were first or last told each state of a job.
#[derive(Debug, Default)]
pub(super) struct AnswerHistory {
    /// When an answer first showed that the job is known.
    known_s: Option<f64>,
    /// When the job was first reported done or cancelled.
    final_s: Option<f64>,
    /// Each time when the job was reported running.
    running_s: Vec<f64>,
    /// When an attempt of a task last ended on a machine, for whatever reason.
    ended_s: Option<f64>,
}

impl AnswerHistory {
    /// Records an answer that showed that the job is known.
    pub fn known(&mut self, t: f64) {
        self.known_s.get_or_insert(t);
    }

    /// Records an answer with a stage of the job.
    pub fn stage_reported(&mut self, t: f64, stage: JobStage) {
        self.known(t);
        match stage {
            JobStage::Done | JobStage::Cancelled => drop(self.final_s.get_or_insert(t)),
            JobStage::Running => self.running_s.push(t),
            JobStage::Queued => {}
        }
    }

    /// Records that an attempt of a task ended.
    pub fn ended(&mut self, t: f64) {
        self.ended_s = Some(t);
    }

    /// Returns whether the request was sent after an answer had shown that the job is known.
    pub fn was_known_before(&self, answer: AnswerContext) -> bool {
        self.known_s.is_some_and(|t| answer.follows(t))
    }

    /// Returns whether the request was sent after the job had been reported done or cancelled.
    pub fn was_final_before(&self, answer: AnswerContext) -> bool {
        self.final_s.is_some_and(|t| answer.follows(t))
    }

    /// Returns when the job was last reported running at least [`MAX_LAG_S`] before the request
    /// was sent, or `None` if a task has ended since.
    fn running_before(&self, answer: AnswerContext) -> Option<f64> {
        let reported = self.running_s.iter().rev().copied();
        let ran_s = reported
            .into_iter()
            .find(|t| answer.follows(t + MAX_LAG_S))?;
        self.ended_s.is_none_or(|t| t < ran_s).then_some(ran_s)
    }
}

/// An answer that no task of a job runs, after another answer that one does, together with an
/// attempt that started before the other answer. If the attempt runs to its end, the answer
/// was older than the other one; otherwise the controllers had stopped the attempt or given
/// it up.
pub(super) struct UnresolvedAnswer {
    event: usize,
    t: f64,
    ran_s: f64,
    machine: String,
    job: String,
    task: u32,
    attempt: u64,
}

impl Checker<'_> {
    /// Checks a repeated submission that was answered as if it were the first one.
    pub(super) fn check_accepted_again(&mut self, answer: AnswerContext, id: &str) {
        if self.job(id).answers.was_known_before(answer) {
            let detail = format!("{id}: accepted, and its repeated submission accepted anew");
            self.breach(Rule::OlderAnswer, answer.t, answer.event, detail);
        }
    }

    /// Checks a cancellation that was answered as if the job did not exist.
    pub(super) fn check_refused_cancel(&mut self, answer: AnswerContext, id: &str, status: u16) {
        if self.job(id).answers.was_known_before(answer) {
            let detail = format!("{id}: accepted, its cancellation answered {status}");
            self.breach(Rule::Forgotten, answer.t, answer.event, detail);
        }
    }

    /// Checks whether an answer contradicts an earlier one that a task runs. Must be called
    /// before the answer is recorded.
    pub(super) fn check_no_longer_running(
        &mut self,
        answer: AnswerContext,
        id: &str,
        stage: JobStage,
    ) {
        if stage != JobStage::Queued {
            return;
        }
        let Some(ran_s) = self.job(id).answers.running_before(answer) else {
            return;
        };
        let range = (id.to_owned(), 0)..=(id.to_owned(), u32::MAX);
        for ((_, task), places) in self.placements.range(range) {
            for (machine, attempt, since) in places {
                let had_fault = self
                    .machine_faulted_at
                    .get(machine)
                    .is_some_and(|t| *t > *since);
                if *since < ran_s && !had_fault {
                    self.unresolved.push(UnresolvedAnswer {
                        event: answer.event,
                        t: answer.t,
                        ran_s,
                        machine: machine.clone(),
                        job: id.to_owned(),
                        task: *task,
                        attempt: *attempt,
                    });
                }
            }
        }
    }

    /// Decides the unresolved answers that depend on an attempt which has now ended.
    pub(super) fn resolve_answers(
        &mut self,
        machine: &str,
        (job, task, attempt): (&str, u32, u64),
        how: EndReason,
    ) {
        let is_of_attempt = |d: &UnresolvedAnswer| {
            (d.machine.as_str(), d.job.as_str(), d.task, d.attempt) == (machine, job, task, attempt)
        };
        let (mine, others) = self.unresolved.drain(..).partition(is_of_attempt);
        self.unresolved = others;
        let mine: Vec<UnresolvedAnswer> = mine;
        for older in mine.into_iter().filter(|_| how == EndReason::Done) {
            let UnresolvedAnswer {
                event, t, ran_s, ..
            } = older;
            let detail = format!(
                "{job}: called running at {ran_s:.3} s, then queued, while {job}/{task} ran on {machine}"
            );
            self.breach(Rule::OlderAnswer, t, event, detail);
        }
    }
}
