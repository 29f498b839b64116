//! Simulated hosts: power, processor time, clocks and open sockets.

use std::cell::RefMut;
use std::net::Ipv4Addr;

use rand_chacha::ChaCha8Rng;

use super::Sim;
use crate::routine_id::RoutineId;
use crate::timers::{Nanos, nanos};

/// Identifies a host of a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub(crate) u32);

impl HostId {
    /// The pseudo-host of routines outside of every host, such as the one that controls the
    /// simulation. This host has no address on the network.
    pub const OUTSIDE: HostId = HostId(0);
}

/// Properties of a host.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Name, used in log lines and as part of the seed of the random numbers of the host.
    pub name: String,
    /// Address on the simulated network.
    pub ip: Ipv4Addr,
    /// Rate of the steady clock relative to true time.
    pub clock_rate: f64,
    /// Offset of the time of day in milliseconds.
    pub skew_ms: f64,
    /// Most connections that the host may have open at once.
    pub max_sockets: usize,
    /// Processor time of each step of a routine, in core-seconds; with 0, steps take no time.
    pub cpu_per_step_s: f64,
    /// Share of a core that the host has.
    pub cpu_share: f64,
}

impl HostSpec {
    /// Describes a host with exact clocks, unlimited sockets and steps that take no time.
    pub fn new(name: impl Into<String>, ip: Ipv4Addr) -> HostSpec {
        HostSpec {
            name: name.into(),
            ip,
            clock_rate: 1.0,
            skew_ms: 0.0,
            max_sockets: usize::MAX,
            cpu_per_step_s: 0.0,
            cpu_share: 1.0,
        }
    }
}

/// State of a simulated host.
pub(crate) struct Host {
    pub spec: HostSpec,
    /// A host without power neither accepts nor refuses connections.
    pub powered: bool,
    /// The routines of a frozen host do not run.
    pub frozen: bool,
    /// Routines that became ready while the host was frozen.
    pub parked: Vec<RoutineId>,
    /// Time until which the processor is busy.
    pub busy_until: Nanos,
    /// Factor by which the host computes more slowly than specified.
    pub slowdown: f64,
    /// Processor time used so far, in core-seconds.
    pub cpu_s: f64,
    /// Time at which the current process started.
    pub started_at: Nanos,
    /// Root routine of the current process.
    pub root: Option<RoutineId>,
    pub rng: ChaCha8Rng,
    /// Number of open connections.
    pub sockets: usize,
    /// Number of processes started on the host so far.
    pub starts: u64,
}

impl Host {
    pub fn new(spec: HostSpec, rng: ChaCha8Rng, now: Nanos) -> Host {
        Host {
            spec,
            powered: true,
            frozen: false,
            parked: Vec::new(),
            busy_until: 0,
            slowdown: 1.0,
            cpu_s: 0.0,
            started_at: now,
            root: None,
            rng,
            sockets: 0,
            starts: 0,
        }
    }

    /// Charges `core_s` core-seconds of processor time: the host is busy for that time after
    /// `busy_until`.
    pub fn charge_cpu(&mut self, core_s: f64) {
        let duration_s = core_s * self.slowdown;
        self.cpu_s += duration_s;
        self.busy_until += nanos(duration_s / self.spec.cpu_share);
    }

    pub fn has_free_socket(&self) -> bool {
        self.sockets < self.spec.max_sockets
    }
}

/// Whether a routine may run its next step.
pub(crate) enum StepAdmission {
    Run,
    /// The host is frozen; the routine runs when the host thaws.
    Parked,
    /// The processor is busy until this time.
    Delayed(Nanos),
}

impl Sim {
    pub(crate) fn host(&self, id: HostId) -> RefMut<'_, Host> {
        RefMut::map(self.hosts.borrow_mut(), |hosts| &mut hosts[id.0 as usize])
    }

    /// Adds a host that is powered on and has no process.
    pub(crate) fn add_host(&self, spec: HostSpec) -> HostId {
        let mut hosts = self.hosts.borrow_mut();
        let id = HostId(hosts.len() as u32);
        self.network.borrow_mut().hosts_by_ip.insert(spec.ip, id);
        let rng = self.host_rng(&spec.name, 0);
        hosts.push(Host::new(spec, rng, self.now()));
        id
    }

    /// Prepares the host for a new process: powers it on, and restarts its steady clock and its
    /// random numbers.
    pub(crate) fn reset_for_start(&self, id: HostId) {
        let mut host = self.host(id);
        host.starts += 1;
        host.started_at = self.now();
        host.busy_until = 0;
        host.powered = true;
        let rng = self.host_rng(&host.spec.name, host.starts);
        host.rng = rng;
    }

    pub(crate) fn clock_rate(&self, id: HostId) -> f64 {
        self.host(id).spec.clock_rate
    }

    /// Decides whether the routine may run a step now. If so, charges the step to the host.
    pub(crate) fn admit_step(&self, host: HostId, routine: RoutineId) -> StepAdmission {
        let now = self.now();
        let mut host = self.host(host);
        if host.frozen {
            host.parked.push(routine);
            return StepAdmission::Parked;
        }
        if host.busy_until > now {
            return StepAdmission::Delayed(host.busy_until);
        }
        host.busy_until = now;
        let cpu_per_step_s = host.spec.cpu_per_step_s;
        host.charge_cpu(cpu_per_step_s);
        self.count_step();
        StepAdmission::Run
    }

    /// Returns the processor time used by all hosts so far, in core-seconds.
    pub(crate) fn total_cpu_s(&self) -> f64 {
        self.hosts.borrow().iter().map(|host| host.cpu_s).sum()
    }
}
