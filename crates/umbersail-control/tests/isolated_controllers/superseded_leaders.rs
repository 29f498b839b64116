//! Leaders that have been superseded and learn of their successor with a delay.

use futures::future::join_all;
use umbersail_wire::{Hello, paths};

use super::*;
use crate::fake_services::DelayedReply;

impl TestCluster {
    /// Waits until a controller other than `leader` holds the leader key.
    async fn successor_of(&self, leader: usize) -> usize {
        let former_name = format!("n{leader}");
        loop {
            match self.state.leader_member() {
                Some(name) if name != former_name => return name[1..].parse().unwrap(),
                _ => sleep(0.001).await,
            }
        }
    }
}

#[test]
fn a_leader_that_receives_its_successors_hello_message_steps_down_at_once() {
    // Guards against a leader that the state service rejects and that keeps answering its
    // workers until its renewal time ends, although its peers report another leader. The
    // successor cannot reach these workers, and they get no new tasks in the meantime.
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
        let token = worker.heartbeat.token;
        cluster.rejects_node[leader].set(true);
        cluster.successor_of(leader).await;
        worker
            .heartbeat_until(|w| w.heartbeat.token > token, 5.0)
            .await;
        assert!(
            worker.starts_and_running("req-1/0").1,
            "the task keeps running"
        );
    });
}

#[test]
fn a_candidate_with_an_election_in_flight_does_not_agree_to_unrecorded_starts() {
    // Guards against a controller that checks for starts without a record, sends its
    // election transaction, then agrees to such starts by the previous leader, and only
    // afterwards learns that it was elected: it would rely on records that lack the starts.
    for reply_delay_s in [0.7, 0.9, 1.1] {
        run_with_cluster(move |cluster| async move {
            let leader = cluster.wait_for_leader().await;
            let first_job = encode(&job("req-1", 8.0));
            assert_eq!(
                cluster.status(leader, "POST", "/v2/runs", &first_job).await,
                201
            );
            let mut worker = Worker::new(&cluster, "host-000001", leader);
            worker
                .heartbeat_until(|w| !w.heartbeat.tasks.is_empty(), 20.0)
                .await;
            // req-2 takes the capacity that req-1 frees, and req-3 waits for capacity.
            for id in ["req-2", "req-3"] {
                let body = encode(&job(id, 8.0));
                assert_eq!(cluster.status(leader, "POST", "/v2/runs", &body).await, 201);
            }
            worker
                .heartbeat_until(|w| w.last_acknowledged_at > 12.0, 20.0)
                .await;
            *cluster.state.delayed_reply.borrow_mut() = Some(DelayedReply {
                key_prefix: "leader",
                delay_s: reply_delay_s,
            });
            cluster.rejects_node[leader].set(true);
            let successor = cluster.successor_of(leader).await;
            // The successor is elected but has no reply yet; from now on the state service
            // is unavailable to every node.
            cluster.state.down.set(true);
            worker.heartbeat.tasks[0].state = TaskState::Exited;
            worker.heartbeat.tasks[0].cause = Some(ExitCause::Done);
            let outage_began_at = cluster.world.now();
            while cluster.world.now() < outage_began_at + 2.5 {
                worker.node = leader;
                worker.send_heartbeat().await;
                sleep(0.2).await;
            }
            cluster.state.down.set(false);
            // The first worker sends no more heartbeats; its lease has not expired yet.
            let mut other_worker = Worker::new(&cluster, "host-000002", successor);
            let until = worker.last_acknowledged_at + LEASE_S - 1.0;
            while cluster.world.now() < until {
                other_worker.node = successor;
                other_worker.send_heartbeat().await;
                sleep(0.2).await;
            }
            let runs_on = [&worker, &other_worker].map(|w| w.starts_and_running("req-2/0").1);
            assert_ne!(
                runs_on,
                [true, true],
                "the task runs twice; reply delayed by {reply_delay_s} s"
            );
        });
    }
}

#[test]
fn a_leader_that_thaws_answers_no_heartbeat_queued_behind_its_successors_hello_message() {
    // Guards against a frozen leader whose renewal time has not ended and that answers the
    // queued heartbeats as it thaws, although its successor's hello message came before them.
    const WORKERS: usize = 24;
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let http = Rc::new(Client::new(ClientLimits {
            max_body_bytes: 1 << 16,
            max_per_address: WORKERS,
            max_idle: WORKERS,
            max_total: WORKERS + 1,
            connect_timeout_s: 4.0,
        }));
        let send_heartbeats = |seq: u64, token: u64| {
            let all = (0..WORKERS).map(|n| {
                let http = http.clone();
                let mut heartbeat = new_heartbeat(&format!("host-{n:06}"));
                (heartbeat.seq, heartbeat.token) = (seq, token);
                async move {
                    let body = encode(&heartbeat);
                    let answer =
                        http.send(user_address(leader), "POST", paths::HEARTBEAT, &body, 9.0);
                    let answer = answer.await.ok().filter(|a| a.status == 200)?;
                    Some(decode::<HeartbeatReply>(&answer.body).unwrap().token)
                }
            });
            join_all(all)
        };
        let send_hello = |successor: Option<(usize, u64)>| {
            let http = http.clone();
            let hello = Hello {
                member: format!("n{}", (leader + 1) % NODES),
                leader: successor.map(|(node, _)| format!("n{node}")),
                token: successor.map_or(0, |(_, token)| token),
                ..Hello::default()
            };
            async move {
                let body = encode(&hello);
                let answer = http.send(peer_address(leader), "POST", paths::PEER_HELLO, &body, 9.0);
                answer.await.map_or(0, |a| a.status)
            }
        };
        // Opens the connections and gives every worker the leader's token.
        assert_eq!(send_hello(None).await, 200);
        let tokens: Vec<u64> = send_heartbeats(2, 0).await.into_iter().flatten().collect();
        assert_eq!(tokens.len(), WORKERS);
        let token = tokens[0];
        assert_eq!(
            send_heartbeats(3, token)
                .await
                .into_iter()
                .flatten()
                .count(),
            WORKERS
        );
        cluster.world.freeze(cluster.nodes[leader]);
        spawn({
            let hello_status = send_hello(Some(((leader + 1) % NODES, u64::MAX)));
            async move {
                assert_eq!(hello_status.await, 200);
            }
        });
        sleep(0.2).await;
        let received: Rc<RefCell<Option<Vec<Option<u64>>>>> = Rc::default();
        let (received_slot, responses) = (received.clone(), send_heartbeats(4, token));
        spawn(async move {
            let answers = responses.await;
            *received_slot.borrow_mut() = Some(answers);
        });
        sleep(0.2).await;
        cluster.world.thaw(cluster.nodes[leader]);
        sleep(3.0).await;
        let received = received
            .borrow_mut()
            .take()
            .expect("every heartbeat has a response");
        assert_eq!(received.iter().flatten().count(), 0, "{received:?}");
    });
}
