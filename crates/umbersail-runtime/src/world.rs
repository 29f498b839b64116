//! Access to a world: hosts, processes, fault injection, clocks and random numbers.

use std::future::Future;
use std::rc::Rc;

use rand::RngCore;

use crate::clock::{Clock, SystemClock, Time};
use crate::executor::{Inner, Runtime, World, query_current, with_current};
use crate::routine_id::RoutineId;
use crate::sim::{
    EPOCH_MS, Host, HostId, HostSpec, NetworkConfig, PartitionId, PartitionMode, WorkCounters,
};

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// A handle on a world, to add hosts and inject faults.
///
/// In the real world a host is only a group of routines of this process. Such a host can be
/// started and killed, but not partitioned, frozen, skewed or slowed down: calls that inject
/// these faults do nothing ([`WorldHandle::is_simulated`] distinguishes the two cases).
#[derive(Clone)]
pub struct WorldHandle {
    inner: Rc<Inner>,
}

impl Runtime {
    /// Returns a handle on the world of this runtime.
    pub fn world(&self) -> WorldHandle {
        WorldHandle {
            inner: self.inner.clone(),
        }
    }
}

impl WorldHandle {
    /// Whether the world is simulated.
    pub fn is_simulated(&self) -> bool {
        self.inner.simulated().is_some()
    }

    /// Returns true time, in seconds since the start of the world. Unlike the clock of a host,
    /// true time neither drifts nor has an offset.
    pub fn now(&self) -> f64 {
        self.inner.now() as f64 / NANOS_PER_SECOND
    }

    /// Returns the numbers of packets and of routine steps so far; zero in the real world.
    pub fn work_counters(&self) -> WorkCounters {
        let sim = self.inner.simulated();
        sim.map_or(WorkCounters::default(), |sim| sim.work_counters())
    }

    /// Adds a host that is powered on and has no process.
    pub fn add_host(&self, spec: HostSpec) -> HostId {
        match &self.inner.world {
            World::Simulated(sim) => sim.add_host(spec),
            World::Real(real) => {
                let mut roots = real.host_roots.borrow_mut();
                roots.push(None);
                HostId(roots.len() as u32)
            }
        }
    }

    /// Starts a process on the host; kills its previous process.
    pub fn start(&self, host: HostId, process: impl Future<Output = ()> + 'static) {
        self.kill(host);
        if let Some(sim) = self.inner.simulated() {
            sim.reset_for_start(host);
        }
        let root = self.inner.start(host, None, process);
        self.replace_root(host, Some(root));
    }

    /// Sets the root routine of a host and returns the previous one.
    fn replace_root(&self, host: HostId, root: Option<RoutineId>) -> Option<RoutineId> {
        match &self.inner.world {
            World::Simulated(sim) => std::mem::replace(&mut sim.host(host).root, root),
            World::Real(real) => {
                let index = (host.0 as usize).checked_sub(1)?;
                std::mem::replace(real.host_roots.borrow_mut().get_mut(index)?, root)
            }
        }
    }

    /// Starts a routine outside of every host. The routine has no parent, so it is not
    /// cancelled when another routine ends.
    pub fn spawn(&self, routine: impl Future<Output = ()> + 'static) {
        self.inner.start(HostId::OUTSIDE, None, routine);
    }

    /// Kills the process of the host. The host stays up and closes the connections of the
    /// process.
    pub fn kill(&self, host: HostId) {
        self.update_host(host, |host| host.parked.clear());
        if let Some(root) = self.replace_root(host, None) {
            self.inner.remove(root);
        }
        self.update_host(host, |host| host.sockets = 0);
    }

    /// Cuts the power of the host: its process ends without closing its connections.
    pub fn power_off(&self, host: HostId) {
        self.update_host(host, |host| host.powered = false);
        self.kill(host);
    }

    /// Suspends all routines of the host until [`WorldHandle::thaw`].
    pub fn freeze(&self, host: HostId) {
        self.update_host(host, |host| host.frozen = true);
    }

    /// Resumes a frozen host.
    pub fn thaw(&self, host: HostId) {
        let Some(sim) = self.inner.simulated() else {
            return;
        };
        let parked = {
            let mut state = sim.host(host);
            state.frozen = false;
            std::mem::take(&mut state.parked)
        };
        for routine in parked {
            self.inner.make_ready(routine);
        }
    }

    /// Sets the factor by which the host computes more slowly than specified; 1 is normal.
    pub fn set_slowdown(&self, host: HostId, factor: f64) {
        self.update_host(host, |host| host.slowdown = factor);
    }

    /// Sets latency, jitter and loss for packets sent from now on.
    pub fn set_network(&self, config: NetworkConfig) {
        if let Some(sim) = self.inner.simulated() {
            sim.set_network_config(config);
        }
    }

    /// Returns the processor time used by all hosts together so far, in core-seconds; 0 in the
    /// real world.
    pub fn total_cpu_s(&self) -> f64 {
        let sim = self.inner.simulated();
        sim.map_or(0.0, |sim| sim.total_cpu_s())
    }

    /// Returns the processor time used by the host so far, in core-seconds; 0 in the real
    /// world.
    pub fn cpu_s(&self, host: HostId) -> f64 {
        let sim = self.inner.simulated();
        sim.map_or(0.0, |sim| sim.host(host).cpu_s)
    }

    /// Sets the offset of the time of day on the host, in milliseconds.
    pub fn set_skew(&self, host: HostId, skew_ms: f64) {
        self.update_host(host, |host| host.spec.skew_ms = skew_ms);
    }

    /// Returns the number of open connections of a host; 0 in the real world.
    pub fn sockets(&self, host: HostId) -> usize {
        let sim = self.inner.simulated();
        sim.map_or(0, |sim| sim.host(host).sockets)
    }

    /// Partitions the network between all hosts of `a` and all hosts of `b` until
    /// [`WorldHandle::heal`].
    pub fn partition(&self, a: &[HostId], b: &[HostId], mode: PartitionMode) -> PartitionId {
        let sim = self.inner.simulated();
        sim.map_or(PartitionId(0), |sim| sim.partition(a, b, mode))
    }

    /// Ends a partition; packets that it held back are delivered in order.
    pub fn heal(&self, partition: PartitionId) {
        if let Some(sim) = self.inner.simulated() {
            sim.heal(&self.inner.timers, partition);
        }
    }

    /// Returns the clocks of a host; the steady clock counts from the start of its process.
    pub fn clock(&self, host: HostId) -> Rc<dyn Clock> {
        match self.is_simulated() {
            true => Rc::new(HostClock {
                inner: self.inner.clone(),
                host,
            }),
            false => Rc::new(SystemClock::default()),
        }
    }

    fn update_host(&self, host: HostId, update: impl FnOnce(&mut Host)) {
        if let Some(sim) = self.inner.simulated() {
            update(&mut sim.host(host));
        }
    }
}

/// The clocks of a simulated host.
struct HostClock {
    inner: Rc<Inner>,
    host: HostId,
}

impl Clock for HostClock {
    fn now(&self) -> Time {
        let Some(sim) = self.inner.simulated() else {
            return 0.0;
        };
        let host = sim.host(self.host);
        (sim.now() - host.started_at) as f64 / NANOS_PER_SECOND * host.spec.clock_rate
    }

    fn unix_ms(&self) -> u64 {
        let Some(sim) = self.inner.simulated() else {
            return 0;
        };
        let skew_ms = sim.host(self.host).spec.skew_ms;
        (EPOCH_MS as f64 + sim.now() as f64 / NANOS_PER_MILLISECOND + skew_ms) as u64
    }
}

/// Draws a random value: in a simulated world from the seeded generator of the running
/// routine's host, in the real world from that of the machine.
///
/// ```
/// use rand::Rng;
///
/// let simulation = umbersail_runtime::Simulation::new(7, Default::default());
/// let value = simulation
///     .block_on(async { umbersail_runtime::random(|rng| rng.random_range(0..10)) })
///     .unwrap();
/// assert!(value < 10);
/// ```
pub fn random<R>(draw: impl FnOnce(&mut dyn RngCore) -> R) -> R {
    with_current(|inner| match &inner.world {
        World::Real(_) => draw(&mut rand::rng()),
        World::Simulated(sim) => sim.draw(inner.host(), draw),
    })
}

/// Charges `core_s` core-seconds of processor time to the host of the running routine, beyond
/// the fixed cost of each step.
///
/// In the real world the call does nothing: the machine has already spent the time. A
/// simulated host stays busy for the charged time, so that work that grows with the fleet has
/// a cost in simulations.
pub fn charge_cpu(core_s: f64) {
    query_current(|inner| {
        let sim = inner.simulated()?;
        sim.host(inner.host()).charge_cpu(core_s);
        Some(())
    });
}

/// Returns true time and the name of the current host, for log lines; `None` outside a
/// simulated world.
pub fn simulated_time_and_host() -> Option<(f64, String)> {
    query_current(|inner| {
        let sim = inner.simulated()?;
        let name = sim.host(inner.host()).spec.name.clone();
        Some((sim.now() as f64 / NANOS_PER_SECOND, name))
    })
}
