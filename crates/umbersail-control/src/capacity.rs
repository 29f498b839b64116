//! Shares of a node's sockets and of the state service's limits.

use std::rc::Rc;

use umbersail_http::{Client, ClientLimits, ServerLimits};
use umbersail_runtime::Clock;
use umbersail_tuning::Tuning;
use umbersail_wire::paths;

use crate::cloud::CloudClient;
use crate::node::Node;
use crate::settings::Settings;
use crate::state::KeyValueClient;

/// Connections to the state service.
const STATE_CONNECTIONS: usize = 48;

/// Connections to the cloud.
const CLOUD_CONNECTIONS: usize = 4;

/// Connections to peers beside those that hand on heartbeats to one of them.
const EXTRA_PEER_CONNECTIONS: usize = 8;

/// One connection to each peer for so many sockets: 61 of 3,051, enough for 600 reports a
/// second that wait 0.1 s each.
const SOCKETS_PER_PEER_CONNECTION: usize = 50;

/// Connections to workers, however few sockets there are.
const MIN_OUTGOING: f64 = 16.0;

/// Listening sockets, the event loop, logs.
const RESERVED_SOCKETS: usize = 12;

/// Upper bound on a message between controllers, in bytes. The largest is a delegate's
/// answer that lists every machine it renewed: some 40 bytes for each of 4,000 machines,
/// beside the ids of thousands of jobs.
const MAX_PEER_BODY_BYTES: usize = 1 << 20;

/// Largest answers of the state service and of the cloud, in bytes: pages of a list.
const MAX_STATE_BODY_BYTES: usize = 8 << 20;
const MAX_CLOUD_BODY_BYTES: usize = 1 << 20;
/// Largest answer of a worker, in bytes: twice the protocol's limit.
const MAX_WORKER_BODY_BYTES: usize = 128 << 10;
/// Seconds to open a connection.
const CONNECT_S: f64 = 1.0;
/// Least requests a second to the cloud: without any nothing is ever listed.
const MIN_CLOUD_RPS: f64 = 0.1;

pub(crate) fn key_value_client(
    tuning: &Tuning,
    settings: &Settings,
    clock: Rc<dyn Clock>,
) -> KeyValueClient {
    let limits = &settings.facts.state;
    KeyValueClient::new(
        Client::new(ClientLimits {
            max_body_bytes: MAX_STATE_BODY_BYTES,
            max_per_address: STATE_CONNECTIONS,
            max_idle: 8,
            max_total: STATE_CONNECTIONS,
            connect_timeout_s: CONNECT_S,
        }),
        settings.external.state,
        clock,
        limits.rps,
        limits.write_rps,
        tuning.state_timeout_s,
        tuning.state_unreachable_after_s,
    )
}

pub(crate) fn cloud_client(
    tuning: &Tuning,
    settings: &Settings,
    clock: Rc<dyn Clock>,
) -> CloudClient {
    CloudClient::new(
        Client::new(ClientLimits {
            max_body_bytes: MAX_CLOUD_BODY_BYTES,
            max_per_address: CLOUD_CONNECTIONS,
            max_idle: 2,
            max_total: CLOUD_CONNECTIONS,
            connect_timeout_s: CONNECT_S,
        }),
        settings.external.cloud,
        clock,
        (settings.facts.cloud.rps * tuning.cloud_share).max(MIN_CLOUD_RPS),
        tuning.cloud_timeout_s,
    )
}

/// For direct commands: workers' addresses are many, and what is asked of one is rare.
pub(crate) fn worker_client(tuning: &Tuning, settings: &Settings) -> Client {
    Client::new(ClientLimits {
        max_body_bytes: MAX_WORKER_BODY_BYTES,
        max_per_address: 40,
        max_idle: 2,
        max_total: connections_to_workers(tuning, settings),
        connect_timeout_s: CONNECT_S,
    })
}

/// For peers: heartbeats are handed on to one of them, many at a time.
pub(crate) fn peer_client(tuning: &Tuning, settings: &Settings) -> Client {
    let to_peer = connections_to_peer(tuning, settings);
    Client::new(ClientLimits {
        max_body_bytes: MAX_PEER_BODY_BYTES,
        max_per_address: to_peer,
        max_idle: to_peer,
        max_total: EXTRA_PEER_CONNECTIONS + to_peer,
        connect_timeout_s: CONNECT_S,
    })
}

fn connections_to_workers(tuning: &Tuning, settings: &Settings) -> usize {
    let sockets = settings.facts.resources.max_sockets as f64;
    (sockets * tuning.outgoing_share).max(MIN_OUTGOING) as usize
}

/// Connections from one controller to another: reports that are handed on wait there,
/// and how many come grows with the fleet, as the sockets do.
fn connections_to_peer(tuning: &Tuning, settings: &Settings) -> usize {
    let by_sockets = settings.facts.resources.max_sockets / SOCKETS_PER_PEER_CONNECTION;
    by_sockets.max(tuning.peer_connections as usize)
}

impl Node {
    /// The state service's limits hold for all nodes together.
    pub(crate) fn apply_rate_limits(&self, leading: bool) {
        let facts = &self.settings.facts;
        let others = self.settings.peers.len().max(1) as f64;
        let share = |leader: f64| {
            if leading {
                leader
            } else {
                (1.0 - leader) / others
            }
        };
        self.kv.set_rates(
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
            + connections_to_workers(tuning, &self.settings)
            + RESERVED_SOCKETS;
        let most = (sockets * tuning.front_total_share) as usize;
        let least = (sockets * tuning.front_users_least_share) as usize;
        let left = (sockets as usize).saturating_sub(elsewhere);
        let front = ServerLimits {
            max_body_bytes: tuning.max_body_bytes as usize,
            max_connections: most.min(left).max(least),
            reserved: self.reserved_sockets.clone(),
            min_unreserved: least,
            reserved_paths: vec![paths::HEARTBEAT.into(), paths::HEALTH.into()],
            idle_timeout_s: tuning.idle_connection_s,
            receive_timeout_s: tuning.receive_s,
            send_timeout_s: tuning.receive_s,
        };
        let back = ServerLimits {
            max_body_bytes: MAX_PEER_BODY_BYTES,
            max_connections: from_peers,
            reserved: Rc::default(),
            min_unreserved: 0,
            ..front.clone()
        };
        (front, back)
    }

    /// Keeps a front connection for each worker, and some for those that come
    /// back by a new one before the old one is known to be gone.
    pub(crate) fn reserve_sockets_for(&self, machines: usize) {
        self.reserved_sockets.set(machines + machines / 8 + 4);
    }
}

#[cfg(test)]
mod tests;
