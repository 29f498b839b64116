//! Duties without an event of their own: expired leases, notices, back-off, long waits.

use tracing::{info, warn};

use super::{Engine, Time};

impl Engine {
    /// TaskGroup that no event brings up.
    pub fn tick(&mut self, now: Time) {
        if now >= self.next_status {
            self.next_status = now + self.cfg.tuning.status_s;
            info!(status = self.status(now), "block");
        }
        let cfg = self.cfg.clone();
        let tuning = &cfg.tuning;
        let lease = cfg.lease_s * (1.0 + tuning.drift) + tuning.lapse_margin_s;
        let silenced_at = self.elected_at + cfg.renewal_s() * (1.0 + tuning.drift);
        let mut lapsed = Vec::new();
        for (name, machine) in &self.machines {
            let holds = machine.inherited || machine.strangers || !machine.tasks.is_empty();
            if machine.lapsed || !holds {
                continue;
            }
            // An earlier holder stops renewal_s after it lost the state service,
            // which was before we were elected (rule 3).
            let end = machine.renewed_by(silenced_at) + lease;
            if now > end && !self.may_be_renewed(now, end, lease) {
                lapsed.push(name.clone());
            }
        }
        for (name, machine) in &mut self.machines {
            machine.lapsed |= lapsed.binary_search(name).is_ok();
            if let Some(at) = machine.notice_until
                && now > at + 60.0
            {
                machine.notice_until = None;
            }
        }
        for name in lapsed {
            warn!(
                machine = &*name,
                "silent until its lease has lapsed: its tasks start elsewhere"
            );
            self.clear_machine(&name);
        }
        self.handle_notices(now);
        self.quarantine(now);
        self.tick_plans(now);
        self.count_late(now);
        self.schedule_wanted |= std::mem::take(&mut self.awaiting);
        let long_wait = tuning.long_wait_s;
        let mut rested = false;
        for (id, job) in &mut self.jobs {
            if job.backoff_until.is_some_and(|at| now >= at) {
                job.backoff_until = None;
                rested = true;
            }
            let since = job.last_progress.max(job.submitted);
            if job.pending() > 0 && now - since > job.next_wait_log.max(long_wait) {
                job.next_wait_log = 2.0 * (now - since);
                // What failed it once may be all that there is.
                job.error_machines.clear();
                info!(
                    job = &**id,
                    waited_s = (now - since) as u64,
                    pending = job.pending(),
                    reason = job.blocked,
                    "waits long"
                );
            }
        }
        if rested {
            self.note_waiting();
        }
    }
}
