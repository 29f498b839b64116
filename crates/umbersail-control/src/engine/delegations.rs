//! Delegations of the leader: which peers may renew workers' leases on its behalf
//! (`delegate.rs`) and until when. They decide when a machine's lease has certainly expired.

use umbersail_wire::RenewedMachine;

use super::{Engine, Time};

/// A peer's permission to renew leases on behalf of this leader, and what the peer has
/// reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Delegation {
    /// The peer renews no lease on behalf of this leader after this time.
    expires_at: Time,
    /// The peer has reported all renewals up to this time.
    reported_until: Time,
    /// The peer's process that reported was started before this time; an earlier process of the
    /// peer may have renewed leases until then.
    process_started_at: Time,
}

/// Upper bound on the number of finished jobs sent with a delegation: about 50 KiB in each
/// reply to a peer's hello message, enough for a burst of cancellations in a fleet of 4,000
/// machines. With more jobs nothing is delegated until some of them are removed.
const MAX_FINISHED_JOBS: usize = 4096;

impl Engine {
    /// Finished jobs whose tasks may still run: a peer that answers workers on behalf of this
    /// leader tells them to stop these tasks (rule 2 of `docs/design.md`). `None` if nothing
    /// may be delegated, because an earlier leader started tasks without a record that are not
    /// all known yet, or because there are too many such jobs.
    pub fn finished_jobs(&self) -> Option<Vec<String>> {
        let cancelled = self.jobs.iter().filter(|(_, job)| job.cancelled);
        let ids = cancelled.map(|(id, _)| id).chain(self.orphaned_jobs.jobs());
        let finished: Vec<String> = ids
            .take(MAX_FINISHED_JOBS + 1)
            .map(|id| id.to_string())
            .collect();
        (!self.recovery_pending && finished.len() <= MAX_FINISHED_JOBS).then_some(finished)
    }

    /// Allows the peer to renew leases on behalf of this leader until `until`.
    pub fn delegate_renewals_to(&mut self, member: &str, until: Time) {
        let delegation = self
            .delegations
            .entry(member.to_owned())
            .or_insert(Delegation {
                expires_at: until,
                reported_until: f64::MIN,
                process_started_at: f64::MAX,
            });
        delegation.expires_at = delegation.expires_at.max(until);
    }

    /// Applies a peer's report of the leases that it renewed on behalf of this leader. The
    /// report was requested at `asked_at`; the peer's process has run for `up_s` seconds.
    pub fn record_delegated_renewals(
        &mut self,
        now: Time,
        member: &str,
        asked_at: Time,
        up_s: f64,
        renewed: &[RenewedMachine],
    ) {
        let drift = self.cfg.tuning.clock_drift;
        if let Some(delegation) = self.delegations.get_mut(member) {
            delegation.reported_until = asked_at;
            delegation.process_started_at = now - up_s * (1.0 - drift);
        }
        for entry in renewed {
            let at = now - entry.reply_ago_ms as f64 / 1000.0 * (1.0 - drift);
            if let Some(machine) = self.machines.get_mut(entry.machine.as_str()) {
                machine.last_reply = Some(machine.last_reply.map_or(at, |known| known.max(at)));
            }
        }
    }

    /// Whether peers may have made renewals not yet reported to this leader, so that a lease
    /// may still be valid although, by the renewals known here, it expired at `end`, `lease`
    /// seconds after its last known renewal.
    ///
    /// One peer may have renewed the machine's lease until its delegation ended, and another
    /// peer may have continued: the second peer's report that it renewed nothing is relied on
    /// only if it was made at least one lease duration after the first peer's last possible
    /// reply.
    pub(super) fn may_have_been_renewed(&self, now: Time, end: Time, lease: f64) -> bool {
        let mut end = end;
        loop {
            let unknown = self.delegations.values().filter(|d| {
                d.expires_at > end - lease
                    && d.reported_until < end.max(d.process_started_at + lease)
            });
            let latest = unknown.map(|d| d.expires_at + lease).reduce(f64::max);
            match latest {
                Some(latest) if latest > end => end = latest,
                _ => return now <= end,
            }
        }
    }

    /// Whether this peer may currently renew leases on behalf of this leader.
    pub fn is_delegate(&self, now: Time, member: &str) -> bool {
        self.delegations
            .get(member)
            .is_some_and(|d| now < d.expires_at)
    }
}
