//! The invariants of this process, checked at run time where they could be violated. A violation is counted and logged as
//! an error; debug builds also panic, so that no test misses one. `counters` reports the counts with all other counters.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must always hold while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Each request has exactly one final response.
    OneFinalResponse,
    /// An attempt starts only for an open request, and only at a server that accepts new requests.
    Sending,
    /// A retry starts only if every earlier attempt allows it, and only if no other attempt is in flight or hedging is on.
    Retrying,
    /// A client's connection is closed only after every request read from it has its response.
    Closing,
    /// An attempt at a server in slow start uses one of the server's slow-start credits.
    SlowStart,
    /// The states of the process's components are consistent with each other.
    Internal,
}

impl Invariant {
    /// All invariants, in the order of their counters.
    pub const ALL: [Invariant; 6] = [
        Invariant::OneFinalResponse,
        Invariant::Sending,
        Invariant::Retrying,
        Invariant::Closing,
        Invariant::SlowStart,
        Invariant::Internal,
    ];

    /// The name of the invariant, as a counter label and as a log field.
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

/// The number of violations of an invariant since the process started.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}

/// Counts and logs a violation, and panics in debug builds. `details` names the request, attempt or connection.
pub fn violated(invariant: Invariant, details: fmt::Arguments<'_>) {
    let count = VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed) + 1;
    tracing::error!(invariant = invariant.name(), count, "invariant violated: {details}");
    debug_assert!(false, "invariant violated: {}: {details}", invariant.name());
}

/// Reports a violation of the invariant if the condition is false. The remaining arguments format the details.
macro_rules! must_hold {
    ($invariant:ident, $holds:expr, $($text:tt)+) => {
        if !$holds {
            $crate::invariants::violated($crate::invariants::Invariant::$invariant, format_args!($($text)+));
        }
    };
}
pub(crate) use must_hold;
