//! Reports that come a second time: copies of what was delivered, sent on
//! connections of their own after a while, as a network that holds packets back
//! delivers them. Nobody waits for their answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_http::{Client, ClientLimits};
use umbersail_runtime::{HostId, HostSpec, Notify, WorldHandle, sleep, spawn};
use umbersail_wire::{Heartbeat, TaskState, encode, paths};

use crate::history::{History, What};
use crate::places::Addresses;
use crate::scenario::Failure;

/// A copy's connection lasts so long at the most, in seconds.
const COPY_S: f64 = 4.0;
/// Copies under way at once: what goes beyond is not copied, so that memory stays
/// bounded on the largest fleets.
const MOST: usize = 20_000;
/// Copies of one machine's reports that are kept for the next leader.
const KEPT: usize = 3;

/// Which reports come again, and when.
#[derive(Debug, Clone, Copy)]
pub struct Late {
    pub share: f64,
    pub from_s: f64,
    pub to_s: f64,
}

impl Late {
    /// As a failure of the script has it.
    pub fn of(failure: &Failure) -> Late {
        Late {
            share: failure.share.unwrap_or(1.0),
            from_s: failure.from_s.unwrap_or(0.0),
            to_s: failure.to_s.unwrap_or(0.0),
        }
    }

    /// How many seconds late one comes, if it does.
    pub fn draw(&self, rng: &mut (impl Rng + ?Sized)) -> Option<f64> {
        let is_late = rng.random_bool(self.share);
        is_late.then(|| rng.random_range(self.from_s..=self.to_s))
    }
}

/// One copy: when it is due, by true time, where, and what.
struct Copied {
    due: f64,
    node: usize,
    to: SocketAddr,
    report: Heartbeat,
}

/// The place in the network where copies wait. It is a host of its own: a copy
/// arrives whatever has become of the machine that sent the report.
pub struct LateReports {
    late: Cell<Option<Late>>,
    /// Copies are kept for the next leader, and come so long after its election.
    for_next: Cell<Option<Late>>,
    kept: RefCell<BTreeMap<String, Vec<Heartbeat>>>,
    host: Cell<Option<HostId>>,
    fronts: RefCell<Vec<SocketAddr>>,
    /// Taken up by the host's routine as soon as they are there.
    new: Rc<RefCell<Vec<Copied>>>,
    under_way: Rc<Cell<usize>>,
    /// The newest report of each machine that was answered.
    newest: Rc<RefCell<BTreeMap<String, Heartbeat>>>,
    history: History,
    wake: Rc<Notify>,
    rng: RefCell<ChaCha8Rng>,
}

impl LateReports {
    pub fn new(seed: u64, history: History) -> LateReports {
        LateReports {
            late: Cell::new(None),
            for_next: Cell::new(None),
            kept: RefCell::default(),
            host: Cell::new(None),
            fronts: RefCell::default(),
            new: Rc::default(),
            under_way: Rc::default(),
            newest: Rc::default(),
            history,
            wake: Rc::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x6c61_7465)),
        }
    }

    /// Where copies come from, once there were any.
    pub fn host(&self) -> Option<HostId> {
        self.host.get()
    }

    /// From now on reports are copied.
    pub fn begin(&self, world: &WorldHandle, fronts: &[SocketAddr], late: Late) {
        self.late.set(Some(late));
        self.prepare(world, fronts);
    }

    /// From now on copies of reports are kept for the next leader.
    pub fn begin_keeping(&self, world: &WorldHandle, fronts: &[SocketAddr], late: Late) {
        self.for_next.set(Some(late));
        self.prepare(world, fronts);
    }

    /// The host that copies come from.
    fn prepare(&self, world: &WorldHandle, fronts: &[SocketAddr]) {
        if self.host.get().is_some() {
            return;
        }
        let at = Addresses {
            simulated: world.is_simulated(),
        };
        let host = world.add_host(HostSpec::new("copies", at.ip(3, 0, 2)));
        self.host.set(Some(host));
        *self.fronts.borrow_mut() = fronts.to_vec();
        let (new, under_way, wake) = (self.new.clone(), self.under_way.clone(), self.wake.clone());
        let (newest, history) = (self.newest.clone(), self.history.clone());
        let clock = world.clone();
        world.start(host, async move {
            loop {
                for copied in new.take() {
                    let (under_way, newest) = (under_way.clone(), newest.clone());
                    let (history, spawned) = (history.clone(), clock.clone());
                    let wait = copied.due - clock.now();
                    spawn(async move {
                        sleep(wait.max(0.0)).await;
                        // As it was when the copy came, not when it was answered.
                        let came = compare(&copied, &newest.borrow());
                        let sent = spawned.now();
                        let status = send(&copied).await;
                        if let Some(came) = came {
                            let took_s = spawned.now() - sent;
                            history.add(came(status, (took_s * 1e6).round() / 1e6));
                        }
                        under_way.set(under_way.get() - 1);
                    });
                }
                wake.notified().await;
            }
        });
    }

    /// No more copies are made; those under way arrive.
    pub fn end(&self) {
        self.late.set(None);
    }

    /// No more copies are kept, and those that were are dropped.
    pub fn end_keeping(&self) {
        self.for_next.set(None);
        self.kept.borrow_mut().clear();
    }

    /// Keeps the report for the next leader, in place of some other one of its machine
    /// once there are enough.
    fn keep(&self, report: &Heartbeat) {
        let Some(late) = self.for_next.get() else {
            return;
        };
        let mut rng = self.rng.borrow_mut();
        if late.draw(&mut *rng).is_none() {
            return;
        }
        let mut kept = self.kept.borrow_mut();
        let copies = kept.entry(report.machine.clone()).or_default();
        if copies.len() >= KEPT {
            copies.swap_remove(rng.random_range(0..KEPT));
        }
        copies.push(report.clone());
    }

    /// A leader was elected: what was kept for it arrives, at all controllers at once.
    pub fn deliver_kept(&self, now: f64) {
        let Some(late) = self.for_next.get() else {
            return;
        };
        let fronts = self.fronts.borrow();
        for report in self.kept.take().into_values().flatten() {
            let after_s = self.rng.borrow_mut().random_range(late.from_s..=late.to_s);
            for (node, to) in fronts.iter().enumerate() {
                self.new.borrow_mut().push(Copied {
                    due: now + after_s,
                    node,
                    to: *to,
                    report: report.clone(),
                });
                self.under_way.set(self.under_way.get() + 1);
            }
        }
        self.wake.notify();
    }

    /// A report was answered by one of the controllers.
    pub fn saw(&self, world: &WorldHandle, node: usize, report: &Heartbeat) {
        if self.host.get().is_none() {
            return;
        }
        let machine = report.machine.clone();
        self.newest.borrow_mut().insert(machine, report.clone());
        self.keep(report);
        let Some(late) = self.late.get() else {
            return;
        };
        if self.under_way.get() >= MOST {
            return;
        }
        let mut rng = self.rng.borrow_mut();
        let Some(late_s) = late.draw(&mut *rng) else {
            return;
        };
        let fronts = self.fronts.borrow();
        let node = match rng.random_bool(0.5) {
            true => node,
            false => rng.random_range(0..fronts.len()),
        };
        self.new.borrow_mut().push(Copied {
            due: world.now() + late_s,
            node,
            to: fronts[node],
            report: report.clone(),
        });
        self.under_way.set(self.under_way.get() + 1);
        self.wake.notify();
    }
}

/// How a copy stands to the newest report of its machine: the event, once the status
/// of the answer is known.
fn compare(
    copied: &Copied,
    newest: &BTreeMap<String, Heartbeat>,
) -> Option<impl FnOnce(u16, f64) -> What + use<>> {
    let (copy, newest) = (&copied.report, newest.get(&copied.report.machine)?);
    let count = |of: &Heartbeat, is: &dyn Fn(&str) -> bool, exited: bool| {
        let tasks = of.tasks.iter();
        let tasks = tasks.filter(|t| (t.state == TaskState::Exited) == exited && is(&t.task));
        tasks.count() as u32
    };
    let is_active = |task: &str| {
        let mut tasks = newest.tasks.iter();
        tasks.any(|t| t.task == task && t.state != TaskState::Exited)
    };
    let (machine, node) = (copy.machine.clone(), copied.node);
    let (order, newest_order) = (copy.ordering_key(), newest.ordering_key());
    let ended = count(copy, &|task| !is_active(task), false);
    let begun = count(copy, &is_active, true);
    Some(move |status, took_s| What::LateReport {
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

/// Sends it, for the status of the answer. The report was answered when it came
/// first: nobody reads what is said now.
async fn send(copied: &Copied) -> u16 {
    let client = Client::new(ClientLimits {
        max_body_bytes: 64 << 10,
        max_per_address: 1,
        max_idle: 0,
        max_total: 1,
        connect_timeout_s: COPY_S,
    });
    let body = encode(&copied.report);
    let answer = client
        .request(copied.to, "POST", paths::HEARTBEAT, &body, COPY_S)
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

    fn report(seq: u64) -> Heartbeat {
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
    fn copies_come_in_their_time_at_any_controller_and_outlive_the_trouble() {
        // Guards against copies that come at once, or only where the report went,
        // or that end with the trouble that made them.
        let simulation = Simulation::new(3, NetworkConfig::default());
        let world = simulation.world();
        let seen: Rc<RefCell<Vec<(usize, f64)>>> = Rc::default();
        let told = seen.clone();
        let played = simulation.block_on(async move {
            let at = Addresses { simulated: true };
            let fronts: Vec<SocketAddr> = (0..3).map(|n| at.front(n)).collect();
            for (n, front) in fronts.iter().enumerate() {
                let host = world.add_host(HostSpec::new(format!("n{n}"), at.ip(0, 0, n as u8 + 1)));
                let (front, told, clock) = (*front, told.clone(), world.clone());
                let handler: Handler = Rc::new(move |request| {
                    assert_eq!(request.path(), paths::HEARTBEAT);
                    let came: Heartbeat = decode(&request.body).unwrap();
                    assert_eq!(came, report(3));
                    told.borrow_mut().push((n, clock.now()));
                    Box::pin(async { Response::empty(200) })
                });
                world.start(host, async move {
                    serve(TcpListener::bind(front).unwrap(), wide_limits(), handler).await;
                });
            }
            let history = History::new(world.clone());
            let late = LateReports::new(5, history.clone());
            late.saw(&world, 0, &report(1));
            let wanted = Late {
                share: 1.0,
                from_s: 2.0,
                to_s: 30.0,
            };
            late.begin(&world, &fronts, wanted);
            (0..60).for_each(|_| late.saw(&world, 1, &report(3)));
            late.end();
            late.saw(&world, 1, &report(9));
            sleep(60.0).await;
            history.take()
        });
        let told = played.unwrap();
        let seen = seen.borrow();
        assert_eq!(seen.len(), 60);
        // The history tells each with its answer, and what was newer by then.
        assert_eq!(told.len(), 60);
        assert!(told.iter().all(|e| matches!(
            &e.what,
            What::LateReport {
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
    fn copies_kept_for_the_next_leader_come_at_all_controllers_after_its_election() {
        // Guards against copies that come without an election, or at one controller.
        let simulation = Simulation::new(3, NetworkConfig::default());
        let world = simulation.world();
        let told = simulation.block_on(async move {
            let at = Addresses { simulated: true };
            let fronts: Vec<SocketAddr> = (0..3).map(|n| at.front(n)).collect();
            let history = History::new(world.clone());
            let late = LateReports::new(5, history.clone());
            let kept = Late {
                share: 1.0,
                from_s: 0.0,
                to_s: 2.0,
            };
            late.begin_keeping(&world, &fronts, kept);
            (1..40).for_each(|seq| late.saw(&world, 1, &report(seq)));
            sleep(20.0).await;
            late.deliver_kept(world.now());
            sleep(20.0).await;
            late.deliver_kept(world.now());
            sleep(20.0).await;
            history.take()
        });
        let told = told.unwrap();
        assert_eq!(told.len(), KEPT * 3);
        for event in &told {
            let What::LateReport { took_s, .. } = &event.what else {
                panic!("{event:?}");
            };
            assert!((20.0..=22.0).contains(&(event.t - took_s)), "{event:?}");
        }
        for node in 0..3 {
            let here = |e: &&crate::history::Event| matches!(e.what, What::LateReport { node: n, .. } if n == node);
            assert_eq!(told.iter().filter(here).count(), KEPT);
        }
    }
}
