//! The table of unfinished jobs: how they come, change and go.

use std::collections::BTreeSet;

use tracing::info;
use umbersail_policy::Shape;
use umbersail_standby::OrphanedAttempts;
use umbersail_wire::JobProgress;

use super::job::{Placement, Stop};
use super::{ClassSample, Engine, Job, JobId, Time};
use crate::records::{JobRecord, RunRecord};

impl Engine {
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

    pub(super) fn insert_job(
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
            placement.stop = Some(Stop::AT_ONCE);
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
    pub(super) fn drop_if_over(&mut self, id: &JobId) {
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
    pub(super) fn inherit_orphaned_attempts(&mut self, id: &str, run: RunRecord) {
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

    pub(super) fn remove_job(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.job_left_plans(&job);
        self.preemptible.remove(job.preemption_class(), id);
        Some(job)
    }

    /// Something may wait that did not: it has a place in the next cycle's order.
    pub(super) fn note_waiting(&mut self) {
        self.may_wait = true;
        self.cached_order = None;
        self.schedule_wanted = true;
    }

    /// Takes a task off its machine; what becomes of it is up to the caller.
    pub(super) fn remove_placement(&mut self, id: &JobId, task: u32) -> Option<Placement> {
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
    pub(super) fn return_task(&mut self, id: &JobId, task: u32) {
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
}
