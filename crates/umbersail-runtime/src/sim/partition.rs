//! Network partitions.

use std::collections::BTreeSet;

use super::{HostId, Network, Packet, PacketTimers, Sim};

/// Identifies a partition until it is healed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartitionId(pub(crate) u64);

/// What a partition does to connections and packets between its two sets of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionMode {
    /// Packets are held back, and delivered in order when the partition is healed.
    Hold,
    /// Open connections are reset when the partition starts; later packets are held back as in
    /// [`PartitionMode::Hold`].
    Reset,
    /// New connections are refused; established connections are unaffected.
    Refuse,
}

/// A partition between two sets of hosts.
pub(crate) struct Partition {
    a: BTreeSet<HostId>,
    b: BTreeSet<HostId>,
    mode: PartitionMode,
    /// Packets held back, in the order of sending.
    held: Vec<Packet>,
}

impl Partition {
    /// Whether the partition is between the two hosts, in either direction.
    fn separates(&self, x: HostId, y: HostId) -> bool {
        let across = |x, y| self.a.contains(&x) && self.b.contains(&y);
        across(x, y) || across(y, x)
    }

    fn holds_packets(&self, x: HostId, y: HostId) -> bool {
        self.mode != PartitionMode::Refuse && self.separates(x, y)
    }

    fn refuses_connections(&self, x: HostId, y: HostId) -> bool {
        self.mode == PartitionMode::Refuse && self.separates(x, y)
    }
}

impl Network {
    /// Stores a packet in the first partition that holds back packets between the two hosts;
    /// returns the packet if there is no such partition.
    pub(super) fn hold_back(&mut self, hosts: (HostId, HostId), packet: Packet) -> Option<Packet> {
        let mut partitions = self.partitions.values_mut();
        match partitions.find(|partition| partition.holds_packets(hosts.0, hosts.1)) {
            Some(partition) => {
                partition.held.push(packet);
                None
            }
            None => Some(packet),
        }
    }

    pub(super) fn is_refused_by_partition(&self, hosts: (HostId, HostId)) -> bool {
        let mut partitions = self.partitions.values();
        partitions.any(|partition| partition.refuses_connections(hosts.0, hosts.1))
    }
}

impl Sim {
    /// Starts a partition between all hosts of `a` and all hosts of `b`.
    pub(crate) fn partition(&self, a: &[HostId], b: &[HostId], mode: PartitionMode) -> PartitionId {
        let mut network = self.network.borrow_mut();
        network.last_partition += 1;
        let id = PartitionId(network.last_partition);
        let partition = Partition {
            a: a.iter().copied().collect(),
            b: b.iter().copied().collect(),
            mode,
            held: Vec::new(),
        };
        if mode == PartitionMode::Reset {
            for connection in network.connections.values_mut() {
                let (client, server) = connection.hosts();
                if partition.separates(client, server) {
                    connection.reset();
                }
            }
        }
        network.partitions.insert(id, partition);
        id
    }

    /// Ends a partition and sends the packets that it held back, in order.
    pub(crate) fn heal(&self, timers: &PacketTimers, partition: PartitionId) {
        let mut network = self.network.borrow_mut();
        let Some(partition) = network.partitions.remove(&partition) else {
            return;
        };
        for packet in partition.held {
            self.send(timers, &mut network, packet);
        }
    }
}
