//! Two controllers on loopback against stand-ins: what users and workers are
//! answered, on any node, and what a take-over leaves.

mod standin;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};

use futures::future::join_all;
use standin::{StateService, start_cloud};
use umbersail_control::Settings;
use umbersail_http::{Client, ClientLimits};
use umbersail_runtime::{Routine, Runtime, SystemClock, sleep, spawn};
use umbersail_tuning::Tuning;
use umbersail_wire::{
    Command, ExitCause, Heartbeat, HeartbeatReply, JobKind, JobSpec, JobStage, JobStatus,
    Misdirected, Priority, Refusal, TaskReport, TaskState, Value, decode, encode,
};

/// A loopback address that no other test and no other run uses: asking the
/// system for a free port and binding it later would be a race.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let run = std::process::id().to_le_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, run[0], run[1], host], 18_080))
}

/// Two controllers with their stand-ins.
struct Service {
    state: Rc<StateService>,
    nodes: Vec<SocketAddr>,
    routines: Vec<Option<Routine>>,
    /// Switches by which the state service refuses one node alone.
    refused: Vec<Rc<Cell<bool>>>,
    http: Client,
}

impl Service {
    async fn start() -> Service {
        Service::start_with(1000.0).await
    }

    async fn start_with(write_rps: f64) -> Service {
        // Reports are refused after 1 s without the state service.
        Service::start_in(["a", "a"], write_rps, 14.0).await
    }

    async fn start_in(zones: [&str; 2], write_rps: f64, keep_margin_s: f64) -> Service {
        let state = StateService::start();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let doors = [state.door(any), state.door(any)];
        let cloud = start_cloud(any);
        let fronts = [own_address(), own_address()];
        let backs = [own_address(), own_address()];
        let mut routines = Vec::new();
        for i in 0..2 {
            let other = 1 - i;
            let (zone, other_zone) = (zones[i], zones[other]);
            let state_addr = doors[i].0;
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
                fronts[i], backs[i], backs[other]
            );
            let settings = Settings::parse(&text).unwrap();
            let tuning = Tuning {
                leader_ttl_s: 0.6,
                leader_renew_s: 0.1,
                task_end_write_delay_s: 0.05,
                delegation_margin_s: keep_margin_s,
                ..Tuning::default()
            };
            routines.push(Some(spawn(async move {
                let clock = Rc::new(SystemClock::default());
                umbersail_control::run(settings, tuning, clock)
                    .await
                    .unwrap();
            })));
        }
        let service = Service {
            state,
            nodes: fronts.to_vec(),
            routines,
            refused: doors.into_iter().map(|(_, refuses)| refuses).collect(),
            http: Client::new(ClientLimits {
                max_body_bytes: 1 << 16,
                max_per_address: 8,
                max_idle: 2,
                max_total: 64,
                connect_timeout_s: 1.0,
            }),
        };
        for node in 0..2 {
            service
                .until(node, "GET", "/ready", b"", |s, _| s == 200)
                .await;
        }
        service
    }

    async fn ask(&self, node: usize, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        self.http
            .request(self.nodes[node], method, target, body, 5.0)
            .await
            .unwrap_or((0, Vec::new()))
    }

    async fn until(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
        good: impl Fn(u16, &[u8]) -> bool,
    ) -> (u16, Vec<u8>) {
        for _ in 0..400 {
            let (status, answer) = self.ask(node, method, target, body).await;
            if good(status, &answer) {
                return (status, answer);
            }
            sleep(0.02).await;
        }
        panic!("{method} {target} on node {node} never got the answer that was waited for");
    }

    /// The node that leads and takes reports.
    async fn leader(&self) -> usize {
        for _ in 0..400 {
            if let Some(name) = self.state.leader() {
                let node = usize::from(name == "n1");
                let mut scout = new_worker("host-scout");
                scout.seq = 1;
                if self
                    .ask(node, "POST", "/v1/report", &encode(&scout))
                    .await
                    .0
                    == 200
                {
                    return node;
                }
            }
            sleep(0.02).await;
        }
        panic!("nobody leads");
    }

    /// A node that does not lead and knows who does.
    async fn informed_follower(&self) -> usize {
        let follower = 1 - self.leader().await;
        let scout = encode(&new_worker("host-scout"));
        self.until(follower, "POST", "/v1/report", &scout, |s, _| s == 421)
            .await;
        follower
    }

    async fn stage(&self, node: usize, id: &str) -> (u16, Option<JobStage>) {
        let (status, body) = self.ask(node, "GET", &format!("/v2/runs/{id}"), b"").await;
        (status, decode::<JobStatus>(&body).ok().map(|s| s.state))
    }
}

fn in_service<F: std::future::Future<Output = ()> + 'static>(
    test: impl FnOnce(Service) -> F + 'static,
) {
    in_service_of(Service::start(), test);
}

fn in_service_of<F: std::future::Future<Output = ()> + 'static>(
    start: impl std::future::Future<Output = Service> + 'static,
    test: impl FnOnce(Service) -> F + 'static,
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
fn a_submission_repeated_on_another_node_and_after_its_end_is_known() {
    in_service(|service| async move {
        let body = encode(&job("req-1"));
        assert_eq!(service.ask(0, "POST", "/v2/runs", &body).await.0, 201);
        assert_eq!(service.ask(1, "POST", "/v2/runs", &body).await.0, 200);
        assert_eq!(
            service.stage(1, "req-1").await,
            (200, Some(JobStage::Queued))
        );
        // Guards against forgotten: a broken repetition is no 400 or 422.
        let mut broken = job("req-1");
        broken.tasks = 0;
        assert_eq!(
            service.ask(1, "POST", "/v2/runs", &encode(&broken)).await.0,
            200
        );
        let mut broken = job("req-1");
        broken.team = "nobody".into();
        assert_eq!(
            service.ask(0, "POST", "/v2/runs", &encode(&broken)).await.0,
            200
        );

        let (status, answer) = service.ask(0, "POST", "/v2/runs/req-1/abort", b"").await;
        let told: JobStatus = decode(&answer).unwrap();
        assert_eq!((status, told.state), (200, JobStage::Cancelled));
        for node in 0..2 {
            assert_eq!(
                service.stage(node, "req-1").await,
                (200, Some(JobStage::Cancelled))
            );
            let (status, answer) = service.ask(node, "POST", "/v2/runs", &body).await;
            let told: JobStatus = decode(&answer).unwrap();
            assert_eq!((status, told.state), (200, JobStage::Cancelled));
        }
        assert!(service.state.has("over/req-1") && !service.state.has("jobs/req-1"));
    });
}

#[test]
fn a_submission_that_lacks_a_field_is_refused_with_the_reason() {
    // Guards against jobs that run as somebody guessed: only what may be null may be left out.
    in_service(|service| async move {
        let whole: Value = decode(&encode(&job("req-1"))).unwrap();
        let fields = whole.as_map().unwrap().clone();
        for (name, _) in &fields {
            let mut lacking = fields.clone();
            lacking.retain(|(key, _)| key != name);
            let body = encode(&Value::Map(lacking));
            for node in 0..2 {
                let (status, answer) = service.ask(node, "POST", "/v2/runs", &body).await;
                assert_eq!(status, 400, "without {name}");
                let refusal: Refusal = decode(&answer).unwrap();
                assert!(!refusal.error.is_empty(), "without {name}");
            }
        }
        assert!(!service.state.has("jobs/req-1"));
        let body = encode(&whole);
        assert_eq!(service.ask(0, "POST", "/v2/runs", &body).await.0, 201);
    });
}

#[test]
fn bad_input_gets_its_answer_and_an_outage_is_told_at_once() {
    in_service(|service| async move {
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
            let (status, _) = service.ask(0, method, target, &body).await;
            assert_eq!(status, expected, "{method} {target}");
        }
        service.state.down.set(true);
        let body = encode(&job("req-3"));
        assert_eq!(service.ask(0, "POST", "/v2/runs", &body).await.0, 503);
        assert_eq!(
            service.stage(1, "req-2").await.0,
            503,
            "404 only after reading"
        );
        // All are blind alike: none leaves the balancer.
        sleep(5.0).await;
        assert_eq!(service.ask(0, "GET", "/ready", b"").await.0, 200);
        service.state.down.set(false);
        service
            .until(1, "POST", "/v2/runs", &body, |s, _| s == 201)
            .await;
    });
}

/// A worker with an empty machine that has just come up.
fn new_worker(machine: &str) -> Heartbeat {
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

/// Reports, to this node at first, until the answer is one of the leader's;
/// says which node gave it. A worker that stays with the leader once it has
/// found it is never served through the other node.
async fn report(service: &Service, node: usize, report: &mut Heartbeat) -> (usize, HeartbeatReply) {
    let mut node = node;
    for _ in 0..200 {
        report.seq += 1;
        let (status, body) = service
            .ask(node, "POST", "/v1/report", &encode(report))
            .await;
        match status {
            200 => return (node, decode(&body).unwrap()),
            421 => {
                let named: Misdirected = decode(&body).unwrap();
                node = if named.heartbeat_to.as_deref() == Some("n0") {
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
    panic!("nobody takes the report");
}

#[test]
fn a_job_runs_to_its_end_across_a_take_over() {
    in_service(|mut service| async move {
        let mut worker = new_worker("host-1");
        let body = encode(&job("req-4"));
        assert_eq!(service.ask(0, "POST", "/v2/runs", &body).await.0, 201);
        let mut first = None;
        let mut node = service.leader().await;
        for _ in 0..100 {
            let (at, reply) = report(&service, node, &mut worker).await;
            node = at;
            worker.token = worker.token.max(reply.token);
            if let Some(Command::Start { task, attempt, .. }) = reply.commands.first() {
                worker.tasks.push(TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: TaskState::Running,
                    cause: None,
                    saved: None,
                });
                first = Some((node, reply.token));
                break;
            }
            sleep(0.02).await;
        }
        let (leader, token) = first.expect("the task is launched");
        report(&service, leader, &mut worker).await;
        assert_eq!(
            service.stage(leader, "req-4").await.1,
            Some(JobStage::Running)
        );

        // The leader ends; the other takes over with a higher token, keeps
        // the task and starts no second one.
        service.routines[leader].take().unwrap().cancel();
        service.nodes.swap(0, leader);
        let other = service.nodes[1];
        service.nodes = vec![other, other];
        let mut seen = token;
        for _ in 0..100 {
            let (_, reply) = report(&service, node, &mut worker).await;
            if reply.token > seen {
                seen = reply.token;
                worker.token = seen;
            }
            assert!(reply.commands.is_empty(), "{:?}", reply.commands);
            if seen > token {
                break;
            }
            sleep(0.05).await;
        }
        assert!(seen > token);
        report(&service, node, &mut worker).await;
        worker.tasks[0].state = TaskState::Exited;
        worker.tasks[0].cause = Some(ExitCause::Done);
        for _ in 0..100 {
            let (_, reply) = report(&service, node, &mut worker).await;
            if matches!(reply.commands[..], [Command::Forget { .. }]) {
                // Reaped only after the end stands.
                assert!(service.state.has("over/req-4"));
                assert_eq!(service.stage(1, "req-4").await, (200, Some(JobStage::Done)));
                return;
            }
            sleep(0.02).await;
        }
        panic!("the completed task is never reaped");
    });
}

#[test]
fn a_worker_that_reaches_only_a_follower_is_served_through_it() {
    in_service(|service| async move {
        let mut worker = new_worker("host-2");
        let leader = service.leader().await;
        let follower = 1 - leader;
        // Until it has heard who leads it can only say 503.
        let first = encode(&worker);
        service
            .until(follower, "POST", "/v1/report", &first, |s, _| s == 421)
            .await;
        for _ in 0..2 {
            worker.seq += 1;
            let body = encode(&worker);
            let (status, answer) = service.ask(follower, "POST", "/v1/report", &body).await;
            assert_eq!(status, 200);
            assert!(decode::<HeartbeatReply>(&answer).unwrap().token > 0);
        }
    });
}

#[test]
fn a_zone_delegate_relays_reports_and_renews_leases_for_its_time_only() {
    // Guards against losing all tasks of a zone that the leader can't reach,
    // and against keeping them for longer than a successor reckons with.
    let start = Service::start_in(["a", "b"], 1000.0, 11.0);
    in_service_of(start, |mut service| async move {
        let leader = service.leader().await;
        let between = 1 - leader;
        let mut worker = new_worker("host-4");
        worker.zone = ["a", "b"][between].into();
        let leads = service.routines[leader].take().unwrap();
        // Once the leader knows that its peer may keep, it sends the worker there.
        let mut token = 0;
        for _ in 0..200 {
            worker.seq += 1;
            let body = encode(&worker);
            let (status, answer) = service.ask(leader, "POST", "/v1/report", &body).await;
            if status == 421 {
                break;
            }
            token = decode::<HeartbeatReply>(&answer).unwrap().token;
            worker.token = token;
            sleep(0.02).await;
        }
        let mut ask_between = async || {
            worker.seq += 1;
            let body = encode(&worker);
            let (status, answer) = service.ask(between, "POST", "/v1/report", &body).await;
            (status == 200).then(|| decode::<HeartbeatReply>(&answer).unwrap())
        };
        assert_eq!(ask_between().await.expect("handed on").token, token);
        // The leader is gone, and nobody can be elected.
        service.state.down.set(true);
        leads.cancel();
        let mut kept = 0;
        for _ in 0..10 {
            if let Some(reply) = ask_between().await {
                assert_eq!((reply.token, reply.commands.len()), (token, 0));
                kept += 1;
            }
            sleep(0.1).await;
        }
        assert!(kept >= 8, "kept {kept} times");
        sleep(3.5).await;
        assert!(ask_between().await.is_none(), "its time is over");
    });
}

#[test]
fn an_outage_longer_than_the_renewal_time_changes_no_leader() {
    // Guards against a needless take-over, and against answers of a holder
    // whose successor must be able to reckon with its silence.
    in_service(|service| async move {
        let mut worker = new_worker("host-3");
        let leader = service.leader().await;
        let (_, before) = report(&service, leader, &mut worker).await;
        service.state.down.set(true);
        worker.seq += 1;
        let body = encode(&worker);
        assert_eq!(
            service.ask(leader, "POST", "/v1/report", &body).await.0,
            200
        );
        sleep(1.5).await;
        worker.seq += 1;
        let body = encode(&worker);
        assert_eq!(
            service.ask(leader, "POST", "/v1/report", &body).await.0,
            503
        );
        service.state.down.set(false);
        // Straight or handed on by the other node, the same holder answers.
        let (_, after) = report(&service, 0, &mut worker).await;
        assert_eq!(after.token, before.token);
    });
}

#[test]
fn nodes_that_nobody_asks_stay_ready_and_watches_are_no_sign_of_life() {
    // Guards against a quiet node leaving the balancer, whose pauses double,
    // and against a watch that ends during an outage passing for an answer.
    in_service(|service| async move {
        for _ in 0..18 {
            sleep(0.25).await;
            for node in 0..2 {
                assert_eq!(service.ask(node, "GET", "/ready", b"").await.0, 200);
            }
        }
    });
}

#[test]
fn submissions_over_a_nodes_budget_are_taken_through_the_leader() {
    // Guards against a storm on the first node that is back after an outage:
    // it refused what the leader had room for.
    in_service_of(Service::start_with(20.0), |service| async move {
        let follower = service.informed_follower().await;
        for i in 0..26 {
            let body = encode(&job(&format!("req-{i:06}")));
            let (status, _) = service.ask(follower, "POST", "/v2/runs", &body).await;
            assert_eq!(status, 201, "submission {i}");
        }
    });
}

#[test]
fn a_flood_of_what_can_wait_leaves_room_for_other_submissions() {
    // Guards against a guest's thousands of single tasks, which took all that a
    // node may write: jobs with deadlines were accepted ten seconds late.
    in_service_of(Service::start_with(20.0), |service| async move {
        let follower = service.informed_follower().await;
        let (mut taken, mut refused) = (0, 0);
        for i in 0..60 {
            let guest = JobSpec {
                priority: Priority::Low,
                ..job(&format!("req-{i:06}"))
            };
            match service
                .ask(follower, "POST", "/v2/runs", &encode(&guest))
                .await
            {
                (201, _) => taken += 1,
                (503, _) => refused += 1,
                (status, _) => panic!("status {status}"),
            }
        }
        assert!(taken >= 1, "{taken} guests are taken");
        assert!(refused >= 20, "{refused} are sent away at once");
        let body = encode(&job("req-900001"));
        let (status, _) = service.ask(follower, "POST", "/v2/runs", &body).await;
        assert_eq!(status, 201, "and others still find room");
    });
}

#[test]
fn polls_that_are_compared_together_tell_each_job_its_own_state() {
    // Guards against an older answer for a job that ended elsewhere, since the
    // others of its comparison go on.
    in_service(|service| async move {
        let leader = service.leader().await;
        let follower = 1 - leader;
        let ids = ["req-000001", "req-000002", "req-000003"];
        for id in ids {
            let body = encode(&job(id));
            let (status, _) = service.ask(follower, "POST", "/v2/runs", &body).await;
            assert_eq!(status, 201);
        }
        let ended = format!("/v2/runs/{}/abort", ids[1]);
        let (status, _) = service.ask(leader, "POST", &ended, b"").await;
        assert_eq!(status, 200);
        let polls = ids.map(|id| service.stage(follower, id));
        let stages = join_all(polls).await;
        let told: Vec<Option<JobStage>> = stages.into_iter().map(|(_, stage)| stage).collect();
        let queued = Some(JobStage::Queued);
        assert_eq!(told, [queued, Some(JobStage::Cancelled), queued]);
        let (status, _) = service.stage(follower, "req-000009").await;
        assert_eq!(status, 404);
    });
}

#[test]
fn a_node_that_the_state_service_alone_refuses_hands_submissions_to_a_peer() {
    // Guards against refusals by one node of what any other would take.
    in_service(|service| async move {
        let leader = service.leader().await;
        let follower = 1 - leader;
        // Each has heard from the other that the state service answers it.
        sleep(1.5).await;
        service.refused[follower].set(true);
        let body = encode(&job("req-000001"));
        let (status, _) = service.ask(follower, "POST", "/v2/runs", &body).await;
        assert_eq!(status, 201);
        let (_, stage) = service.stage(leader, "req-000001").await;
        assert_eq!(stage, Some(JobStage::Queued));
    });
}
