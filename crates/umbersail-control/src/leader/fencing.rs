//! Fencing: the leader sends its fencing token to workers directly, without waiting for
//! their heartbeats (rule 1 of `docs/design.md`).

use std::rc::Rc;

use tracing::{debug, warn};
use umbersail_runtime::{sleep, spawn};
use umbersail_wire::{DirectCommands, Heartbeat, decode, encode, paths};

use crate::engine::FencingCommand;
use crate::node::Node;

impl Node {
    /// Sends the token of this leader to the machines of the previous holder. Their workers
    /// then discard answers of the previous leader, and reply with a current heartbeat.
    pub(super) async fn run_fencing(self: Rc<Self>, token: u64) {
        loop {
            let now = self.clock.now();
            let Some(targets) = self.with_engine(token, |e| e.fencing_commands(now)) else {
                return;
            };
            let round_s = self.tuning.fence_interval_s;
            let max_targets = (self.tuning.fence_per_s * round_s).ceil() as usize;
            for target in targets.into_iter().take(max_targets) {
                spawn(self.clone().send_token(token, target));
            }
            sleep(round_s).await;
        }
    }

    /// Sends one machine its token, and passes the worker's reply to the engine.
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
                Ok(heartbeat) => {
                    let now = self.clock.now();
                    self.with_engine(revision, |e| e.receive_command_response(now, &heartbeat));
                    self.scheduler_wakeup.notify();
                }
                Err(e) => warn!(machine, reason = %e, "worker sent a malformed response"),
            },
            Ok((status, _)) => debug!(machine, status, "worker rejected the token"),
            Err(e) => debug!(machine, reason = %e, "worker did not respond to a direct command"),
        }
    }
}
