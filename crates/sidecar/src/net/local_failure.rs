//! System calls that fail because of this process or machine, told apart from what a server or a path did; and a log of
//! repeated failures that is limited to one line a second.

use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};

/// The shortest time between two log lines of the same failure.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why an accept, a bind or a dial failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No descriptor is left, in this process or the whole system: closing one helps.
    Descriptors,
    /// Buffers, memory, ports or permissions of this machine: it may pass.
    LocalResources,
    /// A signal came, or the one connection ended before it was taken: the next call may succeed.
    Transient,
    /// The other side, or the path to it.
    Remote,
}

/// The cause of an error of a system call.
pub fn failure_cause(error: &io::Error) -> FailureCause {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE) => FailureCause::Descriptors,
        Some(Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL | Errno::ACCESS | Errno::PERM) => {
            FailureCause::LocalResources
        }
        Some(Errno::INTR | Errno::CONNABORTED | Errno::AGAIN) => FailureCause::Transient,
        _ => FailureCause::Remote,
    }
}

/// Counts a repeated failure, and logs it at most once per `LOG_INTERVAL`.
#[derive(Default)]
pub struct FailureLog {
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl FailureLog {
    /// `operation` failed with this error.
    pub fn record(&self, operation: &str, error: &io::Error) {
        self.unlogged.set(self.unlogged.get() + 1);
        if self.logged_at.get().is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged_at.set(Some(Instant::now()));
            tracing::warn!(times = self.unlogged.replace(0), "{operation} failed: {error}");
        }
    }
}

#[cfg(test)]
#[path = "local_failure_tests.rs"]
mod tests;
