//! Transactions of users' requests that the state service executes but whose replies are
//! lost, while users poll every controller.

use super::*;
use crate::fake_services::DelayedReply;

/// Longer than any controller waits for a reply from the state service, in seconds.
const LOST_REPLY_DELAY_S: f64 = 60.0;
/// Time between two polls of a user, in seconds.
const POLL_INTERVAL_S: f64 = 0.05;

impl TestCluster {
    /// Loses the reply to the next transaction that changes a key with this prefix.
    fn lose_next_reply(&self, key_prefix: &'static str) {
        let delayed = DelayedReply {
            key_prefix,
            delay_s: LOST_REPLY_DELAY_S,
        };
        *self.state.delayed_reply.borrow_mut() = Some(delayed);
    }

    /// Sends a request to a node that never receives the state service's reply to the
    /// transaction. Returns as soon as the transaction has been executed, with the status
    /// that the user gets later.
    async fn send_with_lost_reply(
        self: &Rc<Self>,
        node: usize,
        key_prefix: &'static str,
        target: String,
        body: Vec<u8>,
    ) -> Rc<Cell<Option<u16>>> {
        self.lose_next_reply(key_prefix);
        let status: Rc<Cell<Option<u16>>> = Rc::default();
        let (cluster, status_slot) = (self.clone(), status.clone());
        spawn(async move {
            let answer = cluster.status(node, "POST", &target, &body).await;
            status_slot.set(Some(answer));
        });
        while self.state.delayed_reply.borrow().is_some() {
            sleep(0.001).await;
        }
        status
    }
}

#[test]
fn a_submission_whose_reply_is_lost_is_visible_on_every_node_and_repeats_are_accepted() {
    // Guards against a repeated submission that conflicts with the record of the first
    // attempt, and against nodes that disagree on whether the job exists.
    for node in 0..NODES {
        run_with_cluster(move |cluster| async move {
            cluster.wait_for_leader().await;
            let body = encode(&job("req-1", 2.0));
            let first_status =
                cluster.send_with_lost_reply(node, "jobs/", "/v2/runs".into(), body.clone());
            let first_status = first_status.await;
            for target_node in (0..NODES).cycle().take(2 * NODES) {
                let job_stage = cluster.job_stage(target_node, "req-1").await;
                assert_eq!(job_stage, Some(JobStage::Queued), "on node {target_node}");
                sleep(POLL_INTERVAL_S).await;
            }
            while first_status.get().is_none() {
                sleep(POLL_INTERVAL_S).await;
            }
            // Without a reply from a peer, the node cannot tell whether the job was accepted.
            assert!(
                matches!(first_status.get(), Some(200 | 503)),
                "{:?}",
                first_status.get()
            );
            for target_node in 0..NODES {
                let repeated =
                    cluster.status((node + target_node) % NODES, "POST", "/v2/runs", &body);
                assert_eq!(repeated.await, 200, "the job already exists");
            }
        });
    }
}

#[test]
fn a_cancellation_whose_reply_is_lost_is_visible_on_every_node_and_its_retry_succeeds() {
    // Guards against a node that reports a job as queued after another node has reported
    // its cancellation, and against a retry that is rejected because the first attempt
    // has already cancelled the job.
    for node in 0..NODES {
        run_with_cluster(move |cluster| async move {
            cluster.wait_for_leader().await;
            let body = encode(&job("req-1", 2.0));
            for target_node in 0..NODES {
                let status = cluster.status(target_node, "POST", "/v2/runs", &body).await;
                assert!(matches!(status, 200 | 201));
                // Every node has seen the job unfinished.
                assert_eq!(
                    cluster.job_stage(target_node, "req-1").await,
                    Some(JobStage::Queued)
                );
            }
            let abort_path = "/v2/runs/req-1/abort";
            let first_status = cluster
                .send_with_lost_reply(node, "over/", abort_path.into(), vec![])
                .await;
            for target_node in (0..NODES).cycle().take(2 * NODES) {
                let job_stage = cluster.job_stage(target_node, "req-1").await;
                assert_eq!(
                    job_stage,
                    Some(JobStage::Cancelled),
                    "on node {target_node}"
                );
                sleep(POLL_INTERVAL_S).await;
            }
            while first_status.get().is_none() {
                sleep(POLL_INTERVAL_S).await;
            }
            assert_eq!(
                first_status.get(),
                Some(503),
                "the node cannot tell whether the job was cancelled"
            );
            for target_node in 0..NODES {
                let target_node = (node + target_node) % NODES;
                assert_eq!(
                    cluster.status(target_node, "POST", abort_path, b"").await,
                    200
                );
                assert_eq!(
                    cluster.status(target_node, "POST", "/v2/runs", &body).await,
                    200
                );
                assert_eq!(
                    cluster.job_stage(target_node, "req-1").await,
                    Some(JobStage::Cancelled)
                );
            }
        });
    }
}
