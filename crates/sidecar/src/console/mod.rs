//! The operators' console over HTTP: a thread with a listener, buffers and a time of its own. It parses a request, asks the
//! owner, has an order recorded and answers. It must never wait for the data path but for the owner's answer, nor decide
//! anything itself.

mod handlers;
mod reply;
mod request;

use crate::control::status::ControlStatus;
use crate::fleet;
use crate::handover::maintenance_record::{MaintenanceEntries, MaintenanceRecord};
use crate::net::buffers::{Buffer, ResourcePool};
use crate::net::http::{self, IncomingMessage};
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use futures_lite::future::or;
use reply::Reply;
use request::Request;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Connections at a time; past that the one that has waited longest is closed.
pub const MAX_CONNECTIONS: usize = 16;
/// For a request to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The owner takes an operator's order before all that waits. Past this the answer is an error, though the order may still
/// be taken: it is idempotent.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How soon a full console looks again for a connection that has ended.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// An operator's order on one endpoint, for the owner.
pub struct MaintenanceOrder {
    /// The endpoint's id.
    pub server: String,
    /// Whether it enters maintenance; false ends it.
    pub in_maintenance: bool,
    /// How old the order is, where another process took it and recorded it.
    pub recorded_age: Option<Duration>,
    /// Answered with whether a list ever named the endpoint.
    pub responder: Sender<bool>,
}

/// What the console reports and acts by.
pub struct Console {
    /// Whether this process can serve.
    pub serving: Arc<AtomicBool>,
    /// To the owner.
    pub orders: Sender<MaintenanceOrder>,
    /// None where nothing outlives the process.
    pub record: Option<MaintenanceRecord>,
    /// None where this copy is one of no fleet.
    pub fleet: Option<fleet::FleetHandle>,
    /// None where configuration comes from the file alone.
    pub control: Option<ControlStatus>,
}

struct ConsoleServer {
    serving: Arc<AtomicBool>,
    orders: Sender<MaintenanceOrder>,
    record: RefCell<Option<MaintenanceRecord>>,
    fleet: Option<fleet::FleetHandle>,
    control: Option<ControlStatus>,
    /// The orders that this process goes by.
    entries_in_force: RefCell<MaintenanceEntries>,
    resources: Rc<ResourcePool>,
    /// Connections that have not sent a whole request, oldest first, each with the channel that closes it.
    waiting: RefCell<BTreeMap<u64, Sender<()>>>,
    connections: Cell<usize>,
    next_connection: Cell<u64>,
}

impl Console {
    /// Starts the console's thread, which listens at this address.
    pub fn open(self, address: SocketAddr) -> io::Result<()> {
        let serve = move || {
            let executor = Rc::new(LocalExecutor::new());
            let server = Rc::new(ConsoleServer::new(self));
            executor.spawn(server.clone().follow_record()).detach();
            async_io::block_on(executor.run(server.accept(address, executor.clone())));
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
            record: RefCell::new(record),
            fleet,
            control,
            entries_in_force: RefCell::new(recorded),
            resources: ResourcePool::buffers_only(MAX_CONNECTIONS),
            waiting: RefCell::default(),
            connections: Cell::new(0),
            next_connection: Cell::new(0),
        }
    }

    async fn accept(self: Rc<Self>, address: SocketAddr, executor: Rc<LocalExecutor<'static>>) {
        let listener = bind(address).await;
        tracing::info!("console: listening at {address}");
        loop {
            while self.connections.get() >= MAX_CONNECTIONS {
                self.close_longest_waiting();
                Timer::after(FULL_RETRY_DELAY).await;
            }
            match listener.accept().await {
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
                    tracing::warn!("console: {error}");
                    Timer::after(BIND_RETRY_DELAY).await;
                }
            }
        }
    }

    fn close_longest_waiting(&self) {
        let longest = self.waiting.borrow_mut().pop_first();
        if let Some((_, close)) = longest {
            let _ = close.try_send(());
        }
    }

    /// Serves the one request of a connection.
    async fn serve(&self, stream: Async<TcpStream>) {
        // There is one for each connection that is accepted.
        let Some(buffer) = self.resources.buffer() else { return };
        let number = self.next_connection.replace(self.next_connection.get() + 1);
        let (close, closed): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(number, close);
        let arrives = async { timeout(REQUEST_TIMEOUT, self.read(&stream, buffer)).await };
        let displaced = async {
            let _ = closed.recv().await;
            // Its place is wanted at once: there is no time for an answer.
            Some(Err(http::HttpError::Closed))
        };
        let message = or(arrives, displaced).await;
        self.waiting.borrow_mut().remove(&number);
        let reply = match message {
            None | Some(Err(http::HttpError::TimedOut)) => {
                Reply::error(408, "the call did not come whole in time")
            }
            Some(Err(http::HttpError::Closed | http::HttpError::Broken)) => return,
            Some(Err(http::HttpError::TooLarge)) => Reply::error(413, "the call is too large"),
            Some(Err(http::HttpError::Malformed)) => Reply::error(400, "this is no HTTP/1.1 message"),
            Some(Ok(message)) => match Request::parse(&message.head, &message.body_bytes()) {
                Err(reply) => reply,
                Ok(request) => self.handle(request).await,
            },
        };
        tracing::debug!(status = reply.status, "console: {}", reply.text.trim_end());
        let _ = timeout(ANSWER_TIMEOUT, http::write(&stream, &reply.head(), reply.text.as_bytes())).await;
        linger(&stream).await;
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

/// The process that this one takes over from may still have the address.
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

/// Closing a connection on bytes that were not read resets it, and the answer on its way is lost.
async fn linger(mut stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut bytes = [0; 1024];
    let drain = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
    timeout(LINGER_TIMEOUT, drain).await;
}
