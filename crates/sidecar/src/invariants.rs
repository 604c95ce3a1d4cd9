//! The invariants of this process, checked at run time at the places where they could be violated. A violation is counted
//! and logged as an error with the request's id; debug builds panic, so that no test misses one. `counters` reports the
//! counts with all other counters.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A rule that is checked while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Each request has exactly one final response.
    OneFinalResponse,
    /// An attempt begins only for a request that is open, and only at a server that takes new requests.
    Sending,
    /// A retry starts only where every earlier attempt allows it, and never beside another in flight, unless hedging is on.
    Retrying,
    /// A client's connection is closed only once every request that was read from it has its response.
    Closing,
    /// A server in slow start gets an attempt only against a credit.
    SlowStart,
    /// The parts of the process agree with each other.
    Internal,
}

impl Invariant {
    /// All of them, in the order in which they are counted.
    pub const ALL: [Invariant; 6] = [
        Invariant::OneFinalResponse,
        Invariant::Sending,
        Invariant::Retrying,
        Invariant::Closing,
        Invariant::SlowStart,
        Invariant::Internal,
    ];

    /// Its name as a label of a counter and as a field of a log line.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneFinalResponse => "one_answer",
            Invariant::Sending => "sending",
            Invariant::Retrying => "repeating",
            Invariant::Closing => "closing",
            Invariant::SlowStart => "slow_start",
            Invariant::Internal => "internal",
        }
    }
}

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// How often this rule was broken since the process began.
pub fn violations(of: Invariant) -> u64 {
    VIOLATIONS[of as usize].load(Ordering::Relaxed)
}

/// Counts and logs a violation; `what` names the request, the attempt or the connection.
pub fn violated(invariant: Invariant, what: fmt::Arguments<'_>) {
    let count = VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed) + 1;
    tracing::error!(invariant = invariant.name(), count, "invariant violated: {what}");
    debug_assert!(false, "invariant violated: {}: {what}", invariant.name());
}

/// Counts a violation of this rule where the condition does not hold.
macro_rules! must_hold {
    ($invariant:ident, $holds:expr, $($text:tt)+) => {
        if !$holds {
            $crate::invariants::violated($crate::invariants::Invariant::$invariant, format_args!($($text)+));
        }
    };
}
pub(crate) use must_hold;
