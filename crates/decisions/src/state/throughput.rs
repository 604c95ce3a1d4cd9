//! How many attempts this replica sends and how many end.

use crate::state::estimators::Rate;
use std::time::Duration;

/// The short span over which a sudden rise of ended attempts is measured, in seconds.
const RECENT_SPAN_SECONDS: f64 = 0.25;
/// The recent rate counts by itself when it is this many times the usual.
const SURGE_FACTOR: f64 = 2.0;
/// The recent rate counts by itself only with at least so many attempts.
const SURGE_MIN_ATTEMPTS: f64 = 8.0;
/// The turnover that is assumed at the least, in attempts per second.
const MIN_TURNOVER_PER_SECOND: f64 = 1.0;

/// Rates of attempts over all servers.
#[derive(Debug)]
pub struct Throughput {
    /// Attempts that were sent.
    sent: Rate,
    ended: Rate,
    recently_ended: Rate,
}

impl Default for Throughput {
    fn default() -> Self {
        let recently_ended = Rate::over_seconds(RECENT_SPAN_SECONDS);
        Throughput { sent: Rate::default(), ended: Rate::default(), recently_ended }
    }
}

impl Throughput {
    /// Counts an attempt that is sent.
    pub fn count_sent(&mut self, now: Duration) {
        self.sent.add(now, 1.0);
    }

    /// Counts an attempt that ended.
    pub fn count_ended(&mut self, now: Duration) {
        self.ended.add(now, 1.0);
        self.recently_ended.add(now, 1.0);
    }

    /// Attempts sent per second.
    pub fn sent_per_second(&self, now: Duration) -> f64 {
        self.sent.per_second(now)
    }

    /// Places that come free per second. After a lull the usual rate is too low; before anything has ended,
    /// `at_start` stands for all places coming free within the time that a new request would wait.
    pub fn turnover(&self, now: Duration, at_start: Option<f64>) -> f64 {
        let usual = self.ended.per_second(now);
        let recent = self.recently_ended.per_second(now);
        if let Some(at_start) = at_start.filter(|_| usual == 0.0) {
            return at_start;
        }
        let surge = recent > SURGE_FACTOR * usual && self.recently_ended.count(now) >= SURGE_MIN_ATTEMPTS;
        if surge { recent } else { usual }.max(MIN_TURNOVER_PER_SECOND)
    }
}
