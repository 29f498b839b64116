//! Degraded mode: starting tasks without a record while the state service is unavailable,
//! with the agreement of all peers.

use std::collections::BTreeSet;
use std::rc::Rc;

use futures::future::join_all;
use serde::de::IgnoredAny;
use tracing::{debug, info};
use umbersail_http::Response;
use umbersail_runtime::{Time, sleep};
use umbersail_standby::DegradedMode;
use umbersail_wire::{DegradedModeAnswer, DegradedModeRequest, decode, encode, paths};

use crate::node::{Node, Role};
use crate::records::LEADER_KEY;
use crate::settings::Peer;
use crate::state::{KeyValueError, RequestPriority};

/// Interval at which a leader checks whether to enter or leave degraded mode, in seconds.
const CHECK_INTERVAL_S: Time = 0.1;
/// Delay before the next request for agreement after a peer has not agreed, in seconds.
const REFUSAL_BACKOFF_S: Time = 1.0;
/// Once the state service is available again, degraded mode ends when no more jobs than this
/// have unrecorded starts: so few records do not hold up other starts for long.
const MAX_UNRECORDED_JOBS_AT_EXIT: usize = 8;

impl Node {
    /// Enters degraded mode when the state service becomes unavailable, and leaves it after
    /// the state service is available again.
    pub(crate) async fn run_degraded_mode(self: Rc<Self>, token: u64) {
        let mut available_since: Option<Time> = None;
        loop {
            sleep(CHECK_INTERVAL_S).await;
            let now = self.clock.now();
            let mode = self.degraded_mode.borrow().clone();
            let wanted = if self.state_is_unavailable(now) {
                available_since = None;
                self.wants_degraded_mode(now, token)
            } else {
                // Writing the records of the tasks that were started or ended meanwhile
                // takes time. Until most are written, tasks are still started without a
                // record.
                let available_s = now - *available_since.get_or_insert(now);
                mode == DegradedMode::Active
                    && self.is_within_start_deadline(now)
                    && available_s < self.tuning.degraded_mode_catch_up_max_s
                    && self.with_engine(token, |e| {
                        e.unrecorded_job_count() > MAX_UNRECORDED_JOBS_AT_EXIT
                    }) == Some(true)
            };
            if mode == DegradedMode::Off && wanted && !self.request_degraded_mode(token).await {
                sleep(REFUSAL_BACKOFF_S).await;
            }
            if mode == DegradedMode::Active && !wanted {
                info!("degraded mode: no further unrecorded starts");
                self.degraded_mode.borrow_mut().stop_starts();
                self.with_engine(token, |e| e.set_degraded_mode(false));
                self.scheduler_wakeup.notify();
            }
            let all_recorded = || self.with_engine(token, |e| e.unrecorded_job_count()) == Some(0);
            if mode == DegradedMode::Draining && all_recorded() {
                info!("degraded mode ended: all starts are recorded");
                self.degraded_mode.borrow_mut().on_all_recorded();
            }
        }
    }

    /// Whether tasks should be started without a record now: the state service is
    /// unavailable, tasks are waiting (or degraded mode is active already), and the deadline
    /// for such starts has not passed.
    fn wants_degraded_mode(&self, now: Time, token: u64) -> bool {
        self.state_is_unavailable(now)
            && self.is_within_start_deadline(now)
            && (self.degraded_mode.borrow().allows_unrecorded_starts()
                || self.with_engine(token, |e| e.has_jobs_for_degraded_mode()) == Some(true))
    }

    /// Whether requests to the state service have been failing for `degraded_mode_after_s`.
    fn state_is_unavailable(&self, now: Time) -> bool {
        let after_s = self.tuning.degraded_mode_after_s;
        (self.kv.failing_since()).is_some_and(|at| now - at >= after_s)
    }

    /// Whether this node leads, may still renew workers' leases, and renewed its own leader
    /// lease no longer than `degraded_mode_max_s` ago.
    fn is_within_start_deadline(&self, now: Time) -> bool {
        let tuning = &self.tuning;
        match &*self.role.borrow() {
            Role::Leading(l) if !l.superseded.get() => {
                let workers = &self.settings.facts.workers;
                let renewal_s = tuning.renewal_s(workers.cancel_s, workers.lease_s);
                let renewed = l.lease.renew_until() - renewal_s;
                now < l.lease.renew_until() && now < renewed + tuning.degraded_mode_max_s
            }
            _ => false,
        }
    }

    /// Requests the agreement of all peers; returns true if every peer agrees. Meanwhile this
    /// leader reports that it may have made unrecorded starts. Otherwise a peer that has
    /// agreed would conclude that degraded mode is over.
    async fn request_degraded_mode(&self, token: u64) -> bool {
        *self.degraded_mode.borrow_mut() = DegradedMode::Requesting(BTreeSet::new());
        let peers = &self.settings.peers;
        if peers.is_empty() {
            *self.degraded_mode.borrow_mut() = DegradedMode::Active;
        }
        join_all(peers.iter().map(|peer| self.request_agreement(token, peer))).await;
        let now = self.clock.now();
        if !self.wants_degraded_mode(now, token)
            || !self.degraded_mode.borrow().allows_unrecorded_starts()
        {
            // Peers that agreed learn from the next hello reply that no unrecorded start was
            // made.
            *self.degraded_mode.borrow_mut() = DegradedMode::Off;
            return false;
        }
        info!("degraded mode: the state service is unavailable and all peers agreed");
        self.with_engine(token, |e| e.set_degraded_mode(true));
        self.scheduler_wakeup.notify();
        true
    }

    async fn request_agreement(&self, token: u64, peer: &Peer) {
        let body = encode(&DegradedModeRequest {
            member: self.settings.member.clone(),
            token,
        });
        let wait_s = self.tuning.peer_timeout_s;
        let answer = self
            .peer_http
            .request(peer.addr, "POST", paths::PEER_DEGRADED_MODE, &body, wait_s)
            .await;
        let answer = match &answer {
            Ok((200, body)) => decode::<DegradedModeAnswer>(body).ok(),
            _ => None,
        };
        if let Some(answer) = answer.filter(|a| a.agreed) {
            // Applied before the agreement counts: the peer may know of cancelled jobs, which
            // must not be started.
            self.on_cancelled_jobs(&answer.cancelled_jobs);
            let peers = self.settings.peers.len();
            self.degraded_mode
                .borrow_mut()
                .on_peer_agreed(&peer.member, peers);
        } else {
            debug!(
                peer = peer.member,
                "peer did not agree to unrecorded starts"
            );
        }
    }

    /// The peer's side of a request for agreement. Agrees only if the requester is the newest
    /// known leader and the state service is unavailable to this node too. Does not agree
    /// while this node's own election is in progress, because the election states what this
    /// node knew about unrecorded starts before the request.
    pub(crate) async fn handle_degraded_mode_request(&self, body: &[u8]) -> Response {
        let Ok(request) = decode::<DegradedModeRequest>(body) else {
            return Response::empty(400);
        };
        let is_current_leader = |node: &Node| {
            let leader = node.leader.borrow();
            let is_known_leader =
                (leader.as_ref()).is_some_and(|(m, t)| *m == request.member && *t == request.token);
            is_known_leader
                && !node.campaigning.get()
                && matches!(&*node.role.borrow(), Role::Following)
        };
        let mut agreed = false;
        if is_current_leader(self) {
            let probe = self
                .kv
                .get::<IgnoredAny>(LEADER_KEY, RequestPriority::Critical)
                .await;
            let is_unavailable = matches!(
                probe,
                Err(KeyValueError::Unavailable(_) | KeyValueError::NoAnswer(_))
            );
            if is_current_leader(self) {
                let now = self.clock.now();
                let mut memory = self.degraded_mode_record.borrow_mut();
                agreed = memory.agree(now, request.token, request.token, is_unavailable);
            }
        }
        let cancelled = self.recently_cancelled();
        Response::new(
            200,
            encode(&DegradedModeAnswer {
                agreed,
                cancelled_jobs: cancelled,
            }),
        )
    }
}
