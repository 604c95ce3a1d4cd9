//! What must hold: asserted in debug builds, counted and logged in release builds.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// What must hold: asserted in debug builds, counted and logged in release builds.
macro_rules! must_hold {
    ($holds:expr, $($text:tt)+) => {
        if !$holds {
            $crate::holds::broken(format_args!($($text)+));
        }
    };
}
pub(crate) use must_hold;

pub fn broken(what: fmt::Arguments<'_>) {
    debug_assert!(false, "{what}");
    let count = BROKEN.fetch_add(1, Ordering::Relaxed) + 1;
    tracing::error!(count, "does not hold: {what}");
}
