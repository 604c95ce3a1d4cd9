//! Idle connections that break as they are used: what was seen of them, here and by peers.

use crate::state::estimators::Rate;
use std::time::Duration;

/// A reset within this time of sending, on a connection that was idle for `MIN_IDLE`, is the idle connection's and not
/// the server's fault.
const BREAK_WITHIN: Duration = Duration::from_millis(50);
const MIN_IDLE: Duration = Duration::from_millis(300);
/// The time over which breaks are forgotten, in seconds.
const BREAKS_SPAN_SECONDS: f64 = 6.0;
/// With so many recent breaks, connections that were idle for long are replaced before use.
const BREAKS_TO_REPLACE: f64 = 1.5;
/// With so many recent breaks peers need not be told of more.
const BREAKS_TO_NOTIFY: f64 = 4.0;
/// With fewer recent breaks than this the shortest idle time begins anew.
const BREAKS_FORGOTTEN: f64 = 0.3;
/// A connection is replaced when its idle time, multiplied by this, reaches the shortest that broke.
const IDLE_MARGIN: f64 = 1.25;

/// Recent breaks of idle connections.
#[derive(Debug)]
pub struct IdleConnections {
    breaks: Rate,
    /// The shortest time that a connection which broke had been idle.
    shortest_idle: Duration,
}

impl Default for IdleConnections {
    fn default() -> Self {
        IdleConnections { breaks: Rate::over_seconds(BREAKS_SPAN_SECONDS), shortest_idle: Duration::MAX }
    }
}

impl IdleConnections {
    /// Whether a reset after this latency is due to the connection's idle time.
    pub fn explains_reset(idle: Duration, latency: Duration) -> bool {
        idle >= MIN_IDLE && latency <= BREAK_WITHIN
    }

    /// Whether peers should be told of a break.
    pub fn should_notify_peers(&self, now: Duration) -> bool {
        self.breaks.count(now) < BREAKS_TO_NOTIFY
    }

    /// A connection that had been idle for so long broke, here or at a peer.
    pub fn count_break(&mut self, now: Duration, idle: Duration) {
        let forgotten = self.breaks.count(now) < BREAKS_FORGOTTEN;
        self.shortest_idle = if forgotten { idle } else { self.shortest_idle.min(idle) };
        self.breaks.add(now, 1.0);
    }

    /// Whether a connection that was idle for so long should be replaced before it is used.
    pub fn should_replace(&self, now: Duration, idle: Duration) -> bool {
        self.breaks.count(now) >= BREAKS_TO_REPLACE && idle.mul_f64(IDLE_MARGIN) >= self.shortest_idle
    }
}
