//! The gap: the state service refuses the leader alone, another controller confirms
//! cancellations, then the service is out for everybody, for longer than a task of a
//! cancelled job may live on.

use std::sync::atomic::{AtomicUsize, Ordering};

use umbersail_rehearsal::history::{Event, EventKind};
use umbersail_rehearsal::{Outcome, Scenario};

use crate::harness::{
    begins_at, cancelled_while_running, each, failure, keeps_the_rules, seeds, shop,
};

/// When the leader is refused, and when it and everybody else is from then on, seconds.
const REFUSED_AT_S: f64 = 60.0;
const OUT_AT_S: f64 = 60.9;

/// Long tasks that users cancel all the time, and a lease that lasts for more than half
/// of what a cancellation may take.
fn night(failures: &str) -> Scenario {
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

/// Nights of a sweep, each with the refusal 50 ms later than the one before; as many as
/// there are seeds to be played.
fn refusals_at() -> Vec<f64> {
    let nights = seeds(4).into_iter();
    nights.map(|n| REFUSED_AT_S + STEP_S * n as f64).collect()
}

/// The outage follows the refusal of the leader alone by so much, in seconds.
const OUT_AFTER_S: f64 = 1.0;
/// A cancellation this close to the refusal is at the very moment of it, seconds.
const MOMENT_OF_REFUSAL_S: f64 = 0.3;

#[test]
fn what_is_cancelled_as_the_leader_is_refused_is_gone_in_time() {
    // Guards against a leader that answers its workers for longer than it may, having
    // missed by an instant what was cancelled, before an outage beyond `cancel_s`. Nobody
    // else can tell it.
    let met = AtomicUsize::new(0);
    each(&refusals_at(), |refused_at_s| {
        let out_at_s = refused_at_s + OUT_AFTER_S;
        let gap = failure("state-refuses", *refused_at_s, 14.0, "who = \"leader\"")
            + &out(out_at_s, 60.0)
            + &cut_apart();
        let mut night = night(&gap);
        (night.length_s, night.drain_s) = (out_at_s + 1.0, 60.0);
        for outcome in keeps_the_rules(&night, &[1, 2, 3, 4, 5]) {
            let (from, to) = (
                refused_at_s - MOMENT_OF_REFUSAL_S,
                refused_at_s + MOMENT_OF_REFUSAL_S,
            );
            let cancelled = cancelled_while_running(&outcome.events, from, to);
            met.fetch_add(cancelled.len(), Ordering::Relaxed);
        }
    });
    let met = met.into_inner();
    assert!(met > 0, "nothing was cancelled as the leader was refused");
}

/// The state service takes so long for an answer, for so long before the outage, seconds.
const SLOW_FOR_S: f64 = 6.0;
const SLOW: &str = "times = 10.0";

/// Users cancel and ask while the service is slow, and then it is out.
fn slow_then_out(more: &str, seeds: &[u64]) -> Vec<Outcome> {
    let slow_at_s = OUT_AT_S - SLOW_FOR_S;
    let slow = failure("state-slow", slow_at_s, SLOW_FOR_S, SLOW);
    let mut night = night(&(slow + &out(OUT_AT_S, 60.0) + more));
    (night.length_s, night.drain_s) = (OUT_AT_S + 1.0, 60.0);
    let outcomes = keeps_the_rules(&night, seeds);
    for outcome in &outcomes {
        let cancelled = cancelled_while_running(&outcome.events, slow_at_s, OUT_AT_S).len();
        assert!(cancelled >= 2, "seed {}: {cancelled}", outcome.seed);
    }
    outcomes
}

#[test]
fn what_is_cancelled_at_a_slow_service_before_an_outage_is_gone_in_time() {
    // Guards against what is confirmed while the leader's next watch is still on its way
    // to a service that is out when it arrives; users ask all the while.
    for outcome in slow_then_out("", &seeds(1)) {
        let answered = |e: &&Event| matches!(&e.what, EventKind::Polled { status: 200, .. });
        let polls = outcome.events.iter().filter(answered);
        let in_outage = polls.filter(|e| e.t > OUT_AT_S + 5.0 && e.t < OUT_AT_S + 60.0);
        assert!(in_outage.count() > 0, "seed {}", outcome.seed);
    }
    slow_then_out(&cut_apart(), &seeds(3));
}
