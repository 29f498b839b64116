//! Standing by: what speaks against the leader, the question that is put to it
//! before its key is replaced, and its own wish that another shall lead.

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

/// How often a node looks how late its timers fire, seconds.
const LAG_SAMPLE_S: Time = 0.25;
/// Between two tries at a leader that does not answer, and at the most while
/// nothing speaks against it, seconds.
const RETRY_S: Time = 0.2;
const IDLE_CHECK_S: Time = 5.0;

impl Node {
    /// Whether this node leads and means to go on.
    fn is_leading(&self) -> bool {
        matches!(&*self.role.borrow(), Role::Leading(l) if !l.superseded.get())
            && !self.resigning.get()
    }

    /// Another node that leads as far as we know, and the version of its key.
    fn remote_leader(&self) -> Option<(Peer, u64)> {
        let (member, token) = self.leader.borrow().clone()?;
        let peer = self.settings.peers.iter().find(|p| p.member == member)?;
        Some((peer.clone(), token))
    }

    /// Keeps a question open at the leader: it ends when the leader's process
    /// does, and is answered when the leader wants another to lead.
    pub(crate) async fn watch_leader(self: Rc<Self>) {
        loop {
            let Some((peer, token)) = self.remote_leader() else {
                sleep(RETRY_S).await;
                continue;
            };
            let body = encode(&self.build_hello());
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
                    if self.on_leader_watch_reply(token, &hello) {
                        continue;
                    }
                }
                // An older build: what its greetings tell must do.
                Ok(_) => sleep(IDLE_CHECK_S).await,
                Err(e) => self.suspect(token, evidence_from_error(&e)),
            }
            sleep(RETRY_S).await;
        }
    }

    /// The answer to such a question; true if its sender leads under this token.
    fn on_leader_watch_reply(&self, token: u64, hello: &Hello) -> bool {
        self.on_hello(hello);
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

    /// The leader's part of that question.
    pub(crate) async fn handle_leader_watch(&self, body: &[u8]) -> Response {
        let Ok(hello) = decode::<Hello>(body) else {
            return Response::empty(400);
        };
        self.on_hello(&hello);
        let deadline = self.clock.now() + self.tuning.leader_watch_timeout_s;
        loop {
            let now = self.clock.now();
            if !self.is_leading() || now >= deadline {
                break;
            }
            // Out of time, or something has changed: looked at again either way.
            let _ = timeout(deadline - now, self.role_changed.notified()).await;
        }
        Response::new(200, encode(&self.build_hello()))
    }

    /// Something speaks against the leader whose key has this version.
    pub(crate) fn suspect(&self, token: u64, evidence: Evidence) {
        let now = self.clock.now();
        if self
            .failure_detector
            .borrow_mut()
            .suspect(now, token, evidence)
        {
            info!(token, ?evidence, "speaks against the leader");
            self.suspected.notify();
        }
    }

    /// 0 for the one whom the leader named; the others in the order of names.
    pub(crate) fn campaign_rank(&self) -> usize {
        let designated_successor = self.designated_successor.borrow();
        if designated_successor.as_deref() == Some(&*self.settings.member) {
            return 0;
        }
        let sorts_before_us = |p: &&Peer| p.member < self.settings.member;
        1 + self.settings.peers.iter().filter(sorts_before_us).count()
    }

    /// Weighs what speaks against the leader, for ever.
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
                        "its own word, or another process in its place",
                    );
                    RETRY_S
                }
            };
            let _ = select(pin!(self.suspected.notified()), pin!(sleep(wait_s))).await;
        }
    }

    /// Asks the leader through the state service whether it lives. A leader that
    /// may start anything reaches that, and so do we, or nothing is concluded.
    async fn probe_leader(&self) {
        let Some((_, token)) = self.remote_leader() else {
            return;
        };
        let txn = suspicion_txn(&self.settings.member, token);
        let probe_started_at = self.clock.now();
        let TxnOutcome::Applied { revision } = self.kv.txn(&txn, RequestPriority::Critical).await
        else {
            // Another leads already, or nobody can say anything just now.
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
                info!(token, "the leader answers by the state service");
                // Its word is as good as in a greeting, if it answers our question:
                // one written for an earlier question may come late (rule 3).
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
                    "no answer, neither here nor by the state service",
                );
            }
            _ => debug!(
                token,
                "the state service is slow: no conclusion on the leader"
            ),
        }
    }

    fn confirm_leader_failure(&self, token: u64, reason: &str) {
        // It may have said something in the meantime, or another may lead.
        let no_longer_suspected = matches!(
            self.failure_detector
                .borrow()
                .next_step(self.clock.now(), 0),
            DetectorStep::Idle | DetectorStep::WaitUntil(_)
        );
        if !no_longer_suspected && self.remote_leader().is_some_and(|(_, t)| t == token) {
            info!(token, reason, "the leader is to be replaced");
            self.confirmed_failure.set(Some(token));
            self.campaign_requested.notify();
        }
    }

    /// The leader answers whoever asks by the state service whether it lives.
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

    /// The leader's key is not ours any more.
    pub(crate) fn mark_superseded(&self) {
        if let Role::Leading(leading) = &*self.role.borrow() {
            leading.superseded.set(true);
        }
        self.role_changed.notify_all();
        self.step_down.notify();
    }

    /// Looks how late timers fire, for ever: a node short of processor time shows
    /// it there first.
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

    /// The one that is to lead after us.
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

    /// Whether we compute so late that another does better to lead.
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

    /// Whether the state service refuses us while it answers a peer: that peer had
    /// an answer clearly after our last one.
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

    /// Says, while we lead, whether we want another to lead.
    pub(crate) fn set_resigning(&self, resigns: bool) {
        if self.resigning.replace(resigns) != resigns {
            if resigns {
                info!("the state service answers others and not us: another is to lead");
            }
            self.role_changed.notify_all();
        }
    }
}

/// What a request without an answer says.
pub(crate) fn evidence_from_error(error: &ClientError) -> Evidence {
    match error {
        ClientError::Closed(_) => Evidence::ConnectionClosed,
        _ => Evidence::Unresponsive,
    }
}
