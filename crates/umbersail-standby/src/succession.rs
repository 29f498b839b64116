//! Who shall lead next, and when a leader asks for it itself.

use crate::failure_detector::Time;

/// A follower as the leader knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the controller.
    pub member: String,
    /// It answered us lately, and the state service answers it.
    pub eligible: bool,
    /// It is in another zone than the leader.
    pub in_other_zone: bool,
    /// How long its process has run, seconds.
    pub uptime_s: f64,
    /// How late its timers fire, seconds.
    pub lag_s: f64,
}

/// A node that started within this was restarted in a roll that may still go
/// on, seconds: a roll over five nodes takes about a minute.
const ROLLING_RESTART_S: f64 = 90.0;
/// One that started more recently is still finding its way, seconds.
const MIN_UPTIME_S: f64 = 2.0;

/// The one to lead next.
///
/// In a roll that is a node which has had its restart: one that has not is often
/// the next to go, and the lead would change hands with each. Otherwise one in
/// another zone, that a cut of the leader's zone does not take as well.
pub fn next_leader(candidates: &[Candidate]) -> Option<&Candidate> {
    let rank = |c: &Candidate| {
        let rolled = (MIN_UPTIME_S..ROLLING_RESTART_S).contains(&c.uptime_s);
        let late = (c.lag_s * 4.0) as u64;
        let unsettled = c.uptime_s < MIN_UPTIME_S;
        (unsettled, late, !rolled, !c.in_other_zone)
    };
    candidates
        .iter()
        .filter(|c| c.eligible)
        .min_by(|a, b| rank(a).cmp(&rank(b)).then(a.member.cmp(&b.member)))
}

/// Bounds for a hand-over, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HandoverLimits {
    /// Timers this late on average are too late.
    pub max_lag_s: f64,
    /// No hand-over this soon after the election: a take-over is the busiest
    /// time of all.
    pub min_term_s: f64,
}

/// Whether a leader that computes late does better to let another lead: only if
/// there is one who computes in time, and not soon after its election, so that
/// the lead comes to rest where all are slow.
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

/// How late this process's timers fire: a mean over some two seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimerLag {
    mean_s: f64,
}

/// Weight of the newest of four looks a second.
const LAG_SAMPLE_WEIGHT: f64 = 0.12;

impl TimerLag {
    /// A timer fired this much after it was due, seconds.
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
    fn in_a_roll_the_lead_goes_to_one_that_has_had_its_restart() {
        // Guards against a lead that changes hands with every restart of a roll.
        let roll = [
            candidate("b", true, 600.0, 0.0),
            candidate("c", false, 12.0, 0.0),
            candidate("d", true, 1.0, 0.0),
        ];
        assert_eq!(next(&roll), Some("c"));
        assert_eq!(next(&roll[..1]), Some("b"));
        let quiet = [
            candidate("b", false, 600.0, 0.0),
            candidate("c", true, 500.0, 0.0),
        ];
        assert_eq!(next(&quiet), Some("c"));
        let slow = [
            candidate("b", false, 600.0, 0.0),
            candidate("c", true, 500.0, 2.0),
        ];
        assert_eq!(next(&slow), Some("b"));
        let mut blind = quiet.clone();
        blind.iter_mut().for_each(|c| c.eligible = false);
        assert_eq!(next(&blind), None);
    }

    #[test]
    fn a_slow_leader_hands_over_to_a_quick_one_and_not_where_all_are_slow() {
        // Guards against a lead that goes round and round among slow nodes.
        let limits = HandoverLimits {
            max_lag_s: 0.4,
            min_term_s: 10.0,
        };
        let quick = candidate("b", true, 600.0, 0.01);
        let slow = candidate("b", true, 600.0, 0.3);
        let mut lag = TimerLag::default();
        lag.record_delay(2.0);
        assert!(lag.mean_s() < 0.4, "one late timer is no reason");
        (0..20).for_each(|_| lag.record_delay(2.0));
        let hands = |now, next| should_hand_over(now, 100.0, lag.mean_s(), next, limits);
        assert!(hands(120.0, Some(&quick)));
        assert!(!hands(105.0, Some(&quick)));
        assert!(!hands(120.0, Some(&slow)));
        assert!(!hands(120.0, None));
    }
}
