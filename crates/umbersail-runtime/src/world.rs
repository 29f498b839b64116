//! Handles on a world: hosts, processes, fault injection and clocks.

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
/// In the real world hosts are only names for routines of this process: they
/// start and end, but can't be partitioned, frozen, skewed or slowed down, and
/// calls that ask for it do nothing ([`WorldHandle::is_simulated`] tells).
#[derive(Clone)]
pub struct WorldHandle {
    inner: Rc<Inner>,
}

impl Runtime {
    /// The world in which it runs.
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

    /// True time in seconds since the start.
    pub fn now(&self) -> f64 {
        self.inner.now() as f64 / NANOS_PER_SECOND
    }

    /// Packets sent and steps of routines so far.
    pub fn work_counters(&self) -> WorkCounters {
        let sim = self.inner.simulated();
        sim.map_or(WorkCounters::default(), |sim| sim.work_counters())
    }

    /// Adds a host with power and nothing running.
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

    /// Starts a process there in place of the one before.
    pub fn start(&self, host: HostId, process: impl Future<Output = ()> + 'static) {
        self.kill(host);
        if let Some(sim) = self.inner.simulated() {
            sim.reset_for_start(host);
        }
        let root = self.inner.start(host, None, process);
        self.replace_root(host, Some(root));
    }

    /// Sets a host's first routine and returns the one before.
    fn replace_root(&self, host: HostId, root: Option<RoutineId>) -> Option<RoutineId> {
        match &self.inner.world {
            World::Simulated(sim) => std::mem::replace(&mut sim.host(host).root, root),
            World::Real(real) => {
                let index = (host.0 as usize).checked_sub(1)?;
                std::mem::replace(real.host_roots.borrow_mut().get_mut(index)?, root)
            }
        }
    }

    /// Starts a routine outside of every host; no other routine's end ends it.
    pub fn spawn(&self, routine: impl Future<Output = ()> + 'static) {
        self.inner.start(HostId::OUTSIDE, None, routine);
    }

    /// The process ends; its kernel closes its connections.
    pub fn kill(&self, host: HostId) {
        self.update_host(host, |host| host.parked.clear());
        if let Some(root) = self.replace_root(host, None) {
            self.inner.remove(root);
        }
        self.update_host(host, |host| host.sockets = 0);
    }

    /// The machine loses power: it stops without closing its connections.
    pub fn power_off(&self, host: HostId) {
        self.update_host(host, |host| host.powered = false);
        self.kill(host);
    }

    /// Suspends everything on the host until it thaws.
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

    /// Sets the factor by which the host computes more slowly; 1 is normal.
    pub fn set_slowdown(&self, host: HostId, times: f64) {
        self.update_host(host, |host| host.slowdown = times);
    }

    /// Sets how packets travel from now on.
    pub fn set_network(&self, config: NetworkConfig) {
        if let Some(sim) = self.inner.simulated() {
            sim.set_network_config(config);
        }
    }

    /// Processor time used by all hosts together, as [`WorldHandle::cpu_s`].
    pub fn total_cpu_s(&self) -> f64 {
        let sim = self.inner.simulated();
        sim.map_or(0.0, |sim| sim.total_cpu_s())
    }

    /// Processor time used by the host so far, in seconds of a whole core.
    pub fn cpu_s(&self, host: HostId) -> f64 {
        let sim = self.inner.simulated();
        sim.map_or(0.0, |sim| sim.host(host).cpu_s)
    }

    /// Sets the offset of the host's time of day, in milliseconds.
    pub fn set_skew(&self, host: HostId, skew_ms: f64) {
        self.update_host(host, |host| host.spec.skew_ms = skew_ms);
    }

    /// Open connections of a host.
    pub fn sockets(&self, host: HostId) -> usize {
        let sim = self.inner.simulated();
        sim.map_or(0, |sim| sim.host(host).sockets)
    }

    /// Separates all hosts of `a` from all of `b` until it is healed.
    pub fn partition(&self, a: &[HostId], b: &[HostId], mode: PartitionMode) -> PartitionId {
        let sim = self.inner.simulated();
        sim.map_or(PartitionId(0), |sim| sim.partition(a, b, mode))
    }

    /// Ends a partition; held packets are delivered in order.
    pub fn heal(&self, partition: PartitionId) {
        if let Some(sim) = self.inner.simulated() {
            sim.heal(&self.inner.timers, partition);
        }
    }

    /// The clocks of a host; the steady one counts from the start of its process.
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

/// Draws a value: from the host's own seeded generator in a simulated world,
/// from the machine's elsewhere.
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

/// Declares processor time of the current step beyond what every step takes, in
/// seconds of a whole core.
///
/// A real machine has spent it already. A simulated host falls behind by it, so
/// that work which grows with the fleet has a cost in simulations.
pub fn charge_cpu(core_s: f64) {
    query_current(|inner| {
        let sim = inner.simulated()?;
        sim.host(inner.host()).charge_cpu(core_s);
        Some(())
    });
}

/// True time and the name of the current host, for log lines; `None` outside of
/// a simulated world.
pub fn simulated_time_and_host() -> Option<(f64, String)> {
    query_current(|inner| {
        let sim = inner.simulated()?;
        let name = sim.host(inner.host()).spec.name.clone();
        Some((sim.now() as f64 / NANOS_PER_SECOND, name))
    })
}
