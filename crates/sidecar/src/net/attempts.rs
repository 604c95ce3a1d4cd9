//! The guard that every attempt passes right before its first byte. It keeps, for one request, the state of each attempt, and
//! says whether another may start. The decisions choose when and where to send; a connection may come up much later, and
//! here the rules on sending and retrying are checked again.

use crate::invariants::must_hold;
use landingspread_decisions::host::Outcome;
use landingspread_decisions::settings::RetrySafety;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Where a server is, for the groups of servers that deduplicate retries together.
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
    at: Instant,
    location: Location,
    state: AttemptState,
}

/// Why an attempt may not start. None of these is a violation of a rule: the connection came up too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// The request has its final response, or its client has left.
    RequestOver,
    /// The servers may no longer deduplicate the retry.
    DedupWindowElapsed,
}

/// What the settings say about a request's further attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryRule {
    pub safety: RetrySafety,
    /// For how long retries with the same idempotency key are deduplicated, from the first byte of each attempt that may have
    /// run.
    pub dedup_window: Duration,
    /// Two attempts may be in flight at once.
    pub hedging: bool,
}

/// The guard of one request.
pub struct AttemptGuard {
    rule: RetryRule,
    over: Cell<bool>,
    /// Attempts whose first byte was sent, by number, without those that are known never to have run.
    started: RefCell<BTreeMap<u32, StartedAttempt>>,
}

impl AttemptGuard {
    /// A guard that has seen no attempt.
    pub fn new(rule: RetryRule) -> AttemptGuard {
        AttemptGuard { rule, over: Cell::new(false), started: RefCell::default() }
    }

    /// The request has its final response, or nobody waits for it any more.
    pub fn request_over(&self) {
        self.over.set(true);
    }

    /// Whether this attempt's first byte may be sent now; it counts as sent then. `request` is for the log.
    pub fn begin(&self, request: &str, attempt: u32, to: Location) -> Result<(), AttemptDenied> {
        if self.over.get() {
            return Err(AttemptDenied::RequestOver);
        }
        let now = Instant::now();
        let mut started = self.started.borrow_mut();
        if let RetrySafety::IdempotencyKeyed(group) = self.rule.safety {
            let in_window =
                |earlier: &StartedAttempt| now.saturating_duration_since(earlier.at) < self.rule.dedup_window;
            if !started.values().all(in_window) {
                return Err(AttemptDenied::DedupWindowElapsed);
            }
            let place = |location: Location| (location.zone, location.cell);
            let within = started.values().all(|earlier| group.covers(place(earlier.location), place(to)));
            must_hold!(
                Retrying,
                within,
                "attempt {attempt} of {request} outside the group that deduplicates retries"
            );
            if !within {
                return Err(AttemptDenied::RequestOver);
            }
        }
        let in_flight = started.values().any(|earlier| earlier.state == AttemptState::InFlight);
        let alone = self.rule.hedging || !in_flight;
        must_hold!(Retrying, alone, "attempt {attempt} of {request} beside another in flight");
        let unsafe_retry = self.rule.safety == RetrySafety::NonIdempotent && !started.is_empty();
        must_hold!(Retrying, !unsafe_retry, "attempt {attempt} of {request} after one that may have run");
        if !alone || unsafe_retry {
            return Err(AttemptDenied::RequestOver);
        }
        started.insert(attempt, StartedAttempt { at: now, location: to, state: AttemptState::InFlight });
        Ok(())
    }

    /// An attempt has ended, by a response, a failure or because it was cancelled.
    pub fn ended(&self, attempt: u32, outcome: Outcome) {
        let mut started = self.started.borrow_mut();
        if outcome.never_ran() {
            started.remove(&attempt);
        } else if let Some(attempt) = started.get_mut(&attempt) {
            attempt.state = AttemptState::MayHaveRun;
        }
    }
}
