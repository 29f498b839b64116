//! Duties without an event of their own: expired leases, notices, back-off, long waits.

use tracing::{info, warn};

use super::{Engine, Machine, MachineId, Time};

/// A notice is forgotten this long after the machine should have been taken, in seconds.
const NOTICE_GRACE_S: Time = 60.0;

impl Engine {
    /// Duties that no event brings up.
    pub fn tick(&mut self, now: Time) {
        if now >= self.next_status_at {
            self.next_status_at = now + self.cfg.tuning.status_log_interval_s;
            info!(status = self.status(now), "block");
        }
        self.expire_leases(now);
        self.handle_reclaim_notices(now);
        self.quarantine_machines(now);
        self.tick_plans(now);
        self.count_missed_deadlines(now);
        self.cycle_requested |= std::mem::take(&mut self.jobs_await_image);
        self.end_backoffs(now);
    }

    /// Machines that were silent until their leases expired: their tasks start elsewhere.
    /// Notices of machines that are still there a minute later are forgotten.
    fn expire_leases(&mut self, now: Time) {
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| self.has_expired(now, machine))
            .map(|machine| machine.name.clone())
            .collect();
        for (name, machine) in &mut self.machines {
            machine.lease_expired |= expired.binary_search(name).is_ok();
            if let Some(at) = machine.reclaim_at
                && now > at + NOTICE_GRACE_S
            {
                machine.reclaim_at = None;
            }
        }
        for name in expired {
            warn!(
                machine = &*name,
                "silent until its lease has lapsed: its tasks start elsewhere"
            );
            self.clear_machine(&name);
        }
    }

    /// Whether the lease of a machine that may hold something has expired just now (rule 3).
    fn has_expired(&self, now: Time, machine: &Machine) -> bool {
        let holds = machine.inherited || machine.has_orphaned_tasks || !machine.tasks.is_empty();
        if machine.lease_expired || !holds {
            return false;
        }
        let tuning = &self.cfg.tuning;
        let lease_s = self.cfg.lease_s * (1.0 + tuning.clock_drift) + tuning.lease_expiry_margin_s;
        // An earlier holder stops renewal_s after it lost the state service,
        // which was before we were elected.
        let silenced_at = self.elected_at + self.cfg.renewal_s() * (1.0 + tuning.clock_drift);
        let end = machine.latest_renewal(silenced_at) + lease_s;
        now > end && !self.may_have_been_renewed(now, end, lease_s)
    }

    /// Ends pauses that are over, and logs jobs that have waited for long.
    fn end_backoffs(&mut self, now: Time) {
        let mut rested = false;
        for (id, job) in &mut self.jobs {
            if job.backoff_until.is_some_and(|at| now >= at) {
                job.backoff_until = None;
                rested = true;
            }
            let since = job.last_progress.max(job.submitted_at);
            let log_after_s = job.next_wait_log_s.max(self.cfg.tuning.long_wait_log_s);
            if job.pending() > 0 && now - since > log_after_s {
                job.next_wait_log_s = 2.0 * (now - since);
                // What failed it once may be all that there is.
                job.avoided_machines.clear();
                info!(
                    job = &**id,
                    waited_s = (now - since) as u64,
                    pending = job.pending(),
                    reason = %job.blocked_reason,
                    "waits long"
                );
            }
        }
        if rested {
            self.mark_jobs_waiting();
        }
    }
}
