//! The state that the connections of all clients share.

use super::latch::Latch;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::net::attempts::RetryRule;
use crate::net::buffers::{BYTES_PER_MB, ResourcePool};
use crate::net::executor::Executor;
use crate::net::local_failure::FailureLog;
use crate::net::owner::EventQueue;
use crate::net::request::RequestParser;
use crate::net::upstream::ConnectionPool;
use crate::start::StartupTimes;
use async_channel::Sender;
use landingspread_decisions::settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a new client has from connecting until its first request is complete.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2300);
/// The interval at which tasks that wait for free sockets check again.
pub(super) const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time limit for each write to a client; a client that does not read in time counts as gone.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// The clients of this process, and the state that their connections share.
pub struct ClientSide {
    pub(super) clock: Clock,
    pub(super) parser: RequestParser,
    /// The current time limits by request class, for requests that give none.
    pub(super) time_limits: RefCell<Vec<Duration>>,
    /// The retry rules by request class.
    pub(super) retry_rules: Vec<RetryRule>,
    pub(super) max_open_requests: usize,
    /// The length of the longest request body.
    pub(super) max_body_bytes: u64,
    pub(super) open_requests: Cell<usize>,
    /// When the last request must have its final response; set by SIGTERM.
    pub(super) shutdown_deadline: Cell<Option<Duration>>,
    /// Whether each response is the last one of its connection.
    pub(super) closing_connections: Cell<bool>,
    /// Closed once no more connections are accepted.
    pub(super) accepting: Latch,
    /// Closed once no more requests are read.
    pub(super) reading: Latch,
    pub(super) idle: RefCell<BTreeMap<IdleKey, Sender<()>>>,
    /// New clients that have sent a part of their first request.
    pub(super) partial_requests: RefCell<BTreeMap<u64, PartialRequest>>,
    /// The number of new connections that have sent nothing yet and do not count as idle yet.
    pub(super) silent_new_connections: Cell<usize>,
    /// The next number to give to an idle connection, a partial request or a request.
    pub(super) unused_number: Cell<u64>,
    pub(super) resources: Rc<ResourcePool>,
    pub(super) queue: EventQueue,
    pub(super) start: Rc<StartupTimes>,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) failed_accepts: FailureLog,
    pub(super) executor: Rc<Executor>,
}

/// The order in which idle connections are closed to free sockets: connections without a request before others, and the
/// longest idle first within both groups.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleKey {
    pub(super) had_request: bool,
    pub(super) number: u64,
}

/// A new client's first request while it arrives.
pub(super) struct PartialRequest {
    /// When its last bytes arrived.
    pub(super) last_read: Rc<Cell<Duration>>,
    /// A message on this channel closes the connection.
    pub(super) close: Sender<()>,
}

impl ClientSide {
    /// Creates the client side, without connections.
    pub fn new(
        configuration: &Configuration,
        resources: Rc<ResourcePool>,
        queue: EventQueue,
        start: Rc<StartupTimes>,
        pool: Rc<ConnectionPool>,
        executor: Rc<Executor>,
    ) -> ClientSide {
        let policy = &configuration.policy;
        let retry_rule = |class: &settings::RequestClass| RetryRule {
            safety: class.retry_safety,
            // The decision engine shortens the window by the resolution of its timer, and the guard uses the same
            // window.
            dedup_window: class.dedup_window.saturating_sub(policy.timer_resolution),
            hedging: policy.capabilities.hedging,
        };
        let parser = RequestParser {
            classes: configuration.classes.clone(),
            tenants: configuration.tenants.clone(),
            cost_header: configuration.work_header.clone(),
        };
        ClientSide {
            clock: configuration.clock.clone(),
            parser,
            time_limits: RefCell::new(configuration.classes.iter().map(|class| class.time_limit).collect()),
            retry_rules: policy.classes.iter().map(retry_rule).collect(),
            max_open_requests: configuration.max_open_requests,
            max_body_bytes: configuration.max_body_mb.saturating_mul(BYTES_PER_MB) as u64,
            open_requests: Cell::new(0),
            shutdown_deadline: Cell::new(None),
            closing_connections: Cell::new(false),
            accepting: Latch::open(),
            reading: Latch::open(),
            idle: RefCell::default(),
            partial_requests: RefCell::default(),
            silent_new_connections: Cell::new(0),
            unused_number: Cell::new(0),
            resources,
            queue,
            start,
            pool,
            failed_accepts: FailureLog::default(),
            executor,
        }
    }

    /// Sets the time limits of requests whose head arrives from now on.
    pub fn set_time_limits(&self, limits: Vec<Duration>) {
        *self.time_limits.borrow_mut() = limits;
    }

    /// Returns a number that no connection and no request has had before.
    pub(super) fn next_number(&self) -> u64 {
        self.unused_number.replace(self.unused_number.get() + 1)
    }

    /// The time that a new client still has for its first request.
    pub(super) fn first_request_time_left(&self, connected_at: Duration) -> Duration {
        (connected_at + FIRST_REQUEST_TIMEOUT).saturating_sub(self.clock.now())
    }
}
