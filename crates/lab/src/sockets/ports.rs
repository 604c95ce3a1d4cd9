//! Loopback addresses. Listeners of this process get ports that the system assigns. Addresses for other programs have
//! ports below the system's range, which this process never binds.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Listens at a port that the system assigns, on a loopback address of its own: a port that one part of a test releases
/// is not assigned to another part.
pub fn bind_loopback() -> io::Result<TcpListener> {
    TcpListener::bind((next_address(), 0))
}

/// Binds a UDP socket in the same way.
pub fn bind_loopback_udp() -> io::Result<(UdpSocket, SocketAddrV4)> {
    let address = next_address();
    let socket = UdpSocket::bind((address, 0))?;
    let port = socket.local_addr()?.port();
    Ok((socket, SocketAddrV4::new(address, port)))
}

static ADDRESSES_USED: AtomicU32 = AtomicU32::new(1);

/// The next loopback address of this process.
fn next_address() -> Ipv4Addr {
    address_at(ADDRESSES_USED.fetch_add(1, Ordering::Relaxed)).0
}

/// The address of this process with this number, and how often all of its 256 addresses were used before.
fn address_at(number: u32) -> (Ipv4Addr, u32) {
    let pid = std::process::id();
    (Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 128, pid as u8, number as u8), number >> 8)
}

/// First port for started programs; their ports are below 32768, where the range of the system begins.
const FIRST_PROGRAM_PORT: u32 = 10_000;
/// Number of values of the upper 7 bits of a process id, which has 22 bits at most; addresses contain the lower 15.
const PID_GROUPS: u32 = 128;
/// Number of times that a process can use each of its addresses with another port.
const ROUNDS_PER_ADDRESS: u32 = 128;

/// An address for a program that is about to start, at which no process listens or has listened. No two calls and no
/// two processes get the same address, up to some 30,000 calls of one process.
///
/// It does not bind a port and release it: a process that another thread starts in between keeps a copy of the listener
/// until its `exec`, and until then the program could not listen at the address.
pub fn unused_address_v4() -> SocketAddrV4 {
    let (address, round) = address_at(ADDRESSES_USED.fetch_add(1, Ordering::Relaxed));
    let pid_group = std::process::id() >> 15;
    let port = FIRST_PROGRAM_PORT + pid_group % PID_GROUPS * ROUNDS_PER_ADDRESS + round % ROUNDS_PER_ADDRESS;
    SocketAddrV4::new(address, port as u16)
}

/// The same as [`unused_address_v4`], as a `SocketAddr`.
pub fn unused_address() -> SocketAddr {
    unused_address_v4().into()
}
