//! The decisions of the leader as a deterministic state machine: its inputs are events and the
//! current time, its outputs are commands, transactions and calls to the cloud. It does no I/O
//! and reads no clock.
//!
//! The safety argument is in `docs/design.md`; "rule 1" to "rule 6" in comments refer to it.

mod commands;
mod delegations;
mod demand;
mod eligibility;
mod evict;
mod grant_record;
mod heartbeats;
mod ids;
mod job;
mod jobs;
mod listing;
mod long_running;
mod machine;
mod placement;
mod plans;
mod priority_order;
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
use grant_record::GrantPartState;
pub use grant_record::InheritedPart;
pub(crate) use heartbeats::split_task;
pub use ids::{JobId, MachineId};
pub(crate) use job::{BlockedReason, Job, PendingStop, Placement};
pub(crate) use machine::Machine;
pub use plans::InheritedPlan;
use plans::Plans;
pub(crate) use plans::image_fits_cache;
pub(crate) use plans::reservation_limits;
use priority_order::CachedPriorityOrder;
use schedule::SchedulingCycle;
use starvation_guard::StarvationGuard;
pub use tokens::{FencingCommand, epoch, first_token};
pub use write::{PendingTxn, TxnOutcome};

/// Seconds on the monotonic clock of this process.
pub type Time = f64;

/// Configuration of the engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Name of this controller.
    pub member: String,
    /// Teams with their guarantees and limits.
    pub teams: Vec<TeamLimits>,
    /// Job classes with a service-level objective for starting: within how many seconds.
    pub start_objectives: BTreeMap<String, f64>,
    /// The same for jobs of any class that are within their team's guarantee.
    pub guarantee_start_objective: Option<f64>,
    /// Job classes whose service-level objective allows an end after the deadline: the factor
    /// by which a job may exceed its deadline and still meet the objective.
    pub deadline_factors: BTreeMap<String, f64>,
    /// Seconds between two heartbeats of a worker.
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease in seconds.
    pub lease_s: f64,
    /// Seconds within which the tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
    /// Seconds by which the cloud's list of machines may be out of date.
    pub cloud_list_lag_s: f64,
    /// Maximum number of changes in one transaction.
    pub max_txn_changes: usize,
    /// Maximum size of a value in the state service, in bytes.
    pub max_value_bytes: usize,
    /// Maximum error of the wall clock of any node, in milliseconds.
    pub max_clock_skew_ms: f64,
    /// Number of steps after which a scheduling cycle pauses so that heartbeats and user requests
    /// are handled first.
    pub slice_steps: u64,
    /// Settings that operators can tune.
    pub tuning: Rc<Tuning>,
}

impl EngineConfig {
    /// Seconds for which a leader that has lost the state service continues to answer workers
    /// (rule 2).
    pub fn renewal_s(&self) -> f64 {
        self.tuning.renewal_s(self.cancel_s, self.lease_s)
    }
}

/// What a new leader found in the state service.
pub struct InheritedState {
    /// Revision of the grant that made this controller the leader (rule 1).
    pub revision: u64,
    /// Version of the leader's key, which is a condition of every write (rule 1).
    pub leader_version: u64,
    /// The parts of the grant record.
    pub grant_parts: Vec<InheritedPart>,
    /// Unfinished jobs.
    pub jobs: Vec<InheritedJob>,
    /// Finished jobs whose progress records still exist.
    pub finished_jobs: Vec<(String, JobProgressRecord)>,
    /// The predecessor ran a build that kept no progress records of finished jobs: each machine
    /// counts as used in full until it is accounted for, which means that the tasks that
    /// earlier leaders left on it are known (rule 4).
    pub count_whole_machines: bool,
    /// An earlier leader may have started tasks that are not recorded, and not all machines have
    /// been accounted for since then (rule 3).
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
    /// The job's progress and the version of that record, if one exists.
    pub run: Option<(JobProgressRecord, u64)>,
}

/// Pause of rentals of one machine type in one zone, as spot or ordinary machines, after a
/// refusal.
#[derive(Debug, Clone, PartialEq)]
struct RentalBackoff {
    until: Time,
    backoff_s: f64,
}

/// Requirements of the newest job of a class, for renting machines in advance.
#[derive(Debug, Clone)]
struct ClassSample {
    task_shape: Shape,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudAction {
    /// Rent machines.
    Rent(RentRequest),
    /// Return these machines.
    Delete(Vec<String>),
}

/// The state of a leader that schedules jobs on its fleet of machines.
pub struct Engine {
    cfg: Rc<EngineConfig>,
    /// Lowest fencing token of this leader.
    token: u64,
    /// Version of the leader's key, a condition of every write.
    leader_version: u64,
    elected_at: Time,
    machine_types: Vec<MachineType>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    grant_parts: Vec<GrantPartState>,
    /// Peers that may renew workers' leases on behalf of this leader, by name.
    delegations: BTreeMap<String, Delegation>,
    /// A superset of the machines with launches that no reply has carried yet.
    machines_with_unsent_launches: BTreeSet<MachineId>,
    /// Finished jobs whose progress records can be deleted when nothing urgent is due.
    run_records_to_delete: BTreeSet<JobId>,
    /// Finished jobs with attempts that may still run: their progress records are kept until
    /// these attempts are gone (rule 4).
    orphaned_jobs: OrphanedJobs<JobId, MachineId>,
    /// Machines that are not accounted for count as used in full (rule 4).
    count_whole_machines: bool,
    /// Machines that may hold tasks that are not recorded.
    unaccounted_machines: BTreeSet<MachineId>,
    /// The state service holds a note that unrecorded tasks may run.
    recovery_pending: bool,
    /// Tasks may be started before they are recorded.
    degraded_mode: bool,
    attempt_counter: u64,
    request_counter: u64,
    /// Rentals without an answer. Each is sent again before any other rental, under the same
    /// request name, so that the cloud does not rent machines twice.
    unanswered_rentals: VecDeque<RentRequest>,
    learner: Learner,
    /// Requirements of the newest job of each class.
    class_samples: BTreeMap<String, ClassSample>,
    /// Pauses of rentals by machine type, zone and whether the machines are spot instances.
    rental_backoffs: BTreeMap<(usize, String, bool), RentalBackoff>,
    /// When rentals were last planned.
    last_rental_at: Time,
    txn_in_flight: bool,
    /// A scheduling cycle is to run.
    cycle_requested: bool,
    /// The rest of a scheduling cycle that was paused after a slice.
    unfinished_cycle: Option<SchedulingCycle>,
    cached_order: Option<CachedPriorityOrder>,
    starvation_guard: StarvationGuard,
    service_history: ServiceHistory,
    /// False once a scheduling cycle has found no waiting job.
    may_have_waiting_jobs: bool,
    /// Jobs whose tasks may be evicted, by preemption class; updated as jobs come and go.
    preemptible_jobs: PreemptibleJobs<Priority, JobId>,
    /// Jobs with tasks whose recovery is pending, by the machines that may hold these tasks.
    inherited_jobs_by_machine: BTreeMap<MachineId, Vec<JobId>>,
    /// Lower bound, for each resource, on the tasks of all waiting jobs.
    smallest_waiting_shape: Shape,
    /// Steps of scheduling cycles since the number was last read.
    cycle_steps: u64,
    /// Jobs wait for a short time for capacity on a machine that has their image.
    jobs_await_image: bool,
    /// A write failed because the leader's key has changed.
    leadership_lost: bool,
    next_status_at: Time,
    plans: Plans,
    /// The names in `deleted_machines`, the newest last; the oldest are dropped first.
    deletion_order: VecDeque<MachineId>,
    /// Machines whose deletion the cloud has confirmed. Names are not reused: a delayed list or
    /// heartbeat that contains one of them is ignored.
    deleted_machines: BTreeSet<MachineId>,
}

impl Engine {
    /// The engine of a new leader, at `now` on its monotonic clock and `unix_ms` milliseconds since
    /// 1970.
    pub fn new(
        cfg: Rc<EngineConfig>,
        now: Time,
        unix_ms: u64,
        inherited: InheritedState,
    ) -> Engine {
        let tuning = cfg.tuning.clone();
        let mut engine = Engine {
            token: first_token(inherited.revision),
            leader_version: inherited.leader_version,
            elected_at: now,
            machine_types: inherited.types.clone(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            grant_parts: Vec::new(),
            delegations: BTreeMap::new(),
            machines_with_unsent_launches: BTreeSet::new(),
            run_records_to_delete: BTreeSet::new(),
            orphaned_jobs: OrphanedJobs::default(),
            count_whole_machines: inherited.count_whole_machines,
            unaccounted_machines: BTreeSet::new(),
            recovery_pending: inherited.predecessor_degraded,
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
        engine.inherit(now, unix_ms, inherited);
        engine
    }

    /// Takes over the state of earlier leaders: first plans and machines, to which jobs refer.
    fn inherit(&mut self, now: Time, unix_ms: u64, inherited: InheritedState) {
        self.inherit_plans(now, inherited.plans);
        for part in inherited.grant_parts {
            self.inherit_part(now, part);
        }
        for (id, run) in inherited.finished_jobs {
            self.inherit_orphaned_attempts(&id, run);
        }
        // In the order of arrival, from which the arrival rate of each class is learned.
        let mut jobs = inherited.jobs;
        jobs.sort_by_key(|job| job.record.accepted_ms);
        for job in jobs {
            self.insert_job(now, unix_ms, job.record, job.version, job.run);
        }
        if inherited.predecessor_degraded {
            self.unaccounted_machines = self.machines.keys().cloned().collect();
        }
        self.inherit_recovery();
        self.inherit_reservations(now);
    }

    /// Determines which machines may hold tasks whose recovery is pending. Only machines in the
    /// grant record can: a machine is removed from the record only once it is certain that no
    /// task runs on it.
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

    /// The revision of this leader's grant.
    pub fn revision(&self) -> u64 {
        epoch(self.token)
    }

    /// True once a write was rejected because the leader's key no longer belongs to this leader.
    pub fn has_lost_leadership(&self) -> bool {
        self.leadership_lost
    }

    /// Seconds without a heartbeat after which a machine counts as silent.
    fn silence_limit_s(&self) -> f64 {
        (self.cfg.tuning.max_missed_heartbeats * self.cfg.heartbeat_interval_s).max(2.0)
    }

    fn type_index(&self, name: &str) -> Option<usize> {
        self.machine_types.iter().position(|t| t.name == name)
    }

    /// Applies a new catalogue of machine types, for example with new prices.
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
        // The rest of a cycle, the cached order and the starvation guard refer to machine types
        // by index, and the indices may have changed.
        self.unfinished_cycle = None;
        self.cached_order = None;
        self.starvation_guard = StarvationGuard::default();
        self.cycle_requested = true;
    }
}
