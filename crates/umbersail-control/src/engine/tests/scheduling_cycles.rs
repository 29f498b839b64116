//! Scheduling cycles compared with a reference scheduler, and cycles that are interrupted.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use umbersail_policy::{
    DeadlineDemand, EvictionHost, MachineView, PlacementWeights, PreemptibleTask, TaskView, Usage,
    allows_machine, max_on_time, rank_machines, remaining_quota, select_victims,
};

use super::*;
use crate::engine::machine::Claim;
use crate::engine::schedule::MAX_EVICTIONS_PER_CYCLE;

/// A reference scheduler without indexes: every job is checked against every machine, and
/// every blocked job against every task.
impl Engine {
    fn reference_schedule(&mut self, now: Time) {
        let mut unaccounted = Shape::default();
        for m in self.machines.values().filter(|m| self.is_unsized(m)) {
            unaccounted.add(
                &Shape::of_type(&self.machine_types[m.type_index.unwrap()]),
                1.0,
            );
        }
        let mut usage = self.team_usage(&unaccounted);
        let order = self.reference_order(now, &usage);
        let mut blocked = Vec::new();
        for id in &order {
            if self.reference_place(now, id, &mut usage, &order) {
                blocked.push(id.clone());
            }
        }
        let mut preempting_jobs = 0;
        for id in blocked {
            if preempting_jobs < MAX_EVICTIONS_PER_CYCLE
                && self.reference_evict(now, &id, &mut usage)
            {
                preempting_jobs += 1;
            }
        }
    }

    fn reference_order(&self, now: Time, usage: &[Usage]) -> Vec<JobId> {
        let ids: Vec<&JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.is_schedulable())
            .map(|(id, _)| id)
            .collect();
        let pool = |j: &Job| {
            let fits = |t: &MachineType| {
                let allowed = j.spec.types.as_ref().is_none_or(|n| n.contains(&t.name));
                allowed && j.shape.fits_in(&Shape::of_type(t))
            };
            (
                j.spec.priority,
                self.machine_types.iter().map(fits).collect::<Vec<_>>(),
                j.spec.spot(),
            )
        };
        let mut on_time_rank: BTreeMap<&JobId, u8> = ids.iter().map(|id| (*id, 2)).collect();
        let mut pools: Vec<_> = ids.iter().map(|id| pool(&self.jobs[*id])).collect();
        pools.sort();
        pools.dedup();
        for (tier, types, spot) in pools {
            let (mut usable_cpus, mut other_cpus) = (0.0, 0.0);
            for m in self.machines.values() {
                if m.delete_reason.is_some() || m.reclaim_at.is_some() {
                    continue;
                }
                let index = m.type_index.unwrap();
                let cpus = self.machine_types[index].cpus;
                if types[index] && (spot || !m.spot) {
                    usable_cpus += cpus;
                } else {
                    other_cpus += cpus;
                }
            }
            let higher_tier_jobs = self.jobs.values().filter(|j| j.spec.priority > tier);
            let higher_tier_cpus: f64 = higher_tier_jobs
                .map(|j| j.occupied_tasks() as f64 * j.shape.cpus)
                .sum();
            let machine_cpus = (usable_cpus - (higher_tier_cpus - other_cpus).max(0.0))
                * self.cfg.tuning.usable_cpu_share;
            let key = (tier, types, spot);
            let pool_jobs: Vec<&JobId> = ids
                .iter()
                .copied()
                .filter(|id| {
                    let j = &self.jobs[*id];
                    let scheduled_last = j.is_scheduled_last(self.cfg.tuning.job_backoff_s);
                    pool(j) == key && j.spec.deadline_s.is_some() && !scheduled_last
                })
                .collect();
            let cpus = machine_cpus.min(self.reference_allowed_cpus(tier, &pool_jobs));
            if cpus <= 0.0 {
                continue;
            }
            let demand = |id: &JobId, factor: f64| {
                let j = &self.jobs[id];
                let extension_s = (factor - 1.0) * j.spec.deadline_s.unwrap();
                let work = f64::from(j.pending()) * j.shape.cpus * self.expected_run_s(j);
                DeadlineDemand {
                    slack_s: self.slack_s(now, j).unwrap() + extension_s,
                    work_s: work / cpus,
                    underserved: false,
                }
            };
            let demands: Vec<DeadlineDemand> = pool_jobs.iter().map(|id| demand(id, 1.0)).collect();
            let (on_time, busy_until_s) = max_on_time(&demands, 0.0, 0.0);
            let late_jobs: Vec<&JobId> = pool_jobs
                .iter()
                .zip(on_time)
                .filter(|(_, k)| !k)
                .map(|(id, _)| *id)
                .collect();
            let deadline_factor = |id: &JobId| {
                self.cfg
                    .deadline_factors
                    .get(&self.jobs[id].spec.class)
                    .copied()
                    .unwrap_or(1.0)
            };
            let late_demands: Vec<DeadlineDemand> = late_jobs
                .iter()
                .map(|id| demand(id, deadline_factor(id)))
                .collect();
            for (id, within_factor) in late_jobs
                .into_iter()
                .zip(max_on_time(&late_demands, busy_until_s, 0.0).0)
            {
                on_time_rank.insert(id, u8::from(within_factor));
            }
        }
        let mut order: Vec<_> = ids
            .into_iter()
            .map(|id| {
                let j = &self.jobs[id];
                let guaranteed = self.is_guaranteed(j, usage);
                let rank = (
                    !j.is_scheduled_last(self.cfg.tuning.job_backoff_s),
                    j.spec.priority,
                    guaranteed,
                    self.can_meet_start_objective(now, j, guaranteed),
                    on_time_rank[id],
                );
                (
                    rank,
                    self.slack_s(now, j).unwrap_or(1e9 - (now - j.submitted_at)),
                    id.clone(),
                )
            })
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        order.into_iter().map(|(.., id)| id).collect()
    }

    /// The CPUs that the limits of the jobs' teams leave after those teams' jobs of higher
    /// tiers.
    fn reference_allowed_cpus(&self, tier: Priority, pool_jobs: &[&JobId]) -> f64 {
        let mut allowed = 0.0;
        for (index, team) in self.cfg.teams.iter().enumerate() {
            let is_of_team = |id: &&&JobId| self.jobs[**id].team == Some(index);
            if !pool_jobs.iter().any(|id| is_of_team(&id)) {
                continue;
            }
            if team.max_cpus == 0.0 {
                return f64::INFINITY;
            }
            let is_higher_tier = |j: &&Job| j.team == Some(index) && j.spec.priority > tier;
            let jobs = self.jobs.values().filter(is_higher_tier);
            let higher_tier_cpus: f64 =
                jobs.map(|j| j.occupied_tasks() as f64 * j.shape.cpus).sum();
            allowed += (team.max_cpus - higher_tier_cpus).max(0.0);
        }
        allowed
    }

    fn reference_place(
        &mut self,
        now: Time,
        id: &JobId,
        usage: &mut [Usage],
        order: &[JobId],
    ) -> bool {
        let job = &self.jobs[id];
        let mut quota = job.team.map_or(0, |t| {
            remaining_quota(&self.cfg.teams[t], &usage[t], &job.shape)
        });
        if quota == 0 {
            self.set_blocked_reason(id, BlockedReason::TeamLimit);
            return false;
        }
        let is_kept_for_larger = |t: &MachineType| {
            let capacity = Shape::of_type(t);
            let largest_cpus = order
                .iter()
                .map(|id| &self.jobs[id])
                .filter(|j| !j.is_scheduled_last(self.cfg.tuning.job_backoff_s))
                .filter(|j| j.spec.priority >= job.spec.priority && j.shape.fits_in(&capacity))
                .filter(|j| j.spec.types.as_ref().is_none_or(|n| n.contains(&t.name)))
                .map(|j| j.smallest_cpus)
                .fold(0.0, f64::max);
            t.cpus > job.smallest_cpus + 1e-6 && largest_cpus > job.smallest_cpus + 1e-6
        };
        let silent_after = self.silence_limit_s();
        let mut views = Vec::new();
        for m in self.machines.values() {
            let t = &self.machine_types[m.type_index.unwrap()];
            let free = Shape::of_type(t).plus(&m.allocated, -1.0);
            if !job.shape.fits_in(&free)
                || !m.accepts_tasks(now, silent_after)
                || !allows_machine(&job.spec, &t.name, &m.zone, m.spot)
                || job.avoided_machines.contains(&m.name)
                || is_kept_for_larger(t)
                || m.claim.as_ref().is_some_and(|c| {
                    let claimant = self.jobs.get(&c.claimant);
                    let is_waiting = claimant.is_some_and(Job::is_schedulable);
                    now < c.until && job.spec.priority < c.tier && is_waiting
                })
            {
                continue;
            }
            let has_image = m.images.contains(&job.image);
            let has_same_image = |(other, _): &(JobId, u32)| {
                self.jobs.get(other).is_some_and(|o| o.image == job.image)
            };
            views.push(MachineView {
                machine: m.name.clone(),
                machine_type: t,
                zone: &m.zone,
                spot: m.spot,
                free,
                has_image,
                heartbeat_due_in_s: (self.cfg.heartbeat_interval_s - m.silent_for(now)).max(0.0),
                fetching_image: !has_image && m.tasks.iter().any(has_same_image),
            });
        }
        let tuning = &self.cfg.tuning;
        let waits_for_image = views.iter().any(|v| !v.has_image)
            && self
                .start_objective_s(job, self.is_guaranteed(job, usage))
                .is_some_and(|objective_s| {
                    let remaining_s = objective_s - (now - job.submitted_at);
                    let hosts_with_image = self.machines.values().filter(|m| {
                        m.images.contains(&job.image)
                            && m.accepts_tasks(now, silent_after)
                            && job.shape.fits_in(&Shape::of_type(
                                &self.machine_types[m.type_index.unwrap()],
                            ))
                    });
                    let min_hosts =
                        (tuning.image_places * f64::from(job.pending())).ceil() as usize;
                    remaining_s >= tuning.image_wait_s
                        && self.image_fetch_s(job) > remaining_s
                        && hosts_with_image.count() >= min_hosts
                });
        views.retain(|v| !waits_for_image || v.has_image);
        let (mut only_zone, mut zones) = self.zones_of(job);
        if only_zone.is_none() && job.spec.one_zone() {
            let mut slots_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
            for v in &views {
                *slots_by_zone.entry(v.zone).or_default() += job.shape.slots_in(&v.free);
            }
            only_zone = slots_by_zone
                .into_iter()
                .max_by_key(|(_, n)| *n)
                .map(|(z, _)| z.to_owned());
        }
        let task = TaskView {
            spec: &job.spec,
            shape: job.shape,
            smallest_cpus: job.smallest_cpus,
            only_zone: only_zone.as_deref(),
            reserved_types: &[],
        };
        let weights = PlacementWeights {
            image: tuning.image_weight_s,
            oversize: tuning.oversize_cost,
            on_demand: tuning.ordinary_cost,
        };
        let limit = if job.spec.spread() {
            job.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        let mut wanted = job.startable();
        let mut chosen = Vec::new();
        for (machine, slots) in rank_machines(&task, &views, weights) {
            let in_zone = zones
                .entry(self.machines[&machine].zone.clone())
                .or_default();
            let n = slots
                .min(wanted)
                .min(quota)
                .min(limit.saturating_sub(*in_zone));
            (*in_zone, wanted, quota) = (*in_zone + n, wanted - n, quota - n);
            chosen.push((machine, n));
        }
        for (machine, n) in chosen {
            (0..n).for_each(|_| self.place_task(now, id, &machine, usage));
        }
        wanted > 0 && quota > 0 && !waits_for_image
    }

    fn reference_evict(&mut self, now: Time, id: &JobId, usage: &mut [Usage]) -> bool {
        let tuning = self.cfg.tuning.clone();
        let job = &self.jobs[id];
        let reclaim = self.is_guaranteed(job, usage);
        if job.suspected_faulty
            || job.errors >= tuning.max_errors_of_evicting_job as u32
            || now < job.next_eviction_at
            || (!reclaim && job.spec.priority == Priority::Low)
            || (!reclaim && self.can_rent_in_time(now, job))
        {
            return false;
        }
        let (only_zone, tasks_by_zone) = self.zones_of(job);
        let is_closed = |zone: &String| {
            let in_zone = tasks_by_zone.get(zone).copied().unwrap_or(0);
            only_zone.as_ref().is_some_and(|only| only != zone)
                || (job.spec.spread() && in_zone >= job.spec.tasks.div_ceil(2))
        };
        let mut hosts = Vec::new();
        for m in self.machines.values() {
            let t = &self.machine_types[m.type_index.unwrap()];
            if !m.accepts_tasks(now, self.silence_limit_s())
                || !allows_machine(&job.spec, &t.name, &m.zone, m.spot)
                || is_closed(&m.zone)
                || !job.shape.fits_in(&Shape::of_type(t))
            {
                continue;
            }
            let running: Vec<PreemptibleTask<JobId>> = m
                .tasks
                .iter()
                .filter_map(|(other, task)| {
                    let victim = self.jobs.get(other)?;
                    let placement = victim.placements.get(task)?;
                    self.may_preempt(job, victim, placement, reclaim, usage)
                        .then(|| PreemptibleTask {
                            job: other.clone(),
                            task: *task,
                            shape: victim.shape,
                            lost_work_s: self.lost_work_s(now, victim, placement),
                        })
                })
                .collect();
            if !running.is_empty() {
                let free = Shape::of_type(t).plus(&m.allocated, -1.0);
                hosts.push(EvictionHost {
                    machine: m.name.clone(),
                    free,
                    running,
                });
            }
        }
        if hosts.is_empty() {
            return false;
        }
        let Some(choice) = select_victims(&job.shape, hosts, tuning.max_eviction_sets as usize)
        else {
            return true;
        };
        let mut saving_s: f64 = 0.0;
        for (victim, task) in &choice.tasks {
            if self.unplace_if_unsent(victim, *task, usage) {
                continue;
            }
            let victim = self.jobs.get_mut(victim).unwrap();
            victim.evictions += 1;
            victim.mark_dirty(now);
            let saves = victim.spec.checkpoint_s() > 0.0;
            let grace_s = if saves {
                victim.spec.save_s() + 1.0
            } else {
                0.0
            };
            saving_s = saving_s.max(grace_s);
            let evictions = victim.evictions;
            victim.placements.get_mut(task).unwrap().pending_stop = Some(PendingStop {
                grace_s,
                required_eviction_count: evictions,
            });
        }
        let until = now + 2.0 * self.cfg.heartbeat_interval_s + 1.0 + saving_s;
        let (claimant, tier) = (id.clone(), self.jobs[id].spec.priority);
        self.machines.get_mut(&choice.machine).unwrap().claim = Some(Claim {
            claimant,
            tier,
            until,
        });
        self.jobs.get_mut(id).unwrap().next_eviction_at = until;
        true
    }
}

/// For each job: its placed tasks with their machines and whether a stop is pending, its
/// evictions, and when it may next evict.
type Snapshot = Vec<(JobId, Vec<(u32, MachineId, bool)>, u32, Time)>;

fn snapshot(engine: &Engine) -> Snapshot {
    let job = |(id, j): (&JobId, &Job)| {
        let live = j
            .placements
            .iter()
            .map(|(t, p)| (*t, p.machine.clone(), p.pending_stop.is_some()));
        (id.clone(), live.collect(), j.evictions, j.next_eviction_at)
    };
    engine.jobs.iter().map(job).collect()
}

/// Writes all records that are due, without a scheduling cycle.
fn write_records(engine: &mut Engine, now: Time) {
    let mut revision = 1000 + (now * 100.0) as u64;
    while let Some(pending) = engine.next_txn(now + 2.0, 20, 20) {
        revision += 1;
        engine.txn_finished(now, pending, TxnOutcome::Applied { revision });
    }
}

fn random_job(rng: &mut StdRng, id: usize) -> JobSpec {
    let cpus = [0.5, 1.0, 2.0, 3.0, 4.0, 8.0, 12.0][rng.random_range(0..7)];
    let checkpoint_s = rng.random_bool(0.3).then_some(15.0);
    JobSpec {
        class: ["c", "bounded-start"][rng.random_range(0..2)].into(),
        team: ["t", "u"][rng.random_range(0..2)].into(),
        priority: [Priority::Low, Priority::Normal, Priority::High][rng.random_range(0..3)],
        memory_gb: [0.5, 1.0, 6.0][rng.random_range(0..3)],
        image: format!("i{}", rng.random_range(0..4)),
        image_gb: [0.5, 8.0][rng.random_range(0..2)],
        types: rng.random_bool(0.2).then(|| vec!["m32".into()]),
        zone: rng.random_bool(0.2).then(|| "a".into()),
        one_zone: Some(rng.random_bool(0.2)),
        spread: Some(rng.random_bool(0.2)),
        spot: Some(rng.random_bool(0.7)),
        checkpoint_s,
        save_s: checkpoint_s.map(|_| 4.0),
        deadline_s: rng.random_bool(0.5).then(|| rng.random_range(10.0..90.0)),
        ..spec(&format!("req-{id:03}"), rng.random_range(1..9), cpus)
    }
}

/// Runs a random cluster with three engines at once: with the reference scheduler, with
/// whole cycles, and with cycles cut into slices of one step. Returns the largest number of
/// placed tasks and the sum of evictions.
fn compare_schedulers(seed: u64) -> Result<(usize, usize), TestCaseError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut large_type = machine_type();
    (
        large_type.name,
        large_type.cpus,
        large_type.memory_gb,
        large_type.boot_s,
    ) = ("m32".into(), 32.0, 64.0, 60.0);
    let flag = |rng: &mut StdRng| f64::from(u8::from(rng.random_bool(0.5)));
    let tuning = Tuning {
        evict_deadline_work: flag(&mut rng),
        reclaim_deadline_work: flag(&mut rng),
        order_reuse_s: 0.0,
        ..Tuning::default()
    };
    let limits = |name: &str, cpus, cpus_max| TeamLimits {
        name: name.into(),
        ..team(cpus, cpus_max)
    };
    let teams = vec![limits("t", 20.0, 60.0), limits("u", 0.0, 0.0)];
    let engine = |slice_steps, tuning: &Tuning| {
        let mut cfg = config(teams.clone(), tuning.clone());
        Rc::get_mut(&mut cfg).unwrap().slice_steps = slice_steps;
        let types = vec![machine_type(), large_type.clone()];
        Engine::new(
            cfg,
            0.0,
            0,
            InheritedState {
                types,
                ..empty_inherited_state()
            },
        )
    };
    let mut engines = [
        engine(u64::MAX, &tuning),
        engine(u64::MAX, &tuning),
        engine(1, &tuning),
    ];
    let machines = rng.random_range(1..10);
    let mut workers: Vec<(Worker, &str, bool)> = (0..machines)
        .map(|m| {
            let zone = ["a", "b"][rng.random_range(0..2)];
            let name = ["m8", "m8", "m32"][rng.random_range(0..3)];
            (
                Worker::new(&format!("m{m}"), zone),
                name,
                rng.random_bool(0.6),
            )
        })
        .collect();
    let (mut jobs, mut placed, mut evicted) = (0, 0, 0);
    for round in 0..8 {
        let now = f64::from(round) * 1.25;
        for _ in 0..rng.random_range(0..6) {
            let spec = random_job(&mut rng, jobs);
            jobs += 1;
            for e in &mut engines {
                e.job_accepted(now, (now * 1000.0) as u64, job_record(spec.clone()), 70);
            }
        }
        for (worker, machine_type, spot) in &mut workers {
            if round > 1 && rng.random_bool(0.1) {
                continue;
            }
            for task in &mut worker.tasks {
                match rng.random_range(0..12) {
                    0 => (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Done)),
                    1 => (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Error)),
                    2 if task.state == TaskState::Running => task.state = TaskState::Saving,
                    _ => {}
                }
            }
            let mut heartbeat = worker.heartbeat();
            (heartbeat.machine_type, heartbeat.spot) = ((*machine_type).into(), Some(*spot));
            heartbeat.notice_s = rng.random_bool(0.03).then_some(20.0);
            let replies: Vec<_> = engines
                .iter_mut()
                .map(|e| receive_and_reply(e, now, &heartbeat, true))
                .collect();
            prop_assert_eq!(&replies[0], &replies[1], "replies at {}", now);
            prop_assert_eq!(&replies[0], &replies[2], "sliced replies at {}", now);
            let token = engines[0].token_for(&worker.name);
            worker.apply_commands(token, replies[0].as_deref().unwrap_or(&[]));
        }
        engines[0].reference_schedule(now);
        engines[1].schedule(now);
        engines[2].schedule(now);
        while engines[2].is_mid_cycle() {
            engines[2].schedule(now);
        }
        let reference = snapshot(&engines[0]);
        prop_assert_eq!(&reference, &snapshot(&engines[1]), "whole cycle at {}", now);
        prop_assert_eq!(
            &reference,
            &snapshot(&engines[2]),
            "sliced cycle at {}",
            now
        );
        placed = placed.max(reference.iter().map(|(_, live, ..)| live.len()).sum());
        evicted += reference
            .iter()
            .map(|(.., evictions, _)| *evictions as usize)
            .sum::<usize>();
        engines.iter_mut().for_each(|e| write_records(e, now));
    }
    Ok((placed, evicted))
}

#[test]
fn a_cycle_places_and_evicts_the_same_tasks_as_the_reference_scheduler() {
    // Guards against an index with missing entries: a job that is never placed, or the
    // eviction of a task that the eviction rule of the design would not have chosen.
    let cases = std::env::var("UMBERSAIL_CASES").ok();
    let config = Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(400),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[22; 32]);
    let sums = std::cell::Cell::new((0, 0));
    let result = TestRunner::new_with_rng(config, rng).run(&any::<u64>(), |seed| {
        let (placed, evicted) = compare_schedulers(seed)?;
        sums.set((sums.get().0 + placed, sums.get().1 + evicted));
        Ok(())
    });
    result.unwrap();
    let (placed, evicted) = sums.get();
    assert!(
        placed > 2000 && evicted > 200,
        "only {placed} placed and {evicted} evicted"
    );
}

/// An engine and its workers: `machines` running machines of 8 CPUs that are in the grant.
fn engine_with_workers(slice_steps: u64, machines: usize) -> (Engine, Vec<Worker>) {
    let mut cfg = config(vec![team(0.0, 0.0)], Tuning::default());
    Rc::get_mut(&mut cfg).unwrap().slice_steps = slice_steps;
    let mut engine = Engine::new(cfg, 0.0, 0, empty_inherited_state());
    let mut workers: Vec<Worker> = (0..machines)
        .map(|m| Worker::new(&format!("m{m:05}"), "a"))
        .collect();
    for at in [0.0, 0.5] {
        for worker in &mut workers {
            worker.send_heartbeat(&mut engine, at);
        }
    }
    write_records(&mut engine, 0.5);
    engine.take_steps();
    (engine, workers)
}

fn job_of_priority(id: &str, priority: Priority, tasks: u32, cpus: f64) -> JobSpec {
    // With this deadline, no machine can be rented in time, so that the job may evict.
    let deadline_s = (priority == Priority::High).then_some(25.0);
    JobSpec {
        priority,
        deadline_s,
        ..spec(id, tasks, cpus)
    }
}

fn submit(engine: &mut Engine, now: Time, spec: JobSpec) {
    engine.job_accepted(now, (now * 1000.0) as u64, job_record(spec), 70);
}

/// Schedules until the cycle is complete. Returns the number of slices.
fn run_full_cycle(engine: &mut Engine, now: Time) -> usize {
    engine.schedule(now);
    let mut slices = 1;
    while engine.is_mid_cycle() {
        engine.schedule(now);
        slices += 1;
    }
    slices
}

fn record_and_launch(engine: &mut Engine, workers: &mut [Worker], now: Time) {
    write_records(engine, now);
    for worker in workers.iter_mut() {
        worker.send_heartbeat(engine, now);
    }
    for worker in workers {
        worker.send_heartbeat(engine, now + 0.1);
    }
    engine.take_steps();
}

#[test]
fn blocked_jobs_without_a_preemptible_task_cost_a_constant_number_of_steps_each() {
    // Guards against a cost seen in simulated fleets: blocked jobs times running tasks in
    // each cycle, only to find that no task may be evicted.
    let (mut engine, mut workers) = engine_with_workers(u64::MAX, 500);
    submit(
        &mut engine,
        1.0,
        job_of_priority("req-run", Priority::High, 2000, 2.0),
    );
    engine.schedule(1.0);
    record_and_launch(&mut engine, &mut workers, 1.1);
    for n in 0..200 {
        submit(
            &mut engine,
            1.5,
            job_of_priority(
                &format!("req-{n}"),
                Priority::High,
                20,
                2.0 + f64::from(n) / 256.0,
            ),
        );
    }
    engine.schedule(1.5);
    assert!(engine.jobs.values().all(|j| j.evictions == 0));
    assert_eq!(
        engine.jobs["req-7"].blocked_reason,
        BlockedReason::NoCapacity
    );
    let steps = engine.take_steps();
    assert!(steps < 500 + 200 * 2 * 8 + 100, "{steps} steps");
}

#[test]
fn one_preemptible_task_in_a_large_cluster_is_found_without_a_scan_for_each_job() {
    let (mut engine, mut workers) = engine_with_workers(u64::MAX, 4000);
    submit(
        &mut engine,
        1.0,
        job_of_priority("req-low", Priority::Low, 1, 8.0),
    );
    engine.schedule(1.0);
    // The record of one job can name about 1,300 machines at most.
    for (job, tasks) in [
        ("req-a", 1000),
        ("req-b", 1000),
        ("req-c", 1000),
        ("req-d", 999),
    ] {
        submit(
            &mut engine,
            1.0,
            job_of_priority(job, Priority::High, tasks, 8.0),
        );
    }
    engine.schedule(1.0);
    record_and_launch(&mut engine, &mut workers, 1.1);
    for n in 0..200 {
        submit(
            &mut engine,
            1.5,
            job_of_priority(&format!("req-{n:03}"), Priority::High, 1, 8.0),
        );
    }
    engine.schedule(1.5);
    assert_eq!(engine.jobs["req-low"].evictions, 1);
    let steps = engine.take_steps();
    assert!(steps < 4000 + 200 * 2 * 8 + 200, "{steps} steps");
}

#[test]
fn a_task_that_becomes_non_preemptible_between_two_cycles_is_not_evicted() {
    // Guards against an index of preemptible tasks that is correct when it is built but
    // outdated when it is used.
    type StateChange = fn(&mut Engine);
    let state_changes: [(&str, u32, StateChange); 4] = [
        ("no change", 1, |_| {}),
        ("the task saves its state", 0, |e| {
            let low = e.jobs.get_mut("req-low").unwrap();
            low.placements.get_mut(&0).unwrap().observed_state = Some(TaskState::Saving);
        }),
        ("the job was evicted too often", 3, |e| {
            e.jobs.get_mut("req-low").unwrap().evictions = 3
        }),
        ("the team uses no more than its guarantee", 0, |e| {
            Rc::get_mut(&mut e.cfg).unwrap().teams[0].guaranteed_cpus = 8.0;
        }),
    ];
    for (case, evictions, change_state) in state_changes {
        let (mut engine, mut workers) = engine_with_workers(u64::MAX, 1);
        submit(
            &mut engine,
            1.0,
            job_of_priority("req-low", Priority::Low, 1, 8.0),
        );
        engine.schedule(1.0);
        record_and_launch(&mut engine, &mut workers, 1.1);
        change_state(&mut engine);
        submit(
            &mut engine,
            1.5,
            job_of_priority("req-high", Priority::High, 1, 8.0),
        );
        engine.schedule(1.5);
        assert_eq!(engine.jobs["req-low"].evictions, evictions, "{case}");
    }
}

#[test]
fn an_interrupted_cycle_takes_account_of_changes_between_its_slices() {
    // Guards against a cycle that continues with outdated state: a job cancelled during the
    // cycle would start (property `ran_cancelled`), and a heartbeat would wait for the
    // whole cycle.
    let (mut engine, mut workers) = engine_with_workers(300, 4);
    submit(
        &mut engine,
        1.0,
        job_of_priority("req-0", Priority::High, 12, 2.0),
    );
    submit(
        &mut engine,
        1.0,
        job_of_priority("req-1", Priority::Normal, 2, 2.0),
    );
    submit(
        &mut engine,
        1.0,
        job_of_priority("req-2", Priority::Low, 40, 2.0),
    );
    engine.schedule(1.0);
    assert!(engine.is_mid_cycle(), "the slice ended after the first job");
    assert_eq!(engine.jobs["req-0"].placements.len(), 12);
    engine.job_key_removed("req-1");
    // The tasks placed by the slice are recorded and launched before the cycle continues.
    write_records(&mut engine, 1.0);
    let starts_sent: usize = workers
        .iter_mut()
        .map(|w| started_tasks(&w.send_heartbeat(&mut engine, 1.1)).len())
        .sum();
    assert_eq!((starts_sent, engine.is_mid_cycle()), (12, true));
    // A worker reports the end of a task: the rest of the cycle uses the freed capacity.
    let ended_task = workers[0].tasks[0].task.clone();
    workers[0].exit(&ended_task, None, ExitCause::Done);
    workers[0].send_heartbeat(&mut engine, 1.15);
    run_full_cycle(&mut engine, 1.2);
    assert!(!engine.jobs.contains_key("req-1"));
    assert_eq!(
        engine.jobs["req-2"].placements.len(),
        5,
        "four slots were left, and one task ended"
    );
}

#[test]
fn a_failover_in_the_middle_of_a_cycle_starts_no_task_twice_and_loses_none() {
    let (mut engine, mut workers) = engine_with_workers(300, 4);
    let first_job = job_of_priority("req-0", Priority::High, 12, 2.0);
    let second_job = job_of_priority("req-1", Priority::Low, 4, 2.0);
    submit(&mut engine, 1.0, first_job.clone());
    submit(&mut engine, 1.0, second_job.clone());
    engine.schedule(1.0);
    assert!(engine.is_mid_cycle());
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    let progress = pending.txn.changes.iter().find_map(|c| match c {
        Change::Put {
            value: Record::JobProgress(progress),
            ..
        } => Some(progress.clone()),
        _ => None,
    });
    engine.txn_finished(1.0, pending, TxnOutcome::Applied { revision: 2000 });
    let starts_sent: usize = workers
        .iter_mut()
        .map(|w| started_tasks(&w.send_heartbeat(&mut engine, 1.1)).len())
        .sum();
    assert_eq!(starts_sent, 12);
    let machines = workers.iter().map(|w| GrantedMachine {
        name: w.name.clone(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        addr: "127.0.0.1:9".into(),
    });
    let part = GrantPart {
        machines: machines.collect(),
    };
    let job = |spec, progress| InheritedJob {
        record: job_record(spec),
        version: 70,
        run: progress,
    };
    let inheritance = InheritedState {
        revision: LEADER_REVISION + 1,
        leader_version: LEADER_REVISION + 1,
        grant_parts: vec![InheritedPart {
            index: 0,
            version: 40,
            part,
        }],
        jobs: vec![
            job(first_job, Some((progress.unwrap(), 2000))),
            job(second_job, None),
        ],
        ..empty_inherited_state()
    };
    let mut successor = Engine::new(engine.cfg.clone(), 2.0, 2000, inheritance);
    assert_eq!(run_full_cycle(&mut successor, 2.0), 1);
    assert!(
        successor.jobs.values().all(|j| j.placements.is_empty()),
        "the successor knows of no running task before the heartbeats"
    );
    for worker in &mut workers {
        worker.send_heartbeat(&mut successor, 2.1);
        assert_eq!(
            started_tasks(&worker.send_heartbeat(&mut successor, 2.7)).len(),
            0
        );
    }
    run_full_cycle(&mut successor, 2.8);
    assert_eq!(
        successor.jobs["req-0"].placements.len(),
        12,
        "the running tasks are kept"
    );
    assert_eq!(
        successor.jobs["req-1"].placements.len(),
        4,
        "the successor places the tasks that the interrupted cycle had not reached"
    );
}

#[test]
fn twenty_thousand_waiting_tasks_are_placed_in_slices_of_bounded_length() {
    // Guards against a leader that computes for seconds after a power cut, while its lease
    // and the leases of its machines expire.
    const SLICE_STEPS: u64 = 50_000;
    let (mut engine, _) = engine_with_workers(SLICE_STEPS, 4000);
    for n in 0..1000 {
        submit(
            &mut engine,
            1.0,
            job_of_priority(&format!("req-{n:04}"), Priority::Normal, 20, 1.5),
        );
    }
    let (mut slices, mut max_steps) = (0, 0);
    while slices == 0 || engine.is_mid_cycle() {
        engine.schedule(1.0);
        slices += 1;
        max_steps = max_steps.max(engine.take_steps());
    }
    assert_eq!(
        engine
            .jobs
            .values()
            .map(|j| j.placements.len())
            .sum::<usize>(),
        20_000
    );
    // A slice may exceed its limit by the steps for one more job and for one scan of all
    // machines.
    assert!(
        max_steps < SLICE_STEPS + 4000 + 8000,
        "{max_steps} steps in a slice"
    );
    assert!((10..60).contains(&slices), "{slices} slices");
}
