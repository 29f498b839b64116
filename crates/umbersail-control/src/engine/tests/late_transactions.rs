//! Transactions that get no reply and are executed late, after newer ones. The tests apply
//! the transactions that the production code builds to the state service of the state service.

use umbersail_kv::{KvStore, Limits, Outcome as TxnResult};

use super::*;
use crate::records::{
    EndedJobRecord, LEADER_KEY, LeaderRecord, LivenessRecord, Outcome, acceptance_txn,
    cancellation_txn, catalogue_txn, election_txn, ended_job_key, grant_part_key, liveness_txn,
    plan_key, suspicion_txn,
};

type RecordTxn = umbersail_wire::Txn<Record>;

/// The transaction as the state service decodes it.
fn encode_as_sent(txn: &RecordTxn) -> umbersail_wire::Txn<umbersail_wire::Value> {
    umbersail_wire::decode(&umbersail_wire::encode(txn)).unwrap()
}

/// The store of the state service, and the engine of a leader that writes to the store.
struct LeaderWithStore {
    store: KvStore,
    engine: Engine,
    now: f64,
}

impl LeaderWithStore {
    fn new() -> LeaderWithStore {
        let mut setup = LeaderWithStore {
            store: KvStore::new(Limits::default()),
            engine: new_engine(vec![team(0.0, 0.0)]),
            now: 1.0,
        };
        let token = setup.elect("controller-0").unwrap();
        setup.engine = Engine::new(
            config(vec![team(0.0, 0.0)], Tuning::default()),
            0.0,
            0,
            InheritedState {
                revision: token,
                leader_version: token,
                ..empty_inherited_state()
            },
        );
        setup
    }

    /// The version of a key, or 0 if the key does not exist.
    fn version(&self, key: &str) -> u64 {
        self.store.get(key).map_or(0, |found| found.version)
    }

    /// Executes a transaction. Returns its revision if it was applied.
    fn apply(&mut self, txn: &RecordTxn) -> Option<u64> {
        match self.store.txn(self.now, &encode_as_sent(txn)) {
            Ok(TxnResult::Applied { revision }) => Some(revision),
            _ => None,
        }
    }

    /// The election transaction that `member` would send now.
    fn election(&mut self, member: &str, predecessor_degraded: bool) -> RecordTxn {
        let lease = self.store.grant(self.now, 8000).unwrap();
        let leader = LeaderRecord {
            member: member.into(),
            incarnation: 1,
        };
        let (leader_version, grant) = (self.version(LEADER_KEY), self.version("grants/fleet"));
        election_txn(
            leader,
            lease,
            leader_version,
            (grant, false),
            predecessor_degraded,
        )
    }

    fn elect(&mut self, member: &str) -> Option<u64> {
        let txn = self.election(member, false);
        self.apply(&txn)
    }

    /// The next transaction of the leader, if any.
    fn next_txn(&mut self) -> Option<PendingTxn> {
        self.now += 0.1;
        self.engine.schedule(self.now);
        // 2 s later, so that changes held back for batching are due.
        self.engine.next_txn(self.now + 2.0, 20, 20)
    }

    /// The leader's next transaction, which gets no reply and is not executed here.
    fn next_txn_unanswered(&mut self) -> RecordTxn {
        let pending = self.next_txn().unwrap();
        let txn = pending.txn.clone();
        (self.engine).txn_finished(self.now, pending, TxnOutcome::Unknown);
        txn
    }

    /// The leader reads the versions it lacks and writes everything due; every write gets a
    /// reply.
    fn write_all(&mut self) {
        loop {
            let (jobs, parts) = self.engine.unknown_versions();
            for id in jobs {
                let exists = self.version(&job_key(&id)) > 0;
                let version = self.version(&progress_key(&id));
                self.engine.version_read(&id, exists, version);
            }
            for index in parts {
                let version = self.version(&grant_part_key(index));
                self.engine.part_read(index, version);
            }
            for name in self.engine.unread_plans() {
                let found = self.store.get(&plan_key(&name));
                let found = found.map(|f| (f.value, f.version));
                self.engine.plan_read(self.now, &name, found);
            }
            let Some(pending) = self.next_txn() else {
                return;
            };
            let outcome = match self.store.txn(self.now, &encode_as_sent(&pending.txn)) {
                Ok(TxnResult::Applied { revision }) => TxnOutcome::Applied { revision },
                Ok(TxnResult::Failed { keys }) => TxnOutcome::Conflict { failed: keys },
                Err(refusal) => panic!("{refusal}"),
            };
            self.engine.txn_finished(self.now, pending, outcome);
        }
    }

    /// Accepts a job and announces it to the leader.
    fn accept_job(&mut self, id: &str) -> RecordTxn {
        let txn = acceptance_txn(job_record(spec(id, 2, 2.0)));
        let version = self.apply(&txn).unwrap();
        self.engine
            .job_accepted(self.now, 0, job_record(spec(id, 2, 2.0)), version);
        txn
    }

    fn cancel_job(&mut self, id: &str) -> RecordTxn {
        let ended_job = EndedJobRecord {
            outcome: Outcome::Cancelled,
            done: 0,
        };
        let version = self.version(&job_key(id));
        let txn = cancellation_txn(id, version, ended_job);
        self.apply(&txn).unwrap();
        txn
    }

    /// A running worker whose machine is in the grant.
    fn granted_worker(&mut self, name: &str) -> Worker {
        let mut worker = Worker::new(name, "a");
        self.exchange_heartbeat(&mut worker);
        self.exchange_heartbeat(&mut worker);
        self.write_all();
        worker
    }

    fn exchange_heartbeat(&mut self, worker: &mut Worker) {
        self.now += 0.5;
        worker.send_heartbeat(&mut self.engine, self.now);
    }

    /// Ends all tasks placed on the worker; the ends are not yet written.
    fn finish_all_tasks(&mut self, worker: &mut Worker) {
        self.exchange_heartbeat(worker);
        for task in worker.tasks.clone() {
            worker.exit(&task.task, None, ExitCause::Done);
        }
        self.exchange_heartbeat(worker);
    }

    /// Asserts that the transaction, executed now, changes nothing.
    fn assert_fails_late(&mut self, txn: &RecordTxn) {
        let before = self.store.list("", None, 1000);
        let applied = self.apply(txn);
        assert_eq!(applied, None, "the late transaction was applied: {txn:?}");
        assert_eq!(before, self.store.list("", None, 1000));
    }
}

#[test]
fn a_submission_executed_late_does_not_recreate_an_ended_job() {
    // Guards against a job that runs again although its user cancelled it or it is done.
    let mut setup = LeaderWithStore::new();
    let submission = setup.accept_job("req-000001");
    setup.assert_fails_late(&submission);
    setup.cancel_job("req-000001");
    setup.assert_fails_late(&submission);
}

#[test]
fn a_cancellation_executed_late_does_not_change_an_ended_job() {
    // Guards against a job that is reported as done and later as cancelled.
    let mut setup = LeaderWithStore::new();
    let mut worker = setup.granted_worker("m1");
    setup.accept_job("req-000001");
    let late_cancellation = cancellation_txn(
        "req-000001",
        setup.version(&job_key("req-000001")),
        EndedJobRecord {
            outcome: Outcome::Cancelled,
            done: 0,
        },
    );
    setup.write_all();
    setup.finish_all_tasks(&mut worker);
    setup.write_all();
    assert!(
        setup.version(&ended_job_key("req-000001")) > 0,
        "the job is done"
    );
    setup.assert_fails_late(&late_cancellation);
    setup.accept_job("req-000002");
    let confirmed_cancellation = setup.cancel_job("req-000002");
    setup.assert_fails_late(&confirmed_cancellation);
}

#[test]
fn progress_written_late_replaces_no_newer_record_and_does_not_outlive_its_job() {
    // Guards against a progress record that names too few machines, and against a progress
    // record of a job that has ended.
    let mut setup = LeaderWithStore::new();
    let mut worker = setup.granted_worker("m1");
    setup.accept_job("req-000001");
    let late_progress = setup.next_txn_unanswered();
    assert!(late_progress.changes.len() == 1 && setup.version(&progress_key("req-000001")) == 0);
    setup.write_all();
    assert!(
        setup.version(&progress_key("req-000001")) > 0,
        "the retry is recorded"
    );
    setup.assert_fails_late(&late_progress);
    setup.finish_all_tasks(&mut worker);
    setup.write_all();
    assert_eq!(
        setup.version(&progress_key("req-000001")),
        0,
        "the job has ended and its progress is removed"
    );
    setup.assert_fails_late(&late_progress);
}

#[test]
fn a_job_end_written_late_does_not_undo_a_cancellation() {
    // Guards against a job that is reported as cancelled and later as done.
    let mut setup = LeaderWithStore::new();
    let mut worker = setup.granted_worker("m1");
    setup.accept_job("req-000001");
    setup.write_all();
    setup.finish_all_tasks(&mut worker);
    let late_end = setup.next_txn_unanswered();
    assert!(late_end.changes.len() > 1, "{late_end:?}");
    setup.cancel_job("req-000001");
    setup.assert_fails_late(&late_end);
    setup.write_all();
    setup.assert_fails_late(&late_end);
}

#[test]
fn a_progress_removal_executed_late_removes_nothing_of_a_successor() {
    // Guards against the loss of a progress record that a successor wrote or relies on.
    let mut setup = LeaderWithStore::new();
    let mut worker = setup.granted_worker("m1");
    setup.accept_job("req-000001");
    setup.write_all();
    setup.finish_all_tasks(&mut worker);
    let pending = setup.next_txn().unwrap();
    let revision = setup.apply(&pending.txn).unwrap();
    let now = setup.now;
    (setup.engine).txn_finished(now, pending, TxnOutcome::Applied { revision });
    let late_removal = setup.next_txn_unanswered();
    assert!(late_removal.changes.contains(&Change::Delete {
        key: progress_key("req-000001")
    }));
    setup.elect("controller-1").unwrap();
    setup.assert_fails_late(&late_removal);
}

#[test]
fn progress_written_while_its_job_is_cancelled_is_removed() {
    // Guards against a progress record that is never removed, because it was written just
    // before the job was cancelled and the reply to the write was lost.
    let mut setup = LeaderWithStore::new();
    let _worker = setup.granted_worker("m1");
    setup.accept_job("req-000001");
    let pending = setup.next_txn().unwrap();
    setup.apply(&pending.txn).unwrap();
    setup.cancel_job("req-000001");
    setup.engine.job_key_removed("req-000001");
    let now = setup.now;
    (setup.engine).txn_finished(now, pending, TxnOutcome::Unknown);
    setup.write_all();
    assert_eq!(setup.version(&progress_key("req-000001")), 0);
}

#[test]
fn a_grant_part_written_late_drops_no_machine() {
    // Guards against a successor that does not know a machine that runs tasks.
    let mut setup = LeaderWithStore::new();
    let mut worker = Worker::new("m1", "a");
    setup.exchange_heartbeat(&mut worker);
    setup.exchange_heartbeat(&mut worker);
    let late_part = setup.next_txn_unanswered();
    setup.granted_worker("m2");
    assert_eq!(late_part.changes.len(), 1, "{late_part:?}");
    setup.assert_fails_late(&late_part);
    setup.elect("controller-1").unwrap();
    setup.assert_fails_late(&late_part);
}

#[test]
fn a_plan_written_late_does_not_reappear_after_its_removal() {
    // Guards against a late first write of a plan that finds no record, as it did when it
    // was sent, because a later write was recorded and then removed.
    for removed_early in [false, true] {
        let mut setup = LeaderWithStore::new();
        let put = |setup: &mut LeaderWithStore, steps: u32| {
            let now = setup.now;
            (setup.engine.plans.store)
                .put(now, "note/a", 1, &steps)
                .unwrap();
        };
        let remove = |setup: &mut LeaderWithStore| {
            let now = setup.now;
            setup.engine.plans.store.remove(now, "note/a");
        };
        put(&mut setup, 1);
        let late_put = setup.next_txn_unanswered();
        if !removed_early {
            put(&mut setup, 2);
            setup.write_all();
            assert!(setup.engine.plans.store.is_recorded("note/a"));
        }
        remove(&mut setup);
        setup.write_all();
        setup.assert_fails_late(&late_put);
        assert!(setup.engine.plans.store.names("note").is_empty());
        // The plan can be recorded again, and its next removal is also final.
        put(&mut setup, 3);
        setup.write_all();
        assert!(setup.engine.plans.store.is_recorded("note/a"));
        remove(&mut setup);
        setup.write_all();
        setup.assert_fails_late(&late_put);
        // A successor finds no plan and removes the tombstone.
        let token = setup.elect("controller-1").unwrap();
        let plans = setup.store.list(crate::records::PLANS, None, 10).items;
        let inherited = plans.into_iter().map(|found| InheritedPlan {
            name: "note/a".into(),
            version: found.version,
            value: found.value,
        });
        setup.engine = Engine::new(
            config(vec![team(0.0, 0.0)], Tuning::default()),
            0.0,
            0,
            InheritedState {
                revision: token,
                leader_version: token,
                plans: inherited.collect(),
                ..empty_inherited_state()
            },
        );
        assert!(setup.engine.plans.store.names("note").is_empty());
        setup.write_all();
        assert_eq!(setup.version(&plan_key("note/a")), 0);
        setup.assert_fails_late(&late_put);
    }
}

#[test]
fn an_election_executed_late_neither_deposes_a_leader_nor_creates_one() {
    // Guards against a leader whose token is lower than one issued since, and against a
    // leader key that no controller holds.
    let mut setup = LeaderWithStore::new();
    setup.now += 20.0;
    setup.store.expire(setup.now);
    assert_eq!(
        setup.version(LEADER_KEY),
        0,
        "the lease of the leader key has expired"
    );
    let late_election = setup.election("controller-1", true);
    let newer_election = setup.election("controller-2", false);
    setup.apply(&newer_election).unwrap();
    setup.assert_fails_late(&late_election);
    // The late election also fails after the newer leader has ended, while the lease of the
    // late election is still valid.
    setup.store.revoke(setup.now, 3).unwrap();
    assert_eq!(setup.version(LEADER_KEY), 0);
    setup.assert_fails_late(&late_election);
    // An abandoned election has no lease any more, so that it fails even if its conditions
    // hold.
    let abandoned_election = setup.election("controller-1", false);
    setup.store.revoke(setup.now, 4).unwrap();
    setup.assert_fails_late(&abandoned_election);
}

#[test]
fn a_leader_key_put_by_an_abandoned_election_expires_with_its_lease() {
    // Guards against a cluster without a leader for longer than one lease duration, when an
    // election was abandoned and the request to end its lease was lost.
    let mut setup = LeaderWithStore::new();
    setup.now += 20.0;
    setup.store.expire(setup.now);
    let late_election = setup.election("controller-1", false);
    let granted_at = setup.now;
    setup.now += 5.0;
    assert!(setup.apply(&late_election).is_some());
    setup.now = granted_at + 8.0;
    setup.store.expire(setup.now);
    assert_eq!(setup.version(LEADER_KEY), 0);
    assert!(setup.elect("controller-2").is_some());
}

#[test]
fn late_writes_of_a_former_leader_fail_under_its_successor() {
    // Guards against a catalogue, a suspicion or a liveness record written under a former
    // leader's token, and against a former leader that removes the record `unsettled`
    // although it does not know of the starts since.
    let mut setup = LeaderWithStore::new();
    let token = setup.version(LEADER_KEY);
    let late_catalogue = catalogue_txn(token, 0, vec![]);
    let newer_catalogue = catalogue_txn(token, 0, vec![machine_type()]);
    setup.apply(&newer_catalogue).unwrap();
    setup.assert_fails_late(&late_catalogue);
    let election = setup.election("controller-1", true);
    let second_token = setup.apply(&election).unwrap();
    setup.engine = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        InheritedState {
            revision: second_token,
            leader_version: second_token,
            predecessor_degraded: true,
            ..empty_inherited_state()
        },
    );
    let late_recovery_end = setup.next_txn_unanswered();
    assert_eq!(
        late_recovery_end.changes,
        [Change::Delete {
            key: RECOVERY_PENDING_KEY.into()
        }]
    );
    let next_election = setup.election("controller-2", true);
    setup.apply(&next_election).unwrap();
    assert!(setup.version(RECOVERY_PENDING_KEY) > 0);
    setup.assert_fails_late(&late_recovery_end);
    setup.assert_fails_late(&suspicion_txn("controller-0", second_token));
    setup.assert_fails_late(&liveness_txn(LivenessRecord {
        token: second_token,
        may_have_unrecorded: false,
        newest_suspicion: 1,
    }));
}
