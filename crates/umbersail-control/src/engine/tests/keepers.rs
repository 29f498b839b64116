//! Several peers that answer workers in the leader's stead, in turn.

use super::*;
use crate::keep::Keeper;

/// Long past any bound, seconds.
const LONG_S: u32 = 120;

/// How long a machine is kept that goes on to the next of two keepers whenever one
/// refuses it, or after so many reports, while the leader greets both and answers
/// no report that they hand on.
fn kept_in_turn(turn: u32) -> f64 {
    let cfg = config(vec![team(0.0, 0.0)], Tuning::default());
    let keep_s = cfg.keep_s();
    let mut keepers = [(); 2].map(|()| Keeper::new(LEASE_S, keep_s));
    let mut worker = Worker::new("m1", "a");
    worker.token = token_of(7);
    let (mut at, mut last) = (0, 0.0);
    for second in 0..LONG_S {
        let now = f64::from(second);
        if second > 0 && second.is_multiple_of(turn) {
            at = 1 - at;
        }
        for keeper in &mut keepers {
            keeper.entrusted(7, now + keep_s);
        }
        if keepers[at].keeps(now, &worker.report()).is_some() {
            last = now;
        } else {
            at = 1 - at;
        }
        if now - last > LEASE_S {
            break;
        }
    }
    last
}

#[test]
fn keepers_in_turn_keep_a_machine_no_longer_than_one_does() {
    // Guards against a cancellation that never reaches a machine: each keeper counts
    // the time without word of the leader from its own first answer, and forgets that
    // it kept the machine while another does.
    let bound = config(vec![team(0.0, 0.0)], Tuning::default()).keep_s();
    for turn in [LONG_S, 5, 12, 25] {
        let kept = kept_in_turn(turn);
        assert!(
            kept < bound,
            "in turns of {turn} s: kept for {kept} s, {bound} s at most"
        );
    }
}
