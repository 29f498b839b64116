//! Reachability of the state service and of the other controllers, and the readiness of this
//! node for user requests.

use std::rc::Rc;

use umbersail_runtime::{Time, sleep};

use crate::node::{Node, PeerState};
use crate::records::{LEADER_KEY, LeaderRecord};
use crate::state::RequestPriority;

/// Interval between probes of a state service that does not respond, in seconds.
const UNRESPONSIVE_PROBE_S: Time = 0.3;

impl Node {
    /// Whether the state service has answered a request of this node recently.
    pub(crate) fn is_store_reachable(&self) -> bool {
        let now = self.clock.now();
        self.kv
            .last_success()
            .is_some_and(|at| now - at < self.tuning.state_lost_after_s)
    }

    /// Whether there are peers, but none has sent a message recently.
    pub(crate) fn hears_from_no_peer(&self, now: Time) -> bool {
        let is_recent = |at: Time| now - at < self.tuning.isolated_after_s;
        !self.settings.peers.is_empty()
            && !(self.peers.borrow().values()).any(|p| p.heard_at.is_some_and(is_recent))
    }

    /// Whether this node reaches neither the state service nor any peer. A state service that
    /// answers requests with errors counts as reached. If this node is isolated, another node
    /// leads or will soon be elected.
    pub(crate) fn is_isolated(&self, now: Time) -> bool {
        let unresponsive_since = self.kv.unresponsive_since();
        unresponsive_since.is_some_and(|at| now - at >= self.tuning.isolated_after_s)
            && self.hears_from_no_peer(now)
    }

    /// Whether this node is isolated on its own, and not together with its zone. A network
    /// partition of the zone would also cut off the load balancer, which was heard from
    /// recently. The workers of this node can then reach the other nodes, and should be
    /// redirected there.
    pub(crate) fn is_isolated_alone(&self, now: Time) -> bool {
        self.is_isolated(now)
            && now - self.outside_contact_at.get() < self.tuning.balancer_contact_max_age_s
    }

    /// Whether this node should receive user requests. A node is not ready if it alone does
    /// not reach the state service. If no node reaches the state service, all stay ready: the
    /// load balancer readmits a node only after a delay, which would prolong the outage.
    pub(crate) fn is_ready(&self) -> bool {
        if self.machine_types.borrow().is_empty() {
            return false;
        }
        if self.is_store_reachable() {
            return true;
        }
        let now = self.clock.now();
        let Some(last_answer) = self.kv.last_success() else {
            // The node started during an outage. If the state service answers it with errors,
            // as it answers all nodes, the node is ready like the others, so that the load
            // balancer need not wait for it after the outage.
            let answers_with_errors =
                self.kv.unresponsive_since().is_none() && self.kv.has_ever_responded();
            let reached = |p: &PeerState| p.state_reachable;
            return answers_with_errors
                && !self.hears_from_no_peer(now)
                && !self.peers.borrow().values().any(reached);
        };
        // Without contact to a peer, this node can't tell whether the state service rejects the
        // requests of other nodes too. The time limit is doubled here, so that a short outage
        // of the state service during a partition between controllers has no effect.
        let rejected_s = 2.0 * self.tuning.state_lost_after_s;
        if self.is_isolated(now) || self.hears_from_no_peer(now) && now - last_answer >= rejected_s
        {
            return false;
        }
        // A peer's report that the state service is reachable counts only if the report is
        // clearly newer than the last answer to this node: at the start of an outage the last
        // reports of all peers still say "reachable".
        let newer_than = last_answer + self.tuning.state_lost_after_s + self.tuning.peer_interval_s;
        !self.peers.borrow().values().any(|p| {
            p.state_reachable
                && p.heard_at
                    .is_some_and(|at| at > newer_than && now - at < 3.0)
        })
    }

    /// Sends a small read to the state service whenever the state service has not answered
    /// within the probe interval. Without the probe, a node without user requests would
    /// consider the state service unreachable and report that it is not ready.
    pub(crate) async fn probe_store(self: Rc<Self>) {
        loop {
            // User requests are refused until the state service answers, so the probes are
            // frequent.
            let interval = match self.kv.unresponsive_since() {
                Some(_) => UNRESPONSIVE_PROBE_S.min(self.tuning.state_probe_interval_s),
                None => self.tuning.state_probe_interval_s,
            };
            sleep(interval).await;
            let now = self.clock.now();
            if self.kv.last_success().is_none_or(|at| now - at >= interval) {
                // `is_store_reachable` evaluates the time of the last answer.
                let _ = self
                    .kv
                    .get::<LeaderRecord>(LEADER_KEY, RequestPriority::Background)
                    .await;
            }
        }
    }
}
