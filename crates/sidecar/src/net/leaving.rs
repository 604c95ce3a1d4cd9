//! Detects that a client has disconnected, without reading from its connection.

use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// The interval at which a connection is checked for its end, which unread bytes may hide.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A request younger than this needs no check, since the client side has just checked its connection.
const RECENTLY_CHECKED: Duration = Duration::from_millis(10);

/// Whether the client has closed the connection, even if unread bytes precede the end. If the receive buffer is full,
/// bytes that are still queued at the client hide the end until they have arrived.
pub fn is_disconnected(stream: &Async<TcpStream>) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => {
            let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
            let now = Timespec { tv_sec: 0, tv_nsec: 0 };
            // If poll fails, the end is detected once the bytes are read.
            let ready = poll(&mut polled, Some(&now)).is_ok_and(|count| count > 0);
            let end = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
            ready && polled[0].revents().intersects(end)
        }
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Whether the kernel holds unread bytes of the connection.
pub fn has_unread(stream: &Async<TcpStream>) -> bool {
    loop {
        match stream.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            peeked => return matches!(peeked, Ok(1..)),
        }
    }
}

/// Returns when the connection has ended, which is checked every `CHECK_INTERVAL`.
pub async fn until_disconnected(stream: &Async<TcpStream>) {
    while !is_disconnected(stream) {
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Shows a request's attempts whether its client is still connected.
pub struct ClientPresence {
    stream: Weak<Async<TcpStream>>,
    created_at: Instant,
}

impl ClientPresence {
    /// Refers to the client on this connection, for a request that arrives now.
    pub fn of(stream: &Rc<Async<TcpStream>>) -> ClientPresence {
        ClientPresence { stream: Rc::downgrade(stream), created_at: Instant::now() }
    }

    /// Whether the client has disconnected. This may be visible before the event for it has passed through the owner's
    /// queue.
    pub fn has_left(&self) -> bool {
        match self.stream.upgrade() {
            None => true,
            Some(stream) => self.created_at.elapsed() > RECENTLY_CHECKED && is_disconnected(&stream),
        }
    }
}
