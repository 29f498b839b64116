//! Every rule broken by what breaks it, and by nothing else.

use super::*;
use crate::history::End;
use crate::night::bundled;
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
    }
}

fn told(stage: JobStage) -> What {
    What::CancelTold {
        job: "req-1".into(),
        stage,
    }
}

/// Rules broken by a job that is accepted on two machines and then these
/// events, ten seconds apart.
fn broken(job: JobSpec, limit: f64, then: Vec<What>) -> Vec<Rule> {
    let text = bundled("power-cut-south").unwrap();
    let mut night = Night::parse("test", text).unwrap();
    night.teams[0].cpus_max = limit;
    // Its own troubles have no part in these events.
    night.failures.clear();
    let accepted = What::Accepted {
        job: "req-1".into(),
        after_s: 0.1,
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
