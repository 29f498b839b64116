//! Steps of a node: restarts, reads, elections and hello messages.

use crate::fault::InjectedFault;
use crate::memory::{AFTER, BEFORE};
use crate::state::{
    ALL_MACHINES, DegradedMode, HelloReply, LateWrite, Leader, MACHINE_COUNT, NODE_COUNT, Node,
    SystemState,
};
use crate::steps::Transition;

impl SystemState {
    /// An election is applied, whether or not the elected node learns of the election.
    pub fn elected(&mut self, by: u8, open: bool) {
        self.key += 1;
        self.elected_nodes[self.key as usize] = by;
        self.former_leaders_stopped = false;
        self.recovery_pending |= open;
    }

    /// Adds the steps of a node: its process ends and restarts, reads the leader's key,
    /// handles a hello message or a request for agreement, or is elected.
    pub fn node_steps(&self, i: usize, fault: InjectedFault, out: &mut Vec<Transition>) {
        let node = &self.nodes[i];
        if self.process_ends > 0 && *node != Node::default() {
            out.push(self.with(|w| {
                if let Some(leader) = node.leader {
                    w.abandon_requests(leader.token, fault);
                }
                w.hello_reply = w.hello_reply.filter(|reply| reply.to != i as u8);
                w.nodes[i] = Node::default();
                w.process_ends -= 1;
            }));
        }
        if self.state_service_up && (self.key > node.newest || node.first == 0) {
            out.push(self.with(|w| {
                w.nodes[i].newest = w.key;
                let key = u64::from(w.key);
                w.nodes[i].memory.update(|m| m.observe_leader_key(key));
                if node.first == 0 {
                    w.nodes[i].first = w.key;
                }
            }));
        }
        self.hello_steps(i, fault, out);
        let follows = node.leader.is_none();
        for (index, request) in self.requests.iter().enumerate() {
            let asked = usize::from(request.peer) == i && !request.agreed;
            if asked && (follows || fault == InjectedFault::AgreementWithReplacedLeader) {
                out.extend(self.handle_request(i, index, fault).map(Ok));
            }
        }
        if !follows {
            return;
        }
        if self.state_service_up && self.elections > 0 {
            let key = u64::from(self.key);
            let elected_in_lifetime = matches!(
                fault,
                InjectedFault::LateElectionIgnored | InjectedFault::PeerReplyCountsAsRead
            ) && node.first > 0
                && node.first < self.key;
            let trusted = match node.memory.fingerprint {
                _ if !node.memory.real.may_have_unrecorded_starts(key) => true,
                (token, ..) if token != self.key && elected_in_lifetime => true,
                (_, 0, _) => fault == InjectedFault::TrustWithoutMemory,
                (_, 2, _) => fault == InjectedFault::AgreementForgotten,
                _ => false,
            };
            let open = self.recovery_pending || (self.key > 0 && !trusted);
            let recorded_open = open && fault != InjectedFault::RecoveryNotInherited;
            if self.late_elections > 0 && self.late_write.is_none() {
                out.push(self.with(|w| {
                    w.late_elections -= 1;
                    w.late_write = Some(LateWrite::Election {
                        by: i as u8,
                        former: self.key,
                        open: recorded_open,
                    });
                }));
            }
            out.push(self.with(|w| {
                w.elections -= 1;
                w.recovery_pending &= fault != InjectedFault::RecoveryNotInherited;
                w.elected(i as u8, recorded_open);
                w.nodes[i].newest = w.key;
                w.nodes[i].leader = Some(Leader {
                    token: w.key,
                    degraded_mode: DegradedMode::Off,
                    possible_orphans: if open { ALL_MACHINES } else { w.record },
                    fenced: 0,
                    at: None,
                    recorded: w.record,
                    recovery_pending: open,
                    past_deadline: false,
                    silent_leases: [0; MACHINE_COUNT as usize],
                    newer_heartbeat: 0,
                });
            }));
        }
    }

    /// Adds the steps in which a node receives another node's reply to a hello message, at once
    /// or delayed.
    pub fn hello_steps(&self, i: usize, fault: InjectedFault, out: &mut Vec<Transition>) {
        let node = &self.nodes[i];
        for j in (0..NODE_COUNT).filter(|j| *j != i) {
            let other = &self.nodes[j];
            let leader = other.leader.filter(|l| l.token >= other.newest);
            let newest = other.newest.max(node.newest);
            if node.leader.is_some() {
                if newest > node.newest {
                    out.push(self.with(|w| w.nodes[i].newest = newest));
                }
                continue;
            }
            let off_leader = leader.filter(|l| match l.degraded_mode {
                DegradedMode::Off => true,
                DegradedMode::Requesting(_) => fault == InjectedFault::RequestingReportedAsOff,
                _ => false,
            });
            let recorded = match (leader, other.leader) {
                (Some(_), _) => off_leader.map(|l| l.token),
                (None, None) => other
                    .memory
                    .real
                    .fully_recorded_token()
                    .map(|token| token as u8),
                (None, Some(_)) => None,
            };
            out.push(self.with(|w| {
                w.nodes[i].newest = newest;
                if node.first == 0
                    && fault == InjectedFault::PeerReplyCountsAsRead
                    && let Some(leader) = leader
                {
                    w.nodes[i].first = leader.token - 1;
                    let before = u64::from(leader.token) - 1;
                    w.nodes[i].memory.update(|m| m.observe_leader_key(before));
                }
                if let Some(token) = recorded {
                    w.receive_recorded_claim(i, token, leader.is_some(), false, fault);
                }
            }));
            if let Some(token) = recorded
                && self.delayed_replies > 0
                && self.hello_reply.is_none()
            {
                out.push(self.with(|w| {
                    w.delayed_replies -= 1;
                    w.hello_reply = Some(HelloReply {
                        to: i as u8,
                        token,
                        from_leader: leader.is_some(),
                        stale: false,
                    });
                }));
            }
        }
        if let Some(hello_reply) = self.hello_reply.filter(|reply| usize::from(reply.to) == i) {
            out.push(self.with(|w| {
                w.hello_reply = None;
                if node.leader.is_none() {
                    w.receive_recorded_claim(
                        i,
                        hello_reply.token,
                        hello_reply.from_leader,
                        hello_reply.stale,
                        fault,
                    );
                }
            }));
        }
    }

    /// A node receives the claim that the leader with this token has recorded all starts.
    pub fn receive_recorded_claim(
        &mut self,
        i: usize,
        token: u8,
        from_leader: bool,
        stale: bool,
        fault: InjectedFault,
    ) {
        let node = &self.nodes[i];
        let former_self =
            node.newest == token && usize::from(self.elected_nodes[token as usize]) == i;
        let stale = stale && fault != InjectedFault::StaleReplyCounts;
        let asked = if stale { BEFORE } else { AFTER };
        self.nodes[i].memory.update(|memory| {
            if from_leader || fault == InjectedFault::PeerRecordedClaimTrusted {
                memory.on_leader_report(asked, token.into(), false);
            } else {
                let counts_for_live = fault == InjectedFault::PeerClaimOfLiveLeaderTrusted;
                memory.on_peer_report(token.into(), former_self || counts_for_live);
            }
        });
    }
}
