//! Three controllers in a simulated world that are isolated, frozen, or back at once:
//! what their workers and users are told meanwhile.

#[path = "isolated/lost_answers.rs"]
mod lost_answers;
mod standin;
#[path = "isolated/successors.rs"]
mod successors;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use standin::{StateService, start_cloud};
use umbersail_control::Settings;
use umbersail_http::{Client, ClientLimits, ClientResponse};
use umbersail_runtime::{
    HostId, HostSpec, NetworkConfig, PartitionId, PartitionMode, Simulation, WorldHandle, sleep,
    spawn,
};
use umbersail_tuning::Tuning;
use umbersail_wire::{
    Command, ExitCause, Heartbeat, HeartbeatReply, JobKind, JobSpec, JobStage, JobStatus,
    Misdirected, Priority, TaskReport, TaskState, decode, encode,
};

const NODES: usize = 3;
const LEASE_S: f64 = 10.0;
const CANCEL_S: f64 = 40.0;

fn addr(b: u8, d: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, b, 0, d], port))
}

fn front(node: usize) -> SocketAddr {
    addr(0, node as u8 + 1, 8080)
}

fn back(node: usize) -> SocketAddr {
    addr(0, node as u8 + 1, 8081)
}

fn settings(node: usize) -> Settings {
    let known: String = (0..NODES)
        .filter(|peer| *peer != node)
        .map(|peer| {
            format!(
                "[[known]]\nmember = \"n{peer}\"\narea = \"a\"\naddr = \"{}\"\n",
                back(peer)
            )
        })
        .collect();
    let text = format!(
        r#"
member = "n{node}"
area = "a"
front = "{}"
back = "{}"
{known}
[external]
cloud = "{}"
state = "{}"
[[facts.teams]]
name = "t"
cpus_max = 64.0
[facts.workers]
report_s = 2.5
lease_s = {LEASE_S}
cancel_s = {CANCEL_S}
[facts.state]
rps = 1000.0
write_rps = 200.0
value_kb = 32.0
txn_ops = 20
[facts.cloud]
rps = 50.0
list_lag_s = 1.0
[facts.resources]
max_sockets = 400
"#,
        front(node),
        back(node),
        addr(2, 2, 1),
        addr(2, 1, 10 + node as u16),
    );
    Settings::parse(&text).unwrap()
}

/// The world as its users and workers see it.
struct Scene {
    world: WorldHandle,
    state: Rc<StateService>,
    refused: Vec<Rc<Cell<bool>>>,
    state_host: HostId,
    worker_host: HostId,
    users_host: HostId,
    nodes: Vec<HostId>,
    http: Client,
}

impl Scene {
    fn start(&self, node: usize) {
        start_node(&self.world, self.nodes[node], node);
    }

    async fn ask(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<ClientResponse> {
        self.ask_for(node, method, target, body, 4.0).await
    }

    async fn ask_for(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
        wait_s: f64,
    ) -> Option<ClientResponse> {
        let to = front(node);
        self.http.send(to, method, target, body, wait_s).await.ok()
    }

    async fn status(&self, node: usize, method: &str, target: &str, body: &[u8]) -> u16 {
        let answer = self.ask(node, method, target, body).await;
        answer.map_or(0, |a| a.status)
    }

    async fn stage(&self, node: usize, id: &str) -> Option<JobStage> {
        let target = format!("/v2/runs/{id}");
        let answer = self.ask(node, "GET", &target, b"").await?;
        decode::<JobStatus>(&answer.body).ok().map(|s| s.state)
    }

    /// The node that leads and answers reports.
    async fn leader(&self) -> usize {
        for _ in 0..400 {
            if let Some(name) = self.state.leader() {
                let node: usize = name[1..].parse().unwrap();
                let scout = encode(&new_report("host-000000"));
                if self.status(node, "POST", "/v1/report", &scout).await == 200 {
                    return node;
                }
            }
            sleep(0.05).await;
        }
        panic!("nobody leads");
    }

    /// It says that it is not ready, and refuses whatever users ask of req-1 and
    /// others, with when to come back.
    async fn refuses_users_at_once(&self, node: usize) {
        assert_eq!(self.status(node, "GET", "/ready", b"").await, 503);
        let asked = [
            ("POST", "/v2/runs", encode(&job("req-9", 2.0))),
            ("GET", "/v2/runs/req-1", vec![]),
            ("POST", "/v2/runs/req-1/abort", vec![]),
        ];
        for (method, target, body) in asked {
            let at = self.world.now();
            let answer = self.ask(node, method, target, &body).await.unwrap();
            let took = self.world.now() - at;
            assert_eq!((answer.status, took < 0.2), (503, true), "{target}: {took}");
            assert!(answer.retry_after_s.is_some());
        }
    }

    /// Cancels a job at a node, as often as it takes; when that was told.
    async fn cancel(&self, node: usize, id: &str) -> f64 {
        let abort = format!("/v2/runs/{id}/abort");
        for _ in 0..40 {
            if self.status(node, "POST", &abort, b"").await == 200 {
                return self.world.now();
            }
            sleep(0.5).await;
        }
        panic!("{id} is not cancelled");
    }

    /// Cuts a node from the state service and from its peers.
    fn isolate(&self, node: usize) -> PartitionId {
        let mut others = self.nodes.clone();
        others.remove(node);
        others.push(self.state_host);
        self.world
            .partition(&[self.nodes[node]], &others, PartitionMode::Hold)
    }
}

fn start_node(world: &WorldHandle, host: HostId, node: usize) {
    let clock = world.clock(host);
    world.start(host, async move {
        let run = umbersail_control::run(settings(node), Tuning::default(), clock);
        run.await.unwrap();
    });
}

/// Plays a test on the users' host, while the balancer asks each node once a second.
fn in_scene<F: Future<Output = ()> + 'static>(test: impl FnOnce(Rc<Scene>) -> F + 'static) {
    let simulation = Simulation::new(7, NetworkConfig::default());
    let world = simulation.world();
    let host = |name: &str, b, d| {
        let ip = std::net::Ipv4Addr::new(10, b, 0, d);
        world.add_host(HostSpec::new(name, ip))
    };
    let (state_host, cloud_host) = (host("state", 2, 1), host("cloud", 2, 2));
    let (users, worker_host) = (host("users", 3, 1), host("worker", 1, 1));
    let nodes: Vec<HostId> = (0..NODES)
        .map(|n| host(&format!("n{n}"), 0, n as u8 + 1))
        .collect();
    let handle = world.clone();
    let ended: Rc<Cell<bool>> = Rc::default();
    let end = ended.clone();
    simulation
        .block_on(async move {
            let world = handle;
            let opened = Rc::new(RefCell::new(None));
            let open = opened.clone();
            world.start(state_host, async move {
                let state = StateService::start();
                let refused: Vec<_> = (0..NODES)
                    .map(|n| state.door(addr(2, 1, 10 + n as u16)).1)
                    .collect();
                *open.borrow_mut() = Some((state, refused));
                std::future::pending::<()>().await;
            });
            world.start(cloud_host, async {
                start_cloud(addr(2, 2, 1));
                std::future::pending::<()>().await;
            });
            sleep(0.1).await;
            for (n, host) in nodes.iter().enumerate() {
                start_node(&world, *host, n);
            }
            let (state, refused) = opened.borrow_mut().take().unwrap();
            let scene = Rc::new(Scene {
                world: world.clone(),
                state,
                refused,
                state_host,
                worker_host,
                users_host: users,
                nodes,
                http: Client::new(ClientLimits {
                    max_body_bytes: 1 << 16,
                    max_per_address: 8,
                    max_idle: 2,
                    max_total: 64,
                    connect_timeout_s: 4.0,
                }),
            });
            world.start(users, async move {
                for node in 0..NODES {
                    let scene = scene.clone();
                    spawn(async move {
                        loop {
                            scene.ask_for(node, "GET", "/ready", b"", 1.0).await;
                            sleep(1.0).await;
                        }
                    });
                }
                sleep(3.0).await;
                test(scene).await;
                end.set(true);
            });
            while !ended.get() {
                sleep(0.1).await;
            }
        })
        .unwrap();
}

fn new_report(machine: &str) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: "10.9.9.9:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: None,
        session: 1,
        seq: 1,
        token: 0,
        notice_s: None,
        tasks: vec![],
    }
}

fn job(id: &str, cpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus,
        gpus: None,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: None,
        spread: None,
        spot: None,
        estimate_s: 500.0,
        checkpoint_s: None,
        save_s: None,
        deadline_s: None,
    }
}

/// A worker by the protocol, as far as these tests need it; the controllers can't
/// send it direct commands.
struct Worker {
    scene: Rc<Scene>,
    http: Client,
    node: usize,
    report: Heartbeat,
    /// When the newest report that was answered was sent, and the longest time between
    /// two of them.
    answered: f64,
    gap_s: f64,
    commands: Vec<Command>,
}

impl Worker {
    fn new(scene: &Rc<Scene>, machine: &str, node: usize) -> Worker {
        Worker {
            scene: scene.clone(),
            http: Client::new(ClientLimits {
                max_body_bytes: 1 << 16,
                max_per_address: 2,
                max_idle: 1,
                max_total: 4,
                connect_timeout_s: 4.0,
            }),
            node,
            report: new_report(machine),
            answered: scene.world.now(),
            gap_s: 0.0,
            commands: Vec::new(),
        }
    }

    /// One report, and the wait until the next; true if it was answered and the answer
    /// counted.
    async fn turn(&mut self) -> bool {
        let reply = self.send().await;
        let Some(reply) = reply else {
            return false;
        };
        self.take(reply)
    }

    async fn send(&mut self) -> Option<HeartbeatReply> {
        self.report.seq += 1;
        let sent = self.scene.world.now();
        let to = front(self.node);
        let body = encode(&self.report);
        let answer = self.http.send(to, "POST", "/v1/report", &body, 4.0).await;
        let next = (self.node + 1) % NODES;
        match answer {
            Ok(a) if a.status == 200 => {
                let reply = decode::<HeartbeatReply>(&a.body).unwrap();
                if reply.token >= self.report.token {
                    self.gap_s = self.gap_s.max(sent - self.answered);
                    self.answered = sent;
                }
                return Some(reply);
            }
            Ok(a) if a.status == 421 => {
                let named = decode::<Misdirected>(&a.body).unwrap().heartbeat_to;
                self.node = named.map_or(next, |name| name[1..].parse().unwrap());
                sleep(0.25).await;
            }
            _ => {
                self.node = next;
                sleep(1.0).await;
            }
        }
        None
    }

    fn take(&mut self, reply: HeartbeatReply) -> bool {
        if reply.token < self.report.token {
            return false;
        }
        self.report.token = reply.token;
        for command in &reply.commands {
            match command {
                Command::Start { task, attempt, .. } => self.report.tasks.push(TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: TaskState::Running,
                    cause: None,
                    saved: None,
                }),
                Command::Stop { task, .. } => {
                    for entry in self.report.tasks.iter_mut().filter(|t| t.task == *task) {
                        entry.state = TaskState::Saving;
                    }
                }
                Command::Forget { task, .. } => self.report.tasks.retain(|t| t.task != *task),
            }
        }
        self.commands.extend(reply.commands);
        true
    }

    /// How often this task was started here, and whether it runs.
    fn runs(&self, task: &str) -> (usize, bool) {
        let start = |c: &&Command| matches!(c, Command::Start { task: t, .. } if t == task);
        let running = |t: &TaskReport| t.task == task && t.state == TaskState::Running;
        let starts = self.commands.iter().filter(start).count();
        (starts, self.report.tasks.iter().any(running))
    }

    /// Reports every second until then.
    async fn until(&mut self, good: impl Fn(&Worker) -> bool, most_s: f64) {
        let end = self.scene.world.now() + most_s;
        while !good(self) {
            let now = self.scene.world.now();
            assert!(now < end, "not within {most_s} s: {:?}", self.report);
            if self.turn().await {
                sleep(if good(self) { 0.0 } else { 1.0 }).await;
            }
        }
    }
}

#[test]
fn the_workers_of_an_isolated_leader_come_to_its_successor_within_seconds() {
    // Guards against workers held by a leader that has nothing to give them any more:
    // for `cancel_s - lease_s - 4 s`, where nobody else can bring them a token.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
        let mut worker = Worker::new(&scene, "host-000001", leader);
        worker.until(|w| !w.report.tasks.is_empty(), 20.0).await;
        worker.until(|w| w.answered > 20.0, 30.0).await;
        let token = worker.report.token;
        scene.isolate(leader);
        worker.until(|w| w.report.token > token, 7.0).await;
        assert!(worker.gap_s < LEASE_S, "{} s", worker.gap_s);
        assert_eq!(worker.commands.len(), 1, "the task is kept, and none begun");
    });
}

#[test]
fn an_isolated_node_refuses_users_at_once_and_says_that_it_is_not_ready() {
    // Guards against users who wait for the state service's timeout, again and again,
    // on a node that can do nothing for them.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
        let follower = (leader + 1) % NODES;
        let cut = scene.isolate(follower);
        sleep(4.0).await;
        scene.refuses_users_at_once(follower).await;
        scene.world.heal(cut);
        sleep(3.0).await;
        assert_eq!(scene.status(follower, "GET", "/ready", b"").await, 200);
        assert_eq!(scene.stage(follower, "req-1").await, Some(JobStage::Queued));
    });
}

#[test]
fn an_isolated_leader_refuses_users_at_once_while_its_successor_cancels() {
    // Guards against a leader that answers users by what it knew before the cut, and
    // against a worker that hears of the cancellation from nobody.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        for id in ["req-1", "req-2"] {
            let body = encode(&job(id, 2.0));
            assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
        }
        let mut worker = Worker::new(&scene, "host-000001", leader);
        worker.until(|w| w.report.tasks.len() == 2, 20.0).await;
        worker.until(|w| w.answered > 12.0, 20.0).await;
        let cut = scene.isolate(leader);
        let cut_at = scene.world.now();
        let told = scene.cancel((leader + 1) % NODES, "req-1").await;
        assert!(worker.runs("req-1/0").1, "it runs as this is told");
        let there = scene.clone();
        spawn(async move {
            let stage = there.stage(leader, "req-1").await;
            assert!(matches!(stage, None | Some(JobStage::Cancelled)));
        });
        worker.until(|w| !w.runs("req-1/0").1, CANCEL_S).await;
        assert!(scene.world.now() < told + CANCEL_S);
        sleep((cut_at + 4.0 - scene.world.now()).max(0.0)).await;
        scene.refuses_users_at_once(leader).await;
        scene.world.heal(cut);
        sleep(3.0).await;
        let stage = scene.stage(leader, "req-1").await;
        assert_eq!(stage, Some(JobStage::Cancelled));
        assert!(worker.runs("req-2/0").1, "the other one is kept");
        assert!(worker.gap_s < LEASE_S, "{} s", worker.gap_s);
    });
}

#[test]
fn a_launch_under_way_as_its_leader_is_isolated_is_told_once_and_ends_with_its_job() {
    // Guards against a start told twice, by the isolated leader and by its successor,
    // and against one that outlives a cancellation told by the successor.
    let told_late: Rc<Cell<usize>> = Rc::default();
    let withheld: Rc<Cell<usize>> = Rc::default();
    for offset_ms in (0..=40).chain([50, 100, 200]) {
        let (told_late, withheld) = (told_late.clone(), withheld.clone());
        in_scene(move |scene| async move {
            let leader = scene.leader().await;
            let first = encode(&job("req-1", 2.0));
            assert_eq!(scene.status(leader, "POST", "/v2/runs", &first).await, 201);
            let mut worker = Worker::new(&scene, "host-000001", leader);
            worker.until(|w| !w.report.tasks.is_empty(), 20.0).await;
            let large = encode(&job("req-2", 8.0));
            assert_eq!(scene.status(leader, "POST", "/v2/runs", &large).await, 201);
            worker.until(|w| w.answered > 12.0, 20.0).await;
            worker.report.tasks[0].state = TaskState::Exited;
            worker.report.tasks[0].cause = Some(ExitCause::Done);
            let cut_at: Rc<Cell<f64>> = Rc::default();
            let (there, at) = (scene.clone(), cut_at.clone());
            spawn(async move {
                sleep(f64::from(offset_ms) / 1000.0).await;
                there.isolate(leader);
                at.set(there.world.now());
            });
            worker.turn().await;
            let started = worker.runs("req-2/0").0;
            let late = started == 1 && cut_at.get() > 0.0;
            told_late.set(told_late.get() + usize::from(late));
            withheld.set(withheld.get() + usize::from(started == 0));
            // The worker hears the successor a little later than its users do.
            let told = scene.cancel((leader + 1) % NODES, "req-2").await;
            let before = worker.runs("req-2/0").0;
            worker.until(|w| w.answered > told + 10.0, 30.0).await;
            let (starts, runs) = worker.runs("req-2/0");
            assert!(starts <= 1, "after {offset_ms} ms: {starts} starts");
            assert_eq!(starts, before, "after {offset_ms} ms: begun after the end");
            assert!(!runs, "after {offset_ms} ms: it runs on");
            assert!(worker.gap_s < LEASE_S, "{} s", worker.gap_s);
        });
    }
    let (late, withheld) = (told_late.get(), withheld.get());
    assert!(
        late > 0 && withheld > 0,
        "{late} told in the cut, {withheld} not"
    );
}

#[test]
fn a_leader_whose_key_was_replaced_does_not_go_on_by_its_lease() {
    // Guards against a renewal that counts although the key is another's (rule 2): the
    // lease of a leader that the state service refused for a moment outlives its key,
    // and no peer can tell it so.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
        let mut worker = Worker::new(&scene, "host-000001", leader);
        worker.until(|w| !w.report.tasks.is_empty(), 20.0).await;
        worker.until(|w| w.answered > 12.0, 20.0).await;
        let refused_at = scene.world.now();
        scene.refused[leader].set(true);
        let name = format!("n{leader}");
        while scene.state.leader().as_ref() == Some(&name) {
            assert!(scene.world.now() < refused_at + 3.0, "within the lease");
            sleep(0.001).await;
        }
        // The successor can't tell the old one, nor reach the worker, which stays.
        let mut others = scene.nodes.clone();
        others.remove(leader);
        (scene.world).partition(&[scene.nodes[leader]], &others, PartitionMode::Hold);
        scene.refused[leader].set(false);
        let told = scene.cancel((leader + 1) % NODES, "req-1").await;
        while scene.world.now() < told + CANCEL_S {
            worker.node = leader;
            worker.turn().await;
            sleep(1.0).await;
        }
        let last = worker.answered - told;
        assert!(last < CANCEL_S - LEASE_S, "answered {last} s after that");
    });
}

#[test]
fn workers_that_reach_nobody_else_are_kept_by_an_isolated_leader() {
    // Guards against tasks lost by sending their workers away: where all others have
    // ended, and where a cut of the zone keeps all others from the workers too.
    for zone_is_cut in [false, true] {
        in_scene(move |scene| async move {
            let leader = scene.leader().await;
            let done = Rc::new(Cell::new(false));
            let (there, over) = (scene.clone(), done.clone());
            scene.world.start(scene.worker_host, async move {
                let mut worker = Worker::new(&there, "host-000001", leader);
                worker.until(|w| w.answered > 10.0, 20.0).await;
                let mut others = there.nodes.clone();
                others.remove(leader);
                if !zone_is_cut {
                    others.iter().for_each(|node| there.world.kill(*node));
                }
                there.isolate(leader);
                let cut_at = there.world.now();
                worker.until(|w| w.answered > cut_at + 20.0, 30.0).await;
                assert!(worker.gap_s < LEASE_S, "{} s", worker.gap_s);
                over.set(true);
            });
            if zone_is_cut {
                sleep(5.0).await;
                let mut outside = scene.nodes.clone();
                outside.remove(leader);
                let here = [scene.worker_host, scene.nodes[leader]];
                scene.world.partition(&here, &outside, PartitionMode::Hold);
                scene
                    .world
                    .partition(&here, &[scene.users_host], PartitionMode::Hold);
            }
            while !done.get() {
                sleep(0.5).await;
            }
        });
    }
}

#[test]
fn users_of_a_node_that_the_state_service_alone_refuses_are_answered_by_a_peer() {
    // Guards against questions and cancellations refused for as long as that lasts,
    // while any other node would answer them.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let follower = (leader + 1) % NODES;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(scene.status(follower, "POST", "/v2/runs", &body).await, 201);
        scene.refused[follower].set(true);
        sleep(4.0).await;
        assert_eq!(scene.stage(follower, "req-1").await, Some(JobStage::Queued));
        assert_eq!(
            scene.status(follower, "GET", "/v2/runs/req-9", b"").await,
            404
        );
        let abort = "/v2/runs/req-1/abort";
        assert_eq!(scene.status(follower, "POST", abort, b"").await, 200);
        let told = scene.stage(follower, "req-1").await;
        assert_eq!(told, Some(JobStage::Cancelled));
    });
}

#[test]
fn a_leader_frozen_between_the_check_of_its_lease_and_a_launch_starts_nothing() {
    // Guards against a launch told by the look at the lease that came before the
    // freeze (rule 2): the reply waits for its record, and much may happen meanwhile.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let first = encode(&job("req-1", 2.0));
        assert_eq!(scene.status(leader, "POST", "/v2/runs", &first).await, 201);
        let mut worker = Worker::new(&scene, "host-000001", leader);
        worker.until(|w| !w.report.tasks.is_empty(), 20.0).await;
        let large = encode(&job("req-2", 8.0));
        assert_eq!(scene.status(leader, "POST", "/v2/runs", &large).await, 201);
        worker.until(|w| w.answered > 12.0, 20.0).await;
        // The place falls free, and the record of the next start is under way.
        worker.report.tasks[0].state = TaskState::Exited;
        worker.report.tasks[0].cause = Some(ExitCause::Done);
        worker.report.seq += 1;
        let state = [scene.state_host];
        let cut = (scene.world).partition(&[scene.nodes[leader]], &state, PartitionMode::Hold);
        let (there, body) = (scene.clone(), encode(&worker.report));
        let told: Rc<RefCell<Option<ClientResponse>>> = Rc::default();
        let tell = told.clone();
        spawn(async move {
            let answer = there.ask_for(leader, "POST", "/v1/report", &body, 30.0);
            *tell.borrow_mut() = answer.await;
        });
        // Frozen after the reply was held for the record and before that is confirmed.
        sleep(0.05).await;
        scene.world.freeze(scene.nodes[leader]);
        sleep(0.05).await;
        scene.world.heal(cut);
        sleep(0.2).await;
        assert!(scene.state.has("runs/req-2"), "it is recorded");
        sleep(6.0).await;
        scene.world.thaw(scene.nodes[leader]);
        sleep(1.0).await;
        let answer = told.borrow_mut().take().expect("it has woken");
        if answer.status == 200 {
            let reply = decode::<HeartbeatReply>(&answer.body).unwrap();
            let starts = |c: &Command| matches!(c, Command::Start { .. });
            assert!(!reply.commands.iter().any(starts), "{:?}", reply.commands);
        }
        // The successor has it started once.
        worker.commands.clear();
        let starts = |w: &Worker| {
            let starts = w.commands.iter();
            starts
                .filter(|c| matches!(c, Command::Start { .. }))
                .count()
        };
        worker.until(|w| starts(w) > 0, 15.0).await;
        worker.until(|w| w.answered > 40.0, 30.0).await;
        assert_eq!(starts(&worker), 1);
    });
}

#[test]
fn a_submission_half_recorded_by_a_frozen_follower_does_not_come_back_after_its_end() {
    // Guards against a job that its user has cancelled since, and that a late write
    // would bring back to life.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let follower = (leader + 1) % NODES;
        let state = [scene.state_host];
        let cut = (scene.world).partition(&[scene.nodes[follower]], &state, PartitionMode::Hold);
        let body = encode(&job("req-1", 2.0));
        let (there, late) = (scene.clone(), body.clone());
        spawn(async move {
            (there.ask_for(follower, "POST", "/v2/runs", &late, 30.0)).await;
        });
        sleep(0.05).await;
        scene.world.freeze(scene.nodes[follower]);
        assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
        let abort = "/v2/runs/req-1/abort";
        assert_eq!(scene.status(leader, "POST", abort, b"").await, 200);
        scene.world.heal(cut);
        sleep(1.0).await;
        scene.world.thaw(scene.nodes[follower]);
        sleep(2.0).await;
        assert!(scene.state.has("over/req-1") && !scene.state.has("jobs/req-1"));
        for node in 0..NODES {
            let stage = scene.stage(node, "req-1").await;
            assert_eq!(stage, Some(JobStage::Cancelled), "node {node}");
        }
    });
}

#[test]
fn a_process_back_at_once_in_the_middle_of_an_election_changes_nothing_that_runs() {
    // Guards against two that take the lead, or a process that trusts what it can't
    // remember, when the one that is about to lead ends and is back 0.2 s later.
    for after_s in [0.0, 0.2, 0.45, 0.6, 0.9, 2.0] {
        in_scene(move |scene| async move {
            let leader = scene.leader().await;
            let body = encode(&job("req-1", 2.0));
            assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
            let mut worker = Worker::new(&scene, "host-000001", leader);
            worker.until(|w| !w.report.tasks.is_empty(), 20.0).await;
            worker.until(|w| w.answered > 12.0, 20.0).await;
            let crash = |node: usize| {
                let there = scene.clone();
                spawn(async move {
                    there.world.kill(there.nodes[node]);
                    sleep(0.2).await;
                    there.start(node);
                })
            };
            crash(leader);
            sleep(after_s).await;
            let next = (leader + 1) % NODES;
            crash(next);
            sleep(0.3).await;
            crash((leader + 2) % NODES);
            let token = worker.report.token;
            worker.until(|w| w.report.token > token, 15.0).await;
            let body = encode(&job("req-2", 2.0));
            let accepted = scene.status(leader, "POST", "/v2/runs", &body).await;
            assert!(accepted == 201, "after {after_s} s: {accepted}");
            worker.until(|w| w.report.tasks.len() == 2, 20.0).await;
            let end = scene.world.now() + 15.0;
            worker.until(|w| w.answered > end, 30.0).await;
            assert_eq!(worker.commands.len(), 2, "after {after_s} s");
            assert!(worker.gap_s < LEASE_S, "{} s", worker.gap_s);
        });
    }
}

#[test]
fn a_guest_evicted_while_it_saves_is_nowhere_else_until_it_has_gone() {
    // Guards against a successor that starts the guest, whose stop its predecessor had
    // told, on another machine while it still saves on the first.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let guest = JobSpec {
            priority: Priority::Low,
            checkpoint_s: Some(5.0),
            save_s: Some(6.0),
            ..job("req-1", 8.0)
        };
        assert_eq!(
            (scene.status(leader, "POST", "/v2/runs", &encode(&guest))).await,
            201
        );
        let mut first = Worker::new(&scene, "host-000001", leader);
        first.until(|w| !w.report.tasks.is_empty(), 20.0).await;
        first.until(|w| w.answered > 12.0, 20.0).await;
        let urgent = JobSpec {
            priority: Priority::Production,
            deadline_s: Some(505.0),
            ..job("req-2", 8.0)
        };
        assert_eq!(
            (scene.status(leader, "POST", "/v2/runs", &encode(&urgent))).await,
            201
        );
        let saves = |w: &Worker| w.report.tasks[0].state == TaskState::Saving;
        first.until(saves, 120.0).await;
        scene.world.kill(scene.nodes[leader]);
        let saved_at = scene.world.now() + 6.0;
        let mut second = Worker::new(&scene, "host-000002", (leader + 1) % NODES);
        while scene.world.now() < saved_at {
            first.turn().await;
            second.turn().await;
            let guest_too = (second.report.tasks.iter()).any(|t| t.task == "req-1/0");
            assert!(!guest_too, "it saves on the other machine");
            sleep(0.5).await;
        }
        let entry = &mut first.report.tasks[0];
        entry.state = TaskState::Exited;
        entry.cause = Some(ExitCause::Stopped);
        entry.saved = Some(true);
        let end = scene.world.now() + 60.0;
        let runs = |w: &Worker, task: &str| {
            let shown = |t: &&TaskReport| t.task == task && t.state == TaskState::Running;
            w.report.tasks.iter().filter(shown).count()
        };
        loop {
            first.turn().await;
            second.turn().await;
            let both = |task| runs(&first, task) + runs(&second, task);
            assert!(both("req-1/0") <= 1 && both("req-2/0") <= 1);
            if both("req-1/0") == 1 && both("req-2/0") == 1 {
                break;
            }
            assert!(scene.world.now() < end, "both run in the end");
            sleep(0.5).await;
        }
    });
}

#[test]
fn polls_in_an_outage_are_answered_by_what_all_controllers_know_together() {
    // Guards against minutes without an answer, and against an older answer than
    // another node has given: by what one node alone knows.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let (one, two) = ((leader + 1) % NODES, (leader + 2) % NODES);
        for id in ["req-1", "req-2"] {
            let body = encode(&job(id, 2.0));
            assert_eq!(scene.status(one, "POST", "/v2/runs", &body).await, 201);
            assert_eq!(scene.stage(one, id).await, Some(JobStage::Queued));
        }
        let abort = "/v2/runs/req-2/abort";
        assert_eq!(scene.status(two, "POST", abort, b"").await, 200);
        scene.state.down.set(true);
        sleep(1.0).await;
        for node in 0..NODES {
            let stages = [
                scene.stage(node, "req-1").await,
                scene.stage(node, "req-2").await,
            ];
            let (queued, cancelled) = (Some(JobStage::Queued), Some(JobStage::Cancelled));
            assert_eq!(stages, [queued, cancelled], "node {node}");
            let stranger = scene.status(node, "GET", "/v2/runs/req-9", b"").await;
            assert_eq!(stranger, 503, "404 only after reading");
        }
        // One that was restarted does not know what it told, but takes users.
        scene.world.kill(scene.nodes[two]);
        scene.start(two);
        sleep(4.0).await;
        assert_eq!(scene.status(one, "GET", "/v2/runs/req-1", b"").await, 503);
        assert_eq!(scene.status(two, "GET", "/ready", b"").await, 200);
        scene.state.down.set(false);
        sleep(3.0).await;
        assert_eq!(scene.stage(two, "req-1").await, Some(JobStage::Queued));
        scene.state.down.set(true);
        // It has seen the job since, and so its word counts again.
        sleep(1.0).await;
        assert_eq!(scene.stage(one, "req-1").await, Some(JobStage::Queued));
    });
}
