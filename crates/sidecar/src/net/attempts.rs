//! The one guard that every attempt passes right before its first byte. It keeps, for one request, what each of its attempts
//! came to, and says whether another may begin. The decisions choose when and where to send; a connection may come up
//! much later, and this is where the rules on sending and repeating are looked at again.

use crate::invariants::must_hold;
use landingspread_decisions::host::Outcome;
use landingspread_decisions::settings::RetrySafety;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Where a server stands, for the groups that drop repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub zone: u32,
    pub cell: u32,
}

/// What is known of an attempt whose first byte has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    MayHaveRun,
}

struct StartedAttempt {
    at: Instant,
    location: Location,
    fate: AttemptState,
}

/// Why an attempt does not begin. None of these is a violation: the connection came up too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// The request has its final answer, or its client has gone.
    RequestOver,
    /// Repeats may no longer be dropped by then.
    WindowElapsed,
}

/// What the settings say of a request's further attempts.
#[derive(Clone, Copy, Debug)]
pub struct RepeatRule {
    pub repeats: RetrySafety,
    /// How long repeats of a deduplicated request are dropped, from the first byte of each attempt that may have run.
    pub window: Duration,
    /// Two attempts may be out at once.
    pub parallel: bool,
}

/// The guard of one request.
pub struct AttemptGuard {
    rule: RepeatRule,
    over: Cell<bool>,
    /// Attempts whose first byte has gone, by number, but those that are known never to have run.
    begun: RefCell<BTreeMap<u32, StartedAttempt>>,
}

impl AttemptGuard {
    pub fn new(rule: RepeatRule) -> AttemptGuard {
        AttemptGuard { rule, over: Cell::new(false), begun: RefCell::default() }
    }

    /// The request has its final answer, or nobody waits for it any more.
    pub fn request_over(&self) {
        self.over.set(true);
    }

    /// Whether this attempt's first byte may go out now; it counts as gone then. `request` is for the log.
    pub fn begin(&self, request: &str, attempt: u32, to: Location) -> Result<(), AttemptDenied> {
        if self.over.get() {
            return Err(AttemptDenied::RequestOver);
        }
        let now = Instant::now();
        let mut begun = self.begun.borrow_mut();
        if let RetrySafety::IdempotencyKeyed(group) = self.rule.repeats {
            let open =
                |earlier: &StartedAttempt| now.saturating_duration_since(earlier.at) < self.rule.window;
            if !begun.values().all(open) {
                return Err(AttemptDenied::WindowElapsed);
            }
            let place = |location: Location| (location.zone, location.cell);
            let within = begun.values().all(|earlier| group.covers(place(earlier.location), place(to)));
            must_hold!(
                Repeating,
                within,
                "attempt {attempt} of {request} outside the group that drops repeats"
            );
            if !within {
                return Err(AttemptDenied::RequestOver);
            }
        }
        let alone =
            self.rule.parallel || begun.values().all(|earlier| earlier.fate != AttemptState::InFlight);
        must_hold!(Repeating, alone, "attempt {attempt} of {request} beside another that is out");
        let unsafe_again = self.rule.repeats == RetrySafety::NonIdempotent && !begun.is_empty();
        must_hold!(Repeating, !unsafe_again, "attempt {attempt} of {request} after one that may have run");
        if !alone || unsafe_again {
            return Err(AttemptDenied::RequestOver);
        }
        begun.insert(attempt, StartedAttempt { at: now, location: to, fate: AttemptState::InFlight });
        Ok(())
    }

    /// An attempt has ended, by an answer, a failure or because it was called off.
    pub fn ended(&self, attempt: u32, outcome: Outcome) {
        let mut begun = self.begun.borrow_mut();
        if outcome.never_ran() {
            begun.remove(&attempt);
        } else if let Some(one) = begun.get_mut(&attempt) {
            one.fate = AttemptState::MayHaveRun;
        }
    }
}
