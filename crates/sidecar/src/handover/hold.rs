//! Holds the callers' listening socket for all processes of a sidecar where no platform does: binds it, and becomes the
//! command that starts them.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{IntoRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Binds the address and replaces this process by the command, which inherits the socket. Returns only on failure.
pub fn bind_and_exec(listen: SocketAddr, command: &[String]) -> io::Error {
    let Some((program, arguments)) = command.split_first() else {
        return io::Error::other("no command to hold the socket for");
    };
    match bind_inheritable(listen) {
        Ok(descriptor) => Command::new(program).args(arguments).env("NODE_FD", descriptor.to_string()).exec(),
        Err(error) => io::Error::new(error.kind(), format!("{listen}: {error}")),
    }
}

/// A listening socket that stays open in the command that replaces this process.
fn bind_inheritable(listen: SocketAddr) -> io::Result<RawFd> {
    let listener = TcpListener::bind(listen)?;
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty())?;
    Ok(listener.into_raw_fd())
}
