//! Shares of a node's sockets and of the state service's limits.

use std::rc::Rc;

use umbersail_http::ServerLimits;
use umbersail_tuning::Tuning;
use umbersail_wire::paths;

use crate::node::Node;
use crate::settings::Settings;

/// Connections to the state service and the cloud, and to peers beside those
/// that hand on reports to one of them.
pub(crate) const STATE_CONNECTIONS: usize = 48;

pub(crate) const CLOUD_CONNECTIONS: usize = 4;

pub(crate) const EXTRA_PEER_CONNECTIONS: usize = 8;

/// One connection to each peer for so many sockets: 61 of 3,051, enough for 600 reports a
/// second that wait 0.1 s each.
pub(crate) const SOCKETS_PER_PEER_CONNECTION: usize = 50;

/// Connections to workers, however few sockets there are.
pub(crate) const MIN_OUTGOING: f64 = 16.0;

/// Listening sockets, the event loop, logs.
pub(crate) const RESERVED_SOCKETS: usize = 12;

/// Upper bound on a message between controllers, in bytes. The largest is a delegate's
/// answer that lists every machine it renewed: some 40 bytes for each of 4,000 machines,
/// beside the ids of thousands of jobs.
pub(crate) const MAX_PEER_BODY_BYTES: usize = 1 << 20;

/// Connections from one controller to another: reports that are handed on wait there,
/// and how many come grows with the fleet, as the sockets do.
pub(crate) fn connections_to_peer(tuning: &Tuning, settings: &Settings) -> usize {
    let by_sockets = settings.facts.resources.max_sockets / SOCKETS_PER_PEER_CONNECTION;
    by_sockets.max(tuning.peer_connections as usize)
}

impl Node {
    /// The state service's limits hold for all nodes together.
    pub(crate) fn share_limits(&self, leading: bool) {
        let facts = &self.settings.facts;
        let others = self.settings.peers.len().max(1) as f64;
        let share = |leader: f64| {
            if leading {
                leader
            } else {
                (1.0 - leader) / others
            }
        };
        self.state.set_rates(
            facts.state.rps * share(self.tuning.state_share_leader),
            facts.state.write_rps * share(self.tuning.write_share_leader),
            leading,
        );
    }

    pub(crate) fn server_limits(&self) -> (ServerLimits, ServerLimits) {
        let sockets = self.settings.facts.resources.max_sockets as f64;
        let tuning = &self.tuning;
        let to_peer = connections_to_peer(tuning, &self.settings);
        let from_peers = self.settings.peers.len() * to_peer + 8;
        let elsewhere = STATE_CONNECTIONS
            + CLOUD_CONNECTIONS
            + EXTRA_PEER_CONNECTIONS
            + to_peer
            + from_peers
            + (sockets * tuning.outgoing_share).max(MIN_OUTGOING) as usize
            + RESERVED_SOCKETS;
        let most = (sockets * tuning.front_total_share) as usize;
        let least = (sockets * tuning.front_users_least_share) as usize;
        let left = (sockets as usize).saturating_sub(elsewhere);
        let front = ServerLimits {
            max_body_bytes: tuning.max_body_bytes as usize,
            max_connections: most.min(left).max(least),
            reserved: self.reserved_sockets.clone(),
            least_unreserved: least,
            reserved_paths: vec![paths::REPORT.into(), paths::HEALTH.into()],
            idle_s: tuning.idle_connection_s,
            receive_s: tuning.receive_s,
            send_s: tuning.receive_s,
        };
        let back = ServerLimits {
            max_body_bytes: MAX_PEER_BODY_BYTES,
            max_connections: from_peers,
            reserved: Rc::default(),
            least_unreserved: 0,
            ..front.clone()
        };
        (front, back)
    }

    /// Keeps a front connection for each worker, and some for those that come
    /// back by a new one before the old one is known to be gone.
    pub(crate) fn keep_sockets_for(&self, machines: usize) {
        self.reserved_sockets.set(machines + machines / 8 + 4);
    }
}

#[cfg(test)]
mod tests;
