//! Names, zones and addresses of the controllers and services in a scenario.

use std::net::{Ipv4Addr, SocketAddr};

use crate::scenario::Scenario;

/// Returns the member name of the controller with this index.
pub fn member_name(index: usize) -> String {
    format!("node-{index}")
}

/// Assigns addresses: in 10.0.0.0/8 in a simulated world, in 127.0.0.0/8 with real processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Whether the world is simulated.
    pub simulated: bool,
}

impl Addresses {
    /// Returns the IP address with these last three bytes; on loopback the second byte is one
    /// higher.
    pub fn ip(self, b: u8, c: u8, d: u8) -> Ipv4Addr {
        match self.simulated {
            true => Ipv4Addr::new(10, b, c, d),
            false => Ipv4Addr::new(127, b + 1, c, d),
        }
    }

    /// Returns the address at which a controller serves users and workers.
    pub fn client_addr(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(0, 0, index as u8 + 1).into(), 8080)
    }

    /// Returns the address at which a controller serves other controllers.
    pub fn peer_addr(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.client_addr(index).ip(), 8081)
    }

    /// Returns the address at which the key-value store serves this controller. Each controller
    /// has a port of its own, so that a fault can affect one controller alone.
    pub fn state_addr(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, 0, 1).into(), 2379 + index as u16)
    }

    /// Returns the address of the simulated cloud.
    pub fn cloud_addr(self) -> SocketAddr {
        SocketAddr::new(self.ip(2, 0, 2).into(), 8443)
    }
}

/// Returns the zone of the controller with this index.
pub fn controller_zone(night: &Scenario, index: usize) -> &str {
    let zones = &night.controllers.zones;
    &zones[index % zones.len()]
}
