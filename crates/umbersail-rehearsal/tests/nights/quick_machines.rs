//! New machines are up within two seconds and get work at once, before anybody was told
//! that they are rented and before any list names them, while writes lag; and the
//! leader ends about when it launches the first task on one.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};

use umbersail_rehearsal::history::{Event, EventKind};
use umbersail_rehearsal::{Outcome, Scenario};

use crate::harness::{begins_at, each, failure, holds, keeps_the_rules, played, seeds, shop};

/// Machines that are up at the start: all others are new.
const AT_START: usize = 2;
/// The leader's ends lie this far apart, in seconds, around the first launch.
const STEP_S: f64 = 0.1;
/// From so many steps before the launch to so many after it.
const STEPS: Range<i32> = -2..5;
/// Rentals are answered so many seconds after they were carried out.
const ANSWER_FROM_S: f64 = 1.5;
const ANSWER_TO_S: f64 = 3.5;

/// What came when of one machine.
#[derive(Debug, Default, Clone, Copy)]
struct Course {
    up: Option<f64>,
    answered: Option<f64>,
    listed: Option<f64>,
    granted: Option<f64>,
    launched: Option<f64>,
}

impl Course {
    /// Whether its first launch came before this.
    fn launched_before(&self, other: Option<f64>) -> bool {
        let Some(launched) = self.launched else {
            return false;
        };
        other.is_none_or(|other| launched < other)
    }
}

/// The first moments of each machine that was rented in the night.
fn courses(events: &[Event]) -> BTreeMap<&str, Course> {
    let rented = events.iter().filter_map(|e| match &e.what {
        EventKind::Rented { machine, .. } => Some(machine.as_str()),
        _ => None,
    });
    let names: Vec<&str> = rented.skip(AT_START).collect();
    let mut all: BTreeMap<&str, Course> =
        names.into_iter().map(|n| (n, Course::default())).collect();
    for event in events {
        let t = event.t;
        let mut set = |machine: &str, of: fn(&mut Course) -> &mut Option<f64>| {
            if let Some(course) = all.get_mut(machine) {
                of(course).get_or_insert(t);
            }
        };
        match &event.what {
            EventKind::Up { machine } => set(machine, |c| &mut c.up),
            EventKind::Listed { machine } => set(machine, |c| &mut c.listed),
            EventKind::Granted { machine } => set(machine, |c| &mut c.granted),
            EventKind::Launched { machine, .. } => set(machine, |c| &mut c.launched),
            EventKind::RentalAnswered { machines } => {
                for machine in machines {
                    set(machine, |c| &mut c.answered);
                }
            }
            _ => {}
        }
    }
    all
}

/// The first launches on new machines, in order.
fn new_launches(events: &[Event]) -> Vec<f64> {
    let courses = courses(events);
    let mut launches: Vec<f64> = courses.values().filter_map(|c| c.launched).collect();
    launches.sort_by(f64::total_cmp);
    launches
}

/// The first launch on a new machine that has had one for a second: its record goes
/// without a part of the grant.
fn later_launch(events: &[Event]) -> f64 {
    let courses = courses(events);
    let later = events.iter().find(|e| match &e.what {
        EventKind::Launched { machine, .. } => {
            let first = courses.get(machine.as_str()).and_then(|c| c.launched);
            first.is_some_and(|first| e.t > first + 1.0)
        }
        _ => false,
    });
    later.expect("a new machine gets work again").t
}

/// How many nights, played at once, met something.
#[derive(Default)]
struct Counter(AtomicUsize);

impl Counter {
    fn add(&self, met: bool) {
        self.0.fetch_add(usize::from(met), Ordering::Relaxed);
    }

    fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The small shop with two machines at the start, and new ones that are up within two
/// seconds; images are small, so that a task runs as soon as it is launched.
fn quick_shop(length_s: f64, failures: &str) -> Scenario {
    let quick = failure("boots-quick", 0.0, 2.0 * length_s, "")
        + &failure(
            "rentals-late",
            0.0,
            length_s,
            &format!("share = 1.0\nfrom_s = {ANSWER_FROM_S:?}\nto_s = {ANSWER_TO_S:?}"),
        );
    let mut night = shop(length_s, &(quick + failures));
    night.machines[0].at_start = AT_START;
    night.cloud.late = 0.0;
    night.cloud.never = 0.0;
    for class in &mut night.classes {
        class.image_gb = 0.1;
    }
    night
}

/// Writes that take so long, in tenths of a second.
fn slow_writes(for_s: f64, tenths: f64) -> String {
    failure("state-slow", 0.0, for_s, &format!("times = {tenths:?}"))
}

/// Nothing is launched on a machine that no part of the grant names: a successor would
/// not know of it.
fn grants_come_first(outcome: &Outcome) {
    for (machine, course) in courses(&outcome.events) {
        let (Some(launched), granted) = (course.launched, course.granted) else {
            continue;
        };
        assert!(
            granted.is_some_and(|granted| granted < launched),
            "seed {}: {machine}: {course:?}",
            outcome.seed
        );
    }
}

/// Machines whose first launch came in each order: before the rental's answer, before
/// any list named them, and within two seconds of being up.
fn met(outcomes: &[Outcome]) -> [usize; 3] {
    let mut met = [0; 3];
    for outcome in outcomes {
        for course in courses(&outcome.events).values() {
            let soon = |up: f64| course.launched.is_some_and(|at| at - up < 2.0);
            met[0] += usize::from(course.launched_before(course.answered));
            met[1] += usize::from(course.launched_before(course.listed));
            met[2] += usize::from(course.up.is_some_and(soon));
        }
    }
    met
}

#[test]
fn new_machines_get_work_before_their_rental_is_answered_and_before_they_are_listed() {
    // Guards against work for a machine that a successor would not know of, and against
    // one that is taken for a stranger since its report comes before all other news.
    let mut failures = slow_writes(90.0, 4.0)
        + &failure("late-writes", 8.0, 70.0, "share = 0.15")
        + &failure(
            "reports-late",
            0.0,
            80.0,
            "share = 0.3\nfrom_s = 0.3\nto_s = 15.0",
        );
    for at in [20.0, 45.0, 70.0] {
        failures += &failure(
            "controller-crash",
            at,
            0.0,
            "who = \"leader\"\nback_s = 0.5",
        );
    }
    let outcomes = holds(&quick_shop(90.0, &failures), &seeds(2));
    outcomes.iter().for_each(grants_come_first);
    let met = met(&outcomes);
    println!("first launches before the rental's answer, before a list, within 2 s: {met:?}");
    assert!(met.iter().all(|n| *n >= 3), "{met:?}");
}

#[test]
fn the_leader_ends_about_when_it_launches_the_first_task_on_a_new_machine() {
    // Guards against a launch that no record tells of, and a machine that no part of
    // the grant names, when the leader ends between the two.
    let base = |failures: &str| quick_shop(40.0, &(slow_writes(60.0, 3.0) + failures));
    let cases: Vec<(u64, f64)> = (seeds(1).into_iter())
        .flat_map(|seed| {
            let quiet = played(&base(""), seed).events;
            let moments = [new_launches(&quiet)[0], later_launch(&quiet)];
            let ends = moments.map(|t| STEPS.map(move |step| (seed, t + f64::from(step) * STEP_S)));
            ends.into_iter().flatten()
        })
        .collect();
    let (within, between) = (Counter::default(), Counter::default());
    each(&cases, |(seed, at)| {
        // What a launch reached can't be asked by the next leader for a while.
        let failures = failure(
            "controller-crash",
            *at,
            0.0,
            "who = \"leader\"\nback_s = 0.5",
        ) + &failure("machines-cut", at + 0.05, 14.0, "count = 3");
        let night = base(&failures);
        let outcomes = keeps_the_rules(&night, &[*seed]);
        outcomes.iter().for_each(grants_come_first);
        let events = &outcomes[0].events;
        let ended = begins_at(events, "controller-crash")[0];
        let just_before = |t: &f64| (0.0..STEP_S).contains(&(ended - t));
        within.add(new_launches(events).iter().any(just_before));
        let is_between = |c: &Course| {
            let granted = c.granted.is_some_and(|granted| granted < ended);
            granted && !c.launched.is_some_and(|launched| launched < ended)
        };
        between.add(courses(events).values().any(is_between));
    });
    let (within, between) = (within.get(), between.get());
    println!(
        "{} ends: {within} within {STEP_S} s after a first launch, {between} between a \
         machine's grant and its first launch",
        cases.len()
    );
    assert!(within > 0 && between > 0, "{within}, {between}");
}
