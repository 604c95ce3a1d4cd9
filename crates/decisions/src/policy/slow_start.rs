//! Slow start: a server that is new or was restarted gets a rising share of the requests. Each replica enforces it
//! independently by credits, one for each attempt.

use super::Policy;
use super::concurrency_limits::MIN_CONGESTED_LIMIT;
use crate::host::{Host, Id};
use crate::state::server_set::{Server, Slot};
use std::time::Duration;

/// Minimum credits per second until the first request to a server that operators have reinstated.
const REINSTATED_CREDITS_PER_SECOND: f64 = 0.33;
/// Lower bound of a server's mean request rate, by which credits are added at replicas with little traffic. In requests
/// per second from all replicas together.
const MIN_FLEET_RATE_PER_SECOND: f64 = 4.0;
/// Maximum time for which credits are added at once, in seconds.
const MAX_CREDITED_SECONDS: f64 = 1.0;
/// Maximum credit that a server can accumulate, in attempts.
const MAX_CREDIT: f64 = 1.5;

impl<H: Host> Policy<H> {
    /// Starts the slow start of a server at `at`, after its process started or its ejection ended. Everything that was
    /// learned of it is reset.
    pub(super) fn restart_server(&mut self, slot: Slot, at: Duration) {
        self.servers.end_ejection(slot);
        self.servers.set_load_report(slot, None);
        let server = &mut self.servers[slot];
        server.reset_statistics();
        // With the usual initial limit, many new servers together would flood the next tier.
        server.concurrency_limit = MIN_CONGESTED_LIMIT;
        server.slow_start_credit = server.initial_credit;
        self.servers.begin_slow_start(slot, at);
    }

    /// Starts the slow start of a server that operators use again, with a minimum credit rate so that its first request
    /// does not wait for long.
    pub(super) fn reinstate_server(&mut self, id: &Id, since: Duration) {
        if let Some(slot) = self.servers.slot(id) {
            self.restart_server(slot, since);
        }
        self.servers.set_min_credits(id, REINSTATED_CREDITS_PER_SECOND);
    }

    /// Adds credits to the servers in slow start: each gets at most the slow-start fraction of what this replica sends
    /// to a server on average.
    pub(super) fn add_slow_start_credits(&mut self) {
        let now = self.now;
        let mean_rate = self.mean_rate_per_server();
        let settings = &self.settings.slow_start;
        self.servers.visit_slow_start(now, |server: &mut Server| {
            let seconds = now.saturating_sub(server.credited_at).as_secs_f64().min(MAX_CREDITED_SECONDS);
            server.credited_at = now;
            let fraction = server.slow_start_fraction(settings, now);
            let rate = (mean_rate * fraction).max(server.min_credits_per_second);
            server.slow_start_credit = (server.slow_start_credit + seconds * rate).min(MAX_CREDIT);
            fraction >= 1.0
        });
    }

    /// Mean attempts per second that a server of the window gets from this replica, with a lower bound for replicas
    /// with little traffic.
    fn mean_rate_per_server(&self) -> f64 {
        let window = self.servers.window().len().max(1) as f64;
        let ready = (self.servers.ready_count() as f64).max(1.0);
        // Replicas that may be alive but are unreachable send to the server as well.
        let unreachable_factor = (self.settings.max_live_replicas / self.settings.replicas).max(1.0);
        // In a surge, the traffic of every replica exceeds the last known mean, which lowers `replicas_per_server` at
        // all of them. The even share keeps the sum of all lower bounds from exceeding `MIN_FLEET_RATE_PER_SECOND`.
        let even_share_replicas = self.settings.replicas * window / ready;
        let replicas = self.replicas_per_server.max(even_share_replicas);
        let floor = MIN_FLEET_RATE_PER_SECOND / (replicas * unreachable_factor);
        (self.throughput.sent_per_second(self.now) / window).max(floor)
    }
}
