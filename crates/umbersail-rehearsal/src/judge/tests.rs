//! Each rule is reported broken by the events that break it, and by no others.

use super::*;
use crate::bundled::bundled;
use crate::history::EndReason;
use umbersail_wire::{JobKind, Priority};

fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        id: "req-1".into(),
        class: "pages".into(),
        team: "kitchen".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks,
        cpus: 2.0,
        gpus: None,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: None,
        spread: None,
        spot: None,
        estimate_s: 10.0,
        checkpoint_s: None,
        save_s: None,
        deadline_s: Some(60.0),
    }
}

fn rented(machine: &str, zone: &str, spot: bool) -> EventKind {
    EventKind::Rented {
        machine: machine.into(),
        kind: "box".into(),
        zone: zone.into(),
        spot,
    }
}

fn started(machine: &str, task: u32) -> EventKind {
    EventKind::Started {
        machine: machine.into(),
        job: "req-1".into(),
        task,
        attempt: 1,
    }
}

fn ended(machine: &str, task: u32, how: EndReason) -> EventKind {
    EventKind::Ended {
        machine: machine.into(),
        job: "req-1".into(),
        task,
        attempt: 1,
        how,
        useful_s: 5.0,
    }
}

fn polled(status: u16, stage: Option<JobStage>) -> EventKind {
    EventKind::Polled {
        job: "req-1".into(),
        status,
        stage,
        question: None,
    }
}

fn cancel_acknowledged(stage: JobStage) -> EventKind {
    EventKind::CancelAcknowledged {
        job: "req-1".into(),
        stage,
        question: None,
    }
}

/// Returns a scenario without faults, with this CPU quota for its first team.
fn night(limit: f64) -> Scenario {
    let text = bundled("zone-power-loss-cold-caches").unwrap();
    let mut night = Scenario::parse("test", text).unwrap();
    night.teams[0].cpus_max = limit;
    night.failures.clear();
    night
}

/// Returns the rules broken by a history with two rented machines, an accepted job and then
/// these events, ten seconds apart.
fn broken_rules(job: JobSpec, limit: f64, then: Vec<EventKind>) -> Vec<Rule> {
    let night = night(limit);
    let accepted = EventKind::Accepted {
        job: "req-1".into(),
        after_s: 0.1,
        question: None,
    };
    let asked = EventKind::Submitted {
        spec: Box::new(job),
    };
    let all = vec![
        rented("m1", "north", false),
        rented("m2", "south", true),
        asked,
        accepted,
    ];
    let events: Vec<Event> = all
        .into_iter()
        .chain(then)
        .enumerate()
        .map(|(i, what)| Event {
            t: 10.0 * i as f64,
            what,
        })
        .collect();
    evaluate(&night, &events)
        .breaches
        .iter()
        .map(|b| b.rule)
        .collect()
}

#[test]
fn each_rule_is_broken_only_by_the_events_that_break_it() {
    // Guards against checks that miss a breach or report one that did not happen.
    use Rule::*;
    let (done, cancelled) = (JobStage::Done, JobStage::Cancelled);
    let asked = || EventKind::CancelRequested {
        job: "req-1".into(),
    };
    let start = || started("m1", 0);
    let finish = || ended("m1", 0, EndReason::Done);
    let level = || EventKind::UsageSample {
        cpus: 0.0,
        waiting: 0,
        ordinary: 0,
        spot: 0,
        spent: 1.0,
    };
    let free = JobSpec {
        spot: Some(true),
        ..spec(1)
    };
    let two = JobSpec {
        tasks: 2,
        ..free.clone()
    };
    let with = |f: fn(&mut JobSpec)| {
        let mut job = two.clone();
        f(&mut job);
        job
    };
    let cases: Vec<(JobSpec, f64, Vec<EventKind>, Vec<Rule>)> = vec![
        (
            free.clone(),
            0.0,
            vec![start(), finish(), polled(200, Some(done))],
            vec![],
        ),
        (
            free.clone(),
            0.0,
            vec![start(), started("m2", 0)],
            vec![RanTwice],
        ),
        (
            free.clone(),
            0.0,
            vec![start(), ended("m1", 0, EndReason::Lapsed), started("m2", 0)],
            vec![],
        ),
        (two.clone(), 4.0, vec![start(), started("m1", 1)], vec![]),
        (
            two.clone(),
            3.0,
            vec![start(), started("m1", 1)],
            vec![Quota],
        ),
        (spec(1), 0.0, vec![started("m2", 0)], vec![WrongPlace]),
        (
            with(|j| j.zone = Some("north".into())),
            0.0,
            vec![started("m2", 0)],
            vec![WrongPlace],
        ),
        (
            with(|j| j.types = Some(vec!["x".into()])),
            0.0,
            vec![start()],
            vec![WrongPlace],
        ),
        (
            with(|j| j.one_zone = Some(true)),
            0.0,
            vec![start(), started("m2", 1)],
            vec![WrongPlace],
        ),
        (
            with(|j| j.spread = Some(true)),
            0.0,
            vec![start(), started("m1", 1)],
            vec![WrongPlace],
        ),
        (
            with(|j| j.spread = Some(true)),
            0.0,
            vec![start(), started("m2", 1)],
            vec![],
        ),
        (
            free.clone(),
            0.0,
            vec![
                asked(),
                cancel_acknowledged(cancelled),
                start(),
                ended("m1", 0, EndReason::Stopped),
            ],
            vec![],
        ),
        (
            free.clone(),
            0.0,
            [
                vec![asked(), cancel_acknowledged(cancelled)],
                (0..4).map(|_| level()).collect(),
                vec![start()],
            ]
            .concat(),
            vec![RanCancelled],
        ),
        (
            free.clone(),
            0.0,
            vec![start(), polled(404, None)],
            vec![Forgotten],
        ),
        (
            free.clone(),
            0.0,
            vec![
                start(),
                EventKind::Repeated {
                    job: "req-1".into(),
                    status: 422,
                    stage: None,
                    question: None,
                },
            ],
            vec![Forgotten],
        ),
        (
            free.clone(),
            0.0,
            vec![
                start(),
                EventKind::Polled {
                    job: "req-9".into(),
                    status: 200,
                    stage: Some(done),
                    question: None,
                },
            ],
            vec![Invented],
        ),
        (
            two.clone(),
            0.0,
            vec![start(), finish(), polled(200, Some(done))],
            vec![NotDone],
        ),
        (
            free.clone(),
            0.0,
            vec![
                start(),
                finish(),
                polled(200, Some(done)),
                polled(200, Some(JobStage::Running)),
            ],
            vec![WentBack],
        ),
        (
            free.clone(),
            0.0,
            vec![start(), polled(200, Some(cancelled))],
            vec![WentBack],
        ),
        (
            free.clone(),
            0.0,
            [vec![start()], vec![polled(503, None); 6]].concat(),
            vec![],
        ),
        (
            free.clone(),
            0.0,
            [vec![start()], vec![polled(503, None); 7]].concat(),
            vec![ForgottenAtEnd],
        ),
        (
            free.clone(),
            0.0,
            [vec![start(), asked()], vec![polled(503, None); 7]].concat(),
            vec![],
        ),
        (free, 0.0, vec![], vec![NothingRan]),
    ];
    for (index, (job, limit, then, expected)) in cases.into_iter().enumerate() {
        assert_eq!(broken_rules(job, limit, then), expected, "case {index}");
    }
}

/// Returns the controller that answers a request, and when the request was sent in seconds.
fn sent(node: usize, sent_s: f64) -> Option<Question> {
    Some(Question { node, sent_s })
}

/// Returns the answer to a poll that was sent to controller `node` at `sent_s`.
fn poll(node: usize, sent_s: f64, status: u16, stage: Option<JobStage>) -> EventKind {
    EventKind::Polled {
        job: "req-1".into(),
        status,
        stage,
        question: sent(node, sent_s),
    }
}

fn repeat(node: usize, sent_s: f64, status: u16, stage: Option<JobStage>) -> EventKind {
    EventKind::Repeated {
        job: "req-1".into(),
        status,
        stage,
        question: sent(node, sent_s),
    }
}

fn cancel_request() -> EventKind {
    EventKind::CancelRequested {
        job: "req-1".into(),
    }
}

fn cancel_answer(node: usize, sent_s: f64, stage: JobStage) -> EventKind {
    EventKind::CancelAcknowledged {
        job: "req-1".into(),
        stage,
        question: sent(node, sent_s),
    }
}

/// Name of the case, the events with their times, and the rules that they break.
type Case = (&'static str, Vec<(f64, EventKind)>, Vec<Rule>);

/// Returns the rules broken by a job of one task that is accepted at 10 s and runs on m1 from
/// 15 s on, and by these events at their times.
fn broken_rules_at(then: &[(f64, EventKind)]) -> Vec<Rule> {
    let accepted = EventKind::Accepted {
        job: "req-1".into(),
        after_s: 0.1,
        question: sent(0, 9.9),
    };
    let asked = EventKind::Submitted {
        spec: Box::new(spec(1)),
    };
    let before = [
        (0.0, rented("m1", "north", false)),
        (9.8, asked),
        (10.0, accepted),
        (15.0, started("m1", 0)),
    ];
    let mut events: Vec<Event> = (before.iter().chain(then))
        .map(|(t, what)| Event {
            t: *t,
            what: what.clone(),
        })
        .collect();
    events.sort_by(|a, b| a.t.total_cmp(&b.t));
    let figures = evaluate(&night(0.0), &events);
    figures.breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn a_request_sent_after_an_answer_gets_no_older_answer_from_any_controller() {
    // Guards against checks that accept an older answer from another controller, or that call
    // an answer older although its request was already sent when the other answer arrived.
    use JobStage::*;
    use Rule::*;
    let finish = || (30.0, ended("m1", 0, EndReason::Done));
    let done = || (31.0, poll(1, 30.9, 200, Some(Done)));
    let cancel_requested = || (19.5, cancel_request());
    let cancelled = || (20.0, cancel_answer(1, 19.6, Cancelled));
    let cases: Vec<Case> = vec![
        (
            "accepted, then unknown at another controller",
            vec![(10.05, poll(2, 10.0, 404, None))],
            vec![Forgotten],
        ),
        (
            "unknown in answer to a poll sent before the acceptance",
            vec![(10.05, poll(2, 9.99, 404, None))],
            vec![],
        ),
        (
            "repeated submission accepted as new",
            vec![(10.2, repeat(2, 10.1, 201, Some(Queued)))],
            vec![OlderAnswer],
        ),
        (
            "two concurrent submissions both accepted",
            vec![(10.2, repeat(2, 9.95, 201, Some(Queued)))],
            vec![],
        ),
        (
            "repeated submission recognized",
            vec![(10.2, repeat(2, 10.1, 200, Some(Queued)))],
            vec![],
        ),
        (
            "repeated submission refused",
            vec![(10.2, repeat(2, 10.1, 400, None))],
            vec![Forgotten],
        ),
        (
            "repeated submission refused because the job can never run",
            vec![(10.2, repeat(2, 10.1, 422, None))],
            vec![Forgotten],
        ),
        (
            "cancellation answered as if the job were unknown",
            vec![
                cancel_requested(),
                (
                    19.9,
                    EventKind::CancelRefused {
                        job: "req-1".into(),
                        status: 404,
                        question: sent(2, 19.6),
                    },
                ),
            ],
            vec![Forgotten],
        ),
        (
            "done, then running at another controller",
            vec![finish(), done(), (31.02, poll(0, 31.0, 200, Some(Running)))],
            vec![WentBack],
        ),
        (
            "running in answer to a poll sent before done was reported",
            vec![
                finish(),
                done(),
                (31.02, poll(0, 30.99, 200, Some(Running))),
            ],
            vec![],
        ),
        (
            "done, then unknown",
            vec![finish(), done(), (31.02, poll(0, 31.0, 404, None))],
            vec![Forgotten],
        ),
        (
            "done, then a repeated submission reported queued",
            vec![finish(), done(), (31.1, repeat(2, 31.0, 200, Some(Queued)))],
            vec![WentBack],
        ),
        (
            "done, then a repeated submission reported done",
            vec![finish(), done(), (31.1, repeat(2, 31.0, 200, Some(Done)))],
            vec![],
        ),
        (
            "cancelled, then running at another controller",
            vec![
                cancel_requested(),
                cancelled(),
                (20.1, poll(0, 20.01, 200, Some(Running))),
            ],
            vec![WentBack],
        ),
        (
            "running in answer to a poll sent before the cancellation was acknowledged",
            vec![
                cancel_requested(),
                cancelled(),
                (20.1, poll(0, 19.99, 200, Some(Running))),
            ],
            vec![],
        ),
        (
            "cancelled, then done, even if the poll was sent before the acknowledgement",
            vec![
                cancel_requested(),
                cancelled(),
                finish(),
                (30.1, poll(0, 19.99, 200, Some(Done))),
            ],
            vec![WentBack],
        ),
        (
            "done, then a later cancellation acknowledged as cancelled",
            vec![
                finish(),
                done(),
                (31.5, cancel_request()),
                (31.6, cancel_answer(0, 31.5, Cancelled)),
            ],
            vec![WentBack],
        ),
        (
            "done, then a later cancellation acknowledged as done",
            vec![
                finish(),
                done(),
                (31.5, cancel_request()),
                (31.6, cancel_answer(0, 31.5, Done)),
            ],
            vec![],
        ),
    ];
    for (name, then, expected) in cases {
        assert_eq!(broken_rules_at(&then), expected, "{name}");
    }
}

#[test]
fn a_job_whose_task_still_runs_is_not_reported_queued_again() {
    // Guards against checks that accept running and then queued for a task that still runs, or
    // that report a breach after a stop, a lost machine or within the allowed lag.
    use JobStage::*;
    use Rule::*;
    let runs = || (16.0, poll(0, 15.9, 200, Some(Running)));
    let queued_at = |sent_s: f64| (sent_s + 0.1, poll(1, sent_s, 200, Some(Queued)));
    let ends = |how| (40.0, ended("m1", 0, how));
    let faulted = |t| {
        let what = EventKind::MachineFaulted {
            machine: "m1".into(),
            fault: "machines-cut".into(),
            for_s: 5.0,
        };
        (t, what)
    };
    let cases: Vec<Case> = vec![
        (
            "the task ran the whole time",
            vec![runs(), queued_at(19.1), ends(EndReason::Done)],
            vec![OlderAnswer],
        ),
        (
            "within the allowed lag",
            vec![runs(), queued_at(18.9), ends(EndReason::Done)],
            vec![],
        ),
        (
            "never reported running",
            vec![queued_at(19.1), ends(EndReason::Done)],
            vec![],
        ),
        (
            "the task was stopped",
            vec![runs(), queued_at(19.1), ends(EndReason::Stopped)],
            vec![],
        ),
        (
            "its lease expired",
            vec![runs(), queued_at(19.1), ends(EndReason::Lapsed)],
            vec![],
        ),
        (
            "its machine was lost",
            vec![runs(), queued_at(19.1), ends(EndReason::Gone)],
            vec![],
        ),
        (
            "another attempt runs by then",
            vec![
                runs(),
                (17.0, ended("m1", 0, EndReason::Error)),
                (18.0, started("m1", 0)),
                queued_at(25.0),
                ends(EndReason::Done),
            ],
            vec![],
        ),
        (
            "a fault affected its machine meanwhile",
            vec![
                runs(),
                faulted(17.0),
                queued_at(25.0),
                ends(EndReason::Done),
            ],
            vec![],
        ),
        (
            "a fault affected its machine before the task started",
            vec![
                faulted(14.0),
                runs(),
                queued_at(25.0),
                ends(EndReason::Done),
            ],
            vec![OlderAnswer],
        ),
    ];
    for (name, then, expected) in cases {
        assert_eq!(broken_rules_at(&then), expected, "{name}");
    }
}

#[test]
fn histories_without_request_times_are_still_read() {
    // Guards against archives of earlier versions that can no longer be evaluated.
    let line = r#"{"t":1.0,"what":"polled","job":"req-1","status":200,"stage":"done"}"#;
    let event: Event = serde_json::from_str(line).unwrap();
    assert_eq!(event.what, polled(200, Some(JobStage::Done)));
    assert_eq!(serde_json::to_string(&event).unwrap(), line);
}
