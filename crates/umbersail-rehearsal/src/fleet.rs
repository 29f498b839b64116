//! The stand-ins for the cloud and for the machines that it rents.

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

use crate::history::{End, History, What};
use crate::kv_store_host::{answer, wide_limits};
use crate::late::{Late, LateReports};
use crate::places::Addresses;
use crate::scenario::{MachineKind, Scenario};
use crate::store::StoreHost;
use crate::user_troubles::Completions;
use crate::worker::Worker;

/// What only its tasks know of a job.
#[derive(Debug, Clone)]
pub struct Truth {
    pub spec: JobSpec,
    /// Median run time of its tasks.
    pub run_s: f64,
    pub sigma: f64,
    /// Submitted with a mistake: its tasks fail on every machine.
    pub mistaken: bool,
}

/// A machine that was rented.
pub struct Machine {
    pub name: String,
    pub kind: usize,
    pub zone: String,
    pub spot: bool,
    pub host: HostId,
    pub addr: SocketAddr,
    pub rented_at: f64,
    pub up_at: Cell<Option<f64>>,
    /// It stopped on its own.
    pub failed_at: Cell<Option<f64>>,
    /// It was deleted or taken.
    pub gone_at: Cell<Option<f64>>,
    pub worker: Rc<Worker>,
}

impl Machine {
    pub fn is_up(&self) -> bool {
        self.up_at.get().is_some() && self.failed_at.get().is_none() && self.gone_at.get().is_none()
    }
}

/// Where boots are quick a new machine is up after so many seconds.
const QUICK_BOOT_S: RangeInclusive<f64> = 1.0..=2.0;

/// What the script of failures may turn.
#[derive(Debug)]
pub struct Parameters {
    pub boots: Cell<f64>,
    pub boots_never: Cell<bool>,
    /// New machines are up within [`QUICK_BOOT_S`].
    pub boots_quick: Cell<bool>,
    /// Rentals are carried out at once and answered later.
    pub rentals_late: Cell<Option<Late>>,
    pub capacity: Cell<f64>,
}

/// The cloud, its machines, and the jobs that run on them.
pub struct Fleet {
    pub world: WorldHandle,
    pub history: History,
    pub night: Rc<Scenario>,
    pub parameters: Parameters,
    pub machines: RefCell<BTreeMap<String, Rc<Machine>>>,
    pub jobs: RefCell<BTreeMap<String, Truth>>,
    /// Tasks whose result is kept, and progress that was saved, in seconds.
    pub results: RefCell<BTreeSet<(String, u32)>>,
    pub saved: RefCell<BTreeMap<(String, u32), f64>>,
    pub spent: Cell<f64>,
    /// Jobs that nobody wants any more.
    pub cancelled: RefCell<BTreeSet<String>>,
    /// Jobs whose last task completed.
    pub completions: Completions,
    /// Where images come from, if it is one place for all.
    pub store: Option<Rc<StoreHost>>,
    /// Reports that come a second time.
    pub late: LateReports,
    /// Direct commands that are held up, and for how long.
    pub late_commands: Cell<Option<Late>>,
    /// Answers to direct commands that are held up.
    pub late_answers: Cell<Option<Late>>,
    fronts: Vec<SocketAddr>,
    members: Vec<String>,
    hires: RefCell<BTreeMap<String, Vec<String>>>,
    /// Machines that a list has named.
    listed: RefCell<BTreeSet<String>>,
    bucket: RefCell<TokenBucket>,
    rng: RefCell<ChaCha8Rng>,
    created: Cell<u32>,
}

impl Fleet {
    pub fn new(
        world: WorldHandle,
        history: History,
        night: Rc<Scenario>,
        seed: u64,
        controllers: Vec<(String, SocketAddr)>,
    ) -> Rc<Fleet> {
        let (members, fronts) = controllers.into_iter().unzip();
        let store = night.store.clone().map(StoreHost::new);
        Rc::new(Fleet {
            bucket: RefCell::new(TokenBucket::new(night.cloud.rps, 2.0)),
            late: LateReports::new(seed, history.clone()),
            late_commands: Cell::new(None),
            late_answers: Cell::new(None),
            world,
            history,
            night,
            parameters: Parameters {
                boots: Cell::new(1.0),
                boots_never: Cell::new(false),
                boots_quick: Cell::new(false),
                rentals_late: Cell::new(None),
                capacity: Cell::new(1.0),
            },
            machines: RefCell::default(),
            jobs: RefCell::default(),
            results: RefCell::default(),
            saved: RefCell::default(),
            spent: Cell::new(0.0),
            cancelled: RefCell::default(),
            completions: Completions::default(),
            store,
            fronts,
            members,
            hires: RefCell::default(),
            listed: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0066_6c65_6574)),
            created: Cell::new(0),
        })
    }

    pub fn kind(&self, machine: &Machine) -> &MachineKind {
        &self.night.machines[machine.kind]
    }

    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    pub fn member(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|m| m == name)
    }

    /// Whether the job was submitted with a mistake.
    pub fn is_mistaken(&self, job: &str) -> bool {
        self.jobs.borrow().get(job).is_some_and(|j| j.mistaken)
    }

    /// A task has its result: whether that was the last one is told to who watches.
    pub fn has_result(&self, job: &str) {
        if !self.completions.is_watched.get() {
            return;
        }
        let tasks = self.jobs.borrow().get(job).map_or(0, |t| t.spec.tasks);
        let range = (job.to_owned(), 0)..=(job.to_owned(), u32::MAX);
        if self.results.borrow().range(range).count() == tasks as usize {
            self.completions.add(job);
        }
    }

    /// How long a task runs on a machine of usual speed.
    pub fn run_s(&self, job: &str, task: u32) -> f64 {
        let jobs = self.jobs.borrow();
        let Some(truth) = jobs.get(job) else {
            return 1.0;
        };
        let mut seed = u64::from(task);
        for byte in job.bytes() {
            seed = (seed ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        match LogNormal::new(truth.run_s.max(0.01).ln(), truth.sigma) {
            Ok(lots) => lots.sample(&mut rng),
            Err(_) => truth.run_s,
        }
    }

    /// Machines that are up, by name.
    pub fn up(&self) -> Vec<Rc<Machine>> {
        let machines = self.machines.borrow();
        machines.values().filter(|m| m.is_up()).cloned().collect()
    }

    /// Tasks of wanted jobs that have no result and run nowhere.
    pub fn waiting(&self) -> u32 {
        let (jobs, cancelled) = (self.jobs.borrow(), self.cancelled.borrow());
        let wanted = |job: &String| !cancelled.contains(job);
        let tasks = jobs.iter().filter(|(job, _)| wanted(job));
        let tasks: u32 = tasks.map(|(_, truth)| truth.spec.tasks).sum();
        let results = self.results.borrow();
        let done = results.iter().filter(|(job, _)| wanted(job)).count();
        let active: usize = self.up().iter().map(|m| m.worker.active()).sum();
        tasks.saturating_sub((done + active) as u32)
    }

    /// Machines that are up at the start.
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
        self.history.add(What::Rented {
            machine: name.clone(),
            kind: kind_spec.name.clone(),
            zone,
            spot,
        });
        self.machines.borrow_mut().insert(name, machine.clone());
        machine
    }

    /// The machine is up, and its worker starts.
    pub fn boot(self: Rc<Self>, machine: Rc<Machine>) {
        machine.up_at.set(Some(self.world.now()));
        self.history.add(What::Up {
            machine: machine.name.clone(),
        });
        let first = self.rng.borrow_mut().random_range(0..self.fronts.len());
        let (world, host) = (self.world.clone(), machine.host);
        world.start(host, machine.worker.clone().run(self, first));
    }

    fn boot_later(self: &Rc<Self>, machine: Rc<Machine>) {
        let cloud = &self.night.cloud;
        let mut rng = self.rng.borrow_mut();
        if self.parameters.boots_never.get() || rng.random_bool(cloud.never) {
            return;
        }
        let nominal = self.kind(&machine).boot_s * self.parameters.boots.get();
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

    /// It stops with all that is on it; the list tells 30 s later.
    pub fn fail(&self, machine: &Machine) {
        machine.failed_at.set(Some(self.world.now()));
        self.halt(machine, "stopped");
    }

    /// Deleted, or taken back: gone with everything on it.
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
        machine.worker.lose_all(self, End::Gone);
        if let Some(store) = &self.store {
            store.remove(self.world.now(), machine.addr);
        }
        self.world.power_off(machine.host);
        self.history.add(What::MachineGone {
            machine: machine.name.clone(),
            why: why.into(),
        });
    }

    fn spend(&self, money: f64) {
        self.spent.set(self.spent.get() + money);
    }

    /// The current price of a second.
    fn price_of(&self, machine: &Machine) -> f64 {
        let kind = self.kind(machine);
        let hourly = match kind.spot_price {
            Some(nominal) if machine.spot => nominal * self.spot_factor(machine.kind),
            _ => kind.price,
        };
        hourly / 3600.0
    }

    /// Spot prices swing by up to a third, each type in its own rhythm.
    fn spot_factor(&self, kind: usize) -> f64 {
        let phase = self.world.now() / (180.0 + 37.0 * kind as f64);
        1.0 + (phase + kind as f64).sin() / 3.0
    }

    /// Charges what is rented, once a second.
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

    /// Kills what runs past its worker's lease, also where nothing can run.
    pub async fn watch_leases(self: Rc<Self>) {
        loop {
            sleep(0.1).await;
            for machine in self.up() {
                machine.worker.expire(&self);
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

    /// Holds the answer to a rental up for as long as the script says.
    async fn answer_rental(&self, response: &Response) {
        let Ok(names) = decode::<MachineNames>(&response.body) else {
            return;
        };
        let late = self.parameters.rentals_late.get();
        let held_s = late.and_then(|late| late.draw(&mut *self.rng.borrow_mut()));
        if let Some(held_s) = held_s {
            sleep(held_s).await;
        }
        let machines = names.machines;
        self.history.add(What::RentalAnswered { machines });
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

    fn rent(self: &Rc<Self>, wanted: &RentRequest) -> Response {
        if let Some(known) = self.hires.borrow().get(&wanted.request) {
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
        let there = if wanted.spot {
            kinds[kind].spot
        } else {
            kinds[kind].ordinary
        };
        let most = (there as f64 * self.parameters.capacity.get()) as usize;
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
        self.hires
            .borrow_mut()
            .insert(wanted.request.clone(), names.clone());
        answer(200, &MachineNames { machines: names })
    }

    /// Machines as they stood some time ago.
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
                self.history.add(What::Listed { machine });
            }
        }
        MachineList {
            machines: list,
            more,
        }
    }
}
