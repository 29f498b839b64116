//! Large images: launches that wait for their fetch's turn, and take-overs in the
//! middle of a wave.

use umbersail_wire::{Value, to_value};

use super::*;
use crate::records::PLANS;

/// A type whose cache holds the image, and one whose does not.
fn types() -> Vec<MachineType> {
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

fn weights(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        cpus: 8.0,
        image: "weights-70b".into(),
        image_gb: 140.0,
        ..spec(id, tasks, 8.0)
    }
}

fn handing_on(pieces: f64) -> Rc<EngineConfig> {
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

/// Workers that fetch, an engine, and what the state service holds.
struct Fleet {
    cfg: Rc<EngineConfig>,
    engine: Engine,
    workers: Vec<Worker>,
    keys: BTreeMap<String, (Record, u64)>,
    revision: u64,
    /// Launches obeyed, by worker, each with the holders that it named.
    obeyed: Vec<(String, Vec<String>)>,
}

impl Fleet {
    fn new(cfg: Rc<EngineConfig>, machines: usize) -> Fleet {
        let inheritance = InheritedState {
            types: types(),
            ..empty_inherited_state()
        };
        let mut fleet = Fleet {
            engine: Engine::new(cfg.clone(), 0.0, 0, inheritance),
            cfg,
            workers: Vec::new(),
            keys: BTreeMap::new(),
            revision: TOKEN,
            obeyed: Vec::new(),
        };
        for n in 0..machines {
            let name = format!("m{n:03}");
            fleet.workers.push(Worker::new(&name, ["a", "b"][n % 2]));
        }
        fleet.turn(0.0);
        fleet.turn(0.5);
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
        let mut heartbeat = self.workers[worker].report_again();
        // Each at its own address, or holders could not be told apart.
        heartbeat.addr = format!("127.0.0.1:{}", 9000 + worker);
        heartbeat
    }

    /// Every worker reports and does what it is told.
    fn turn(&mut self, now: Time) {
        for worker in 0..self.workers.len() {
            self.turn_of(now, worker);
        }
        self.engine.tick(now);
        self.commit(now);
    }

    fn turn_of(&mut self, now: Time, worker: usize) {
        self.workers[worker].seq += 1;
        let heartbeat = self.heartbeat(worker);
        let commands =
            receive_and_reply(&mut self.engine, now, &heartbeat, true).unwrap_or_default();
        let token = self.engine.token_for(&self.workers[worker].name);
        let has = self.workers[worker].tasks.len();
        self.workers[worker].apply_commands(token, &commands);
        for task in self.workers[worker].tasks.iter_mut().skip(has) {
            task.state = TaskState::Fetching;
        }
        for command in commands {
            if let Command::Start {
                image_sources: holders,
                ..
            } = command
            {
                let name = self.workers[worker].name.clone();
                self.obeyed.push((name, holders));
            }
        }
    }

    fn fetched(&mut self, worker: usize) {
        for task in &mut self.workers[worker].tasks {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
            }
        }
    }

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

    fn at_the_store(&self) -> usize {
        self.obeyed.iter().filter(|(_, h)| h.is_empty()).count()
    }

    /// The leader ends, and another is elected with what stands in the state service.
    fn take_over(&mut self, now: Time) {
        self.revision += 1;
        let mut inheritance = InheritedState {
            revision: self.revision,
            leader_version: self.revision,
            types: types(),
            ..empty_inherited_state()
        };
        for (key, (record, version)) in &self.keys {
            match record {
                Record::GrantPart(part) => inheritance.grant_parts.push(InheritedPart {
                    index: key[GRANT_PARTS.len()..].parse().unwrap(),
                    version: *version,
                    part: part.clone(),
                }),
                Record::Job(job) => inheritance.jobs.push(InheritedJob {
                    record: job.clone(),
                    version: *version,
                    run: match self.keys.get(&progress_key(&job.spec.id)) {
                        Some((Record::JobProgress(run), version)) => Some((run.clone(), *version)),
                        _ => None,
                    },
                }),
                Record::Plan(plan) => inheritance.plans.push(InheritedPlan {
                    name: key[PLANS.len()..].into(),
                    version: *version,
                    value: to_value(plan).unwrap(),
                }),
                _ => {}
            }
        }
        self.engine = Engine::new(self.cfg.clone(), now, 0, inheritance);
    }
}

impl Worker {
    /// The report of now, without a new number.
    fn report_again(&self) -> Heartbeat {
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
fn a_wave_goes_on_through_two_leaders_ends_without_a_fetch_begun_anew() {
    let mut fleet = Fleet::new(handing_on(1.0), 60);
    fleet.accept(1.0, weights("req-1", 60));
    // The first thirty are told; then the leader ends, before it has told the rest.
    for worker in 0..30 {
        fleet.turn_of(2.0, worker);
    }
    fleet.engine.tick(2.0);
    fleet.commit(2.0);
    assert_eq!((fleet.fetching(), fleet.at_the_store()), (30, 8));
    fleet.take_over(3.0);
    for now in 4..8 {
        fleet.turn(f64::from(now));
    }
    assert!(fleet.fetching() > 30);
    fleet.take_over(8.0);
    for now in 9..24 {
        fleet.turn(f64::from(now));
    }
    assert_eq!(fleet.fetching(), 60);
    let plans = |f: &Fleet| f.keys.keys().filter(|k| k.starts_with(PLANS)).count();
    assert_eq!(plans(&fleet), 1);
    for worker in 0..60 {
        fleet.fetched(worker);
    }
    for now in 150..155 {
        fleet.turn(f64::from(now));
    }
    assert_eq!(fleet.engine.job_progress("req-1"), Some((0, 60)));
    let mut begun: Vec<&String> = fleet.obeyed.iter().map(|(name, _)| name).collect();
    begun.sort();
    begun.dedup();
    assert_eq!((begun.len(), fleet.obeyed.len()), (60, 60), "each once");
    assert_eq!(
        fleet.at_the_store(),
        8,
        "as many as if there had been one leader"
    );
    fleet.turn(200.0);
    assert_eq!(plans(&fleet), 0, "nothing is under way");
}

#[test]
fn a_launch_that_waits_for_its_fetch_is_told_later_or_not_at_all() {
    // Whole images only: eight begin, and the rest when those can hand on.
    let mut fleet = Fleet::new(handing_on(0.0), 40);
    fleet.accept(1.0, weights("req-1", 40));
    for now in 2..6 {
        fleet.turn(f64::from(now));
    }
    assert_eq!((fleet.fetching(), fleet.obeyed.len()), (8, 8));
    let first: Vec<usize> = (0..40)
        .filter(|w| !fleet.workers[*w].tasks.is_empty())
        .collect();
    for worker in first {
        fleet.fetched(worker);
    }
    fleet.turn(150.0);
    fleet.turn(151.0);
    assert!(fleet.fetching() >= 16);
    // Holders serve them, but for those that asked before four were known to have it.
    assert!(fleet.at_the_store() <= 16);
    let told = fleet.obeyed.len();
    // Cancelled: nothing that waits is told any more, and all that fetch are stopped.
    fleet.engine.job_key_removed("req-1");
    for now in 152..156 {
        fleet.turn(f64::from(now));
    }
    assert_eq!((fleet.fetching(), fleet.obeyed.len()), (0, told));
    assert_eq!(fleet.engine.job_count(), 0);
    // What comes then has its turn at once.
    fleet.accept(156.0, weights("req-2", 4));
    fleet.turn(157.0);
    assert_eq!(fleet.obeyed.len(), told + 4);
}

#[test]
fn a_machine_that_is_to_be_taken_back_or_silent_is_not_named() {
    let mut fleet = Fleet::new(handing_on(1.0), 24);
    fleet.accept(1.0, weights("req-1", 12));
    for now in 2..4 {
        fleet.turn(f64::from(now));
    }
    let holders: Vec<usize> = (0..24)
        .filter(|w| !fleet.workers[*w].tasks.is_empty())
        .collect();
    for worker in &holders {
        fleet.fetched(*worker);
    }
    fleet.turn(100.0);
    // One is silent from here on, and one has a notice.
    let (silent, noticed) = (holders[0], holders[1]);
    for now in 101..106 {
        for worker in (0..24).filter(|w| *w != silent) {
            fleet.workers[worker].seq += 1;
            let mut heartbeat = fleet.heartbeat(worker);
            heartbeat.notice_s = (worker == noticed).then_some(60.0);
            receive_and_reply(&mut fleet.engine, f64::from(now), &heartbeat, true);
        }
    }
    let told = fleet.obeyed.len();
    fleet.accept(106.0, weights("req-2", 12));
    for worker in (0..24).filter(|w| !holders.contains(w)) {
        fleet.turn_of(106.5, worker);
    }
    let named: BTreeSet<String> = (fleet.obeyed[told..].iter())
        .flat_map(|(_, holders)| holders.clone())
        .collect();
    assert!(named.len() > 6, "{named:?}");
    for worker in [silent, noticed] {
        assert!(!named.contains(&format!("127.0.0.1:{}", 9000 + worker)));
    }
}

#[test]
fn the_last_holder_of_a_zone_is_not_returned_while_others_wait() {
    let mut fleet = Fleet::new(handing_on(1.0), 6);
    fleet.accept(1.0, weights("req-1", 6));
    fleet.turn(2.0);
    for worker in 0..6 {
        // All of zone b, and one of zone a.
        if worker % 2 == 1 || worker == 0 {
            fleet.fetched(worker);
        }
    }
    fleet.turn(100.0);
    // The task on the last holder of zone a ends: the machine is idle for long.
    let last = fleet.workers[0].tasks[0].clone();
    fleet.workers[0].exit(&last.task, Some(last.attempt), ExitCause::Error);
    fleet.engine.jobs.get_mut("req-1").unwrap().hold_reason = Some("it is done with in this test");
    let returned = |fleet: &mut Fleet, now: f64| {
        let actions = fleet.engine.cloud_actions(now);
        let delete = |a: &CloudAction| matches!(a, CloudAction::Delete(names) if names.iter().any(|n| n == "m000"));
        actions.iter().any(delete)
    };
    for now in [101.0, 400.0, 401.0] {
        fleet.turn(now);
    }
    assert!(!returned(&mut fleet, 402.0));
    // Nobody waits for it any more.
    fleet.fetched(2);
    fleet.fetched(4);
    fleet.turn(403.0);
    assert!(returned(&mut fleet, 800.0));
}

#[test]
fn images_go_only_where_the_cache_holds_them() {
    let mut fleet = Fleet::new(handing_on(1.0), 4);
    for worker in 4..6 {
        let name = format!("m{worker:03}");
        fleet.workers.push(Worker::new(&name, "a"));
        let mut heartbeat = fleet.workers[worker].heartbeat();
        heartbeat.machine_type = "m8-small".into();
        fleet.engine.receive_heartbeat(1.0, &heartbeat);
    }
    fleet.accept(1.0, weights("req-1", 9));
    let types = &fleet.engine.jobs["req-1"].spec.types;
    assert_eq!(types.as_deref(), Some(&["m8".to_owned()][..]));
    // Without handing on types are the job's alone.
    let mut plain = new_engine(vec![team(0.0, 0.0)]);
    plain.set_machine_types(super::images::types());
    accept(&mut plain, 1.0, weights("req-1", 9));
    assert_eq!(plain.jobs["req-1"].spec.types, None);
}

#[test]
fn a_recorded_image_that_makes_no_sense_is_set_aside() {
    let plan = crate::records::PlanRecord {
        version: 1,
        plan: Value::from("nonsense"),
        is_tombstone: false,
    };
    let inheritance = InheritedState {
        plans: vec![InheritedPlan {
            name: "images/weights-70b".into(),
            version: 50,
            value: to_value(&plan).unwrap(),
        }],
        ..empty_inherited_state()
    };
    let mut engine = Engine::new(handing_on(1.0), 0.0, 0, inheritance);
    engine.tick(100.0);
    assert!(
        engine.next_txn(100.0, 20, 20).is_none(),
        "left as it stands"
    );
}
