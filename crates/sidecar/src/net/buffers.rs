//! What is scarce: the buffers, all of one size and used again, and the places for sockets. It owns how many
//! of each there may be; whoever goes without
//! can say so at once, or wait in turn where a part of a message is under way already.

use crate::configuration::Configuration;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// What one buffer holds: a head at most, or a piece of a body.
pub const SIZE: usize = 16 * 1024;
/// A body or an answer no longer than this is held whole, so that a command can be repeated; longer ones are passed on
/// in pieces as they come.
pub const HOLD_MOST: usize = 64 * 1024;
/// How soon one who waits for a buffer looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(2);
/// Descriptors for all that is neither a caller nor an endpoint: standard streams, the reactor's own, the
/// signal pipe, the listener, discovery.
const SET_ASIDE: usize = 24;
/// What the console takes of them besides: its listener, its callers, its thread's own.
const FOR_CONSOLE: usize = 24;
/// What a process that takes over opens before this one has made room.
const FOR_THE_NEXT: usize = 24;
/// With the least of sockets that can be set there are so many places still.
const PLACES_LEAST: usize = 16;
/// Places kept for callers who come when all others are taken, so that they hear a word at least: so many,
/// but a small part of what there is.
const SPARE: usize = 16;
const SPARE_PART: usize = 8;

pub struct Stock {
    idle: RefCell<Vec<Box<[u8]>>>,
    buffers_out: Cell<usize>,
    buffers_most: Cell<usize>,
    whole: Whole,
    pub for_callers: Rc<Places>,
    pub for_endpoints: Rc<Places>,
}

/// What there is for the whole sidecar, of which two processes may each have a part for a while.
struct Whole {
    places: usize,
    buffers: usize,
    all: Rc<Shared>,
}

impl Stock {
    pub fn new(launch: &Configuration) -> Rc<Stock> {
        let console = if launch.console.is_some() { FOR_CONSOLE } else { 0 };
        let next = if launch.inherited_listener.is_some() { FOR_THE_NEXT } else { 0 };
        Stock::with(launch.max_sockets.saturating_sub(console + next), launch.memory_mb)
    }

    pub fn with(sockets: usize, memory_mb: usize) -> Rc<Stock> {
        let places = sockets.saturating_sub(SET_ASIDE).max(PLACES_LEAST);
        // The other half is for all else.
        Stock::of(places, memory_mb * 1024 * 1024 / 2 / SIZE)
    }

    /// Buffers alone, for who has sockets of its own.
    pub fn small(buffers: usize) -> Rc<Stock> {
        Stock::of(0, buffers)
    }

    fn of(places: usize, buffers: usize) -> Rc<Stock> {
        let all = Rc::new(Shared::default());
        let stock = Stock {
            idle: RefCell::default(),
            buffers_out: Cell::new(0),
            buffers_most: Cell::new(buffers),
            for_callers: Places::new(&all),
            for_endpoints: Places::new(&all),
            whole: Whole { places, buffers, all },
        };
        stock.take_part(1);
        Rc::new(stock)
    }

    /// One of so many processes that share what there is. What is out past the part comes back as it ends.
    pub fn take_part(&self, processes: usize) {
        let places = self.whole.places / processes;
        self.buffers_most.set((self.whole.buffers / processes).max(1));
        // The other process may need the memory now.
        let kept = self.buffers_most.get().saturating_sub(self.buffers_out.get());
        self.idle.borrow_mut().truncate(kept);
        self.whole.all.most.set(places);
        // Neither side can take the last two fifths from the other, nor leave them unused.
        self.for_callers.most.set(places * 3 / 5);
        self.for_endpoints.most.set(places * 3 / 5);
    }

    pub fn over_its_part(&self) -> bool {
        self.whole.all.taken.get() > self.whole.all.most.get()
    }

    /// Read, a list takes several times the memory of its text: at 32 MB there is room for some 5,000 servers.
    pub fn buffers_for_a_list(&self) -> usize {
        (self.buffers_most.get() / 16).max(1)
    }

    /// For one who has begun already: waits until there is one.
    pub async fn buffer_in_turn(self: &Rc<Self>) -> Buffer {
        loop {
            match self.buffer() {
                Some(buffer) => return buffer,
                None => Timer::after(LOOK_AGAIN).await,
            };
        }
    }

    pub fn buffer(self: &Rc<Self>) -> Option<Buffer> {
        if self.buffers_out.get() >= self.buffers_most.get() {
            return None;
        }
        self.buffers_out.set(self.buffers_out.get() + 1);
        let bytes = self.idle.borrow_mut().pop().unwrap_or_else(|| vec![0; SIZE].into_boxed_slice());
        Some(Buffer { bytes, filled: 0, stock: self.clone() })
    }
}

pub struct Buffer {
    bytes: Box<[u8]>,
    filled: usize,
    stock: Rc<Stock>,
}

impl Buffer {
    /// Of no size, in the place of one that was taken.
    pub fn none(stock: &Rc<Stock>) -> Buffer {
        Buffer { bytes: Box::default(), filled: 0, stock: stock.clone() }
    }

    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.filled]
    }

    pub fn spare(&mut self) -> &mut [u8] {
        &mut self.bytes[self.filled..]
    }

    pub fn drop_front(&mut self, count: usize) {
        self.bytes.copy_within(count..self.filled, 0);
        self.filled -= count;
    }

    /// Moves what lies behind the gap up to its start.
    pub fn close_gap(&mut self, gap: Range<usize>) {
        self.bytes.copy_within(gap.end..self.filled, gap.start);
        self.filled -= gap.len();
    }

    /// Drops all but the first so many bytes.
    pub fn truncate(&mut self, count: usize) {
        self.filled = self.filled.min(count);
    }

    pub fn fill(&mut self, count: usize) {
        self.filled += count;
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if self.bytes.is_empty() {
            return;
        }
        self.stock.buffers_out.set(self.stock.buffers_out.get() - 1);
        let mut idle = self.stock.idle.borrow_mut();
        if self.stock.buffers_out.get() + idle.len() < self.stock.buffers_most.get() {
            idle.push(std::mem::take(&mut self.bytes));
        }
    }
}

/// Places of all kinds.
#[derive(Default)]
struct Shared {
    most: Cell<usize>,
    taken: Cell<usize>,
}

/// Places for sockets of one kind.
pub struct Places {
    most: Cell<usize>,
    taken: Cell<usize>,
    all: Rc<Shared>,
}

impl Places {
    fn new(all: &Rc<Shared>) -> Rc<Places> {
        Rc::new(Places { most: Cell::new(0), taken: Cell::new(0), all: all.clone() })
    }

    fn left(&self) -> usize {
        let free = self.all.most.get().saturating_sub(self.all.taken.get());
        self.most.get().saturating_sub(self.taken.get()).min(free)
    }

    pub fn only_spare_ones_left(&self) -> bool {
        self.left() < SPARE.min(self.most.get() / SPARE_PART)
    }

    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    pub fn take(self: &Rc<Self>) -> Option<Place> {
        if self.left() == 0 {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        self.all.taken.set(self.all.taken.get() + 1);
        Some(Place(self.clone()))
    }
}

/// Kept beside a socket and dropped with it.
pub struct Place(Rc<Places>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        self.0.all.taken.set(self.0.all.taken.get() - 1);
    }
}
