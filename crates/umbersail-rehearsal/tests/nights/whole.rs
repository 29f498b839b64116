//! Whole nights. Each test names the failure that it guards against.

use umbersail_rehearsal::history::EventKind;
use umbersail_rehearsal::{Rule, Scenario, bundled};

use crate::harness::{holds, night, played, shop};

#[test]
fn the_same_seed_gives_the_same_night_and_another_another() {
    // Guards against time, chance or hash order of the machine leaking in.
    let night = night("zone-power-loss-cold-caches");
    let once = played(&night, 7);
    assert_eq!(once.hash, played(&night, 7).hash);
    assert_ne!(once.hash, played(&night, 8).hash);
}

#[test]
fn a_worker_that_dies_in_the_middle_of_a_job_costs_nobody_a_job() {
    // Guards against tasks that are forgotten with their machine.
    let failures = "[[failures]]\nwhat = \"worker-dies-mid-job\"\nat_s = 40\ncount = 2\n";
    let outcomes = holds(&shop(150.0, failures), &[1, 2]);
    assert!(
        outcomes.iter().all(|o| o.figures.lost > 0),
        "a task was lost with it"
    );
}

#[test]
fn all_controllers_end_in_an_outage_of_the_state_service() {
    // Guards against a service that does not come back by itself.
    let failures = "[[failures]]\nwhat = \"state-down\"\nat_s = 60\nfor_s = 30\n\
        [[failures]]\nwhat = \"controller-crash\"\nat_s = 70\nwho = \"all\"\n";
    holds(&shop(150.0, failures), &[1, 2]);
}

#[test]
fn zones_that_lose_each_other_get_their_packets_late() {
    // Guards against commands, reports and transactions that arrive late.
    let failures = "[[failures]]\nwhat = \"zones-apart\"\nat_s = 50\nfor_s = 25\n\
        [[failures]]\nwhat = \"controller-cut-from-state\"\nat_s = 90\nfor_s = 20\nwho = \"leader\"\n";
    holds(&shop(150.0, failures), &[1, 2, 3]);
}

#[test]
fn a_slow_leader_and_then_another() {
    // Guards against what a hunt found: tasks that ran twice when a slow leader
    // was followed by another.
    let mut failures = String::new();
    for at in [40, 65, 90, 115] {
        let slow = "what = \"controller-slow\"\nfor_s = 12\nwho = \"leader\"\ntimes = 300\n";
        let frozen = "what = \"controller-freezes\"\nfor_s = 14\nwho = \"leader\"\n";
        failures += &format!("[[failures]]\nat_s = {at}\n{slow}");
        failures += &format!("[[failures]]\nat_s = {}\n{frozen}", at + 6);
    }
    holds(&shop(160.0, &failures), &[1, 2, 3, 4]);
}

#[test]
fn deaf_machines_lose_what_they_run_and_work_again_when_they_hear() {
    // Guards against a trouble that troubles nobody: reports arrive, so that only
    // the machines' own leases end what is on them.
    let failures = "[[failures]]\nwhat = \"machines-deaf\"\nat_s = 40\nfor_s = 50\ncount = 4\n";
    let outcomes = holds(&shop(150.0, failures), &[1, 2]);
    let lapsed: usize = outcomes.iter().map(|o| o.figures.lapsed).sum();
    assert!(lapsed > 0, "no task was killed by its lease");
}

#[test]
fn a_controller_that_is_isolated_with_its_workers_breaks_no_rule() {
    // Guards against a leader that counts its own answers for more than its key.
    let mut failures = String::new();
    for at in [40, 80, 120] {
        let what = "what = \"controller-isolated\"\nfor_s = 25\nwho = \"leader\"\n";
        failures += &format!("[[failures]]\nat_s = {at}\n{what}");
    }
    holds(&shop(150.0, &failures), &[1, 2, 3]);
}

#[test]
fn what_is_back_within_a_fraction_of_a_second_is_back_under_its_name() {
    // Guards against ends that are played as lasting ones, and against an election
    // in which everybody starts anew.
    let mut failures = String::from(
        "[[failures]]\nwhat = \"machines-stop\"\nat_s = 50\ncount = 3\nback_s = 0.3\n",
    );
    for (at, who) in [(60.0, "leader"), (60.7, "all"), (61.4, "leader")] {
        let what = "what = \"controller-crash\"\nback_s = 0.2\n";
        failures += &format!("[[failures]]\nat_s = {at}\nwho = \"{who}\"\n{what}");
    }
    for outcome in holds(&shop(150.0, &failures), &[1, 2]) {
        let up: Vec<(f64, &str)> = outcome
            .events
            .iter()
            .filter_map(|e| match &e.what {
                EventKind::Up { machine } => Some((e.t, machine.as_str())),
                _ => None,
            })
            .collect();
        let again = |at: f64, name: &str| up.iter().any(|(t, n)| *n == name && *t < at);
        let back: Vec<_> = up.iter().filter(|(t, name)| again(*t, name)).collect();
        assert_eq!(back.len(), 3);
        assert!(
            back.iter().all(|(t, _)| (t - 50.3).abs() < 1e-3),
            "{back:?}"
        );
    }
}

#[test]
fn a_night_goes_on_until_silence_after_its_last_trouble_would_show() {
    // Guards against a check that can't fail since the night ends before it.
    let failures =
        "[[failures]]\nwhat = \"controller-cut\"\nat_s = 20\nfor_s = 1000\nwho = \"all\"\n";
    let mut night = shop(30.0, failures);
    (night.drain_s, night.failures[0].for_s) = (60.0, 50.0);
    assert!((night.ends_s() - 160.0).abs() < 1e-9);
    // All controllers end for longer than the night lasts: nobody is answered.
    night.failures[0].what = umbersail_rehearsal::Fault::ControllerCrash;
    night.failures[0].back_s = Some(70.0);
    night.controllers.back_s = 600.0;
    assert!((night.ends_s() - 180.0).abs() < 1e-9);
    let figures = played(&night, 1).figures;
    assert!(figures.breaches.is_empty(), "{:?}", figures.breaches[0]);
    assert!(
        figures.answers.longest_gap_s > 60.0,
        "{:?}",
        figures.answers
    );
    assert!(figures.answers.unanswered > 0 && figures.answers.unanswered < figures.answers.polls);
}

#[test]
fn a_night_that_contradicts_itself_is_refused_with_file_key_and_reason() {
    // Guards against a rehearsal of something that nobody meant.
    let text = bundled("zone-power-loss-cold-caches").unwrap();
    let refused = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        Scenario::parse("n.toml", &text.replacen(from, to, 1))
            .unwrap_err()
            .to_string()
    };
    for (from, to, wanted) in [
        (
            "spread = true",
            "spread = true\ntogether = true",
            "n.toml: classes.1.spread: contradicts",
        ),
        (
            "team = \"kitchen\"",
            "team = \"chicken\"",
            "n.toml: classes.0.team: no team",
        ),
        (
            "zone = \"south\"",
            "zone = \"east\"",
            "n.toml: failures.1.zone: no such zone",
        ),
        ("length_s = 420", "length_s = -1", "n.toml: length_s: "),
        ("length_s = 420", "lenght_s = 420", "n.toml: top: "),
        (
            "cpus = 16\n",
            "cpus = 1\n",
            "n.toml: classes.0.cpus: a task fits no machine",
        ),
        (
            "what = \"power-cut\"",
            "what = \"flood\"",
            "n.toml: failures.1.what: ",
        ),
        (
            "what = \"power-cut\"",
            "what = \"power-cut\"\nback_s = 0.3",
            "n.toml: failures.1.back_s: nothing ends",
        ),
        (
            "what = \"power-cut\"",
            "what = \"reports-late\"\nfrom_s = 9\nto_s = 3",
            "n.toml: failures.1.to_s: is less",
        ),
        (
            "what = \"power-cut\"",
            "what = \"late-writes\"",
            "n.toml: failures.1.share: is missing",
        ),
        (
            "what = \"power-cut\"",
            "what = \"late-writes\"\nshare = 1.5",
            "n.toml: failures.1.share: ",
        ),
        (
            "what = \"power-cut\"",
            "what = \"late-writes\"\nshare = -0.1",
            "n.toml: failures.1.share: ",
        ),
        ("at_s = 120", "at_s = -1", "n.toml: failures.1.at_s: "),
        (
            "what = \"power-cut\"",
            "what = \"commands-late\"\nfrom_s = 9\nto_s = 3",
            "n.toml: failures.1.to_s: is less",
        ),
        (
            "what = \"power-cut\"",
            "what = \"commands-late\"\nfrom_s = 9",
            "n.toml: failures.1.to_s: is missing",
        ),
        (
            "what = \"power-cut\"",
            "what = \"commands-late\"\nfrom_s = -1\nto_s = 3",
            "n.toml: failures.1.from_s: -1 is less",
        ),
        (
            "what = \"power-cut\"",
            "what = \"commands-late\"\nfrom_s = 1\nto_s = 3\nshare = 1.01",
            "n.toml: failures.1.share: 1.01 is greater",
        ),
        (
            "what = \"power-cut\"",
            "what = \"commands-late\"\nfrom_s = 1\nto_s = 3\nshare = -0.01",
            "n.toml: failures.1.share: -0.01 is less",
        ),
        (
            "at_s = 120",
            "at_s = -0.5",
            "n.toml: failures.1.at_s: -0.5 is less",
        ),
        (
            "for_s = 45",
            "for_s = -45",
            "n.toml: failures.1.for_s: -45 is less",
        ),
        ("for_s = 45", "for_s = nan", "n.toml: failures.1.for_s: "),
        (
            "count = 2\n",
            "count = -2\n",
            "n.toml: failures.4.count: -2 is less",
        ),
        (
            "checkpoint_s = 10",
            "checkpoint_s = -10",
            "n.toml: classes.1.checkpoint_s: -10 is less",
        ),
        (
            "deadline_s = 90",
            "deadline_s = -90",
            "n.toml: classes.0.deadline_s: -90 is less",
        ),
        (
            "share = 0.9",
            "share = 1.9",
            "n.toml: aims.0.share: is not from 0 to 1",
        ),
        (
            "share = 0.9",
            "share = 0.9\ntimes = -1",
            "n.toml: aims.0.times: is negative",
        ),
        ("length_s = 420", "length_s = ", "n.toml: line "),
    ] {
        let line = refused(from, to);
        assert!(line.starts_with(wanted), "{line}");
        assert!(!line.contains('\n'), "{line}");
    }
}

#[test]
fn every_bundled_night_can_be_read_and_says_what_it_is() {
    // Guards against a bundled file that only its author can play.
    for umbersail_rehearsal::Bundled { name, text, .. } in umbersail_rehearsal::BUNDLED {
        let night = Scenario::parse(name, text).unwrap();
        assert!(
            !night.title.is_empty() && night.failures.len() >= 5,
            "{name}"
        );
    }
}

#[test]
fn a_cluster_that_starts_nothing_is_told() {
    // Guards against a green night in which nothing happened.
    let mut empty = shop(20.0, "");
    empty.drain_s = 10.0;
    for class in &mut empty.classes {
        (class.per_minute, class.at_start) = (0.0, 0);
    }
    let rules: Vec<Rule> = played(&empty, 1)
        .figures
        .breaches
        .iter()
        .map(|b| b.rule)
        .collect();
    assert_eq!(rules, [Rule::NothingRan]);
}

#[test]
fn a_night_that_takes_more_processor_time_than_it_has_fails_though_no_rule_is_broken() {
    // Guards against work that grows with the fleet and that nobody notices as
    // long as the tasks end somehow.
    let mut night = shop(100.0, "");
    let took_s = played(&night, 1).figures.processor_s;
    assert!(took_s > 0.01);
    for (most_s, failed) in [(took_s * 1.01, false), (took_s * 0.99, true)] {
        night.controllers.processor_most_s = Some(most_s);
        let figures = played(&night, 1).figures;
        assert!(figures.breaches.is_empty());
        assert_eq!(figures.failed(), failed, "{took_s} s of {most_s} s");
    }
}
