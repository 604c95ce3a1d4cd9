//! Distinguishes system calls that fail because of this process or machine from failures of a server or the network,
//! and logs repeated failures at most once a second.

use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};

/// The minimum time between two log lines of one `FailureLog`.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why an accept, a bind or a dial failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No descriptor is left in this process or in the whole system; closing one helps.
    Descriptors,
    /// This machine lacks buffers, memory, ports or permissions; the failure may pass.
    LocalResources,
    /// A signal interrupted the call, or the connection ended before it was accepted; the next call may succeed.
    Transient,
    /// The other side or the network path failed.
    Remote,
}

/// Classifies an error of a system call.
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
    /// Records that `operation` failed with this error.
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
