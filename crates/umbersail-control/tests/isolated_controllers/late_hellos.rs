//! Hello messages that arrive late because the network held them back.

use umbersail_http::{Handler, Response, serve};
use umbersail_runtime::TcpListener;
use umbersail_wire::{Hello, JobProgress, paths};

use super::*;

/// How long messages are held back, in seconds.
const HELD_S: f64 = 25.0;
/// The stage of a job may lag by this much, in seconds.
const MAX_LAG_S: f64 = 3.0;

impl TestCluster {
    /// Submits a job to the leader and waits until a follower shows it as queued.
    pub(super) async fn submit_and_wait(&self, leader: usize, id: &str) {
        let body = encode(&job(id, 2.0));
        assert_eq!(self.status(leader, "POST", "/v2/runs", &body).await, 201);
        sleep(3.0).await;
        let follower = (leader + 1) % NODES;
        assert_eq!(
            self.job_stage(follower, id).await,
            Some(JobStage::Queued),
            "no machine has reported yet"
        );
    }

    /// Runs the job on a new worker of the leader, which keeps sending heartbeats.
    pub(super) async fn run_job(self: &Rc<Self>, leader: usize, id: &str) {
        let mut worker = Worker::new(self, "host-000001", leader);
        let task = format!("{id}/0");
        worker
            .heartbeat_until(|w| w.starts_and_running(&task).1, 20.0)
            .await;
        worker.send_heartbeat().await;
        assert_eq!(self.job_stage(leader, id).await, Some(JobStage::Running));
        spawn(async move {
            loop {
                worker.send_heartbeat().await;
                sleep(1.0).await;
            }
        });
        sleep(MAX_LAG_S).await;
    }

    /// Polls a node for two seconds and asserts that it shows the job as running.
    async fn assert_shown_as_running(&self, node: usize, id: &str) {
        let until = self.world.now() + 2.0;
        while self.world.now() < until {
            assert_eq!(
                self.job_stage(node, id).await,
                Some(JobStage::Running),
                "at {:.3} s",
                self.world.now()
            );
            sleep(0.05).await;
        }
    }

    /// Sends a hello message to a node and returns the reply.
    async fn exchange_hello(&self, node: usize, hello: &Hello) -> Hello {
        let answer = self
            .http
            .send(
                peer_address(node),
                "POST",
                paths::PEER_HELLO,
                &encode(hello),
                4.0,
            )
            .await
            .unwrap();
        decode(&answer.body).unwrap()
    }

    /// The present hello message of a node, as a peer gets it in reply to its own.
    async fn hello_of(&self, node: usize) -> Hello {
        let peer = Hello {
            member: format!("n{}", (node + 1) % NODES),
            ..Hello::default()
        };
        self.exchange_hello(node, &peer).await
    }
}

/// A hello message as a leader of the former build sends it: the request has the counts.
fn former_hello(leader: Hello, id: &str, done: u32, running: u32) -> Hello {
    let id = id.to_owned();
    Hello {
        machine_count: 1,
        progress: vec![JobProgress { id, done, running }],
        ..leader
    }
}

#[test]
fn a_hello_message_that_the_network_held_back_does_not_show_a_running_job_as_queued() {
    // Guards against a follower that takes the counts in a late message for as old as their
    // arrival, and tells a user `queued` seconds after the user was told `running`.
    for extra_s in [0.0, 0.25, 0.5, 0.75] {
        run_with_cluster(move |cluster| async move {
            let leader = cluster.wait_for_leader().await;
            let follower = (leader + 1) % NODES;
            cluster.submit_and_wait(leader, "req-1").await;
            let held_at = cluster.world.now();
            let partition = cluster.world.partition(
                &[cluster.nodes[leader]],
                &[cluster.nodes[follower]],
                PartitionMode::Hold,
            );
            cluster.run_job(leader, "req-1").await;
            sleep(held_at + HELD_S + extra_s - cluster.world.now()).await;
            cluster.world.heal(partition);
            cluster.assert_shown_as_running(follower, "req-1").await;
        });
    }
}

#[test]
fn a_late_hello_message_of_a_leader_of_the_former_build_does_not_show_a_running_job_as_queued() {
    // Guards against the same in a roll: the former build sends counts in its requests. They
    // are used as long as they are recent.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let follower = (leader + 1) % NODES;
        cluster.submit_and_wait(leader, "req-1").await;
        let at_first = cluster.hello_of(leader).await;
        cluster.run_job(leader, "req-1").await;
        let late = former_hello(at_first, "req-1", 0, 0);
        cluster.exchange_hello(follower, &late).await;
        cluster.assert_shown_as_running(follower, "req-1").await;

        let present = cluster.hello_of(leader).await;
        let prompt = former_hello(present, "req-1", 7, 9);
        cluster.exchange_hello(follower, &prompt).await;
        let target = "/v2/runs/req-1";
        let answer = cluster.request(follower, "GET", target, b"").await.unwrap();
        let status: JobStatus = decode(&answer.body).unwrap();
        assert_eq!((status.done, status.running), (Some(7), Some(9)));
    });
}

#[test]
fn a_leader_sends_task_counts_only_in_replies() {
    // Guards against counts that a follower of the former build dates by their arrival: only
    // the age of a reply is bounded there, by the timeout of the request.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let follower = (leader + 1) % NODES;
        cluster.submit_and_wait(leader, "req-1").await;
        cluster.run_job(leader, "req-1").await;
        let requests: Rc<RefCell<Vec<Hello>>> = Rc::default();
        let received = requests.clone();
        cluster.world.kill(cluster.nodes[follower]);
        cluster.world.start(cluster.nodes[follower], async move {
            let handler: Handler = Rc::new(move |request| {
                if request.path() == paths::PEER_HELLO {
                    let hello = decode::<Hello>(&request.body).unwrap();
                    received.borrow_mut().push(hello);
                }
                Box::pin(async { Response::empty(503) })
            });
            let listener = TcpListener::bind(peer_address(follower)).unwrap();
            serve(listener, fake_services::server_limits(), handler).await;
        });
        sleep(5.0).await;
        let leader_name = format!("n{leader}");
        let requests = requests.take();
        let from_leader: Vec<&Hello> = requests
            .iter()
            .filter(|hello| hello.member == leader_name)
            .collect();
        assert!(from_leader.len() >= 3, "{}", from_leader.len());
        for hello in from_leader {
            assert!(hello.is_leader);
            assert_eq!((hello.machine_count, &hello.progress), (0, &vec![]));
        }
        let reply = cluster.hello_of(leader).await;
        assert_eq!(reply.progress.len(), 1);
        assert_eq!(reply.progress[0].running, 1);
    });
}
