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
    GRANT_PARTS, JOBS, LEADER_KEY, Outcome, OverRecord, PLANS, RECOVERY_PENDING_KEY, RUNS, Record,
    RunRecord, job_key, over_key, run_key,
};

/// What a transaction writes of one job, to be remembered once it stands.
#[derive(Debug, Clone)]
enum Written {
    Run {
        id: JobId,
        high: u32,
        hosts: BTreeSet<MachineId>,
        done: Bitmap,
        evictions: u32,
    },
    End(JobId),
    /// The progress of a job that is over is gone.
    Cleared(JobId),
    /// Nothing runs that no record tells of.
    Settled,
}

/// A transaction on its way.
#[derive(Debug, Clone)]
pub struct PendingTxn {
    /// What is sent.
    pub txn: Txn<Record>,
    written: Vec<Written>,
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
enum Due {
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
    due: Due,
    since: Time,
    id: JobId,
}

/// How much one transaction may carry.
struct TxnLimits {
    /// Changes in all.
    max_changes: usize,
    /// Changes that the state service takes at once.
    room: usize,
    /// Of those, for writes that nobody waits for.
    spare: usize,
    /// Somebody waits for one of the records.
    urgent: bool,
}

/// A transaction as it grows, with what its writing means to the engine.
struct TxnBuilder {
    txn: Txn<Record>,
    written: Vec<Written>,
    bytes: usize,
}

impl TxnBuilder {
    fn new(leader_version: u64) -> TxnBuilder {
        let mut builder = TxnBuilder {
            txn: Txn {
                conditions: Vec::new(),
                changes: Vec::new(),
            },
            written: Vec::new(),
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
fn run_record_bytes(record: &RunRecord) -> usize {
    RECORD_BYTES + record.done.len() + record.hosts.len() * HOST_BYTES
}

/// The record of an unfinished job's progress, as it should stand.
fn run_record(job: &Job, teams: &[TeamLimits]) -> RunRecord {
    let running = |p: &&Placement| p.seen.is_some_and(|s| s == TaskState::Running);
    RunRecord {
        high: job.next.max(job.recorded_high),
        done: job.done.to_text(),
        hosts: job.hosts().iter().map(|h| h.to_string()).collect(),
        evictions: job.evictions,
        done_count: job.done.count(),
        running: job.live.values().filter(running).count() as u32,
        extra: job.extra(),
        team: job.team.map_or_else(String::new, |t| teams[t].name.clone()),
        size: Some((job.shape.cpus, job.shape.gpus, job.shape.memory_gb)),
        suspect: job.suspect,
    }
}

impl Engine {
    /// Attempts of a completed job that are still about become strangers and are
    /// stopped. They count from now on, not from the next report, and until their
    /// machines show that they are gone (rule 4).
    fn record_orphaned_attempts(&mut self, id: &JobId, job: &Job) {
        let mut machines: BTreeMap<MachineId, Option<(u64, u64)>> = BTreeMap::new();
        if job.inherited_extra() > 0 {
            machines.extend(job.inherited.iter().map(|m| (m.clone(), None)));
        }
        for (task, placement) in &job.live {
            if let Some(machine) = self.machines.get_mut(&placement.machine) {
                machine.release(id, *task, &job.shape, job.image);
                if placement.told() {
                    machine.orphaned_tasks = true;
                    machines.insert(placement.machine.clone(), Some(machine.order));
                }
            }
        }
        self.orphaned_jobs.insert(
            id.clone(),
            OrphanedAttempts {
                team: job.team,
                shape: Some(job.shape),
                attempts: job.extra(),
                machines,
            },
        );
    }

    /// The next transaction, if one is due. `room` is how many changes the
    /// state service takes at once; of those, `spare` may go to writes that
    /// nobody waits for. What somebody waits for goes first and in small
    /// transactions: a large one waits for its turn as a whole.
    pub fn next_txn(&mut self, now: Time, room: usize, spare: usize) -> Option<PendingTxn> {
        if self.txn_in_flight || self.lost {
            return None;
        }
        let due = self.due_jobs(now, spare);
        let urgent = due.iter().any(|job| job.due != Due::Progress);
        let limits = TxnLimits {
            max_changes: (self.cfg.txn_ops).min(if urgent { room.max(2) } else { spare }),
            room,
            spare,
            urgent,
        };
        let mut builder = TxnBuilder::new(self.leader_version);
        let parts = self.write_parts(&mut builder.txn, due.is_empty() && spare > 0);
        builder.bytes += parts.iter().map(WrittenPart::bytes).sum::<usize>();
        self.write_due_jobs(&mut builder, due, &limits);
        let plans = self.write_due_plans(now, &mut builder, &limits);
        self.write_cleared(&mut builder, &limits);
        self.write_settled(&mut builder);
        if builder.txn.changes.is_empty() {
            return None;
        }
        self.txn_in_flight = true;
        Some(PendingTxn {
            txn: builder.txn,
            written: builder.written,
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
                    due: self.due_of(job, now - since, spare)?,
                    since,
                    id: id.clone(),
                })
            })
            .collect();
        due.sort_by(|a, b| {
            a.due
                .cmp(&b.due)
                .then(a.since.total_cmp(&b.since))
                .then(a.id.cmp(&b.id))
        });
        due
    }

    /// Why a job's record that changed `age_s` ago is written now, if it is.
    fn due_of(&self, job: &Job, age_s: f64, spare: usize) -> Option<Due> {
        let tuning = &self.cfg.tuning;
        let due = if job.is_complete() && age_s < tuning.end_patience_s {
            Due::End
        } else if job.is_complete() || job.is_write_urgent() {
            Due::Launch
        } else if spare > 0 && age_s >= tuning.write_delay_s {
            Due::Progress
        } else {
            return None;
        };
        match due {
            Due::Launch | Due::End if job.spec.is_best_effort() => Some(Due::BestEffort),
            due => Some(due),
        }
    }

    fn write_due_jobs(&mut self, builder: &mut TxnBuilder, due: Vec<DueJob>, limits: &TxnLimits) {
        for DueJob { due, id, .. } in due {
            let max_changes = match due {
                Due::Progress | Due::BestEffort => limits.max_changes.min(limits.spare),
                Due::Launch | Due::End => limits.max_changes,
            };
            let changes = builder.txn.changes.len();
            let is_full = changes + 2 > max_changes && changes > 0;
            if is_full || (due == Due::BestEffort && limits.spare < 2) {
                break;
            }
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let Some(run_version) = job.run_version else {
                continue;
            };
            if job.is_complete() {
                self.write_end(builder, &id, run_version);
            } else if !self.write_progress(builder, &id, run_version) {
                break;
            }
        }
    }

    /// Writes that the job is done: its key goes, its end comes (rule 6).
    fn write_end(&mut self, builder: &mut TxnBuilder, id: &JobId, run_version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.ending = true;
        builder.require(job_key(id), job.version);
        builder.delete(job_key(id));
        let over = OverRecord {
            outcome: Outcome::Done,
            done: job.done.count(),
        };
        builder.put(over_key(id), Record::Over(over));
        if job.extra() > 0 {
            // Attempts are still about: the record stays, and says so.
            let record = run_record(job, &self.cfg.teams);
            builder.bytes += run_record_bytes(&record);
            builder.require(run_key(id), run_version);
            builder.put(run_key(id), Record::Run(record));
        } else if run_version > 0 {
            let full = self.cleared.len() >= self.cfg.tuning.cleared_most as usize;
            if full && builder.txn.changes.len() < self.cfg.txn_ops {
                builder.delete(run_key(id));
            } else {
                self.cleared.insert(id.clone());
            }
        }
        builder.written.push(Written::End(id.clone()));
        builder.bytes += RECORD_BYTES;
    }

    /// Writes a job's progress; false if the transaction has no room left for it.
    fn write_progress(&mut self, builder: &mut TxnBuilder, id: &JobId, run_version: u64) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        let record = run_record(job, &self.cfg.teams);
        let bytes = run_record_bytes(&record);
        if builder.bytes + bytes > TXN_BYTES && !builder.written.is_empty() {
            return false;
        }
        builder.bytes += bytes;
        builder.require(job_key(id), job.version);
        builder.require(run_key(id), run_version);
        job.dirty_since = None;
        // From here on the record may lose the hosts that are not in this
        // write: nothing may be started on the strength of the older one.
        let hosts = job.hosts();
        job.recorded_hosts.retain(|host| hosts.contains(host));
        builder.written.push(Written::Run {
            id: id.clone(),
            high: record.high,
            hosts,
            done: job.done.clone(),
            evictions: job.evictions,
        });
        builder.put(run_key(id), Record::Run(record));
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
        let overdue = (self.plans.store).is_overdue(now, self.cfg.tuning.plan_patience_s);
        let max_plans = match limits.urgent {
            false => limits.max_changes.saturating_sub(changes),
            true => usize::from(overdue && changes < self.cfg.txn_ops),
        };
        let bytes_left = TXN_BYTES.saturating_sub(builder.bytes);
        (self.plans.store).write(&mut builder.txn, max_plans, bytes_left)
    }

    /// Removes progress of jobs that are over, in a quiet moment; beyond a bound it does not
    /// wait for one, so that the list stays small.
    fn write_cleared(&self, builder: &mut TxnBuilder, limits: &TxnLimits) {
        let crowded = self.cleared.len() > self.cfg.tuning.cleared_most as usize;
        if limits.urgent && !crowded {
            return;
        }
        let free = if crowded { limits.room } else { limits.spare };
        let max_changes = self.cfg.txn_ops.min(free);
        for id in &self.cleared {
            if builder.txn.changes.len() >= max_changes {
                break;
            }
            if !self.jobs.contains_key(id) {
                builder.delete(run_key(id));
                builder.written.push(Written::Cleared(id.clone()));
            }
        }
    }

    /// Removes the note that recovery is pending, once it is not (rule 3).
    fn write_settled(&self, builder: &mut TxnBuilder) {
        let has_room = builder.txn.changes.len() < self.cfg.txn_ops;
        if self.recovery_pending && has_room && self.is_settled() {
            builder.delete(RECOVERY_PENDING_KEY.into());
            builder.written.push(Written::Settled);
        }
    }

    /// Machines that a job's record can name beside its completed tasks. The
    /// record is never to outgrow the state service's bound: it would be
    /// refused, and with it whatever stands in the same transaction.
    pub(super) fn most_hosts(&self, tasks: u32) -> usize {
        let left = self.cfg.value_bytes.saturating_sub(RECORD_BYTES);
        left.saturating_sub(Bitmap::max_text_len(tasks)) / HOST_BYTES
    }

    /// Takes in what became of a transaction.
    pub fn txn_done(&mut self, now: Time, pending: PendingTxn, outcome: TxnOutcome) {
        self.txn_in_flight = false;
        match outcome {
            TxnOutcome::Applied { revision } => self.txn_applied(now, pending, revision),
            TxnOutcome::Conflict { failed } => {
                self.txn_again(now, &pending, false);
                for key in failed {
                    if key == LEADER_KEY {
                        self.lost = true;
                    } else if let Some(index) = key.strip_prefix(GRANT_PARTS) {
                        self.part_moved(index);
                    } else if let Some(name) = key.strip_prefix(PLANS) {
                        self.plans.store.moved(name);
                    } else if let Some(id) = key.strip_prefix(JOBS) {
                        self.job_dropped(id);
                    } else if let Some(id) = key.strip_prefix(RUNS)
                        && let Some(job) = self.jobs.get_mut(id)
                    {
                        job.run_version = None;
                    }
                }
            }
            TxnOutcome::NotExecuted => self.txn_again(now, &pending, false),
            // It may yet be applied: read what stands before the next try,
            // whose conditions then exclude the late one or are excluded by it.
            TxnOutcome::Unknown => self.txn_again(now, &pending, true),
        }
    }

    fn txn_applied(&mut self, now: Time, pending: PendingTxn, revision: u64) {
        self.parts_applied(pending.parts, revision);
        self.plans.store.applied(now, pending.plans, revision);
        for written in pending.written {
            match written {
                Written::Run {
                    id,
                    high,
                    hosts,
                    done,
                    evictions,
                } => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.run_version = Some(revision);
                        job.recorded_high = high;
                        job.recorded_hosts = hosts;
                        job.recorded_done = done;
                        job.recorded_evictions = evictions;
                        if job.is_write_urgent() {
                            job.touch(now);
                        }
                    } else {
                        // Cancelled while it was written, and nothing of it runs.
                        self.cleared.insert(id);
                    }
                }
                Written::Settled => {
                    info!("nothing runs that no record tells of");
                    self.recovery_pending = false;
                }
                Written::Cleared(id) => {
                    self.cleared.remove(&id);
                }
                Written::End(id) => {
                    if let Some(job) = self.remove_job(&id) {
                        info!(
                            job = &*id,
                            class = job.spec.class,
                            cpus = job.total_cpus(),
                            began_s = job.began_s.map(|s| s as u64),
                            took_s = (now - job.submitted) as u64,
                            late = job.spec.deadline_s.is_some_and(|d| now - job.submitted > d),
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

    fn txn_again(&mut self, now: Time, pending: &PendingTxn, unknown: bool) {
        if unknown {
            self.parts_unsure(&pending.parts);
            self.plans.store.unsure(&pending.plans);
        }
        for written in &pending.written {
            let (Written::Run { id, .. } | Written::End(id)) = written else {
                continue;
            };
            if unknown && !self.jobs.contains_key(id) {
                // Cancelled while it was written: what may stand is removed.
                self.cleared.insert(id.clone());
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.touch(now);
                job.ending = false;
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
        self.plans.store.unread()
    }

    /// A fresh read of a plan: what stands, and its version.
    pub fn plan_read(&mut self, now: Time, name: &str, found: Option<(Value, u64)>) {
        self.plans.store.read_back(now, name, found);
    }

    /// A fresh read: does the job's key still exist, and which version has
    /// its run record (0: none).
    pub fn version_read(&mut self, id: &str, exists: bool, run_version: u64) {
        if !exists {
            if let Some(job) = self.jobs.get_mut(id) {
                // Ended by our own late write, or cancelled: over either way.
                job.ending = true;
                job.run_version = Some(run_version);
            }
            self.job_dropped(id);
        } else if let Some(job) = self.jobs.get_mut(id) {
            job.run_version = Some(run_version);
        }
    }
}
