//! Fault `close-looks`: all controllers are polled for a job within milliseconds, and some
//! receive the job's submission again. This shows whether controllers give different answers.

use std::rc::Rc;

use futures::future::join_all;
use rand::Rng;
use rand::seq::SliceRandom;
use umbersail_runtime::sleep;
use umbersail_wire::{JobSpec, encode, paths};

use crate::history::EventKind;
use crate::users::{Users, stage};

/// Number of requests to each controller per burst.
const ROUNDS: usize = 3;
/// Time from one request to the next, in seconds.
const GAP_S: std::ops::RangeInclusive<f64> = 0.001..=0.02;
/// Share of the requests that repeat the submission instead of polling.
const REPEAT_SHARE: f64 = 0.3;
/// Timeouts of a poll and of a submission, in seconds (PROTOCOL).
const POLL_TIMEOUT_S: f64 = 2.0;
const SUBMIT_TIMEOUT_S: f64 = 5.0;

impl Users {
    /// Sends the burst for a job, `after_s` seconds from now: in each round one request to every
    /// controller in random order, without waiting for replies in between.
    pub(crate) async fn query_all_controllers(self: Rc<Self>, job: String, after_s: f64) {
        let Some(spec) = self.spec_of(&job) else {
            return;
        };
        let mut requests = Vec::new();
        let mut after_s = after_s;
        for _ in 0..ROUNDS {
            let mut order: Vec<usize> = (0..self.nodes().len()).collect();
            self.faults.draw_random(|rng| order.shuffle(rng));
            for node in order {
                let repeats = self.faults.draw_random(|rng| rng.random_bool(REPEAT_SHARE));
                requests.push(self.send_after(after_s, node, &spec, repeats));
                after_s += self.faults.draw_random(|rng| rng.random_range(GAP_S));
            }
        }
        join_all(requests).await;
    }

    async fn send_after(&self, after_s: f64, node: usize, spec: &JobSpec, repeats: bool) {
        sleep(after_s).await;
        match repeats {
            true => self.repeat_at(node, spec).await,
            false => self.poll_at(node, &spec.id).await,
        }
    }

    async fn poll_at(&self, node: usize, job: &str) {
        let target = format!("{}/{job}", paths::JOBS);
        let exchange = self
            .send_to(node, "GET", &target, b"", POLL_TIMEOUT_S)
            .await;
        // Other results are not recorded: if one controller does not answer, the user polls
        // another one, so this does not count as silence.
        if let Some(exchange) =
            exchange.filter(|exchange| matches!(exchange.answer.status, 200 | 404))
        {
            self.record(EventKind::Polled {
                job: job.into(),
                status: exchange.answer.status,
                stage: stage(&exchange.answer),
                question: Some(exchange.question),
            });
        }
    }

    /// Submits the job again at this controller and records the reply.
    pub(crate) async fn repeat_at(&self, node: usize, spec: &JobSpec) {
        let body = encode(spec);
        let exchange = self
            .send_to(node, "POST", paths::JOBS, &body, SUBMIT_TIMEOUT_S)
            .await;
        if let Some(exchange) = exchange {
            self.note_repeated(&spec.id, &exchange);
        }
    }
}
