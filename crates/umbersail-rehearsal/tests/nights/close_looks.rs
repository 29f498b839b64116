//! Users ask at all controllers within milliseconds, and repeat the submission, right
//! after a job was accepted, ended or was cancelled.

use umbersail_rehearsal::history::{Event, EventKind, Question};
use umbersail_rehearsal::{Failure, Fault, Scenario};
use umbersail_wire::JobStage;

use crate::harness::{each, failure, keeps_the_rules, seeds, shop};
use crate::sweep::{Anchor, Sweep, bare, offsets};

/// The troubles that meet the looks begin then, and end at the latest so much later.
const FROM_S: f64 = 30.0;
const FOR_S: f64 = 25.0;
/// A question that is sent so soon after an answer meets it, in seconds.
const SOON_S: f64 = 0.1;

/// Small jobs that end within seconds, a quarter of them cancelled.
pub fn busy(failures: &str) -> Scenario {
    let looks = failure("close-looks", 5.0, 70.0, "");
    let mut night = shop(75.0, &(looks + failures));
    for class in &mut night.classes {
        (class.tasks, class.most) = (1.5, 3);
        (class.run_s, class.per_minute, class.cancelled) = (6.0, 40.0, 0.25);
        (class.image_gb, class.cpus, class.memory_gb) = (0.1, 1.0, 1.0);
    }
    night.objectives.clear();
    // Nine questions for each event of a job are more than a small service answers.
    (night.state.rps, night.state.write_rps) = (600.0, 120.0);
    night
}

/// What was told of which job, when, and where.
struct Answered<'a> {
    t: f64,
    job: &'a str,
    status: u16,
    stage: Option<JobStage>,
    question: Question,
}

fn answers<'a>(events: &'a [Event]) -> Vec<Answered<'a>> {
    let answer = |event: &'a Event| match &event.what {
        EventKind::Polled {
            job,
            status,
            stage,
            question: Some(question),
        }
        | EventKind::Repeated {
            job,
            status,
            stage,
            question: Some(question),
        } => Some((job.as_str(), *status, *stage, *question)),
        EventKind::Accepted {
            job,
            question: Some(question),
            ..
        } => Some((job.as_str(), 200, None, *question)),
        EventKind::CancelAcknowledged {
            job,
            stage,
            question: Some(question),
        } => Some((job.as_str(), 200, Some(*stage), *question)),
        _ => None,
    };
    let all = events.iter().filter_map(|event| {
        let (job, status, stage, question) = answer(event)?;
        let t = event.t;
        Some(Answered {
            t,
            job,
            status,
            stage,
            question,
        })
    });
    all.collect()
}

/// What a user is told first that must never be taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum First {
    Known,
    Done,
    Cancelled,
}

impl First {
    fn tells(self, answer: &Answered<'_>) -> bool {
        match self {
            First::Known => answer.status == 200 || answer.status == 201,
            First::Done => answer.stage == Some(JobStage::Done),
            First::Cancelled => answer.stage == Some(JobStage::Cancelled),
        }
    }
}

/// How many questions were answered by `node`, or by any, that were sent within a moment
/// after another controller's first answer of this kind, between these times.
fn met(events: &[Event], first: First, node: Option<usize>, from: f64, to: f64) -> usize {
    let mut firsts = std::collections::BTreeMap::new();
    let mut count = 0;
    for answer in answers(events) {
        if let Some((t, told_by)) = firsts.get(answer.job) {
            let soon = answer.question.sent_s >= *t && answer.question.sent_s < t + SOON_S;
            let elsewhere = answer.question.node != *told_by;
            let here = node.is_none_or(|n| n == answer.question.node);
            let is_then = from <= answer.t && answer.t < to;
            count += usize::from(soon && elsewhere && here && is_then);
        } else if first.tells(&answer) {
            firsts.insert(answer.job.to_owned(), (answer.t, answer.question.node));
        }
    }
    count
}

/// Each kind of answer was met at another controller at least so often.
fn took_place(events: &[Event], node: Option<usize>, from: f64, to: f64, least: usize) {
    for first in [First::Known, First::Done, First::Cancelled] {
        let met = met(events, first, node, from, to);
        assert!(met >= least, "{first:?} met {met} times at {node:?}");
    }
}

#[test]
fn nobody_gets_an_older_answer_from_another_controller_within_milliseconds() {
    // Guards against controllers that answer from memory what the state service knows
    // better by then.
    let outcomes = keeps_the_rules(&busy(""), &seeds(2));
    for outcome in &outcomes {
        took_place(&outcome.events, None, 0.0, f64::INFINITY, 20);
    }
}

#[test]
fn nobody_gets_an_older_answer_while_one_controller_is_in_trouble() {
    // Guards against a controller that is cut off, refused alone, or back after an end, and
    // says what it knew before.
    let troubles = [
        ("controller-cut-from-state", FOR_S, "1"),
        ("state-refuses", FOR_S, "leader"),
        ("controller-isolated", FOR_S, "leader"),
        ("controller-isolated", FOR_S, "1"),
        ("controller-crash", 0.0, "1"),
    ];
    let cases: Vec<_> = troubles
        .into_iter()
        .flat_map(|trouble| seeds(1).into_iter().map(move |seed| (trouble, seed)))
        .collect();
    each(&cases, |((what, for_s, who), seed)| {
        let troubles = failure(what, FROM_S, *for_s, &format!("who = \"{who}\""));
        let outcomes = keeps_the_rules(&busy(&troubles), &[*seed]);
        took_place(&outcomes[0].events, None, FROM_S, FROM_S + FOR_S, 10);
    });
}

#[test]
fn nobody_gets_an_older_answer_over_changes_of_leader_with_late_writes() {
    // Guards against a successor, or a late transaction, that undoes what was told.
    let changes: String = [30.0, 38.0, 46.0]
        .map(|at| {
            failure(
                "controller-crash",
                at,
                0.0,
                "who = \"leader\"\nback_s = 1.0",
            )
        })
        .concat();
    let late = failure("late-writes", 28.0, 25.0, "share = 0.2");
    for troubles in [changes.clone(), changes + &late] {
        let outcomes = keeps_the_rules(&busy(&troubles), &seeds(1));
        for outcome in &outcomes {
            took_place(&outcome.events, None, 30.0, 60.0, 10);
        }
    }
}

#[test]
fn a_leader_that_ends_around_an_answer_or_an_election_takes_nothing_back() {
    // Guards against a window of milliseconds between what was told and what was recorded.
    let cases = [
        (Anchor::Acceptance, 12),
        (Anchor::Cancellation, 4),
        (Anchor::Election, 1),
    ];
    each(&cases, |(anchor, nth)| {
        let crash = |at_s: f64| Failure {
            who: Some("leader".into()),
            back_s: Some(1.0),
            ..bare(Fault::ControllerCrash, at_s, 0.0)
        };
        let mut night = busy("");
        night.length_s = 40.0;
        night.failures.push(crash(18.0));
        let sweep = Sweep::record(night, 1);
        let moment = sweep.moments(*anchor)[*nth].clone();
        let outcomes = sweep.around(&moment, &offsets(0.1, 0.1), |at_s| vec![crash(at_s)]);
        for outcome in &outcomes {
            let breaches = &outcome.figures.breaches;
            assert!(breaches.is_empty(), "{anchor:?}: {:?}", breaches[0]);
            took_place(&outcome.events, None, 0.0, f64::INFINITY, 5);
        }
    });
}

#[test]
fn nobody_is_told_queued_after_running_while_controllers_or_zones_are_apart() {
    // Guards against task counts that are older than they seem: of a hello message that the
    // network held back, or of a leader whose machine was cut off right after a launch.
    let apart = |kind: &str| -> String {
        [12.0, 30.0, 48.0]
            .map(|at| failure(kind, at, 9.0, ""))
            .concat()
    };
    for kind in ["controllers-apart", "zones-apart"] {
        let mut night = busy(&apart(kind));
        for class in &mut night.classes {
            (class.run_s, class.per_minute) = (25.0, 60.0);
        }
        keeps_the_rules(&night, &[seeds(4), vec![12, 18]].concat());
    }
}
