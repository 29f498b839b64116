//! Steps that depend on time: leaders' deadlines, leases and duplicated heartbeats.

use crate::fault::InjectedFault;
use crate::state::{ALL_MACHINES, MACHINE_COUNT, SystemState};
use crate::steps::Transition;

impl SystemState {
    /// Adds the steps in which the deadline of earlier leaders passes, a full lease duration
    /// passes, or a heartbeat is duplicated.
    pub fn time_steps(&self, fault: InjectedFault, out: &mut Vec<Transition>) {
        if !self.former_leaders_stopped && self.leases > 0 {
            out.push(self.with(|w| {
                w.former_leaders_stopped = true;
                let leaders = w.nodes.iter_mut().filter_map(|n| n.leader.as_mut());
                for leader in leaders.filter(|l| l.token < self.key) {
                    leader.past_deadline = fault != InjectedFault::LeaderServesAfterDeadline;
                }
            }));
        }
        if self.leases > 0 {
            out.push(self.with(|w| {
                w.leases -= 1;
                // Launches travel in replies. A machine drops a reply that is older than 4 s,
                // and every reply once the machine's lease has expired.
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
                let leaders = w.nodes.iter_mut().filter_map(|n| n.leader.as_mut());
                for leader in leaders.filter(|l| l.token == self.key && may_count) {
                    for silent_leases in &mut leader.silent_leases {
                        *silent_leases = (*silent_leases + 1).min(2);
                    }
                }
            }));
        }
        if self.duplicate_heartbeats > 0 {
            for m in 0..MACHINE_COUNT {
                let (token, runs) = self.machines[m as usize];
                out.push(self.with(|w| {
                    w.duplicate_heartbeats -= 1;
                    w.delayed_heartbeat = Some((m, token, runs));
                    let leaders = w.nodes.iter_mut().filter_map(|n| n.leader.as_mut());
                    leaders.for_each(|leader| leader.newer_heartbeat = 0);
                }));
            }
        }
    }
}
