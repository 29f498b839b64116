//! Leases of machines: when silence proves that nothing runs, with delegates that may
//! have renewed them and after a take-over; increments of the token.

use super::*;

#[test]
fn silence_proves_nothing_before_the_lease_has_lapsed_with_drift() {
    // Guards against taking a hanging machine for an empty one.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut hanging = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    hanging.send_heartbeat(&mut engine, 2.0);
    let heartbeat = hanging.heartbeat();
    receive_and_reply(&mut engine, 3.0, &heartbeat, true);
    engine.tick(3.0 + LEASE_S);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    engine.tick(3.0 + LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn an_unfenced_machine_lapses_only_after_its_old_holder_must_have_stopped() {
    // Guards against ran_twice when the old leader is cut off together with
    // the machine and keeps its tasks alive.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let keep = engine.cfg.renewal_s();
    assert!(keep + LEASE_S < 40.0, "a cancellation told elsewhere holds");
    engine.tick(keep + LEASE_S);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 2);
    engine.tick((keep + LEASE_S) * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 0);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}

#[test]
fn a_token_increment_raises_only_the_machines_own_token_and_keeps_the_holder_apart() {
    // Guards against increments that overtake a successor's token, and against
    // taking a worker with an incremented token for one that saw another holder.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    worker.send_heartbeat(&mut engine, 1.0);
    accept(&mut engine, 1.1, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.1);
    let increment = engine.token_increments(1.1).remove(0);
    assert_eq!(epoch(increment.token), TOKEN);
    assert!(increment.token < first_token(TOKEN + 1));
    assert!(
        engine.token_increments(1.2).is_empty(),
        "at most once per half lease"
    );
    worker.token = increment.token;
    assert_eq!(
        started_tasks(&worker.send_heartbeat(&mut engine, 1.3)),
        ["req-1/0"]
    );
    assert_eq!(engine.token_for("m1"), increment.token);
    worker.send_heartbeat(&mut engine, 2.0);
    assert_eq!(engine.job_progress("req-1"), Some((0, 1)));
    // The count never runs over into another holder's tokens.
    worker.token = first_token(TOKEN + 1) - 1;
    worker.send_heartbeat(&mut engine, 20.0);
    accept(&mut engine, 20.1, spec("req-2", 1, 2.0));
    commit(&mut engine, 20.1);
    assert!(engine.token_increments(20.1).is_empty());
}

/// A job's one task runs on m1, which was last answered by us at 3 s and has
/// been silent since; controller-1 may answer in our stead until 20 s.
fn silent_with_a_delegate() -> Engine {
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    engine.delegate_renewals_to("controller-1", 20.0);
    engine
}

fn renewed(machine: &str, ago_ms: u64) -> umbersail_wire::RenewedMachine {
    umbersail_wire::RenewedMachine {
        machine: machine.into(),
        reply_ago_ms: ago_ms,
    }
}

/// Tasks of the job that wait once the peer has told whom it kept.
fn waiting_once_told(
    engine: &mut Engine,
    now: Time,
    up_s: f64,
    renewed: &[umbersail_wire::RenewedMachine],
) -> u32 {
    engine.record_delegated_renewals(now, "controller-1", now - 0.1, up_s, renewed);
    engine.tick(now);
    engine.jobs["req-1"].pending()
}

#[test]
fn a_machine_that_a_delegate_may_have_renewed_has_not_lapsed() {
    // Guards against ran_twice when the zones are apart: the worker's lease is
    // renewed by a peer of its zone, and we hear of neither.
    let mut engine = silent_with_a_delegate();
    engine.tick(14.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0, "silence is not proof");
    // What it told before the lease could have lapsed proves nothing either.
    engine.record_delegated_renewals(12.0, "controller-1", 11.9, 100.0, &[]);
    engine.tick(14.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    engine.tick(30.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    // Its time is over and the lease with it.
    engine.tick(20.0 + LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn a_delegates_report_of_no_renewal_settles_a_silent_machine() {
    // Guards against every hung machine holding up its tasks for as long as
    // a peer might renew their leases.
    let mut engine = silent_with_a_delegate();
    assert_eq!(waiting_once_told(&mut engine, 14.1, 100.0, &[]), 1);

    let mut engine = silent_with_a_delegate();
    // Answered at 10 s.
    for (now, ago_ms, waiting) in [(14.1, 4100, 0), (20.3, 10_300, 0), (21.0, 11_000, 1)] {
        let kept = [renewed("m1", ago_ms)];
        assert_eq!(waiting_once_told(&mut engine, now, 100.0, &kept), waiting);
    }
}

#[test]
fn a_machine_renewed_by_one_delegate_and_then_another_has_not_lapsed() {
    // Guards against ran_twice where the leader hears of neither: one peer kept
    // the machine for its whole time, and another took it over after that one
    // had told us that it had kept nothing.
    let mut engine = silent_with_a_delegate();
    engine.delegate_renewals_to("controller-2", 60.0);
    engine.record_delegated_renewals(15.0, "controller-2", 14.9, 100.0, &[]);
    engine.tick(31.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    // Its word from after the first one's time and a lease settles it.
    engine.record_delegated_renewals(31.0, "controller-2", 30.9, 100.0, &[]);
    engine.tick(31.1);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn a_delegate_that_has_restarted_does_not_know_what_it_renewed_before() {
    // Guards against the word of a fresh process that its predecessor kept
    // nothing: that one may have answered until it ended.
    let mut engine = silent_with_a_delegate();
    assert_eq!(waiting_once_told(&mut engine, 14.1, 4.1, &[]), 0);
    assert_eq!(waiting_once_told(&mut engine, 20.9, 10.9, &[]), 1);
}

#[test]
fn an_unfenced_machine_that_we_answered_late_lapses_from_that_answer() {
    // Guards against taking a machine for lapsed that got our token, and with
    // it a new lease, just before its old holder's time was over.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let end = engine.cfg.renewal_s() + LEASE_S;
    let heartbeat = Worker::new("m1", "a").heartbeat();
    assert!(engine.receive_heartbeat(end - 1.0, &heartbeat));
    engine.reply(end - 1.0, &heartbeat, true);
    engine.tick(end * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 2);
    engine.tick(end - 1.0 + LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 0);
}

/// After a take-over, m1 shows our token with its two tasks at 9.5 s, by direct
/// command. With `stale_word` controller-1 has told that it answered m1 at 0 s; the
/// former leader did so later, which nobody tells us.
fn fenced_directly(stale_word: bool) -> Engine {
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 2, 2.0));
    if stale_word {
        engine.record_delegated_renewals(1.0, "controller-1", 0.9, 100.0, &[renewed("m1", 1000)]);
    }
    let mut worker = Worker::new("m1", "a");
    worker.token = first_token(TOKEN);
    worker.tasks = vec![running_task("req-1/0", 5), running_task("req-1/1", 5)];
    engine.receive_command_response(9.5, &worker.heartbeat());
    assert_eq!(engine.jobs["req-1"].placements.len(), 2);
    engine
}

#[test]
fn a_peers_word_on_its_own_answers_says_nothing_of_the_former_leaders() {
    // Guards against ran_twice after a take-over: the newest answer that we
    // know of was a peer's, before the former leader's last one, and the
    // machine was taken for lapsed half a second after it showed its tasks.
    let mut engine = fenced_directly(true);
    engine.tick(LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].pending(), 0, "answered until 9.5 s");
    engine.record_delegated_renewals(18.0, "controller-1", 17.9, 100.0, &[renewed("m1", 18_000)]);
    engine.tick(19.4);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
}

#[test]
fn a_machine_fenced_directly_and_never_answered_by_us_lapses_in_the_end() {
    // Guards against tasks that wait for ever on a machine that showed our
    // token and then fell silent before any report of its own came.
    for stale_word in [true, false] {
        let mut engine = fenced_directly(stale_word);
        engine.tick(9.5 + LEASE_S);
        assert_eq!(engine.jobs["req-1"].placements.len(), 2);
        engine.tick(9.5 + LEASE_S * 1.001 + 0.6);
        assert_eq!(engine.jobs["req-1"].pending(), 2);
    }
}
