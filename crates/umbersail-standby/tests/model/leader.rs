//! Steps of a leader: heartbeats, placement, records and launches.

use crate::fault::InjectedFault;
use crate::memory::AGREED;
use crate::state::{DegradedMode, LateWrite, Leader, MACHINE_COUNT, SystemState};
use crate::steps::Transition;

impl Leader {
    /// Handles a valid heartbeat of machine `m`, which shows this leader's token and whether
    /// the machine runs the task.
    pub fn observe(&mut self, m: u8, runs: bool) {
        let bit = 1 << m;
        self.fenced |= bit;
        self.possible_orphans &= !bit;
        if runs && self.at.is_none() {
            self.at = Some((m, true));
        }
        if !runs && self.at == Some((m, true)) {
            self.at = None;
        }
    }
}

impl SystemState {
    /// Adds the steps of a leader.
    pub fn leader_steps(
        &self,
        i: usize,
        leader: Leader,
        fault: InjectedFault,
        out: &mut Vec<Transition>,
    ) {
        let set = |update: &dyn Fn(&mut Leader)| {
            self.with(|w| update(w.nodes[i].leader.as_mut().expect("the node leads")))
        };
        let may_write = self.state_service_up && self.key == leader.token;
        let heartbeat_is_delayed = self.delayed_heartbeat.is_some();
        let is_recorded = leader
            .at
            .is_none_or(|(m, launched)| !launched || leader.recorded & (1 << m) != 0);
        // The leader learns of a newer leader and steps down. It remembers whether it may
        // have left unrecorded starts.
        if self.nodes[i].newest > leader.token {
            out.push(self.with(|w| {
                let open = leader.degraded_mode != DegradedMode::Off;
                w.abandon_requests(leader.token, fault);
                w.nodes[i]
                    .memory
                    .update(|m| m.on_own_term_ended(AGREED, leader.token.into(), open));
                w.nodes[i].leader = None;
            }));
        }
        for m in 0..MACHINE_COUNT {
            let bit = 1 << m;
            let (seen, runs) = self.machines[m as usize];
            // A heartbeat: the leader's reply carries its token, or the heartbeat already
            // shows that token. Heartbeats continue while the leader is isolated from the
            // state service, and replies renew the machine's lease.
            if seen <= leader.token
                && !leader.past_deadline
                && (seen, self.answered & bit) != (leader.token, bit)
            {
                out.push(self.with(|w| {
                    w.machines[m as usize].0 = leader.token;
                    w.answered |= bit;
                    let l = w.nodes[i].leader.as_mut().expect("the node leads");
                    l.silent_leases[m as usize] = 0;
                    l.newer_heartbeat |= if heartbeat_is_delayed { bit } else { 0 };
                }));
            }
            // A delayed heartbeat shows a former state; the leader ignores it if it has
            // received a newer one.
            if let Some((of, token, ran)) = self.delayed_heartbeat
                && of == m
                && token == leader.token
                && (leader.newer_heartbeat & bit == 0
                    || fault == InjectedFault::DuplicateHeartbeatsCount)
            {
                out.push(set(&|l| l.observe(m, ran)));
            }
            // No leader has replied to the machine for a full lease duration, so the machine's
            // tasks have stopped (rule 3 of `docs/design.md`).
            if leader.silent_leases[m as usize] == 2 {
                out.push(set(&|l| {
                    l.possible_orphans &= !bit;
                    l.fenced &= !bit;
                    if l.at.is_some_and(|(at, _)| at == m) {
                        l.at = None;
                    }
                }));
            }
            let shows_token = seen == leader.token || fault == InjectedFault::AnyHeartbeatFences;
            let launch_in_flight =
                (self.launches.iter()).any(|(to, token, _)| (*to, *token) == (m, leader.token));
            if shows_token && seen <= leader.token && !launch_in_flight {
                out.push(set(&|l| {
                    l.newer_heartbeat |= if heartbeat_is_delayed { bit } else { 0 };
                    l.observe(m, runs);
                }));
            }
            if leader.at.is_none() && leader.possible_orphans == 0 && leader.fenced & bit != 0 {
                out.push(set(&|l| l.at = Some((m, false))));
            }
        }
        if let Some((m, launched)) = leader.at {
            if may_write && leader.recorded & (1 << m) == 0 {
                let record = (1 << m) | leader.possible_orphans;
                out.push(self.with(|w| {
                    w.record = record;
                    if let Some(LateWrite::Progress { valid, .. }) = &mut w.late_write {
                        *valid = false;
                    }
                    let l = w.nodes[i].leader.as_mut().expect("the node leads");
                    l.recorded = w.record;
                }));
                if self.late_writes > 0 && self.late_write.is_none() {
                    out.push(self.with(|w| {
                        w.late_writes -= 1;
                        w.late_write = Some(LateWrite::Progress {
                            token: leader.token,
                            record,
                            valid: true,
                        });
                        let l = w.nodes[i].leader.as_mut().expect("the node leads");
                        if fault != InjectedFault::LateWriteIgnored {
                            l.recorded &= record;
                        }
                    }));
                }
            }
            // If the launch was not sent yet, the task may be placed on another machine.
            if !launched && self.late_write.is_some() {
                out.push(set(&|l| l.at = None));
            }
            let may_launch = leader.recorded & (1 << m) != 0
                || leader.degraded_mode == DegradedMode::Active
                || fault == InjectedFault::LaunchBeforeRecord;
            if !launched && may_launch && self.launches.len() < 2 && !leader.past_deadline {
                out.push(self.with(|w| {
                    w.launches.push((m, leader.token, false));
                    w.launches.sort_unstable();
                    let l = w.nodes[i].leader.as_mut().expect("the node leads");
                    l.silent_leases[m as usize] = 0;
                    l.newer_heartbeat |= if heartbeat_is_delayed { 1 << m } else { 0 };
                    l.at = Some((m, true));
                }));
            }
        }
        let recovery_done = leader.possible_orphans == 0
            && (is_recorded || fault == InjectedFault::RecoveryEndsBeforeRecord);
        if leader.recovery_pending
            && may_write
            && recovery_done
            && self.late_writes > 0
            && self.late_write.is_none()
        {
            out.push(self.with(|w| {
                w.late_writes -= 1;
                w.late_write = Some(LateWrite::RecoveryDone {
                    token: leader.token,
                });
            }));
        }
        if leader.recovery_pending && may_write && recovery_done {
            out.push(self.with(|w| {
                w.recovery_pending = false;
                let l = w.nodes[i].leader.as_mut().expect("the node leads");
                l.recovery_pending = false;
            }));
        }
    }
}
