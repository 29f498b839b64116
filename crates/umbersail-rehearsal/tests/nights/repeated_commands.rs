//! Late copies: direct commands that were carried out and answered reach their machines once
//! more, and so do heartbeats their controllers, while controllers and machines come back within
//! a second and tasks are moved and cancelled in between.

use std::collections::BTreeMap;

use umbersail_rehearsal::history::{EndReason, Event, EventKind};

use crate::harness::{Attempt, attempts, failure, holds, seeds, shop};

/// What happened on the machine between a command and its copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Between {
    /// A task was stopped here and was started on another machine.
    Moved,
    /// A task of a job that its user cancelled was stopped here.
    Cancelled,
    /// Neither.
    Other,
}

/// A copy that was carried out, or refused, by its machine.
struct Copy<'a> {
    t: f64,
    sent_s: f64,
    machine: &'a str,
    status: u16,
    starts: usize,
}

fn copies(events: &[Event]) -> Vec<Copy<'_>> {
    let mut all = Vec::new();
    for event in events {
        if let EventKind::RepeatedCommand {
            machine,
            held_s,
            status,
            starts,
        } = &event.what
        {
            all.push(Copy {
                t: event.t,
                sent_s: event.t - held_s,
                machine,
                status: *status,
                starts: *starts,
            });
        }
    }
    all
}

fn between(copy: &Copy<'_>, attempts: &[Attempt], cancelled: &[&str]) -> Between {
    let ended = |a: &&Attempt| {
        a.machine == copy.machine
            && (copy.sent_s..copy.t).contains(&a.to)
            && a.how != Some(EndReason::Done)
    };
    let ended: Vec<&Attempt> = attempts.iter().filter(ended).collect();
    let is_moved = |a: &&Attempt| {
        let later = |b: &Attempt| b.from >= a.to && b.machine != a.machine;
        (attempts.iter()).any(|b| later(b) && b.job == a.job && b.task == a.task)
    };
    if ended.iter().any(|a| cancelled.contains(&a.job.as_str())) {
        Between::Cancelled
    } else if ended.iter().any(is_moved) {
        Between::Moved
    } else {
        Between::Other
    }
}

#[test]
fn a_late_copy_of_a_command_starts_no_task_that_was_moved_or_cancelled_in_between() {
    // Guards against a task that runs on two machines at once, and against a cancelled task that
    // runs again, because a copy of a start command that was carried out reaches a machine that
    // knows nothing of the attempt any more.
    let mut failures = failure(
        "commands-repeated",
        5.0,
        145.0,
        "from_s = 0.05\nto_s = 25.0",
    );
    failures += &failure(
        "reports-late",
        5.0,
        145.0,
        "from_s = 0.05\nto_s = 25.0\nshare = 0.3",
    );
    for (at_s, back_s) in [(30.0, 0.2), (55.0, 0.9), (80.0, 0.2), (105.0, 0.5)] {
        let leader = format!("who = \"leader\"\nback_s = {back_s}");
        failures += &failure("controller-crash", at_s, 0.0, &leader);
        failures += &failure("machines-stop", at_s + 6.0, 0.0, "count = 3\nback_s = 0.5");
        failures += &failure("spot-wave", at_s + 12.0, 0.0, "count = 3");
    }
    let mut night = shop(150.0, &failures);
    for class in &mut night.classes {
        (class.run_s, class.cancelled) = (20.0, 0.4);
    }
    let mut met: BTreeMap<(u16, Between), usize> = BTreeMap::new();
    for outcome in holds(&night, &seeds(4)) {
        let attempts = attempts(&outcome.events);
        let cancelled = (outcome.events.iter()).filter_map(|e| match &e.what {
            EventKind::CancelAcknowledged { job, .. } => Some(job.as_str()),
            _ => None,
        });
        let cancelled: Vec<&str> = cancelled.collect();
        for copy in copies(&outcome.events) {
            assert_eq!(copy.starts, 0, "a direct command starts a task");
            let between = between(&copy, &attempts, &cancelled);
            *met.entry((copy.status, between)).or_default() += 1;
        }
    }
    println!("{met:?}");
    for between in [Between::Moved, Between::Cancelled] {
        assert!(met.contains_key(&(200, between)), "{met:?}");
    }
    assert!(met.keys().any(|(status, _)| *status == 409), "{met:?}");
}
