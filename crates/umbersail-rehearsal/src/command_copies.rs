//! Repeated direct commands: copies of commands that a worker has carried out and answered reach
//! its address once more, on connections of their own, also when the machine has restarted or
//! another controller leads by then.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umbersail_http::{Client, ClientLimits};
use umbersail_runtime::{HostId, HostSpec, Notify, WorldHandle, sleep, spawn};
use umbersail_wire::{Command, DirectCommands, decode, paths};

use crate::addresses::Addresses;
use crate::delays::DelayFault;
use crate::history::{EventKind, History};

/// Timeout of connecting and of the answer when a copy is sent, in seconds.
const CONNECTION_S: f64 = 4.0;

/// Query of a copy's target, so that no copies are made of copies.
const COPY_QUERY: &str = "copy";

/// A direct command that is to be sent again.
struct CommandCopy {
    machine: String,
    to: SocketAddr,
    body: Vec<u8>,
    held_s: f64,
}

/// Makes and sends copies of direct commands, from a host of its own.
pub struct CommandCopies {
    /// Which commands are copied now, and after what delay the copies arrive.
    delay: Cell<Option<DelayFault>>,
    host: Cell<Option<HostId>>,
    /// Copies that the task on the host has not picked up yet.
    new: Rc<RefCell<Vec<CommandCopy>>>,
    history: History,
    wake: Rc<Notify>,
    rng: RefCell<ChaCha8Rng>,
}

impl CommandCopies {
    /// Creates the component with the fault off.
    pub fn new(seed: u64, history: History) -> CommandCopies {
        CommandCopies {
            delay: Cell::new(None),
            host: Cell::new(None),
            new: Rc::default(),
            history,
            wake: Rc::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x7265_7065_6174)),
        }
    }

    /// The host that sends the copies, if the fault was ever switched on.
    pub fn host(&self) -> Option<HostId> {
        self.host.get()
    }

    /// Starts to copy commands.
    pub fn begin(&self, world: &WorldHandle, delay: DelayFault) {
        self.delay.set(Some(delay));
        if self.host.get().is_some() {
            return;
        }
        let at = Addresses {
            simulated: world.is_simulated(),
        };
        let host = world.add_host(HostSpec::new("command-copies", at.ip(3, 0, 3)));
        self.host.set(Some(host));
        let (new, wake, history) = (self.new.clone(), self.wake.clone(), self.history.clone());
        world.start(host, async move {
            loop {
                for copy in new.take() {
                    spawn(send(copy, history.clone()));
                }
                wake.notified().await;
            }
        });
    }

    /// Stops copying. Copies in flight still arrive.
    pub fn end(&self) {
        self.delay.set(None);
    }

    /// Notes a command that a worker has carried out, and copies it if the fault selects it.
    pub fn observe(&self, machine: &str, worker: SocketAddr, target: &str, body: &[u8]) {
        let Some(delay) = self.delay.get() else {
            return;
        };
        if target.ends_with(COPY_QUERY) {
            return;
        }
        let Some(held_s) = delay.draw(&mut *self.rng.borrow_mut()) else {
            return;
        };
        self.new.borrow_mut().push(CommandCopy {
            machine: machine.to_owned(),
            to: worker,
            body: body.to_vec(),
            held_s,
        });
        self.wake.notify();
    }
}

/// Sends a copy after its delay and records its outcome.
async fn send(copy: CommandCopy, history: History) {
    sleep(copy.held_s).await;
    let client = Client::new(ClientLimits {
        max_body_bytes: 128 << 10,
        max_per_address: 1,
        max_idle: 0,
        max_total: 1,
        connect_timeout_s: CONNECTION_S,
    });
    let target = format!("{}?{COPY_QUERY}", paths::WORKER_COMMANDS);
    let answer = client
        .request(copy.to, "POST", &target, &copy.body, CONNECTION_S)
        .await;
    let commands = decode::<DirectCommands>(&copy.body).map(|message| message.commands);
    let is_start = |command: &&Command| matches!(command, Command::Start { .. });
    history.add(EventKind::RepeatedCommand {
        machine: copy.machine,
        held_s: (copy.held_s * 1e6).round() / 1e6,
        status: answer.map_or(0, |(status, _)| status),
        starts: commands.map_or(0, |all| all.iter().filter(is_start).count()),
    });
}
