//! Close looks: a job is asked about at all controllers within milliseconds, and its
//! submission is repeated there.

use std::rc::Rc;

use futures::future::join_all;
use rand::Rng;
use rand::seq::SliceRandom;
use umbersail_runtime::sleep;
use umbersail_wire::{JobSpec, encode, paths};

use crate::history::What;
use crate::users::{Users, stage};

/// Every controller is asked so many times.
const ROUNDS: usize = 3;
/// From one question to the next, in seconds.
const GAP_S: std::ops::RangeInclusive<f64> = 0.001..=0.02;
/// This share of the questions is a repeated submission.
const REPEAT_SHARE: f64 = 0.3;
/// Users wait so long for an answer to a poll, and to a submission (PROTOCOL).
const POLL_TIMEOUT_S: f64 = 2.0;
const SUBMIT_TIMEOUT_S: f64 = 5.0;

impl Users {
    /// Asks all controllers, in an order of its own each round, and waits for no answer
    /// before the next question.
    pub(crate) async fn query_all_controllers(self: Rc<Self>, job: String, after_s: f64) {
        let Some(spec) = self.spec_of(&job) else {
            return;
        };
        let mut questions = Vec::new();
        let mut after_s = after_s;
        for _ in 0..ROUNDS {
            let mut order: Vec<usize> = (0..self.nodes().len()).collect();
            self.faults.draw_random(|rng| order.shuffle(rng));
            for node in order {
                let repeats = self.faults.draw_random(|rng| rng.random_bool(REPEAT_SHARE));
                questions.push(self.ask_after(after_s, node, &spec, repeats));
                after_s += self.faults.draw_random(|rng| rng.random_range(GAP_S));
            }
        }
        join_all(questions).await;
    }

    async fn ask_after(&self, after_s: f64, node: usize, spec: &JobSpec, repeats: bool) {
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
        // That one controller does not answer is no silence: its user asks elsewhere.
        if let Some(exchange) =
            exchange.filter(|exchange| matches!(exchange.answer.status, 200 | 404))
        {
            self.record(What::Polled {
                job: job.into(),
                status: exchange.answer.status,
                stage: stage(&exchange.answer),
                question: Some(exchange.question),
            });
        }
    }

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
