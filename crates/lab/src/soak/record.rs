//! Stores the observations of the clients and servers of a run, and what was done to its processes. All times are spans
//! since the start of the run, by one clock.

use super::plan::Fault;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Answered {
        status: u16,
        /// Whether the body belongs to this request; true for other statuses than 200.
        body_matches: bool,
    },
    /// The connection was closed or reset before the response was complete.
    ConnectionEnded { response_begun: bool },
    /// The client closed the connection itself.
    ClientLeft,
    /// No response arrived until long after the time limit.
    NoResponse,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub request_id: String,
    pub effect: Effect,
    pub sidecar: usize,
    /// When its connection was opened, and whether the connection had carried a request before.
    pub connected: Duration,
    pub reused: bool,
    /// When the last byte of the request was written.
    pub written: Duration,
    pub time_limit: Duration,
    pub outcome: RequestOutcome,
    pub ended: Duration,
}

/// A client that stopped in the middle of a request or sent an invalid one.
#[derive(Clone, Debug)]
pub struct StalledClient {
    pub sidecar: usize,
    pub since: Duration,
    /// When it received a response or the connection was closed; None if neither happened in time.
    pub notified: Option<Duration>,
}

/// One attempt as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request_id: String,
    /// Id of the server in the endpoint list, and its zone and cell.
    pub server: String,
    pub zone: usize,
    pub cell: u32,
    /// When the first byte arrived.
    pub began: Duration,
    /// The remaining time that the request stated.
    pub remaining_ms: Option<u64>,
    /// When the server sent its response, or saw the connection end.
    pub ended: Option<Duration>,
    /// Whether the server ran the request, so that it may have had an effect.
    pub ran: bool,
}

/// A signal to a process, or another event of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// SIGTERM, SIGKILL, SIGSTOP and SIGCONT.
    Term,
    Kill,
    Stop,
    Cont,
    Exited,
    Ready,
    /// Idle clients connected to it.
    IdleClientsConnected,
    IdleClientsLeft,
}

/// A change of a server's entry in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    Draining,
    Started,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    pub requests: Vec<RequestRecord>,
    pub attempts: Vec<Attempt>,
    pub stalled_clients: Vec<StalledClient>,
    /// When, which sidecar, and what happened to it.
    pub process_events: Vec<(Duration, usize, ProcessEvent)>,
    /// When, which server, and how its entry changed.
    pub list_changes: Vec<(Duration, String, ListChange)>,
    pub faults: Vec<(Duration, Fault)>,
}

/// Collects the observations of a run from all threads.
pub struct Recorder {
    start: Instant,
    observations: Mutex<Observations>,
}

impl Recorder {
    /// Creates an empty recorder; the run starts now.
    pub fn new() -> Recorder {
        Recorder { start: Instant::now(), observations: Mutex::default() }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        // A thread that panics leaves no entry incomplete.
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request with its outcome.
    pub fn record_request(&self, request: RequestRecord) {
        self.lock().requests.push(request);
    }

    /// Records a client that stopped in the middle of a request or sent an invalid one.
    pub fn record_stalled_client(&self, client: StalledClient) {
        self.lock().stalled_clients.push(client);
    }

    /// Records the start of an attempt; returns its number for `attempt_ended`.
    pub fn attempt_began(&self, attempt: Attempt) -> usize {
        let mut observations = self.lock();
        observations.attempts.push(attempt);
        observations.attempts.len() - 1
    }

    /// Records the end of the attempt with this number, and whether it ran; unknown numbers are ignored.
    pub fn attempt_ended(&self, number: usize, ran: bool) {
        let now = self.now();
        if let Some(attempt) = self.lock().attempts.get_mut(number) {
            attempt.ended = Some(now);
            attempt.ran = ran;
        }
    }

    /// Records an event of a sidecar's process at the current time.
    pub fn record_process_event(&self, sidecar: usize, event: ProcessEvent) {
        let now = self.now();
        self.lock().process_events.push((now, sidecar, event));
    }

    /// Records a change of a server's entry in the endpoint list at the current time.
    pub fn record_list_change(&self, server: &str, change: ListChange) {
        let now = self.now();
        self.lock().list_changes.push((now, server.to_string(), change));
    }

    /// Records the start of a fault at the current time.
    pub fn record_fault(&self, fault: &Fault) {
        let now = self.now();
        self.lock().faults.push((now, fault.clone()));
    }

    /// A copy of all observations so far.
    pub fn observations(&self) -> Observations {
        self.lock().clone()
    }
}
