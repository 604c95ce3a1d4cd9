//! The connection pool: dials connections to servers, keeps them between requests, and reuses them once they have been
//! quiet for long enough. It owns every connection to a server that no attempt uses, and never reads or writes a
//! message.

use super::idle_breaks::IdleBreakStats;
use super::response_digest::{RecentResponses, ResponseDigest, ResponseVariety, Variety};
use crate::configuration::Configuration;
use crate::net::attempts::Location;
use crate::net::buffers::{ResourcePool, SocketPermit};
use crate::net::local_failure::{FailureCause, FailureLog, failure_cause};
use crate::net::timeout::timeout;
use async_io::{Async, Timer};
use landingspread_decisions::host::{Id, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The fraction of the server's own idle timeout after which a connection is closed here: a request written to a
/// connection that the server is just closing would end with a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// The interval at which unusable idle connections are closed.
const REAP_INTERVAL: Duration = Duration::from_secs(1);

/// A duplicate response or other bytes may arrive some time after a response, and nothing in a response names its request.
/// A connection is therefore used again only once it has been quiet for a while; otherwise late bytes would be read as
/// the next request's response. This is the shortest quiet time, for retryable requests while many connections are idle
/// and a copy would be recognized (see `super::response_digest`).
const MIN_QUIET: Duration = Duration::from_millis(3);
/// The quiet time for all other reuse, and the latest arrival of a copy that is expected.
const QUIET: Duration = Duration::from_millis(25);
/// The quiet time after any server has sent bytes beyond its response.
const QUIET_AFTER_SURPLUS: Duration = Duration::from_millis(60);
/// How long `QUIET_AFTER_SURPLUS` applies after such a surplus.
const SURPLUS_COOLDOWN: Duration = Duration::from_secs(60);
/// From this number of idle connections to a server on, the longest idle one is reused after the shortest quiet time.
const MANY_IDLE: usize = 8;
/// The pause before a dial that failed for a reason on this machine is repeated.
const REDIAL_INTERVAL: Duration = Duration::from_millis(5);
/// The most idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 32;

/// The destination of an attempt or a health check. The same address may belong to another server later.
#[derive(Clone)]
pub struct Target {
    pub server: Id,
    pub address: SocketAddr,
    pub location: Location,
}

/// An open connection to a server.
pub struct UpstreamConnection {
    pub stream: Async<TcpStream>,
    recent: RecentResponses,
    copy_risk: CopyRisk,
    _permit: SocketPermit,
}

/// Why there is no connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The server or the path to it refused the connection, or did not answer in time.
    Unreachable,
    /// This process or machine had no descriptor, port or memory for the connection, which says nothing about the
    /// server.
    LocalResources,
}

impl From<ConnectError> for Outcome {
    fn from(error: ConnectError) -> Outcome {
        match error {
            ConnectError::Unreachable => Outcome::ConnectFailed,
            ConnectError::LocalResources => Outcome::NotSent,
        }
    }
}

/// What a message is used for, which decides on the connections that it may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A request that can be sent again if its connection breaks.
    RetryableRequest,
    /// A request that cannot be sent again, so no connection is used that is likely to break.
    RunOnceRequest,
    HealthCheck,
}

/// What the late copy of an earlier response on a connection may do to the message that is sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyRisk {
    /// None is expected: the connection is new, or was quiet for long enough.
    None,
    /// The connection was reused early, and a response that is equal to an earlier one is a copy.
    Recognized,
    /// The connection was reused early, and a copy is equal to the response that it is taken for.
    Harmless,
}

/// Whether a response was made for the message that was sent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseOrigin {
    Own,
    /// A rejection or an error that an earlier message on the connection was answered with as well. It ends the attempt in the
    /// same way, but another response may follow, so the connection must not be reused.
    Uncertain,
    /// The late copy of the response to an earlier message.
    LateCopy,
}

struct IdleConnection {
    connection: UpstreamConnection,
    address: SocketAddr,
    idle_since: Instant,
}

/// The idle connections to all servers, and the dialing of new ones.
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<Id, Vec<IdleConnection>>>,
    idle_breaks: RefCell<IdleBreakStats>,
    /// By server; those of servers without idle connections are dropped.
    varieties: RefCell<BTreeMap<Id, ResponseVariety>>,
    /// When any server last sent bytes beyond its response.
    last_surplus_at: Cell<Option<Instant>>,
    failed_dials: FailureLog,
    resources: Rc<ResourcePool>,
    idle_timeout: Duration,
    dial_timeout: Duration,
}

impl ConnectionPool {
    /// Creates a pool with the configured timeouts.
    pub fn new(configuration: &Configuration, resources: Rc<ResourcePool>) -> ConnectionPool {
        let idle_timeout = configuration.idle_connection_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        ConnectionPool::with_timeouts(idle_timeout, configuration.connect_timeout, resources)
    }

    /// Creates a pool that closes idle connections and gives up dials after these times.
    pub fn with_timeouts(
        idle_timeout: Duration,
        dial_timeout: Duration,
        resources: Rc<ResourcePool>,
    ) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            idle_breaks: RefCell::default(),
            varieties: RefCell::default(),
            last_surplus_at: Cell::default(),
            failed_dials: FailureLog::default(),
            resources,
            idle_timeout,
            dial_timeout,
        }
    }

    /// Records whether a connection broke when it was reused after this idle time.
    pub fn record_reuse(&self, idle: Duration, broke: bool) {
        self.idle_breaks.borrow_mut().record(idle, broke);
    }

    /// Takes an idle connection or dials a new one. Also returns how long a reused connection had been idle.
    pub(super) async fn connection(
        &self,
        to: &Target,
        purpose: Purpose,
    ) -> Result<(UpstreamConnection, Option<Duration>), ConnectError> {
        if let Some(idle) = self.take_idle(to, purpose) {
            return Ok((idle.connection, Some(idle.idle_since.elapsed())));
        }
        let permit = loop {
            match self.resources.endpoint_sockets.take() {
                Some(permit) => break permit,
                None if self.close_longest_idle() => {}
                None => return Err(ConnectError::LocalResources),
            }
        };
        let stream = self.dial(to).await?;
        let _ = stream.get_ref().set_nodelay(true);
        let recent = RecentResponses::default();
        Ok((UpstreamConnection { stream, recent, copy_risk: CopyRisk::None, _permit: permit }, None))
    }

    /// Dials within the dial timeout. Failures on this machine are retried and not attributed to the server.
    async fn dial(&self, to: &Target) -> Result<Async<TcpStream>, ConnectError> {
        let deadline = Instant::now() + self.dial_timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Some(dialed) = timeout(remaining, Async::<TcpStream>::connect(to.address)).await else {
                return Err(ConnectError::Unreachable);
            };
            let error = match dialed {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            let cause = failure_cause(&error);
            if cause == FailureCause::Remote {
                return Err(ConnectError::Unreachable);
            }
            self.failed_dials.record("dial", &error);
            if Instant::now() + REDIAL_INTERVAL >= deadline {
                return Err(ConnectError::LocalResources);
            }
            if cause != FailureCause::Descriptors || !self.close_longest_idle() {
                Timer::after(REDIAL_INTERVAL).await;
            }
        }
    }

    /// Takes the most recently used connection that has been quiet for long enough, as it is the least likely to have
    /// ended. Only candidates are inspected, since each inspection is a system call on the request path; `reap` closes
    /// the others.
    fn take_idle(&self, to: &Target, purpose: Purpose) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to.server)?;
        for index in (0..connections.len()).rev() {
            let idle_for = connections[index].idle_since.elapsed();
            if idle_for < self.required_quiet() {
                continue;
            }
            // The connections before this one have been idle for even longer.
            if purpose == Purpose::RunOnceRequest && self.idle_breaks.borrow().breaks_often_after(idle_for) {
                return None;
            }
            let mut candidate = connections.remove(index);
            candidate.connection.copy_risk = CopyRisk::None;
            if self.is_usable_for(to, &candidate) {
                return Some(candidate);
            }
        }
        let reuse_early = purpose == Purpose::RetryableRequest
            && connections.len() >= MANY_IDLE
            && self.required_quiet() == QUIET;
        if !reuse_early || connections.first()?.idle_since.elapsed() < MIN_QUIET {
            return None;
        }
        let copy_risk = self.early_copy_risk(&to.server, connections.first()?)?;
        let mut longest_idle = connections.remove(0);
        longest_idle.connection.copy_risk = copy_risk;
        Some(longest_idle).filter(|candidate| self.is_usable_for(to, candidate))
    }

    /// The risk of reusing a connection that has been quiet for less than `QUIET`; None if a copy could be taken for the
    /// next response.
    fn early_copy_risk(&self, server: &Id, idle: &IdleConnection) -> Option<CopyRisk> {
        match self.varieties.borrow().get(server)?.get() {
            Variety::AllDiffer if idle.connection.recent.recognizes_copies() => Some(CopyRisk::Recognized),
            Variety::AllEqual => Some(CopyRisk::Harmless),
            Variety::AllDiffer | Variety::Unclear => None,
        }
    }

    /// Records the response to a message on this connection, with a digest if it is complete, and returns whether it can be
    /// trusted. `is_ok` is set for a response that is passed on to a client.
    pub(super) fn record_response(
        &self,
        server: &Id,
        connection: &mut UpstreamConnection,
        digest: Option<ResponseDigest>,
        is_ok: bool,
    ) -> ResponseOrigin {
        let is_repeated = |digest| connection.recent.contain(digest, QUIET_AFTER_SURPLUS);
        let is_repeated = connection.copy_risk != CopyRisk::None && digest.is_some_and(is_repeated);
        if is_repeated && !is_ok {
            return ResponseOrigin::Uncertain;
        }
        if is_repeated && connection.copy_risk == CopyRisk::Recognized {
            self.record_surplus(server);
            return ResponseOrigin::LateCopy;
        }
        connection.recent.record(digest);
        if let Some(digest) = digest.filter(|_| is_ok) {
            self.record_variety(server, digest);
        }
        ResponseOrigin::Own
    }

    fn record_variety(&self, server: &Id, digest: ResponseDigest) {
        let mut varieties = self.varieties.borrow_mut();
        match varieties.get_mut(server) {
            Some(variety) => variety.record(digest),
            None => varieties.entry(server.clone()).or_default().record(digest),
        }
    }

    fn is_usable_for(&self, to: &Target, candidate: &IdleConnection) -> bool {
        candidate.address == to.address && self.is_usable(&to.server, candidate)
    }

    /// How long a connection must have been quiet before it is reused, if another one can be dialed instead.
    fn required_quiet(&self) -> Duration {
        match self.last_surplus_at.get() {
            Some(at) if at.elapsed() < SURPLUS_COOLDOWN => QUIET_AFTER_SURPLUS,
            _ => QUIET,
        }
    }

    /// Records that a server has sent bytes that no request asked for.
    pub fn record_surplus(&self, server: &Id) {
        if self.last_surplus_at.replace(Some(Instant::now())).is_none_or(|at| at.elapsed() > SURPLUS_COOLDOWN)
        {
            tracing::warn!(
                "server {server} sent more than its response; connections are reused only after {QUIET_AFTER_SURPLUS:?} idle"
            );
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle_to(&self, server: &Id) {
        self.idle.borrow_mut().remove(server);
    }

    /// Whether an idle connection is still open and silent. This detects a server that died or closed the connection,
    /// and bytes that no request asked for, before a request is sent on it.
    fn is_usable(&self, server: &Id, idle: &IdleConnection) -> bool {
        match idle.connection.stream.get_ref().peek(&mut [0]) {
            Ok(1..) => {
                self.record_surplus(server);
                false
            }
            Err(error) => {
                error.kind() == io::ErrorKind::WouldBlock && idle.idle_since.elapsed() < self.idle_timeout
            }
            Ok(_) => false,
        }
    }

    /// Returns a connection to the pool. Its last response must be complete.
    pub fn put_back(&self, to: &Target, connection: UpstreamConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(to.server.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, address: to.address, idle_since: Instant::now() });
    }

    /// Closes the connection that has been idle for longest, to any server. Returns false if none is idle.
    pub fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let idle_since =
            |connections: &&mut Vec<IdleConnection>| connections.first().map(|first| first.idle_since);
        let longest = idle.values_mut().filter(|connections| !connections.is_empty()).min_by_key(idle_since);
        longest.map(|connections| connections.remove(0)).is_some()
    }

    /// Closes idle connections while this process uses more than its share, which another process of this sidecar
    /// needs.
    pub fn shrink_to_share(&self) {
        while self.resources.exceeds_share() && self.close_longest_idle() {}
    }

    /// Periodically closes connections that have ended or exceeded the idle timeout; never returns.
    pub async fn reap(self: Rc<Self>) {
        loop {
            Timer::after(REAP_INTERVAL).await;
            self.idle.borrow_mut().retain(|server, connections| {
                connections.retain(|idle| self.is_usable(server, idle));
                !connections.is_empty()
            });
            let idle = self.idle.borrow();
            self.varieties.borrow_mut().retain(|server, _| idle.contains_key(server));
        }
    }
}
