//! The table of unfinished jobs: insertion, cancellation, removal and requeueing of tasks.

use std::collections::BTreeSet;

use tracing::info;
use umbersail_policy::Shape;
use umbersail_standby::OrphanedAttempts;
use umbersail_wire::{JobProgress, TaskCounts};

use super::job::{PendingStop, Placement};
use super::{ClassSample, Engine, Job, JobId, Time};
use crate::records::{JobProgressRecord, JobRecord};

/// A worker sends a heartbeat on any change of its tasks, this long after the one before at
/// the latest, in seconds.
const HEARTBEAT_AFTER_CHANGE_S: Time = 0.5;

impl Engine {
    /// Numbers of completed and of running tasks of a job. Tasks that an earlier leader started
    /// according to the job's record count as running until their machine is accounted for, so
    /// that it is known what runs there. A task that was launched counts as running, too, once
    /// the heartbeat that would list it is overdue: the machine may have been cut off since.
    pub fn job_progress(&self, now: Time, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id)?;
        let running = job
            .placements
            .values()
            .filter(|p| p.running_since.is_some() || self.may_have_started_unseen(now, p));
        let inherited = job.recovery_pending.len() - job.unrecorded_recovery_pending();
        Some(TaskCounts {
            done: job.done.count(),
            running: (running.count() + inherited) as u32,
        })
    }

    /// Whether the launch of this attempt was sent, no heartbeat has listed the attempt yet, and
    /// its machine is silent.
    fn may_have_started_unseen(&self, now: Time, placement: &Placement) -> bool {
        if placement.launched_in.is_none() || placement.observed_state.is_some() {
            return false;
        }
        let machine = self.machines.get(&placement.machine);
        let last_heartbeat = machine.and_then(|machine| machine.last_heartbeat);
        last_heartbeat.is_some_and(|at| now - at > HEARTBEAT_AFTER_CHANGE_S)
    }

    /// The progress of up to `limit` jobs.
    pub fn all_job_progress(&self, now: Time, limit: usize) -> Vec<JobProgress> {
        let ids = self.jobs.keys().take(limit);
        ids.filter_map(|id| {
            let TaskCounts { done, running } = self.job_progress(now, id)?;
            Some(JobProgress {
                id: id.to_string(),
                done,
                running,
            })
        })
        .collect()
    }

    /// Adds an unfinished job, with its progress `run` and the version of that record if any is
    /// recorded.
    pub(super) fn insert_job(
        &mut self,
        now: Time,
        unix_ms: u64,
        mut record: JobRecord,
        version: u64,
        run: Option<(JobProgressRecord, u64)>,
    ) {
        self.plans
            .images
            .restrict_types(&mut record.spec, &self.machine_types);
        let id: JobId = record.spec.id.as_str().into();
        let age_s = unix_ms.saturating_sub(record.accepted_ms) as f64 / 1000.0;
        let smallest =
            umbersail_policy::smallest_cpus(&record.spec, &self.machine_types).unwrap_or(f64::MAX);
        let team = self
            .cfg
            .teams
            .iter()
            .position(|t| t.name == record.spec.team);
        self.class_samples.insert(
            record.spec.class.clone(),
            ClassSample {
                task_shape: Shape::of_task(&record.spec),
                types: record.spec.types.clone(),
                zone: record.spec.zone.clone(),
                spot: record.spec.spot(),
            },
        );
        if self.class_samples.len() > self.cfg.tuning.max_classes as usize {
            let known = &self.learner;
            self.class_samples
                .retain(|class, _| known.get(class).is_some());
        }
        self.learner
            .record_arrival(&record.spec.class, now - age_s, record.spec.tasks);
        if record.spec.kind == umbersail_wire::JobKind::Array {
            let run_s = self
                .learner
                .expected_run_s(&record.spec.class, record.spec.estimate_s);
            self.learner.record_work(
                &record.spec.class,
                now,
                run_s * f64::from(record.spec.tasks),
                self.cfg.tuning.load_window_s,
            );
        }
        let job = Job::new(record.spec, version, now - age_s, team, smallest, run);
        if self.may_ever_be_preempted(&job) {
            self.preemptible_jobs
                .insert(job.preemption_class(), id.clone());
        }
        self.jobs.insert(id.clone(), job);
        self.plans_job_accepted(now, &id);
        self.mark_jobs_waiting();
    }

    /// The watch on the state service reports an accepted job.
    pub fn job_accepted(&mut self, now: Time, unix_ms: u64, record: JobRecord, version: u64) {
        if !self.jobs.contains_key(record.spec.id.as_str()) {
            self.insert_job(now, unix_ms, record, version, None);
        }
    }

    /// The job's key has been deleted. Unless this leader's own transaction did that, the user
    /// has cancelled the job. No task of the job is started from now on.
    pub fn job_key_removed(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        if !job.end_write_pending {
            info!(
                job = id,
                placed = job.placements.len(),
                "job cancelled by its user"
            );
        }
        for placement in job.placements.values_mut() {
            placement.pending_stop = Some(PendingStop::IMMEDIATE);
        }
        // Tasks whose launch was not sent to a worker can be removed at once.
        let unlaunched: Vec<u32> = job
            .placements
            .iter()
            .filter(|(_, p)| !p.may_be_known_to_worker())
            .map(|(t, _)| *t)
            .collect();
        let id: JobId = id.into();
        for task in unlaunched {
            self.remove_placement(&id, task);
        }
        self.remove_if_finished(&id);
    }

    /// Applies a complete list of jobs, read after the watch fell too far behind.
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
            self.job_key_removed(&id);
        }
    }

    /// Removes a cancelled job once none of its tasks can run any more; its progress record may
    /// then be deleted. Until then the job's resources count as used (rule 4 of
    /// `docs/design.md`).
    pub(super) fn remove_if_finished(&mut self, id: &JobId) {
        let is_finished = |j: &Job| {
            j.cancelled
                && j.placements.is_empty()
                && j.recovery_pending.is_empty()
                && j.inherited_extra_attempts() == 0
        };
        if self.jobs.get(id).is_some_and(is_finished)
            && let Some(job) = self.remove_job(id)
            && job.run_version != Some(0)
        {
            self.run_records_to_delete.insert(id.clone());
        }
    }

    /// Takes over the progress record of a job that finished before this leader was elected:
    /// tasks not recorded as completed may still run on the machines that the record names.
    pub(super) fn inherit_orphaned_attempts(&mut self, id: &str, run: JobProgressRecord) {
        let name: JobId = id.into();
        let teams = &self.cfg.teams;
        let known = |m: &&String| self.machines.contains_key(m.as_str());
        let orphaned_attempts = OrphanedAttempts {
            team: teams.iter().position(|t| t.name == run.team),
            shape: run.size.map(|(cpus, gpus, memory_gb)| Shape {
                cpus,
                gpus,
                memory_gb,
                task_entries: 1.0,
            }),
            attempts: run.high_water.saturating_sub(run.done_count) + run.orphaned_attempts,
            machines: (run.hosts.iter().filter(known))
                .map(|m| (m.as_str().into(), None))
                .collect(),
        };
        if !self.orphaned_jobs.insert(name.clone(), orphaned_attempts) {
            self.run_records_to_delete.insert(name);
        }
    }

    /// Removes a job from the table and from the plans.
    pub(super) fn remove_job(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.plans_job_ended(&job);
        self.preemptible_jobs.remove(job.preemption_class(), id);
        Some(job)
    }

    /// Notes that a job may have become schedulable: requests a scheduling cycle with a freshly
    /// computed priority order.
    pub(super) fn mark_jobs_waiting(&mut self) {
        self.may_have_waiting_jobs = true;
        self.cached_order = None;
        self.cycle_requested = true;
    }

    /// Removes a task from its machine; the caller decides whether the task is requeued.
    pub(super) fn remove_placement(&mut self, id: &JobId, task: u32) -> Option<Placement> {
        let job = self.jobs.get_mut(id)?;
        let placement = job.placements.remove(&task)?;
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.remove_task(id, task, &job.shape, job.image);
            if !machine.uses_image(job.image) {
                self.plans.images.cancel_fetch(job.image, &machine.name);
            }
        }
        self.cycle_requested = true;
        Some(placement)
    }

    /// Removes a task that ended or vanished from its machine, and requeues the task unless
    /// it has completed or its job is cancelled.
    pub(super) fn requeue_task(&mut self, id: &JobId, task: u32) {
        self.remove_placement(id, task);
        if let Some(job) = self.jobs.get_mut(id)
            && !job.cancelled
            && !job.done.contains(task)
        {
            job.requeued.insert(task);
            self.mark_jobs_waiting();
        }
        self.remove_if_finished(id);
    }
}
