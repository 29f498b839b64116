//! Simulated users, and the load balancer in front of the controllers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Geometric, LogNormal};
use umbersail_http::{Client, ClientError, ClientLimits, ClientResponse};
use umbersail_runtime::{random, sleep, spawn};
use umbersail_wire::{JobKind, JobSpec, JobStage, JobStatus, Priority, decode, encode, paths};

use crate::cancellations::Cancellations;
use crate::fleet::{Fleet, SimulatedJob};
use crate::history::{EventKind, Question};
use crate::scenario::{self, Class};
use crate::user_faults::UserFaults;

/// Timeouts of a submission and of a poll, in seconds.
const SUBMIT_TIMEOUT_S: f64 = 5.0;
const POLL_TIMEOUT_S: f64 = 2.0;
/// Replies with this status or a higher one say nothing about a job; the request is retried.
const RETRIED_FROM: u16 = 429;
/// A submission or cancellation is retried for this many seconds in total.
const RETRY_FOR_S: f64 = 60.0;
/// The load balancer tries another controller if one does not accept a connection within this
/// many seconds.
const CONNECT_TIMEOUT_S: f64 = 0.5;
/// The load balancer resets the open connections of a controller that has been unhealthy for
/// this many seconds.
const RESET_AFTER_S: f64 = 5.0;

/// The load balancer's state of one controller. Times are in simulation time.
#[derive(Debug, Clone, Default)]
struct Health {
    healthy: bool,
    /// Whether the controller was ever healthy.
    ever: bool,
    /// Consecutive probes that failed, and that passed.
    failed: u32,
    passed: u32,
    /// Earliest time at which the controller can become healthy again. The pause doubles if the
    /// controller becomes unhealthy repeatedly.
    not_before: f64,
    pause_s: f64,
    /// When the controller last became unhealthy.
    removed_at: f64,
    /// Consecutive refused connections; after three the controller is skipped for a while.
    refusals: u32,
    skip_until: f64,
    /// Open connections.
    open: usize,
}

/// Simulated load balancer: probes the controllers and picks one for each new connection.
pub struct Balancer {
    nodes: Vec<SocketAddr>,
    health: RefCell<Vec<Health>>,
}

impl Balancer {
    /// Creates a balancer for the controllers at these addresses, none of them healthy yet.
    pub fn new(nodes: Vec<SocketAddr>) -> Rc<Balancer> {
        let health = vec![Health::default(); nodes.len()];
        Rc::new(Balancer {
            nodes,
            health: RefCell::new(health),
        })
    }

    /// Picks the healthy controller with the fewest open connections.
    fn pick(&self, now: f64, except: &[usize]) -> Option<usize> {
        let health = self.health.borrow();
        let able =
            |i: &usize| health[*i].healthy && now >= health[*i].skip_until && !except.contains(i);
        (0..self.nodes.len())
            .filter(able)
            .min_by_key(|i| (health[*i].open, *i))
    }

    /// Whether the open connections of a controller have been reset, because the controller has
    /// been unhealthy for longer than [`RESET_AFTER_S`] (PROTOCOL, "Users -> controller nodes").
    fn has_reset(&self, node: usize, now: f64) -> bool {
        let health = &self.health.borrow()[node];
        health.ever && !health.healthy && now - health.removed_at >= RESET_AFTER_S
    }

    /// Probes the health of one controller about once a second, without end.
    pub async fn probe(self: Rc<Self>, fleet: Rc<Fleet>, node: usize) {
        let client = client();
        loop {
            sleep(random(|rng| rng.random_range(0.9..1.1))).await;
            let answer = client
                .request(self.nodes[node], "GET", paths::HEALTH, b"", 1.0)
                .await;
            let passed = matches!(answer, Ok((200, _)));
            let now = fleet.world.now();
            let mut health = self.health.borrow_mut();
            let health = &mut health[node];
            if passed {
                health.failed = 0;
                health.passed += 1;
                let enough = health.passed >= 2 || !health.ever;
                if !health.healthy && enough && now >= health.not_before {
                    health.healthy = true;
                    health.ever = true;
                }
            } else {
                health.passed = 0;
                health.failed += 1;
                if health.healthy && health.failed >= 2 {
                    health.healthy = false;
                    let again = now - health.removed_at < 120.0 && health.pause_s > 0.0;
                    health.pause_s = if again {
                        (health.pause_s * 2.0).min(60.0)
                    } else {
                        3.0
                    };
                    health.removed_at = now;
                    health.not_before = now + health.pause_s;
                }
            }
        }
    }
}

fn client() -> Client {
    Client::new(ClientLimits {
        max_body_bytes: 64 << 10,
        max_per_address: 4,
        max_idle: 1,
        max_total: 4,
        connect_timeout_s: CONNECT_TIMEOUT_S,
    })
}

/// A reply, with the controller and the sending time of its request.
pub(crate) struct Exchange {
    /// The reply.
    pub answer: ClientResponse,
    /// Where and when the request was sent.
    pub question: Question,
}

/// A user's connection through the load balancer.
struct Connection {
    fleet: Rc<Fleet>,
    balancer: Rc<Balancer>,
    client: Client,
    node: Cell<Option<usize>>,
}

impl Connection {
    fn new(fleet: &Rc<Fleet>, balancer: &Rc<Balancer>) -> Connection {
        Connection {
            fleet: fleet.clone(),
            balancer: balancer.clone(),
            client: client(),
            node: Cell::new(None),
        }
    }

    /// Creates a connection to this controller.
    fn to(fleet: &Rc<Fleet>, balancer: &Rc<Balancer>, node: usize) -> Connection {
        let connection = Connection::new(fleet, balancer);
        balancer.health.borrow_mut()[node].open += 1;
        connection.node.set(Some(node));
        connection
    }

    fn disconnect(&self) {
        if let Some(node) = self.node.take() {
            self.balancer.health.borrow_mut()[node].open -= 1;
        }
    }

    /// Sends a request. If a controller refuses the connection, up to two others are tried.
    async fn send(&self, method: &str, target: &str, body: &[u8], wait_s: f64) -> Option<Exchange> {
        let mut tried = Vec::new();
        for _ in 0..3 {
            let now = self.fleet.world.now();
            if self
                .node
                .get()
                .is_some_and(|n| self.balancer.has_reset(n, now))
            {
                self.disconnect();
            }
            let node = match self.node.get() {
                Some(node) => node,
                None => {
                    let node = self.balancer.pick(now, &tried)?;
                    self.balancer.health.borrow_mut()[node].open += 1;
                    self.node.set(Some(node));
                    node
                }
            };
            let addr = self.balancer.nodes[node];
            let sent_s = self.fleet.history.now_s();
            let answer = self.client.send(addr, method, target, body, wait_s).await;
            let refused = matches!(
                answer,
                Err(ClientError::Refused(_) | ClientError::Unreachable)
            );
            {
                let mut health = self.balancer.health.borrow_mut();
                let health = &mut health[node];
                health.refusals = if refused { health.refusals + 1 } else { 0 };
                if health.refusals >= 3 {
                    health.skip_until = now + 3.0;
                    health.refusals = 0;
                }
            }
            match answer {
                Ok(answer) => {
                    // The balancer picks a controller again for the next request.
                    if answer.closes_connection {
                        self.disconnect();
                    }
                    let question = Question { node, sent_s };
                    return Some(Exchange { answer, question });
                }
                Err(_) if refused => {
                    tried.push(node);
                    self.disconnect();
                }
                Err(_) => {
                    self.disconnect();
                    return None;
                }
            }
        }
        None
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.disconnect();
    }
}

/// All users of a scenario.
pub struct Users {
    fleet: Rc<Fleet>,
    balancer: Rc<Balancer>,
    rng: RefCell<ChaCha8Rng>,
    /// Factors on the submission rates of classes, by name.
    pub bursts: RefCell<BTreeMap<String, f64>>,
    job_count: Cell<u64>,
    /// Number of users that still wait for their jobs.
    pub waiting: Cell<usize>,
    /// Whether submission of new jobs has ended.
    pub closed: Cell<bool>,
    /// Cancellations requested by faults.
    pub cancellations: Cancellations,
    /// Other faults that act through users.
    pub faults: UserFaults,
    /// Jobs that their users know to be finished. Only filled in scenarios with runs.
    finished_jobs: RefCell<BTreeSet<String>>,
}

impl Users {
    /// Creates the users; [`Users::run`] starts them.
    pub fn new(fleet: Rc<Fleet>, balancer: Rc<Balancer>, seed: u64) -> Rc<Users> {
        Rc::new(Users {
            fleet,
            balancer,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0075_7365_7273)),
            bursts: RefCell::default(),
            job_count: Cell::new(0),
            waiting: Cell::new(0),
            closed: Cell::new(false),
            cancellations: Cancellations::default(),
            faults: UserFaults::new(seed),
            finished_jobs: RefCell::default(),
        })
    }

    /// Runs the users' host: the load balancer's probes and all users.
    pub async fn run(self: Rc<Self>) {
        for node in 0..self.balancer.nodes.len() {
            spawn(self.balancer.clone().probe(self.fleet.clone(), node));
        }
        let night = self.fleet.night.clone();
        for index in 0..night.classes.len() {
            spawn(self.clone().submit_class(index));
        }
        self.submit_runs();
        self.run_faults();
        spawn(self.clone().poll_unknown_jobs());
        std::future::pending::<()>().await;
    }

    /// Submits the jobs of a class: first those at the start, then at random intervals.
    async fn submit_class(self: Rc<Self>, index: usize) {
        let night = self.fleet.night.clone();
        let class = &night.classes[index];
        // Wait for the first probes of the load balancer.
        sleep(3.0 + class.from_s).await;
        for _ in 0..class.at_start {
            spawn(self.clone().run_user(self.draw_job(class)));
        }
        loop {
            let factor = self
                .bursts
                .borrow()
                .get(&class.name)
                .copied()
                .unwrap_or(1.0);
            let rate = class.per_minute / 60.0 * factor;
            let wait = match Exp::new(rate) {
                Ok(intervals) if rate > 0.0 => intervals.sample(&mut *self.rng.borrow_mut()),
                _ => f64::INFINITY,
            };
            // The rate may change while waiting. Exponential intervals are memoryless, so a new
            // one can be drawn every 5 s.
            if wait > 5.0 {
                sleep(5.0).await;
                continue;
            }
            sleep(wait).await;
            if self.closed.get() {
                // If this task ended, its users, who still wait for their jobs, would end too.
                std::future::pending::<()>().await;
            }
            spawn(self.clone().run_user(self.draw_job(class)));
        }
    }

    /// Draws a job of a class, with the actual behaviour of its tasks.
    pub(crate) fn draw_job(&self, class: &Class) -> SimulatedJob {
        let mut rng = self.rng.borrow_mut();
        let rng: &mut dyn RngCore = &mut *rng;
        let log_normal = |rng: &mut dyn RngCore, median: f64, sigma: f64| match LogNormal::new(
            median.ln(),
            sigma,
        ) {
            Ok(distribution) => distribution.sample(rng),
            Err(_) => median,
        };
        let more = match Geometric::new(1.0 / class.tasks) {
            Ok(distribution) => distribution.sample(rng),
            Err(_) => 0,
        };
        let tasks = match class.exactly {
            true => class.most,
            false => (1 + more).min(u64::from(class.most)) as u32,
        };
        let run_s = log_normal(rng, class.run_s, class.run_sigma);
        let estimate_s = log_normal(rng, run_s, class.estimate_sigma);
        let number = self.job_count.get() + 1;
        self.job_count.set(number);
        let image = rng.random_range(0..class.images);
        // Ids are not in order of submission.
        let id = format!("req-{:06}", number * 7919 % 999_983);
        let deadline = class.deadline_times * estimate_s + class.deadline_s;
        let spec = JobSpec {
            id,
            class: class.name.clone(),
            team: class.team.clone(),
            kind: JobKind::Array,
            priority: match class.priority {
                scenario::Priority::Low => Priority::Low,
                scenario::Priority::Normal => Priority::Normal,
                scenario::Priority::High => Priority::High,
                scenario::Priority::Production => Priority::Production,
            },
            tasks,
            cpus: class.cpus,
            gpus: None,
            memory_gb: class.memory_gb,
            image: format!("{}-{image}", class.name),
            image_gb: class.image_gb,
            types: None,
            zone: class.zone.clone(),
            one_zone: Some(class.together),
            spread: Some(class.spread),
            spot: Some(class.spot),
            estimate_s,
            checkpoint_s: Some(class.checkpoint_s),
            save_s: Some(class.save_s),
            deadline_s: (deadline > 0.0).then_some(deadline),
        };
        SimulatedJob {
            spec,
            run_s,
            sigma: class.task_sigma,
            // Without mistakes nothing is drawn here, so that the other random numbers of such
            // scenarios stay the same.
            mistaken: class.mistaken > 0.0 && rng.random_bool(class.mistaken),
        }
    }

    /// Runs one user: submits the job and waits until the job is finished.
    pub(crate) async fn run_user(self: Rc<Self>, job: SimulatedJob) {
        self.waiting.set(self.waiting.get() + 1);
        let spec = job.spec.clone();
        let id = spec.id.clone();
        self.fleet.jobs.borrow_mut().insert(spec.id.clone(), job);
        self.follow_job(spec).await;
        self.mark_finished(&id);
        self.waiting.set(self.waiting.get() - 1);
    }

    /// Submits a job, polls until the job is finished, and cancels the job if that was drawn or
    /// requested.
    async fn follow_job(&self, spec: JobSpec) {
        let connection = Connection::new(&self.fleet, &self.balancer);
        let class = self
            .fleet
            .night
            .classes
            .iter()
            .find(|c| c.name == spec.class);
        let (cancels, again) = {
            let mut rng = self.rng.borrow_mut();
            let share = class.map_or(0.0, |c| c.cancelled);
            let cancels = match rng.random_bool(share) {
                true => {
                    let soon = class.map_or(0.0, |c| c.cancelled_within_s);
                    let range = if soon > 0.0 { 0.0..soon } else { 1.0..60.0 };
                    Some(rng.random_range(range))
                }
                false if self.fleet.is_mistaken(&spec.id) => Some(rng.random_range(60.0..120.0)),
                false => None,
            };
            (cancels, rng.random_bool(0.05))
        };
        let body = encode(&spec);
        let job = spec.id.clone();
        if !self.submit(&connection, &spec, &body).await {
            return;
        }
        let accepted_at = self.fleet.world.now();
        let mut poll_at = accepted_at + self.jitter(5.0);
        let cancels = self.faults.draw_early_cancel().or(cancels);
        let mut cancel_at = cancels.map(|after| accepted_at + after);
        loop {
            let now = self.fleet.world.now();
            let next = cancel_at.map_or(poll_at, |at| at.min(poll_at));
            if let Some(node) = self.cancellations.wait(&job, next - now).await {
                let connection = Connection::to(&self.fleet, &self.balancer, node);
                if self.cancel(&connection, &job).await {
                    break;
                }
            }
            let now = self.fleet.world.now();
            if cancel_at.is_some_and(|at| now >= at) {
                cancel_at = None;
                if self.cancel(&connection, &job).await {
                    break;
                }
            }
            if now >= poll_at {
                poll_at = self.fleet.world.now() + self.jitter(5.0);
                match self.poll(&connection, &job).await {
                    Some(JobStage::Done | JobStage::Cancelled) => break,
                    _ => continue,
                }
            }
        }
        self.mark_finished(&job);
        if again {
            // Some users poll once more after the end, and an old retry of the submission
            // arrives late.
            sleep(self.jitter(20.0)).await;
            self.poll(&connection, &job).await;
            let answer = connection
                .send("POST", paths::JOBS, &body, SUBMIT_TIMEOUT_S)
                .await;
            if let Some(exchange) = answer {
                self.note_repeated(&job, &exchange);
            }
        }
    }

    /// Records the reply to a repeated submission, if the reply says anything about the job.
    pub(crate) fn note_repeated(&self, job: &str, exchange: &Exchange) {
        if exchange.answer.status < RETRIED_FROM {
            let stage = stage(&exchange.answer);
            self.note_stage(job, stage);
            self.record(EventKind::Repeated {
                job: job.into(),
                status: exchange.answer.status,
                stage,
                question: Some(exchange.question),
            });
        }
    }

    /// Notes that a user received a reply with this stage of the job.
    fn note_stage(&self, job: &str, stage: Option<JobStage>) {
        if let Some(stage @ (JobStage::Done | JobStage::Cancelled)) = stage {
            self.faults.finished_as(job, stage);
        }
    }

    /// Marks a job as finished, for the users that submit the next step of a run.
    fn mark_finished(&self, job: &str) {
        if !self.fleet.night.runs.is_empty() {
            self.finished_jobs.borrow_mut().insert(job.to_owned());
        }
    }

    /// Whether all these jobs are known to be finished.
    pub(crate) fn are_finished(&self, jobs: &[String]) -> bool {
        let finished_jobs = self.finished_jobs.borrow();
        jobs.iter().all(|job| finished_jobs.contains(job))
    }

    pub(crate) fn night(&self) -> Rc<scenario::Scenario> {
        self.fleet.night.clone()
    }

    pub(crate) fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// Returns the controllers' addresses.
    pub(crate) fn nodes(&self) -> &[SocketAddr] {
        &self.balancer.nodes
    }

    /// Returns the job as its user submitted it.
    pub(crate) fn spec_of(&self, job: &str) -> Option<JobSpec> {
        let jobs = self.fleet.jobs.borrow();
        jobs.get(job).map(|job| job.spec.clone())
    }

    /// Returns the submitted job with the lowest id.
    pub(crate) fn any_spec(&self) -> Option<JobSpec> {
        let jobs = self.fleet.jobs.borrow();
        jobs.values().next().map(|job| job.spec.clone())
    }

    pub(crate) fn now(&self) -> f64 {
        self.fleet.world.now()
    }

    pub(crate) fn record(&self, what: EventKind) {
        self.fleet.history.add(what);
    }

    /// Draws with the random generator of the users.
    pub(crate) fn draw_random<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Returns the duration changed by a random amount of at most 10%.
    fn jitter(&self, seconds: f64) -> f64 {
        self.rng.borrow_mut().random_range(0.9..1.1) * seconds
    }

    /// Submits a job, with retries by the rules of the protocol. Returns whether the job was
    /// accepted.
    async fn submit(&self, connection: &Connection, spec: &JobSpec, body: &[u8]) -> bool {
        let began = self.fleet.world.now();
        self.fleet.history.add(EventKind::Submitted {
            spec: Box::new(spec.clone()),
        });
        loop {
            let answer = connection
                .send("POST", paths::JOBS, body, SUBMIT_TIMEOUT_S)
                .await;
            let now = self.fleet.world.now();
            let job = spec.id.clone();
            match &answer {
                Some(exchange) if matches!(exchange.answer.status, 200 | 201) => {
                    self.fleet.history.add(EventKind::Accepted {
                        job,
                        after_s: now - began,
                        question: Some(exchange.question),
                    });
                    self.faults.accepted(&spec.id);
                    return true;
                }
                Some(exchange) if matches!(exchange.answer.status, 400 | 422) => {
                    let status = exchange.answer.status;
                    self.fleet.history.add(EventKind::Refused { job, status });
                    return false;
                }
                _ => {}
            }
            let retry_after_s = answer
                .and_then(|exchange| exchange.answer.retry_after_s)
                .unwrap_or(0)
                .min(30);
            let pause = f64::from(retry_after_s).max(self.jitter(1.1));
            if now + pause - began > RETRY_FOR_S {
                self.fleet
                    .history
                    .add(EventKind::Refused { job, status: 0 });
                return false;
            }
            sleep(pause).await;
        }
    }

    /// Polls a job and records the reply; status 0 means that none arrived.
    async fn poll(&self, connection: &Connection, job: &str) -> Option<JobStage> {
        let target = format!("{}/{job}", paths::JOBS);
        let answer = connection.send("GET", &target, b"", POLL_TIMEOUT_S).await;
        let stage = answer.as_ref().and_then(|exchange| stage(&exchange.answer));
        self.note_stage(job, stage);
        self.fleet.history.add(EventKind::Polled {
            job: job.into(),
            status: answer.as_ref().map_or(0, |exchange| exchange.answer.status),
            stage,
            question: answer.map(|exchange| exchange.question),
        });
        stage
    }

    /// Records the request and cancels the job.
    async fn cancel(&self, connection: &Connection, job: &str) -> bool {
        self.fleet.cancelled.borrow_mut().insert(job.to_owned());
        self.fleet
            .history
            .add(EventKind::CancelRequested { job: job.into() });
        self.repeat_cancel(connection, job).await
    }

    /// Continues a cancellation, already recorded, through the load balancer.
    pub(crate) async fn cancel_through_balancer(&self, job: &str) -> bool {
        let connection = Connection::new(&self.fleet, &self.balancer);
        self.repeat_cancel(&connection, job).await
    }

    /// Sends a cancellation until a reply says that the job is finished. Returns false if none
    /// does in time.
    async fn repeat_cancel(&self, connection: &Connection, job: &str) -> bool {
        let target = format!("{}/{job}/{}", paths::JOBS, paths::CANCEL);
        let began = self.fleet.world.now();
        loop {
            let answer = connection
                .send("POST", &target, b"", SUBMIT_TIMEOUT_S)
                .await;
            if let Some(exchange) = answer
                && self.note_cancel_answer(job, &exchange)
            {
                return true;
            }
            if self.fleet.world.now() - began > RETRY_FOR_S {
                return false;
            }
            sleep(self.jitter(1.2)).await;
        }
    }

    /// Records the reply to a cancellation. Returns whether the reply says that the job is
    /// finished.
    pub(crate) fn note_cancel_answer(&self, job: &str, exchange: &Exchange) -> bool {
        let (status, question) = (exchange.answer.status, Some(exchange.question));
        let stage = stage(&exchange.answer).filter(|_| status == 200);
        self.note_stage(job, stage);
        if stage == Some(JobStage::Cancelled) {
            self.faults.query_all(job);
        }
        let job = job.to_owned();
        match stage {
            Some(stage @ (JobStage::Cancelled | JobStage::Done)) => {
                self.record(EventKind::CancelAcknowledged {
                    job,
                    stage,
                    question,
                });
                true
            }
            _ => {
                if (400..RETRIED_FROM).contains(&status) {
                    self.record(EventKind::CancelRefused {
                        job,
                        status,
                        question,
                    });
                }
                false
            }
        }
    }

    /// Polls regularly for jobs that were never submitted.
    async fn poll_unknown_jobs(self: Rc<Self>) {
        let connection = Connection::new(&self.fleet, &self.balancer);
        loop {
            sleep(self.jitter(17.0)).await;
            let number = self.rng.borrow_mut().random_range(1_000_000..9_999_999);
            self.poll(&connection, &format!("req-{number}")).await;
        }
    }
}

/// Decodes the stage of the job from a reply.
pub(crate) fn stage(answer: &ClientResponse) -> Option<JobStage> {
    decode::<JobStatus>(&answer.body)
        .ok()
        .map(|status| status.state)
}
