//! Successor states: the state service, launches in flight, and the steps of the
//! other modules.

use crate::fault::InjectedFault;
use crate::state::{NODE_COUNT, World};

/// The state after a step.
pub type Transition = Result<World, RanTwice>;

/// The task was started on one machine while it ran on the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RanTwice;

impl World {
    /// This state after an update.
    pub fn with(&self, update: impl FnOnce(&mut World)) -> Transition {
        let mut next = self.clone();
        update(&mut next);
        Ok(next)
    }

    /// All possible successor states; `Err` where the task would run twice.
    pub fn successors(&self, fault: InjectedFault) -> Vec<Transition> {
        let mut out = Vec::new();
        if self.state_up && self.outages > 0 {
            out.push(self.with(|w| (w.state_up, w.outages) = (false, w.outages - 1)));
        }
        if !self.state_up {
            out.push(self.with(|w| {
                w.state_up = true;
                if w.outages == 0 {
                    // No peer will agree to these any more.
                    w.requests.retain(|r| r.agreed);
                }
            }));
        }
        self.time_steps(fault, &mut out);
        for (index, &(machine, token, _)) in self.launches.iter().enumerate() {
            out.push(self.with(|w| {
                w.launches.remove(index);
            }));
            let mut landed = self.clone();
            landed.launches.remove(index);
            let (seen, runs) = self.machines[machine as usize];
            if token >= seen {
                let other = self.machines[1 - machine as usize].1;
                if other && !runs {
                    out.push(Err(RanTwice));
                    continue;
                }
                landed.machines[machine as usize] = (token, true);
                landed.answered |= 1 << machine;
                out.push(Ok(landed));
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
