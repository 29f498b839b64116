//! The leader's delegations: which peers may renew workers' leases (`delegate.rs`), and
//! until when, as far as it bears on when a machine has lapsed.

use umbersail_wire::RenewedMachine;

use super::{Engine, Time};

/// A peer's authority to renew leases in our stead, and what it has reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Delegation {
    /// It answers nobody in our stead after this.
    expires_at: Time,
    /// What it answered up to here is known to us.
    reported_until: Time,
    /// The process that told us so started before this; an earlier one may
    /// have answered until then.
    process_started_at: Time,
}

/// Upper bound on the jobs that a peer is told of with a delegation: some 50 KiB in each
/// answer to a greeting, a burst of cancellations of a fleet of 4,000 machines. With more
/// jobs than that nothing is delegated until some of them are gone.
const MAX_FINISHED_JOBS: usize = 4096;

impl Engine {
    /// Jobs that are over of which tasks may still be about: whoever answers workers
    /// in our stead tells them to stop those (rule 2). None while an earlier holder's
    /// starts without a record are not all known, or if there are too many: then
    /// nobody may answer in our stead.
    pub fn finished_jobs(&self) -> Option<Vec<String>> {
        let cancelled = self.jobs.iter().filter(|(_, job)| job.cancelled);
        let ids = cancelled.map(|(id, _)| id).chain(self.orphaned_jobs.jobs());
        let over: Vec<String> = ids
            .take(MAX_FINISHED_JOBS + 1)
            .map(|id| id.to_string())
            .collect();
        (!self.recovery_pending && over.len() <= MAX_FINISHED_JOBS).then_some(over)
    }

    /// This peer may answer in our stead until then.
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

    /// Asked at `asked_at`, a process that has run for `up_s` tells whom it
    /// answered in our stead.
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

    /// Whether a peer may have renewed, unknown to us, a lease that was last
    /// renewed `lease` before `end` as far as we know.
    ///
    /// One peer may have renewed the machine's lease until another took that over: the second
    /// one's word that it renewed nothing counts only if it is from after the first
    /// one's last possible answer and a lease.
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

    /// Whether this peer answers in our stead just now.
    pub fn is_delegate(&self, now: Time, member: &str) -> bool {
        self.delegations
            .get(member)
            .is_some_and(|d| now < d.expires_at)
    }
}
