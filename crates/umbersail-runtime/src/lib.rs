//! A single-threaded executor over `mio`, or over a simulated world.
//!
//! A routine is a `Future`; it is cancelled by dropping it or through its
//! [`Routine`] handle. Nothing here knows about scheduling.

mod clock;
mod executor;
mod net;
mod sim;
mod sync;
mod time;

pub use clock::{Clock, FakeClock, SystemClock, Time};
pub use executor::{Routine, Runtime, spawn};
pub use net::{TcpListener, TcpStream};
pub use sim::{
    CutId, CutMode, EPOCH_MS, HostId, HostSpec, NetworkConfig, Simulation, WorldHandle, charge,
    random, simulated_place,
};
pub use sync::{Broadcast, Notify};
pub use time::{Elapsed, Sleep, sleep, timeout};
