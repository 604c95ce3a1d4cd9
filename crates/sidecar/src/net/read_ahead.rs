//! Stores the bytes that a client sends while an earlier request is being answered, up to one buffer, and records when
//! bytes arrived.
//!
//! The time limit of a request runs from the arrival of its last byte, even if it waits behind another request. A
//! request that was read must get a response, whatever ends the connection.

use super::buffers::{Buffer, ResourcePool};
use super::http;
use super::leaving;
use super::socket;
use crate::clock::Clock;
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// The most arrival times that are recorded for one connection.
const MAX_RECORDED_ARRIVALS: usize = 64;
/// The most bytes that are read at a time.
const READ_SIZE: usize = 1024;

/// All bytes of the stream before `offset` had arrived at the time `at`.
#[derive(Clone, Copy)]
struct Arrival {
    offset: u64,
    at: Duration,
}

/// The arrival times of one connection's bytes, by offset in the stream.
struct Arrivals {
    /// The number of bytes that were read from the connection.
    bytes_read: u64,
    /// In ascending order of offset and time.
    recorded: VecDeque<Arrival>,
}

impl Arrivals {
    fn new() -> Arrivals {
        Arrivals { bytes_read: 0, recorded: VecDeque::new() }
    }

    /// Records that `count` bytes were read at the time `now`.
    fn record_read(&mut self, count: usize, now: Duration) {
        self.bytes_read += count as u64;
        self.record_offset(self.bytes_read, now);
    }

    /// Records that the kernel holds `count` unread bytes at the time `now`.
    fn record_unread(&mut self, count: u64, now: Duration) {
        self.record_offset(self.bytes_read + count, now);
    }

    fn record_offset(&mut self, offset: u64, now: Duration) {
        if self.recorded.back().is_some_and(|last| last.offset >= offset) {
            return;
        }
        let full = self.recorded.len() >= MAX_RECORDED_ARRIVALS;
        match self.recorded.back_mut().filter(|_| full) {
            // Past `MAX_RECORDED_ARRIVALS` entries, new bytes join the last entry and get its earlier time. A deadline
            // may then be too early, but never too late.
            Some(last) => last.offset = offset,
            None => self.recorded.push_back(Arrival { offset, at: now }),
        }
    }

    /// The arrival time of the byte that precedes the last `surplus` bytes read, or `now` if none is recorded. Forgets
    /// earlier arrivals.
    fn arrival_time(&mut self, surplus: usize, now: Duration) -> Duration {
        let offset = self.bytes_read.saturating_sub(surplus as u64);
        while self.recorded.len() > 1 && self.recorded.front().is_some_and(|first| first.offset < offset) {
            self.recorded.pop_front();
        }
        self.recorded.front().filter(|first| first.offset >= offset).map_or(now, |first| first.at)
    }
}

/// The bytes of one connection that were read beyond the request being answered.
pub struct ReadAhead {
    resources: Rc<ResourcePool>,
    clock: Clock,
    bytes: RefCell<Option<Buffer>>,
    /// Whether bytes were read that could not be stored, as no buffer was free or the buffer was full.
    overflowed: Cell<bool>,
    arrivals: RefCell<Arrivals>,
}

impl ReadAhead {
    /// Creates an empty store.
    pub fn new(resources: &Rc<ResourcePool>, clock: &Clock) -> ReadAhead {
        ReadAhead {
            resources: resources.clone(),
            clock: clock.clone(),
            bytes: RefCell::default(),
            overflowed: Cell::new(false),
            arrivals: RefCell::new(Arrivals::new()),
        }
    }

    /// Records that a message has arrived completely, or as far as it is buffered. `read` bytes were read for it, of
    /// which the last `surplus` follow the message. Returns the arrival time of the message's last byte.
    pub fn record_message(&self, read: usize, surplus: usize) -> Duration {
        let now = self.clock.now();
        let mut arrivals = self.arrivals.borrow_mut();
        if read > 0 {
            arrivals.record_read(read, now);
        }
        arrivals.arrival_time(surplus, now)
    }

    /// Stores bytes that were read after the end of a message.
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

    /// Takes the stored bytes, with which the next message begins.
    pub fn take(&self) -> Option<Buffer> {
        self.bytes.take()
    }

    /// Whether no bytes are stored.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_none()
    }

    /// Whether bytes were read that could not be stored, so that the connection cannot continue.
    pub fn has_overflowed(&self) -> bool {
        self.overflowed.get()
    }

    /// Whether the stored bytes begin with a complete request.
    pub fn has_complete_request(&self) -> bool {
        !self.overflowed.get()
            && self.bytes.borrow().as_ref().is_some_and(|bytes| http::is_complete_request(bytes.filled()))
    }

    /// The number of bytes that can still be stored; 0 if the buffer is full, none is free, or bytes were lost.
    fn free_space(&self) -> usize {
        let mut stored = self.bytes.borrow_mut();
        if stored.is_none() {
            *stored = self.resources.additional_buffer();
        }
        stored.as_mut().filter(|_| !self.overflowed.get()).map_or(0, |stored| stored.spare().len())
    }

    /// Returns when the client has disconnected. Unread bytes would hide this, so bytes are read and stored while there
    /// is space and `may_read` allows it; otherwise the end of the connection is looked for behind the unread bytes.
    pub async fn until_disconnected(&self, stream: &Async<TcpStream>, may_read: impl Fn() -> bool) {
        let mut bytes = [0; READ_SIZE];
        while matches!(socket::peek(stream, &mut [0]).await, Ok(1..)) {
            let max = if may_read() { self.free_space().min(bytes.len()) } else { 0 };
            if max == 0 {
                if leaving::is_disconnected(stream) {
                    return;
                }
                self.record_unread(stream);
                Timer::after(leaving::CHECK_INTERVAL).await;
                continue;
            }
            match socket::read(stream, &mut bytes[..max]).await {
                Ok(count @ 1..) => {
                    self.arrivals.borrow_mut().record_read(count, self.clock.now());
                    self.store(&bytes[..count]);
                }
                _ => return,
            }
        }
    }

    fn record_unread(&self, stream: &Async<TcpStream>) {
        // If the kernel cannot report the count, bytes count as arrived when they are read.
        if let Ok(count) = rustix::io::ioctl_fionread(stream) {
            self.arrivals.borrow_mut().record_unread(count, self.clock.now());
        }
    }
}

#[cfg(test)]
#[path = "read_ahead_tests.rs"]
mod tests;
