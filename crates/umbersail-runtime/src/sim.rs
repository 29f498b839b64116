//! A simulated world: virtual time, hosts with clocks that drift, and a network
//! in memory that delays, loses, holds back and refuses. One seed decides
//! everything, so that the same program plays the same night twice.
//!
//! A host is one process on a machine of its own. What runs there uses
//! [`sleep`](crate::sleep), [`TcpStream`](crate::TcpStream) and
//! [`random`](crate::random) as everywhere else and can't tell the difference.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::task::Waker;

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::{Clock, Time};
use crate::executor::{Due, Id, Inner, Nanos, Runtime, World, with_current};

/// The time of day at which every simulated world begins, in milliseconds since 1970.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// A host of a simulated world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(u32);

impl HostId {
    /// Whoever directs the world: not a place on its network.
    pub const OUTSIDE: HostId = HostId(0);
}

/// A cut between hosts, to be healed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CutId(u64);

/// What becomes of packets that meet a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutMode {
    /// Held back, and delivered in order once it is over.
    Hold,
    /// Connections across it are reset at its start.
    Reset,
    /// New connections across it are refused; open ones go on.
    Refuse,
}

/// How long packets are under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkConfig {
    /// Seconds from any host to any other.
    pub latency_s: f64,
    /// Mean of what is added to it, in seconds.
    pub jitter_s: f64,
    /// Share of packets that are lost and sent again.
    pub loss: f64,
    /// Seconds until a lost packet is sent again.
    pub resend_s: f64,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig {
            latency_s: 0.000_5,
            jitter_s: 0.000_3,
            loss: 0.000_2,
            resend_s: 0.2,
        }
    }
}

/// A host to be added.
#[derive(Debug, Clone)]
pub struct HostSpec {
    pub name: String,
    pub ip: Ipv4Addr,
    /// Its steady clock runs so many times as fast as true time.
    pub clock_rate: f64,
    /// Its time of day is off by so many milliseconds.
    pub skew_ms: f64,
    /// Connections that it may have at once.
    pub max_sockets: usize,
    /// Processor time for each step of a routine, in seconds of a whole core; 0
    /// is free.
    pub step_s: f64,
    /// Share of a core that it has.
    pub core: f64,
}

impl HostSpec {
    pub fn new(name: impl Into<String>, ip: Ipv4Addr) -> HostSpec {
        HostSpec {
            name: name.into(),
            ip,
            clock_rate: 1.0,
            skew_ms: 0.0,
            max_sockets: usize::MAX,
            step_s: 0.0,
            core: 1.0,
        }
    }
}

impl Host {
    /// Processor time from now on, or from when what goes before it is done.
    fn charge(&mut self, core_s: f64) {
        let took_s = core_s * self.slow;
        self.used_s += took_s;
        self.busy_until += nanos(took_s / self.spec.core);
    }
}

struct Host {
    spec: HostSpec,
    /// Without power it neither answers nor refuses.
    powered: bool,
    frozen: bool,
    parked: Vec<Id>,
    busy_until: Nanos,
    /// It computes so many times as slowly as it should.
    slow: f64,
    /// Processor time used so far, in seconds of a whole core.
    used_s: f64,
    began: Nanos,
    root: Option<Id>,
    rng: ChaCha8Rng,
    sockets: usize,
    starts: u64,
}

/// Whether a routine may run just now.
pub(crate) enum Turn {
    Now,
    Parked,
    Later(Nanos),
}

type ConnId = u64;

/// One end of a connection; the opener's is end 0.
struct End {
    host: HostId,
    open: bool,
    received: VecDeque<u8>,
    finished: bool,
    reset: bool,
    reader: Option<Waker>,
    /// When what was sent to it last arrives: order is kept.
    last_arrival: Nanos,
}

impl End {
    fn new(host: HostId) -> End {
        End {
            host,
            open: true,
            received: VecDeque::new(),
            finished: false,
            reset: false,
            reader: None,
            last_arrival: 0,
        }
    }

    fn wake(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}

struct Conn {
    ends: [End; 2],
    to: SocketAddr,
    established: bool,
    refused: bool,
}

struct Listener {
    host: HostId,
    queue: VecDeque<ConnId>,
    waker: Option<Waker>,
}

/// Connections that wait to be accepted, like a kernel's backlog.
const BACKLOG: usize = 128;

/// Something arrives.
pub(crate) enum NetEvent {
    Syn(ConnId),
    SynAck(ConnId, bool),
    Data(ConnId, usize, Vec<u8>),
    Fin(ConnId, usize),
    Reset(ConnId, usize),
}

struct Cut {
    a: BTreeSet<HostId>,
    b: BTreeSet<HostId>,
    mode: CutMode,
    held: Vec<NetEvent>,
}

impl Cut {
    fn parts(&self, x: HostId, y: HostId) -> bool {
        let across = |x, y| self.a.contains(&x) && self.b.contains(&y);
        across(x, y) || across(y, x)
    }
}

#[derive(Default)]
struct Network {
    listeners: BTreeMap<SocketAddr, Listener>,
    conns: BTreeMap<ConnId, Conn>,
    next_conn: ConnId,
    cuts: BTreeMap<CutId, Cut>,
    next_cut: u64,
    by_ip: BTreeMap<Ipv4Addr, HostId>,
}

pub(crate) struct Sim {
    now: Cell<Nanos>,
    config: Cell<NetworkConfig>,
    /// Time of day at the start, in milliseconds since the Unix epoch.
    epoch_ms: u64,
    seed: u64,
    rng: RefCell<ChaCha8Rng>,
    hosts: RefCell<Vec<Host>>,
    net: RefCell<Network>,
    packets: Cell<u64>,
    steps: Cell<u64>,
}

fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * 1e9) as Nanos
}

impl Sim {
    pub(crate) fn now(&self) -> Nanos {
        self.now.get()
    }

    pub(crate) fn advance(&self, to: Nanos) {
        self.now.set(to.max(self.now.get()));
    }

    fn host(&self, id: HostId) -> std::cell::RefMut<'_, Host> {
        std::cell::RefMut::map(self.hosts.borrow_mut(), |hosts| &mut hosts[id.0 as usize])
    }

    pub(crate) fn rate(&self, id: HostId) -> f64 {
        self.host(id).spec.clock_rate
    }

    /// Charges the step of a routine to its host, if it may run at all.
    pub(crate) fn turn_of(&self, host: HostId, id: Id) -> Turn {
        let now = self.now.get();
        let mut host = self.host(host);
        if host.frozen {
            host.parked.push(id);
            return Turn::Parked;
        }
        if host.busy_until > now {
            return Turn::Later(host.busy_until);
        }
        host.busy_until = now;
        let step_s = host.spec.step_s;
        host.charge(step_s);
        self.steps.set(self.steps.get() + 1);
        Turn::Now
    }

    /// Draws from this host's chance, which no other host's use disturbs.
    pub(crate) fn draw<R>(&self, host: HostId, f: impl FnOnce(&mut dyn RngCore) -> R) -> R {
        f(&mut self.host(host).rng)
    }

    /// A host's own seed: the world's, its name's and how often it started.
    fn host_rng(&self, name: &str, starts: u64) -> ChaCha8Rng {
        let mut hash = self.seed ^ starts.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        for byte in name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        ChaCha8Rng::seed_from_u64(hash)
    }

    fn travel(&self) -> Nanos {
        let config = self.config.get();
        let mut rng = self.rng.borrow_mut();
        let lot: f64 = rng.random_range(1e-9..1.0);
        let mut seconds = config.latency_s - config.jitter_s * lot.ln();
        while config.loss > 0.0 && rng.random_bool(config.loss) {
            seconds += config.resend_s;
        }
        self.packets.set(self.packets.get() + 1);
        nanos(seconds)
    }

    /// Sends a packet to one end, in order with what was sent there before.
    fn send(&self, inner: &Inner, net: &mut Network, conn: ConnId, to: usize, event: NetEvent) {
        let Some(state) = net.conns.get_mut(&conn) else {
            return;
        };
        let hosts = (state.ends[0].host, state.ends[1].host);
        let holds = |cut: &&mut Cut| cut.mode != CutMode::Refuse && cut.parts(hosts.0, hosts.1);
        if let Some(cut) = net.cuts.values_mut().find(holds) {
            cut.held.push(event);
            return;
        }
        let end = &mut state.ends[to];
        let at = (self.now.get() + self.travel()).max(end.last_arrival);
        end.last_arrival = at;
        inner.put_off(at, Due::Net(event));
    }

    fn refused_by_cut(&self, net: &Network, a: HostId, b: HostId) -> bool {
        let refuses = |cut: &Cut| cut.mode == CutMode::Refuse && cut.parts(a, b);
        net.cuts.values().any(refuses)
    }

    /// Takes a closed connection off once nobody holds it.
    fn bury(&self, net: &mut Network, conn: ConnId) {
        let dead = net
            .conns
            .get(&conn)
            .is_some_and(|c| !c.ends[0].open && !c.ends[1].open);
        if dead {
            net.conns.remove(&conn);
        }
    }

    pub(crate) fn bind(&self, host: HostId, mut addr: SocketAddr) -> io::Result<SocketAddr> {
        let mut net = self.net.borrow_mut();
        if addr.port() == 0 {
            let used = |port: &u16| {
                net.listeners
                    .contains_key(&SocketAddr::new(addr.ip(), *port))
            };
            let free = (20_000..u16::MAX).find(|port| !used(port));
            addr.set_port(free.ok_or(io::ErrorKind::AddrInUse)?);
        }
        if net.listeners.contains_key(&addr) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let listener = Listener {
            host,
            queue: VecDeque::new(),
            waker: None,
        };
        net.listeners.insert(addr, listener);
        Ok(addr)
    }

    pub(crate) fn unbind(&self, inner: &Inner, addr: SocketAddr) {
        let mut net = self.net.borrow_mut();
        let Some(listener) = net.listeners.remove(&addr) else {
            return;
        };
        for conn in listener.queue {
            self.close_end(inner, &mut net, conn, 1);
        }
    }

    /// The next connection that waits, if there is one.
    pub(crate) fn accept(&self, addr: SocketAddr, waker: &Waker) -> Option<io::Result<ConnId>> {
        let mut net = self.net.borrow_mut();
        let listener = net.listeners.get_mut(&addr)?;
        let mut host = self.host(listener.host);
        if listener.queue.is_empty() {
            listener.waker = Some(waker.clone());
            return None;
        }
        if host.sockets >= host.spec.max_sockets {
            return Some(Err(io::Error::other("out of sockets")));
        }
        host.sockets += 1;
        listener.queue.pop_front().map(Ok)
    }

    pub(crate) fn connect(&self, inner: &Inner, to: SocketAddr) -> io::Result<ConnId> {
        let from = inner.host();
        let target = match to {
            SocketAddr::V4(to) => self.net.borrow().by_ip.get(to.ip()).copied(),
            SocketAddr::V6(_) => None,
        };
        let Some(target) = target else {
            return Err(io::ErrorKind::HostUnreachable.into());
        };
        {
            let mut host = self.host(from);
            if host.sockets >= host.spec.max_sockets {
                return Err(io::Error::other("out of sockets"));
            }
            host.sockets += 1;
        }
        let mut net = self.net.borrow_mut();
        net.next_conn += 1;
        let conn = net.next_conn;
        let state = Conn {
            ends: [End::new(from), End::new(target)],
            to,
            established: false,
            refused: false,
        };
        net.conns.insert(conn, state);
        // Nobody holds the far end before it is accepted.
        if let Some(state) = net.conns.get_mut(&conn) {
            state.ends[1].open = false;
        }
        self.send(inner, &mut net, conn, 1, NetEvent::Syn(conn));
        Ok(conn)
    }

    /// How a connection attempt stands: `None` while there is no answer.
    pub(crate) fn connected(&self, conn: ConnId, waker: &Waker) -> Option<io::Result<()>> {
        let mut net = self.net.borrow_mut();
        let Some(state) = net.conns.get_mut(&conn) else {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        };
        if state.refused || state.ends[0].reset {
            return Some(Err(io::ErrorKind::ConnectionRefused.into()));
        }
        if state.established {
            return Some(Ok(()));
        }
        state.ends[0].reader = Some(waker.clone());
        None
    }

    pub(crate) fn read(
        &self,
        conn: ConnId,
        side: usize,
        buf: &mut [u8],
        waker: Option<&Waker>,
    ) -> Option<io::Result<usize>> {
        let mut net = self.net.borrow_mut();
        let Some(state) = net.conns.get_mut(&conn) else {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        };
        let end = &mut state.ends[side];
        if end.reset {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if end.received.is_empty() {
            if end.finished {
                return Some(Ok(0));
            }
            end.reader = waker.cloned();
            return None;
        }
        let n = buf.len().min(end.received.len());
        for (slot, byte) in buf.iter_mut().zip(end.received.drain(..n)) {
            *slot = byte;
        }
        Some(Ok(n))
    }

    /// Sends all at once; the network takes any amount.
    pub(crate) fn write(
        &self,
        inner: &Inner,
        conn: ConnId,
        side: usize,
        bytes: &[u8],
    ) -> io::Result<()> {
        let mut net = self.net.borrow_mut();
        match net.conns.get(&conn) {
            Some(state) if !state.ends[side].reset => {}
            _ => return Err(io::ErrorKind::BrokenPipe.into()),
        }
        let event = NetEvent::Data(conn, 1 - side, bytes.to_vec());
        self.send(inner, &mut net, conn, 1 - side, event);
        Ok(())
    }

    /// The holder of one end lets go of it.
    pub(crate) fn close(&self, inner: &Inner, conn: ConnId, side: usize) {
        let mut net = self.net.borrow_mut();
        if let Some(state) = net.conns.get(&conn) {
            let mut host = self.host(state.ends[side].host);
            host.sockets = host.sockets.saturating_sub(1);
        }
        self.close_end(inner, &mut net, conn, side);
    }

    fn close_end(&self, inner: &Inner, net: &mut Network, conn: ConnId, side: usize) {
        let Some(state) = net.conns.get_mut(&conn) else {
            return;
        };
        state.ends[side].open = false;
        state.ends[side].reader = None;
        let powered = self.host(state.ends[side].host).powered;
        // A machine without power says no farewell.
        if powered && state.ends[1 - side].open {
            self.send(inner, net, conn, 1 - side, NetEvent::Fin(conn, 1 - side));
        }
        self.bury(net, conn);
    }
}

/// A packet arrives.
pub(crate) fn happen(inner: &Inner, event: NetEvent) {
    let Some(sim) = inner.simulated() else {
        return;
    };
    let mut guard = sim.net.borrow_mut();
    let net = &mut *guard;
    match event {
        NetEvent::Syn(conn) => {
            let Some(state) = net.conns.get_mut(&conn) else {
                return;
            };
            // Given up: it does not complete later.
            if !state.ends[0].open {
                sim.bury(net, conn);
                return;
            }
            let (from, to) = (state.ends[0].host, state.ends[1].host);
            let target = state.to;
            if !sim.host(to).powered {
                // Asked again, as a kernel does, as long as somebody waits.
                inner.put_off(sim.now() + nanos(1.0), Due::Net(NetEvent::Syn(conn)));
                return;
            }
            let full = {
                let host = sim.host(to);
                host.sockets >= host.spec.max_sockets
            };
            let refused = full || sim.refused_by_cut(net, from, to);
            let listener = net.listeners.get_mut(&target).filter(|_| !refused);
            let taken = match listener {
                Some(listener) if listener.queue.len() < BACKLOG => {
                    listener.queue.push_back(conn);
                    if let Some(waker) = listener.waker.take() {
                        waker.wake();
                    }
                    true
                }
                _ => false,
            };
            if taken && let Some(state) = net.conns.get_mut(&conn) {
                state.ends[1].open = true;
            }
            sim.send(inner, net, conn, 0, NetEvent::SynAck(conn, taken));
        }
        NetEvent::SynAck(conn, taken) => {
            if let Some(state) = net.conns.get_mut(&conn) {
                state.established = taken;
                state.refused = !taken;
                state.ends[0].wake();
            }
        }
        NetEvent::Data(conn, side, bytes) => {
            let Some(state) = net.conns.get_mut(&conn) else {
                return;
            };
            let end = &mut state.ends[side];
            if !sim.host(end.host).powered {
                return;
            }
            if end.open {
                end.received.extend(bytes);
                end.wake();
            } else if state.ends[1 - side].open {
                sim.send(inner, net, conn, 1 - side, NetEvent::Reset(conn, 1 - side));
            }
        }
        NetEvent::Fin(conn, side) => {
            if let Some(state) = net.conns.get_mut(&conn) {
                state.ends[side].finished = true;
                state.ends[side].wake();
            }
        }
        NetEvent::Reset(conn, side) => {
            if let Some(state) = net.conns.get_mut(&conn) {
                state.ends[side].reset = true;
                state.ends[side].wake();
            }
        }
    }
}

/// A runtime whose world is simulated.
///
/// ```
/// use umbersail_runtime::{HostSpec, NetworkConfig, Simulation, sleep};
///
/// let simulation = Simulation::new(7, NetworkConfig::default());
/// let world = simulation.world();
/// let host = world.add_host(HostSpec::new("a", [10, 0, 0, 1].into()));
/// let end = simulation
///     .block_on(async move {
///         world.start(host, async { sleep(3600.0).await });
///         sleep(7200.0).await;
///         world.now()
///     })
///     .unwrap();
/// assert!((end - 7200.0).abs() < 1e-6);
/// ```
pub struct Simulation {
    runtime: Runtime,
}

impl Simulation {
    /// A world without hosts, in which `seed` decides all chance.
    pub fn new(seed: u64, config: NetworkConfig) -> Simulation {
        let sim = Sim {
            now: Cell::new(0),
            config: Cell::new(config),
            epoch_ms: EPOCH_MS,
            seed,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            hosts: RefCell::new(Vec::new()),
            net: RefCell::default(),
            packets: Cell::new(0),
            steps: Cell::new(0),
        };
        let simulation = Simulation {
            runtime: Runtime::of(World::Simulated(Box::new(sim))),
        };
        let outside = HostSpec::new("outside", Ipv4Addr::UNSPECIFIED);
        simulation.world().add_host(outside);
        simulation
    }

    /// The world, to add to it and to break it.
    pub fn world(&self) -> WorldHandle {
        self.runtime.world()
    }

    /// Runs `main` outside of every host, to its end.
    ///
    /// # Errors
    /// If `main` and all others wait and nothing is due any more.
    pub fn block_on<T: 'static>(&self, main: impl Future<Output = T> + 'static) -> io::Result<T> {
        self.runtime.block_on(main)
    }

    /// The same, and calls `watch` about every thousand turns: it stands outside
    /// of the world and can't change what happens there.
    ///
    /// # Errors
    /// As `block_on`.
    pub fn run_watched<T: 'static>(
        &self,
        main: impl Future<Output = T> + 'static,
        watch: impl FnMut(),
    ) -> io::Result<T> {
        self.runtime.block_on_watched(main, watch)
    }
}

/// A handle on a world, to put hosts into it and to break it.
///
/// In the real world hosts are only names for routines of this process: they
/// start and end, but can't be parted, frozen, skewed or slowed down, and what
/// asks for that does nothing ([`WorldHandle::is_simulated`] tells).
#[derive(Clone)]
pub struct WorldHandle {
    inner: Rc<Inner>,
}

impl WorldHandle {
    pub(crate) fn of(inner: Rc<Inner>) -> WorldHandle {
        WorldHandle { inner }
    }

    pub fn is_simulated(&self) -> bool {
        self.inner.simulated().is_some()
    }

    /// True time in seconds since the start.
    pub fn now(&self) -> f64 {
        self.inner.now() as f64 / 1e9
    }

    /// Packets sent and steps of routines so far.
    pub fn work_done(&self) -> (u64, u64) {
        let sim = self.inner.simulated();
        sim.map_or((0, 0), |sim| (sim.packets.get(), sim.steps.get()))
    }

    /// A host with power and nothing running.
    pub fn add_host(&self, spec: HostSpec) -> HostId {
        let sim = match &self.inner.world {
            World::Simulated(sim) => sim,
            World::Real(real) => {
                let mut played = real.played.borrow_mut();
                played.push(None);
                return HostId(played.len() as u32);
            }
        };
        let mut hosts = sim.hosts.borrow_mut();
        let id = HostId(hosts.len() as u32);
        sim.net.borrow_mut().by_ip.insert(spec.ip, id);
        hosts.push(Host {
            rng: sim.host_rng(&spec.name, 0),
            spec,
            powered: true,
            frozen: false,
            parked: Vec::new(),
            busy_until: 0,
            slow: 1.0,
            used_s: 0.0,
            began: sim.now(),
            root: None,
            sockets: 0,
            starts: 0,
        });
        id
    }

    /// Starts a process there in place of the one before.
    pub fn start(&self, host: HostId, process: impl Future<Output = ()> + 'static) {
        self.end(host);
        if let Some(sim) = self.inner.simulated() {
            let mut state = sim.host(host);
            state.starts += 1;
            state.began = sim.now();
            state.busy_until = 0;
            state.powered = true;
            let (name, starts) = (state.spec.name.clone(), state.starts);
            state.rng = sim.host_rng(&name, starts);
        }
        let root = self.inner.start(host, None, process);
        self.set_root(host, Some(root));
    }

    /// Remembers a host's first routine; the one before comes back.
    fn set_root(&self, host: HostId, root: Option<Id>) -> Option<Id> {
        match &self.inner.world {
            World::Simulated(sim) => std::mem::replace(&mut sim.host(host).root, root),
            World::Real(real) => {
                let index = (host.0 as usize).checked_sub(1)?;
                std::mem::replace(real.played.borrow_mut().get_mut(index)?, root)
            }
        }
    }

    /// Starts a routine outside of every host, which nobody else's end ends.
    pub fn spawn(&self, routine: impl Future<Output = ()> + 'static) {
        self.inner.start(HostId::OUTSIDE, None, routine);
    }

    /// The process ends; its kernel closes its connections.
    pub fn end(&self, host: HostId) {
        if let Some(sim) = self.inner.simulated() {
            sim.host(host).parked.clear();
        }
        if let Some(root) = self.set_root(host, None) {
            self.inner.remove(root);
        }
        if let Some(sim) = self.inner.simulated() {
            sim.host(host).sockets = 0;
        }
    }

    /// The machine loses its power: silence, with no farewell to anybody.
    pub fn power_off(&self, host: HostId) {
        if let Some(sim) = self.inner.simulated() {
            sim.host(host).powered = false;
        }
        self.end(host);
    }

    /// From now on nothing runs there, until it thaws.
    pub fn freeze(&self, host: HostId) {
        if let Some(sim) = self.inner.simulated() {
            sim.host(host).frozen = true;
        }
    }

    pub fn thaw(&self, host: HostId) {
        let Some(sim) = self.inner.simulated() else {
            return;
        };
        let parked = {
            let mut state = sim.host(host);
            state.frozen = false;
            std::mem::take(&mut state.parked)
        };
        for id in parked {
            self.inner.make_ready(id);
        }
    }

    /// How packets travel from now on.
    pub fn set_network(&self, config: NetworkConfig) {
        if let Some(sim) = self.inner.simulated() {
            sim.config.set(config);
        }
    }

    /// It computes so many times as slowly from now on; 1 is as it should.
    pub fn set_slow(&self, host: HostId, times: f64) {
        if let Some(sim) = self.inner.simulated() {
            sim.host(host).slow = times;
        }
    }

    /// Processor time that all hosts together have used, as [`WorldHandle::used_s`].
    pub fn used_by_all_s(&self) -> f64 {
        let sim = self.inner.simulated();
        sim.map_or(0.0, |sim| sim.hosts.borrow().iter().map(|h| h.used_s).sum())
    }

    /// Processor time that was used there so far, in seconds of a whole core.
    pub fn used_s(&self, host: HostId) -> f64 {
        let sim = self.inner.simulated();
        sim.map_or(0.0, |sim| sim.host(host).used_s)
    }

    /// Milliseconds by which its time of day is off from now on.
    pub fn set_skew(&self, host: HostId, skew_ms: f64) {
        if let Some(sim) = self.inner.simulated() {
            sim.host(host).spec.skew_ms = skew_ms;
        }
    }

    /// Open connections of a host.
    pub fn sockets(&self, host: HostId) -> usize {
        self.inner
            .simulated()
            .map_or(0, |sim| sim.host(host).sockets)
    }

    /// Parts all hosts of `a` from all of `b` until it is healed.
    pub fn cut(&self, a: &[HostId], b: &[HostId], mode: CutMode) -> CutId {
        let Some(sim) = self.inner.simulated() else {
            return CutId(0);
        };
        let mut net = sim.net.borrow_mut();
        net.next_cut += 1;
        let id = CutId(net.next_cut);
        let cut = Cut {
            a: a.iter().copied().collect(),
            b: b.iter().copied().collect(),
            mode,
            held: Vec::new(),
        };
        if mode == CutMode::Reset {
            for state in net.conns.values_mut() {
                if cut.parts(state.ends[0].host, state.ends[1].host) {
                    for end in &mut state.ends {
                        end.reset = true;
                        end.wake();
                    }
                }
            }
        }
        net.cuts.insert(id, cut);
        id
    }

    /// Ends a cut; what it held is delivered in order.
    pub fn heal(&self, cut: CutId) {
        let Some(sim) = self.inner.simulated() else {
            return;
        };
        let mut net = sim.net.borrow_mut();
        let Some(cut) = net.cuts.remove(&cut) else {
            return;
        };
        for event in cut.held {
            let (conn, to) = match &event {
                NetEvent::Syn(conn) => (*conn, 1),
                NetEvent::SynAck(conn, _) => (*conn, 0),
                NetEvent::Data(conn, to, _)
                | NetEvent::Fin(conn, to)
                | NetEvent::Reset(conn, to) => (*conn, *to),
            };
            sim.send(&self.inner, &mut net, conn, to, event);
        }
    }

    /// The clocks of a host, steady from its process's start.
    pub fn clock(&self, host: HostId) -> Rc<dyn Clock> {
        match self.is_simulated() {
            true => Rc::new(HostClock {
                inner: self.inner.clone(),
                host,
            }),
            false => Rc::new(crate::SystemClock::default()),
        }
    }
}

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
        (sim.now() - host.began) as f64 / 1e9 * host.spec.clock_rate
    }

    fn unix_ms(&self) -> u64 {
        let Some(sim) = self.inner.simulated() else {
            return 0;
        };
        let skew_ms = sim.host(self.host).spec.skew_ms;
        (sim.epoch_ms as f64 + sim.now() as f64 / 1e6 + skew_ms) as u64
    }
}

/// Draws a value: from the host's own seeded chance in a simulated world, from
/// the machine's elsewhere.
///
/// ```
/// use rand::Rng;
///
/// let simulation = umbersail_runtime::Simulation::new(7, Default::default());
/// let lot = simulation
///     .block_on(async { umbersail_runtime::random(|rng| rng.random_range(0..10)) })
///     .unwrap();
/// assert!(lot < 10);
/// ```
pub fn random<R>(draw: impl FnOnce(&mut dyn RngCore) -> R) -> R {
    with_current(|inner| match &inner.world {
        World::Real(_) => draw(&mut rand::rng()),
        World::Simulated(sim) => sim.draw(inner.host(), draw),
    })
}

/// Says that the step under way takes so much processor time beyond what any step
/// takes, in seconds of a whole core. On a real machine it has taken it; in a
/// simulated world the host falls behind by it, so that work which grows with the
/// fleet is felt in a rehearsal.
pub fn charge(core_s: f64) {
    crate::executor::current_world(|inner| {
        let sim = inner.simulated()?;
        sim.host(inner.host()).charge(core_s);
        Some(())
    });
}

/// True time and the name of the host that runs just now, for log lines; `None`
/// outside of a simulated world.
pub fn simulated_place() -> Option<(f64, String)> {
    crate::executor::current_world(|inner| {
        let sim = inner.simulated()?;
        let name = sim.host(inner.host()).spec.name.clone();
        Some((sim.now() as f64 / 1e9, name))
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{TcpListener, TcpStream, sleep, spawn, timeout};

    fn addr(last: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(10, 0, 0, last).into(), 80)
    }

    fn host(world: &WorldHandle, last: u8) -> HostId {
        world.add_host(HostSpec::new(format!("h{last}"), [10, 0, 0, last].into()))
    }

    /// Echoes for ever.
    async fn echo(at: u8) {
        let listener = TcpListener::bind(addr(at)).unwrap();
        loop {
            let mut stream = listener.accept().await.unwrap();
            spawn(async move {
                let mut buf = [0u8; 64];
                while let Ok(n) = stream.read(&mut buf).await {
                    if n == 0 || stream.write_all(&buf[..n]).await.is_err() {
                        return;
                    }
                }
            });
        }
    }

    /// What an exchange of one byte a second gives, by true time.
    fn talk(
        seed: u64,
        at_5_s: impl Fn(&WorldHandle, HostId, HostId) -> Option<CutId> + 'static,
    ) -> Vec<String> {
        let simulation = Simulation::new(seed, NetworkConfig::default());
        let world = simulation.world();
        simulation
            .block_on(async move {
                let (a, b) = (host(&world, 1), host(&world, 2));
                let seen: Rc<RefCell<Vec<String>>> = Rc::default();
                world.start(b, echo(2));
                let (told, clock) = (seen.clone(), world.clone());
                world.start(a, async move {
                    let mut stream = TcpStream::connect(addr(2)).await.unwrap();
                    for byte in 0..10u8 {
                        sleep(1.0).await;
                        let sent = stream.write_all(&[byte]).await;
                        let mut buf = [0u8; 1];
                        let got = timeout(8.0, stream.read(&mut buf)).await;
                        let line = format!("{:.4} {byte} {sent:?} {got:?}", clock.now());
                        told.borrow_mut().push(line);
                    }
                });
                sleep(5.5).await;
                let cut = at_5_s(&world, a, b);
                sleep(5.0).await;
                if let Some(cut) = cut {
                    world.heal(cut);
                }
                world.thaw(b);
                sleep(60.0).await;
                seen.take()
            })
            .unwrap()
    }

    #[test]
    fn the_same_seed_plays_the_same_and_another_another() {
        // Guards against real time, addresses or hash order leaking in.
        let once = talk(3, |_, _, _| None);
        assert_eq!(once.len(), 10);
        assert_eq!(once, talk(3, |_, _, _| None));
        assert_ne!(once, talk(4, |_, _, _| None));
    }

    #[test]
    fn a_cut_holds_packets_and_a_freeze_holds_everything() {
        // Guards against a world kinder than the real one: bytes come late,
        // in order and whole.
        let cut = talk(3, |w, a, b| Some(w.cut(&[a], &[b], CutMode::Hold)));
        let frozen = talk(3, |w, _, b| {
            w.freeze(b);
            None
        });
        for seen in [&cut, &frozen] {
            assert!(
                seen.iter().all(|line| line.ends_with("Ok(Ok(1))")),
                "{seen:?}"
            );
            let late: f64 = seen[5].split(' ').next().unwrap().parse().unwrap();
            assert!((10.5..10.6).contains(&late), "{seen:?}");
        }
    }

    #[test]
    fn a_reset_an_end_and_a_loss_of_power_differ() {
        // Guards against a machine without power that says farewell: whoever
        // waits for it must be seen to wait.
        let reset = talk(3, |w, a, b| Some(w.cut(&[a], &[b], CutMode::Reset)));
        assert!(reset[5].contains("ConnectionReset") || reset[5].contains("BrokenPipe"));
        let ended = talk(3, |w, _, b| {
            w.end(b);
            None
        });
        assert!(ended[5].contains("Ok(Ok(0))"), "{ended:?}");
        let off = talk(3, |w, _, b| {
            w.power_off(b);
            None
        });
        assert!(off[5].contains("Err(Elapsed)"), "{off:?}");
    }

    #[test]
    fn clocks_drift_and_busy_hosts_fall_behind() {
        // Guards against timers that run by true time on a host whose clock
        // does not, and against processor time that costs nothing.
        let simulation = Simulation::new(1, NetworkConfig::default());
        let world = simulation.world();
        simulation
            .block_on(async move {
                let mut spec = HostSpec::new("fast", [10, 0, 0, 1].into());
                spec.clock_rate = 1.01;
                let fast = world.add_host(spec);
                let clock = world.clock(fast);
                let (at, seen) = (world.clone(), Rc::new(Cell::new((0.0, 0.0))));
                let (told, own) = (seen.clone(), clock.clone());
                world.start(fast, async move {
                    sleep(10.1).await;
                    told.set((at.now(), own.now()));
                    for _ in 0..100 {
                        spawn(async {});
                    }
                });
                sleep(20.0).await;
                let (truth, own) = seen.get();
                assert!((truth - 10.0).abs() < 0.001 && (own - 10.1).abs() < 0.001);
                let mut spec = HostSpec::new("slow", [10, 0, 0, 2].into());
                (spec.step_s, spec.core) = (0.01, 0.2);
                let slow = world.add_host(spec);
                world.set_slow(slow, 2.0);
                let (at, seen) = (world.clone(), Rc::new(Cell::new(0.0)));
                let told = seen.clone();
                world.start(slow, async move {
                    for _ in 0..10 {
                        let (told, at) = (told.clone(), at.clone());
                        spawn(async move { told.set(at.now()) });
                    }
                    sleep(60.0).await;
                });
                sleep(30.0).await;
                assert!((seen.get() - 21.0).abs() < 0.2, "{}", seen.get());
                // What a step says that it takes counts by the same measure.
                let (told, at) = (seen.clone(), world.clone());
                world.start(slow, async move {
                    charge(0.3);
                    spawn(async move { told.set(at.now()) });
                    sleep(60.0).await;
                });
                let (used_s, began) = (world.used_s(slow), world.now());
                sleep(30.0).await;
                assert!((seen.get() - began - 3.1).abs() < 0.2, "{}", seen.get());
                assert!((world.used_s(slow) - used_s - 0.64).abs() < 0.05);
            })
            .unwrap();
    }
}
