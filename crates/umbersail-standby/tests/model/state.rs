//! The state of the modelled system, and the initial states of the searches.

use crate::memory::{AFTER, AGREED, Memory};

pub const NODE_COUNT: usize = 3;
pub const MACHINE_COUNT: u8 = 2;
pub const ALL_MACHINES: u8 = 0b11;

/// Upper bound (exclusive) on tokens in every search.
pub const TOKEN_LIMIT: u8 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DegradedMode {
    Off,
    /// Agreement is requested; these peers have agreed.
    Requesting(u8),
    Active,
    Draining,
}

/// A request for agreement to unrecorded starts, or the reply to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AgreementRequest {
    pub token: u8,
    pub peer: u8,
    /// The leader is still waiting for the reply.
    pub awaited: bool,
    /// The peer has agreed; its reply is in flight.
    pub agreed: bool,
}

/// A reply to a hello message, in flight, which reports that all starts are recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HelloReply {
    pub to: u8,
    pub token: u8,
    pub from_leader: bool,
    /// The receiver has agreed to unrecorded starts since it sent the hello message.
    pub stale: bool,
}

/// A write that received no reply and may still be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LateWrite {
    Election {
        by: u8,
        former: u8,
        open: bool,
    },
    /// The machines on which the task may run. `valid` until another write replaces the
    /// record.
    Progress {
        token: u8,
        record: u8,
        valid: bool,
    },
    RecoveryDone {
        token: u8,
    },
    /// The reply to an earlier liveness probe, which reports that all starts are recorded.
    LivenessReply {
        token: u8,
    },
}

/// Upper bounds on the number of events in a search.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limits {
    pub elections: u8,
    pub process_ends: u8,
    pub leases: u8,
    pub duplicate_heartbeats: u8,
    /// Delayed replies to hello messages.
    pub delayed_replies: u8,
    /// Elections that are applied late.
    pub late_elections: u8,
    /// Other writes of a leader that are applied late.
    pub late_writes: u8,
    /// Requests for agreement may arrive after the leader has abandoned them.
    pub stray_requests: bool,
    /// The search starts after a leader that made an unrecorded start and ended.
    pub recovery_pending: bool,
}

pub const NO_EVENTS: Limits = Limits {
    elections: 0,
    process_ends: 0,
    leases: 0,
    duplicate_heartbeats: 0,
    delayed_replies: 0,
    late_elections: 0,
    late_writes: 0,
    stray_requests: false,
    recovery_pending: false,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Leader {
    pub token: u8,
    pub degraded_mode: DegradedMode,
    /// Bit set of the machines that may run the task without the leader's knowledge.
    pub possible_orphans: u8,
    /// Bit set of the machines that have shown the leader's token.
    pub fenced: u8,
    /// The machine on which the leader has placed the task, and whether the launch was sent.
    pub at: Option<(u8, bool)>,
    /// Bit set of the machines that the record names, as far as the leader knows.
    pub recorded: u8,
    pub recovery_pending: bool,
    /// The leader's deadline has passed: it replies to no heartbeat and starts nothing.
    pub past_deadline: bool,
    /// Number of leases, at most two, in which each machine sent no heartbeat. Counting
    /// begins once no earlier leader can reply any more.
    pub silent_leases: [u8; MACHINE_COUNT as usize],
    /// Bit set of the machines from which the leader has a newer heartbeat than the delayed
    /// one.
    pub newer_heartbeat: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Node {
    /// The newest token that the node knows.
    pub newest: u8,
    pub memory: Memory,
    /// The first token that the node's process read from the state service; 0 if none.
    pub first: u8,
    pub leader: Option<Leader>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub state_service_up: bool,
    /// Token of the newest leader.
    pub key: u8,
    /// Bit set of the machines that the progress record names.
    pub record: u8,
    /// The state service holds the record that a leader must find and record the tasks that
    /// were started without a record.
    pub recovery_pending: bool,
    pub nodes: [Node; NODE_COUNT],
    /// For each machine the highest token that it has seen, and whether it runs the task.
    pub machines: [(u8, bool); MACHINE_COUNT as usize],
    /// Bit set of the machines that received a reply since the last full lease duration passed.
    pub answered: u8,
    /// Number of full lease durations that may still pass.
    pub leases: u8,
    /// The deadline of all leaders before the newest has passed.
    pub former_leaders_stopped: bool,
    /// Launches in flight: machine, token, and whether a lease duration has passed since the
    /// launch was sent.
    pub launches: Vec<(u8, u8, bool)>,
    /// A duplicate of a heartbeat that may arrive at any time: machine, token, and whether
    /// the machine ran the task.
    pub delayed_heartbeat: Option<(u8, u8, bool)>,
    pub duplicate_heartbeats: u8,
    pub elections: u8,
    pub process_ends: u8,
    pub outages: u8,
    /// For each token the node that was elected with it.
    pub elected_nodes: [u8; TOKEN_LIMIT as usize],
    /// Requests for agreement in flight, and the replies in flight.
    pub requests: Vec<AgreementRequest>,
    pub hello_reply: Option<HelloReply>,
    pub delayed_replies: u8,
    pub late_write: Option<LateWrite>,
    pub late_elections: u8,
    pub late_writes: u8,
    pub stray_requests: bool,
}

impl SystemState {
    /// Initial state in which one node leads, the leader's peers know that all starts are
    /// recorded, and the machines show the leader's token.
    pub fn with_leader(limits: Limits) -> SystemState {
        let leader = Leader {
            token: 1,
            degraded_mode: DegradedMode::Off,
            possible_orphans: 0,
            fenced: ALL_MACHINES,
            at: None,
            recorded: 0,
            recovery_pending: false,
            past_deadline: false,
            silent_leases: [0; MACHINE_COUNT as usize],
            newer_heartbeat: 0,
        };
        let mut memory = Memory::default();
        memory.update(|m| m.observe_leader_key(1));
        let leader = Node {
            newest: 1,
            memory: memory.clone(),
            first: 1,
            leader: Some(leader),
        };
        memory.update(|m| m.on_leader_report(AFTER, 1, false));
        let follower = Node {
            newest: 1,
            memory,
            first: 1,
            leader: None,
        };
        SystemState {
            state_service_up: true,
            key: 1,
            record: 0,
            recovery_pending: false,
            nodes: [leader, follower.clone(), follower],
            machines: [(1, false); MACHINE_COUNT as usize],
            answered: ALL_MACHINES,
            leases: limits.leases,
            former_leaders_stopped: true,
            launches: Vec::new(),
            delayed_heartbeat: None,
            duplicate_heartbeats: limits.duplicate_heartbeats,
            elections: limits.elections,
            process_ends: limits.process_ends,
            outages: 1,
            elected_nodes: [0; TOKEN_LIMIT as usize],
            requests: Vec::new(),
            hello_reply: None,
            delayed_replies: limits.delayed_replies,
            late_write: None,
            late_elections: limits.late_elections,
            late_writes: limits.late_writes,
            stray_requests: limits.stray_requests,
        }
    }

    /// Initial state in which a leader made an unrecorded start with its peers' agreement and
    /// ended, and one of the peers has been elected.
    pub fn with_recovery_pending(limits: Limits) -> SystemState {
        let mut state = SystemState::with_leader(limits);
        state.nodes[1]
            .memory
            .update(|m| m.agree(AGREED, 1, 1, true));
        let agreed = state.nodes[1].clone();
        let leader = Leader {
            token: 2,
            possible_orphans: ALL_MACHINES,
            fenced: 0,
            recovery_pending: true,
            ..state.nodes[0].leader.expect("the node leads")
        };
        state.nodes[0] = Node {
            newest: 2,
            leader: Some(leader),
            ..agreed.clone()
        };
        state.nodes[2] = Node::default();
        state.machines[0].1 = true;
        (state.key, state.recovery_pending, state.outages) = (2, true, 0);
        state
    }
}
