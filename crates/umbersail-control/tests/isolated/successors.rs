//! Leaders that have a successor and hear of it late, or not at once.

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
