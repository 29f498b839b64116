//! What troubles make users do beside waiting for their jobs: they look closely, cancel
//! at bad moments, and send requests that are odd. Orders come from the script of
//! failures; they are carried out on the users' host.

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
use crate::history::{Question, What};
use crate::users::{Exchange, Users};

/// With close looks, this share of the jobs is cancelled right after acceptance, so many
/// seconds later at most.
const EARLY_CANCEL_SHARE: f64 = 0.2;
const EARLY_CANCEL_S: f64 = 0.02;
/// A job's end is looked at from any moment on until it is usually recorded: a worker
/// reports a change up to half a second later.
const RECORDED_S: f64 = 0.6;
/// A direct connection to a controller is given up after so long.
const CONNECT_S: f64 = 0.5;
/// Users wait so long for the answer to a cancellation (PROTOCOL).
const CANCEL_S: f64 = 5.0;
/// The longest answer that users take.
const MAX_BODY_BYTES: usize = 64 << 10;

/// What a trouble wants of the users.
#[derive(Debug, Clone)]
pub enum UserCommand {
    /// Ask about the job at all controllers, from so many seconds from now on.
    QueryAll { job: String, after_s: f64 },
    /// Cancel the job so many seconds from now.
    Cancel { job: String, after_s: f64 },
    /// Send odd requests until the trouble ends.
    SendOddRequests,
}

/// Jobs whose last task completed, for those who watch for it.
#[derive(Default)]
pub struct Completions {
    pub is_watched: Cell<bool>,
    jobs: RefCell<Vec<String>>,
    wake: Rc<Notify>,
}

impl Completions {
    /// The last task of the job has just completed.
    pub fn add(&self, job: &str) {
        self.jobs.borrow_mut().push(job.to_owned());
        self.wake.notify();
    }

    async fn next(&self) -> Vec<String> {
        while self.jobs.borrow().is_empty() {
            self.wake.notified().await;
        }
        self.jobs.take()
    }
}

/// Which of these troubles is on, and what users know of each other's jobs.
pub struct UserFaults {
    pub query_bursts: Cell<bool>,
    pub sends_odd_requests: Cell<bool>,
    /// Which of the jobs that end are cancelled, and how long after their last task's end.
    pub cancelled_at_end: Cell<Option<DelayFault>>,
    commands: RefCell<Vec<UserCommand>>,
    wake: Rc<Notify>,
    rng: RefCell<ChaCha8Rng>,
    /// Jobs known to be accepted and not known to be finished, and those known to be finished.
    unfinished: RefCell<BTreeSet<String>>,
    finished: RefCell<BTreeMap<String, JobStage>>,
}

impl UserFaults {
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

    pub fn issue(&self, order: UserCommand) {
        self.commands.borrow_mut().push(order);
        self.wake.notify();
    }

    pub(crate) fn draw_random<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Somebody was told that the job is accepted.
    pub(crate) fn accepted(&self, job: &str) {
        self.unfinished.borrow_mut().insert(job.to_owned());
        self.query_all(job);
    }

    /// Somebody was told that the job is finished.
    pub(crate) fn finished_as(&self, job: &str, stage: JobStage) {
        self.unfinished.borrow_mut().remove(job);
        self.finished.borrow_mut().insert(job.to_owned(), stage);
    }

    /// Something of the job that all controllers have to tell from now on was told.
    pub(crate) fn query_all(&self, job: &str) {
        if self.query_bursts.get() {
            let job = job.to_owned();
            self.issue(UserCommand::QueryAll { job, after_s: 0.0 });
        }
    }

    /// After how many seconds an accepted job is cancelled at once, if it is one of those.
    pub(crate) fn draw_early_cancel(&self) -> Option<f64> {
        let is_on = self.query_bursts.get();
        let chosen = is_on && self.draw_random(|rng| rng.random_bool(EARLY_CANCEL_SHARE));
        chosen.then(|| self.draw_random(|rng| rng.random_range(0.0..EARLY_CANCEL_S)))
    }

    /// Any job that is accepted and not known to be finished.
    pub(crate) fn any_unfinished(&self) -> Option<String> {
        let jobs = self.unfinished.borrow();
        let index =
            (!jobs.is_empty()).then(|| self.draw_random(|r| r.random_range(0..jobs.len())))?;
        jobs.iter().nth(index).cloned()
    }

    /// Any job that is known to be done.
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

/// A connection of its own, for one question.
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
    /// Carries out orders and follows the ends of jobs, for ever.
    pub(crate) fn run_faults(self: &Rc<Self>) {
        spawn(self.clone().run_commands());
        spawn(self.clone().follow_completions());
    }

    async fn run_commands(self: Rc<Self>) {
        loop {
            for order in self.faults.commands.take() {
                match order {
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
                let late = self.faults.cancelled_at_end.get();
                let after_s = late.and_then(|late| self.faults.draw_random(|r| late.draw(r)));
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

    /// Cancels a job at a controller drawn by lot, then through the balancer.
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

    /// One question to this controller, on a connection of its own.
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
        self.record(What::CancelAsked { job: job.into() });
    }
}
