//! Steps of a leader: reports, placement, records and launches.

use crate::fault::InjectedFault;
use crate::memory::AGREED;
use crate::state::{DegradedMode, LateWrite, Leader, MACHINE_COUNT, World};
use crate::steps::Transition;

impl Leader {
    /// Handles a valid report, which shows our token and whether the task runs there.
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

impl World {
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
        let ours = self.state_up && self.key == leader.token;
        let report_is_delayed = self.delayed_report.is_some();
        let is_recorded = leader
            .at
            .is_none_or(|(m, told)| !told || leader.recorded & (1 << m) != 0);
        // It learns of a newer leader and steps down with what it knows of itself.
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
            // A report: the reply carries our token, or the report shows it. Reports
            // continue while we are isolated, and replies renew the lease.
            if seen <= leader.token
                && !leader.past_deadline
                && (seen, self.answered & bit) != (leader.token, bit)
            {
                out.push(self.with(|w| {
                    w.machines[m as usize].0 = leader.token;
                    w.answered |= bit;
                    let l = w.nodes[i].leader.as_mut().expect("the node leads");
                    l.silent_leases[m as usize] = 0;
                    l.newer_report |= if report_is_delayed { bit } else { 0 };
                }));
            }
            // A delayed report shows a former state; newer reports prevail.
            if let Some((of, token, ran)) = self.delayed_report
                && of == m
                && token == leader.token
                && (leader.newer_report & bit == 0 || fault == InjectedFault::DuplicateReportsCount)
            {
                out.push(set(&|l| l.observe(m, ran)));
            }
            // No leader has replied to it for a lease: its tasks have stopped (rule 3).
            if leader.silent_leases[m as usize] == 2 {
                out.push(set(&|l| {
                    l.possible_orphans &= !bit;
                    l.fenced &= !bit;
                    if l.at.is_some_and(|(at, _)| at == m) {
                        l.at = None;
                    }
                }));
            }
            let shows = seen == leader.token || fault == InjectedFault::AnyReportFences;
            let on_its_way =
                (self.launches.iter()).any(|(to, token, _)| (*to, *token) == (m, leader.token));
            if shows && seen <= leader.token && !on_its_way {
                out.push(set(&|l| {
                    l.newer_report |= if report_is_delayed { bit } else { 0 };
                    l.observe(m, runs);
                }));
            }
            if leader.at.is_none() && leader.possible_orphans == 0 && leader.fenced & bit != 0 {
                out.push(set(&|l| l.at = Some((m, false))));
            }
        }
        if let Some((m, told)) = leader.at {
            if ours && leader.recorded & (1 << m) == 0 {
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
            // A launch that was not sent yet may be placed elsewhere.
            if !told && self.late_write.is_some() {
                out.push(set(&|l| l.at = None));
            }
            let may_launch = leader.recorded & (1 << m) != 0
                || leader.degraded_mode == DegradedMode::Active
                || fault == InjectedFault::LaunchBeforeRecord;
            if !told && may_launch && self.launches.len() < 2 && !leader.past_deadline {
                out.push(self.with(|w| {
                    w.launches.push((m, leader.token, false));
                    w.launches.sort_unstable();
                    let l = w.nodes[i].leader.as_mut().expect("the node leads");
                    l.silent_leases[m as usize] = 0;
                    l.newer_report |= if report_is_delayed { 1 << m } else { 0 };
                    l.at = Some((m, true));
                }));
            }
        }
        let recovery_done = leader.possible_orphans == 0
            && (is_recorded || fault == InjectedFault::RecoveryEndsBeforeRecord);
        if leader.recovery_pending
            && ours
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
        if leader.recovery_pending && ours && recovery_done {
            out.push(self.with(|w| {
                w.recovery_pending = false;
                let l = w.nodes[i].leader.as_mut().expect("the node leads");
                l.recovery_pending = false;
            }));
        }
    }
}
