//! Deadlines of steps, and when they are due to be checked.

use super::Run;
use crate::event::RunEventKind;
use crate::openings::UnixMs;
use crate::timestamp::{millis, seconds_between};
use crate::{Settings, Timestamp};

/// Deviations above the mean up to which the duration of a step is expected.
const DEVIATIONS_ABOVE_MEAN: f64 = 2.0;

/// The latest start of work that takes `seconds` and is due at `due_ms`.
fn latest_start(due_ms: UnixMs, seconds: f64) -> UnixMs {
    due_ms.saturating_sub(millis(seconds))
}

impl Run {
    /// Expected duration of a step: as learned, and no less than its longest job.
    pub(super) fn expected_s(&self, index: usize, deviations: f64) -> f64 {
        let step = &self.record.steps[index];
        (step.mean_s + deviations * step.deviation_s).max(self.states[index].longest_s)
    }

    /// Sets the deadline of each step, backward from the due time.
    ///
    /// A deadline that cannot be met would rank its jobs behind all that can be in
    /// time, so a step is given at least its expected duration. So is a late run, for
    /// as long again as it had.
    pub(super) fn plan_deadlines(
        &mut self,
        at: Timestamp,
        settings: &Settings,
        events: &mut Vec<RunEventKind>,
    ) {
        let (current, due_ms) = (self.current(), self.record.due_ms);
        let steps = self.record.steps.len();
        let began_ms = self.record.steps[current].began_ms.unwrap_or(at.unix_ms);
        let elapsed_s = seconds_between(began_ms, at.unix_ms);
        let mut end_ms = at.unix_ms + millis(self.expected_s(current, 0.0) - elapsed_s);
        let step = &self.record.steps[current];
        if step.closed_ms.is_none() && step.count.is_none() && step.quiet_s.is_none() {
            end_ms = end_ms.max(step.until_ms);
        }
        let allowed_ms = due_ms.saturating_sub(self.record.opening_ms);
        let given_up = at.unix_ms >= due_ms.saturating_add(allowed_ms);
        let (mut tail_s, mut max_tail_s) = (0.0, 0.0);
        for index in (current..steps).rev() {
            let cautious_ms = due_ms.saturating_sub(settings.skew_ms + millis(max_tail_s));
            let latest_ms = latest_start(due_ms, tail_s);
            let deadline_ms = match () {
                () if given_up => None,
                () if self.released => Some(at.unix_ms + millis(self.expected_s(index, 0.0))),
                () if index > current || end_ms <= cautious_ms => Some(cautious_ms),
                () => Some(latest_ms.max(end_ms)),
            };
            self.states[index].deadline_ms = deadline_ms;
            if index > current {
                tail_s += self.expected_s(index, 0.0);
                max_tail_s += self.expected_s(index, DEVIATIONS_ABOVE_MEAN);
            }
        }
        self.next_check_ms = match () {
            () if self.released => UnixMs::MAX,
            () if end_ms <= at.unix_ms => at.unix_ms + 1000,
            () if self.record.lateness_reported => end_ms,
            () => end_ms.min(latest_start(due_ms, tail_s)),
        };
        let end_ms = end_ms.saturating_add(millis(tail_s));
        if end_ms > due_ms && !self.record.lateness_reported {
            self.record.lateness_reported = true;
            events.push(RunEventKind::Late {
                index: current,
                delay_s: seconds_between(due_ms, end_ms),
                reason: self.lateness_reason(current, elapsed_s),
            });
            self.mark_changed(at, true);
        }
    }

    fn lateness_reason(&self, index: usize, elapsed_s: f64) -> &'static str {
        let (step, state) = (&self.record.steps[index], &self.states[index]);
        let opened = self.record.steps[0].began_ms.unwrap_or(0);
        match () {
            () if !state.failing.is_empty() => "a job of it fails wherever it runs",
            () if step.accepted_jobs == 0 => "no job of it has come",
            () if step.learned
                && elapsed_s > step.mean_s + DEVIATIONS_ABOVE_MEAN * step.deviation_s =>
            {
                "it takes longer than before"
            }
            () if step.closed_ms.is_none() => "it still takes jobs",
            () if seconds_between(self.record.opening_ms, opened) > 60.0 => "the run opened late",
            () => "its jobs and the steps after it need longer than is left",
        }
    }

    /// Seconds until time alone may change something.
    pub fn next_tick_in_s(&self, at: Timestamp, settings: &Settings) -> f64 {
        if self.is_over() {
            return f64::INFINITY;
        }
        let seconds_to = |ms: UnixMs| seconds_between(at.unix_ms, ms);
        let mut next_s = if self.released {
            f64::INFINITY
        } else {
            seconds_to(self.record.due_ms)
        };
        for (index, (step, state)) in self.record.steps.iter().zip(&self.states).enumerate() {
            if step.closed_ms.is_none() {
                next_s = next_s.min(seconds_to(step.until_ms.saturating_add(settings.skew_ms)));
                if let Some(quiet_s) = step.quiet_s
                    && index == self.recorded_steps
                {
                    next_s = next_s.min(state.last_activity_s + quiet_s - at.steady_s);
                }
            }
            for since in state.failing.values() {
                let left_s = since + settings.failing_grace_s - at.steady_s;
                if left_s > 0.0 {
                    next_s = next_s.min(left_s);
                }
            }
        }
        next_s.min(seconds_to(self.next_check_ms))
    }
}
