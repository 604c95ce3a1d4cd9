//! What a client writes behind the request that is being answered: the bytes, up to one buffer of them, and when each of
//! them arrived. A request's time runs from the arrival of its last byte, whenever its turn comes; and a request that was
//! read is owed a response, whatever ends the connection.

use super::buffers::{Buffer, ResourcePool};
use super::http;
use super::leaving;
use crate::clock::Clock;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// How many arrival times are told apart on one connection.
const MAX_RECORDED_ARRIVALS: usize = 64;
/// How many bytes are read at a time.
const READ_SIZE: usize = 1024;

/// All bytes of a connection up to this offset had arrived at this time.
#[derive(Clone, Copy)]
struct Arrival {
    offset: u64,
    at: Duration,
}

/// When the bytes of one connection arrived, by their offset in the stream.
struct Arrivals {
    /// How many bytes were read.
    bytes_read: u64,
    /// By rising offset and time.
    recorded: VecDeque<Arrival>,
}

impl Arrivals {
    fn new() -> Arrivals {
        Arrivals { bytes_read: 0, recorded: VecDeque::new() }
    }

    /// `count` bytes were read just now.
    fn record_read(&mut self, count: usize, now: Duration) {
        self.bytes_read += count as u64;
        self.record_offset(self.bytes_read, now);
    }

    /// The system has `count` bytes that are not read yet.
    fn record_unread(&mut self, count: u64, now: Duration) {
        self.record_offset(self.bytes_read + count, now);
    }

    fn record_offset(&mut self, offset: u64, now: Duration) {
        if self.recorded.back().is_some_and(|last| last.offset >= offset) {
            return;
        }
        let full = self.recorded.len() >= MAX_RECORDED_ARRIVALS;
        match self.recorded.back_mut().filter(|_| full) {
            // Too many to tell apart: bytes count as older than they are, never as younger.
            Some(last) => last.offset = offset,
            None => self.recorded.push_back(Arrival { offset, at: now }),
        }
    }

    /// When the last byte arrived behind which `surplus` bytes were read. Earlier arrivals are forgotten.
    fn arrival_time(&mut self, surplus: usize, now: Duration) -> Duration {
        let offset = self.bytes_read.saturating_sub(surplus as u64);
        while self.recorded.len() > 1 && self.recorded.front().is_some_and(|first| first.offset < offset) {
            self.recorded.pop_front();
        }
        self.recorded.front().filter(|first| first.offset >= offset).map_or(now, |first| first.at)
    }
}

/// One connection's bytes that were read ahead of their turn.
pub struct ReadAhead {
    resources: Rc<ResourcePool>,
    clock: Clock,
    bytes: RefCell<Option<Buffer>>,
    /// No buffer was free for some bytes.
    overflowed: Cell<bool>,
    arrivals: RefCell<Arrivals>,
}

impl ReadAhead {
    /// Nothing is read yet.
    pub fn new(resources: &Rc<ResourcePool>, clock: &Clock) -> ReadAhead {
        ReadAhead {
            resources: resources.clone(),
            clock: clock.clone(),
            bytes: RefCell::default(),
            overflowed: Cell::new(false),
            arrivals: RefCell::new(Arrivals::new()),
        }
    }

    /// A message has just arrived completely, or as far as it is buffered: `read` bytes were read for it, `surplus` of them
    /// lie behind it. Returns when its last byte arrived.
    pub fn record_message(&self, read: usize, surplus: usize) -> Duration {
        let now = self.clock.now();
        let mut arrivals = self.arrivals.borrow_mut();
        if read > 0 {
            arrivals.record_read(read, now);
        }
        arrivals.arrival_time(surplus, now)
    }

    /// Stores what was read behind a message.
    pub fn store(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut stored = self.bytes.borrow_mut();
        if stored.is_none() {
            *stored = self.resources.buffer();
        }
        let space = stored.as_mut().and_then(|buffer| buffer.spare().get_mut(..bytes.len()));
        match space {
            Some(space) => space.copy_from_slice(bytes),
            None => return self.overflowed.set(true),
        }
        stored.iter_mut().for_each(|buffer| buffer.fill(bytes.len()));
    }

    /// Takes what is stored, for the next message to begin with.
    pub fn take(&self) -> Option<Buffer> {
        self.bytes.take()
    }

    /// Whether nothing is stored.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_none()
    }

    /// Bytes were read that could not be stored: the connection cannot go on.
    pub fn has_overflowed(&self) -> bool {
        self.overflowed.get()
    }

    /// Whether what is stored begins with a complete request.
    pub fn has_complete_request(&self) -> bool {
        !self.overflowed.get()
            && self.bytes.borrow().as_ref().is_some_and(|bytes| http::is_complete_request(bytes.filled()))
    }

    /// How much more can be stored; nothing where the buffer is full or none is free.
    fn free_space(&self) -> usize {
        let mut stored = self.bytes.borrow_mut();
        if stored.is_none() {
            *stored = self.resources.buffer();
        }
        stored.as_mut().filter(|_| !self.overflowed.get()).map_or(0, |stored| stored.spare().len())
    }

    /// Returns when the client has left. What it writes ahead would hide that, so it is read as far as there is room and
    /// `may_read` allows; beyond that, the end of the connection is looked for behind what is not read.
    pub async fn until_disconnected(&self, mut stream: &Async<TcpStream>, may_read: impl Fn() -> bool) {
        let mut bytes = [0; READ_SIZE];
        while matches!(stream.peek(&mut [0]).await, Ok(1..)) {
            let max = if may_read() { self.free_space().min(bytes.len()) } else { 0 };
            if max == 0 {
                if leaving::is_disconnected(stream) {
                    return;
                }
                self.record_unread(stream);
                Timer::after(leaving::CHECK_INTERVAL).await;
                continue;
            }
            match stream.read(&mut bytes[..max]).await {
                Ok(count @ 1..) => {
                    self.arrivals.borrow_mut().record_read(count, self.clock.now());
                    self.store(&bytes[..count]);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    fn record_unread(&self, stream: &Async<TcpStream>) {
        // Where the system does not tell, bytes count from when they are read.
        if let Ok(count) = rustix::io::ioctl_fionread(stream) {
            self.arrivals.borrow_mut().record_unread(count, self.clock.now());
        }
    }
}

#[cfg(test)]
#[path = "read_ahead_tests.rs"]
mod tests;
