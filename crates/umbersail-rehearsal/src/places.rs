//! Names, zones and addresses of everybody in a night.

use std::net::{Ipv4Addr, SocketAddr};

use crate::scenario::Scenario;

pub fn member(index: usize) -> String {
    format!("node-{index}")
}

/// Where everybody is: 10.0.0.0/8 in a simulated world, 127.0.0.0/8 on
/// loopback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    pub simulated: bool,
}

impl Addresses {
    pub fn ip(self, b: u8, c: u8, d: u8) -> Ipv4Addr {
        match self.simulated {
            true => Ipv4Addr::new(10, b, c, d),
            false => Ipv4Addr::new(127, b + 1, c, d),
        }
    }

    pub fn front(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(0, 0, index as u8 + 1).into(), 8080)
    }

    pub fn back(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.front(index).ip(), 8081)
    }

    pub fn state(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, 0, 1).into(), 2379 + index as u16)
    }

    pub fn cloud(self) -> SocketAddr {
        SocketAddr::new(self.ip(2, 0, 2).into(), 8443)
    }
}

pub fn zone(night: &Scenario, index: usize) -> &str {
    let zones = &night.controllers.zones;
    &zones[index % zones.len()]
}
