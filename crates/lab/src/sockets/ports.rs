//! Addresses on loopback. Those that this program listens at have a port that the system chose; those that are handed to
//! another program to listen at have one below the system's range and were never bound here.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// A free port on a loopback address of its own: a port that one part lets go must not turn up in another.
pub fn bind_loopback() -> io::Result<TcpListener> {
    TcpListener::bind((own_address(), 0))
}

/// The same for datagrams.
pub fn bind_loopback_udp() -> io::Result<(UdpSocket, SocketAddrV4)> {
    let address = own_address();
    let socket = UdpSocket::bind((address, 0))?;
    let port = socket.local_addr()?.port();
    Ok((socket, SocketAddrV4::new(address, port)))
}

static GIVEN: AtomicU32 = AtomicU32::new(1);

/// By this process's number and how many it has had.
fn own_address() -> Ipv4Addr {
    numbered(GIVEN.fetch_add(1, Ordering::Relaxed)).0
}

/// The address of this process that has this number, and how often its addresses were all used up by then.
fn numbered(number: u32) -> (Ipv4Addr, u32) {
    let pid = std::process::id();
    (Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 128, pid as u8, number as u8), number >> 8)
}

/// Ports from here on, below those that the system hands out (from 32768 on), for programs that are started.
const UNUSED_FROM: u32 = 10_000;
/// A process's number has 22 bits at most; 15 of them are in its addresses.
const PIDS_APART: u32 = 128;
const ROUNDS: u32 = 128;

/// An address for a program that is about to be started, where nobody listens and nobody has listened: no two calls and
/// no two processes are told the same one, until this process has asked for some 30,000.
///
/// One that was bound here and let go would not do. Whatever other thread starts a process meanwhile hands it a copy of
/// the listener until its `exec`: the address stays in use that long, and the program that was told it can't listen.
pub fn unused_address_v4() -> SocketAddrV4 {
    let (address, round) = numbered(GIVEN.fetch_add(1, Ordering::Relaxed));
    let apart = std::process::id() >> 15;
    let port = UNUSED_FROM + apart % PIDS_APART * ROUNDS + round % ROUNDS;
    SocketAddrV4::new(address, port as u16)
}

/// An address where nobody listens.
pub fn unused_address() -> SocketAddr {
    unused_address_v4().into()
}
