//! Checks the rules on sending and retrying right before each attempt's first byte.
//!
//! The decision engine chooses when and where to send, but the connection may be established much later. The guard
//! records the state of a request's attempts, and checks again at that time whether another may start.

use crate::invariants::must_hold;
use landingspread_decisions::host::Outcome;
use landingspread_decisions::settings::RetrySafety;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The location of a server, which determines the group of servers that deduplicate retries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub zone: u32,
    pub cell: u32,
}

/// The state of an attempt whose first byte was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    MayHaveRun,
}

struct StartedAttempt {
    started_at: Instant,
    location: Location,
    state: AttemptState,
}

/// Why an attempt may not start. Usually the connection was established too late; an attempt that would violate a retry
/// rule is reported as a violated invariant and denied as `RequestClosed`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// The request has its final response, its client has left, or the attempt would violate a retry rule.
    RequestClosed,
    /// The deduplication window of an earlier attempt has elapsed, so the servers may execute the retry again.
    DedupWindowElapsed,
}

/// The settings that govern retries of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryRule {
    pub safety: RetrySafety,
    /// How long the servers deduplicate retries with the same idempotency key, from the first byte of each attempt that
    /// may have run.
    pub dedup_window: Duration,
    /// Whether an attempt may start while another is in flight.
    pub hedging: bool,
}

/// Records the attempts of one request and checks whether another may start.
pub struct AttemptGuard {
    rule: RetryRule,
    closed: Cell<bool>,
    /// The attempts whose first byte was sent, by attempt number. Attempts that are known never to have run are
    /// removed.
    started: RefCell<BTreeMap<u32, StartedAttempt>>,
}

impl AttemptGuard {
    /// Creates the guard of a request without attempts.
    pub fn new(rule: RetryRule) -> AttemptGuard {
        AttemptGuard { rule, closed: Cell::new(false), started: RefCell::default() }
    }

    /// Denies all further attempts, as the request has its final response or its client has left.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Checks whether an attempt's first byte may be sent now, and if so records the attempt as in flight. `request` is
    /// the id for log lines.
    pub fn begin(&self, request: &str, attempt: u32, location: Location) -> Result<(), AttemptDenied> {
        if self.closed.get() {
            return Err(AttemptDenied::RequestClosed);
        }
        let now = Instant::now();
        let mut started = self.started.borrow_mut();
        if let RetrySafety::IdempotencyKeyed(group) = self.rule.safety {
            let in_window = |earlier: &StartedAttempt| {
                now.saturating_duration_since(earlier.started_at) < self.rule.dedup_window
            };
            if !started.values().all(in_window) {
                return Err(AttemptDenied::DedupWindowElapsed);
            }
            let zone_and_cell = |location: Location| (location.zone, location.cell);
            let in_group = started
                .values()
                .all(|earlier| group.covers(zone_and_cell(earlier.location), zone_and_cell(location)));
            must_hold!(
                Retrying,
                in_group,
                "attempt {attempt} of {request} outside the group that deduplicates retries"
            );
            if !in_group {
                return Err(AttemptDenied::RequestClosed);
            }
        }
        let in_flight = started.values().any(|earlier| earlier.state == AttemptState::InFlight);
        let overlap_allowed = self.rule.hedging || !in_flight;
        must_hold!(Retrying, overlap_allowed, "attempt {attempt} of {request} while another is in flight");
        let unsafe_retry = self.rule.safety == RetrySafety::NonIdempotent && !started.is_empty();
        must_hold!(
            Retrying,
            !unsafe_retry,
            "attempt {attempt} of {request} after an attempt that may have run"
        );
        if !overlap_allowed || unsafe_retry {
            return Err(AttemptDenied::RequestClosed);
        }
        started.insert(attempt, StartedAttempt { started_at: now, location, state: AttemptState::InFlight });
        Ok(())
    }

    /// Records the end of an attempt by a response, a failure or a cancellation.
    pub fn record_end(&self, attempt: u32, outcome: Outcome) {
        let mut started = self.started.borrow_mut();
        if outcome.never_ran() {
            started.remove(&attempt);
        } else if let Some(attempt) = started.get_mut(&attempt) {
            attempt.state = AttemptState::MayHaveRun;
        }
    }
}
