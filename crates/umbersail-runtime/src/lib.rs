//! A single-threaded asynchronous runtime, over the operating system (`mio`) or over a
//! simulated world.
//!
//! A *world* provides time, network and random numbers. The real world uses the clock, the
//! sockets and the random numbers of the machine. A simulated world has virtual time, hosts
//! with drifting clocks, and a network in memory with partitions and lost packets; one seed
//! determines its entire run.
//!
//! A *routine* is a spawned `Future`, called "task" in other runtimes; here a task is a unit
//! of a job of the scheduler. A routine is cancelled through its [`Routine`] handle, or when
//! the routine that spawned it ends. This crate has no knowledge of cluster scheduling.
//!
//! Modules depend on each other in one direction: `clock`, `timers` and `routine_id` on no
//! other module; `sim` (state of a simulated world) on these three; `executor` on `sim`;
//! `net`, `sync`, `time`, `world` and `simulation` on `executor`.
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod clock;
mod executor;
mod net;
mod routine_id;
mod sim;
mod simulation;
mod sync;
mod time;
mod timers;
mod world;

pub use clock::{Clock, FakeClock, SystemClock, Time};
pub use executor::{Routine, Runtime, spawn};
pub use net::{TcpListener, TcpStream};
pub use sim::{
    EPOCH_MS, HostId, HostSpec, NetworkConfig, PartitionId, PartitionMode, WorkCounters,
};
pub use simulation::Simulation;
pub use sync::{Broadcast, Notify};
pub use time::{Elapsed, Sleep, sleep, timeout};
pub use world::{WorldHandle, charge_cpu, random, simulated_time_and_host};
