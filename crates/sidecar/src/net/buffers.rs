//! The limited resources of a sidecar: buffers of one size, which are reused, and permits for sockets. This module owns
//! the limits of both. Where no buffer is free, a task rejects its message at once, or continues with the buffers that
//! it holds. A task that holds a buffer never waits for another one: such tasks could wait for each other.

use crate::configuration::Configuration;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// The size of each buffer in bytes: it holds a complete head, or a part of a body.
pub const BUFFER_SIZE: usize = 16 * 1024;
/// The longest body in bytes that is buffered as a whole, so that its request can be retried. Longer bodies are passed
/// on in parts as they arrive.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// A message gets more than one buffer only while at least 1 / `RESERVE_DIVISOR` of all buffers are free, so that other
/// messages and the responses to long requests find their first one.
const RESERVE_DIVISOR: usize = 2;
/// The interval at which a task that waits for a buffer checks for a free one.
const BUFFER_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Descriptors that are used neither for clients nor for servers: standard streams, the reactor, the signal pipe, the
/// listener and discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Additional descriptors of the console: its listener, its clients and its thread.
const CONSOLE_DESCRIPTORS: usize = 24;
/// Descriptors that a process which takes over opens before this process has reduced its own use.
const HANDOVER_DESCRIPTORS: usize = 24;
/// The minimum number of socket permits, even if the configured limit is lower.
const MIN_SOCKETS: usize = 16;
/// Client permits that are kept spare, so that clients which connect when all others are in use still get a response:
/// at most this many, and at most 1 / `SPARE_DIVISOR` of all client permits.
const MAX_SPARE_PERMITS: usize = 16;
const SPARE_DIVISOR: usize = 8;
/// The number of bytes that settings in MB count as one.
pub const BYTES_PER_MB: usize = 1024 * 1024;

/// The buffers and socket permits of this process.
pub struct ResourcePool {
    free_buffers: RefCell<Vec<Box<[u8]>>>,
    buffers_in_use: Cell<usize>,
    max_buffers: Cell<usize>,
    /// The number of buffers that additional buffers of messages must leave free.
    reserved_buffers: Cell<usize>,
    total: TotalResources,
    pub client_sockets: Rc<SocketBudget>,
    pub endpoint_sockets: Rc<SocketBudget>,
}

/// The limits of the whole sidecar, which two of its processes may share for a while.
struct TotalResources {
    sockets: usize,
    buffers: usize,
    keeps_reserve: bool,
    process_sockets: Rc<ProcessSockets>,
}

impl ResourcePool {
    /// Creates a pool within the configured limits.
    pub fn new(configuration: &Configuration) -> Rc<ResourcePool> {
        let console = if configuration.console.is_some() { CONSOLE_DESCRIPTORS } else { 0 };
        let handover = if configuration.inherited_listener.is_some() { HANDOVER_DESCRIPTORS } else { 0 };
        ResourcePool::with_limits(
            configuration.max_sockets.saturating_sub(console + handover),
            configuration.memory_mb,
        )
    }

    /// Creates a pool within these limits: descriptors of the process, and memory in MB.
    pub fn with_limits(descriptors: usize, memory_mb: usize) -> Rc<ResourcePool> {
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_SOCKETS);
        // Buffers may use half of the memory; the other half is for everything else.
        ResourcePool::with_counts(sockets, memory_mb * BYTES_PER_MB / 2 / BUFFER_SIZE, true)
    }

    /// Creates a pool of buffers without socket permits and without a reserve, for a component that limits its sockets
    /// itself.
    pub fn buffers_only(buffers: usize) -> Rc<ResourcePool> {
        ResourcePool::with_counts(0, buffers, false)
    }

    fn with_counts(sockets: usize, buffers: usize, keeps_reserve: bool) -> Rc<ResourcePool> {
        let process_sockets = Rc::new(ProcessSockets::default());
        let pool = ResourcePool {
            free_buffers: RefCell::default(),
            buffers_in_use: Cell::new(0),
            max_buffers: Cell::new(buffers),
            reserved_buffers: Cell::new(0),
            client_sockets: SocketBudget::new(&process_sockets),
            endpoint_sockets: SocketBudget::new(&process_sockets),
            total: TotalResources { sockets, buffers, keeps_reserve, process_sockets },
        };
        pool.share_among(1);
        Rc::new(pool)
    }

    /// Limits this process to its share if `processes` processes divide the resources equally. Resources in use beyond
    /// the share are returned as their use ends.
    pub fn share_among(&self, processes: usize) {
        let sockets = self.total.sockets / processes;
        self.max_buffers.set((self.total.buffers / processes).max(1));
        let reserve = self.max_buffers.get() / RESERVE_DIVISOR;
        self.reserved_buffers.set(if self.total.keeps_reserve { reserve } else { 0 });
        // Frees unused buffers beyond the share, since the other process may need the memory now.
        let max_free = self.max_buffers.get().saturating_sub(self.buffers_in_use.get());
        self.free_buffers.borrow_mut().truncate(max_free);
        self.total.process_sockets.max.set(sockets);
        // Each kind may use up to three fifths: two fifths always remain for the other kind, and either may use the
        // last fifth.
        self.client_sockets.max.set(sockets * 3 / 5);
        self.endpoint_sockets.max.set(sockets * 3 / 5);
    }

    /// Whether more sockets are open than this process's share allows.
    pub fn exceeds_share(&self) -> bool {
        self.total.process_sockets.taken.get() > self.total.process_sockets.max.get()
    }

    /// The most buffers that the text of an endpoint list may fill. The parsed list takes several times the memory of
    /// its text: a memory limit of 32 MB is enough for about 5,000 servers.
    pub fn endpoint_list_buffers(&self) -> usize {
        (self.max_buffers.get() / 16).max(1)
    }

    /// Waits until a buffer is free. The caller must not hold any other buffer of this pool.
    pub async fn wait_for_buffer(self: &Rc<Self>) -> Buffer {
        loop {
            match self.buffer() {
                Some(buffer) => return buffer,
                None => Timer::after(BUFFER_POLL_INTERVAL).await,
            };
        }
    }

    /// Takes a buffer for a message that holds one already, if enough buffers are free.
    pub fn additional_buffer(self: &Rc<Self>) -> Option<Buffer> {
        let free = self.max_buffers.get().saturating_sub(self.buffers_in_use.get());
        if free > self.reserved_buffers.get() { self.buffer() } else { None }
    }

    /// Takes a buffer, if one is free.
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

/// A buffer whose first bytes are filled. When dropped, it returns to its pool.
pub struct Buffer {
    bytes: Box<[u8]>,
    filled: usize,
    pool: Rc<ResourcePool>,
}

impl Buffer {
    /// Creates an empty placeholder for a buffer that was moved elsewhere.
    pub fn placeholder(pool: &Rc<ResourcePool>) -> Buffer {
        Buffer { bytes: Box::default(), filled: 0, pool: pool.clone() }
    }

    /// The filled bytes at the start of the buffer.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// The filled bytes, to be decoded in place.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.filled]
    }

    /// The unfilled bytes, which follow the filled ones.
    pub fn spare(&mut self) -> &mut [u8] {
        &mut self.bytes[self.filled..]
    }

    /// Removes the first `count` filled bytes.
    pub fn drop_front(&mut self, count: usize) {
        self.bytes.copy_within(count..self.filled, 0);
        self.filled -= count;
    }

    /// Removes a range of filled bytes; the bytes after it move up.
    pub fn remove_range(&mut self, range: Range<usize>) {
        self.bytes.copy_within(range.end..self.filled, range.start);
        self.filled -= range.len();
    }

    /// Keeps at most the first `count` filled bytes.
    pub fn truncate(&mut self, count: usize) {
        self.filled = self.filled.min(count);
    }

    /// Marks the next `count` bytes as filled.
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

/// The limit and the number of open sockets of all kinds in this process.
#[derive(Default)]
struct ProcessSockets {
    max: Cell<usize>,
    taken: Cell<usize>,
}

/// The permits for sockets of one kind: to clients, or to endpoints.
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

    /// Whether no permits are left except the spare ones.
    pub fn only_spare_left(&self) -> bool {
        self.available() < MAX_SPARE_PERMITS.min(self.max.get() / SPARE_DIVISOR)
    }

    /// How many sockets of this kind are open.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Takes a permit for one socket, if any is left.
    pub fn take(self: &Rc<Self>) -> Option<SocketPermit> {
        if self.available() == 0 {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        self.process.taken.set(self.process.taken.get() + 1);
        Some(SocketPermit(self.clone()))
    }
}

/// The permit for one open socket. It is stored with the socket and returned when dropped.
pub struct SocketPermit(Rc<SocketBudget>);

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        self.0.process.taken.set(self.0.process.taken.get() - 1);
    }
}
