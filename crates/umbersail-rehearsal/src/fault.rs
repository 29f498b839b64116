//! The script of failures: what each trouble does to the world, and how it is
//! undone.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umbersail_runtime::{HostId, NetworkConfig, PartitionMode, WorldHandle, sleep};

use crate::fleet::{Fleet, Machine};
use crate::history::What;
use crate::kv_store_host::KvStoreHost;
use crate::late::Late;
use crate::scenario::{Failure, Fault, ROLL_S};
use crate::user_troubles::Order;
use crate::users::Users;

/// Machines that a trouble takes if it does not say how many.
const USUAL_COUNT: usize = 3;

/// A controller as the script sees it.
pub struct Controller {
    pub member: String,
    pub zone: String,
    pub host: HostId,
    /// Starts and ends its process.
    pub start: Box<dyn Fn()>,
    pub end: Box<dyn Fn()>,
    /// Stops a real process for a while, or lets it go on.
    pub pause: Option<Box<dyn Fn(bool)>>,
}

/// All that a trouble may touch.
pub struct Stage {
    pub world: WorldHandle,
    pub fleet: Rc<Fleet>,
    pub ledger: Rc<KvStoreHost>,
    pub users: Rc<Users>,
    pub controllers: Vec<Controller>,
    /// Hosts that belong to no zone: state service, cloud, users.
    pub regional: [HostId; 3],
    pub rng: RefCell<ChaCha8Rng>,
    /// Machines that a trouble took, and until when.
    pub struck: RefCell<Vec<(String, f64)>>,
}

/// A trouble's name in night files.
pub(crate) fn name_of(trouble: Fault) -> String {
    let name = serde_json::to_value(trouble).unwrap_or_default();
    name.as_str().unwrap_or("").to_owned()
}

/// What is to be undone at a trouble's end.
type Undo = Box<dyn FnOnce(&Rc<Stage>)>;

impl Stage {
    pub fn rng(seed: u64) -> RefCell<ChaCha8Rng> {
        RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0074_726f_7562_6c65))
    }

    /// Plays one failure at its time, for its time.
    pub async fn inject(self: Rc<Self>, failure: Failure) {
        sleep(failure.at_s).await;
        let trouble = name_of(failure.what);
        let tell = |begins| {
            let trouble = trouble.clone();
            self.fleet.history.add(What::Trouble { trouble, begins });
        };
        if !self.world.is_simulated() && !failure.what.can_run_on_loopback() {
            let trouble = format!("{trouble} (left out: not on loopback)");
            self.fleet.history.add(What::Trouble {
                trouble,
                begins: true,
            });
            return;
        }
        tell(true);
        let undo = self.begin(&failure);
        if let Some(undo) = undo {
            sleep(failure.for_s).await;
            undo(&self);
        }
        tell(false);
    }

    /// Controllers that a failure names, by number.
    fn whom(&self, failure: &Failure) -> Vec<usize> {
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
            .chain(self.fleet.late.host())
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

    /// Machines that are up, drawn by lot, those that do something first.
    fn victims(&self, failure: &Failure, spot: Option<bool>) -> Vec<Rc<Machine>> {
        let count = failure.count.unwrap_or(USUAL_COUNT);
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
            self.fleet.history.add(What::Struck {
                machine: machine.name.clone(),
                trouble: name_of(failure.what),
                for_s: failure.for_s,
            });
        }
        victims
    }

    /// The same failure with the number of machines that its zone or share makes.
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
        Box::new(move |stage| stage.world.heal(cut))
    }

    /// Packets of a cut are held as often as not.
    fn some_mode(&self) -> PartitionMode {
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

    /// Machines stop with all that is on them, for good or for a while.
    fn stop_machines(self: &Rc<Self>, failure: &Failure) {
        for machine in self.victims(failure, None) {
            let Some(back_s) = failure.back_s else {
                self.fleet.fail(&machine);
                continue;
            };
            machine
                .worker
                .lose_all(&self.fleet, crate::history::End::Gone);
            self.world.power_off(machine.host);
            let fleet = self.fleet.clone();
            self.world.spawn(async move {
                sleep(back_s).await;
                // Meanwhile the cloud may have been told to delete it.
                if machine.is_up() {
                    fleet.boot(machine);
                }
            });
        }
    }

    fn crash(self: &Rc<Self>, whom: Vec<usize>, back_s: f64) {
        for n in whom {
            (self.controllers[n].end)();
            let stage = self.clone();
            self.world.spawn(async move {
                sleep(back_s).await;
                (stage.controllers[n].start)();
            });
        }
    }

    /// Asks users to cancel running jobs, evenly over the failure's time.
    async fn sweep_cancellations(self: Rc<Self>, failure: Failure) {
        let count = failure.count.unwrap_or(USUAL_COUNT).max(1);
        let controllers = self.whom(&failure);
        for controller in controllers.iter().cycle().take(count) {
            let waits = (self.rng.borrow_mut()).random_bool(failure.share.unwrap_or(0.0));
            if let Some(job) = self.job_to_cancel(waits) {
                self.users.cancellations.ask(&job, *controller);
            }
            sleep(failure.for_s / count as f64).await;
        }
    }

    /// A job whose user can be asked, drawn by lot: one that runs, on a machine in trouble
    /// if there is any, or one of which nothing runs.
    fn job_to_cancel(&self, waits: bool) -> Option<String> {
        let now = self.world.now();
        let struck = self.struck.borrow();
        let is_struck = |m: &Machine| {
            let its = |(name, until): &(String, f64)| *name == m.name && now < *until;
            struck.iter().any(its)
        };
        let open: BTreeSet<String> = self.users.cancellations.open().into_iter().collect();
        let (mut running, mut in_trouble) = (BTreeSet::new(), BTreeSet::new());
        for machine in self.fleet.up() {
            let mut jobs = machine.worker.running_jobs();
            jobs.retain(|job| open.contains(job));
            if is_struck(&machine) {
                in_trouble.extend(jobs.iter().cloned());
            }
            running.extend(jobs);
        }
        let from = match in_trouble.is_empty() {
            _ if waits => &open - &running,
            true => running,
            false => in_trouble,
        };
        let from: Vec<String> = from.into_iter().collect();
        from.choose(&mut *self.rng.borrow_mut()).cloned()
    }

    /// Does it; what must be undone comes back.
    fn begin(self: &Rc<Self>, failure: &Failure) -> Option<Undo> {
        let fleet = &self.fleet;
        let times = failure.times.unwrap_or(1.0);
        match failure.what {
            Fault::BootsLate => {
                fleet.parameters.boots.set(times);
                Some(Box::new(|s| s.fleet.parameters.boots.set(1.0)))
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
                let late = Late::of(failure);
                fleet.parameters.rentals_late.set(Some(late));
                Some(Box::new(|s| s.fleet.parameters.rentals_late.set(None)))
            }
            Fault::Burst => {
                let class = failure.class.clone().unwrap_or_default();
                self.users.bursts.borrow_mut().insert(class.clone(), times);
                Some(Box::new(move |s| {
                    s.users.bursts.borrow_mut().remove(&class);
                }))
            }
            Fault::MachinesFailTasks => {
                let victims = self.victims(failure, None);
                victims.iter().for_each(|m| m.worker.faulty.set(true));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.faulty.set(false));
                }))
            }
            Fault::MachinesSlow => {
                let victims = self.victims(failure, None);
                victims
                    .iter()
                    .for_each(|m| m.worker.slow.set(times.max(1.0)));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.slow.set(1.0));
                }))
            }
            Fault::MachinesCut => {
                let victims: Vec<HostId> =
                    self.victims(failure, None).iter().map(|m| m.host).collect();
                Some(self.cut(&victims, &self.all_hosts(), self.some_mode()))
            }
            Fault::MachinesDeaf => {
                let victims = self.victims(failure, None);
                victims.iter().for_each(|m| m.worker.deaf.set(true));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.deaf.set(false));
                }))
            }
            Fault::MachinesMute => {
                let victims = self.victims(&self.with_count(failure), None);
                victims.iter().for_each(|m| m.worker.mute.set(true));
                Some(Box::new(move |_| {
                    victims.iter().for_each(|m| m.worker.mute.set(false));
                }))
            }
            Fault::CommandAnswersLate => {
                fleet.late_answers.set(Some(Late::of(failure)));
                Some(Box::new(|s| s.fleet.late_answers.set(None)))
            }
            Fault::ReportsLate => {
                let late = Late::of(failure);
                if failure.for_next == Some(true) {
                    (fleet.late).begin_keeping(&self.world, fleet.fronts(), late);
                    let fleet = fleet.clone();
                    (self.ledger).on_election(Box::new(move || {
                        fleet.late.deliver_kept(fleet.world.now());
                    }));
                    return Some(Box::new(|s| s.fleet.late.end_keeping()));
                }
                (fleet.late).begin(&self.world, fleet.fronts(), late);
                Some(Box::new(|s| s.fleet.late.end()))
            }
            Fault::CommandsLate => {
                fleet.late_commands.set(Some(Late::of(failure)));
                Some(Box::new(|s| s.fleet.late_commands.set(None)))
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
                let victims = self.victims(failure, None);
                victims.iter().for_each(|m| self.world.freeze(m.host));
                let hung_s = failure.for_s;
                Some(Box::new(move |s| {
                    for machine in victims {
                        machine.worker.put_off(hung_s);
                        s.world.thaw(machine.host);
                    }
                }))
            }
            Fault::PowerCut => Some(self.cut_power(failure)),
            Fault::SpotWave => {
                self.take_spot(failure);
                None
            }
            Fault::CapacityShrinks => {
                fleet.parameters.capacity.set(failure.share.unwrap_or(1.0));
                Some(Box::new(|s| s.fleet.parameters.capacity.set(1.0)))
            }
            Fault::ControllerCrash => {
                let back_s = failure.back_s(&fleet.night.controllers);
                self.crash(self.whom(failure), back_s);
                None
            }
            Fault::RollingRestart => {
                let back_s = failure.back_s(&fleet.night.controllers);
                let stage = self.clone();
                self.world.spawn(async move {
                    for n in 0..stage.controllers.len() {
                        stage.crash(vec![n], back_s);
                        sleep(back_s + ROLL_S).await;
                    }
                });
                None
            }
            Fault::ControllerCut => {
                let whom = self.hosts(&self.whom(failure));
                Some(self.cut(&whom, &self.all_hosts(), self.some_mode()))
            }
            Fault::ControllerSilent => {
                let whom = self.hosts(&self.whom(failure));
                Some(self.cut(&whom, &self.all_hosts(), PartitionMode::Hold))
            }
            Fault::ControllerCutFromState => {
                let whom = self.hosts(&self.whom(failure));
                Some(self.cut(&whom, &self.regional[..1], self.some_mode()))
            }
            Fault::ControllerCutFromWorkers => {
                let whom = self.hosts(&self.whom(failure));
                let mut workers = self.machine_hosts(None);
                workers.extend(fleet.late.host());
                Some(self.cut(&whom, &workers, self.some_mode()))
            }
            Fault::ControllerIsolated => {
                let whom = self.hosts(&self.whom(failure));
                let mut others: Vec<HostId> = self.controllers.iter().map(|c| c.host).collect();
                others.push(self.regional[0]);
                Some(self.cut(&whom, &others, self.some_mode()))
            }
            Fault::StateRefuses => {
                let whom = self.whom(failure);
                let set = |s: &Stage, whom: &[usize], refused| {
                    whom.iter()
                        .for_each(|n| s.ledger.refused.borrow_mut()[*n] = refused);
                };
                set(self, &whom, true);
                Some(Box::new(move |s| set(s, &whom, false)))
            }
            Fault::ControllerSlow => {
                let whom = self.whom(failure);
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
                let whom = self.whom(failure);
                whom.iter().for_each(|n| self.pause(*n, true));
                Some(Box::new(move |s| {
                    whom.iter().for_each(|n| s.pause(*n, false))
                }))
            }
            Fault::ClockSkew => {
                let whom = self.hosts(&self.whom(failure));
                let skew_ms = fleet.night.controllers.skew_ms * times;
                whom.iter().for_each(|h| self.world.set_skew(*h, skew_ms));
                Some(Box::new(move |s| {
                    whom.iter().for_each(|h| s.world.set_skew(*h, 0.0))
                }))
            }
            Fault::PeersRefused => {
                let all = self.hosts(&self.whom(failure));
                Some(self.cut(&all, &all, PartitionMode::Refuse))
            }
            Fault::ControllersApart => {
                let all = self.hosts(&self.whom(failure));
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
                    true => &ledger.unanswered,
                    false => &ledger.late,
                };
                share.set(failure.share.unwrap_or(0.0));
                let at_once = failure.at_once;
                Some(Box::new(move |s| match at_once {
                    true => s.ledger.unanswered.set(0.0),
                    false => s.ledger.late.set(0.0),
                }))
            }
            Fault::CloseLooks => {
                fleet.completions.is_watched.set(true);
                match failure.job.clone() {
                    Some(job) => self.users.troubles.order(Order::Look { job, after_s: 0.0 }),
                    None => self.users.troubles.looks_closely.set(true),
                }
                Some(Box::new(|s| s.users.troubles.looks_closely.set(false)))
            }
            Fault::OddRequests => {
                self.users.troubles.sends_odd.set(true);
                self.users.troubles.order(Order::SendOddRequests);
                Some(Box::new(|s| s.users.troubles.sends_odd.set(false)))
            }
            Fault::CancelAtEnd => {
                fleet.completions.is_watched.set(true);
                let late = Some(Late::of(failure));
                self.users.troubles.cancelled_at_end.set(late);
                Some(Box::new(|s| s.users.troubles.cancelled_at_end.set(None)))
            }
            Fault::CancelNow => {
                self.cancel_now(failure);
                None
            }
            Fault::LinksSlow => {
                let usual = NetworkConfig::default();
                self.world.set_network(NetworkConfig {
                    latency_s: usual.latency_s + times / 1000.0,
                    // Half of what is added varies.
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
                Some(self.cut(&inside, &outside, self.some_mode()))
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

    /// Machines and controllers of a zone stop; the machines come back cold, with
    /// no task and no image, and go on under their names.
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
                .lose_all(&self.fleet, crate::history::End::Gone);
            self.world.power_off(machine.host);
        }
        let dark = self
            .controllers
            .iter()
            .enumerate()
            .filter(|(_, c)| c.zone == zone);
        let dark: Vec<usize> = dark.map(|(n, _)| n).collect();
        for n in &dark {
            (self.controllers[*n].end)();
            self.world.power_off(self.controllers[*n].host);
        }
        Box::new(move |stage| {
            for machine in machines {
                // Meanwhile the cloud may have been told to delete it.
                if machine.is_up() {
                    stage.fleet.clone().boot(machine);
                }
            }
            for n in dark {
                (stage.controllers[n].start)();
            }
        })
    }

    /// Spot machines are taken back, one in five of them without notice.
    fn take_spot(self: &Rc<Self>, failure: &Failure) {
        let notice_s = self.fleet.night.workers.notice_s;
        for machine in self.victims(failure, Some(true)) {
            let (told, wait) = {
                let mut rng = self.rng.borrow_mut();
                (rng.random_bool(0.8), notice_s * rng.random_range(0.5..1.5))
            };
            if !told {
                self.fleet.remove(&machine, "taken");
                continue;
            }
            machine.worker.notice(Some(self.world.now() + wait));
            let stage = self.clone();
            self.world.spawn(async move {
                sleep(wait).await;
                stage.fleet.remove(&machine, "taken");
            });
        }
    }
}
