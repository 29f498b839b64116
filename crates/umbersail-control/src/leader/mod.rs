//! Leadership: one term, from the election to its end, and the routines that run in it.
//!
//! [`election`] wins a term, [`recovery`] reads what the predecessor left, and the routines
//! of a term are in the other modules. All of them end together with the term.

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
use election::Elected;
pub(crate) use lease::LeaderLease;
use recovery::Recovered;

/// How often a leader looks whether its term is over, in seconds.
const TERM_CHECK_S: Time = 0.5;
/// Pause after a term, so that a peer may win the next election, in seconds.
const AFTER_TERM_S: Time = 0.2;
/// Share of a worker's lease after which a leader that no worker reaches steps down.
const UNREACHED_SHARE: f64 = 0.3;

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
            TermEnd::Superseded => "another leader was heard of",
            TermEnd::WriteRefused => "a write was refused: the leader's key is not ours",
            TermEnd::LeaseLost => "the lease ended, or the leader's key is not ours",
            TermEnd::Overloaded => "overloaded: hands over",
            TermEnd::Unreachable => "no worker reaches this node",
            TermEnd::NotLeading => "not leading",
        })
    }
}

impl Node {
    /// Runs `f` on the engine while this node leads with this token.
    pub(crate) fn with_engine<R>(&self, token: u64, f: impl FnOnce(&mut Engine) -> R) -> Option<R> {
        match &mut *self.role.borrow_mut() {
            Role::Leading(leading) if leading.engine.revision() == token => {
                Some(f(&mut leading.engine))
            }
            _ => None,
        }
    }

    /// Leads until the term is over. The lease's time counts from `asked_at`, when it was
    /// asked for.
    async fn run_term(self: Rc<Self>, lease_id: u64, asked_at: Time, elected: Elected) {
        let token = elected.token;
        self.apply_rate_limits(true);
        self.observe_leader(&self.settings.member, token);
        info!(
            token,
            predecessor_degraded = elected.predecessor_degraded,
            "takes over as leader"
        );
        let cfg = Rc::new(self.engine_config());
        let lease = Rc::new(LeaderLease::new(
            lease_id,
            token,
            self.start_end(asked_at),
            asked_at + cfg.renewal_s(),
        ));
        let mut tasks = TaskGroup::default();
        tasks.start(self.clone().keep_lease(lease.clone(), cfg.renewal_s()));
        if let Some(recovered) = self.read_predecessor(elected, &lease).await {
            let Recovered { inheritance, .. } = recovered;
            // What was cancelled since is not known yet (rule 2).
            lease.bound_renewals(recovered.jobs_read_at + cfg.renewal_s());
            let now = self.clock.now();
            let engine = Engine::new(cfg, now, self.clock.unix_ms(), inheritance);
            info!(
                token,
                jobs = engine.job_count(),
                took_s = now - asked_at,
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
            warn!(token, %reason, "leadership is over");
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

    async fn leave_term(&self, lease_id: u64, token: u64) {
        // What we know of our own starts, should we succeed ourselves.
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

    async fn wait_for_term_end(&self, lease: &LeaderLease) -> TermEnd {
        let elected_at = self.clock.now();
        let mut unreached_since: Option<Time> = None;
        let mut paused = false;
        loop {
            let woken = pin!(self.step_down.notified());
            let _ = select(woken, pin!(sleep(TERM_CHECK_S))).await;
            let now = self.clock.now();
            if let Some(end) = self.term_end(now, lease, elected_at) {
                return end;
            }
            // We can't end our lease then: peers replace the key at our word.
            self.set_resigning(self.is_isolated_from_state());
            paused = self.log_pause(now, lease, paused);
            if self.is_unreached(now, &mut unreached_since) {
                return TermEnd::Unreachable;
            }
        }
    }

    /// Why the term is over now, if it is for this node's own reasons.
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

    /// Past the renewal time heartbeats are refused, but the lease is still renewed: if that
    /// succeeds after an outage nobody else can have been elected, and scheduling resumes
    /// under the same token.
    fn log_pause(&self, now: Time, lease: &LeaderLease, was_paused: bool) -> bool {
        let paused = now >= lease.renew_until();
        match (was_paused, paused) {
            (false, true) => warn!("without the state service for too long: reports are refused"),
            (true, false) => info!("the state service is back: reports are answered"),
            _ => {}
        }
        paused
    }

    /// Whether no worker has reached this node for so long that one whom they reach shall
    /// lead: workers that reach every other controller would lose their tasks.
    fn is_unreached(&self, now: Time, since: &mut Option<Time>) -> bool {
        let (live, all) = match &*self.role.borrow() {
            Role::Leading(leading) => leading.engine.live_machine_counts(now),
            Role::Following => (0, 0),
        };
        if all < 2 || live > 0 || !self.a_peer_could_lead(now) {
            *since = None;
            return false;
        }
        let since = *since.get_or_insert(now);
        now - since > self.settings.facts.workers.lease_s * UNREACHED_SHARE
    }
}
