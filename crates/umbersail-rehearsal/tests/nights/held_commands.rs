//! Direct commands are held up for seconds and reach machines that go on: with a
//! token, or for a session, that has passed by then, and with the one that stands.

use std::collections::BTreeMap;

use umbersail_rehearsal::history::{CommandFreshness, Event, EventKind};

use crate::harness::{holds, seeds, shop, struck};

/// Commands are held for so long, in seconds. The shortest raise the token of a machine
/// before a reply does, the longest come after its session.
const LEAST_S: f64 = 0.3;
const MOST_S: f64 = 20.0;
/// A controller waits so long for an answer to a command, in seconds.
const GIVES_UP_S: f64 = 2.0;

/// Whether whoever sent a command still waited, and whether its machine hung.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum When {
    Awaited,
    GivenUp,
    AfterAHang,
}

/// Commands that came late: when, to which machine, held for how long, the status
/// of the answer, and how they stood.
fn late_commands<'a>(events: &'a [Event]) -> Vec<(f64, &'a str, f64, u16, CommandFreshness)> {
    let late = |e: &'a Event| match &e.what {
        EventKind::LateCommand {
            machine,
            held_s,
            status,
            how,
            ..
        } => Some((e.t, machine.as_str(), *held_s, *status, *how)),
        _ => None,
    };
    events.iter().filter_map(late).collect()
}

/// Commands of a leader that came after those of a later one had.
fn of_former_leaders(events: &[Event]) -> usize {
    let is_one = |e: &&Event| {
        matches!(
            &e.what,
            EventKind::LateCommand {
                sees_newer_leader: true,
                ..
            }
        )
    };
    events.iter().filter(is_one).count()
}

#[test]
fn a_command_held_for_seconds_reaches_a_machine_that_hung() {
    // Guards against a command of a former leader, or for a session that is over,
    // that changes what runs, and against an answer to one that was given up which
    // is taken for news of the machine.
    let mut failures = String::from(
        "[[failures]]\nwhat = \"commands-late\"\nat_s = 30\nfor_s = 110\nfrom_s = 0.3\nto_s = 20\n",
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
    let mut met: BTreeMap<(CommandFreshness, When), usize> = BTreeMap::new();
    let mut of_former = 0;
    for outcome in holds(&shop(150.0, &failures), &seeds(4)) {
        of_former += of_former_leaders(&outcome.events);
        let hung = struck(&outcome.events, "machines-hang");
        for (t, machine, held_s, status, how) in late_commands(&outcome.events) {
            assert!((LEAST_S..=MOST_S).contains(&held_s));
            let obeyed = matches!(
                how,
                CommandFreshness::HigherToken | CommandFreshness::SameToken
            );
            assert_eq!(status, if obeyed { 200 } else { 409 }, "{how:?}");
            // It came before the hang or during it, and was carried out as the machine
            // went on or after that.
            let over_a_hang = |(_, until, name): &(f64, f64, &str)| {
                *name == machine && (t - held_s..=t).contains(until)
            };
            let when = match () {
                () if held_s <= GIVES_UP_S => When::Awaited,
                () if hung.iter().any(over_a_hang) => When::AfterAHang,
                () => When::GivenUp,
            };
            *met.entry((how, when)).or_default() += 1;
        }
    }
    println!("{met:?}; {of_former} of leaders before");
    assert!(of_former > 10, "{of_former}");
    for how in [
        CommandFreshness::SameToken,
        CommandFreshness::StaleToken,
        CommandFreshness::StaleSession,
    ] {
        for when in [When::GivenUp, When::AfterAHang] {
            assert!(
                met.contains_key(&(how, when)),
                "none {how:?} {when:?}: {met:?}"
            );
        }
    }
    assert!(
        met.keys()
            .any(|(how, _)| *how == CommandFreshness::HigherToken),
        "{met:?}"
    );
}
