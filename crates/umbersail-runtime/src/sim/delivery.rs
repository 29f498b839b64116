//! Sending and delivery of packets.

use super::connection::{ConnectionId, Handshake, Side};
use super::{Network, PacketTimers, Sim};
use crate::timers::{Event, nanos};

/// Most connections that wait to be accepted by one listener, as in the backlog of a kernel.
const MAX_BACKLOG: usize = 128;

/// Seconds between attempts to open a connection to a host without power.
const SYN_RETRY_INTERVAL_S: f64 = 1.0;

/// A packet of a connection.
pub(crate) struct Packet {
    pub connection: ConnectionId,
    /// The side that receives the packet.
    pub to: Side,
    pub payload: Payload,
}

/// Contents of a packet.
pub(crate) enum Payload {
    /// Requests a connection.
    Syn,
    /// Accepts or refuses a connection.
    SynAck { accepted: bool },
    /// Bytes of the stream.
    Data(Vec<u8>),
    /// The sender has closed its endpoint.
    Fin,
    /// Data arrived at an endpoint that was not open.
    Reset,
}

impl Sim {
    /// Sends a packet. Packets to the same endpoint arrive in the order of sending.
    pub(super) fn send(&self, timers: &PacketTimers, network: &mut Network, packet: Packet) {
        let Some(connection) = network.connections.get(&packet.connection) else {
            return;
        };
        let Some(packet) = network.hold_back(connection.hosts(), packet) else {
            return;
        };
        let Some(connection) = network.connections.get_mut(&packet.connection) else {
            return;
        };
        let endpoint = connection.endpoint_mut(packet.to);
        let arrival = (self.now() + self.draw_transit_time()).max(endpoint.last_arrival);
        endpoint.last_arrival = arrival;
        self.count_packet();
        timers.schedule(arrival, Event::Deliver(packet));
    }

    /// Processes a packet that arrives at its destination.
    pub(crate) fn deliver(&self, timers: &PacketTimers, packet: Packet) {
        let mut network = self.network.borrow_mut();
        let Packet {
            connection,
            to,
            payload,
        } = packet;
        match payload {
            Payload::Syn => self.deliver_syn(timers, &mut network, connection),
            Payload::SynAck { accepted } => deliver_syn_ack(&mut network, connection, accepted),
            Payload::Data(bytes) => self.deliver_data(timers, &mut network, connection, to, bytes),
            Payload::Fin => {
                if let Some(connection) = network.connections.get_mut(&connection) {
                    let endpoint = connection.endpoint_mut(to);
                    endpoint.peer_closed = true;
                    endpoint.wake();
                }
            }
            Payload::Reset => {
                if let Some(connection) = network.connections.get_mut(&connection) {
                    connection.endpoint_mut(to).reset();
                }
            }
        }
    }

    /// Processes a request to connect: accepts it, refuses it, or retries it later if the host
    /// of the server has no power.
    fn deliver_syn(&self, timers: &PacketTimers, network: &mut Network, id: ConnectionId) {
        let Some(connection) = network.connections.get(&id) else {
            return;
        };
        // The client has closed its endpoint: the connection must not be established later.
        if !connection.endpoint(Side::Client).open {
            network.remove_if_closed(id);
            return;
        }
        let hosts = connection.hosts();
        let (_, server) = hosts;
        let target = connection.target;
        if !self.host(server).powered {
            // The request is repeated, as a kernel does, while the client waits.
            let retry = Packet {
                connection: id,
                to: Side::Server,
                payload: Payload::Syn,
            };
            timers.schedule(
                self.now() + nanos(SYN_RETRY_INTERVAL_S),
                Event::Deliver(retry),
            );
            return;
        }
        let refused =
            !self.host(server).has_free_socket() || network.is_refused_by_partition(hosts);
        let accepted = !refused && network.enqueue_connection(target, id);
        if accepted && let Some(connection) = network.connections.get_mut(&id) {
            connection.endpoint_mut(Side::Server).open = true;
        }
        let reply = Packet {
            connection: id,
            to: Side::Client,
            payload: Payload::SynAck { accepted },
        };
        self.send(timers, network, reply);
    }

    /// Processes data: buffers it for the receiver, or resets the sender if the receiver has
    /// closed its endpoint. A host without power drops the data.
    fn deliver_data(
        &self,
        timers: &PacketTimers,
        network: &mut Network,
        id: ConnectionId,
        to: Side,
        bytes: Vec<u8>,
    ) {
        let Some(connection) = network.connections.get_mut(&id) else {
            return;
        };
        let peer_is_open = connection.endpoint(to.peer()).open;
        let endpoint = connection.endpoint_mut(to);
        if !self.host(endpoint.host).powered {
            return;
        }
        if endpoint.open {
            endpoint.received.extend(bytes);
            endpoint.wake();
        } else if peer_is_open {
            let reset = Packet {
                connection: id,
                to: to.peer(),
                payload: Payload::Reset,
            };
            self.send(timers, network, reset);
        }
    }
}

impl Network {
    /// Adds a connection to the backlog of the listener at `target`; returns false if there is
    /// no listener or its backlog is full.
    fn enqueue_connection(&mut self, target: std::net::SocketAddr, id: ConnectionId) -> bool {
        let Some(listener) = self.listeners.get_mut(&target) else {
            return false;
        };
        if listener.backlog.len() >= MAX_BACKLOG {
            return false;
        }
        listener.backlog.push_back(id);
        if let Some(waker) = listener.waker.take() {
            waker.wake();
        }
        true
    }
}

/// Processes the reply to a request to connect.
fn deliver_syn_ack(network: &mut Network, id: ConnectionId, accepted: bool) {
    let Some(connection) = network.connections.get_mut(&id) else {
        return;
    };
    connection.handshake = match accepted {
        true => Handshake::Established,
        false => Handshake::Refused,
    };
    connection.endpoint_mut(Side::Client).wake();
}
