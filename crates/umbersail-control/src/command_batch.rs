//! The commands of one reply to a worker, within the largest size of a response.

use umbersail_wire::{Command, HeartbeatReply, MAX_BODY_BYTES, json_bytes};

/// Commands for one reply, in the order in which the worker executes them.
///
/// A batch ends with the first command that does not fit: later commands may depend on it, as a
/// launch depends on the capacity that a stop frees. Commands that were left out follow with
/// the replies to later heartbeats, because those list the same tasks again.
#[derive(Debug)]
pub(crate) struct CommandBatch {
    commands: Vec<Command>,
    /// Bytes that are left for further commands, in JSON form.
    free_bytes: usize,
}

impl CommandBatch {
    pub fn new() -> CommandBatch {
        let empty_reply = HeartbeatReply {
            token: u64::MAX,
            commands: Vec::new(),
        };
        CommandBatch {
            commands: Vec::new(),
            free_bytes: MAX_BODY_BYTES - json_bytes(&empty_reply),
        }
    }

    /// Adds a command. Returns false, and ends the batch, if the command does not fit.
    pub fn push(&mut self, command: Command) -> bool {
        let bytes = json_bytes(&command) + ",".len();
        if bytes > self.free_bytes {
            self.free_bytes = 0;
            return false;
        }
        self.free_bytes -= bytes;
        self.commands.push(command);
        true
    }

    /// Adds commands until one does not fit.
    pub fn extend(&mut self, commands: impl IntoIterator<Item = Command>) {
        for command in commands {
            if !self.push(command) {
                return;
            }
        }
    }

    pub fn into_commands(self) -> Vec<Command> {
        self.commands
    }
}

impl FromIterator<Command> for CommandBatch {
    fn from_iter<I: IntoIterator<Item = Command>>(commands: I) -> CommandBatch {
        let mut batch = CommandBatch::new();
        batch.extend(commands);
        batch
    }
}
