//! The leader's state of one unfinished job and of its tasks' attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use umbersail_cycle::{ImageKey, PreemptionClass};
use umbersail_policy::{Bitmap, Shape};
use umbersail_wire::{JobKind, JobSpec, Priority, TaskState};

use super::{MachineId, Time};
use crate::records::JobProgressRecord;

/// Why the last scheduling cycle did not place a job's pending tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BlockedReason {
    NotConsidered,
    TeamLimit,
    AwaitingImage,
    NoCapacity,
    /// A plan holds the job back, for the given reason.
    HeldByPlan(&'static str),
}

impl fmt::Display for BlockedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BlockedReason::NotConsidered => "not yet considered by a scheduling cycle",
            BlockedReason::TeamLimit => "team limit reached",
            BlockedReason::AwaitingImage => "waiting for a machine that has the image in its cache",
            BlockedReason::NoCapacity => "no machine has enough free capacity",
            BlockedReason::HeldByPlan(reason) => reason,
        })
    }
}

/// A stop command to be sent to the worker once the eviction is recorded.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PendingStop {
    /// Seconds that the task gets to save a checkpoint.
    pub grace_s: f64,
    /// The stop command is sent once the job's recorded eviction count is at least this.
    pub required_eviction_count: u32,
}

impl PendingStop {
    /// Stops without time to save and without an eviction that must be recorded first.
    pub const IMMEDIATE: PendingStop = PendingStop {
        grace_s: 0.0,
        required_eviction_count: 0,
    };
}

/// One attempt to run a task on one machine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Placement {
    pub machine: MachineId,
    pub attempt: u64,
    /// (session, sequence number) of the heartbeat whose reply carried the launch command.
    pub launched_in: Option<(u64, u64)>,
    /// State of the attempt in the machine's newest heartbeat that listed the attempt.
    pub observed_state: Option<TaskState>,
    /// When a heartbeat first showed the attempt running.
    pub running_since: Option<Time>,
    pub placed_at: Time,
    /// The stop command for the attempt, from the decision to stop until the attempt is gone.
    pub pending_stop: Option<PendingStop>,
}

impl Placement {
    /// Whether the worker may know this attempt: its launch was sent, or a heartbeat listed
    /// the attempt.
    pub fn may_be_known_to_worker(&self) -> bool {
        self.launched_in.is_some() || self.observed_state.is_some()
    }
}

/// An unfinished job.
pub(crate) struct Job {
    pub spec: JobSpec,
    /// Version of the job's key in the state service.
    pub version: u64,
    pub submitted_at: Time,
    /// Index of the job's team in the configuration, if the team is known.
    pub team: Option<usize>,
    /// Resources of one task.
    pub shape: Shape,
    pub image: ImageKey,
    /// CPUs of the smallest allowed machine type that a task fits on.
    pub smallest_cpus: f64,
    /// Completed tasks.
    pub done: Bitmap,
    /// Tasks from this index on were never placed.
    pub first_unplanned: u32,
    /// Tasks that were placed before and are on no machine now.
    pub requeued: BTreeSet<u32>,
    /// The current attempt of each task that is on a machine.
    pub placements: BTreeMap<u32, Placement>,
    /// Tasks that an earlier leader may have started and that no heartbeat has listed yet.
    /// They are treated as running.
    pub recovery_pending: BTreeSet<u32>,
    /// Machines that may hold the tasks whose recovery is pending.
    pub inherited_machines: BTreeSet<MachineId>,
    /// The previous leader may have started any task of this job on any machine without a
    /// record.
    pub may_run_anywhere: bool,
    /// Further attempts, of tasks already completed, that may be on `inherited_machines`.
    pub recovered_extra_attempts: u32,
    pub cancelled: bool,
    /// A transaction that records the job's completion is in flight.
    pub end_write_pending: bool,
    pub evictions: u32,
    /// Task errors since a task of the job last succeeded.
    pub errors: u32,
    /// Machines where those errors happened.
    pub failed_on_since_success: BTreeSet<MachineId>,
    /// Machines where a task of the job has failed, even before a task of the job last
    /// succeeded. The job is not placed there until it has waited for long.
    pub avoided_machines: BTreeSet<MachineId>,
    /// The job has failed on several machines since one of its tasks last succeeded, so the job
    /// is probably faulty itself. Its tasks are tried one at a time until one succeeds or runs
    /// for long.
    pub suspected_faulty: bool,
    /// The longest time that a task of the job ran before failing, in seconds.
    pub longest_failed_run_s: f64,
    pub backoff_until: Option<Time>,
    pub backoff_s: f64,
    /// The job causes no further eviction before this time.
    pub next_eviction_at: Time,
    /// Why the last scheduling cycle did not place the pending tasks.
    pub blocked_reason: BlockedReason,
    /// Set while a plan holds the job back: the reason.
    pub hold_reason: Option<&'static str>,
    /// When a plan needs the job to be complete, if that is before the job's own deadline.
    pub planned_deadline: Option<Time>,
    /// Plans whose reserved machines the job may use, one bit for each plan.
    pub reservations: u64,
    /// When a task of the job last started or completed; initially the submission time.
    pub last_progress: Time,
    /// A task of the job has run.
    pub has_started: bool,
    /// Seconds from acceptance to the first start, if this leader observed that start.
    pub start_delay_s: Option<f64>,
    /// The service history already contains whether the job met its deadline.
    pub deadline_counted: bool,
    /// A wait longer than this is logged next.
    pub next_wait_log_s: f64,
    // The following fields describe the progress record in the state service.
    /// Version of the key of the progress record: 0 if there is none, `None` if the version
    /// must be read before the next write.
    pub run_version: Option<u64>,
    /// Tasks from this index on are not covered by the recorded progress.
    pub recorded_first_unplanned: u32,
    pub recorded_machines: BTreeSet<MachineId>,
    pub recorded_done: Bitmap,
    pub recorded_evictions: u32,
    /// Since when the progress differs from its record.
    pub dirty_since: Option<Time>,
}

impl Job {
    pub fn new(
        spec: JobSpec,
        version: u64,
        submitted: Time,
        team: Option<usize>,
        smallest_cpus: f64,
        run: Option<(JobProgressRecord, u64)>,
    ) -> Job {
        let (run, run_version) = run.unwrap_or_default();
        let done = Bitmap::from_text(&run.done, spec.tasks).unwrap_or_else(|_| {
            tracing::error!(
                job = spec.id,
                "the record of completed tasks is unreadable; all tasks of the job run again"
            );
            Bitmap::new(spec.tasks)
        });
        let high = run.high_water.min(spec.tasks);
        let hosts: BTreeSet<MachineId> = run.hosts.iter().map(|h| h.as_str().into()).collect();
        let mut job = Job {
            shape: Shape::of_task(&spec),
            image: ImageKey::of(&spec.image),
            version,
            submitted_at: submitted,
            team,
            smallest_cpus,
            first_unplanned: high,
            requeued: BTreeSet::new(),
            placements: BTreeMap::new(),
            recovery_pending: (0..high).filter(|t| !done.contains(*t)).collect(),
            inherited_machines: hosts.clone(),
            may_run_anywhere: false,
            recovered_extra_attempts: run.orphaned_attempts,
            cancelled: false,
            end_write_pending: false,
            evictions: run.evictions,
            errors: 0,
            failed_on_since_success: BTreeSet::new(),
            avoided_machines: BTreeSet::new(),
            suspected_faulty: run.suspect,
            longest_failed_run_s: 0.0,
            backoff_until: None,
            backoff_s: 0.0,
            next_eviction_at: 0.0,
            blocked_reason: BlockedReason::NotConsidered,
            hold_reason: None,
            planned_deadline: None,
            reservations: 0,
            last_progress: submitted,
            has_started: run.running > 0 || done.count() > 0,
            start_delay_s: None,
            deadline_counted: false,
            next_wait_log_s: 0.0,
            run_version: Some(run_version),
            recorded_first_unplanned: high,
            recorded_machines: hosts,
            recorded_done: done.clone(),
            recorded_evictions: run.evictions,
            dirty_since: None,
            done,
            spec,
        };
        job.finish_recovery();
        job
    }

    /// Once no machine can hold the tasks whose recovery is pending, they may be started.
    pub fn finish_recovery(&mut self) {
        if self.inherited_machines.is_empty() && !self.may_run_anywhere {
            self.requeued.append(&mut self.recovery_pending);
        }
    }

    /// Whether tasks of the job may be started in degraded mode, without a record. Not so if
    /// the placement of one task depends on where the others run: a successor would have to
    /// know where all of them are.
    pub fn may_start_unrecorded(&self) -> bool {
        !self.is_service() && !self.spec.one_zone() && !self.spec.spread()
    }

    /// Assumes that an earlier leader started every task that is not completed, on any machine.
    pub fn assume_unrecorded_starts(&mut self) {
        if !self.may_start_unrecorded() {
            return;
        }
        self.may_run_anywhere = true;
        self.recovery_pending.append(&mut self.requeued);
        let never_placed = self.first_unplanned..self.spec.tasks;
        self.recovery_pending
            .extend(never_placed.filter(|t| !self.done.contains(*t)));
        self.first_unplanned = self.spec.tasks;
    }

    /// Number of tasks whose recovery is pending although no record mentions them.
    pub fn unrecorded_recovery_pending(&self) -> usize {
        if self.may_run_anywhere {
            self.recovery_pending
                .range(self.recorded_first_unplanned..)
                .count()
        } else {
            0
        }
    }

    /// Whether a worker may have started a task of this job that is not recorded.
    pub fn is_unrecorded(&self) -> bool {
        let unrecorded = |(task, p): (&u32, &Placement)| {
            p.may_be_known_to_worker() && !self.is_recorded(*task, &p.machine)
        };
        self.placements.iter().any(unrecorded)
    }

    /// Notes that a task of the job runs or has run. Returns the seconds from submission to this
    /// start if it is the job's first start and this leader launched the task
    /// (`launched_here`): the start time of a task launched by an earlier leader is unknown.
    pub fn record_start(&mut self, now: Time, launched_here: bool) -> Option<f64> {
        if std::mem::replace(&mut self.has_started, true) || !launched_here {
            return None;
        }
        self.start_delay_s = Some(now - self.submitted_at);
        self.start_delay_s
    }

    /// Number of tasks that wait for a machine.
    pub fn pending(&self) -> u32 {
        if self.cancelled {
            0
        } else {
            self.spec.tasks - self.first_unplanned + self.requeued.len() as u32
        }
    }

    /// Number of pending tasks that the next scheduling cycle may place.
    pub fn startable(&self) -> u32 {
        if self.hold_reason.is_some() {
            0
        } else if self.suspected_faulty {
            let trials = u32::from(self.placements.is_empty());
            self.pending().min(trials)
        } else {
            self.pending()
        }
    }

    /// Whether the job failed again when retried. It is then scheduled after all other jobs,
    /// or its retries would take the capacity of jobs that can succeed.
    pub fn is_scheduled_last(&self, first_backoff_s: f64) -> bool {
        self.suspected_faulty && self.backoff_s > first_backoff_s
    }

    /// Whether the next scheduling cycle may place a task of the job.
    pub fn is_schedulable(&self) -> bool {
        self.startable() > 0 && self.backoff_until.is_none() && !self.end_write_pending
    }

    /// Removes and returns the next pending task.
    pub fn take_next_task(&mut self) -> Option<u32> {
        if let Some(task) = self.requeued.pop_first() {
            return Some(task);
        }
        if self.first_unplanned < self.spec.tasks {
            self.first_unplanned += 1;
            return Some(self.first_unplanned - 1);
        }
        None
    }

    /// The tier and team, by which candidates for eviction are grouped.
    pub fn preemption_class(&self) -> PreemptionClass<Priority> {
        PreemptionClass {
            tier: self.spec.priority,
            team: self.team,
        }
    }

    /// Whether the job has been evicted so often, `limit` times for each of its tasks, that
    /// none of its tasks may be evicted any more. Evictions are counted in proportion to the
    /// number of tasks: with a limit for the whole job, a large best-effort array could no
    /// longer be evicted after its third task, and for hours it held machines that
    /// higher tiers needed.
    pub fn has_reached_eviction_limit(&self, limit: f64) -> bool {
        f64::from(self.evictions) >= limit * f64::from(self.spec.tasks)
    }

    /// Seconds that a stopped task gets to save a checkpoint: 0 if the job has no checkpoints,
    /// otherwise one second more than a save takes.
    pub fn save_grace_s(&self) -> f64 {
        if self.spec.checkpoint_s() > 0.0 {
            self.spec.save_s() + 1.0
        } else {
            0.0
        }
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    pub fn is_complete(&self) -> bool {
        !self.is_service() && self.done.is_full()
    }

    /// Number of tasks and attempts that use, or must be assumed to use, machines.
    pub fn occupied_tasks(&self) -> usize {
        self.placements.len()
            + self.recovery_pending.len()
            + self.inherited_extra_attempts() as usize
    }

    /// Number of attempts of completed tasks that an earlier leader left and that may still be
    /// on a machine.
    pub fn inherited_extra_attempts(&self) -> u32 {
        if self.inherited_machines.is_empty() {
            0
        } else {
            self.recovered_extra_attempts
        }
    }

    /// Number of attempts of completed tasks that are, or may be, still active.
    pub fn extra_attempts(&self) -> u32 {
        let launched = |(task, p): &(&u32, &Placement)| {
            self.done.contains(**task) && p.may_be_known_to_worker()
        };
        self.inherited_extra_attempts() + self.placements.iter().filter(launched).count() as u32
    }

    /// Whether the progress record tells a successor that the task may run on this machine.
    /// Outside degraded mode a launch is sent only then.
    pub fn is_recorded(&self, task: u32, machine: &MachineId) -> bool {
        task < self.recorded_first_unplanned && self.recorded_machines.contains(machine)
    }

    /// Machines that hold, or may hold, tasks of the job.
    pub fn machines(&self) -> BTreeSet<MachineId> {
        self.placements
            .values()
            .map(|p| p.machine.clone())
            .chain(self.inherited_machines.iter().cloned())
            .collect()
    }

    /// Notes that the progress differs from its record.
    pub fn mark_dirty(&mut self, now: Time) {
        if self.dirty_since.is_none() {
            self.dirty_since = Some(now);
        }
    }

    /// Whether a launch or an eviction waits for the progress to be recorded.
    pub fn is_write_urgent(&self) -> bool {
        self.recorded_evictions < self.evictions
            || self
                .placements
                .iter()
                .any(|(t, p)| !self.is_recorded(*t, &p.machine))
    }
}
