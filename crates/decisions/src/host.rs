//! The interface between the decision engine and its host, and the plain types that both use.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// The id of a request or of a server, as the host gives it.
pub type Id = Rc<str>;

/// Carries out the actions of the decision engine. All durations and times refer to the host's monotonic
/// clock.
pub trait Host {
    /// Starts the next attempt of a request. The attempt must end by `deadline`, or by the request's own deadline if
    /// `deadline` is zero.
    fn start_attempt(&mut self, request: &Id, server: &Id, deadline: Duration);
    /// Responds to a request as rejected: it did not run, or may be sent again without harm. `retry_after`, if any, is
    /// sent to its client.
    fn reject(&mut self, request: &Id, retry_after: Option<Duration>);
    /// Responds to a request as failed: it may have run and must not be sent again, or its class is unknown.
    fn fail(&mut self, request: &Id);
    /// Cancels an attempt. `attempt` is its number within the request, from 0.
    fn cancel_attempt(&mut self, request: &Id, attempt: u32);
    /// Starts a health check, whose outcome is reported by `Policy::health_check_ended`.
    fn check_health(&mut self, server: &Id);
    /// Requests a call of `Policy::timer_fired` after `span`.
    fn wake_after(&mut self, span: Duration);
    /// Polls discovery for the endpoint list.
    fn poll_discovery(&mut self);
    /// Closes this replica's idle connections to the server.
    fn close_idle_connections(&mut self, server: &Id);
    /// Sends a message of at most 256 bytes to the replica with this ordinal, or to all replicas.
    fn send_to_peers(&mut self, peer: Option<u32>, message: &[u8]);
    /// Logs an event of a server.
    fn log(&mut self, event: &Event);
}

/// Events of servers for the log. The simulator and the lab parse their texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server was ejected as an outlier.
    Ejected(Id),
    /// The server passed its health checks or trials and is in use again, in slow start.
    Returned(Id),
    /// An attempt is sent to a server in slow start without a credit: an invariant of the slow start is violated.
    SlowStartViolated(Id),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Ejected(server) => write!(f, "mark {server}"),
            Event::Returned(server) => write!(f, "return {server}"),
            Event::SlowStartViolated(server) => write!(f, "invariant violated: slow start of {server}"),
        }
    }
}

/// Lifecycle state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The server accepts requests.
    Ready,
    /// The server finishes its open requests and gets no new ones.
    Draining,
    /// The server is gone.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Id of the server.
    pub server: Id,
    /// Number of the server's zone.
    pub zone: u32,
    /// Number of the server's cell within the zone.
    pub cell: u32,
    /// Lifecycle state of the server.
    pub lifecycle: Lifecycle,
    /// Capacity of the server relative to that of the other servers.
    pub nominal_capacity: f64,
    /// Start time of the server's process, if the list reports it.
    pub started_at: Option<Duration>,
}

/// A request on arrival.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Id of the request.
    pub id: Id,
    /// Number of the request's class.
    pub class: usize,
    /// Deadline of the final response.
    pub deadline: Duration,
    /// Whether the body is incomplete. The deadline is reported again with the last byte.
    pub body_incomplete: bool,
    /// Number of the request's tenant.
    pub tenant: usize,
    /// Declared work of the request, as time on a standard core.
    pub declared_work: Option<Duration>,
}

/// Outcome of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered successfully.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected the attempt because it is overloaded: the request did not run.
    Overloaded,
    /// No answer came within the time limit.
    Timeout,
    /// No connection could be established: the request did not run.
    ConnectFailed,
    /// The connection broke after the first byte of the request was sent.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent, so the request did not run.
    NotSent,
}

impl Outcome {
    /// Whether the request is known not to have run in this attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Id of the attempt's request.
    pub request: Id,
    /// Whether the request already has its final response.
    pub request_closed: bool,
    /// Whether the part of the request's body that was sent cannot be sent again.
    pub body_consumed: bool,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Number of the attempt within the request, from 0.
    pub attempt: u32,
    /// Time from the start to the end of the attempt.
    pub latency: Duration,
    /// Id of the attempt's server.
    pub server: Id,
    /// Load that the server reported with the answer.
    pub load: LoadReport,
}

/// The load that a server reports of itself; `None` where a figure is not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests that are queued at the server.
    pub queued: Option<f64>,
    /// Requests that the server works on.
    pub in_flight: Option<f64>,
    /// Utilization of the server's cores, from 0 to 1.
    pub utilization: Option<f64>,
}

/// The current view of the replicas that share the servers. A change that makes this replica's share of the servers
/// smaller applies at once; the host raises the share gradually.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaView {
    /// Number of replicas, this one included: at least 1, and a fraction while the share of a lost replica is taken
    /// over.
    pub count: f64,
    /// Upper bound of the number of replicas that may be alive, unreachable ones included. All of them together must
    /// not overload a server in slow start.
    pub max_alive: f64,
    /// Ordinal of this replica; `None` while it has none.
    pub ordinal: Option<u32>,
    /// Mean request rate of a replica, in requests per second; `None` if unknown.
    pub mean_request_rate: Option<f64>,
}
