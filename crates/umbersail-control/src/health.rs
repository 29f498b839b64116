//! Whether this node sees the state service and its peers, and whether it is ready for users.

use std::rc::Rc;

use umbersail_runtime::{Time, sleep};

use crate::node::{Node, PeerState};
use crate::records::{LEADER_KEY, LeaderRecord};
use crate::state::RequestPriority;

/// How often a state service that is out of reach is asked for, seconds.
const SILENT_PROBE_S: Time = 0.3;

impl Node {
    /// Whether the state service answered us lately.
    pub(crate) fn is_store_reachable(&self) -> bool {
        let now = self.clock.now();
        self.kv
            .last_success()
            .is_some_and(|at| now - at < self.tuning.state_lost_after_s)
    }

    /// Whether no peer has been heard of lately, though there are some.
    pub(crate) fn hears_from_no_peer(&self, now: Time) -> bool {
        let lately = |at: Time| now - at < self.tuning.isolated_after_s;
        !self.settings.peers.is_empty()
            && !(self.peers.borrow().values()).any(|p| p.heard_at.is_some_and(lately))
    }

    /// Whether we reach neither the state service, which has not even refused
    /// anything, nor any peer: then others lead, or soon will.
    pub(crate) fn is_isolated(&self, now: Time) -> bool {
        let silent = self.kv.unresponsive_since();
        silent.is_some_and(|at| now - at >= self.tuning.isolated_after_s)
            && self.hears_from_no_peer(now)
    }

    /// Whether it is only us whom the rest does not reach: isolated, and not by a cut
    /// of our zone, which would keep the balancer from us too. Our workers then reach
    /// the other nodes, and are better off there.
    pub(crate) fn is_only_node_isolated(&self, now: Time) -> bool {
        self.is_isolated(now)
            && now - self.outside_contact_at.get() < self.tuning.balancer_contact_max_age_s
    }

    /// A node that alone is blind takes itself out; when all are blind alike,
    /// leaving would only add the balancer's penalty to the outage.
    pub(crate) fn is_ready(&self) -> bool {
        if self.machine_types.borrow().is_empty() {
            return false;
        }
        if self.is_store_reachable() {
            return true;
        }
        let now = self.clock.now();
        let Some(last_answer) = self.kv.last_success() else {
            // Started in an outage: refused like all others, it takes users as they do,
            // and the balancer need not wait for it afterwards.
            let refused = self.kv.unresponsive_since().is_none() && self.kv.has_ever_responded();
            let reached = |p: &PeerState| p.state_reachable;
            return refused
                && !self.hears_from_no_peer(now)
                && !self.peers.borrow().values().any(reached);
        };
        // Nobody can say whether the state service refuses others too; that takes
        // longer, so that no short outage among controllers that are apart counts.
        let refused_s = 2.0 * self.tuning.state_lost_after_s;
        if self.is_isolated(now) || self.hears_from_no_peer(now) && now - last_answer >= refused_s {
            return false;
        }
        // A peer's word counts only if it is clearly newer than our own last
        // answer: at the start of an outage all of them still say "reachable".
        let proven = last_answer + self.tuning.state_lost_after_s + self.tuning.peer_interval_s;
        !self.peers.borrow().values().any(|p| {
            p.state_reachable && p.heard_at.is_some_and(|at| at > proven && now - at < 3.0)
        })
    }

    /// Asks the state service for something small when nothing else has been
    /// asked lately. Without it a node that no user asks would hold itself
    /// blind, and leave the balancer, although all is well.
    pub(crate) async fn probe_store(self: Rc<Self>) {
        loop {
            // Users are refused until it answers.
            let interval = match self.kv.unresponsive_since() {
                Some(_) => SILENT_PROBE_S.min(self.tuning.state_probe_interval_s),
                None => self.tuning.state_probe_interval_s,
            };
            sleep(interval).await;
            let now = self.clock.now();
            if self.kv.last_success().is_none_or(|at| now - at >= interval) {
                // What comes of it is seen by `is_store_reachable`.
                let _ = self
                    .kv
                    .get::<LeaderRecord>(LEADER_KEY, RequestPriority::Background)
                    .await;
            }
        }
    }
}
