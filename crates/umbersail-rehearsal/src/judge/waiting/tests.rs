//! Jobs that are left waiting, and jobs that wait for a valid reason.

use super::*;
use crate::bundled::bundled;
use umbersail_wire::{JobKind, Priority};

/// A history with one job, up to `until_s`.
struct Case {
    spec: JobSpec,
    cpus_max: f64,
    /// Events with their times. The machine "m1" is up from the start, in the zone "north", and
    /// not a spot machine.
    then: Vec<(f64, EventKind)>,
    until_s: f64,
}

fn case(then: Vec<(f64, EventKind)>) -> Case {
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

/// Returns the submission of another job of the same team, which is never accepted.
fn other() -> EventKind {
    let spec = Box::new(JobSpec {
        id: "req-2".into(),
        cpus: 8.0,
        ..spec()
    });
    EventKind::Submitted { spec }
}

fn rented(machine: &str, zone: &str, spot: bool) -> EventKind {
    EventKind::Rented {
        machine: machine.into(),
        kind: "box".into(),
        zone: zone.into(),
        spot,
    }
}

fn launched(job: &str) -> EventKind {
    EventKind::Launched {
        machine: "m1".into(),
        job: job.into(),
        task: 0,
        attempt: 1,
    }
}

fn started(job: &str) -> EventKind {
    EventKind::Started {
        machine: "m1".into(),
        job: job.into(),
        task: 0,
        attempt: 1,
    }
}

fn withdrawn() -> EventKind {
    EventKind::Withdrawn {
        machine: "m1".into(),
        job: "req-1".into(),
        task: 0,
        attempt: 1,
    }
}

fn ended(how: EndReason) -> EventKind {
    ended_of("req-1", how)
}

fn ended_of(job: &str, how: EndReason) -> EventKind {
    EventKind::Ended {
        machine: "m1".into(),
        job: job.into(),
        task: 0,
        attempt: 1,
        how,
        useful_s: 1.0,
    }
}

/// Returns when the job was reported as left waiting. The last fault ends at 20 s.
fn left_at(case: Case) -> Vec<f64> {
    let text = bundled("zone-power-loss-cold-caches").unwrap();
    let mut night = Scenario::parse("test", text).unwrap();
    night.teams[0].cpus_max = case.cpus_max;
    night.failures.truncate(1);
    (night.failures[0].at_s, night.failures[0].back_s) = (20.0, None);
    assert!((night.faults_over_s() - 20.0).abs() < 1e-9);
    let up = |machine: &str| EventKind::Up {
        machine: machine.into(),
    };
    let mut all = vec![
        (0.0, rented("m1", "north", false)),
        (0.0, up("m1")),
        (
            0.0,
            EventKind::Submitted {
                spec: Box::new(case.spec),
            },
        ),
        (
            0.0,
            EventKind::Accepted {
                job: "req-1".into(),
                after_s: 0.1,
                question: None,
            },
        ),
        (0.0, other()),
    ];
    all.extend(case.then);
    for second in 1..=case.until_s as u32 {
        let level = EventKind::UsageSample {
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
    find_left_waiting(&night, &events)
        .iter()
        .map(|l| l.t)
        .collect()
}

#[test]
fn a_job_with_room_on_a_machine_is_left_waiting_90_s_after_all_faults() {
    assert_eq!(left_at(case(vec![])), [110.0]);
    let short = Case {
        until_s: 109.0,
        ..case(vec![])
    };
    assert!(left_at(short).is_empty());
}

#[test]
fn the_wait_starts_when_no_task_of_the_job_is_on_a_machine() {
    let lost = vec![
        (1.0, launched("req-1")),
        (2.0, started("req-1")),
        (25.5, ended(EndReason::Gone)),
    ];
    // The resources of its own task count as free 10 s after the end of the task.
    let until = |then| Case {
        until_s: 150.0,
        ..case(then)
    };
    assert_eq!(left_at(until(lost.clone())), [126.0]);
    let half_done = vec![
        (1.0, launched("req-1")),
        (2.0, started("req-1")),
        (25.5, ended(EndReason::Done)),
    ];
    assert_eq!(left_at(until(half_done)), [126.0]);
    let runs = lost[..2].to_vec();
    assert!(left_at(until(runs)).is_empty());
}

#[test]
fn resources_that_are_reused_within_seconds_are_no_room() {
    // Tasks of the other job run one after another, with three seconds between them.
    let mut then = Vec::new();
    for n in 0..20 {
        let at = 1.0 + 8.0 * f64::from(n);
        then.push((at, launched("req-2")));
        then.push((at + 5.0, ended_of("req-2", EndReason::Done)));
    }
    let busy = Case {
        until_s: 150.0,
        ..case(then.clone())
    };
    assert!(left_at(busy).is_empty());
    // The machine has room once no further task of the other job starts.
    then.truncate(2);
    assert_eq!(left_at(case(then)), [110.0]);
}

#[test]
fn an_image_fetch_neither_counts_as_waiting_nor_resets_the_wait() {
    let fetches = vec![(1.0, launched("req-1"))];
    assert!(left_at(case(fetches)).is_empty());
    // The job waits from 20 s on; its launch at 30 s is withdrawn at 40 s, and it waits on.
    let given_up = vec![(30.0, launched("req-1")), (40.0, withdrawn())];
    assert_eq!(left_at(case(given_up)), [110.0]);
}

#[test]
fn a_job_cancelled_refused_or_never_accepted_is_not_left_waiting() {
    let asked = EventKind::CancelRequested {
        job: "req-1".into(),
    };
    assert!(left_at(case(vec![(50.0, asked)])).is_empty());
    let refused = EventKind::Refused {
        job: "req-1".into(),
        status: 0,
    };
    assert!(left_at(case(vec![(1.0, refused)])).is_empty());
    // The other job, which was never accepted, is not reported.
    assert_eq!(left_at(case(vec![])).len(), 1);
}

#[test]
fn machines_used_reserved_gone_faulted_or_not_allowed_have_no_room() {
    let used = vec![(1.0, launched("req-2")), (2.0, started("req-2"))];
    assert!(left_at(case(used)).is_empty());
    let fetching = vec![(1.0, launched("req-2"))];
    assert!(left_at(case(fetching)).is_empty());
    let gone = EventKind::MachineGone {
        machine: "m1".into(),
        why: "deleted".into(),
    };
    assert!(left_at(case(vec![(50.0, gone)])).is_empty());
    let faulted = EventKind::MachineFaulted {
        machine: "m1".into(),
        fault: "machines-hang".into(),
        for_s: 60.0,
    };
    assert!(left_at(case(vec![(10.0, faulted)])).is_empty());
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
        let up = EventKind::Up {
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
fn a_job_of_a_team_at_its_quota_is_not_left_waiting() {
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
fn the_calendar_holds_a_step_until_the_preceding_one_has_ended_or_the_run_is_due() {
    let text = bundled("calendar-runs-leader-changes").unwrap();
    let mut night = Scenario::parse("test", text).unwrap();
    night.failures.clear();
    night.runs.truncate(1);
    let run = &night.runs[0];
    let (name, due_s) = (run.name.clone(), run.due_s);
    let mut tracker = tracker(&night);
    for (id, step) in [("req-1", 1), ("req-2", 0)] {
        tracker.apply(&Event {
            t: 0.0,
            what: EventKind::RunJob {
                run: name.clone(),
                opens_s: 10.0,
                step,
                job: id.into(),
            },
        });
        tracker.submitted(&JobSpec {
            id: id.into(),
            tasks: 1,
            ..spec()
        });
    }
    assert!(
        tracker.is_held_by_calendar("req-1", 50.0) && !tracker.is_held_by_calendar("req-2", 50.0)
    );
    assert!(!tracker.is_held_by_calendar("req-1", 10.0 + due_s + 2.0));
    tracker.apply(&Event {
        t: 60.0,
        what: EventKind::Ended {
            machine: "m1".into(),
            job: "req-2".into(),
            task: 0,
            attempt: 1,
            how: EndReason::Done,
            useful_s: 1.0,
        },
    });
    assert!(!tracker.is_held_by_calendar("req-1", 60.0));
}
