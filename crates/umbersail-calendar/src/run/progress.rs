//! Progress of a run: closes and finishes steps, and ends the run.

use super::Run;
use crate::event::RunEventKind;
use crate::timestamp::{millis, seconds_between};
use crate::{Settings, Timestamp};

/// Weight of the newest duration of a step in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.3;

impl Run {
    /// Advances the run. Returns whether held jobs are released because the due time has passed.
    pub fn tick(
        &mut self,
        at: Timestamp,
        settings: &Settings,
        events: &mut Vec<RunEventKind>,
    ) -> bool {
        if self.is_over() {
            return false;
        }
        let is_past_due = at.unix_ms >= self.record.due_ms;
        let releases = is_past_due && !self.released;
        if releases {
            self.released = true;
            let held_jobs = self.states[self.recorded_steps.min(self.states.len())..]
                .iter()
                .skip(1)
                .map(|state| state.members.len())
                .sum();
            if held_jobs > 0 {
                events.push(RunEventKind::Released { held_jobs });
            }
        }
        self.close_steps(at, settings, events);
        self.finish_step(at, settings, events);
        let is_given_up = at.unix_ms
            >= self
                .record
                .due_ms
                .saturating_add(millis(settings.retention_s));
        if self.current() == self.record.steps.len() || is_given_up {
            self.end(at, events);
        } else {
            self.plan_deadlines(at, settings, events);
        }
        releases
    }

    /// Ends the run.
    pub fn end(&mut self, at: Timestamp, events: &mut Vec<RunEventKind>) {
        let unfinished_jobs = self.states.iter().map(|state| state.members.len()).sum();
        events.push(RunEventKind::Ended {
            late_s: at.unix_ms as f64 / 1000.0 - self.record.due_ms as f64 / 1000.0,
            unfinished_jobs,
        });
        self.record.ended_ms = Some(at.unix_ms);
        self.mark_changed(at, true);
    }

    /// Closes the steps whose condition for closing is met.
    fn close_steps(&mut self, at: Timestamp, settings: &Settings, events: &mut Vec<RunEventKind>) {
        let mut closed = Vec::new();
        for (index, (step, state)) in self.record.steps.iter_mut().zip(&self.states).enumerate() {
            if step.closed_ms.is_some() {
                continue;
            }
            // The clock of another controller may be behind the leader's clock, so a job that
            // was accepted there before the closing time may still arrive.
            let until = step.until_ms.saturating_add(settings.skew_ms);
            let is_quiet = |quiet_s: f64| {
                // Before the step begins, a lack of jobs does not mean that all have arrived.
                index == self.recorded_steps && at.steady_s - state.last_activity_s >= quiet_s
            };
            let reason = match () {
                () if step.count.is_some_and(|count| step.accepted_jobs >= count) => {
                    "all expected jobs were accepted"
                }
                () if at.unix_ms >= until => "its closing time has passed",
                () if step.quiet_s.is_some_and(is_quiet) => "no job arrived during its quiet time",
                () if self.superseded => "the next run has opened",
                () => continue,
            };
            step.closed_ms = Some(at.unix_ms);
            let accepted_jobs = step.accepted_jobs;
            closed.push(RunEventKind::Closed {
                index,
                reason,
                accepted_jobs,
            });
        }
        if !closed.is_empty() {
            self.mark_changed(at, false);
            events.append(&mut closed);
        }
    }

    /// Finishes the current step if the step is closed and all of its jobs have ended. The next
    /// step begins when this is recorded; otherwise a new leader would hold the next step again.
    fn finish_step(&mut self, at: Timestamp, settings: &Settings, events: &mut Vec<RunEventKind>) {
        let index = self.current();
        if index != self.recorded_steps || index >= self.record.steps.len() {
            return;
        }
        let state = &self.states[index];
        let is_given_up = |since: &f64| at.steady_s - since >= settings.failing_grace_s;
        let has_awaited_jobs =
            state.members.len() > state.failing.len() || !state.failing.values().all(is_given_up);
        let step = &mut self.record.steps[index];
        if step.closed_ms.is_none() || has_awaited_jobs {
            return;
        }
        step.finished_ms = Some(at.unix_ms);
        step.unfinished.clear();
        let duration_s = seconds_between(step.began_ms.unwrap_or(at.unix_ms), at.unix_ms);
        if step.accepted_jobs > 0 {
            if step.learned {
                step.deviation_s +=
                    SAMPLE_WEIGHT * ((duration_s - step.mean_s).abs() - step.deviation_s);
                step.mean_s += SAMPLE_WEIGHT * (duration_s - step.mean_s);
            } else {
                (step.mean_s, step.deviation_s) = (duration_s, duration_s / 4.0);
                step.learned = true;
            }
        }
        events.push(RunEventKind::Finished {
            index,
            duration_s,
            accepted_jobs: step.accepted_jobs,
            failing_job: state.members.keys().next().cloned(),
        });
        self.mark_changed(at, true);
    }
}
