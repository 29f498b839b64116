//! Simulated worker: lease, fencing token, tasks, cached images and heartbeats, as PROTOCOL
//! specifies them.

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
use crate::history::{self, EndReason, EventKind};
use crate::kv_store_host::{answer, wide_limits};
use crate::scenario::MachineKind;

/// Timeout of a heartbeat, in seconds (PROTOCOL).
const REPLY_TIMEOUT_S: f64 = 4.0;
/// A request to an unreachable worker is dropped after this many seconds. This is longer than
/// any controller waits for a reply.
const UNREACHABLE_HOLD_S: f64 = 30.0;
/// Position of the lowest token bit that identifies the leader's term.
const LEADER_TERM_SHIFT: u32 = 16;
/// Shortest interval between heartbeats that are sent because something changed, in seconds.
const CHANGE_INTERVAL_S: f64 = 0.5;

/// An attempt to run a task on this worker.
struct Task {
    state: TaskState,
    cause: Option<ExitCause>,
    saved: Option<bool>,
    cpus: f64,
    memory_gb: f64,
    image: String,
    /// When the running or saving state ends by itself, in simulation time.
    due: f64,
    /// When the attempt began to run.
    began: f64,
    /// Progress that was saved before the attempt began to run, in seconds.
    progress_before: f64,
}

struct State {
    session: u64,
    seq: u64,
    token: u64,
    /// When the last acknowledged heartbeat was sent, in simulation time. The lease runs from here.
    renewed_at: f64,
    notice_until: Option<f64>,
    tasks: BTreeMap<(String, u32, u64), Task>,
    /// Cached images with their sizes in GB, the newest last.
    images: Vec<(String, f64)>,
    /// Fetches in progress and when each ends; infinity if the image store decides.
    fetches: BTreeMap<String, f64>,
    /// Whether anything changed since the last heartbeat.
    changed: bool,
}

/// A simulated worker on its host.
pub struct Worker {
    name: String,
    kind: MachineKind,
    zone: String,
    spot: bool,
    addr: SocketAddr,
    speed: f64,
    clock_rate: f64,
    /// Every task that starts here fails.
    pub faulty: Cell<bool>,
    /// Factor on the run time of tasks.
    pub slowdown: Cell<f64>,
    /// Heartbeats arrive at controllers, but neither replies nor commands reach the worker.
    pub unreachable: Cell<bool>,
    /// Connections to controllers fail, while commands reach the worker.
    pub cannot_send: Cell<bool>,
    state: RefCell<State>,
    /// Notified whenever the state changes.
    wake: Broadcast,
}

impl Worker {
    /// Creates a worker without a session; [`Worker::run`] starts it. `speed` is a factor on the
    /// progress of tasks, `clock_rate` that of the worker's clock.
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
            slowdown: Cell::new(1.0),
            unreachable: Cell::new(false),
            cannot_send: Cell::new(false),
            state: RefCell::new(State {
                session: 0,
                seq: 0,
                token: 0,
                renewed_at: 0.0,
                notice_until: None,
                tasks: BTreeMap::new(),
                images: Vec::new(),
                fetches: BTreeMap::new(),
                changed: true,
            }),
            wake: Broadcast::default(),
        })
    }

    /// Runs the worker process in a new session, without cached images. The first heartbeat goes
    /// to the controller with index `first`.
    pub async fn run(self: Rc<Self>, fleet: Rc<Fleet>, first: usize) {
        {
            let mut state = self.state.borrow_mut();
            state.session += 1;
            state.renewed_at = fleet.world.now();
            state.images.clear();
        }
        if let Ok(listener) = TcpListener::bind(self.addr) {
            let (worker, known) = (self.clone(), fleet.clone());
            let handler: Handler = Rc::new(move |request| {
                let (worker, fleet) = (worker.clone(), known.clone());
                Box::pin(async move {
                    if worker.unreachable.get() {
                        // The request is lost: its sender has timed out before this reply.
                        sleep(UNREACHABLE_HOLD_S).await;
                        return Response::empty(503);
                    }
                    let delay = match request.path() {
                        paths::WORKER_COMMANDS => fleet.command_delay.get(),
                        _ => None,
                    };
                    match delay.and_then(|delay| random(|rng| delay.draw(rng))) {
                        Some(held_s) => worker.handle_direct_late(&fleet, &request, held_s).await,
                        None => worker.handle_direct_now(&fleet, &request).await,
                    }
                })
            });
            spawn(serve(listener, wide_limits(), handler));
        }
        spawn(self.clone().send_heartbeats(fleet.clone(), first));
        loop {
            self.advance(&fleet);
            let due = self.next_due();
            let wait = due.map_or(60.0, |due| due - fleet.world.now());
            let _ = select(pin!(self.wake.notified()), pin!(sleep(wait.max(0.0)))).await;
        }
    }

    /// Returns the CPUs that running tasks use.
    pub fn cpus_in_use(&self) -> f64 {
        let state = self.state.borrow();
        let running = state
            .tasks
            .values()
            .filter(|t| t.state == TaskState::Running);
        running.map(|t| t.cpus).sum()
    }

    /// Returns the number of attempts on the machine that have not exited.
    pub fn active(&self) -> usize {
        let state = self.state.borrow();
        state
            .tasks
            .values()
            .filter(|t| t.state != TaskState::Exited)
            .count()
    }

    /// Returns the jobs that have running tasks here.
    pub fn running_jobs(&self) -> BTreeSet<String> {
        let state = self.state.borrow();
        let running = (state.tasks.iter()).filter(|(_, t)| t.state == TaskState::Running);
        running.map(|((job, ..), _)| job.clone()).collect()
    }

    /// Sets or clears the time at which the cloud will reclaim the spot instance.
    pub fn set_notice(&self, until: Option<f64>) {
        let mut state = self.state.borrow_mut();
        state.notice_until = until;
        state.changed = true;
        drop(state);
        self.wake.notify_all();
    }

    /// Returns the job and the remaining seconds of each running task.
    pub fn running(&self, now: f64) -> Vec<(String, f64)> {
        let state = self.state.borrow();
        let runs = state
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Running);
        runs.map(|(key, t)| (key.0.clone(), t.due - now)).collect()
    }

    /// Shifts the times of tasks and fetches by the time that the machine hung, during which
    /// nothing made progress.
    pub fn shift_times(&self, seconds: f64) {
        let mut state = self.state.borrow_mut();
        for task in state.tasks.values_mut() {
            task.due += seconds;
            task.began += seconds;
        }
        for end in state.fetches.values_mut() {
            *end += seconds;
        }
    }

    /// Ends all tasks and fetches on this machine. Saved progress is kept.
    pub fn lose_all(&self, fleet: &Fleet, how: EndReason) {
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
            self.release_image(fleet, image);
        }
    }

    /// Tells the image store that this machine no longer holds or fetches the image.
    fn release_image(&self, fleet: &Fleet, image: &str) {
        if let Some(store) = &fleet.store {
            store.release(fleet.world.now(), self.addr, image);
        }
    }

    /// The image store reports that all pieces of the image have arrived.
    pub fn received(&self, now: f64, image: &str) {
        if let Some(end) = self.state.borrow_mut().fetches.get_mut(image) {
            *end = now;
        }
        self.wake.notify_all();
    }

    /// Ends the session and all its tasks if the lease has expired by the worker's own clock.
    pub fn check_lease(&self, fleet: &Fleet) {
        let now = fleet.world.now();
        let expired = {
            let state = self.state.borrow();
            (now - state.renewed_at) * self.clock_rate > fleet.night.workers.lease_s
        };
        if expired {
            self.lose_all(fleet, EndReason::Lapsed);
            let mut state = self.state.borrow_mut();
            state.session += 1;
            state.renewed_at = now;
            state.changed = true;
        }
    }

    /// Returns when the next task or fetch ends.
    fn next_due(&self) -> Option<f64> {
        let state = self.state.borrow();
        let timed = |t: &&Task| matches!(t.state, TaskState::Running | TaskState::Saving);
        let tasks = state.tasks.values().filter(timed).map(|t| t.due);
        tasks
            .chain(state.fetches.values().copied().filter(|at| at.is_finite()))
            .reduce(f64::min)
    }

    /// Ends the tasks and fetches that are due by now.
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
                TaskState::Saving => {
                    self.exit(fleet, &key, ExitCause::Stopped, EndReason::Stopped, true)
                }
                _ if self.faulty.get() || fleet.is_mistaken(&key.0) => {
                    self.exit(fleet, &key, ExitCause::Error, EndReason::Error, false)
                }
                _ => self.exit(fleet, &key, ExitCause::Done, EndReason::Done, false),
            }
        }
    }

    /// Adds a fetched image to the cache, evicts the oldest images if the cache is full, and
    /// starts the tasks that waited for this image.
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
                let (evicted, _) = state.images.remove(0);
                self.release_image(fleet, &evicted);
            }
        }
        drop(state);
        for key in keys {
            self.start_task(fleet, &key);
        }
    }

    /// Starts to run a task whose image is in the cache.
    fn start_task(&self, fleet: &Fleet, key: &(String, u32, u64)) {
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
        let remaining_s = match () {
            () if done => 0.0,
            () if self.faulty.get() || fleet.is_mistaken(job) => 1.0,
            () if service => 1e9,
            () => (fleet.run_s(job, *number) - before).max(0.05) * self.slowdown.get() / self.speed,
        };
        let mut state = self.state.borrow_mut();
        if let Some(task) = state.tasks.get_mut(key) {
            task.state = TaskState::Running;
            task.began = now;
            task.progress_before = before;
            task.due = now + remaining_s;
        }
        state.changed = true;
        drop(state);
        fleet.history.add(EventKind::Started {
            machine: self.name.clone(),
            job: job.clone(),
            task: *number,
            attempt: *attempt,
        });
        self.wake.notify_all();
    }

    /// Ends an attempt: keeps its result or its saved progress, and records how much of its run
    /// time was useful.
    fn exit(
        &self,
        fleet: &Fleet,
        key: &(String, u32, u64),
        cause: ExitCause,
        how: EndReason,
        checkpointed: bool,
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
        let progress = if ran {
            (until - task.began).max(0.0) * self.speed / self.slowdown.get()
        } else {
            0.0
        };
        task.state = TaskState::Exited;
        task.cause = Some(cause);
        task.saved = checkpointed.then_some(true);
        let before = task.progress_before;
        state.changed = true;
        drop(state);
        self.wake.notify_all();
        if !ran {
            fleet.history.add(EventKind::Withdrawn {
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
            EndReason::Done => {
                fleet.saved.borrow_mut().remove(&id);
                let is_new = fleet.results.borrow_mut().insert(id);
                if is_new {
                    fleet.result_added(&key.0);
                }
                if is_new { progress } else { 0.0 }
            }
            EndReason::Error => 0.0,
            _ if spec
                .as_ref()
                .is_some_and(|s| s.kind == umbersail_wire::JobKind::Service) =>
            {
                progress
            }
            _ if step > 0.0 => {
                let reached = before + progress;
                let saved = if checkpointed {
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
        fleet.history.add(EventKind::Ended {
            machine: self.name.clone(),
            job: key.0.clone(),
            task: key.1,
            attempt: key.2,
            how,
            useful_s,
        });
    }

    /// Makes the next heartbeat.
    fn heartbeat(&self, fleet: &Fleet) -> Heartbeat {
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

    /// Handles a request that a controller sent directly to the worker.
    fn handle_direct(&self, fleet: &Fleet, request: &Request) -> Response {
        self.check_lease(fleet);
        match (request.method.as_str(), request.path()) {
            ("GET", "/inspect") => answer(200, &self.heartbeat(fleet)),
            ("POST", paths::WORKER_COMMANDS) => {
                let Ok(message) = decode::<DirectCommands>(&request.body) else {
                    return Response::empty(400);
                };
                let accepts = {
                    let state = self.state.borrow();
                    message.token >= state.token && message.session == state.session
                };
                if accepts {
                    self.execute(fleet, message.token, &message.commands);
                }
                answer(if accepts { 200 } else { 409 }, &self.heartbeat(fleet))
            }
            _ => Response::empty(404),
        }
    }

    /// Handles a request without delay; a fault may delay the reply.
    async fn handle_direct_now(&self, fleet: &Fleet, request: &Request) -> Response {
        let delay = match request.path() {
            paths::WORKER_COMMANDS => fleet.command_reply_delay.get(),
            _ => None,
        };
        let response = self.handle_direct(fleet, request);
        if request.path() == paths::WORKER_COMMANDS && response.status == 200 {
            let copies = &fleet.command_copies;
            copies.observe(&self.name, self.addr, &request.target, &request.body);
        }
        if let Some(held_s) = delay.and_then(|delay| random(|rng| delay.draw(rng))) {
            sleep(held_s).await;
            fleet.history.add(EventKind::LateAnswer {
                machine: self.name.clone(),
                held_s: (held_s * 1e6).round() / 1e6,
                status: response.status,
            });
        }
        response
    }

    /// Handles commands after a network delay. In most cases the sender has timed out by then.
    async fn handle_direct_late(&self, fleet: &Fleet, request: &Request, held_s: f64) -> Response {
        sleep(held_s).await;
        self.check_lease(fleet);
        let how = decode::<DirectCommands>(&request.body).ok().map(|message| {
            let state = self.state.borrow();
            let how = match message.token.cmp(&state.token) {
                Ordering::Less => history::CommandFreshness::StaleToken,
                _ if message.session != state.session => history::CommandFreshness::StaleSession,
                Ordering::Equal => history::CommandFreshness::SameToken,
                Ordering::Greater => history::CommandFreshness::HigherToken,
            };
            (
                how,
                message.token >> LEADER_TERM_SHIFT < state.token >> LEADER_TERM_SHIFT,
            )
        });
        let response = self.handle_direct(fleet, request);
        if let Some((how, from_former)) = how {
            fleet.history.add(EventKind::LateCommand {
                machine: self.name.clone(),
                held_s: (held_s * 1e6).round() / 1e6,
                status: response.status,
                how,
                sees_newer_leader: from_former,
            });
        }
        response
    }

    /// Executes commands and adopts the token if it is newer.
    fn execute(&self, fleet: &Fleet, token: u64, commands: &[Command]) {
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

    /// Starts an attempt, after fetching the image if necessary, or refuses to do so.
    fn launch(&self, fleet: &Fleet, key: (String, u32, u64), holders: &[String]) {
        let now = fleet.world.now();
        let spec = fleet.jobs.borrow().get(&key.0).map(|j| j.spec.clone());
        let mut state = self.state.borrow_mut();
        if state.tasks.contains_key(&key) {
            return;
        }
        let active = |t: &&Task| t.state != TaskState::Exited;
        let is_active = state
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
            Some(_) if is_active => Some(ExitCause::Busy),
            Some(spec)
                if used.0 + spec.cpus > self.kind.cpus + 1e-6
                    || used.1 + spec.memory_gb > self.kind.memory_gb + 1e-6 =>
            {
                Some(ExitCause::NoRoom)
            }
            Some(_) => None,
        };
        let image = spec.as_ref().map_or(String::new(), |s| s.image.clone());
        let is_cached = state.images.iter().any(|(i, _)| *i == image);
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
            progress_before: 0.0,
        };
        state.tasks.insert(key.clone(), task);
        state.changed = true;
        if refused.is_some() {
            return;
        }
        fleet.history.add(EventKind::Launched {
            machine: self.name.clone(),
            job: key.0.clone(),
            task: key.1,
            attempt: key.2,
        });
        if is_cached {
            drop(state);
            self.start_task(fleet, &key);
        } else if !state.fetches.contains_key(&image) {
            let size = spec.map_or(0.0, |s| s.image_gb);
            if let Some(store) = &fleet.store {
                state.fetches.insert(image.clone(), f64::INFINITY);
                drop(state);
                store.fetch(now, self.addr, &image, size, holders);
                return;
            }
            let others = (state.fetches.len() + 1) as f64;
            let factor: f64 = random(|rng| rng.random_range(0.75..1.5));
            state.fetches.insert(
                image,
                now + size / self.kind.fetch_gb_per_s * factor * others,
            );
        }
    }

    /// Stops an attempt. A running task saves its progress first if the grace period suffices.
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
        self.exit(fleet, key, ExitCause::Stopped, EndReason::Stopped, false);
        // Cancel the fetch if no other task waits for the image.
        let mut state = self.state.borrow_mut();
        let wanted = state
            .tasks
            .values()
            .any(|t| t.state == TaskState::Fetching && t.image == image);
        if !wanted && state.fetches.remove(&image).is_some() {
            drop(state);
            self.release_image(fleet, &image);
        }
    }

    /// Sends heartbeats without end. After a failure the worker turns to the next controller, or
    /// to the one that a reply names.
    async fn send_heartbeats(self: Rc<Self>, fleet: Rc<Fleet>, first: usize) {
        let limits = ClientLimits {
            max_body_bytes: 64 << 10,
            max_per_address: 1,
            max_idle: 1,
            max_total: 2,
            connect_timeout_s: REPLY_TIMEOUT_S,
        };
        let mut client = Client::new(limits.clone());
        let nodes = fleet.controller_addrs().to_vec();
        let mut node = first;
        loop {
            self.check_lease(&fleet);
            let (sent, session) = {
                let mut state = self.state.borrow_mut();
                state.changed = false;
                (fleet.world.now(), state.session)
            };
            if self.cannot_send.get() {
                // A connection is refused at once, or its attempt times out.
                client = Client::new(limits.clone());
                node = (node + 1) % nodes.len();
                let is_refused = random(|rng| rng.random_bool(0.5));
                sleep(if is_refused { 0.0 } else { REPLY_TIMEOUT_S } + 1.0).await;
                continue;
            }
            let report = self.heartbeat(&fleet);
            let body = encode(&report);
            let reply = client
                .request(
                    nodes[node],
                    "POST",
                    paths::HEARTBEAT,
                    &body,
                    REPLY_TIMEOUT_S,
                )
                .await;
            if reply.is_ok() {
                fleet.heartbeat_copies.observe(&fleet.world, node, &report);
            }
            let mut pause = None;
            match reply {
                Ok(_) if self.unreachable.get() => {
                    // The controller received the heartbeat, but its reply is lost: the
                    // worker times out and tries the next controller on a new connection.
                    sleep(sent + REPLY_TIMEOUT_S - fleet.world.now()).await;
                    client = Client::new(limits.clone());
                    node = (node + 1) % nodes.len();
                    pause = Some(1.0);
                }
                Ok((200, body)) => self.handle_reply(&fleet, sent, session, &body),
                Ok((421, body)) => {
                    let redirect = decode::<Misdirected>(&body)
                        .ok()
                        .and_then(|m| m.heartbeat_to);
                    match redirect
                        .and_then(|name| fleet.member(&name))
                        .filter(|n| *n != node)
                    {
                        Some(other) => {
                            node = other;
                            pause = Some(random(|rng| rng.random_range(0.0..CHANGE_INTERVAL_S)));
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
                None => self.wait_for_next_heartbeat(&fleet, sent).await,
            }
        }
    }

    /// Waits until the next heartbeat is due: after the usual interval, or half a second
    /// after the last heartbeat if something changed.
    async fn wait_for_next_heartbeat(&self, fleet: &Fleet, sent: f64) {
        let report_s = fleet.night.workers.report_s;
        let due = sent + random(|rng| rng.random_range(0.75..1.25)) * report_s;
        loop {
            let now = fleet.world.now();
            let changed = self.state.borrow().changed;
            if now >= due || (changed && now >= sent + CHANGE_INTERVAL_S) {
                return;
            }
            let next = if changed {
                (sent + CHANGE_INTERVAL_S).min(due)
            } else {
                due
            };
            let wait = (next - now).max(0.001);
            let _ = select(pin!(self.wake.notified()), pin!(sleep(wait))).await;
        }
    }

    /// Handles the reply to a heartbeat: extends the lease and executes the commands, unless the
    /// session has changed or the token is older than the worker's.
    fn handle_reply(&self, fleet: &Fleet, sent: f64, session: u64, body: &[u8]) {
        self.check_lease(fleet);
        let Ok(reply) = decode::<HeartbeatReply>(body) else {
            return;
        };
        {
            let mut state = self.state.borrow_mut();
            if session != state.session || reply.token < state.token {
                return;
            }
            state.renewed_at = state.renewed_at.max(sent);
        }
        self.execute(fleet, reply.token, &reply.commands);
    }
}
