//! The requests that are open and the attempts of each: plain records, no decisions.

use crate::host::Id;
use crate::state::server_set::{Server, Slot};
use std::time::Duration;

/// How an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, and no outcome yet.
    InFlight,
    /// Over; its server may have run the request.
    MayHaveRun,
    /// Over; its server certainly did not run the request.
    NeverRan,
}

/// One sending of a request to a server.
#[derive(Debug)]
pub struct Attempt {
    /// The server's id, which outlives the slot.
    pub server: Id,
    /// The server's slot while the attempt is in flight.
    pub slot: Slot,
    /// The server's zone.
    pub zone: u32,
    /// The server's cell within its zone.
    pub cell: u32,
    /// When it was sent; for a body that was still arriving, when its last byte had come.
    pub sent_at: Duration,
    /// How it stands.
    pub state: AttemptState,
    /// It has been in flight far longer than usual, and was counted as a failure.
    pub overdue: bool,
    /// For how long this replica had been silent towards the server.
    pub connection_idle: Duration,
    /// How many requests the server was known to hold when this one was sent, where that counts.
    pub queued_ahead: Option<f64>,
}

impl Attempt {
    /// An attempt that is sent now.
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

/// An attempt whose body is complete only now, so that its time begins.
#[derive(Debug)]
pub struct StartedAttempt {
    /// The request's class.
    pub class: usize,
    /// Where the attempt is in flight.
    pub slot: Slot,
    /// The attempt's number within its request.
    pub number: u32,
}

/// An open request.
#[derive(Debug, Default)]
pub struct Request {
    /// The number of its class in the settings.
    pub class: usize,
    /// An answer after this time earns nothing.
    pub useful_until: Duration,
    /// Its stated work as a multiple of the usual of its class.
    pub relative_cost: f64,
    /// The servers that the draw is limited to; all of the window while empty.
    pub candidates: Vec<Slot>,
    /// The candidates whose health checks are not answered yet.
    pub pending_checks: Vec<Slot>,
    /// Until when the request waits for these checks.
    pub checks_until: Duration,
    /// How many rounds of checks were made for the next attempt.
    pub check_rounds: u32,
    /// All attempts so far, by number.
    pub attempts: Vec<Attempt>,
    /// It has its final answer; it is kept while attempts are in flight.
    pub finished: bool,
    /// Its answer is being passed on.
    pub streaming: bool,
    /// A part of its body is still to come.
    pub body_pending: bool,
    /// What was sent of it cannot be sent again.
    pub not_replayable: bool,
    /// It is beyond its tenant's quota.
    pub over_quota: bool,
}

impl Request {
    /// How many attempts are in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Whether an attempt was sent to this server already.
    pub fn was_sent_to(&self, server: &Id) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == *server)
    }

    /// Whether any server may have run it.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Its last byte has come; `useful_until` follows from its class. Returns the attempt whose time begins with that.
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
