//! Takes over the listening socket for clients from the process that holds it for all processes of a sidecar.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

/// Takes over the listening socket with this descriptor. Logs a descriptor that cannot be used, and returns None.
pub fn inherited_listener(descriptor: Option<RawFd>, listen: SocketAddr) -> Option<TcpListener> {
    let listener = take_over(descriptor?);
    let listener = listener.inspect_err(|error| tracing::warn!("NODE_FD: {error}; not used")).ok()?;
    match listener.local_addr() {
        Ok(address) if address == listen => {}
        address => tracing::warn!("NODE_FD: the socket listens at {address:?}, expected {listen}"),
    }
    Some(listener)
}

fn take_over(descriptor: RawFd) -> io::Result<TcpListener> {
    // SAFETY: the descriptor is used only here, before anything else is opened, so no other part of this process can own or
    // close it. `fcntl_getfd` then checks that the descriptor is open.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    rustix::io::fcntl_getfd(borrowed)?;
    if !rustix::net::sockopt::socket_acceptconn(borrowed)? {
        return Err(io::Error::other("the descriptor is not a listening socket"));
    }
    // SAFETY: as above; the descriptor is an open listening socket, and from here on the `TcpListener` owns it.
    Ok(TcpListener::from(unsafe { OwnedFd::from_raw_fd(descriptor) }))
}

#[cfg(test)]
#[path = "inherited_listener_tests.rs"]
mod tests;
