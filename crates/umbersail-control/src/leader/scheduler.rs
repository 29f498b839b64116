//! The leader's main loop: periodic engine ticks, scheduling cycles, and the transactions
//! that record their results. At most one transaction is in flight.

use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use serde::de::IgnoredAny;
use tracing::debug;
use umbersail_runtime::{Time, charge_cpu, sleep, spawn};
use umbersail_wire::{Change, Txn, Value};

use crate::engine::{Engine, FencingCommand, PendingTxn, TxnOutcome};
use crate::node::Node;
use crate::records::{
    ENDED_JOBS, JobProgressRecord, JobRecord, Record, grant_part_key, job_key, plan_key,
    progress_key,
};
use crate::state::{KeyValueError, RequestPriority};

/// Pause after a transaction or a read that the state service did not execute, in seconds.
const RETRY_S: Time = 0.2;
/// Heartbeats arrive in bursts: one scheduler step handles all heartbeats that arrive within
/// this time, in seconds.
const BATCH_S: Time = 0.005;
/// Lower and upper bound of the pause while nothing is due, in seconds.
const IDLE_RANGE_S: (Time, Time) = (0.02, 0.1);

/// Times of the last scheduling cycle and the last engine tick.
struct Pacing {
    last_cycle: Time,
    last_tick: Time,
}

/// Pending work of the engine, as found by one scheduler step.
struct Step {
    /// The next transaction to commit.
    txn: Option<PendingTxn>,
    /// Ids of jobs and indices of grant parts whose versions must be read.
    unknown_versions: (Vec<String>, Vec<u32>),
    /// Names of plans that must be read.
    unread_plans: Vec<String>,
    /// Seconds until the engine needs the next step, if the engine needs one.
    next_s: Option<Time>,
}

impl Node {
    /// Schedules tasks and writes records until this node is no longer the leader.
    pub(super) async fn run_scheduler(self: Rc<Self>, token: u64) {
        let mut pacing = Pacing {
            last_cycle: f64::MIN,
            last_tick: f64::MIN,
        };
        while let Some(step) = self.scheduler_step(token, &mut pacing) {
            if self.degraded_mode.borrow().allows_unrecorded_starts() && step.txn.is_none() {
                // In degraded mode tasks are started without a record. Either nothing can be
                // written now, or nothing needs to be written.
                self.scheduler_progress.notify_all();
                self.send_increased_tokens(token);
                self.wait_for_work(step.next_s).await;
                continue;
            }
            self.read_missing(token, step.unknown_versions, step.unread_plans)
                .await;
            if let Some(pending) = step.txn {
                if !self.write(token, pending).await {
                    self.step_down.notify();
                    return;
                }
            } else if self.wait_for_work(step.next_s).await {
                sleep(BATCH_S).await;
            }
        }
    }

    /// Runs the engine's tick and scheduling cycle if they are due, and collects the pending
    /// work. Returns `None` if this node no longer leads under `token`.
    fn scheduler_step(&self, token: u64, pacing: &mut Pacing) -> Option<Step> {
        let now = self.clock.now();
        let (budget, background_budget) = self.kv.write_budget();
        self.with_engine(token, |engine| {
            self.tick_if_due(now, engine, pacing);
            self.schedule_if_due(now, engine, pacing);
            let next_s = match (engine.is_mid_cycle(), engine.needs_scheduling()) {
                (true, _) => Some(self.tuning.slice_pause_s),
                (false, true) => Some(self.tuning.cycle_interval_s),
                (false, false) => None,
            };
            if self.degraded_mode.borrow().allows_unrecorded_starts()
                && self.kv.failing_since().is_some()
            {
                return Step {
                    txn: None,
                    unknown_versions: Default::default(),
                    unread_plans: Vec::new(),
                    next_s,
                };
            }
            Step {
                txn: engine.next_txn(now, budget, background_budget),
                unknown_versions: engine.unknown_versions(),
                unread_plans: engine.unread_plans(),
                next_s,
            }
        })
    }

    fn tick_if_due(&self, now: Time, engine: &mut Engine, pacing: &mut Pacing) {
        if now - pacing.last_tick < self.tuning.tick_s {
            return;
        }
        pacing.last_tick = now;
        engine.set_wall_clock(now, self.clock.unix_ms());
        engine.tick(now);
        self.reserve_sockets_for(engine.machine_count());
    }

    fn schedule_if_due(&self, now: Time, engine: &mut Engine, pacing: &mut Pacing) {
        let interval_passed = now - pacing.last_cycle >= self.tuning.cycle_interval_s;
        let is_due = engine.is_mid_cycle() || (engine.needs_scheduling() && interval_passed);
        if !is_due {
            return;
        }
        pacing.last_cycle = now;
        engine.schedule(now);
        charge_cpu(engine.take_steps() as f64 * self.tuning.step_ns * 1e-9);
        self.scheduler_progress.notify_all();
    }

    /// Waits until the engine state changes. Returns false if the wait timed out.
    async fn wait_for_work(&self, next_s: Option<Time>) -> bool {
        let (min_s, max_s) = IDLE_RANGE_S;
        let wait_s = next_s.unwrap_or(self.tuning.task_end_write_delay_s.clamp(min_s, max_s));
        let wakeup = pin!(self.scheduler_wakeup.notified());
        matches!(select(wakeup, pin!(sleep(wait_s))).await, Either::Left(_))
    }

    /// Sends increased tokens to machines that have launches ready but whose heartbeats are
    /// late.
    fn send_increased_tokens(self: &Rc<Self>, token: u64) {
        let now = self.clock.now();
        let increments = self.with_engine(token, |engine| engine.token_increments(now));
        self.send_tokens(token, increments.unwrap_or_default());
    }

    fn send_tokens(self: &Rc<Self>, token: u64, increments: Vec<FencingCommand>) {
        for increment in increments {
            spawn(self.clone().send_token(token, increment));
        }
    }

    /// Commits a transaction and passes the outcome to the engine. Returns false if the leader
    /// key no longer belongs to this node, or the term is over.
    async fn write(self: &Rc<Self>, token: u64, pending: PendingTxn) -> bool {
        let outcome = self.kv.txn(&pending.txn, RequestPriority::Background).await;
        if !matches!(outcome, TxnOutcome::Applied { .. }) {
            debug!(?outcome, "transaction not applied");
            if outcome == TxnOutcome::NotExecuted {
                sleep(RETRY_S).await;
            }
        }
        let now = self.clock.now();
        if matches!(outcome, TxnOutcome::Applied { .. }) {
            self.cache_ends(&pending.txn);
        }
        let after_commit = self.with_engine(token, |engine| {
            engine.txn_finished(now, pending, outcome);
            (engine.has_lost_leadership(), engine.token_increments(now))
        });
        self.scheduler_progress.notify_all();
        let Some((false, increments)) = after_commit else {
            return false;
        };
        self.send_tokens(token, increments);
        true
    }

    /// Caches the ends of jobs that the transaction recorded. Polls for these jobs are then
    /// answered without a read, also while the state service is unavailable (rule 6 of
    /// `docs/design.md`).
    fn cache_ends(&self, txn: &Txn<Record>) {
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change
                && let Record::EndedJob(end) = value
                && let Some(id) = key.strip_prefix(ENDED_JOBS)
            {
                self.cache_end(id, *end);
            }
        }
    }

    /// Reads the records whose versions the engine needs for its next writes. The next step
    /// retries reads that failed.
    async fn read_missing(
        &self,
        token: u64,
        (jobs, parts): (Vec<String>, Vec<u32>),
        plans: Vec<String>,
    ) {
        if self.read_versions(token, jobs, parts).await.is_err() {
            sleep(RETRY_S).await;
        }
        if self.read_plans(token, plans).await.is_err() {
            sleep(RETRY_S).await;
        }
    }

    async fn read_versions(
        &self,
        token: u64,
        jobs: Vec<String>,
        parts: Vec<u32>,
    ) -> Result<(), KeyValueError> {
        for id in jobs {
            let (job_key, progress_key) = (job_key(&id), progress_key(&id));
            let job = self
                .kv
                .get::<JobRecord>(&job_key, RequestPriority::Background);
            let job = job.await;
            let progress = self
                .kv
                .get::<JobProgressRecord>(&progress_key, RequestPriority::Background);
            let (progress, job) = (progress.await?, job?);
            let version = progress.map_or(0, |(_, version)| version);
            self.with_engine(token, |e| e.version_read(&id, job.is_some(), version));
        }
        for index in parts {
            let key = grant_part_key(index);
            let found = self
                .kv
                .get::<IgnoredAny>(&key, RequestPriority::Background)
                .await?;
            let version = found.map_or(0, |(_, version)| version);
            self.with_engine(token, |e| e.part_read(index, version));
        }
        Ok(())
    }

    async fn read_plans(&self, token: u64, names: Vec<String>) -> Result<(), KeyValueError> {
        for name in names {
            let key = plan_key(&name);
            let found = self
                .kv
                .get::<Value>(&key, RequestPriority::Background)
                .await?;
            let now = self.clock.now();
            self.with_engine(token, |e| e.plan_read(now, &name, found));
        }
        Ok(())
    }
}
