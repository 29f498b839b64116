//! Answering workers in the leader's stead, so that their tasks live on while
//! the leader can't be reached: nothing is started this way.
//!
//! The leader entrusts its peers with this for a bounded time, as long as it
//! may answer itself, and takes no machine for lapsed before each of them has
//! told that it did not answer it, or can't do so any more (rule 3).

use std::collections::{BTreeMap, BTreeSet};

use umbersail_runtime::Time;
use umbersail_wire::{Command, KeptMachine, Report, TaskState};

use crate::engine::{epoch, split_task};

/// Machines that are remembered at most; no further one is kept.
const KEPT_MOST: usize = 2000;
/// Jobs that are over which are remembered at most beside the leader's newest word on
/// them: they change with every cancellation, and old ones are of no use.
const OVER_MOST: usize = 4096;

/// When a machine was answered in the leader's stead.
#[derive(Debug, Clone, Copy)]
struct Kept {
    /// For the first time since the leader last answered it through us.
    first: Option<Time>,
    last: Time,
    /// (session, count) of the newest report that we answered in its stead: a
    /// copy of it, or of one before, says nothing and gets no answer.
    order: (u64, u64),
}

/// What one node may answer in its leader's stead, and did.
#[derive(Debug)]
pub(crate) struct Keeper {
    lease_s: f64,
    /// No machine goes without word of the leader for longer: a cancellation
    /// would not reach it.
    keep_s: f64,
    /// The revision of the leader's grant, and until when on our clock.
    trust: Option<(u64, Time)>,
    /// Jobs that are over, as the leader told with its trust: whoever is answered in
    /// its stead is told to stop them, as the leader would tell it (rule 2).
    over: BTreeSet<String>,
    kept: BTreeMap<String, Kept>,
}

impl Keeper {
    pub fn new(lease_s: f64, keep_s: f64) -> Keeper {
        Keeper {
            lease_s,
            keep_s,
            trust: None,
            over: BTreeSet::new(),
            kept: BTreeMap::new(),
        }
    }

    /// The leader with this grant entrusts us until then, and knows these jobs to be
    /// over of which tasks may still be about.
    pub fn entrusted(&mut self, revision: u64, until: Time, over: &[String]) {
        let newer = self
            .trust
            .is_none_or(|(known, end)| revision > known || (revision == known && until > end));
        // What is over stays so: an older word adds to a newer one.
        if newer && self.over.len() + over.len() > OVER_MOST {
            self.over.clear();
        }
        self.over.extend(over.iter().cloned());
        if newer {
            self.trust = Some((revision, until));
        }
    }

    /// A grant with this revision exists: an older leader's word is over.
    pub fn superseded(&mut self, revision: u64) {
        if self.trust.is_some_and(|(known, _)| known < revision) {
            self.trust = None;
        }
    }

    /// The token with which this report may be answered in the leader's stead.
    /// Only workers that have shown the leader's token are answered: to it all
    /// others still belong to an earlier holder.
    pub fn keeps(&mut self, now: Time, report: &Report) -> Option<u64> {
        let (revision, until) = self.trust?;
        if now >= until || epoch(report.token) != revision {
            return None;
        }
        self.forget(now);
        if self.kept.len() >= KEPT_MOST && !self.kept.contains_key(&report.machine) {
            return None;
        }
        let kept = self.kept.entry(report.machine.clone()).or_insert(Kept {
            first: None,
            last: now,
            order: (0, 0),
        });
        if report.order() <= kept.order {
            return None;
        }
        kept.order = report.order();
        if now - *kept.first.get_or_insert(now) >= self.keep_s {
            return None;
        }
        kept.last = now;
        Some(report.token)
    }

    /// What a worker answered in the leader's stead is told: to stop tasks of jobs that
    /// are over, by the leader's word or by what `ended` knows. Stopping what is over
    /// harms nothing; that it is told with every answer is what lets a cancellation
    /// get through however long the leader itself reaches nobody (rule 2).
    pub fn stops(&self, report: &Report, ended: impl Fn(&str) -> bool) -> Vec<Command> {
        let over = |task: &str| {
            split_task(task).is_some_and(|(id, _)| self.over.contains(id) || ended(id))
        };
        let active = (report.tasks.iter()).filter(|entry| entry.state != TaskState::Exited);
        active
            .filter(|entry| over(&entry.task))
            .map(|entry| Command::stop(entry, 0.0))
            .collect()
    }

    /// The leader has answered this report through us. One from before what we
    /// kept the machine on, late or a copy, brings its worker no word: whoever
    /// waited for that answer has given up.
    pub fn handed_on(&mut self, report: &Report) {
        if let Some(kept) = self.kept.get_mut(&report.machine)
            && report.order() > kept.order
        {
            kept.first = None;
        }
    }

    /// Machines answered within the last two leases: who was answered longer
    /// ago has lapsed, or was answered by somebody else since.
    pub fn kept(&mut self, now: Time) -> Vec<KeptMachine> {
        self.forget(now);
        let kept = self.kept.iter();
        kept.map(|(machine, kept)| KeptMachine {
            machine: machine.clone(),
            ago_ms: ((now - kept.last).max(0.0) * 1000.0) as u64,
        })
        .collect()
    }

    fn forget(&mut self, now: Time) {
        let most_s = 2.0 * self.lease_s;
        self.kept.retain(|_, kept| now - kept.last < most_s);
    }
}

#[cfg(test)]
mod tests;
