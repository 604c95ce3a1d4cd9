//! What the connections of all clients share.

use super::latch::Latch;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::net::attempts::RetryRule;
use crate::net::buffers::ResourcePool;
use crate::net::local_failure::FailureLog;
use crate::net::owner::EventQueue;
use crate::net::request::RequestParser;
use crate::net::upstream::ConnectionPool;
use crate::start::Start;
use async_channel::Sender;
use async_executor::LocalExecutor;
use landingspread_decisions::settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a new client has from connecting until its first request is complete.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2300);
/// The pause before it is looked again whether there is room for a connection.
pub(super) const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A client that reads nothing for this long has gone.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// All clients of this process.
pub struct ClientSide {
    pub(super) clock: Clock,
    pub(super) parser: RequestParser,
    /// The current time limits of the request classes, for requests that have none of their own.
    pub(super) time_limits: RefCell<Vec<Duration>>,
    /// What further attempts of each verb's requests go by.
    pub(super) retry_rules: Vec<RetryRule>,
    pub(super) max_open_requests: usize,
    pub(super) open_requests: Cell<usize>,
    /// Set by SIGTERM: when the last request must have its final response.
    pub(super) shutdown_deadline: Cell<Option<Duration>>,
    /// Each response is its connection's last from now on.
    pub(super) closing_connections: Cell<bool>,
    /// Closed once no more connections are taken.
    pub(super) accepting: Latch,
    /// Closed once no more requests are read.
    pub(super) reading: Latch,
    pub(super) idle: RefCell<BTreeMap<IdleKey, Sender<()>>>,
    /// New clients that have sent a part of their first request.
    pub(super) partial_requests: RefCell<BTreeMap<u64, PartialRequest>>,
    /// How many connections have come just now and said nothing yet.
    pub(super) silent_new_connections: Cell<usize>,
    /// The last number given to a connection that waits, or to a request.
    pub(super) last_number: Cell<u64>,
    pub(super) resources: Rc<ResourcePool>,
    pub(super) queue: EventQueue,
    pub(super) start: Rc<Start>,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) failed_accepts: FailureLog,
    pub(super) executor: Rc<LocalExecutor<'static>>,
}

/// The order in which idle connections are closed for room: those without a request so far come first, and then those that
/// have been idle for longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleKey {
    pub(super) had_request: bool,
    pub(super) number: u64,
}

/// A new client's first request while it arrives.
pub(super) struct PartialRequest {
    /// When its last bytes arrived.
    pub(super) last_read: Rc<Cell<Duration>>,
    /// Closes the connection.
    pub(super) close: Sender<()>,
}

impl ClientSide {
    /// No connections yet.
    pub fn new(
        configuration: &Configuration,
        resources: Rc<ResourcePool>,
        queue: EventQueue,
        start: Rc<Start>,
        pool: Rc<ConnectionPool>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> ClientSide {
        let policy = &configuration.policy;
        let retry_rule = |class: &settings::RequestClass| RetryRule {
            safety: class.retry_safety,
            // What the decisions leave for the resolution of their clock is left here too.
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
            open_requests: Cell::new(0),
            shutdown_deadline: Cell::new(None),
            closing_connections: Cell::new(false),
            accepting: Latch::open(),
            reading: Latch::open(),
            idle: RefCell::default(),
            partial_requests: RefCell::default(),
            silent_new_connections: Cell::new(0),
            last_number: Cell::new(0),
            resources,
            queue,
            start,
            pool,
            failed_accepts: FailureLog::default(),
            executor,
        }
    }

    /// The time limits of requests whose head arrives from now on.
    pub fn set_time_limits(&self, limits: Vec<Duration>) {
        *self.time_limits.borrow_mut() = limits;
    }

    /// A number that no connection and no request had before.
    pub(super) fn next_number(&self) -> u64 {
        self.last_number.replace(self.last_number.get() + 1)
    }

    /// How much is left of a new client's time for its first request.
    pub(super) fn first_request_time_left(&self, connected_at: Duration) -> Duration {
        (connected_at + FIRST_REQUEST_TIMEOUT).saturating_sub(self.clock.now())
    }
}
