//! Holds the callers' listening socket for all processes of a sidecar, where no platform does: opens it, and becomes the
//! command that starts them.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::IntoRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Comes back only if it fails.
pub fn hold(listen: SocketAddr, command: &[String]) -> io::Error {
    let Some((program, rest)) = command.split_first() else {
        return io::Error::other("no command to hold the socket for");
    };
    let inheritable = TcpListener::bind(listen).and_then(|listener| {
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty())?;
        Ok(listener.into_raw_fd())
    });
    match inheritable {
        Ok(fd) => Command::new(program).args(rest).env("NODE_FD", fd.to_string()).exec(),
        Err(wrong) => io::Error::new(wrong.kind(), format!("{listen}: {wrong}")),
    }
}
