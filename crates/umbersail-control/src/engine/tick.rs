//! Periodic work that no event triggers: expired leases, reclaim notices, backoff, log lines on
//! long waits.

use tracing::{info, warn};

use super::{Engine, Machine, MachineId, Time};

/// A reclaim notice is dropped if the machine still exists this many seconds after the announced
/// time.
const RECLAIM_GRACE_S: Time = 60.0;

impl Engine {
    /// Runs the periodic work.
    pub fn tick(&mut self, now: Time) {
        if now >= self.next_status_at {
            self.next_status_at = now + self.cfg.tuning.status_log_interval_s;
            info!(status = self.status(now), "machines and jobs");
        }
        self.expire_leases(now);
        self.handle_reclaim_notices(now);
        self.quarantine_machines(now);
        self.tick_plans(now);
        self.count_missed_deadlines(now);
        self.cycle_requested |= std::mem::take(&mut self.jobs_await_image);
        self.end_backoffs(now);
    }

    /// Requeues the tasks of machines whose leases have expired, and drops outdated reclaim
    /// notices.
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
                && now > at + RECLAIM_GRACE_S
            {
                machine.reclaim_at = None;
            }
        }
        for name in expired {
            warn!(
                machine = &*name,
                "no heartbeat until the machine's lease expired: its tasks are requeued"
            );
            self.requeue_machine_tasks(&name);
        }
    }

    /// Whether the lease of a machine that may hold tasks has expired and the expiry has not been
    /// handled yet (rule 3 of `docs/design.md`).
    fn has_expired(&self, now: Time, machine: &Machine) -> bool {
        let holds = machine.inherited || machine.has_orphaned_tasks || !machine.tasks.is_empty();
        if machine.lease_expired || !holds {
            return false;
        }
        let tuning = &self.cfg.tuning;
        let lease_s = self.cfg.lease_s * (1.0 + tuning.clock_drift) + tuning.lease_expiry_margin_s;
        // An earlier leader stops renewing leases renewal_s after it lost the state service,
        // which was before this leader was elected.
        let silenced_at = self.elected_at + self.cfg.renewal_s() * (1.0 + tuning.clock_drift);
        let end = machine.latest_renewal(silenced_at) + lease_s;
        now > end && !self.may_have_been_renewed(now, end, lease_s)
    }

    /// Ends backoffs whose time is over, and logs jobs that have waited for long.
    fn end_backoffs(&mut self, now: Time) {
        let mut any_ended = false;
        for (id, job) in &mut self.jobs {
            if job.backoff_until.is_some_and(|at| now >= at) {
                job.backoff_until = None;
                any_ended = true;
            }
            let since = job.last_progress.max(job.submitted_at);
            let log_after_s = job.next_wait_log_s.max(self.cfg.tuning.long_wait_log_s);
            if job.pending() > 0 && now - since > log_after_s {
                job.next_wait_log_s = 2.0 * (now - since);
                // Machines where the job failed may be the only ones that it can run on.
                job.avoided_machines.clear();
                info!(
                    job = &**id,
                    waited_s = (now - since) as u64,
                    pending = job.pending(),
                    reason = %job.blocked_reason,
                    "job has waited for long"
                );
            }
        }
        if any_ended {
            self.mark_jobs_waiting();
        }
    }
}
