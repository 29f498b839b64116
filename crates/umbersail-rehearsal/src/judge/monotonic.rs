//! Monotonic reads: no answer to a question that was sent after another answer about the
//! same job had been given is older than that one, at whatever controller.

use umbersail_wire::JobStage;

use super::{AnswerContext, Checker, Rule};
use crate::history::EndReason;

/// Counts of tasks, and with them whether one runs, may lag by this much (PROTOCOL).
const MAX_LAG_S: f64 = 3.0;

/// What the users of a job have been told, and when.
#[derive(Debug, Default)]
pub(super) struct AnswerHistory {
    /// That it is known, first.
    known_s: Option<f64>,
    /// That it is done or cancelled, first.
    final_s: Option<f64>,
    /// That a task of it runs.
    running_s: Vec<f64>,
    /// When a task of it last ended on a machine, whichever way.
    ended_s: Option<f64>,
}

impl AnswerHistory {
    /// An answer that showed the job known.
    pub fn known(&mut self, t: f64) {
        self.known_s.get_or_insert(t);
    }

    pub fn stage_reported(&mut self, t: f64, stage: JobStage) {
        self.known(t);
        match stage {
            JobStage::Done | JobStage::Cancelled => drop(self.final_s.get_or_insert(t)),
            JobStage::Running => self.running_s.push(t),
            JobStage::Queued => {}
        }
    }

    pub fn ended(&mut self, t: f64) {
        self.ended_s = Some(t);
    }

    /// Whether the question was sent when the job had been shown known.
    pub fn was_known_before(&self, answer: AnswerContext) -> bool {
        self.known_s.is_some_and(|t| answer.follows(t))
    }

    /// Whether the question was sent when the job's end had been told.
    pub fn was_final_before(&self, answer: AnswerContext) -> bool {
        self.final_s.is_some_and(|t| answer.follows(t))
    }

    /// When an answer that the question need not lag behind last said that a task runs,
    /// if no task has ended since.
    fn running_before(&self, answer: AnswerContext) -> Option<f64> {
        let told = self.running_s.iter().rev().copied();
        let ran_s = told.into_iter().find(|t| answer.follows(t + MAX_LAG_S))?;
        self.ended_s.is_none_or(|t| t < ran_s).then_some(ran_s)
    }
}

/// An answer that no task runs, after another that one does, and an attempt that has
/// been on its machine since before that one. The answer is older if the attempt goes on
/// to its end there; otherwise the controllers had stopped it or given it up.
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
    /// A repeated submission was answered as if it were the first.
    pub(super) fn check_accepted_again(&mut self, answer: AnswerContext, id: &str) {
        if self.job(id).answers.was_known_before(answer) {
            let detail = format!("{id}: accepted, and its repeated submission accepted anew");
            self.breach(Rule::OlderAnswer, answer.t, answer.event, detail);
        }
    }

    /// A cancellation was answered as if there were no such job.
    pub(super) fn check_refused_cancel(&mut self, answer: AnswerContext, id: &str, status: u16) {
        if self.job(id).answers.was_known_before(answer) {
            let detail = format!("{id}: accepted, its cancellation answered {status}");
            self.breach(Rule::Forgotten, answer.t, answer.event, detail);
        }
    }

    /// Before an answer is counted: whether it takes back that a task runs.
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

    /// An attempt ended: what was answered while it ran can be judged.
    pub(super) fn resolve_answers(
        &mut self,
        machine: &str,
        (job, task, attempt): (&str, u32, u64),
        how: EndReason,
    ) {
        let its = |d: &UnresolvedAnswer| {
            (d.machine.as_str(), d.job.as_str(), d.task, d.attempt) == (machine, job, task, attempt)
        };
        let (mine, others) = self.unresolved.drain(..).partition(its);
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
