//! Transactions of users' requests that are carried out and whose answers are lost, while
//! users ask at every controller.

use super::*;
use crate::standin::HeldAnswer;

/// Longer than any controller waits for an answer of the state service, seconds.
const LOST_S: f64 = 60.0;
/// Between two looks of a user, seconds.
const LOOK_S: f64 = 0.05;

impl Scene {
    /// The answer to the next transaction that changes such a key never comes.
    fn lose_answer(&self, prefix: &'static str) {
        let held = HeldAnswer {
            prefix,
            for_s: LOST_S,
        };
        *self.state.held_answer.borrow_mut() = Some(held);
    }

    /// Sends a request whose answer from the state service is lost, and waits until the
    /// transaction has been carried out.
    async fn send_unanswered(
        self: &Rc<Self>,
        node: usize,
        prefix: &'static str,
        target: String,
        body: Vec<u8>,
    ) -> Rc<Cell<Option<u16>>> {
        self.lose_answer(prefix);
        let status: Rc<Cell<Option<u16>>> = Rc::default();
        let (scene, told) = (self.clone(), status.clone());
        spawn(async move {
            let answer = scene.status(node, "POST", &target, &body).await;
            told.set(Some(answer));
        });
        while self.state.held_answer.borrow().is_some() {
            sleep(0.001).await;
        }
        status
    }
}

#[test]
fn a_submission_whose_answer_is_lost_is_known_everywhere_and_never_refused() {
    // Guards against a repeated submission that fails on the job's own record, and
    // against a node that has read the job and one that has not heard of it.
    for node in 0..NODES {
        in_scene(move |scene| async move {
            scene.leader().await;
            let body = encode(&job("req-1", 2.0));
            let first = scene.send_unanswered(node, "jobs/", "/v2/runs".into(), body.clone());
            let first = first.await;
            for asked in (0..NODES).cycle().take(2 * NODES) {
                let stage = scene.stage(asked, "req-1").await;
                assert_eq!(stage, Some(JobStage::Queued), "at {asked}");
                sleep(LOOK_S).await;
            }
            while first.get().is_none() {
                sleep(LOOK_S).await;
            }
            // Unless a peer was asked as well, nobody knows whether it was accepted.
            assert!(matches!(first.get(), Some(200 | 503)), "{:?}", first.get());
            for asked in 0..NODES {
                let again = scene.status((node + asked) % NODES, "POST", "/v2/runs", &body);
                assert_eq!(again.await, 200, "it is known already");
            }
        });
    }
}

#[test]
fn a_cancellation_whose_answer_is_lost_is_told_everywhere_and_its_retry_confirmed() {
    // Guards against a node that calls a job queued after another has read its end, and
    // against a retry that finds its own first try and is refused.
    for node in 0..NODES {
        in_scene(move |scene| async move {
            scene.leader().await;
            let body = encode(&job("req-1", 2.0));
            for asked in 0..NODES {
                let status = scene.status(asked, "POST", "/v2/runs", &body).await;
                assert!(matches!(status, 200 | 201));
                // Each has seen it unfinished.
                assert_eq!(scene.stage(asked, "req-1").await, Some(JobStage::Queued));
            }
            let abort = "/v2/runs/req-1/abort";
            let first = scene
                .send_unanswered(node, "over/", abort.into(), vec![])
                .await;
            for asked in (0..NODES).cycle().take(2 * NODES) {
                let stage = scene.stage(asked, "req-1").await;
                assert_eq!(stage, Some(JobStage::Cancelled), "at {asked}");
                sleep(LOOK_S).await;
            }
            while first.get().is_none() {
                sleep(LOOK_S).await;
            }
            assert_eq!(
                first.get(),
                Some(503),
                "nobody knows whether it was cancelled"
            );
            for asked in 0..NODES {
                let asked = (node + asked) % NODES;
                assert_eq!(scene.status(asked, "POST", abort, b"").await, 200);
                assert_eq!(scene.status(asked, "POST", "/v2/runs", &body).await, 200);
                assert_eq!(scene.stage(asked, "req-1").await, Some(JobStage::Cancelled));
            }
        });
    }
}
