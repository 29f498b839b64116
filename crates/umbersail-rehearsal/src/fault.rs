//! Fault injection: what each fault does to the simulated cluster, and how it is reverted.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_runtime::{HostId, NetworkConfig, PartitionMode, WorldHandle, sleep};

use crate::delays::DelayFault;
use crate::fleet::{Fleet, Machine};
use crate::history::EventKind;
use crate::kv_store_host::KvStoreHost;
use crate::scenario::{Failure, Fault, ROLL_S};
use crate::user_faults::UserCommand;
use crate::users::Users;

/// Default number of machines or jobs that a fault affects.
const DEFAULT_COUNT: usize = 3;

/// A controller, with the operations that faults need.
pub struct Controller {
    /// Member name of the controller.
    pub member: String,
    /// Zone of the controller.
    pub zone: String,
    /// Simulated host of the controller.
    pub host: HostId,
    /// Starts the process.
    pub start: Box<dyn Fn()>,
    /// Kills the process.
    pub end: Box<dyn Fn()>,
    /// Suspends (`true`) or resumes a real process. `None` in a simulation.
    pub pause: Option<Box<dyn Fn(bool)>>,
}

/// Everything that faults can affect.
pub struct FaultInjector {
    /// The simulated or real world.
    pub world: WorldHandle,
    /// Machines and cloud.
    pub fleet: Rc<Fleet>,
    /// The state service.
    pub ledger: Rc<KvStoreHost>,
    /// Users and the load balancer.
    pub users: Rc<Users>,
    /// All controllers.
    pub controllers: Vec<Controller>,
    /// Hosts that belong to no zone: state service, cloud and users, in this order.
    pub regional: [HostId; 3],
    /// Random numbers for the choice of machines and jobs.
    pub rng: RefCell<ChaCha8Rng>,
    /// Machines with a fault, and the end of the fault in seconds.
    pub struck: RefCell<Vec<(String, f64)>>,
}

/// Returns the name of a fault in scenario files.
pub(crate) fn name_of(fault: Fault) -> String {
    let name = serde_json::to_value(fault).unwrap_or_default();
    name.as_str().unwrap_or("").to_owned()
}

/// Reverts a fault when it ends.
type Undo = Box<dyn FnOnce(&Rc<FaultInjector>)>;

impl FaultInjector {
    /// Returns the random number generator for a seed.
    pub fn rng(seed: u64) -> RefCell<ChaCha8Rng> {
        RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0074_726f_7562_6c65))
    }

    /// Waits for the start of the fault, applies it, and reverts it when it ends.
    pub async fn inject(self: Rc<Self>, failure: Failure) {
        sleep(failure.at_s).await;
        let trouble = name_of(failure.what);
        let record = |begins| {
            let trouble = trouble.clone();
            self.fleet.history.add(EventKind::Fault {
                fault: trouble,
                begins,
            });
        };
        if !self.world.is_simulated() && !failure.what.can_run_on_loopback() {
            let trouble = format!("{trouble} (left out: not on loopback)");
            self.fleet.history.add(EventKind::Fault {
                fault: trouble,
                begins: true,
            });
            return;
        }
        record(true);
        let undo = self.begin(&failure);
        if let Some(undo) = undo {
            sleep(failure.for_s).await;
            undo(&self);
        }
        record(false);
    }

    /// Returns the indices of the controllers that a failure names.
    fn target_controllers(&self, failure: &Failure) -> Vec<usize> {
        match failure.who.as_deref() {
            Some("all") | None => (0..self.controllers.len()).collect(),
            Some("leader") => {
                let leader = self.ledger.leader();
                let at = |c: &Controller| Some(&c.member) == leader.as_ref();
                vec![self.controllers.iter().position(at).unwrap_or(0)]
            }
            Some(number) => number.parse().ok().into_iter().collect(),
        }
    }

    fn hosts(&self, controllers: &[usize]) -> Vec<HostId> {
        controllers
            .iter()
            .map(|n| self.controllers[*n].host)
            .collect()
    }

    fn all_hosts(&self) -> Vec<HostId> {
        let controllers = self.controllers.iter().map(|c| c.host);
        controllers
            .chain(self.regional)
            .chain(self.fleet.heartbeat_copies.host())
            .chain(self.fleet.command_copies.host())
            .chain(self.machine_hosts(None))
            .collect()
    }

    fn machine_hosts(&self, zone: Option<&str>) -> Vec<HostId> {
        let machines = self.fleet.machines.borrow();
        let here = machines
            .values()
            .filter(|m| zone.is_none_or(|z| z == m.zone));
        here.filter(|m| m.gone_at.get().is_none())
            .map(|m| m.host)
            .collect()
    }

    fn zone_hosts(&self, zone: &str) -> Vec<HostId> {
        let controllers = self.controllers.iter().filter(|c| c.zone == zone);
        let controllers = controllers.map(|c| c.host);
        controllers.chain(self.machine_hosts(Some(zone))).collect()
    }

    /// Chooses running machines at random, from those with tasks if there are enough.
    fn choose_machines(&self, failure: &Failure, spot: Option<bool>) -> Vec<Rc<Machine>> {
        let count = failure.count.unwrap_or(DEFAULT_COUNT);
        let fits = |m: &Rc<Machine>| {
            spot.is_none_or(|s| s == m.spot) && failure.zone.as_ref().is_none_or(|z| *z == m.zone)
        };
        let up: Vec<Rc<Machine>> = self.fleet.up().into_iter().filter(fits).collect();
        let busy: Vec<_> = up
            .iter()
            .filter(|m| m.worker.cpus_in_use() > 0.0)
            .cloned()
            .collect();
        let from = if busy.len() >= count { busy } else { up };
        let mut rng = self.rng.borrow_mut();
        let victims: Vec<Rc<Machine>> = from.choose_multiple(&mut *rng, count).cloned().collect();
        for machine in &victims {
            let until = self.world.now() + failure.for_s;
            let struck = (machine.name.clone(), until);
            self.struck.borrow_mut().push(struck);
            self.fleet.history.add(EventKind::MachineFaulted {
                machine: machine.name.clone(),
                fault: name_of(failure.what),
                for_s: failure.for_s,
            });
        }
        victims
    }

    /// Returns the failure with `count` computed from its share or zone.
    fn with_count(&self, failure: &Failure) -> Failure {
        let here = |m: &&Rc<Machine>| failure.zone.as_ref().is_none_or(|z| *z == m.zone);
        let up = self.fleet.up().iter().filter(here).count();
        let count = match (failure.count, failure.share, &failure.zone) {
            (Some(count), ..) => Some(count),
            (None, Some(share), _) => Some((share * up as f64).ceil() as usize),
            (None, None, Some(_)) => Some(up),
            (None, None, None) => None,
        };
        Failure {
            count,
            ..failure.clone()
        }
    }

    fn cut(&self, a: &[HostId], b: &[HostId], mode: PartitionMode) -> Undo {
        let cut = self.world.partition(a, b, mode);
        Box::new(move |injector| injector.world.heal(cut))
    }

    /// Returns one of two partition modes with equal probability: hold packets, or reset
    /// connections.
    fn random_partition_mode(&self) -> PartitionMode {
        match self.rng.borrow_mut().random_bool(0.5) {
            true => PartitionMode::Hold,
            false => PartitionMode::Reset,
        }
    }

    fn pause(&self, controller: usize, stops: bool) {
        let controller = &self.controllers[controller];
        match (&controller.pause, stops) {
            (Some(pause), stops) => pause(stops),
            (None, true) => self.world.freeze(controller.host),
            (None, false) => self.world.thaw(controller.host),
        }
    }

    /// Stops machines with their tasks. Machines restart after `back_s`, if it is set.
    fn stop_machines(self: &Rc<Self>, failure: &Failure) {
        for machine in self.choose_machines(failure, None) {
            let Some(back_s) = failure.back_s else {
                self.fleet.fail(&machine);
                continue;
            };
            machine
                .worker
                .lose_all(&self.fleet, crate::history::EndReason::Gone);
            self.world.power_off(machine.host);
            let fleet = self.fleet.clone();
            self.world.spawn(async move {
                sleep(back_s).await;
                // The cloud may have deleted the machine in the meantime.
                if machine.is_up() {
                    fleet.boot(machine);
                }
            });
        }
    }

    fn crash(self: &Rc<Self>, whom: Vec<usize>, back_s: f64) {
        for n in whom {
            (self.controllers[n].end)();
            let injector = self.clone();
            self.world.spawn(async move {
                sleep(back_s).await;
                (injector.controllers[n].start)();
            });
        }
    }

    /// Lets users cancel running jobs, evenly distributed over the duration of the fault.
    async fn sweep_cancellations(self: Rc<Self>, failure: Failure) {
        let count = failure.count.unwrap_or(DEFAULT_COUNT).max(1);
        let controllers = self.target_controllers(&failure);
        for controller in controllers.iter().cycle().take(count) {
            let waits = (self.rng.borrow_mut()).random_bool(failure.share.unwrap_or(0.0));
            if let Some(job) = self.job_to_cancel(waits) {
                self.users.cancellations.request_cancel(&job, *controller);
            }
            sleep(failure.for_s / count as f64).await;
        }
    }

    /// Chooses a job to cancel at random: with `waits`, a job without running tasks; otherwise
    /// a running job, on a machine with a fault if there is one.
    fn job_to_cancel(&self, waits: bool) -> Option<String> {
        let now = self.world.now();
        let struck = self.struck.borrow();
        let is_struck = |m: &Machine| {
            let its = |(name, until): &(String, f64)| *name == m.name && now < *until;
            struck.iter().any(its)
        };
        let open: BTreeSet<String> = self.users.cancellations.idle_jobs().into_iter().collect();
        let (mut running, mut on_faulty_machine) = (BTreeSet::new(), BTreeSet::new());
        for machine in self.fleet.up() {
            let mut jobs = machine.worker.running_jobs();
            jobs.retain(|job| open.contains(job));
            if is_struck(&machine) {
                on_faulty_machine.extend(jobs.iter().cloned());
            }
            running.extend(jobs);
        }
        let from = match on_faulty_machine.is_empty() {
            _ if waits => &open - &running,
            true => running,
            false => on_faulty_machine,
        };
        let from: Vec<String> = from.into_iter().collect();
        from.choose(&mut *self.rng.borrow_mut()).cloned()
    }

    /// Applies the fault. Returns the function that reverts it, if it has an end.
    fn begin(self: &Rc<Self>, failure: &Failure) -> Option<Undo> {
        let fleet = &self.fleet;
        let times = failure.times.unwrap_or(1.0);
        match failure.what {
            Fault::BootsLate => {
                fleet.parameters.boot_factor.set(times);
                Some(Box::new(|s| s.fleet.parameters.boot_factor.set(1.0)))
            }
            Fault::BootsNever => {
                fleet.parameters.boots_never.set(true);
                Some(Box::new(|s| s.fleet.parameters.boots_never.set(false)))
            }
            Fault::BootsQuick => {
                fleet.parameters.boots_quick.set(true);
                Some(Box::new(|s| s.fleet.parameters.boots_quick.set(false)))
            }
            Fault::RentalsLate => {
                let late = DelayFault::new(failure);
                fleet.parameters.rental_delay.set(Some(late));
                Some(Box::new(|s| s.fleet.parameters.rental_delay.set(None)))
            }
            Fault::Burst => {
                let class = failure.class.clone().unwrap_or_default();
                self.users.bursts.borrow_mut().insert(class.clone(), times);
                Some(Box::new(move |s| {
                    s.users.bursts.borrow_mut().remove(&class);
                }))
            }
            Fault::MachinesFailTasks => {
                let victims = self.choose_machines(failure, None);
                victims.iter().for_each(|m| m.worker.faulty.set(true));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.faulty.set(false));
                }))
            }
            Fault::MachinesSlow => {
                let victims = self.choose_machines(failure, None);
                victims
                    .iter()
                    .for_each(|m| m.worker.slowdown.set(times.max(1.0)));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.slowdown.set(1.0));
                }))
            }
            Fault::MachinesCut => {
                let victims: Vec<HostId> = self
                    .choose_machines(failure, None)
                    .iter()
                    .map(|m| m.host)
                    .collect();
                Some(self.cut(&victims, &self.all_hosts(), self.random_partition_mode()))
            }
            Fault::MachinesDeaf => {
                let victims = self.choose_machines(failure, None);
                victims.iter().for_each(|m| m.worker.unreachable.set(true));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.unreachable.set(false));
                }))
            }
            Fault::MachinesMute => {
                let victims = self.choose_machines(&self.with_count(failure), None);
                victims.iter().for_each(|m| m.worker.cannot_send.set(true));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.cannot_send.set(false));
                }))
            }
            Fault::CommandAnswersLate => {
                fleet
                    .command_reply_delay
                    .set(Some(DelayFault::new(failure)));
                Some(Box::new(|s| s.fleet.command_reply_delay.set(None)))
            }
            Fault::ReportsLate => {
                let late = DelayFault::new(failure);
                if failure.for_next == Some(true) {
                    (fleet.heartbeat_copies).begin_keeping(
                        &self.world,
                        fleet.controller_addrs(),
                        late,
                    );
                    let fleet = fleet.clone();
                    (self.ledger).on_election(Box::new(move || {
                        fleet.heartbeat_copies.deliver_kept(fleet.world.now());
                    }));
                    return Some(Box::new(|s| s.fleet.heartbeat_copies.end_keeping()));
                }
                (fleet.heartbeat_copies).begin(&self.world, fleet.controller_addrs(), late);
                Some(Box::new(|s| s.fleet.heartbeat_copies.end()))
            }
            Fault::CommandsRepeated => {
                (fleet.command_copies).begin(&self.world, DelayFault::new(failure));
                Some(Box::new(|s| s.fleet.command_copies.end()))
            }
            Fault::CommandsLate => {
                fleet.command_delay.set(Some(DelayFault::new(failure)));
                Some(Box::new(|s| s.fleet.command_delay.set(None)))
            }
            Fault::CancelSweep => {
                self.world
                    .spawn(self.clone().sweep_cancellations(failure.clone()));
                Some(Box::new(|_| {}))
            }
            Fault::MachinesStop => {
                self.stop_machines(failure);
                None
            }
            Fault::WorkerDiesMidJob => {
                let one = Failure {
                    count: Some(failure.count.unwrap_or(1)),
                    ..failure.clone()
                };
                self.stop_machines(&one);
                None
            }
            Fault::MachinesHang => {
                let victims = self.choose_machines(failure, None);
                victims.iter().for_each(|m| self.world.freeze(m.host));
                let hung_s = failure.for_s;
                Some(Box::new(move |s| {
                    for machine in victims {
                        machine.worker.shift_times(hung_s);
                        s.world.thaw(machine.host);
                    }
                }))
            }
            Fault::PowerCut => Some(self.cut_power(failure)),
            Fault::SpotWave => {
                self.reclaim_spot_machines(failure);
                None
            }
            Fault::CapacityShrinks => {
                fleet
                    .parameters
                    .capacity_share
                    .set(failure.share.unwrap_or(1.0));
                Some(Box::new(|s| s.fleet.parameters.capacity_share.set(1.0)))
            }
            Fault::ControllerCrash => {
                let back_s = failure.back_s(&fleet.night.controllers);
                self.crash(self.target_controllers(failure), back_s);
                None
            }
            Fault::RollingRestart => {
                let back_s = failure.back_s(&fleet.night.controllers);
                let injector = self.clone();
                self.world.spawn(async move {
                    for n in 0..injector.controllers.len() {
                        injector.crash(vec![n], back_s);
                        sleep(back_s + ROLL_S).await;
                    }
                });
                None
            }
            Fault::ControllerCut => {
                let whom = self.hosts(&self.target_controllers(failure));
                Some(self.cut(&whom, &self.all_hosts(), self.random_partition_mode()))
            }
            Fault::ControllerSilent => {
                let whom = self.hosts(&self.target_controllers(failure));
                Some(self.cut(&whom, &self.all_hosts(), PartitionMode::Hold))
            }
            Fault::ControllerCutFromState => {
                let whom = self.hosts(&self.target_controllers(failure));
                Some(self.cut(&whom, &self.regional[..1], self.random_partition_mode()))
            }
            Fault::ControllerCutFromWorkers => {
                let whom = self.hosts(&self.target_controllers(failure));
                let mut workers = self.machine_hosts(None);
                workers.extend(fleet.heartbeat_copies.host());
                Some(self.cut(&whom, &workers, self.random_partition_mode()))
            }
            Fault::ControllerIsolated => {
                let whom = self.hosts(&self.target_controllers(failure));
                let mut others: Vec<HostId> = self.controllers.iter().map(|c| c.host).collect();
                others.push(self.regional[0]);
                Some(self.cut(&whom, &others, self.random_partition_mode()))
            }
            Fault::StateRefuses => {
                let whom = self.target_controllers(failure);
                let set = |s: &FaultInjector, whom: &[usize], refused| {
                    whom.iter()
                        .for_each(|n| s.ledger.refused.borrow_mut()[*n] = refused);
                };
                set(self, &whom, true);
                Some(Box::new(move |s| set(s, &whom, false)))
            }
            Fault::ControllerSlow => {
                let whom = self.target_controllers(failure);
                for n in &whom {
                    self.world.set_slowdown(self.controllers[*n].host, times);
                }
                Some(Box::new(move |s| {
                    for n in whom {
                        s.world.set_slowdown(s.controllers[n].host, 1.0);
                    }
                }))
            }
            Fault::ControllerFreezes => {
                let whom = self.target_controllers(failure);
                whom.iter().for_each(|n| self.pause(*n, true));
                Some(Box::new(move |s| {
                    whom.iter().for_each(|n| s.pause(*n, false))
                }))
            }
            Fault::ClockSkew => {
                let whom = self.hosts(&self.target_controllers(failure));
                let skew_ms = fleet.night.controllers.skew_ms * times;
                whom.iter().for_each(|h| self.world.set_skew(*h, skew_ms));
                Some(Box::new(move |s| {
                    whom.iter().for_each(|h| s.world.set_skew(*h, 0.0))
                }))
            }
            Fault::PeersRefused => {
                let all = self.hosts(&self.target_controllers(failure));
                Some(self.cut(&all, &all, PartitionMode::Refuse))
            }
            Fault::ControllersApart => {
                let all = self.hosts(&self.target_controllers(failure));
                Some(self.cut(&all, &all, PartitionMode::Hold))
            }
            Fault::StateDown => {
                self.ledger.set_down(true);
                Some(Box::new(|s| s.ledger.set_down(false)))
            }
            Fault::StateSlow => {
                self.ledger.slow_s.set(0.1 * times);
                Some(Box::new(|s| s.ledger.slow_s.set(0.0)))
            }
            Fault::LateWrites => {
                let ledger = &self.ledger;
                let share = match failure.at_once {
                    true => &ledger.lost_answer_share,
                    false => &ledger.late_share,
                };
                share.set(failure.share.unwrap_or(0.0));
                let at_once = failure.at_once;
                Some(Box::new(move |s| match at_once {
                    true => s.ledger.lost_answer_share.set(0.0),
                    false => s.ledger.late_share.set(0.0),
                }))
            }
            Fault::CloseLooks => {
                fleet.completions.is_watched.set(true);
                match failure.job.clone() {
                    Some(job) => self
                        .users
                        .faults
                        .issue(UserCommand::QueryAll { job, after_s: 0.0 }),
                    None => self.users.faults.query_bursts.set(true),
                }
                Some(Box::new(|s| s.users.faults.query_bursts.set(false)))
            }
            Fault::OddRequests => {
                self.users.faults.sends_odd_requests.set(true);
                self.users.faults.issue(UserCommand::SendOddRequests);
                Some(Box::new(|s| s.users.faults.sends_odd_requests.set(false)))
            }
            Fault::CancelAtEnd => {
                fleet.completions.is_watched.set(true);
                let late = Some(DelayFault::new(failure));
                self.users.faults.cancelled_at_end.set(late);
                Some(Box::new(|s| s.users.faults.cancelled_at_end.set(None)))
            }
            Fault::CancelNow => {
                self.cancel_now(failure);
                None
            }
            Fault::LinksSlow => {
                let usual = NetworkConfig::default();
                self.world.set_network(NetworkConfig {
                    latency_s: usual.latency_s + times / 1000.0,
                    // Half of the added latency is jitter.
                    jitter_s: usual.jitter_s + times / 2000.0,
                    loss: failure.share.unwrap_or(usual.loss),
                    ..usual
                });
                Some(Box::new(move |s| s.world.set_network(usual)))
            }
            Fault::ZoneCut => {
                let inside = self.zone_hosts(failure.zone.as_deref().unwrap_or(""));
                let mut outside = self.all_hosts();
                outside.retain(|h| !inside.contains(h));
                Some(self.cut(&inside, &outside, self.random_partition_mode()))
            }
            Fault::ZonesApart => {
                let zones = &fleet.night.controllers.zones;
                let first = self.zone_hosts(&zones[0]);
                let mut others: Vec<HostId> = self.controllers.iter().map(|c| c.host).collect();
                others.extend(self.machine_hosts(None));
                others.retain(|h| !first.contains(h));
                Some(self.cut(&first, &others, PartitionMode::Hold))
            }
        }
    }

    /// Stops all machines and controllers of a zone. The machines restart without tasks and
    /// cached images, and keep their names.
    fn cut_power(self: &Rc<Self>, failure: &Failure) -> Undo {
        let zone = failure.zone.clone().unwrap_or_default();
        let machines: Vec<Rc<Machine>> = self
            .fleet
            .up()
            .into_iter()
            .filter(|m| m.zone == zone)
            .collect();
        for machine in &machines {
            machine
                .worker
                .lose_all(&self.fleet, crate::history::EndReason::Gone);
            self.world.power_off(machine.host);
        }
        let unpowered = self
            .controllers
            .iter()
            .enumerate()
            .filter(|(_, c)| c.zone == zone);
        let unpowered: Vec<usize> = unpowered.map(|(n, _)| n).collect();
        for n in &unpowered {
            (self.controllers[*n].end)();
            self.world.power_off(self.controllers[*n].host);
        }
        Box::new(move |injector| {
            for machine in machines {
                // The cloud may have deleted the machine in the meantime.
                if machine.is_up() {
                    injector.fleet.clone().boot(machine);
                }
            }
            for n in unpowered {
                (injector.controllers[n].start)();
            }
        })
    }

    /// Reclaims spot machines, one in five of them without notice.
    fn reclaim_spot_machines(self: &Rc<Self>, failure: &Failure) {
        let notice_s = self.fleet.night.workers.notice_s;
        for machine in self.choose_machines(failure, Some(true)) {
            let (has_notice, wait) = {
                let mut rng = self.rng.borrow_mut();
                (rng.random_bool(0.8), notice_s * rng.random_range(0.5..1.5))
            };
            if !has_notice {
                self.fleet.remove(&machine, "taken");
                continue;
            }
            machine.worker.set_notice(Some(self.world.now() + wait));
            let injector = self.clone();
            self.world.spawn(async move {
                sleep(wait).await;
                injector.fleet.remove(&machine, "taken");
            });
        }
    }
}
