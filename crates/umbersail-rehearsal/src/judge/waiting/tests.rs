//! Jobs that are left waiting, and those that only look as if they were.

use super::*;
use crate::bundled::bundled;
use umbersail_wire::{JobKind, Priority};

/// What became of the one job of a small history, up to so many seconds.
struct Case {
    spec: JobSpec,
    cpus_max: f64,
    /// What happens, and when; the machine "m1", in the north, and not a spot
    /// machine, is up from the start.
    then: Vec<(f64, What)>,
    until_s: f64,
}

fn case(then: Vec<(f64, What)>) -> Case {
    Case {
        spec: spec(),
        cpus_max: 0.0,
        then,
        until_s: 120.0,
    }
}

fn spec() -> JobSpec {
    JobSpec {
        id: "req-1".into(),
        class: "pages".into(),
        team: "kitchen".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks: 2,
        cpus: 10.0,
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

/// A job of the same team that is neither accepted nor counted.
fn other() -> What {
    let spec = Box::new(JobSpec {
        id: "req-2".into(),
        cpus: 8.0,
        ..spec()
    });
    What::Asked { spec }
}

fn rented(machine: &str, zone: &str, spot: bool) -> What {
    What::Rented {
        machine: machine.into(),
        kind: "box".into(),
        zone: zone.into(),
        spot,
    }
}

fn launched(job: &str) -> What {
    What::Launched {
        machine: "m1".into(),
        job: job.into(),
        task: 0,
        attempt: 1,
    }
}

fn started(job: &str) -> What {
    What::Started {
        machine: "m1".into(),
        job: job.into(),
        task: 0,
        attempt: 1,
    }
}

fn withdrawn() -> What {
    What::Withdrawn {
        machine: "m1".into(),
        job: "req-1".into(),
        task: 0,
        attempt: 1,
    }
}

fn ended(how: End) -> What {
    ended_of("req-1", how)
}

fn ended_of(job: &str, how: End) -> What {
    What::Ended {
        machine: "m1".into(),
        job: job.into(),
        task: 0,
        attempt: 1,
        how,
        useful_s: 1.0,
    }
}

/// When the job was found to have been left waiting; troubles end at 20 s.
fn left_at(case: Case) -> Vec<f64> {
    let text = bundled("zone-power-loss-cold-caches").unwrap();
    let mut night = Scenario::parse("test", text).unwrap();
    night.teams[0].cpus_max = case.cpus_max;
    night.failures.truncate(1);
    (night.failures[0].at_s, night.failures[0].back_s) = (20.0, None);
    assert!((night.faults_over_s() - 20.0).abs() < 1e-9);
    let up = |machine: &str| What::Up {
        machine: machine.into(),
    };
    let mut all = vec![
        (0.0, rented("m1", "north", false)),
        (0.0, up("m1")),
        (
            0.0,
            What::Asked {
                spec: Box::new(case.spec),
            },
        ),
        (
            0.0,
            What::Accepted {
                job: "req-1".into(),
                after_s: 0.1,
                question: None,
            },
        ),
        (0.0, other()),
    ];
    all.extend(case.then);
    for second in 1..=case.until_s as u32 {
        let level = What::Level {
            cpus: 0.0,
            waiting: 0,
            ordinary: 0,
            spot: 0,
            spent: 0.0,
        };
        all.push((f64::from(second), level));
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let events = all.into_iter().map(|(t, what)| Event { t, what });
    let events: Vec<Event> = events.collect();
    judged(&night, &events).iter().map(|l| l.t).collect()
}

#[test]
fn a_job_beside_a_machine_with_room_was_left_waiting_90_s_after_all_troubles() {
    assert_eq!(left_at(case(vec![])), [110.0]);
    let short = Case {
        until_s: 109.0,
        ..case(vec![])
    };
    assert!(left_at(short).is_empty());
}

#[test]
fn the_wait_counts_from_when_nothing_of_the_job_is_on_a_machine() {
    let lost = vec![
        (1.0, launched("req-1")),
        (2.0, started("req-1")),
        (25.5, ended(End::Gone)),
    ];
    // Its own place counts as free 10 s later.
    let until = |then| Case {
        until_s: 150.0,
        ..case(then)
    };
    assert_eq!(left_at(until(lost.clone())), [126.0]);
    let half_done = vec![
        (1.0, launched("req-1")),
        (2.0, started("req-1")),
        (25.5, ended(End::Done)),
    ];
    assert_eq!(left_at(until(half_done)), [126.0]);
    let runs = lost[..2].to_vec();
    assert!(left_at(until(runs)).is_empty());
}

#[test]
fn a_place_that_is_filled_again_and_again_is_no_room() {
    // The other job's tasks follow one another, with three seconds between them.
    let mut then = Vec::new();
    for n in 0..20 {
        let at = 1.0 + 8.0 * f64::from(n);
        then.push((at, launched("req-2")));
        then.push((at + 5.0, ended_of("req-2", End::Done)));
    }
    let busy = Case {
        until_s: 150.0,
        ..case(then.clone())
    };
    assert!(left_at(busy).is_empty());
    // Until nobody fills it any more.
    then.truncate(2);
    assert_eq!(left_at(case(then)), [110.0]);
}

#[test]
fn a_fetch_is_no_wait_for_room_and_no_end_of_it() {
    let fetches = vec![(1.0, launched("req-1"))];
    assert!(left_at(case(fetches)).is_empty());
    // It waits from 20 s on, is fetched for in vain, and waits again.
    let given_up = vec![(30.0, launched("req-1")), (40.0, withdrawn())];
    assert_eq!(left_at(case(given_up)), [110.0]);
}

#[test]
fn who_is_cancelled_refused_or_never_accepted_is_not_left_waiting() {
    let asked = What::CancelAsked {
        job: "req-1".into(),
    };
    assert!(left_at(case(vec![(50.0, asked)])).is_empty());
    let refused = What::Refused {
        job: "req-1".into(),
        status: 0,
    };
    assert!(left_at(case(vec![(1.0, refused)])).is_empty());
    // The other job, which nobody accepted, waits all along.
    assert_eq!(left_at(case(vec![])).len(), 1);
}

#[test]
fn no_room_is_what_is_used_fetched_for_gone_struck_or_not_allowed() {
    let used = vec![(1.0, launched("req-2")), (2.0, started("req-2"))];
    assert!(left_at(case(used)).is_empty());
    let fetched_for = vec![(1.0, launched("req-2"))];
    assert!(left_at(case(fetched_for)).is_empty());
    let gone = What::MachineGone {
        machine: "m1".into(),
        why: "deleted".into(),
    };
    assert!(left_at(case(vec![(50.0, gone)])).is_empty());
    let struck = What::Struck {
        machine: "m1".into(),
        trouble: "machines-hang".into(),
        for_s: 60.0,
    };
    assert!(left_at(case(vec![(10.0, struck)])).is_empty());
    let not_allowed: [fn(&mut JobSpec); 4] = [
        |spec| spec.zone = Some("south".into()),
        |spec| spec.types = Some(vec!["chest".into()]),
        |spec| spec.cpus = 17.0,
        |spec| spec.memory_gb = 65.0,
    ];
    for change in not_allowed {
        let mut elsewhere = case(vec![]);
        change(&mut elsewhere.spec);
        assert!(left_at(elsewhere).is_empty());
    }
}

#[test]
fn spot_machines_have_room_for_jobs_that_may_use_them() {
    let spot = |allowed| {
        let mut spot = case(vec![(0.5, rented("m1", "north", true))]);
        let up = What::Up {
            machine: "m1".into(),
        };
        spot.then.push((0.6, up));
        spot.spec.spot = Some(allowed);
        spot
    };
    assert!(left_at(spot(false)).is_empty());
    assert_eq!(left_at(spot(true)), [110.0]);
}

#[test]
fn a_team_at_its_limit_leaves_nobody_waiting() {
    let limited = |cpus_max| Case {
        cpus_max,
        ..case(vec![(1.0, rented("m2", "north", false))])
    };
    assert_eq!(left_at(limited(10.0)), [110.0]);
    assert!(left_at(limited(9.0)).is_empty());
    let mut shared = limited(17.0);
    shared.then.push((3.0, launched("req-2")));
    assert!(left_at(shared).is_empty());
}

#[test]
fn the_calendar_holds_a_step_until_the_one_before_has_ended_or_all_is_due() {
    let text = bundled("calendar-runs-leader-changes").unwrap();
    let mut night = Scenario::parse("test", text).unwrap();
    night.failures.clear();
    night.runs.truncate(1);
    let run = &night.runs[0];
    let (name, due_s) = (run.name.clone(), run.due_s);
    let mut tracker = tracker(&night);
    for (id, step) in [("req-1", 1), ("req-2", 0)] {
        tracker.see(&Event {
            t: 0.0,
            what: What::OfRun {
                run: name.clone(),
                opens_s: 10.0,
                step,
                job: id.into(),
            },
        });
        tracker.asked(&JobSpec {
            id: id.into(),
            tasks: 1,
            ..spec()
        });
    }
    assert!(tracker.is_held("req-1", 50.0) && !tracker.is_held("req-2", 50.0));
    assert!(!tracker.is_held("req-1", 10.0 + due_s + 2.0));
    tracker.see(&Event {
        t: 60.0,
        what: What::Ended {
            machine: "m1".into(),
            job: "req-2".into(),
            task: 0,
            attempt: 1,
            how: End::Done,
            useful_s: 1.0,
        },
    });
    assert!(!tracker.is_held("req-1", 60.0));
}
