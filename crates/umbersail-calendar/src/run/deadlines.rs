//! Computes the deadlines of steps, and when the deadlines must be computed again.

use super::Run;
use crate::event::RunEventKind;
use crate::openings::UnixMs;
use crate::timestamp::{millis, seconds_between};
use crate::{Settings, Timestamp};

/// A duration up to this many mean deviations above the mean is expected.
const DEVIATIONS_ABOVE_MEAN: f64 = 2.0;

/// Latest start time of work that takes `seconds` and is due at `due_ms`.
fn latest_start(due_ms: UnixMs, seconds: f64) -> UnixMs {
    due_ms.saturating_sub(millis(seconds))
}

impl Run {
    /// Expected duration of a step in seconds: the learned mean plus `deviations` mean
    /// deviations, but at least the expected duration of the step's longest job.
    pub(super) fn expected_s(&self, index: usize, deviations: f64) -> f64 {
        let step = &self.record.steps[index];
        (step.mean_s + deviations * step.deviation_s).max(self.states[index].longest_s)
    }

    /// Sets the deadline of each step, from the last step to the current one, and reports once
    /// if the run is expected to end late.
    ///
    /// The scheduler ranks jobs whose deadline cannot be met behind all jobs that can meet their
    /// deadlines. Therefore the current step gets at least its expected duration. After the due
    /// time, each step gets its expected duration from now on, until the run is late by as much
    /// time as there was between its opening and its due time; then the steps have no deadlines.
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
        let gives_up_deadlines = at.unix_ms >= due_ms.saturating_add(allowed_ms);
        let (mut later_steps_s, mut max_later_steps_s) = (0.0, 0.0);
        for index in (current..steps).rev() {
            let cautious_ms = due_ms.saturating_sub(settings.skew_ms + millis(max_later_steps_s));
            let latest_ms = latest_start(due_ms, later_steps_s);
            let deadline_ms = match () {
                () if gives_up_deadlines => None,
                () if self.released => Some(at.unix_ms + millis(self.expected_s(index, 0.0))),
                () if index > current || end_ms <= cautious_ms => Some(cautious_ms),
                () => Some(latest_ms.max(end_ms)),
            };
            self.states[index].deadline_ms = deadline_ms;
            if index > current {
                later_steps_s += self.expected_s(index, 0.0);
                max_later_steps_s += self.expected_s(index, DEVIATIONS_ABOVE_MEAN);
            }
        }
        self.next_check_ms = match () {
            () if self.released => UnixMs::MAX,
            () if end_ms <= at.unix_ms => at.unix_ms + 1000,
            () if self.record.lateness_reported => end_ms,
            () => end_ms.min(latest_start(due_ms, later_steps_s)),
        };
        let end_ms = end_ms.saturating_add(millis(later_steps_s));
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

    /// Why the run is expected to end late, with the current step as the likely cause.
    fn lateness_reason(&self, index: usize, elapsed_s: f64) -> &'static str {
        let (step, state) = (&self.record.steps[index], &self.states[index]);
        let opened = self.record.steps[0].began_ms.unwrap_or(0);
        match () {
            () if !state.failing.is_empty() => "one of its jobs fails on every machine",
            () if step.accepted_jobs == 0 => "none of its jobs has arrived",
            () if step.learned
                && elapsed_s > step.mean_s + DEVIATIONS_ABOVE_MEAN * step.deviation_s =>
            {
                "the step takes longer than in earlier runs"
            }
            () if step.closed_ms.is_none() => "the step still accepts jobs",
            () if seconds_between(self.record.opening_ms, opened) > 60.0 => "the run opened late",
            () => "its jobs and the later steps need more time than remains",
        }
    }

    /// Seconds until the state of the run may change without an event.
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
