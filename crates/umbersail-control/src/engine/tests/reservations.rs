//! Reservations: leaders that end while a rental is under way, and reserved machines that are
//! kept, lent to other jobs and taken back.

use proptest::prelude::*;
use umbersail_wire::{RentRequest, to_value};

use super::*;
use crate::records::{PLANS, PlanRecord};

/// Unix time at the start of each test, in seconds.
const START_UNIX_S: u64 = 10_000;
/// Number of reserved machines.
const RESERVED: usize = 3;

/// Constants and plan entries: one reservation, and the given further lines.
fn tuning_with(further_lines: &str) -> Tuning {
    let text = format!(
        "reserve.sale.team=t\nreserve.sale.classes=own\nreserve.sale.machines=m8:{RESERVED}\n\
         reserve.sale.from=1970-01-01T02:00Z\nreserve.sale.to=1970-01-01T04:00Z\n{further_lines}"
    );
    Tuning::from_properties(text.as_bytes()).unwrap()
}

/// The parts of the state service and of the cloud that reservations use.
struct Environment {
    cfg: Rc<EngineConfig>,
    plans: BTreeMap<String, (PlanRecord, u64)>,
    revision: u64,
    rented: BTreeMap<String, Vec<String>>,
    machines: usize,
}

impl Environment {
    fn new(tuning: Tuning) -> Environment {
        Environment {
            cfg: config(vec![team(0.0, 0.0)], tuning),
            plans: BTreeMap::new(),
            revision: LEADER_REVISION,
            rented: BTreeMap::new(),
            machines: 0,
        }
    }

    fn elect(&mut self, now: Time) -> Engine {
        self.revision += 1;
        let plans = self
            .plans
            .iter()
            .map(|(key, (record, version))| InheritedPlan {
                name: key[PLANS.len()..].to_owned(),
                version: *version,
                value: to_value(record).unwrap(),
            });
        let inherited_state = InheritedState {
            revision: self.revision,
            leader_version: self.revision,
            plans: plans.collect(),
            ..empty_inherited_state()
        };
        let unix_ms = START_UNIX_S * 1000 + (now * 1000.0) as u64;
        Engine::new(self.cfg.clone(), now, unix_ms, inherited_state)
    }

    fn apply_transactions(&mut self, engine: &mut Engine, now: Time) {
        while let Some(pending) = engine.next_txn(now + 10.0, 20, 20) {
            self.revision += 1;
            for change in &pending.txn.changes {
                match change {
                    Change::Put {
                        key,
                        value: Record::Plan(plan),
                        ..
                    } => {
                        self.plans
                            .insert(key.clone(), (plan.clone(), self.revision));
                    }
                    Change::Put { .. } => {}
                    Change::Delete { key } => {
                        self.plans.remove(key);
                    }
                }
            }
            let revision = self.revision;
            engine.txn_finished(now, pending, TxnOutcome::Applied { revision });
        }
    }

    fn rent(&mut self, request: &RentRequest) -> Vec<String> {
        let machines = &mut self.machines;
        let names = self
            .rented
            .entry(request.request.clone())
            .or_insert_with(|| {
                let from = *machines;
                *machines += request.count as usize;
                (from..*machines).map(|i| format!("m{i:03}")).collect()
            });
        names.clone()
    }

    /// The cloud carries out the engine's actions. With `answered`, the engine receives the
    /// answers. Returns the rental requests.
    fn run_cloud_actions(
        &mut self,
        engine: &mut Engine,
        now: Time,
        answered: bool,
    ) -> Vec<RentRequest> {
        let mut requests = Vec::new();
        for action in engine.cloud_actions(now) {
            match action {
                CloudAction::Rent(request) => {
                    let names = self.rent(&request);
                    requests.push(request.clone());
                    match answered {
                        true => engine.machines_rented(now, &request, &names),
                        false => engine.rental_unanswered(request),
                    }
                }
                CloudAction::Delete(names) => engine.machines_deleted(&names),
            }
        }
        requests
    }

    /// A tick, the cloud's actions, and the transactions before and after them.
    fn run_round(&mut self, engine: &mut Engine, now: Time) {
        engine.tick(now);
        self.apply_transactions(engine, now);
        self.run_cloud_actions(engine, now, true);
        self.apply_transactions(engine, now);
    }

    /// An engine within the reservation's window whose reserved machines are running, and their
    /// workers.
    fn with_reserved_machines(&mut self) -> (Engine, Vec<Worker>) {
        let mut engine = self.elect(0.0);
        self.run_round(&mut engine, 0.0);
        assert_eq!(self.machines, RESERVED);
        let mut workers: Vec<Worker> = (0..RESERVED)
            .map(|i| Worker::new(&format!("m{i:03}"), "a"))
            .collect();
        for now in [1.0, 1.5] {
            for worker in &mut workers {
                worker.send_heartbeat(&mut engine, now);
            }
        }
        self.schedule(&mut engine, 2.0);
        (engine, workers)
    }

    /// A tick, a scheduling cycle and the transactions.
    fn schedule(&mut self, engine: &mut Engine, now: Time) {
        engine.tick(now);
        engine.schedule(now);
        self.apply_transactions(engine, now);
    }
}

fn of_class(class: &str, id: &str, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        class: class.into(),
        ..spec(id, tasks, cpus)
    }
}

/// Number of the job's placed tasks.
fn placed_tasks(engine: &Engine, id: &str) -> usize {
    engine.jobs.get(id).map_or(0, |j| j.placements.len())
}

#[test]
fn a_rental_request_is_recorded_before_it_is_sent_and_a_new_leader_repeats_it_under_its_name() {
    // Guards against machines that are rented twice, by a leader and by the next one.
    let mut env = Environment::new(tuning_with(""));
    let mut first = env.elect(0.0);
    first.tick(0.0);
    assert_eq!(env.run_cloud_actions(&mut first, 0.0, false), []);
    env.apply_transactions(&mut first, 0.0);
    let requests = env.run_cloud_actions(&mut first, 1.0, false);
    assert!(!requests.is_empty());
    let mut second = env.elect(2.0);
    second.tick(2.0);
    env.apply_transactions(&mut second, 2.0);
    assert_eq!(
        env.run_cloud_actions(&mut second, 2.0, true),
        requests,
        "the same requests"
    );
    env.apply_transactions(&mut second, 3.0);
    // The third leader knows the reserved machines before any machine list or heartbeat shows
    // them.
    let mut third = env.elect(4.0);
    env.run_round(&mut third, 4.0);
    assert_eq!(
        third
            .machines
            .values()
            .filter(|m| m.reservations != 0)
            .count(),
        RESERVED
    );
    assert_eq!(env.machines, RESERVED);
}

#[test]
fn reserved_machines_take_only_the_reservations_jobs_and_are_not_deleted_when_idle() {
    // Guards against a reservation whose machines other jobs use up, whose machines are deleted
    // as idle, or whose machines count as room for other jobs.
    let mut env = Environment::new(tuning_with("reserve.sale.borrow=nobody\n"));
    let (mut engine, mut workers) = env.with_reserved_machines();
    accept(&mut engine, 3.0, of_class("other", "req-1", 2, 8.0));
    accept(&mut engine, 3.0, of_class("own", "req-2", 2, 8.0));
    env.schedule(&mut engine, 3.0);
    assert_eq!(
        (
            placed_tasks(&engine, "req-1"),
            placed_tasks(&engine, "req-2")
        ),
        (0, 2)
    );
    let requests = env.run_cloud_actions(&mut engine, 3.0, true);
    let count: u32 = requests.iter().map(|r| r.count).sum();
    assert_eq!(count, 2, "rented for the other job: {requests:?}");
    // The machines are idle for much longer than any limit.
    engine.job_key_removed("req-2");
    for now in [60.0, 120.0, 180.0] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
        }
        engine.cloud_actions(now);
    }
    let reserved_and_deleted = |m: &&Machine| m.delete_reason.is_some() && m.reservations != 0;
    assert_eq!(
        engine
            .machines
            .values()
            .filter(reserved_and_deleted)
            .count(),
        0
    );
}

#[test]
fn borrowed_machines_are_taken_back_from_checkpointing_jobs_when_the_reservations_jobs_arrive() {
    // Guards against jobs of the reservation that wait for machines lent to other jobs.
    let mut env = Environment::new(tuning_with(""));
    let (mut engine, mut workers) = env.with_reserved_machines();
    let with_checkpoints = JobSpec {
        priority: Priority::Low,
        checkpoint_s: Some(5.0),
        save_s: Some(2.0),
        ..of_class("other", "req-1", 3, 8.0)
    };
    let without_checkpoints = JobSpec {
        priority: Priority::Low,
        ..of_class("fixed", "req-2", 3, 8.0)
    };
    accept(&mut engine, 3.0, with_checkpoints);
    accept(&mut engine, 3.0, without_checkpoints);
    env.schedule(&mut engine, 3.0);
    env.schedule(&mut engine, 4.0);
    assert_eq!(
        (
            placed_tasks(&engine, "req-1"),
            placed_tasks(&engine, "req-2")
        ),
        (3, 0)
    );
    for worker in &mut workers {
        worker.send_heartbeat(&mut engine, 5.0);
        worker.send_heartbeat(&mut engine, 6.0);
    }
    accept(&mut engine, 7.0, of_class("own", "req-3", 2, 8.0));
    env.schedule(&mut engine, 7.0);
    let mut stopped = 0;
    for now in [8.0, 9.0, 10.0, 11.0] {
        for worker in &mut workers {
            stopped += stop_count(&worker.send_heartbeat(&mut engine, now));
        }
        env.schedule(&mut engine, now);
    }
    assert_eq!(stopped, 2, "no more tasks than the reservation's job needs");
    assert_eq!(
        (
            placed_tasks(&engine, "req-3"),
            placed_tasks(&engine, "req-1")
        ),
        (2, 1)
    );
}

#[test]
fn a_job_that_waits_too_long_is_lent_an_idle_reserved_machine_and_that_machine_is_replaced() {
    // Guards against a reservation that keeps another job waiting forever.
    let mut env = Environment::new(tuning_with(""));
    let (mut engine, mut workers) = env.with_reserved_machines();
    accept(&mut engine, 3.0, of_class("other", "req-1", 1, 8.0));
    let borrow_after_s = env.cfg.tuning.reserve_borrow_after_s;
    // The job was submitted at 0 s.
    for now in [10.0, 100.0, borrow_after_s - 1.0, borrow_after_s + 1.0] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
        }
        env.schedule(&mut engine, now);
        env.schedule(&mut engine, now + 0.1);
        let started = placed_tasks(&engine, "req-1") == 1;
        assert_eq!(started, now >= borrow_after_s, "{now}");
    }
    env.run_round(&mut engine, 3.0 + borrow_after_s);
    assert_eq!(env.machines, RESERVED + 1);
}

#[test]
fn a_silent_reserved_machine_is_replaced_and_a_surplus_machine_is_released() {
    // Guards against a reservation whose machines exist in the records but do not run.
    let mut env = Environment::new(tuning_with(""));
    let (mut engine, mut workers) = env.with_reserved_machines();
    let reserved = |engine: &Engine| {
        engine
            .machines
            .values()
            .filter(|m| m.reservations != 0)
            .count()
    };
    for now in [10.0, 20.0] {
        for worker in &mut workers[1..] {
            worker.send_heartbeat(&mut engine, now);
        }
        env.run_round(&mut engine, now);
    }
    assert_eq!(
        (env.machines, reserved(&engine)),
        (RESERVED + 1, RESERVED + 1)
    );
    workers.push(Worker::new("m003", "b"));
    for now in [30.0, 31.0] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
        }
        env.run_round(&mut engine, now);
    }
    assert_eq!((env.machines, reserved(&engine)), (RESERVED + 1, RESERVED));
}

#[test]
fn no_reserved_machine_is_rented_twice_with_lost_answers_and_failovers_at_any_point() {
    // Guards against request names that a new leader does not know, or that are used twice.
    let config = ProptestConfig {
        cases: 500,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest!(config, |(steps in prop::collection::vec(0u8..7, 1..60))| {
        let mut env = Environment::new(tuning_with(""));
        let mut engine = env.elect(0.0);
        let mut now = 0.0;
        for step in steps {
            now += 0.5;
            match step {
                0 | 1 => engine.tick(now),
                2 => env.apply_transactions(&mut engine, now),
                3 => drop(env.run_cloud_actions(&mut engine, now, false)),
                4 => drop(env.run_cloud_actions(&mut engine, now, true)),
                5 => {
                    // A transaction whose outcome is unknown.
                    if let Some(pending) = engine.next_txn(now + 10.0, 20, 20) {
                        engine.txn_finished(now, pending, TxnOutcome::Unknown);
                        for name in engine.unread_plans() {
                            let found = env.plans.get(&format!("{PLANS}{name}"));
                            let found = found.map(|(r, v)| (to_value(r).unwrap(), *v));
                            engine.plan_read(now, &name, found);
                        }
                    }
                }
                _ => engine = env.elect(now),
            }
            prop_assert!(env.machines <= RESERVED);
        }
        for _ in 0..4 {
            now += 1.0;
            env.run_round(&mut engine, now);
        }
        prop_assert_eq!(env.machines, RESERVED);
        prop_assert_eq!(engine.machines.values().filter(|m| m.reservations != 0).count(), RESERVED);
    });
}
