//! Faults that act through users: bursts of requests about a job, cancellations at critical
//! moments, and odd requests. The scenario's faults issue commands, which run on the users' host.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_http::{Client, ClientLimits};
use umbersail_runtime::{Notify, sleep, spawn};
use umbersail_wire::{JobStage, paths};

use crate::delays::DelayFault;
use crate::history::{EventKind, Question};
use crate::users::{Exchange, Users};

/// While query bursts are on, this share of the jobs is cancelled right after acceptance.
const EARLY_CANCEL_SHARE: f64 = 0.2;
/// Latest time of such a cancellation after acceptance, in seconds.
const EARLY_CANCEL_S: f64 = 0.02;
/// A query burst after a job's last task starts within this many seconds. The end of the job is
/// usually recorded by then, because a worker reports a change up to half a second later.
const RECORDED_S: f64 = 0.6;
/// Timeout of connecting directly to a controller, in seconds.
const CONNECT_S: f64 = 0.5;
/// Timeout of a cancellation, in seconds (PROTOCOL).
const CANCEL_S: f64 = 5.0;
/// Maximum size of a reply that users accept.
const MAX_BODY_BYTES: usize = 64 << 10;

/// A command of a fault to the users.
#[derive(Debug, Clone)]
pub enum UserCommand {
    /// Send a query burst for the job to all controllers, `after_s` seconds from now.
    QueryAll { job: String, after_s: f64 },
    /// Cancel the job, `after_s` seconds from now.
    Cancel { job: String, after_s: f64 },
    /// Send odd requests until the fault ends.
    SendOddRequests,
}

/// Queue of the jobs whose last task has completed.
#[derive(Default)]
pub struct Completions {
    /// Whether completions are added at all.
    pub is_watched: Cell<bool>,
    jobs: RefCell<Vec<String>>,
    wake: Rc<Notify>,
}

impl Completions {
    /// Adds a job whose last task has just completed.
    pub fn add(&self, job: &str) {
        self.jobs.borrow_mut().push(job.to_owned());
        self.wake.notify();
    }

    /// Waits until there are completed jobs, and takes them.
    async fn next(&self) -> Vec<String> {
        while self.jobs.borrow().is_empty() {
            self.wake.notified().await;
        }
        self.jobs.take()
    }
}

/// The active faults of users, and what all users together know about jobs.
pub struct UserFaults {
    /// Whether query bursts are sent when a job is accepted, completes or is cancelled.
    pub query_bursts: Cell<bool>,
    /// Whether odd requests are sent.
    pub sends_odd_requests: Cell<bool>,
    /// Which of the completed jobs are cancelled, and how long after the end of the last task.
    pub cancelled_at_end: Cell<Option<DelayFault>>,
    commands: RefCell<Vec<UserCommand>>,
    wake: Rc<Notify>,
    rng: RefCell<ChaCha8Rng>,
    /// Jobs known to be accepted and not known to be finished.
    unfinished: RefCell<BTreeSet<String>>,
    /// Jobs known to be finished.
    finished: RefCell<BTreeMap<String, JobStage>>,
}

impl UserFaults {
    /// Creates the state with all faults off.
    pub fn new(seed: u64) -> UserFaults {
        UserFaults {
            query_bursts: Cell::new(false),
            sends_odd_requests: Cell::new(false),
            cancelled_at_end: Cell::new(None),
            commands: RefCell::default(),
            wake: Rc::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0075_7472_6f75)),
            unfinished: RefCell::default(),
            finished: RefCell::default(),
        }
    }

    /// Adds a command, which runs on the users' host.
    pub fn issue(&self, command: UserCommand) {
        self.commands.borrow_mut().push(command);
        self.wake.notify();
    }

    /// Draws with the random generator of user faults.
    pub(crate) fn draw_random<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Called when a user receives an acceptance of the job.
    pub(crate) fn accepted(&self, job: &str) {
        self.unfinished.borrow_mut().insert(job.to_owned());
        self.query_all(job);
    }

    /// Called when a user receives a reply that the job is done or cancelled.
    pub(crate) fn finished_as(&self, job: &str, stage: JobStage) {
        self.unfinished.borrow_mut().remove(job);
        self.finished.borrow_mut().insert(job.to_owned(), stage);
    }

    /// Sends a query burst, if these are on. Called when a user received an answer that all
    /// controllers must be consistent with from now on.
    pub(crate) fn query_all(&self, job: &str) {
        if self.query_bursts.get() {
            let job = job.to_owned();
            self.issue(UserCommand::QueryAll { job, after_s: 0.0 });
        }
    }

    /// Draws whether an accepted job is cancelled early, and after how many seconds.
    pub(crate) fn draw_early_cancel(&self) -> Option<f64> {
        let is_on = self.query_bursts.get();
        let chosen = is_on && self.draw_random(|rng| rng.random_bool(EARLY_CANCEL_SHARE));
        chosen.then(|| self.draw_random(|rng| rng.random_range(0.0..EARLY_CANCEL_S)))
    }

    /// Returns a random job that is accepted and not known to be finished.
    pub(crate) fn any_unfinished(&self) -> Option<String> {
        let jobs = self.unfinished.borrow();
        let index =
            (!jobs.is_empty()).then(|| self.draw_random(|r| r.random_range(0..jobs.len())))?;
        jobs.iter().nth(index).cloned()
    }

    /// Returns a random job that is known to be done.
    pub(crate) fn any_done(&self) -> Option<String> {
        let finished = self.finished.borrow();
        let done = finished
            .iter()
            .filter(|(_, stage)| **stage == JobStage::Done);
        let done: Vec<&String> = done.map(|(job, _)| job).collect();
        let index =
            (!done.is_empty()).then(|| self.draw_random(|r| r.random_range(0..done.len())))?;
        Some(done[index].clone())
    }
}

/// Returns a client for a single request on a separate connection.
fn direct_client() -> Client {
    Client::new(ClientLimits {
        max_body_bytes: MAX_BODY_BYTES,
        max_per_address: 1,
        max_idle: 0,
        max_total: 1,
        connect_timeout_s: CONNECT_S,
    })
}

impl Users {
    /// Starts the tasks that run commands and react to completed jobs.
    pub(crate) fn run_faults(self: &Rc<Self>) {
        spawn(self.clone().run_commands());
        spawn(self.clone().follow_completions());
    }

    async fn run_commands(self: Rc<Self>) {
        loop {
            for command in self.faults.commands.take() {
                match command {
                    UserCommand::QueryAll { job, after_s } => {
                        spawn(self.clone().query_all_controllers(job, after_s));
                    }
                    UserCommand::Cancel { job, after_s } => {
                        spawn(self.clone().cancel_after(job, after_s));
                    }
                    UserCommand::SendOddRequests => {
                        spawn(self.clone().send_odd_requests());
                    }
                }
            }
            self.faults.wake.notified().await;
        }
    }

    async fn follow_completions(self: Rc<Self>) {
        let fleet = self.fleet().clone();
        loop {
            for job in fleet.completions.next().await {
                if self.faults.query_bursts.get() {
                    let after_s = self.faults.draw_random(|r| r.random_range(0.0..RECORDED_S));
                    spawn(self.clone().query_all_controllers(job.clone(), after_s));
                }
                let delay = self.faults.cancelled_at_end.get();
                let after_s = delay.and_then(|delay| self.faults.draw_random(|r| delay.draw(r)));
                if let Some(after_s) = after_s {
                    spawn(self.clone().cancel_after(job, after_s));
                }
            }
        }
    }

    async fn cancel_after(self: Rc<Self>, job: String, after_s: f64) {
        sleep(after_s).await;
        self.cancel_at_any(&job).await;
    }

    /// Cancels a job at a random controller and, if the reply does not say that the job is
    /// finished, through the load balancer. Returns whether the job is known to be finished.
    pub(crate) async fn cancel_at_any(&self, job: &str) -> bool {
        let node = self
            .faults
            .draw_random(|r| r.random_range(0..self.nodes().len()));
        self.note_cancel(job);
        let target = format!("{}/{job}/{}", paths::JOBS, paths::CANCEL);
        let exchange = self.send_to(node, "POST", &target, b"", CANCEL_S).await;
        if exchange.is_some_and(|exchange| self.note_cancel_answer(job, &exchange)) {
            return true;
        }
        self.cancel_through_balancer(job).await
    }

    /// Sends one request to this controller on a separate connection.
    pub(crate) async fn send_to(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
        wait_s: f64,
    ) -> Option<Exchange> {
        let sent_s = self.fleet().history.now_s();
        let addr: SocketAddr = self.nodes()[node];
        let answer = direct_client()
            .send(addr, method, target, body, wait_s)
            .await;
        let question = Question { node, sent_s };
        answer.ok().map(|answer| Exchange { answer, question })
    }

    fn note_cancel(&self, job: &str) {
        (self.fleet().cancelled.borrow_mut()).insert(job.to_owned());
        self.record(EventKind::CancelRequested { job: job.into() });
    }
}
