//! Whether a caller is still there. It owns the looks at a caller's connection that read nothing; what follows from a
//! leaving is the owner's, and the bytes are `callers.rs`'s.

use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// How often a connection is looked at whose end is hidden by what was written ahead of it.
pub const LOOK_EVERY: Duration = Duration::from_millis(20);
/// A command that has waited for less needs no look: its caller's side has just looked.
const JUST_NOW: Duration = Duration::from_millis(10);

/// Whether the other side has ended the connection, also behind bytes that nobody has read yet. What still lies at the
/// other side, as there is no room for it here, hides the end until it has come.
pub fn ended(stream: &Async<TcpStream>) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => {
            let mut looked = [PollFd::new(stream, PollFlags::RDHUP)];
            let now = Timespec { tv_sec: 0, tv_nsec: 0 };
            // Where the system cannot tell, the bytes are read first, as before.
            let told = poll(&mut looked, Some(&now)).is_ok_and(|count| count > 0);
            let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
            told && looked[0].revents().intersects(over)
        }
        Err(wrong) => !matches!(wrong.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Whether bytes lie at the system that nobody has read yet.
pub fn has_unread(stream: &Async<TcpStream>) -> bool {
    loop {
        match stream.get_ref().peek(&mut [0]) {
            Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
            looked => return matches!(looked, Ok(1..)),
        }
    }
}

/// Comes back when the connection has ended, looked at every `LOOK_EVERY`.
pub async fn until_ended(stream: &Async<TcpStream>) {
    while !ended(stream) {
        Timer::after(LOOK_EVERY).await;
    }
}

/// Whoever asked for a command, as its relays see them.
pub struct ClientPresence {
    stream: Weak<Async<TcpStream>>,
    since: Instant,
}

impl ClientPresence {
    pub fn of(stream: &Rc<Async<TcpStream>>) -> ClientPresence {
        ClientPresence { stream: Rc::downgrade(stream), since: Instant::now() }
    }

    /// The end may be there to be seen before its word has come through the queue.
    pub fn left(&self) -> bool {
        match self.stream.upgrade() {
            None => true,
            Some(stream) => self.since.elapsed() > JUST_NOW && ended(&stream),
        }
    }
}
