//! The open requests and the attempts of each: plain records without decisions.

use crate::host::Id;
use crate::state::server_set::{Server, Slot};
use std::time::Duration;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt was sent and has no outcome yet.
    InFlight,
    /// The attempt ended, and its server may have run the request.
    MayHaveRun,
    /// The attempt ended, and its server did not run the request.
    NeverRan,
}

/// An attempt to have a request answered by a server.
#[derive(Debug)]
pub struct Attempt {
    /// Id of the server. It remains valid after the slot is released.
    pub server: Id,
    /// Slot of the server while the attempt is in flight.
    pub slot: Slot,
    /// Number of the server's zone.
    pub zone: u32,
    /// Number of the server's cell within its zone.
    pub cell: u32,
    /// Time at which the attempt was sent, or at which the body was complete if that was later.
    pub sent_at: Duration,
    /// State of the attempt.
    pub state: AttemptState,
    /// Whether the attempt was in flight for far longer than usual and was counted as a failure.
    pub overdue: bool,
    /// Time for which the connection to the server had been idle.
    pub connection_idle: Duration,
    /// Number of requests that the server was known to hold at the start, if servers are checked before selection.
    pub queued_ahead: Option<f64>,
}

impl Attempt {
    /// An attempt that is sent at `sent_at`.
    pub fn new(
        server: &Server,
        slot: Slot,
        sent_at: Duration,
        connection_idle: Duration,
        queued_ahead: Option<f64>,
    ) -> Attempt {
        Attempt {
            server: server.id.clone(),
            slot,
            zone: server.zone,
            cell: server.cell,
            sent_at,
            state: AttemptState::InFlight,
            overdue: false,
            connection_idle,
            queued_ahead,
        }
    }
}

/// An attempt whose time starts because the body is complete.
#[derive(Debug)]
pub struct StartedAttempt {
    /// Number of the request's class.
    pub class: usize,
    /// Slot of the attempt's server.
    pub slot: Slot,
    /// Number of the attempt within its request.
    pub number: u32,
}

/// A request without a final response, or with attempts in flight.
#[derive(Debug, Default)]
pub struct Request {
    /// Number of the request's class in the settings.
    pub class: usize,
    /// Time after which an answer earns nothing.
    pub useful_until: Duration,
    /// Declared work as a multiple of the class's mean.
    pub relative_cost: f64,
    /// Servers from which one is selected; if empty, the whole window is used.
    pub candidates: Vec<Slot>,
    /// Candidates whose health checks are in flight.
    pub pending_checks: Vec<Slot>,
    /// Time until which the request waits for these checks.
    pub checks_deadline: Duration,
    /// Number of rounds of checks for the next attempt.
    pub check_rounds: u32,
    /// The attempts of the request, ordered by their numbers.
    pub attempts: Vec<Attempt>,
    /// Whether the request has its final response. Its record is kept while attempts are in flight.
    pub finished: bool,
    /// Whether the answer is being passed on to the client.
    pub streaming: bool,
    /// Whether a part of the body is still to arrive.
    pub body_pending: bool,
    /// Whether the body was incomplete on arrival. Its parts are passed on as they arrive, and each can be sent once, so
    /// no two attempts may be in flight.
    pub body_streamed: bool,
    /// Whether the part of the body that was sent cannot be sent again.
    pub not_replayable: bool,
    /// Whether the request is beyond its tenant's quota.
    pub over_quota: bool,
}

impl Request {
    /// Number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Whether an attempt was sent to this server.
    pub fn was_sent_to(&self, server: &Id) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == *server)
    }

    /// Whether any server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Records that the body is complete, and computes `useful_until` from the class. Returns the attempt whose time
    /// starts now.
    pub fn body_completed(
        &mut self,
        now: Duration,
        useful_until: impl Fn(usize) -> Duration,
    ) -> Option<StartedAttempt> {
        if !std::mem::take(&mut self.body_pending) {
            return None;
        }
        self.useful_until = useful_until(self.class);
        let mut numbered = (0..).zip(&mut self.attempts);
        let (number, attempt) = numbered.find(|(_, attempt)| attempt.state == AttemptState::InFlight)?;
        attempt.sent_at = now;
        Some(StartedAttempt { class: self.class, slot: attempt.slot, number })
    }
}
