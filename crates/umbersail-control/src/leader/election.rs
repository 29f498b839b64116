//! Leader election. A follower waits until the leader key is deleted or the failure of the
//! leader is confirmed. One transaction then writes the leader key and makes this node the
//! holder of the fleet grant (rule 1 of `docs/design.md`).

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

/// Facts learned from a won election.
#[derive(Debug, Clone, Copy)]
pub(super) struct WonElection {
    /// Revision at which this node received the grant: its fencing token (rule 1).
    pub token: u64,
    /// The previous holder deleted the progress records of ended jobs at once, so orphaned
    /// attempts are unknown and machines count as fully occupied (rule 4).
    pub count_whole_machines: bool,
    /// An earlier holder may have started tasks without a record.
    pub predecessor_degraded: bool,
    /// Plans may be recorded, so they must be read.
    pub plans: bool,
}

/// Whether an earlier process of this member wrote the record.
fn is_from_earlier_process(record: &LeaderRecord, member: &str, incarnation: u64) -> bool {
    record.member == member && record.incarnation != incarnation
}

impl Node {
    /// Waits until this node may campaign. Returns the version of the leader key to
    /// replace, or `None` if no leader key exists.
    ///
    /// A key of an earlier process of this member may be replaced at once: this process
    /// listens on the same addresses, so the earlier one has ended. After an outage the
    /// lease of that key is extended to its full length again, and the fleet need not wait
    /// for its expiry. Once the key is replaced, transactions that the earlier process still
    /// has in flight fail (rule 1).
    pub(crate) async fn wait_to_campaign(self: Rc<Self>) -> Option<u64> {
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
                    if is_from_earlier_process(&record, &self.settings.member, self.incarnation) {
                        info!(
                            token,
                            "replacing the leader key of an earlier process of this member"
                        );
                        return Some(token);
                    }
                    self.observe_leader(&record.member, token);
                    self.leader_key_read.set(Some((token, record.incarnation)));
                    let ended = pin!(self.wait_for_end(token));
                    match select(ended, pin!(self.campaign_requested.notified())).await {
                        Either::Left((true, _)) => return None,
                        Either::Left((false, _)) => {}
                        // The election transaction compares the version of the key, so
                        // it fails if another node has replaced the key (rule 1).
                        Either::Right(_) if self.confirmed_failure.take() == Some(token) => {
                            return Some(token);
                        }
                        Either::Right(_) => {}
                    }
                }
                Ok(None) => return None,
                Err(e) => {
                    debug!(reason = %e, "leader key could not be read");
                    sleep(0.4).await;
                }
            }
        }
    }

    /// Returns true when the watch shows that the leader key was deleted.
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

    /// Tries once to become the leader. After a won election, leads until the term is over.
    pub(crate) async fn campaign(self: Rc<Self>, replaced_version: Option<u64>) {
        if self.machine_types.borrow().is_empty() {
            sleep(0.3).await;
            return;
        }
        let now = self.clock.now();
        if now < self.step_down_backoff_until.get() && self.peer_could_lead(now) {
            sleep(0.3).await;
            return;
        }
        if replaced_version.is_none() {
            // Candidates wait for different times, because simultaneous attempts waste
            // writes. The designated successor has the shortest wait.
            let jitter = random(|rng| rng.random_range(0.0..0.05));
            sleep(self.campaign_rank() as f64 * 0.1 + jitter).await;
        }
        let requested_at = self.clock.now();
        let Ok(lease) = self.kv.grant_lease(self.tuning.leader_ttl_s).await else {
            sleep(0.3).await;
            return;
        };
        self.campaigning.set(true);
        let elected = self.commit_election(lease, replaced_version).await;
        self.campaigning.set(false);
        match elected {
            Some(elected) => self.run_term(lease, requested_at, elected).await,
            None => {
                self.kv.end_lease(lease).await;
                sleep(0.1).await;
            }
        }
    }

    /// Commits the transaction that makes this node the leader and the holder of the fleet
    /// grant. The revision of the transaction becomes the fencing token (rule 1).
    async fn commit_election(
        &self,
        lease: u64,
        replaced_version: Option<u64>,
    ) -> Option<WonElection> {
        let found = self
            .kv
            .get::<GrantRecord>(GRANT_KEY, RequestPriority::Critical)
            .await
            .ok()?;
        let count_whole_machines = found
            .as_ref()
            .is_some_and(|(g, _)| !g.keeps_orphaned_attempts);
        // If no plan was ever configured or recorded, the recovery skips reading plans.
        let plans = self.tuning.has_plans() || found.as_ref().is_some_and(|(grant, _)| grant.plans);
        let version = found.map_or(0, |(_, version)| version);
        // Only an election writes this key. A concurrent election changes the version of the
        // grant, so this transaction would fail.
        let recovery_pending = self
            .kv
            .get::<IgnoredAny>(RECOVERY_PENDING_KEY, RequestPriority::Critical)
            .await
            .ok()?
            .is_some();
        let may_have_unrecorded = version > 0
            && self
                .degraded_mode_record
                .borrow()
                .may_have_unrecorded_starts(version);
        let predecessor_degraded = may_have_unrecorded || recovery_pending;
        let leader = LeaderRecord {
            member: self.settings.member.clone(),
            incarnation: self.incarnation,
        };
        let grant = (version, plans);
        let txn = election_txn(
            leader,
            lease,
            replaced_version.unwrap_or(0),
            grant,
            predecessor_degraded,
        );
        match self.kv.txn(&txn, RequestPriority::Critical).await {
            TxnOutcome::Applied { revision } => Some(WonElection {
                token: revision,
                predecessor_degraded,
                count_whole_machines,
                plans,
            }),
            _ => None,
        }
    }

    /// Whether a peer sent a message recently and reported that it reaches the state service.
    pub(super) fn peer_could_lead(&self, now: Time) -> bool {
        self.peers.borrow().values().any(|p| {
            p.state_reachable
                && p.heard_at
                    .is_some_and(|at| now - at < 3.0 * self.tuning.peer_interval_s)
        })
    }
}
