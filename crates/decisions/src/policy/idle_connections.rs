//! Replaces idle connections before use where such connections tend to break.

use super::Policy;
use crate::host::{Host, Id};
use crate::settings::RetrySafety;
use crate::state::server_set::Slot;
use std::time::Duration;

/// Fraction of the idempotent requests that still use idle connections: without them, the end of such breaks would go
/// unnoticed.
const IDLE_TRIAL_FRACTION: f64 = 0.25;

impl<H: Host> Policy<H> {
    /// Returns for how long the connection to the server was idle. If connections of that idle time tend to break,
    /// closes it so that the request gets a new connection, and returns zero.
    pub(super) fn replace_idle_connection(&mut self, id: &Id, to: Slot) -> Duration {
        let server = &self.servers[to];
        let last_used = server.last_used.filter(|_| server.in_flight() == 0);
        let idle = last_used.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
        let should_replace = self.idle_connections.should_replace(self.now, idle);
        let request = self.requests.get(id);
        let idempotent = request.is_some_and(|request| self.retry_safety(request) == RetrySafety::Idempotent);
        if !should_replace || (idempotent && self.random.next() < IDLE_TRIAL_FRACTION) {
            return idle;
        }
        self.host.close_idle_connections(&self.servers[to].id);
        Duration::ZERO
    }

    /// Records that an idle connection broke on use. This is no failure of the server, and the next attempt is free.
    pub(super) fn record_idle_break(&mut self, idle: Duration) {
        if self.settings.capabilities.peer_messages && self.idle_connections.should_notify_peers(self.now) {
            self.peers.outbox.idle_connection_broke(idle);
        }
        self.idle_connections.count_break(self.now, idle);
        self.retry_budget.refund();
    }
}
