//! Faults that can be injected into the protocol.

/// A check that is left out, to prove that the search finds its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InjectedFault {
    None,
    /// A successor trusts the records although it agreed to unrecorded starts.
    AgreementForgotten,
    /// A restarted process trusts the records although it has no memory.
    TrustWithoutMemory,
    /// A leader enters degraded mode without asking one peer.
    OnePeerNotAsked,
    /// A peer agrees with a leader that it knows to be replaced.
    AgreementWithReplacedLeader,
    /// Recovery ends once all machines have reported, whatever is recorded.
    RecoveryEndsBeforeRecord,
    /// An election does not pass on that recovery is pending.
    RecoveryNotInherited,
    /// A report counts whatever token it shows.
    AnyReportFences,
    /// A launch is sent before it is recorded.
    LaunchBeforeRecord,
    /// A leader claims that all is recorded as soon as it leaves degraded mode.
    RecordedClaimedTooEarly,
    /// A leader that a peer names counts as read at the state service, and as
    /// elected during the lifetime of the process.
    PeerReplyCountsAsRead,
    /// An isolated leader goes on replying to workers after its deadline.
    LeaderServesAfterDeadline,
    /// A machine's lease is counted from our last reply although an earlier leader
    /// may have replied since.
    LeaseExpiryByOwnReplies,
    /// A duplicate of an old report counts like a new one.
    DuplicateReportsCount,
    /// A peer's claim that all is recorded counts like the leader's own.
    PeerRecordedClaimTrusted,
    /// A process agrees although it has read no leader at the state service.
    AgreementWithoutRead,
    /// A peer's claim about a live leader counts, unless we have agreed.
    PeerClaimOfLiveLeaderTrusted,
    /// A leader's reply to a question from before our agreement cancels it.
    StaleReplyCounts,
    /// A leader that requests agreement claims that all is recorded.
    RequestingReportedAsOff,
    /// A reply to an earlier request for agreement counts.
    StaleAgreementCounts,
    /// A liveness reply counts although it answers an earlier probe.
    StaleLivenessReplyCounts,
    /// A leader relies on recorded machines that a late write would remove.
    LateWriteIgnored,
    /// Progress is written without a condition on the version that it replaces.
    UnconditionalProgressWrite,
    /// A leader elected during our lifetime that never had our agreement is trusted,
    /// whatever is known of its predecessor: its election may have been late.
    LateElectionIgnored,
}
