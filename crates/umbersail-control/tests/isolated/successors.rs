//! Leaders that have a successor and hear of it late, or not at once.

use futures::future::join_all;
use umbersail_wire::{Hello, paths};

use super::*;
use crate::standin::HeldAnswer;

impl Scene {
    /// Waits until another controller than this one holds the leader's key.
    async fn successor_of(&self, leader: usize) -> usize {
        let former = format!("n{leader}");
        loop {
            match self.state.leader() {
                Some(name) if name != former => return name[1..].parse().unwrap(),
                _ => sleep(0.001).await,
            }
        }
    }
}

#[test]
fn a_leader_greeted_by_its_successor_steps_down_at_once() {
    // Guards against a leader that the state service refuses and that answers its workers
    // for as long as it may, though its peers tell it that another leads: its workers
    // can be reached by nobody else, and get no new tasks meanwhile.
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let body = encode(&job("req-1", 2.0));
        assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
        let mut worker = Worker::new(&scene, "host-000001", leader);
        worker.until(|w| !w.report.tasks.is_empty(), 20.0).await;
        worker.until(|w| w.answered > 12.0, 20.0).await;
        let token = worker.report.token;
        scene.refused[leader].set(true);
        scene.successor_of(leader).await;
        worker.until(|w| w.report.token > token, 5.0).await;
        assert!(worker.runs("req-1/0").1, "the task is kept");
    });
}

#[test]
fn an_election_under_way_forbids_agreement_to_starts_without_a_record() {
    // Guards against a controller that looks for starts without a record, sends its
    // election, agrees to such starts of the leader before, and then hears that it was
    // elected: it would trust records that don't tell of them.
    for held_s in [0.7, 0.9, 1.1] {
        in_scene(move |scene| async move {
            let leader = scene.leader().await;
            let first = encode(&job("req-1", 8.0));
            assert_eq!(scene.status(leader, "POST", "/v2/runs", &first).await, 201);
            let mut worker = Worker::new(&scene, "host-000001", leader);
            worker.until(|w| !w.report.tasks.is_empty(), 20.0).await;
            // The second takes the place that falls free, and the third waits for one.
            for id in ["req-2", "req-3"] {
                let body = encode(&job(id, 8.0));
                assert_eq!(scene.status(leader, "POST", "/v2/runs", &body).await, 201);
            }
            worker.until(|w| w.answered > 12.0, 20.0).await;
            *scene.state.held_answer.borrow_mut() = Some(HeldAnswer {
                prefix: "leader",
                for_s: held_s,
            });
            scene.refused[leader].set(true);
            let successor = scene.successor_of(leader).await;
            // Elected, and not told so: the service is out for everybody from now on.
            scene.state.down.set(true);
            worker.report.tasks[0].state = TaskState::Exited;
            worker.report.tasks[0].cause = Some(ExitCause::Done);
            let out_at = scene.world.now();
            while scene.world.now() < out_at + 2.5 {
                worker.node = leader;
                worker.turn().await;
                sleep(0.2).await;
            }
            scene.state.down.set(false);
            // The first worker is silent from now on, and its lease not over.
            let mut other = Worker::new(&scene, "host-000002", successor);
            let until = worker.answered + LEASE_S - 1.0;
            while scene.world.now() < until {
                other.node = successor;
                other.turn().await;
                sleep(0.2).await;
            }
            let runs = [&worker, &other].map(|w| w.runs("req-2/0").1);
            assert_ne!(
                runs,
                [true, true],
                "it runs twice; answer held for {held_s} s"
            );
        });
    }
}

#[test]
fn a_leader_that_thaws_answers_no_report_that_came_after_its_successors_greeting() {
    // Guards against a frozen leader whose time is not over and that answers a queue of
    // reports as it thaws, although the greeting of its successor stands before them.
    const WORKERS: usize = 24;
    in_scene(|scene| async move {
        let leader = scene.leader().await;
        let http = Rc::new(Client::new(ClientLimits {
            max_body_bytes: 1 << 16,
            max_per_address: WORKERS,
            max_idle: WORKERS,
            max_total: WORKERS + 1,
            connect_timeout_s: 4.0,
        }));
        let reports = |seq: u64, token: u64| {
            let all = (0..WORKERS).map(|n| {
                let http = http.clone();
                let mut report = new_report(&format!("host-{n:06}"));
                (report.seq, report.token) = (seq, token);
                async move {
                    let body = encode(&report);
                    let answer = http.send(front(leader), "POST", paths::HEARTBEAT, &body, 9.0);
                    let answer = answer.await.ok().filter(|a| a.status == 200)?;
                    Some(decode::<HeartbeatReply>(&answer.body).unwrap().token)
                }
            });
            join_all(all)
        };
        let greeting = |successor: Option<(usize, u64)>| {
            let http = http.clone();
            let hello = Hello {
                member: format!("n{}", (leader + 1) % NODES),
                leader: successor.map(|(node, _)| format!("n{node}")),
                token: successor.map_or(0, |(_, token)| token),
                ..Hello::default()
            };
            async move {
                let body = encode(&hello);
                let answer = http.send(back(leader), "POST", paths::PEER_HELLO, &body, 9.0);
                answer.await.map_or(0, |a| a.status)
            }
        };
        // Connections are open, and all workers have the leader's token.
        assert_eq!(greeting(None).await, 200);
        let tokens: Vec<u64> = reports(2, 0).await.into_iter().flatten().collect();
        assert_eq!(tokens.len(), WORKERS);
        let token = tokens[0];
        assert_eq!(
            reports(3, token).await.into_iter().flatten().count(),
            WORKERS
        );
        scene.world.freeze(scene.nodes[leader]);
        spawn({
            let greeting = greeting(Some(((leader + 1) % NODES, u64::MAX)));
            async move {
                assert_eq!(greeting.await, 200);
            }
        });
        sleep(0.2).await;
        let told: Rc<RefCell<Option<Vec<Option<u64>>>>> = Rc::default();
        let (tell, asked) = (told.clone(), reports(4, token));
        spawn(async move {
            let answers = asked.await;
            *tell.borrow_mut() = Some(answers);
        });
        sleep(0.2).await;
        scene.world.thaw(scene.nodes[leader]);
        sleep(3.0).await;
        let told = told.borrow_mut().take().expect("all have an answer");
        assert_eq!(told.iter().flatten().count(), 0, "{told:?}");
    });
}
