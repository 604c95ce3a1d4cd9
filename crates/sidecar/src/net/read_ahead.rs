//! What a client writes behind the request that is being answered: the bytes themselves, a buffer of them at most, and when
//! each of them was there. A request's time runs from the moment its last byte came, whenever its turn comes; and a
//! request that was read is owed an answer, whatever ends the connection.

use super::buffers::{Buffer, ResourcePool};
use super::http;
use super::leaving;
use crate::clock::Clock;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// So many moments at which bytes came are told apart on one connection.
const MARKS_MOST: usize = 64;
/// So much is read at a time.
const READ_SIZE: usize = 1024;

/// When the bytes of one connection were there, by their offset in the stream.
struct Arrivals {
    /// How many bytes were read.
    read: u64,
    /// Offsets up to which all bytes were there by a moment, both rising.
    marks: VecDeque<(u64, Duration)>,
}

impl Arrivals {
    fn new() -> Arrivals {
        Arrivals { read: 0, marks: VecDeque::new() }
    }

    /// So many bytes were read just now.
    fn were_read(&mut self, count: usize, now: Duration) {
        self.read += count as u64;
        self.mark(self.read, now);
    }

    /// So many bytes lie at the system, unread.
    fn lie_unread(&mut self, count: u64, now: Duration) {
        self.mark(self.read + count, now);
    }

    fn mark(&mut self, offset: u64, now: Duration) {
        if self.marks.back().is_some_and(|(known, _)| *known >= offset) {
            return;
        }
        let many = self.marks.len() >= MARKS_MOST;
        match self.marks.back_mut().filter(|_| many) {
            // Too many to tell apart: taken for older than they are, never for younger.
            Some((known, _)) => *known = offset,
            None => self.marks.push_back((offset, now)),
        }
    }

    /// When the last byte was there behind which so many have been read. Those before it are forgotten.
    fn of_byte_before(&mut self, behind: usize, now: Duration) -> Duration {
        let offset = self.read.saturating_sub(behind as u64);
        while self.marks.len() > 1 && self.marks.front().is_some_and(|(known, _)| *known < offset) {
            self.marks.pop_front();
        }
        self.marks.front().filter(|(known, _)| *known >= offset).map_or(now, |(_, at)| *at)
    }
}

/// One connection's bytes that were read ahead of their turn.
pub struct ReadAhead {
    stock: Rc<ResourcePool>,
    clock: Clock,
    bytes: RefCell<Option<Buffer>>,
    /// No buffer was free for them.
    lost: Cell<bool>,
    arrivals: RefCell<Arrivals>,
}

impl ReadAhead {
    pub fn new(stock: &Rc<ResourcePool>, clock: &Clock) -> ReadAhead {
        ReadAhead {
            stock: stock.clone(),
            clock: clock.clone(),
            bytes: RefCell::default(),
            lost: Cell::new(false),
            arrivals: RefCell::new(Arrivals::new()),
        }
    }

    /// Notes that a message has just come whole, or as far as it is held: so many bytes were read for it, of which so many
    /// lie behind it. When its last byte was there.
    pub fn message_came(&self, read: usize, behind: usize) -> Duration {
        let now = self.clock.now();
        let mut arrivals = self.arrivals.borrow_mut();
        if read > 0 {
            arrivals.were_read(read, now);
        }
        arrivals.of_byte_before(behind, now)
    }

    /// Keeps what came behind a message.
    pub fn add(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut held = self.bytes.borrow_mut();
        if held.is_none() {
            *held = self.stock.buffer();
        }
        let room = held.as_mut().and_then(|buffer| buffer.spare().get_mut(..bytes.len()));
        match room {
            Some(room) => room.copy_from_slice(bytes),
            None => return self.lost.set(true),
        }
        held.iter_mut().for_each(|buffer| buffer.fill(bytes.len()));
    }

    /// What was kept, for the next message to begin with.
    pub fn take(&self) -> Option<Buffer> {
        self.bytes.take()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_none()
    }

    /// Bytes were read that could not be kept: the connection cannot go on.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Whether a request lies here that has come to its last byte.
    pub fn holds_whole_request(&self) -> bool {
        !self.lost.get()
            && self.bytes.borrow().as_ref().is_some_and(|held| http::is_complete_request(held.filled()))
    }

    /// How much more may be read; nothing where what is held is full, or there is no buffer to hold it.
    fn room(&self) -> usize {
        let mut held = self.bytes.borrow_mut();
        if held.is_none() {
            *held = self.stock.buffer();
        }
        held.as_mut().filter(|_| !self.lost.get()).map_or(0, |held| held.spare().len())
    }

    /// Comes back when the client has left. What it writes ahead would hide that, so it is read as far as there is room and
    /// `may_read` says so; past that the end is looked for behind what is not read.
    pub async fn until_gone(&self, mut stream: &Async<TcpStream>, may_read: impl Fn() -> bool) {
        let mut bytes = [0; READ_SIZE];
        while matches!(stream.peek(&mut [0]).await, Ok(1..)) {
            let most = if may_read() { self.room().min(bytes.len()) } else { 0 };
            if most == 0 {
                if leaving::ended(stream) {
                    return;
                }
                self.note_unread(stream);
                Timer::after(leaving::LOOK_EVERY).await;
                continue;
            }
            match stream.read(&mut bytes[..most]).await {
                Ok(count @ 1..) => {
                    self.arrivals.borrow_mut().were_read(count, self.clock.now());
                    self.add(&bytes[..count]);
                }
                Err(wrong) if wrong.kind() == std::io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    fn note_unread(&self, stream: &Async<TcpStream>) {
        // Where the system does not tell, they count from when they are read.
        if let Ok(count) = rustix::io::ioctl_fionread(stream) {
            self.arrivals.borrow_mut().lie_unread(count, self.clock.now());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn a_byte_was_there_when_it_was_first_seen_read_or_not() {
        let mut arrivals = Arrivals::new();
        arrivals.were_read(100, at(10));
        assert_eq!(arrivals.of_byte_before(40, at(10)), at(10));
        arrivals.lie_unread(500, at(30));
        arrivals.lie_unread(500, at(50));
        arrivals.were_read(300, at(90));
        assert_eq!(arrivals.of_byte_before(350, at(90)), at(10), "within what was read first");
        assert_eq!(arrivals.of_byte_before(0, at(90)), at(30), "it lay unread since then");
        arrivals.were_read(300, at(120));
        assert_eq!(arrivals.of_byte_before(0, at(120)), at(120));
    }

    #[test]
    fn marks_have_a_bound_and_past_it_bytes_count_as_older() {
        let mut arrivals = Arrivals::new();
        for step in 0..1000 {
            arrivals.were_read(10, at(step));
        }
        assert_eq!(arrivals.marks.len(), MARKS_MOST);
        assert_eq!(arrivals.of_byte_before(0, at(1000)), at(MARKS_MOST as u64 - 1));
    }
}
