//! The operators' console over HTTP, on a thread with its own listener, buffers and timers. It parses requests, queries
//! the owner and the fleet, records operators' orders and replies. It makes no decisions, and of the data path it waits
//! only for the owner's replies.

mod handlers;
mod reply;
mod request;

use crate::control::status::ControlStatus;
use crate::fleet;
use crate::handover::maintenance_record::{MaintenanceEntries, MaintenanceRecord};
use crate::net::buffers::{Buffer, ResourcePool};
use crate::net::executor::Executor;
use crate::net::http::{self, IncomingMessage};
use crate::net::linger::linger;
use crate::net::socket;
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use async_lock::Mutex;
use futures_lite::future::or;
use reply::Reply;
use request::Request;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// The maximum number of open connections. At this limit, the connection that has waited longest for its request is closed
/// before another one is accepted.
pub const MAX_CONNECTIONS: usize = 16;
/// The time from the connection's start within which the whole request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The time limit for writing the reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// How long unread bytes are read and dropped after the reply.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The time limit for a reply of the owner, which handles operators' orders before all other events, or of the fleet's
/// thread. After it the console reports an error although the order may still be applied; orders are idempotent, so that
/// the operator can repeat them.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);
/// The pause after a failed attempt to bind the address or to accept a connection.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How often a console at [`MAX_CONNECTIONS`] checks whether a connection has ended.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// An operator's order for one server, sent to the owner.
pub struct MaintenanceOrder {
    /// The id of the server.
    pub server: String,
    /// Whether the server enters maintenance (true) or exits it (false).
    pub in_maintenance: bool,
    /// The age of the order if another process received and recorded it; None for an order received by this console.
    pub recorded_age: Option<Duration>,
    /// Receives whether any endpoint list has named the server.
    pub responder: Sender<bool>,
}

/// The parts of the process that the console reports on or controls.
pub struct Console {
    /// Whether this process is ready to serve requests.
    pub serving: Arc<AtomicBool>,
    /// The sending side of the owner's queue of orders.
    pub orders: Sender<MaintenanceOrder>,
    /// The maintenance record; None if no state folder is configured.
    pub record: Option<MaintenanceRecord>,
    /// The fleet's thread; None if this replica belongs to no fleet.
    pub fleet: Option<fleet::FleetHandle>,
    /// The status of remote configuration; None if the configuration comes only from the file.
    pub control: Option<ControlStatus>,
}

struct ConsoleServer {
    serving: Arc<AtomicBool>,
    orders: Sender<MaintenanceOrder>,
    /// Locked while an order is applied and recorded, so that orders of this console and of the other process's reach the
    /// owner in the order in which they were recorded.
    record: Mutex<Option<MaintenanceRecord>>,
    fleet: Option<fleet::FleetHandle>,
    control: Option<ControlStatus>,
    /// The maintenance entries that this process applies.
    entries_in_force: RefCell<MaintenanceEntries>,
    resources: Rc<ResourcePool>,
    /// Connections whose request is incomplete, oldest first, each with the channel that closes the connection.
    incomplete: RefCell<BTreeMap<u64, Sender<()>>>,
    connections: Cell<usize>,
    next_connection: Cell<u64>,
}

impl Console {
    /// Starts the console's thread, which listens at the address.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn open(self, address: SocketAddr) -> io::Result<()> {
        let serve = move || {
            let executor = Rc::new(Executor::new());
            let server = Rc::new(ConsoleServer::new(self));
            executor.spawn(server.clone().follow_record()).detach();
            executor.block_on(server.accept(address, executor.clone()));
        };
        std::thread::Builder::new().name("console".into()).spawn(serve).map(drop)
    }
}

impl ConsoleServer {
    fn new(console: Console) -> ConsoleServer {
        let Console { serving, orders, record, fleet, control } = console;
        let recorded = record.as_ref().map(|record| record.entries.clone()).unwrap_or_default();
        ConsoleServer {
            serving,
            orders,
            record: Mutex::new(record),
            fleet,
            control,
            entries_in_force: RefCell::new(recorded),
            resources: ResourcePool::buffers_only(MAX_CONNECTIONS),
            incomplete: RefCell::default(),
            connections: Cell::new(0),
            next_connection: Cell::new(0),
        }
    }

    async fn accept(self: Rc<Self>, address: SocketAddr, executor: Rc<Executor>) {
        let listener = bind(address).await;
        tracing::info!("console: listening at {address}");
        loop {
            while self.connections.get() >= MAX_CONNECTIONS {
                self.close_longest_waiting();
                Timer::after(FULL_RETRY_DELAY).await;
            }
            match socket::accept(&listener).await {
                Ok((stream, _)) => {
                    self.connections.set(self.connections.get() + 1);
                    let server = self.clone();
                    let serve = async move {
                        server.serve(stream).await;
                        server.connections.set(server.connections.get() - 1);
                    };
                    executor.spawn(serve).detach();
                }
                Err(error) => {
                    tracing::warn!("console: accept failed: {error}");
                    Timer::after(BIND_RETRY_DELAY).await;
                }
            }
        }
    }

    fn close_longest_waiting(&self) {
        let longest = self.incomplete.borrow_mut().pop_first();
        if let Some((_, close)) = longest {
            let _ = close.try_send(());
        }
    }

    /// Serves the single request of a connection.
    async fn serve(&self, stream: Async<TcpStream>) {
        // The pool holds one buffer for each connection that may be open.
        let Some(buffer) = self.resources.buffer() else { return };
        let number = self.next_connection.replace(self.next_connection.get() + 1);
        let (close, closed): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        self.incomplete.borrow_mut().insert(number, close);
        let receive = async { timeout(REQUEST_TIMEOUT, self.read(&stream, buffer)).await };
        let displaced = async {
            let _ = closed.recv().await;
            // The connection must make room for another one at once, so it gets no reply.
            Some(Err(http::HttpError::Closed))
        };
        let message = or(receive, displaced).await;
        self.incomplete.borrow_mut().remove(&number);
        let reply = match message {
            None | Some(Err(http::HttpError::TimedOut)) => {
                Reply::error(408, "the call did not come whole in time")
            }
            Some(Err(http::HttpError::Closed | http::HttpError::Broken)) => return,
            Some(Err(
                http::HttpError::TooLarge | http::HttpError::BodyTooLong | http::HttpError::FramingTooLarge,
            )) => Reply::error(413, "the call is too large"),
            Some(Err(http::HttpError::Malformed)) => Reply::error(400, "this is no HTTP/1.1 message"),
            Some(Ok(message)) => match Request::parse(&message.head, &message.body_bytes()) {
                Err(reply) => reply,
                Ok(request) => self.handle(request).await,
            },
        };
        tracing::debug!(status = reply.status, "console: {}", reply.text.trim_end());
        let _ = timeout(REPLY_TIMEOUT, http::write(&stream, &reply.head(), reply.text.as_bytes())).await;
        linger(&stream, LINGER_TIMEOUT).await;
    }

    async fn read(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
    ) -> Result<IncomingMessage, http::HttpError> {
        let mut request = IncomingMessage::read_request(stream, buffer, &|| ()).await?;
        if request.expects_continue && !request.is_complete() {
            http::write(stream, b"HTTP/1.1 100 Continue\r\n\r\n", b"").await?;
        }
        request.read_to_end(stream, &self.resources, 0).await?;
        Ok(request)
    }
}

/// Binds the address, and retries until it succeeds: the predecessor in an upgrade may still listen at it.
async fn bind(address: SocketAddr) -> Async<TcpListener> {
    let mut logged = false;
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => return listener,
            Err(error) if !std::mem::replace(&mut logged, true) => {
                tracing::warn!("console: {address}: {error}; trying again");
            }
            Err(_) => {}
        }
        Timer::after(BIND_RETRY_DELAY).await;
    }
}
