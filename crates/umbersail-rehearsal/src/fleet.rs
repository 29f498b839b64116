//! Simulated cloud provider and the machines rented from it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use umbersail_http::{Handler, Request, Response, serve};
use umbersail_kv::TokenBucket;
use umbersail_kv::api::query_parameter;
use umbersail_runtime::{HostId, HostSpec, TcpListener, WorldHandle, sleep};
use umbersail_wire::{
    Catalogue, JobSpec, ListedMachine, MachineList, MachineNames, MachineState, MachineType,
    RentRequest, decode, paths,
};

use crate::addresses::Addresses;
use crate::command_copies::CommandCopies;
use crate::delays::{DelayFault, HeartbeatCopies};
use crate::history::{EndReason, EventKind, History};
use crate::image_store::ImageStore;
use crate::kv_store_host::{answer, wide_limits};
use crate::scenario::{MachineKind, Scenario};
use crate::user_faults::Completions;
use crate::worker::Worker;

/// A submitted job and the actual behaviour of its tasks, which controllers do not know.
#[derive(Debug, Clone)]
pub struct SimulatedJob {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Median run time of a task, in seconds.
    pub run_s: f64,
    /// Sigma of the log-normal distribution of task run times.
    pub sigma: f64,
    /// Whether the submission contains a mistake, so that its tasks fail on every machine.
    pub mistaken: bool,
}

/// A rented machine. Times are in simulation time.
pub struct Machine {
    /// The machine's name and id.
    pub name: String,
    /// Index of the machine type in the scenario.
    pub kind: usize,
    /// The zone that the machine is in.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// The machine's host in the world.
    pub host: HostId,
    /// Address of the worker.
    pub addr: SocketAddr,
    /// When the machine was rented.
    pub rented_at: f64,
    /// When the machine booted.
    pub up_at: Cell<Option<f64>>,
    /// When the machine failed by itself.
    pub failed_at: Cell<Option<f64>>,
    /// When the machine was deleted or reclaimed.
    pub gone_at: Cell<Option<f64>>,
    /// The worker that runs on the machine.
    pub worker: Rc<Worker>,
}

impl Machine {
    /// Whether the machine has booted, and neither failed nor was deleted.
    pub fn is_up(&self) -> bool {
        self.up_at.get().is_some() && self.failed_at.get().is_none() && self.gone_at.get().is_none()
    }
}

/// Boot time of a new machine while the fault `boots-quick` is active, in seconds.
const QUICK_BOOT_S: RangeInclusive<f64> = 1.0..=2.0;

/// Parameters of the cloud that injected faults change.
#[derive(Debug)]
pub struct Parameters {
    /// Factor on boot times.
    pub boot_factor: Cell<f64>,
    /// New machines never boot.
    pub boots_never: Cell<bool>,
    /// New machines boot within [`QUICK_BOOT_S`].
    pub boots_quick: Cell<bool>,
    /// Rentals are executed at once, but their replies are delayed.
    pub rental_delay: Cell<Option<DelayFault>>,
    /// Share of the capacity of each machine type that can be rented.
    pub capacity_share: Cell<f64>,
}

/// The simulated cloud, its machines, and the jobs that run on them.
pub struct Fleet {
    /// The world that all hosts belong to.
    pub world: WorldHandle,
    /// The history of the run.
    pub history: History,
    /// The scenario.
    pub night: Rc<Scenario>,
    /// What injected faults have changed about the cloud.
    pub parameters: Parameters,
    /// All machines ever rented, by name.
    pub machines: RefCell<BTreeMap<String, Rc<Machine>>>,
    /// All submitted jobs, by id.
    pub jobs: RefCell<BTreeMap<String, SimulatedJob>>,
    /// Tasks that have a result, by job and task number.
    pub results: RefCell<BTreeSet<(String, u32)>>,
    /// Saved progress of tasks, in seconds.
    pub saved: RefCell<BTreeMap<(String, u32), f64>>,
    /// Money spent on machines so far.
    pub spent: Cell<f64>,
    /// Jobs whose cancellation was requested.
    pub cancelled: RefCell<BTreeSet<String>>,
    /// Jobs whose last task has completed.
    pub completions: Completions,
    /// The image store that all machines share. Without one, each machine fetches at its own
    /// rate.
    pub store: Option<Rc<ImageStore>>,
    /// Delayed duplicates of heartbeats.
    pub heartbeat_copies: HeartbeatCopies,
    /// Repeated direct commands.
    pub command_copies: CommandCopies,
    /// Which direct commands are delayed, and for how long.
    pub command_delay: Cell<Option<DelayFault>>,
    /// Which replies to direct commands are delayed, and for how long.
    pub command_reply_delay: Cell<Option<DelayFault>>,
    controller_addrs: Vec<SocketAddr>,
    members: Vec<String>,
    /// Machines by rental request, so that a repeated request returns the same machines.
    rentals: RefCell<BTreeMap<String, Vec<String>>>,
    /// Machines that a machine list has named.
    listed: RefCell<BTreeSet<String>>,
    bucket: RefCell<TokenBucket>,
    rng: RefCell<ChaCha8Rng>,
    created: Cell<u32>,
}

impl Fleet {
    /// Creates the cloud without machines; `controllers` are names and addresses.
    pub fn new(
        world: WorldHandle,
        history: History,
        night: Rc<Scenario>,
        seed: u64,
        controllers: Vec<(String, SocketAddr)>,
    ) -> Rc<Fleet> {
        let (members, controller_addrs) = controllers.into_iter().unzip();
        let store = night.store.clone().map(ImageStore::new);
        Rc::new(Fleet {
            bucket: RefCell::new(TokenBucket::new(night.cloud.rps, 2.0)),
            heartbeat_copies: HeartbeatCopies::new(seed, history.clone()),
            command_copies: CommandCopies::new(seed, history.clone()),
            command_delay: Cell::new(None),
            command_reply_delay: Cell::new(None),
            world,
            history,
            night,
            parameters: Parameters {
                boot_factor: Cell::new(1.0),
                boots_never: Cell::new(false),
                boots_quick: Cell::new(false),
                rental_delay: Cell::new(None),
                capacity_share: Cell::new(1.0),
            },
            machines: RefCell::default(),
            jobs: RefCell::default(),
            results: RefCell::default(),
            saved: RefCell::default(),
            spent: Cell::new(0.0),
            cancelled: RefCell::default(),
            completions: Completions::default(),
            store,
            controller_addrs,
            members,
            rentals: RefCell::default(),
            listed: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0066_6c65_6574)),
            created: Cell::new(0),
        })
    }

    /// Returns the type of a machine.
    pub fn kind(&self, machine: &Machine) -> &MachineKind {
        &self.night.machines[machine.kind]
    }

    /// Returns the addresses at which controllers serve workers.
    pub fn controller_addrs(&self) -> &[SocketAddr] {
        &self.controller_addrs
    }

    /// Returns the index of the controller with this member name.
    pub fn member(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|m| m == name)
    }

    /// Whether the job was submitted with a mistake.
    pub fn is_mistaken(&self, job: &str) -> bool {
        self.jobs.borrow().get(job).is_some_and(|j| j.mistaken)
    }

    /// Called when a task of the job gets its result. If this was the last one and completions
    /// are watched, the job is added to them.
    pub fn result_added(&self, job: &str) {
        if !self.completions.is_watched.get() {
            return;
        }
        let tasks = self.jobs.borrow().get(job).map_or(0, |t| t.spec.tasks);
        let range = (job.to_owned(), 0)..=(job.to_owned(), u32::MAX);
        if self.results.borrow().range(range).count() == tasks as usize {
            self.completions.add(job);
        }
    }

    /// Returns the run time of a task on a machine of normal speed. The value depends on job and
    /// task number only, so that every attempt has the same run time.
    pub fn run_s(&self, job: &str, task: u32) -> f64 {
        let jobs = self.jobs.borrow();
        let Some(simulated) = jobs.get(job) else {
            return 1.0;
        };
        let mut seed = u64::from(task);
        for byte in job.bytes() {
            seed = (seed ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        match LogNormal::new(simulated.run_s.max(0.01).ln(), simulated.sigma) {
            Ok(distribution) => distribution.sample(&mut rng),
            Err(_) => simulated.run_s,
        }
    }

    /// Returns the machines that are up, in order of their names.
    pub fn up(&self) -> Vec<Rc<Machine>> {
        let machines = self.machines.borrow();
        machines.values().filter(|m| m.is_up()).cloned().collect()
    }

    /// Returns the number of tasks that have no result and are on no machine, without those of
    /// cancelled jobs.
    pub fn waiting(&self) -> u32 {
        let (jobs, cancelled) = (self.jobs.borrow(), self.cancelled.borrow());
        let wanted = |job: &String| !cancelled.contains(job);
        let tasks = jobs.iter().filter(|(job, _)| wanted(job));
        let tasks: u32 = tasks.map(|(_, job)| job.spec.tasks).sum();
        let results = self.results.borrow();
        let done = results.iter().filter(|(job, _)| wanted(job)).count();
        let active: usize = self.up().iter().map(|m| m.worker.active()).sum();
        tasks.saturating_sub((done + active) as u32)
    }

    /// Creates the machines that are up at the start of the scenario.
    pub fn begin(self: &Rc<Self>) {
        for index in 0..self.night.machines.len() {
            let kind = &self.night.machines[index];
            for n in 0..kind.at_start {
                let zone = kind.zones[n % kind.zones.len()].clone();
                let machine = self.create(index, zone, false);
                self.clone().boot(machine);
            }
        }
    }

    fn create(self: &Rc<Self>, kind: usize, zone: String, spot: bool) -> Rc<Machine> {
        let number = self.created.get() + 1;
        self.created.set(number);
        let name = format!("host-{number:06}");
        let [_, b, c, d] = number.to_be_bytes();
        let at = Addresses {
            simulated: self.world.is_simulated(),
        };
        let ip = at.ip(16 + b, c, d);
        let mut spec = HostSpec::new(name.clone(), ip);
        let (speed, rate) = {
            let mut rng = self.rng.borrow_mut();
            (rng.random_range(0.95..1.05), rng.random_range(1.0..1.0005))
        };
        spec.clock_rate = rate;
        let host = self.world.add_host(spec);
        let kind_spec = &self.night.machines[kind];
        let addr = SocketAddr::new(ip.into(), 9000);
        let worker = Worker::new(&name, kind_spec, &zone, spot, addr, speed, rate);
        if let Some(store) = &self.store {
            store.add(addr, &zone, kind_spec.fetch_gb_per_s, worker.clone());
        }
        let machine = Rc::new(Machine {
            name: name.clone(),
            kind,
            zone: zone.clone(),
            spot,
            host,
            addr,
            rented_at: self.world.now(),
            up_at: Cell::new(None),
            failed_at: Cell::new(None),
            gone_at: Cell::new(None),
            worker,
        });
        self.history.add(EventKind::Rented {
            machine: name.clone(),
            kind: kind_spec.name.clone(),
            zone,
            spot,
        });
        self.machines.borrow_mut().insert(name, machine.clone());
        machine
    }

    /// Marks the machine as up and starts its worker.
    pub fn boot(self: Rc<Self>, machine: Rc<Machine>) {
        machine.up_at.set(Some(self.world.now()));
        self.history.add(EventKind::Up {
            machine: machine.name.clone(),
        });
        let first = self
            .rng
            .borrow_mut()
            .random_range(0..self.controller_addrs.len());
        let (world, host) = (self.world.clone(), machine.host);
        world.start(host, machine.worker.clone().run(self, first));
    }

    /// Boots a rented machine after a random time, unless the machine is one that never boots.
    fn boot_later(self: &Rc<Self>, machine: Rc<Machine>) {
        let cloud = &self.night.cloud;
        let mut rng = self.rng.borrow_mut();
        if self.parameters.boots_never.get() || rng.random_bool(cloud.never) {
            return;
        }
        let nominal = self.kind(&machine).boot_s * self.parameters.boot_factor.get();
        let late = if rng.random_bool(cloud.late) {
            4.0
        } else {
            1.0
        };
        let wait = match self.parameters.boots_quick.get() {
            true => rng.random_range(QUICK_BOOT_S),
            false => nominal * rng.random_range(0.6..1.5) * late,
        };
        drop(rng);
        let fleet = self.clone();
        self.world.spawn(async move {
            sleep(wait).await;
            if machine.gone_at.get().is_none() {
                fleet.boot(machine);
            }
        });
    }

    /// The machine fails and all its tasks are lost. The machine list shows the failure 30 s later.
    pub fn fail(&self, machine: &Machine) {
        machine.failed_at.set(Some(self.world.now()));
        self.halt(machine, "stopped");
    }

    /// Deletes or reclaims the machine; all its tasks are lost. At least 60 s are charged.
    pub fn remove(&self, machine: &Machine, why: &str) {
        if machine.gone_at.get().is_some() {
            return;
        }
        let now = self.world.now();
        if machine.failed_at.get().is_none() {
            let short = 60.0 - (now - machine.rented_at);
            self.spend(self.price_of(machine) * short.max(0.0));
        }
        machine.gone_at.set(Some(now));
        self.halt(machine, why);
    }

    fn halt(&self, machine: &Machine, why: &str) {
        machine.worker.lose_all(self, EndReason::Gone);
        if let Some(store) = &self.store {
            store.remove(self.world.now(), machine.addr);
        }
        self.world.power_off(machine.host);
        self.history.add(EventKind::MachineGone {
            machine: machine.name.clone(),
            why: why.into(),
        });
    }

    fn spend(&self, money: f64) {
        self.spent.set(self.spent.get() + money);
    }

    /// Returns the current price of the machine per second.
    fn price_of(&self, machine: &Machine) -> f64 {
        let kind = self.kind(machine);
        let hourly = match kind.spot_price {
            Some(nominal) if machine.spot => nominal * self.spot_factor(machine.kind),
            _ => kind.price,
        };
        hourly / 3600.0
    }

    /// Returns the current factor on the spot price. Spot prices vary by up to a third, with a
    /// different period for each machine type.
    fn spot_factor(&self, kind: usize) -> f64 {
        let phase = self.world.now() / (180.0 + 37.0 * kind as f64);
        1.0 + (phase + kind as f64).sin() / 3.0
    }

    /// Charges all rented machines once a second.
    pub async fn charge(self: Rc<Self>) {
        loop {
            sleep(1.0).await;
            let billed = self.machines.borrow();
            let billed = billed.values().filter(|m| m.gone_at.get().is_none());
            let seconds: f64 = billed
                .filter(|m| m.failed_at.get().is_none())
                .map(|m| self.price_of(m))
                .sum();
            self.spend(seconds);
        }
    }

    /// Ends the tasks of workers whose lease has expired, also on frozen machines.
    pub async fn watch_leases(self: Rc<Self>) {
        loop {
            sleep(0.1).await;
            for machine in self.up() {
                machine.worker.check_lease(&self);
            }
        }
    }

    /// Serves the cloud's API.
    pub async fn serve_cloud(self: Rc<Self>, addr: SocketAddr) {
        let Ok(listener) = TcpListener::bind(addr) else {
            return;
        };
        let handler: Handler = Rc::new(move |request| {
            let fleet = self.clone();
            Box::pin(async move {
                let response = fleet.handle(&request);
                if (request.method.as_str(), request.path()) == ("POST", paths::MACHINES) {
                    fleet.answer_rental(&response).await;
                }
                response
            })
        });
        serve(listener, wide_limits(), handler).await;
    }

    /// Delays the reply to a rental if a fault says so, and records the reply.
    async fn answer_rental(&self, response: &Response) {
        let Ok(names) = decode::<MachineNames>(&response.body) else {
            return;
        };
        let delay = self.parameters.rental_delay.get();
        let held_s = delay.and_then(|delay| delay.draw(&mut *self.rng.borrow_mut()));
        if let Some(held_s) = held_s {
            sleep(held_s).await;
        }
        let machines = names.machines;
        self.history.add(EventKind::RentalAnswered { machines });
    }

    fn handle(self: &Rc<Self>, request: &Request) -> Response {
        if !self.bucket.borrow_mut().take(self.world.now(), 1.0) {
            return Response::empty(429);
        }
        match (request.method.as_str(), request.path()) {
            ("GET", paths::MACHINE_TYPES) => answer(200, &self.catalogue()),
            ("GET", paths::MACHINES) => {
                let most = query_parameter(&request.target, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(500);
                answer(
                    200,
                    &self.list(query_parameter(&request.target, "from").unwrap_or(""), most),
                )
            }
            ("POST", paths::MACHINES) => match decode(&request.body) {
                Ok(wanted) => self.rent(&wanted),
                Err(_) => Response::empty(400),
            },
            ("POST", paths::DELETE_MACHINES) => match decode::<MachineNames>(&request.body) {
                Ok(names) if names.machines.len() <= 100 => {
                    for name in names.machines {
                        let found = self.machines.borrow().get(&name).cloned();
                        if let Some(machine) = found {
                            self.remove(&machine, "deleted");
                        }
                    }
                    Response::empty(200)
                }
                _ => Response::empty(400),
            },
            _ => Response::empty(404),
        }
    }

    fn catalogue(&self) -> Catalogue {
        let kinds = self.night.machines.iter().enumerate();
        let types = kinds.map(|(index, kind)| MachineType {
            name: kind.name.clone(),
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory_gb,
            cache_gb: kind.cache_gb,
            fetch_gb_per_s: kind.fetch_gb_per_s,
            price: kind.price,
            spot_price: kind.spot_price.map(|p| p * self.spot_factor(index)),
            boot_s: kind.boot_s,
            zones: kind.zones.clone(),
        });
        Catalogue {
            types: types.collect(),
        }
    }

    /// Rents machines, as far as capacity allows. A repeated request gets the same reply again.
    fn rent(self: &Rc<Self>, wanted: &RentRequest) -> Response {
        if let Some(known) = self.rentals.borrow().get(&wanted.request) {
            let machines = known.clone();
            return answer(200, &MachineNames { machines });
        }
        let kinds = &self.night.machines;
        let Some(kind) = kinds.iter().position(|k| k.name == wanted.machine_type) else {
            return Response::empty(400);
        };
        if !kinds[kind].zones.contains(&wanted.zone) || wanted.count == 0 || wanted.count > 50 {
            return Response::empty(400);
        }
        let offered = if wanted.spot {
            kinds[kind].spot
        } else {
            kinds[kind].ordinary
        };
        let most = (offered as f64 * self.parameters.capacity_share.get()) as usize;
        let machines = self.machines.borrow();
        let taken = machines.values().filter(|m| {
            m.kind == kind
                && m.zone == wanted.zone
                && m.spot == wanted.spot
                && m.gone_at.get().is_none()
        });
        let free = most.saturating_sub(taken.count());
        drop(machines);
        if free == 0 {
            return Response::empty(503);
        }
        let mut names = Vec::new();
        for _ in 0..free.min(wanted.count as usize) {
            let machine = self.create(kind, wanted.zone.clone(), wanted.spot);
            names.push(machine.name.clone());
            self.boot_later(machine);
        }
        self.rentals
            .borrow_mut()
            .insert(wanted.request.clone(), names.clone());
        answer(200, &MachineNames { machines: names })
    }

    /// Returns a page of the machine list. The list lags: it shows the state of some seconds ago.
    fn list(&self, from: &str, most: usize) -> MachineList {
        let lag = self.night.cloud.list_lag_s * self.rng.borrow_mut().random_range(0.8..1.6);
        let then = self.world.now() - lag;
        let was = |at: Option<f64>, after: f64| at.is_some_and(|at| at + after <= then);
        let machines = self.machines.borrow();
        let shown = machines.values().filter(|m| {
            m.name.as_str() > from && m.rented_at <= then && !was(m.gone_at.get(), 0.0)
        });
        let mut list: Vec<ListedMachine> = shown
            .take(most.min(500) + 1)
            .map(|m| ListedMachine {
                id: m.name.clone(),
                addr: was(m.up_at.get(), 0.0).then(|| m.addr.to_string()),
                machine_type: self.kind(m).name.clone(),
                zone: m.zone.clone(),
                spot: Some(m.spot),
                state: match () {
                    () if was(m.failed_at.get(), 30.0) => MachineState::Failed,
                    () if was(m.up_at.get(), 0.0) => MachineState::Running,
                    () => MachineState::Booting,
                },
                age_s: then - m.rented_at,
            })
            .collect();
        let more = list.len() > most.min(500);
        list.truncate(most.min(500));
        for machine in &list {
            if self.listed.borrow_mut().insert(machine.id.clone()) {
                let machine = machine.id.clone();
                self.history.add(EventKind::Listed { machine });
            }
        }
        MachineList {
            machines: list,
            more,
        }
    }
}
