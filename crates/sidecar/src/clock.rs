//! Time as the decisions count it, and the only reader of the wall clock.
//!
//! The wall clock may be set at any time: it serves to compare with times that come from other machines and processes,
//! never as a deadline.

use std::time::{Duration, Instant, SystemTime};

/// How long before the process the decisions' time begins. A server's start before that would be lost, and a server that
/// is warming up taken for a warm one.
const ORIGIN_BEFORE_START: Duration = Duration::from_secs(24 * 3600);
/// Later moments have no instant of their own.
const MAX_UPTIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// The wall clock, as time since 1970 UTC; zero where it stands before.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// The wall clock in milliseconds since 1970 UTC.
pub fn unix_ms() -> u64 {
    in_ms(unix_time())
}

fn in_ms(since_1970: Duration) -> u64 {
    u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX)
}

/// The decisions' time: a span since a moment well before the process started, by the monotonic clock.
#[derive(Clone)]
pub struct Clock {
    started: Instant,
    started_unix: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let started_unix = unix_time();
        Clock { started: Instant::now(), started_unix }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        ORIGIN_BEFORE_START + self.started.elapsed()
    }

    /// The instant of a time, at the earliest that of the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at.saturating_sub(ORIGIN_BEFORE_START).min(MAX_UPTIME)
    }

    /// A time in milliseconds since 1970 UTC.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        in_ms(self.origin_unix() + at)
    }

    /// The time of a moment given in milliseconds since 1970 UTC. None for a moment before the decisions' time began, and
    /// for 0, which stands for an unknown moment.
    pub fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        Duration::from_millis(ms).checked_sub(self.origin_unix()).filter(|at| ms > 0 && !at.is_zero())
    }

    /// Where the decisions' time is zero, since 1970 UTC.
    fn origin_unix(&self) -> Duration {
        self.started_unix.saturating_sub(ORIGIN_BEFORE_START)
    }
}
