//! The discovery client: one watch of the endpoint list, by long polls. It owns the list's generation and the
//! connection to discovery.
//!
//! A watch starts when a poll is requested, and continues until a poll fails. Each list is passed to the owner and not
//! modified afterwards.

use super::buffers::ResourcePool;
use super::http::{self, HttpError};
use super::owner::{Event, EventQueue};
use super::timeout::timeout;
use crate::catalog::{Catalog, CatalogError};
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::start::StartupTimes;
use async_channel::Receiver;
use async_io::Async;
use std::convert::Infallible;
use std::fmt;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The bounds of the time that a poll waits for a change. A connection that has gone silent is detected only when the
/// poll times out, and drains are not seen until then, so polls wait briefly; they wait longer where all replicas
/// together would poll more often than `MAX_POLLS_PER_SECOND`. A change has to be known within 6 s of its
/// arrival at discovery: a poll that waits for 2.5 s times out and is repeated within 4 s.
const MIN_WAIT: Duration = Duration::from_secs(2);
const MAX_WAIT: Duration = Duration::from_millis(2500);
const MAX_POLLS_PER_SECOND: f64 = 50.0;
/// The time limit for connecting, and again for writing a poll.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A poll that is refused with 503 after at least this time was queued at discovery: discovery has more polls than it
/// can serve, from an unknown number of replicas. Each such refusal doubles the wait of the next poll, up to
/// `MAX_OVERLOADED_WAIT`, and each list multiplies it by `WAIT_DECAY`.
const MIN_QUEUED_TIME: Duration = Duration::from_millis(500);
const MAX_OVERLOADED_WAIT: Duration = Duration::from_secs(8);
const WAIT_DECAY: f64 = 0.75;
/// How long after its wait a poll's response may arrive, as discovery serves polls one after another.
const RESPONSE_SLACK: Duration = Duration::from_secs(1);

/// Why a poll returned no endpoint list.
#[derive(Debug)]
enum DiscoveryError {
    /// Discovery refused the poll because it has too many.
    Overloaded,
    TimedOut(Duration),
    Io(io::Error),
    Http(HttpError),
    Status(Option<u16>),
    /// The body of the response is not JSON.
    InvalidJson(serde_json::Error),
    InvalidList(CatalogError),
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryError::Overloaded => f.write_str("refused, discovery has too many polls"),
            DiscoveryError::TimedOut(after) => write!(f, "nothing within {after:?}"),
            DiscoveryError::Io(error) => write!(f, "{error}"),
            DiscoveryError::Http(error) => write!(f, "{error}"),
            DiscoveryError::Status(status) => write!(f, "status {status:?}"),
            DiscoveryError::InvalidJson(error) => write!(f, "endpoint list is not JSON: {error}"),
            DiscoveryError::InvalidList(error) => write!(f, "invalid endpoint list: {error}"),
        }
    }
}

impl From<io::Error> for DiscoveryError {
    fn from(error: io::Error) -> DiscoveryError {
        DiscoveryError::Io(error)
    }
}

impl From<HttpError> for DiscoveryError {
    fn from(error: HttpError) -> DiscoveryError {
        DiscoveryError::Http(error)
    }
}

/// Polls discovery for the endpoint list.
#[derive(Clone)]
pub struct Discovery {
    address: SocketAddr,
    /// The generation after which the next poll asks for changes. None asks for the complete list, as no list of this
    /// discovery is known.
    generation: Option<u64>,
    /// How long a poll waits for a change while discovery is not overloaded.
    min_wait: Duration,
    /// How long the next poll waits for a change.
    wait: Duration,
    zones: Vec<String>,
    clock: Clock,
    resources: Rc<ResourcePool>,
    queue: EventQueue,
    start: Rc<StartupTimes>,
}

impl Discovery {
    /// Creates the client. None where no discovery is configured: the servers of the configuration are then the only
    /// ones.
    pub fn new(
        configuration: &Configuration,
        resources: Rc<ResourcePool>,
        queue: EventQueue,
        start: Rc<StartupTimes>,
    ) -> Option<Discovery> {
        let address = configuration.discovery?;
        let (zones, clock) = (configuration.zones.clone(), configuration.clock.clone());
        // A process that takes over asks for the complete list at once, instead of waiting for a change.
        let generation = Some(configuration.initial_catalog.generation)
            .filter(|_| configuration.inherited_listener.is_none());
        let wait_at_max_rate = Duration::from_secs_f64(configuration.policy.replicas / MAX_POLLS_PER_SECOND);
        let wait = wait_at_max_rate.clamp(MIN_WAIT, MAX_WAIT);
        Some(Discovery { address, generation, min_wait: wait, wait, zones, clock, resources, queue, start })
    }

    /// Polls another discovery from now on, beginning with the complete list: its generations may count from another
    /// start, and it may report drains that the old discovery never had.
    pub fn set_address(&mut self, address: SocketAddr) {
        (self.address, self.generation, self.wait) = (address, None, self.min_wait);
    }

    /// Starts a watch whenever a poll is requested; the watch lasts until a poll fails.
    pub async fn follow(mut self, poll_requests: Receiver<()>) {
        while poll_requests.recv().await.is_ok() {
            let error = match self.watch().await {
                Err(error) => error,
                Ok(never) => match never {},
            };
            // Requests made during the watch are dropped: the event below, which reports its end, answers them.
            while poll_requests.try_recv().is_ok() {}
            tracing::warn!(discovery = %self.address, "endpoint list watch ended: {error}");
            match error {
                DiscoveryError::Overloaded => {
                    self.wait = (self.wait * 2).min(MAX_OVERLOADED_WAIT);
                    self.queue.push(Event::ListPollRejected);
                }
                _ => self.queue.push(Event::ListPollFailed),
            }
        }
    }

    async fn watch(&mut self) -> Result<Infallible, DiscoveryError> {
        let mut connection = None;
        // The next poll follows at once: discovery treats a poll that comes 0.2 s after a response as a new watch.
        loop {
            let list = self.poll(&mut connection).await?;
            let (generation, entries) = (list.generation, list.entries.len());
            tracing::debug!(generation, complete = list.complete, entries, "endpoint list received");
            self.generation = Some(generation);
            self.wait = self.wait.mul_f64(WAIT_DECAY).max(self.min_wait);
            self.start.list_received();
            self.queue.push(Event::ListReceived(list));
        }
    }

    /// Sends one poll, on the idle connection if there is one.
    async fn poll(&self, idle_connection: &mut Option<Async<TcpStream>>) -> Result<Catalog, DiscoveryError> {
        // The time spent on connecting is subtracted from the poll's wait.
        let started_at = Instant::now();
        let connection = match idle_connection.take() {
            Some(connection) => connection,
            None => with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(self.address)).await?,
        };
        let _ = connection.get_ref().set_nodelay(true);
        let wait = self.wait.saturating_sub(started_at.elapsed());
        let head = self.poll_head(wait);
        with_timeout(CONNECT_TIMEOUT, http::write(&connection, head.as_bytes(), b"")).await?;
        self.start.discovery_polled();
        // The list has buffers of its own, freed together with it: requests that arrive slowly may occupy all others.
        let max_buffers = self.resources.endpoint_list_buffers();
        let buffers = ResourcePool::buffers_only(max_buffers + 1);
        let response = http::read_buffered_response(&connection, &buffers, max_buffers);
        let (status, keep_alive, mut body) = with_timeout(wait + RESPONSE_SLACK, response).await?;
        if status == Some(503) && started_at.elapsed() >= MIN_QUEUED_TIME {
            return Err(DiscoveryError::Overloaded);
        }
        if status != Some(200) {
            return Err(DiscoveryError::Status(status));
        }
        let value = serde_json::from_reader(BufReader::new(&mut body));
        let value = value.map_err(DiscoveryError::InvalidJson)?;
        let list = Catalog::parse(&value, &self.zones, &self.clock);
        let list = list.map_err(DiscoveryError::InvalidList)?;
        *idle_connection = keep_alive.then_some(connection);
        Ok(list)
    }

    fn poll_head(&self, wait: Duration) -> String {
        let query = |after: u64| format!("?after={after}&wait_ms={}", wait.as_millis());
        let query = self.generation.map(query).unwrap_or_default();
        format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address)
    }
}

async fn with_timeout<T, E: Into<DiscoveryError>>(
    limit: Duration,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, DiscoveryError> {
    timeout(limit, work).await.ok_or(DiscoveryError::TimedOut(limit))?.map_err(Into::into)
}
