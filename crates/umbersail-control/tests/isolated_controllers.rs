//! Three controllers in a simulated network: what their workers and users are told while a
//! controller is isolated, frozen or restarted immediately.

#[path = "isolated_controllers/displayed_counts.rs"]
mod displayed_counts;
mod fake_services;
#[path = "isolated_controllers/late_hellos.rs"]
mod late_hellos;
#[path = "isolated_controllers/lost_replies.rs"]
mod lost_replies;
#[path = "isolated_controllers/superseded_leaders.rs"]
mod superseded_leaders;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use fake_services::{StateService, start_cloud};
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

fn user_address(node: usize) -> SocketAddr {
    addr(0, node as u8 + 1, 8080)
}

fn peer_address(node: usize) -> SocketAddr {
    addr(0, node as u8 + 1, 8081)
}

fn settings(node: usize) -> Settings {
    let known: String = (0..NODES)
        .filter(|peer| *peer != node)
        .map(|peer| {
            format!(
                "[[known]]\nmember = \"n{peer}\"\narea = \"a\"\naddr = \"{}\"\n",
                peer_address(peer)
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
        user_address(node),
        peer_address(node),
        addr(2, 2, 1),
        addr(2, 1, 10 + node as u16),
    );
    Settings::parse(&text).unwrap()
}

/// The simulated controllers, with the state service and the hosts of users and workers.
struct TestCluster {
    world: WorldHandle,
    tuning: Tuning,
    state: Rc<StateService>,
    /// Per node, whether the state service rejects the requests of this node.
    rejects_node: Vec<Rc<Cell<bool>>>,
    state_host: HostId,
    worker_host: HostId,
    users_host: HostId,
    nodes: Vec<HostId>,
    http: Client,
}

impl TestCluster {
    fn start(&self, node: usize) {
        start_node(&self.world, self.nodes[node], node, &self.tuning);
    }

    async fn request(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<ClientResponse> {
        self.request_within(node, method, target, body, 4.0).await
    }

    async fn request_within(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
        timeout_s: f64,
    ) -> Option<ClientResponse> {
        let to = user_address(node);
        self.http
            .send(to, method, target, body, timeout_s)
            .await
            .ok()
    }

    async fn status(&self, node: usize, method: &str, target: &str, body: &[u8]) -> u16 {
        let answer = self.request(node, method, target, body).await;
        answer.map_or(0, |a| a.status)
    }

    async fn job_stage(&self, node: usize, id: &str) -> Option<JobStage> {
        let target = format!("/v2/runs/{id}");
        let answer = self.request(node, "GET", &target, b"").await?;
        decode::<JobStatus>(&answer.body).ok().map(|s| s.state)
    }

    /// Waits for a leader that answers heartbeats and returns its node.
    async fn wait_for_leader(&self) -> usize {
        for _ in 0..400 {
            if let Some(name) = self.state.leader_member() {
                let node: usize = name[1..].parse().unwrap();
                let probe = encode(&new_heartbeat("host-000000"));
                if self.status(node, "POST", "/v1/report", &probe).await == 200 {
                    return node;
                }
            }
            sleep(0.05).await;
        }
        panic!("no node leads");
    }

    /// Asserts that a node reports that it is not ready, and that it rejects submissions,
    /// polls and cancellations within 0.2 s and with a retry time.
    async fn assert_rejects_users_promptly(&self, node: usize) {
        assert_eq!(self.status(node, "GET", "/ready", b"").await, 503);
        let requests = [
            ("POST", "/v2/runs", encode(&job("req-9", 2.0))),
            ("GET", "/v2/runs/req-1", vec![]),
            ("POST", "/v2/runs/req-1/abort", vec![]),
        ];
        for (method, target, body) in requests {
            let sent_at = self.world.now();
            let answer = self.request(node, method, target, &body).await.unwrap();
            let elapsed_s = self.world.now() - sent_at;
            assert_eq!(
                (answer.status, elapsed_s < 0.2),
                (503, true),
                "{target} answered after {elapsed_s} s"
            );
            assert!(answer.retry_after_s.is_some());
        }
    }

    /// Repeats the cancellation of a job at a node until the node confirms it. Returns the
    /// time of the confirmation.
    async fn cancel(&self, node: usize, id: &str) -> f64 {
        let abort_path = format!("/v2/runs/{id}/abort");
        for _ in 0..40 {
            if self.status(node, "POST", &abort_path, b"").await == 200 {
                return self.world.now();
            }
            sleep(0.5).await;
        }
        panic!("{id} was not cancelled");
    }

    /// Partitions a node from the state service and from its peers.
    fn isolate(&self, node: usize) -> PartitionId {
        let mut others = self.nodes.clone();
        others.remove(node);
        others.push(self.state_host);
        self.world
            .partition(&[self.nodes[node]], &others, PartitionMode::Hold)
    }
}

fn start_node(world: &WorldHandle, host: HostId, node: usize, tuning: &Tuning) {
    let clock = world.clock(host);
    let tuning = tuning.clone();
    world.start(host, async move {
        let run = umbersail_control::run(settings(node), tuning, clock);
        run.await.unwrap();
    });
}

/// Runs a test on the users' host, while a load balancer polls the readiness of each node
/// once a second.
fn run_with_cluster<F: Future<Output = ()> + 'static>(
    test: impl FnOnce(Rc<TestCluster>) -> F + 'static,
) {
    run_with_tuned_cluster(Tuning::default(), test);
}

/// Like [`run_with_cluster`], with these tuning parameters.
fn run_with_tuned_cluster<F: Future<Output = ()> + 'static>(
    tuning: Tuning,
    test: impl FnOnce(Rc<TestCluster>) -> F + 'static,
) {
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
    let world_handle = world.clone();
    let test_ended: Rc<Cell<bool>> = Rc::default();
    let end = test_ended.clone();
    simulation
        .block_on(async move {
            let world = world_handle;
            let started_services = Rc::new(RefCell::new(None));
            let services = started_services.clone();
            world.start(state_host, async move {
                let state = StateService::start();
                let rejects_node: Vec<_> = (0..NODES)
                    .map(|n| state.listen_for_node(addr(2, 1, 10 + n as u16)).1)
                    .collect();
                *services.borrow_mut() = Some((state, rejects_node));
                std::future::pending::<()>().await;
            });
            world.start(cloud_host, async {
                start_cloud(addr(2, 2, 1));
                std::future::pending::<()>().await;
            });
            sleep(0.1).await;
            for (n, host) in nodes.iter().enumerate() {
                start_node(&world, *host, n, &tuning);
            }
            let (state, rejects_node) = started_services.borrow_mut().take().unwrap();
            let cluster = Rc::new(TestCluster {
                world: world.clone(),
                tuning,
                state,
                rejects_node,
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
                    let cluster = cluster.clone();
                    spawn(async move {
                        loop {
                            cluster
                                .request_within(node, "GET", "/ready", b"", 1.0)
                                .await;
                            sleep(1.0).await;
                        }
                    });
                }
                sleep(3.0).await;
                test(cluster).await;
                end.set(true);
            });
            while !test_ended.get() {
                sleep(0.1).await;
            }
        })
        .unwrap();
}

fn new_heartbeat(machine: &str) -> Heartbeat {
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

/// A worker that follows the protocol as far as these tests need. Controllers cannot reach
/// its address, so that no direct command arrives.
struct Worker {
    cluster: Rc<TestCluster>,
    http: Client,
    node: usize,
    heartbeat: Heartbeat,
    /// When the newest acknowledged heartbeat was sent.
    last_acknowledged_at: f64,
    /// The longest time between two acknowledged heartbeats.
    longest_gap_s: f64,
    commands: Vec<Command>,
}

impl Worker {
    fn new(cluster: &Rc<TestCluster>, machine: &str, node: usize) -> Worker {
        Worker {
            cluster: cluster.clone(),
            http: Client::new(ClientLimits {
                max_body_bytes: 1 << 16,
                max_per_address: 2,
                max_idle: 1,
                max_total: 4,
                connect_timeout_s: 4.0,
            }),
            node,
            heartbeat: new_heartbeat(machine),
            last_acknowledged_at: cluster.world.now(),
            longest_gap_s: 0.0,
            commands: Vec::new(),
        }
    }

    /// Sends a heartbeat and applies the reply. Returns false, after a pause if the request
    /// failed, unless a reply came that was not older than the known token.
    async fn send_heartbeat(&mut self) -> bool {
        let reply = self.exchange_heartbeat().await;
        let Some(reply) = reply else {
            return false;
        };
        self.apply_reply(reply)
    }

    async fn exchange_heartbeat(&mut self) -> Option<HeartbeatReply> {
        self.heartbeat.seq += 1;
        let sent_at = self.cluster.world.now();
        let to = user_address(self.node);
        let body = encode(&self.heartbeat);
        let answer = self.http.send(to, "POST", "/v1/report", &body, 4.0).await;
        let next = (self.node + 1) % NODES;
        match answer {
            Ok(a) if a.status == 200 => {
                let reply = decode::<HeartbeatReply>(&a.body).unwrap();
                if reply.token >= self.heartbeat.token {
                    self.longest_gap_s =
                        self.longest_gap_s.max(sent_at - self.last_acknowledged_at);
                    self.last_acknowledged_at = sent_at;
                }
                return Some(reply);
            }
            Ok(a) if a.status == 421 => {
                let redirect = decode::<Misdirected>(&a.body).unwrap().heartbeat_to;
                self.node = redirect.map_or(next, |name| name[1..].parse().unwrap());
                sleep(0.25).await;
            }
            _ => {
                self.node = next;
                sleep(1.0).await;
            }
        }
        None
    }

    fn apply_reply(&mut self, reply: HeartbeatReply) -> bool {
        if reply.token < self.heartbeat.token {
            return false;
        }
        self.heartbeat.token = reply.token;
        for command in &reply.commands {
            match command {
                Command::Start { task, attempt, .. } => self.heartbeat.tasks.push(TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: TaskState::Running,
                    cause: None,
                    saved: None,
                }),
                Command::Stop { task, .. } => {
                    for entry in self.heartbeat.tasks.iter_mut().filter(|t| t.task == *task) {
                        entry.state = TaskState::Saving;
                    }
                }
                Command::Forget { task, .. } => self.heartbeat.tasks.retain(|t| t.task != *task),
            }
        }
        self.commands.extend(reply.commands);
        true
    }

    /// How often the task was started on this worker, and whether the task runs now.
    fn starts_and_running(&self, task: &str) -> (usize, bool) {
        let start = |c: &&Command| matches!(c, Command::Start { task: t, .. } if t == task);
        let running = |t: &TaskReport| t.task == task && t.state == TaskState::Running;
        let starts = self.commands.iter().filter(start).count();
        (starts, self.heartbeat.tasks.iter().any(running))
    }

    /// Sends a heartbeat every second until the condition holds; panics after `timeout_s`.
    async fn heartbeat_until(&mut self, condition: impl Fn(&Worker) -> bool, timeout_s: f64) {
        let end = self.cluster.world.now() + timeout_s;
        while !condition(self) {
            let now = self.cluster.world.now();
            assert!(
                now < end,
                "condition not met within {timeout_s} s: {:?}",
                self.heartbeat
            );
            if self.send_heartbeat().await {
                sleep(if condition(self) { 0.0 } else { 1.0 }).await;
            }
        }
    }
}

#[test]
fn workers_of_an_isolated_leader_move_to_its_successor_within_seconds() {
    // Guards against an isolated leader that keeps its workers although the leader can start
    // nothing for them. Such a leader may keep its workers for `cancel_s - lease_s - 4 s`,
    // and no other node can bring these workers a newer token.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(cluster.status(leader, "POST", "/v2/runs", &body).await, 201);
        let mut worker = Worker::new(&cluster, "host-000001", leader);
        worker
            .heartbeat_until(|w| !w.heartbeat.tasks.is_empty(), 20.0)
            .await;
        worker
            .heartbeat_until(|w| w.last_acknowledged_at > 20.0, 30.0)
            .await;
        let token = worker.heartbeat.token;
        cluster.isolate(leader);
        worker
            .heartbeat_until(|w| w.heartbeat.token > token, 7.0)
            .await;
        assert!(worker.longest_gap_s < LEASE_S, "{} s", worker.longest_gap_s);
        assert_eq!(
            worker.commands.len(),
            1,
            "the task is kept, and no other task is started"
        );
    });
}

#[test]
fn an_isolated_node_rejects_users_promptly_and_reports_that_it_is_not_ready() {
    // Guards against users who repeatedly wait for the timeout of the state service on a
    // node that cannot serve them.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(cluster.status(leader, "POST", "/v2/runs", &body).await, 201);
        let follower = (leader + 1) % NODES;
        let partition = cluster.isolate(follower);
        sleep(4.0).await;
        cluster.assert_rejects_users_promptly(follower).await;
        cluster.world.heal(partition);
        sleep(3.0).await;
        assert_eq!(cluster.status(follower, "GET", "/ready", b"").await, 200);
        assert_eq!(
            cluster.job_stage(follower, "req-1").await,
            Some(JobStage::Queued)
        );
    });
}

#[test]
fn an_isolated_leader_rejects_users_promptly_while_its_successor_cancels_a_job() {
    // Guards against a leader that answers users from its state before the partition, and
    // against a worker that never learns of the cancellation.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        for id in ["req-1", "req-2"] {
            let body = encode(&job(id, 2.0));
            assert_eq!(cluster.status(leader, "POST", "/v2/runs", &body).await, 201);
        }
        let mut worker = Worker::new(&cluster, "host-000001", leader);
        worker
            .heartbeat_until(|w| w.heartbeat.tasks.len() == 2, 20.0)
            .await;
        worker
            .heartbeat_until(|w| w.last_acknowledged_at > 12.0, 20.0)
            .await;
        let partition = cluster.isolate(leader);
        let partitioned_at = cluster.world.now();
        let cancelled_at = cluster.cancel((leader + 1) % NODES, "req-1").await;
        assert!(
            worker.starts_and_running("req-1/0").1,
            "the task still runs when the cancellation is confirmed"
        );
        let cluster_clone = cluster.clone();
        spawn(async move {
            let job_stage = cluster_clone.job_stage(leader, "req-1").await;
            assert!(matches!(job_stage, None | Some(JobStage::Cancelled)));
        });
        worker
            .heartbeat_until(|w| !w.starts_and_running("req-1/0").1, CANCEL_S)
            .await;
        assert!(cluster.world.now() < cancelled_at + CANCEL_S);
        sleep((partitioned_at + 4.0 - cluster.world.now()).max(0.0)).await;
        cluster.assert_rejects_users_promptly(leader).await;
        cluster.world.heal(partition);
        sleep(3.0).await;
        let job_stage = cluster.job_stage(leader, "req-1").await;
        assert_eq!(job_stage, Some(JobStage::Cancelled));
        assert!(
            worker.starts_and_running("req-2/0").1,
            "req-2 keeps running"
        );
        assert!(worker.longest_gap_s < LEASE_S, "{} s", worker.longest_gap_s);
    });
}

#[test]
fn a_launch_in_flight_while_its_leader_is_isolated_starts_at_most_once_and_ends_with_its_job() {
    // Guards against a task that is started both by the isolated leader and by its
    // successor, and against a task that outlives a cancellation confirmed by the successor.
    let started_in_partition: Rc<Cell<usize>> = Rc::default();
    let not_started: Rc<Cell<usize>> = Rc::default();
    for partition_delay_ms in (0..=40).chain([50, 100, 200]) {
        let (started_in_partition, not_started) =
            (started_in_partition.clone(), not_started.clone());
        run_with_cluster(move |cluster| async move {
            let leader = cluster.wait_for_leader().await;
            let first_job = encode(&job("req-1", 2.0));
            assert_eq!(
                cluster.status(leader, "POST", "/v2/runs", &first_job).await,
                201
            );
            let mut worker = Worker::new(&cluster, "host-000001", leader);
            worker
                .heartbeat_until(|w| !w.heartbeat.tasks.is_empty(), 20.0)
                .await;
            let large_job = encode(&job("req-2", 8.0));
            assert_eq!(
                cluster.status(leader, "POST", "/v2/runs", &large_job).await,
                201
            );
            worker
                .heartbeat_until(|w| w.last_acknowledged_at > 12.0, 20.0)
                .await;
            worker.heartbeat.tasks[0].state = TaskState::Exited;
            worker.heartbeat.tasks[0].cause = Some(ExitCause::Done);
            let partitioned_at: Rc<Cell<f64>> = Rc::default();
            let (cluster_clone, partitioned_at_slot) = (cluster.clone(), partitioned_at.clone());
            spawn(async move {
                sleep(f64::from(partition_delay_ms) / 1000.0).await;
                cluster_clone.isolate(leader);
                partitioned_at_slot.set(cluster_clone.world.now());
            });
            worker.send_heartbeat().await;
            let started = worker.starts_and_running("req-2/0").0;
            let started_in_this_partition = started == 1 && partitioned_at.get() > 0.0;
            started_in_partition
                .set(started_in_partition.get() + usize::from(started_in_this_partition));
            not_started.set(not_started.get() + usize::from(started == 0));
            // The successor answers users a little before it answers the worker.
            let cancelled_at = cluster.cancel((leader + 1) % NODES, "req-2").await;
            let starts_before = worker.starts_and_running("req-2/0").0;
            worker
                .heartbeat_until(|w| w.last_acknowledged_at > cancelled_at + 10.0, 30.0)
                .await;
            let (starts, running) = worker.starts_and_running("req-2/0");
            assert!(
                starts <= 1,
                "after {partition_delay_ms} ms: {starts} starts"
            );
            assert_eq!(
                starts, starts_before,
                "after {partition_delay_ms} ms: started after the cancellation"
            );
            assert!(
                !running,
                "after {partition_delay_ms} ms: the task still runs"
            );
            assert!(worker.longest_gap_s < LEASE_S, "{} s", worker.longest_gap_s);
        });
    }
    let (started, withheld) = (started_in_partition.get(), not_started.get());
    assert!(
        started > 0 && withheld > 0,
        "the task was started during the partition in {started} runs and withheld in {withheld}"
    );
}

#[test]
fn a_leader_whose_key_was_replaced_does_not_keep_answering_under_its_lease() {
    // Guards against a lease renewal that counts although the leader key belongs to another
    // controller (rule 2 of `docs/design.md`): the lease of a leader that the state service
    // briefly rejected outlives the leader key, and no peer can report the successor to this
    // leader.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(cluster.status(leader, "POST", "/v2/runs", &body).await, 201);
        let mut worker = Worker::new(&cluster, "host-000001", leader);
        worker
            .heartbeat_until(|w| !w.heartbeat.tasks.is_empty(), 20.0)
            .await;
        worker
            .heartbeat_until(|w| w.last_acknowledged_at > 12.0, 20.0)
            .await;
        let rejected_at = cluster.world.now();
        cluster.rejects_node[leader].set(true);
        let name = format!("n{leader}");
        while cluster.state.leader_member().as_ref() == Some(&name) {
            assert!(
                cluster.world.now() < rejected_at + 3.0,
                "the leader key was not replaced within 3 s"
            );
            sleep(0.001).await;
        }
        // The successor can reach neither the former leader nor the worker, and the worker
        // stays with the former leader.
        let mut others = cluster.nodes.clone();
        others.remove(leader);
        (cluster.world).partition(&[cluster.nodes[leader]], &others, PartitionMode::Hold);
        cluster.rejects_node[leader].set(false);
        let cancelled_at = cluster.cancel((leader + 1) % NODES, "req-1").await;
        while cluster.world.now() < cancelled_at + CANCEL_S {
            worker.node = leader;
            worker.send_heartbeat().await;
            sleep(1.0).await;
        }
        let acknowledged_after_s = worker.last_acknowledged_at - cancelled_at;
        assert!(
            acknowledged_after_s < CANCEL_S - LEASE_S,
            "acknowledged {acknowledged_after_s} s after the cancellation"
        );
    });
}

#[test]
fn an_isolated_leader_keeps_workers_that_reach_no_other_node() {
    // Guards against a leader that sends its workers away although they reach no other
    // node, so that their tasks are lost: when all other controllers have ended, and when
    // a partition of the zone separates the workers from all other controllers.
    for zone_is_partitioned in [false, true] {
        run_with_cluster(move |cluster| async move {
            let leader = cluster.wait_for_leader().await;
            let done = Rc::new(Cell::new(false));
            let (cluster_clone, done_flag) = (cluster.clone(), done.clone());
            cluster.world.start(cluster.worker_host, async move {
                let mut worker = Worker::new(&cluster_clone, "host-000001", leader);
                worker
                    .heartbeat_until(|w| w.last_acknowledged_at > 10.0, 20.0)
                    .await;
                let mut others = cluster_clone.nodes.clone();
                others.remove(leader);
                if !zone_is_partitioned {
                    others
                        .iter()
                        .for_each(|node| cluster_clone.world.kill(*node));
                }
                cluster_clone.isolate(leader);
                let partitioned_at = cluster_clone.world.now();
                worker
                    .heartbeat_until(|w| w.last_acknowledged_at > partitioned_at + 20.0, 30.0)
                    .await;
                assert!(worker.longest_gap_s < LEASE_S, "{} s", worker.longest_gap_s);
                done_flag.set(true);
            });
            if zone_is_partitioned {
                sleep(5.0).await;
                let mut outside = cluster.nodes.clone();
                outside.remove(leader);
                let inside = [cluster.worker_host, cluster.nodes[leader]];
                cluster
                    .world
                    .partition(&inside, &outside, PartitionMode::Hold);
                cluster
                    .world
                    .partition(&inside, &[cluster.users_host], PartitionMode::Hold);
            }
            while !done.get() {
                sleep(0.5).await;
            }
        });
    }
}

#[test]
fn a_peer_answers_users_of_a_node_that_the_state_service_rejects() {
    // Guards against polls and cancellations that are rejected for as long as the state
    // service rejects the node, although any other node could answer them.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let follower = (leader + 1) % NODES;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(
            cluster.status(follower, "POST", "/v2/runs", &body).await,
            201
        );
        cluster.rejects_node[follower].set(true);
        sleep(4.0).await;
        assert_eq!(
            cluster.job_stage(follower, "req-1").await,
            Some(JobStage::Queued)
        );
        assert_eq!(
            cluster.status(follower, "GET", "/v2/runs/req-9", b"").await,
            404
        );
        let abort_path = "/v2/runs/req-1/abort";
        assert_eq!(cluster.status(follower, "POST", abort_path, b"").await, 200);
        let stage = cluster.job_stage(follower, "req-1").await;
        assert_eq!(stage, Some(JobStage::Cancelled));
    });
}

#[test]
fn a_leader_frozen_between_its_lease_check_and_a_launch_starts_nothing() {
    // Guards against a start command that relies on a lease check from before the freeze
    // (rule 2 of `docs/design.md`): the reply waits for the record of the start, and the
    // lease may expire during this wait.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let first_job = encode(&job("req-1", 2.0));
        assert_eq!(
            cluster.status(leader, "POST", "/v2/runs", &first_job).await,
            201
        );
        let mut worker = Worker::new(&cluster, "host-000001", leader);
        worker
            .heartbeat_until(|w| !w.heartbeat.tasks.is_empty(), 20.0)
            .await;
        let large_job = encode(&job("req-2", 8.0));
        assert_eq!(
            cluster.status(leader, "POST", "/v2/runs", &large_job).await,
            201
        );
        worker
            .heartbeat_until(|w| w.last_acknowledged_at > 12.0, 20.0)
            .await;
        // req-1 ends, and the record of the start of req-2 is in flight.
        worker.heartbeat.tasks[0].state = TaskState::Exited;
        worker.heartbeat.tasks[0].cause = Some(ExitCause::Done);
        worker.heartbeat.seq += 1;
        let state_host = [cluster.state_host];
        let partition =
            (cluster.world).partition(&[cluster.nodes[leader]], &state_host, PartitionMode::Hold);
        let (cluster_clone, body) = (cluster.clone(), encode(&worker.heartbeat));
        let held_answer: Rc<RefCell<Option<ClientResponse>>> = Rc::default();
        let answer_slot = held_answer.clone();
        spawn(async move {
            let answer = cluster_clone.request_within(leader, "POST", "/v1/report", &body, 30.0);
            *answer_slot.borrow_mut() = answer.await;
        });
        // The leader freezes while the reply waits for the record of the start.
        sleep(0.05).await;
        cluster.world.freeze(cluster.nodes[leader]);
        sleep(0.05).await;
        cluster.world.heal(partition);
        sleep(0.2).await;
        assert!(
            cluster.state.has("runs/req-2"),
            "the start of req-2 is recorded"
        );
        sleep(6.0).await;
        cluster.world.thaw(cluster.nodes[leader]);
        sleep(1.0).await;
        let answer = held_answer
            .borrow_mut()
            .take()
            .expect("the thawed leader has answered");
        if answer.status == 200 {
            let reply = decode::<HeartbeatReply>(&answer.body).unwrap();
            let starts = |c: &Command| matches!(c, Command::Start { .. });
            assert!(!reply.commands.iter().any(starts), "{:?}", reply.commands);
        }
        // The successor starts the task exactly once.
        worker.commands.clear();
        let starts = |w: &Worker| {
            let starts = w.commands.iter();
            starts
                .filter(|c| matches!(c, Command::Start { .. }))
                .count()
        };
        worker.heartbeat_until(|w| starts(w) > 0, 15.0).await;
        worker
            .heartbeat_until(|w| w.last_acknowledged_at > 40.0, 30.0)
            .await;
        assert_eq!(starts(&worker), 1);
    });
}

#[test]
fn a_submission_in_flight_at_a_frozen_follower_does_not_recreate_a_cancelled_job() {
    // Guards against a delayed write that recreates a job which its user has cancelled in
    // the meantime.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let follower = (leader + 1) % NODES;
        let state_host = [cluster.state_host];
        let partition =
            (cluster.world).partition(&[cluster.nodes[follower]], &state_host, PartitionMode::Hold);
        let body = encode(&job("req-1", 2.0));
        let (cluster_clone, delayed_body) = (cluster.clone(), body.clone());
        spawn(async move {
            (cluster_clone.request_within(follower, "POST", "/v2/runs", &delayed_body, 30.0)).await;
        });
        sleep(0.05).await;
        cluster.world.freeze(cluster.nodes[follower]);
        assert_eq!(cluster.status(leader, "POST", "/v2/runs", &body).await, 201);
        let abort_path = "/v2/runs/req-1/abort";
        assert_eq!(cluster.status(leader, "POST", abort_path, b"").await, 200);
        cluster.world.heal(partition);
        sleep(1.0).await;
        cluster.world.thaw(cluster.nodes[follower]);
        sleep(2.0).await;
        assert!(cluster.state.has("over/req-1") && !cluster.state.has("jobs/req-1"));
        for node in 0..NODES {
            let job_stage = cluster.job_stage(node, "req-1").await;
            assert_eq!(job_stage, Some(JobStage::Cancelled), "node {node}");
        }
    });
}

#[test]
fn controllers_that_restart_during_an_election_do_not_disturb_running_tasks() {
    // Guards against two controllers that both lead, and against a restarted process that
    // relies on state it has lost, when the controller that is about to lead ends and
    // restarts 0.2 s later.
    for crash_delay_s in [0.0, 0.2, 0.45, 0.6, 0.9, 2.0] {
        run_with_cluster(move |cluster| async move {
            let leader = cluster.wait_for_leader().await;
            let body = encode(&job("req-1", 2.0));
            assert_eq!(cluster.status(leader, "POST", "/v2/runs", &body).await, 201);
            let mut worker = Worker::new(&cluster, "host-000001", leader);
            worker
                .heartbeat_until(|w| !w.heartbeat.tasks.is_empty(), 20.0)
                .await;
            worker
                .heartbeat_until(|w| w.last_acknowledged_at > 12.0, 20.0)
                .await;
            let crash_and_restart = |node: usize| {
                let cluster_clone = cluster.clone();
                spawn(async move {
                    cluster_clone.world.kill(cluster_clone.nodes[node]);
                    sleep(0.2).await;
                    cluster_clone.start(node);
                })
            };
            crash_and_restart(leader);
            sleep(crash_delay_s).await;
            let candidate = (leader + 1) % NODES;
            crash_and_restart(candidate);
            sleep(0.3).await;
            crash_and_restart((leader + 2) % NODES);
            let token = worker.heartbeat.token;
            worker
                .heartbeat_until(|w| w.heartbeat.token > token, 15.0)
                .await;
            let body = encode(&job("req-2", 2.0));
            let accepted = cluster.status(leader, "POST", "/v2/runs", &body).await;
            assert!(accepted == 201, "after {crash_delay_s} s: {accepted}");
            worker
                .heartbeat_until(|w| w.heartbeat.tasks.len() == 2, 20.0)
                .await;
            let end = cluster.world.now() + 15.0;
            worker
                .heartbeat_until(|w| w.last_acknowledged_at > end, 30.0)
                .await;
            assert_eq!(worker.commands.len(), 2, "after {crash_delay_s} s");
            assert!(worker.longest_gap_s < LEASE_S, "{} s", worker.longest_gap_s);
        });
    }
}

#[test]
fn an_evicted_task_runs_nowhere_else_until_it_has_saved_and_exited() {
    // Guards against a successor that starts a best-effort task on another machine while
    // the task still saves its state on the first machine, where the predecessor had
    // ordered the task to stop.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let best_effort_job = JobSpec {
            priority: Priority::Low,
            checkpoint_s: Some(5.0),
            save_s: Some(6.0),
            ..job("req-1", 8.0)
        };
        assert_eq!(
            (cluster.status(leader, "POST", "/v2/runs", &encode(&best_effort_job))).await,
            201
        );
        let mut first = Worker::new(&cluster, "host-000001", leader);
        first
            .heartbeat_until(|w| !w.heartbeat.tasks.is_empty(), 20.0)
            .await;
        first
            .heartbeat_until(|w| w.last_acknowledged_at > 12.0, 20.0)
            .await;
        let urgent_job = JobSpec {
            priority: Priority::Production,
            deadline_s: Some(505.0),
            ..job("req-2", 8.0)
        };
        assert_eq!(
            (cluster.status(leader, "POST", "/v2/runs", &encode(&urgent_job))).await,
            201
        );
        let saves = |w: &Worker| w.heartbeat.tasks[0].state == TaskState::Saving;
        first.heartbeat_until(saves, 120.0).await;
        cluster.world.kill(cluster.nodes[leader]);
        let saved_at = cluster.world.now() + 6.0;
        let mut second = Worker::new(&cluster, "host-000002", (leader + 1) % NODES);
        while cluster.world.now() < saved_at {
            first.send_heartbeat().await;
            second.send_heartbeat().await;
            let duplicate = (second.heartbeat.tasks.iter()).any(|t| t.task == "req-1/0");
            assert!(!duplicate, "the task still saves on the first machine");
            sleep(0.5).await;
        }
        let entry = &mut first.heartbeat.tasks[0];
        entry.state = TaskState::Exited;
        entry.cause = Some(ExitCause::Stopped);
        entry.saved = Some(true);
        let end = cluster.world.now() + 60.0;
        let runs = |w: &Worker, task: &str| {
            let is_running = |t: &&TaskReport| t.task == task && t.state == TaskState::Running;
            w.heartbeat.tasks.iter().filter(is_running).count()
        };
        loop {
            first.send_heartbeat().await;
            second.send_heartbeat().await;
            let running_copies = |task| runs(&first, task) + runs(&second, task);
            assert!(running_copies("req-1/0") <= 1 && running_copies("req-2/0") <= 1);
            if running_copies("req-1/0") == 1 && running_copies("req-2/0") == 1 {
                break;
            }
            assert!(
                cluster.world.now() < end,
                "the tasks do not both run after 60 s"
            );
            sleep(0.5).await;
        }
    });
}

#[test]
fn polls_during_an_outage_are_answered_from_the_knowledge_of_all_controllers() {
    // Guards against minutes without an answer, and against a node that answers from its
    // own knowledge alone with an older state than another node has reported.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let (first_follower, second_follower) = ((leader + 1) % NODES, (leader + 2) % NODES);
        for id in ["req-1", "req-2"] {
            let body = encode(&job(id, 2.0));
            assert_eq!(
                cluster
                    .status(first_follower, "POST", "/v2/runs", &body)
                    .await,
                201
            );
            assert_eq!(
                cluster.job_stage(first_follower, id).await,
                Some(JobStage::Queued)
            );
        }
        let abort_path = "/v2/runs/req-2/abort";
        assert_eq!(
            cluster
                .status(second_follower, "POST", abort_path, b"")
                .await,
            200
        );
        cluster.state.down.set(true);
        sleep(1.0).await;
        for node in 0..NODES {
            let stages = [
                cluster.job_stage(node, "req-1").await,
                cluster.job_stage(node, "req-2").await,
            ];
            let (queued, cancelled) = (Some(JobStage::Queued), Some(JobStage::Cancelled));
            assert_eq!(stages, [queued, cancelled], "node {node}");
            let unknown_job_status = cluster.status(node, "GET", "/v2/runs/req-9", b"").await;
            assert_eq!(
                unknown_job_status, 503,
                "a 404 requires a read of the state service"
            );
        }
        // A restarted controller has lost the states it reported. No controller can then answer
        // a poll from what all of them remember, but the restarted one still accepts requests
        // of users.
        cluster.world.kill(cluster.nodes[second_follower]);
        cluster.start(second_follower);
        sleep(4.0).await;
        assert_eq!(
            cluster
                .status(first_follower, "GET", "/v2/runs/req-1", b"")
                .await,
            503
        );
        assert_eq!(
            cluster.status(second_follower, "GET", "/ready", b"").await,
            200
        );
        cluster.state.down.set(false);
        sleep(3.0).await;
        assert_eq!(
            cluster.job_stage(second_follower, "req-1").await,
            Some(JobStage::Queued)
        );
        cluster.state.down.set(true);
        // The restarted node has read the job since, so that its answer counts again.
        sleep(1.0).await;
        assert_eq!(
            cluster.job_stage(first_follower, "req-1").await,
            Some(JobStage::Queued)
        );
    });
}
