//! State of simulated connections and listeners.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::task::Waker;

use super::HostId;
use crate::timers::Nanos;

/// Identifies a connection.
pub(crate) type ConnectionId = u64;

/// One of the two sides of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Side {
    pub fn peer(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// State of one side of a connection.
pub(crate) struct Endpoint {
    pub host: HostId,
    /// Whether a socket uses the endpoint.
    pub open: bool,
    /// Bytes that have arrived and are not read yet.
    pub received: VecDeque<u8>,
    /// Whether the peer has closed its endpoint.
    pub peer_closed: bool,
    pub reset: bool,
    /// Waker of the routine that waits for data or for the result of the handshake.
    pub reader: Option<Waker>,
    /// Arrival time of the last packet sent to this endpoint. Later packets arrive no earlier,
    /// so that packets stay in order.
    pub last_arrival: Nanos,
}

impl Endpoint {
    fn new(host: HostId, open: bool) -> Endpoint {
        Endpoint {
            host,
            open,
            received: VecDeque::new(),
            peer_closed: false,
            reset: false,
            reader: None,
            last_arrival: 0,
        }
    }

    pub fn wake(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    /// Resets the endpoint and wakes its reader.
    pub fn reset(&mut self) {
        self.reset = true;
        self.wake();
    }
}

/// State of an attempt to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Handshake {
    Pending,
    Established,
    Refused,
}

/// A connection, from the attempt to connect until both endpoints are closed.
pub(crate) struct Connection {
    client: Endpoint,
    server: Endpoint,
    /// The address that the client connects to.
    pub target: SocketAddr,
    pub handshake: Handshake,
}

impl Connection {
    /// Creates a connection whose handshake is pending; the endpoint of the server is not open
    /// yet.
    pub fn new(client: HostId, server: HostId, target: SocketAddr) -> Connection {
        Connection {
            client: Endpoint::new(client, true),
            server: Endpoint::new(server, false),
            target,
            handshake: Handshake::Pending,
        }
    }

    pub fn endpoint(&self, side: Side) -> &Endpoint {
        match side {
            Side::Client => &self.client,
            Side::Server => &self.server,
        }
    }

    pub fn endpoint_mut(&mut self, side: Side) -> &mut Endpoint {
        match side {
            Side::Client => &mut self.client,
            Side::Server => &mut self.server,
        }
    }

    /// Returns the hosts of the client and the server.
    pub fn hosts(&self) -> (HostId, HostId) {
        (self.client.host, self.server.host)
    }

    pub fn is_closed(&self) -> bool {
        !self.client.open && !self.server.open
    }

    pub fn reset(&mut self) {
        self.client.reset();
        self.server.reset();
    }
}

/// A listener and the connections that wait to be accepted.
pub(crate) struct Listener {
    pub host: HostId,
    pub backlog: VecDeque<ConnectionId>,
    /// Waker of the routine that waits to accept a connection.
    pub waker: Option<Waker>,
}

impl Listener {
    pub fn new(host: HostId) -> Listener {
        Listener {
            host,
            backlog: VecDeque::new(),
            waker: None,
        }
    }
}
