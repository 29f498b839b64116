//! Leases of machines: when the expiry of a lease proves that no task runs on a silent
//! machine, with delegates that may have renewed the lease and after a failover; and token
//! increments.

use super::*;

#[test]
fn a_silent_machine_keeps_its_tasks_until_its_lease_has_expired_allowing_for_clock_drift() {
    // Guards against treating a hanging machine as empty.
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
fn the_lease_of_an_unfenced_machine_expires_only_after_the_former_leader_must_stop_renewing() {
    // Guards against a task that runs twice (rule breach `ran_twice`, as the rehearsal reports
    // it) when the former leader is in the same network partition as the machine and continues
    // to renew its lease.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    let renewal_s = engine.cfg.renewal_s();
    assert!(
        renewal_s + LEASE_S < 40.0,
        "the former leader's renewals must end within the time that a cancellation may take"
    );
    engine.tick(renewal_s + LEASE_S);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 2);
    engine.tick((renewal_s + LEASE_S) * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].recovery_pending.len(), 0);
    assert_eq!(engine.jobs["req-1"].pending(), 3);
}

#[test]
fn a_token_increment_raises_the_token_of_one_machine_and_stays_within_the_leaders_epoch() {
    // Guards against increments that exceed a later leader's token, and against mistaking a
    // worker with an incremented token for a worker that has seen another leader.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    worker.send_heartbeat(&mut engine, 1.0);
    accept(&mut engine, 1.1, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.1);
    let increment = engine.token_increments(1.1).remove(0);
    assert_eq!(epoch(increment.token), LEADER_REVISION);
    assert!(increment.token < first_token(LEADER_REVISION + 1));
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
    assert_eq!(engine.job_progress(2.0, "req-1"), Some(counts(0, 1)));
    // The increment never overflows into another leader's tokens.
    worker.token = first_token(LEADER_REVISION + 1) - 1;
    worker.send_heartbeat(&mut engine, 20.0);
    accept(&mut engine, 20.1, spec("req-2", 1, 2.0));
    commit(&mut engine, 20.1);
    assert!(engine.token_increments(20.1).is_empty());
}

/// The single task of a job runs on m1. The leader sent its last reply to m1 at 3 s, and m1 has
/// been silent since then. The delegate controller-1 may renew leases until 20 s.
fn engine_with_silent_machine_and_delegate() -> Engine {
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

/// Number of the job's tasks that wait after the delegate has reported its renewals.
fn pending_after_renewal_report(
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
fn a_lease_that_a_delegate_may_have_renewed_has_not_expired() {
    // Guards against a task that runs twice (rule breach `ran_twice`) during a partition
    // between zones: a peer in the worker's zone renews its lease, and the leader receives
    // messages from neither.
    let mut engine = engine_with_silent_machine_and_delegate();
    engine.tick(14.0);
    assert_eq!(
        engine.jobs["req-1"].pending(),
        0,
        "silence alone proves nothing"
    );
    // A renewal report from before the lease could have expired proves nothing either.
    engine.record_delegated_renewals(12.0, "controller-1", 11.9, 100.0, &[]);
    engine.tick(14.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    engine.tick(30.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    // The delegation has ended, and the last possible lease has expired.
    engine.tick(20.0 + LEASE_S * 1.001 + 0.6);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn a_delegates_report_of_no_renewal_proves_that_the_lease_of_a_silent_machine_has_expired() {
    // Guards against hung machines whose tasks cannot be restarted for as long as a peer may
    // renew leases.
    let mut engine = engine_with_silent_machine_and_delegate();
    assert_eq!(
        pending_after_renewal_report(&mut engine, 14.1, 100.0, &[]),
        1
    );

    let mut engine = engine_with_silent_machine_and_delegate();
    // The delegate renewed the lease at 10 s.
    for (now, ago_ms, pending) in [(14.1, 4100, 0), (20.3, 10_300, 0), (21.0, 11_000, 1)] {
        let renewals = [renewed("m1", ago_ms)];
        assert_eq!(
            pending_after_renewal_report(&mut engine, now, 100.0, &renewals),
            pending
        );
    }
}

#[test]
fn a_lease_that_one_delegate_and_then_another_may_have_renewed_has_not_expired() {
    // Guards against a task that runs twice (rule breach `ran_twice`) when the leader is not
    // told of renewals by two peers: one peer renewed the lease until its delegation ended, and
    // the second peer continued after it had reported to the leader that it had renewed
    // nothing.
    let mut engine = engine_with_silent_machine_and_delegate();
    engine.delegate_renewals_to("controller-2", 60.0);
    engine.record_delegated_renewals(15.0, "controller-2", 14.9, 100.0, &[]);
    engine.tick(31.0);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
    // A report of the second peer that it renewed nothing is relied on if it was made at least
    // one lease duration after the first peer's delegation ended.
    engine.record_delegated_renewals(31.0, "controller-2", 30.9, 100.0, &[]);
    engine.tick(31.1);
    assert_eq!(engine.jobs["req-1"].pending(), 1);
}

#[test]
fn a_restarted_delegates_report_does_not_cover_renewals_before_the_restart() {
    // Guards against trusting a restarted process that reports no renewals: the process before
    // it may have renewed leases until it ended.
    let mut engine = engine_with_silent_machine_and_delegate();
    assert_eq!(pending_after_renewal_report(&mut engine, 14.1, 4.1, &[]), 0);
    assert_eq!(
        pending_after_renewal_report(&mut engine, 20.9, 10.9, &[]),
        1
    );
}

#[test]
fn the_lease_of_an_unfenced_machine_runs_from_the_new_leaders_late_reply() {
    // Guards against treating a lease as expired although the machine received the new leader's
    // token, and with it a new lease, just before the former leader's renewals had to end.
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

/// After a failover, m1 responds to a direct command at 9.5 s and shows the new leader's token
/// and its two tasks. With `with_stale_renewal`, controller-1 has reported that it renewed the
/// lease of m1 at 0 s. The former leader renewed the lease later, but no peer reports this.
fn fenced_by_direct_command(with_stale_renewal: bool) -> Engine {
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 2, 2.0));
    if with_stale_renewal {
        engine.record_delegated_renewals(1.0, "controller-1", 0.9, 100.0, &[renewed("m1", 1000)]);
    }
    let mut worker = Worker::new("m1", "a");
    worker.token = first_token(LEADER_REVISION);
    worker.tasks = vec![running_task("req-1/0", 5), running_task("req-1/1", 5)];
    engine.receive_command_response(9.5, &worker.heartbeat());
    assert_eq!(engine.jobs["req-1"].placements.len(), 2);
    engine
}

#[test]
fn a_delegates_renewal_report_does_not_cover_the_former_leaders_replies() {
    // Guards against a task that runs twice (rule breach `ran_twice`) after a failover: the
    // newest reply known to the new leader was a peer's, sent before the former leader's last
    // reply, and the lease counted as expired half a second after the machine had shown its
    // tasks to the new leader.
    let mut engine = fenced_by_direct_command(true);
    engine.tick(LEASE_S * 1.001 + 0.6);
    assert_eq!(
        engine.jobs["req-1"].pending(),
        0,
        "the former leader may have replied until 9.5 s"
    );
    engine.record_delegated_renewals(18.0, "controller-1", 17.9, 100.0, &[renewed("m1", 18_000)]);
    engine.tick(19.4);
    assert_eq!(engine.jobs["req-1"].pending(), 0);
}

#[test]
fn the_lease_of_a_machine_fenced_by_a_direct_command_expires_without_any_reply_to_the_machine() {
    // Guards against tasks that stay assigned forever to a machine that showed the leader's
    // token and then became silent before it sent a periodic heartbeat.
    for with_stale_renewal in [true, false] {
        let mut engine = fenced_by_direct_command(with_stale_renewal);
        engine.tick(9.5 + LEASE_S);
        assert_eq!(engine.jobs["req-1"].placements.len(), 2);
        engine.tick(9.5 + LEASE_S * 1.001 + 0.6);
        assert_eq!(engine.jobs["req-1"].pending(), 2);
    }
}
