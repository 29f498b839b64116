//! Fencing: the leader brings its token to machines by direct commands (rule 1).

use std::rc::Rc;

use tracing::{debug, warn};
use umbersail_runtime::{sleep, spawn};
use umbersail_wire::{DirectCommands, Heartbeat, decode, encode, paths};

use crate::engine::FencingCommand;
use crate::node::Node;

impl Node {
    /// Brings our token to the machines that the predecessor held, so that
    /// answers of the predecessor are dropped, and gets a fresh report.
    pub(super) async fn run_fencing(self: Rc<Self>, token: u64) {
        loop {
            let now = self.clock.now();
            let Some(targets) = self.with_engine(token, |e| e.fencing_commands(now)) else {
                return;
            };
            let round_s = self.tuning.fence_interval_s;
            let most = (self.tuning.fence_per_s * round_s).ceil() as usize;
            for target in targets.into_iter().take(most) {
                spawn(self.clone().send_token(token, target));
            }
            sleep(round_s).await;
        }
    }

    pub(super) async fn send_token(self: Rc<Self>, revision: u64, target: FencingCommand) {
        let body = encode(&DirectCommands {
            token: target.token,
            session: target.session.max(1),
            commands: Vec::new(),
        });
        let answer = self
            .worker_http
            .request(target.addr, "POST", paths::WORKER_COMMANDS, &body, 2.0)
            .await;
        let machine = target.machine;
        match answer {
            Ok((200 | 409, body)) => match decode::<Heartbeat>(&body) {
                Ok(report) => {
                    let now = self.clock.now();
                    self.with_engine(revision, |e| e.receive_command_response(now, &report));
                    self.scheduler_wakeup.notify();
                }
                Err(e) => warn!(machine, reason = %e, "malformed answer of a worker"),
            },
            Ok((status, _)) => debug!(machine, status, "worker refuses the token"),
            Err(e) => debug!(machine, reason = %e, "worker does not answer"),
        }
    }
}
