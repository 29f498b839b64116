//! Task counts in the answers to polls, where the state service does not tell them.

use super::*;

impl TestCluster {
    /// Polls a node and returns the HTTP status and the job's stage.
    async fn poll(&self, node: usize, id: &str) -> (u16, Option<JobStage>) {
        let target = format!("/v2/runs/{id}");
        let answer = self.request(node, "GET", &target, b"").await.unwrap();
        let stage = decode::<JobStatus>(&answer.body).ok().map(|s| s.state);
        (answer.status, stage)
    }
}

#[test]
fn a_follower_that_cannot_read_the_counts_does_not_show_old_ones() {
    // Guards against a follower that falls back to counts of any age if the read of a job's
    // progress fails, and tells a user `queued` seconds after the user was told `running`.
    run_with_cluster(|cluster| async move {
        let leader = cluster.wait_for_leader().await;
        let follower = (leader + 1) % NODES;
        cluster.submit_and_wait(leader, "req-1").await;
        let partition = cluster.world.partition(
            &[cluster.nodes[leader]],
            &[cluster.nodes[follower]],
            PartitionMode::Hold,
        );
        cluster.run_job(leader, "req-1").await;
        let running = (200, Some(JobStage::Running));
        assert_eq!(cluster.poll(follower, "req-1").await, running);
        cluster.state.rejects_reads_of.set(Some("runs/"));
        assert_eq!(cluster.poll(follower, "req-1").await, (503, None));
        cluster.state.rejects_reads_of.set(None);
        assert_eq!(cluster.poll(follower, "req-1").await, running);
        cluster.world.heal(partition);
    });
}

#[test]
fn a_poll_during_an_outage_shows_the_counts_of_a_job_that_no_hello_message_has() {
    // Guards against `queued` for a job that runs: hello messages have the counts of a limited
    // number of jobs, and those of further jobs can't be read during an outage.
    let tuning = Tuning {
        max_progress_jobs: 0.0,
        ..Tuning::default()
    };
    run_with_tuned_cluster(tuning, |cluster| async move {
        let leader = cluster.wait_for_leader().await;
        cluster.submit_and_wait(leader, "req-1").await;
        cluster.run_job(leader, "req-1").await;
        for node in 0..NODES {
            let running = (200, Some(JobStage::Running));
            assert_eq!(cluster.poll(node, "req-1").await, running);
        }
        cluster.state.down.set(true);
        sleep(1.0).await;
        for node in 0..NODES {
            let running = (200, Some(JobStage::Running));
            assert_eq!(cluster.poll(node, "req-1").await, running, "node {node}");
        }
    });
}
