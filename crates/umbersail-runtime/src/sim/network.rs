//! The simulated network: listeners and connections as sockets see them.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::task::Waker;

use super::connection::{Connection, ConnectionId, Handshake, Listener, Side};
use super::partition::Partition;
use super::{HostId, Packet, PacketTimers, PartitionId, Payload, Sim};

/// First port that is assigned to listeners without one.
const FIRST_FREE_PORT: u16 = 20_000;

/// How long packets travel.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkConfig {
    /// Seconds from any host to any other.
    pub latency_s: f64,
    /// Mean of the random delay added to the latency, in seconds.
    pub jitter_s: f64,
    /// Share of packets that are lost and retransmitted.
    pub loss: f64,
    /// Seconds until a lost packet is retransmitted.
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
    pub last_partition: u64,
    pub hosts_by_ip: BTreeMap<Ipv4Addr, HostId>,
}

impl Network {
    /// Forgets a connection once no socket holds it.
    pub fn remove_if_closed(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::is_closed) {
            self.connections.remove(&id);
        }
    }

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

fn out_of_sockets() -> io::Error {
    io::Error::other("out of sockets")
}

impl Sim {
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

    pub(crate) fn unbind(&self, timers: &PacketTimers, addr: SocketAddr) {
        let mut network = self.network.borrow_mut();
        let Some(listener) = network.listeners.remove(&addr) else {
            return;
        };
        for connection in listener.backlog {
            self.close_endpoint(timers, &mut network, connection, Side::Server);
        }
    }

    /// The next connection in the backlog, if there is one.
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
            return Some(Err(out_of_sockets()));
        }
        host.sockets += 1;
        listener.backlog.pop_front().map(Ok)
    }

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
                return Err(out_of_sockets());
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

    /// The outcome of an attempt to connect; `None` while there is no reply.
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

    /// Reads what has arrived; `None` if that is nothing yet.
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

    /// Sends all bytes at once; the network accepts any amount.
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

    /// A socket lets go of its end.
    pub(crate) fn close(&self, timers: &PacketTimers, id: ConnectionId, side: Side) {
        let mut network = self.network.borrow_mut();
        if let Some(connection) = network.connections.get(&id) {
            let mut host = self.host(connection.endpoint(side).host);
            host.sockets = host.sockets.saturating_sub(1);
        }
        self.close_endpoint(timers, &mut network, id, side);
    }

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
        // A host without power sends nothing.
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
