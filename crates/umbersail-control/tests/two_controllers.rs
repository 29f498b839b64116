//! Two controllers on loopback addresses with a fake state service and a fake cloud: the
//! answers that users and workers get from either node, and the state after a failover.

mod fake_services;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};

use fake_services::{StateService, start_cloud};
use futures::future::join_all;
use umbersail_control::Settings;
use umbersail_http::{Client, ClientLimits};
use umbersail_runtime::{Routine, Runtime, SystemClock, sleep, spawn};
use umbersail_tuning::Tuning;
use umbersail_wire::{
    Command, ExitCause, Heartbeat, HeartbeatReply, JobKind, JobSpec, JobStage, JobStatus,
    Misdirected, Priority, Refusal, TaskReport, TaskState, Value, decode, encode,
};

/// A loopback address that no other test and no other test run uses. Asking the system for
/// a free port and binding the port later would be a race.
fn unique_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process_id = std::process::id().to_le_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, process_id[0], process_id[1], host], 18_080))
}

/// Two controllers with a fake state service and a fake cloud.
struct ControllerPair {
    state: Rc<StateService>,
    nodes: Vec<SocketAddr>,
    routines: Vec<Option<Routine>>,
    /// Per node, whether the state service rejects the requests of this node.
    rejects_node: Vec<Rc<Cell<bool>>>,
    http: Client,
}

impl ControllerPair {
    async fn start() -> ControllerPair {
        ControllerPair::start_with_write_rate(1000.0).await
    }

    async fn start_with_write_rate(write_rps: f64) -> ControllerPair {
        // With a delegation margin of 14 s, a leader stops answering heartbeats after 1 s
        // without the state service.
        ControllerPair::start_with_zones(["a", "a"], write_rps, 14.0).await
    }

    async fn start_with_zones(
        zones: [&str; 2],
        write_rps: f64,
        delegation_margin_s: f64,
    ) -> ControllerPair {
        let state = StateService::start();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let state_listeners = [
            state.listen_for_node(any_port),
            state.listen_for_node(any_port),
        ];
        let cloud = start_cloud(any_port);
        let user_addresses = [unique_address(), unique_address()];
        let peer_addresses = [unique_address(), unique_address()];
        let mut routines = Vec::new();
        for i in 0..2 {
            let other = 1 - i;
            let (zone, other_zone) = (zones[i], zones[other]);
            let state_addr = state_listeners[i].0;
            let text = format!(
                r#"
member = "n{i}"
area = "{zone}"
front = "{}"
back = "{}"
[[known]]
member = "n{other}"
area = "{other_zone}"
addr = "{}"
[external]
cloud = "{cloud}"
state = "{state_addr}"
[[facts.teams]]
name = "t"
cpus_max = 16.0
[facts.workers]
report_s = 0.5
lease_s = 5.0
cancel_s = 20.0
[facts.state]
rps = 1000.0
write_rps = {write_rps}
value_kb = 32.0
txn_ops = 20
[facts.cloud]
rps = 50.0
list_lag_s = 1.0
[facts.resources]
max_sockets = 200
"#,
                user_addresses[i], peer_addresses[i], peer_addresses[other]
            );
            let settings = Settings::parse(&text).unwrap();
            let tuning = Tuning {
                leader_ttl_s: 0.6,
                leader_renew_s: 0.1,
                task_end_write_delay_s: 0.05,
                delegation_margin_s,
                ..Tuning::default()
            };
            routines.push(Some(spawn(async move {
                let clock = Rc::new(SystemClock::default());
                umbersail_control::run(settings, tuning, clock)
                    .await
                    .unwrap();
            })));
        }
        let pair = ControllerPair {
            state,
            nodes: user_addresses.to_vec(),
            routines,
            rejects_node: state_listeners
                .into_iter()
                .map(|(_, rejects)| rejects)
                .collect(),
            http: Client::new(ClientLimits {
                max_body_bytes: 1 << 16,
                max_per_address: 8,
                max_idle: 2,
                max_total: 64,
                connect_timeout_s: 1.0,
            }),
        };
        for node in 0..2 {
            pair.request_until(node, "GET", "/ready", b"", |s, _| s == 200)
                .await;
        }
        pair
    }

    async fn request(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> (u16, Vec<u8>) {
        self.http
            .request(self.nodes[node], method, target, body, 5.0)
            .await
            .unwrap_or((0, Vec::new()))
    }

    async fn request_until(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
        condition: impl Fn(u16, &[u8]) -> bool,
    ) -> (u16, Vec<u8>) {
        for _ in 0..400 {
            let (status, answer) = self.request(node, method, target, body).await;
            if condition(status, &answer) {
                return (status, answer);
            }
            sleep(0.02).await;
        }
        panic!("{method} {target} on node {node}: no answer met the condition");
    }

    /// Waits for a leader that answers heartbeats and returns its node.
    async fn wait_for_leader(&self) -> usize {
        for _ in 0..400 {
            if let Some(name) = self.state.leader_member() {
                let node = usize::from(name == "n1");
                let mut probe = new_heartbeat("host-probe");
                probe.seq = 1;
                if self
                    .request(node, "POST", "/v1/report", &encode(&probe))
                    .await
                    .0
                    == 200
                {
                    return node;
                }
            }
            sleep(0.02).await;
        }
        panic!("no node leads");
    }

    /// Waits until the follower knows which node leads, and returns the follower.
    async fn informed_follower(&self) -> usize {
        let follower = 1 - self.wait_for_leader().await;
        let probe = encode(&new_heartbeat("host-probe"));
        self.request_until(follower, "POST", "/v1/report", &probe, |s, _| s == 421)
            .await;
        follower
    }

    async fn job_stage(&self, node: usize, id: &str) -> (u16, Option<JobStage>) {
        let (status, body) = self
            .request(node, "GET", &format!("/v2/runs/{id}"), b"")
            .await;
        (status, decode::<JobStatus>(&body).ok().map(|s| s.state))
    }
}

/// Runs a test with two controllers in one zone.
fn run_with_pair<F: std::future::Future<Output = ()> + 'static>(
    test: impl FnOnce(ControllerPair) -> F + 'static,
) {
    run_with_pair_from(ControllerPair::start(), test);
}

fn run_with_pair_from<F: std::future::Future<Output = ()> + 'static>(
    start: impl std::future::Future<Output = ControllerPair> + 'static,
    test: impl FnOnce(ControllerPair) -> F + 'static,
) {
    Runtime::new()
        .unwrap()
        .block_on(async move { test(start.await).await })
        .unwrap();
}

fn job(id: &str) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 2.0,
        gpus: None,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: None,
        spread: None,
        spot: None,
        estimate_s: 5.0,
        checkpoint_s: None,
        save_s: None,
        deadline_s: None,
    }
}

#[test]
fn a_repeated_submission_returns_the_existing_job_on_any_node_and_after_its_end() {
    run_with_pair(|pair| async move {
        let body = encode(&job("req-1"));
        assert_eq!(pair.request(0, "POST", "/v2/runs", &body).await.0, 201);
        assert_eq!(pair.request(1, "POST", "/v2/runs", &body).await.0, 200);
        assert_eq!(
            pair.job_stage(1, "req-1").await,
            (200, Some(JobStage::Queued))
        );
        // Guards against a repeated submission with an invalid body that is answered with
        // 400 or 422: the node would not have recognized the existing job.
        let mut invalid_spec = job("req-1");
        invalid_spec.tasks = 0;
        assert_eq!(
            pair.request(1, "POST", "/v2/runs", &encode(&invalid_spec))
                .await
                .0,
            200
        );
        let mut invalid_spec = job("req-1");
        invalid_spec.team = "nobody".into();
        assert_eq!(
            pair.request(0, "POST", "/v2/runs", &encode(&invalid_spec))
                .await
                .0,
            200
        );

        let (status, answer) = pair.request(0, "POST", "/v2/runs/req-1/abort", b"").await;
        let job: JobStatus = decode(&answer).unwrap();
        assert_eq!((status, job.state), (200, JobStage::Cancelled));
        for node in 0..2 {
            assert_eq!(
                pair.job_stage(node, "req-1").await,
                (200, Some(JobStage::Cancelled))
            );
            let (status, answer) = pair.request(node, "POST", "/v2/runs", &body).await;
            let job: JobStatus = decode(&answer).unwrap();
            assert_eq!((status, job.state), (200, JobStage::Cancelled));
        }
        assert!(pair.state.has("over/req-1") && !pair.state.has("jobs/req-1"));
    });
}

#[test]
fn a_submission_without_a_required_field_is_rejected_with_a_reason() {
    // Guards against jobs that run with default values their user never chose: the only
    // fields that may be left out are those that may be null.
    run_with_pair(|pair| async move {
        let complete: Value = decode(&encode(&job("req-1"))).unwrap();
        let fields = complete.as_map().unwrap().clone();
        for (name, _) in &fields {
            let mut incomplete = fields.clone();
            incomplete.retain(|(key, _)| key != name);
            let body = encode(&Value::Map(incomplete));
            for node in 0..2 {
                let (status, answer) = pair.request(node, "POST", "/v2/runs", &body).await;
                assert_eq!(status, 400, "without {name}");
                let refusal: Refusal = decode(&answer).unwrap();
                assert!(!refusal.error.is_empty(), "without {name}");
            }
        }
        assert!(!pair.state.has("jobs/req-1"));
        let body = encode(&complete);
        assert_eq!(pair.request(0, "POST", "/v2/runs", &body).await.0, 201);
    });
}

#[test]
fn invalid_requests_get_specific_statuses_and_an_outage_is_reported_at_once() {
    run_with_pair(|pair| async move {
        let cases: Vec<(&str, &str, Vec<u8>, u16)> = vec![
            ("POST", "/v2/runs", b"\x93\x01\x02\x03".to_vec(), 400),
            (
                "POST",
                "/v2/runs",
                encode(&JobSpec {
                    tasks: 0,
                    ..job("req-2")
                }),
                400,
            ),
            (
                "POST",
                "/v2/runs",
                encode(&JobSpec {
                    cpus: f64::NAN,
                    ..job("req-2")
                }),
                400,
            ),
            (
                "POST",
                "/v2/runs",
                encode(&JobSpec {
                    team: "x".into(),
                    ..job("req-2")
                }),
                422,
            ),
            (
                "POST",
                "/v2/runs",
                encode(&JobSpec {
                    cpus: 9.0,
                    ..job("req-2")
                }),
                422,
            ),
            (
                "POST",
                "/v2/runs",
                encode(&JobSpec {
                    kind: JobKind::Service,
                    tasks: 9,
                    ..job("req-2")
                }),
                422,
            ),
            ("GET", "/v2/runs/req-2", vec![], 404),
            ("GET", "/v2/runs/odd", vec![], 404),
            ("POST", "/v2/runs/req-2/abort", vec![], 404),
            ("DELETE", "/v2/runs", vec![], 405),
            ("GET", "/nowhere", vec![], 404),
            ("POST", "/v1/report", b"\x80".to_vec(), 400),
        ];
        for (method, target, body, expected) in cases {
            let (status, _) = pair.request(0, method, target, &body).await;
            assert_eq!(status, expected, "{method} {target}");
        }
        pair.state.down.set(true);
        let body = encode(&job("req-3"));
        assert_eq!(pair.request(0, "POST", "/v2/runs", &body).await.0, 503);
        assert_eq!(
            pair.job_stage(1, "req-2").await.0,
            503,
            "a 404 requires a read of the state service"
        );
        // The state service answers no node, so that every node stays ready: the load
        // balancer must not remove them all.
        sleep(5.0).await;
        assert_eq!(pair.request(0, "GET", "/ready", b"").await.0, 200);
        pair.state.down.set(false);
        pair.request_until(1, "POST", "/v2/runs", &body, |s, _| s == 201)
            .await;
    });
}

/// The heartbeat of a machine that has just started and runs no tasks.
fn new_heartbeat(machine: &str) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: "127.0.0.1:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: None,
        session: 1,
        seq: 0,
        token: 0,
        notice_s: None,
        tasks: vec![],
    }
}

/// Sends heartbeats, to `node` first, until a node answers with a reply. Returns this node
/// and the reply. A worker that starts with the leader is never served through the other
/// node.
async fn heartbeat_until_answered(
    pair: &ControllerPair,
    node: usize,
    heartbeat: &mut Heartbeat,
) -> (usize, HeartbeatReply) {
    let mut node = node;
    for _ in 0..200 {
        heartbeat.seq += 1;
        let (status, body) = pair
            .request(node, "POST", "/v1/report", &encode(heartbeat))
            .await;
        match status {
            200 => return (node, decode(&body).unwrap()),
            421 => {
                let redirect: Misdirected = decode(&body).unwrap();
                node = if redirect.heartbeat_to.as_deref() == Some("n0") {
                    0
                } else {
                    1
                };
                sleep(0.05).await;
            }
            _ => {
                node = 1 - node;
                sleep(0.05).await;
            }
        }
    }
    panic!("no node answers the heartbeat");
}

#[test]
fn a_job_runs_to_completion_across_a_failover() {
    run_with_pair(|mut pair| async move {
        let mut worker = new_heartbeat("host-1");
        let body = encode(&job("req-4"));
        assert_eq!(pair.request(0, "POST", "/v2/runs", &body).await.0, 201);
        let mut start = None;
        let mut node = pair.wait_for_leader().await;
        for _ in 0..100 {
            let (answering_node, reply) = heartbeat_until_answered(&pair, node, &mut worker).await;
            node = answering_node;
            worker.token = worker.token.max(reply.token);
            if let Some(Command::Start { task, attempt, .. }) = reply.commands.first() {
                worker.tasks.push(TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: TaskState::Running,
                    cause: None,
                    saved: None,
                });
                start = Some((node, reply.token));
                break;
            }
            sleep(0.02).await;
        }
        let (leader, token) = start.expect("the task is launched");
        heartbeat_until_answered(&pair, leader, &mut worker).await;
        assert_eq!(
            pair.job_stage(leader, "req-4").await.1,
            Some(JobStage::Running)
        );

        // The leader ends. The other node takes over with a higher token, keeps the task
        // and starts no other.
        pair.routines[leader].take().unwrap().cancel();
        pair.nodes.swap(0, leader);
        let other = pair.nodes[1];
        pair.nodes = vec![other, other];
        let mut newest_token = token;
        for _ in 0..100 {
            let (_, reply) = heartbeat_until_answered(&pair, node, &mut worker).await;
            if reply.token > newest_token {
                newest_token = reply.token;
                worker.token = newest_token;
            }
            assert!(reply.commands.is_empty(), "{:?}", reply.commands);
            if newest_token > token {
                break;
            }
            sleep(0.05).await;
        }
        assert!(newest_token > token);
        heartbeat_until_answered(&pair, node, &mut worker).await;
        worker.tasks[0].state = TaskState::Exited;
        worker.tasks[0].cause = Some(ExitCause::Done);
        for _ in 0..100 {
            let (_, reply) = heartbeat_until_answered(&pair, node, &mut worker).await;
            if matches!(reply.commands[..], [Command::Forget { .. }]) {
                // The worker may forget the task only after the job's end is recorded.
                assert!(pair.state.has("over/req-4"));
                assert_eq!(
                    pair.job_stage(1, "req-4").await,
                    (200, Some(JobStage::Done))
                );
                return;
            }
            sleep(0.02).await;
        }
        panic!("the completed task is never forgotten");
    });
}

#[test]
fn a_follower_relays_heartbeats_of_a_worker_that_cannot_reach_the_leader() {
    run_with_pair(|pair| async move {
        let mut worker = new_heartbeat("host-2");
        let leader = pair.wait_for_leader().await;
        let follower = 1 - leader;
        // The follower answers 503 until it knows which node leads.
        let first_heartbeat = encode(&worker);
        pair.request_until(follower, "POST", "/v1/report", &first_heartbeat, |s, _| {
            s == 421
        })
        .await;
        for _ in 0..2 {
            worker.seq += 1;
            let body = encode(&worker);
            let (status, answer) = pair.request(follower, "POST", "/v1/report", &body).await;
            assert_eq!(status, 200);
            assert!(decode::<HeartbeatReply>(&answer).unwrap().token > 0);
        }
    });
}

#[test]
fn a_zone_delegate_relays_heartbeats_and_renews_leases_only_until_its_delegation_ends() {
    // Guards against the loss of all tasks of a zone that the leader cannot reach, and
    // against lease renewals for longer than a successor assumes.
    let start = ControllerPair::start_with_zones(["a", "b"], 1000.0, 11.0);
    run_with_pair_from(start, |mut pair| async move {
        let leader = pair.wait_for_leader().await;
        let delegate = 1 - leader;
        let mut worker = new_heartbeat("host-4");
        worker.zone = ["a", "b"][delegate].into();
        let leader_routine = pair.routines[leader].take().unwrap();
        // The leader redirects the worker to its peer as soon as the peer may renew leases.
        let mut token = 0;
        for _ in 0..200 {
            worker.seq += 1;
            let body = encode(&worker);
            let (status, answer) = pair.request(leader, "POST", "/v1/report", &body).await;
            if status == 421 {
                break;
            }
            token = decode::<HeartbeatReply>(&answer).unwrap().token;
            worker.token = token;
            sleep(0.02).await;
        }
        let mut send_to_delegate = async || {
            worker.seq += 1;
            let body = encode(&worker);
            let (status, answer) = pair.request(delegate, "POST", "/v1/report", &body).await;
            (status == 200).then(|| decode::<HeartbeatReply>(&answer).unwrap())
        };
        assert_eq!(
            send_to_delegate()
                .await
                .expect("the delegate relays the heartbeat")
                .token,
            token
        );
        // The leader has ended, and no node can be elected during the outage.
        pair.state.down.set(true);
        leader_routine.cancel();
        let mut renewals = 0;
        for _ in 0..10 {
            if let Some(reply) = send_to_delegate().await {
                assert_eq!((reply.token, reply.commands.len()), (token, 0));
                renewals += 1;
            }
            sleep(0.1).await;
        }
        assert!(renewals >= 8, "the lease was renewed {renewals} times");
        sleep(3.5).await;
        assert!(
            send_to_delegate().await.is_none(),
            "the renewal time has ended"
        );
    });
}

#[test]
fn an_outage_longer_than_the_renewal_time_does_not_change_the_leader() {
    // Guards against a needless failover, and against a leader that answers heartbeats
    // after its renewal time, when a successor may already rely on its silence.
    run_with_pair(|pair| async move {
        let mut worker = new_heartbeat("host-3");
        let leader = pair.wait_for_leader().await;
        let (_, before) = heartbeat_until_answered(&pair, leader, &mut worker).await;
        pair.state.down.set(true);
        worker.seq += 1;
        let body = encode(&worker);
        assert_eq!(
            pair.request(leader, "POST", "/v1/report", &body).await.0,
            200
        );
        sleep(1.5).await;
        worker.seq += 1;
        let body = encode(&worker);
        assert_eq!(
            pair.request(leader, "POST", "/v1/report", &body).await.0,
            503
        );
        pair.state.down.set(false);
        // The same leader answers, directly or through the other node.
        let (_, after) = heartbeat_until_answered(&pair, 0, &mut worker).await;
        assert_eq!(after.token, before.token);
    });
}

#[test]
fn idle_nodes_stay_ready_and_watches_do_not_count_as_answers_of_the_state_service() {
    // Guards against an idle node, whose pauses between requests to the state service
    // double, that reports itself as not ready and is removed from the load balancer, and
    // against a watch that ends during an outage and counts as an answer.
    run_with_pair(|pair| async move {
        for _ in 0..18 {
            sleep(0.25).await;
            for node in 0..2 {
                assert_eq!(pair.request(node, "GET", "/ready", b"").await.0, 200);
            }
        }
    });
}

#[test]
fn submissions_over_a_nodes_write_budget_are_accepted_through_the_leader() {
    // Guards against a burst of requests on the first node that recovers from an outage:
    // the node rejected submissions although the leader had write budget for them.
    run_with_pair_from(
        ControllerPair::start_with_write_rate(20.0),
        |pair| async move {
            let follower = pair.informed_follower().await;
            for i in 0..26 {
                let body = encode(&job(&format!("req-{i:06}")));
                let (status, _) = pair.request(follower, "POST", "/v2/runs", &body).await;
                assert_eq!(status, 201, "submission {i}");
            }
        },
    );
}

#[test]
fn a_flood_of_best_effort_submissions_leaves_write_budget_for_others() {
    // Guards against thousands of best-effort single-task jobs that use up the write
    // budget of a node: jobs with deadlines were accepted ten seconds late.
    run_with_pair_from(
        ControllerPair::start_with_write_rate(20.0),
        |pair| async move {
            let follower = pair.informed_follower().await;
            let (mut accepted, mut rejected) = (0, 0);
            for i in 0..60 {
                let best_effort_job = JobSpec {
                    priority: Priority::Low,
                    ..job(&format!("req-{i:06}"))
                };
                match pair
                    .request(follower, "POST", "/v2/runs", &encode(&best_effort_job))
                    .await
                {
                    (201, _) => accepted += 1,
                    (503, _) => rejected += 1,
                    (status, _) => panic!("status {status}"),
                }
            }
            assert!(accepted >= 1, "{accepted} best-effort jobs are accepted");
            assert!(
                rejected >= 20,
                "{rejected} best-effort jobs are rejected at once"
            );
            let body = encode(&job("req-900001"));
            let (status, _) = pair.request(follower, "POST", "/v2/runs", &body).await;
            assert_eq!(status, 201, "a job of normal priority is still accepted");
        },
    );
}

#[test]
fn polls_checked_in_one_batch_return_the_state_of_each_job() {
    // Guards against an outdated answer for a job that ended on another node, because the
    // other jobs checked in the same batch are unfinished.
    run_with_pair(|pair| async move {
        let leader = pair.wait_for_leader().await;
        let follower = 1 - leader;
        let ids = ["req-000001", "req-000002", "req-000003"];
        for id in ids {
            let body = encode(&job(id));
            let (status, _) = pair.request(follower, "POST", "/v2/runs", &body).await;
            assert_eq!(status, 201);
        }
        let abort_path = format!("/v2/runs/{}/abort", ids[1]);
        let (status, _) = pair.request(leader, "POST", &abort_path, b"").await;
        assert_eq!(status, 200);
        let polls = ids.map(|id| pair.job_stage(follower, id));
        let stages = join_all(polls).await;
        let stages: Vec<Option<JobStage>> =
            stages.into_iter().map(|(_, job_stage)| job_stage).collect();
        let queued = Some(JobStage::Queued);
        assert_eq!(stages, [queued, Some(JobStage::Cancelled), queued]);
        let (status, _) = pair.job_stage(follower, "req-000009").await;
        assert_eq!(status, 404);
    });
}

#[test]
fn a_node_that_the_state_service_rejects_forwards_submissions_to_a_peer() {
    // Guards against a node that rejects submissions which any other node would accept.
    run_with_pair(|pair| async move {
        let leader = pair.wait_for_leader().await;
        let follower = 1 - leader;
        // Each node has learned from its peer that the state service answers the peer.
        sleep(1.5).await;
        pair.rejects_node[follower].set(true);
        let body = encode(&job("req-000001"));
        let (status, _) = pair.request(follower, "POST", "/v2/runs", &body).await;
        assert_eq!(status, 201);
        let (_, job_stage) = pair.job_stage(leader, "req-000001").await;
        assert_eq!(job_stage, Some(JobStage::Queued));
    });
}
