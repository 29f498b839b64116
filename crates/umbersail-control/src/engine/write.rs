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
    pub txn: Txn<Record>,
    written: Vec<Written>,
    parts: Vec<WrittenPart>,
    plans: Vec<WrittenPlan>,
}

/// What is known of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    Applied {
        revision: u64,
    },
    /// These keys did not have the version that was asked for.
    Conflict {
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
                    machine.strangers = true;
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
        let delay = self.cfg.tuning.write_delay_s;
        let teams = self.cfg.clone();
        let teams = &teams.teams;
        let end_patience_s = self.cfg.tuning.end_patience_s;
        let mut due: Vec<(Due, Time, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.cancelled && j.run_version.is_some())
            .filter_map(|(id, j)| {
                let since = j.dirty_since?;
                let due = if j.is_complete() {
                    if now - since < end_patience_s {
                        Due::End
                    } else {
                        Due::Launch
                    }
                } else if j.is_write_urgent() {
                    Due::Launch
                } else if spare > 0 && now - since >= delay {
                    Due::Progress
                } else {
                    return None;
                };
                let due = match due {
                    Due::Launch | Due::End if j.spec.is_best_effort() => Due::BestEffort,
                    due => due,
                };
                Some((due, since, id.clone()))
            })
            .collect();
        due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let urgent = due.iter().any(|(due, ..)| *due != Due::Progress);
        let most = self
            .cfg
            .txn_ops
            .min(if urgent { room.max(2) } else { spare });
        let mut txn = Txn {
            conditions: vec![Condition {
                key: LEADER_KEY.into(),
                version: self.leader_version,
            }],
            changes: Vec::new(),
        };
        let mut bytes = 0;
        let parts = self.write_parts(&mut txn, due.is_empty() && spare > 0);
        bytes += parts.iter().map(WrittenPart::bytes).sum::<usize>();
        let mut written = Vec::new();
        for (due, _, id) in due {
            let most = if matches!(due, Due::Progress | Due::BestEffort) {
                most.min(spare)
            } else {
                most
            };
            if due == Due::BestEffort && spare < 2 {
                break;
            }
            if txn.changes.len() + 2 > most && !txn.changes.is_empty() {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(run_version) = job.run_version else {
                continue;
            };
            let condition = |key: String, version| Condition { key, version };
            if job.is_complete() {
                job.ending = true;
                txn.conditions.push(condition(job_key(&id), job.version));
                txn.changes.push(Change::Delete { key: job_key(&id) });
                txn.changes.push(Change::Put {
                    key: over_key(&id),
                    value: Record::Over(OverRecord {
                        outcome: Outcome::Done,
                        done: job.done.count(),
                    }),
                    lease: None,
                });
                let extra = job.extra();
                if extra > 0 {
                    // Attempts are still about: the record stays, and says so.
                    let record = run_record(job, teams);
                    bytes += RECORD_BYTES + record.done.len() + record.hosts.len() * HOST_BYTES;
                    txn.conditions.push(condition(run_key(&id), run_version));
                    txn.changes.push(Change::Put {
                        key: run_key(&id),
                        value: Record::Run(record),
                        lease: None,
                    });
                } else if run_version > 0 {
                    let full = self.cleared.len() >= self.cfg.tuning.cleared_most as usize;
                    if full && txn.changes.len() < self.cfg.txn_ops {
                        txn.changes.push(Change::Delete { key: run_key(&id) });
                    } else {
                        self.cleared.insert(id.clone());
                    }
                }
                written.push(Written::End(id));
                bytes += RECORD_BYTES;
                continue;
            }
            let hosts = job.hosts();
            let record = run_record(job, teams);
            let size = RECORD_BYTES + record.done.len() + hosts.len() * HOST_BYTES;
            if bytes + size > TXN_BYTES && !written.is_empty() {
                break;
            }
            bytes += size;
            txn.conditions.push(condition(job_key(&id), job.version));
            txn.conditions.push(condition(run_key(&id), run_version));
            job.dirty_since = None;
            // From here on the record may lose the hosts that are not in this
            // write: nothing may be started on the strength of the older one.
            job.recorded_hosts.retain(|h| hosts.contains(h));
            written.push(Written::Run {
                id: id.clone(),
                high: record.high,
                hosts,
                done: job.done.clone(),
                evictions: job.evictions,
            });
            txn.changes.push(Change::Put {
                key: run_key(&id),
                value: Record::Run(record),
                lease: None,
            });
        }
        // After what jobs wait for, but not for ever: a rental waits for its plan.
        let overdue = (self.plans.book).is_overdue(now, self.cfg.tuning.plan_patience_s);
        let planned = if !urgent {
            most.saturating_sub(txn.changes.len())
        } else {
            usize::from(overdue && txn.changes.len() < self.cfg.txn_ops)
        };
        let left = TXN_BYTES.saturating_sub(bytes);
        let plans = self.plans.book.write(&mut txn, planned, left);
        // Beyond a bound they don't wait for a quiet moment: the list stays small.
        let crowded = self.cleared.len() > self.cfg.tuning.cleared_most as usize;
        if !urgent || crowded {
            for id in &self.cleared {
                if txn.changes.len() >= self.cfg.txn_ops.min(if crowded { room } else { spare }) {
                    break;
                }
                if self.jobs.contains_key(id) {
                    continue;
                }
                txn.changes.push(Change::Delete { key: run_key(id) });
                written.push(Written::Cleared(id.clone()));
            }
        }
        if self.recovery_pending && txn.changes.len() < self.cfg.txn_ops && self.is_settled() {
            txn.changes.push(Change::Delete {
                key: RECOVERY_PENDING_KEY.into(),
            });
            written.push(Written::Settled);
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.txn_in_flight = true;
        Some(PendingTxn {
            txn,
            written,
            parts,
            plans,
        })
    }

    /// Machines that a job's record can name beside its completed tasks. The
    /// record is never to outgrow the state service's bound: it would be
    /// refused, and with it whatever stands in the same transaction.
    pub(super) fn most_hosts(&self, tasks: u32) -> usize {
        let left = self.cfg.value_bytes.saturating_sub(RECORD_BYTES);
        left.saturating_sub(Bitmap::most_text(tasks)) / HOST_BYTES
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
                        self.plans.book.moved(name);
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
        self.plans.book.applied(now, pending.plans, revision);
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
                            cpus = job.size(),
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
            self.plans.book.unsure(&pending.plans);
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
        self.plans.book.unread()
    }

    /// A fresh read of a plan: what stands, and its version.
    pub fn plan_read(&mut self, now: Time, name: &str, found: Option<(Value, u64)>) {
        self.plans.book.read_back(now, name, found);
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
