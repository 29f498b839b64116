//! The front door: users, workers and health checks.

use std::rc::Rc;

use rand::Rng;
use serde::de::IgnoredAny;
use thiserror::Error;
use tracing::{debug, info, warn};
use umbersail_http::{Request, Response};
use umbersail_policy::Shape;
use umbersail_runtime::{Time, random, timeout};
use umbersail_standby::ReadOutcome;
use umbersail_wire::{
    Heartbeat, HeartbeatReply, InvalidJob, JobIdOnly, JobKind, JobSpec, JobStage, JobStatus,
    Misdirected, Refusal, decode, encode, is_job_id, missing_field, paths,
};

use crate::all_replica_read::terminal_stage;
use crate::engine::{TxnOutcome, epoch, image_fits_cache};
use crate::node::{Node, Role};
use crate::polls::PollOutcome;
use crate::records::{
    EndedJobRecord, JobProgressRecord, JobRecord, Outcome, acceptance_txn, cancellation_txn,
    ended_job_key, job_key, progress_key,
};
use crate::state::{KeyValueError, RequestPriority};

/// Why a submission is not taken.
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
    #[error("needs {need} {what}, the team's limit is {most}")]
    OverTeamLimit {
        what: &'static str,
        need: f64,
        most: f64,
    },
    #[error("its image of {0} GB fits the cache of no allowed machine type")]
    ImageTooLarge(f64),
    #[error("a task fits no allowed machine type")]
    FitsNoType,
    /// It can't be told yet whether it runs.
    #[error("machine types not known yet")]
    TypesUnknown,
}

impl Rejection {
    /// The protocol's status: 400 malformed, 422 can never run, 503 come back.
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

/// What the state service holds of a job, read after the request arrived.
enum JobLookup {
    Unfinished(u64),
    Over(EndedJobRecord),
    Nothing,
}

impl Node {
    /// Answers one request on the front address.
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

    /// Refused at once, with when to come back: those who are turned away together
    /// come back one after the other.
    fn retry_later(&self) -> Response {
        let now = self.clock.now();
        let peers = self.settings.peers.len() as f64 + 1.0;
        let capacity = self.settings.facts.state.write_rps / peers;
        let draw = random(|rng| rng.random_range(0.0..1.0));
        let least_s = self.tuning.retry_after_s;
        let mut retry_backoff = self.retry_backoff.borrow_mut();
        retry_backoff.refused(now);
        let mut response =
            Response::retry(503, retry_backoff.retry_after_s(capacity, least_s, draw));
        // Asked again on the same connection we could say nothing else; on a new one
        // the balancer picks a node that can.
        response.close = !self.is_ready();
        response
    }

    /// A worker's report: taken by the leader, directed there by all others,
    /// or handed on by a node that stands between. A worker that comes back
    /// although it was just directed can't reach that node; it is helped here
    /// for a while.
    async fn handle_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(report) = decode::<Heartbeat>(body) else {
            warn!("malformed report");
            return Response::empty(400);
        };
        let now = self.clock.now();
        if report.zone != self.settings.zone {
            self.outside_contact_at.set(now);
        }
        let redirects = &self.redirects;
        let comes_back = || {
            redirects
                .borrow_mut()
                .is_returning(&report.machine, false, now)
        };
        if matches!(&*self.role.borrow(), Role::Leading(_)) {
            if self.is_only_node_isolated(now)
                && let Some(member) = self.hand_off_target(&report, now)
            {
                return directed(member);
            }
            let response = match self.zone_delegate(&report) {
                Some(member) if !comes_back() => return directed(member),
                _ => self.accept_heartbeat(body).await,
            };
            if self.has_successor()
                && let Some(member) = self.hand_off_target(&report, now)
            {
                return directed(member);
            }
            return response;
        }
        let Some(leader) = self
            .leader_name()
            .filter(|leader| *leader != self.settings.member)
        else {
            return match self.hand_off_target(&report, now) {
                Some(member) => directed(member),
                None => Response::empty(503),
            };
        };
        // It reaches the leader itself, as far as we can tell, and is not to be kept
        // by us, who have no commands for it. One that comes back is.
        if self.is_only_node_isolated(now)
            && !self
                .handed_off_workers
                .borrow_mut()
                .is_returning(&report.machine, false, now)
        {
            return directed(leader);
        }
        let between = self.is_zone_proxy(&leader, &report.zone);
        let cut_off = self
            .peers
            .borrow()
            .get(&leader)
            .is_some_and(|p| p.unresponsive);
        if between || cut_off {
            let direct = || !comes_back();
            if let Some(response) = self.relay_heartbeat(&leader, &report, body, direct).await {
                return response;
            }
        } else if redirects.borrow_mut().is_returning(
            &report.machine,
            self.has_seen_leader_token(&report),
            now,
        ) && let Some(response) =
            self.relay_heartbeat(&leader, &report, body, || false).await
        {
            return response;
        }
        directed(leader)
    }

    /// Where a worker goes that we can't or should not answer although we led last: to
    /// the successor that we named, who leads now or answers it in our stead for as
    /// long as we might (rule 2), with no difference to what is known of its tasks
    /// (rule 3). A worker that comes back found nobody; it is not sent again.
    fn hand_off_target(&self, report: &Heartbeat, now: Time) -> Option<String> {
        let next = self.last_designated.borrow().clone()?;
        let comes_back =
            (self.handed_off_workers.borrow_mut()).is_returning(&report.machine, false, now);
        (!comes_back).then_some(next)
    }

    /// Whether we still seem to lead but know that another does.
    fn has_successor(&self) -> bool {
        matches!(&*self.role.borrow(), Role::Leading(l) if l.superseded.get())
    }

    /// Whether the worker has shown the leader's token: it was answered there, and
    /// is here because it can't go on there.
    fn has_seen_leader_token(&self, report: &Heartbeat) -> bool {
        let leader = self.leader.borrow();
        (leader.as_ref()).is_some_and(|(_, revision)| epoch(report.token) == *revision)
    }

    /// The leader's part of a report, come directly or through a peer. If a
    /// launch for the machine is just being recorded, its reply waits for it,
    /// for a moment only: the worker gives up after 4 s.
    pub(crate) async fn accept_heartbeat(&self, body: &[u8]) -> Response {
        let report: Heartbeat = match decode(body) {
            Ok(report) => report,
            Err(e) => {
                warn!(reason = %e, "malformed report");
                return Response::empty(400);
            }
        };
        let taken_at = self.clock.now();
        let Some(revision) = self.entitled(&report, taken_at) else {
            return Response::empty(503);
        };
        if self.with_engine(revision, |e| e.receive_heartbeat(taken_at, &report)) != Some(true) {
            return Response::empty(503);
        }
        self.scheduler_wakeup.notify();
        let until = taken_at + self.tuning.launch_wait_s;
        loop {
            let now = self.clock.now();
            let near = self.with_engine(revision, |e| e.expects_launch(now, &report.machine));
            if near != Some(true) || now >= until || !self.may_start(now) {
                break;
            }
            // A step further or out of time: looked at again either way.
            let _ = timeout(until - now, self.scheduler_progress.notified()).await;
        }
        // A moment has passed: are we still entitled, under the same token?
        let now = self.clock.now();
        if self.entitled(&report, now) != Some(revision) {
            return Response::empty(503);
        }
        let may_start = self.may_start(now);
        let reply = self.with_engine(revision, |engine| {
            let commands = engine.reply(now, &report, may_start);
            let token = engine.token_for(&report.machine);
            HeartbeatReply { token, commands }
        });
        match reply {
            Some(reply) => Response::new(200, encode(&reply)),
            None => Response::empty(503),
        }
    }

    /// The revision under which we may answer this report just now.
    fn entitled(&self, report: &Heartbeat, now: Time) -> Option<u64> {
        let role = self.role.borrow();
        let Role::Leading(leading) = &*role else {
            return None;
        };
        if epoch(report.token) > leading.engine.revision() {
            // Somebody else is entitled now (rule 2).
            info!(
                machine = report.machine,
                token = report.token,
                "a worker has seen a higher token"
            );
            leading.superseded.set(true);
            self.step_down.notify();
            return None;
        }
        let renews = now < leading.lease.renew_until() && !leading.superseded.get();
        renews.then(|| leading.engine.revision())
    }

    /// Whether our lease still covers the start of tasks (rule 2).
    fn may_start(&self, now: Time) -> bool {
        let open = self.degraded_mode.borrow().allows_unrecorded_starts();
        matches!(&*self.role.borrow(), Role::Leading(l) if open || now < l.lease.start_until())
    }

    /// Jobs first: a job goes from there to `over/` and never back, so not
    /// found in this order means that it was never accepted.
    async fn find(&self, id: &str, priority: RequestPriority) -> Result<JobLookup, KeyValueError> {
        if let Some(over) = self.terminal_cache.borrow().get(id) {
            return Ok(JobLookup::Over(over));
        }
        let sent_at = self.clock.now();
        if let Some((_, version)) = self.kv.get::<IgnoredAny>(&job_key(id), priority).await? {
            self.batched_polls.record_version(id, version, sent_at);
            return Ok(JobLookup::Unfinished(version));
        }
        match self
            .kv
            .get::<EndedJobRecord>(&ended_job_key(id), priority)
            .await?
        {
            Some((over, _)) => {
                self.cache_end(id, over);
                Ok(JobLookup::Over(over))
            }
            None => Ok(JobLookup::Nothing),
        }
    }

    /// The job has ended, and that is recorded; whoever is told so from here on is told
    /// what we remember.
    pub(crate) fn cache_end(&self, id: &str, over: EndedJobRecord) {
        let now = self.clock.now();
        self.terminal_cache.borrow_mut().put(now, id, over);
    }

    /// A node that the state service alone refuses asks a peer; where it answers nobody
    /// all controllers together may know.
    async fn poll_or_relay(self: &Rc<Self>, id: &str) -> Response {
        let response = self.poll(id).await;
        if response.status != 503 {
            return response;
        }
        if let Some(answer) = self.relay_job_request(paths::PEER_POLL, id).await {
            return answer;
        }
        match self.all_replica_read(id).await {
            ReadOutcome::Ended(over) => ended(id, over),
            ReadOutcome::Unfinished => self.unfinished(id, 200).await,
            ReadOutcome::Unknown => response,
        }
    }

    async fn cancel_or_relay(&self, id: &str) -> Response {
        let response = self.cancel(id).await;
        match response.status {
            503 => (self.relay_job_request(paths::PEER_CANCEL, id).await).unwrap_or(response),
            _ => response,
        }
    }

    pub(crate) async fn poll(self: &Rc<Self>, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::empty(404);
        }
        if let Some(over) = self.terminal_cache.borrow().get(id) {
            return ended(id, over);
        }
        match self.compare_version(id).await {
            PollOutcome::Unfinished => return self.unfinished(id, 200).await,
            PollOutcome::Unanswered => return self.retry_later(),
            PollOutcome::Unknown => {}
        }
        match self.find(id, RequestPriority::Poll).await {
            Ok(JobLookup::Unfinished(..)) => self.unfinished(id, 200).await,
            Ok(JobLookup::Over(over)) => ended(id, over),
            Ok(JobLookup::Nothing) => Response::empty(404),
            Err(e) => {
                debug!(job = id, reason = %e, "poll not answered");
                self.retry_later()
            }
        }
    }

    /// What the leader said of a job, if that is no older than a display may be.
    fn heard_counts(&self, id: &str) -> Option<(u32, u32)> {
        let heard = self.reported_progress.borrow();
        let fresh = self.clock.now() - heard.at? < self.tuning.job_progress_max_age_s;
        fresh.then(|| heard.jobs.get(id).copied()).flatten()
    }

    /// What the job's record says, or if it can't be read what the leader said last,
    /// however old: a job that was called running is not called waiting for an outage.
    async fn recorded_counts(&self, id: &str) -> (u32, u32) {
        let key = progress_key(id);
        let record = self
            .kv
            .get::<JobProgressRecord>(&key, RequestPriority::Poll)
            .await;
        match record {
            Ok(Some((run, _))) => (run.done_count, run.running_at_least()),
            Ok(None) => (0, 0),
            Err(_) => {
                let heard = self.reported_progress.borrow();
                heard.jobs.get(id).copied().unwrap_or_default()
            }
        }
    }

    /// The counts are for display; a missing record means none.
    async fn unfinished(&self, id: &str, status: u16) -> Response {
        let counts = match &*self.role.borrow() {
            Role::Leading(leading) => leading.engine.job_progress(id),
            Role::Following => self.heard_counts(id),
        };
        let (done, running) = match counts {
            Some(counts) => counts,
            None => self.recorded_counts(id).await,
        };
        let state = if running > 0 {
            JobStage::Running
        } else {
            JobStage::Queued
        };
        status_body(status, id, state, Some((done, running)))
    }

    /// A node whose own share of the limits is used up, or that the state
    /// service refuses, asks a peer to take the submission before it refuses.
    async fn submit_or_relay(&self, body: &[u8]) -> Response {
        if !self.kv.has_budget(1.0) {
            // The leader's share of the limits is the largest.
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
            && let Some(taken) = self.relay_submission(&peer, body).await
        {
            return taken;
        }
        response
    }

    pub(crate) async fn submit(&self, body: &[u8]) -> Response {
        let spec = match decode::<JobSpec>(body) {
            Ok(spec) => spec,
            Err(e) => {
                let rejection = Rejection::Undecodable(e.to_string());
                return match decode::<JobIdOnly>(body) {
                    Ok(only) => self.refuse(&only.id, &rejection).await,
                    Err(_) => refused(&rejection),
                };
            }
        };
        if let Err(rejection) = self.check_submission(&spec, body) {
            return self.refuse(&spec.id, &rejection).await;
        }
        let id = spec.id.clone();
        let (class, team) = (spec.class.clone(), spec.team.clone());
        let (tasks, cpus) = (spec.tasks, spec.cpus);
        // A flood of what can wait must not use up what others are accepted with.
        let priority = if spec.is_best_effort() {
            RequestPriority::BestEffort
        } else {
            RequestPriority::Interactive
        };
        if let Some(over) = self.terminal_cache.borrow().get(&id) {
            return ended(&id, over);
        }
        let record = JobRecord {
            spec,
            accepted_ms: self.clock.unix_ms(),
        };
        let txn = acceptance_txn(record);
        let sent_at = self.clock.now();
        match self.kv.txn(&txn, priority).await {
            // Rule 6: told only now that the state service holds it.
            TxnOutcome::Applied { revision } => {
                self.batched_polls.record_version(&id, revision, sent_at);
                info!(job = id, class, team, tasks, cpus, "accepted");
                status_body(201, &id, JobStage::Queued, None)
            }
            TxnOutcome::Conflict { .. } => match self.find(&id, RequestPriority::Interactive).await
            {
                Ok(JobLookup::Unfinished(..)) => self.unfinished(&id, 200).await,
                Ok(JobLookup::Over(over)) => ended(&id, over),
                _ => self.retry_later(),
            },
            TxnOutcome::NotExecuted | TxnOutcome::Unknown => {
                info!(
                    job = id,
                    reason = "the state service can't take it",
                    "submission refused"
                );
                self.retry_later()
            }
        }
    }

    /// A known job is answered from its record, however its repetition looks.
    async fn refuse(&self, id: &str, rejection: &Rejection) -> Response {
        if is_job_id(id) {
            match self.find(id, RequestPriority::Interactive).await {
                Ok(JobLookup::Unfinished(..)) => return self.unfinished(id, 200).await,
                Ok(JobLookup::Over(over)) => return ended(id, over),
                Ok(JobLookup::Nothing) => {}
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
            _ => refused(rejection),
        }
    }

    /// Whether a submission is well formed and can run some time.
    fn check_submission(&self, spec: &JobSpec, body: &[u8]) -> Result<(), Rejection> {
        if let Some(field) = missing_field(body) {
            return Err(Rejection::MissingField(field));
        }
        spec.check()?;
        self.check_team(spec)?;
        self.check_types(spec)
    }

    /// Whether the team is known and its limit takes the job: one task of an array, all
    /// replicas of a service.
    fn check_team(&self, spec: &JobSpec) -> Result<(), Rejection> {
        let mut teams = self.settings.facts.teams.iter();
        let Some(team) = teams.find(|t| t.name == spec.team) else {
            return Err(Rejection::UnknownTeam(spec.team.clone()));
        };
        let shape = Shape::of_task(spec);
        let times = if spec.kind == JobKind::Service {
            f64::from(spec.tasks)
        } else {
            1.0
        };
        for (what, need, most) in [
            ("cpus", shape.cpus * times, team.cpus_max),
            ("gpus", shape.gpus * times, team.gpus_max),
        ] {
            if most > 0.0 && need > most + 1e-6 {
                return Err(Rejection::OverTeamLimit { what, need, most });
            }
        }
        Ok(())
    }

    /// Whether a machine type takes a task of the job.
    fn check_types(&self, spec: &JobSpec) -> Result<(), Rejection> {
        let types = self.machine_types.borrow();
        if types.is_empty() {
            return Err(Rejection::TypesUnknown);
        }
        // Where workers hand images on, one that no cache holds would be fetched again and
        // again, and pushed out while others read it.
        let hand_on = self.tuning.peer_to_peer_images >= 0.5;
        let allowed =
            |t: &&umbersail_wire::MachineType| umbersail_policy::allows_type(spec, &t.name);
        if hand_on && !(types.iter().filter(allowed)).any(|t| image_fits_cache(t, spec)) {
            return Err(Rejection::ImageTooLarge(spec.image_gb));
        }
        match umbersail_policy::smallest_cpus(spec, &types) {
            Some(_) => Ok(()),
            None => Err(Rejection::FitsNoType),
        }
    }

    pub(crate) async fn cancel(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return Response::empty(404);
        }
        // A conflict means that the job moved on since it was read.
        for _ in 0..3 {
            match self.find(id, RequestPriority::Interactive).await {
                Ok(JobLookup::Unfinished(version)) => {
                    // The job's progress stays until the leader knows that
                    // nothing of it runs: a successor counts it (rule 4).
                    let over = EndedJobRecord {
                        outcome: Outcome::Cancelled,
                        done: 0,
                    };
                    let txn = cancellation_txn(id, version, over);
                    match self.kv.txn(&txn, RequestPriority::Interactive).await {
                        TxnOutcome::Applied { .. } => {
                            info!(job = id, "cancellation recorded");
                            self.cache_end(id, over);
                            return ended(id, over);
                        }
                        TxnOutcome::Conflict { .. } => {}
                        _ => return self.retry_later(),
                    }
                }
                Ok(JobLookup::Over(over)) => return ended(id, over),
                Ok(JobLookup::Nothing) => return Response::empty(404),
                Err(_) => return self.retry_later(),
            }
        }
        self.retry_later()
    }
}

/// Whether a submission is of work that gives way: the leader, whose writes are
/// launches and ends, is not asked to take it.
fn is_best_effort_submission(body: &[u8]) -> bool {
    decode::<JobSpec>(body).is_ok_and(|spec| spec.is_best_effort())
}

/// Refused for good, with the reason.
fn refused(rejection: &Rejection) -> Response {
    let refusal = Refusal {
        error: rejection.to_string(),
    };
    Response::new(rejection.status(), encode(&refusal))
}

fn directed(member: String) -> Response {
    Response::new(
        421,
        encode(&Misdirected {
            heartbeat_to: Some(member),
        }),
    )
}

fn ended(id: &str, over: EndedJobRecord) -> Response {
    status_body(200, id, terminal_stage(over), Some((over.done, 0)))
}

fn status_body(status: u16, id: &str, state: JobStage, counts: Option<(u32, u32)>) -> Response {
    Response::new(
        status,
        encode(&JobStatus {
            id: id.to_owned(),
            state,
            done: counts.map(|c| c.0),
            running: counts.map(|c| c.1),
        }),
    )
}
