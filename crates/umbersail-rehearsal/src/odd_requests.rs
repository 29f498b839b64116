//! Fault `odd-requests`: repeated submissions with the same or with different content,
//! cancellations of completed jobs, and submissions that no controller may accept.

use std::rc::Rc;

use rand::Rng;
use rand::seq::IndexedRandom;
use umbersail_runtime::sleep;
use umbersail_wire::{JobSpec, Value, decode, encode, paths};

use crate::history::EventKind;
use crate::users::Users;

/// Pause between two requests, in seconds.
const PAUSE_S: std::ops::RangeInclusive<f64> = 0.05..=0.25;
/// Timeout of a request, in seconds (PROTOCOL).
const REPLY_TIMEOUT_S: f64 = 5.0;
/// Range of the numbers in the ids of invalid submissions: ten digits, beginning with 9. No
/// regular job of a scenario has such an id.
const INVALID_FROM: u64 = 9_000_000_000;
const INVALID_TO: u64 = 9_999_999_999;
/// A valid amount that is larger than any machine or quota.
const ABOVE_ALL_LIMITS: f64 = 1e6;
/// An amount that is too large to be valid.
const TOO_LARGE: f64 = 1e300;

/// Fields that a submission must have (PROTOCOL: all fields that must not be null).
pub const REQUIRED_FIELDS: [&str; 17] = [
    "id", "recipe", "crew", "cut", "urgency", "portions", "cores", "gpus", "mem_gb", "kit",
    "size_gb", "together", "spread", "borrowed", "cook_s", "stir_s", "bottle_s",
];
/// Fields that contain an amount or a count.
const AMOUNTS: [&str; 8] = [
    "portions", "cores", "gpus", "mem_gb", "size_gb", "cook_s", "stir_s", "bottle_s",
];

/// A submission that must not be accepted.
#[derive(Debug, Clone)]
pub struct InvalidSubmission {
    /// Describes what is invalid.
    pub defect: String,
    /// The status that a controller must answer with.
    pub wanted: u16,
    /// The encoded request body.
    pub body: Vec<u8>,
}

fn set_field(body: &mut Value, field: &str, value: Value) {
    if let Value::Map(fields) = body {
        fields.retain(|(key, _)| key.as_str() != Some(field));
        fields.push((field.into(), value));
    }
}

fn remove_field(body: &mut Value, field: &str) {
    if let Value::Map(fields) = body {
        fields.retain(|(key, _)| key.as_str() != Some(field));
    }
}

/// Returns all kinds of invalid submissions, each derived from a valid one.
pub fn invalid_submissions(spec: &JobSpec) -> Vec<InvalidSubmission> {
    let plain = JobSpec {
        gpus: Some(spec.gpus()),
        one_zone: Some(false),
        spread: Some(false),
        ..spec.clone()
    };
    let valid: Value = decode(&encode(&plain)).unwrap_or(Value::Nil);
    let mut all = Vec::new();
    let mut add = |defect: String, wanted: u16, change: &dyn Fn(&mut Value)| {
        let mut body = valid.clone();
        change(&mut body);
        let body = encode(&body);
        all.push(InvalidSubmission {
            defect,
            wanted,
            body,
        });
    };
    for field in REQUIRED_FIELDS {
        add(format!("no {field}"), 400, &|b| remove_field(b, field));
        let wrong_type = Value::Array(vec![]);
        add(format!("{field} is a list"), 400, &|b| {
            set_field(b, field, wrong_type.clone())
        });
    }
    for field in AMOUNTS {
        add(format!("{field} is negative"), 400, &|b| {
            set_field(b, field, Value::from(-1))
        });
        add(format!("{field} is absurd"), 400, &|b| {
            set_field(b, field, Value::from(TOO_LARGE))
        });
        add(format!("{field} is no number"), 400, &|b| {
            set_field(b, field, Value::from(f64::NAN))
        });
    }
    add("no task".into(), 400, &|b| {
        set_field(b, "portions", Value::from(0))
    });
    add("too many tasks".into(), 400, &|b| {
        set_field(b, "portions", Value::from(100_001))
    });
    add("an id of another form".into(), 400, &|b| {
        set_field(b, "id", Value::from("job 7"))
    });
    add("an unknown kind".into(), 400, &|b| {
        set_field(b, "cut", Value::from("odd"))
    });
    add("an unknown priority".into(), 400, &|b| {
        set_field(b, "urgency", Value::from("odd"))
    });
    add("a list".into(), 400, &|b| {
        *b = Value::Array(vec![Value::from(1)])
    });
    add("nothing at all".into(), 400, &|b| *b = Value::Nil);
    add("an unknown team".into(), 422, &|b| {
        set_field(b, "crew", Value::from("nobody"))
    });
    let unknown_type = Value::Array(vec![Value::from("no such type")]);
    add("an unknown machine type".into(), 422, &|b| {
        set_field(b, "breeds", unknown_type.clone())
    });
    add("no machine type".into(), 422, &|b| {
        set_field(b, "breeds", Value::Array(vec![]))
    });
    add("an unknown zone".into(), 422, &|b| {
        set_field(b, "field", Value::from("nowhere"))
    });
    for field in ["cores", "gpus", "mem_gb"] {
        add(format!("too large in {field}"), 422, &|b| {
            set_field(b, field, Value::from(ABOVE_ALL_LIMITS))
        });
    }
    all
}

impl Users {
    /// Sends odd requests of all kinds to each controller in turn, while the fault is active.
    pub(crate) async fn send_odd_requests(self: Rc<Self>) {
        let (mut count, mut defect) = (0, 0);
        while self.faults.sends_odd_requests.get() {
            let node = count % self.nodes().len();
            // Each defect is sent to all controllers before the next one.
            let is_last = node + 1 == self.nodes().len();
            match (count / self.nodes().len()) % 6 {
                0 => self.repeat_submission(node, false).await,
                1 => self.repeat_submission(node, true).await,
                2 => self.cancel_done(node).await,
                _ => {
                    self.submit_invalid(node, defect).await;
                    defect += usize::from(is_last);
                }
            }
            count += 1;
            let pause = self.faults.draw_random(|rng| rng.random_range(PAUSE_S));
            sleep(pause).await;
        }
    }

    /// Repeats the submission of a random unfinished job, unchanged or with different content.
    async fn repeat_submission(&self, node: usize, changed: bool) {
        let job = self.faults.any_unfinished();
        let Some(spec) = job.and_then(|job| self.spec_of(&job)) else {
            return;
        };
        if !changed {
            return self.repeat_at(node, &spec).await;
        }
        let id = spec.id.clone();
        let bodies = invalid_submissions(&spec);
        let has_same_id = |i: &&InvalidSubmission| {
            decode::<umbersail_wire::JobIdOnly>(&i.body).is_ok_and(|only| only.id == id)
        };
        let bodies: Vec<&InvalidSubmission> = bodies.iter().filter(has_same_id).collect();
        let Some(chosen) = self.faults.draw_random(|rng| bodies.choose(rng).copied()) else {
            return;
        };
        let exchange = self.send_to(node, "POST", paths::JOBS, &chosen.body, REPLY_TIMEOUT_S);
        if let Some(exchange) = exchange.await {
            self.note_repeated(&id, &exchange);
        }
    }

    /// Cancels a completed job. The reply must say that the job is done.
    async fn cancel_done(&self, node: usize) {
        let Some(job) = self.faults.any_done() else {
            return;
        };
        let target = format!("{}/{job}/{}", paths::JOBS, paths::CANCEL);
        if let Some(exchange) = self
            .send_to(node, "POST", &target, b"", REPLY_TIMEOUT_S)
            .await
        {
            self.note_cancel_answer(&job, &exchange);
        }
    }

    /// Sends an invalid submission and records the reply; status 0 means that none arrived.
    async fn submit_invalid(&self, node: usize, defect: usize) {
        let Some(mut spec) = self.any_spec() else {
            return;
        };
        let number = self
            .faults
            .draw_random(|rng| rng.random_range(INVALID_FROM..=INVALID_TO));
        spec.id = format!("req-{number}");
        let all = invalid_submissions(&spec);
        let invalid = all[defect % all.len()].clone();
        let sent_s = self.fleet().history.now_s();
        let exchange = self
            .send_to(node, "POST", paths::JOBS, &invalid.body, REPLY_TIMEOUT_S)
            .await;
        self.record(EventKind::InvalidSubmission {
            job: spec.id,
            defect: invalid.defect,
            wanted: invalid.wanted,
            status: exchange
                .as_ref()
                .map_or(0, |exchange| exchange.answer.status),
            says_why: exchange
                .as_ref()
                .is_some_and(|exchange| !exchange.answer.body.is_empty()),
            node,
            sent_s,
        });
    }
}
