//! The stand-in for a worker: its lease and token, its tasks, its images, and
//! its reports, by the published protocol.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::select;
use rand::Rng;
use umbersail_http::{Client, ClientLimits, Handler, Request, Response, serve};
use umbersail_runtime::{Broadcast, TcpListener, random, sleep, spawn};
use umbersail_wire::{
    Command, DirectCommands, ExitCause, Heartbeat, HeartbeatReply, Misdirected, TaskReport,
    TaskState, decode, encode, paths,
};

use crate::fleet::Fleet;
use crate::history::{self, End, What};
use crate::kv_store_host::{answer, wide_limits};
use crate::scenario::MachineKind;

/// A worker waits so long for an answer to its report (PROTOCOL).
const REPLY_S: f64 = 4.0;
/// A command to a deaf worker is held so long, and then dropped: longer than any
/// controller waits for an answer.
const UNHEARD_S: f64 = 30.0;
/// The bits of a token from here on up tell leaders apart.
const GRANT_SHIFT: u32 = 16;
/// Reports on a change come no more often than this.
const CHANGE_S: f64 = 0.5;

/// A task on its machine.
struct Task {
    state: TaskState,
    cause: Option<ExitCause>,
    saved: Option<bool>,
    cpus: f64,
    memory_gb: f64,
    image: String,
    /// When the state ends by itself, in true time.
    due: f64,
    /// When it began to run, and the progress that it had then.
    began: f64,
    before: f64,
}

struct State {
    session: u64,
    seq: u64,
    token: u64,
    /// Sending time of the last answered report, in true time.
    renewed: f64,
    notice_until: Option<f64>,
    tasks: BTreeMap<(String, u32, u64), Task>,
    /// Images with sizes, the newest last, and fetches under way with their ends.
    images: Vec<(String, f64)>,
    fetches: BTreeMap<String, f64>,
    changed: bool,
}

/// One worker on its host.
pub struct Worker {
    name: String,
    kind: MachineKind,
    zone: String,
    spot: bool,
    addr: SocketAddr,
    speed: f64,
    clock_rate: f64,
    /// Fails every task that it starts.
    pub faulty: Cell<bool>,
    /// Runs its tasks so many times slower.
    pub slow: Cell<f64>,
    /// Its reports arrive, and nothing reaches it.
    pub deaf: Cell<bool>,
    /// Reaches no controller, and is reached.
    pub mute: Cell<bool>,
    state: RefCell<State>,
    /// Raised whenever something changes.
    wake: Broadcast,
}

impl Worker {
    pub fn new(
        name: &str,
        kind: &MachineKind,
        zone: &str,
        spot: bool,
        addr: SocketAddr,
        speed: f64,
        clock_rate: f64,
    ) -> Rc<Worker> {
        Rc::new(Worker {
            name: name.into(),
            kind: kind.clone(),
            zone: zone.into(),
            spot,
            addr,
            speed,
            clock_rate,
            faulty: Cell::new(false),
            slow: Cell::new(1.0),
            deaf: Cell::new(false),
            mute: Cell::new(false),
            state: RefCell::new(State {
                session: 0,
                seq: 0,
                token: 0,
                renewed: 0.0,
                notice_until: None,
                tasks: BTreeMap::new(),
                images: Vec::new(),
                fetches: BTreeMap::new(),
                changed: true,
            }),
            wake: Broadcast::default(),
        })
    }

    /// The worker's process: a new session, without tasks and images.
    pub async fn run(self: Rc<Self>, fleet: Rc<Fleet>, first: usize) {
        {
            let mut state = self.state.borrow_mut();
            state.session += 1;
            state.renewed = fleet.world.now();
            state.images.clear();
        }
        if let Ok(listener) = TcpListener::bind(self.addr) {
            let (worker, known) = (self.clone(), fleet.clone());
            let handler: Handler = Rc::new(move |request| {
                let (worker, fleet) = (worker.clone(), known.clone());
                Box::pin(async move {
                    if worker.deaf.get() {
                        // Lost on its way: whoever asked has long given up.
                        sleep(UNHEARD_S).await;
                        return Response::empty(503);
                    }
                    let held = match request.path() {
                        paths::WORKER_COMMANDS => fleet.late_commands.get(),
                        _ => None,
                    };
                    match held.and_then(|late| random(|rng| late.draw(rng))) {
                        Some(held_s) => worker.direct_late(&fleet, &request, held_s).await,
                        None => worker.direct_now(&fleet, &request).await,
                    }
                })
            });
            spawn(serve(listener, wide_limits(), handler));
        }
        spawn(self.clone().report_for_ever(fleet.clone(), first));
        loop {
            self.advance(&fleet);
            let due = self.next_due();
            let wait = due.map_or(60.0, |due| due - fleet.world.now());
            let _ = select(pin!(self.wake.notified()), pin!(sleep(wait.max(0.0)))).await;
        }
    }

    /// CPUs that running tasks use, and whether anything runs.
    pub fn cpus_in_use(&self) -> f64 {
        let state = self.state.borrow();
        let running = state
            .tasks
            .values()
            .filter(|t| t.state == TaskState::Running);
        running.map(|t| t.cpus).sum()
    }

    /// Tasks on the machine.
    pub fn active(&self) -> usize {
        let state = self.state.borrow();
        state
            .tasks
            .values()
            .filter(|t| t.state != TaskState::Exited)
            .count()
    }

    /// Jobs that have running tasks here.
    pub fn running_jobs(&self) -> BTreeSet<String> {
        let state = self.state.borrow();
        let running = (state.tasks.iter()).filter(|(_, t)| t.state == TaskState::Running);
        running.map(|((job, ..), _)| job.clone()).collect()
    }

    /// The cloud takes the machine away in so many seconds.
    pub fn notice(&self, until: Option<f64>) {
        let mut state = self.state.borrow_mut();
        state.notice_until = until;
        state.changed = true;
        drop(state);
        self.wake.notify_all();
    }

    /// Jobs whose tasks run here, and how long each goes on, in seconds.
    pub fn running(&self, now: f64) -> Vec<(String, f64)> {
        let state = self.state.borrow();
        let runs = state
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Running);
        runs.map(|(key, t)| (key.0.clone(), t.due - now)).collect()
    }

    /// Time that the machine hung is no run time.
    pub fn put_off(&self, seconds: f64) {
        let mut state = self.state.borrow_mut();
        for task in state.tasks.values_mut() {
            task.due += seconds;
            task.began += seconds;
        }
        for end in state.fetches.values_mut() {
            *end += seconds;
        }
    }

    /// Every task ends here; what was saved stays.
    pub fn lose_all(&self, fleet: &Fleet, how: End) {
        let keys: Vec<(String, u32, u64)> = {
            let state = self.state.borrow();
            let active = state
                .tasks
                .iter()
                .filter(|(_, t)| t.state != TaskState::Exited);
            active.map(|(key, _)| key.clone()).collect()
        };
        for key in keys {
            self.exit(fleet, &key, ExitCause::Other, how, false);
        }
        let mut state = self.state.borrow_mut();
        state.tasks.clear();
        let fetches = std::mem::take(&mut state.fetches);
        drop(state);
        for image in fetches.keys() {
            self.give_up(fleet, image);
        }
    }

    /// The image is not here any more, or will not be.
    fn give_up(&self, fleet: &Fleet, image: &str) {
        if let Some(store) = &fleet.store {
            store.give_up(fleet.world.now(), self.addr, image);
        }
    }

    /// All of the image has come, from wherever it was sent.
    pub fn received(&self, now: f64, image: &str) {
        if let Some(end) = self.state.borrow_mut().fetches.get_mut(image) {
            *end = now;
        }
        self.wake.notify_all();
    }

    /// Ends the session if its lease is over, by the worker's own clock.
    pub fn expire(&self, fleet: &Fleet) {
        let now = fleet.world.now();
        let over = {
            let state = self.state.borrow();
            (now - state.renewed) * self.clock_rate > fleet.night.workers.lease_s
        };
        if over {
            self.lose_all(fleet, End::Lapsed);
            let mut state = self.state.borrow_mut();
            state.session += 1;
            state.renewed = now;
            state.changed = true;
        }
    }

    fn next_due(&self) -> Option<f64> {
        let state = self.state.borrow();
        let timed = |t: &&Task| matches!(t.state, TaskState::Running | TaskState::Saving);
        let tasks = state.tasks.values().filter(timed).map(|t| t.due);
        tasks
            .chain(state.fetches.values().copied().filter(|at| at.is_finite()))
            .reduce(f64::min)
    }

    /// Brings tasks and fetches up to now.
    fn advance(&self, fleet: &Fleet) {
        let now = fleet.world.now();
        let fetched: Vec<String> = {
            let state = self.state.borrow();
            let ready = state.fetches.iter().filter(|(_, end)| **end <= now);
            ready.map(|(image, _)| image.clone()).collect()
        };
        for image in fetched {
            self.fetched(fleet, &image);
        }
        let due: Vec<((String, u32, u64), TaskState)> = {
            let state = self.state.borrow();
            let timed = |t: &Task| {
                matches!(t.state, TaskState::Running | TaskState::Saving) && t.due <= now
            };
            let due = state.tasks.iter().filter(|(_, t)| timed(t));
            due.map(|(key, t)| (key.clone(), t.state)).collect()
        };
        for (key, state) in due {
            match state {
                TaskState::Saving => self.exit(fleet, &key, ExitCause::Stopped, End::Stopped, true),
                _ if self.faulty.get() || fleet.is_mistaken(&key.0) => {
                    self.exit(fleet, &key, ExitCause::Error, End::Error, false)
                }
                _ => self.exit(fleet, &key, ExitCause::Done, End::Done, false),
            }
        }
    }

    fn fetched(&self, fleet: &Fleet, image: &str) {
        let mut state = self.state.borrow_mut();
        state.fetches.remove(image);
        let waits = |t: &Task| t.state == TaskState::Fetching && t.image == image;
        let waiting = state.tasks.iter().filter(|(_, t)| waits(t));
        let keys: Vec<(String, u32, u64)> = waiting.map(|(key, _)| key.clone()).collect();
        if let Some(size) = keys
            .first()
            .and_then(|k| fleet.jobs.borrow().get(&k.0).map(|j| j.spec.image_gb))
        {
            state.images.retain(|(i, _)| i != image);
            state.images.push((image.into(), size));
            while state.images.len() > 1
                && state.images.iter().map(|(_, s)| s).sum::<f64>() > self.kind.cache_gb
            {
                let (pushed_out, _) = state.images.remove(0);
                self.give_up(fleet, &pushed_out);
            }
        }
        drop(state);
        for key in keys {
            self.begin(fleet, &key);
        }
    }

    /// The task has its image: it runs from now on.
    fn begin(&self, fleet: &Fleet, key: &(String, u32, u64)) {
        let now = fleet.world.now();
        let (job, number, attempt) = key;
        let id = (job.clone(), *number);
        let done = fleet.results.borrow().contains(&id);
        let before = fleet.saved.borrow().get(&id).copied().unwrap_or(0.0);
        let service = {
            let jobs = fleet.jobs.borrow();
            jobs.get(job)
                .is_some_and(|j| j.spec.kind == umbersail_wire::JobKind::Service)
        };
        let left = match () {
            () if done => 0.0,
            () if self.faulty.get() || fleet.is_mistaken(job) => 1.0,
            () if service => 1e9,
            () => (fleet.run_s(job, *number) - before).max(0.05) * self.slow.get() / self.speed,
        };
        let mut state = self.state.borrow_mut();
        if let Some(task) = state.tasks.get_mut(key) {
            task.state = TaskState::Running;
            task.began = now;
            task.before = before;
            task.due = now + left;
        }
        state.changed = true;
        drop(state);
        fleet.history.add(What::Started {
            machine: self.name.clone(),
            job: job.clone(),
            task: *number,
            attempt: *attempt,
        });
        self.wake.notify_all();
    }

    fn exit(
        &self,
        fleet: &Fleet,
        key: &(String, u32, u64),
        cause: ExitCause,
        how: End,
        kept: bool,
    ) {
        let now = fleet.world.now();
        let mut state = self.state.borrow_mut();
        let Some(task) = state.tasks.get_mut(key) else {
            return;
        };
        let ran = task.state == TaskState::Running || task.state == TaskState::Saving;
        let until = if task.state == TaskState::Saving {
            task.due.min(now)
        } else {
            now
        };
        let made = if ran {
            (until - task.began).max(0.0) * self.speed / self.slow.get()
        } else {
            0.0
        };
        task.state = TaskState::Exited;
        task.cause = Some(cause);
        task.saved = kept.then_some(true);
        let before = task.before;
        state.changed = true;
        drop(state);
        self.wake.notify_all();
        if !ran {
            fleet.history.add(What::Withdrawn {
                machine: self.name.clone(),
                job: key.0.clone(),
                task: key.1,
                attempt: key.2,
            });
            return;
        }
        let id = (key.0.clone(), key.1);
        let spec = fleet.jobs.borrow().get(&key.0).map(|j| j.spec.clone());
        let step = spec.as_ref().map_or(0.0, |s| s.checkpoint_s());
        let useful_s = match how {
            End::Done => {
                fleet.saved.borrow_mut().remove(&id);
                let is_new = fleet.results.borrow_mut().insert(id);
                if is_new {
                    fleet.has_result(&key.0);
                }
                if is_new { made } else { 0.0 }
            }
            End::Error => 0.0,
            _ if spec
                .as_ref()
                .is_some_and(|s| s.kind == umbersail_wire::JobKind::Service) =>
            {
                made
            }
            _ if step > 0.0 => {
                let reached = before + made;
                let saved = if kept {
                    reached
                } else {
                    (reached / step).floor() * step
                };
                let saved = saved.max(before);
                fleet.saved.borrow_mut().insert(id, saved);
                saved - before
            }
            _ => 0.0,
        };
        fleet.history.add(What::Ended {
            machine: self.name.clone(),
            job: key.0.clone(),
            task: key.1,
            attempt: key.2,
            how,
            useful_s,
        });
    }

    fn report(&self, fleet: &Fleet) -> Heartbeat {
        let now = fleet.world.now();
        let mut state = self.state.borrow_mut();
        state.seq += 1;
        let tasks = state
            .tasks
            .iter()
            .map(|((job, task, attempt), t)| TaskReport {
                task: format!("{job}/{task}"),
                attempt: *attempt,
                state: t.state,
                cause: t.cause,
                saved: t.saved,
            });
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.to_string(),
            machine_type: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: Some(self.spot),
            session: state.session,
            seq: state.seq,
            token: state.token,
            notice_s: state.notice_until.map(|until| (until - now).max(0.0)),
            tasks: tasks.collect(),
        }
    }

    /// Commands sent straight here.
    fn direct(&self, fleet: &Fleet, request: &Request) -> Response {
        self.expire(fleet);
        match (request.method.as_str(), request.path()) {
            ("GET", "/inspect") => answer(200, &self.report(fleet)),
            ("POST", paths::WORKER_COMMANDS) => {
                let Ok(order) = decode::<DirectCommands>(&request.body) else {
                    return Response::empty(400);
                };
                let obeys = {
                    let state = self.state.borrow();
                    order.token >= state.token && order.session == state.session
                };
                if obeys {
                    self.obey(fleet, order.token, &order.commands);
                }
                answer(if obeys { 200 } else { 409 }, &self.report(fleet))
            }
            _ => Response::empty(404),
        }
    }

    /// Commands that arrive at once; the network may hold up their answer.
    async fn direct_now(&self, fleet: &Fleet, request: &Request) -> Response {
        let held = match request.path() {
            paths::WORKER_COMMANDS => fleet.late_answers.get(),
            _ => None,
        };
        let response = self.direct(fleet, request);
        if let Some(held_s) = held.and_then(|late| random(|rng| late.draw(rng))) {
            sleep(held_s).await;
            fleet.history.add(What::LateAnswer {
                machine: self.name.clone(),
                held_s: (held_s * 1e6).round() / 1e6,
                status: response.status,
            });
        }
        response
    }

    /// Commands that the network held up: whoever sent them has given up, as a rule.
    async fn direct_late(&self, fleet: &Fleet, request: &Request, held_s: f64) -> Response {
        sleep(held_s).await;
        self.expire(fleet);
        let how = decode::<DirectCommands>(&request.body).ok().map(|order| {
            let state = self.state.borrow();
            let how = match order.token.cmp(&state.token) {
                Ordering::Less => history::Late::StaleToken,
                _ if order.session != state.session => history::Late::StaleSession,
                Ordering::Equal => history::Late::SameToken,
                Ordering::Greater => history::Late::HigherToken,
            };
            (how, order.token >> GRANT_SHIFT < state.token >> GRANT_SHIFT)
        });
        let response = self.direct(fleet, request);
        if let Some((how, from_former)) = how {
            fleet.history.add(What::LateCommand {
                machine: self.name.clone(),
                held_s: (held_s * 1e6).round() / 1e6,
                status: response.status,
                how,
                from_former,
            });
        }
        response
    }

    fn obey(&self, fleet: &Fleet, token: u64, commands: &[Command]) {
        {
            let mut state = self.state.borrow_mut();
            state.changed |= token > state.token;
            state.token = state.token.max(token);
        }
        for command in commands {
            let (Command::Start { task, attempt, .. }
            | Command::Stop { task, attempt, .. }
            | Command::Forget { task, attempt }) = command;
            let Some((job, number)) = task.rsplit_once('/') else {
                continue;
            };
            let key = (job.to_owned(), number.parse().unwrap_or(u32::MAX), *attempt);
            match command {
                Command::Start {
                    image_sources: holders,
                    ..
                } => self.launch(fleet, key, holders),
                Command::Stop { grace_s, .. } => self.stop(fleet, &key, *grace_s),
                Command::Forget { .. } => {
                    let mut state = self.state.borrow_mut();
                    let exited = state
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.state == TaskState::Exited);
                    if exited {
                        state.tasks.remove(&key);
                        state.changed = true;
                    }
                }
            }
        }
        self.wake.notify_all();
    }

    fn launch(&self, fleet: &Fleet, key: (String, u32, u64), holders: &[String]) {
        let now = fleet.world.now();
        let spec = fleet.jobs.borrow().get(&key.0).map(|j| j.spec.clone());
        let mut state = self.state.borrow_mut();
        if state.tasks.contains_key(&key) {
            return;
        }
        let active = |t: &&Task| t.state != TaskState::Exited;
        let twice = state
            .tasks
            .iter()
            .any(|((job, task, _), t)| *job == key.0 && *task == key.1 && active(&t));
        let used: (f64, f64) = state
            .tasks
            .values()
            .filter(active)
            .fold((0.0, 0.0), |sum, t| (sum.0 + t.cpus, sum.1 + t.memory_gb));
        let refused = match &spec {
            None => Some(ExitCause::Unknown),
            Some(spec) if key.1 >= spec.tasks => Some(ExitCause::Unknown),
            Some(_) if twice => Some(ExitCause::Busy),
            Some(spec)
                if used.0 + spec.cpus > self.kind.cpus + 1e-6
                    || used.1 + spec.memory_gb > self.kind.memory_gb + 1e-6 =>
            {
                Some(ExitCause::NoRoom)
            }
            Some(_) => None,
        };
        let image = spec.as_ref().map_or(String::new(), |s| s.image.clone());
        let here = state.images.iter().any(|(i, _)| *i == image);
        let task = Task {
            state: if refused.is_some() {
                TaskState::Exited
            } else {
                TaskState::Fetching
            },
            cause: refused,
            saved: None,
            cpus: spec.as_ref().map_or(0.0, |s| s.cpus),
            memory_gb: spec.as_ref().map_or(0.0, |s| s.memory_gb),
            image: image.clone(),
            due: 0.0,
            began: now,
            before: 0.0,
        };
        state.tasks.insert(key.clone(), task);
        state.changed = true;
        if refused.is_some() {
            return;
        }
        fleet.history.add(What::Launched {
            machine: self.name.clone(),
            job: key.0.clone(),
            task: key.1,
            attempt: key.2,
        });
        if here {
            drop(state);
            self.begin(fleet, &key);
        } else if !state.fetches.contains_key(&image) {
            let size = spec.map_or(0.0, |s| s.image_gb);
            if let Some(store) = &fleet.store {
                state.fetches.insert(image.clone(), f64::INFINITY);
                drop(state);
                store.fetch(now, self.addr, &image, size, holders);
                return;
            }
            let others = (state.fetches.len() + 1) as f64;
            let lot: f64 = random(|rng| rng.random_range(0.75..1.5));
            state
                .fetches
                .insert(image, now + size / self.kind.fetch_gb_per_s * lot * others);
        }
    }

    fn stop(&self, fleet: &Fleet, key: &(String, u32, u64), grace_s: f64) {
        let spec = fleet.jobs.borrow().get(&key.0).map(|j| j.spec.clone());
        let mut state = self.state.borrow_mut();
        let Some(task) = state.tasks.get_mut(key) else {
            return;
        };
        let saves = spec.is_some_and(|s| s.checkpoint_s() > 0.0 && grace_s >= s.save_s());
        match task.state {
            TaskState::Exited => return,
            TaskState::Running if saves => {
                let jobs = fleet.jobs.borrow();
                let save_s = jobs.get(&key.0).map_or(0.0, |j| j.spec.save_s());
                task.state = TaskState::Saving;
                task.due = fleet.world.now() + save_s;
                state.changed = true;
                return;
            }
            TaskState::Saving if grace_s > 0.0 => return,
            _ => {}
        }
        let image = task.image.clone();
        drop(state);
        self.exit(fleet, key, ExitCause::Stopped, End::Stopped, false);
        // A fetch that nobody waits for is given up.
        let mut state = self.state.borrow_mut();
        let wanted = state
            .tasks
            .values()
            .any(|t| t.state == TaskState::Fetching && t.image == image);
        if !wanted && state.fetches.remove(&image).is_some() {
            drop(state);
            self.give_up(fleet, &image);
        }
    }

    async fn report_for_ever(self: Rc<Self>, fleet: Rc<Fleet>, first: usize) {
        let limits = ClientLimits {
            max_body_bytes: 64 << 10,
            max_per_address: 1,
            max_idle: 1,
            max_total: 2,
            connect_timeout_s: REPLY_S,
        };
        let mut client = Client::new(limits.clone());
        let nodes = fleet.fronts().to_vec();
        let mut node = first;
        loop {
            self.expire(&fleet);
            let (sent, session) = {
                let mut state = self.state.borrow_mut();
                state.changed = false;
                (fleet.world.now(), state.session)
            };
            if self.mute.get() {
                // Refused at once, or never accepted.
                client = Client::new(limits.clone());
                node = (node + 1) % nodes.len();
                let is_refused = random(|rng| rng.random_bool(0.5));
                sleep(if is_refused { 0.0 } else { REPLY_S } + 1.0).await;
                continue;
            }
            let report = self.report(&fleet);
            let body = encode(&report);
            let reply = client
                .request(nodes[node], "POST", paths::HEARTBEAT, &body, REPLY_S)
                .await;
            if reply.is_ok() {
                fleet.late.saw(&fleet.world, node, &report);
            }
            let mut pause = None;
            match reply {
                Ok(_) if self.deaf.get() => {
                    // It was heard and hears nothing: it waits, gives the connection
                    // up and tries the next node.
                    sleep(sent + REPLY_S - fleet.world.now()).await;
                    client = Client::new(limits.clone());
                    node = (node + 1) % nodes.len();
                    pause = Some(1.0);
                }
                Ok((200, body)) => self.answered(&fleet, sent, session, &body),
                Ok((421, body)) => {
                    let told = decode::<Misdirected>(&body)
                        .ok()
                        .and_then(|m| m.heartbeat_to);
                    match told
                        .and_then(|name| fleet.member(&name))
                        .filter(|n| *n != node)
                    {
                        Some(other) => {
                            node = other;
                            pause = Some(random(|rng| rng.random_range(0.0..CHANGE_S)));
                        }
                        None => {
                            node = (node + 1) % nodes.len();
                            pause = Some(1.0);
                        }
                    }
                }
                _ => {
                    node = (node + 1) % nodes.len();
                    pause = Some(1.0);
                }
            }
            match pause {
                Some(pause) => sleep(pause).await,
                None => self.wait_for_report(&fleet, sent).await,
            }
        }
    }

    /// Until the next report is due, or half a second after the last one if
    /// something changed.
    async fn wait_for_report(&self, fleet: &Fleet, sent: f64) {
        let report_s = fleet.night.workers.report_s;
        let due = sent + random(|rng| rng.random_range(0.75..1.25)) * report_s;
        loop {
            let now = fleet.world.now();
            let changed = self.state.borrow().changed;
            if now >= due || (changed && now >= sent + CHANGE_S) {
                return;
            }
            let next = if changed {
                (sent + CHANGE_S).min(due)
            } else {
                due
            };
            let wait = (next - now).max(0.001);
            let _ = select(pin!(self.wake.notified()), pin!(sleep(wait))).await;
        }
    }

    fn answered(&self, fleet: &Fleet, sent: f64, session: u64, body: &[u8]) {
        self.expire(fleet);
        let Ok(reply) = decode::<HeartbeatReply>(body) else {
            return;
        };
        {
            let mut state = self.state.borrow_mut();
            if session != state.session || reply.token < state.token {
                return;
            }
            state.renewed = state.renewed.max(sent);
        }
        self.obey(fleet, reply.token, &reply.commands);
    }
}
