//! Addresses on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// A free port on a loopback address of its own: a port that one part lets go must not turn up in another.
pub fn free() -> io::Result<TcpListener> {
    static GIVEN: AtomicU32 = AtomicU32::new(1);
    let (pid, number) = (std::process::id(), GIVEN.fetch_add(1, Ordering::Relaxed));
    let address = Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, number as u8);
    TcpListener::bind((address, 0))
}

/// An address where nobody listens now.
pub fn nobody() -> io::Result<SocketAddr> {
    free()?.local_addr()
}
