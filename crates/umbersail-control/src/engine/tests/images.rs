//! Large images: launches that wait until their fetch may start, and failovers while many
//! machines fetch the same image.

use umbersail_wire::{Value, to_value};

use super::*;
use crate::records::PLANS;

/// A machine type whose cache is large enough for the image, and one whose cache is too small.
fn machine_types() -> Vec<MachineType> {
    let large = MachineType {
        cache_gb: 400.0,
        fetch_gb_per_s: 1.0,
        ..machine_type()
    };
    let small = MachineType {
        name: "m8-small".into(),
        cache_gb: 20.0,
        ..large.clone()
    };
    vec![large, small]
}

/// A service with an image of 140 GB.
fn large_image_job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        cpus: 8.0,
        image: "weights-70b".into(),
        image_gb: 140.0,
        ..spec(id, tasks, 8.0)
    }
}

/// A configuration with peer-to-peer transfer of images: of single pieces if `pieces` is 1, of
/// complete images only if it is 0.
fn peer_to_peer_config(pieces: f64) -> Rc<EngineConfig> {
    config(
        vec![team(0.0, 0.0)],
        Tuning {
            peer_to_peer_images: 1.0,
            initial_store_fetches: 8.0,
            peer_to_peer_pieces: pieces,
            ..Tuning::default()
        },
    )
}

/// Workers that fetch images, the engine, and the keys of the state service.
struct Fleet {
    cfg: Rc<EngineConfig>,
    engine: Engine,
    workers: Vec<Worker>,
    keys: BTreeMap<String, (Record, u64)>,
    revision: u64,
    /// Every launch received, as the worker's name and the image sources of the command.
    launches: Vec<(String, Vec<String>)>,
}

impl Fleet {
    fn new(cfg: Rc<EngineConfig>, machines: usize) -> Fleet {
        let inherited_state = InheritedState {
            types: machine_types(),
            ..empty_inherited_state()
        };
        let mut fleet = Fleet {
            engine: Engine::new(cfg.clone(), 0.0, 0, inherited_state),
            cfg,
            workers: Vec::new(),
            keys: BTreeMap::new(),
            revision: LEADER_REVISION,
            launches: Vec::new(),
        };
        for n in 0..machines {
            let name = format!("m{n:03}");
            fleet.workers.push(Worker::new(&name, ["a", "b"][n % 2]));
        }
        fleet.send_heartbeats(0.0);
        fleet.send_heartbeats(0.5);
        fleet
    }

    fn commit(&mut self, now: Time) {
        self.engine.schedule(now);
        while let Some(pending) = self.engine.next_txn(now + 3.0, 20, 20) {
            self.revision += 1;
            for change in &pending.txn.changes {
                match change {
                    Change::Put { key, value, .. } => {
                        self.keys
                            .insert(key.clone(), (value.clone(), self.revision));
                    }
                    Change::Delete { key } => {
                        self.keys.remove(key);
                    }
                }
            }
            let revision = self.revision;
            self.engine
                .txn_finished(now, pending, TxnOutcome::Applied { revision });
        }
    }

    fn heartbeat(&self, worker: usize) -> Heartbeat {
        let mut heartbeat = self.workers[worker].repeat_heartbeat();
        // Each worker has its own address, so that image sources can be told apart.
        heartbeat.addr = format!("127.0.0.1:{}", 9000 + worker);
        heartbeat
    }

    /// Every worker sends a heartbeat and carries out the commands of the reply. After that, the
    /// engine runs a tick and a scheduling cycle, and the transactions are applied.
    fn send_heartbeats(&mut self, now: Time) {
        for worker in 0..self.workers.len() {
            self.send_heartbeat(now, worker);
        }
        self.engine.tick(now);
        self.commit(now);
    }

    fn send_heartbeat(&mut self, now: Time, worker: usize) {
        self.workers[worker].seq += 1;
        let heartbeat = self.heartbeat(worker);
        let commands =
            receive_and_reply(&mut self.engine, now, &heartbeat, true).unwrap_or_default();
        let token = self.engine.token_for(&self.workers[worker].name);
        let known = self.workers[worker].tasks.len();
        self.workers[worker].apply_commands(token, &commands);
        for task in self.workers[worker].tasks.iter_mut().skip(known) {
            task.state = TaskState::Fetching;
        }
        for command in commands {
            if let Command::Start { image_sources, .. } = command {
                let name = self.workers[worker].name.clone();
                self.launches.push((name, image_sources));
            }
        }
    }

    /// The worker's fetches complete, and its tasks run.
    fn complete_fetch(&mut self, worker: usize) {
        for task in &mut self.workers[worker].tasks {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
            }
        }
    }

    /// Number of workers that fetch an image.
    fn fetching(&self) -> usize {
        let fetches = |w: &&Worker| w.tasks.iter().any(|t| t.state == TaskState::Fetching);
        self.workers.iter().filter(fetches).count()
    }

    fn accept(&mut self, now: Time, spec: JobSpec) {
        let key = job_key(&spec.id);
        self.revision += 1;
        let record = job_record(spec);
        self.keys
            .insert(key, (Record::Job(record.clone()), self.revision));
        self.engine
            .job_accepted(now, (now * 1000.0) as u64, record, self.revision);
        self.commit(now);
    }

    /// Number of launches that fetch from the image store.
    fn store_fetches(&self) -> usize {
        self.launches
            .iter()
            .filter(|(_, sources)| sources.is_empty())
            .count()
    }

    /// The leader ends, and a new one is elected that reads the state service.
    fn fail_over(&mut self, now: Time) {
        self.revision += 1;
        let mut inherited_state = InheritedState {
            revision: self.revision,
            leader_version: self.revision,
            types: machine_types(),
            ..empty_inherited_state()
        };
        for (key, (record, version)) in &self.keys {
            match record {
                Record::GrantPart(part) => inherited_state.grant_parts.push(InheritedPart {
                    index: key[GRANT_PARTS.len()..].parse().unwrap(),
                    version: *version,
                    part: part.clone(),
                }),
                Record::Job(job) => inherited_state.jobs.push(InheritedJob {
                    record: job.clone(),
                    version: *version,
                    run: match self.keys.get(&progress_key(&job.spec.id)) {
                        Some((Record::JobProgress(run), version)) => Some((run.clone(), *version)),
                        _ => None,
                    },
                }),
                Record::Plan(plan) => inherited_state.plans.push(InheritedPlan {
                    name: key[PLANS.len()..].into(),
                    version: *version,
                    value: to_value(plan).unwrap(),
                }),
                _ => {}
            }
        }
        self.engine = Engine::new(self.cfg.clone(), now, 0, inherited_state);
    }
}

impl Worker {
    /// The worker's heartbeat without a new sequence number.
    fn repeat_heartbeat(&self) -> Heartbeat {
        let mut copy = Worker {
            name: self.name.clone(),
            zone: self.zone.clone(),
            tasks: self.tasks.clone(),
            ..*self
        };
        copy.seq -= 1;
        copy.heartbeat()
    }
}

#[test]
fn fetches_on_many_machines_continue_through_two_failovers_and_none_is_started_again() {
    let mut fleet = Fleet::new(peer_to_peer_config(1.0), 60);
    fleet.accept(1.0, large_image_job("req-1", 60));
    // The first thirty workers receive their launch; then the leader ends before it sends the
    // other launches.
    for worker in 0..30 {
        fleet.send_heartbeat(2.0, worker);
    }
    fleet.engine.tick(2.0);
    fleet.commit(2.0);
    assert_eq!((fleet.fetching(), fleet.store_fetches()), (30, 8));
    fleet.fail_over(3.0);
    for now in 4..8 {
        fleet.send_heartbeats(f64::from(now));
    }
    assert!(fleet.fetching() > 30);
    fleet.fail_over(8.0);
    for now in 9..24 {
        fleet.send_heartbeats(f64::from(now));
    }
    assert_eq!(fleet.fetching(), 60);
    let plans = |f: &Fleet| f.keys.keys().filter(|k| k.starts_with(PLANS)).count();
    assert_eq!(plans(&fleet), 1);
    for worker in 0..60 {
        fleet.complete_fetch(worker);
    }
    for now in 150..155 {
        fleet.send_heartbeats(f64::from(now));
    }
    assert_eq!(
        fleet.engine.job_progress(154.0, "req-1"),
        Some(counts(0, 60))
    );
    let mut launched: Vec<&String> = fleet.launches.iter().map(|(name, _)| name).collect();
    launched.sort();
    launched.dedup();
    assert_eq!(
        (launched.len(), fleet.launches.len()),
        (60, 60),
        "each once"
    );
    assert_eq!(fleet.store_fetches(), 8, "as many as without a failover");
    fleet.send_heartbeats(200.0);
    assert_eq!(plans(&fleet), 0, "no fetch is under way");
}

#[test]
fn a_launch_waits_until_its_fetch_may_start_and_is_never_sent_if_its_job_is_cancelled() {
    // Only complete images are transferred between machines: eight fetches start, the others
    // when these eight are complete.
    let mut fleet = Fleet::new(peer_to_peer_config(0.0), 40);
    fleet.accept(1.0, large_image_job("req-1", 40));
    for now in 2..6 {
        fleet.send_heartbeats(f64::from(now));
    }
    assert_eq!((fleet.fetching(), fleet.launches.len()), (8, 8));
    let first: Vec<usize> = (0..40)
        .filter(|w| !fleet.workers[*w].tasks.is_empty())
        .collect();
    for worker in first {
        fleet.complete_fetch(worker);
    }
    fleet.send_heartbeats(150.0);
    fleet.send_heartbeats(151.0);
    assert!(fleet.fetching() >= 16);
    // Other machines serve the image, except for launches sent before four machines were known
    // to have it.
    assert!(fleet.store_fetches() <= 16);
    let launches = fleet.launches.len();
    // After the cancellation, waiting launches are not sent, and all fetching tasks are stopped.
    fleet.engine.job_key_removed("req-1");
    for now in 152..156 {
        fleet.send_heartbeats(f64::from(now));
    }
    assert_eq!((fleet.fetching(), fleet.launches.len()), (0, launches));
    assert_eq!(fleet.engine.job_count(), 0);
    // Fetches of a later job start at once.
    fleet.accept(156.0, large_image_job("req-2", 4));
    fleet.send_heartbeats(157.0);
    assert_eq!(fleet.launches.len(), launches + 4);
}

#[test]
fn a_machine_with_a_reclaim_notice_or_without_heartbeats_is_not_named_as_an_image_source() {
    let mut fleet = Fleet::new(peer_to_peer_config(1.0), 24);
    fleet.accept(1.0, large_image_job("req-1", 12));
    for now in 2..4 {
        fleet.send_heartbeats(f64::from(now));
    }
    let with_image: Vec<usize> = (0..24)
        .filter(|w| !fleet.workers[*w].tasks.is_empty())
        .collect();
    for worker in &with_image {
        fleet.complete_fetch(*worker);
    }
    fleet.send_heartbeats(100.0);
    // From here on, one machine sends no heartbeats, and another has a reclaim notice.
    let (silent, to_be_reclaimed) = (with_image[0], with_image[1]);
    for now in 101..106 {
        for worker in (0..24).filter(|w| *w != silent) {
            fleet.workers[worker].seq += 1;
            let mut heartbeat = fleet.heartbeat(worker);
            heartbeat.notice_s = (worker == to_be_reclaimed).then_some(60.0);
            receive_and_reply(&mut fleet.engine, f64::from(now), &heartbeat, true);
        }
    }
    let launches = fleet.launches.len();
    fleet.accept(106.0, large_image_job("req-2", 12));
    for worker in (0..24).filter(|w| !with_image.contains(w)) {
        fleet.send_heartbeat(106.5, worker);
    }
    let named: BTreeSet<String> = (fleet.launches[launches..].iter())
        .flat_map(|(_, sources)| sources.clone())
        .collect();
    assert!(named.len() > 6, "{named:?}");
    for worker in [silent, to_be_reclaimed] {
        assert!(!named.contains(&format!("127.0.0.1:{}", 9000 + worker)));
    }
}

#[test]
fn the_last_machine_of_a_zone_with_an_image_is_not_deleted_while_others_wait_for_the_image() {
    let mut fleet = Fleet::new(peer_to_peer_config(1.0), 6);
    fleet.accept(1.0, large_image_job("req-1", 6));
    fleet.send_heartbeats(2.0);
    for worker in 0..6 {
        // All machines of zone b and one machine of zone a.
        if worker % 2 == 1 || worker == 0 {
            fleet.complete_fetch(worker);
        }
    }
    fleet.send_heartbeats(100.0);
    // The task on the only machine of zone a with the image ends, and the machine is idle.
    let task = fleet.workers[0].tasks[0].clone();
    fleet.workers[0].exit(&task.task, Some(task.attempt), ExitCause::Error);
    fleet.engine.jobs.get_mut("req-1").unwrap().hold_reason = Some("no further tasks in this test");
    let is_deleted = |fleet: &mut Fleet, now: f64| {
        let actions = fleet.engine.cloud_actions(now);
        let deletes = |a: &CloudAction| matches!(a, CloudAction::Delete(names) if names.iter().any(|n| n == "m000"));
        actions.iter().any(deletes)
    };
    for now in [101.0, 400.0, 401.0] {
        fleet.send_heartbeats(now);
    }
    assert!(!is_deleted(&mut fleet, 402.0));
    // No machine waits for the image any more.
    fleet.complete_fetch(2);
    fleet.complete_fetch(4);
    fleet.send_heartbeats(403.0);
    assert!(is_deleted(&mut fleet, 800.0));
}

#[test]
fn a_job_with_a_large_image_may_only_use_machine_types_whose_cache_is_large_enough() {
    let mut fleet = Fleet::new(peer_to_peer_config(1.0), 4);
    for worker in 4..6 {
        let name = format!("m{worker:03}");
        fleet.workers.push(Worker::new(&name, "a"));
        let mut heartbeat = fleet.workers[worker].heartbeat();
        heartbeat.machine_type = "m8-small".into();
        fleet.engine.receive_heartbeat(1.0, &heartbeat);
    }
    fleet.accept(1.0, large_image_job("req-1", 9));
    let types = &fleet.engine.jobs["req-1"].spec.types;
    assert_eq!(types.as_deref(), Some(&["m8".to_owned()][..]));
    // Without peer-to-peer transfer, the job's own list of types is not restricted.
    let mut without_peer_to_peer = new_engine(vec![team(0.0, 0.0)]);
    without_peer_to_peer.set_machine_types(super::images::machine_types());
    accept(&mut without_peer_to_peer, 1.0, large_image_job("req-1", 9));
    assert_eq!(without_peer_to_peer.jobs["req-1"].spec.types, None);
}

#[test]
fn an_invalid_image_record_is_ignored_and_not_overwritten() {
    let plan = crate::records::PlanRecord {
        version: 1,
        plan: Value::from("invalid"),
        is_tombstone: false,
    };
    let inherited_state = InheritedState {
        plans: vec![InheritedPlan {
            name: "images/weights-70b".into(),
            version: 50,
            value: to_value(&plan).unwrap(),
        }],
        ..empty_inherited_state()
    };
    let mut engine = Engine::new(peer_to_peer_config(1.0), 0.0, 0, inherited_state);
    engine.tick(100.0);
    assert!(
        engine.next_txn(100.0, 20, 20).is_none(),
        "the record stays unchanged"
    );
}
