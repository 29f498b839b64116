//! The keeper by itself. Each test names the failure that it guards against.

use umbersail_wire::TaskReport;

use super::*;
use crate::engine::token_of;

fn report(machine: &str, token: u64) -> Report {
    nth(1, machine, token)
}

fn nth(seq: u64, machine: &str, token: u64) -> Report {
    Report {
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
fn a_keeper_answers_under_its_leaders_token_only_and_for_its_time_only() {
    // Guards against tasks kept alive that a successor, or the leader
    // itself, takes for lapsed.
    let mut keeper = Keeper::new(10.0, 100.0);
    let token = token_of(7) + 3;
    assert_eq!(keeper.keeps(0.0, &report("m1", token)), None);
    keeper.entrusted(7, 16.0, &[]);
    assert_eq!(keeper.keeps(1.0, &report("m1", token)), Some(token));
    assert_eq!(keeper.keeps(1.0, &report("m2", token_of(6))), None);
    assert_eq!(keeper.keeps(1.0, &report("m2", token_of(8))), None);
    assert_eq!(keeper.keeps(16.0, &report("m1", token)), None);
    // An answer that was under way does not shorten a later word.
    keeper.entrusted(7, 20.0, &[]);
    keeper.entrusted(7, 18.0, &[]);
    assert!(keeper.keeps(19.0, &nth(2, "m1", token)).is_some());
    keeper.superseded(8);
    assert_eq!(keeper.keeps(19.5, &report("m1", token)), None);
    keeper.entrusted(7, 30.0, &[]);
    keeper.superseded(7);
    assert!(keeper.keeps(20.0, &report("m3", token)).is_some());
}

#[test]
fn no_machine_goes_without_word_of_the_leader_for_longer_than_the_time_to_keep() {
    // Guards against a leader that still greets and answers no report in
    // time: the tasks of a cancelled job would live on for ever.
    let mut keeper = Keeper::new(10.0, 16.0);
    let m1 = |seq| nth(seq, "m1", token_of(7));
    for second in 0..16u32 {
        let now = f64::from(second);
        keeper.entrusted(7, now + 16.0, &[]);
        assert!(keeper.keeps(now, &m1(u64::from(second) + 1)).is_some());
    }
    assert!(keeper.keeps(16.0, &m1(17)).is_none());
    assert!(keeper.keeps(16.5, &report("m2", token_of(7))).is_some());
    // The leader answered a copy: its worker has heard nothing of that.
    keeper.handed_on(&m1(8));
    assert!(keeper.keeps(16.6, &m1(18)).is_none());
    keeper.handed_on(&m1(19));
    assert!(keeper.keeps(17.0, &m1(20)).is_some());
}

#[test]
fn a_copy_of_what_was_kept_is_not_kept_again() {
    // Guards against copies that hold off the lapse of a machine that is dead.
    let mut keeper = Keeper::new(10.0, 100.0);
    keeper.entrusted(7, 100.0, &[]);
    let (first, second) = (nth(1, "m1", token_of(7)), nth(2, "m1", token_of(7)));
    assert!(keeper.keeps(1.0, &first).is_some());
    assert!(keeper.keeps(2.0, &second).is_some());
    assert!(keeper.keeps(8.0, &first).is_none());
    assert!(keeper.keeps(8.0, &second).is_none());
    assert_eq!(keeper.kept(9.0)[0].ago_ms, 7000);
}

#[test]
fn what_was_answered_is_told_for_two_leases() {
    // Guards against a leader that hears of nothing and takes a machine
    // for lapsed which was answered a moment ago.
    let mut keeper = Keeper::new(10.0, 100.0);
    keeper.entrusted(7, 100.0, &[]);
    assert!(keeper.keeps(1.0, &report("m1", token_of(7))).is_some());
    let kept = keeper.kept(5.0);
    assert_eq!(kept.len(), 1);
    assert_eq!((kept[0].machine.as_str(), kept[0].ago_ms), ("m1", 4000));
    assert_eq!(keeper.kept(20.0).len(), 1);
    assert!(keeper.kept(21.5).is_empty());
}

#[test]
fn what_is_kept_is_told_to_stop_what_is_over() {
    // Guards against a cancellation that never reaches a worker which peers keep one
    // after the other: each within its time, and together beyond what it may take.
    let mut keeper = Keeper::new(10.0, 100.0);
    keeper.entrusted(7, 50.0, &["req-1".into()]);
    let mut shown = report("m1", token_of(7));
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
    let stopped = |keeper: &Keeper| -> Vec<String> {
        let commands = keeper.stops(&shown, |id| id == "req-2");
        let stops = commands.into_iter().map(|c| match c {
            Command::Stop {
                task, grace_s: 0.0, ..
            } => task,
            other => panic!("{other:?}"),
        });
        stops.collect()
    };
    assert_eq!(stopped(&keeper), ["req-1/0", "req-2/0"]);
    // An answer that was under way knows less: nothing is forgotten for it.
    keeper.entrusted(7, 40.0, &[]);
    assert_eq!(stopped(&keeper), ["req-1/0", "req-2/0"]);
    keeper.entrusted(7, 60.0, &["req-3".into()]);
    assert_eq!(stopped(&keeper), ["req-1/0", "req-2/0", "req-3/0"]);
}
