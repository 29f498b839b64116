//! The searches: no order of steps runs the task twice, and each injected fault is found.

use crate::fault::InjectedFault;
use crate::search::search;
use crate::state::{Limits, NO_EVENTS, SystemState};

fn initial_state(limits: Limits) -> SystemState {
    if limits.recovery_pending {
        SystemState::with_recovery_pending(limits)
    } else {
        SystemState::with_leader(limits)
    }
}

/// Limits that allow only elections and ends of processes.
fn elections_and_ends(elections: u8, process_ends: u8) -> Limits {
    Limits {
        elections,
        process_ends,
        ..NO_EVENTS
    }
}

#[test]
fn no_order_of_steps_starts_the_task_twice() {
    // Guards against conditions for a start that each hold separately but not at the same
    // time. A search without a limit on the number of states is complete.
    let all = usize::MAX;
    let with_leases = |limits| Limits {
        leases: 3,
        duplicate_heartbeats: 1,
        ..limits
    };
    let searches = [
        (elections_and_ends(1, 0), all, 70_000),
        (elections_and_ends(1, 1), 800_000, 800_000),
        (elections_and_ends(2, 1), 300_000, 300_000),
        // Isolated leaders, machines without heartbeats, duplicated heartbeats, and
        // immediate restarts.
        (with_leases(elections_and_ends(1, 0)), 200_000, 200_000),
        (with_leases(elections_and_ends(2, 1)), 200_000, 200_000),
        // Delayed replies to hello messages, and delayed requests.
        (
            Limits {
                delayed_replies: 1,
                ..elections_and_ends(1, 1)
            },
            300_000,
            300_000,
        ),
        (
            Limits {
                stray_requests: true,
                ..elections_and_ends(1, 0)
            },
            300_000,
            200_000,
        ),
        (
            Limits {
                recovery_pending: true,
                ..elections_and_ends(1, 1)
            },
            300_000,
            20_000,
        ),
        (
            Limits {
                recovery_pending: true,
                late_writes: 1,
                ..elections_and_ends(1, 1)
            },
            300_000,
            300_000,
        ),
        // Late writes.
        (
            Limits {
                late_elections: 1,
                ..elections_and_ends(1, 0)
            },
            all,
            600_000,
        ),
        (
            Limits {
                late_elections: 1,
                ..elections_and_ends(1, 1)
            },
            300_000,
            300_000,
        ),
        (
            Limits {
                late_writes: 1,
                ..elections_and_ends(1, 0)
            },
            all,
            600_000,
        ),
        (
            Limits {
                late_writes: 1,
                delayed_replies: 1,
                ..elections_and_ends(2, 1)
            },
            300_000,
            300_000,
        ),
    ];
    std::thread::scope(|scope| {
        for (limits, max_states, min_states) in searches {
            scope.spawn(move || {
                let started = std::time::Instant::now();
                let (seen, ran_twice) =
                    search(InjectedFault::None, initial_state(limits), max_states);
                println!("{limits:?}: {seen} states in {:.1?}", started.elapsed());
                assert!(!ran_twice, "{limits:?}: after {seen} states");
                assert!(seen >= min_states, "{limits:?}: {seen} states only");
            });
        }
    });
}

#[test]
fn each_injected_fault_is_found() {
    // Proves that the search can fail. Each fault is searched with the fewest elections and
    // process ends that expose the fault.
    let late_write = Limits {
        late_writes: 1,
        ..elections_and_ends(1, 0)
    };
    let faults = [
        (InjectedFault::AgreementForgotten, elections_and_ends(1, 0)),
        (InjectedFault::TrustWithoutMemory, elections_and_ends(1, 1)),
        (InjectedFault::OnePeerNotAsked, elections_and_ends(1, 0)),
        (
            InjectedFault::AgreementWithReplacedLeader,
            elections_and_ends(1, 0),
        ),
        (
            InjectedFault::RecoveryEndsBeforeRecord,
            Limits {
                recovery_pending: true,
                ..elections_and_ends(1, 0)
            },
        ),
        (
            InjectedFault::RecoveryNotInherited,
            elections_and_ends(2, 0),
        ),
        (InjectedFault::AnyHeartbeatFences, elections_and_ends(1, 0)),
        (InjectedFault::LaunchBeforeRecord, elections_and_ends(1, 0)),
        (
            InjectedFault::RecordedClaimedTooEarly,
            elections_and_ends(1, 0),
        ),
        (
            InjectedFault::PeerReplyCountsAsRead,
            elections_and_ends(1, 1),
        ),
        (
            InjectedFault::LeaderServesAfterDeadline,
            Limits {
                leases: 2,
                ..elections_and_ends(1, 0)
            },
        ),
        (
            InjectedFault::LeaseExpiryByOwnReplies,
            Limits {
                leases: 2,
                ..elections_and_ends(1, 0)
            },
        ),
        (
            InjectedFault::DuplicateHeartbeatsCount,
            Limits {
                duplicate_heartbeats: 1,
                ..NO_EVENTS
            },
        ),
        (
            InjectedFault::PeerRecordedClaimTrusted,
            elections_and_ends(1, 0),
        ),
        (
            InjectedFault::PeerClaimOfLiveLeaderTrusted,
            elections_and_ends(1, 1),
        ),
        (
            InjectedFault::AgreementWithoutRead,
            elections_and_ends(1, 1),
        ),
        (
            InjectedFault::StaleReplyCounts,
            Limits {
                delayed_replies: 1,
                ..elections_and_ends(1, 0)
            },
        ),
        (
            InjectedFault::RequestingReportedAsOff,
            elections_and_ends(1, 0),
        ),
        (
            InjectedFault::StaleAgreementCounts,
            elections_and_ends(1, 0),
        ),
        (InjectedFault::StaleLivenessReplyCounts, late_write),
        (InjectedFault::LateWriteIgnored, late_write),
        (InjectedFault::UnconditionalProgressWrite, late_write),
        (
            InjectedFault::LateElectionIgnored,
            Limits {
                late_elections: 1,
                ..elections_and_ends(1, 0)
            },
        ),
    ];
    std::thread::scope(|scope| {
        for (fault, limits) in faults {
            scope.spawn(move || {
                let started = std::time::Instant::now();
                let (seen, ran_twice) = search(fault, initial_state(limits), 2_000_000);
                println!("{fault:?}: {seen} states in {:.1?}", started.elapsed());
                assert!(ran_twice, "{fault:?} is not found in {seen} states");
            });
        }
    });
}
