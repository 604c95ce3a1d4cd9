//! Idle connections that break on use, as observed by this replica and its peers.

use crate::state::estimators::Rate;
use std::time::Duration;

/// A reset within this time after sending, on a connection that was idle for `MIN_IDLE`, is due to the idle time and
/// not a failure of the server.
const MAX_BREAK_LATENCY: Duration = Duration::from_millis(50);
const MIN_IDLE: Duration = Duration::from_millis(300);
/// Time constant with which breaks are forgotten, in seconds.
const BREAK_TIME_CONSTANT_SECONDS: f64 = 6.0;
/// Number of recent breaks from which connections with a long idle time are replaced before use.
const BREAKS_TO_REPLACE: f64 = 1.5;
/// Number of recent breaks from which peers are no longer notified.
const BREAKS_TO_NOTIFY: f64 = 4.0;
/// Number of recent breaks below which the shortest idle time is measured again.
const MIN_REMEMBERED_BREAKS: f64 = 0.3;
/// A connection is replaced if its idle time, multiplied by this, reaches the shortest idle time after which one broke.
const IDLE_MARGIN: f64 = 1.25;

/// Recent breaks of idle connections.
#[derive(Debug)]
pub struct IdleConnections {
    breaks: Rate,
    /// Shortest idle time of a connection that broke.
    shortest_idle: Duration,
}

impl Default for IdleConnections {
    fn default() -> Self {
        IdleConnections {
            breaks: Rate::with_time_constant(BREAK_TIME_CONSTANT_SECONDS),
            shortest_idle: Duration::MAX,
        }
    }
}

impl IdleConnections {
    /// Whether the idle time of the connection explains a reset after this latency.
    pub fn explains_reset(idle: Duration, latency: Duration) -> bool {
        idle >= MIN_IDLE && latency <= MAX_BREAK_LATENCY
    }

    /// Whether peers should be notified of a break.
    pub fn should_notify_peers(&self, now: Duration) -> bool {
        self.breaks.count(now) < BREAKS_TO_NOTIFY
    }

    /// Counts a break of a connection after this idle time, here or at a peer.
    pub fn count_break(&mut self, now: Duration, idle: Duration) {
        let forgotten = self.breaks.count(now) < MIN_REMEMBERED_BREAKS;
        self.shortest_idle = if forgotten { idle } else { self.shortest_idle.min(idle) };
        self.breaks.add(now, 1.0);
    }

    /// Whether a connection with this idle time should be replaced before use.
    pub fn should_replace(&self, now: Duration, idle: Duration) -> bool {
        self.breaks.count(now) >= BREAKS_TO_REPLACE && idle.mul_f64(IDLE_MARGIN) >= self.shortest_idle
    }
}
