//! A single-threaded asynchronous runtime, over `mio` or over a simulated world.
//!
//! A routine is a `Future`; it is cancelled by dropping it or through its
//! [`Routine`] handle. Nothing here knows about cluster scheduling.
//!
//! Modules depend on each other in one direction: `clock`, `timers` and
//! `routine_id` on none; `sim` (state of a simulated world) on those; the
//! `executor` on `sim`; `net`, `sync`, `time`, `world` and `simulation` on the
//! executor.
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
