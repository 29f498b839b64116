//! The leader's main loop: ticks, scheduling cycles, and their records as transactions, one
//! under way at a time.

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

/// Pause after a transaction or a read that the state service did not carry out, seconds.
const RETRY_S: Time = 0.2;
/// Heartbeats come in bunches: one look serves all that come within this, in seconds.
const GATHER_S: Time = 0.005;
/// Bounds of the pause while nothing is due, in seconds.
const IDLE_S: (Time, Time) = (0.02, 0.1);

/// When the loop last did what it does at intervals.
struct Pacing {
    last_cycle: Time,
    last_tick: Time,
}

/// What one look at the engine brought up.
struct Step {
    txn: Option<PendingTxn>,
    /// Jobs and parts of the grant whose versions must be read.
    unknown_versions: (Vec<String>, Vec<u32>),
    unread_plans: Vec<String>,
    /// Seconds until the engine wants to be looked at again, if it says.
    next_s: Option<Time>,
}

impl Node {
    /// Turns what is known into placements and records, until this node leads no more.
    pub(super) async fn run_scheduler(self: Rc<Self>, token: u64) {
        let mut pacing = Pacing {
            last_cycle: f64::MIN,
            last_tick: f64::MIN,
        };
        while let Some(step) = self.scheduler_step(token, &mut pacing) {
            if self.degraded_mode.borrow().allows_unrecorded_starts() && step.txn.is_none() {
                // Nothing can be written, or need be: launches go without.
                self.scheduler_progress.notify_all();
                self.raise_tokens(token);
                self.wait_for_work(step.next_s).await;
                continue;
            }
            self.read_unknown(token, step.unknown_versions, step.unread_plans)
                .await;
            if let Some(pending) = step.txn {
                if !self.write(token, pending).await {
                    self.step_down.notify();
                    return;
                }
            } else if self.wait_for_work(step.next_s).await {
                sleep(GATHER_S).await;
            }
        }
    }

    fn scheduler_step(&self, token: u64, pacing: &mut Pacing) -> Option<Step> {
        let now = self.clock.now();
        let (room, spare) = self.kv.write_budget();
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
                txn: engine.next_txn(now, room, spare),
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
        let rested = now - pacing.last_cycle >= self.tuning.cycle_interval_s;
        let is_due = engine.is_mid_cycle() || (engine.needs_scheduling() && rested);
        if !is_due {
            return;
        }
        pacing.last_cycle = now;
        engine.schedule(now);
        charge_cpu(engine.take_steps() as f64 * self.tuning.step_ns * 1e-9);
        self.scheduler_progress.notify_all();
    }

    /// Waits until something has changed; false if only the time was over.
    async fn wait_for_work(&self, next_s: Option<Time>) -> bool {
        let (least_s, most_s) = IDLE_S;
        let wait_s = next_s.unwrap_or(self.tuning.task_end_write_delay_s.clamp(least_s, most_s));
        let woken = pin!(self.scheduler_wakeup.notified());
        matches!(select(woken, pin!(sleep(wait_s))).await, Either::Left(_))
    }

    /// Raises the tokens of machines that have launches ready and report late.
    fn raise_tokens(self: &Rc<Self>, token: u64) {
        let now = self.clock.now();
        let increments = self.with_engine(token, |engine| engine.token_increments(now));
        self.send_tokens(token, increments.unwrap_or_default());
    }

    fn send_tokens(self: &Rc<Self>, token: u64, increments: Vec<FencingCommand>) {
        for increment in increments {
            spawn(self.clone().send_token(token, increment));
        }
    }

    /// Sends a transaction and tells the engine what became of it; false if the leader's key
    /// is not ours.
    async fn write(self: &Rc<Self>, token: u64, pending: PendingTxn) -> bool {
        let outcome = self.kv.txn(&pending.txn, RequestPriority::Background).await;
        if !matches!(outcome, TxnOutcome::Applied { .. }) {
            debug!(?outcome, "transaction");
            if outcome == TxnOutcome::NotExecuted {
                sleep(RETRY_S).await;
            }
        }
        let now = self.clock.now();
        if matches!(outcome, TxnOutcome::Applied { .. }) {
            self.cache_ends(&pending.txn);
        }
        let after = self.with_engine(token, |engine| {
            engine.txn_finished(now, pending, outcome);
            (engine.has_lost_leadership(), engine.token_increments(now))
        });
        self.scheduler_progress.notify_all();
        let Some((false, increments)) = after else {
            return false;
        };
        self.send_tokens(token, increments);
        true
    }

    /// Ends of jobs that are recorded now: their users are told without a read, also
    /// while the state service is out (rule 6).
    fn cache_ends(&self, txn: &Txn<Record>) {
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change
                && let Record::EndedJob(over) = value
                && let Some(id) = key.strip_prefix(ENDED_JOBS)
            {
                self.cache_end(id, *over);
            }
        }
    }

    /// Reads what must be known before it is written again; what can't be read now is asked
    /// for in the next step.
    async fn read_unknown(
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
            let run = self
                .kv
                .get::<JobProgressRecord>(&progress_key, RequestPriority::Background);
            let (run, job) = (run.await?, job?);
            let version = run.map_or(0, |(_, version)| version);
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
