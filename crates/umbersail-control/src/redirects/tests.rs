//! Tests of the redirect tracker with simulated times.

use super::*;

#[test]
fn a_worker_that_returns_is_served_for_a_while_and_then_redirected_again() {
    // Guards against the loss of all tasks while the workers reach every node except
    // the leader, and no other node can be elected.
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    assert!(!redirects.is_returning("m1", false, 0.0));
    assert!(!redirects.is_returning("m2", false, 1.0));
    assert!(redirects.is_returning("m1", false, 5.0));
    assert!(redirects.is_returning("m1", false, 24.0));
    assert!(
        !redirects.is_returning("m1", false, 26.0),
        "the leader may be reachable again"
    );
    assert!(
        !redirects.is_returning("m2", false, 60.0),
        "the first redirect was too long ago"
    );
}

#[test]
fn a_worker_that_leaves_the_leader_that_answered_it_is_served_at_once() {
    // Guards against the expiry of leases while the leader loses contact to the workers
    // only: each attempt to reach the leader took up to 5 s of a lease of 10 s.
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    assert!(redirects.is_returning("m1", true, 0.0));
    assert!(redirects.is_returning("m1", true, 19.0));
    assert!(
        !redirects.is_returning("m1", true, 20.5),
        "the leader may be reachable again"
    );
    assert!(
        redirects.is_returning("m1", true, 25.0),
        "the leader is still unreachable"
    );
    assert!(redirects.is_returning("m1", true, 100.0));
}

#[test]
fn every_worker_of_a_fleet_of_4000_is_tracked() {
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    let names: Vec<String> = (0..4000).map(|n| format!("m{n}")).collect();
    for name in &names {
        assert!(!redirects.is_returning(name, false, 0.0));
    }
    for name in &names {
        assert!(
            redirects.is_returning(name, false, 5.0),
            "{name} is no longer tracked"
        );
    }
}

#[test]
fn a_worker_that_left_the_leader_is_served_also_after_the_tracker_was_full() {
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    for n in 0..=MAX_TRACKED_WORKERS {
        assert!(redirects.is_returning(&format!("m{n}"), true, 0.0));
    }
    assert!(redirects.machines.len() <= MAX_TRACKED_WORKERS);
    assert!(
        redirects.is_returning("m0", true, 1.0),
        "the worker was dropped from the tracker and is served again"
    );
}
