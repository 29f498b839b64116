//! All successors of a state: outages of the state service and arriving launches, plus the
//! steps that the other modules add.

use crate::fault::InjectedFault;
use crate::state::{NODE_COUNT, SystemState};

/// The state after a step.
pub type Transition = Result<SystemState, RanTwice>;

/// The task was started on one machine while it ran on the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RanTwice;

impl SystemState {
    /// Returns a copy of this state with an update applied.
    pub fn with(&self, update: impl FnOnce(&mut SystemState)) -> Transition {
        let mut next = self.clone();
        update(&mut next);
        Ok(next)
    }

    /// Returns all possible successor states, and `Err` for each step that would run the task
    /// twice.
    pub fn successors(&self, fault: InjectedFault) -> Vec<Transition> {
        let mut out = Vec::new();
        if self.state_service_up && self.outages > 0 {
            out.push(self.with(|w| (w.state_service_up, w.outages) = (false, w.outages - 1)));
        }
        if !self.state_service_up {
            out.push(self.with(|w| {
                w.state_service_up = true;
                if w.outages == 0 {
                    // No outage can follow, so no peer can agree to the remaining requests.
                    w.requests.retain(|r| r.agreed);
                }
            }));
        }
        self.time_steps(fault, &mut out);
        for (index, &(machine, token, _)) in self.launches.iter().enumerate() {
            out.push(self.with(|w| {
                w.launches.remove(index);
            }));
            let mut arrived = self.clone();
            arrived.launches.remove(index);
            let (seen, runs) = self.machines[machine as usize];
            if token >= seen {
                let runs_elsewhere = self.machines[1 - machine as usize].1;
                if runs_elsewhere && !runs {
                    out.push(Err(RanTwice));
                    continue;
                }
                arrived.machines[machine as usize] = (token, true);
                arrived.answered |= 1 << machine;
                out.push(Ok(arrived));
            }
        }
        for i in 0..NODE_COUNT {
            self.node_steps(i, fault, &mut out);
            if let Some(leader) = self.nodes[i].leader {
                self.leader_steps(i, leader, fault, &mut out);
                self.degraded_mode_steps(i, leader, fault, &mut out);
            }
        }
        self.late_steps(fault, &mut out);
        out
    }
}
