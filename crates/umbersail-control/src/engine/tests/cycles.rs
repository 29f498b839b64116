//! A cycle against its plain definition, and cycles that are cut short.

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

/// The plain definition of a cycle: every job looks at every machine, and every
/// blocked one at every task.
impl Engine {
    fn plain_schedule(&mut self, now: Time) {
        let mut unaccounted = Shape::default();
        for m in self.machines.values().filter(|m| self.is_unsized(m)) {
            unaccounted.add(
                &Shape::of_type(&self.machine_types[m.type_index.unwrap()]),
                1.0,
            );
        }
        let mut usage = self.team_usage(&unaccounted);
        let order = self.plain_order(now, &usage);
        let mut blocked = Vec::new();
        for id in &order {
            if self.plain_place(now, id, &mut usage, &order) {
                blocked.push(id.clone());
            }
        }
        let mut worth = 0;
        for id in blocked {
            if worth < MAX_EVICTIONS_PER_CYCLE && self.plain_evict(now, &id, &mut usage) {
                worth += 1;
            }
        }
    }

    fn plain_order(&self, now: Time, usage: &[Usage]) -> Vec<JobId> {
        let ids: Vec<&JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.is_schedulable())
            .map(|(id, _)| id)
            .collect();
        let pool = |j: &Job| {
            let fits = |t: &MachineType| {
                let named = j.spec.types.as_ref().is_none_or(|n| n.contains(&t.name));
                named && j.shape.fits_in(&Shape::of_type(t))
            };
            (
                j.spec.priority,
                self.machine_types.iter().map(fits).collect::<Vec<_>>(),
                j.spec.spot(),
            )
        };
        let mut standing: BTreeMap<&JobId, u8> = ids.iter().map(|id| (*id, 2)).collect();
        let mut pools: Vec<_> = ids.iter().map(|id| pool(&self.jobs[*id])).collect();
        pools.sort();
        pools.dedup();
        for (tier, types, spot) in pools {
            let (mut inside, mut outside) = (0.0, 0.0);
            for m in self.machines.values() {
                if m.delete_reason.is_some() || m.reclaim_at.is_some() {
                    continue;
                }
                let index = m.type_index.unwrap();
                let cpus = self.machine_types[index].cpus;
                if types[index] && (spot || !m.spot) {
                    inside += cpus;
                } else {
                    outside += cpus;
                }
            }
            let upper = self.jobs.values().filter(|j| j.spec.priority > tier);
            let above: f64 = upper
                .map(|j| j.occupied_tasks() as f64 * j.shape.cpus)
                .sum();
            let of_machines =
                (inside - (above - outside).max(0.0)) * self.cfg.tuning.usable_cpu_share;
            let key = (tier, types, spot);
            let members: Vec<&JobId> = ids
                .iter()
                .copied()
                .filter(|id| {
                    let j = &self.jobs[*id];
                    let last = j.is_scheduled_last(self.cfg.tuning.job_backoff_s);
                    pool(j) == key && j.spec.deadline_s.is_some() && !last
                })
                .collect();
            let cpus = of_machines.min(self.plain_allowed_cpus(tier, &members));
            if cpus <= 0.0 {
                continue;
            }
            let due = |id: &JobId, times: f64| {
                let j = &self.jobs[id];
                let later = (times - 1.0) * j.spec.deadline_s.unwrap();
                let work = f64::from(j.pending()) * j.shape.cpus * self.expected_run_s(j);
                DeadlineDemand {
                    slack_s: self.slack_s(now, j).unwrap() + later,
                    work_s: work / cpus,
                    underserved: false,
                }
            };
            let first: Vec<DeadlineDemand> = members.iter().map(|id| due(id, 1.0)).collect();
            let (kept, busy_s) = max_on_time(&first, 0.0, 0.0);
            let late: Vec<&JobId> = members
                .iter()
                .zip(kept)
                .filter(|(_, k)| !k)
                .map(|(id, _)| *id)
                .collect();
            let times = |id: &JobId| {
                self.cfg
                    .deadline_factors
                    .get(&self.jobs[id].spec.class)
                    .copied()
                    .unwrap_or(1.0)
            };
            let second: Vec<DeadlineDemand> = late.iter().map(|id| due(id, times(id))).collect();
            for (id, soon) in late.into_iter().zip(max_on_time(&second, busy_s, 0.0).0) {
                standing.insert(id, u8::from(soon));
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
                    standing[id],
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

    /// What the limits of the members' teams leave beside those teams' upper tiers.
    fn plain_allowed_cpus(&self, tier: Priority, members: &[&JobId]) -> f64 {
        let mut allowed = 0.0;
        for (index, team) in self.cfg.teams.iter().enumerate() {
            let is_its = |id: &&&JobId| self.jobs[**id].team == Some(index);
            if !members.iter().any(|id| is_its(&id)) {
                continue;
            }
            if team.max_cpus == 0.0 {
                return f64::INFINITY;
            }
            let upper = |j: &&Job| j.team == Some(index) && j.spec.priority > tier;
            let jobs = self.jobs.values().filter(upper);
            let above: f64 = jobs.map(|j| j.occupied_tasks() as f64 * j.shape.cpus).sum();
            allowed += (team.max_cpus - above).max(0.0);
        }
        allowed
    }

    fn plain_place(&mut self, now: Time, id: &JobId, usage: &mut [Usage], order: &[JobId]) -> bool {
        let job = &self.jobs[id];
        let mut quota = job.team.map_or(0, |t| {
            remaining_quota(&self.cfg.teams[t], &usage[t], &job.shape)
        });
        if quota == 0 {
            self.set_blocked_reason(id, BlockedReason::TeamLimit);
            return false;
        }
        let closed = |t: &MachineType| {
            let room = Shape::of_type(t);
            let most = order
                .iter()
                .map(|id| &self.jobs[id])
                .filter(|j| !j.is_scheduled_last(self.cfg.tuning.job_backoff_s))
                .filter(|j| j.spec.priority >= job.spec.priority && j.shape.fits_in(&room))
                .filter(|j| j.spec.types.as_ref().is_none_or(|n| n.contains(&t.name)))
                .map(|j| j.smallest_cpus)
                .fold(0.0, f64::max);
            t.cpus > job.smallest_cpus + 1e-6 && most > job.smallest_cpus + 1e-6
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
                || closed(t)
                || m.claim.as_ref().is_some_and(|c| {
                    let winner = self.jobs.get(&c.claimant);
                    let waits = winner.is_some_and(Job::is_schedulable);
                    now < c.until && job.spec.priority < c.tier && waits
                })
            {
                continue;
            }
            let has_image = m.images.contains(&job.image);
            let same = |(other, _): &(JobId, u32)| {
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
                fetching_image: !has_image && m.tasks.iter().any(same),
            });
        }
        let tuning = &self.cfg.tuning;
        let awaits = views.iter().any(|v| !v.has_image)
            && self
                .start_objective_s(job, self.is_guaranteed(job, usage))
                .is_some_and(|within| {
                    let left = within - (now - job.submitted_at);
                    let places = self.machines.values().filter(|m| {
                        m.images.contains(&job.image)
                            && m.accepts_tasks(now, silent_after)
                            && job.shape.fits_in(&Shape::of_type(
                                &self.machine_types[m.type_index.unwrap()],
                            ))
                    });
                    let least = (tuning.image_places * f64::from(job.pending())).ceil() as usize;
                    left >= tuning.image_wait_s
                        && self.image_fetch_s(job) > left
                        && places.count() >= least
                });
        views.retain(|v| !awaits || v.has_image);
        let (mut only_zone, mut zones) = self.zones_of(job);
        if only_zone.is_none() && job.spec.one_zone() {
            let mut room: BTreeMap<&str, u32> = BTreeMap::new();
            for v in &views {
                *room.entry(v.zone).or_default() += job.shape.slots_in(&v.free);
            }
            only_zone = room
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
        wanted > 0 && quota > 0 && !awaits
    }

    fn plain_evict(&mut self, now: Time, id: &JobId, usage: &mut [Usage]) -> bool {
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
        let mut hosts = Vec::new();
        for m in self.machines.values() {
            let t = &self.machine_types[m.type_index.unwrap()];
            if !m.accepts_tasks(now, self.silence_limit_s())
                || !allows_machine(&job.spec, &t.name, &m.zone, m.spot)
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
        let (winner, tier) = (id.clone(), self.jobs[id].spec.priority);
        self.machines.get_mut(&choice.machine).unwrap().claim = Some(Claim {
            claimant: winner,
            tier,
            until,
        });
        self.jobs.get_mut(id).unwrap().next_eviction_at = until;
        true
    }
}

/// Who is where, who is to stop, and why the rest waits.
type Picture = Vec<(JobId, Vec<(u32, MachineId, bool)>, u32, Time)>;

fn picture(engine: &Engine) -> Picture {
    let job = |(id, j): (&JobId, &Job)| {
        let live = j
            .placements
            .iter()
            .map(|(t, p)| (*t, p.machine.clone(), p.pending_stop.is_some()));
        (id.clone(), live.collect(), j.evictions, j.next_eviction_at)
    };
    engine.jobs.iter().map(job).collect()
}

/// Writes all that is due, without a cycle.
fn write(engine: &mut Engine, now: Time) {
    let mut revision = 1000 + (now * 100.0) as u64;
    while let Some(pending) = engine.next_txn(now + 2.0, 20, 20) {
        revision += 1;
        engine.txn_finished(now, pending, TxnOutcome::Applied { revision });
    }
}

fn some_job(rng: &mut StdRng, id: usize) -> JobSpec {
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

/// Plays a random cluster three ways at once: plainly, in whole cycles, and in
/// cycles cut into slices of one step. How much was placed and evicted.
fn play(seed: u64) -> Result<(usize, usize), TestCaseError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut large = machine_type();
    (large.name, large.cpus, large.memory_gb, large.boot_s) = ("m32".into(), 32.0, 64.0, 60.0);
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
        let types = vec![machine_type(), large.clone()];
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
            let spec = some_job(&mut rng, jobs);
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
            let mut report = worker.heartbeat();
            (report.machine_type, report.spot) = ((*machine_type).into(), Some(*spot));
            report.notice_s = rng.random_bool(0.03).then_some(20.0);
            let answers: Vec<_> = engines
                .iter_mut()
                .map(|e| receive_and_reply(e, now, &report, true))
                .collect();
            prop_assert_eq!(&answers[0], &answers[1], "replies at {}", now);
            prop_assert_eq!(&answers[0], &answers[2], "sliced replies at {}", now);
            let token = engines[0].token_for(&worker.name);
            worker.apply_commands(token, answers[0].as_deref().unwrap_or(&[]));
        }
        engines[0].plain_schedule(now);
        engines[1].schedule(now);
        engines[2].schedule(now);
        while engines[2].is_mid_cycle() {
            engines[2].schedule(now);
        }
        let plain = picture(&engines[0]);
        prop_assert_eq!(&plain, &picture(&engines[1]), "whole cycle at {}", now);
        prop_assert_eq!(&plain, &picture(&engines[2]), "sliced cycle at {}", now);
        placed = placed.max(plain.iter().map(|(_, live, ..)| live.len()).sum());
        evicted += plain
            .iter()
            .map(|(.., evictions, _)| *evictions as usize)
            .sum::<usize>();
        engines.iter_mut().for_each(|e| write(e, now));
    }
    Ok((placed, evicted))
}

#[test]
fn a_cycle_chooses_the_places_and_victims_of_its_plain_definition() {
    // Guards against an index that forgets somebody: a job that never gets its
    // place, or a victim that the design's rule would not have chosen.
    let cases = std::env::var("UMBERSAIL_CASES").ok();
    let config = Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(400),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[22; 32]);
    let sums = std::cell::Cell::new((0, 0));
    let result = TestRunner::new_with_rng(config, rng).run(&any::<u64>(), |seed| {
        let (placed, evicted) = play(seed)?;
        sums.set((sums.get().0 + placed, sums.get().1 + evicted));
        Ok(())
    });
    result.unwrap();
    let (placed, evicted) = sums.get();
    assert!(
        placed > 2000 && evicted > 200,
        "{placed} placed, {evicted} evicted: too quiet"
    );
}

/// So many machines of 8 CPUs, up and in the grant.
fn fleet(slice_steps: u64, machines: usize) -> (Engine, Vec<Worker>) {
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
    write(&mut engine, 0.5);
    engine.take_steps();
    (engine, workers)
}

fn tier(id: &str, priority: Priority, tasks: u32, cpus: f64) -> JobSpec {
    // Nothing can be rented in time, so that it may evict.
    let deadline_s = (priority == Priority::High).then_some(25.0);
    JobSpec {
        priority,
        deadline_s,
        ..spec(id, tasks, cpus)
    }
}

fn come(engine: &mut Engine, now: Time, spec: JobSpec) {
    engine.job_accepted(now, (now * 1000.0) as u64, job_record(spec), 70);
}

/// Cycles until one is whole; how many slices that took.
fn whole(engine: &mut Engine, now: Time) -> usize {
    engine.schedule(now);
    let mut slices = 1;
    while engine.is_mid_cycle() {
        engine.schedule(now);
        slices += 1;
    }
    slices
}

fn launched(engine: &mut Engine, workers: &mut [Worker], now: Time) {
    write(engine, now);
    for worker in workers.iter_mut() {
        worker.send_heartbeat(engine, now);
    }
    for worker in workers {
        worker.send_heartbeat(engine, now + 0.1);
    }
    engine.take_steps();
}

#[test]
fn blocked_jobs_without_a_candidate_cost_a_look_each() {
    // Guards against what the fleets showed: blocked jobs times running tasks,
    // in each cycle, to find that nobody may be evicted.
    let (mut engine, mut workers) = fleet(u64::MAX, 500);
    come(&mut engine, 1.0, tier("req-run", Priority::High, 2000, 2.0));
    engine.schedule(1.0);
    launched(&mut engine, &mut workers, 1.1);
    for n in 0..200 {
        come(
            &mut engine,
            1.5,
            tier(
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
fn one_candidate_in_a_large_fleet_is_found_without_a_walk_for_each_job() {
    let (mut engine, mut workers) = fleet(u64::MAX, 4000);
    come(&mut engine, 1.0, tier("req-low", Priority::Low, 1, 8.0));
    engine.schedule(1.0);
    // A job's record names some 1,300 machines at the most.
    for (job, tasks) in [
        ("req-a", 1000),
        ("req-b", 1000),
        ("req-c", 1000),
        ("req-d", 999),
    ] {
        come(&mut engine, 1.0, tier(job, Priority::High, tasks, 8.0));
    }
    engine.schedule(1.0);
    launched(&mut engine, &mut workers, 1.1);
    for n in 0..200 {
        come(
            &mut engine,
            1.5,
            tier(&format!("req-{n:03}"), Priority::High, 1, 8.0),
        );
    }
    engine.schedule(1.5);
    assert_eq!(engine.jobs["req-low"].evictions, 1);
    let steps = engine.take_steps();
    assert!(steps < 4000 + 200 * 2 * 8 + 200, "{steps} steps");
}

#[test]
fn a_candidate_that_turns_unpreemptable_between_two_cycles_is_spared() {
    // Guards against an index that is right when it is made and not when used.
    type Turn = fn(&mut Engine);
    let turns: [(&str, u32, Turn); 4] = [
        ("nothing", 1, |_| {}),
        ("saving", 0, |e| {
            let low = e.jobs.get_mut("req-low").unwrap();
            low.placements.get_mut(&0).unwrap().observed_state = Some(TaskState::Saving);
        }),
        ("evicted too often", 3, |e| {
            e.jobs.get_mut("req-low").unwrap().evictions = 3
        }),
        ("its team down to its guarantee", 0, |e| {
            Rc::get_mut(&mut e.cfg).unwrap().teams[0].guaranteed_cpus = 8.0;
        }),
    ];
    for (what, evictions, turn) in turns {
        let (mut engine, mut workers) = fleet(u64::MAX, 1);
        come(&mut engine, 1.0, tier("req-low", Priority::Low, 1, 8.0));
        engine.schedule(1.0);
        launched(&mut engine, &mut workers, 1.1);
        turn(&mut engine);
        come(&mut engine, 1.5, tier("req-high", Priority::High, 1, 8.0));
        engine.schedule(1.5);
        assert_eq!(engine.jobs["req-low"].evictions, evictions, "{what}");
    }
}

#[test]
fn a_cycle_cut_short_takes_in_what_happens_meanwhile() {
    // Guards against a cycle that goes on by an old picture: a job cancelled in
    // the middle would start (ran_cancelled), a report would wait for all of it.
    let (mut engine, mut workers) = fleet(300, 4);
    come(&mut engine, 1.0, tier("req-0", Priority::High, 12, 2.0));
    come(&mut engine, 1.0, tier("req-1", Priority::Normal, 2, 2.0));
    come(&mut engine, 1.0, tier("req-2", Priority::Low, 40, 2.0));
    engine.schedule(1.0);
    assert!(
        engine.is_mid_cycle(),
        "the slice was over after the first job"
    );
    assert_eq!(engine.jobs["req-0"].placements.len(), 12);
    engine.job_key_removed("req-1");
    // What the slice placed is recorded and launched before the cycle goes on.
    write(&mut engine, 1.0);
    let told: usize = workers
        .iter_mut()
        .map(|w| started_tasks(&w.send_heartbeat(&mut engine, 1.1)).len())
        .sum();
    assert_eq!((told, engine.is_mid_cycle()), (12, true));
    // A worker reports an end: the rest of this cycle uses the room.
    let ended = workers[0].tasks[0].task.clone();
    workers[0].exit(&ended, None, ExitCause::Done);
    workers[0].send_heartbeat(&mut engine, 1.15);
    whole(&mut engine, 1.2);
    assert!(!engine.jobs.contains_key("req-1"));
    assert_eq!(
        engine.jobs["req-2"].placements.len(),
        5,
        "four places left, one fell free"
    );
}

#[test]
fn a_take_over_in_the_middle_of_a_cycle_starts_nothing_twice_and_forgets_nothing() {
    let (mut engine, mut workers) = fleet(300, 4);
    let first = tier("req-0", Priority::High, 12, 2.0);
    let second = tier("req-1", Priority::Low, 4, 2.0);
    come(&mut engine, 1.0, first.clone());
    come(&mut engine, 1.0, second.clone());
    engine.schedule(1.0);
    assert!(engine.is_mid_cycle());
    let pending = engine.next_txn(1.0, 20, 20).unwrap();
    let run = pending.txn.changes.iter().find_map(|c| match c {
        Change::Put {
            value: Record::JobProgress(run),
            ..
        } => Some(run.clone()),
        _ => None,
    });
    engine.txn_finished(1.0, pending, TxnOutcome::Applied { revision: 2000 });
    let told: usize = workers
        .iter_mut()
        .map(|w| started_tasks(&w.send_heartbeat(&mut engine, 1.1)).len())
        .sum();
    assert_eq!(told, 12);
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
    let job = |spec, run| InheritedJob {
        record: job_record(spec),
        version: 70,
        run,
    };
    let inheritance = InheritedState {
        revision: LEADER_REVISION + 1,
        leader_version: LEADER_REVISION + 1,
        grant_parts: vec![InheritedPart {
            index: 0,
            version: 40,
            part,
        }],
        jobs: vec![job(first, Some((run.unwrap(), 2000))), job(second, None)],
        ..empty_inherited_state()
    };
    let mut successor = Engine::new(engine.cfg.clone(), 2.0, 2000, inheritance);
    assert_eq!(whole(&mut successor, 2.0), 1);
    assert!(
        successor.jobs.values().all(|j| j.placements.is_empty()),
        "nobody is accounted for"
    );
    for worker in &mut workers {
        worker.send_heartbeat(&mut successor, 2.1);
        assert_eq!(
            started_tasks(&worker.send_heartbeat(&mut successor, 2.7)).len(),
            0
        );
    }
    whole(&mut successor, 2.8);
    assert_eq!(successor.jobs["req-0"].placements.len(), 12, "they go on");
    assert_eq!(
        successor.jobs["req-1"].placements.len(),
        4,
        "what the cycle had not reached"
    );
}

#[test]
fn twenty_thousand_tasks_freed_at_once_are_placed_in_slices_that_end() {
    // Guards against a leader that computes for seconds after a power cut while
    // its lease and its machines' leases run out.
    const SLICE: u64 = 50_000;
    let (mut engine, _) = fleet(SLICE, 4000);
    for n in 0..1000 {
        come(
            &mut engine,
            1.0,
            tier(&format!("req-{n:04}"), Priority::Normal, 20, 1.5),
        );
    }
    let (mut slices, mut most) = (0, 0);
    while slices == 0 || engine.is_mid_cycle() {
        engine.schedule(1.0);
        slices += 1;
        most = most.max(engine.take_steps());
    }
    assert_eq!(
        engine
            .jobs
            .values()
            .map(|j| j.placements.len())
            .sum::<usize>(),
        20_000
    );
    // One more job than fits into a slice, and a walk over the fleet.
    assert!(most < SLICE + 4000 + 8000, "{most} steps in a slice");
    assert!((10..60).contains(&slices), "{slices} slices");
}
