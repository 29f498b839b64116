//! The leader's lease: how long the leader may start tasks and answer heartbeats (rule 2 of
//! `docs/design.md`).

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

/// Factor on the renewal interval while requests to the state service fail.
const FAILING_INTERVAL_FACTOR: f64 = 0.4;
/// Longest time that a start command takes to reach a worker, in seconds.
const START_MARGIN_S: Time = 0.1;

/// The leader's lease in the state service, and the deadlines that follow from the lease on
/// this node's clock. One task renews the lease; the handlers of public requests and of
/// requests from other controllers read it.
#[derive(Debug)]
pub(crate) struct LeaderLease {
    id: u64,
    /// Version of the leader key that is attached to this lease.
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

    /// Deadline for starting tasks.
    pub fn start_until(&self) -> Time {
        self.start_until.get()
    }

    /// Deadline for answering heartbeats. A renewal extends the deadline only once this node
    /// knows every cancellation made before the renewal was sent.
    pub fn renew_until(&self) -> Time {
        self.renew_until.get()
    }

    /// Moves the deadline for answering heartbeats to `until` if that is earlier.
    pub fn bound_renewals(&self, until: Time) {
        self.renew_until.set(self.renew_until.get().min(until));
    }

    /// Whether the lease has expired, or the leader key is no longer attached to it.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }
}

impl Node {
    /// Deadline for starting tasks under a lease that was requested or renewed at `sent_at`.
    /// The deadline allows for clock drift, and for start commands in flight.
    pub(super) fn start_deadline(&self, sent_at: Time) -> Time {
        sent_at + self.tuning.leader_ttl_s * (1.0 - self.tuning.clock_drift) - START_MARGIN_S
    }

    /// Renews the lease until it is lost. The new duration counts from before the request
    /// was sent.
    ///
    /// A successful renewal does not prove that the leader key still belongs to this node,
    /// since a follower may have replaced the key. A transaction therefore compares the
    /// version of the key, and both requests must succeed. The deadline for answering
    /// heartbeats moves only if the cancellations up to the renewal were read as well: in an
    /// outage or a network partition the watch may deliver nothing while renewals succeed
    /// (rule 2).
    pub(super) async fn keep_lease(self: Rc<Self>, lease: Rc<LeaderLease>, renewal_s: f64) {
        while !lease.is_lost() {
            let failing = self.kv.failing_since().is_some();
            let factor = if failing {
                FAILING_INTERVAL_FACTOR
            } else {
                1.0
            };
            sleep(self.tuning.leader_renew_s * factor).await;
            self.renew_once(&lease, renewal_s).await;
        }
        self.step_down.notify();
    }

    /// Makes one attempt to renew the lease, and updates its deadlines.
    async fn renew_once(&self, lease: &LeaderLease, renewal_s: f64) {
        let sent_at = self.clock.now();
        let key_unchanged = Txn {
            conditions: vec![Condition {
                key: LEADER_KEY.into(),
                version: lease.token,
            }],
            changes: Vec::new(),
        };
        let renewed = self.kv.renew_lease(lease.id, self.tuning.leader_renew_s);
        let compared = self.kv.txn(&key_unchanged, RequestPriority::Critical);
        let read = self.read_job_changes(lease.token);
        let (renewed, compared, read) = join3(renewed, compared, read).await;
        // Before the engine exists no heartbeat is answered. `run_term` bounds the deadline
        // by the time at which the jobs were read.
        let changes_known = read || self.known_jobs_revision(lease.token).is_none();
        match (renewed, compared) {
            (_, TxnOutcome::Conflict { .. }) | (Err(KeyValueError::Gone), _) => {
                lease.lost.set(true)
            }
            (Ok(()), TxnOutcome::Applied { .. }) => {
                lease.start_until.set(self.start_deadline(sent_at));
                if changes_known {
                    lease.renew_until.set(sent_at + renewal_s);
                }
            }
            (Ok(()), _) => debug!("lease renewed, but the owner of the leader key is unknown"),
            (Err(e), _) => debug!(reason = %e, "lease renewal failed"),
        }
    }
}
