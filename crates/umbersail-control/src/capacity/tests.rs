//! Bounds against the size of a fleet.

use umbersail_wire::{Hello, JobProgress, RenewedMachine, encode};

use super::*;

#[test]
fn what_controllers_tell_each_other_of_a_fleet_of_4000_fits_a_message() {
    // Guards against an answer beyond the bound, which is dropped whole: the leader
    // would take machines for lapsed that its delegate keeps renewing.
    let id = |n: u64| format!("req-{n:09}");
    let hello = Hello {
        ended_jobs: (0..4096).map(id).collect(),
        cancelled_jobs: (0..1024).map(id).collect(),
        renewed: (0..6000)
            .map(|n| RenewedMachine {
                machine: format!("host-{n:09}"),
                reply_ago_ms: 20_000,
            })
            .collect(),
        progress: (0..500)
            .map(|n| JobProgress {
                id: id(n),
                done: 70_000,
                running: 70_000,
            })
            .collect(),
        ..Hello::default()
    };
    assert!(encode(&hello).len() <= MAX_PEER_BODY_BYTES);
}
