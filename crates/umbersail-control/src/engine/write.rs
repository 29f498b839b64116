//! Transactions with the state service. At most one is in flight, and each has a condition on
//! the version of the leader's key, so that a delayed write of a former leader fails.

use std::collections::{BTreeMap, BTreeSet};

use tracing::info;
use umbersail_policy::{Bitmap, TeamLimits};
use umbersail_standby::OrphanedAttempts;
use umbersail_wire::{Change, Condition, TaskState, Txn, Value};

use super::grant_record::WrittenPart;
use super::plans::WrittenPlan;
use super::{Engine, Job, JobId, MachineId, Placement, Time};
use crate::records::{
    EndedJobRecord, GRANT_PARTS, JOB_PROGRESS, JOBS, JobProgressRecord, LEADER_KEY, Outcome, PLANS,
    RECOVERY_PENDING_KEY, Record, ended_job_key, job_key, progress_key,
};

/// What the engine updates once a transaction has been applied.
#[derive(Debug, Clone)]
enum WriteEffect {
    /// The progress of a job is recorded.
    Run {
        id: JobId,
        high: u32,
        hosts: BTreeSet<MachineId>,
        done: Bitmap,
        evictions: u32,
    },
    /// The completion of a job is recorded.
    JobEnded(JobId),
    /// The progress record of a finished job is deleted.
    RunDeleted(JobId),
    /// The note that unrecorded tasks may run is deleted.
    RecoveryCompleted,
}

/// A transaction in flight.
#[derive(Debug, Clone)]
pub struct PendingTxn {
    /// The conditions and changes to send.
    pub txn: Txn<Record>,
    effects: Vec<WriteEffect>,
    parts: Vec<WrittenPart>,
    plans: Vec<WrittenPlan>,
}

/// The outcome of a transaction, as far as known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// The transaction was applied.
    Applied {
        /// The revision of all its changes.
        revision: u64,
    },
    /// Nothing was applied: some keys did not have the required versions.
    Conflict {
        /// These keys.
        failed: Vec<String>,
    },
    /// The state service answered that it did not execute the transaction.
    NotExecuted,
    /// No answer: the transaction may have been applied or may still be applied.
    Unknown,
}

/// Maximum size of one transaction in bytes: the protocol's 64 KiB less a reserve for framing.
pub(super) const TXN_BYTES: usize = 48 * 1024;
/// Assumed size of a record and its conditions, without the text of completed tasks and hosts.
const RECORD_BYTES: usize = 400;
/// Assumed size of one machine's name in a record.
const HOST_BYTES: usize = 24;

/// Why a job's record is written, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WritePriority {
    /// A launch or a stop command waits for the record, or a completion has waited for long
    /// (such completions are written with the priority of a launch). These are written in the
    /// order of age. While a job waits, its launches are collected in one record, whereas
    /// completions cannot be combined: when completions always came after launches, users
    /// learned of them too late.
    Launch,
    /// The job is complete.
    End,
    /// A launch, stop or completion of a best-effort job. Thousands of single-task best-effort
    /// jobs would use the whole write budget, so they leave half of the rate limit to others.
    BestEffort,
    /// Nothing waits for the record: workers keep results until these are recorded.
    Progress,
}

/// A job whose record is due for writing.
struct DueJob {
    priority: WritePriority,
    dirty_since: Time,
    id: JobId,
}

/// How much one transaction may contain.
struct TxnLimits {
    /// Maximum number of changes in total.
    max_changes: usize,
    /// Number of changes that the state service accepts immediately.
    capacity: usize,
    /// Part of `capacity` that may be used for writes that nothing waits for.
    background_capacity: usize,
    /// Something waits for one of the records.
    urgent: bool,
}

/// A transaction under construction, with its effects on the engine once applied.
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

/// Assumed size of a progress record in a transaction, in bytes.
fn run_record_bytes(record: &JobProgressRecord) -> usize {
    RECORD_BYTES + record.done.len() + record.hosts.len() * HOST_BYTES
}

/// The progress record that should be stored for a job.
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
    /// Registers the remaining attempts of a completed job as orphaned, so that they are
    /// stopped. Their resources count as used from now on, not only from the next heartbeat,
    /// until their machines show that the attempts are gone (rule 4 of `docs/design.md`).
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

    /// The next transaction, if one is due. `capacity` is the number of changes that the state
    /// service accepts immediately; of these, `background_capacity` may be used for writes that
    /// nothing waits for. Urgent writes go first and in small transactions, because a large
    /// transaction is delayed as a whole until the rate limit admits it.
    pub fn next_txn(
        &mut self,
        now: Time,
        capacity: usize,
        background_capacity: usize,
    ) -> Option<PendingTxn> {
        if self.txn_in_flight || self.leadership_lost {
            return None;
        }
        let due = self.due_jobs(now, background_capacity);
        let urgent = due
            .iter()
            .any(|job| job.priority != WritePriority::Progress);
        let limits = TxnLimits {
            max_changes: (self.cfg.max_txn_changes).min(if urgent {
                capacity.max(2)
            } else {
                background_capacity
            }),
            capacity,
            background_capacity,
            urgent,
        };
        let mut builder = TxnBuilder::new(self.leader_version);
        let parts =
            self.write_due_parts(&mut builder.txn, due.is_empty() && background_capacity > 0);
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
    fn due_jobs(&self, now: Time, background_capacity: usize) -> Vec<DueJob> {
        let mut due: Vec<DueJob> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.cancelled && job.run_version.is_some())
            .filter_map(|(id, job)| {
                let since = job.dirty_since?;
                Some(DueJob {
                    priority: self.write_priority(job, now - since, background_capacity)?,
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

    /// The priority of writing a job's progress that changed `age_s` ago; `None` if the write
    /// can wait.
    fn write_priority(
        &self,
        job: &Job,
        age_s: f64,
        background_capacity: usize,
    ) -> Option<WritePriority> {
        let tuning = &self.cfg.tuning;
        let priority = if job.is_complete() && age_s < tuning.job_end_write_deadline_s {
            WritePriority::End
        } else if job.is_complete() || job.is_write_urgent() {
            WritePriority::Launch
        } else if background_capacity > 0 && age_s >= tuning.task_end_write_delay_s {
            WritePriority::Progress
        } else {
            return None;
        };
        match priority {
            WritePriority::Launch | WritePriority::End if job.spec.is_best_effort() => {
                Some(WritePriority::BestEffort)
            }
            priority => Some(priority),
        }
    }

    /// Adds the records of due jobs, as far as the transaction has space.
    fn write_due_jobs(&mut self, builder: &mut TxnBuilder, due: Vec<DueJob>, limits: &TxnLimits) {
        for DueJob { priority, id, .. } in due {
            let max_changes = match priority {
                WritePriority::Progress | WritePriority::BestEffort => {
                    limits.max_changes.min(limits.background_capacity)
                }
                WritePriority::Launch | WritePriority::End => limits.max_changes,
            };
            let changes = builder.txn.changes.len();
            let is_full = changes + 2 > max_changes && changes > 0;
            if is_full || (priority == WritePriority::BestEffort && limits.background_capacity < 2)
            {
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

    /// Writes that the job is complete: deletes the job's key and creates its outcome record
    /// (rule 6).
    fn write_job_end(&mut self, builder: &mut TxnBuilder, id: &JobId, run_version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.end_write_pending = true;
        builder.require(job_key(id), job.version);
        builder.delete(job_key(id));
        let outcome = EndedJobRecord {
            outcome: Outcome::Done,
            done: job.done.count(),
        };
        builder.put(ended_job_key(id), Record::EndedJob(outcome));
        if job.extra_attempts() > 0 {
            // Further attempts may still run: the progress record is kept and lists them.
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

    /// Writes a job's progress; returns false if the transaction has no space left for the
    /// record.
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
        // This write may remove hosts from the record: from now on no launch may rely on hosts
        // that only the older record contains.
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

    /// Adds plans that are due. Urgent job records come first, but plans that have waited for
    /// long are written anyway, because rentals wait for their plan to be recorded.
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

    /// Deletes progress records of finished jobs while nothing urgent is due. If too many
    /// have accumulated, they are deleted even then, which bounds the list.
    fn delete_run_records(&self, builder: &mut TxnBuilder, limits: &TxnLimits) {
        let too_many = self.run_records_to_delete.len()
            > self.cfg.tuning.max_deferred_progress_removals as usize;
        if limits.urgent && !too_many {
            return;
        }
        let free = if too_many {
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

    /// Deletes the note that unrecorded tasks may run, once recovery is complete (rule 3).
    fn write_recovery_complete(&self, builder: &mut TxnBuilder) {
        let has_space = builder.txn.changes.len() < self.cfg.max_txn_changes;
        if self.recovery_pending && has_space && self.is_recovery_complete() {
            builder.delete(RECOVERY_PENDING_KEY.into());
            builder.effects.push(WriteEffect::RecoveryCompleted);
        }
    }

    /// Maximum number of machines that a job's progress record can list beside the completed
    /// tasks. The record must stay below the state service's size limit for a value: a larger
    /// one would be rejected, together with everything else in the same transaction.
    pub(super) fn max_recorded_machines(&self, tasks: u32) -> usize {
        let left = self.cfg.max_value_bytes.saturating_sub(RECORD_BYTES);
        left.saturating_sub(Bitmap::max_text_len(tasks)) / HOST_BYTES
    }

    /// Applies the outcome of a transaction.
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
            // The transaction may still be applied. The versions are read again before the
            // retry, and their conditions ensure that only one of the two is applied.
            TxnOutcome::Unknown => self.retry_txn(now, &pending, true),
        }
    }

    fn txn_applied(&mut self, now: Time, pending: PendingTxn, revision: u64) {
        self.parts_applied(pending.parts, revision);
        self.plans.store.mark_written(now, pending.plans, revision);
        for effect in pending.effects {
            match effect {
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
                        // The job was cancelled while its progress was written, and none of its
                        // tasks runs.
                        self.run_records_to_delete.insert(id);
                    }
                }
                WriteEffect::RecoveryCompleted => {
                    info!("recovery complete: every running task is recorded");
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
                            start_delay_s = job.start_delay_s.map(|s| s as u64),
                            took_s = (now - job.submitted_at) as u64,
                            late = job
                                .spec
                                .deadline_s
                                .is_some_and(|d| now - job.submitted_at > d),
                            evictions = job.evictions,
                            "job completed"
                        );
                        self.record_orphaned_attempts(&id, &job);
                    }
                }
            }
        }
        // Plans that waited for a record or a completion need not wait for the next tick.
        self.tick_calendar(now);
    }

    /// Marks everything in a transaction as due again. `unknown`: the transaction may have been
    /// applied or may still be applied.
    fn retry_txn(&mut self, now: Time, pending: &PendingTxn, unknown: bool) {
        if unknown {
            self.parts_outcome_unknown(&pending.parts);
            self.plans.store.mark_uncertain(&pending.plans);
        }
        for effect in &pending.effects {
            let (WriteEffect::Run { id, .. } | WriteEffect::JobEnded(id)) = effect else {
                continue;
            };
            if unknown && !self.jobs.contains_key(id) {
                // The job was cancelled while its record was written: the record is deleted in
                // case it exists.
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

    /// Jobs and grant parts whose versions must be read before the next write.
    pub fn unknown_versions(&self) -> (Vec<String>, Vec<u32>) {
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.run_version.is_none())
            .map(|(id, _)| id.to_string())
            .collect();
        (jobs, self.unread_parts())
    }

    /// Plans whose versions must be read before the next write.
    pub fn unread_plans(&self) -> Vec<String> {
        self.plans.store.unknown_versions()
    }

    /// Applies the recorded content of a plan that was read, with its version.
    pub fn plan_read(&mut self, now: Time, name: &str, found: Option<(Value, u64)>) {
        self.plans.store.set_stored(now, name, found);
    }

    /// Applies a read of a job's keys: whether the job's key still exists, and the version of
    /// its progress record (0 if there is none).
    pub fn version_read(&mut self, id: &str, exists: bool, run_version: u64) {
        if !exists {
            if let Some(job) = self.jobs.get_mut(id) {
                // The job was completed by this leader's delayed write or was cancelled; it is
                // finished in both cases.
                job.end_write_pending = true;
                job.run_version = Some(run_version);
            }
            self.job_key_removed(id);
        } else if let Some(job) = self.jobs.get_mut(id) {
            job.run_version = Some(run_version);
        }
    }
}
