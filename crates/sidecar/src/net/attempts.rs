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
    started_at: Instant,
    location: Location,
    state: AttemptState,
}

/// Why an attempt may not start. None of these is a violation of a rule: the connection came up too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// The request has its final response, or its client has left.
    RequestClosed,
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
    closed: Cell<bool>,
    /// Attempts whose first byte was sent, by number, without those that are known never to have run.
    started: RefCell<BTreeMap<u32, StartedAttempt>>,
}

impl AttemptGuard {
    /// A guard that has seen no attempt.
    pub fn new(rule: RetryRule) -> AttemptGuard {
        AttemptGuard { rule, closed: Cell::new(false), started: RefCell::default() }
    }

    /// The request has its final response, or nobody waits for it any more.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Whether this attempt's first byte may be sent now; it counts as sent then. `request` is for the log.
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
        must_hold!(Retrying, overlap_allowed, "attempt {attempt} of {request} beside another in flight");
        let unsafe_retry = self.rule.safety == RetrySafety::NonIdempotent && !started.is_empty();
        must_hold!(Retrying, !unsafe_retry, "attempt {attempt} of {request} after one that may have run");
        if !overlap_allowed || unsafe_retry {
            return Err(AttemptDenied::RequestClosed);
        }
        started.insert(attempt, StartedAttempt { started_at: now, location, state: AttemptState::InFlight });
        Ok(())
    }

    /// An attempt has ended, by a response, a failure or because it was cancelled.
    pub fn record_end(&self, attempt: u32, outcome: Outcome) {
        let mut started = self.started.borrow_mut();
        if outcome.never_ran() {
            started.remove(&attempt);
        } else if let Some(attempt) = started.get_mut(&attempt) {
            attempt.state = AttemptState::MayHaveRun;
        }
    }
}
