//! Succession: which follower leads next, and when a leader hands over on its own.

use crate::failure_detector::Time;

/// What the leader knows about a follower.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the controller.
    pub member: String,
    /// The follower replied to the leader recently and can reach the state service.
    pub eligible: bool,
    /// The follower is in another zone than the leader.
    pub in_other_zone: bool,
    /// How long the follower's process has run, in seconds.
    pub uptime_s: f64,
    /// Mean delay with which the follower's timers fire, in seconds.
    pub lag_s: f64,
}

/// A node whose uptime is below this, in seconds, was restarted in a rolling restart that
/// may still be in progress: a rolling restart of five nodes takes about a minute.
const ROLLING_RESTART_S: f64 = 90.0;
/// A node whose uptime is below this, in seconds, is still initialising.
const MIN_UPTIME_S: f64 = 2.0;

/// Chooses the follower that should lead next.
///
/// During a rolling restart this is a node that has already been restarted: a node that has
/// not is often the next to be restarted, and then every restart would change the leader.
/// Otherwise a node in another zone is preferred, because a network partition of the
/// leader's zone does not affect it.
pub fn next_leader(candidates: &[Candidate]) -> Option<&Candidate> {
    let rank = |c: &Candidate| {
        let recently_restarted = (MIN_UPTIME_S..ROLLING_RESTART_S).contains(&c.uptime_s);
        let lag_quarter_seconds = (c.lag_s * 4.0) as u64;
        let initialising = c.uptime_s < MIN_UPTIME_S;
        (
            initialising,
            lag_quarter_seconds,
            !recently_restarted,
            !c.in_other_zone,
        )
    };
    candidates
        .iter()
        .filter(|c| c.eligible)
        .min_by(|a, b| rank(a).cmp(&rank(b)).then(a.member.cmp(&b.member)))
}

/// Limits that govern a voluntary handover, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HandoverLimits {
    /// A leader whose mean timer lag exceeds this is overloaded.
    pub max_lag_s: f64,
    /// No handover within this time after the election, since a leader has the most work
    /// right after it takes over.
    pub min_term_s: f64,
}

/// Whether an overloaded leader should hand over. It should only if the next leader's timers
/// fire on time, and not soon after the election, so that leadership does not keep moving
/// where all nodes are slow.
pub fn should_hand_over(
    now: Time,
    elected: Time,
    lag_s: f64,
    next: Option<&Candidate>,
    limits: HandoverLimits,
) -> bool {
    now - elected >= limits.min_term_s
        && lag_s > limits.max_lag_s
        && next.is_some_and(|c| c.lag_s < limits.max_lag_s / 4.0 && c.uptime_s >= MIN_UPTIME_S)
}

/// Delay with which this process's timers fire, as an exponential moving average over about
/// two seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimerLag {
    mean_s: f64,
}

/// Weight of the newest sample, at four samples per second.
const LAG_SAMPLE_WEIGHT: f64 = 0.12;

impl TimerLag {
    /// Adds a sample: a timer fired this many seconds after it was due.
    pub fn record_delay(&mut self, late_s: f64) {
        self.mean_s += LAG_SAMPLE_WEIGHT * (late_s.max(0.0) - self.mean_s);
    }

    /// Mean lag in seconds.
    pub fn mean_s(&self) -> f64 {
        self.mean_s
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(member: &str, in_other_zone: bool, uptime_s: f64, lag_s: f64) -> Candidate {
        Candidate {
            member: member.into(),
            eligible: true,
            in_other_zone,
            uptime_s,
            lag_s,
        }
    }

    fn next(candidates: &[Candidate]) -> Option<&str> {
        next_leader(candidates).map(|c| c.member.as_str())
    }

    #[test]
    fn during_a_rolling_restart_an_already_restarted_node_leads_next() {
        // Guards against a change of leader with every restart of a rolling restart.
        let rolling_restart = [
            candidate("b", true, 600.0, 0.0),
            candidate("c", false, 12.0, 0.0),
            candidate("d", true, 1.0, 0.0),
        ];
        assert_eq!(next(&rolling_restart), Some("c"));
        assert_eq!(next(&rolling_restart[..1]), Some("b"));
        let stable = [
            candidate("b", false, 600.0, 0.0),
            candidate("c", true, 500.0, 0.0),
        ];
        assert_eq!(next(&stable), Some("c"));
        let slow = [
            candidate("b", false, 600.0, 0.0),
            candidate("c", true, 500.0, 2.0),
        ];
        assert_eq!(next(&slow), Some("b"));
        let mut ineligible = stable.clone();
        ineligible.iter_mut().for_each(|c| c.eligible = false);
        assert_eq!(next(&ineligible), None);
    }

    #[test]
    fn a_slow_leader_hands_over_to_a_fast_node_but_not_where_all_are_slow() {
        // Guards against leadership that keeps moving among slow nodes.
        let limits = HandoverLimits {
            max_lag_s: 0.4,
            min_term_s: 10.0,
        };
        let fast = candidate("b", true, 600.0, 0.01);
        let slow = candidate("b", true, 600.0, 0.3);
        let mut lag = TimerLag::default();
        lag.record_delay(2.0);
        assert!(
            lag.mean_s() < 0.4,
            "a single late timer must not cause a handover"
        );
        (0..20).for_each(|_| lag.record_delay(2.0));
        let hands_over = |now, next| should_hand_over(now, 100.0, lag.mean_s(), next, limits);
        assert!(hands_over(120.0, Some(&fast)));
        assert!(!hands_over(105.0, Some(&fast)));
        assert!(!hands_over(120.0, Some(&slow)));
        assert!(!hands_over(120.0, None));
    }
}
