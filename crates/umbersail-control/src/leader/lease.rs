//! The leader's lease: until when tasks may be started and heartbeats answered (rule 2).

use std::cell::Cell;
use std::rc::Rc;

use futures::future::join3;
use tracing::debug;
use umbersail_runtime::{Time, sleep};
use umbersail_wire::{Condition, Txn};

use crate::engine::TxnOutcome;
use crate::node::Node;
use crate::records::LEADER_KEY;
use crate::state::{KeyValueError, RequestPriority};

/// While the state service fails, renewals are tried this much sooner.
const FAILING_INTERVAL_SHARE: f64 = 0.4;
/// A start may be under way to a worker for this long, in seconds.
const START_MARGIN_S: Time = 0.1;

/// The leader's lease at the state service, and what it allows on this node's clock. One
/// routine renews it; the front door and the peers' requests read it.
#[derive(Debug)]
pub(crate) struct LeaderLease {
    id: u64,
    /// Version of the leader's key under this lease.
    token: u64,
    start_until: Cell<Time>,
    renew_until: Cell<Time>,
    lost: Cell<bool>,
}

impl LeaderLease {
    pub fn new(id: u64, token: u64, start_until: Time, renew_until: Time) -> LeaderLease {
        LeaderLease {
            id,
            token,
            start_until: Cell::new(start_until),
            renew_until: Cell::new(renew_until),
            lost: Cell::new(false),
        }
    }

    /// Tasks are started before this time, not after.
    pub fn start_until(&self) -> Time {
        self.start_until.get()
    }

    /// Heartbeats are answered before this time, not after: moved by a renewal only once all
    /// that was cancelled before the renewal was sent is known here.
    pub fn renew_until(&self) -> Time {
        self.renew_until.get()
    }

    /// Heartbeats are answered no longer than until then.
    pub fn bound_renewals(&self, until: Time) {
        self.renew_until.set(self.renew_until.get().min(until));
    }

    /// The lease has ended, or the leader's key is not under it any more.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }
}

impl Node {
    pub(super) fn start_end(&self, sent_at: Time) -> Time {
        sent_at + self.tuning.leader_ttl_s * (1.0 - self.tuning.clock_drift) - START_MARGIN_S
    }

    /// Renews the lease until it is lost; counts its time from before each request. A renewal
    /// alone does not prove that the key is still ours, since a follower may replace it: a
    /// comparison does, and both must succeed. For the time to answer workers, what was
    /// cancelled up to then must have been read, too: the watch may be silent, in an outage
    /// or behind a cut, while renewals succeed (rule 2).
    pub(super) async fn keep_lease(self: Rc<Self>, lease: Rc<LeaderLease>, renewal_s: f64) {
        while !lease.is_lost() {
            let failing = self.kv.failing_since().is_some();
            let share = if failing { FAILING_INTERVAL_SHARE } else { 1.0 };
            sleep(self.tuning.leader_renew_s * share).await;
            self.renew_once(&lease, renewal_s).await;
        }
        self.step_down.notify();
    }

    async fn renew_once(&self, lease: &LeaderLease, renewal_s: f64) {
        let sent_at = self.clock.now();
        let key_is_ours = Txn {
            conditions: vec![Condition {
                key: LEADER_KEY.into(),
                version: lease.token,
            }],
            changes: Vec::new(),
        };
        let renewed = self.kv.renew_lease(lease.id, self.tuning.leader_renew_s);
        let compared = self.kv.txn(&key_is_ours, RequestPriority::Critical);
        let read = self.read_job_changes(lease.token);
        let (renewed, compared, read) = join3(renewed, compared, read).await;
        // Without an engine nobody is answered, and what it will know is reckoned when it is
        // there.
        let changes_known = read || self.followed(lease.token).is_none();
        match (renewed, compared) {
            (_, TxnOutcome::Conflict { .. }) | (Err(KeyValueError::Gone), _) => {
                lease.lost.set(true)
            }
            (Ok(()), TxnOutcome::Applied { .. }) => {
                lease.start_until.set(self.start_end(sent_at));
                if changes_known {
                    lease.renew_until.set(sent_at + renewal_s);
                }
            }
            (Ok(()), _) => debug!("lease renewed, and not known whether the key is ours"),
            (Err(e), _) => debug!(reason = %e, "lease not renewed"),
        }
    }
}
