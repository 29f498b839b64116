//! Every rule broken by what breaks it, and by nothing else.

use super::*;
use crate::bundled::bundled;
use crate::history::End;
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

fn rented(machine: &str, zone: &str, spot: bool) -> What {
    What::Rented {
        machine: machine.into(),
        kind: "box".into(),
        zone: zone.into(),
        spot,
    }
}

fn started(machine: &str, task: u32) -> What {
    What::Started {
        machine: machine.into(),
        job: "req-1".into(),
        task,
        attempt: 1,
    }
}

fn ended(machine: &str, task: u32, how: End) -> What {
    What::Ended {
        machine: machine.into(),
        job: "req-1".into(),
        task,
        attempt: 1,
        how,
        useful_s: 5.0,
    }
}

fn polled(status: u16, stage: Option<JobStage>) -> What {
    What::Polled {
        job: "req-1".into(),
        status,
        stage,
        question: None,
    }
}

fn told(stage: JobStage) -> What {
    What::CancelTold {
        job: "req-1".into(),
        stage,
        question: None,
    }
}

/// A night without troubles of its own and this limit on its first team.
fn night(limit: f64) -> Scenario {
    let text = bundled("zone-power-loss-cold-caches").unwrap();
    let mut night = Scenario::parse("test", text).unwrap();
    night.teams[0].cpus_max = limit;
    night.failures.clear();
    night
}

/// Rules broken by a job that is accepted on two machines and then these
/// events, ten seconds apart.
fn broken(job: JobSpec, limit: f64, then: Vec<What>) -> Vec<Rule> {
    let night = night(limit);
    let accepted = What::Accepted {
        job: "req-1".into(),
        after_s: 0.1,
        question: None,
    };
    let asked = What::Asked {
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
    judge(&night, &events)
        .breaches
        .iter()
        .map(|b| b.rule)
        .collect()
}

#[test]
fn each_rule_is_found_broken_by_what_breaks_it_and_by_nothing_else() {
    // Guards against a judge that can't say no, or says it for nothing.
    use Rule::*;
    let (done, cancelled) = (JobStage::Done, JobStage::Cancelled);
    let asked = || What::CancelAsked {
        job: "req-1".into(),
    };
    let start = || started("m1", 0);
    let finish = || ended("m1", 0, End::Done);
    let level = || What::Level {
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
    let cases: Vec<(JobSpec, f64, Vec<What>, Vec<Rule>)> = vec![
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
            vec![start(), ended("m1", 0, End::Lapsed), started("m2", 0)],
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
                told(cancelled),
                start(),
                ended("m1", 0, End::Stopped),
            ],
            vec![],
        ),
        (
            free.clone(),
            0.0,
            [
                vec![asked(), told(cancelled)],
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
                What::Repeated {
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
                What::Polled {
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
    for (index, (job, limit, then, wanted)) in cases.into_iter().enumerate() {
        assert_eq!(broken(job, limit, then), wanted, "case {index}");
    }
}

/// The node that answers `asked_at` this, and a time in a case below, in seconds.
fn sent(node: usize, sent_s: f64) -> Option<Question> {
    Some(Question { node, sent_s })
}

/// A poll sent to a node then.
fn poll(node: usize, sent_s: f64, status: u16, stage: Option<JobStage>) -> What {
    What::Polled {
        job: "req-1".into(),
        status,
        stage,
        question: sent(node, sent_s),
    }
}

fn repeat(node: usize, sent_s: f64, status: u16, stage: Option<JobStage>) -> What {
    What::Repeated {
        job: "req-1".into(),
        status,
        stage,
        question: sent(node, sent_s),
    }
}

fn cancel_asked() -> What {
    What::CancelAsked {
        job: "req-1".into(),
    }
}

fn cancel_told(node: usize, sent_s: f64, stage: JobStage) -> What {
    What::CancelTold {
        job: "req-1".into(),
        stage,
        question: sent(node, sent_s),
    }
}

/// What is told of a job and when, under a name, and the rules that this breaks.
type Case = (&'static str, Vec<(f64, What)>, Vec<Rule>);

/// Rules broken by a job of one task that is accepted at 10 s, runs on m1 from 15 s on,
/// and these events at their times.
fn broken_at(then: &[(f64, What)]) -> Vec<Rule> {
    let accepted = What::Accepted {
        job: "req-1".into(),
        after_s: 0.1,
        question: sent(0, 9.9),
    };
    let asked = What::Asked {
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
    let figures = judge(&night(0.0), &events);
    figures.breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn a_question_sent_after_an_answer_gets_none_that_is_older_at_any_node() {
    // Guards against a judge that takes an older answer from another node, or that calls
    // one older whose question was under way when the other was given.
    use JobStage::*;
    use Rule::*;
    let finish = || (30.0, ended("m1", 0, End::Done));
    let done = || (31.0, poll(1, 30.9, 200, Some(Done)));
    let call_off = || (19.5, cancel_asked());
    let cancelled = || (20.0, cancel_told(1, 19.6, Cancelled));
    let cases: Vec<Case> = vec![
        (
            "accepted, then unknown elsewhere",
            vec![(10.05, poll(2, 10.0, 404, None))],
            vec![Forgotten],
        ),
        (
            "unknown to a question that was under way",
            vec![(10.05, poll(2, 9.99, 404, None))],
            vec![],
        ),
        (
            "a repetition accepted anew",
            vec![(10.2, repeat(2, 10.1, 201, Some(Queued)))],
            vec![OlderAnswer],
        ),
        (
            "both of two that were under way at once accepted",
            vec![(10.2, repeat(2, 9.95, 201, Some(Queued)))],
            vec![],
        ),
        (
            "a repetition known",
            vec![(10.2, repeat(2, 10.1, 200, Some(Queued)))],
            vec![],
        ),
        (
            "a repetition refused",
            vec![(10.2, repeat(2, 10.1, 400, None))],
            vec![Forgotten],
        ),
        (
            "a repetition that can never run",
            vec![(10.2, repeat(2, 10.1, 422, None))],
            vec![Forgotten],
        ),
        (
            "its cancellation finds nothing",
            vec![
                call_off(),
                (
                    19.9,
                    What::CancelRefused {
                        job: "req-1".into(),
                        status: 404,
                        question: sent(2, 19.6),
                    },
                ),
            ],
            vec![Forgotten],
        ),
        (
            "done, then running elsewhere",
            vec![finish(), done(), (31.02, poll(0, 31.0, 200, Some(Running)))],
            vec![WentBack],
        ),
        (
            "running to a question that was under way",
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
            "done, then a repetition waits",
            vec![finish(), done(), (31.1, repeat(2, 31.0, 200, Some(Queued)))],
            vec![WentBack],
        ),
        (
            "done, then a repetition done",
            vec![finish(), done(), (31.1, repeat(2, 31.0, 200, Some(Done)))],
            vec![],
        ),
        (
            "cancelled, then running elsewhere",
            vec![
                call_off(),
                cancelled(),
                (20.1, poll(0, 20.01, 200, Some(Running))),
            ],
            vec![WentBack],
        ),
        (
            "running to a question sent before the cancellation was told",
            vec![
                call_off(),
                cancelled(),
                (20.1, poll(0, 19.99, 200, Some(Running))),
            ],
            vec![],
        ),
        (
            "cancelled and done, even if asked at once",
            vec![
                call_off(),
                cancelled(),
                finish(),
                (30.1, poll(0, 19.99, 200, Some(Done))),
            ],
            vec![WentBack],
        ),
        (
            "done, and a cancellation that came later says cancelled",
            vec![
                finish(),
                done(),
                (31.5, cancel_asked()),
                (31.6, cancel_told(0, 31.5, Cancelled)),
            ],
            vec![WentBack],
        ),
        (
            "done, and a cancellation that came later says so",
            vec![
                finish(),
                done(),
                (31.5, cancel_asked()),
                (31.6, cancel_told(0, 31.5, Done)),
            ],
            vec![],
        ),
    ];
    for (name, then, wanted) in cases {
        assert_eq!(broken_at(&then), wanted, "{name}");
    }
}

#[test]
fn a_job_whose_task_runs_on_is_not_called_waiting_again() {
    // Guards against a judge that takes back and forth for granted, or that blames a stop,
    // a lost machine or the lag that is allowed.
    use JobStage::*;
    use Rule::*;
    let runs = || (16.0, poll(0, 15.9, 200, Some(Running)));
    let waits_at = |sent_s: f64| (sent_s + 0.1, poll(1, sent_s, 200, Some(Queued)));
    let ends = |how| (40.0, ended("m1", 0, how));
    let struck = |t| {
        let what = What::Struck {
            machine: "m1".into(),
            trouble: "machines-cut".into(),
            for_s: 5.0,
        };
        (t, what)
    };
    let cases: Vec<Case> = vec![
        (
            "it ran all along",
            vec![runs(), waits_at(19.1), ends(End::Done)],
            vec![OlderAnswer],
        ),
        (
            "within the lag",
            vec![runs(), waits_at(18.9), ends(End::Done)],
            vec![],
        ),
        (
            "nobody had called it running",
            vec![waits_at(19.1), ends(End::Done)],
            vec![],
        ),
        (
            "it was stopped then",
            vec![runs(), waits_at(19.1), ends(End::Stopped)],
            vec![],
        ),
        (
            "its lease ended",
            vec![runs(), waits_at(19.1), ends(End::Lapsed)],
            vec![],
        ),
        (
            "its machine was gone",
            vec![runs(), waits_at(19.1), ends(End::Gone)],
            vec![],
        ),
        (
            "another attempt runs now",
            vec![
                runs(),
                (17.0, ended("m1", 0, End::Error)),
                (18.0, started("m1", 0)),
                waits_at(25.0),
                ends(End::Done),
            ],
            vec![],
        ),
        (
            "its machine could not be reached",
            vec![runs(), struck(17.0), waits_at(25.0), ends(End::Done)],
            vec![],
        ),
        (
            "its machine had been struck before it began",
            vec![struck(14.0), runs(), waits_at(25.0), ends(End::Done)],
            vec![OlderAnswer],
        ),
    ];
    for (name, then, wanted) in cases {
        assert_eq!(broken_at(&then), wanted, "{name}");
    }
}

#[test]
fn histories_without_questions_are_read_as_before() {
    // Guards against archives of earlier versions that can't be judged again.
    let line = r#"{"t":1.0,"what":"polled","job":"req-1","status":200,"stage":"done"}"#;
    let event: Event = serde_json::from_str(line).unwrap();
    assert_eq!(event.what, polled(200, Some(JobStage::Done)));
    assert_eq!(serde_json::to_string(&event).unwrap(), line);
}
