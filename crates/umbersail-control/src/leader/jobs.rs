//! How the leader learns of accepted and cancelled jobs: by a watch on the job keys, and by
//! reads.

use std::rc::Rc;

use tracing::debug;
use umbersail_runtime::sleep;
use umbersail_wire::WatchResult;

use crate::node::{Node, Role};
use crate::records::{JOBS, JobRecord};
use crate::state::{KeyValueError, RequestPriority};

impl Node {
    /// Returns the revision up to which the engine knows all accepted and cancelled jobs, or
    /// `None` if this node is not the leader under `token`.
    pub(super) fn known_jobs_revision(&self, token: u64) -> Option<u64> {
        match &*self.role.borrow() {
            Role::Leading(leading) if leading.engine.revision() == token => {
                Some(leading.jobs_revision.get())
            }
            _ => None,
        }
    }

    /// Passes accepted and cancelled jobs to the engine, in the order of revisions. Events
    /// that an earlier response already delivered are skipped. `result` must hold all changes
    /// since a revision that the engine knew when the request was sent.
    fn apply_job_changes(&self, token: u64, result: WatchResult<JobRecord>) {
        let Some(known) = self.known_jobs_revision(token) else {
            return;
        };
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        self.with_engine(token, |engine| {
            for event in result.events.into_iter().filter(|e| e.version > known) {
                if let (Some(_), Some(record)) = (&event.put, event.value) {
                    engine.job_accepted(now, unix_ms, record, event.version);
                } else if let Some(key) = &event.delete {
                    engine.job_key_removed(&key[JOBS.len().min(key.len())..]);
                }
            }
        });
        if let Role::Leading(leading) = &*self.role.borrow() {
            leading.jobs_revision.set(known.max(result.revision));
        }
        self.scheduler_wakeup.notify();
    }

    /// Reads the jobs accepted and cancelled up to now. Returns false if the read failed.
    pub(super) async fn read_job_changes(&self, token: u64) -> bool {
        let Some(from) = self.known_jobs_revision(token) else {
            return false;
        };
        match self.kv.changes_since::<JobRecord>(JOBS, from).await {
            Ok(result) => {
                self.apply_job_changes(token, result);
                true
            }
            Err(e) => {
                debug!(reason = %e, "reading accepted and cancelled jobs failed");
                false
            }
        }
    }

    /// Watches the job keys, and passes accepted and cancelled jobs to the engine.
    pub(super) async fn watch_jobs(self: Rc<Self>, token: u64) {
        while let Some(from) = self.known_jobs_revision(token) {
            let timeout_s = self.tuning.watch_timeout_s;
            match self.kv.watch::<JobRecord>(JOBS, from, timeout_s).await {
                Ok(result) => self.apply_job_changes(token, result),
                Err(KeyValueError::Gone) => self.list_jobs(token).await,
                Err(_) => sleep(0.3).await,
            }
        }
    }

    /// Lists all jobs. Used when the state service no longer holds the changes since the
    /// revision that the engine knows.
    async fn list_jobs(&self, token: u64) {
        let listed = self
            .kv
            .list::<JobRecord>(JOBS, RequestPriority::Background)
            .await;
        let Ok((pairs, revision)) = listed else {
            return;
        };
        if self
            .known_jobs_revision(token)
            .is_none_or(|known| known > revision)
        {
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
