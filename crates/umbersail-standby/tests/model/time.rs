//! Steps of time: deadlines, leases and duplicated reports.

use crate::fault::InjectedFault;
use crate::state::{ALL_MACHINES, MACHINE_COUNT, World};
use crate::steps::Transition;

impl World {
    /// Time passes: earlier leaders' deadlines, full leases; a report is duplicated.
    pub fn time_steps(&self, fault: InjectedFault, out: &mut Vec<Transition>) {
        if !self.former_leaders_stopped && self.leases > 0 {
            out.push(self.with(|w| {
                w.former_leaders_stopped = true;
                let leads = w.nodes.iter_mut().filter_map(|n| n.leader.as_mut());
                for leader in leads.filter(|l| l.token < self.key) {
                    leader.past_deadline = fault != InjectedFault::LeaderServesAfterDeadline;
                }
            }));
        }
        if self.leases > 0 {
            out.push(self.with(|w| {
                w.leases -= 1;
                // A reply is dropped after 4 s, and by a machine whose lease has expired.
                w.launches
                    .retain(|(m, _, old)| !old && self.answered & (1 << m) != 0);
                w.launches.iter_mut().for_each(|launch| launch.2 = true);
                for m in 0..MACHINE_COUNT {
                    if self.answered & (1 << m) == 0 {
                        w.machines[m as usize].1 = false;
                    }
                }
                w.answered = if w.leases > 0 { 0 } else { ALL_MACHINES };
                let may_count =
                    self.former_leaders_stopped || fault == InjectedFault::LeaseExpiryByOwnReplies;
                let leads = w.nodes.iter_mut().filter_map(|n| n.leader.as_mut());
                for leader in leads.filter(|l| l.token == self.key && may_count) {
                    for silent_leases in &mut leader.silent_leases {
                        *silent_leases = (*silent_leases + 1).min(2);
                    }
                }
            }));
        }
        if self.duplicate_reports > 0 {
            for m in 0..MACHINE_COUNT {
                let (token, runs) = self.machines[m as usize];
                out.push(self.with(|w| {
                    w.duplicate_reports -= 1;
                    w.delayed_report = Some((m, token, runs));
                    let leads = w.nodes.iter_mut().filter_map(|n| n.leader.as_mut());
                    leads.for_each(|leader| leader.newer_report = 0);
                }));
            }
        }
    }
}
