//! The gap: the state service refuses the leader alone, another controller confirms
//! cancellations, then the service is out for everybody, for longer than a task of a
//! cancelled job may live on.

use umbersail_rehearsal::{Night, Outcome};

use crate::harness::{
    begins_at, cancelled_while_running, each, failure, keeps_the_rules, seeds, shop,
};

/// When the leader is refused, and when it and everybody else is from then on, seconds.
const REFUSED_AT_S: f64 = 60.0;
const OUT_AT_S: f64 = 60.9;

/// Long tasks that users cancel all the time, and a lease that lasts for more than half
/// of what a cancellation may take.
fn night(failures: &str) -> Night {
    let mut night = shop(75.0, failures);
    night.workers.report_s = 5.0;
    night.workers.lease_s = 26.5;
    night.workers.cancel_s = 46.5;
    for class in &mut night.classes {
        class.run_s = 300.0;
        class.per_minute = 90.0;
        class.at_start = 10;
        class.tasks = 4.0;
        class.cancelled = 0.8;
        class.image_gb = 0.1;
    }
    night.drain_s = 150.0;
    night
}

/// A failure of the state service for all, or of the leader alone.
fn out(at_s: f64, for_s: f64) -> String {
    failure("state-down", at_s, for_s, "")
}

fn refused(for_s: f64) -> String {
    failure("state-refuses", REFUSED_AT_S, for_s, "who = \"leader\"")
}

/// Controllers that don't reach each other, so that none hears of what others have told.
fn apart() -> String {
    failure("peers-refused", REFUSED_AT_S - 1.0, 90.0, "")
}

/// In the gap users were told that jobs are cancelled whose tasks ran.
fn took_place(outcomes: &[Outcome]) {
    let met = |o: &Outcome| {
        let from = begins_at(&o.events, "state-refuses")[0];
        let to = begins_at(&o.events, "state-down")[0];
        cancelled_while_running(&o.events, from, to).len()
    };
    let met: usize = outcomes.iter().map(met).sum();
    assert!(met > 0, "no running task was cancelled in the gap");
}

#[test]
fn what_is_cancelled_while_the_leader_is_refused_is_gone_in_time_however_long_the_outage() {
    // Guards against a leader that goes on answering its workers and knows nothing of
    // what another controller has told users in the meantime.
    let gap = refused(14.0) + &out(OUT_AT_S, 60.0);
    took_place(&keeps_the_rules(&night(&gap), &seeds(2)));
    took_place(&keeps_the_rules(&night(&(gap + &apart())), &seeds(2)));
}

#[test]
fn a_leader_that_renews_between_two_outages_reads_what_was_cancelled_before_it_answers() {
    // Guards against a renewal that counts although the watch of cancellations, which
    // waits in an outage, has not delivered them yet: the service answers for a moment
    // only, and the old leader keeps the tasks alive once more. That others tell it of
    // cancellations must not be needed for it.
    for back_s in [0.1, 0.2, 0.3] {
        let gap = refused(OUT_AT_S - REFUSED_AT_S)
            + &out(OUT_AT_S, 14.0)
            + &out(OUT_AT_S + 14.0 + back_s, 60.0)
            + &apart();
        took_place(&keeps_the_rules(&night(&gap), &seeds(2)));
    }
}

/// Controllers between which nothing goes, on open connections neither.
fn cut_apart() -> String {
    failure("controllers-apart", REFUSED_AT_S - 1.0, 90.0, "")
}

/// The moment of service between the outages: how long it is, and from when on it is
/// swept, in steps. A leader that is refused renews every 0.36 s and asks for changes
/// every 0.3 s, so the moments of a sweep fall on each of them alone and on both.
const MOMENT_S: f64 = 0.1;
const MOMENT_FROM_S: f64 = 74.05;
const STEP_S: f64 = 0.05;
const STEPS: u32 = 6;

#[test]
fn a_leader_cut_from_its_peers_reads_what_was_cancelled_beside_its_renewal() {
    // The same, and nobody can tell the leader of a cancellation: connections that were
    // open go on when new ones are refused, so packets between controllers are held.
    let moments: Vec<f64> = (0..STEPS)
        .map(|n| MOMENT_FROM_S + STEP_S * f64::from(n))
        .collect();
    each(&moments, |back_at_s| {
        let gap = refused(OUT_AT_S - REFUSED_AT_S)
            + &out(OUT_AT_S, back_at_s - OUT_AT_S)
            + &out(back_at_s + MOMENT_S, 60.0)
            + &cut_apart();
        let mut night = night(&gap);
        night.length_s = OUT_AT_S + 1.0;
        night.drain_s = 60.0;
        took_place(&keeps_the_rules(&night, &seeds(1)));
    });
}
