//! Submissions that must not be accepted, at every controller in every state.

use std::collections::BTreeSet;

use umbersail_rehearsal::Scenario;
use umbersail_rehearsal::history::{Event, EventKind};

use crate::harness::{each, failure, keeps_the_rules, seeds, shop};

/// The trouble begins then; what a controller can't decide by then it may leave open until
/// so long after its end.
const FROM_S: f64 = 40.0;
const SETTLED_S: f64 = 12.0;
/// An answer at once, in seconds.
const AT_ONCE_S: f64 = 1.0;
/// Bodies that name no job: nothing has to be read to refuse them.
const NAMELESS: [&str; 5] = [
    "no id",
    "id is a list",
    "an id of another form",
    "a list",
    "nothing at all",
];

/// The trouble that the submissions meet, which controllers it touches, and for how long.
struct Case {
    what: Option<&'static str>,
    who: &'static str,
    for_s: f64,
}

const CASES: [Case; 5] = [
    Case {
        what: None,
        who: "",
        for_s: 0.0,
    },
    Case {
        what: Some("controller-isolated"),
        who: "leader",
        for_s: 20.0,
    },
    Case {
        what: Some("state-refuses"),
        who: "2",
        for_s: 20.0,
    },
    Case {
        what: Some("state-down"),
        who: "",
        for_s: 20.0,
    },
    Case {
        what: Some("controller-crash"),
        who: "all",
        for_s: 0.0,
    },
];

fn night(case: &Case) -> Scenario {
    let who = match case.who {
        "" => String::new(),
        who => format!("who = \"{who}\""),
    };
    let trouble = case
        .what
        .map(|what| failure(what, FROM_S, case.for_s, &who));
    let odd = failure("odd-requests", 5.0, 105.0, "");
    let mut night = shop(110.0, &(odd + &trouble.unwrap_or_default()));
    night.objectives.clear();
    night
}

/// One answer to a submission that must not be accepted.
struct Answer<'a> {
    t: f64,
    defect: &'a str,
    wanted: u16,
    status: u16,
    says_why: bool,
    node: usize,
    sent_s: f64,
}

fn answers<'a>(events: &'a [Event]) -> Vec<Answer<'a>> {
    let answer = |event: &'a Event| match &event.what {
        EventKind::InvalidSubmission {
            defect,
            wanted,
            status,
            says_why,
            node,
            sent_s,
            ..
        } => Some((defect.as_str(), *wanted, *status, *says_why, *node, *sent_s)),
        _ => None,
    };
    let all = events.iter().filter_map(|event| {
        let (defect, wanted, status, says_why, node, sent_s) = answer(event)?;
        Some(Answer {
            t: event.t,
            defect,
            wanted,
            status,
            says_why,
            node,
            sent_s,
        })
    });
    all.collect()
}

/// Each is refused at once with its status and the reason. While a controller may be in
/// trouble it may also say that it can't decide, or nothing; but then nothing else.
fn assert_refused(case: &Case, answer: &Answer<'_>) {
    let Answer {
        t,
        defect,
        wanted,
        status,
        node,
        ..
    } = answer;
    let until = FROM_S + case.for_s + SETTLED_S;
    let is_troubled = case.what.is_some() && *t >= FROM_S && answer.sent_s < until;
    let told = format!("{defect} at {node}, {t} s: {status}, not {wanted}");
    if *status == *wanted {
        assert!(answer.says_why, "{told}: without a reason");
        assert!(
            t - answer.sent_s < AT_ONCE_S,
            "{told}: after {} s",
            t - answer.sent_s
        );
        return;
    }
    assert!(is_troubled, "{told}");
    let undecided = *status == 503 && !NAMELESS.contains(defect);
    assert!(*status == 0 || undecided, "{told}");
}

#[test]
fn what_can_never_run_or_lacks_a_field_is_refused_by_every_controller_in_every_state() {
    // Guards against a controller that accepts what it can't look up just then, or that
    // refuses what it knows.
    let cases: Vec<(&Case, u64)> = CASES
        .iter()
        .flat_map(|case| seeds(1).into_iter().map(move |seed| (case, seed)))
        .collect();
    each(&cases, |(case, seed)| {
        let outcomes = keeps_the_rules(&night(case), &[*seed]);
        let answers = answers(&outcomes[0].events);
        answers
            .iter()
            .for_each(|answer| assert_refused(case, answer));
        let asked: BTreeSet<(usize, &str)> = answers
            .iter()
            .filter(|a| a.status == a.wanted)
            .map(|a| (a.node, a.defect))
            .collect();
        assert!(asked.len() >= 100, "{} kinds and controllers", asked.len());
        let within = |a: &&Answer<'_>| a.t >= FROM_S && a.t < FROM_S + case.for_s.max(5.0);
        let met = answers.iter().filter(within).count();
        assert!(met >= 10, "{met} submissions in the trouble");
    });
}
