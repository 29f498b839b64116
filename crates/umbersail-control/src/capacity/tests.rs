//! Tests that message size limits suffice for a fleet of the largest supported size.

use umbersail_wire::{Hello, JobProgress, RenewedMachine, encode};

use super::*;

#[test]
fn the_largest_message_between_controllers_fits_for_a_fleet_of_4000() {
    // Guards against an answer larger than the limit. Such an answer is dropped as a
    // whole, and the leader would consider leases expired that its delegate keeps renewing.
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
