//! Binds the listening socket for clients and replaces this process by a command that starts the sidecar's processes, for
//! environments in which no platform holds the socket.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{IntoRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Binds the address and replaces this process by the command, which inherits the socket. Returns only if this fails.
pub fn bind_and_exec(listen: SocketAddr, command: &[String]) -> io::Error {
    let Some((program, arguments)) = command.split_first() else {
        return io::Error::other("expected a command that inherits the listening socket");
    };
    match bind_inheritable(listen) {
        Ok(descriptor) => Command::new(program).args(arguments).env("NODE_FD", descriptor.to_string()).exec(),
        Err(error) => io::Error::new(error.kind(), format!("{listen}: {error}")),
    }
}

/// Binds a listening socket without the close-on-exec flag, so that it stays open in the command.
fn bind_inheritable(listen: SocketAddr) -> io::Result<RawFd> {
    let listener = TcpListener::bind(listen)?;
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty())?;
    Ok(listener.into_raw_fd())
}
