//! Counters of this process: requests, outcomes of attempts, reasons of retries, refusals and closed connections, and
//! violations of invariants. Counters only increase, and any thread may increment them. The console reports them at
//! `GET /counters`, and the log when the process ends.

use crate::invariants::{self, Invariant};
use landingspread_decisions::host::Outcome;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset the connection.
    ClientDisconnected,
    /// The client requested the close, by `Connection: close` or by HTTP/1.0.
    ClientRequested,
    /// The connection was idle for too long, or was closed to free a socket for another one.
    Idle,
    /// The bytes received are not a valid request, or the request was not received completely.
    BadRequest,
    /// No socket or buffer is free, or the read-ahead of the connection overflowed.
    ResourcesExhausted,
    /// The process shuts down, or hands over to its successor.
    Shutdown,
    /// A forwarded response ended early, or could not be written to the client.
    ResponseBroken,
}

impl CloseReason {
    const ALL: [CloseReason; 7] = [
        CloseReason::ClientDisconnected,
        CloseReason::ClientRequested,
        CloseReason::Idle,
        CloseReason::BadRequest,
        CloseReason::ResourcesExhausted,
        CloseReason::Shutdown,
        CloseReason::ResponseBroken,
    ];

    /// The value of the counter's `reason` label.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "client_left",
            CloseReason::ClientRequested => "client_asked",
            CloseReason::Idle => "idle",
            CloseReason::BadRequest => "bad_request",
            CloseReason::ResourcesExhausted => "crowded",
            CloseReason::Shutdown => "shutdown",
            CloseReason::ResponseBroken => "answer_broken",
        }
    }
}

/// Why a request was rejected or failed without a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request is invalid, or this sidecar does not serve it.
    BadRequest,
    /// Too many requests are open, or no socket is free.
    ResourcesExhausted,
    /// No buffer is free.
    NoBuffer,
    /// The process shuts down.
    Shutdown,
    /// The decision engine shed the request before any attempt.
    Shed,
    /// No server executed an attempt, and no further attempt is possible.
    NeverRan,
    /// A server may have executed an attempt, and the client may safely retry.
    MayBeRetried,
    /// A server may have executed an attempt, and the result is unknown.
    ResultUnknown,
    /// Another request with the same id is open.
    DuplicateId,
}

impl RefusalReason {
    const ALL: [RefusalReason; 9] = [
        RefusalReason::BadRequest,
        RefusalReason::ResourcesExhausted,
        RefusalReason::NoBuffer,
        RefusalReason::Shutdown,
        RefusalReason::Shed,
        RefusalReason::NeverRan,
        RefusalReason::MayBeRetried,
        RefusalReason::ResultUnknown,
        RefusalReason::DuplicateId,
    ];

    /// The value of the counter's `reason` label.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::BadRequest => "bad_request",
            RefusalReason::ResourcesExhausted => "crowded",
            RefusalReason::NoBuffer => "no_buffer",
            RefusalReason::Shutdown => "shutdown",
            RefusalReason::Shed => "shed",
            RefusalReason::NeverRan => "never_ran",
            RefusalReason::MayBeRetried => "repeatable",
            RefusalReason::ResultUnknown => "unknown",
            RefusalReason::DuplicateId => "same_id",
        }
    }
}

/// All outcomes, in the order of their counters.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// The label value of an outcome.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Overloaded => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "never_sent",
    }
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);
static CLOSES: [AtomicU64; CloseReason::ALL.len()] = [const { AtomicU64::new(0) }; CloseReason::ALL.len()];
static REFUSALS: [AtomicU64; RefusalReason::ALL.len()] =
    [const { AtomicU64::new(0) }; RefusalReason::ALL.len()];
static ATTEMPTS: [AtomicU64; OUTCOMES.len()] = [const { AtomicU64::new(0) }; OUTCOMES.len()];
static RETRIES: [AtomicU64; OUTCOMES.len()] = [const { AtomicU64::new(0) }; OUTCOMES.len()];

fn outcome_index(outcome: Outcome) -> usize {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0)
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Counts a request that the client side accepted.
pub fn request_accepted() {
    increment(&REQUESTS);
}

/// Counts and logs the close of a client's connection.
pub fn connection_closed(reason: CloseReason) {
    tracing::debug!(reason = reason.name(), "client connection closed");
    increment(&CLOSES[reason as usize]);
}

/// Counts and logs a request whose final response is a rejection or a failure.
pub fn request_refused(request: &str, reason: RefusalReason) {
    tracing::debug!(request, reason = reason.name(), "request rejected or failed");
    increment(&REFUSALS[reason as usize]);
}

/// Counts the outcome of an attempt that ended.
pub fn attempt_ended(outcome: Outcome) {
    increment(&ATTEMPTS[outcome_index(outcome)]);
}

/// Counts and logs a retry, made after an attempt with the outcome `after`.
pub fn request_retried(request: &str, attempt: u32, after: Outcome) {
    tracing::debug!(request, attempt, after = outcome_name(after), "retry");
    increment(&RETRIES[outcome_index(after)]);
}

/// Formats all counters in the Prometheus text format, one line each: `name{label="value"} count`.
pub fn text() -> String {
    let mut lines = String::new();
    let mut line = |name: &str, label: &str, value: &str, count: u64| {
        // Writing to a String cannot fail.
        let _ = writeln!(lines, "landingspread_{name}_total{{{label}=\"{value}\"}} {count}");
    };
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    line("requests", "state", "taken", read(&REQUESTS));
    for (outcome, (attempts, retries)) in OUTCOMES.into_iter().zip(ATTEMPTS.iter().zip(&RETRIES)) {
        line("attempts", "outcome", outcome_name(outcome), read(attempts));
        line("retries", "after", outcome_name(outcome), read(retries));
    }
    for (reason, count) in RefusalReason::ALL.into_iter().zip(&REFUSALS) {
        line("refusals", "reason", reason.name(), read(count));
    }
    for (reason, count) in CloseReason::ALL.into_iter().zip(&CLOSES) {
        line("client_connections_closed", "reason", reason.name(), read(count));
    }
    for invariant in Invariant::ALL {
        line("invariant_violations", "invariant", invariant.name(), invariants::violations(invariant));
    }
    lines
}

/// Logs all counters that are not zero, in one line.
pub fn log_nonzero() {
    let all = text();
    let nonzero = all.lines().filter(|line| !line.ends_with(" 0"));
    let nonzero = nonzero.map(|line| line.trim_start_matches("landingspread_")).collect::<Vec<_>>().join(" ");
    tracing::info!("counters: {nonzero}");
}
