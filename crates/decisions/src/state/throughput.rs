//! The rates at which this replica sends attempts and at which they end.

use crate::state::estimators::Rate;
use std::time::Duration;

/// Time constant of the rate that measures a surge of ended attempts, in seconds.
const RECENT_TIME_CONSTANT_SECONDS: f64 = 0.25;
/// The recent rate is used only if it exceeds this multiple of the long-term rate.
const SURGE_FACTOR: f64 = 2.0;
/// The recent rate is used only with at least this many recent attempts.
const SURGE_MIN_ATTEMPTS: f64 = 8.0;
/// Minimum completion rate, in attempts per second.
const MIN_COMPLETIONS_PER_SECOND: f64 = 1.0;

/// Rates of attempts over all servers.
#[derive(Debug)]
pub struct Throughput {
    /// Rate of attempts that were sent.
    sent: Rate,
    ended: Rate,
    recently_ended: Rate,
}

impl Default for Throughput {
    fn default() -> Self {
        let recently_ended = Rate::with_time_constant(RECENT_TIME_CONSTANT_SECONDS);
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

    /// Attempts that complete per second. The recent rate applies if the long-term rate is too low after an idle
    /// period. Before any attempt has ended, the rate is `initial_rate`, if given.
    pub fn completion_rate(&self, now: Duration, initial_rate: Option<f64>) -> f64 {
        let long_term = self.ended.per_second(now);
        let recent = self.recently_ended.per_second(now);
        if let Some(initial_rate) = initial_rate.filter(|_| long_term == 0.0) {
            return initial_rate;
        }
        let is_surge =
            recent > SURGE_FACTOR * long_term && self.recently_ended.count(now) >= SURGE_MIN_ATTEMPTS;
        if is_surge { recent } else { long_term }.max(MIN_COMPLETIONS_PER_SECOND)
    }
}
