//! Late writes: writes that received no reply and are applied after newer writes.

use crate::fault::InjectedFault;
use crate::memory::AFTER;
use crate::state::{LateWrite, SystemState};
use crate::steps::Transition;

impl SystemState {
    /// Adds the step in which the late write is applied, if its conditions still hold.
    pub fn late_steps(&self, fault: InjectedFault, out: &mut Vec<Transition>) {
        let Some(late_write) = self.late_write.filter(|_| self.state_service_up) else {
            return;
        };
        out.push(self.with(|w| {
            w.late_write = None;
            match late_write {
                LateWrite::Election { by, former, open } => {
                    if former == self.key {
                        w.elected(by, open);
                    }
                }
                LateWrite::Progress {
                    token,
                    record,
                    valid,
                } => {
                    let is_newest_leader = token == self.key;
                    let version_matches =
                        valid || fault == InjectedFault::UnconditionalProgressWrite;
                    if is_newest_leader && version_matches {
                        w.record = record;
                    }
                }
                LateWrite::RecoveryDone { token } => {
                    if token == self.key {
                        w.recovery_pending = false;
                    }
                }
                LateWrite::LivenessReply { token } => {
                    if token == self.key && fault == InjectedFault::StaleLivenessReplyCounts {
                        let following = w.nodes.iter_mut().filter(|n| n.leader.is_none());
                        following.for_each(|n| {
                            n.memory
                                .update(|m| m.on_leader_report(AFTER, token.into(), false));
                        });
                    }
                }
            }
        }));
    }
}
