//! What clients, servers and processes of a run saw, with the time of each, in one place. Times are spans since the run
//! began, of one clock.

use super::plan::Fault;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a request may do when it runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Answered {
        status: u16,
        /// Whether the body was made for this request; true for what is no 200.
        own_body: bool,
    },
    /// The connection was closed or reset with no whole answer; whether the answer had begun.
    ConnectionEnded { answer_begun: bool },
    /// The client closed the connection itself.
    Left,
    /// Nothing came for long past its time.
    NoAnswer,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub request: String,
    pub effect: Effect,
    pub sidecar: usize,
    /// When its connection was made, and whether it had carried a request before this one.
    pub connected: Duration,
    pub kept: bool,
    /// When its last byte was written.
    pub written: Duration,
    pub limit: Duration,
    pub end: End,
    pub ended: Duration,
}

/// A client that stopped in the middle of a request or sent none.
#[derive(Clone, Debug)]
pub struct Stalled {
    pub sidecar: usize,
    pub since: Duration,
    /// When it had an error or a close.
    pub told: Option<Duration>,
}

/// One attempt as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: String,
    /// The server's id by the list, its zone and cell.
    pub server: String,
    pub zone: usize,
    pub cell: u32,
    /// When its first byte was there.
    pub began: Duration,
    /// What the server was told to have left.
    pub told_ms: Option<u64>,
    /// When the server's answer was out, or the connection's end was seen.
    pub ended: Option<Duration>,
    pub ran: bool,
}

/// What was done to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Term,
    Kill,
    Stop,
    Cont,
    Ended,
    Ready,
    Crowd,
    CrowdLeft,
}

/// What was done to one server's entry in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    Draining,
    Started,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub asked: Vec<Asked>,
    pub attempts: Vec<Attempt>,
    pub stalled: Vec<Stalled>,
    pub signals: Vec<(Duration, usize, Signal)>,
    pub list: Vec<(Duration, String, ListChange)>,
    pub troubles: Vec<(Duration, Fault)>,
}

/// The records of a run under way; any thread adds to them.
pub struct Records {
    began: Instant,
    seen: Mutex<Seen>,
}

impl Records {
    pub fn new() -> Records {
        Records { began: Instant::now(), seen: Mutex::default() }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        // A thread that panicked has left whole entries behind.
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn asked(&self, asked: Asked) {
        self.seen().asked.push(asked);
    }

    pub fn stalled(&self, stalled: Stalled) {
        self.seen().stalled.push(stalled);
    }

    /// The attempt's number, by which its end is told.
    pub fn attempt_began(&self, attempt: Attempt) -> usize {
        let mut seen = self.seen();
        seen.attempts.push(attempt);
        seen.attempts.len() - 1
    }

    pub fn attempt_ended(&self, number: usize, ran: bool) {
        let now = self.now();
        if let Some(attempt) = self.seen().attempts.get_mut(number) {
            attempt.ended = Some(now);
            attempt.ran = ran;
        }
    }

    pub fn signalled(&self, sidecar: usize, signal: Signal) {
        let now = self.now();
        self.seen().signals.push((now, sidecar, signal));
    }

    pub fn list_changed(&self, server: &str, change: ListChange) {
        let now = self.now();
        self.seen().list.push((now, server.to_string(), change));
    }

    pub fn trouble_began(&self, trouble: &Fault) {
        let now = self.now();
        self.seen().troubles.push((now, trouble.clone()));
    }

    /// All that was seen.
    pub fn close(&self) -> Seen {
        self.seen().clone()
    }
}
