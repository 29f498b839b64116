//! Steps of degraded mode, in which a leader starts tasks, with its peers' agreement, without
//! recording them in the state service.

use crate::fault::InjectedFault;
use crate::memory::AGREED;
use crate::state::{AgreementRequest, DegradedMode, LateWrite, Leader, NODE_COUNT, SystemState};
use crate::steps::Transition;

impl SystemState {
    /// The leader stops waiting for replies to its requests for agreement.
    pub fn abandon_requests(&mut self, token: u8, fault: InjectedFault) {
        if fault == InjectedFault::StaleAgreementCounts {
            return;
        }
        let stray_requests = self.stray_requests;
        (self.requests).retain(|r| r.token != token || (stray_requests && !r.agreed));
        for request in self.requests.iter_mut().filter(|r| r.token == token) {
            request.awaited = false;
        }
        self.requests.sort_unstable();
        self.requests.dedup();
    }

    /// A request for agreement arrives at a peer, which may agree.
    pub fn handle_request(
        &self,
        i: usize,
        index: usize,
        fault: InjectedFault,
    ) -> Option<SystemState> {
        let token = self.requests[index].token;
        let newest = match fault {
            InjectedFault::AgreementWithReplacedLeader => token,
            _ => self.nodes[i].newest,
        };
        let is_unavailable = !self.state_service_up;
        let mut next = self.clone();
        let memory = &mut next.nodes[i].memory;
        if fault == InjectedFault::AgreementWithoutRead {
            memory.update(|m| m.observe_leader_key(token.into()));
        }
        if !memory.update(|m| m.agree(AGREED, token.into(), newest.into(), is_unavailable)) {
            return None;
        }
        if let Some(hello_reply) = next
            .hello_reply
            .as_mut()
            .filter(|reply| usize::from(reply.to) == i)
        {
            hello_reply.stale = true;
        }
        if self.requests[index].awaited {
            next.requests[index].agreed = true;
        } else {
            next.requests.remove(index);
        }
        next.requests.sort_unstable();
        next.requests.dedup();
        Some(next)
    }

    /// Adds the steps in which a leader requests agreement, receives a reply, abandons its
    /// requests, and enters or leaves degraded mode.
    pub fn degraded_mode_steps(
        &self,
        i: usize,
        leader: Leader,
        fault: InjectedFault,
        out: &mut Vec<Transition>,
    ) {
        let set_mode = |degraded_mode: DegradedMode| {
            self.with(|w| {
                w.nodes[i]
                    .leader
                    .as_mut()
                    .expect("the node leads")
                    .degraded_mode = degraded_mode
            })
        };
        let is_recorded = leader
            .at
            .is_none_or(|(m, launched)| !launched || leader.recorded & (1 << m) != 0);
        let peers = (0..NODE_COUNT).filter(|j| *j != i);
        let peers: Vec<usize> = match fault {
            InjectedFault::OnePeerNotAsked => peers.take(1).collect(),
            _ => peers.collect(),
        };
        match leader.degraded_mode {
            DegradedMode::Off if !self.state_service_up && !leader.past_deadline => {
                out.push(self.with(|w| {
                    let l = w.nodes[i].leader.as_mut().expect("the node leads");
                    l.degraded_mode = DegradedMode::Requesting(0);
                    w.requests.extend(peers.iter().map(|peer| AgreementRequest {
                        token: leader.token,
                        peer: *peer as u8,
                        awaited: true,
                        agreed: false,
                    }));
                    w.requests.sort_unstable();
                    w.requests.dedup();
                }))
            }
            DegradedMode::Requesting(agreed_peers) => {
                out.push(self.with(|w| {
                    w.abandon_requests(leader.token, fault);
                    let l = w.nodes[i].leader.as_mut().expect("the node leads");
                    l.degraded_mode = DegradedMode::Off;
                }));
                let is_agreement =
                    |r: &AgreementRequest| r.token == leader.token && r.agreed && r.awaited;
                for (index, request) in self
                    .requests
                    .iter()
                    .enumerate()
                    .filter(|(_, r)| is_agreement(r))
                {
                    let agreed_peers = agreed_peers | (1 << request.peer);
                    out.push(self.with(|w| {
                        w.requests.remove(index);
                        let l = w.nodes[i].leader.as_mut().expect("the node leads");
                        l.degraded_mode = if peers.iter().all(|p| agreed_peers & (1 << p) != 0) {
                            DegradedMode::Active
                        } else {
                            DegradedMode::Requesting(agreed_peers)
                        };
                    }));
                }
            }
            DegradedMode::Active => out.push(set_mode(DegradedMode::Draining)),
            DegradedMode::Draining
                if is_recorded || fault == InjectedFault::RecordedClaimedTooEarly =>
            {
                out.push(set_mode(DegradedMode::Off));
            }
            _ => {}
        }
        // The leader replies to a liveness probe, and the write of that reply is applied only
        // after the next probe.
        let is_off = leader.degraded_mode == DegradedMode::Off;
        if is_off && self.state_service_up && self.late_writes > 0 && self.late_write.is_none() {
            out.push(self.with(|w| {
                w.late_writes -= 1;
                w.late_write = Some(LateWrite::LivenessReply {
                    token: leader.token,
                });
            }));
        }
    }
}
