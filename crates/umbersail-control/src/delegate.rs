//! The lease-renewal delegate: renews workers' leases, so that their tasks live on while
//! the leader can't be reached: nothing is started this way.
//!
//! The leader delegates this to its peers for a bounded time, as long as it
//! may answer itself, and takes no machine for lapsed before each of them has
//! told that it did not answer it, or can't do so any more (rule 3).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use umbersail_runtime::Time;
use umbersail_wire::{Command, Heartbeat, RenewedMachine, TaskState};

use crate::engine::{epoch, split_task};

/// Upper bound on tracked renewals, in machines; reports of further machines are not
/// answered. Twice a fleet of 4,000 machines, some 100 bytes each.
const MAX_RENEWALS: usize = 8192;
/// Upper bound on jobs known to be over, in jobs. Above it the leader's newest list
/// replaces the earlier ones, which only matter until the leader has told of the same
/// jobs again.
const MAX_FINISHED_JOBS: usize = 16_384;

/// When a machine was answered in the leader's stead.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    /// For the first time since the leader last answered it through us.
    first_since_leader: Option<Time>,
    last_at: Time,
    /// (session, count) of the newest report that we answered in its stead: a
    /// copy of it, or of one before, says nothing and gets no answer.
    order: (u64, u64),
}

/// Renews workers' leases under the leader's token, within the time delegated to it.
#[derive(Debug)]
pub(crate) struct Delegate {
    lease_s: f64,
    /// No machine goes without word of the leader for longer: a cancellation
    /// would not reach it.
    renewal_s: f64,
    /// The revision of the leader's grant, and until when on our clock.
    delegation: Option<(u64, Time)>,
    /// Jobs that are over, as the leader told with its delegation: whoever is answered in
    /// its stead is told to stop them, as the leader would tell it (rule 2).
    finished_jobs: BTreeSet<String>,
    renewals: BTreeMap<Rc<str>, Renewal>,
    /// Every renewal with its time, the oldest first, so that expiry costs what has
    /// expired and not the size of the fleet.
    expiry: VecDeque<(Time, Rc<str>)>,
}

impl Delegate {
    pub fn new(lease_s: f64, renewal_s: f64) -> Delegate {
        Delegate {
            lease_s,
            renewal_s,
            delegation: None,
            finished_jobs: BTreeSet::new(),
            renewals: BTreeMap::new(),
            expiry: VecDeque::new(),
        }
    }

    /// The leader with this grant delegates to us until then, and knows these jobs to be
    /// over of which tasks may still be about.
    pub fn on_delegation(&mut self, revision: u64, until: Time, finished_jobs: &[String]) {
        let newer = self
            .delegation
            .is_none_or(|(known, end)| revision > known || (revision == known && until > end));
        // What is over stays so: an older word adds to a newer one.
        if newer && self.finished_jobs.len() + finished_jobs.len() > MAX_FINISHED_JOBS {
            self.finished_jobs.clear();
        }
        self.finished_jobs.extend(finished_jobs.iter().cloned());
        if newer {
            self.delegation = Some((revision, until));
        }
    }

    /// A grant with this revision exists: an older leader's word is over.
    pub fn on_newer_leader(&mut self, revision: u64) {
        if self.delegation.is_some_and(|(known, _)| known < revision) {
            self.delegation = None;
        }
    }

    /// The token with which this report may be answered in the leader's stead.
    /// Only workers that have shown the leader's token are answered: to it all
    /// others still belong to an earlier holder.
    pub fn renew(&mut self, now: Time, report: &Heartbeat) -> Option<u64> {
        let (revision, until) = self.delegation?;
        if now >= until || epoch(report.token) != revision {
            return None;
        }
        self.expire(now);
        let name = self.track(now, &report.machine)?;
        let renewal = self.renewals.get_mut(&name)?;
        if report.ordering_key() <= renewal.order {
            return None;
        }
        renewal.order = report.ordering_key();
        if now - *renewal.first_since_leader.get_or_insert(now) >= self.renewal_s {
            return None;
        }
        renewal.last_at = now;
        self.expiry.push_back((now, name));
        Some(report.token)
    }

    /// The tracked name of a machine, entered if it is new; none beyond the bound.
    fn track(&mut self, now: Time, machine: &str) -> Option<Rc<str>> {
        if let Some((name, _)) = self.renewals.get_key_value(machine) {
            return Some(name.clone());
        }
        if self.renewals.len() >= MAX_RENEWALS {
            return None;
        }
        let name: Rc<str> = machine.into();
        let renewal = Renewal {
            first_since_leader: None,
            last_at: now,
            order: (0, 0),
        };
        self.renewals.insert(name.clone(), renewal);
        self.expiry.push_back((now, name.clone()));
        Some(name)
    }

    /// What a worker answered in the leader's stead is told: to stop tasks of jobs that
    /// are over, by the leader's word or by what `ended` knows. Stopping what is over
    /// harms nothing; that it is told with every answer is what lets a cancellation
    /// get through however long the leader itself reaches nobody (rule 2).
    pub fn stop_commands(&self, report: &Heartbeat, ended: impl Fn(&str) -> bool) -> Vec<Command> {
        let is_finished = |task: &str| {
            split_task(task).is_some_and(|(id, _)| self.finished_jobs.contains(id) || ended(id))
        };
        let active = (report.tasks.iter()).filter(|entry| entry.state != TaskState::Exited);
        active
            .filter(|entry| is_finished(&entry.task))
            .map(|entry| Command::stop(entry, 0.0))
            .collect()
    }

    /// The leader has answered this report through us. One from before what we
    /// renewed the machine on, late or a copy, brings its worker no word: whoever
    /// waited for that answer has given up.
    pub fn on_relayed_reply(&mut self, report: &Heartbeat) {
        if let Some(renewal) = self.renewals.get_mut(report.machine.as_str())
            && report.ordering_key() > renewal.order
        {
            renewal.first_since_leader = None;
        }
    }

    /// Machines answered within the last two leases: who was answered longer
    /// ago has lapsed, or was answered by somebody else since.
    pub fn recent_renewals(&mut self, now: Time) -> Vec<RenewedMachine> {
        self.expire(now);
        let renewals = self.renewals.iter();
        renewals
            .map(|(machine, renewal)| RenewedMachine {
                machine: machine.to_string(),
                reply_ago_ms: ((now - renewal.last_at).max(0.0) * 1000.0) as u64,
            })
            .collect()
    }

    /// Drops machines whose last renewal is two leases ago.
    fn expire(&mut self, now: Time) {
        let max_age_s = 2.0 * self.lease_s;
        while let Some((at, name)) = self.expiry.front()
            && now - at >= max_age_s
        {
            let is_last = |renewal: &Renewal| renewal.last_at <= *at;
            if self.renewals.get(name).is_some_and(is_last) {
                self.renewals.remove(name);
            }
            self.expiry.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
