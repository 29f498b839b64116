//! The delegate by itself. Each test names the failure that it guards against.

use umbersail_wire::TaskReport;

use super::*;
use crate::engine::first_token;

fn report(machine: &str, token: u64) -> Heartbeat {
    nth(1, machine, token)
}

fn nth(seq: u64, machine: &str, token: u64) -> Heartbeat {
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
fn a_delegate_answers_under_its_leaders_token_only_and_for_its_time_only() {
    // Guards against tasks kept alive that a successor, or the leader
    // itself, takes for lapsed.
    let mut delegate = Delegate::new(10.0, 100.0);
    let token = first_token(7) + 3;
    assert_eq!(delegate.renew(0.0, &report("m1", token)), None);
    delegate.on_delegation(7, 16.0, &[]);
    assert_eq!(delegate.renew(1.0, &report("m1", token)), Some(token));
    assert_eq!(delegate.renew(1.0, &report("m2", first_token(6))), None);
    assert_eq!(delegate.renew(1.0, &report("m2", first_token(8))), None);
    assert_eq!(delegate.renew(16.0, &report("m1", token)), None);
    // An answer that was under way does not shorten a later word.
    delegate.on_delegation(7, 20.0, &[]);
    delegate.on_delegation(7, 18.0, &[]);
    assert!(delegate.renew(19.0, &nth(2, "m1", token)).is_some());
    delegate.on_newer_leader(8);
    assert_eq!(delegate.renew(19.5, &report("m1", token)), None);
    delegate.on_delegation(7, 30.0, &[]);
    delegate.on_newer_leader(7);
    assert!(delegate.renew(20.0, &report("m3", token)).is_some());
}

#[test]
fn no_machine_is_renewed_without_word_of_the_leader_for_longer_than_the_renewal_time() {
    // Guards against a leader that still greets and answers no report in
    // time: the tasks of a cancelled job would live on for ever.
    let mut delegate = Delegate::new(10.0, 16.0);
    let m1 = |seq| nth(seq, "m1", first_token(7));
    for second in 0..16u32 {
        let now = f64::from(second);
        delegate.on_delegation(7, now + 16.0, &[]);
        assert!(delegate.renew(now, &m1(u64::from(second) + 1)).is_some());
    }
    assert!(delegate.renew(16.0, &m1(17)).is_none());
    assert!(
        delegate
            .renew(16.5, &report("m2", first_token(7)))
            .is_some()
    );
    // The leader answered a copy: its worker has heard nothing of that.
    delegate.on_relayed_reply(&m1(8));
    assert!(delegate.renew(16.6, &m1(18)).is_none());
    delegate.on_relayed_reply(&m1(19));
    assert!(delegate.renew(17.0, &m1(20)).is_some());
}

#[test]
fn a_copy_of_a_renewed_report_is_not_renewed_again() {
    // Guards against copies that hold off the lapse of a machine that is dead.
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 100.0, &[]);
    let (first, second) = (nth(1, "m1", first_token(7)), nth(2, "m1", first_token(7)));
    assert!(delegate.renew(1.0, &first).is_some());
    assert!(delegate.renew(2.0, &second).is_some());
    assert!(delegate.renew(8.0, &first).is_none());
    assert!(delegate.renew(8.0, &second).is_none());
    assert_eq!(delegate.recent_renewals(9.0)[0].reply_ago_ms, 7000);
}

#[test]
fn what_was_answered_is_told_for_two_leases() {
    // Guards against a leader that hears of nothing and takes a machine
    // for lapsed which was answered a moment ago.
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 100.0, &[]);
    assert!(delegate.renew(1.0, &report("m1", first_token(7))).is_some());
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
fn a_renewal_by_a_delegate_carries_the_stops_of_what_is_over() {
    // Guards against a cancellation that never reaches a worker which peers keep one
    // after the other: each within its time, and together beyond what it may take.
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 50.0, &["req-1".into()]);
    let mut shown = report("m1", first_token(7));
    let task = |task: &str, state| TaskReport {
        task: task.into(),
        attempt: 3,
        state,
        cause: None,
        saved: None,
    };
    shown.tasks = vec![
        task("req-1/0", TaskState::Running),
        task("req-1/1", TaskState::Exited),
        task("req-2/0", TaskState::Saving),
        task("req-3/0", TaskState::Running),
    ];
    let stopped = |delegate: &Delegate| -> Vec<String> {
        let commands = delegate.stop_commands(&shown, |id| id == "req-2");
        let stops = commands.into_iter().map(|c| match c {
            Command::Stop {
                task, grace_s: 0.0, ..
            } => task,
            other => panic!("{other:?}"),
        });
        stops.collect()
    };
    assert_eq!(stopped(&delegate), ["req-1/0", "req-2/0"]);
    // An answer that was under way knows less: nothing is forgotten for it.
    delegate.on_delegation(7, 40.0, &[]);
    assert_eq!(stopped(&delegate), ["req-1/0", "req-2/0"]);
    delegate.on_delegation(7, 60.0, &["req-3".into()]);
    assert_eq!(stopped(&delegate), ["req-1/0", "req-2/0", "req-3/0"]);
}

#[test]
fn every_machine_of_a_fleet_of_4000_is_renewed_and_told_of() {
    // Guards against a bound below the fleet: machines beyond it lost their tasks
    // whenever the leader could not be reached.
    let machines = 4000;
    let mut delegate = Delegate::new(10.0, 100.0);
    delegate.on_delegation(7, 100.0, &[]);
    for round in 1..=20u64 {
        for machine in 0..machines {
            let name = format!("host-{machine:06}");
            let renewed = delegate.renew(round as f64, &nth(round, &name, first_token(7)));
            assert!(renewed.is_some(), "{name} in round {round}");
        }
    }
    assert_eq!(delegate.recent_renewals(21.0).len(), machines);
    // All but what was renewed last has expired, and nothing is left behind.
    assert_eq!(delegate.recent_renewals(39.9).len(), machines);
    assert!(delegate.recent_renewals(40.0).is_empty());
    assert!(delegate.renewals.is_empty() && delegate.expiry.is_empty());
}
