//! Failover: how a follower collects evidence that the leader has failed and probes the
//! leader before replacing its key, and how a leader resigns in favour of another node.

use std::rc::Rc;

use futures::future::select;
use serde::de::IgnoredAny;
use std::pin::pin;
use tracing::{debug, info};
use umbersail_http::{ClientError, Response};
use umbersail_runtime::{Time, sleep, timeout};
use umbersail_standby::{
    Candidate, DetectorStep, Evidence, HandoverLimits, next_leader, should_hand_over,
};
use umbersail_wire::{Hello, decode, encode, paths};

use crate::engine::TxnOutcome;
use crate::node::{Node, Role};
use crate::records::{LIVENESS_KEY, LivenessRecord, SUSPICIONS, liveness_txn, suspicion_txn};
use crate::settings::Peer;
use crate::state::{KeyValueError, RequestPriority};

/// Interval at which a node measures how late its timers fire, in seconds.
const LAG_SAMPLE_S: Time = 0.25;
/// Delay before the next request to a leader that did not reply, in seconds.
const RETRY_S: Time = 0.2;
/// Longest delay between two checks while there is no evidence against the leader, in
/// seconds.
const IDLE_CHECK_S: Time = 5.0;

impl Node {
    /// Whether this node leads, is not superseded and has not resigned.
    fn is_leading(&self) -> bool {
        matches!(&*self.role.borrow(), Role::Leading(l) if !l.superseded.get())
            && !self.resigning.get()
    }

    /// The newest known leader and the version of its key, unless this node is that leader.
    fn remote_leader(&self) -> Option<(Peer, u64)> {
        let (member, token) = self.leader.borrow().clone()?;
        let peer = self.settings.peers.iter().find(|p| p.member == member)?;
        Some((peer.clone(), token))
    }

    /// Keeps a long-polling request open at the leader. The connection closes when the
    /// leader's process ends, and the leader replies early when it resigns.
    pub(crate) async fn watch_leader(self: Rc<Self>) {
        loop {
            let Some((peer, token)) = self.remote_leader() else {
                sleep(RETRY_S).await;
                continue;
            };
            let body = encode(&self.build_hello());
            let asked_at = self.clock.now();
            let wait_s = self.tuning.leader_watch_timeout_s + self.tuning.peer_timeout_s;
            let answer = self
                .peer_http
                .request(peer.addr, "POST", paths::PEER_WATCH_LEADER, &body, wait_s)
                .await;
            match answer {
                Ok((200, body)) => {
                    let Ok(hello) = decode::<Hello>(&body) else {
                        sleep(IDLE_CHECK_S).await;
                        continue;
                    };
                    if self.on_leader_watch_reply(token, asked_at, &hello) {
                        continue;
                    }
                }
                // The leader runs an older build without this request. Its replies to hello
                // messages are the only information.
                Ok(_) => sleep(IDLE_CHECK_S).await,
                Err(e) => self.suspect(token, evidence_from_error(&e)),
            }
            sleep(RETRY_S).await;
        }
    }

    /// Handles the reply to a leader watch that was sent at `asked_at`. Returns true if the
    /// replying process leads with this token.
    fn on_leader_watch_reply(&self, token: u64, asked_at: Time, hello: &Hello) -> bool {
        self.on_hello(hello, Some(asked_at));
        if hello.is_leader && hello.token == token {
            self.failure_detector.borrow_mut().clear_suspicion(token);
            return true;
        }
        let is_other_process = (self.leader_key_read.get())
            .is_some_and(|(of, incarnation)| of == token && incarnation != hello.incarnation);
        if is_other_process {
            self.suspect(token, Evidence::ProcessReplaced);
        } else if hello.is_resigning && hello.token == token {
            self.suspect(token, Evidence::Resigned);
        }
        false
    }

    /// The leader's side of a leader watch: replies when the leader resigns or stops leading,
    /// or after `leader_watch_timeout_s`.
    pub(crate) async fn handle_leader_watch(&self, body: &[u8]) -> Response {
        let Ok(hello) = decode::<Hello>(body) else {
            return Response::empty(400);
        };
        self.on_hello(&hello, None);
        let deadline = self.clock.now() + self.tuning.leader_watch_timeout_s;
        loop {
            let now = self.clock.now();
            if !self.is_leading() || now >= deadline {
                break;
            }
            // Whether the timeout passed or the role changed, the loop checks both again.
            let _ = timeout(deadline - now, self.role_changed.notified()).await;
        }
        Response::new(200, encode(&self.build_hello()))
    }

    /// Reports evidence against the leader whose key has this version.
    pub(crate) fn suspect(&self, token: u64, evidence: Evidence) {
        let now = self.clock.now();
        if self
            .failure_detector
            .borrow_mut()
            .suspect(now, token, evidence)
        {
            info!(token, ?evidence, "new evidence that the leader has failed");
            self.suspected.notify();
        }
    }

    /// Order in which followers try to succeed the leader: 0 for the successor that the
    /// leader designated, and 1, 2, ... for the others in the order of their names.
    pub(crate) fn campaign_rank(&self) -> usize {
        let designated_successor = self.designated_successor.borrow();
        if designated_successor.as_deref() == Some(&*self.settings.member) {
            return 0;
        }
        let sorts_before_this_node = |p: &&Peer| p.member < self.settings.member;
        1 + self
            .settings
            .peers
            .iter()
            .filter(sorts_before_this_node)
            .count()
    }

    /// Runs the failure detector for the lifetime of the process.
    pub(crate) async fn run_failure_detector(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let step = self
                .failure_detector
                .borrow()
                .next_step(now, self.campaign_rank());
            let wait_s = match step {
                DetectorStep::Idle => IDLE_CHECK_S,
                DetectorStep::WaitUntil(until) => until - now,
                DetectorStep::ProbeLeader => {
                    self.probe_leader().await;
                    0.05
                }
                DetectorStep::ReplaceLeader(token) => {
                    self.confirm_leader_failure(
                        token,
                        "the leader resigned, or another process replied at its address",
                    );
                    RETRY_S
                }
            };
            let _ = select(pin!(self.suspected.notified()), pin!(sleep(wait_s))).await;
        }
    }

    /// Probes the leader through the state service. A leader that may start tasks can reach
    /// the state service. If this node cannot reach it, the probe is inconclusive.
    async fn probe_leader(&self) {
        let Some((_, token)) = self.remote_leader() else {
            return;
        };
        let txn = suspicion_txn(&self.settings.member, token);
        let probe_started_at = self.clock.now();
        let TxnOutcome::Applied { revision } = self.kv.txn(&txn, RequestPriority::Critical).await
        else {
            // Another node leads already, or the state service is unavailable.
            sleep(RETRY_S).await;
            return;
        };
        let probe_written_at = self.clock.now();
        let timeout_s = self
            .failure_detector
            .borrow()
            .probe_timeout_s(probe_written_at);
        let answer = self
            .kv
            .watch::<LivenessRecord>(LIVENESS_KEY, revision, timeout_s)
            .await;
        let now = self.clock.now();
        match answer {
            Ok(result) if !result.events.is_empty() => {
                info!(
                    token,
                    "the leader replied to a probe through the state service"
                );
                // The record's `open` counts like that of a hello message, provided that the
                // record replies to this probe: a reply to an earlier probe may be applied
                // late (rule 3 of `docs/design.md`).
                let replies = result.events.iter().filter_map(|e| e.value.as_ref());
                let is_reply_to_probe =
                    |a: &&LivenessRecord| a.token == token && a.newest_suspicion >= revision;
                for reply in replies.filter(is_reply_to_probe) {
                    let mut memory = self.degraded_mode_record.borrow_mut();
                    memory.on_leader_report(probe_started_at, token, reply.may_have_unrecorded);
                }
                self.failure_detector
                    .borrow_mut()
                    .on_probe_reply(now, token);
            }
            Ok(_)
                if self
                    .failure_detector
                    .borrow()
                    .probe_timed_out(probe_written_at, now) =>
            {
                self.confirm_leader_failure(
                    token,
                    "the leader replied neither directly nor through the state service",
                );
            }
            _ => debug!(
                token,
                "probe of the leader is inconclusive: the state service failed or is slow"
            ),
        }
    }

    /// Requests a campaign to replace this leader, if the leader is still suspected.
    fn confirm_leader_failure(&self, token: u64, reason: &str) {
        // The leader may have replied in the meantime, or another node may lead.
        let no_longer_suspected = matches!(
            self.failure_detector
                .borrow()
                .next_step(self.clock.now(), 0),
            DetectorStep::Idle | DetectorStep::WaitUntil(_)
        );
        if !no_longer_suspected && self.remote_leader().is_some_and(|(_, t)| t == token) {
            info!(token, reason, "replacing the leader");
            self.confirmed_failure.set(Some(token));
            self.campaign_requested.notify();
        }
    }

    /// The leader's side of a probe: replies through the state service that it is alive.
    pub(crate) async fn answer_liveness_probes(self: Rc<Self>, token: u64) {
        let mut from = token;
        loop {
            let hold_s = self.tuning.watch_timeout_s;
            match self.kv.watch::<IgnoredAny>(SUSPICIONS, from, hold_s).await {
                Ok(result) => {
                    from = from.max(result.revision);
                    let newest = result.events.iter().map(|e| e.version).max();
                    let Some(answers) = newest else {
                        continue;
                    };
                    let txn = liveness_txn(LivenessRecord {
                        token,
                        may_have_unrecorded: self
                            .degraded_mode
                            .borrow()
                            .may_have_unrecorded_starts(),
                        newest_suspicion: answers,
                    });
                    let outcome = self.kv.txn(&txn, RequestPriority::Critical).await;
                    if matches!(outcome, TxnOutcome::Conflict { .. }) {
                        self.mark_superseded();
                        return;
                    }
                }
                Err(KeyValueError::Gone) => {
                    let listed = self
                        .kv
                        .list::<IgnoredAny>(SUSPICIONS, RequestPriority::Background)
                        .await;
                    if let Ok((_, revision)) = listed {
                        from = revision;
                    }
                }
                Err(_) => sleep(RETRY_S).await,
            }
        }
    }

    /// The leader's key no longer belongs to this node: ends the term.
    pub(crate) fn mark_superseded(&self) {
        if let Role::Leading(leading) = &*self.role.borrow() {
            leading.superseded.set(true);
        }
        self.role_changed.notify_all();
        self.step_down.notify();
    }

    /// Measures how late timers fire, for the lifetime of the process. Late timers are the
    /// first sign that a node lacks processor time.
    pub(crate) async fn measure_timer_lag(self: Rc<Self>) {
        loop {
            let started_at = self.clock.now();
            sleep(LAG_SAMPLE_S).await;
            let delay_s = self.clock.now() - started_at - LAG_SAMPLE_S;
            let mut lag = self.timer_lag.get();
            lag.record_delay(delay_s);
            self.timer_lag.set(lag);
        }
    }

    /// The node that should lead after this one.
    pub(crate) fn choose_successor(&self) -> Option<Candidate> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let candidates: Vec<Candidate> = (self.settings.peers.iter())
            .filter_map(|peer| {
                let state = peers.get(&peer.member)?;
                let fresh = state
                    .answered_at
                    .is_some_and(|at| now - at < 3.0 * self.tuning.peer_interval_s);
                Some(Candidate {
                    member: peer.member.clone(),
                    eligible: fresh && !state.unresponsive && state.state_reachable,
                    in_other_zone: peer.zone != self.settings.zone,
                    uptime_s: state.uptime_s + (now - state.heard_at?),
                    lag_s: state.lag_s,
                })
            })
            .collect();
        next_leader(&candidates).cloned()
    }

    /// Whether this leader's timers fire so late that it should hand over to another node.
    pub(crate) fn is_overloaded(&self, elected: Time) -> bool {
        let limits = HandoverLimits {
            max_lag_s: self.tuning.hand_over_lag_s,
            min_term_s: self.tuning.hand_over_after_s,
        };
        let now = self.clock.now();
        let next = self.choose_successor();
        should_hand_over(
            now,
            elected,
            self.timer_lag.get().mean_s(),
            next.as_ref(),
            limits,
        )
    }

    /// Whether the state service refuses this node while it replies to a peer: this node has
    /// received no reply for longer than `state_loss_hand_over_s`, and a peer has received a
    /// reply more than `state_loss_hand_over_s` after this node's last one.
    pub(crate) fn is_isolated_from_state(&self) -> bool {
        let now = self.clock.now();
        let margin_s = self.tuning.state_loss_hand_over_s;
        let Some(last) = self.kv.last_success() else {
            return false;
        };
        now - last > margin_s
            && (self.peers.borrow().values())
                .any(|p| p.store_answer_at.is_some_and(|at| at > last + margin_s))
    }

    /// Sets whether this leader asks for another node to lead.
    pub(crate) fn set_resigning(&self, resigns: bool) {
        if self.resigning.replace(resigns) != resigns {
            if resigns {
                info!("resigning: the state service replies to peers but not to this node");
            }
            self.role_changed.notify_all();
        }
    }
}

/// The evidence that a failed request to the leader is.
pub(crate) fn evidence_from_error(error: &ClientError) -> Evidence {
    match error {
        ClientError::Closed(_) => Evidence::ConnectionClosed,
        _ => Evidence::Unresponsive,
    }
}
