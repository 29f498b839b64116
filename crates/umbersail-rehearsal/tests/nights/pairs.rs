//! Any two troubles that overlap, drawn by seed. A pair that breaks a rule is made as
//! short as it gets and printed as a list of failures for a night file.

use std::sync::Mutex;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_rehearsal::{Failure, Fault, Scenario};

use crate::harness::{each, played, seeds, shop};

/// The first trouble of a pair begins then, in seconds.
const FROM_S: f64 = 40.0;
/// A trouble is no longer shortened below this, in seconds.
const SHORTEST_S: f64 = 1.0;

/// All that may meet: what troubles machines, controllers, the state service or the
/// network.
const TROUBLES: [Fault; 20] = {
    use Fault::*;
    [
        MachinesCut,
        MachinesStop,
        MachinesHang,
        MachinesDeaf,
        ReportsLate,
        PowerCut,
        ControllerCrash,
        RollingRestart,
        ControllerCut,
        ControllerSilent,
        ControllerCutFromState,
        ControllerCutFromWorkers,
        ControllerIsolated,
        StateRefuses,
        ControllerSlow,
        ControllerFreezes,
        ClockSkew,
        StateDown,
        StateSlow,
        ZonesApart,
    ]
};

/// A trouble at this time, with what it needs drawn.
fn trouble(rng: &mut ChaCha8Rng, at_s: f64) -> Failure {
    use Fault::*;
    let what = *TROUBLES.choose(rng).expect("there are some");
    // To a tenth, so that a printed list is the same night.
    let mut tenths = |from: f64, to: f64| (rng.random_range(from..to) * 10.0).round() / 10.0;
    let for_s = tenths(2.0, 45.0);
    let back_s = tenths(0.2, 8.0);
    let times = match what {
        ControllerSlow => tenths(20.0, 300.0),
        StateSlow => tenths(2.0, 60.0),
        _ => 1.0,
    };
    let (from_s, to_s) = (tenths(0.5, 3.0), tenths(4.0, 40.0));
    let share = tenths(0.2, 1.0);
    let count = rng.random_range(1..=6);
    let whom = ["leader", "leader", "leader", "all", "0", "1", "2"];
    let who = *whom.choose(rng).expect("there are some");
    let of_machines = matches!(
        what,
        MachinesCut | MachinesStop | MachinesHang | MachinesDeaf
    );
    let of_controller = matches!(
        what,
        ControllerCrash
            | ControllerCut
            | ControllerSilent
            | ControllerCutFromState
            | ControllerCutFromWorkers
            | ControllerIsolated
            | StateRefuses
            | ControllerSlow
            | ControllerFreezes
            | ClockSkew
    );
    let ends = matches!(what, ControllerCrash | RollingRestart | MachinesStop);
    let copies = what == ReportsLate;
    let slows = matches!(what, ControllerSlow | StateSlow | ClockSkew);
    Failure {
        what,
        at_s,
        for_s,
        zone: (what == PowerCut).then(|| "south".to_owned()),
        who: of_controller.then(|| who.to_owned()),
        class: None,
        times: slows.then_some(times),
        share: copies.then_some(share),
        count: of_machines.then_some(count),
        back_s: ends.then_some(back_s),
        from_s: copies.then_some(from_s),
        to_s: copies.then_some(to_s),
        at_once: false,
        for_next: None,
        job: None,
        hang_s: None,
    }
}

/// Two troubles of which the second begins while the first lasts.
fn pair(seed: u64) -> Vec<Failure> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let first = trouble(&mut rng, FROM_S);
    let offset_s = rng.random_range(0.0..first.for_s.min(20.0));
    let at_s = ((FROM_S + offset_s) * 10.0).round() / 10.0;
    let second = trouble(&mut rng, at_s);
    vec![first, second]
}

/// A shop in which tasks run for half a minute, and users cancel often.
fn night(failures: &[Failure]) -> Scenario {
    let mut night = shop(90.0, "");
    for class in &mut night.classes {
        (class.run_s, class.task_sigma, class.cancelled) = (30.0, 0.4, 0.3);
        (class.tasks, class.most) = (4.0, 12);
        (class.deadline_times, class.deadline_s) = (0.0, 0.0);
    }
    night.objectives.clear();
    night.failures = failures.to_vec();
    night
}

/// The first rule that the night breaks, or what else is wrong with it.
fn broken(failures: &[Failure], seed: u64) -> Option<String> {
    let figures = played(&night(failures), seed).figures;
    if let Some(breach) = figures.breaches.first() {
        return Some(format!("{:?}: {}", breach.rule, breach.detail));
    }
    let open = figures
        .accepted
        .saturating_sub(figures.done + figures.cancelled);
    (open > 0).then(|| format!("not done: {open} jobs"))
}

/// What is tried next: without one trouble, or with one half as long.
fn shorter(failures: &[Failure]) -> Vec<Vec<Failure>> {
    let without = (0..failures.len()).map(|n| {
        let mut fewer = failures.to_vec();
        fewer.remove(n);
        fewer
    });
    let halved = (0..failures.len()).filter_map(|n| {
        let mut brief = failures.to_vec();
        let half = (brief[n].for_s * 5.0).round() / 10.0;
        brief[n].for_s = half;
        (half >= SHORTEST_S).then_some(brief)
    });
    without.chain(halved).collect()
}

/// The shortest list found that is still broken, and how.
fn shrunk(
    failures: Vec<Failure>,
    why: String,
    broken: &dyn Fn(&[Failure]) -> Option<String>,
) -> (Vec<Failure>, String) {
    let (mut failures, mut why) = (failures, why);
    while let Some(next) = shorter(&failures)
        .into_iter()
        .find_map(|f| broken(&f).map(|why| (f, why)))
    {
        (failures, why) = next;
    }
    (failures, why)
}

/// As a night file has them.
fn listed(failures: &[Failure]) -> String {
    let one = |f: &Failure| {
        let text = toml::to_string(f).expect("a failure is a table");
        format!("[[failures]]\n{text}")
    };
    failures.iter().map(one).collect()
}

#[test]
fn any_two_troubles_that_overlap_break_no_rule() {
    // Guards against meetings that nobody has thought of.
    let found: Mutex<Vec<String>> = Mutex::default();
    each(&seeds(10), |seed| {
        let failures = pair(*seed);
        // The drawn pair is one that a night file may have.
        let text = listed(&failures);
        assert_eq!(shop(90.0, &text).failures, failures, "{text}");
        let Some(why) = broken(&failures, *seed) else {
            return;
        };
        let (least, why) = shrunk(failures, why, &|f| broken(f, *seed));
        let line = format!("seed {seed}: {why}\n{}", listed(&least));
        eprintln!("{line}");
        found.lock().unwrap().push(line);
    });
    let found = found.into_inner().unwrap();
    assert!(
        found.is_empty(),
        "{} broken:\n{}",
        found.len(),
        found.join("\n")
    );
}

#[test]
fn a_broken_list_of_troubles_is_shrunk_to_the_ones_that_break_it() {
    // Guards against a list that is printed whole although a part of it breaks, and
    // against shrinking that loses the fault.
    let mut failures: Vec<Failure> = (1..4).flat_map(pair).collect();
    failures[2].what = Fault::StateDown;
    failures[2].for_s = 40.0;
    let broken = |failures: &[Failure]| {
        let long = |f: &Failure| f.what == Fault::StateDown && f.for_s >= 9.0;
        failures.iter().any(long).then(|| "too long".to_owned())
    };
    let (least, why) = shrunk(failures, "at first".into(), &broken);
    let seen: Vec<_> = least.iter().map(|f| (f.what, f.for_s)).collect();
    assert_eq!(seen, [(Fault::StateDown, 10.0)]);
    assert_eq!(why, "too long");
    let quiet = |_: &[Failure]| None;
    let (least, why) = shrunk(pair(1), "of itself".into(), &quiet);
    assert_eq!((least.len(), why.as_str()), (2, "of itself"));
}
