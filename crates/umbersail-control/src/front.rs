//! The public HTTP API: requests of users, heartbeats of workers, and health checks.

use std::rc::Rc;

use rand::Rng;
use thiserror::Error;
use tracing::{info, warn};
use umbersail_http::{Request, Response};
use umbersail_policy::Shape;
use umbersail_runtime::{Time, random, timeout};
use umbersail_wire::{
    Heartbeat, HeartbeatReply, InvalidJob, JobIdOnly, JobKind, JobSpec, JobStage, Misdirected,
    Refusal, decode, encode, is_job_id, missing_field, paths,
};

use crate::engine::{TxnOutcome, epoch, image_fits_cache};
use crate::job_status::{JobLookup, ended_response, status_body};
use crate::node::{Node, Role};
use crate::records::{EndedJobRecord, JobRecord, Outcome, acceptance_txn, cancellation_txn};
use crate::state::RequestPriority;

/// Why a submission is rejected. The user receives the message in the response, so the
/// texts are part of the API.
#[derive(Debug, Error)]
enum Rejection {
    #[error("{0}")]
    Undecodable(String),
    #[error("missing field `{0}`")]
    MissingField(&'static str),
    #[error(transparent)]
    Invalid(#[from] InvalidJob),
    #[error("team '{0}' is unknown")]
    UnknownTeam(String),
    #[error("needs {need} {what}, the team's limit is {limit}")]
    OverTeamLimit {
        what: &'static str,
        need: f64,
        limit: f64,
    },
    #[error("its image of {0} GB fits the cache of no allowed machine type")]
    ImageTooLarge(f64),
    #[error("a task fits no allowed machine type")]
    FitsNoType,
    /// It can't be decided yet whether the job can run.
    #[error("machine types not known yet")]
    TypesUnknown,
}

impl Rejection {
    /// The HTTP status: 400 for a malformed job, 422 for a job that can never run, 503 if the
    /// user should retry.
    fn status(&self) -> u16 {
        match self {
            Rejection::Undecodable(_) | Rejection::MissingField(_) | Rejection::Invalid(_) => 400,
            Rejection::UnknownTeam(_)
            | Rejection::OverTeamLimit { .. }
            | Rejection::ImageTooLarge(_)
            | Rejection::FitsNoType => 422,
            Rejection::TypesUnknown => 503,
        }
    }
}

impl Node {
    /// Answers one request on the public address.
    pub async fn handle_front_request(self: Rc<Self>, request: Request) -> Response {
        let path = request.path();
        let method = request.method.as_str();
        match (method, path) {
            ("POST", paths::HEARTBEAT) => self.handle_heartbeat(&request.body).await,
            ("POST", paths::JOBS) => {
                self.outside_contact_at.set(self.clock.now());
                self.submit_or_relay(&request.body).await
            }
            ("GET", paths::HEALTH) => {
                self.outside_contact_at.set(self.clock.now());
                Response::empty(if self.is_ready() { 200 } else { 503 })
            }
            (_, paths::HEARTBEAT | paths::JOBS | paths::HEALTH) => Response::empty(405),
            _ => {
                let Some(rest) = path
                    .strip_prefix(paths::JOBS)
                    .and_then(|p| p.strip_prefix('/'))
                else {
                    return Response::empty(404);
                };
                self.outside_contact_at.set(self.clock.now());
                match (method, rest.split_once('/')) {
                    ("GET", None) => self.poll_or_relay(rest).await,
                    ("POST", Some((id, paths::CANCEL))) => self.cancel_or_relay(id).await,
                    (_, None | Some((_, paths::CANCEL))) => Response::empty(405),
                    _ => Response::empty(404),
                }
            }
        }
    }

    /// Refuses a request with status 503 and the delay after which the user should retry. The
    /// delays of users who are refused together are spread.
    pub(crate) fn retry_later(&self) -> Response {
        let now = self.clock.now();
        let peers = self.settings.peers.len() as f64 + 1.0;
        let capacity = self.settings.facts.state.write_rps / peers;
        let draw = random(|rng| rng.random_range(0.0..1.0));
        let least_s = self.tuning.retry_after_s;
        let mut retry_backoff = self.retry_backoff.borrow_mut();
        retry_backoff.record_refusal(now);
        let mut response =
            Response::retry(503, retry_backoff.retry_after_s(capacity, least_s, draw));
        // A node that is not ready would refuse a retry on the same connection too. For a new
        // connection the load balancer picks a node that is ready.
        response.close = !self.is_ready();
        response
    }

    /// Handles a worker's heartbeat. The leader answers the heartbeat, and a follower redirects
    /// the worker to the leader, or relays the heartbeat if the follower is the proxy of its
    /// zone. A worker that returns shortly after a redirect can't reach the other node; this
    /// node then serves the worker for a while.
    async fn handle_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = decode::<Heartbeat>(body) else {
            warn!("received a malformed heartbeat from a worker");
            return Response::empty(400);
        };
        let now = self.clock.now();
        if heartbeat.zone != self.settings.zone {
            self.outside_contact_at.set(now);
        }
        let redirects = &self.redirects;
        let has_returned = || {
            redirects
                .borrow_mut()
                .is_returning(&heartbeat.machine, false, now)
        };
        if matches!(&*self.role.borrow(), Role::Leading(_)) {
            if self.is_isolated_alone(now)
                && let Some(member) = self.hand_off_target(&heartbeat, now)
            {
                return redirect_to(member);
            }
            let response = match self.zone_delegate(&heartbeat) {
                Some(member) if !has_returned() => return redirect_to(member),
                _ => self.accept_heartbeat(body).await,
            };
            if self.has_successor()
                && let Some(member) = self.hand_off_target(&heartbeat, now)
            {
                return redirect_to(member);
            }
            return response;
        }
        let Some(leader) = self
            .leader_name()
            .filter(|leader| *leader != self.settings.member)
        else {
            return match self.hand_off_target(&heartbeat, now) {
                Some(member) => redirect_to(member),
                None => Response::empty(503),
            };
        };
        // The worker probably reaches the leader itself, and this node has no commands for
        // the worker, so the worker is redirected. A worker that returns is not redirected
        // again.
        if self.is_isolated_alone(now)
            && !self
                .handed_off_workers
                .borrow_mut()
                .is_returning(&heartbeat.machine, false, now)
        {
            return redirect_to(leader);
        }
        let is_proxy = self.is_zone_proxy(&leader, &heartbeat.zone);
        let leader_unresponsive = self
            .peers
            .borrow()
            .get(&leader)
            .is_some_and(|p| p.unresponsive);
        if is_proxy || leader_unresponsive {
            let direct = || !has_returned();
            if let Some(response) = self
                .relay_heartbeat(&leader, &heartbeat, body, direct)
                .await
            {
                return response;
            }
        } else if redirects.borrow_mut().is_returning(
            &heartbeat.machine,
            self.has_seen_leader_token(&heartbeat),
            now,
        ) && let Some(response) = self
            .relay_heartbeat(&leader, &heartbeat, body, || false)
            .await
        {
            return response;
        }
        redirect_to(leader)
    }

    /// Returns the node to which a former or isolated leader redirects a worker that it can't
    /// or should not answer: the successor that it designated. The successor is the leader
    /// now, or renews the worker's lease as a delegate for as long as this node might do so
    /// (rule 2 of `docs/design.md`). What is known of the worker's tasks stays the same (rule
    /// 3). A worker that returns could not reach the successor, and is not redirected again.
    fn hand_off_target(&self, heartbeat: &Heartbeat, now: Time) -> Option<String> {
        let next = self.last_designated.borrow().clone()?;
        let has_returned =
            (self.handed_off_workers.borrow_mut()).is_returning(&heartbeat.machine, false, now);
        (!has_returned).then_some(next)
    }

    /// Whether this node is still in the leader role but has observed a newer leader.
    fn has_successor(&self) -> bool {
        matches!(&*self.role.borrow(), Role::Leading(l) if l.superseded.get())
    }

    /// Whether the worker's heartbeat carries the leader's token. The leader has answered the
    /// worker before, so the worker is here because it no longer reaches the leader.
    fn has_seen_leader_token(&self, heartbeat: &Heartbeat) -> bool {
        let leader = self.leader.borrow();
        (leader.as_ref()).is_some_and(|(_, revision)| epoch(heartbeat.token) == *revision)
    }

    /// Answers a heartbeat as the leader, whether it arrived directly or through a peer. If a
    /// task launch for the machine is just being recorded, the reply waits briefly for the
    /// record. The wait is short, because the worker gives up after 4 s.
    pub(crate) async fn accept_heartbeat(&self, body: &[u8]) -> Response {
        let heartbeat: Heartbeat = match decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                warn!(reason = %e, "received a malformed heartbeat");
                return Response::empty(400);
            }
        };
        let received_at = self.clock.now();
        let Some(revision) = self.answering_revision(&heartbeat, received_at) else {
            return Response::empty(503);
        };
        if self.with_engine(revision, |e| e.receive_heartbeat(received_at, &heartbeat))
            != Some(true)
        {
            return Response::empty(503);
        }
        self.scheduler_wakeup.notify();
        let until = received_at + self.tuning.launch_wait_s;
        loop {
            let now = self.clock.now();
            let launch_pending =
                self.with_engine(revision, |e| e.expects_launch(now, &heartbeat.machine));
            if launch_pending != Some(true) || now >= until || !self.may_start(now) {
                break;
            }
            // Progress and a timeout are handled alike: the loop checks all conditions again.
            let _ = timeout(until - now, self.scheduler_progress.notified()).await;
        }
        // Time has passed in the loop: the node may no longer be allowed to answer, or may lead
        // under another token.
        let now = self.clock.now();
        if self.answering_revision(&heartbeat, now) != Some(revision) {
            return Response::empty(503);
        }
        let may_start = self.may_start(now);
        let reply = self.with_engine(revision, |engine| {
            let commands = engine.reply(now, &heartbeat, may_start);
            let token = engine.token_for(&heartbeat.machine);
            HeartbeatReply { token, commands }
        });
        match reply {
            Some(reply) => Response::new(200, encode(&reply)),
            None => Response::empty(503),
        }
    }

    /// Returns the revision under which this node may answer the heartbeat now, or `None` if it
    /// may not answer.
    fn answering_revision(&self, heartbeat: &Heartbeat, now: Time) -> Option<u64> {
        let role = self.role.borrow();
        let Role::Leading(leading) = &*role else {
            return None;
        };
        if epoch(heartbeat.token) > leading.engine.revision() {
            // Only a newer leader may answer the worker now (rule 2).
            info!(
                machine = heartbeat.machine,
                token = heartbeat.token,
                "a worker has received a newer leader's token"
            );
            leading.superseded.set(true);
            self.step_down.notify();
            return None;
        }
        let may_answer = now < leading.lease.renew_until() && !leading.superseded.get();
        may_answer.then(|| leading.engine.revision())
    }

    /// Whether this node may start tasks: its lease is still valid, or degraded mode allows
    /// starts without a record (rule 2).
    fn may_start(&self, now: Time) -> bool {
        let degraded = self.degraded_mode.borrow().allows_unrecorded_starts();
        matches!(&*self.role.borrow(), Role::Leading(l) if degraded || now < l.lease.start_until())
    }

    /// Handles a cancellation. If the state service does not answer this node, a peer is asked.
    async fn cancel_or_relay(&self, id: &str) -> Response {
        let response = self.cancel(id).await;
        match response.status {
            503 => (self.relay_job_request(paths::PEER_CANCEL, id).await).unwrap_or(response),
            _ => response,
        }
    }

    /// Handles a submission. If this node's share of the rate limits is used up, or the
    /// state service rejects the request, the submission is relayed to a peer before it is
    /// refused.
    async fn submit_or_relay(&self, body: &[u8]) -> Response {
        if !self.kv.has_budget(1.0) {
            // The leader has the largest share of the rate limits.
            if let Some(leader) = self.leader_name()
                && !is_best_effort_submission(body)
                && let Some(response) = self.relay_submission(&leader, body).await
            {
                return response;
            }
            return self.submit(body).await;
        }
        let response = self.submit(body).await;
        if response.status == 503
            && let Some(peer) = self.peer_with_state_access(is_best_effort_submission(body))
            && let Some(relayed) = self.relay_submission(&peer, body).await
        {
            return relayed;
        }
        response
    }

    /// Validates a submission and records the job in the state service.
    pub(crate) async fn submit(&self, body: &[u8]) -> Response {
        let spec = match decode::<JobSpec>(body) {
            Ok(spec) => spec,
            Err(e) => {
                let rejection = Rejection::Undecodable(e.to_string());
                return match decode::<JobIdOnly>(body) {
                    Ok(only) => self.reject(&only.id, &rejection).await,
                    Err(_) => rejected(&rejection),
                };
            }
        };
        if let Err(rejection) = self.check_submission(&spec, body) {
            return self.reject(&spec.id, &rejection).await;
        }
        let id = spec.id.clone();
        let (class, team) = (spec.class.clone(), spec.team.clone());
        let (tasks, cpus) = (spec.tasks, spec.cpus);
        // Many best-effort submissions must not use up the budget that other submissions need.
        let priority = if spec.is_best_effort() {
            RequestPriority::BestEffort
        } else {
            RequestPriority::Interactive
        };
        if let Some(end) = self.terminal_cache.borrow().get(&id) {
            return ended_response(&id, end);
        }
        let record = JobRecord {
            spec,
            accepted_ms: self.clock.unix_ms(),
        };
        let txn = acceptance_txn(record);
        let sent_at = self.clock.now();
        match self.kv.txn(&txn, priority).await {
            // The user is told that the job is accepted only after the state service has
            // recorded the job (rule 6).
            TxnOutcome::Applied { revision } => {
                self.batched_polls.record_version(&id, revision, sent_at);
                info!(job = id, class, team, tasks, cpus, "job accepted");
                status_body(201, &id, JobStage::Queued, None)
            }
            TxnOutcome::Conflict { .. } => {
                match self.look_up_job(&id, RequestPriority::Interactive).await {
                    Ok(JobLookup::Unfinished(..)) => {
                        self.unfinished_response(&id, RequestPriority::Interactive)
                            .await
                    }
                    Ok(JobLookup::Ended(end)) => ended_response(&id, end),
                    _ => self.retry_later(),
                }
            }
            TxnOutcome::NotExecuted | TxnOutcome::Unknown => {
                info!(
                    job = id,
                    reason = "the state service did not record the job",
                    "submission refused"
                );
                self.retry_later()
            }
        }
    }

    /// Rejects a submission. If a job with this id already exists, answers with the status of
    /// that job instead, even if the repeated submission is invalid.
    async fn reject(&self, id: &str, rejection: &Rejection) -> Response {
        if is_job_id(id) {
            match self.look_up_job(id, RequestPriority::Interactive).await {
                Ok(JobLookup::Unfinished(..)) => {
                    return self
                        .unfinished_response(id, RequestPriority::Interactive)
                        .await;
                }
                Ok(JobLookup::Ended(end)) => return ended_response(id, end),
                Ok(JobLookup::NotFound) => {}
                Err(_) => return self.retry_later(),
            }
        }
        info!(
            job = id,
            status = rejection.status(),
            reason = %rejection,
            "submission refused"
        );
        match rejection {
            Rejection::TypesUnknown => self.retry_later(),
            _ => rejected(rejection),
        }
    }

    /// Checks that a submission is well formed and that the job can run at some time.
    fn check_submission(&self, spec: &JobSpec, body: &[u8]) -> Result<(), Rejection> {
        if let Some(field) = missing_field(body) {
            return Err(Rejection::MissingField(field));
        }
        spec.check()?;
        self.check_team(spec)?;
        self.check_types(spec)
    }

    /// Checks that the team exists and that its limit allows the job: one task of an array job,
    /// or all replicas of a service.
    fn check_team(&self, spec: &JobSpec) -> Result<(), Rejection> {
        let mut teams = self.settings.facts.teams.iter();
        let Some(team) = teams.find(|t| t.name == spec.team) else {
            return Err(Rejection::UnknownTeam(spec.team.clone()));
        };
        let shape = Shape::of_task(spec);
        let count = if spec.kind == JobKind::Service {
            f64::from(spec.tasks)
        } else {
            1.0
        };
        for (what, need, limit) in [
            ("cpus", shape.cpus * count, team.cpus_max),
            ("gpus", shape.gpus * count, team.gpus_max),
        ] {
            if limit > 0.0 && need > limit + 1e-6 {
                return Err(Rejection::OverTeamLimit { what, need, limit });
            }
        }
        Ok(())
    }

    /// Checks that a task of the job fits a machine type.
    fn check_types(&self, spec: &JobSpec) -> Result<(), Rejection> {
        let types = self.machine_types.borrow();
        if types.is_empty() {
            return Err(Rejection::TypesUnknown);
        }
        // If workers pass images on to each other, an image that fits in no cache would be
        // fetched repeatedly, and evicted while other workers read it.
        let workers_pass_images_on = self.tuning.peer_to_peer_images >= 0.5;
        let allowed =
            |t: &&umbersail_wire::MachineType| umbersail_policy::allows_type(spec, &t.name);
        if workers_pass_images_on
            && !(types.iter().filter(allowed)).any(|t| image_fits_cache(t, spec))
        {
            return Err(Rejection::ImageTooLarge(spec.image_gb));
        }
        match umbersail_policy::smallest_cpus(spec, &types) {
            Some(_) => Ok(()),
            None => Err(Rejection::FitsNoType),
        }
    }

    /// Records the cancellation of a job in the state service.
    pub(crate) async fn cancel(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::empty(404);
        }
        // A conflict means that the job has changed since it was read.
        for _ in 0..3 {
            match self.look_up_job(id, RequestPriority::Interactive).await {
                Ok(JobLookup::Unfinished(version)) => {
                    // The progress record stays until the leader knows that no task of
                    // the job is running, so that a new leader counts the resources of
                    // these tasks (rule 4).
                    let end = EndedJobRecord {
                        outcome: Outcome::Cancelled,
                        done: 0,
                    };
                    let txn = cancellation_txn(id, version, end);
                    match self.kv.txn(&txn, RequestPriority::Interactive).await {
                        TxnOutcome::Applied { .. } => {
                            info!(job = id, "cancellation recorded");
                            self.cache_end(id, end);
                            return ended_response(id, end);
                        }
                        TxnOutcome::Conflict { .. } => {}
                        _ => return self.retry_later(),
                    }
                }
                Ok(JobLookup::Ended(end)) => return ended_response(id, end),
                Ok(JobLookup::NotFound) => return Response::empty(404),
                Err(_) => return self.retry_later(),
            }
        }
        self.retry_later()
    }
}

/// Whether a submission is for a best-effort job. Such submissions are not relayed to the
/// leader, which needs its write budget for task launches and ends of jobs.
fn is_best_effort_submission(body: &[u8]) -> bool {
    decode::<JobSpec>(body).is_ok_and(|spec| spec.is_best_effort())
}

/// Response to a submission that is rejected permanently, with the reason.
fn rejected(rejection: &Rejection) -> Response {
    let refusal = Refusal {
        error: rejection.to_string(),
    };
    Response::new(rejection.status(), encode(&refusal))
}

fn redirect_to(member: String) -> Response {
    Response::new(
        421,
        encode(&Misdirected {
            heartbeat_to: Some(member),
        }),
    )
}
