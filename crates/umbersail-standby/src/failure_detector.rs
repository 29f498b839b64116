//! The failure detector: when a follower replaces a leader that has not resigned.

use std::collections::VecDeque;

/// Seconds on this process's steady clock.
pub type Time = f64;

/// Changes of leader that lengthen a follower's timeouts, and for how long, seconds.
const MAX_TRACKED_CHANGES: usize = 5;
const CHANGE_WINDOW_S: Time = 30.0;

/// What speaks against the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// It gave no answer in time, or refused a connection. It may be busy, the
    /// network slow, or a filter between nodes.
    Unresponsive,
    /// It closed a connection that was open, as the end of a process does.
    ConnectionClosed,
    /// Another process answers in its place: the one that was elected has ended.
    ProcessReplaced,
    /// It says itself that another shall lead.
    Resigned,
}

/// Timeouts of a failure detector, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectorTimeouts {
    /// Between two followers that are not the one who was named.
    pub stagger_s: f64,
    /// How long a question at the state service waits for the answer of a leader
    /// that has closed its connections.
    pub probe_timeout_s: f64,
    /// The same for one that is silent: it may only be busy.
    pub unresponsive_probe_timeout_s: f64,
    /// Silence soon after an election is no evidence: a leader is never busier.
    pub post_election_grace_s: f64,
    /// A question whose round took longer than that and this says nothing: the
    /// state service itself is slow, or we are.
    pub probe_slack_s: f64,
    /// A leader that has answered is not asked again for this long.
    pub probe_backoff_s: f64,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DetectorStep {
    /// Nothing speaks against the leader.
    Idle,
    /// Others go first.
    WaitUntil(Time),
    /// Ask it through the state service, which both reach if it may lead at all.
    ProbeLeader,
    /// Replace its key at this version.
    ReplaceLeader(u64),
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
    observed_at: Time,
    /// When the newest leaders were first heard of, the last one last.
    leader_changes: VecDeque<Time>,
    evidence: Option<(Evidence, Time)>,
    no_probe_before: Time,
}

impl FailureDetector {
    /// A detector that suspects nobody.
    pub fn new(timeouts: DetectorTimeouts) -> FailureDetector {
        FailureDetector {
            timeouts,
            token: 0,
            observed_at: f64::MIN,
            leader_changes: VecDeque::new(),
            evidence: None,
            no_probe_before: f64::MIN,
        }
    }

    /// This key is the leader's now; suspicion of another is void.
    pub fn observe_leader(&mut self, now: Time, token: u64) {
        if token > self.token {
            self.token = token;
            self.observed_at = now;
            self.leader_changes.push_back(now);
            if self.leader_changes.len() > MAX_TRACKED_CHANGES {
                self.leader_changes.pop_front();
            }
            self.evidence = None;
            self.no_probe_before = f64::MIN;
        }
    }

    /// Something speaks against the leader with this token. True if that is new.
    pub fn suspect(&mut self, now: Time, token: u64, evidence: Evidence) -> bool {
        if token != self.token || token == 0 {
            return false;
        }
        if evidence == Evidence::Unresponsive
            && now - self.observed_at < self.timeouts.post_election_grace_s
        {
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
    pub fn on_probe_reply(&mut self, now: Time, token: u64) {
        if token == self.token {
            self.evidence = None;
            self.no_probe_before = now + self.timeouts.probe_backoff_s;
        }
    }

    /// A question was put at `asked` and there was no answer at `now`: whether
    /// that counts against the leader. Only a round through a state service that
    /// kept to its time does.
    pub fn probe_timed_out(&self, asked: Time, now: Time) -> bool {
        let took = now - asked;
        let probe_timeout_s = self.probe_timeout_s(asked);
        took >= probe_timeout_s * 0.9 && took <= probe_timeout_s + self.timeouts.probe_slack_s
    }

    /// How long a question that is put now waits for an answer, seconds. Twice as
    /// long with each change of leader but one within the last half minute: where
    /// all are slow the lead comes to rest, while one that ends soon after another
    /// is still replaced.
    pub fn probe_timeout_s(&self, now: Time) -> f64 {
        let once = match self.evidence {
            Some((Evidence::Unresponsive, _)) => self.timeouts.unresponsive_probe_timeout_s,
            _ => self.timeouts.probe_timeout_s,
        };
        let recent = self
            .leader_changes
            .iter()
            .filter(|at| now - **at < CHANGE_WINDOW_S);
        let doublings = recent.count().saturating_sub(1);
        once * f64::powi(2.0, doublings as i32)
    }

    /// What to do now. `rank` is 0 for the one whom the leader named, and counts
    /// on from 1 for the others.
    pub fn next_step(&self, now: Time, rank: usize) -> DetectorStep {
        let Some((evidence, since)) = self.evidence else {
            return DetectorStep::Idle;
        };
        let turn = since + rank as f64 * self.timeouts.stagger_s;
        if now < turn {
            return DetectorStep::WaitUntil(turn);
        }
        match evidence {
            Evidence::Unresponsive | Evidence::ConnectionClosed if now < self.no_probe_before => {
                DetectorStep::WaitUntil(self.no_probe_before)
            }
            Evidence::Unresponsive | Evidence::ConnectionClosed => DetectorStep::ProbeLeader,
            Evidence::ProcessReplaced | Evidence::Resigned => {
                DetectorStep::ReplaceLeader(self.token)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn failure_detector() -> FailureDetector {
        let mut detector = FailureDetector::new(DetectorTimeouts {
            stagger_s: 0.4,
            probe_timeout_s: 0.5,
            unresponsive_probe_timeout_s: 1.0,
            post_election_grace_s: 6.0,
            probe_slack_s: 0.4,
            probe_backoff_s: 5.0,
        });
        detector.observe_leader(0.0, 7);
        detector
    }

    #[test]
    fn a_leader_that_answers_by_another_way_keeps_the_lead() {
        // Guards against a lead that changes hands while connections between
        // controllers are refused and the leader is well.
        let mut detector = failure_detector();
        assert_eq!(detector.next_step(0.0, 0), DetectorStep::Idle);
        assert!(detector.suspect(1.0, 7, Evidence::ConnectionClosed));
        assert!(!detector.suspect(1.1, 7, Evidence::ConnectionClosed));
        assert_eq!(detector.next_step(1.1, 0), DetectorStep::ProbeLeader);
        assert_eq!(detector.next_step(1.1, 2), DetectorStep::WaitUntil(1.8));
        detector.on_probe_reply(1.3, 7);
        assert_eq!(detector.next_step(1.3, 0), DetectorStep::Idle);
        detector.suspect(1.4, 7, Evidence::ConnectionClosed);
        assert_eq!(detector.next_step(1.4, 0), DetectorStep::WaitUntil(6.3));
        assert_eq!(detector.next_step(6.3, 0), DetectorStep::ProbeLeader);
        // Its own word needs no question, not even within that time.
        assert!(detector.suspect(2.0, 7, Evidence::Resigned));
        assert_eq!(detector.next_step(2.0, 0), DetectorStep::ReplaceLeader(7));
        detector.clear_suspicion(7);
        assert_eq!(detector.next_step(2.0, 0), DetectorStep::Idle);
    }

    #[test]
    fn a_slow_state_service_or_a_freeze_of_our_own_proves_nothing() {
        // Guards against a follower that stood still, wakes, and takes the lead
        // from a healthy leader for the answers that it missed.
        let mut detector = failure_detector();
        assert!(detector.probe_timed_out(1.0, 1.55));
        assert!(!detector.probe_timed_out(1.0, 1.2));
        assert!(!detector.probe_timed_out(1.0, 9.0));
        // Nor does the silence of a leader that has just been elected.
        assert!(!detector.suspect(5.0, 7, Evidence::Unresponsive));
        assert!(detector.suspect(7.0, 7, Evidence::Unresponsive));
        assert!(!detector.probe_timed_out(7.0, 7.55) && detector.probe_timed_out(7.0, 8.1));
    }

    #[test]
    fn the_lead_comes_to_rest_where_every_leader_is_slow() {
        // Guards against slow controllers that refuse each other's connections and
        // replace one another every few seconds; and against a second end soon
        // after a first that nobody notices.
        let mut detector = failure_detector();
        detector.suspect(1.0, 7, Evidence::ConnectionClosed);
        assert_eq!(detector.probe_timeout_s(1.0), 0.5);
        detector.observe_leader(1.5, 9);
        detector.suspect(4.0, 9, Evidence::ConnectionClosed);
        assert_eq!(
            (detector.next_step(4.0, 0), detector.probe_timeout_s(4.0)),
            (DetectorStep::ProbeLeader, 1.0)
        );
        detector.observe_leader(5.5, 11);
        detector.observe_leader(12.0, 13);
        detector.suspect(20.0, 13, Evidence::Unresponsive);
        assert_eq!(detector.probe_timeout_s(20.0), 8.0);
        assert!(!detector.probe_timed_out(20.0, 22.0));
        assert_eq!(detector.probe_timeout_s(50.0), 1.0);
    }

    #[test]
    fn what_was_held_against_a_former_leader_is_void() {
        // Guards against two nodes that play ping-pong.
        let mut detector = failure_detector();
        detector.suspect(1.0, 7, Evidence::ProcessReplaced);
        detector.observe_leader(1.5, 9);
        assert_eq!(detector.next_step(2.0, 0), DetectorStep::Idle);
        assert!(!detector.suspect(2.0, 7, Evidence::ProcessReplaced));
        detector.observe_leader(2.0, 7);
        assert!(detector.suspect(2.0, 9, Evidence::ProcessReplaced));
        assert_eq!(detector.next_step(2.0, 0), DetectorStep::ReplaceLeader(9));
    }
}
