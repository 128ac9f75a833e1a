//! Loopback addresses of a run: each VM has an IP of its own, all share three ports.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ebonyfork::ident::{VmAddress, ZoneName};

use crate::error::LabError;
use crate::scenario::FleetSettings;

/// Last part of the address of all upstreams and the platform.
const SURROUNDINGS: u8 = 250;
/// Ports are taken from here on, below those that the kernel hands out.
const FIRST_PORT: u16 = 20_000;
const PORT_SPAN: u32 = 4_000;
const PORT_TRIES: u32 = 100;

/// Runs of this process so far, so that two of them don't share addresses.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Addresses and distances of one run.
#[derive(Debug, Clone)]
pub(super) struct AddressPlan {
    network: [u8; 2],
    zones: Vec<ZoneName>,
    nodes: u32,
    zone_delay: Duration,
    /// Ports of callers, peers and operators.
    pub(super) ports: [u16; 3],
}

impl AddressPlan {
    /// Picks addresses that are free now.
    pub(super) fn pick(fleet: &FleetSettings) -> Result<Self, LabError> {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let network = [16 + (process % 200) as u8, (process / 200 + run * 37) as u8];
        let mut plan = Self {
            network,
            zones: fleet.zones.clone(),
            nodes: fleet.nodes,
            zone_delay: fleet.zone_delay,
            ports: [0; 3],
        };
        let mut error = None;
        for number in 0..PORT_TRIES {
            let step = process.wrapping_mul(31).wrapping_add(run * 97 + number * 7) % PORT_SPAN;
            let first = FIRST_PORT + (step * 3) as u16;
            plan.ports = [first, first + 1, first + 2];
            match plan.try_ports() {
                Ok(()) => return Ok(plan),
                Err(found) => error = Some(found),
            }
        }
        Err(LabError::System {
            what: "no three free ports",
            source: error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()),
        })
    }

    fn try_ports(&self) -> Result<(), std::io::Error> {
        for node in 0..self.nodes {
            for port in self.ports {
                TcpListener::bind(SocketAddr::new(self.vm(node).0, port))?;
            }
        }
        Ok(())
    }

    fn ip(&self, last: u8) -> IpAddr {
        let [second, third] = self.network;
        Ipv4Addr::new(127, second, third, last).into()
    }

    /// The VM of a node.
    pub(super) fn vm(&self, node: u32) -> VmAddress {
        VmAddress(self.ip(node as u8 + 1))
    }

    /// Where a node takes callers.
    pub(super) fn caller_address(&self, node: u32) -> SocketAddr {
        SocketAddr::new(self.vm(node).0, self.ports[0])
    }

    /// A free port for an upstream or the platform.
    pub(super) fn surroundings(&self) -> SocketAddr {
        SocketAddr::new(self.ip(SURROUNDINGS), 0)
    }

    /// The zone that the n-th VM or upstream is dealt to.
    pub(super) fn zone(&self, number: u32) -> &ZoneName {
        &self.zones[number as usize % self.zones.len()]
    }

    /// The zone of a VM; none if the address is not one of this run.
    pub(super) fn zone_of(&self, vm: IpAddr) -> Option<&ZoneName> {
        let IpAddr::V4(ip) = vm else {
            return None;
        };
        let [_, second, third, last] = ip.octets();
        let node = u32::from(last).checked_sub(1)?;
        ([second, third] == self.network && node < self.nodes).then(|| self.zone(node))
    }

    /// One-way delay between a zone and a VM.
    pub(super) fn delay(&self, zone: &ZoneName, vm: IpAddr) -> Duration {
        match self.zone_of(vm) {
            Some(other) if other != zone => self.zone_delay,
            _ => Duration::ZERO,
        }
    }
}
