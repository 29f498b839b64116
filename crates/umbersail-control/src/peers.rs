//! Messages between controllers: periodic hello messages, relayed heartbeats, and relayed
//! requests of users.

use std::rc::Rc;

use rand::Rng;
use tracing::{debug, info, warn};
use umbersail_http::{ClientError, Request, Response};
use umbersail_runtime::{Time, random, sleep};
use umbersail_wire::{
    Heartbeat, HeartbeatReply, Hello, JobIdOnly, JobProgress, TaskCounts, decode, encode, paths,
};

use crate::engine::epoch;
use crate::node::{Node, ReportedProgress, Role};
use crate::peer_clock::date_hello;
use crate::settings::Peer;
use crate::standby::evidence_from_error;

/// Upper bound on recently cancelled jobs in a hello message: about 12 KiB, enough for a burst
/// of cancellations on a fleet of 4,000 machines. The newest come first.
const MAX_CANCELLED_IN_HELLO: usize = 1024;

impl Node {
    /// Builds the hello message with this node's current state.
    pub(crate) fn build_hello(&self) -> Hello {
        let now = self.clock.now();
        let (leading, superseded) = match &*self.role.borrow() {
            Role::Leading(leading) => (true, leading.superseded.get()),
            Role::Following => (false, false),
        };
        let standby = leading.then(|| self.choose_successor()).flatten();
        if let Some(next) = &standby {
            *self.last_designated.borrow_mut() = Some(next.member.clone());
        }
        let leader = self.leader.borrow();
        Hello {
            member: self.settings.member.clone(),
            incarnation: self.incarnation,
            state_reachable: self.is_store_reachable(),
            token: leader.as_ref().map_or(0, |(_, token)| *token),
            leader: leader.as_ref().map(|(name, _)| name.clone()),
            machine_count: 0,
            progress: Vec::new(),
            renewal_ms: None,
            ended_jobs: Vec::new(),
            cancelled_jobs: self.recently_cancelled(),
            uptime_ms: ((now - self.started_at) * 1000.0) as u64,
            renewed: Vec::new(),
            is_leader: leading && !superseded && !self.resigning.get(),
            is_resigning: leading && self.resigning.get(),
            recorded_token: self.degraded_mode_record.borrow().fully_recorded_token(),
            unrecorded_starts: leading && self.degraded_mode.borrow().may_have_unrecorded_starts(),
            successor: standby.map(|s| s.member),
            timer_lag_ms: (self.timer_lag.get().mean_s() * 1000.0) as u64,
            state_answer_ago_ms: (self.kv.last_success())
                .map(|at| ((now - at).max(0.0) * 1000.0) as u64),
        }
    }

    /// Jobs that this node recently read or recorded as cancelled. An isolated leader cannot
    /// read them from the state service and learns of them from its peers. This only speeds
    /// up the cancellation: such a leader must in any case stop renewing workers' leases in
    /// time for it (rule 2 of `docs/design.md`).
    pub(crate) fn recently_cancelled(&self) -> Vec<String> {
        let since = self.clock.now() - self.settings.facts.workers.cancel_s;
        let cache = self.terminal_cache.borrow();
        let newest = cache.cancelled_since(since).take(MAX_CANCELLED_IN_HELLO);
        newest.cloned().collect()
    }

    /// A peer has read or recorded that these jobs are cancelled, which is final. If this
    /// node leads, it starts no more tasks of these jobs and stops the running ones (rule 6).
    pub(crate) fn on_cancelled_jobs(&self, ids: &[String]) {
        if let Role::Leading(leading) = &mut *self.role.borrow_mut() {
            ids.iter().for_each(|id| leading.engine.job_key_removed(id));
        }
        if !ids.is_empty() {
            self.scheduler_wakeup.notify();
        }
    }

    /// Builds the reply to a peer's hello. It also lists the machines whose leases this node
    /// renewed as a delegate and, if this node leads, the time for which the peer may renew
    /// leases. Both times are relative to the request, and only the sender of the request
    /// knows when it was sent, so they are part of replies only.
    fn build_hello_reply(&self, member: &str) -> Hello {
        let mut hello = self.build_hello();
        let now = self.clock.now();
        if let Role::Leading(leading) = &mut *self.role.borrow_mut()
            && !leading.superseded.get()
            && self.settings.peers.iter().any(|p| p.member == member)
        {
            let until = leading.lease.renew_until();
            if until > now
                && let Some(over) = leading.engine.finished_jobs()
            {
                leading.engine.delegate_renewals_to(member, until);
                hello.renewal_ms = Some(((until - now) * 1000.0) as u64);
                hello.ended_jobs = over;
            }
        }
        hello.renewed = self.delegate.borrow_mut().recent_renewals(now);
        if self.is_progress_due(member, now) {
            self.add_progress(now, &mut hello);
        }
        hello
    }

    /// Whether this node, as the leader, should send the peer the task counts of the jobs
    /// again. Notes that they are sent.
    fn is_progress_due(&self, member: &str, now: Time) -> bool {
        if !matches!(&*self.role.borrow(), Role::Leading(_)) {
            return false;
        }
        // Followers send their hello messages to the leader more often than they need counts.
        // The slack is for a request that arrives slightly early.
        let slack_s = self.tuning.leader_hello_interval_s / 2.0;
        let interval_s = self.tuning.peer_interval_s - slack_s;
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(member) else {
            return false;
        };
        let is_due = peer
            .progress_sent_at
            .is_none_or(|at| now - at >= interval_s);
        if is_due {
            peer.progress_sent_at = Some(now);
        }
        is_due
    }

    /// Adds the task counts of the jobs, so that the peers do not have to read them for each
    /// poll. Only replies carry the counts: a peer of the former build takes counts for as old
    /// as their arrival, and its request bounds the age of a reply, while a message without a
    /// request may have been held back for minutes.
    fn add_progress(&self, now: Time, hello: &mut Hello) {
        if let Role::Leading(leading) = &*self.role.borrow() {
            let limit = self.tuning.max_progress_jobs as usize;
            hello.machine_count = leading.engine.machine_count();
            hello.progress = leading.engine.all_job_progress(now, limit);
        }
    }

    /// Handles a peer's reply to a hello that was sent at `asked_at`.
    fn on_hello_reply(&self, asked_at: Time, hello: &Hello) {
        let sent_at = self.on_hello(hello, Some(asked_at));
        let now = self.clock.now();
        if let Some(peer) = self.peers.borrow_mut().get_mut(&hello.member) {
            peer.answered_at = sent_at;
            peer.unresponsive = false;
        }
        if hello.is_leader {
            self.failure_detector
                .borrow_mut()
                .clear_suspicion(hello.token);
        }
        if (hello.is_leader || hello.is_resigning)
            && hello.leader.as_deref() == Some(&*hello.member)
        {
            let mut memory = self.degraded_mode_record.borrow_mut();
            memory.on_leader_report(asked_at, hello.token, hello.unrecorded_starts);
        } else if let Some(token) = hello.recorded_token {
            // Counts like a report of the leader itself if the leader was the former process
            // of this controller (rule 3).
            let former_self = (self.leader.borrow().as_ref())
                .is_some_and(|(name, t)| *name == self.settings.member && *t == token)
                && matches!(&*self.role.borrow(), Role::Following);
            let mut memory = self.degraded_mode_record.borrow_mut();
            memory.on_peer_report(token, former_self);
        }
        if let Some(renewal_ms) = hello.renewal_ms
            && hello.leader.as_deref() == Some(&*hello.member)
        {
            let renewal_s = renewal_ms as f64 / 1000.0 * (1.0 - self.tuning.clock_drift);
            self.delegate.borrow_mut().on_delegation(
                hello.token,
                asked_at + renewal_s,
                &hello.ended_jobs,
            );
        }
        if let Role::Leading(leading) = &mut *self.role.borrow_mut() {
            let up_s = hello.uptime_ms as f64 / 1000.0;
            let engine = &mut leading.engine;
            engine.record_delegated_renewals(now, &hello.member, asked_at, up_s, &hello.renewed);
        }
    }

    /// Handles a hello message of a peer. `asked_at` is the time of the request if the message
    /// is a reply. Returns the earliest time at which the peer can have sent the message, or
    /// `None` if that is unknown.
    ///
    /// The message may have been held back for minutes. Facts that stay true, such as a newer
    /// leader and cancelled jobs, are used however old the message is. What describes the time
    /// of sending is used only if this time is known, and never replaces anything newer.
    pub(crate) fn on_hello(&self, hello: &Hello, asked_at: Option<Time>) -> Option<Time> {
        if !self.settings.peers.iter().any(|p| p.member == hello.member) {
            return None;
        }
        if let Some(leader) = &hello.leader {
            self.observe_leader(leader, hello.token);
        }
        self.on_cancelled_jobs(&hello.cancelled_jobs);
        let sent_at = self.date_peer_message(hello, asked_at)?;
        if hello.leader.as_deref() == Some(&*hello.member)
            && self.leader_name().as_deref() == Some(&*hello.member)
        {
            self.update_reported_progress(hello, sent_at);
        }
        self.update_peer_state(hello, sent_at);
        Some(sent_at)
    }

    /// Returns the earliest time at which the peer can have sent this message.
    fn date_peer_message(&self, hello: &Hello, asked_at: Option<Time>) -> Option<Time> {
        let now = self.clock.now();
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(hello.member.clone()).or_default();
        let drift = self.tuning.clock_drift;
        let sent_at = date_hello(&mut peer.clock, hello, asked_at, now, drift)?;
        let age_s = now - sent_at;
        if age_s > self.tuning.job_progress_max_age_s {
            debug!(peer = hello.member, age_s, "received a hello message late");
        }
        Some(sent_at)
    }

    /// Replaces the task counts that the leader reported by those of this message, if the
    /// message has any and is newer.
    fn update_reported_progress(&self, hello: &Hello, sent_at: Time) {
        let mut reported = self.reported_progress.borrow_mut();
        if hello.machine_count == 0 || reported.at.is_some_and(|at| at > sent_at) {
            return;
        }
        self.reserve_sockets_for(hello.machine_count);
        let counts = |job: &JobProgress| TaskCounts {
            done: job.done,
            running: job.running,
        };
        let jobs = hello.progress.iter();
        *reported = ReportedProgress {
            at: Some(sent_at),
            jobs: jobs.map(|job| (job.id.clone(), counts(job))).collect(),
        };
    }

    /// Updates what is known of the peer, unless a newer message has arrived before this one.
    fn update_peer_state(&self, hello: &Hello, sent_at: Time) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(hello.member.clone()).or_default();
        if peer.heard_at.is_some_and(|at| at > sent_at) {
            return;
        }
        peer.heard_at = Some(sent_at);
        peer.state_reachable = hello.state_reachable;
        peer.uptime_s = hello.uptime_ms as f64 / 1000.0;
        peer.lag_s = hello.timer_lag_ms as f64 / 1000.0;
        peer.store_answer_at = hello
            .state_answer_ago_ms
            .map(|ago| sent_at - ago as f64 / 1000.0);
        drop(peers);
        if (hello.is_leader || hello.is_resigning)
            && self.leader_name().as_deref() == Some(&*hello.member)
        {
            *self.designated_successor.borrow_mut() = hello.successor.clone();
        }
    }

    /// Handles a request on the back address.
    pub(crate) async fn handle_peer_request(self: Rc<Self>, request: Request) -> Response {
        match (request.method.as_str(), request.path()) {
            ("POST", paths::PEER_HELLO) => {}
            ("POST", paths::PEER_HEARTBEAT) => return self.accept_heartbeat(&request.body).await,
            ("POST", paths::PEER_SUBMIT) => return self.submit(&request.body).await,
            ("POST", path @ (paths::PEER_POLL | paths::PEER_CANCEL)) => {
                return match decode::<JobIdOnly>(&request.body) {
                    Ok(job) if path == paths::PEER_POLL => self.poll(&job.id).await,
                    Ok(job) => self.cancel(&job.id).await,
                    Err(_) => Response::empty(400),
                };
            }
            ("POST", paths::PEER_WATCH_LEADER) => {
                return self.handle_leader_watch(&request.body).await;
            }
            ("POST", paths::PEER_REPLICA_READ) => return self.handle_replica_read(&request.body),
            ("POST", paths::PEER_DEGRADED_MODE) => {
                return self.handle_degraded_mode_request(&request.body).await;
            }
            (
                _,
                paths::PEER_HELLO
                | paths::PEER_HEARTBEAT
                | paths::PEER_SUBMIT
                | paths::PEER_WATCH_LEADER
                | paths::PEER_POLL
                | paths::PEER_CANCEL
                | paths::PEER_REPLICA_READ
                | paths::PEER_DEGRADED_MODE,
            ) => {
                return Response::empty(405);
            }
            _ => return Response::empty(404),
        }
        match decode::<Hello>(&request.body) {
            Ok(hello) => {
                self.on_hello(&hello, None);
                Response::new(200, encode(&self.build_hello_reply(&hello.member)))
            }
            Err(e) => {
                warn!(reason = %e, "malformed hello from a peer");
                Response::empty(400)
            }
        }
    }

    /// Relays a worker's heartbeat to the leader. The worker accepts a reply with the leader's
    /// token from any node, and drops a late reply like any other. If the leader cannot be
    /// reached, this node renews the worker's lease as a delegate, as far as the leader has
    /// delegated that.
    ///
    /// `direct` returns whether the worker may contact the leader itself, which may work where
    /// connections between controllers are refused.
    pub(crate) async fn relay_heartbeat(
        &self,
        leader: &str,
        heartbeat: &Heartbeat,
        body: &[u8],
        direct: impl FnOnce() -> bool,
    ) -> Option<Response> {
        let is_unresponsive = self
            .peers
            .borrow()
            .get(leader)
            .is_some_and(|p| p.unresponsive);
        if !is_unresponsive {
            match self.send_to_peer(leader, paths::PEER_HEARTBEAT, body).await {
                Ok((200, body)) => {
                    self.delegate.borrow_mut().on_relayed_reply(heartbeat);
                    return Some(Response::new(200, body));
                }
                Ok(_) => return None,
                Err(ClientError::Refused(_)) => {
                    if direct() {
                        return None;
                    }
                }
                // Too many requests to this peer are waiting for a reply already, which is no
                // evidence that the leader has failed.
                Err(ClientError::NotSent(_)) => {}
                Err(_) => self.mark_unresponsive(leader),
            }
        }
        let now = self.clock.now();
        let mut delegate = self.delegate.borrow_mut();
        let token = delegate.renew(now, heartbeat)?;
        let cache = self.terminal_cache.borrow();
        let commands = delegate.stop_commands(heartbeat, |id| cache.get(id).is_some());
        let reply = HeartbeatReply { token, commands };
        Some(Response::new(200, encode(&reply)))
    }

    /// Marks a peer as unresponsive, since it did not reply in time.
    fn mark_unresponsive(&self, member: &str) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(member.to_owned()).or_default();
        if !peer.unresponsive && self.leader_name().as_deref() == Some(member) {
            info!(
                leader = member,
                "the leader does not reply: this node renews workers' leases as a delegate"
            );
        }
        peer.unresponsive = true;
    }

    /// Whether this node relays heartbeats of workers in `zone`: it is in their zone and the
    /// leader is not. A network partition between the zones then does not cost the workers
    /// their tasks, since this node can renew their leases.
    pub(crate) fn is_zone_proxy(&self, leader: &str, zone: &str) -> bool {
        self.tuning.zone_proxy > 0.0
            && self.settings.zone == zone
            && self
                .settings
                .peers
                .iter()
                .any(|p| p.member == leader && p.zone != zone)
    }

    /// The delegate in the worker's zone to which the leader directs this worker.
    pub(crate) fn zone_delegate(&self, heartbeat: &Heartbeat) -> Option<String> {
        if self.tuning.zone_proxy == 0.0 || heartbeat.zone == self.settings.zone {
            return None;
        }
        let now = self.clock.now();
        let fresh_s = 3.0 * self.tuning.peer_interval_s;
        let role = self.role.borrow();
        let Role::Leading(leading) = &*role else {
            return None;
        };
        // A worker that has not shown this leader's token yet must receive a reply of the
        // leader first.
        if epoch(heartbeat.token) != leading.engine.revision() {
            return None;
        }
        let peers = self.peers.borrow();
        let candidates: Vec<&Peer> = self
            .settings
            .peers
            .iter()
            .filter(|p| p.zone == heartbeat.zone && leading.engine.is_delegate(now, &p.member))
            .filter(|p| {
                let state = peers.get(&p.member);
                state.is_some_and(|s| {
                    !s.unresponsive && s.answered_at.is_some_and(|at| now - at < fresh_s)
                })
            })
            .collect();
        let hash: usize = heartbeat.machine.bytes().map(usize::from).sum();
        let index = hash.checked_rem(candidates.len())?;
        Some(candidates[index].member.clone())
    }

    /// Relays a submission to a peer. If there is no reply, the submission may have been
    /// accepted nevertheless; the user retries.
    pub(crate) async fn relay_submission(&self, peer: &str, body: &[u8]) -> Option<Response> {
        match self
            .send_to_peer(peer, paths::PEER_SUBMIT, body)
            .await
            .ok()?
        {
            (429 | 500.., _) => None,
            (status, body) => Some(Response::new(status, body)),
        }
    }

    /// Relays a user's poll or cancellation of a job to a peer, if the state service refuses
    /// only this node. The peer reads the job's current state (rule 6).
    pub(crate) async fn relay_job_request(&self, path: &str, id: &str) -> Option<Response> {
        if !self.is_isolated_from_state() {
            return None;
        }
        let peer = self
            .peer_with_state_access(true)
            .or_else(|| self.peer_with_state_access(false))?;
        let body = encode(&JobIdOnly { id: id.into() });
        match self.send_to_peer(&peer, path, &body).await.ok()? {
            (status @ (200 | 404), body) => Some(Response::new(status, body)),
            _ => None,
        }
    }

    /// A peer that can reach the state service. With `avoid_leader`, which is used for
    /// best-effort submissions, polls and cancellations, a random peer other than the leader;
    /// otherwise the leader if it can reach the state service, else any peer that can.
    pub(crate) fn peer_with_state_access(&self, avoid_leader: bool) -> Option<String> {
        let now = self.clock.now();
        let fresh_s = 3.0 * self.tuning.peer_interval_s;
        let peers = self.peers.borrow();
        let has_state_access = |name: &String| {
            peers.get(name).is_some_and(|p| {
                p.state_reachable
                    && !p.unresponsive
                    && p.heard_at.is_some_and(|at| now - at < fresh_s)
            })
        };
        let leader = self.leader_name();
        if avoid_leader {
            let others = peers.keys().filter(|n| Some(*n) != leader.as_ref());
            let others: Vec<&String> = others.filter(|n| has_state_access(n)).collect();
            let index = random(|rng| rng.random_range(0..others.len().max(1)));
            return others.get(index).map(|name| (*name).clone());
        }
        leader
            .filter(|name| has_state_access(name))
            .or_else(|| peers.keys().find(|name| has_state_access(name)).cloned())
    }

    /// Sends a relayed request to a peer.
    async fn send_to_peer(
        &self,
        member: &str,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), ClientError> {
        let Some(peer) = self.settings.peers.iter().find(|p| p.member == member) else {
            return Err(ClientError::NotSent(
                "no peer of this name is configured".into(),
            ));
        };
        let wait_s = self.tuning.relay_timeout_s;
        self.peer_http
            .request(peer.addr, "POST", path, body, wait_s)
            .await
    }

    /// Sends hello messages to one peer for the lifetime of the process.
    pub(crate) async fn exchange_hellos(self: Rc<Self>, peer: Peer) {
        let mut reachable = true;
        loop {
            let body = encode(&self.build_hello());
            let asked_at = self.clock.now();
            let answer = self
                .peer_http
                .request(
                    peer.addr,
                    "POST",
                    paths::PEER_HELLO,
                    &body,
                    self.tuning.peer_timeout_s,
                )
                .await;
            let answered = match answer {
                Ok((200, body)) => match decode::<Hello>(&body) {
                    Ok(hello) => {
                        self.on_hello_reply(asked_at, &hello);
                        true
                    }
                    Err(e) => {
                        warn!(peer = peer.member, reason = %e, "malformed reply from a peer");
                        false
                    }
                },
                Err(e @ (ClientError::Timeout(_) | ClientError::Unreachable)) => {
                    self.mark_unresponsive(&peer.member);
                    self.suspect_if_leader(&peer.member, &e);
                    false
                }
                Err(e @ (ClientError::Closed(_) | ClientError::Refused(_))) => {
                    self.suspect_if_leader(&peer.member, &e);
                    false
                }
                _ => false,
            };
            if answered != reachable {
                info!(
                    peer = peer.member,
                    reachable = answered,
                    "reachability of a peer changed"
                );
                reachable = answered;
            }
            let leads = self.leader_name().as_deref() == Some(&*peer.member);
            sleep(if leads {
                self.tuning
                    .leader_hello_interval_s
                    .min(self.tuning.peer_interval_s)
            } else {
                self.tuning.peer_interval_s
            })
            .await;
        }
    }

    /// Reports evidence against the leader if the peer that caused this error leads.
    fn suspect_if_leader(&self, member: &str, error: &ClientError) {
        let token = match &*self.leader.borrow() {
            Some((leader, token)) if leader == member => *token,
            _ => return,
        };
        self.suspect(token, evidence_from_error(error));
    }
}
