//! A leader ends while machines with long tasks are unreachable, or deaf to its
//! successor. What is on them is not started a second time before each is accounted
//! for, whether the machine comes back before its lease ends, at that moment, or
//! after.

use umbersail_rehearsal::history::EndReason;
use umbersail_rehearsal::{Outcome, Scenario};

use crate::harness::{Attempt, attempts, begins_at, holds, seeds, shop, struck};

/// When the leader ends, in seconds.
const LEADER_ENDS_S: f64 = 60.0;

/// The small shop, whose tasks of one class are long. `count` machines are in
/// trouble from `from_s` after the leader's end on (before it, if negative).
fn met_with(trouble: &str, from_s: f64, for_s: f64, back_s: f64) -> Scenario {
    let at_s = LEADER_ENDS_S + from_s;
    let failures = format!(
        "[[failures]]\nwhat = \"{trouble}\"\nat_s = {at_s}\nfor_s = {for_s}\ncount = 6\n\
         [[failures]]\nwhat = \"controller-crash\"\nat_s = {LEADER_ENDS_S}\n\
         who = \"leader\"\nback_s = {back_s}\n"
    );
    let mut night = shop(110.0, &failures);
    for class in &mut night.classes {
        class.cancelled = 0.0;
        if class.name == "translations" {
            (class.run_s, class.checkpoint_s) = (70.0, 0.0);
            class.at_start = 8;
        }
    }
    night
}

/// What became of the attempts that ran on machines in trouble as the leader ended
/// or, if that was before, as the trouble began.
#[derive(Debug, Default)]
struct Met {
    /// Still on their machine after its trouble.
    went_on: usize,
    lapsed: usize,
    /// Of those that lapsed, started elsewhere afterwards.
    again: usize,
}

fn meeting(outcome: &Outcome, trouble: &str) -> Met {
    let mut met = Met::default();
    let ended = begins_at(&outcome.events, "controller-crash");
    let all = attempts(&outcome.events);
    for (from, until, machine) in struck(&outcome.events, trouble) {
        let moment = from.max(ended[0]);
        assert!(moment < until, "the leader ends during the trouble");
        for attempt in all.iter().filter(|a| a.is_on(machine, moment)) {
            let same = |a: &&Attempt| (&a.job, a.task) == (&attempt.job, attempt.task);
            let elsewhere = |a: &&Attempt| a.from >= attempt.to && a.machine != machine;
            if attempt.to > until {
                met.went_on += 1;
            } else if attempt.how == Some(EndReason::Lapsed) {
                met.lapsed += 1;
                met.again += usize::from(all.iter().filter(same).any(|a| elsewhere(&a)));
            }
        }
    }
    met
}

/// Plays the meeting for each of these lengths of the trouble, in seconds, and says
/// what became of the tasks in all nights of each.
fn play(trouble: &str, from_s: f64, lengths_s: &[f64], back_s: f64) -> Vec<Met> {
    let play = |for_s: &f64| {
        let night = met_with(trouble, from_s, *for_s, back_s);
        let mut sum = Met::default();
        for outcome in holds(&night, &seeds(1)) {
            let met = meeting(&outcome, trouble);
            sum.went_on += met.went_on;
            sum.lapsed += met.lapsed;
            sum.again += met.again;
        }
        println!("{trouble} from {from_s} s for {for_s} s: {sum:?}");
        sum
    };
    lengths_s.iter().map(play).collect()
}

/// Well within the lease of 12 s; about its end, from an answer that came up to a
/// report earlier; and around the moment at which the clock accounts for a machine:
/// the election, the 24 s for which others may have kept it, and a lease.
const BEFORE_S: [f64; 2] = [9.0, 4.0];
const AT_S: [f64; 4] = [12.0, 11.0, 11.5, 13.0];
const AFTER_S: [f64; 5] = [40.0, 20.0, 30.0, 36.0, 55.0];

/// The first of each, or all where the wide range of seeds is played.
fn offsets(all: &[f64]) -> &[f64] {
    match seeds(0).is_empty() {
        true => &all[..1],
        false => all,
    }
}

/// `begins_s`: from when on the machines are in trouble, from the leader's end on.
fn each_offset(trouble: &str, begins_s: &[f64], back_s: f64) {
    for from_s in offsets(begins_s) {
        for met in play(trouble, *from_s, offsets(&BEFORE_S), back_s) {
            assert!(met.went_on > 0 && met.lapsed == 0, "{met:?}");
        }
        for met in play(trouble, *from_s, offsets(&AT_S), back_s) {
            assert!(met.went_on + met.lapsed > 0, "{met:?}");
        }
        for met in play(trouble, *from_s, offsets(&AFTER_S), back_s) {
            assert!(met.went_on == 0 && met.again > 0, "{met:?}");
        }
    }
}

#[test]
fn a_leader_ends_while_machines_are_cut_off() {
    // Guards against a successor that takes silence for an end.
    each_offset("machines-cut", &[-2.0, -3.5, -0.5], 4.0);
}

#[test]
fn machines_are_cut_off_in_the_moment_of_the_election() {
    // Guards against a successor that counts the lease from its election, although
    // peers kept the machine later.
    each_offset("machines-cut", &[2.0, 0.5, 4.0, 5.0, 8.0], 0.2);
}

#[test]
fn a_leader_ends_while_machines_hang() {
    // Guards against a machine that goes on with what runs elsewhere by now.
    each_offset("machines-hang", &[-2.0, -0.5, 4.0, 6.0], 0.2);
}

#[test]
fn a_leader_ends_while_machines_hear_nothing() {
    // Guards against reports under an old token that are taken for a hold on the
    // machine, which the successor's token never reached.
    each_offset("machines-deaf", &[-1.0, 2.0, 4.0, 6.0], 4.0);
}
