//! Direct commands are held up for seconds and reach machines that go on: with a
//! token, or for a session, that has passed by then, and with the one that stands.

use umbersail_rehearsal::history::{Event, Late, What};

use crate::harness::{holds, seeds, shop, struck};

/// Commands that came late: when, to which machine, held for how long, the status
/// of the answer, and how they stood.
fn late_commands<'a>(events: &'a [Event]) -> Vec<(f64, &'a str, f64, u16, Late)> {
    let late = |e: &'a Event| match &e.what {
        What::LateCommand {
            machine,
            held_s,
            status,
            how,
        } => Some((e.t, machine.as_str(), *held_s, *status, *how)),
        _ => None,
    };
    events.iter().filter_map(late).collect()
}

#[test]
fn a_command_held_for_seconds_reaches_a_machine_that_hung() {
    // Guards against a command of a former leader, or for a session that is over,
    // that changes what runs, and against an answer to one that was given up which
    // is taken for news of the machine.
    let mut failures = String::from(
        "[[failures]]\nwhat = \"commands-late\"\nat_s = 30\nfor_s = 110\nfrom_s = 2.5\nto_s = 20\n",
    );
    for (at, for_s) in [(44.0, 9.0), (74.0, 16.0), (104.0, 7.0)] {
        failures += &format!(
            "[[failures]]\nwhat = \"machines-hang\"\nat_s = {at}\nfor_s = {for_s}\ncount = 5\n"
        );
    }
    for (at, back) in [
        (46.0, 4.0),
        (53.0, 0.2),
        (62.0, 4.0),
        (76.0, 0.2),
        (84.0, 4.0),
        (106.0, 4.0),
    ] {
        failures += &format!(
            "[[failures]]\nwhat = \"controller-crash\"\nat_s = {at}\nwho = \"leader\"\nback_s = {back}\n"
        );
    }
    let outcomes = holds(&shop(150.0, &failures), &seeds(4));
    let mut met = std::collections::BTreeMap::<String, usize>::new();
    for outcome in &outcomes {
        let hung = struck(&outcome.events, "machines-hang");
        for (t, machine, held_s, status, how) in late_commands(&outcome.events) {
            assert!((2.5..=20.0).contains(&held_s));
            let obeyed = matches!(how, Late::HigherToken | Late::SameToken);
            assert_eq!(status, if obeyed { 200 } else { 409 }, "{how:?}");
            let went_on = |(from, until, name): &(f64, f64, &str)| {
                *name == machine && t >= *until && t - held_s <= *until && t - held_s > *from - 20.0
            };
            let kind = match hung.iter().any(went_on) {
                true => format!("{how:?} after a hang"),
                false => format!("{how:?}"),
            };
            *met.entry(kind).or_default() += 1;
        }
    }
    println!("{met:?}");
    for how in ["HigherToken", "SameToken", "StaleToken", "StaleSession"] {
        let all: usize = met
            .iter()
            .filter(|(k, _)| k.starts_with(how))
            .map(|(_, n)| n)
            .sum();
        assert!(all > 0, "none with {how}: {met:?}");
    }
    assert!(met.keys().any(|k| k.ends_with("after a hang")), "{met:?}");
}
