//! The users and the load balancer before the controllers.

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
use crate::fleet::{Fleet, Truth};
use crate::history::{Question, What};
use crate::scenario::{self, Class};
use crate::user_troubles::UserTroubles;

/// A user waits so long for the answer to a submission, and to a poll.
const SUBMIT_S: f64 = 5.0;
const POLL_S: f64 = 2.0;
/// Answers from this status on say nothing of a job: they are asked for again.
const RETRIED_FROM: u16 = 429;
/// In all, a submission is repeated for this long.
const GIVE_UP_S: f64 = 60.0;
/// The load balancer asks another node if one does not accept within this.
const ACCEPT_S: f64 = 0.5;
/// The balancer resets the open connections of a node that is unhealthy for this long.
const RESET_S: f64 = 5.0;

/// What the load balancer knows of one node.
#[derive(Debug, Clone, Default)]
struct Health {
    healthy: bool,
    ever: bool,
    failed: u32,
    passed: u32,
    not_before: f64,
    pause_s: f64,
    removed_at: f64,
    refusals: u32,
    skip_until: f64,
    open: usize,
}

/// Picks a node for each new connection.
pub struct Balancer {
    nodes: Vec<SocketAddr>,
    health: RefCell<Vec<Health>>,
}

impl Balancer {
    pub fn new(nodes: Vec<SocketAddr>) -> Rc<Balancer> {
        let health = vec![Health::default(); nodes.len()];
        Rc::new(Balancer {
            nodes,
            health: RefCell::new(health),
        })
    }

    fn pick(&self, now: f64, except: &[usize]) -> Option<usize> {
        let health = self.health.borrow();
        let able =
            |i: &usize| health[*i].healthy && now >= health[*i].skip_until && !except.contains(i);
        (0..self.nodes.len())
            .filter(able)
            .min_by_key(|i| (health[*i].open, *i))
    }

    /// Whether a node's open connections have been reset: it has been unhealthy for
    /// longer than the balancer waits (PROTOCOL, "Users -> controller nodes").
    fn has_reset(&self, node: usize, now: f64) -> bool {
        let health = &self.health.borrow()[node];
        health.ever && !health.healthy && now - health.removed_at >= RESET_S
    }

    /// Probes one node for ever.
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
        connect_timeout_s: ACCEPT_S,
    })
}

/// An answer and the question that it belongs to.
pub(crate) struct Told {
    pub answer: ClientResponse,
    pub question: Question,
}

/// One user's connection through the balancer.
struct Line {
    fleet: Rc<Fleet>,
    balancer: Rc<Balancer>,
    client: Client,
    node: Cell<Option<usize>>,
}

impl Line {
    fn new(fleet: &Rc<Fleet>, balancer: &Rc<Balancer>) -> Line {
        Line {
            fleet: fleet.clone(),
            balancer: balancer.clone(),
            client: client(),
            node: Cell::new(None),
        }
    }

    /// A line that the balancer has connected to this node.
    fn to(fleet: &Rc<Fleet>, balancer: &Rc<Balancer>, node: usize) -> Line {
        let line = Line::new(fleet, balancer);
        balancer.health.borrow_mut()[node].open += 1;
        line.node.set(Some(node));
        line
    }

    fn leave(&self) {
        if let Some(node) = self.node.take() {
            self.balancer.health.borrow_mut()[node].open -= 1;
        }
    }

    /// One request; a node that takes no connection is passed over, twice.
    async fn ask(&self, method: &str, target: &str, body: &[u8], wait_s: f64) -> Option<Told> {
        let mut tried = Vec::new();
        for _ in 0..3 {
            let now = self.fleet.world.now();
            if self
                .node
                .get()
                .is_some_and(|n| self.balancer.has_reset(n, now))
            {
                self.leave();
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
                    // The next request goes through the balancer anew.
                    if answer.closes_connection {
                        self.leave();
                    }
                    let question = Question { node, sent_s };
                    return Some(Told { answer, question });
                }
                Err(_) if refused => {
                    tried.push(node);
                    self.leave();
                }
                Err(_) => {
                    self.leave();
                    return None;
                }
            }
        }
        None
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.leave();
    }
}

/// All users of a night.
pub struct Users {
    fleet: Rc<Fleet>,
    balancer: Rc<Balancer>,
    rng: RefCell<ChaCha8Rng>,
    /// Factors on the rates of classes, by name.
    pub bursts: RefCell<BTreeMap<String, f64>>,
    numbers: Cell<u64>,
    /// Users that still wait for their jobs.
    pub waiting: Cell<usize>,
    pub closed: Cell<bool>,
    pub cancellations: Cancellations,
    pub troubles: UserTroubles,
    /// Jobs of runs that their users know to be over.
    over: RefCell<BTreeSet<String>>,
}

impl Users {
    pub fn new(fleet: Rc<Fleet>, balancer: Rc<Balancer>, seed: u64) -> Rc<Users> {
        Rc::new(Users {
            fleet,
            balancer,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0075_7365_7273)),
            bursts: RefCell::default(),
            numbers: Cell::new(0),
            waiting: Cell::new(0),
            closed: Cell::new(false),
            cancellations: Cancellations::default(),
            troubles: UserTroubles::new(seed),
            over: RefCell::default(),
        })
    }

    /// The users' host: everybody who submits, asks and cancels.
    pub async fn run(self: Rc<Self>) {
        for node in 0..self.balancer.nodes.len() {
            spawn(self.balancer.clone().probe(self.fleet.clone(), node));
        }
        let night = self.fleet.night.clone();
        for index in 0..night.classes.len() {
            spawn(self.clone().submit_class(index));
        }
        self.submit_runs();
        self.follow_troubles();
        spawn(self.clone().ask_of_strangers());
        std::future::pending::<()>().await;
    }

    async fn submit_class(self: Rc<Self>, index: usize) {
        let night = self.fleet.night.clone();
        let class = &night.classes[index];
        // The balancer's first probes come first.
        sleep(3.0 + class.from_s).await;
        for _ in 0..class.at_start {
            spawn(self.clone().user(self.draw(class)));
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
                Ok(gaps) if rate > 0.0 => gaps.sample(&mut *self.rng.borrow_mut()),
                _ => f64::INFINITY,
            };
            // The rate may change meanwhile; gaps have no memory.
            if wait > 5.0 {
                sleep(5.0).await;
                continue;
            }
            sleep(wait).await;
            if self.closed.get() {
                // Its users end with it, and they still wait for their jobs.
                std::future::pending::<()>().await;
            }
            spawn(self.clone().user(self.draw(class)));
        }
    }

    /// A job of a class, and what only its tasks know of it.
    pub(crate) fn draw(&self, class: &Class) -> Truth {
        let mut rng = self.rng.borrow_mut();
        let rng: &mut dyn RngCore = &mut *rng;
        let lot = |rng: &mut dyn RngCore, median: f64, sigma: f64| match LogNormal::new(
            median.ln(),
            sigma,
        ) {
            Ok(lots) => lots.sample(rng),
            Err(_) => median,
        };
        let more = match Geometric::new(1.0 / class.tasks) {
            Ok(lots) => lots.sample(rng),
            Err(_) => 0,
        };
        let tasks = match class.exactly {
            true => class.most,
            false => (1 + more).min(u64::from(class.most)) as u32,
        };
        let run_s = lot(rng, class.run_s, class.run_sigma);
        let estimate_s = lot(rng, run_s, class.estimate_sigma);
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        let image = rng.random_range(0..class.images);
        // Ids come in no order.
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
        Truth {
            spec,
            run_s,
            sigma: class.task_sigma,
            // Nights without mistakes draw what they always drew.
            mistaken: class.mistaken > 0.0 && rng.random_bool(class.mistaken),
        }
    }

    pub(crate) async fn user(self: Rc<Self>, truth: Truth) {
        self.waiting.set(self.waiting.get() + 1);
        let spec = truth.spec.clone();
        let id = spec.id.clone();
        self.fleet.jobs.borrow_mut().insert(spec.id.clone(), truth);
        self.see_through(spec).await;
        self.tell_over(&id);
        self.waiting.set(self.waiting.get() - 1);
    }

    async fn see_through(&self, spec: JobSpec) {
        let line = Line::new(&self.fleet, &self.balancer);
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
        if !self.submit(&line, &spec, &body).await {
            return;
        }
        let accepted_at = self.fleet.world.now();
        let mut poll_at = accepted_at + self.around(5.0);
        let cancels = self.troubles.cancels_at_once().or(cancels);
        let mut cancel_at = cancels.map(|after| accepted_at + after);
        loop {
            let now = self.fleet.world.now();
            let next = cancel_at.map_or(poll_at, |at| at.min(poll_at));
            if let Some(node) = self.cancellations.wait(&job, next - now).await {
                let line = Line::to(&self.fleet, &self.balancer, node);
                if self.cancel(&line, &job).await {
                    break;
                }
            }
            let now = self.fleet.world.now();
            if cancel_at.is_some_and(|at| now >= at) {
                cancel_at = None;
                if self.cancel(&line, &job).await {
                    break;
                }
            }
            if now >= poll_at {
                poll_at = self.fleet.world.now() + self.around(5.0);
                match self.poll(&line, &job).await {
                    Some(JobStage::Done | JobStage::Cancelled) => break,
                    _ => continue,
                }
            }
        }
        self.tell_over(&job);
        if again {
            // Somebody looks once more, and somebody's old retry comes late.
            sleep(self.around(20.0)).await;
            self.poll(&line, &job).await;
            let answer = line.ask("POST", paths::JOBS, &body, SUBMIT_S).await;
            if let Some(told) = answer {
                self.note_repeated(&job, &told);
            }
        }
    }

    /// The answer to a repeated submission, if it says anything of the job.
    pub(crate) fn note_repeated(&self, job: &str, told: &Told) {
        if told.answer.status < RETRIED_FROM {
            let stage = stage(&told.answer);
            self.note_stage(job, stage);
            self.note(What::Repeated {
                job: job.into(),
                status: told.answer.status,
                stage,
                question: Some(told.question),
            });
        }
    }

    /// Somebody was told this of the job.
    fn note_stage(&self, job: &str, stage: Option<JobStage>) {
        if let Some(stage @ (JobStage::Done | JobStage::Cancelled)) = stage {
            self.troubles.is_over(job, stage);
        }
    }

    /// For those who submit the next step of a run.
    fn tell_over(&self, job: &str) {
        if !self.fleet.night.runs.is_empty() {
            self.over.borrow_mut().insert(job.to_owned());
        }
    }

    pub(crate) fn are_over(&self, jobs: &[String]) -> bool {
        let over = self.over.borrow();
        jobs.iter().all(|job| over.contains(job))
    }

    pub(crate) fn night(&self) -> Rc<scenario::Scenario> {
        self.fleet.night.clone()
    }

    pub(crate) fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// The controllers' addresses.
    pub(crate) fn nodes(&self) -> &[SocketAddr] {
        &self.balancer.nodes
    }

    /// What a job's user submitted.
    pub(crate) fn spec_of(&self, job: &str) -> Option<JobSpec> {
        let jobs = self.fleet.jobs.borrow();
        jobs.get(job).map(|truth| truth.spec.clone())
    }

    /// The first submission of the night, by id.
    pub(crate) fn any_spec(&self) -> Option<JobSpec> {
        let jobs = self.fleet.jobs.borrow();
        jobs.values().next().map(|truth| truth.spec.clone())
    }

    pub(crate) fn now(&self) -> f64 {
        self.fleet.world.now()
    }

    pub(crate) fn note(&self, what: What) {
        self.fleet.history.add(what);
    }

    pub(crate) fn chance<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    fn around(&self, seconds: f64) -> f64 {
        self.rng.borrow_mut().random_range(0.9..1.1) * seconds
    }

    /// True once it is accepted; it is repeated by the protocol's rules.
    async fn submit(&self, line: &Line, spec: &JobSpec, body: &[u8]) -> bool {
        let began = self.fleet.world.now();
        self.fleet.history.add(What::Asked {
            spec: Box::new(spec.clone()),
        });
        loop {
            let answer = line.ask("POST", paths::JOBS, body, SUBMIT_S).await;
            let now = self.fleet.world.now();
            let job = spec.id.clone();
            match &answer {
                Some(told) if matches!(told.answer.status, 200 | 201) => {
                    self.fleet.history.add(What::Accepted {
                        job,
                        after_s: now - began,
                        question: Some(told.question),
                    });
                    self.troubles.accepted(&spec.id);
                    return true;
                }
                Some(told) if matches!(told.answer.status, 400 | 422) => {
                    let status = told.answer.status;
                    self.fleet.history.add(What::Refused { job, status });
                    return false;
                }
                _ => {}
            }
            let told = answer
                .and_then(|told| told.answer.retry_after_s)
                .unwrap_or(0)
                .min(30);
            let pause = f64::from(told).max(self.around(1.1));
            if now + pause - began > GIVE_UP_S {
                self.fleet.history.add(What::Refused { job, status: 0 });
                return false;
            }
            sleep(pause).await;
        }
    }

    async fn poll(&self, line: &Line, job: &str) -> Option<JobStage> {
        let target = format!("{}/{job}", paths::JOBS);
        let answer = line.ask("GET", &target, b"", POLL_S).await;
        let stage = answer.as_ref().and_then(|told| stage(&told.answer));
        self.note_stage(job, stage);
        self.fleet.history.add(What::Polled {
            job: job.into(),
            status: answer.as_ref().map_or(0, |told| told.answer.status),
            stage,
            question: answer.map(|told| told.question),
        });
        stage
    }

    async fn cancel(&self, line: &Line, job: &str) -> bool {
        self.fleet.cancelled.borrow_mut().insert(job.to_owned());
        self.fleet
            .history
            .add(What::CancelAsked { job: job.into() });
        self.repeat_cancel(line, job).await
    }

    /// A cancellation that was asked for elsewhere goes on through the balancer.
    pub(crate) async fn cancel_through_balancer(&self, job: &str) -> bool {
        let line = Line::new(&self.fleet, &self.balancer);
        self.repeat_cancel(&line, job).await
    }

    async fn repeat_cancel(&self, line: &Line, job: &str) -> bool {
        let target = format!("{}/{job}/{}", paths::JOBS, paths::CANCEL);
        let began = self.fleet.world.now();
        loop {
            let answer = line.ask("POST", &target, b"", SUBMIT_S).await;
            if let Some(told) = answer
                && self.note_cancel_answer(job, &told)
            {
                return true;
            }
            if self.fleet.world.now() - began > GIVE_UP_S {
                return false;
            }
            sleep(self.around(1.2)).await;
        }
    }

    /// Whether the answer says that the job is over.
    pub(crate) fn note_cancel_answer(&self, job: &str, told: &Told) -> bool {
        let (status, question) = (told.answer.status, Some(told.question));
        let stage = stage(&told.answer).filter(|_| status == 200);
        self.note_stage(job, stage);
        if stage == Some(JobStage::Cancelled) {
            self.troubles.look(job);
        }
        let job = job.to_owned();
        match stage {
            Some(stage @ (JobStage::Cancelled | JobStage::Done)) => {
                self.note(What::CancelTold {
                    job,
                    stage,
                    question,
                });
                true
            }
            _ => {
                if (400..RETRIED_FROM).contains(&status) {
                    self.note(What::CancelRefused {
                        job,
                        status,
                        question,
                    });
                }
                false
            }
        }
    }

    /// Users also ask about jobs that nobody has submitted.
    async fn ask_of_strangers(self: Rc<Self>) {
        let line = Line::new(&self.fleet, &self.balancer);
        loop {
            sleep(self.around(17.0)).await;
            let number = self.rng.borrow_mut().random_range(1_000_000..9_999_999);
            self.poll(&line, &format!("req-{number}")).await;
        }
    }
}

pub(crate) fn stage(answer: &ClientResponse) -> Option<JobStage> {
    decode::<JobStatus>(&answer.body)
        .ok()
        .map(|status| status.state)
}
