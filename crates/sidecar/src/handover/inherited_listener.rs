//! The callers' listening socket, inherited from the process that holds it for every process of a sidecar.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

/// Takes over the listener with this descriptor. One that can't be used is logged, and None returned.
pub fn inherited_listener(descriptor: Option<RawFd>, listen: SocketAddr) -> Option<TcpListener> {
    let listener = take_over(descriptor?);
    let listener = listener.inspect_err(|error| tracing::warn!("NODE_FD: {error}; not used")).ok()?;
    match listener.local_addr() {
        Ok(address) if address == listen => {}
        address => tracing::warn!("NODE_FD: it listens at {address:?}, and not at {listen}"),
    }
    Some(listener)
}

fn take_over(descriptor: RawFd) -> io::Result<TcpListener> {
    // SAFETY: the number is looked at here alone, before anything else is opened, so that no other part of this process can own
    // or close it; that there is such a descriptor at all is checked with the first call.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    rustix::io::fcntl_getfd(borrowed)?;
    if !rustix::net::sockopt::socket_acceptconn(borrowed)? {
        return Err(io::Error::other("it does not listen"));
    }
    // SAFETY: as above; the descriptor is open and a listening socket, and this process owns it from here on.
    Ok(TcpListener::from(unsafe { OwnedFd::from_raw_fd(descriptor) }))
}

#[cfg(test)]
#[path = "inherited_listener_tests.rs"]
mod tests;
