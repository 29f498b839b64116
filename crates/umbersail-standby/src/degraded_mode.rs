//! Degraded mode: a leader starts tasks without recording them while the state service is
//! unavailable, and every possible successor knows that it may have done so.
//!
//! A leader that cannot write may still start tasks if every other controller has agreed.
//! Its successor then knows of the agreement, or knows that its own process has no
//! information. A process that has restarted has no information and must assume that tasks were
//! started without a record, until the leader itself reports that all starts are recorded.

use std::collections::BTreeSet;

use crate::failure_detector::Time;

/// What one controller knows about the leader's unrecorded starts.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StartsKnowledge {
    /// This process agreed to unrecorded starts at this time, and has not learned since
    /// that all starts are recorded.
    Agreed(Time),
    /// This process has learned that all starts are recorded. The leader cannot make
    /// another unrecorded start unless this process agrees.
    AllRecorded,
}

/// What a controller that may succeed the leader remembers about unrecorded starts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DegradedModeMemory {
    /// Token of the leader that `known` is about.
    token: u64,
    known: Option<StartsKnowledge>,
    /// The first leader's token that this process read from the state service.
    first_token_read: Option<u64>,
}

impl DegradedModeMemory {
    /// This process has read this leader's token from the state service. Every leader that
    /// is elected afterwards needs the agreement of this process for all of its unrecorded
    /// starts. A peer's statement about who leads proves no such thing, as it may be outdated.
    pub fn observe_leader_key(&mut self, token: u64) {
        self.first_token_read.get_or_insert(token);
    }

    /// The leader with this token asks to start tasks without recording them; returns
    /// whether this process agrees. It agrees if the leader is the newest that this process
    /// knows and the state service is unavailable to this process too, since no other leader
    /// can then have been elected. The exception is the former process of this controller,
    /// which may have been elected and may have started tasks; so this process must have read
    /// a leader's token itself first.
    pub fn agree(
        &mut self,
        now: Time,
        token: u64,
        newest: u64,
        state_is_unavailable: bool,
    ) -> bool {
        let has_read_leader = self.first_token_read.is_some_and(|first| first <= token);
        if !state_is_unavailable || token != newest || !has_read_leader {
            return false;
        }
        self.token = token;
        self.known = Some(StartsKnowledge::Agreed(now));
        true
    }

    /// The leader's reply to a message that this process sent at `sent_at`: `open` is whether
    /// the leader may have made unrecorded starts. A reply to a message from before the
    /// agreement of this process proves nothing.
    pub fn on_leader_report(&mut self, sent_at: Time, token: u64, open: bool) {
        // `open` adds no information: the leader cannot make unrecorded starts without the
        // agreement of this process, and a process without information assumes such starts.
        if open || token < self.token {
            return;
        }
        let agreed = match self.known {
            Some(StartsKnowledge::Agreed(at)) if self.token == token => Some(at),
            _ => None,
        };
        if agreed.is_some_and(|at| sent_at <= at) {
            return;
        }
        self.token = token;
        self.known = Some(StartsKnowledge::AllRecorded);
    }

    /// A peer, asked by this process, reports that the leader with this token has recorded
    /// all of its starts. That counts only if the leader is dead, as the former process of
    /// this controller is. A live leader may be requesting agreement at this moment, and may
    /// have the agreement of this process, or of its former process, while the peer has not
    /// agreed yet.
    pub fn on_peer_report(&mut self, token: u64, of_former_self: bool) {
        let agreed = self.token == token && matches!(self.known, Some(StartsKnowledge::Agreed(_)));
        if of_former_self && !agreed && token >= self.token {
            self.token = token;
            self.known = Some(StartsKnowledge::AllRecorded);
        }
    }

    /// This process led with this token until now; `open` is whether it may have left
    /// unrecorded starts.
    pub fn on_own_term_ended(&mut self, now: Time, token: u64, open: bool) {
        self.token = token;
        self.known = Some(if open {
            StartsKnowledge::Agreed(now)
        } else {
            StartsKnowledge::AllRecorded
        });
    }

    /// Token of the leader that is known to have recorded all of its starts. That leader
    /// cannot make an unrecorded start before this process agrees. So once the leader's
    /// process has ended, the new process of the same controller may rely on this token as
    /// on a statement of the leader itself.
    pub fn fully_recorded_token(&self) -> Option<u64> {
        (self.known == Some(StartsKnowledge::AllRecorded)).then_some(self.token)
    }

    /// Whether unrecorded tasks that were started under this token or an older one may be
    /// running. Such tasks are excluded in two cases. Either this process knows that the
    /// leader with this token has recorded all of its starts. Or this process knows that of
    /// an older leader, the leader with this token was elected during the lifetime of this
    /// process, and this process has agreed with neither since.
    ///
    /// That a leader never had the agreement of this process proves nothing about its
    /// predecessor: the election may have been sent before the predecessor requested
    /// agreement, and applied afterwards.
    pub fn may_have_unrecorded_starts(&self, token: u64) -> bool {
        if self.known != Some(StartsKnowledge::AllRecorded) {
            return true;
        }
        self.token != token && self.first_token_read.is_none_or(|first| token <= first)
    }
}

/// The leader's state of degraded mode.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum DegradedMode {
    /// All starts are recorded.
    #[default]
    Off,
    /// Agreement is requested; these peers have agreed so far.
    Requesting(BTreeSet<String>),
    /// Tasks may be started without a record.
    Active,
    /// No further unrecorded starts are made, but some are not recorded yet.
    Draining,
}

impl DegradedMode {
    /// Whether peers must assume unrecorded starts. True also while agreement is requested:
    /// a peer that has agreed must not conclude that all starts are recorded.
    pub fn may_have_unrecorded_starts(&self) -> bool {
        *self != DegradedMode::Off
    }

    /// Whether unrecorded starts are allowed now.
    pub fn allows_unrecorded_starts(&self) -> bool {
        *self == DegradedMode::Active
    }

    /// A peer has agreed. Unrecorded starts are allowed once all `peers` have.
    pub fn on_peer_agreed(&mut self, member: &str, peers: usize) {
        if let DegradedMode::Requesting(agreed) = self {
            agreed.insert(member.to_owned());
            if agreed.len() == peers {
                *self = DegradedMode::Active;
            }
        }
    }

    /// The state service is available again, or the time limit for unrecorded starts has
    /// passed.
    pub fn stop_starts(&mut self) {
        match self {
            DegradedMode::Requesting(_) => *self = DegradedMode::Off,
            DegradedMode::Active => *self = DegradedMode::Draining,
            DegradedMode::Off | DegradedMode::Draining => {}
        }
    }

    /// All starts have been recorded.
    pub fn on_all_recorded(&mut self) {
        if *self == DegradedMode::Draining {
            *self = DegradedMode::Off;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_successor_trusts_the_records_only_after_a_later_report_of_the_leader_itself() {
        // Guards against a successor that starts a task again which its predecessor started
        // without a record. The successor may have restarted, may have received an outdated
        // reply after it agreed, or may have information about another leader only.
        let mut memory = DegradedModeMemory::default();
        assert!(memory.may_have_unrecorded_starts(7));
        memory.on_leader_report(1.0, 7, false);
        assert!(!memory.may_have_unrecorded_starts(7) && memory.may_have_unrecorded_starts(8));
        memory.observe_leader_key(7);
        assert_eq!(memory.fully_recorded_token(), Some(7));
        assert!(
            !memory.agree(2.0, 7, 7, false),
            "the state service is available to this process"
        );
        assert!(!memory.agree(2.0, 7, 8, true), "there is a newer leader");
        assert!(!memory.may_have_unrecorded_starts(7));
        assert!(memory.agree(2.0, 7, 7, true));
        assert!(memory.may_have_unrecorded_starts(7));
        memory.on_leader_report(1.9, 7, false);
        assert!(memory.may_have_unrecorded_starts(7) && memory.fully_recorded_token().is_none());
        memory.on_leader_report(2.5, 7, true);
        memory.on_leader_report(2.6, 6, false);
        assert!(memory.may_have_unrecorded_starts(7));
        memory.on_leader_report(3.0, 7, false);
        assert!(!memory.may_have_unrecorded_starts(7));
    }

    #[test]
    fn a_peer_report_from_before_the_peer_agreed_cancels_no_agreement() {
        // Guards against a peer's report that cancels an agreement: the peer reports that
        // all is recorded, then agrees itself, and the report arrives after both agreements.
        let (mut early, mut late) = (DegradedModeMemory::default(), DegradedModeMemory::default());
        for memory in [&mut early, &mut late] {
            memory.observe_leader_key(7);
            memory.on_leader_report(1.0, 7, false);
        }
        assert!(early.agree(2.0, 7, 7, true));
        let reported = late.fully_recorded_token();
        assert!(late.agree(2.1, 7, 7, true));
        early.on_peer_report(reported.unwrap(), false);
        assert!(early.may_have_unrecorded_starts(7) && early.fully_recorded_token().is_none());
        early.on_peer_report(7, true);
        assert!(
            early.may_have_unrecorded_starts(7),
            "this process has agreed itself"
        );
        // A process that restarted after its predecessor agreed does not know of that.
        let mut restarted = DegradedModeMemory::default();
        restarted.on_peer_report(7, false);
        assert!(restarted.may_have_unrecorded_starts(7));
        // The report counts if the leader was the former process of the same controller,
        // which is dead.
        restarted.on_peer_report(7, true);
        assert!(!restarted.may_have_unrecorded_starts(7));
    }

    #[test]
    fn a_leader_elected_in_this_process_lifetime_has_no_unrecorded_starts_without_agreement() {
        // Guards against starts that are held up after each change of leader until every
        // machine has reported, while controllers cannot reach each other. Also guards
        // against a process that trusts a leader elected before the process started: the
        // former process of the same controller may have agreed with that leader.
        let mut memory = DegradedModeMemory::default();
        memory.observe_leader_key(7);
        memory.observe_leader_key(9);
        assert!(
            memory.may_have_unrecorded_starts(7),
            "the leader may have been elected before this process started"
        );
        memory.on_leader_report(0.5, 7, false);
        assert!(!memory.may_have_unrecorded_starts(9));
        // A leader that is still requesting agreement has made no unrecorded start, although
        // it reports that it may have.
        memory.on_leader_report(0.6, 9, true);
        assert!(!memory.may_have_unrecorded_starts(9));
        assert!(memory.agree(1.0, 9, 9, true));
        assert!(memory.may_have_unrecorded_starts(9));
        memory.on_leader_report(2.0, 11, false);
        assert!(!memory.may_have_unrecorded_starts(11) && !memory.may_have_unrecorded_starts(12));
        memory.on_own_term_ended(3.0, 13, true);
        assert!(memory.may_have_unrecorded_starts(13));
    }

    #[test]
    fn a_process_that_has_read_no_leader_token_does_not_agree() {
        // Guards against a task that is started twice: a process is elected, starts the task
        // and ends. The next process of the same controller learns of the previous leader
        // from a peer, and would agree that the previous leader starts the same task.
        let mut memory = DegradedModeMemory::default();
        memory.on_leader_report(1.0, 7, false);
        assert!(!memory.agree(2.0, 7, 7, true));
        memory.observe_leader_key(8);
        assert!(
            !memory.agree(2.0, 7, 7, true),
            "the leader was replaced before this process read a token"
        );
        assert!(memory.agree(2.0, 8, 8, true));
    }

    #[test]
    fn an_election_that_is_applied_late_does_not_hide_an_earlier_agreement() {
        // Guards against an election that was sent before its sender agreed with the leader,
        // received no reply, and is applied after the leader has made unrecorded starts. No
        // node leads under that election, and its record says that all starts are recorded.
        let mut agreed = DegradedModeMemory::default();
        agreed.observe_leader_key(7);
        agreed.on_leader_report(1.0, 7, false);
        assert!(!agreed.may_have_unrecorded_starts(8));
        assert!(agreed.agree(2.0, 7, 7, true));
        assert!(agreed.may_have_unrecorded_starts(8));
        // A process that restarted after its predecessor agreed.
        let mut restarted = DegradedModeMemory::default();
        restarted.observe_leader_key(7);
        assert!(restarted.may_have_unrecorded_starts(8));
        restarted.on_leader_report(3.0, 8, false);
        assert!(
            !restarted.may_have_unrecorded_starts(8) && !restarted.may_have_unrecorded_starts(9)
        );
    }

    #[test]
    fn degraded_mode_begins_once_all_peers_agree_and_ends_once_all_is_recorded() {
        // Guards against unrecorded starts that a possible successor does not know of.
        let mut degraded_mode = DegradedMode::Requesting(BTreeSet::new());
        degraded_mode.on_peer_agreed("b", 2);
        degraded_mode.on_peer_agreed("b", 2);
        assert!(
            !degraded_mode.allows_unrecorded_starts() && degraded_mode.may_have_unrecorded_starts()
        );
        let mut refused = degraded_mode.clone();
        refused.stop_starts();
        assert_eq!(refused, DegradedMode::Off);
        degraded_mode.on_peer_agreed("c", 2);
        assert!(degraded_mode.allows_unrecorded_starts());
        degraded_mode.on_all_recorded();
        assert!(degraded_mode.allows_unrecorded_starts());
        degraded_mode.stop_starts();
        assert!(
            degraded_mode.may_have_unrecorded_starts() && !degraded_mode.allows_unrecorded_starts()
        );
        degraded_mode.on_all_recorded();
        assert_eq!(degraded_mode, DegradedMode::Off);
    }
}
