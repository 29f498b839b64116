//! Starts without a record while the state service is out, and who must know of it.
//!
//! A holder that can't write may still start tasks if every other controller has
//! agreed that it does: whoever succeeds it then knows, or knows that it does not
//! know. A process that has lost its memory was told nothing and takes the worst
//! for granted, until the holder itself tells it otherwise.

use std::collections::BTreeSet;

use crate::failure_detector::Time;

/// What one controller knows of the holder's starts without a record.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StartsKnowledge {
    /// It agreed at this time, and has not been told since that all is recorded.
    Agreed(Time),
    /// The holder has told this process that all is recorded. It can't start
    /// anything without a record again unless this process agrees.
    AllRecorded,
}

/// The memory of a controller that may succeed the holder.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DegradedModeMemory {
    /// The holder's token.
    token: u64,
    known: Option<StartsKnowledge>,
    /// The first holder's token that this process read at the state service.
    first_token_read: Option<u64>,
}

impl DegradedModeMemory {
    /// The state service shows this holder's token, read by this process. Whoever
    /// is elected after that needs this process's agreement, from its first moment
    /// on. A peer's word on who holds is no such proof: it may be old.
    pub fn observe_leader_key(&mut self, token: u64) {
        self.first_token_read.get_or_insert(token);
    }

    /// The holder with this token asks to start tasks without a record. Agreed if
    /// it is the newest we know of and the state service answers us no more than
    /// it: then no other can have been elected either. Our own former process can, and
    /// may have started tasks; so this one must have read a holder itself first.
    pub fn agree(&mut self, now: Time, token: u64, newest: u64, state_is_out: bool) -> bool {
        let read = self.first_token_read.is_some_and(|first| first <= token);
        if !state_is_out || token != newest || !read {
            return false;
        }
        self.token = token;
        self.known = Some(StartsKnowledge::Agreed(now));
        true
    }

    /// The holder's answer to a question that we asked at `asked`: whether it
    /// may have started anything that is not recorded. An answer to an older
    /// question than our own word says nothing.
    pub fn on_leader_report(&mut self, asked: Time, token: u64, open: bool) {
        // That it may be open is no news: it can't be without our agreement, and
        // a process that does not know takes it for open anyway.
        if open || token < self.token {
            return;
        }
        let agreed = match self.known {
            Some(StartsKnowledge::Agreed(at)) if self.token == token => Some(at),
            _ => None,
        };
        if agreed.is_some_and(|at| asked <= at) {
            return;
        }
        self.token = token;
        self.known = Some(StartsKnowledge::AllRecorded);
    }

    /// A peer that was asked by this process knows the holder with this token to have
    /// recorded all that it started. That is worth something only if the holder is
    /// dead, as our own former process is: a holder that lives may be asking just now,
    /// and have our agreement, or that of the process before us, while the peer's is
    /// still to come.
    pub fn on_peer_report(&mut self, token: u64, of_former_self: bool) {
        let agreed = self.token == token && matches!(self.known, Some(StartsKnowledge::Agreed(_)));
        if of_former_self && !agreed && token >= self.token {
            self.token = token;
            self.known = Some(StartsKnowledge::AllRecorded);
        }
    }

    /// We held this token until now ourselves, and whether we left anything that
    /// is not recorded.
    pub fn on_own_term_ended(&mut self, now: Time, token: u64, open: bool) {
        self.token = token;
        self.known = Some(if open {
            StartsKnowledge::Agreed(now)
        } else {
            StartsKnowledge::AllRecorded
        });
    }

    /// The holder that we know to have recorded all that it started, by its token. It
    /// can't start anything without a record before we agree, so for the process that
    /// succeeds the holder's at its place our word is as good as the holder's own.
    pub fn fully_recorded_token(&self) -> Option<u64> {
        (self.known == Some(StartsKnowledge::AllRecorded)).then_some(self.token)
    }

    /// Whether tasks may run that were started under this token or an older one and
    /// that no record tells of. They may, unless the holder has told this process that
    /// all is recorded; or an older one has, this one was elected in this process's time,
    /// and neither had its agreement since.
    ///
    /// That a holder never had our agreement says nothing of the one before it: its
    /// election may have been sent before that one asked, and carried out after.
    pub fn may_have_unrecorded_starts(&self, token: u64) -> bool {
        if self.known != Some(StartsKnowledge::AllRecorded) {
            return true;
        }
        self.token != token && self.first_token_read.is_none_or(|first| token <= first)
    }
}

/// The holder's side.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum DegradedMode {
    /// All that was started is recorded.
    #[default]
    Off,
    /// These have agreed so far.
    Requesting(BTreeSet<String>),
    /// Tasks are started without a record.
    Active,
    /// No more, but some are not recorded yet.
    Draining,
}

impl DegradedMode {
    /// What others are told: whether something may have been started that is not
    /// recorded. Also while they are asked: who agreed must not take it for closed.
    pub fn may_have_unrecorded_starts(&self) -> bool {
        *self != DegradedMode::Off
    }

    /// Whether unrecorded starts are allowed now.
    pub fn allows_unrecorded_starts(&self) -> bool {
        *self == DegradedMode::Active
    }

    /// A peer has agreed. Once all of them have, tasks may be started.
    pub fn on_peer_agreed(&mut self, member: &str, peers: usize) {
        if let DegradedMode::Requesting(agreed) = self {
            agreed.insert(member.to_owned());
            if agreed.len() == peers {
                *self = DegradedMode::Active;
            }
        }
    }

    /// The state service answers again, or the time to start is over.
    pub fn stop_starts(&mut self) {
        match self {
            DegradedMode::Requesting(_) => *self = DegradedMode::Off,
            DegradedMode::Active => *self = DegradedMode::Draining,
            DegradedMode::Off | DegradedMode::Draining => {}
        }
    }

    /// All that was started is recorded.
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
    fn only_the_holders_own_later_word_lets_a_successor_trust_the_records() {
        // Guards against a successor that starts what its predecessor started
        // without a record: one that lost its memory, one whose agreement was
        // overtaken by an older answer, one that knows of another holder only.
        let mut memory = DegradedModeMemory::default();
        assert!(memory.may_have_unrecorded_starts(7));
        memory.on_leader_report(1.0, 7, false);
        assert!(!memory.may_have_unrecorded_starts(7) && memory.may_have_unrecorded_starts(8));
        memory.observe_leader_key(7);
        assert_eq!(memory.fully_recorded_token(), Some(7));
        assert!(
            !memory.agree(2.0, 7, 7, false),
            "the state service answers us"
        );
        assert!(!memory.agree(2.0, 7, 8, true), "another leads");
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
    fn a_peers_word_from_before_its_own_agreement_undoes_none_of_ours() {
        // Guards against two peers that talk each other out of what both agreed to: one
        // asks between the two agreements, and the other's answer is of before its own.
        let (mut early, mut late) = (DegradedModeMemory::default(), DegradedModeMemory::default());
        for memory in [&mut early, &mut late] {
            memory.observe_leader_key(7);
            memory.on_leader_report(1.0, 7, false);
        }
        assert!(early.agree(2.0, 7, 7, true));
        let word = late.fully_recorded_token();
        assert!(late.agree(2.1, 7, 7, true));
        early.on_peer_report(word.unwrap(), false);
        assert!(early.may_have_unrecorded_starts(7) && early.fully_recorded_token().is_none());
        early.on_peer_report(7, true);
        assert!(early.may_have_unrecorded_starts(7), "it has agreed itself");
        // A process that took the place of one that agreed knows nothing of that.
        let mut anew = DegradedModeMemory::default();
        anew.on_peer_report(7, false);
        assert!(anew.may_have_unrecorded_starts(7));
        // Unless the holder was its own former process, which is dead.
        anew.on_peer_report(7, true);
        assert!(!anew.may_have_unrecorded_starts(7));
    }

    #[test]
    fn a_holder_elected_in_our_time_has_nothing_open_that_we_did_not_agree_to() {
        // Guards against starts that wait for every machine after each change of
        // leader while controllers can't reach each other; and against trust by a
        // process that a holder's agreement with its predecessor is older than.
        let mut memory = DegradedModeMemory::default();
        memory.observe_leader_key(7);
        memory.observe_leader_key(9);
        assert!(
            memory.may_have_unrecorded_starts(7),
            "it may have been elected before us"
        );
        memory.on_leader_report(0.5, 7, false);
        assert!(!memory.may_have_unrecorded_starts(9));
        // One that only asks is not open, whatever it says of itself.
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
    fn a_process_that_has_read_no_holder_agrees_with_none() {
        // Guards against a process that was elected, started a task and ended: its next
        // one hears of the holder before it, and would agree that this one starts it too.
        let mut memory = DegradedModeMemory::default();
        memory.on_leader_report(1.0, 7, false);
        assert!(!memory.agree(2.0, 7, 7, true));
        memory.observe_leader_key(8);
        assert!(!memory.agree(2.0, 7, 7, true), "it was replaced before");
        assert!(memory.agree(2.0, 8, 8, true));
    }

    #[test]
    fn an_election_that_comes_late_hides_nothing_that_we_agreed_to_before() {
        // Guards against an election that was sent before its sender agreed with the
        // holder, had no answer, and is carried out once the holder has started tasks
        // without a record: nobody leads under it, and it says that all is recorded.
        let mut agreed = DegradedModeMemory::default();
        agreed.observe_leader_key(7);
        agreed.on_leader_report(1.0, 7, false);
        assert!(!agreed.may_have_unrecorded_starts(8));
        assert!(agreed.agree(2.0, 7, 7, true));
        assert!(agreed.may_have_unrecorded_starts(8));
        // A process that took the place of one that agreed.
        let mut anew = DegradedModeMemory::default();
        anew.observe_leader_key(7);
        assert!(anew.may_have_unrecorded_starts(8));
        anew.on_leader_report(3.0, 8, false);
        assert!(!anew.may_have_unrecorded_starts(8) && !anew.may_have_unrecorded_starts(9));
    }

    #[test]
    fn a_holder_opens_once_all_have_agreed_and_shuts_once_all_is_recorded() {
        // Guards against starts that a peer who may succeed does not know of.
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
