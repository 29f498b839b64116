//! The failure detector: decides when a follower replaces the leader.

use std::collections::VecDeque;

/// Seconds on this process's monotonic clock.
pub type Time = f64;

/// Number of leader changes that are tracked to lengthen the probe timeout.
const MAX_TRACKED_CHANGES: usize = 5;
/// How long a leader change lengthens the probe timeout, in seconds.
const CHANGE_WINDOW_S: Time = 30.0;

/// Evidence that the leader has failed, from the weakest to the strongest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The leader did not reply in time, or refused a connection. The leader may be busy,
    /// the network slow, or a packet filter may separate the nodes.
    Unresponsive,
    /// The leader closed an open connection, which also happens when its process ends.
    ConnectionClosed,
    /// Another process replies at the leader's address: the elected process has ended.
    ProcessReplaced,
    /// The leader itself asked for another node to lead.
    Resigned,
}

/// Timeouts of a failure detector, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectorTimeouts {
    /// Delay between the attempts of successive followers. The follower that the leader
    /// designated as its successor does not wait.
    pub stagger_s: f64,
    /// How long a probe through the state service waits for a reply from a leader that has
    /// closed its connections.
    pub probe_timeout_s: f64,
    /// The same for an unresponsive leader, which may only be busy.
    pub unresponsive_probe_timeout_s: f64,
    /// For this long after an election a missing reply is not evidence, since a leader is
    /// busiest then.
    pub post_election_grace_s: f64,
    /// A probe that took longer than its timeout plus this proves nothing: the state
    /// service or this process is slow.
    pub probe_slack_s: f64,
    /// A leader that has replied to a probe is not probed again for this long.
    pub probe_backoff_s: f64,
}

/// What the follower should do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DetectorStep {
    /// There is no evidence against the leader.
    Idle,
    /// Wait until this time: other followers act first, or the leader has replied to a
    /// probe recently.
    WaitUntil(Time),
    /// Probe the leader through the state service, which a leader that may act can reach.
    ProbeLeader,
    /// Replace the leader's key, provided that it still has this version.
    ReplaceLeader(u64),
}

/// One follower's suspicion that its leader has failed.
///
/// A false suspicion is safe: the leader's key is replaced only at the expected version, so
/// at most one node succeeds a leader, and all writes of a replaced leader are refused
/// (rule 1 of `docs/design.md`). But a false suspicion costs a change of leader. Evidence that
/// a packet filter or a slow network could cause is therefore checked by a probe through the
/// state service.
#[derive(Debug)]
pub struct FailureDetector {
    timeouts: DetectorTimeouts,
    /// The version of the leader's key, by which the leader is identified.
    token: u64,
    /// When this leader was first observed.
    observed_at: Time,
    /// When the most recent leaders were first observed, oldest first.
    leader_changes: VecDeque<Time>,
    /// The strongest evidence against this leader, and when the first evidence was observed.
    evidence: Option<(Evidence, Time)>,
    no_probe_before: Time,
}

impl FailureDetector {
    /// Creates a detector that knows no leader.
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

    /// Observes the token of the current leader. A newer token discards all evidence against
    /// earlier leaders.
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

    /// Adds evidence against the leader with this token. Returns true if the evidence is
    /// stronger than what was known.
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

    /// Discards the evidence: the leader with this token has replied directly and still leads.
    pub fn clear_suspicion(&mut self, token: u64) {
        if token == self.token {
            self.evidence = None;
        }
    }

    /// The leader has replied to a probe through the state service: it is alive, but this
    /// node cannot reach it directly.
    pub fn on_probe_reply(&mut self, now: Time, token: u64) {
        if token == self.token {
            self.evidence = None;
            self.no_probe_before = now + self.timeouts.probe_backoff_s;
        }
    }

    /// Whether a probe that was sent at `sent_at` and had no reply at `now` proves that the
    /// leader has failed. It does only if the wait ended close to the timeout: a much longer
    /// wait means that the state service or this process is slow.
    pub fn probe_timed_out(&self, sent_at: Time, now: Time) -> bool {
        let elapsed_s = now - sent_at;
        let probe_timeout_s = self.probe_timeout_s(sent_at);
        elapsed_s >= probe_timeout_s * 0.9
            && elapsed_s <= probe_timeout_s + self.timeouts.probe_slack_s
    }

    /// How long a probe that is sent now waits for a reply, in seconds. The timeout doubles
    /// with each leader change within the last 30 seconds except one. So leadership stops
    /// moving where all nodes are slow, while a leader that ends soon after its predecessor
    /// is still replaced.
    pub fn probe_timeout_s(&self, now: Time) -> f64 {
        let base_s = match self.evidence {
            Some((Evidence::Unresponsive, _)) => self.timeouts.unresponsive_probe_timeout_s,
            _ => self.timeouts.probe_timeout_s,
        };
        let recent = self
            .leader_changes
            .iter()
            .filter(|at| now - **at < CHANGE_WINDOW_S);
        let doublings = recent.count().saturating_sub(1);
        base_s * f64::powi(2.0, doublings as i32)
    }

    /// What to do now. `rank` is 0 for the follower that the leader designated as its
    /// successor, and 1, 2, ... for the others.
    pub fn next_step(&self, now: Time, rank: usize) -> DetectorStep {
        let Some((evidence, since)) = self.evidence else {
            return DetectorStep::Idle;
        };
        let turn_at = since + rank as f64 * self.timeouts.stagger_s;
        if now < turn_at {
            return DetectorStep::WaitUntil(turn_at);
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
    fn a_leader_that_replies_through_the_state_service_is_not_replaced() {
        // Guards against replacing a healthy leader while connections between controllers
        // are refused.
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
        // A resignation needs no probe and takes effect even during the probe backoff.
        assert!(detector.suspect(2.0, 7, Evidence::Resigned));
        assert_eq!(detector.next_step(2.0, 0), DetectorStep::ReplaceLeader(7));
        detector.clear_suspicion(7);
        assert_eq!(detector.next_step(2.0, 0), DetectorStep::Idle);
    }

    #[test]
    fn a_slow_state_service_or_a_pause_of_this_process_proves_nothing() {
        // Guards against replacing a healthy leader after this follower's process was
        // paused and so missed the leader's replies.
        let mut detector = failure_detector();
        assert!(detector.probe_timed_out(1.0, 1.55));
        assert!(!detector.probe_timed_out(1.0, 1.2));
        assert!(!detector.probe_timed_out(1.0, 9.0));
        // A missing reply of a leader that has just been elected proves nothing either.
        assert!(!detector.suspect(5.0, 7, Evidence::Unresponsive));
        assert!(detector.suspect(7.0, 7, Evidence::Unresponsive));
        assert!(!detector.probe_timed_out(7.0, 7.55) && detector.probe_timed_out(7.0, 8.1));
    }

    #[test]
    fn probe_timeouts_double_with_each_recent_leader_change() {
        // Guards against slow controllers that refuse each other's connections and replace
        // one another every few seconds, and against not noticing that a leader ended soon
        // after its predecessor.
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
    fn evidence_against_a_former_leader_is_discarded() {
        // Guards against two nodes that replace each other in turn.
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
