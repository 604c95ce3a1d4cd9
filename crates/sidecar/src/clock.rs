//! The module's time. It owns the one reading of the system's clocks that times from outside are held against.

use std::time::{Duration, Instant, SystemTime};

/// How long before the process the module's time begins. A server's start before that would be lost, and a
/// cold server taken for a warm one.
const HEAD_START: Duration = Duration::from_secs(24 * 3600);

/// The module's time: spans since a moment well before the process began.
#[derive(Clone)]
pub struct Clock {
    began: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix }
    }

    pub fn now(&self) -> Duration {
        HEAD_START + self.began.elapsed()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        let after = at.saturating_sub(HEAD_START).min(Duration::from_secs(365 * 24 * 3600));
        self.began + after
    }

    pub fn unix_ms(&self, at: Duration) -> u64 {
        let since = self.unix.saturating_sub(HEAD_START) + at;
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// None for a moment before the module's time began, and for 0, which says that nobody knows.
    pub fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        let begin = self.unix.saturating_sub(HEAD_START);
        Duration::from_millis(ms).checked_sub(begin).filter(|at| ms > 0 && !at.is_zero())
    }
}
