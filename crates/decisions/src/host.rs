//! What the decisions ask of whoever hosts them, and the plain types that pass between the two.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// The id of a request or of a server, as the host gives it.
pub type Id = Rc<str>;

/// Carries out what the decisions ask for. Spans and moments are of the host's own monotonic time.
pub trait Host {
    /// Starts the next attempt of a request; it must not last past `deadline` (zero: past the request's own).
    fn start_attempt(&mut self, request: &Id, server: &Id, deadline: Duration);
    /// Answers a request as rejected, with no effect; `retry_after` is what its client is told to wait.
    fn reject(&mut self, request: &Id, retry_after: Option<Duration>);
    /// Answers a request as failed: it may have run.
    fn fail(&mut self, request: &Id);
    /// Cancels an attempt, by its number within the request, counted from 0.
    fn cancel_attempt(&mut self, request: &Id, attempt: u32);
    /// Starts a health check; it is followed by `Policy::health_check_ended`.
    fn check_health(&mut self, server: &Id);
    /// Asks for `Policy::timer_fired` after this span.
    fn wake_after(&mut self, span: Duration);
    /// Polls discovery for the endpoint list.
    fn poll_discovery(&mut self);
    /// Closes this replica's idle connections to the server.
    fn close_idle_connections(&mut self, server: &Id);
    /// Sends a message of at most 256 bytes to one replica, by its ordinal, or to all of them.
    fn send_to_peers(&mut self, peer: Option<u32>, message: &[u8]);
    /// Logs what was decided of a server.
    fn log(&mut self, event: &Event);
}

/// What the decisions report for the log. The texts are read by the simulator and by the lab.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server was ejected as an outlier.
    Ejected(Id),
    /// The server passed its health checks or trials and is back, in slow start.
    Returned(Id),
    /// An attempt goes to a server in slow start without a credit: a rule of this module is broken.
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

/// Where a server stands in its life, as the endpoint list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes requests.
    Ready,
    /// It finishes what it has and gets nothing new.
    Draining,
    /// It is no longer there.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The server's id.
    pub server: Id,
    /// The number of its zone.
    pub zone: u32,
    /// The number of its cell within the zone.
    pub cell: u32,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// Its nominal capacity, against the others'.
    pub nominal_capacity: f64,
    /// When its process started, where the list says so.
    pub started_at: Option<Duration>,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// The request's id.
    pub id: Id,
    /// The number of its class.
    pub class: usize,
    /// When it must have its final response.
    pub deadline: Duration,
    /// Its last byte is still to come; its deadline is known with that.
    pub body_incomplete: bool,
    /// The number of its tenant.
    pub tenant: usize,
    /// The work that it is declared to take, as time on a standard core.
    pub declared_work: Option<Duration>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected it as it has no capacity: it never ran.
    Overloaded,
    /// No answer came in time.
    Timeout,
    /// No connection came up: it never ran.
    ConnectFailed,
    /// The connection broke after the first byte was sent.
    Reset,
    /// It was cancelled.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request's id.
    pub request: Id,
    /// The request has had its final response already.
    pub request_closed: bool,
    /// What was sent of the request's body cannot be sent again.
    pub body_consumed: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// The attempt's number within the request, counted from 0.
    pub attempt: u32,
    /// From its start to its end.
    pub latency: Duration,
    /// The server that it went to.
    pub server: Id,
    /// What the server reported of its load with the answer.
    pub load: LoadReport,
}

/// A server's own report of its load; what it does not report stays empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Requests that it works on.
    pub in_flight: Option<f64>,
    /// How busy its cores are, from 0 to 1.
    pub utilization: Option<f64>,
}

/// What is known by now of the replicas that share the servers. Smaller parts hold at once; the host lets larger ones
/// come slowly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaView {
    /// How many there are, this one among them: at least 1, a fraction while the part of one is taken over.
    pub count: f64,
    /// How many may be alive, whether they are heard or not: their sum must not overload a server in slow start.
    pub max_alive: f64,
    /// This replica's number among them; none while it has none.
    pub ordinal: Option<u32>,
    /// Requests a second that a replica has on average; none where it is not known.
    pub mean_request_rate: Option<f64>,
}
