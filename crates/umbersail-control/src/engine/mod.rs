//! The controller's decisions as one state machine: events and the time go
//! in, commands, transactions and cloud calls come out. No I/O, no clock.
//!
//! The safety argument is in `docs/design.md`; the numbers in comments here
//! (rule 1 to 6) refer to it.

mod delegations;
mod evict;
mod grant;
mod ids;
mod job;
mod machine;
mod order;
mod plans;
mod reachability;
mod rental;
mod report;
mod schedule;
mod starvation_guard;
#[cfg(test)]
mod tests;
mod write;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use tracing::{info, warn};
use umbersail_cycle::PreemptibleJobs;
use umbersail_policy::{Learner, ServiceHistory, Shape, TeamLimits, Window};
use umbersail_standby::{OrphanedAttempts, OrphanedJobs};
use umbersail_tuning::Tuning;
use umbersail_wire::{JobProgress, MachineType, Priority, RentRequest};

use crate::records::{JobRecord, RunRecord};
use delegations::Delegation;
pub use grant::InheritedPart;
use grant::Part;
pub use ids::{JobId, MachineId};
pub(crate) use job::{Job, Placement, Stop};
pub(crate) use machine::Machine;
use order::CachedPriorityOrder;
pub use plans::InheritedPlan;
use plans::Plans;
pub(crate) use plans::cache_holds;
pub(crate) use plans::reserve_facts;
pub(crate) use report::split_task;
use schedule::SchedulingCycle;
use starvation_guard::StarvationGuard;
pub use write::{PendingTxn, TxnOutcome};

/// Seconds on this process's steady clock.
pub type Time = f64;

/// Low bits of a fencing token: the minor counter of one machine's increments. The
/// bits above are the epoch, the revision of the grant (rule 1).
const MINOR_COUNTER_BITS: u32 = 16;

/// The part of a token that tells holders apart.
pub fn epoch(token: u64) -> u64 {
    token >> MINOR_COUNTER_BITS
}

/// The least token of the holder whose grant has this revision.
pub fn token_of(revision: u64) -> u64 {
    revision << MINOR_COUNTER_BITS
}

/// A launch may be told to a worker only if a successor would know that it may
/// have been: by its record, or by its word to the holder that started without.
fn may_launch(job: &Job, task: u32, machine: &MachineId, open: bool) -> bool {
    job.is_recorded(task, machine) || (open && job.may_start_unrecorded())
}

/// What the engine knows of its deployment.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    pub member: String,
    pub teams: Vec<TeamLimits>,
    /// Classes with an aim on starting, and within how many seconds.
    pub start_aims: BTreeMap<String, f64>,
    /// The same for work of any class within its team's guarantee.
    pub guarantee_aim: Option<f64>,
    /// Classes whose jobs still count when they end within so many times
    /// their deadline.
    pub late_aims: BTreeMap<String, f64>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    pub txn_ops: usize,
    pub value_bytes: usize,
    /// Bound of the error of any node's time of day, in milliseconds.
    pub skew_ms: f64,
    /// Steps of a cycle after which reports and users come first.
    pub slice_steps: u64,
    pub tuning: Rc<Tuning>,
}

impl EngineConfig {
    pub fn renewal_s(&self) -> f64 {
        self.tuning.renewal_s(self.cancel_s, self.lease_s)
    }
}

/// What a new leader found in the state service.
pub struct Inheritance {
    /// Of the grant that moved the block here (rule 1).
    pub revision: u64,
    pub leader_version: u64,
    pub parts: Vec<InheritedPart>,
    pub jobs: Vec<InheritedJob>,
    /// Jobs that are over whose progress still stands.
    pub over: Vec<(String, RunRecord)>,
    /// The predecessor's build kept no progress of jobs that were over: machines
    /// count by their whole size until they are accounted for (rule 4).
    pub whole_machines: bool,
    /// A holder before us may have started tasks that no record tells of, and
    /// not all machines have been accounted for since (rule 3).
    pub predecessor_degraded: bool,
    pub types: Vec<MachineType>,
    pub plans: Vec<InheritedPlan>,
}

/// An unfinished job with the versions of its records.
pub struct InheritedJob {
    pub record: JobRecord,
    pub version: u64,
    pub run: Option<(RunRecord, u64)>,
}

#[derive(Debug, Clone, PartialEq)]
struct Refusal {
    until: Time,
    pause: f64,
}

/// A class's newest shape, to rent ahead for it.
#[derive(Debug, Clone)]
struct ClassSample {
    shape: Shape,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

/// An empty direct command that brings a worker a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fencing {
    pub machine: String,
    pub addr: std::net::SocketAddr,
    pub session: u64,
    pub token: u64,
}

/// What the cloud shall do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudAction {
    Rent(RentRequest),
    Delete(Vec<String>),
}

/// The controller of a machine block.
pub struct Engine {
    cfg: Rc<EngineConfig>,
    token: u64,
    leader_version: u64,
    elected_at: Time,
    types: Vec<MachineType>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    parts: Vec<Part>,
    /// Peers that may answer workers in our stead.
    delegations: BTreeMap<String, Delegation>,
    /// Machines with launches that no reply has carried yet, and perhaps some
    /// more.
    untold: BTreeSet<MachineId>,
    /// Jobs that are over whose progress still stands: removed when there is
    /// time for it.
    cleared: BTreeSet<JobId>,
    /// Jobs that are over whose attempts may still be about: their progress
    /// stands until they are gone (rule 4).
    orphaned_jobs: OrphanedJobs<JobId, MachineId>,
    whole_machines: bool,
    /// Machines that may hold tasks that no record tells of.
    unaccounted_machines: BTreeSet<MachineId>,
    /// A record says that something may run that none tells of.
    recovery_pending: bool,
    /// Tasks may be started before they are recorded.
    open: bool,
    attempts: u64,
    requests: u64,
    /// Rentals without an answer: asked again by the same name, which rents
    /// nothing twice, before anything else is rented.
    unanswered: VecDeque<RentRequest>,
    learner: Learner,
    samples: BTreeMap<String, ClassSample>,
    refusals: BTreeMap<(usize, String, bool), Refusal>,
    last_rental: Time,
    txn_in_flight: bool,
    schedule_wanted: bool,
    /// What is left of a cycle that was cut short.
    unfinished_cycle: Option<SchedulingCycle>,
    cached_order: Option<CachedPriorityOrder>,
    starvation_guard: StarvationGuard,
    served: ServiceHistory,
    /// False once a cycle has found nothing waiting.
    may_wait: bool,
    /// Who may lose a task, as jobs come and go.
    preemptible: PreemptibleJobs<Priority, JobId>,
    /// Jobs with tasks whose recovery is pending, by the machines that may hold them.
    inherited_by: BTreeMap<MachineId, Vec<JobId>>,
    /// No waiting job's task is smaller than this in any amount.
    least_shape: Shape,
    /// Work of cycles since it was last asked for.
    steps: u64,
    /// Jobs wait for a place with their image, for a moment only.
    awaiting: bool,
    lost: bool,
    next_status: Time,
    plans: Plans,
    /// Machines whose deletion was answered, the newest last: names that never
    /// come back, whatever a late list or report shows.
    deleted: VecDeque<MachineId>,
    gone: BTreeSet<MachineId>,
}

impl Engine {
    pub fn new(cfg: Rc<EngineConfig>, now: Time, unix_ms: u64, inheritance: Inheritance) -> Engine {
        let tuning = cfg.tuning.clone();
        let mut engine = Engine {
            token: token_of(inheritance.revision),
            leader_version: inheritance.leader_version,
            elected_at: now,
            types: inheritance.types,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            parts: Vec::new(),
            delegations: BTreeMap::new(),
            untold: BTreeSet::new(),
            cleared: BTreeSet::new(),
            orphaned_jobs: OrphanedJobs::default(),
            whole_machines: inheritance.whole_machines,
            unaccounted_machines: BTreeSet::new(),
            recovery_pending: inheritance.predecessor_degraded,
            open: false,
            attempts: 0,
            requests: 0,
            unanswered: VecDeque::new(),
            learner: Learner::new(
                tuning.class_limit as usize,
                tuning.learn_weight,
                Window {
                    jobs: tuning.window_jobs,
                    least_s: tuning.window_least_s,
                },
            ),
            samples: BTreeMap::new(),
            refusals: BTreeMap::new(),
            last_rental: now,
            txn_in_flight: false,
            schedule_wanted: true,
            unfinished_cycle: None,
            cached_order: None,
            starvation_guard: StarvationGuard::default(),
            served: ServiceHistory::new(
                2 * tuning.class_limit as usize,
                tuning.service_window_jobs as usize,
            ),
            may_wait: true,
            preemptible: PreemptibleJobs::default(),
            inherited_by: BTreeMap::new(),
            least_shape: Shape::default(),
            steps: 0,
            awaiting: false,
            lost: false,
            next_status: now,
            deleted: VecDeque::new(),
            plans: Plans::new(now, unix_ms, &cfg),
            gone: BTreeSet::new(),
            cfg,
        };
        engine.inherit_plans(now, inheritance.plans);
        for part in inheritance.parts {
            engine.inherit_part(now, part);
        }
        for (id, run) in inheritance.over {
            engine.inherit_orphaned_attempts(&id, run);
        }
        // In the order in which they came, which tells the rate of each class.
        let mut jobs = inheritance.jobs;
        jobs.sort_by_key(|job| job.record.accepted_ms);
        for job in jobs {
            engine.insert_job(now, unix_ms, job.record, job.version, job.run);
        }
        // A host that the grant no longer names was proven empty before it
        // was taken off, so only named ones can hold anything.
        let known = &engine.machines;
        if inheritance.predecessor_degraded {
            engine.unaccounted_machines = known.keys().cloned().collect();
        }
        for (id, job) in &mut engine.jobs {
            job.inherited.retain(|m| known.contains_key(m));
            if !engine.unaccounted_machines.is_empty() {
                job.may_run_anywhere();
            }
            job.finish_recovery();
            for machine in &job.inherited {
                let holders = engine.inherited_by.entry(machine.clone()).or_default();
                holders.push(id.clone());
            }
        }
        engine.inherit_reservations(now);
        engine
    }

    /// The revision of our grant.
    pub fn revision(&self) -> u64 {
        epoch(self.token)
    }

    /// The token for answers to this machine.
    pub fn token_for(&self, machine: &str) -> u64 {
        self.machines
            .get(machine)
            .map_or(self.token, |m| m.token.max(self.token))
    }

    /// Machines with launches ready whose next report is not due soon. A
    /// token that it has not seen makes a worker report within half a second;
    /// the launches then go with the reply, as ever (rule 5).
    pub fn token_increments(&mut self, now: Time) -> Vec<Fencing> {
        let mut out = Vec::new();
        let pause = self.cfg.lease_s / 2.0 + 0.5;
        let mut told: Vec<MachineId> = Vec::new();
        for name in &self.untold {
            let Some(machine) = self.machines.get_mut(name) else {
                told.push(name.clone());
                continue;
            };
            let (mut waits, mut ready) = (false, false);
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let untold = |p: &Placement| !p.told() && p.stop.is_none();
                if job.live.get(task).is_some_and(untold) {
                    waits = true;
                    ready |= may_launch(job, *task, name, self.open)
                        && !self.plans.images.waits(job.image, name);
                }
            }
            if !waits {
                told.push(name.clone());
            }
            let (Some(addr), Some(last)) = (machine.addr, machine.last_report) else {
                continue;
            };
            let due_in = last + self.cfg.report_s - now;
            if !ready
                || !machine.fenced
                || machine.reachability.is_unreachable()
                || due_in < self.cfg.tuning.increment_s
                || now - last < 0.0
                || machine
                    .token_incremented_at
                    .is_some_and(|at| now - at < pause)
            {
                continue;
            }
            let next = machine.token.max(self.token) + 1;
            if epoch(next) != epoch(self.token) {
                // Its count is used up, after days: it waits for its reports.
                continue;
            }
            machine.token_incremented_at = Some(now);
            machine.token = next;
            out.push(Fencing {
                machine: name.to_string(),
                addr,
                session: machine.session(),
                token: machine.token,
            });
        }
        for name in told {
            self.untold.remove(&name);
        }
        out
    }

    /// Completed and running tasks of a job. What an earlier holder started, by its record,
    /// runs until its machine shows otherwise.
    pub fn counts(&self, id: &str) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        let running = job.live.values().filter(|p| p.running_since.is_some());
        let inherited = job.recovery_pending.len() - job.unrecorded_recovery_pending();
        Some((job.done.count(), (running.count() + inherited) as u32))
    }

    /// The same of all jobs, as far as `most` goes.
    pub fn progress(&self, most: usize) -> Vec<JobProgress> {
        let ids = self.jobs.keys().take(most);
        ids.filter_map(|id| {
            let (done, running) = self.counts(id)?;
            Some(JobProgress {
                id: id.to_string(),
                done,
                running,
            })
        })
        .collect()
    }

    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// True once a write was refused because the leader's key is not ours.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Machines up, for logs and for judging whether workers reach us.
    pub fn live_machines(&self, now: Time) -> (usize, usize) {
        let up = self.machines.values().filter(|m| m.last_report.is_some());
        let limit = self.silent_after();
        let (mut live, mut all) = (0, 0);
        for m in up {
            all += 1;
            if m.silent_for(now) < limit {
                live += 1;
            }
        }
        (live, all)
    }

    fn silent_after(&self) -> f64 {
        (self.cfg.tuning.silent_reports * self.cfg.report_s).max(2.0)
    }

    fn type_index(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// New prices, or the first catalogue.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        let names: Vec<Option<String>> = self
            .machines
            .values()
            .map(|m| m.type_index.map(|i| self.types[i].name.clone()))
            .collect();
        self.types = types;
        let indices: Vec<Option<usize>> = names
            .iter()
            .map(|n| n.as_ref().and_then(|n| self.type_index(n)))
            .collect();
        for (machine, index) in self.machines.values_mut().zip(indices) {
            machine.type_index = index;
        }
        for job in self.jobs.values_mut() {
            self.plans.images.narrow(&mut job.spec, &self.types);
            job.smallest_cpus =
                umbersail_policy::smallest_cpus(&job.spec, &self.types).unwrap_or(f64::MAX);
        }
        // What stands in them is by type, and types may have moved.
        self.unfinished_cycle = None;
        self.cached_order = None;
        self.starvation_guard = StarvationGuard::default();
        self.schedule_wanted = true;
    }

    fn insert_job(
        &mut self,
        now: Time,
        unix_ms: u64,
        mut record: JobRecord,
        version: u64,
        run: Option<(RunRecord, u64)>,
    ) {
        self.plans.images.narrow(&mut record.spec, &self.types);
        let id: JobId = record.spec.id.as_str().into();
        let age_s = unix_ms.saturating_sub(record.accepted_ms) as f64 / 1000.0;
        let smallest =
            umbersail_policy::smallest_cpus(&record.spec, &self.types).unwrap_or(f64::MAX);
        let team = self
            .cfg
            .teams
            .iter()
            .position(|t| t.name == record.spec.team);
        self.samples.insert(
            record.spec.class.clone(),
            ClassSample {
                shape: Shape::of_task(&record.spec),
                types: record.spec.types.clone(),
                zone: record.spec.zone.clone(),
                spot: record.spec.spot(),
            },
        );
        if self.samples.len() > self.cfg.tuning.class_limit as usize {
            let known = &self.learner;
            self.samples.retain(|class, _| known.get(class).is_some());
        }
        self.learner
            .arrived(&record.spec.class, now - age_s, record.spec.tasks);
        if record.spec.kind == umbersail_wire::JobKind::Array {
            let run_s = self
                .learner
                .run_s(&record.spec.class, record.spec.estimate_s);
            self.learner.brought(
                &record.spec.class,
                now,
                run_s * f64::from(record.spec.tasks),
                self.cfg.tuning.load_window_s,
            );
        }
        let job = Job::new(record.spec, version, now - age_s, team, smallest, run);
        if self.is_ever_preemptible(&job) {
            self.preemptible.insert(job.preemption_class(), id.clone());
        }
        self.jobs.insert(id.clone(), job);
        self.plan_for_job(now, &id);
        self.note_waiting();
    }

    /// The watch shows an accepted job.
    pub fn job_accepted(&mut self, now: Time, unix_ms: u64, record: JobRecord, version: u64) {
        if !self.jobs.contains_key(record.spec.id.as_str()) {
            self.insert_job(now, unix_ms, record, version, None);
        }
    }

    /// The job's key is gone and it was not us who ended it: its user has
    /// cancelled it. From here on nothing of it is started.
    pub fn job_dropped(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        if !job.ending {
            info!(job = id, live = job.live.len(), "cancelled by its user");
        }
        for placement in job.live.values_mut() {
            placement.stop = Some(Stop {
                grace_s: 0.0,
                evictions: 0,
            });
        }
        // Tasks never told to any worker are gone at once.
        let planned: Vec<u32> = job
            .live
            .iter()
            .filter(|(_, p)| !p.told())
            .map(|(t, _)| *t)
            .collect();
        let id: JobId = id.into();
        for task in planned {
            self.remove_placement(&id, task);
        }
        self.drop_if_over(&id);
    }

    /// After the watch fell too far behind: the jobs that exist now.
    pub fn jobs_listed(&mut self, now: Time, unix_ms: u64, listed: Vec<(JobRecord, u64)>) {
        let present: BTreeSet<String> = listed.iter().map(|(r, _)| r.spec.id.clone()).collect();
        for (record, version) in listed {
            self.job_accepted(now, unix_ms, record, version);
        }
        let gone: Vec<JobId> = self
            .jobs
            .keys()
            .filter(|id| !present.contains(&***id))
            .cloned()
            .collect();
        for id in gone {
            self.job_dropped(&id);
        }
    }

    /// A cancelled job counts until nothing of it can run any more; then its
    /// progress may go (rule 4).
    fn drop_if_over(&mut self, id: &JobId) {
        let gone = |j: &Job| {
            j.cancelled
                && j.live.is_empty()
                && j.recovery_pending.is_empty()
                && j.inherited_extra() == 0
        };
        if self.jobs.get(id).is_some_and(gone)
            && let Some(job) = self.remove_job(id)
            && job.run_version != Some(0)
        {
            self.cleared.insert(id.clone());
        }
    }

    /// Progress of a job that was over before we were elected: what it did not
    /// hold as completed may still run on the machines that it names.
    fn inherit_orphaned_attempts(&mut self, id: &str, run: RunRecord) {
        let name: JobId = id.into();
        let teams = &self.cfg.teams;
        let known = |m: &&String| self.machines.contains_key(m.as_str());
        let orphaned_attempts = OrphanedAttempts {
            team: teams.iter().position(|t| t.name == run.team),
            shape: run.size.map(|(cpus, gpus, memory_gb)| Shape {
                cpus,
                gpus,
                memory_gb,
            }),
            attempts: run.high.saturating_sub(run.done_count) + run.extra,
            machines: (run.hosts.iter().filter(known))
                .map(|m| (m.as_str().into(), None))
                .collect(),
        };
        if !self.orphaned_jobs.insert(name.clone(), orphaned_attempts) {
            self.cleared.insert(name);
        }
    }

    fn remove_job(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.job_left_plans(&job);
        self.preemptible.remove(job.preemption_class(), id);
        Some(job)
    }

    /// Something may wait that did not: it has a place in the next cycle's order.
    fn note_waiting(&mut self) {
        self.may_wait = true;
        self.cached_order = None;
        self.schedule_wanted = true;
    }

    /// Takes a task off its machine; what becomes of it is up to the caller.
    fn remove_placement(&mut self, id: &JobId, task: u32) -> Option<Placement> {
        let job = self.jobs.get_mut(id)?;
        let placement = job.live.remove(&task)?;
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.release(id, task, &job.shape, job.image);
            if !machine.uses(job.image) {
                self.plans.images.unused(job.image, &machine.name);
            }
        }
        self.schedule_wanted = true;
        Some(placement)
    }

    /// The task is on no machine any more and has not completed.
    fn return_task(&mut self, id: &JobId, task: u32) {
        self.remove_placement(id, task);
        if let Some(job) = self.jobs.get_mut(id)
            && !job.cancelled
            && !job.done.contains(task)
        {
            job.returned.insert(task);
            self.note_waiting();
        }
        self.drop_if_over(id);
    }

    /// Nothing of ours or of an earlier holder is on this machine except what
    /// its newest report shows (rule 3).
    fn account(&mut self, name: &MachineId) {
        if let Some(machine) = self.machines.get_mut(name) {
            if !machine.inherited {
                return;
            }
            machine.inherited = false;
        }
        self.settle_unrecorded(name);
        // By machine, since a new leader hears of thousands of machines within
        // a second and has thousands of jobs.
        for id in self.inherited_by.remove(name).unwrap_or_default() {
            if let Some(job) = self.jobs.get_mut(&id)
                && job.inherited.remove(name)
            {
                job.finish_recovery();
                self.drop_if_over(&id);
            }
        }
        self.note_waiting();
    }

    /// Whether tasks may be started before they are recorded, from now on.
    pub fn set_degraded(&mut self, open: bool) {
        self.open = open;
    }

    /// Jobs of which something was started that no record tells of yet.
    pub fn unrecorded_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.is_unrecorded()).count()
    }

    /// Whether tasks wait that might be started without a record.
    pub fn has_waiting_for_degraded_mode(&self) -> bool {
        self.jobs
            .values()
            .any(|j| j.waits() && j.may_start_unrecorded())
    }

    /// The machine is accounted for: once all are, nothing can run that no
    /// record tells of.
    fn settle_unrecorded(&mut self, name: &MachineId) {
        if !self.unaccounted_machines.remove(name) || !self.unaccounted_machines.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        for (id, job) in &mut self.jobs {
            job.anywhere = false;
            job.finish_recovery();
            ended.push(id.clone());
        }
        for id in ended {
            self.drop_if_over(&id);
        }
        info!("all machines are accounted for: what runs is known");
    }

    /// Whether nothing runs any more that no record tells of. That all machines
    /// are accounted for is not enough: a successor finds only what is recorded,
    /// not what we saw in their reports.
    fn is_settled(&self) -> bool {
        self.unaccounted_machines.is_empty()
            && self.unrecorded_jobs() == 0
            && !self.machines.values().any(|m| m.unsized_strangers)
    }

    /// The machine holds nothing any more: lapsed, failed or deleted.
    fn clear_machine(&mut self, name: &MachineId) {
        let tasks: Vec<(JobId, u32)> = self
            .machines
            .get(name)
            .map(|m| m.tasks.iter().cloned().collect())
            .unwrap_or_default();
        for (id, task) in tasks {
            self.return_task(&id, task);
        }
        self.account(name);
        self.cleared.extend(self.orphaned_jobs.gone(name));
        if let Some(machine) = self.machines.get_mut(name) {
            machine.strangers = false;
            machine.unsized_strangers = false;
        }
    }

    /// One line on the whole block, for the on-call person.
    pub fn status(&self, now: Time) -> String {
        let mut by_kind: BTreeMap<(String, bool), [usize; 4]> = BTreeMap::new();
        for m in self.machines.values() {
            let name = m.type_index.map_or("unknown", |i| &self.types[i].name);
            let counts = by_kind.entry((name.to_owned(), m.spot)).or_default();
            let index = match () {
                () if m.last_report.is_none() => 0,
                () if !m.takes_tasks(now, self.silent_after()) => 3,
                () if m.tasks.is_empty() => 1,
                () => 2,
            };
            counts[index] += 1;
        }
        let mut by_class: BTreeMap<&str, [u32; 3]> = BTreeMap::new();
        for job in self.jobs.values() {
            let counts = by_class.entry(&job.spec.class).or_default();
            counts[0] += 1;
            counts[1] += job.pending();
            counts[2] += job.occupied() as u32;
        }
        use std::fmt::Write;
        let mut out = String::new();
        for ((name, spot), [boot, idle, busy, out_of_use]) in by_kind {
            let kind = if spot { "spot" } else { "ordinary" };
            // Writing to a String cannot fail.
            let _ = write!(
                out,
                "{name}/{kind} {boot} booting {idle} idle {busy} busy {out_of_use} out; "
            );
        }
        for (class, [jobs, waiting, placed]) in by_class {
            let _ = write!(
                out,
                "{class} {jobs} jobs {waiting} waiting {placed} placed; "
            );
        }
        out
    }

    /// TaskGroup that no event brings up.
    pub fn tick(&mut self, now: Time) {
        if now >= self.next_status {
            self.next_status = now + self.cfg.tuning.status_s;
            info!(status = self.status(now), "block");
        }
        let cfg = self.cfg.clone();
        let tuning = &cfg.tuning;
        let lease = cfg.lease_s * (1.0 + tuning.drift) + tuning.lapse_margin_s;
        let silenced_at = self.elected_at + cfg.renewal_s() * (1.0 + tuning.drift);
        let mut lapsed = Vec::new();
        for (name, machine) in &self.machines {
            let holds = machine.inherited || machine.strangers || !machine.tasks.is_empty();
            if machine.lapsed || !holds {
                continue;
            }
            // An earlier holder stops renewal_s after it lost the state service,
            // which was before we were elected (rule 3).
            let end = machine.renewed_by(silenced_at) + lease;
            if now > end && !self.may_be_renewed(now, end, lease) {
                lapsed.push(name.clone());
            }
        }
        for (name, machine) in &mut self.machines {
            machine.lapsed |= lapsed.binary_search(name).is_ok();
            if let Some(at) = machine.notice_until
                && now > at + 60.0
            {
                machine.notice_until = None;
            }
        }
        for name in lapsed {
            warn!(
                machine = &*name,
                "silent until its lease has lapsed: its tasks start elsewhere"
            );
            self.clear_machine(&name);
        }
        self.handle_notices(now);
        self.quarantine(now);
        self.tick_plans(now);
        self.count_late(now);
        self.schedule_wanted |= std::mem::take(&mut self.awaiting);
        let long_wait = tuning.long_wait_s;
        let mut rested = false;
        for (id, job) in &mut self.jobs {
            if job.backoff_until.is_some_and(|at| now >= at) {
                job.backoff_until = None;
                rested = true;
            }
            let since = job.last_progress.max(job.submitted);
            if job.pending() > 0 && now - since > job.next_wait_log.max(long_wait) {
                job.next_wait_log = 2.0 * (now - since);
                // What failed it once may be all that there is.
                job.error_machines.clear();
                info!(
                    job = &**id,
                    waited_s = (now - since) as u64,
                    pending = job.pending(),
                    reason = job.blocked,
                    "waits long"
                );
            }
        }
        if rested {
            self.note_waiting();
        }
    }

    /// Addresses of machines that have not yet seen our token.
    pub fn fence_targets(&self, now: Time) -> Vec<Fencing> {
        self.machines
            .values()
            .filter(|m| !m.fenced && m.inherited && m.last_report.is_none_or(|at| now - at > 1.0))
            .filter_map(|m| {
                Some(Fencing {
                    machine: m.name.to_string(),
                    addr: m.addr?,
                    session: m.session(),
                    token: m.token.max(self.token),
                })
            })
            .collect()
    }
}
