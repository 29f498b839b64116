//! Several peers that answer workers in the leader's stead, in turn.

use super::*;
use crate::delegate::Delegate;

/// The leader hears of the cancellation at this second.
const CANCELLED_AT_S: u32 = 10;

/// When the task of a cancelled job is told to stop, on a machine that goes on to the
/// next of two delegates whenever one refuses it, or after so many reports, while the
/// leader greets both and answers no report that they hand on. Also how long it was kept.
fn told_to_stop(turn: u32) -> (Option<u32>, u32) {
    let cfg = config(vec![team(0.0, 0.0)], Tuning::default());
    let renewal_s = cfg.renewal_s();
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    assert_eq!(worker.tasks.len(), 1);
    let mut delegates = [(); 2].map(|()| Delegate::new(LEASE_S, renewal_s));
    let (mut at, mut last, mut told) = (0, 0, None);
    for second in 4..80 {
        let now = f64::from(second);
        if second % turn == 0 {
            at = 1 - at;
        }
        if second == CANCELLED_AT_S {
            engine.job_key_removed("req-1");
        }
        let over = engine.finished_jobs().unwrap();
        for delegate in &mut delegates {
            delegate.on_delegation(TOKEN, now + renewal_s, &over);
        }
        let heartbeat = worker.heartbeat();
        if delegates[at].renew(now, &heartbeat).is_some() {
            last = second;
            if stop_count(&delegates[at].stop_commands(&heartbeat, |_| false)) > 0 {
                told.get_or_insert(second);
            }
        } else {
            at = 1 - at;
        }
    }
    (told, last)
}

#[test]
fn a_cancellation_reaches_a_machine_that_delegates_renew_in_turn() {
    // Guards against a cancellation that never reaches a machine: each delegate counts
    // the time without word of the leader from its own first answer, and forgets that
    // it kept the machine while another does, so that together they keep it for longer
    // than a cancellation may take.
    let bound = config(vec![team(0.0, 0.0)], Tuning::default()).renewal_s();
    for turn in [5, 12, 25] {
        let (told, last) = told_to_stop(turn);
        assert!(f64::from(last) > bound, "in turns of {turn} s: {last} s");
        let told = told.expect("it is told to stop");
        assert!(
            told <= CANCELLED_AT_S + 1,
            "in turns of {turn} s: told at {told} s"
        );
    }
}

#[test]
fn a_burst_of_cancellations_on_a_fleet_of_4000_leaves_delegations_in_force() {
    // Guards against a fleet whose delegates may answer nobody while it is busiest:
    // above the bound the leader delegates nothing.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    for job in 0..4000 {
        let accepted = job_record(spec(&format!("req-{job:06}"), 1, 2.0));
        engine.job_accepted(1.0, 1000, accepted, 70);
    }
    ready_worker(&mut engine, "m1", "a");
    for job in 0..4000 {
        let id = format!("req-{job:06}");
        let name = engine.jobs.get_key_value(id.as_str()).unwrap().0.clone();
        // One task of each may still be about, on a machine not heard of yet.
        let held = engine.jobs.get_mut(id.as_str()).unwrap();
        held.recovery_pending.insert(0);
        held.inherited_machines.insert("m1".into());
        engine.job_key_removed(&name);
    }
    assert_eq!(engine.finished_jobs().map(|over| over.len()), Some(4000));
}
