//! The failure detector: when a follower replaces a leader that has not resigned.

use std::collections::VecDeque;

/// Seconds on this process's steady clock.
pub type Time = f64;

/// Changes of leader that lengthen a follower's timeouts, and for how long, seconds.
const CHANGES_MOST: usize = 5;
const CHANGES_S: Time = 30.0;

/// What speaks against the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// It gave no answer in time, or refused a connection. It may be busy, the
    /// network slow, or a filter between nodes.
    Silent,
    /// It closed a connection that was open, as the end of a process does.
    Closed,
    /// Another process answers in its place: the one that was elected has ended.
    Replaced,
    /// It says itself that another shall lead.
    Resigned,
}

/// Timeouts of a failure detector, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectorTimeouts {
    /// Between two followers that are not the one who was named.
    pub rank_s: f64,
    /// How long a question at the state service waits for the answer of a leader
    /// that has closed its connections.
    pub answer_s: f64,
    /// The same for one that is silent: it may only be busy.
    pub silent_answer_s: f64,
    /// Silence soon after an election is no evidence: a leader is never busier.
    pub settle_s: f64,
    /// A question whose round took longer than that and this says nothing: the
    /// state service itself is slow, or we are.
    pub slack_s: f64,
    /// A leader that has answered is not asked again for this long.
    pub cleared_s: f64,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DetectorStep {
    /// Nothing speaks against the leader.
    Rest,
    /// Others go first.
    Wait(Time),
    /// Ask it through the state service, which both reach if it may lead at all.
    Ask,
    /// Replace its key at this version.
    Replace(u64),
}

/// One follower's suspicion of its leader.
///
/// A false suspicion breaks no rule: the key is replaced at its version, so one
/// node at most succeeds a leader, and a leader that is replaced has all its
/// writes refused (rule 1). It costs a change of leader, though; so evidence that
/// a filter or a slow network could give is checked through the state service.
#[derive(Debug)]
pub struct FailureDetector {
    timeouts: DetectorTimeouts,
    /// The version of the leader's key.
    token: u64,
    heard_at: Time,
    /// When the newest leaders were first heard of, the last one last.
    changes: VecDeque<Time>,
    evidence: Option<(Evidence, Time)>,
    cleared_until: Time,
}

impl FailureDetector {
    /// A detector that suspects nobody.
    pub fn new(timeouts: DetectorTimeouts) -> FailureDetector {
        FailureDetector {
            timeouts,
            token: 0,
            heard_at: f64::MIN,
            changes: VecDeque::new(),
            evidence: None,
            cleared_until: f64::MIN,
        }
    }

    /// This key is the leader's now; suspicion of another is void.
    pub fn leader(&mut self, now: Time, token: u64) {
        if token > self.token {
            self.token = token;
            self.heard_at = now;
            self.changes.push_back(now);
            if self.changes.len() > CHANGES_MOST {
                self.changes.pop_front();
            }
            self.evidence = None;
            self.cleared_until = f64::MIN;
        }
    }

    /// Something speaks against the leader with this token. True if that is new.
    pub fn suspect(&mut self, now: Time, token: u64, evidence: Evidence) -> bool {
        if token != self.token || token == 0 {
            return false;
        }
        if evidence == Evidence::Silent && now - self.heard_at < self.timeouts.settle_s {
            return false;
        }
        match self.evidence {
            Some((known, _)) if known >= evidence => false,
            Some((_, since)) => {
                self.evidence = Some((evidence, since));
                true
            }
            None => {
                self.evidence = Some((evidence, now));
                true
            }
        }
    }

    /// The leader has answered us, and leads.
    pub fn clear_suspicion(&mut self, token: u64) {
        if token == self.token {
            self.evidence = None;
        }
    }

    /// The leader has answered a question through the state service: only we
    /// can't reach it.
    pub fn answered(&mut self, now: Time, token: u64) {
        if token == self.token {
            self.evidence = None;
            self.cleared_until = now + self.timeouts.cleared_s;
        }
    }

    /// A question was put at `asked` and there was no answer at `now`: whether
    /// that counts against the leader. Only a round through a state service that
    /// kept to its time does.
    pub fn unanswered(&self, asked: Time, now: Time) -> bool {
        let took = now - asked;
        let answer_s = self.answer_s(asked);
        took >= answer_s * 0.9 && took <= answer_s + self.timeouts.slack_s
    }

    /// How long a question that is put now waits for an answer, seconds. Twice as
    /// long with each change of leader but one within the last half minute: where
    /// all are slow the lead comes to rest, while one that ends soon after another
    /// is still replaced.
    pub fn answer_s(&self, now: Time) -> f64 {
        let once = match self.evidence {
            Some((Evidence::Silent, _)) => self.timeouts.silent_answer_s,
            _ => self.timeouts.answer_s,
        };
        let recent = self.changes.iter().filter(|at| now - **at < CHANGES_S);
        let doublings = recent.count().saturating_sub(1);
        once * f64::powi(2.0, doublings as i32)
    }

    /// What to do now. `rank` is 0 for the one whom the leader named, and counts
    /// on from 1 for the others.
    pub fn step(&self, now: Time, rank: usize) -> DetectorStep {
        let Some((evidence, since)) = self.evidence else {
            return DetectorStep::Rest;
        };
        let turn = since + rank as f64 * self.timeouts.rank_s;
        if now < turn {
            return DetectorStep::Wait(turn);
        }
        match evidence {
            Evidence::Silent | Evidence::Closed if now < self.cleared_until => {
                DetectorStep::Wait(self.cleared_until)
            }
            Evidence::Silent | Evidence::Closed => DetectorStep::Ask,
            Evidence::Replaced | Evidence::Resigned => DetectorStep::Replace(self.token),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn failure_detector() -> FailureDetector {
        let mut failure_detector = FailureDetector::new(DetectorTimeouts {
            rank_s: 0.4,
            answer_s: 0.5,
            silent_answer_s: 1.0,
            settle_s: 6.0,
            slack_s: 0.4,
            cleared_s: 5.0,
        });
        failure_detector.leader(0.0, 7);
        failure_detector
    }

    #[test]
    fn a_leader_that_answers_by_another_way_keeps_the_lead() {
        // Guards against a lead that changes hands while connections between
        // controllers are refused and the leader is well.
        let mut w = failure_detector();
        assert_eq!(w.step(0.0, 0), DetectorStep::Rest);
        assert!(w.suspect(1.0, 7, Evidence::Closed));
        assert!(!w.suspect(1.1, 7, Evidence::Closed));
        assert_eq!(w.step(1.1, 0), DetectorStep::Ask);
        assert_eq!(w.step(1.1, 2), DetectorStep::Wait(1.8));
        w.answered(1.3, 7);
        assert_eq!(w.step(1.3, 0), DetectorStep::Rest);
        w.suspect(1.4, 7, Evidence::Closed);
        assert_eq!(w.step(1.4, 0), DetectorStep::Wait(6.3));
        assert_eq!(w.step(6.3, 0), DetectorStep::Ask);
        // Its own word needs no question, not even within that time.
        assert!(w.suspect(2.0, 7, Evidence::Resigned));
        assert_eq!(w.step(2.0, 0), DetectorStep::Replace(7));
        w.clear_suspicion(7);
        assert_eq!(w.step(2.0, 0), DetectorStep::Rest);
    }

    #[test]
    fn a_slow_state_service_or_a_freeze_of_our_own_proves_nothing() {
        // Guards against a follower that stood still, wakes, and takes the lead
        // from a healthy leader for the answers that it missed.
        let mut w = failure_detector();
        assert!(w.unanswered(1.0, 1.55));
        assert!(!w.unanswered(1.0, 1.2));
        assert!(!w.unanswered(1.0, 9.0));
        // Nor does the silence of a leader that has just been elected.
        assert!(!w.suspect(5.0, 7, Evidence::Silent));
        assert!(w.suspect(7.0, 7, Evidence::Silent));
        assert!(!w.unanswered(7.0, 7.55) && w.unanswered(7.0, 8.1));
    }

    #[test]
    fn the_lead_comes_to_rest_where_every_leader_is_slow() {
        // Guards against slow controllers that refuse each other's connections and
        // replace one another every few seconds; and against a second end soon
        // after a first that nobody notices.
        let mut w = failure_detector();
        w.suspect(1.0, 7, Evidence::Closed);
        assert_eq!(w.answer_s(1.0), 0.5);
        w.leader(1.5, 9);
        w.suspect(4.0, 9, Evidence::Closed);
        assert_eq!((w.step(4.0, 0), w.answer_s(4.0)), (DetectorStep::Ask, 1.0));
        w.leader(5.5, 11);
        w.leader(12.0, 13);
        w.suspect(20.0, 13, Evidence::Silent);
        assert_eq!(w.answer_s(20.0), 8.0);
        assert!(!w.unanswered(20.0, 22.0));
        assert_eq!(w.answer_s(50.0), 1.0);
    }

    #[test]
    fn what_was_held_against_a_former_leader_is_void() {
        // Guards against two nodes that play ping-pong.
        let mut w = failure_detector();
        w.suspect(1.0, 7, Evidence::Replaced);
        w.leader(1.5, 9);
        assert_eq!(w.step(2.0, 0), DetectorStep::Rest);
        assert!(!w.suspect(2.0, 7, Evidence::Replaced));
        w.leader(2.0, 7);
        assert!(w.suspect(2.0, 9, Evidence::Replaced));
        assert_eq!(w.step(2.0, 0), DetectorStep::Replace(9));
    }
}
