//! Ports for the processes of a deployment.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use anyhow::Result;

/// First of the ports handed out. They lie below those that the system gives to outgoing
/// connections, so that none is taken between its choice and its use.
const PORT_FIRST: u16 = 20_000;
/// Ports handed out before starting over.
const PORTS: u16 = 10_000;
/// Processes started one after the other begin this far apart, so that they rarely try the same
/// port at the same moment.
const SPREAD: u32 = 397;

/// Chooses a port that no other deployment of this process was given, and that is free for both TCP
/// and UDP.
///
/// # Errors
///
/// When none of the ports is free.
pub fn free() -> Result<SocketAddr> {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id().wrapping_mul(SPREAD) % u32::from(PORTS)) as u16;
    for _ in 0..PORTS {
        let next = GIVEN.fetch_add(1, Ordering::Relaxed).wrapping_add(offset) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT_FIRST + next));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    anyhow::bail!("no port is free")
}
