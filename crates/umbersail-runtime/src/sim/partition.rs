//! Network partitions.

use std::collections::BTreeSet;

use super::{HostId, Network, Packet, PacketTimers, Sim};

/// A partition between hosts, until it is healed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CutId(pub(crate) u64);

/// What happens to packets that meet a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutMode {
    /// They are held back and delivered in order once it heals.
    Hold,
    /// Connections across it are reset when it starts.
    Reset,
    /// New connections across it are refused; established ones are unaffected.
    Refuse,
}

/// A partition between two sets of hosts.
pub(crate) struct Cut {
    a: BTreeSet<HostId>,
    b: BTreeSet<HostId>,
    mode: CutMode,
    held: Vec<Packet>,
}

impl Cut {
    fn separates(&self, x: HostId, y: HostId) -> bool {
        let across = |x, y| self.a.contains(&x) && self.b.contains(&y);
        across(x, y) || across(y, x)
    }

    fn holds_packets(&self, x: HostId, y: HostId) -> bool {
        self.mode != CutMode::Refuse && self.separates(x, y)
    }

    fn refuses_connections(&self, x: HostId, y: HostId) -> bool {
        self.mode == CutMode::Refuse && self.separates(x, y)
    }
}

impl Network {
    /// Holds a packet back if a partition is in its way; otherwise returns it.
    pub(super) fn hold_back(&mut self, hosts: (HostId, HostId), packet: Packet) -> Option<Packet> {
        let mut cuts = self.cuts.values_mut();
        match cuts.find(|cut| cut.holds_packets(hosts.0, hosts.1)) {
            Some(cut) => {
                cut.held.push(packet);
                None
            }
            None => Some(packet),
        }
    }

    pub(super) fn is_refused_by_cut(&self, hosts: (HostId, HostId)) -> bool {
        let mut cuts = self.cuts.values();
        cuts.any(|cut| cut.refuses_connections(hosts.0, hosts.1))
    }
}

impl Sim {
    /// Separates all hosts of `a` from all of `b`.
    pub(crate) fn cut(&self, a: &[HostId], b: &[HostId], mode: CutMode) -> CutId {
        let mut network = self.network.borrow_mut();
        network.last_cut += 1;
        let id = CutId(network.last_cut);
        let cut = Cut {
            a: a.iter().copied().collect(),
            b: b.iter().copied().collect(),
            mode,
            held: Vec::new(),
        };
        if mode == CutMode::Reset {
            for connection in network.connections.values_mut() {
                let (client, server) = connection.hosts();
                if cut.separates(client, server) {
                    connection.reset();
                }
            }
        }
        network.cuts.insert(id, cut);
        id
    }

    /// Ends a partition; held packets are sent in order.
    pub(crate) fn heal(&self, timers: &PacketTimers, cut: CutId) {
        let mut network = self.network.borrow_mut();
        let Some(cut) = network.cuts.remove(&cut) else {
            return;
        };
        for packet in cut.held {
            self.send(timers, &mut network, packet);
        }
    }
}
