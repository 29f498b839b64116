//! Elections: a follower waits until the leader's key is gone or its failure is confirmed,
//! then one transaction makes it the leader and moves the grant (rule 1).

use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use rand::Rng;
use serde::de::IgnoredAny;
use tracing::{debug, info};
use umbersail_runtime::{Time, random, sleep};

use crate::engine::TxnOutcome;
use crate::node::Node;
use crate::records::{
    GRANT_KEY, GrantRecord, LEADER_KEY, LeaderRecord, RECOVERY_PENDING_KEY, election_txn,
};
use crate::state::{KeyValueError, RequestPriority};

/// What the election shows.
#[derive(Debug, Clone, Copy)]
pub(super) struct Elected {
    /// The revision of our grant (rule 1).
    pub token: u64,
    /// The holder before us kept no progress of jobs that are over (rule 4).
    pub whole_machines: bool,
    /// A holder before us may have started tasks that no record tells of.
    pub predecessor_degraded: bool,
    /// Plans may be recorded.
    pub plans: bool,
}

/// Whether a process of ours that has ended since wrote this record.
fn is_former_self(record: &LeaderRecord, member: &str, incarnation: u64) -> bool {
    record.member == member && record.incarnation != incarnation
}

impl Node {
    /// Waits until no leader's key exists, or only that of our former self, whose
    /// version is returned. That one is dead: we have its addresses. After an
    /// outage its lease has its full time again, for which the fleet need not
    /// wait; the key is replaced, so what it left under way fails (rule 1).
    pub(crate) async fn follow(self: Rc<Self>) -> Option<u64> {
        loop {
            let found = self
                .kv
                .get::<LeaderRecord>(LEADER_KEY, RequestPriority::Background)
                .await;
            match found {
                Ok(Some((record, token))) => {
                    self.degraded_mode_record
                        .borrow_mut()
                        .observe_leader_key(token);
                    if is_former_self(&record, &self.settings.member, self.incarnation) {
                        info!(token, "the leader's key is of our former self: taken over");
                        return Some(token);
                    }
                    self.observe_leader(&record.member, token);
                    self.leader_key_read.set(Some((token, record.incarnation)));
                    let ended = pin!(self.wait_for_end(token));
                    match select(ended, pin!(self.campaign_requested.notified())).await {
                        Either::Left((true, _)) => return None,
                        Either::Left((false, _)) => {}
                        // Its version in the transaction of our election makes
                        // certain that nobody else has replaced it (rule 1).
                        Either::Right(_) if self.confirmed_failure.take() == Some(token) => {
                            return Some(token);
                        }
                        Either::Right(_) => {}
                    }
                }
                Ok(None) => return None,
                Err(e) => {
                    debug!(reason = %e, "leader's key not readable");
                    sleep(0.4).await;
                }
            }
        }
    }

    /// True when the watch shows that the leader's key is gone.
    async fn wait_for_end(&self, revision: u64) -> bool {
        let mut from = revision;
        loop {
            match self
                .kv
                .watch::<LeaderRecord>(LEADER_KEY, from, self.tuning.watch_timeout_s)
                .await
            {
                Ok(result) => {
                    from = from.max(result.revision);
                    match result.events.last() {
                        Some(event) if event.delete.is_some() => return true,
                        Some(_) => return false,
                        None => {}
                    }
                }
                Err(KeyValueError::Gone) => return false,
                Err(_) => {
                    sleep(0.3).await;
                    return false;
                }
            }
        }
    }

    /// Tries once to become the leader; if it does, leads until that is over.
    pub(crate) async fn campaign(self: Rc<Self>, former: Option<u64>) {
        if self.machine_types.borrow().is_empty() {
            sleep(0.3).await;
            return;
        }
        let now = self.clock.now();
        if now < self.step_down_backoff_until.get() && self.a_peer_could_lead(now) {
            sleep(0.3).await;
            return;
        }
        if former.is_none() {
            // Apart from one another, or all try at once and waste writes; the one
            // that is to lead goes first.
            let jitter = random(|rng| rng.random_range(0.0..0.05));
            sleep(self.campaign_rank() as f64 * 0.1 + jitter).await;
        }
        let asked_at = self.clock.now();
        let Ok(lease) = self.kv.grant_lease(self.tuning.leader_ttl_s).await else {
            sleep(0.3).await;
            return;
        };
        self.campaigning.set(true);
        let elected = self.commit_election(lease, former).await;
        self.campaigning.set(false);
        match elected {
            Some(elected) => self.run_term(lease, asked_at, elected).await,
            None => {
                self.kv.end_lease(lease).await;
                sleep(0.1).await;
            }
        }
    }

    /// One transaction makes us the leader and moves the block here; its
    /// revision is the block's token (rule 1).
    async fn commit_election(&self, lease: u64, former: Option<u64>) -> Option<Elected> {
        let found = self
            .kv
            .get::<GrantRecord>(GRANT_KEY, RequestPriority::Critical)
            .await
            .ok()?;
        let whole_machines = found
            .as_ref()
            .is_some_and(|(g, _)| !g.keeps_orphaned_attempts);
        // Without any, nobody needs to look for some.
        let plans = self.tuning.has_plans() || found.as_ref().is_some_and(|(grant, _)| grant.plans);
        let version = found.map_or(0, |(_, version)| version);
        // Written by an election only, which the grant's version excludes.
        let recovery_pending = self
            .kv
            .get::<IgnoredAny>(RECOVERY_PENDING_KEY, RequestPriority::Critical)
            .await
            .ok()?
            .is_some();
        let open = version > 0
            && self
                .degraded_mode_record
                .borrow()
                .may_have_unrecorded_starts(version);
        let predecessor_degraded = open || recovery_pending;
        let leader = LeaderRecord {
            member: self.settings.member.clone(),
            incarnation: self.incarnation,
        };
        let grant = (version, plans);
        let txn = election_txn(
            leader,
            lease,
            former.unwrap_or(0),
            grant,
            predecessor_degraded,
        );
        match self.kv.txn(&txn, RequestPriority::Critical).await {
            TxnOutcome::Applied { revision } => Some(Elected {
                token: revision,
                predecessor_degraded,
                whole_machines,
                plans,
            }),
            _ => None,
        }
    }

    pub(super) fn a_peer_could_lead(&self, now: Time) -> bool {
        self.peers.borrow().values().any(|p| {
            p.state_reachable
                && p.heard_at
                    .is_some_and(|at| now - at < 3.0 * self.tuning.peer_interval_s)
        })
    }
}
