use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use umbersail_cycle::{ImageKey, PreemptionClass};
use umbersail_policy::{Bitmap, Shape};
use umbersail_wire::{JobKind, JobSpec, Priority, TaskState};

use super::{MachineId, Time};
use crate::records::JobProgressRecord;

/// Why a job's waiting tasks were not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BlockedReason {
    NotConsidered,
    TeamLimit,
    AwaitingImage,
    NoCapacity,
    /// A plan holds it.
    HeldByPlan(&'static str),
}

impl fmt::Display for BlockedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BlockedReason::NotConsidered => "not yet looked at",
            BlockedReason::TeamLimit => "the team's limit",
            BlockedReason::AwaitingImage => "a place with its image is awaited",
            BlockedReason::NoCapacity => "no machine has room",
            BlockedReason::HeldByPlan(reason) => reason,
        })
    }
}

/// A stop order; it goes out once the record of the eviction stands.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PendingStop {
    pub grace_s: f64,
    /// The job's eviction count that must have been recorded first.
    pub required_eviction_count: u32,
}

impl PendingStop {
    /// Without time to save, and without an eviction to be recorded first.
    pub const IMMEDIATE: PendingStop = PendingStop {
        grace_s: 0.0,
        required_eviction_count: 0,
    };
}

/// One attempt at a task, on one machine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Placement {
    pub machine: MachineId,
    pub attempt: u64,
    /// (session, seq) of the report whose reply carried the launch.
    pub launched_in: Option<(u64, u64)>,
    pub observed_state: Option<TaskState>,
    /// When it was first seen running.
    pub running_since: Option<Time>,
    pub placed_at: Time,
    pub pending_stop: Option<PendingStop>,
}

impl Placement {
    /// Some worker may know of it: it was launched, or shown in a report.
    pub fn may_be_known_to_worker(&self) -> bool {
        self.launched_in.is_some() || self.observed_state.is_some()
    }
}

/// An unfinished job.
pub(crate) struct Job {
    pub spec: JobSpec,
    pub version: u64,
    pub submitted_at: Time,
    pub team: Option<usize>,
    pub shape: Shape,
    pub image: ImageKey,
    pub smallest_cpus: f64,
    pub done: Bitmap,
    /// Tasks from here on were never planned.
    pub first_unplanned: u32,
    /// Planned before, and on no machine now.
    pub requeued: BTreeSet<u32>,
    pub placements: BTreeMap<u32, Placement>,
    /// Started by an earlier holder and not yet seen: as good as running.
    pub recovery_pending: BTreeSet<u32>,
    /// Machines that may hold the tasks whose recovery is pending.
    pub inherited_machines: BTreeSet<MachineId>,
    /// The holder before us may have started any of its tasks, on any machine,
    /// without a record.
    pub may_run_anywhere: bool,
    /// Attempts of completed tasks that may be on those, too.
    pub recovered_extra_attempts: u32,
    pub cancelled: bool,
    pub end_write_pending: bool,
    pub evictions: u32,
    /// Errors since the last success, and the machines they happened on.
    pub errors: u32,
    pub failed_on_since_success: BTreeSet<MachineId>,
    /// Machines that failed it at any time: it keeps off them.
    pub avoided_machines: BTreeSet<MachineId>,
    /// Failed on every machine that it tried: submitted with a mistake, as far as
    /// one can tell. One task at a time finds out whether it still does.
    pub suspected_faulty: bool,
    /// The longest that a task of it ran before it failed, in seconds.
    pub longest_failed_run_s: f64,
    pub backoff_until: Option<Time>,
    pub backoff_s: f64,
    pub next_eviction_at: Time,
    /// Why its waiting tasks were not placed when it was last looked at.
    pub blocked_reason: BlockedReason,
    /// A plan holds its tasks back, and why.
    pub hold_reason: Option<&'static str>,
    /// When a plan wants it complete, if that is sooner than its own deadline.
    pub planned_deadline: Option<Time>,
    /// Plans whose kept machines it may use, one bit each.
    pub reservations: u64,
    pub last_progress: Time,
    /// Something of it has run.
    pub has_started: bool,
    /// Seconds from its acceptance until then, if we saw it.
    pub start_delay_s: Option<f64>,
    /// How it fared against its deadline is counted.
    pub deadline_counted: bool,
    pub next_wait_log_s: f64,
    // What the state service holds.
    pub run_version: Option<u64>,
    pub recorded_first_unplanned: u32,
    pub recorded_machines: BTreeSet<MachineId>,
    pub recorded_done: Bitmap,
    pub recorded_evictions: u32,
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
                "its record of completed tasks is unreadable; they run again"
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

    /// Once no machine can hold them, tasks whose recovery is pending are free to start.
    pub fn finish_recovery(&mut self) {
        if self.inherited_machines.is_empty() && !self.may_run_anywhere {
            self.requeued.append(&mut self.recovery_pending);
        }
    }

    /// Whether its tasks may be started before a record tells of them. Where one
    /// task's place depends on the others' they may not: a successor would have
    /// to know where those are.
    pub fn may_start_unrecorded(&self) -> bool {
        !self.is_service() && !self.spec.one_zone() && !self.spec.spread()
    }

    /// Every task that is not completed may have been started, on any machine.
    pub fn assume_unrecorded_starts(&mut self) {
        if !self.may_start_unrecorded() {
            return;
        }
        self.may_run_anywhere = true;
        self.recovery_pending.append(&mut self.requeued);
        let never = self.first_unplanned..self.spec.tasks;
        self.recovery_pending
            .extend(never.filter(|t| !self.done.contains(*t)));
        self.first_unplanned = self.spec.tasks;
    }

    /// Tasks whose recovery is pending that no record tells of.
    pub fn unrecorded_recovery_pending(&self) -> usize {
        if self.may_run_anywhere {
            self.recovery_pending
                .range(self.recorded_first_unplanned..)
                .count()
        } else {
            0
        }
    }

    /// Whether a worker was told to start something that no record tells of.
    pub fn is_unrecorded(&self) -> bool {
        let unrecorded = |(task, p): (&u32, &Placement)| {
            p.may_be_known_to_worker() && !self.is_recorded(*task, &p.machine)
        };
        self.placements.iter().any(unrecorded)
    }

    /// A task of it was seen running, or to have run.
    /// After how many seconds it began, if it did just now by our own order: what an
    /// earlier holder started began at a time that we don't know.
    pub fn record_start(&mut self, now: Time, ours: bool) -> Option<f64> {
        if std::mem::replace(&mut self.has_started, true) || !ours {
            return None;
        }
        self.start_delay_s = Some(now - self.submitted_at);
        self.start_delay_s
    }

    /// Tasks that wait for a machine.
    pub fn pending(&self) -> u32 {
        if self.cancelled {
            0
        } else {
            self.spec.tasks - self.first_unplanned + self.requeued.len() as u32
        }
    }

    /// Of those, how many the next cycle may place.
    pub fn startable(&self) -> u32 {
        if self.hold_reason.is_some() {
            0
        } else if self.suspected_faulty {
            let probes = u32::from(self.placements.is_empty());
            self.pending().min(probes)
        } else {
            self.pending()
        }
    }

    /// Whether it failed again when it was tried once more: it goes after all others,
    /// or its tries would take the places of those that can be done.
    pub fn is_scheduled_last(&self, first_backoff_s: f64) -> bool {
        self.suspected_faulty && self.backoff_s > first_backoff_s
    }

    /// Whether the next cycle may place something of it.
    pub fn is_schedulable(&self) -> bool {
        self.startable() > 0 && self.backoff_until.is_none() && !self.end_write_pending
    }

    /// Takes the next waiting task.
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

    pub fn preemption_class(&self) -> PreemptionClass<Priority> {
        PreemptionClass {
            tier: self.spec.priority,
            team: self.team,
        }
    }

    /// Whether it has lost tasks so often that it is no candidate any more: so many
    /// times for each of its tasks. Counted by job alone, a large array of a guest was
    /// spared for good after its third task, and held machines that upper tiers
    /// wanted for hours.
    pub fn has_reached_eviction_limit(&self, limit: f64) -> bool {
        f64::from(self.evictions) >= limit * f64::from(self.spec.tasks)
    }

    /// Seconds that a task is given to save when it is stopped: none if it saves nothing,
    /// else a second more than it needs.
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

    /// Tasks that use, or must be assumed to use, machines.
    pub fn occupied_tasks(&self) -> usize {
        self.placements.len()
            + self.recovery_pending.len()
            + self.inherited_extra_attempts() as usize
    }

    /// Attempts of completed tasks that an earlier holder left, as long as a
    /// machine may hold them.
    pub fn inherited_extra_attempts(&self) -> u32 {
        if self.inherited_machines.is_empty() {
            0
        } else {
            self.recovered_extra_attempts
        }
    }

    /// Attempts that are about, or may be, beside those of tasks not completed.
    pub fn extra_attempts(&self) -> u32 {
        let launched = |(task, p): &(&u32, &Placement)| {
            self.done.contains(**task) && p.may_be_known_to_worker()
        };
        self.inherited_extra_attempts() + self.placements.iter().filter(launched).count() as u32
    }

    /// A launch may be told to a worker only if a successor would know of it.
    pub fn is_recorded(&self, task: u32, machine: &MachineId) -> bool {
        task < self.recorded_first_unplanned && self.recorded_machines.contains(machine)
    }

    pub fn machines(&self) -> BTreeSet<MachineId> {
        self.placements
            .values()
            .map(|p| p.machine.clone())
            .chain(self.inherited_machines.iter().cloned())
            .collect()
    }

    pub fn mark_dirty(&mut self, now: Time) {
        if self.dirty_since.is_none() {
            self.dirty_since = Some(now);
        }
    }

    /// A write that somebody waits for: a launch, or an eviction.
    pub fn is_write_urgent(&self) -> bool {
        self.recorded_evictions < self.evictions
            || self
                .placements
                .iter()
                .any(|(t, p)| !self.is_recorded(*t, &p.machine))
    }
}
