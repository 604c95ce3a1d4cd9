//! What this process has done and why, as counters: reasons for every close, retry and refusal, outcomes of attempts, and
//! violations of invariants. They only grow; any thread may add to them. The console tells them at `GET /counters`, and
//! the log when the process ends.

use crate::invariants::{self, Invariant};
use landingspread_decisions::host::Outcome;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset it.
    ClientDisconnected,
    /// The client asked for it, by `Connection: close` or by HTTP/1.0.
    ClientRequested,
    /// It was idle for too long, or was closed to make room for another.
    Idle,
    /// What arrived is not a valid request, or it stopped before its end.
    BadRequest,
    /// No socket or no buffer is left.
    ResourcesExhausted,
    /// The process shuts down, or hands over to another.
    Shutdown,
    /// A response that was being passed on broke off, or could not be written.
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

    /// Its name as a label.
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
    /// It is not a request that this sidecar serves.
    BadRequest,
    /// Too many requests are open, or no socket is left.
    ResourcesExhausted,
    /// No buffer is free.
    NoBuffer,
    /// The process shuts down.
    Shutdown,
    /// The decisions shed it before any attempt.
    Shed,
    /// No attempt ran, and none that could is left.
    NeverRan,
    /// An attempt may have run, and the client may retry without harm.
    MayBeRetried,
    /// An attempt may have run, and its result is unknown.
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

    /// Its name as a label.
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

/// Outcomes in the order in which they are counted.
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

/// An outcome's name as a label.
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

fn index(outcome: Outcome) -> usize {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0)
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// A request was handed to the decisions.
pub fn request_accepted() {
    increment(&REQUESTS);
}

/// A client's connection was closed.
pub fn connection_closed(why: CloseReason) {
    tracing::debug!(reason = why.name(), "client connection closed");
    increment(&CLOSES[why as usize]);
}

/// A request had a rejection or a failure as its final response.
pub fn request_refused(request: &str, why: RefusalReason) {
    tracing::debug!(request, reason = why.name(), "request rejected or failed");
    increment(&REFUSALS[why as usize]);
}

/// An attempt ended.
pub fn attempt_ended(outcome: Outcome) {
    increment(&ATTEMPTS[index(outcome)]);
}

/// A further attempt was made, after one that ended so.
pub fn request_retried(request: &str, attempt: u32, after: Outcome) {
    tracing::debug!(request, attempt, after = outcome_name(after), "retry");
    increment(&RETRIES[index(after)]);
}

/// All counters as lines of text, in the form that metric collectors read: `name{label="value"} count`.
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

/// Logs every counter that is not zero, in one line.
pub fn log_nonzero() {
    let all = text();
    let nonzero = all.lines().filter(|line| !line.ends_with(" 0"));
    let nonzero = nonzero.map(|line| line.trim_start_matches("landingspread_")).collect::<Vec<_>>().join(" ");
    tracing::info!("counters: {nonzero}");
}
