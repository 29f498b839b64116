//! Unit tests of the delegate. Each test names the failure that it guards against.

use umbersail_wire::TaskReport;

use super::*;
use crate::engine::first_token;

fn first_heartbeat(machine: &str, token: u64) -> Heartbeat {
    heartbeat(1, machine, token)
}

fn heartbeat(seq: u64, machine: &str, token: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: String::new(),
        machine_type: String::new(),
        zone: String::new(),
        spot: None,
        session: 1,
        seq,
        token,
        notice_s: None,
        tasks: Vec::new(),
    }
}

#[test]
fn a_delegate_renews_only_with_its_leaders_token_and_only_while_delegated() {
    // Guards against renewing the lease of a machine that the leader or its successor
    // considers expired: the machine's tasks would run on.
    let mut delegate = Delegate::new(10.0, 100.0);
    let token = first_token(7) + 3;
    assert_eq!(delegate.renew(0.0, &first_heartbeat("m1", token)), None);
    delegate.on_delegation(7, 16.0, &[]);
    assert_eq!(
        delegate.renew(1.0, &first_heartbeat("m1", token)),
        Some(token)
    );
    assert_eq!(
        delegate.renew(1.0, &first_heartbeat("m2", first_token(6))),
        None
    );
    assert_eq!(
        delegate.renew(1.0, &first_heartbeat("m2", first_token(8))),
        None
    );
    assert_eq!(delegate.renew(16.0, &first_heartbeat("m1", token)), None);
    // A delayed reply does not shorten a later delegation.
    delegate.on_delegation(7, 20.0, &[]);
    delegate.on_delegation(7, 18.0, &[]);
    assert!(delegate.renew(19.0, &heartbeat(2, "m1", token)).is_some());
    delegate.on_newer_leader(8);
    assert_eq!(delegate.renew(19.5, &first_heartbeat("m1", token)), None);
    delegate.on_delegation(7, 30.0, &[]);
    delegate.on_newer_leader(7);
    assert!(
        delegate
            .renew(20.0, &first_heartbeat("m3", token))
            .is_some()
    );
}

#[test]
fn no_lease_is_renewed_without_a_reply_of_the_leader_for_longer_than_the_renewal_time() {
    // Guards against tasks of a cancelled job that run forever: the leader still exchanges
    // hello messages, but replies to no heartbeat in time.
    let mut delegate = Delegate::new(10.0, 16.0);
    let m1 = |seq| heartbeat(seq, "m1", first_token(7));
    for second in 0..16u32 {
        let now = f64::from(second);
        delegate.on_delegation(7, now + 16.0, &[]);
        assert!(delegate.renew(now, &m1(u64::from(second) + 1)).is_some());
    }
    assert!(delegate.renew(16.0, &m1(17)).is_none());
    assert!(
        delegate
            .renew(16.5, &first_heartbeat("m2", first_token(7)))
            .is_some()
    );
    // The leader replied to a duplicate of an older heartbeat; the worker did not receive
    // that reply.
    delegate.on_relayed_reply(&m1(8));
    assert!(delegate.renew(16.6, &m1(18)).is_none());
    delegate.on_relayed_reply(&m1(19));
    assert!(delegate.renew(17.0, &m1(20)).is_some());
}

#[test]
fn a_duplicated_heartbeat_does_not_renew_the_lease_again() {
    // Guards against duplicates that delay the lease expiry of a dead machine.
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 100.0, &[]);
    let (first, second) = (
        heartbeat(1, "m1", first_token(7)),
        heartbeat(2, "m1", first_token(7)),
    );
    assert!(delegate.renew(1.0, &first).is_some());
    assert!(delegate.renew(2.0, &second).is_some());
    assert!(delegate.renew(8.0, &first).is_none());
    assert!(delegate.renew(8.0, &second).is_none());
    assert_eq!(delegate.recent_renewals(9.0)[0].reply_ago_ms, 7000);
}

#[test]
fn renewals_are_reported_for_two_lease_times() {
    // Guards against a leader that is not told of a recent renewal and treats the machine's
    // lease as expired.
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 100.0, &[]);
    assert!(
        delegate
            .renew(1.0, &first_heartbeat("m1", first_token(7)))
            .is_some()
    );
    let renewed = delegate.recent_renewals(5.0);
    assert_eq!(renewed.len(), 1);
    assert_eq!(
        (renewed[0].machine.as_str(), renewed[0].reply_ago_ms),
        ("m1", 4000)
    );
    assert_eq!(delegate.recent_renewals(20.0).len(), 1);
    assert!(delegate.recent_renewals(21.5).is_empty());
}

#[test]
fn a_renewal_by_a_delegate_carries_stop_commands_for_finished_jobs() {
    // Guards against a cancellation that never reaches a worker: several peers renew the
    // worker's lease one after the other, each within its own time limit, but together for
    // longer than a cancellation may take.
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 50.0, &["req-1".into()]);
    let mut with_tasks = first_heartbeat("m1", first_token(7));
    let task = |task: &str, state| TaskReport {
        task: task.into(),
        attempt: 3,
        state,
        cause: None,
        saved: None,
    };
    with_tasks.tasks = vec![
        task("req-1/0", TaskState::Running),
        task("req-1/1", TaskState::Exited),
        task("req-2/0", TaskState::Saving),
        task("req-3/0", TaskState::Running),
    ];
    let stopped = |delegate: &Delegate| -> Vec<String> {
        let commands = delegate.stop_commands(&with_tasks, |id| id == "req-2");
        let stops = commands.into_iter().map(|c| match c {
            Command::Stop {
                task, grace_s: 0.0, ..
            } => task,
            other => panic!("{other:?}"),
        });
        stops.collect()
    };
    assert_eq!(stopped(&delegate), ["req-1/0", "req-2/0"]);
    // A delayed reply with a shorter list removes no finished job.
    delegate.on_delegation(7, 40.0, &[]);
    assert_eq!(stopped(&delegate), ["req-1/0", "req-2/0"]);
    delegate.on_delegation(7, 60.0, &["req-3".into()]);
    assert_eq!(stopped(&delegate), ["req-1/0", "req-2/0", "req-3/0"]);
}

#[test]
fn every_lease_of_a_fleet_of_4000_machines_is_renewed_and_reported() {
    // Guards against a bound below the size of the fleet: machines beyond the bound lost
    // their tasks whenever the leader could not be reached.
    let machines = 4000;
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 100.0, &[]);
    for round in 1..=20u64 {
        for machine in 0..machines {
            let name = format!("host-{machine:06}");
            let renewed = delegate.renew(round as f64, &heartbeat(round, &name, first_token(7)));
            assert!(renewed.is_some(), "{name} in round {round}");
        }
    }
    assert_eq!(delegate.recent_renewals(21.0).len(), machines);
    // The renewals expire two lease times after the last one, and no entry remains.
    assert_eq!(delegate.recent_renewals(39.9).len(), machines);
    assert!(delegate.recent_renewals(40.0).is_empty());
    assert!(delegate.renewals.is_empty() && delegate.expiry.is_empty());
}
