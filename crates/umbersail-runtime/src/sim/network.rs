//! The simulated network: the operations of sockets on listeners and connections.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::task::Waker;

use super::connection::{Connection, ConnectionId, Handshake, Listener, Side};
use super::partition::Partition;
use super::{HostId, Packet, PacketTimers, PartitionId, Payload, Sim};

/// First port that is assigned to listeners bound to port 0.
const FIRST_FREE_PORT: u16 = 20_000;

/// Latency, jitter and loss of packets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkConfig {
    /// Base latency between any two hosts, in seconds.
    pub latency_s: f64,
    /// Mean of the exponentially distributed delay added to the latency, in seconds.
    pub jitter_s: f64,
    /// Probability that a transmission of a packet is lost and the packet is retransmitted.
    pub loss: f64,
    /// Time until a lost packet is retransmitted, in seconds.
    pub retransmit_s: f64,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig {
            latency_s: 0.000_5,
            jitter_s: 0.000_3,
            loss: 0.000_2,
            retransmit_s: 0.2,
        }
    }
}

/// Listeners, connections and partitions.
#[derive(Default)]
pub(crate) struct Network {
    pub listeners: BTreeMap<SocketAddr, Listener>,
    pub connections: BTreeMap<ConnectionId, Connection>,
    last_connection: ConnectionId,
    pub partitions: BTreeMap<PartitionId, Partition>,
    /// Number of the last partition that was created.
    pub last_partition: u64,
    pub hosts_by_ip: BTreeMap<Ipv4Addr, HostId>,
}

impl Network {
    /// Removes a connection if both its endpoints are closed.
    pub fn remove_if_closed(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::is_closed) {
            self.connections.remove(&id);
        }
    }

    /// Returns `addr` with the first port that has no listener.
    fn free_port(&self, mut addr: SocketAddr) -> io::Result<SocketAddr> {
        for port in FIRST_FREE_PORT..u16::MAX {
            addr.set_port(port);
            if !self.listeners.contains_key(&addr) {
                return Ok(addr);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}

fn no_free_socket() -> io::Error {
    io::Error::other("the host has no free socket")
}

impl Sim {
    /// Binds a listener to the address; port 0 selects a free port. Returns the bound address.
    pub(crate) fn bind(&self, host: HostId, addr: SocketAddr) -> io::Result<SocketAddr> {
        let mut network = self.network.borrow_mut();
        let addr = match addr.port() {
            0 => network.free_port(addr)?,
            _ => addr,
        };
        if network.listeners.contains_key(&addr) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        network.listeners.insert(addr, Listener::new(host));
        Ok(addr)
    }

    /// Removes the listener and closes the connections in its backlog.
    pub(crate) fn unbind(&self, timers: &PacketTimers, addr: SocketAddr) {
        let mut network = self.network.borrow_mut();
        let Some(listener) = network.listeners.remove(&addr) else {
            return;
        };
        for connection in listener.backlog {
            self.close_endpoint(timers, &mut network, connection, Side::Server);
        }
    }

    /// Accepts the next connection in the backlog. If there is none, stores the waker and
    /// returns `None`.
    pub(crate) fn accept(
        &self,
        addr: SocketAddr,
        waker: &Waker,
    ) -> Option<io::Result<ConnectionId>> {
        let mut network = self.network.borrow_mut();
        let listener = network.listeners.get_mut(&addr)?;
        if listener.backlog.is_empty() {
            listener.waker = Some(waker.clone());
            return None;
        }
        let mut host = self.host(listener.host);
        if !host.has_free_socket() {
            return Some(Err(no_free_socket()));
        }
        host.sockets += 1;
        listener.backlog.pop_front().map(Ok)
    }

    /// Starts an attempt to connect; [`Sim::connected`] returns its result.
    pub(crate) fn connect(
        &self,
        timers: &PacketTimers,
        from: HostId,
        to: SocketAddr,
    ) -> io::Result<ConnectionId> {
        let mut network = self.network.borrow_mut();
        let server = match to {
            SocketAddr::V4(to) => network.hosts_by_ip.get(to.ip()).copied(),
            SocketAddr::V6(_) => None,
        };
        let server = server.ok_or(io::ErrorKind::HostUnreachable)?;
        {
            let mut host = self.host(from);
            if !host.has_free_socket() {
                return Err(no_free_socket());
            }
            host.sockets += 1;
        }
        network.last_connection += 1;
        let id = network.last_connection;
        let connection = Connection::new(from, server, to);
        network.connections.insert(id, connection);
        let syn = Packet {
            connection: id,
            to: Side::Server,
            payload: Payload::Syn,
        };
        self.send(timers, &mut network, syn);
        Ok(id)
    }

    /// Returns the result of an attempt to connect. Before the server replies, stores the waker
    /// and returns `None`.
    pub(crate) fn connected(&self, id: ConnectionId, waker: &Waker) -> Option<io::Result<()>> {
        let mut network = self.network.borrow_mut();
        let Some(connection) = network.connections.get_mut(&id) else {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        };
        let handshake = connection.handshake;
        let client = connection.endpoint_mut(Side::Client);
        if handshake == Handshake::Refused || client.reset {
            return Some(Err(io::ErrorKind::ConnectionRefused.into()));
        }
        if handshake == Handshake::Established {
            return Some(Ok(()));
        }
        client.reader = Some(waker.clone());
        None
    }

    /// Reads bytes that have arrived; `Some(Ok(0))` at the end of the stream. If nothing has
    /// arrived, stores the waker and returns `None`.
    pub(crate) fn read(
        &self,
        id: ConnectionId,
        side: Side,
        buf: &mut [u8],
        waker: Option<&Waker>,
    ) -> Option<io::Result<usize>> {
        let mut network = self.network.borrow_mut();
        let Some(connection) = network.connections.get_mut(&id) else {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        };
        let endpoint = connection.endpoint_mut(side);
        if endpoint.reset {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if endpoint.received.is_empty() {
            if endpoint.peer_closed {
                return Some(Ok(0));
            }
            endpoint.reader = waker.cloned();
            return None;
        }
        let count = buf.len().min(endpoint.received.len());
        for (slot, byte) in buf.iter_mut().zip(endpoint.received.drain(..count)) {
            *slot = byte;
        }
        Some(Ok(count))
    }

    /// Sends all bytes in one packet; the network accepts packets of any size.
    pub(crate) fn write(
        &self,
        timers: &PacketTimers,
        id: ConnectionId,
        side: Side,
        bytes: &[u8],
    ) -> io::Result<()> {
        let mut network = self.network.borrow_mut();
        match network.connections.get(&id) {
            Some(connection) if !connection.endpoint(side).reset => {}
            _ => return Err(io::ErrorKind::BrokenPipe.into()),
        }
        let data = Packet {
            connection: id,
            to: side.peer(),
            payload: Payload::Data(bytes.to_vec()),
        };
        self.send(timers, &mut network, data);
        Ok(())
    }

    /// Closes the endpoint of a socket and frees the socket on its host.
    pub(crate) fn close(&self, timers: &PacketTimers, id: ConnectionId, side: Side) {
        let mut network = self.network.borrow_mut();
        if let Some(connection) = network.connections.get(&id) {
            let mut host = self.host(connection.endpoint(side).host);
            host.sockets = host.sockets.saturating_sub(1);
        }
        self.close_endpoint(timers, &mut network, id, side);
    }

    /// Closes an endpoint; notifies the peer, unless the host has no power.
    fn close_endpoint(
        &self,
        timers: &PacketTimers,
        network: &mut Network,
        id: ConnectionId,
        side: Side,
    ) {
        let Some(connection) = network.connections.get_mut(&id) else {
            return;
        };
        let peer_is_open = connection.endpoint(side.peer()).open;
        let endpoint = connection.endpoint_mut(side);
        endpoint.open = false;
        endpoint.reader = None;
        // A host without power sends no packets.
        if peer_is_open && self.host(endpoint.host).powered {
            let fin = Packet {
                connection: id,
                to: side.peer(),
                payload: Payload::Fin,
            };
            self.send(timers, network, fin);
        }
        network.remove_if_closed(id);
    }
}
