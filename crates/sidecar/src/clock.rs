//! The decision engine's clock, and the only reader of the wall clock.
//!
//! The wall clock may be set at any time. It is compared with times from other machines and processes, and never used
//! for deadlines.

use std::time::{Duration, Instant, SystemTime};

/// How long before the start of the process the decision engine's time is zero. Start times of servers before zero cannot
/// be represented, so without this offset a server still warming up would be treated as warm.
const ORIGIN_BEFORE_START: Duration = Duration::from_secs(24 * 3600);
/// Later times are clamped to this duration after the start when they are converted to an `Instant`.
const MAX_UPTIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// The wall clock as the duration since the Unix epoch; zero if the clock is set to an earlier time.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// The wall clock in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    whole_ms(unix_time())
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The decision engine's clock: the time since an origin 24 hours before the start of the process, by the monotonic
/// clock.
#[derive(Clone)]
pub struct Clock {
    started: Instant,
    started_unix: Duration,
}

impl Clock {
    /// Starts a clock at the current time.
    pub fn start() -> Clock {
        let started_unix = unix_time();
        Clock { started: Instant::now(), started_unix }
    }

    /// The current time since the origin.
    pub fn now(&self) -> Duration {
        ORIGIN_BEFORE_START + self.started.elapsed()
    }

    /// Converts a time to an `Instant`, clamped to between the start of the clock and [`MAX_UPTIME`] after it.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at.saturating_sub(ORIGIN_BEFORE_START).min(MAX_UPTIME)
    }

    /// Converts a time to milliseconds since the Unix epoch.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        whole_ms(self.origin_unix() + at)
    }

    /// Converts milliseconds since the Unix epoch to a time since the origin. Returns None for times at or before the
    /// origin, and for 0, which means that the time is unknown.
    pub fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        Duration::from_millis(ms).checked_sub(self.origin_unix()).filter(|at| ms > 0 && !at.is_zero())
    }

    /// The origin as the duration since the Unix epoch.
    fn origin_unix(&self) -> Duration {
        self.started_unix.saturating_sub(ORIGIN_BEFORE_START)
    }
}
