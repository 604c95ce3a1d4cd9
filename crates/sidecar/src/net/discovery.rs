//! The discovery client: one watch of the endpoint list, by long polls. It owns the list's generation and the connection to
//! discovery. It polls when it is asked to, and goes on by itself only while the watch stands or has moved; it never
//! changes what the owner was given.

use super::buffers::ResourcePool;
use super::http::{self, HttpError};
use super::owner::{Event, EventQueue};
use super::timeout::timeout;
use crate::catalog::{Catalog, CatalogError};
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::start::Start;
use async_channel::Receiver;
use async_io::Async;
use std::convert::Infallible;
use std::fmt;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a poll waits for a change. A connection that has gone silent shows only when the poll's time is over, and until
/// then no drain is seen; so polls wait briefly, longer where all replicas together would poll more often than
/// `MAX_POLLS_PER_SECOND`. A change has to be known 6 s after discovery has it, and a poll that waits for 2.5 s is given up
/// and made again within 4 s.
const MIN_WAIT: Duration = Duration::from_secs(2);
const MAX_WAIT: Duration = Duration::from_millis(2500);
const MAX_POLLS_PER_SECOND: f64 = 50.0;
/// How long connecting, and writing a poll, may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A poll that is refused after this time stood in discovery's queue: discovery has more polls than it can serve, from an
/// unknown number of replicas. Each poll then waits twice as long, up to `MAX_OVERLOADED_WAIT`, and less again by
/// `WAIT_DECAY` with each list.
const MIN_QUEUED_TIME: Duration = Duration::from_millis(500);
const MAX_OVERLOADED_WAIT: Duration = Duration::from_secs(8);
const WAIT_DECAY: f64 = 0.75;
/// How much later than its wait a poll's response may arrive, as discovery serves polls in turn.
const RESPONSE_SLACK: Duration = Duration::from_secs(1);

/// Why a poll brought no endpoint list.
#[derive(Debug)]
enum DiscoveryError {
    /// Discovery has too many polls.
    Overloaded,
    TimedOut(Duration),
    Io(io::Error),
    Http(HttpError),
    Status(Option<u16>),
    /// The response is not JSON.
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
    /// The generation of the list in hand. None where it is not one of this discovery's: then the complete list is due.
    generation: Option<u64>,
    /// How long a poll waits for a change: at least, and now.
    min_wait: Duration,
    wait: Duration,
    zones: Vec<String>,
    clock: Clock,
    resources: Rc<ResourcePool>,
    queue: EventQueue,
    start: Rc<Start>,
}

impl Discovery {
    /// None where the configuration names no discovery: the servers that it lists are all there are.
    pub fn new(
        configuration: &Configuration,
        resources: Rc<ResourcePool>,
        queue: EventQueue,
        start: Rc<Start>,
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

    /// Polls another discovery from now on. It may count its generations from elsewhere, and may know of drains that the old
    /// one never had.
    pub fn set_address(&mut self, address: SocketAddr) {
        (self.address, self.generation, self.wait) = (address, None, self.min_wait);
    }

    /// Starts a watch whenever the decisions ask for one; it lasts until a poll fails.
    pub async fn follow(mut self, poll_requests: Receiver<()>) {
        while poll_requests.recv().await.is_ok() {
            let error = match self.watch().await {
                Err(error) => error,
                Ok(never) => match never {},
            };
            // What was asked for while the watch stood is answered by the event that it has ended.
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
        // The next poll follows at once: 0.2 s after a response it would start a new watch at discovery.
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

    /// One poll, on the connection that is kept if there is one.
    async fn poll(&self, idle_connection: &mut Option<Async<TcpStream>>) -> Result<Catalog, DiscoveryError> {
        // The time of a slow connect is taken off the poll's wait.
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
        // Buffers of its own, freed with the list: requests that arrive slowly may hold all others.
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
