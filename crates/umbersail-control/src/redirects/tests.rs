//! Workers that come back, by hand. Each test names the failure that it guards against.

use super::*;

#[test]
fn a_worker_that_comes_back_is_helped_for_a_while_and_then_sent_on_again() {
    // Guards against losing all tasks while workers reach every node but
    // the leader and nobody can be elected.
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    assert!(!redirects.is_returning("m1", false, 0.0));
    assert!(!redirects.is_returning("m2", false, 1.0));
    assert!(redirects.is_returning("m1", false, 5.0));
    assert!(redirects.is_returning("m1", false, 24.0));
    assert!(
        !redirects.is_returning("m1", false, 26.0),
        "the leader may be back"
    );
    assert!(
        !redirects.is_returning("m2", false, 60.0),
        "that was long ago"
    );
}

#[test]
fn a_worker_that_leaves_the_leader_that_answered_it_is_helped_at_once() {
    // Guards against leases that lapse while a leader loses the workers alone:
    // each try at it cost up to 5 s of a lease of 10 s.
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    assert!(redirects.is_returning("m1", true, 0.0));
    assert!(redirects.is_returning("m1", true, 19.0));
    assert!(
        !redirects.is_returning("m1", true, 20.5),
        "the leader may be back"
    );
    assert!(redirects.is_returning("m1", true, 25.0), "it is not");
    assert!(redirects.is_returning("m1", true, 100.0));
}

#[test]
fn every_worker_of_a_fleet_of_4000_is_remembered() {
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    let names: Vec<String> = (0..4000).map(|n| format!("m{n}")).collect();
    for name in &names {
        assert!(!redirects.is_returning(name, false, 0.0));
    }
    for name in &names {
        assert!(
            redirects.is_returning(name, false, 5.0),
            "{name} was forgotten"
        );
    }
}

#[test]
fn a_worker_is_not_sent_back_and_forth_by_a_memory_that_is_full() {
    let mut redirects = RedirectTracker::new(8.0, 20.0);
    for n in 0..=MAX_REDIRECTS {
        assert!(redirects.is_returning(&format!("m{n}"), true, 0.0));
    }
    assert!(redirects.machines.len() <= MAX_REDIRECTS);
    assert!(
        redirects.is_returning("m0", true, 1.0),
        "forgotten, and helped again"
    );
}
