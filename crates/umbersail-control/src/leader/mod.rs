//! Leadership: one term, from the election to its end, and the tasks that run during the
//! term.
//!
//! [`election`] wins a term, [`recovery`] reads the records of the previous leader, and the
//! other modules hold the tasks of a term. All tasks are cancelled when the term ends.

mod cloud;
mod election;
mod fencing;
mod jobs;
mod lease;
mod recovery;
mod scheduler;

use std::fmt;
use std::pin::pin;
use std::rc::Rc;

use futures::future::select;
use tracing::{info, warn};
use umbersail_runtime::{Time, sleep};

use crate::engine::Engine;
use crate::node::{LeaderState, Node, Role, TaskGroup};
use election::WonElection;
pub(crate) use lease::LeaderLease;
use recovery::RecoveredState;

/// Interval at which a leader checks whether its term is over, in seconds.
const TERM_CHECK_S: Time = 0.5;
/// Pause after a term, in seconds, which lets another controller win the next election.
const AFTER_TERM_S: Time = 0.2;
/// A leader that receives no heartbeats steps down after this share of a worker's lease.
const UNREACHABLE_LEASE_SHARE: f64 = 0.3;

/// Why a term ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TermEnd {
    Superseded,
    WriteRefused,
    LeaseLost,
    Overloaded,
    Unreachable,
    NotLeading,
}

impl fmt::Display for TermEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TermEnd::Superseded => "a newer leader was observed",
            TermEnd::WriteRefused => {
                "a write was rejected: the leader key does not belong to this node"
            }
            TermEnd::LeaseLost => {
                "the lease expired, or the leader key does not belong to this node"
            }
            TermEnd::Overloaded => "this node is overloaded and hands leadership over",
            TermEnd::Unreachable => "no worker can reach this node",
            TermEnd::NotLeading => "this node is not the leader",
        })
    }
}

impl Node {
    /// Runs `f` on the engine if this node leads under the given token.
    pub(crate) fn with_engine<R>(&self, token: u64, f: impl FnOnce(&mut Engine) -> R) -> Option<R> {
        match &mut *self.role.borrow_mut() {
            Role::Leading(leading) if leading.engine.revision() == token => {
                Some(f(&mut leading.engine))
            }
            _ => None,
        }
    }

    /// Leads until the term is over. The lease lasts from `requested_at`, the time at which it
    /// was requested.
    async fn run_term(self: Rc<Self>, lease_id: u64, requested_at: Time, elected: WonElection) {
        let token = elected.token;
        self.apply_rate_limits(true);
        self.observe_leader(&self.settings.member, token);
        info!(
            token,
            predecessor_degraded = elected.predecessor_degraded,
            "elected as leader"
        );
        let cfg = Rc::new(self.engine_config());
        let lease = Rc::new(LeaderLease::new(
            lease_id,
            token,
            self.start_deadline(requested_at),
            requested_at + cfg.renewal_s(),
        ));
        let mut tasks = TaskGroup::default();
        tasks.start(self.clone().keep_lease(lease.clone(), cfg.renewal_s()));
        if let Some(recovered) = self.recover_state(elected, &lease).await {
            let RecoveredState { inheritance, .. } = recovered;
            // Jobs cancelled after this read are not known yet, so heartbeats must not be
            // answered for longer than one renewal interval after the read (rule 2 of
            // `docs/design.md`).
            lease.bound_renewals(recovered.jobs_read_at + cfg.renewal_s());
            let now = self.clock.now();
            let engine = Engine::new(cfg, now, self.clock.unix_ms(), inheritance);
            info!(
                token,
                jobs = engine.job_count(),
                took_s = now - requested_at,
                "state recovered"
            );
            *self.role.borrow_mut() = Role::Leading(Box::new(LeaderState::new(
                engine,
                lease.clone(),
                recovered.revision,
            )));
            self.clone().start_term_tasks(token, &mut tasks);
            self.role_changed.notify_all();
            let reason = self.wait_for_term_end(&lease).await;
            warn!(token, %reason, "leadership ended");
        }
        tasks.cancel();
        self.leave_term(lease_id, token).await;
    }

    fn start_term_tasks(self: Rc<Self>, token: u64, tasks: &mut TaskGroup) {
        tasks.start(self.clone().run_scheduler(token));
        tasks.start(self.clone().watch_jobs(token));
        tasks.start(self.clone().run_cloud(token));
        tasks.start(self.clone().run_fencing(token));
        tasks.start(self.clone().answer_liveness_probes(token));
        tasks.start(self.run_degraded_mode(token));
    }

    /// Ends the term: becomes a follower, ends the lease, and pauses before the next campaign.
    async fn leave_term(&self, lease_id: u64, token: u64) {
        // Kept for the case that this node also wins the next election: whether it may have
        // started tasks without a record.
        let unrecorded =
            std::mem::take(&mut *self.degraded_mode.borrow_mut()).may_have_unrecorded_starts();
        self.degraded_mode_record.borrow_mut().on_own_term_ended(
            self.clock.now(),
            token,
            unrecorded,
        );
        *self.role.borrow_mut() = Role::Following;
        self.set_resigning(false);
        self.role_changed.notify_all();
        self.apply_rate_limits(false);
        self.kv.end_lease(lease_id).await;
        sleep(AFTER_TERM_S).await;
    }

    /// Waits until the term is over, and returns the reason.
    async fn wait_for_term_end(&self, lease: &LeaderLease) -> TermEnd {
        let elected_at = self.clock.now();
        let mut no_heartbeat_since: Option<Time> = None;
        let mut paused = false;
        loop {
            let wakeup = pin!(self.step_down.notified());
            let _ = select(wakeup, pin!(sleep(TERM_CHECK_S))).await;
            let now = self.clock.now();
            if let Some(end) = self.term_end(now, lease, elected_at) {
                return end;
            }
            // A leader that can't reach the state service can't end its lease there. It tells
            // its peers that it resigns, and one of them replaces the leader key.
            self.set_resigning(self.is_isolated_from_state());
            paused = self.log_pause(now, lease, paused);
            if self.is_unreachable_by_workers(now, &mut no_heartbeat_since) {
                return TermEnd::Unreachable;
            }
        }
    }

    /// Returns why the term is over, if this node itself has a reason to end it now.
    fn term_end(&self, now: Time, lease: &LeaderLease, elected_at: Time) -> Option<TermEnd> {
        match &*self.role.borrow() {
            Role::Following => return Some(TermEnd::NotLeading),
            Role::Leading(leading) if leading.superseded.get() => {
                return Some(TermEnd::Superseded);
            }
            Role::Leading(leading) if leading.engine.has_lost_leadership() => {
                return Some(TermEnd::WriteRefused);
            }
            Role::Leading(_) => {}
        }
        if lease.is_lost() {
            return Some(TermEnd::LeaseLost);
        }
        if self.is_overloaded(elected_at) {
            let backoff_s = self.tuning.hand_over_after_s;
            self.step_down_backoff_until.set(now + backoff_s);
            return Some(TermEnd::Overloaded);
        }
        None
    }

    /// Logs when the node stops answering heartbeats and when it resumes. Heartbeats are
    /// refused after the renewal time, but the node keeps trying to renew the lease: if a
    /// renewal succeeds after an outage, no other node can have been elected, and scheduling
    /// resumes under the same token.
    fn log_pause(&self, now: Time, lease: &LeaderLease, was_paused: bool) -> bool {
        let paused = now >= lease.renew_until();
        match (was_paused, paused) {
            (false, true) => {
                warn!("state service unavailable for too long: heartbeats are refused");
            }
            (true, false) => info!("state service available again: heartbeats are answered"),
            _ => {}
        }
        paused
    }

    /// Whether this node has received no heartbeats for so long that another controller
    /// should lead. If only this node is cut off from the workers, they lose their tasks as
    /// long as it stays leader, although they reach every other controller.
    fn is_unreachable_by_workers(&self, now: Time, since: &mut Option<Time>) -> bool {
        let (live, all) = match &*self.role.borrow() {
            Role::Leading(leading) => leading.engine.live_machine_counts(now),
            Role::Following => (0, 0),
        };
        if all < 2 || live > 0 || !self.peer_could_lead(now) {
            *since = None;
            return false;
        }
        let since = *since.get_or_insert(now);
        now - since > self.settings.facts.workers.lease_s * UNREACHABLE_LEASE_SHARE
    }
}
