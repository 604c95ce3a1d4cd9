//! Whether a client is still connected, as seen without reading from its connection.

use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// How often a connection is checked whose end is hidden behind unread bytes.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A request that has waited for less needs no check: its client side has just made one.
const RECENTLY_CHECKED: Duration = Duration::from_millis(10);

/// Whether the other side has closed the connection, also behind bytes that are not read yet. Bytes that wait at the other
/// side, as there is no room for them here, hide the end until they have come.
pub fn is_disconnected(stream: &Async<TcpStream>) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => {
            let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
            let now = Timespec { tv_sec: 0, tv_nsec: 0 };
            // Where the system cannot tell, the end shows once the bytes are read.
            let ready = poll(&mut polled, Some(&now)).is_ok_and(|count| count > 0);
            let end = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
            ready && polled[0].revents().intersects(end)
        }
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Whether the system has bytes that are not read yet.
pub fn has_unread(stream: &Async<TcpStream>) -> bool {
    loop {
        match stream.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            peeked => return matches!(peeked, Ok(1..)),
        }
    }
}

/// Returns when the connection has ended; checks it every `CHECK_INTERVAL`.
pub async fn until_disconnected(stream: &Async<TcpStream>) {
    while !is_disconnected(stream) {
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// The client of a request, as the request's attempts see it.
pub struct ClientPresence {
    stream: Weak<Async<TcpStream>>,
    created_at: Instant,
}

impl ClientPresence {
    /// The client on this connection.
    pub fn of(stream: &Rc<Async<TcpStream>>) -> ClientPresence {
        ClientPresence { stream: Rc::downgrade(stream), created_at: Instant::now() }
    }

    /// Whether it has left. The end of its connection may show before the event for it has come through the queue.
    pub fn has_left(&self) -> bool {
        match self.stream.upgrade() {
            None => true,
            Some(stream) => self.created_at.elapsed() > RECENTLY_CHECKED && is_disconnected(&stream),
        }
    }
}
