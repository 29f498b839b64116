//! What the leader learns of accepted and cancelled jobs, by a watch and by reads.

use std::rc::Rc;

use tracing::debug;
use umbersail_runtime::sleep;
use umbersail_wire::WatchResult;

use crate::node::{Node, Role};
use crate::records::{JOBS, JobRecord};
use crate::state::{KeyValueError, RequestPriority};

impl Node {
    /// How far the engine knows what was accepted and cancelled, if we lead.
    pub(super) fn followed(&self, token: u64) -> Option<u64> {
        match &*self.role.borrow() {
            Role::Leading(leading) if leading.engine.revision() == token => {
                Some(leading.jobs_revision.get())
            }
            _ => None,
        }
    }

    /// Tells the engine of jobs accepted and cancelled, in the order of revisions,
    /// whichever answer comes first. The changes must be all since a revision that
    /// the engine knew when they were asked for.
    fn apply_job_changes(&self, token: u64, result: WatchResult<JobRecord>) {
        let Some(followed) = self.followed(token) else {
            return;
        };
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        self.with_engine(token, |engine| {
            for event in result.events.into_iter().filter(|e| e.version > followed) {
                if let (Some(_), Some(record)) = (&event.put, event.value) {
                    engine.job_accepted(now, unix_ms, record, event.version);
                } else if let Some(key) = &event.delete {
                    engine.job_key_removed(&key[JOBS.len().min(key.len())..]);
                }
            }
        });
        if let Role::Leading(leading) = &*self.role.borrow() {
            leading.jobs_revision.set(followed.max(result.revision));
        }
        self.scheduler_wakeup.notify();
    }

    /// Reads what was accepted and cancelled up to now; false if that is not known.
    pub(super) async fn read_job_changes(&self, token: u64) -> bool {
        let Some(from) = self.followed(token) else {
            return false;
        };
        match self.kv.changes_since::<JobRecord>(JOBS, from).await {
            Ok(result) => {
                self.apply_job_changes(token, result);
                true
            }
            Err(e) => {
                debug!(reason = %e, "accepted and cancelled jobs not read");
                false
            }
        }
    }

    /// Hears of accepted and cancelled jobs.
    pub(super) async fn watch_jobs(self: Rc<Self>, token: u64) {
        while let Some(from) = self.followed(token) {
            let hold_s = self.tuning.watch_timeout_s;
            match self.kv.watch::<JobRecord>(JOBS, from, hold_s).await {
                Ok(result) => self.apply_job_changes(token, result),
                Err(KeyValueError::Gone) => self.list_jobs(token).await,
                Err(_) => sleep(0.3).await,
            }
        }
    }

    /// The changes since what we know are not to be had any more.
    async fn list_jobs(&self, token: u64) {
        let listed = self
            .kv
            .list::<JobRecord>(JOBS, RequestPriority::Background)
            .await;
        let Ok((pairs, revision)) = listed else {
            return;
        };
        if self.followed(token).is_none_or(|known| known > revision) {
            return;
        }
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let ended = |id: &str| self.terminal_cache.borrow().get(id).is_some();
        let records = pairs
            .into_iter()
            .filter(|p| !ended(&p.value.spec.id))
            .map(|p| (p.value, p.version))
            .collect();
        self.with_engine(token, |e| e.jobs_listed(now, unix_ms, records));
        if let Role::Leading(leading) = &*self.role.borrow() {
            leading.jobs_revision.set(revision);
        }
        self.scheduler_wakeup.notify();
    }
}
