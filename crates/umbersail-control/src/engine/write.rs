//! Transactions with the state service: one under way at a time, each on the
//! condition of the leader's key, so that a late one fails.

use std::collections::{BTreeMap, BTreeSet};

use tracing::info;
use umbersail_policy::{Bitmap, TeamLimits};
use umbersail_standby::OrphanedAttempts;
use umbersail_wire::{Change, Condition, TaskState, Txn, Value};

use super::grant::WrittenPart;
use super::plans::WrittenPlan;
use super::{Engine, Job, JobId, MachineId, Placement, Time};
use crate::records::{
    EndedJobRecord, GRANT_PARTS, JOB_PROGRESS, JOBS, JobProgressRecord, LEADER_KEY, Outcome, PLANS,
    RECOVERY_PENDING_KEY, Record, ended_job_key, job_key, progress_key,
};

/// What a transaction writes of one job, to be remembered once it stands.
#[derive(Debug, Clone)]
enum WriteEffect {
    Run {
        id: JobId,
        high: u32,
        hosts: BTreeSet<MachineId>,
        done: Bitmap,
        evictions: u32,
    },
    JobEnded(JobId),
    /// The progress of a job that is over is gone.
    RunDeleted(JobId),
    /// Nothing runs that no record tells of.
    RecoveryCompleted,
}

/// A transaction on its way.
#[derive(Debug, Clone)]
pub struct PendingTxn {
    /// What is sent.
    pub txn: Txn<Record>,
    effects: Vec<WriteEffect>,
    parts: Vec<WrittenPart>,
    plans: Vec<WrittenPlan>,
}

/// What is known of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// It was applied.
    Applied {
        /// The revision of all its changes.
        revision: u64,
    },
    /// These keys did not have the version that was asked for.
    Conflict {
        /// The keys.
        failed: Vec<String>,
    },
    /// The service says that it did nothing.
    NotExecuted,
    /// No answer: it may have been applied, or may be later.
    Unknown,
}

/// Bytes of one transaction: the protocol's 64 KiB less room for its frame.
pub(super) const TXN_BYTES: usize = 48 * 1024;
/// What a record and its conditions take beside the text of their parts.
const RECORD_BYTES: usize = 400;
/// What one machine's name takes in a record.
const HOST_BYTES: usize = 24;

/// Why a job's record is written, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WritePriority {
    /// A launch or a stop waits for it, or an end has waited long. By age: a
    /// job's launches gather in one record while it waits, ends do not, and ends
    /// that gave way to launches were told too late.
    Launch,
    End,
    /// Either of work that gives way: a guest's thousands of single tasks would take
    /// all that can be written, so they leave half of the bucket to others.
    BestEffort,
    /// Nobody waits: results stay with their workers until they are recorded.
    Progress,
}

/// A job whose record is due, and since when it has changed.
struct DueJob {
    priority: WritePriority,
    dirty_since: Time,
    id: JobId,
}

/// How much one transaction may carry.
struct TxnLimits {
    /// Changes in all.
    max_changes: usize,
    /// Changes that the state service takes at once.
    capacity: usize,
    /// Of those, for writes that nobody waits for.
    background_capacity: usize,
    /// Somebody waits for one of the records.
    urgent: bool,
}

/// A transaction as it grows, with what its writing means to the engine.
struct TxnBuilder {
    txn: Txn<Record>,
    effects: Vec<WriteEffect>,
    bytes: usize,
}

impl TxnBuilder {
    fn new(leader_version: u64) -> TxnBuilder {
        let mut builder = TxnBuilder {
            txn: Txn {
                conditions: Vec::new(),
                changes: Vec::new(),
            },
            effects: Vec::new(),
            bytes: 0,
        };
        builder.require(LEADER_KEY.into(), leader_version);
        builder
    }

    fn require(&mut self, key: String, version: u64) {
        self.txn.conditions.push(Condition { key, version });
    }

    fn put(&mut self, key: String, value: Record) {
        self.txn.changes.push(Change::Put {
            key,
            value,
            lease: None,
        });
    }

    fn delete(&mut self, key: String) {
        self.txn.changes.push(Change::Delete { key });
    }
}

/// What a record of progress takes in a transaction.
fn run_record_bytes(record: &JobProgressRecord) -> usize {
    RECORD_BYTES + record.done.len() + record.hosts.len() * HOST_BYTES
}

/// The record of an unfinished job's progress, as it should stand.
fn run_record(job: &Job, teams: &[TeamLimits]) -> JobProgressRecord {
    let running = |p: &&Placement| p.observed_state.is_some_and(|s| s == TaskState::Running);
    JobProgressRecord {
        high_water: job.first_unplanned.max(job.recorded_first_unplanned),
        done: job.done.to_text(),
        hosts: job.machines().iter().map(|h| h.to_string()).collect(),
        evictions: job.evictions,
        done_count: job.done.count(),
        running: job.placements.values().filter(running).count() as u32,
        orphaned_attempts: job.extra_attempts(),
        team: job.team.map_or_else(String::new, |t| teams[t].name.clone()),
        size: Some((job.shape.cpus, job.shape.gpus, job.shape.memory_gb)),
        suspect: job.suspected_faulty,
    }
}

impl Engine {
    /// Attempts of a completed job that are still about become strangers and are
    /// stopped. They count from now on, not from the next report, and until their
    /// machines show that they are gone (rule 4).
    fn record_orphaned_attempts(&mut self, id: &JobId, job: &Job) {
        let mut machines: BTreeMap<MachineId, Option<(u64, u64)>> = BTreeMap::new();
        if job.inherited_extra_attempts() > 0 {
            machines.extend(job.inherited_machines.iter().map(|m| (m.clone(), None)));
        }
        for (task, placement) in &job.placements {
            if let Some(machine) = self.machines.get_mut(&placement.machine) {
                machine.remove_task(id, *task, &job.shape, job.image);
                if placement.may_be_known_to_worker() {
                    machine.has_orphaned_tasks = true;
                    machines.insert(placement.machine.clone(), Some(machine.heartbeat_order));
                }
            }
        }
        self.orphaned_jobs.insert(
            id.clone(),
            OrphanedAttempts {
                team: job.team,
                shape: Some(job.shape),
                attempts: job.extra_attempts(),
                machines,
            },
        );
    }

    /// The next transaction, if one is due. `room` is how many changes the
    /// state service takes at once; of those, `spare` may go to writes that
    /// nobody waits for. What somebody waits for goes first and in small
    /// transactions: a large one waits for its turn as a whole.
    pub fn next_txn(&mut self, now: Time, room: usize, spare: usize) -> Option<PendingTxn> {
        if self.txn_in_flight || self.leadership_lost {
            return None;
        }
        let due = self.due_jobs(now, spare);
        let urgent = due
            .iter()
            .any(|job| job.priority != WritePriority::Progress);
        let limits = TxnLimits {
            max_changes: (self.cfg.max_txn_changes).min(if urgent { room.max(2) } else { spare }),
            capacity: room,
            background_capacity: spare,
            urgent,
        };
        let mut builder = TxnBuilder::new(self.leader_version);
        let parts = self.write_due_parts(&mut builder.txn, due.is_empty() && spare > 0);
        builder.bytes += parts.iter().map(WrittenPart::bytes).sum::<usize>();
        self.write_due_jobs(&mut builder, due, &limits);
        let plans = self.write_due_plans(now, &mut builder, &limits);
        self.delete_run_records(&mut builder, &limits);
        self.write_recovery_complete(&mut builder);
        if builder.txn.changes.is_empty() {
            return None;
        }
        self.txn_in_flight = true;
        Some(PendingTxn {
            txn: builder.txn,
            effects: builder.effects,
            parts,
            plans,
        })
    }

    /// Jobs whose records are due, the most urgent first.
    fn due_jobs(&self, now: Time, spare: usize) -> Vec<DueJob> {
        let mut due: Vec<DueJob> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.cancelled && job.run_version.is_some())
            .filter_map(|(id, job)| {
                let since = job.dirty_since?;
                Some(DueJob {
                    priority: self.write_priority(job, now - since, spare)?,
                    dirty_since: since,
                    id: id.clone(),
                })
            })
            .collect();
        due.sort_by(|a, b| {
            a.priority
                .cmp(&b.priority)
                .then(a.dirty_since.total_cmp(&b.dirty_since))
                .then(a.id.cmp(&b.id))
        });
        due
    }

    /// Why a job's record that changed `age_s` ago is written now, if it is.
    fn write_priority(&self, job: &Job, age_s: f64, spare: usize) -> Option<WritePriority> {
        let tuning = &self.cfg.tuning;
        let due = if job.is_complete() && age_s < tuning.job_end_write_deadline_s {
            WritePriority::End
        } else if job.is_complete() || job.is_write_urgent() {
            WritePriority::Launch
        } else if spare > 0 && age_s >= tuning.task_end_write_delay_s {
            WritePriority::Progress
        } else {
            return None;
        };
        match due {
            WritePriority::Launch | WritePriority::End if job.spec.is_best_effort() => {
                Some(WritePriority::BestEffort)
            }
            due => Some(due),
        }
    }

    fn write_due_jobs(&mut self, builder: &mut TxnBuilder, due: Vec<DueJob>, limits: &TxnLimits) {
        for DueJob {
            priority: due, id, ..
        } in due
        {
            let max_changes = match due {
                WritePriority::Progress | WritePriority::BestEffort => {
                    limits.max_changes.min(limits.background_capacity)
                }
                WritePriority::Launch | WritePriority::End => limits.max_changes,
            };
            let changes = builder.txn.changes.len();
            let is_full = changes + 2 > max_changes && changes > 0;
            if is_full || (due == WritePriority::BestEffort && limits.background_capacity < 2) {
                break;
            }
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let Some(run_version) = job.run_version else {
                continue;
            };
            if job.is_complete() {
                self.write_job_end(builder, &id, run_version);
            } else if !self.write_progress(builder, &id, run_version) {
                break;
            }
        }
    }

    /// Writes that the job is done: its key goes, its end comes (rule 6).
    fn write_job_end(&mut self, builder: &mut TxnBuilder, id: &JobId, run_version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.end_write_pending = true;
        builder.require(job_key(id), job.version);
        builder.delete(job_key(id));
        let over = EndedJobRecord {
            outcome: Outcome::Done,
            done: job.done.count(),
        };
        builder.put(ended_job_key(id), Record::EndedJob(over));
        if job.extra_attempts() > 0 {
            // Attempts are still about: the record stays, and says so.
            let record = run_record(job, &self.cfg.teams);
            builder.bytes += run_record_bytes(&record);
            builder.require(progress_key(id), run_version);
            builder.put(progress_key(id), Record::JobProgress(record));
        } else if run_version > 0 {
            let full = self.run_records_to_delete.len()
                >= self.cfg.tuning.max_deferred_progress_removals as usize;
            if full && builder.txn.changes.len() < self.cfg.max_txn_changes {
                builder.delete(progress_key(id));
            } else {
                self.run_records_to_delete.insert(id.clone());
            }
        }
        builder.effects.push(WriteEffect::JobEnded(id.clone()));
        builder.bytes += RECORD_BYTES;
    }

    /// Writes a job's progress; false if the transaction has no room left for it.
    fn write_progress(&mut self, builder: &mut TxnBuilder, id: &JobId, run_version: u64) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        let record = run_record(job, &self.cfg.teams);
        let bytes = run_record_bytes(&record);
        if builder.bytes + bytes > TXN_BYTES && !builder.effects.is_empty() {
            return false;
        }
        builder.bytes += bytes;
        builder.require(job_key(id), job.version);
        builder.require(progress_key(id), run_version);
        job.dirty_since = None;
        // From here on the record may lose the hosts that are not in this
        // write: nothing may be started on the strength of the older one.
        let hosts = job.machines();
        job.recorded_machines.retain(|host| hosts.contains(host));
        builder.effects.push(WriteEffect::Run {
            id: id.clone(),
            high: record.high_water,
            hosts,
            done: job.done.clone(),
            evictions: job.evictions,
        });
        builder.put(progress_key(id), Record::JobProgress(record));
        true
    }

    /// Plans go after what jobs wait for, but not for ever: a rental waits for its plan.
    fn write_due_plans(
        &mut self,
        now: Time,
        builder: &mut TxnBuilder,
        limits: &TxnLimits,
    ) -> Vec<WrittenPlan> {
        let changes = builder.txn.changes.len();
        let overdue = (self.plans.store).is_overdue(now, self.cfg.tuning.plan_write_deadline_s);
        let max_plans = match limits.urgent {
            false => limits.max_changes.saturating_sub(changes),
            true => usize::from(overdue && changes < self.cfg.max_txn_changes),
        };
        let bytes_left = TXN_BYTES.saturating_sub(builder.bytes);
        (self.plans.store).write(&mut builder.txn, max_plans, bytes_left)
    }

    /// Removes progress of jobs that are over, in a quiet moment; beyond a bound it does not
    /// wait for one, so that the list stays small.
    fn delete_run_records(&self, builder: &mut TxnBuilder, limits: &TxnLimits) {
        let crowded = self.run_records_to_delete.len()
            > self.cfg.tuning.max_deferred_progress_removals as usize;
        if limits.urgent && !crowded {
            return;
        }
        let free = if crowded {
            limits.capacity
        } else {
            limits.background_capacity
        };
        let max_changes = self.cfg.max_txn_changes.min(free);
        for id in &self.run_records_to_delete {
            if builder.txn.changes.len() >= max_changes {
                break;
            }
            if !self.jobs.contains_key(id) {
                builder.delete(progress_key(id));
                builder.effects.push(WriteEffect::RunDeleted(id.clone()));
            }
        }
    }

    /// Removes the note that recovery is pending, once it is not (rule 3).
    fn write_recovery_complete(&self, builder: &mut TxnBuilder) {
        let has_room = builder.txn.changes.len() < self.cfg.max_txn_changes;
        if self.recovery_pending && has_room && self.is_recovery_complete() {
            builder.delete(RECOVERY_PENDING_KEY.into());
            builder.effects.push(WriteEffect::RecoveryCompleted);
        }
    }

    /// Machines that a job's record can name beside its completed tasks. The
    /// record is never to outgrow the state service's bound: it would be
    /// refused, and with it whatever stands in the same transaction.
    pub(super) fn max_recorded_machines(&self, tasks: u32) -> usize {
        let left = self.cfg.max_value_bytes.saturating_sub(RECORD_BYTES);
        left.saturating_sub(Bitmap::max_text_len(tasks)) / HOST_BYTES
    }

    /// Takes in what became of a transaction.
    pub fn txn_finished(&mut self, now: Time, pending: PendingTxn, outcome: TxnOutcome) {
        self.txn_in_flight = false;
        match outcome {
            TxnOutcome::Applied { revision } => self.txn_applied(now, pending, revision),
            TxnOutcome::Conflict { failed } => {
                self.retry_txn(now, &pending, false);
                for key in failed {
                    if key == LEADER_KEY {
                        self.leadership_lost = true;
                    } else if let Some(index) = key.strip_prefix(GRANT_PARTS) {
                        self.part_version_conflict(index);
                    } else if let Some(name) = key.strip_prefix(PLANS) {
                        self.plans.store.mark_version_unknown(name);
                    } else if let Some(id) = key.strip_prefix(JOBS) {
                        self.job_key_removed(id);
                    } else if let Some(id) = key.strip_prefix(JOB_PROGRESS)
                        && let Some(job) = self.jobs.get_mut(id)
                    {
                        job.run_version = None;
                    }
                }
            }
            TxnOutcome::NotExecuted => self.retry_txn(now, &pending, false),
            // It may yet be applied: read what stands before the next try,
            // whose conditions then exclude the late one or are excluded by it.
            TxnOutcome::Unknown => self.retry_txn(now, &pending, true),
        }
    }

    fn txn_applied(&mut self, now: Time, pending: PendingTxn, revision: u64) {
        self.parts_applied(pending.parts, revision);
        self.plans.store.mark_written(now, pending.plans, revision);
        for written in pending.effects {
            match written {
                WriteEffect::Run {
                    id,
                    high,
                    hosts,
                    done,
                    evictions,
                } => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.run_version = Some(revision);
                        job.recorded_first_unplanned = high;
                        job.recorded_machines = hosts;
                        job.recorded_done = done;
                        job.recorded_evictions = evictions;
                        if job.is_write_urgent() {
                            job.mark_dirty(now);
                        }
                    } else {
                        // Cancelled while it was written, and nothing of it runs.
                        self.run_records_to_delete.insert(id);
                    }
                }
                WriteEffect::RecoveryCompleted => {
                    info!("nothing runs that no record tells of");
                    self.recovery_pending = false;
                }
                WriteEffect::RunDeleted(id) => {
                    self.run_records_to_delete.remove(&id);
                }
                WriteEffect::JobEnded(id) => {
                    if let Some(job) = self.remove_job(&id) {
                        info!(
                            job = &*id,
                            class = job.spec.class,
                            cpus = job.total_cpus(),
                            began_s = job.start_delay_s.map(|s| s as u64),
                            took_s = (now - job.submitted_at) as u64,
                            late = job
                                .spec
                                .deadline_s
                                .is_some_and(|d| now - job.submitted_at > d),
                            evictions = job.evictions,
                            "done"
                        );
                        self.record_orphaned_attempts(&id, &job);
                    }
                }
            }
        }
        // What waited for a record or an end need not wait for the next tick.
        self.tick_calendar(now);
    }

    fn retry_txn(&mut self, now: Time, pending: &PendingTxn, unknown: bool) {
        if unknown {
            self.parts_outcome_unknown(&pending.parts);
            self.plans.store.mark_uncertain(&pending.plans);
        }
        for written in &pending.effects {
            let (WriteEffect::Run { id, .. } | WriteEffect::JobEnded(id)) = written else {
                continue;
            };
            if unknown && !self.jobs.contains_key(id) {
                // Cancelled while it was written: what may stand is removed.
                self.run_records_to_delete.insert(id.clone());
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.mark_dirty(now);
                job.end_write_pending = false;
                if unknown {
                    job.run_version = None;
                }
            }
        }
    }

    /// Jobs and parts of the grant whose versions must be read before they are written
    /// again.
    pub fn unknown_versions(&self) -> (Vec<String>, Vec<u32>) {
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.run_version.is_none())
            .map(|(id, _)| id.to_string())
            .collect();
        (jobs, self.unread_parts())
    }

    /// Plans whose versions must be read before they are written again.
    pub fn unread_plans(&self) -> Vec<String> {
        self.plans.store.unknown_versions()
    }

    /// A fresh read of a plan: what stands, and its version.
    pub fn plan_read(&mut self, now: Time, name: &str, found: Option<(Value, u64)>) {
        self.plans.store.set_stored(now, name, found);
    }

    /// A fresh read: does the job's key still exist, and which version has
    /// its run record (0: none).
    pub fn version_read(&mut self, id: &str, exists: bool, run_version: u64) {
        if !exists {
            if let Some(job) = self.jobs.get_mut(id) {
                // Ended by our own late write, or cancelled: over either way.
                job.end_write_pending = true;
                job.run_version = Some(run_version);
            }
            self.job_key_removed(id);
        } else if let Some(job) = self.jobs.get_mut(id) {
            job.run_version = Some(run_version);
        }
    }
}
