//! Runs a scenario in real time on loopback: each controller is a process of the program, and
//! the simulated services are tasks of this process on the real event loop.

use std::cell::RefCell;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use umbersail_runtime::{HostSpec, Runtime, WorldHandle};

use crate::addresses::{Addresses, controller_zone, member_name};
use crate::fault::Controller;
use crate::run::{Outcome, RunError, execute, properties_text, settings_text};
use crate::scenario::Scenario;

/// The process of a controller. Dropping this kills the process.
struct Process {
    program: PathBuf,
    dir: PathBuf,
    name: String,
    child: RefCell<Option<Child>>,
}

impl Process {
    fn start(&self) -> io::Result<()> {
        self.end();
        let path = |kind: &str| self.dir.join(format!("{}.{kind}", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(path("log"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(self.dir.join("umbersail.properties"))
            .arg("--config")
            .arg(path("toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL, which it cannot handle.
    fn end(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // Both calls fail if the process has already ended; nothing is left to do then.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process with SIGSTOP, or continues it with SIGCONT.
    fn pause(&self, stops: bool) {
        if let Some(child) = &*self.child.borrow() {
            let signal = if stops {
                Signal::SIGSTOP
            } else {
                Signal::SIGCONT
            };
            // This fails if the process has ended; nothing is left to stop then.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.pause(false);
        self.end();
    }
}

/// Runs a scenario (see [`Scenario::accelerated`]) with processes of `program` on 127.0.0.0/8.
/// Settings and logs of the controllers are in a directory of their own in the system's
/// directory for temporary files. Because time is real, two runs with the same seed are similar
/// but not identical.
///
/// # Errors
/// If the directory cannot be written or the runtime cannot be started.
pub fn run_real(night: &Scenario, seed: u64, program: &Path) -> Result<Outcome, RunError> {
    let dir = std::env::temp_dir().join(format!("umbersail-rehearsal-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let at = Addresses { simulated: false };
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    let properties = properties_text(night, since.as_millis() as u64);
    std::fs::write(dir.join("umbersail.properties"), properties)?;
    for n in 0..night.controllers.count {
        std::fs::write(
            dir.join(format!("{}.toml", member_name(n))),
            settings_text(night, n, at)?,
        )?;
    }
    let runtime = Runtime::new()?;
    let world = runtime.world();
    let (told, _) = std::sync::mpsc::channel();
    let scenario = Rc::new(night.clone());
    let (handle, program, folder) = (world.clone(), program.to_owned(), dir);
    let events = runtime.block_on(async move {
        let begin =
            |world: &WorldHandle, night: &Scenario| controllers(world, night, &program, &folder);
        execute(handle, scenario, seed, begin, told).await
    })?;
    Ok(Outcome::of(night, seed, events, &world))
}

/// Starts all controllers and returns handles that the faults use.
fn controllers(
    world: &WorldHandle,
    night: &Scenario,
    program: &Path,
    dir: &Path,
) -> Vec<Controller> {
    let at = Addresses { simulated: false };
    let build = |n: usize| {
        let process = Rc::new(Process {
            program: program.to_owned(),
            dir: dir.to_owned(),
            name: member_name(n),
            child: RefCell::new(None),
        });
        let (starts, ends, pauses) = (process.clone(), process.clone(), process);
        let start = move || {
            if let Err(e) = starts.start() {
                eprintln!("umbersail: cannot start {}: {e}", starts.program.display());
            }
        };
        start();
        Controller {
            member: member_name(n),
            zone: controller_zone(night, n).to_owned(),
            host: world.add_host(HostSpec::new(member_name(n), at.ip(0, 0, n as u8 + 1))),
            start: Box::new(start),
            end: Box::new(move || ends.end()),
            pause: Some(Box::new(move |stops| pauses.pause(stops))),
        }
    };
    (0..night.controllers.count).map(build).collect()
}
