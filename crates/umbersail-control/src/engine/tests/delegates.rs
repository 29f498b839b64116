//! Delegates: peers that take turns at renewing the leases of workers in place of the leader.

use super::*;
use crate::delegate::Delegate;

/// The second at which the leader learns of the cancellation.
const CANCELLED_AT_S: u32 = 10;

/// Simulates a machine whose lease is renewed by two delegates. The machine switches to the
/// other delegate when the current one refuses to renew, and every `switch_every_s` seconds.
/// The leader renews the delegations of both, but replies to no forwarded heartbeat.
///
/// Returns the second of the first stop command for the task of the cancelled job, and the
/// second of the last renewal.
fn stop_and_last_renewal(switch_every_s: u32) -> (Option<u32>, u32) {
    let cfg = config(vec![team(0.0, 0.0)], Tuning::default());
    let renewal_s = cfg.renewal_s();
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    commit(&mut engine, 1.0);
    worker.send_heartbeat(&mut engine, 2.0);
    worker.send_heartbeat(&mut engine, 3.0);
    assert_eq!(worker.tasks.len(), 1);
    let mut delegates = [(); 2].map(|()| Delegate::new(LEASE_S, renewal_s));
    let (mut current, mut last_renewal, mut stopped_at) = (0, 0, None);
    for second in 4..80 {
        let now = f64::from(second);
        if second % switch_every_s == 0 {
            current = 1 - current;
        }
        if second == CANCELLED_AT_S {
            engine.job_key_removed("req-1");
        }
        let finished_jobs = engine.finished_jobs().unwrap();
        for delegate in &mut delegates {
            delegate.on_delegation(LEADER_REVISION, now + renewal_s, &finished_jobs);
        }
        let heartbeat = worker.heartbeat();
        if delegates[current].renew(now, &heartbeat).is_some() {
            last_renewal = second;
            if stop_count(&delegates[current].stop_commands(&heartbeat, |_| false)) > 0 {
                stopped_at.get_or_insert(second);
            }
        } else {
            current = 1 - current;
        }
    }
    (stopped_at, last_renewal)
}

#[test]
fn a_cancellation_reaches_a_machine_whose_lease_two_delegates_renew_in_turn() {
    // Guards against a cancellation that never reaches a machine. If each delegate measured
    // the time since the leader's last reply from its own first renewal, and forgot its
    // renewals while the other delegate renewed the lease, both together would keep the lease
    // valid for longer than a cancellation may take.
    let renewal_s = config(vec![team(0.0, 0.0)], Tuning::default()).renewal_s();
    for switch_every_s in [5, 12, 25] {
        let (stopped_at, last_renewal) = stop_and_last_renewal(switch_every_s);
        assert!(
            f64::from(last_renewal) > renewal_s,
            "switch every {switch_every_s} s: last renewal at {last_renewal} s"
        );
        let stopped_at = stopped_at.expect("the worker receives a stop command");
        assert!(
            stopped_at <= CANCELLED_AT_S + 1,
            "switch every {switch_every_s} s: stop command at {stopped_at} s"
        );
    }
}

#[test]
fn four_thousand_cancellations_at_once_leave_delegations_in_force() {
    // Guards against delegates that may renew no lease during the highest load: above an
    // upper bound on finished jobs the leader delegates no renewals.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    for job in 0..4000 {
        let accepted = job_record(spec(&format!("req-{job:06}"), 1, 2.0));
        engine.job_accepted(1.0, 1000, accepted, 70);
    }
    ready_worker(&mut engine, "m1", "a");
    for job in 0..4000 {
        let id = format!("req-{job:06}");
        let name = engine.jobs.get_key_value(id.as_str()).unwrap().0.clone();
        // One task of each job may still run on a machine that has sent no heartbeat yet.
        let job = engine.jobs.get_mut(id.as_str()).unwrap();
        job.recovery_pending.insert(0);
        job.inherited_machines.insert("m1".into());
        engine.job_key_removed(&name);
    }
    assert_eq!(engine.finished_jobs().map(|jobs| jobs.len()), Some(4000));
}
