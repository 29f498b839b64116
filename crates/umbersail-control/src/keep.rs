//! Answering workers in the leader's stead, so that their tasks live on while
//! the leader can't be reached: nothing is started this way.
//!
//! The leader entrusts its peers with this for a bounded time, as long as it
//! may answer itself, and takes no machine for lapsed before each of them has
//! told that it did not answer it, or can't do so any more (rule 3).

use std::collections::BTreeMap;

use umbersail_runtime::Time;
use umbersail_wire::{KeptMachine, Report};

use crate::engine::epoch;

/// Machines that are remembered at most; no further one is kept.
const KEPT_MOST: usize = 2000;

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
    kept: BTreeMap<String, Kept>,
}

impl Keeper {
    pub fn new(lease_s: f64, keep_s: f64) -> Keeper {
        Keeper {
            lease_s,
            keep_s,
            trust: None,
            kept: BTreeMap::new(),
        }
    }

    /// The leader with this grant entrusts us until then.
    pub fn entrusted(&mut self, revision: u64, until: Time) {
        let newer = self
            .trust
            .is_none_or(|(known, end)| revision > known || (revision == known && until > end));
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
mod tests {
    use super::*;
    use crate::engine::token_of;

    fn report(machine: &str, token: u64) -> Report {
        nth(1, machine, token)
    }

    fn nth(seq: u64, machine: &str, token: u64) -> Report {
        Report {
            machine: machine.into(),
            addr: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: None,
            session: 1,
            seq,
            token,
            notice_s: None,
            tasks: Vec::new(),
        }
    }

    #[test]
    fn a_keeper_answers_under_its_leaders_token_only_and_for_its_time_only() {
        // Guards against tasks kept alive that a successor, or the leader
        // itself, takes for lapsed.
        let mut keeper = Keeper::new(10.0, 100.0);
        let token = token_of(7) + 3;
        assert_eq!(keeper.keeps(0.0, &report("m1", token)), None);
        keeper.entrusted(7, 16.0);
        assert_eq!(keeper.keeps(1.0, &report("m1", token)), Some(token));
        assert_eq!(keeper.keeps(1.0, &report("m2", token_of(6))), None);
        assert_eq!(keeper.keeps(1.0, &report("m2", token_of(8))), None);
        assert_eq!(keeper.keeps(16.0, &report("m1", token)), None);
        // An answer that was under way does not shorten a later word.
        keeper.entrusted(7, 20.0);
        keeper.entrusted(7, 18.0);
        assert!(keeper.keeps(19.0, &nth(2, "m1", token)).is_some());
        keeper.superseded(8);
        assert_eq!(keeper.keeps(19.5, &report("m1", token)), None);
        keeper.entrusted(7, 30.0);
        keeper.superseded(7);
        assert!(keeper.keeps(20.0, &report("m3", token)).is_some());
    }

    #[test]
    fn no_machine_goes_without_word_of_the_leader_for_longer_than_the_time_to_keep() {
        // Guards against a leader that still greets and answers no report in
        // time: the tasks of a cancelled job would live on for ever.
        let mut keeper = Keeper::new(10.0, 16.0);
        let m1 = |seq| nth(seq, "m1", token_of(7));
        for second in 0..16u32 {
            let now = f64::from(second);
            keeper.entrusted(7, now + 16.0);
            assert!(keeper.keeps(now, &m1(u64::from(second) + 1)).is_some());
        }
        assert!(keeper.keeps(16.0, &m1(17)).is_none());
        assert!(keeper.keeps(16.5, &report("m2", token_of(7))).is_some());
        // The leader answered a copy: its worker has heard nothing of that.
        keeper.handed_on(&m1(8));
        assert!(keeper.keeps(16.6, &m1(18)).is_none());
        keeper.handed_on(&m1(19));
        assert!(keeper.keeps(17.0, &m1(20)).is_some());
    }

    #[test]
    fn a_copy_of_what_was_kept_is_not_kept_again() {
        // Guards against copies that hold off the lapse of a machine that is dead.
        let mut keeper = Keeper::new(10.0, 100.0);
        keeper.entrusted(7, 100.0);
        let (first, second) = (nth(1, "m1", token_of(7)), nth(2, "m1", token_of(7)));
        assert!(keeper.keeps(1.0, &first).is_some());
        assert!(keeper.keeps(2.0, &second).is_some());
        assert!(keeper.keeps(8.0, &first).is_none());
        assert!(keeper.keeps(8.0, &second).is_none());
        assert_eq!(keeper.kept(9.0)[0].ago_ms, 7000);
    }

    #[test]
    fn what_was_answered_is_told_for_two_leases() {
        // Guards against a leader that hears of nothing and takes a machine
        // for lapsed which was answered a moment ago.
        let mut keeper = Keeper::new(10.0, 100.0);
        keeper.entrusted(7, 100.0);
        assert!(keeper.keeps(1.0, &report("m1", token_of(7))).is_some());
        let kept = keeper.kept(5.0);
        assert_eq!(kept.len(), 1);
        assert_eq!((kept[0].machine.as_str(), kept[0].ago_ms), ("m1", 4000));
        assert_eq!(keeper.kept(20.0).len(), 1);
        assert!(keeper.kept(21.5).is_empty());
    }
}
