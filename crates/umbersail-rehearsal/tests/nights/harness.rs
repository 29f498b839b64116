//! Nights to be played by tests, and what must hold of each.

use std::sync::atomic::{AtomicUsize, Ordering};

use umbersail_rehearsal::history::{EndReason, Event, EventKind};
use umbersail_rehearsal::{Outcome, Scenario, bundled, run, run_many};
use umbersail_wire::JobStage;

/// Seeds to play: `few` of them, or as many as the variable UMBERSAIL_SEEDS says.
pub fn seeds(few: u64) -> Vec<u64> {
    let wanted = std::env::var("UMBERSAIL_SEEDS").ok();
    let count = wanted.and_then(|n| n.parse().ok()).unwrap_or(few);
    (1..=count).collect()
}

/// The moments at which a trouble begins, in seconds.
pub fn begins_at(events: &[Event], name: &str) -> Vec<f64> {
    let begins = |e: &&Event| matches!(&e.what, EventKind::Fault { fault: trouble, begins: true } if trouble == name);
    events.iter().filter(begins).map(|e| e.t).collect()
}

pub fn night(name: &str) -> Scenario {
    Scenario::parse(name, bundled(name).unwrap()).unwrap()
}

/// The small shop for so many seconds, with failures of its own (TOML).
pub fn shop(length_s: f64, failures: &str) -> Scenario {
    let text = bundled("zone-power-loss-cold-caches").unwrap();
    let head = &text[..text.find("[[failures]]").unwrap()];
    let mut night = Scenario::parse("test", &format!("{head}{failures}")).unwrap();
    night.length_s = length_s;
    night
}

pub fn played(night: &Scenario, seed: u64) -> Outcome {
    run(night, seed, &mut |_, _| {}).unwrap()
}

/// No rule is broken.
pub fn keeps_the_rules(night: &Scenario, seeds: &[u64]) -> Vec<Outcome> {
    let outcomes = run_many(night, seeds, 4).unwrap();
    for outcome in &outcomes {
        let figures = &outcome.figures;
        let seed = outcome.seed;
        assert!(
            figures.breaches.is_empty(),
            "seed {seed}: {:?}",
            figures.breaches[0]
        );
        assert!(figures.accepted > 10, "seed {seed}: {figures:?}");
    }
    outcomes
}

/// No rule is broken, and all that was accepted and not cancelled is done.
pub fn holds(night: &Scenario, seeds: &[u64]) -> Vec<Outcome> {
    let outcomes = keeps_the_rules(night, seeds);
    for outcome in &outcomes {
        let (figures, seed) = (&outcome.figures, outcome.seed);
        assert!(
            figures.done + figures.cancelled >= figures.accepted,
            "seed {seed}: {figures:?}"
        );
    }
    outcomes
}

/// One attempt of a task, from its start to its end on its machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub machine: String,
    pub job: String,
    pub task: u32,
    pub attempt: u64,
    pub from: f64,
    /// Infinite if it did not end.
    pub to: f64,
    pub how: Option<EndReason>,
}

impl Attempt {
    /// The grant under which it was started.
    pub fn grant(&self) -> u64 {
        self.attempt >> 24
    }

    pub fn is_on(&self, machine: &str, t: f64) -> bool {
        self.machine == machine && self.from < t && t < self.to
    }
}

/// All attempts that were started, in order.
pub fn attempts(events: &[Event]) -> Vec<Attempt> {
    let mut all: Vec<Attempt> = Vec::new();
    for event in events {
        match &event.what {
            EventKind::Started {
                machine,
                job,
                task,
                attempt,
            } => all.push(Attempt {
                machine: machine.clone(),
                job: job.clone(),
                task: *task,
                attempt: *attempt,
                from: event.t,
                to: f64::INFINITY,
                how: None,
            }),
            EventKind::Ended {
                machine,
                job,
                task,
                attempt,
                how,
                ..
            } => {
                let its = |a: &&mut Attempt| {
                    a.how.is_none()
                        && a.attempt == *attempt
                        && (&a.machine, &a.job, a.task) == (machine, job, *task)
                };
                if let Some(started) = all.iter_mut().rev().find(its) {
                    (started.to, started.how) = (event.t, Some(*how));
                }
            }
            _ => {}
        }
    }
    all
}

/// Machines that the trouble took: from when, until when, and which.
pub fn struck<'a>(events: &'a [Event], name: &str) -> Vec<(f64, f64, &'a str)> {
    let took = |e: &'a Event| match &e.what {
        EventKind::MachineFaulted {
            machine,
            fault: trouble,
            for_s,
        } if trouble == name => Some((e.t, e.t + for_s, machine.as_str())),
        _ => None,
    };
    events.iter().filter_map(took).collect()
}

/// Nights of a test that are played at once.
const AT_ONCE: usize = 4;

/// Checks each case, several at once.
pub fn each<T: Sync>(cases: &[T], check: impl Fn(&T) + Sync) {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let work = || {
            while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                check(case);
            }
        };
        let workers: Vec<_> = (0..AT_ONCE).map(|_| scope.spawn(work)).collect();
        for worker in workers {
            if let Err(panic) = worker.join() {
                std::panic::resume_unwind(panic);
            }
        }
    });
}

/// One failure of a night file; `more` are further keys (TOML).
pub fn failure(what: &str, at_s: f64, for_s: f64, more: &str) -> String {
    format!("[[failures]]\nwhat = \"{what}\"\nat_s = {at_s:?}\nfor_s = {for_s:?}\n{more}\n")
}

/// Elections so far: when, and of whom.
pub fn elections(events: &[Event]) -> Vec<(f64, &str)> {
    let mut all = Vec::new();
    for event in events {
        if let EventKind::Elected { member } = &event.what {
            all.push((event.t, member.as_str()));
        }
    }
    all
}

/// When the leader elected then had its first task started; infinite if it had none.
pub fn first_start(attempts: &[Attempt], elected: f64) -> f64 {
    let before = attempts.iter().filter(|a| a.from < elected);
    let grant = before.map(Attempt::grant).max().unwrap_or(0);
    let first = attempts.iter().find(|a| a.grant() > grant);
    first.map_or(f64::INFINITY, |a| a.from)
}

/// The member elected last before then.
pub fn leader_at(events: &[Event], t: f64) -> Option<&str> {
    let before = elections(events).into_iter().rev().find(|(at, _)| *at < t);
    before.map(|(_, member)| member)
}

/// The number of the controller that leads a night at this moment if nothing has
/// gone wrong until then.
pub fn leader_number(night: &Scenario, seed: u64, t: f64) -> usize {
    let mut quiet = night.clone();
    quiet.failures.clear();
    (quiet.length_s, quiet.drain_s) = (t, 0.0);
    let events = played(&quiet, seed).events;
    let member = leader_at(&events, t).expect("somebody leads");
    let digits: String = member.chars().filter(char::is_ascii_digit).collect();
    digits.parse().unwrap()
}

/// Cancellations told between these moments while a task of the job was on a machine.
pub fn cancelled_while_running(events: &[Event], from: f64, to: f64) -> Vec<(f64, &str)> {
    let attempts = attempts(events);
    let runs =
        |job: &str, t: f64| (attempts.iter()).any(|a| a.job == job && a.from < t && t < a.to);
    let told = events.iter().filter_map(|e| match &e.what {
        EventKind::CancelAcknowledged {
            job,
            stage: JobStage::Cancelled,
            ..
        } if e.t > from && e.t < to && runs(job, e.t) => Some((e.t, job.as_str())),
        _ => None,
    });
    told.collect()
}

/// From each of these moments to the next election.
pub fn leaderless_s(events: &[Event], ends: &[f64]) -> Vec<f64> {
    let elections = elections(events);
    let wait = |end: &f64| {
        let next = elections.iter().find(|(t, _)| t > end);
        next.map_or(f64::INFINITY, |(t, _)| t - end)
    };
    ends.iter().map(wait).collect()
}
