//! The lease-renewal delegate: a peer of the leader that renews workers' leases, so that
//! their tasks continue while workers cannot reach the leader. A delegate starts no tasks.
//!
//! The leader delegates lease renewal to its peers for a limited time, which ends no later
//! than the time until which the leader itself may renew leases. The leader treats no
//! machine's lease as expired before each delegate has reported that it did not renew the
//! lease, or cannot renew leases any more (rule 3 of `docs/design.md`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use umbersail_runtime::Time;
use umbersail_wire::{Command, Heartbeat, RenewedMachine, TaskState};

use crate::command_batch::CommandBatch;
use crate::engine::{epoch, split_task};

/// Upper bound on machines whose renewals are tracked; the leases of further machines are
/// not renewed. Twice a fleet of 4,000 machines, at about 100 bytes each.
const MAX_RENEWALS: usize = 8192;
/// Upper bound on known finished jobs. Above this bound the leader's newest list replaces the
/// earlier lists, which matter only until the leader has listed the same jobs again.
const MAX_FINISHED_JOBS: usize = 16_384;

/// The renewals of one machine's lease by this delegate.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    /// The first renewal since the leader last replied to the machine through this node.
    first_since_leader: Option<Time>,
    /// The last renewal.
    last_at: Time,
    /// (session, sequence number) of the newest heartbeat for which this delegate renewed the
    /// lease. A duplicate of this heartbeat or an older one proves nothing and gets no reply.
    order: (u64, u64),
}

/// Renews workers' leases with the leader's token, for as long as the leader has delegated.
#[derive(Debug)]
pub(crate) struct Delegate {
    lease_s: f64,
    /// Longest time for which a machine's lease is renewed without a reply of the leader:
    /// beyond that time a cancellation would not reach the machine.
    renewal_s: f64,
    /// The revision of the leader's grant, and the end of the delegation on this process's
    /// clock.
    delegation: Option<(u64, Time)>,
    /// Finished jobs, as listed by the leader with its delegation. Workers whose leases are
    /// renewed are told to stop the tasks of these jobs, as the leader would do (rule 2).
    finished_jobs: BTreeSet<String>,
    renewals: BTreeMap<Rc<str>, Renewal>,
    /// Times of all renewals, oldest first, so that the cost of expiry depends on the number
    /// of expired entries and not on the size of the fleet.
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

    /// The leader with this grant delegates lease renewal to this node until `until`.
    /// `finished_jobs` are finished jobs of which tasks may still be running.
    pub fn on_delegation(&mut self, revision: u64, until: Time, finished_jobs: &[String]) {
        let is_newer = self
            .delegation
            .is_none_or(|(known, end)| revision > known || (revision == known && until > end));
        // A finished job stays finished, so an older message adds to a newer one.
        if is_newer && self.finished_jobs.len() + finished_jobs.len() > MAX_FINISHED_JOBS {
            self.finished_jobs.clear();
        }
        self.finished_jobs.extend(finished_jobs.iter().cloned());
        if is_newer {
            self.delegation = Some((revision, until));
        }
    }

    /// A grant with this revision exists: the delegation of an older leader ends.
    pub fn on_newer_leader(&mut self, revision: u64) {
        if self.delegation.is_some_and(|(known, _)| known < revision) {
            self.delegation = None;
        }
    }

    /// Renews the lease of the machine that sent this heartbeat, and returns the token for
    /// the reply; `None` if the lease may not be renewed. Renews only leases of machines that
    /// have shown the leader's token, since to the leader all other machines still belong to
    /// an earlier leader.
    pub fn renew(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<u64> {
        let (revision, until) = self.delegation?;
        if now >= until || epoch(heartbeat.token) != revision {
            return None;
        }
        self.expire(now);
        let name = self.track(now, &heartbeat.machine)?;
        let renewal = self.renewals.get_mut(&name)?;
        if heartbeat.ordering_key() <= renewal.order {
            return None;
        }
        renewal.order = heartbeat.ordering_key();
        if now - *renewal.first_since_leader.get_or_insert(now) >= self.renewal_s {
            return None;
        }
        renewal.last_at = now;
        self.expiry.push_back((now, name));
        Some(heartbeat.token)
    }

    /// Returns the tracked name of a machine, and begins to track a new machine. Returns
    /// `None` if the bound on tracked machines is reached.
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

    /// Commands for a worker whose lease this delegate renews: stop the tasks of finished
    /// jobs, as listed by the leader or known by `ended`. Stopping tasks of finished jobs is
    /// always safe. Because every reply repeats these commands, a cancellation reaches the
    /// workers however long the leader itself can reach none (rule 2).
    pub fn stop_commands(
        &self,
        heartbeat: &Heartbeat,
        ended: impl Fn(&str) -> bool,
    ) -> Vec<Command> {
        let is_finished = |task: &str| {
            split_task(task).is_some_and(|(id, _)| self.finished_jobs.contains(id) || ended(id))
        };
        let active = (heartbeat.tasks.iter()).filter(|entry| entry.state != TaskState::Exited);
        let stops: CommandBatch = active
            .filter(|entry| is_finished(&entry.task))
            .map(|entry| Command::stop(entry, 0.0))
            .collect();
        stops.into_commands()
    }

    /// The leader has replied to this heartbeat through this node. A heartbeat that is not
    /// newer than the one on which this delegate last renewed the lease, because it is late
    /// or a duplicate, does not count: the worker no longer waits for that reply.
    pub fn on_relayed_reply(&mut self, heartbeat: &Heartbeat) {
        if let Some(renewal) = self.renewals.get_mut(heartbeat.machine.as_str())
            && heartbeat.ordering_key() > renewal.order
        {
            renewal.first_since_leader = None;
        }
    }

    /// Machines whose leases this delegate renewed within the last two lease times. The lease
    /// of a machine that was renewed earlier has expired, or another node has renewed it
    /// since.
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

    /// Removes machines whose last renewal is two lease times ago.
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
