//! A cancellation, a question or a repeated submission meets the end of a job's last
//! task, with no other trouble.

use std::collections::BTreeMap;

use umbersail_rehearsal::history::{Event, EventKind};
use umbersail_rehearsal::{Failure, Fault, Outcome};
use umbersail_wire::JobStage;

use crate::close_looks::busy;
use crate::harness::{each, failure, keeps_the_rules, seeds, shop};
use crate::sweep::{Anchor, Sweep, bare, completions, offsets};

/// A cancellation meets the end of a job if it is asked for within so many seconds of it.
const MEETS_S: f64 = 2.0;

/// Cancellations asked for around the job's end: told done, and told cancelled.
fn cancelled_at_end(events: &[Event]) -> (usize, usize) {
    let ends: BTreeMap<String, f64> = completions(events)
        .into_iter()
        .map(|(t, j)| (j, t))
        .collect();
    let mut asked: BTreeMap<&str, f64> = BTreeMap::new();
    let (mut done, mut cancelled) = (0, 0);
    for event in events {
        match &event.what {
            EventKind::CancelRequested { job } => drop(asked.insert(job, event.t)),
            EventKind::CancelAcknowledged { job, stage, .. } => {
                let (Some(end), Some(asked)) = (ends.get(job), asked.get(job.as_str())) else {
                    continue;
                };
                if (end - asked).abs() < MEETS_S {
                    done += usize::from(*stage == JobStage::Done);
                    cancelled += usize::from(*stage == JobStage::Cancelled);
                }
            }
            _ => {}
        }
    }
    (done, cancelled)
}

#[test]
fn cancellations_meet_the_ends_of_last_tasks() {
    // Guards against two ends of one job, told by two controllers.
    let at_once = failure("cancel-at-end", 5.0, 70.0, "share = 0.6");
    for outcome in keeps_the_rules(&busy(&at_once), &seeds(1)) {
        let (_, cancelled) = cancelled_at_end(&outcome.events);
        assert!(cancelled >= 10, "{cancelled} cancelled at once");
    }
    let more = "share = 0.6\nfrom_s = 0.1\nto_s = 1.2";
    let troubles = failure("cancel-at-end", 5.0, 70.0, more);
    for troubles in [
        troubles.clone(),
        troubles + &failure("odd-requests", 5.0, 70.0, ""),
    ] {
        let outcomes = keeps_the_rules(&busy(&troubles), &seeds(2));
        for outcome in &outcomes {
            let (done, cancelled) = cancelled_at_end(&outcome.events);
            assert!(
                done >= 3 && cancelled >= 3,
                "seed {}: {done} done, {cancelled} cancelled",
                outcome.seed
            );
        }
    }
}

#[test]
fn a_cancellation_a_question_and_a_repetition_are_swept_over_the_end_of_a_last_task() {
    // Guards against a window of milliseconds around a job's end that chance does not hit.
    let cases: Vec<(u64, usize)> = seeds(1)
        .into_iter()
        .map(|seed| (seed, 3 + seed as usize))
        .collect();
    each(&cases, |(seed, nth)| {
        let mut night = shop(30.0, "");
        for class in &mut night.classes {
            (class.tasks, class.most) = (2.0, 3);
            (class.run_s, class.per_minute, class.image_gb) = (5.0, 30.0, 0.1);
            class.cancelled = 0.0;
        }
        night.objectives.clear();
        let sweep = Sweep::record(night, *seed);
        let moment = sweep.moments(Anchor::Completion)[*nth].clone();
        let job = || moment.job.clone();
        let failures = |at_s: f64| -> Vec<Failure> {
            let mut cancel = bare(Fault::CancelNow, at_s, 0.0);
            let mut looks = bare(Fault::CloseLooks, at_s, 1.0);
            (cancel.job, looks.job) = (job(), job());
            vec![cancel, looks]
        };
        let outcomes = sweep.around(&moment, &offsets(0.3, 0.1), failures);
        let told: Vec<JobStage> = outcomes
            .iter()
            .map(|o| told_to_canceller(o, &moment.job))
            .collect();
        // Around the end there are both: cancelled before it, and done after.
        assert!(told.contains(&JobStage::Cancelled), "{told:?}");
    });
}

/// What the cancellation of the job was answered; no rule is broken.
fn told_to_canceller(outcome: &Outcome, of: &Option<String>) -> JobStage {
    assert!(
        outcome.figures.breaches.is_empty(),
        "{:?}",
        outcome.figures.breaches
    );
    let told = outcome.events.iter().find_map(|e| match &e.what {
        EventKind::CancelAcknowledged { job, stage, .. } if Some(job) == of.as_ref() => {
            Some(*stage)
        }
        _ => None,
    });
    told.expect("the cancellation was answered")
}
