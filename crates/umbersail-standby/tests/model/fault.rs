//! Faults that can be injected into the protocol.

/// A check that the model leaves out, to prove that the search detects the missing check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InjectedFault {
    None,
    /// A successor trusts the recorded starts although it agreed to unrecorded starts.
    AgreementForgotten,
    /// A restarted process trusts the recorded starts although it has no information.
    TrustWithoutMemory,
    /// A leader enters degraded mode without asking one peer.
    OnePeerNotAsked,
    /// A peer agrees with a leader although it knows that the leader has been replaced.
    AgreementWithReplacedLeader,
    /// Recovery ends once all machines have sent a heartbeat, even if the task's machine is
    /// not recorded yet.
    RecoveryEndsBeforeRecord,
    /// An election does not pass on that recovery is pending.
    RecoveryNotInherited,
    /// A heartbeat counts whatever token it shows.
    AnyHeartbeatFences,
    /// A launch is sent before it is recorded.
    LaunchBeforeRecord,
    /// A leader claims that all is recorded as soon as it leaves degraded mode.
    RecordedClaimedTooEarly,
    /// A leader that a peer names counts as read from the state service, and as elected
    /// during the lifetime of the process.
    PeerReplyCountsAsRead,
    /// An isolated leader continues to reply to heartbeats after its deadline.
    LeaderServesAfterDeadline,
    /// A leader counts a machine's lease from its own last reply, although an earlier leader
    /// may have replied since.
    LeaseExpiryByOwnReplies,
    /// A duplicate of an old heartbeat counts like a new heartbeat.
    DuplicateHeartbeatsCount,
    /// A peer's claim that all is recorded counts like the leader's own.
    PeerRecordedClaimTrusted,
    /// A process agrees although it has read no leader's token from the state service.
    AgreementWithoutRead,
    /// A peer's claim about a live leader counts, unless the receiver has agreed itself.
    PeerClaimOfLiveLeaderTrusted,
    /// A controller that has agreed receives a leader's reply to a hello message that the
    /// controller sent before it agreed, and the reply cancels the agreement.
    StaleReplyCounts,
    /// A leader that requests agreement claims that all is recorded.
    RequestingReportedAsOff,
    /// A reply to an earlier request for agreement counts.
    StaleAgreementCounts,
    /// A liveness reply counts although it answers an earlier probe.
    StaleLivenessReplyCounts,
    /// A leader relies on recorded machines that one of its own late writes may still remove.
    LateWriteIgnored,
    /// Progress is written without a condition on the version of the replaced record.
    UnconditionalProgressWrite,
    /// A process trusts a leader that was elected during the lifetime of the process and
    /// never had its agreement, whatever is known about that leader's predecessor. The
    /// election may have been applied late.
    LateElectionIgnored,
}
