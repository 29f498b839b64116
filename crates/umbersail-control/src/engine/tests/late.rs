//! Transactions that get no answer and are carried out late, after newer ones: each as
//! the code builds it, against the state service's own logic.

use umbersail_kv::{KvStore, Limits, Outcome as Carried};

use super::*;
use crate::records::{
    EndedJobRecord, LEADER_KEY, LeaderRecord, LivenessRecord, Outcome, acceptance_txn,
    cancellation_txn, catalogue_txn, election_txn, ended_job_key, grant_part_key, liveness_txn,
    plan_key, suspicion_txn,
};

type Sent = umbersail_wire::Txn<Record>;

/// A transaction as the state service reads it.
fn as_sent(txn: &Sent) -> umbersail_wire::Txn<umbersail_wire::Value> {
    umbersail_wire::decode(&umbersail_wire::encode(txn)).unwrap()
}

/// The state service, and a leader that writes to it.
struct Scene {
    store: KvStore,
    engine: Engine,
    now: f64,
}

impl Scene {
    fn new() -> Scene {
        let mut scene = Scene {
            store: KvStore::new(Limits::default()),
            engine: new_engine(vec![team(0.0, 0.0)]),
            now: 1.0,
        };
        let token = scene.elect("controller-0").unwrap();
        scene.engine = Engine::new(
            config(vec![team(0.0, 0.0)], Tuning::default()),
            0.0,
            0,
            InheritedState {
                revision: token,
                leader_version: token,
                ..empty_inherited_state()
            },
        );
        scene
    }

    /// The version of a key; 0: it does not exist.
    fn version(&self, key: &str) -> u64 {
        self.store.get(key).map_or(0, |found| found.version)
    }

    /// Carries a transaction out; its revision if it was applied.
    fn apply(&mut self, txn: &Sent) -> Option<u64> {
        match self.store.txn(self.now, &as_sent(txn)) {
            Ok(Carried::Applied { revision }) => Some(revision),
            _ => None,
        }
    }

    /// An election as `member` would send it now.
    fn election(&mut self, member: &str, predecessor_degraded: bool) -> Sent {
        let lease = self.store.grant(self.now, 8000).unwrap();
        let leader = LeaderRecord {
            member: member.into(),
            incarnation: 1,
        };
        let (former, grant) = (self.version(LEADER_KEY), self.version("grants/fleet"));
        election_txn(leader, lease, former, (grant, false), predecessor_degraded)
    }

    fn elect(&mut self, member: &str) -> Option<u64> {
        let txn = self.election(member, false);
        self.apply(&txn)
    }

    /// What the leader would write now, if anything.
    fn next(&mut self) -> Option<PendingTxn> {
        self.now += 0.1;
        self.engine.schedule(self.now);
        // What can wait for others to gather has waited long enough.
        self.engine.next_txn(self.now + 2.0, 20, 20)
    }

    /// The leader's next transaction gets no answer: it comes later, or never.
    fn unanswered(&mut self) -> Sent {
        let pending = self.next().unwrap();
        let txn = pending.txn.clone();
        (self.engine).txn_finished(self.now, pending, TxnOutcome::Unknown);
        txn
    }

    /// The leader reads what it must and writes all that is due, each answered.
    fn settle(&mut self) {
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
            let Some(pending) = self.next() else {
                return;
            };
            let outcome = match self.store.txn(self.now, &as_sent(&pending.txn)) {
                Ok(Carried::Applied { revision }) => TxnOutcome::Applied { revision },
                Ok(Carried::Failed { keys }) => TxnOutcome::Conflict { failed: keys },
                Err(refusal) => panic!("{refusal}"),
            };
            self.engine.txn_finished(self.now, pending, outcome);
        }
    }

    /// A job is accepted, and the leader hears of it.
    fn accept(&mut self, id: &str) -> Sent {
        let txn = acceptance_txn(job_record(spec(id, 2, 2.0)));
        let version = self.apply(&txn).unwrap();
        self.engine
            .job_accepted(self.now, 0, job_record(spec(id, 2, 2.0)), version);
        txn
    }

    fn cancel(&mut self, id: &str) -> Sent {
        let over = EndedJobRecord {
            outcome: Outcome::Cancelled,
            done: 0,
        };
        let version = self.version(&job_key(id));
        let txn = cancellation_txn(id, version, over);
        self.apply(&txn).unwrap();
        txn
    }

    /// A worker that is up and in the grant.
    fn worker(&mut self, name: &str) -> Worker {
        let mut worker = Worker::new(name, "a");
        self.turn(&mut worker);
        self.turn(&mut worker);
        self.settle();
        worker
    }

    fn turn(&mut self, worker: &mut Worker) {
        self.now += 0.5;
        worker.send_heartbeat(&mut self.engine, self.now);
    }

    /// Runs all that is placed on the worker to its end; ends are not yet written.
    fn run_out(&mut self, worker: &mut Worker) {
        self.turn(worker);
        for task in worker.tasks.clone() {
            worker.exit(&task.task, None, ExitCause::Done);
        }
        self.turn(worker);
    }

    /// Carried out now, the transaction changes nothing.
    fn fails_late(&mut self, txn: &Sent) {
        let before = self.store.list("", None, 1000);
        let applied = self.apply(txn);
        assert_eq!(applied, None, "applied late: {txn:?}");
        assert_eq!(before, self.store.list("", None, 1000));
    }
}

#[test]
fn a_submission_carried_out_late_brings_no_job_back() {
    // Guards against a job that its user cancelled, or that is done, and that runs again.
    let mut scene = Scene::new();
    let first = scene.accept("req-000001");
    scene.fails_late(&first);
    scene.cancel("req-000001");
    scene.fails_late(&first);
}

#[test]
fn a_cancellation_carried_out_late_changes_no_end() {
    // Guards against a job that was called done and is called cancelled later.
    let mut scene = Scene::new();
    let mut worker = scene.worker("m1");
    scene.accept("req-000001");
    let late = cancellation_txn(
        "req-000001",
        scene.version(&job_key("req-000001")),
        EndedJobRecord {
            outcome: Outcome::Cancelled,
            done: 0,
        },
    );
    scene.settle();
    scene.run_out(&mut worker);
    scene.settle();
    assert!(
        scene.version(&ended_job_key("req-000001")) > 0,
        "it is done"
    );
    scene.fails_late(&late);
    scene.accept("req-000002");
    let told = scene.cancel("req-000002");
    scene.fails_late(&told);
}

#[test]
fn progress_carried_out_late_replaces_no_newer_record_and_outlives_no_end() {
    // Guards against a record that names too few machines, and against one of a job
    // that is over.
    let mut scene = Scene::new();
    let mut worker = scene.worker("m1");
    scene.accept("req-000001");
    let first = scene.unanswered();
    assert!(first.changes.len() == 1 && scene.version(&progress_key("req-000001")) == 0);
    scene.settle();
    assert!(
        scene.version(&progress_key("req-000001")) > 0,
        "the retry stands"
    );
    scene.fails_late(&first);
    scene.run_out(&mut worker);
    scene.settle();
    assert_eq!(
        scene.version(&progress_key("req-000001")),
        0,
        "over and removed"
    );
    scene.fails_late(&first);
}

#[test]
fn an_end_carried_out_late_undoes_no_cancellation() {
    // Guards against a job that was called cancelled and is called done later.
    let mut scene = Scene::new();
    let mut worker = scene.worker("m1");
    scene.accept("req-000001");
    scene.settle();
    scene.run_out(&mut worker);
    let end = scene.unanswered();
    assert!(end.changes.len() > 1, "{end:?}");
    scene.cancel("req-000001");
    scene.fails_late(&end);
    scene.settle();
    scene.fails_late(&end);
}

#[test]
fn a_removal_carried_out_late_removes_nothing_of_a_successors() {
    // Guards against progress that a successor wrote or relies on and that goes.
    let mut scene = Scene::new();
    let mut worker = scene.worker("m1");
    scene.accept("req-000001");
    scene.settle();
    scene.run_out(&mut worker);
    let pending = scene.next().unwrap();
    let revision = scene.apply(&pending.txn).unwrap();
    let now = scene.now;
    (scene.engine).txn_finished(now, pending, TxnOutcome::Applied { revision });
    let removal = scene.unanswered();
    assert!(removal.changes.contains(&Change::Delete {
        key: progress_key("req-000001")
    }));
    scene.elect("controller-1").unwrap();
    scene.fails_late(&removal);
}

#[test]
fn the_record_of_a_job_that_was_cancelled_while_it_was_written_is_removed() {
    // Guards against progress that nobody removes: written just before the job was
    // cancelled, and its answer lost.
    let mut scene = Scene::new();
    let _worker = scene.worker("m1");
    scene.accept("req-000001");
    let pending = scene.next().unwrap();
    scene.apply(&pending.txn).unwrap();
    scene.cancel("req-000001");
    scene.engine.job_key_removed("req-000001");
    let now = scene.now;
    (scene.engine).txn_finished(now, pending, TxnOutcome::Unknown);
    scene.settle();
    assert_eq!(scene.version(&progress_key("req-000001")), 0);
}

#[test]
fn a_part_of_the_grant_carried_out_late_forgets_no_machine() {
    // Guards against a successor that does not know of a machine that runs tasks.
    let mut scene = Scene::new();
    let mut first = Worker::new("m1", "a");
    scene.turn(&mut first);
    scene.turn(&mut first);
    let late = scene.unanswered();
    scene.worker("m2");
    assert_eq!(late.changes.len(), 1, "{late:?}");
    scene.fails_late(&late);
    scene.elect("controller-1").unwrap();
    scene.fails_late(&late);
}

#[test]
fn a_plan_carried_out_late_does_not_stand_again_after_its_removal() {
    // Guards against a first try that finds no record, as at its own time, once a later
    // try was recorded and removed again.
    for removed_early in [false, true] {
        let mut scene = Scene::new();
        let put = |scene: &mut Scene, steps: u32| {
            let now = scene.now;
            (scene.engine.plans.store)
                .put(now, "note/a", 1, &steps)
                .unwrap();
        };
        let remove = |scene: &mut Scene| {
            let now = scene.now;
            scene.engine.plans.store.remove(now, "note/a");
        };
        put(&mut scene, 1);
        let late = scene.unanswered();
        if !removed_early {
            put(&mut scene, 2);
            scene.settle();
            assert!(scene.engine.plans.store.is_recorded("note/a"));
        }
        remove(&mut scene);
        scene.settle();
        scene.fails_late(&late);
        assert!(scene.engine.plans.store.names("note").is_empty());
        // It can be recorded anew, and its removal then stands as well.
        put(&mut scene, 3);
        scene.settle();
        assert!(scene.engine.plans.store.is_recorded("note/a"));
        remove(&mut scene);
        scene.settle();
        scene.fails_late(&late);
        // A successor finds no plan, and removes what is left of it.
        let token = scene.elect("controller-1").unwrap();
        let plans = scene.store.list(crate::records::PLANS, None, 10).items;
        let inherited = plans.into_iter().map(|found| InheritedPlan {
            name: "note/a".into(),
            version: found.version,
            value: found.value,
        });
        scene.engine = Engine::new(
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
        assert!(scene.engine.plans.store.names("note").is_empty());
        scene.settle();
        assert_eq!(scene.version(&plan_key("note/a")), 0);
        scene.fails_late(&late);
    }
}

#[test]
fn an_election_carried_out_late_takes_the_lead_from_nobody_and_for_nobody() {
    // Guards against a token that is lower than one given since, and against a leader's
    // key that nobody holds.
    let mut scene = Scene::new();
    scene.now += 20.0;
    scene.store.expire(scene.now);
    assert_eq!(scene.version(LEADER_KEY), 0, "its lease has run out");
    let late = scene.election("controller-1", true);
    let newer = scene.election("controller-2", false);
    scene.apply(&newer).unwrap();
    scene.fails_late(&late);
    // Also once that leader has ended, while the lease of the late one still runs.
    scene.store.revoke(scene.now, 3).unwrap();
    assert_eq!(scene.version(LEADER_KEY), 0);
    scene.fails_late(&late);
    // Given up, its lease was ended: it fails whatever its conditions say.
    let given_up = scene.election("controller-1", false);
    scene.store.revoke(scene.now, 4).unwrap();
    scene.fails_late(&given_up);
}

#[test]
fn a_key_that_a_late_election_put_for_nobody_goes_with_its_lease() {
    // Guards against a fleet without a leader for longer than one lease: the election
    // was given up, and the end of its lease was lost.
    let mut scene = Scene::new();
    scene.now += 20.0;
    scene.store.expire(scene.now);
    let late = scene.election("controller-1", false);
    let granted_at = scene.now;
    scene.now += 5.0;
    assert!(scene.apply(&late).is_some());
    scene.now = granted_at + 8.0;
    scene.store.expire(scene.now);
    assert_eq!(scene.version(LEADER_KEY), 0);
    assert!(scene.elect("controller-2").is_some());
}

#[test]
fn what_a_leader_says_late_fails_under_the_next() {
    // Guards against a catalogue or an answer that a former leader writes, and against
    // `unsettled` removed by one that does not know what happened since.
    let mut scene = Scene::new();
    let token = scene.version(LEADER_KEY);
    let old = catalogue_txn(token, 0, vec![]);
    let new = catalogue_txn(token, 0, vec![machine_type()]);
    scene.apply(&new).unwrap();
    scene.fails_late(&old);
    let open = scene.election("controller-1", true);
    let second = scene.apply(&open).unwrap();
    scene.engine = Engine::new(
        config(vec![team(0.0, 0.0)], Tuning::default()),
        0.0,
        0,
        InheritedState {
            revision: second,
            leader_version: second,
            predecessor_degraded: true,
            ..empty_inherited_state()
        },
    );
    let settled = scene.unanswered();
    assert_eq!(
        settled.changes,
        [Change::Delete {
            key: RECOVERY_PENDING_KEY.into()
        }]
    );
    let again = scene.election("controller-2", true);
    scene.apply(&again).unwrap();
    assert!(scene.version(RECOVERY_PENDING_KEY) > 0);
    scene.fails_late(&settled);
    scene.fails_late(&suspicion_txn("controller-0", second));
    scene.fails_late(&liveness_txn(LivenessRecord {
        token: second,
        may_have_unrecorded: false,
        newest_suspicion: 1,
    }));
}
