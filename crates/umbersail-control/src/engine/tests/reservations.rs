//! Reservations: engines that end while they rent, machines that are kept, lent and
//! given back.

use proptest::prelude::*;
use umbersail_wire::{RentRequest, to_value};

use super::*;
use crate::records::{PLANS, PlanRecord};

/// Unix time at the start of each test, in seconds.
const BEGIN: u64 = 10_000;
const HELD: usize = 3;

fn entries(rest: &str) -> Tuning {
    let text = format!(
        "reserve.sale.team=t\nreserve.sale.classes=own\nreserve.sale.machines=m8:{HELD}\n\
         reserve.sale.from=1970-01-01T02:00Z\nreserve.sale.to=1970-01-01T04:00Z\n{rest}"
    );
    Tuning::from_properties(text.as_bytes()).unwrap()
}

/// The state service and the cloud, as far as reservations see them.
struct Place {
    cfg: Rc<EngineConfig>,
    plans: BTreeMap<String, (PlanRecord, u64)>,
    revision: u64,
    rented: BTreeMap<String, Vec<String>>,
    machines: usize,
}

impl Place {
    fn new(tuning: Tuning) -> Place {
        Place {
            cfg: config(vec![team(0.0, 0.0)], tuning),
            plans: BTreeMap::new(),
            revision: TOKEN,
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
        let inheritance = InheritedState {
            revision: self.revision,
            leader_version: self.revision,
            plans: plans.collect(),
            ..empty_inherited_state()
        };
        let unix_ms = BEGIN * 1000 + (now * 1000.0) as u64;
        Engine::new(self.cfg.clone(), now, unix_ms, inheritance)
    }

    fn write(&mut self, engine: &mut Engine, now: Time) {
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

    /// What the engine asks of the cloud is done, and heard of or not.
    fn act(&mut self, engine: &mut Engine, now: Time, heard: bool) -> Vec<RentRequest> {
        let mut asked = Vec::new();
        for action in engine.cloud_actions(now) {
            match action {
                CloudAction::Rent(request) => {
                    let names = self.rent(&request);
                    asked.push(request.clone());
                    match heard {
                        true => engine.machines_rented(now, &request, &names),
                        false => engine.rental_unanswered(request),
                    }
                }
                CloudAction::Delete(names) => engine.machines_deleted(&names),
            }
        }
        asked
    }

    fn round(&mut self, engine: &mut Engine, now: Time) {
        engine.tick(now);
        self.write(engine, now);
        self.act(engine, now, true);
        self.write(engine, now);
    }

    /// An engine in the window whose held machines are up, and their workers.
    fn opened(&mut self) -> (Engine, Vec<Worker>) {
        let mut engine = self.elect(0.0);
        self.round(&mut engine, 0.0);
        assert_eq!(self.machines, HELD);
        let mut workers: Vec<Worker> = (0..HELD)
            .map(|i| Worker::new(&format!("m{i:03}"), "a"))
            .collect();
        for now in [1.0, 1.5] {
            for worker in &mut workers {
                worker.send_heartbeat(&mut engine, now);
            }
        }
        self.step(&mut engine, 2.0);
        (engine, workers)
    }

    fn step(&mut self, engine: &mut Engine, now: Time) {
        engine.tick(now);
        engine.schedule(now);
        self.write(engine, now);
    }
}

fn of_class(class: &str, id: &str, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        class: class.into(),
        ..spec(id, tasks, cpus)
    }
}

fn live(engine: &Engine, id: &str) -> usize {
    engine.jobs.get(id).map_or(0, |j| j.placements.len())
}

#[test]
fn a_request_is_recorded_before_it_is_sent_and_a_successor_asks_by_the_same_name() {
    // Guards against machines rented twice by a leader and its successor.
    let mut place = Place::new(entries(""));
    let mut first = place.elect(0.0);
    first.tick(0.0);
    assert_eq!(place.act(&mut first, 0.0, false), []);
    place.write(&mut first, 0.0);
    let asked = place.act(&mut first, 1.0, false);
    assert!(!asked.is_empty());
    let mut second = place.elect(2.0);
    second.tick(2.0);
    place.write(&mut second, 2.0);
    assert_eq!(place.act(&mut second, 2.0, true), asked, "the very same");
    place.write(&mut second, 3.0);
    // The third knows the held machines before any list or report shows them.
    let mut third = place.elect(4.0);
    place.round(&mut third, 4.0);
    assert_eq!(
        third
            .machines
            .values()
            .filter(|m| m.reservations != 0)
            .count(),
        HELD
    );
    assert_eq!(place.machines, HELD);
}

#[test]
fn held_machines_are_for_their_work_and_stay() {
    // Guards against a reservation that others use up, that idles away, or that is
    // counted as room for others.
    let mut place = Place::new(entries("reserve.sale.borrow=nobody\n"));
    let (mut engine, mut workers) = place.opened();
    accept(&mut engine, 3.0, of_class("other", "req-1", 2, 8.0));
    accept(&mut engine, 3.0, of_class("own", "req-2", 2, 8.0));
    place.step(&mut engine, 3.0);
    assert_eq!((live(&engine, "req-1"), live(&engine, "req-2")), (0, 2));
    let asked = place.act(&mut engine, 3.0, true);
    let count: u32 = asked.iter().map(|r| r.count).sum();
    assert_eq!(count, 2, "rented for the others: {asked:?}");
    // Idle for far longer than any limit.
    engine.job_key_removed("req-2");
    for now in [60.0, 120.0, 180.0] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
        }
        engine.cloud_actions(now);
    }
    let returned = |m: &&Machine| m.delete_reason.is_some() && m.reservations != 0;
    assert_eq!(engine.machines.values().filter(returned).count(), 0);
}

#[test]
fn borrowers_that_can_save_give_back_when_the_own_work_comes() {
    // Guards against reserved work that waits behind borrowed time.
    let mut place = Place::new(entries(""));
    let (mut engine, mut workers) = place.opened();
    let savable = JobSpec {
        priority: Priority::Low,
        checkpoint_s: Some(5.0),
        save_s: Some(2.0),
        ..of_class("other", "req-1", 3, 8.0)
    };
    let fixed = JobSpec {
        priority: Priority::Low,
        ..of_class("fixed", "req-2", 3, 8.0)
    };
    accept(&mut engine, 3.0, savable);
    accept(&mut engine, 3.0, fixed);
    place.step(&mut engine, 3.0);
    place.step(&mut engine, 4.0);
    assert_eq!((live(&engine, "req-1"), live(&engine, "req-2")), (3, 0));
    for worker in &mut workers {
        worker.send_heartbeat(&mut engine, 5.0);
        worker.send_heartbeat(&mut engine, 6.0);
    }
    accept(&mut engine, 7.0, of_class("own", "req-3", 2, 8.0));
    place.step(&mut engine, 7.0);
    let mut stopped = 0;
    for now in [8.0, 9.0, 10.0, 11.0] {
        for worker in &mut workers {
            stopped += stop_count(&worker.send_heartbeat(&mut engine, now));
        }
        place.step(&mut engine, now);
    }
    assert_eq!(stopped, 2, "no more than the own work wants");
    assert_eq!((live(&engine, "req-3"), live(&engine, "req-1")), (2, 1));
}

#[test]
fn what_has_waited_for_the_starvation_limit_is_lent_an_idle_machine_and_that_one_replaced() {
    // Guards against a reservation that keeps a job waiting for ever.
    let mut place = Place::new(entries(""));
    let (mut engine, mut workers) = place.opened();
    accept(&mut engine, 3.0, of_class("other", "req-1", 1, 8.0));
    let floor_s = place.cfg.tuning.reserve_borrow_after_s;
    // It was submitted at 0.
    for now in [10.0, 100.0, floor_s - 1.0, floor_s + 1.0] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
        }
        place.step(&mut engine, now);
        place.step(&mut engine, now + 0.1);
        let begun = live(&engine, "req-1") == 1;
        assert_eq!(begun, now >= floor_s, "{now}");
    }
    place.round(&mut engine, 3.0 + floor_s);
    assert_eq!(place.machines, HELD + 1);
}

#[test]
fn a_silent_machine_is_replaced_and_one_too_many_given_up() {
    // Guards against a window served by machines that are there by name only.
    let mut place = Place::new(entries(""));
    let (mut engine, mut workers) = place.opened();
    let kept = |engine: &Engine| {
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
        place.round(&mut engine, now);
    }
    assert_eq!((place.machines, kept(&engine)), (HELD + 1, HELD + 1));
    workers.push(Worker::new("m003", "b"));
    for now in [30.0, 31.0] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, now);
        }
        place.round(&mut engine, now);
    }
    assert_eq!((place.machines, kept(&engine)), (HELD + 1, HELD));
}

#[test]
fn nothing_is_rented_twice_whatever_is_lost_and_whenever_leaders_end() {
    // Guards against names that a successor does not know, or that are given twice.
    let config = ProptestConfig {
        cases: 500,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest!(config, |(steps in prop::collection::vec(0u8..7, 1..60))| {
        let mut place = Place::new(entries(""));
        let mut engine = place.elect(0.0);
        let mut now = 0.0;
        for step in steps {
            now += 0.5;
            match step {
                0 | 1 => engine.tick(now),
                2 => place.write(&mut engine, now),
                3 => drop(place.act(&mut engine, now, false)),
                4 => drop(place.act(&mut engine, now, true)),
                5 => {
                    // A write of which nobody hears whether it stands.
                    if let Some(pending) = engine.next_txn(now + 10.0, 20, 20) {
                        engine.txn_finished(now, pending, TxnOutcome::Unknown);
                        for name in engine.unread_plans() {
                            let found = place.plans.get(&format!("{PLANS}{name}"));
                            let found = found.map(|(r, v)| (to_value(r).unwrap(), *v));
                            engine.plan_read(now, &name, found);
                        }
                    }
                }
                _ => engine = place.elect(now),
            }
            prop_assert!(place.machines <= HELD);
        }
        for _ in 0..4 {
            now += 1.0;
            place.round(&mut engine, now);
        }
        prop_assert_eq!(place.machines, HELD);
        prop_assert_eq!(engine.machines.values().filter(|m| m.reservations != 0).count(), HELD);
    });
}
