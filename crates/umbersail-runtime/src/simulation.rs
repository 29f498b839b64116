//! The runtime of a simulated world.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;

use crate::executor::{Runtime, World};
use crate::sim::{HostSpec, NetworkConfig, Sim};
use crate::world::WorldHandle;

/// A runtime whose world is simulated.
///
/// A host is a machine that runs one process. The routines of the process use
/// [`sleep`](crate::sleep), [`TcpStream`](crate::TcpStream) and
/// [`random`](crate::random) in the same way as in the real world.
///
/// ```
/// use umbersail_runtime::{HostSpec, NetworkConfig, Simulation, sleep};
///
/// let simulation = Simulation::new(7, NetworkConfig::default());
/// let world = simulation.world();
/// let host = world.add_host(HostSpec::new("a", [10, 0, 0, 1].into()));
/// let end = simulation
///     .block_on(async move {
///         world.start(host, async { sleep(3600.0).await });
///         sleep(7200.0).await;
///         world.now()
///     })
///     .unwrap();
/// assert!((end - 7200.0).abs() < 1e-6);
/// ```
pub struct Simulation {
    runtime: Runtime,
}

impl Simulation {
    /// Creates a world without hosts, in which `seed` determines all random numbers.
    pub fn new(seed: u64, config: NetworkConfig) -> Simulation {
        let sim = Sim::new(seed, config);
        let simulation = Simulation {
            runtime: Runtime::with_world(World::Simulated(Box::new(sim))),
        };
        let outside = HostSpec::new("outside", Ipv4Addr::UNSPECIFIED);
        simulation.world().add_host(outside);
        simulation
    }

    /// Returns a handle on the world, to add hosts and inject faults.
    pub fn world(&self) -> WorldHandle {
        self.runtime.world()
    }

    /// Runs `main` outside of every host until `main` completes.
    ///
    /// # Errors
    /// If all routines wait and no event is scheduled.
    pub fn block_on<T: 'static>(&self, main: impl Future<Output = T> + 'static) -> io::Result<T> {
        self.runtime.block_on(main)
    }

    /// Runs `main` as [`Simulation::block_on`] does, and calls `observe` after every 1000
    /// iterations of the event loop, for example to show progress. `observe` runs outside of
    /// the world and can't change the run.
    ///
    /// # Errors
    /// If all routines wait and no event is scheduled.
    pub fn block_on_observed<T: 'static>(
        &self,
        main: impl Future<Output = T> + 'static,
        observe: impl FnMut(),
    ) -> io::Result<T> {
        self.runtime.block_on_observed(main, observe)
    }
}
