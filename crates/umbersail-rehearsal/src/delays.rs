//! Injected message delays, and delayed duplicates of heartbeats: copies of delivered
//! heartbeats that arrive again later on separate connections, as if the network had held
//! packets back. No worker waits for the replies to these copies.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_http::{Client, ClientLimits};
use umbersail_runtime::{HostId, HostSpec, Notify, WorldHandle, sleep, spawn};
use umbersail_wire::{Heartbeat, TaskState, encode, paths};

use crate::addresses::Addresses;
use crate::history::{EventKind, History};
use crate::scenario::Failure;

/// Timeout of connecting and of the reply when a copy is sent, in seconds.
const CONNECTION_S: f64 = 4.0;
/// Maximum number of copies in flight. Further heartbeats are not copied, so that memory stays
/// bounded on the largest fleets.
const MAX_IN_FLIGHT: usize = 20_000;
/// Number of heartbeat copies per machine that are kept for the next leader.
const KEPT_PER_MACHINE: usize = 3;

/// Selects the share of messages that a fault delays, and the range of the delay.
#[derive(Debug, Clone, Copy)]
pub struct DelayFault {
    /// Probability that a message is affected.
    pub share: f64,
    /// Shortest delay, in seconds.
    pub from_s: f64,
    /// Longest delay, in seconds.
    pub to_s: f64,
}

impl DelayFault {
    /// Takes share and range from a fault of the scenario. By default all messages are affected,
    /// and the delay is zero.
    pub fn new(failure: &Failure) -> DelayFault {
        DelayFault {
            share: failure.share.unwrap_or(1.0),
            from_s: failure.from_s.unwrap_or(0.0),
            to_s: failure.to_s.unwrap_or(0.0),
        }
    }

    /// Draws whether a message is affected, and returns its delay in seconds if so.
    pub fn draw(&self, rng: &mut (impl Rng + ?Sized)) -> Option<f64> {
        let is_delayed = rng.random_bool(self.share);
        is_delayed.then(|| rng.random_range(self.from_s..=self.to_s))
    }
}

/// A heartbeat copy that is to be sent to the controller with index `node` at the time `due`,
/// in simulation time.
struct HeartbeatCopy {
    due: f64,
    node: usize,
    to: SocketAddr,
    heartbeat: Heartbeat,
}

/// Makes, holds and sends heartbeat copies. The copies are sent from a separate host: each
/// arrives even if the machine that sent the original heartbeat is gone by then.
pub struct HeartbeatCopies {
    /// Which heartbeats are copied now, and after what delay the copies arrive.
    delay: Cell<Option<DelayFault>>,
    /// Which heartbeats are copied for the next leader, and after what delay from its election
    /// the copies arrive.
    for_next_leader: Cell<Option<DelayFault>>,
    /// Copies kept for the next leader, by machine.
    kept: RefCell<BTreeMap<String, Vec<Heartbeat>>>,
    host: Cell<Option<HostId>>,
    controllers: RefCell<Vec<SocketAddr>>,
    /// Copies that the task on the host has not picked up yet.
    new: Rc<RefCell<Vec<HeartbeatCopy>>>,
    in_flight: Rc<Cell<usize>>,
    /// The newest acknowledged heartbeat of each machine.
    newest: Rc<RefCell<BTreeMap<String, Heartbeat>>>,
    history: History,
    wake: Rc<Notify>,
    rng: RefCell<ChaCha8Rng>,
}

impl HeartbeatCopies {
    /// Creates the component with both faults off.
    pub fn new(seed: u64, history: History) -> HeartbeatCopies {
        HeartbeatCopies {
            delay: Cell::new(None),
            for_next_leader: Cell::new(None),
            kept: RefCell::default(),
            host: Cell::new(None),
            controllers: RefCell::default(),
            new: Rc::default(),
            in_flight: Rc::default(),
            newest: Rc::default(),
            history,
            wake: Rc::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x6c61_7465)),
        }
    }

    /// Returns the host that sends the copies, if any fault was ever switched on.
    pub fn host(&self) -> Option<HostId> {
        self.host.get()
    }

    /// Starts to copy heartbeats.
    pub fn begin(&self, world: &WorldHandle, controllers: &[SocketAddr], delay: DelayFault) {
        self.delay.set(Some(delay));
        self.prepare(world, controllers);
    }

    /// Starts to keep copies of heartbeats for the next leader.
    pub fn begin_keeping(
        &self,
        world: &WorldHandle,
        controllers: &[SocketAddr],
        delay: DelayFault,
    ) {
        self.for_next_leader.set(Some(delay));
        self.prepare(world, controllers);
    }

    /// Adds the host that sends the copies, unless this was done before.
    fn prepare(&self, world: &WorldHandle, controllers: &[SocketAddr]) {
        if self.host.get().is_some() {
            return;
        }
        let at = Addresses {
            simulated: world.is_simulated(),
        };
        let host = world.add_host(HostSpec::new("copies", at.ip(3, 0, 2)));
        self.host.set(Some(host));
        *self.controllers.borrow_mut() = controllers.to_vec();
        let (new, in_flight, wake) = (self.new.clone(), self.in_flight.clone(), self.wake.clone());
        let (newest, history) = (self.newest.clone(), self.history.clone());
        let clock = world.clone();
        world.start(host, async move {
            loop {
                for copy in new.take() {
                    let (in_flight, newest) = (in_flight.clone(), newest.clone());
                    let wait = copy.due - clock.now();
                    let (history, clock) = (history.clone(), clock.clone());
                    spawn(async move {
                        sleep(wait.max(0.0)).await;
                        // Compare with the newest heartbeat at the time when the copy
                        // arrives, not when the copy is answered.
                        let to_event = compare(&copy, &newest.borrow());
                        let sent = clock.now();
                        let status = send(&copy).await;
                        if let Some(to_event) = to_event {
                            let took_s = clock.now() - sent;
                            history.add(to_event(status, (took_s * 1e6).round() / 1e6));
                        }
                        in_flight.set(in_flight.get() - 1);
                    });
                }
                wake.notified().await;
            }
        });
    }

    /// Stops copying. Copies in flight still arrive.
    pub fn end(&self) {
        self.delay.set(None);
    }

    /// Stops keeping copies for the next leader, and drops the kept ones.
    pub fn end_keeping(&self) {
        self.for_next_leader.set(None);
        self.kept.borrow_mut().clear();
    }

    /// Keeps a copy for the next leader. If enough copies of this machine are kept, the new copy
    /// replaces a randomly chosen one.
    fn keep(&self, heartbeat: &Heartbeat) {
        let Some(delay) = self.for_next_leader.get() else {
            return;
        };
        let mut rng = self.rng.borrow_mut();
        if delay.draw(&mut *rng).is_none() {
            return;
        }
        let mut kept = self.kept.borrow_mut();
        let copies = kept.entry(heartbeat.machine.clone()).or_default();
        if copies.len() >= KEPT_PER_MACHINE {
            copies.swap_remove(rng.random_range(0..KEPT_PER_MACHINE));
        }
        copies.push(heartbeat.clone());
    }

    /// Sends all kept copies, each to every controller at the same time. Called on an election.
    pub fn deliver_kept(&self, now: f64) {
        let Some(delay) = self.for_next_leader.get() else {
            return;
        };
        let controllers = self.controllers.borrow();
        for heartbeat in self.kept.take().into_values().flatten() {
            let after_s = self
                .rng
                .borrow_mut()
                .random_range(delay.from_s..=delay.to_s);
            for (node, to) in controllers.iter().enumerate() {
                self.new.borrow_mut().push(HeartbeatCopy {
                    due: now + after_s,
                    node,
                    to: *to,
                    heartbeat: heartbeat.clone(),
                });
                self.in_flight.set(self.in_flight.get() + 1);
            }
        }
        self.wake.notify();
    }

    /// Notes a heartbeat that the controller with index `node` answered, and copies the heartbeat
    /// if a fault selects it.
    pub fn observe(&self, world: &WorldHandle, node: usize, heartbeat: &Heartbeat) {
        if self.host.get().is_none() {
            return;
        }
        let machine = heartbeat.machine.clone();
        self.newest.borrow_mut().insert(machine, heartbeat.clone());
        self.keep(heartbeat);
        let Some(delay) = self.delay.get() else {
            return;
        };
        if self.in_flight.get() >= MAX_IN_FLIGHT {
            return;
        }
        let mut rng = self.rng.borrow_mut();
        let Some(delay_s) = delay.draw(&mut *rng) else {
            return;
        };
        let controllers = self.controllers.borrow();
        let node = match rng.random_bool(0.5) {
            true => node,
            false => rng.random_range(0..controllers.len()),
        };
        self.new.borrow_mut().push(HeartbeatCopy {
            due: world.now() + delay_s,
            node,
            to: controllers[node],
            heartbeat: heartbeat.clone(),
        });
        self.in_flight.set(self.in_flight.get() + 1);
        self.wake.notify();
    }
}

/// Compares a copy with the newest heartbeat of its machine. The returned function makes the
/// history event from the status of the reply and the time that the reply took.
fn compare(
    copy: &HeartbeatCopy,
    newest: &BTreeMap<String, Heartbeat>,
) -> Option<impl FnOnce(u16, f64) -> EventKind + use<>> {
    let (node, copy) = (copy.node, &copy.heartbeat);
    let newest = newest.get(&copy.machine)?;
    let count = |of: &Heartbeat, is: &dyn Fn(&str) -> bool, exited: bool| {
        let tasks = of.tasks.iter();
        let tasks = tasks.filter(|t| (t.state == TaskState::Exited) == exited && is(&t.task));
        tasks.count() as u32
    };
    let is_active = |task: &str| {
        let mut tasks = newest.tasks.iter();
        tasks.any(|t| t.task == task && t.state != TaskState::Exited)
    };
    let machine = copy.machine.clone();
    let (order, newest_order) = (copy.ordering_key(), newest.ordering_key());
    let ended = count(copy, &|task| !is_active(task), false);
    let begun = count(copy, &is_active, true);
    Some(move |status, took_s| EventKind::LateHeartbeat {
        machine,
        node,
        status,
        took_s,
        order,
        newest: newest_order,
        ended,
        begun,
    })
}

/// Sends a copy and returns the status of the reply, or 0 without a reply. The body of the
/// reply is ignored, because the worker already has the reply to the original heartbeat.
async fn send(copy: &HeartbeatCopy) -> u16 {
    let client = Client::new(ClientLimits {
        max_body_bytes: 64 << 10,
        max_per_address: 1,
        max_idle: 0,
        max_total: 1,
        connect_timeout_s: CONNECTION_S,
    });
    let body = encode(&copy.heartbeat);
    let answer = client
        .request(copy.to, "POST", paths::HEARTBEAT, &body, CONNECTION_S)
        .await;
    answer.map_or(0, |(status, _)| status)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::kv_store_host::wide_limits;
    use umbersail_http::{Handler, Response, serve};
    use umbersail_runtime::{NetworkConfig, Simulation, TcpListener};
    use umbersail_wire::decode;

    fn heartbeat(seq: u64) -> Heartbeat {
        Heartbeat {
            machine: "m1".into(),
            addr: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: None,
            session: 1,
            seq,
            token: 0,
            notice_s: None,
            tasks: Vec::new(),
        }
    }

    #[test]
    fn delayed_copies_arrive_at_any_controller_and_outlive_the_fault() {
        // Guards against copies that arrive at once, that only reach the controller that
        // received the original, or that are dropped when the fault ends.
        let simulation = Simulation::new(3, NetworkConfig::default());
        let world = simulation.world();
        let seen: Rc<RefCell<Vec<(usize, f64)>>> = Rc::default();
        let received = seen.clone();
        let played = simulation.block_on(async move {
            let at = Addresses { simulated: true };
            let controllers: Vec<SocketAddr> = (0..3).map(|n| at.client_addr(n)).collect();
            for (n, front) in controllers.iter().enumerate() {
                let host = world.add_host(HostSpec::new(format!("n{n}"), at.ip(0, 0, n as u8 + 1)));
                let (front, received, clock) = (*front, received.clone(), world.clone());
                let handler: Handler = Rc::new(move |request| {
                    assert_eq!(request.path(), paths::HEARTBEAT);
                    let came: Heartbeat = decode(&request.body).unwrap();
                    assert_eq!(came, heartbeat(3));
                    received.borrow_mut().push((n, clock.now()));
                    Box::pin(async { Response::empty(200) })
                });
                world.start(host, async move {
                    serve(TcpListener::bind(front).unwrap(), wide_limits(), handler).await;
                });
            }
            let history = History::new(world.clone());
            let late = HeartbeatCopies::new(5, history.clone());
            late.observe(&world, 0, &heartbeat(1));
            let wanted = DelayFault {
                share: 1.0,
                from_s: 2.0,
                to_s: 30.0,
            };
            late.begin(&world, &controllers, wanted);
            (0..60).for_each(|_| late.observe(&world, 1, &heartbeat(3)));
            late.end();
            late.observe(&world, 1, &heartbeat(9));
            sleep(60.0).await;
            history.take()
        });
        let events = played.unwrap();
        let seen = seen.borrow();
        assert_eq!(seen.len(), 60);
        // The history has each copy with the status of its reply and the newest heartbeat by
        // then.
        assert_eq!(events.len(), 60);
        assert!(events.iter().all(|e| matches!(
            &e.what,
            EventKind::LateHeartbeat {
                status: 200,
                order: (1, 3),
                newest: (1, 9),
                ..
            }
        )));
        assert!(
            seen.iter().all(|(_, t)| (2.0..30.1).contains(t)),
            "{seen:?}"
        );
        assert!(seen.iter().any(|(_, t)| *t > 20.0));
        let at = |n| seen.iter().filter(|(node, _)| *node == n).count();
        assert!(at(0) > 3 && at(2) > 3 && at(1) > at(0) + at(2), "{seen:?}");
    }

    #[test]
    fn copies_kept_for_the_next_leader_arrive_at_all_controllers_after_its_election() {
        // Guards against copies that arrive without an election, or at one controller only.
        let simulation = Simulation::new(3, NetworkConfig::default());
        let world = simulation.world();
        let events = simulation.block_on(async move {
            let at = Addresses { simulated: true };
            let controllers: Vec<SocketAddr> = (0..3).map(|n| at.client_addr(n)).collect();
            let history = History::new(world.clone());
            let late = HeartbeatCopies::new(5, history.clone());
            let kept = DelayFault {
                share: 1.0,
                from_s: 0.0,
                to_s: 2.0,
            };
            late.begin_keeping(&world, &controllers, kept);
            (1..40).for_each(|seq| late.observe(&world, 1, &heartbeat(seq)));
            sleep(20.0).await;
            late.deliver_kept(world.now());
            sleep(20.0).await;
            late.deliver_kept(world.now());
            sleep(20.0).await;
            history.take()
        });
        let events = events.unwrap();
        assert_eq!(events.len(), KEPT_PER_MACHINE * 3);
        for event in &events {
            let EventKind::LateHeartbeat { took_s, .. } = &event.what else {
                panic!("{event:?}");
            };
            assert!((20.0..=22.0).contains(&(event.t - took_s)), "{event:?}");
        }
        for node in 0..3 {
            let here = |e: &&crate::history::Event| matches!(e.what, EventKind::LateHeartbeat { node: n, .. } if n == node);
            assert_eq!(events.iter().filter(here).count(), KEPT_PER_MACHINE);
        }
    }
}
