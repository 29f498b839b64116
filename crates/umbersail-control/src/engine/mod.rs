//! The controller's decisions as one state machine: events and the time go
//! in, commands, transactions and cloud calls come out. No I/O, no clock.
//!
//! The safety argument is in `docs/design.md`; the numbers in comments here
//! (rule 1 to 6) refer to it.

mod commands;
mod delegations;
mod eligibility;
mod evict;
mod grant;
mod heartbeats;
mod ids;
mod job;
mod jobs;
mod listing;
mod machine;
mod order;
mod placement;
mod plans;
mod reachability;
mod reclaim;
mod recovery;
mod rental;
mod schedule;
mod starvation_guard;
mod status;
mod task_ends;
#[cfg(test)]
mod tests;
mod tick;
mod tokens;
mod write;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use umbersail_cycle::PreemptibleJobs;
use umbersail_policy::{Learner, LoadWindow, ServiceHistory, Shape, TeamLimits};
use umbersail_standby::OrphanedJobs;
use umbersail_tuning::Tuning;
use umbersail_wire::{MachineType, Priority, RentRequest};

use crate::records::{JobProgressRecord, JobRecord};
use delegations::Delegation;
use grant::GrantPartState;
pub use grant::InheritedPart;
pub(crate) use heartbeats::split_task;
pub use ids::{JobId, MachineId};
pub(crate) use job::{BlockedReason, Job, PendingStop, Placement};
pub(crate) use machine::Machine;
use order::CachedPriorityOrder;
pub use plans::InheritedPlan;
use plans::Plans;
pub(crate) use plans::image_fits_cache;
pub(crate) use plans::reservation_limits;
use schedule::SchedulingCycle;
use starvation_guard::StarvationGuard;
pub use tokens::{FencingCommand, epoch, first_token};
pub use write::{PendingTxn, TxnOutcome};

/// Seconds on this process's steady clock.
pub type Time = f64;

/// What the engine knows of its deployment.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Name of this controller.
    pub member: String,
    /// Teams with their guarantees and limits.
    pub teams: Vec<TeamLimits>,
    /// Classes with an aim on starting, and within how many seconds.
    pub start_objectives: BTreeMap<String, f64>,
    /// The same for work of any class within its team's guarantee.
    pub guarantee_start_objective: Option<f64>,
    /// Classes whose jobs still count when they end within so many times
    /// their deadline.
    pub deadline_factors: BTreeMap<String, f64>,
    /// Seconds between two heartbeats of a worker.
    pub heartbeat_interval_s: f64,
    /// Seconds that a worker's lease lasts.
    pub lease_s: f64,
    /// Seconds within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
    /// Seconds by which the cloud's list is late.
    pub cloud_list_lag_s: f64,
    /// Most changes of one transaction.
    pub max_txn_changes: usize,
    /// Largest value of the state service, in bytes.
    pub max_value_bytes: usize,
    /// Bound of the error of any node's time of day, in milliseconds.
    pub max_clock_skew_ms: f64,
    /// Steps of a cycle after which reports and users come first.
    pub slice_steps: u64,
    /// Operators' constants.
    pub tuning: Rc<Tuning>,
}

impl EngineConfig {
    /// Seconds for which a leader that lost the state service goes on answering workers (rule 2).
    pub fn renewal_s(&self) -> f64 {
        self.tuning.renewal_s(self.cancel_s, self.lease_s)
    }
}

/// What a new leader found in the state service.
pub struct InheritedState {
    /// Of the grant that moved the block here (rule 1).
    pub revision: u64,
    /// Version of the leader's key, on which every write depends (rule 1).
    pub leader_version: u64,
    /// The grant, in parts.
    pub grant_parts: Vec<InheritedPart>,
    /// Unfinished jobs.
    pub jobs: Vec<InheritedJob>,
    /// Jobs that are over whose progress still stands.
    pub finished_jobs: Vec<(String, JobProgressRecord)>,
    /// The predecessor's build kept no progress of jobs that were over: machines
    /// count by their whole size until they are accounted for (rule 4).
    pub count_whole_machines: bool,
    /// A holder before us may have started tasks that no record tells of, and
    /// not all machines have been accounted for since (rule 3).
    pub predecessor_degraded: bool,
    /// Machine types of the cloud.
    pub types: Vec<MachineType>,
    /// Plans, as recorded.
    pub plans: Vec<InheritedPlan>,
}

/// An unfinished job with the versions of its records.
pub struct InheritedJob {
    /// The job as accepted.
    pub record: JobRecord,
    /// Version of the job's key.
    pub version: u64,
    /// Its progress with the version of that key, if any is recorded.
    pub run: Option<(JobProgressRecord, u64)>,
}

#[derive(Debug, Clone, PartialEq)]
struct RentalBackoff {
    until: Time,
    backoff_s: f64,
}

/// A class's newest shape, to rent ahead for it.
#[derive(Debug, Clone)]
struct ClassSample {
    task_shape: Shape,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

/// What the cloud shall do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudAction {
    /// Rent machines.
    Rent(RentRequest),
    /// Return these machines.
    Delete(Vec<String>),
}

/// The controller of a machine block.
pub struct Engine {
    cfg: Rc<EngineConfig>,
    token: u64,
    leader_version: u64,
    elected_at: Time,
    machine_types: Vec<MachineType>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    grant_parts: Vec<GrantPartState>,
    /// Peers that may answer workers in our stead.
    delegations: BTreeMap<String, Delegation>,
    /// Machines with launches that no reply has carried yet, and perhaps some
    /// more.
    machines_with_unsent_launches: BTreeSet<MachineId>,
    /// Jobs that are over whose progress still stands: removed when there is
    /// time for it.
    run_records_to_delete: BTreeSet<JobId>,
    /// Jobs that are over whose attempts may still be about: their progress
    /// stands until they are gone (rule 4).
    orphaned_jobs: OrphanedJobs<JobId, MachineId>,
    count_whole_machines: bool,
    /// Machines that may hold tasks that no record tells of.
    unaccounted_machines: BTreeSet<MachineId>,
    /// A record says that something may run that none tells of.
    recovery_pending: bool,
    /// Tasks may be started before they are recorded.
    degraded_mode: bool,
    attempt_counter: u64,
    request_counter: u64,
    /// Rentals without an answer: asked again by the same name, which rents
    /// nothing twice, before anything else is rented.
    unanswered_rentals: VecDeque<RentRequest>,
    learner: Learner,
    class_samples: BTreeMap<String, ClassSample>,
    rental_backoffs: BTreeMap<(usize, String, bool), RentalBackoff>,
    last_rental_at: Time,
    txn_in_flight: bool,
    cycle_requested: bool,
    /// What is left of a cycle that was cut short.
    unfinished_cycle: Option<SchedulingCycle>,
    cached_order: Option<CachedPriorityOrder>,
    starvation_guard: StarvationGuard,
    service_history: ServiceHistory,
    /// False once a cycle has found nothing waiting.
    may_have_waiting_jobs: bool,
    /// Who may lose a task, as jobs come and go.
    preemptible_jobs: PreemptibleJobs<Priority, JobId>,
    /// Jobs with tasks whose recovery is pending, by the machines that may hold them.
    inherited_jobs_by_machine: BTreeMap<MachineId, Vec<JobId>>,
    /// No waiting job's task is smaller than this in any amount.
    smallest_waiting_shape: Shape,
    /// Work of cycles since it was last asked for.
    cycle_steps: u64,
    /// Jobs wait for a place with their image, for a moment only.
    jobs_await_image: bool,
    leadership_lost: bool,
    next_status_at: Time,
    plans: Plans,
    /// Machines whose deletion was answered, the newest last: names that never
    /// come back, whatever a late list or report shows.
    deletion_order: VecDeque<MachineId>,
    deleted_machines: BTreeSet<MachineId>,
}

impl Engine {
    /// The engine of a new leader, at `now` on its steady clock and `unix_ms` milliseconds since 1970.
    pub fn new(
        cfg: Rc<EngineConfig>,
        now: Time,
        unix_ms: u64,
        inheritance: InheritedState,
    ) -> Engine {
        let tuning = cfg.tuning.clone();
        let mut engine = Engine {
            token: first_token(inheritance.revision),
            leader_version: inheritance.leader_version,
            elected_at: now,
            machine_types: inheritance.types.clone(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            grant_parts: Vec::new(),
            delegations: BTreeMap::new(),
            machines_with_unsent_launches: BTreeSet::new(),
            run_records_to_delete: BTreeSet::new(),
            orphaned_jobs: OrphanedJobs::default(),
            count_whole_machines: inheritance.count_whole_machines,
            unaccounted_machines: BTreeSet::new(),
            recovery_pending: inheritance.predecessor_degraded,
            degraded_mode: false,
            attempt_counter: 0,
            request_counter: 0,
            unanswered_rentals: VecDeque::new(),
            learner: Learner::new(
                tuning.max_classes as usize,
                tuning.learn_weight,
                LoadWindow {
                    jobs: tuning.load_window_jobs,
                    min_s: tuning.load_window_min_s,
                },
            ),
            class_samples: BTreeMap::new(),
            rental_backoffs: BTreeMap::new(),
            last_rental_at: now,
            txn_in_flight: false,
            cycle_requested: true,
            unfinished_cycle: None,
            cached_order: None,
            starvation_guard: StarvationGuard::default(),
            service_history: ServiceHistory::new(
                2 * tuning.max_classes as usize,
                tuning.service_window_jobs as usize,
            ),
            may_have_waiting_jobs: true,
            preemptible_jobs: PreemptibleJobs::default(),
            inherited_jobs_by_machine: BTreeMap::new(),
            smallest_waiting_shape: Shape::default(),
            cycle_steps: 0,
            jobs_await_image: false,
            leadership_lost: false,
            next_status_at: now,
            deletion_order: VecDeque::new(),
            plans: Plans::new(now, unix_ms, &cfg),
            deleted_machines: BTreeSet::new(),
            cfg,
        };
        engine.inherit(now, unix_ms, inheritance);
        engine
    }

    /// Takes in what earlier holders left: plans and machines first, which jobs refer to.
    fn inherit(&mut self, now: Time, unix_ms: u64, inheritance: InheritedState) {
        self.inherit_plans(now, inheritance.plans);
        for part in inheritance.grant_parts {
            self.inherit_part(now, part);
        }
        for (id, run) in inheritance.finished_jobs {
            self.inherit_orphaned_attempts(&id, run);
        }
        // In the order in which they came, which tells the rate of each class.
        let mut jobs = inheritance.jobs;
        jobs.sort_by_key(|job| job.record.accepted_ms);
        for job in jobs {
            self.insert_job(now, unix_ms, job.record, job.version, job.run);
        }
        if inheritance.predecessor_degraded {
            self.unaccounted_machines = self.machines.keys().cloned().collect();
        }
        self.inherit_recovery();
        self.inherit_reservations(now);
    }

    /// Which machines may hold tasks whose recovery is pending. A host that the grant no
    /// longer names was proven empty before it was taken off, so only named ones can.
    fn inherit_recovery(&mut self) {
        let known = &self.machines;
        for (id, job) in &mut self.jobs {
            job.inherited_machines.retain(|m| known.contains_key(m));
            if !self.unaccounted_machines.is_empty() {
                job.assume_unrecorded_starts();
            }
            job.finish_recovery();
            for machine in &job.inherited_machines {
                let holders = self
                    .inherited_jobs_by_machine
                    .entry(machine.clone())
                    .or_default();
                holders.push(id.clone());
            }
        }
    }

    /// The revision of our grant.
    pub fn revision(&self) -> u64 {
        epoch(self.token)
    }

    /// True once a write was refused because the leader's key is not ours.
    pub fn has_lost_leadership(&self) -> bool {
        self.leadership_lost
    }

    fn silence_limit_s(&self) -> f64 {
        (self.cfg.tuning.max_missed_heartbeats * self.cfg.heartbeat_interval_s).max(2.0)
    }

    fn type_index(&self, name: &str) -> Option<usize> {
        self.machine_types.iter().position(|t| t.name == name)
    }

    /// New prices, or the first catalogue.
    pub fn set_machine_types(&mut self, types: Vec<MachineType>) {
        let names: Vec<Option<String>> = self
            .machines
            .values()
            .map(|m| m.type_index.map(|i| self.machine_types[i].name.clone()))
            .collect();
        self.machine_types = types;
        let indices: Vec<Option<usize>> = names
            .iter()
            .map(|n| n.as_ref().and_then(|n| self.type_index(n)))
            .collect();
        for (machine, index) in self.machines.values_mut().zip(indices) {
            machine.type_index = index;
        }
        for job in self.jobs.values_mut() {
            self.plans
                .images
                .restrict_types(&mut job.spec, &self.machine_types);
            job.smallest_cpus =
                umbersail_policy::smallest_cpus(&job.spec, &self.machine_types).unwrap_or(f64::MAX);
        }
        // What stands in them is by type, and types may have moved.
        self.unfinished_cycle = None;
        self.cached_order = None;
        self.starvation_guard = StarvationGuard::default();
        self.cycle_requested = true;
    }
}
