//! The scarce resources of a sidecar: buffers, all of one size and used again, and permits for sockets. It owns how many of
//! each there may be. Whoever gets none can say so at once, or wait in turn where a part of a message is under way already.

use crate::configuration::Configuration;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// The size of each buffer in bytes: the longest head, or a part of a body.
pub const BUFFER_SIZE: usize = 16 * 1024;
/// The longest body in bytes that is buffered as a whole, so that its request can be retried. Longer ones are passed on in
/// parts as they come.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// How often a task that waits for a buffer looks again.
const BUFFER_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Descriptors that are neither clients' nor servers': standard streams, the reactor's own, the signal pipe, the listener,
/// discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors that the console takes besides: its listener, its clients, its thread's own.
const CONSOLE_DESCRIPTORS: usize = 24;
/// Descriptors that a process which takes over opens before this one has made room.
const HANDOVER_DESCRIPTORS: usize = 24;
/// The least number of socket permits, whatever limit is set.
const MIN_SOCKETS: usize = 16;
/// Permits that are kept for clients who come when all others are taken, so that they get an answer at least: this many, but
/// no more than one part of `SPARE_DIVISOR` of all.
const MAX_SPARE_PERMITS: usize = 16;
const SPARE_DIVISOR: usize = 8;
const BYTES_PER_MB: usize = 1024 * 1024;

/// The buffers and socket permits of this process.
pub struct ResourcePool {
    free_buffers: RefCell<Vec<Box<[u8]>>>,
    buffers_in_use: Cell<usize>,
    max_buffers: Cell<usize>,
    total: TotalResources,
    pub client_sockets: Rc<SocketBudget>,
    pub endpoint_sockets: Rc<SocketBudget>,
}

/// What the whole sidecar has. Two processes may each have a part of it for a while.
struct TotalResources {
    sockets: usize,
    buffers: usize,
    process_sockets: Rc<ProcessSockets>,
}

impl ResourcePool {
    /// The resources that the configuration allows.
    pub fn new(configuration: &Configuration) -> Rc<ResourcePool> {
        let console = if configuration.console.is_some() { CONSOLE_DESCRIPTORS } else { 0 };
        let handover = if configuration.inherited_listener.is_some() { HANDOVER_DESCRIPTORS } else { 0 };
        ResourcePool::with_limits(
            configuration.max_sockets.saturating_sub(console + handover),
            configuration.memory_mb,
        )
    }

    /// Resources within these limits: descriptors of the process, and memory in MB.
    pub fn with_limits(descriptors: usize, memory_mb: usize) -> Rc<ResourcePool> {
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_SOCKETS);
        // The other half of the memory is for everything else.
        ResourcePool::with_counts(sockets, memory_mb * BYTES_PER_MB / 2 / BUFFER_SIZE)
    }

    /// Buffers without sockets, for a part that has sockets of its own.
    pub fn buffers_only(buffers: usize) -> Rc<ResourcePool> {
        ResourcePool::with_counts(0, buffers)
    }

    fn with_counts(sockets: usize, buffers: usize) -> Rc<ResourcePool> {
        let process_sockets = Rc::new(ProcessSockets::default());
        let pool = ResourcePool {
            free_buffers: RefCell::default(),
            buffers_in_use: Cell::new(0),
            max_buffers: Cell::new(buffers),
            client_sockets: SocketBudget::new(&process_sockets),
            endpoint_sockets: SocketBudget::new(&process_sockets),
            total: TotalResources { sockets, buffers, process_sockets },
        };
        pool.share_among(1);
        Rc::new(pool)
    }

    /// Takes one process's share where this many share everything. What is in use beyond the share comes back as it ends.
    pub fn share_among(&self, processes: usize) {
        let sockets = self.total.sockets / processes;
        self.max_buffers.set((self.total.buffers / processes).max(1));
        // The other process may need the memory now.
        let max_free = self.max_buffers.get().saturating_sub(self.buffers_in_use.get());
        self.free_buffers.borrow_mut().truncate(max_free);
        self.total.process_sockets.max.set(sockets);
        // Neither side can take the last two fifths from the other, nor leave them unused.
        self.client_sockets.max.set(sockets * 3 / 5);
        self.endpoint_sockets.max.set(sockets * 3 / 5);
    }

    /// Whether more sockets are open than this process's share.
    pub fn exceeds_share(&self) -> bool {
        self.total.process_sockets.taken.get() > self.total.process_sockets.max.get()
    }

    /// How many buffers an endpoint list may take. Parsed, it takes several times the memory of its text: at 32 MB there is
    /// room for some 5,000 servers.
    pub fn endpoint_list_buffers(&self) -> usize {
        (self.max_buffers.get() / 16).max(1)
    }

    /// Waits until a buffer is free, for a message that has begun already.
    pub async fn wait_for_buffer(self: &Rc<Self>) -> Buffer {
        loop {
            match self.buffer() {
                Some(buffer) => return buffer,
                None => Timer::after(BUFFER_POLL_INTERVAL).await,
            };
        }
    }

    /// A buffer, if one is free.
    pub fn buffer(self: &Rc<Self>) -> Option<Buffer> {
        if self.buffers_in_use.get() >= self.max_buffers.get() {
            return None;
        }
        self.buffers_in_use.set(self.buffers_in_use.get() + 1);
        let free = self.free_buffers.borrow_mut().pop();
        let bytes = free.unwrap_or_else(|| vec![0; BUFFER_SIZE].into_boxed_slice());
        Some(Buffer { bytes, filled: 0, pool: self.clone() })
    }
}

/// A buffer with some bytes filled from its start; dropped, it goes back to its pool.
pub struct Buffer {
    bytes: Box<[u8]>,
    filled: usize,
    pool: Rc<ResourcePool>,
}

impl Buffer {
    /// An empty stand-in for a buffer that was taken.
    pub fn placeholder(pool: &Rc<ResourcePool>) -> Buffer {
        Buffer { bytes: Box::default(), filled: 0, pool: pool.clone() }
    }

    /// The bytes that are filled.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// The bytes that are filled.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.filled]
    }

    /// The bytes that are not filled.
    pub fn spare(&mut self) -> &mut [u8] {
        &mut self.bytes[self.filled..]
    }

    /// Removes the first `count` filled bytes.
    pub fn drop_front(&mut self, count: usize) {
        self.bytes.copy_within(count..self.filled, 0);
        self.filled -= count;
    }

    /// Removes a range of filled bytes: those behind it move up.
    pub fn remove_range(&mut self, range: Range<usize>) {
        self.bytes.copy_within(range.end..self.filled, range.start);
        self.filled -= range.len();
    }

    /// Keeps the first `count` filled bytes.
    pub fn truncate(&mut self, count: usize) {
        self.filled = self.filled.min(count);
    }

    /// Marks `count` more bytes as filled.
    pub fn fill(&mut self, count: usize) {
        self.filled += count;
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if self.bytes.is_empty() {
            return;
        }
        self.pool.buffers_in_use.set(self.pool.buffers_in_use.get() - 1);
        let mut free = self.pool.free_buffers.borrow_mut();
        if self.pool.buffers_in_use.get() + free.len() < self.pool.max_buffers.get() {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}

/// Sockets of all kinds.
#[derive(Default)]
struct ProcessSockets {
    max: Cell<usize>,
    taken: Cell<usize>,
}

/// The permits for sockets of one kind.
pub struct SocketBudget {
    max: Cell<usize>,
    taken: Cell<usize>,
    process: Rc<ProcessSockets>,
}

impl SocketBudget {
    fn new(process: &Rc<ProcessSockets>) -> Rc<SocketBudget> {
        Rc::new(SocketBudget { max: Cell::new(0), taken: Cell::new(0), process: process.clone() })
    }

    fn available(&self) -> usize {
        let free = self.process.max.get().saturating_sub(self.process.taken.get());
        self.max.get().saturating_sub(self.taken.get()).min(free)
    }

    /// Whether no permits are left but the spare ones.
    pub fn only_spare_left(&self) -> bool {
        self.available() < MAX_SPARE_PERMITS.min(self.max.get() / SPARE_DIVISOR)
    }

    /// How many sockets of this kind are open.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// A permit for one socket, if any is left.
    pub fn take(self: &Rc<Self>) -> Option<SocketPermit> {
        if self.available() == 0 {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        self.process.taken.set(self.process.taken.get() + 1);
        Some(SocketPermit(self.clone()))
    }
}

/// The permit for one socket; kept beside the socket and dropped with it.
pub struct SocketPermit(Rc<SocketBudget>);

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        self.0.process.taken.set(self.0.process.taken.get() - 1);
    }
}
