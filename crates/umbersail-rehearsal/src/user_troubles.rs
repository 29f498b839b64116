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

use crate::history::{EventKind, Question};
use crate::late::Late;
use crate::users::{Told, Users};

/// With close looks, this share of the jobs is cancelled right after acceptance, so many
/// seconds later at most.
const CANCELLED_AT_ONCE: f64 = 0.2;
const AT_ONCE_S: f64 = 0.02;
/// A job's end is looked at from any moment on until it is usually recorded: a worker
/// reports a change up to half a second later.
const RECORDED_S: f64 = 0.6;
/// A direct connection to a controller is given up after so long.
const CONNECT_S: f64 = 0.5;
/// Users wait so long for the answer to a cancellation (PROTOCOL).
const CANCEL_S: f64 = 5.0;
/// The longest answer that users take.
const BODY_BYTES_MOST: usize = 64 << 10;

/// What a trouble wants of the users.
#[derive(Debug, Clone)]
pub enum Order {
    /// Ask about the job at all controllers, from so many seconds from now on.
    Look { job: String, after_s: f64 },
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
pub struct UserTroubles {
    pub looks_closely: Cell<bool>,
    pub sends_odd: Cell<bool>,
    /// Which of the jobs that end are cancelled, and how long after their last task's end.
    pub cancelled_at_end: Cell<Option<Late>>,
    orders: RefCell<Vec<Order>>,
    wake: Rc<Notify>,
    rng: RefCell<ChaCha8Rng>,
    /// Jobs known to be accepted and not known to be over, and those known to be over.
    unfinished: RefCell<BTreeSet<String>>,
    over: RefCell<BTreeMap<String, JobStage>>,
}

impl UserTroubles {
    pub fn new(seed: u64) -> UserTroubles {
        UserTroubles {
            looks_closely: Cell::new(false),
            sends_odd: Cell::new(false),
            cancelled_at_end: Cell::new(None),
            orders: RefCell::default(),
            wake: Rc::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0075_7472_6f75)),
            unfinished: RefCell::default(),
            over: RefCell::default(),
        }
    }

    pub fn order(&self, order: Order) {
        self.orders.borrow_mut().push(order);
        self.wake.notify();
    }

    pub(crate) fn chance<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Somebody was told that the job is accepted.
    pub(crate) fn accepted(&self, job: &str) {
        self.unfinished.borrow_mut().insert(job.to_owned());
        self.look(job);
    }

    /// Somebody was told that the job is over.
    pub(crate) fn is_over(&self, job: &str, stage: JobStage) {
        self.unfinished.borrow_mut().remove(job);
        self.over.borrow_mut().insert(job.to_owned(), stage);
    }

    /// Something of the job that all controllers have to tell from now on was told.
    pub(crate) fn look(&self, job: &str) {
        if self.looks_closely.get() {
            let job = job.to_owned();
            self.order(Order::Look { job, after_s: 0.0 });
        }
    }

    /// After how many seconds an accepted job is cancelled at once, if it is one of those.
    pub(crate) fn cancels_at_once(&self) -> Option<f64> {
        let is_on = self.looks_closely.get();
        let chosen = is_on && self.chance(|rng| rng.random_bool(CANCELLED_AT_ONCE));
        chosen.then(|| self.chance(|rng| rng.random_range(0.0..AT_ONCE_S)))
    }

    /// Any job that is accepted and not known to be over.
    pub(crate) fn any_unfinished(&self) -> Option<String> {
        let jobs = self.unfinished.borrow();
        let index = (!jobs.is_empty()).then(|| self.chance(|r| r.random_range(0..jobs.len())))?;
        jobs.iter().nth(index).cloned()
    }

    /// Any job that is known to be done.
    pub(crate) fn any_done(&self) -> Option<String> {
        let over = self.over.borrow();
        let done = over.iter().filter(|(_, stage)| **stage == JobStage::Done);
        let done: Vec<&String> = done.map(|(job, _)| job).collect();
        let index = (!done.is_empty()).then(|| self.chance(|r| r.random_range(0..done.len())))?;
        Some(done[index].clone())
    }
}

/// A connection of its own, for one question.
fn direct_client() -> Client {
    Client::new(ClientLimits {
        max_body_bytes: BODY_BYTES_MOST,
        max_per_address: 1,
        max_idle: 0,
        max_total: 1,
        connect_timeout_s: CONNECT_S,
    })
}

impl Users {
    /// Carries out orders and follows the ends of jobs, for ever.
    pub(crate) fn follow_troubles(self: &Rc<Self>) {
        spawn(self.clone().carry_out_orders());
        spawn(self.clone().follow_completions());
    }

    async fn carry_out_orders(self: Rc<Self>) {
        loop {
            for order in self.troubles.orders.take() {
                match order {
                    Order::Look { job, after_s } => {
                        spawn(self.clone().look_closely(job, after_s));
                    }
                    Order::Cancel { job, after_s } => {
                        spawn(self.clone().cancel_in(job, after_s));
                    }
                    Order::SendOddRequests => {
                        spawn(self.clone().send_odd_requests());
                    }
                }
            }
            self.troubles.wake.notified().await;
        }
    }

    async fn follow_completions(self: Rc<Self>) {
        let fleet = self.fleet().clone();
        loop {
            for job in fleet.completions.next().await {
                if self.troubles.looks_closely.get() {
                    let after_s = self.troubles.chance(|r| r.random_range(0.0..RECORDED_S));
                    spawn(self.clone().look_closely(job.clone(), after_s));
                }
                let late = self.troubles.cancelled_at_end.get();
                let after_s = late.and_then(|late| self.troubles.chance(|r| late.draw(r)));
                if let Some(after_s) = after_s {
                    spawn(self.clone().cancel_in(job, after_s));
                }
            }
        }
    }

    async fn cancel_in(self: Rc<Self>, job: String, after_s: f64) {
        sleep(after_s).await;
        self.cancel_at_any(&job).await;
    }

    /// Cancels a job at a controller drawn by lot, then through the balancer.
    pub(crate) async fn cancel_at_any(&self, job: &str) -> bool {
        let node = self
            .troubles
            .chance(|r| r.random_range(0..self.nodes().len()));
        self.note_cancel(job);
        let target = format!("{}/{job}/{}", paths::JOBS, paths::CANCEL);
        let told = self.ask_at(node, "POST", &target, b"", CANCEL_S).await;
        if told.is_some_and(|told| self.note_cancel_answer(job, &told)) {
            return true;
        }
        self.cancel_through_balancer(job).await
    }

    /// One question to this controller, on a connection of its own.
    pub(crate) async fn ask_at(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
        wait_s: f64,
    ) -> Option<Told> {
        let sent_s = self.fleet().history.now_s();
        let addr: SocketAddr = self.nodes()[node];
        let answer = direct_client()
            .send(addr, method, target, body, wait_s)
            .await;
        let question = Question { node, sent_s };
        answer.ok().map(|answer| Told { answer, question })
    }

    fn note_cancel(&self, job: &str) {
        (self.fleet().cancelled.borrow_mut()).insert(job.to_owned());
        self.note(EventKind::CancelRequested { job: job.into() });
    }
}
