//! What is scarce: the buffers, all of one size and used again, and the places for sockets. It owns how many
//! of each there may be; it must never wait for one, so that whoever goes without can say so at once.

use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;

pub const HEAD_MOST: usize = 16 * 1024;
pub const BODY_MOST: usize = 64 * 1024;
/// Where there is more memory than this many such buffers take, each is larger: answers past what the protocol
/// allows have been met.
const BUFFERS: usize = 200;
/// Descriptors for all that is neither a caller nor an endpoint: standard streams, the reactor's own, the
/// signal pipe, the listener, discovery.
const SET_ASIDE: usize = 24;
/// Places kept for callers who come when all others are taken, so that they hear a word at least: so many,
/// but a small part of what there is.
const SPARE: usize = 16;
const SPARE_PART: usize = 8;

pub struct Stock {
    idle: RefCell<Vec<Box<[u8]>>>,
    buffers_out: Cell<usize>,
    buffers_most: usize,
    size: usize,
    pub for_callers: Rc<Places>,
    pub for_endpoints: Rc<Places>,
}

impl Stock {
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Stock> {
        let places = sockets.saturating_sub(SET_ASIDE);
        let all = Rc::new(Cell::new(places));
        let memory = memory_mb * 1024 * 1024 / 2;
        let size = (memory / BUFFERS).max(HEAD_MOST + BODY_MOST);
        Rc::new(Stock {
            idle: RefCell::default(),
            buffers_out: Cell::new(0),
            // The other half is for all else.
            buffers_most: memory / size,
            size,
            // Neither side can take the last two fifths from the other, nor leave them unused.
            for_callers: Places::new(places * 3 / 5, &all),
            for_endpoints: Places::new(places * 3 / 5, &all),
        })
    }

    /// Read, a list takes several times the memory of its text: at 32 MB there is room for some 5,000 servers.
    pub fn buffers_for_a_list(&self) -> usize {
        (self.buffers_most / 16).max(1)
    }

    pub fn buffer(self: &Rc<Self>) -> Option<Buffer> {
        if self.buffers_out.get() >= self.buffers_most {
            return None;
        }
        self.buffers_out.set(self.buffers_out.get() + 1);
        let bytes = self.idle.borrow_mut().pop().unwrap_or_else(|| vec![0; self.size].into_boxed_slice());
        Some(Buffer { bytes, filled: 0, stock: self.clone() })
    }
}

pub struct Buffer {
    bytes: Box<[u8]>,
    filled: usize,
    stock: Rc<Stock>,
}

impl Buffer {
    pub fn body_most(&self) -> usize {
        self.bytes.len() - HEAD_MOST
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

    pub fn fill(&mut self, count: usize) {
        self.filled += count;
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.stock.buffers_out.set(self.stock.buffers_out.get() - 1);
        self.stock.idle.borrow_mut().push(std::mem::take(&mut self.bytes));
    }
}

/// Places for sockets of one kind.
pub struct Places {
    most: usize,
    taken: Cell<usize>,
    /// Free ones, whatever the kind.
    free: Rc<Cell<usize>>,
}

impl Places {
    fn new(most: usize, free: &Rc<Cell<usize>>) -> Rc<Places> {
        Rc::new(Places { most, taken: Cell::new(0), free: free.clone() })
    }

    fn left(&self) -> usize {
        (self.most - self.taken.get()).min(self.free.get())
    }

    pub fn only_spare_ones_left(&self) -> bool {
        self.left() < SPARE.min(self.most / SPARE_PART)
    }

    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    pub fn take(self: &Rc<Self>) -> Option<Place> {
        if self.left() == 0 {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        self.free.set(self.free.get() - 1);
        Some(Place(self.clone()))
    }
}

/// Kept beside a socket and dropped with it.
pub struct Place(Rc<Places>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        self.0.free.set(self.0.free.get() + 1);
    }
}
