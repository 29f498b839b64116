//! Division of the node's sockets among its connections, and of the state service's rate limits
//! among the controllers.

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
const STORE_CONNECTIONS: usize = 48;

/// Connections to the cloud.
const CLOUD_CONNECTIONS: usize = 4;

/// Connections to peers in addition to those that relay heartbeats to one of them.
const EXTRA_PEER_CONNECTIONS: usize = 8;

/// Number of sockets per connection to a peer. 3,051 sockets give 61 connections, enough
/// for 600 heartbeats per second that wait 0.1 s each.
const SOCKETS_PER_PEER_CONNECTION: usize = 50;

/// Minimum number of connections to workers, whatever the number of sockets.
const MIN_OUTGOING: f64 = 16.0;

/// Sockets reserved for listening, the event loop, and logs.
const RESERVED_SOCKETS: usize = 12;

/// Largest message between controllers, in bytes. The largest message is the answer of a
/// delegate that lists every machine whose lease it renewed: about 40 bytes for each of
/// 4,000 machines, in addition to the ids of thousands of jobs.
const MAX_PEER_BODY_BYTES: usize = 1 << 20;

/// Largest response of the state service, in bytes: one page of a list.
const MAX_STORE_BODY_BYTES: usize = 8 << 20;
/// Largest response of the cloud, in bytes: one page of a list.
const MAX_CLOUD_BODY_BYTES: usize = 1 << 20;
/// Largest response of a worker, in bytes: twice the protocol's limit.
const MAX_WORKER_BODY_BYTES: usize = 128 << 10;
/// Timeout for opening a connection, in seconds.
const CONNECT_S: f64 = 1.0;
/// Minimum rate of requests to the cloud, per second. At a rate of 0 the machines would
/// never be listed.
const MIN_CLOUD_RPS: f64 = 0.1;

/// Client of the state service.
pub(crate) fn key_value_client(
    tuning: &Tuning,
    settings: &Settings,
    clock: Rc<dyn Clock>,
) -> KeyValueClient {
    let limits = &settings.facts.state;
    KeyValueClient::new(
        Client::new(ClientLimits {
            max_body_bytes: MAX_STORE_BODY_BYTES,
            max_per_address: STORE_CONNECTIONS,
            max_idle: 8,
            max_total: STORE_CONNECTIONS,
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

/// Client of the cloud provider's API.
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

/// Client for direct commands to workers. There are many workers, and commands to each are
/// rare, so few idle connections are kept.
pub(crate) fn worker_client(tuning: &Tuning, settings: &Settings) -> Client {
    Client::new(ClientLimits {
        max_body_bytes: MAX_WORKER_BODY_BYTES,
        max_per_address: 40,
        max_idle: 2,
        max_total: connections_to_workers(tuning, settings),
        connect_timeout_s: CONNECT_S,
    })
}

/// Client for requests to peers. Many heartbeats are relayed to one peer at the same time.
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

/// Total number of connections to workers.
fn connections_to_workers(tuning: &Tuning, settings: &Settings) -> usize {
    let sockets = settings.facts.resources.max_sockets as f64;
    (sockets * tuning.outgoing_share).max(MIN_OUTGOING) as usize
}

/// Connections from one controller to another. Relayed heartbeats occupy these connections
/// while they wait for an answer. Their number grows with the fleet, as does the number of
/// sockets.
fn connections_to_peer(tuning: &Tuning, settings: &Settings) -> usize {
    let by_sockets = settings.facts.resources.max_sockets / SOCKETS_PER_PEER_CONNECTION;
    by_sockets.max(tuning.peer_connections as usize)
}

impl Node {
    /// Sets this node's share of the state service's rate limits, which apply to all nodes
    /// together.
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

    /// Returns the limits of the public server, and of the server for other controllers. The
    /// public server gets the sockets that the other connections do not need, within the bounds
    /// of the tuning parameters.
    pub(crate) fn server_limits(&self) -> (ServerLimits, ServerLimits) {
        let sockets = self.settings.facts.resources.max_sockets as f64;
        let tuning = &self.tuning;
        let to_peer = connections_to_peer(tuning, &self.settings);
        let from_peers = self.settings.peers.len() * to_peer + 8;
        let other_sockets = STORE_CONNECTIONS
            + CLOUD_CONNECTIONS
            + EXTRA_PEER_CONNECTIONS
            + to_peer
            + from_peers
            + connections_to_workers(tuning, &self.settings)
            + RESERVED_SOCKETS;
        let upper_bound = (sockets * tuning.front_total_share) as usize;
        let lower_bound = (sockets * tuning.front_users_least_share) as usize;
        let left = (sockets as usize).saturating_sub(other_sockets);
        let front = ServerLimits {
            max_body_bytes: tuning.max_body_bytes as usize,
            max_connections: upper_bound.min(left).max(lower_bound),
            reserved: self.reserved_sockets.clone(),
            min_unreserved: lower_bound,
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

    /// Reserves a connection to the public API for each worker, and some more for workers that
    /// reconnect before the node has noticed that the old connection is closed.
    pub(crate) fn reserve_sockets_for(&self, machines: usize) {
        self.reserved_sockets.set(machines + machines / 8 + 4);
    }
}

#[cfg(test)]
mod tests;
