//! The deployment of a case: cloud, machines with their workers, controllers and users.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Client, Req, Resp, serve};
use crate::msgpack::{V, map};
use crate::state::{Bucket, State};

/// A machine type of the cloud.
#[derive(Clone)]
pub struct Breed {
    pub name: &'static str,
    pub cores: f64,
    pub mem_gb: f64,
    pub rate: f64,
    pub market_price: f64,
    pub startup_s: f64,
    pub pull_gb_per_s: f64,
    pub cache_gb: f64,
}

/// What differs between deployments.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    /// Zones of the three controllers.
    pub member_zones: [&'static str; 3],
    pub breeds: Vec<Breed>,
    /// Machines that the cloud can give at the same time: type, zone, spot, number.
    pub capacity: Vec<(&'static str, &'static str, bool, usize)>,
    /// TOML of `[[facts.teams]]` and `[[facts.objectives]]`.
    pub facts: &'static str,
    pub skew_ms: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state: (f64, f64, usize, usize),
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub resources: (f64, f64, u32),
}

/// What a worker has to know of a job: its owner uploads it.
#[derive(Clone)]
pub struct JobDesc {
    pub cores: f64,
    pub mem_gb: f64,
    pub kit: String,
    pub size_gb: f64,
    pub run_s: f64,
    pub service: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    Pulling,
    Running,
    Exited(&'static str),
}

#[derive(Clone)]
struct Task {
    portion: String,
    attempt: u64,
    stage: Stage,
    ready_at: Instant,
    ends_at: Option<Instant>,
}

/// A task that was on a machine.
#[derive(Clone, Debug)]
pub struct Start {
    pub portion: String,
    pub hob: String,
    pub at_s: f64,
    pub ended_s: Option<f64>,
    pub end: &'static str,
}

pub struct Record {
    file: Mutex<File>,
    pub began: Instant,
}

impl Record {
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }
}

pub struct Machine {
    pub hob: String,
    pub breed: Breed,
    pub field: String,
    pub borrowed: bool,
    pub endpoint: Mutex<Option<SocketAddr>>,
    pub created: Instant,
    pub boots_at: Instant,
    /// Power is off: nothing runs and nothing is answered.
    pub off: Arc<AtomicBool>,
    died: Mutex<Option<Instant>>,
    deleted: Mutex<Option<Instant>>,
    /// Every task that starts here fails.
    pub faulty: AtomicBool,
}

#[derive(Default)]
struct WorkerState {
    session: u64,
    seq: u64,
    token: u64,
    tasks: Vec<Task>,
    images: HashSet<String>,
    renewed: Option<Instant>,
    changed: bool,
}

pub struct World {
    pub record: Record,
    pub site: Site,
    pub state: Arc<State>,
    pub members: Vec<Member>,
    pub machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    pub jobs: Mutex<HashMap<String, JobDesc>>,
    pub starts: Mutex<Vec<Start>>,
    /// Completed tasks: their results are kept.
    results: Mutex<HashSet<String>>,
    hires: Mutex<HashMap<String, Vec<String>>>,
    next_hob: AtomicU64,
    cloud_budget: Mutex<Bucket>,
    state_addr: SocketAddr,
    cloud_addr: Mutex<Option<SocketAddr>>,
    pub dir: PathBuf,
    pub stop: AtomicBool,
    /// Largest answer to a worker, counted in JSON.
    pub largest_reply: AtomicU64,
    /// Largest report of a worker, counted in JSON.
    pub largest_report: AtomicU64,
    /// Reports that a controller answered with 413.
    pub refused: AtomicU64,
    program: PathBuf,
}

pub struct Member {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    back: SocketAddr,
    child: Mutex<Option<Child>>,
}

const LIMIT: usize = 64 * 1024;

/// A free port below those that the system gives to outgoing connections: a controller that is
/// started again needs the same one.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::SeqCst) + u64::from(std::process::id()) * 41;
        let addr = SocketAddr::from(([127, 0, 0, 1], 20_000 + (n % 12_000) as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl World {
    pub fn new(site: Site, record: &str, program: &str) -> Arc<World> {
        // The script makes the folder, and removes it.
        let dir = PathBuf::from(std::env::var("REVIEW_DIR").unwrap_or_else(|_| {
            eprintln!("REVIEW_DIR names no temporary folder");
            std::process::exit(2)
        }));
        let (state, state_addr) = State::start(site.state.0, site.state.1, site.state.2, site.state.3);
        let members = (0..3)
            .map(|i| Member {
                name: format!("bothy-{i}"),
                zone: site.member_zones[i].into(),
                front: free_port(),
                back: free_port(),
                child: Mutex::new(None),
            })
            .collect();
        let world = Arc::new(World {
            record: Record { file: Mutex::new(File::create(record).unwrap()), began: Instant::now() },
            cloud_budget: Mutex::new(Bucket::new(site.cloud_rps, 2.0 * site.cloud_rps)),
            site,
            state,
            members,
            machines: Mutex::default(),
            jobs: Mutex::default(),
            starts: Mutex::default(),
            results: Mutex::default(),
            hires: Mutex::default(),
            next_hob: AtomicU64::new(1),
            state_addr,
            cloud_addr: Mutex::new(None),
            dir,
            stop: AtomicBool::new(false),
            largest_reply: AtomicU64::new(0),
            largest_report: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            program: program.into(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        *world.cloud_addr.lock().unwrap() = Some(listener.local_addr().unwrap());
        let cloud = world.clone();
        serve(listener, Arc::default(), Arc::new(move |req| cloud.cloud(req)));
        world
    }

    pub fn log(&self, text: &str) {
        self.record.line(text);
    }

    // ---- controllers

    pub fn start_member(&self, i: usize) {
        let m = &self.members[i];
        let s = &self.site;
        let mut known = String::new();
        for p in self.members.iter().filter(|p| p.name != m.name) {
            known += &format!(
                "[[known]]\nmember = \"{}\"\narea = \"{}\"\naddr = \"{}\"\n\n",
                p.name, p.zone, p.back
            );
        }
        let zones: Vec<String> = s.zones.iter().map(|z| format!("\"{z}\"")).collect();
        let text = format!(
            "member = \"{}\"\narea = \"{}\"\nfront = \"{}\"\nback = \"{}\"\n\n{known}[external]\ncloud = \"{}\"\nstate = \"{}\"\n\n[facts]\nsize = 3\nzones = [{}]\nskew_ms = {:?}\n\n{}\n[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 45.0\ngang_peer_s = 4.0\ncancel_s = {:?}\n\n[facts.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n[facts.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n[facts.resources]\ncpu = {:?}\nram_mb = {:?}\nmax_sockets = {}\n",
            m.name, m.zone, m.front, m.back,
            self.cloud_addr.lock().unwrap().unwrap(), self.state_addr,
            zones.join(", "), s.skew_ms, s.facts, s.report_s, s.lease_s, s.cancel_s,
            s.state.0, s.state.1, s.state.3 as f64, s.state.2, s.cloud_rps, s.list_lag_s,
            s.resources.0, s.resources.1, s.resources.2
        );
        let path = self.dir.join(format!("{}.toml", m.name));
        std::fs::write(&path, text).unwrap();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", m.name)))
            .unwrap();
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&path)
            .env("LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.log(&format!("controller {} started", m.name));
                // The script ends these processes if this one is ended before its time.
                let pids = std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join("pids"));
                if let Ok(mut pids) = pids {
                    let _ = writeln!(pids, "{}", child.id());
                }
                *m.child.lock().unwrap() = Some(child);
            }
            Err(e) => {
                eprintln!("controller could not be started: {e}");
                std::process::exit(2);
            }
        }
    }

    /// Kills a controller without a signal that it could handle.
    pub fn kill_member(&self, i: usize) {
        let m = &self.members[i];
        if let Some(mut child) = m.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.log(&format!("controller {} killed", m.name));
        }
    }

    /// Whether a controller has ended by itself.
    pub fn ended_by_itself(&self) -> Option<String> {
        self.members.iter().find_map(|m| {
            let mut child = m.child.lock().unwrap();
            let status = child.as_mut()?.try_wait().ok()??;
            Some(format!("{}: {status}", m.name))
        })
    }

    /// Largest resident memory of a controller so far, in MB; 0 where it can't be read.
    pub fn peak_memory_mb(&self) -> f64 {
        let of = |m: &Member| {
            let pid = m.child.lock().unwrap().as_ref()?.id();
            let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
            let line = text.lines().find(|l| l.starts_with("VmHWM:"))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        self.members.iter().filter_map(of).fold(0.0, f64::max) / 1024.0
    }

    pub fn leader(&self) -> Option<usize> {
        let value = self.state.value("leader")?;
        let name = value.get("member").str()?.to_owned();
        self.members.iter().position(|m| m.name == name)
    }

    /// Waits until every controller answers 200 to health checks.
    pub fn await_ready(&self, seconds: f64) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            let ready = self.members.iter().all(|m| {
                let r = Client::default().send(m.front, "GET", "/ready", b"", Duration::from_secs(1));
                r.is_some_and(|(status, _)| status == 200)
            });
            if ready && self.leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Ends all processes.
    pub fn finish(&self) {
        self.stop.store(true, Ordering::SeqCst);
        (0..self.members.len()).for_each(|i| self.kill_member(i));
        // Nothing is left for the script to end.
        let _ = std::fs::remove_file(self.dir.join("pids"));
    }

    // ---- cloud

    fn cloud(self: &Arc<Self>, req: Req) -> Option<Resp> {
        std::thread::sleep(Duration::from_millis(20));
        let reply = |status, v: V| Some(Resp { status, body: v.encode() });
        if !self.cloud_budget.lock().unwrap().take(1.0) {
            return reply(429, map(vec![("error", "too many".into())]));
        }
        match (&*req.method, &*req.path) {
            ("GET", "/catalog") => {
                let fields: Vec<V> = self.site.zones.iter().map(|z| (*z).into()).collect();
                let breeds = self.site.breeds.iter().map(|b| {
                    map(vec![
                        ("name", b.name.into()),
                        ("cores", b.cores.into()),
                        ("gpus", 0.0.into()),
                        ("mem_gb", b.mem_gb.into()),
                        ("cache_gb", b.cache_gb.into()),
                        ("pull_gb_per_s", b.pull_gb_per_s.into()),
                        ("rate", b.rate.into()),
                        ("market_price", b.market_price.into()),
                        ("startup_s", b.startup_s.into()),
                        ("fields", fields.clone().into()),
                    ])
                });
                reply(200, map(vec![("breeds", V::A(breeds.collect()))]))
            }
            ("POST", "/hosts") => {
                let Some(v) = V::decode(&req.body) else { return reply(400, V::Nil) };
                self.log(&format!("cloud: asked for machines {}", v.json()));
                let hire = v.get("hire").str().unwrap_or("").to_owned();
                let mut hires = self.hires.lock().unwrap();
                let names = match hires.get(&hire) {
                    Some(names) => names.clone(),
                    None => {
                        let breed = v.get("breed").str().unwrap_or("").to_owned();
                        let field = v.get("field").str().unwrap_or("").to_owned();
                        let spot = *v.get("borrowed") == V::Bool(true);
                        let wanted = v.get("number").u64().unwrap_or(0) as usize;
                        let names = self.rent(&breed, &field, spot, wanted, false);
                        if names.is_empty() {
                            self.log("cloud: no capacity");
                            return reply(503, map(vec![("error", "no capacity".into())]));
                        }
                        hires.insert(hire, names.clone());
                        names
                    }
                };
                self.log(&format!("cloud: machines given: {}", names.join(" ")));
                reply(200, map(vec![("hobs", V::A(names.into_iter().map(V::S).collect()))]))
            }
            ("POST", "/hosts/delete") => {
                let Some(v) = V::decode(&req.body) else { return reply(400, V::Nil) };
                for hob in v.get("hobs").list().iter().filter_map(V::str) {
                    let machine = self.machines.lock().unwrap().get(hob).cloned();
                    if let Some(m) = machine {
                        self.power_off(&m, "deleted");
                        m.deleted.lock().unwrap().get_or_insert(Instant::now());
                    }
                }
                self.log(&format!("cloud: deleted {}", v.json()));
                reply(200, map(vec![]))
            }
            ("GET", "/hosts") => {
                let from = req.arg("from").unwrap_or("");
                let most: usize = req.arg("most").and_then(|m| m.parse().ok()).unwrap_or(500);
                let lag = Duration::from_secs_f64(self.site.list_lag_s);
                let Some(at) = Instant::now().checked_sub(lag) else { return reply(503, V::Nil) };
                let machines = self.machines.lock().unwrap();
                let mut hobs = Vec::new();
                let mut more = false;
                for m in machines.values().filter(|m| from.is_empty() || *m.hob > *from) {
                    let gone = m.deleted.lock().unwrap().is_some_and(|d| d <= at);
                    if m.created > at || gone {
                        continue;
                    }
                    if hobs.len() >= most {
                        more = true;
                        break;
                    }
                    // A machine that dies stays listed as running for about 30 s more.
                    let dead = m.died.lock().unwrap();
                    let failed = dead.is_some_and(|d| d + Duration::from_secs(30) <= at);
                    let stage = match (failed, m.boots_at <= at) {
                        (true, _) => "failed",
                        (_, true) => "running",
                        _ => "booting",
                    };
                    let endpoint = *m.endpoint.lock().unwrap();
                    hobs.push(map(vec![
                        ("id", (&*m.hob).into()),
                        ("endpoint", endpoint.map_or(V::Nil, |a| a.to_string().into())),
                        ("breed", m.breed.name.into()),
                        ("field", (&*m.field).into()),
                        ("borrowed", m.borrowed.into()),
                        ("stage", stage.into()),
                        ("age_s", at.saturating_duration_since(m.created).as_secs_f64().into()),
                    ]));
                }
                reply(200, map(vec![("hobs", hobs.into()), ("more", more.into())]))
            }
            _ => reply(400, V::Nil),
        }
    }

    /// Creates machines, as many as the capacity allows. `up`: they are running already.
    pub fn rent(self: &Arc<Self>, breed: &str, field: &str, spot: bool, wanted: usize, up: bool) -> Vec<String> {
        let Some(breed) = self.site.breeds.iter().find(|b| b.name == breed).cloned() else {
            return Vec::new();
        };
        let limit: usize = self
            .site
            .capacity
            .iter()
            .filter(|(b, z, s, _)| *b == breed.name && *z == field && *s == spot)
            .map(|(.., n)| *n)
            .sum();
        let mut machines = self.machines.lock().unwrap();
        let in_use = machines
            .values()
            .filter(|m| {
                let is_gone = m.deleted.lock().unwrap().is_some() || m.died.lock().unwrap().is_some();
                m.breed.name == breed.name && m.field == field && m.borrowed == spot && !is_gone
            })
            .count();
        let mut names = Vec::new();
        for _ in 0..wanted.min(limit.saturating_sub(in_use)).min(50) {
            let hob = format!("host-{:06}", self.next_hob.fetch_add(1, Ordering::SeqCst));
            let now = Instant::now();
            let boot = if up { 0.0 } else { breed.startup_s };
            // A machine that is up already has run for a minute.
            let created = if up { now.checked_sub(Duration::from_secs(60)).unwrap_or(now) } else { now };
            let machine = Arc::new(Machine {
                hob: hob.clone(),
                breed: breed.clone(),
                field: field.into(),
                borrowed: spot,
                endpoint: Mutex::new(None),
                created,
                boots_at: now + Duration::from_secs_f64(boot),
                off: Arc::default(),
                died: Mutex::default(),
                deleted: Mutex::default(),
                faulty: AtomicBool::new(false),
            });
            machines.insert(hob.clone(), machine.clone());
            let world = self.clone();
            std::thread::spawn(move || world.run_worker(machine));
            names.push(hob);
        }
        names
    }

    pub fn machine(&self, hob: &str) -> Arc<Machine> {
        self.machines.lock().unwrap()[hob].clone()
    }

    /// The machine stops with all that is on it.
    pub fn kill_machine(&self, hob: &str) {
        let machine = self.machine(hob);
        self.log(&format!("machine {hob} dies"));
        machine.died.lock().unwrap().get_or_insert(Instant::now());
        self.power_off(&machine, "machine died");
    }

    fn power_off(&self, machine: &Machine, why: &'static str) {
        if !machine.off.swap(true, Ordering::SeqCst) {
            self.end_all(&machine.hob, why);
        }
    }

    fn end_all(&self, hob: &str, why: &'static str) {
        let now = self.record.now();
        let mut ended = Vec::new();
        for start in self.starts.lock().unwrap().iter_mut() {
            if start.hob == hob && start.ended_s.is_none() {
                start.ended_s = Some(now);
                start.end = why;
                ended.push(start.portion.clone());
            }
        }
        if !ended.is_empty() {
            self.log(&format!("{hob}: {} tasks end: {why}: {}", ended.len(), shown(&ended)));
        }
    }

    // ---- worker

    fn run_worker(self: Arc<Self>, m: Arc<Machine>) {
        while Instant::now() < m.boots_at {
            if m.off.load(Ordering::SeqCst) || self.stop.load(Ordering::SeqCst) {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let w = Arc::new(Mutex::new(WorkerState {
            session: 1,
            renewed: Some(Instant::now()),
            ..WorkerState::default()
        }));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = listener.local_addr().unwrap();
        *m.endpoint.lock().unwrap() = Some(endpoint);
        self.log(&format!("{} ({} in {}) is up", m.hob, m.breed.name, m.field));
        let (world, machine, worker) = (self.clone(), m.clone(), w.clone());
        serve(
            listener,
            m.off.clone(),
            Arc::new(move |req| world.direct(&machine, &worker, req)),
        );
        let (world, machine, worker) = (self.clone(), m.clone(), w.clone());
        std::thread::spawn(move || {
            while !machine.off.load(Ordering::SeqCst) && !world.stop.load(Ordering::SeqCst) {
                world.tick(&machine, &mut worker.lock().unwrap());
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        self.report_loop(&m, &w, endpoint);
    }

    /// Lets tasks begin and end, and ends the session with the lease.
    fn tick(&self, m: &Machine, w: &mut WorkerState) {
        let now = Instant::now();
        let lease = Duration::from_secs_f64(self.site.lease_s);
        if w.renewed.is_some_and(|at| now - at > lease) {
            self.log(&format!("{}: lease expired in session {}", m.hob, w.session));
            self.end_all(&m.hob, "lease expired");
            w.tasks.clear();
            w.session += 1;
            w.renewed = Some(now);
            w.changed = true;
        }
        let faulty = m.faulty.load(Ordering::SeqCst);
        let mut events: Vec<(String, &'static str)> = Vec::new();
        for t in &mut w.tasks {
            if t.stage == Stage::Pulling && t.ready_at <= now {
                if self.results.lock().unwrap().contains(&t.portion) {
                    // The task has completed before: it exits as soon as it has its image.
                    t.stage = Stage::Exited("done");
                    w.changed = true;
                    continue;
                }
                let id = t.portion.split('/').next().unwrap_or("");
                let job = self.jobs.lock().unwrap().get(id).cloned();
                t.stage = Stage::Running;
                if let Some(job) = job {
                    w.images.insert(job.kit.clone());
                    let run_s = if faulty { 0.5 } else { job.run_s };
                    t.ends_at = (faulty || !job.service)
                        .then(|| now + Duration::from_secs_f64(run_s));
                }
                events.push((t.portion.clone(), "start"));
                w.changed = true;
            }
            if t.stage == Stage::Running && t.ends_at.is_some_and(|e| e <= now) {
                let cause = if faulty { "error" } else { "done" };
                if !faulty {
                    self.results.lock().unwrap().insert(t.portion.clone());
                }
                t.stage = Stage::Exited(cause);
                events.push((t.portion.clone(), cause));
                w.changed = true;
            }
        }
        for (portion, what) in events {
            match what {
                "start" => self.note_start(&portion, &m.hob),
                end => self.note_end(&portion, &m.hob, end),
            }
        }
    }

    fn note_start(&self, portion: &str, hob: &str) {
        let now = self.record.now();
        let mut starts = self.starts.lock().unwrap();
        starts.push(Start {
            portion: portion.into(),
            hob: hob.into(),
            at_s: now,
            ended_s: None,
            end: "",
        });
        if starts.len() < 400 {
            self.log(&format!("{hob}: {portion} runs"));
        }
    }

    fn note_end(&self, portion: &str, hob: &str, end: &'static str) {
        let now = self.record.now();
        let mut starts = self.starts.lock().unwrap();
        let of = |s: &&mut Start| s.portion == portion && s.hob == hob && s.ended_s.is_none();
        if let Some(s) = starts.iter_mut().find(of) {
            s.ended_s = Some(now);
            s.end = end;
        }
        if starts.len() < 400 {
            self.log(&format!("{hob}: {portion} ends: {end}"));
        }
    }

    fn execute(&self, m: &Machine, w: &mut WorkerState, orders: &[V]) {
        let now = Instant::now();
        for order in orders {
            let portion = order.get("portion").str().unwrap_or("").to_owned();
            let attempt = order.get("try").u64().unwrap_or(0);
            match order.get("verb").str() {
                Some("launch") => {
                    if w.tasks.iter().any(|t| t.portion == portion && t.attempt == attempt) {
                        continue;
                    }
                    let id = portion.split('/').next().unwrap_or("").to_owned();
                    let job = self.jobs.lock().unwrap().get(&id).cloned();
                    let is_active = |t: &&Task| !matches!(t.stage, Stage::Exited(_));
                    let busy = w.tasks.iter().filter(is_active).any(|t| t.portion == portion);
                    let stage = match &job {
                        None => Stage::Exited("no_such"),
                        Some(_) if busy => Stage::Exited("busy"),
                        Some(job) => {
                            let jobs = self.jobs.lock().unwrap();
                            let (mut cores, mut mem) = (job.cores, job.mem_gb);
                            for t in w.tasks.iter().filter(is_active) {
                                if let Some(j) = jobs.get(t.portion.split('/').next().unwrap_or("")) {
                                    cores += j.cores;
                                    mem += j.mem_gb;
                                }
                            }
                            if cores > m.breed.cores + 1e-6 || mem > m.breed.mem_gb + 1e-6 {
                                Stage::Exited("no_room")
                            } else {
                                Stage::Pulling
                            }
                        }
                    };
                    let fetch_s = job.map_or(0.0, |j| {
                        if w.images.contains(&j.kit) { 0.0 } else { j.size_gb / m.breed.pull_gb_per_s }
                    });
                    if let Stage::Exited(why) = stage {
                        self.log(&format!("{}: {portion} refused: {why}", m.hob));
                    }
                    w.tasks.push(Task {
                        portion,
                        attempt,
                        stage,
                        ready_at: now + Duration::from_secs_f64(fetch_s),
                        ends_at: None,
                    });
                    w.changed = true;
                }
                Some("halt") => {
                    for t in &mut w.tasks {
                        let hit = t.portion == portion && t.attempt == attempt;
                        if hit && !matches!(t.stage, Stage::Exited(_)) {
                            if t.stage == Stage::Running {
                                self.note_end(&portion, &m.hob, "stopped");
                            }
                            t.stage = Stage::Exited("stopped");
                            w.changed = true;
                        }
                    }
                }
                Some("reap") => w.tasks.retain(|t| {
                    !(t.portion == portion && t.attempt == attempt && matches!(t.stage, Stage::Exited(_)))
                }),
                _ => {}
            }
        }
    }

    fn report(&self, m: &Machine, w: &mut WorkerState, endpoint: SocketAddr) -> V {
        w.seq += 1;
        let portions = w.tasks.iter().map(|t| {
            let mut pairs = vec![
                ("portion", V::from(&*t.portion)),
                ("try", t.attempt.into()),
                (
                    "stage",
                    match t.stage {
                        Stage::Pulling => "pulling".into(),
                        Stage::Running => "running".into(),
                        Stage::Exited(_) => "exited".into(),
                    },
                ),
            ];
            if let Stage::Exited(cause) = t.stage {
                pairs.push(("cause", cause.into()));
            }
            map(pairs)
        });
        map(vec![
            ("hob", (&*m.hob).into()),
            ("endpoint", endpoint.to_string().into()),
            ("breed", m.breed.name.into()),
            ("field", (&*m.field).into()),
            ("borrowed", m.borrowed.into()),
            ("shift", w.session.into()),
            ("tally", w.seq.into()),
            ("ladle", w.token.into()),
            ("recall_s", V::Nil),
            ("portions", V::A(portions.collect())),
        ])
    }

    fn direct(&self, m: &Machine, worker: &Mutex<WorkerState>, req: Req) -> Option<Resp> {
        let mut w = worker.lock().unwrap();
        let endpoint = (*m.endpoint.lock().unwrap())?;
        let reply = |status, v: V| Some(Resp { status, body: v.encode() });
        match (&*req.method, &*req.path) {
            ("GET", "/inspect") => reply(200, self.report(m, &mut w, endpoint)),
            ("POST", "/orders") => {
                let Some(v) = V::decode(&req.body) else { return reply(400, V::Nil) };
                let (Some(token), Some(shift)) = (v.get("ladle").u64(), v.get("shift").u64()) else {
                    return reply(400, V::Nil);
                };
                if token < w.token || shift != w.session {
                    return reply(409, self.report(m, &mut w, endpoint));
                }
                if token > w.token {
                    w.token = token;
                    w.changed = true;
                }
                self.execute(m, &mut w, v.get("orders").list());
                reply(200, self.report(m, &mut w, endpoint))
            }
            _ => reply(400, V::Nil),
        }
    }

    fn report_loop(&self, m: &Machine, worker: &Mutex<WorkerState>, endpoint: SocketAddr) {
        let mut client = Client::default();
        let seed: usize = m.hob.bytes().map(usize::from).sum();
        let mut node = seed % self.members.len();
        let mut count = seed as u64;
        let mut next = Instant::now();
        let mut sent = Instant::now() - Duration::from_secs(60);
        loop {
            if m.off.load(Ordering::SeqCst) || self.stop.load(Ordering::SeqCst) {
                return;
            }
            let changed = worker.lock().unwrap().changed;
            let early = changed && sent.elapsed() >= Duration::from_millis(500);
            if Instant::now() < next && !early {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            }
            let (body, session, length) = {
                let mut w = worker.lock().unwrap();
                w.changed = false;
                let report = self.report(m, &mut w, endpoint);
                (report.encode(), w.session, report.json().len())
            };
            if self.largest_report.fetch_max(length as u64, Ordering::SeqCst) < LIMIT as u64
                && length > LIMIT
            {
                self.log(&format!("{}: a report of {length} bytes, above the limit", m.hob));
            }
            sent = Instant::now();
            // The interval, give or take a quarter.
            count = count.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let share = 0.75 + 0.5 * ((count >> 33) as f64 / (1u64 << 31) as f64);
            next = sent + Duration::from_secs_f64(self.site.report_s * share);
            let member = &self.members[node];
            let answer = client.send(member.front, "POST", "/v1/report", &body, Duration::from_secs(4));
            if m.off.load(Ordering::SeqCst) {
                return;
            }
            let again = Instant::now() + Duration::from_secs(1);
            let other = (node + 1) % self.members.len();
            match answer {
                Some((200, body)) => {
                    let v = V::decode(&body).unwrap_or(V::Nil);
                    let length = v.json().len();
                    self.largest_reply.fetch_max(length as u64, Ordering::SeqCst);
                    let mut w = worker.lock().unwrap();
                    let token = v.get("ladle").u64().unwrap_or(0);
                    if w.session != session || token < w.token || token == 0 {
                        continue;
                    }
                    w.renewed = w.renewed.map(|at| at.max(sent));
                    if token > w.token {
                        w.token = token;
                        w.changed = true;
                    }
                    self.execute(m, &mut w, v.get("orders").list());
                }
                Some((421, body)) => {
                    client.close();
                    let v = V::decode(&body).unwrap_or(V::Nil);
                    let foreman = v.get("foreman").str().unwrap_or("");
                    match self.members.iter().position(|m| m.name == foreman) {
                        Some(i) if i != node => {
                            node = i;
                            next = Instant::now() + Duration::from_millis(100);
                        }
                        _ => {
                            node = other;
                            next = again;
                        }
                    }
                }
                other_answer => {
                    if let Some((status, _)) = other_answer
                        && !matches!(status, 503)
                    {
                        self.refused.fetch_add(u64::from(status == 413), Ordering::SeqCst);
                        self.log(&format!("{}: {} answers a report with {status}", m.hob, member.name));
                    }
                    client.close();
                    node = other;
                    next = again;
                }
            }
        }
    }

    // ---- users

    /// Sends a request of a user to a controller until it is answered, each try to the next
    /// controller.
    pub fn user(&self, method: &str, path: &str, body: &V, wait_s: f64, tries_s: f64) -> Option<(u16, V)> {
        let end = Instant::now() + Duration::from_secs_f64(tries_s);
        let mut i = path.len();
        let bytes = if *body == V::Nil { Vec::new() } else { body.encode() };
        loop {
            let m = &self.members[i % 3];
            let r = Client::default().send(m.front, method, path, &bytes, Duration::from_secs_f64(wait_s));
            if let Some((status, answer)) = &r
                && matches!(status, 200 | 201 | 400 | 404 | 422)
            {
                return Some((*status, V::decode(answer).unwrap_or(V::Nil)));
            }
            if Instant::now() >= end {
                return None;
            }
            i += 1;
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// Submits a job, and uploads what the workers have to know of it.
    pub fn submit(&self, job: V, run_s: f64) -> u16 {
        let id = job.get("id").str().unwrap().to_owned();
        self.jobs.lock().unwrap().insert(
            id.clone(),
            JobDesc {
                cores: job.get("cores").f64().unwrap(),
                mem_gb: job.get("mem_gb").f64().unwrap(),
                kit: job.get("kit").str().unwrap().into(),
                size_gb: job.get("size_gb").f64().unwrap(),
                run_s,
                service: job.get("cut").str() == Some("standing"),
            },
        );
        self.log(&format!("user: submits {}", job.json()));
        let answer = self.user("POST", "/v2/runs", &job, 5.0, 60.0);
        let (status, v) = answer.unwrap_or((0, V::Nil));
        self.log(&format!("user: submission of {id} answered {status} {}", v.json()));
        status
    }

    /// The job's stage, as a user sees it, with the numbers of completed and running tasks.
    pub fn poll(&self, id: &str) -> Option<(u16, String, u64, u64)> {
        let (status, v) = self.user("GET", &format!("/v2/runs/{id}"), &V::Nil, 2.0, 5.0)?;
        let stage = v.get("stage").str().unwrap_or("").to_owned();
        let n = |f: &str| v.get(f).u64().unwrap_or(0);
        Some((status, stage, n("done"), n("running")))
    }

    pub fn cancel(&self, id: &str) -> Option<(u16, V)> {
        self.user("POST", &format!("/v2/runs/{id}/abort"), &V::Nil, 5.0, 60.0)
    }

    /// Starts of tasks of a job so far.
    pub fn starts_of(&self, id: &str) -> Vec<Start> {
        let starts = self.starts.lock().unwrap();
        let of = |s: &&Start| s.portion.split('/').next() == Some(id);
        starts.iter().filter(of).cloned().collect()
    }
}

/// The first few of many names.
fn shown(names: &[String]) -> String {
    let first: Vec<&str> = names.iter().take(6).map(|s| &**s).collect();
    let more = if names.len() > 6 { " ..." } else { "" };
    format!("{}{more}", first.join(" "))
}
