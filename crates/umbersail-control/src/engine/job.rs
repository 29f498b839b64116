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
    NotLookedAt,
    TeamLimit,
    AwaitsImage,
    NoRoom,
    /// A plan holds it.
    Held(&'static str),
}

impl fmt::Display for BlockedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BlockedReason::NotLookedAt => "not yet looked at",
            BlockedReason::TeamLimit => "the team's limit",
            BlockedReason::AwaitsImage => "a place with its image is awaited",
            BlockedReason::NoRoom => "no machine has room",
            BlockedReason::Held(reason) => reason,
        })
    }
}

/// A stop order; it goes out once the record of the eviction stands.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Stop {
    pub grace_s: f64,
    /// The job's eviction count that must have been recorded first.
    pub evictions: u32,
}

impl Stop {
    /// Without time to save, and without an eviction to be recorded first.
    pub const AT_ONCE: Stop = Stop {
        grace_s: 0.0,
        evictions: 0,
    };
}

/// One attempt at a task, on one machine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Placement {
    pub machine: MachineId,
    pub attempt: u64,
    /// (session, seq) of the report whose reply carried the launch.
    pub ordered: Option<(u64, u64)>,
    pub seen: Option<TaskState>,
    /// When it was first seen running.
    pub running_since: Option<Time>,
    pub planned_at: Time,
    pub stop: Option<Stop>,
}

impl Placement {
    /// Some worker may know of it: it was launched, or shown in a report.
    pub fn told(&self) -> bool {
        self.ordered.is_some() || self.seen.is_some()
    }
}

/// An unfinished job.
pub(crate) struct Job {
    pub spec: JobSpec,
    pub version: u64,
    pub submitted: Time,
    pub team: Option<usize>,
    pub shape: Shape,
    pub image: ImageKey,
    pub smallest_cpus: f64,
    pub done: Bitmap,
    /// Tasks from here on were never planned.
    pub next: u32,
    /// Planned before, and on no machine now.
    pub returned: BTreeSet<u32>,
    pub live: BTreeMap<u32, Placement>,
    /// Started by an earlier holder and not yet seen: as good as running.
    pub recovery_pending: BTreeSet<u32>,
    /// Machines that may hold the tasks whose recovery is pending.
    pub inherited: BTreeSet<MachineId>,
    /// The holder before us may have started any of its tasks, on any machine,
    /// without a record.
    pub anywhere: bool,
    /// Attempts of completed tasks that may be on those, too.
    pub extra: u32,
    pub cancelled: bool,
    pub ending: bool,
    pub evictions: u32,
    /// Errors since the last success, and the machines they happened on.
    pub errors: u32,
    pub failed_on: BTreeSet<MachineId>,
    /// Machines that failed it at any time: it keeps off them.
    pub error_machines: BTreeSet<MachineId>,
    /// Failed on every machine that it tried: submitted with a mistake, as far as
    /// one can tell. One task at a time finds out whether it still does.
    pub suspect: bool,
    /// The longest that a task of it ran before it failed, in seconds.
    pub failed_after_s: f64,
    pub backoff_until: Option<Time>,
    pub backoff_s: f64,
    pub evict_hold_until: Time,
    /// Why its waiting tasks were not placed when it was last looked at.
    pub blocked: BlockedReason,
    /// A plan holds its tasks back, and why.
    pub held: Option<&'static str>,
    /// When a plan wants it complete, if that is sooner than its own deadline.
    pub planned_due: Option<Time>,
    /// Plans whose kept machines it may use, one bit each.
    pub reservations: u64,
    pub last_progress: Time,
    /// Something of it has run.
    pub has_begun: bool,
    /// Seconds from its acceptance until then, if we saw it.
    pub began_s: Option<f64>,
    /// How it fared against its deadline is counted.
    pub counted: bool,
    pub next_wait_log: f64,
    // What the state service holds.
    pub run_version: Option<u64>,
    pub recorded_high: u32,
    pub recorded_hosts: BTreeSet<MachineId>,
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
            submitted,
            team,
            smallest_cpus,
            next: high,
            returned: BTreeSet::new(),
            live: BTreeMap::new(),
            recovery_pending: (0..high).filter(|t| !done.contains(*t)).collect(),
            inherited: hosts.clone(),
            anywhere: false,
            extra: run.orphaned_attempts,
            cancelled: false,
            ending: false,
            evictions: run.evictions,
            errors: 0,
            failed_on: BTreeSet::new(),
            error_machines: BTreeSet::new(),
            suspect: run.suspect,
            failed_after_s: 0.0,
            backoff_until: None,
            backoff_s: 0.0,
            evict_hold_until: 0.0,
            blocked: BlockedReason::NotLookedAt,
            held: None,
            planned_due: None,
            reservations: 0,
            last_progress: submitted,
            has_begun: run.running > 0 || done.count() > 0,
            began_s: None,
            counted: false,
            next_wait_log: 0.0,
            run_version: Some(run_version),
            recorded_high: high,
            recorded_hosts: hosts,
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
        if self.inherited.is_empty() && !self.anywhere {
            self.returned.append(&mut self.recovery_pending);
        }
    }

    /// Whether its tasks may be started before a record tells of them. Where one
    /// task's place depends on the others' they may not: a successor would have
    /// to know where those are.
    pub fn may_start_unrecorded(&self) -> bool {
        !self.is_service() && !self.spec.one_zone() && !self.spec.spread()
    }

    /// Every task that is not completed may have been started, on any machine.
    pub fn may_run_anywhere(&mut self) {
        if !self.may_start_unrecorded() {
            return;
        }
        self.anywhere = true;
        self.recovery_pending.append(&mut self.returned);
        let never = self.next..self.spec.tasks;
        self.recovery_pending
            .extend(never.filter(|t| !self.done.contains(*t)));
        self.next = self.spec.tasks;
    }

    /// Tasks whose recovery is pending that no record tells of.
    pub fn unrecorded_recovery_pending(&self) -> usize {
        if self.anywhere {
            self.recovery_pending.range(self.recorded_high..).count()
        } else {
            0
        }
    }

    /// Whether a worker was told to start something that no record tells of.
    pub fn is_unrecorded(&self) -> bool {
        let unrecorded =
            |(task, p): (&u32, &Placement)| p.told() && !self.is_recorded(*task, &p.machine);
        self.live.iter().any(unrecorded)
    }

    /// A task of it was seen running, or to have run.
    /// After how many seconds it began, if it did just now by our own order: what an
    /// earlier holder started began at a time that we don't know.
    pub fn begins(&mut self, now: Time, ours: bool) -> Option<f64> {
        if std::mem::replace(&mut self.has_begun, true) || !ours {
            return None;
        }
        self.began_s = Some(now - self.submitted);
        self.began_s
    }

    /// Tasks that wait for a machine.
    pub fn pending(&self) -> u32 {
        if self.cancelled {
            0
        } else {
            self.spec.tasks - self.next + self.returned.len() as u32
        }
    }

    /// Of those, how many the next cycle may place.
    pub fn startable(&self) -> u32 {
        if self.held.is_some() {
            0
        } else if self.suspect {
            let probes = u32::from(self.live.is_empty());
            self.pending().min(probes)
        } else {
            self.pending()
        }
    }

    /// Whether it failed again when it was tried once more: it goes after all others,
    /// or its tries would take the places of those that can be done.
    pub fn goes_last(&self, first_backoff_s: f64) -> bool {
        self.suspect && self.backoff_s > first_backoff_s
    }

    /// Whether the next cycle may place something of it.
    pub fn waits(&self) -> bool {
        self.startable() > 0 && self.backoff_until.is_none() && !self.ending
    }

    /// Takes the next waiting task.
    pub fn take_pending(&mut self) -> Option<u32> {
        if let Some(task) = self.returned.pop_first() {
            return Some(task);
        }
        if self.next < self.spec.tasks {
            self.next += 1;
            return Some(self.next - 1);
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
    pub fn is_spared(&self, limit: f64) -> bool {
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
    pub fn occupied(&self) -> usize {
        self.live.len() + self.recovery_pending.len() + self.inherited_extra() as usize
    }

    /// Attempts of completed tasks that an earlier holder left, as long as a
    /// machine may hold them.
    pub fn inherited_extra(&self) -> u32 {
        if self.inherited.is_empty() {
            0
        } else {
            self.extra
        }
    }

    /// Attempts that are about, or may be, beside those of tasks not completed.
    pub fn extra(&self) -> u32 {
        let told = |(task, p): &(&u32, &Placement)| self.done.contains(**task) && p.told();
        self.inherited_extra() + self.live.iter().filter(told).count() as u32
    }

    /// A launch may be told to a worker only if a successor would know of it.
    pub fn is_recorded(&self, task: u32, machine: &MachineId) -> bool {
        task < self.recorded_high && self.recorded_hosts.contains(machine)
    }

    pub fn hosts(&self) -> BTreeSet<MachineId> {
        self.live
            .values()
            .map(|p| p.machine.clone())
            .chain(self.inherited.iter().cloned())
            .collect()
    }

    pub fn touch(&mut self, now: Time) {
        if self.dirty_since.is_none() {
            self.dirty_since = Some(now);
        }
    }

    /// A write that somebody waits for: a launch, or an eviction.
    pub fn is_write_urgent(&self) -> bool {
        self.recorded_evictions < self.evictions
            || self
                .live
                .iter()
                .any(|(t, p)| !self.is_recorded(*t, &p.machine))
    }
}
