//! System calls that fail because of this process or machine, told apart from what a server or a path did; and how often a
//! failure that repeats is logged.

use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};

/// A failure that repeats is logged so often.
const LOG_EACH: Duration = Duration::from_secs(1);

/// What a failed accept or dial says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No descriptor is left, here or in the whole system: closing one helps.
    Descriptors,
    /// Buffers, memory, ports or rights of this machine: it may pass.
    LocalResources,
    /// A signal came, or the one connection ended before it was taken: the next call may do.
    Transient,
    /// The other side, or the path to it.
    Remote,
}

/// Tells whose failure an error is.
pub fn cause(wrong: &io::Error) -> FailureCause {
    match Errno::from_io_error(wrong) {
        Some(Errno::MFILE | Errno::NFILE) => FailureCause::Descriptors,
        Some(Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL | Errno::ACCESS | Errno::PERM) => {
            FailureCause::LocalResources
        }
        Some(Errno::INTR | Errno::CONNABORTED | Errno::AGAIN) => FailureCause::Transient,
        _ => FailureCause::Remote,
    }
}

/// Counts a failure that repeats, and logs it at most once a second.
#[derive(Default)]
pub struct FailureLog {
    count: Cell<u64>,
    logged: Cell<Option<Instant>>,
}

impl FailureLog {
    /// `what` failed so.
    pub fn add(&self, what: &str, wrong: &io::Error) {
        self.count.set(self.count.get() + 1);
        if self.logged.get().is_none_or(|at| at.elapsed() >= LOG_EACH) {
            self.logged.set(Some(Instant::now()));
            tracing::warn!(times = self.count.replace(0), "{what}: {wrong}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ours_are_told_from_a_servers_and_a_paths() {
        let cause_of = |errno: Errno| cause(&io::Error::from(errno));
        assert_eq!(cause_of(Errno::MFILE), FailureCause::Descriptors);
        assert_eq!(cause_of(Errno::NFILE), FailureCause::Descriptors);
        assert_eq!(cause_of(Errno::ADDRNOTAVAIL), FailureCause::LocalResources);
        assert_eq!(cause_of(Errno::NOBUFS), FailureCause::LocalResources);
        assert_eq!(cause_of(Errno::CONNABORTED), FailureCause::Transient);
        for theirs in
            [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::NETUNREACH, Errno::CONNRESET]
        {
            assert_eq!(cause_of(theirs), FailureCause::Remote, "{theirs:?}");
        }
        assert_eq!(cause(&io::Error::other("no number")), FailureCause::Remote);
    }
}
