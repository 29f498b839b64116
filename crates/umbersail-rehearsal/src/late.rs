//! Reports that come a second time: copies of what was delivered, sent on
//! connections of their own after a while, as a network that holds packets back
//! delivers them. Nobody waits for their answers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_http::{Client, ClientLimits};
use umbersail_runtime::{HostId, HostSpec, Notify, WorldHandle, sleep, spawn};
use umbersail_wire::paths;

use crate::places::Addresses;

/// A copy's connection lasts so long at the most, in seconds.
const COPY_S: f64 = 4.0;
/// Copies under way at once: what goes beyond is not copied, so that memory stays
/// bounded on the largest fleets.
const MOST: usize = 20_000;

/// Which reports come again, and when.
#[derive(Debug, Clone, Copy)]
pub struct Late {
    pub share: f64,
    pub from_s: f64,
    pub to_s: f64,
}

/// One copy: when it is due, by true time, where, and what.
struct Copied {
    due: f64,
    to: SocketAddr,
    body: Vec<u8>,
}

/// The place in the network where copies wait. It is a host of its own: a copy
/// arrives whatever has become of the machine that sent the report.
pub struct LateReports {
    late: Cell<Option<Late>>,
    host: Cell<Option<HostId>>,
    fronts: RefCell<Vec<SocketAddr>>,
    /// Taken up by the host's routine as soon as they are there.
    new: Rc<RefCell<Vec<Copied>>>,
    under_way: Rc<Cell<usize>>,
    wake: Rc<Notify>,
    rng: RefCell<ChaCha8Rng>,
}

impl LateReports {
    pub fn new(seed: u64) -> LateReports {
        LateReports {
            late: Cell::new(None),
            host: Cell::new(None),
            fronts: RefCell::default(),
            new: Rc::default(),
            under_way: Rc::default(),
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
        let clock = world.clone();
        world.start(host, async move {
            loop {
                for copied in new.take() {
                    let under_way = under_way.clone();
                    let wait = copied.due - clock.now();
                    spawn(async move {
                        sleep(wait.max(0.0)).await;
                        send(copied).await;
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

    /// A report was delivered at one of the controllers.
    pub fn saw(&self, world: &WorldHandle, node: usize, body: &[u8]) {
        let Some(late) = self.late.get() else {
            return;
        };
        let mut rng = self.rng.borrow_mut();
        if !rng.random_bool(late.share) || self.under_way.get() >= MOST {
            return;
        }
        let fronts = self.fronts.borrow();
        let node = match rng.random_bool(0.5) {
            true => node,
            false => rng.random_range(0..fronts.len()),
        };
        self.new.borrow_mut().push(Copied {
            due: world.now() + rng.random_range(late.from_s..=late.to_s),
            to: fronts[node],
            body: body.to_vec(),
        });
        self.under_way.set(self.under_way.get() + 1);
        self.wake.notify();
    }
}

async fn send(copied: Copied) {
    let client = Client::new(ClientLimits {
        max_body_bytes: 64 << 10,
        max_per_address: 1,
        max_idle: 0,
        max_total: 1,
        connect_s: COPY_S,
    });
    let (to, body) = (copied.to, &copied.body);
    // It was answered when it came first: nobody reads what is said now.
    let _ = client
        .request(to, "POST", paths::REPORT, body, COPY_S)
        .await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger_host::wide_limits;
    use umbersail_http::{Handler, Response, serve};
    use umbersail_runtime::{NetworkConfig, Simulation, TcpListener};

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
                    assert_eq!(
                        (request.path(), &*request.body),
                        (paths::REPORT, &b"body"[..])
                    );
                    told.borrow_mut().push((n, clock.now()));
                    Box::pin(async { Response::empty(200) })
                });
                world.start(host, async move {
                    serve(TcpListener::bind(front).unwrap(), wide_limits(), handler).await;
                });
            }
            let late = LateReports::new(5);
            late.saw(&world, 0, b"before");
            let wanted = Late {
                share: 1.0,
                from_s: 2.0,
                to_s: 30.0,
            };
            late.begin(&world, &fronts, wanted);
            (0..60).for_each(|_| late.saw(&world, 1, b"body"));
            late.end();
            late.saw(&world, 1, b"after");
            sleep(60.0).await;
        });
        played.unwrap();
        let seen = seen.borrow();
        assert_eq!(seen.len(), 60);
        assert!(
            seen.iter().all(|(_, t)| (2.0..30.1).contains(t)),
            "{seen:?}"
        );
        assert!(seen.iter().any(|(_, t)| *t > 20.0));
        let at = |n| seen.iter().filter(|(node, _)| *node == n).count();
        assert!(at(0) > 3 && at(2) > 3 && at(1) > at(0) + at(2), "{seen:?}");
    }
}
