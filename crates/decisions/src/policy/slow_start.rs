//! Slow start: a server that is new or was restarted gets a rising share of the requests. Each replica holds to it alone,
//! by credits: one for each attempt.

use super::Policy;
use super::concurrency_limits::MIN_STRAINED_LIMIT;
use crate::host::{Host, Id};
use crate::state::server_set::{Server, Slot};
use std::time::Duration;

/// Credits per second for the first request to a server that operators use again.
const REINSTATED_CREDITS_PER_SECOND: f64 = 0.33;
/// What a replica without traffic takes as the usual rate of one server: so many requests per second of all replicas
/// together.
const MIN_RATE_OF_ALL_PER_SECOND: f64 = 4.0;
/// Credits are added for at most so many seconds at once.
const MAX_CREDITED_SECONDS: f64 = 1.0;
/// The most credit that is saved.
const MAX_CREDIT: f64 = 1.5;

impl<H: Host> Policy<H> {
    /// The server's process was started, or it returns from ejection: what was learned of it is forgotten, and its slow
    /// start begins at `at`.
    pub(super) fn restart_server(&mut self, slot: Slot, at: Duration) {
        self.servers.end_ejection(slot);
        self.servers.set_load_report(slot, None);
        let server = &mut self.servers[slot];
        server.forget_process();
        // Many new servers with the usual limit would flood the tier behind them.
        server.concurrency_limit = MIN_STRAINED_LIMIT;
        server.slow_start_credit = server.initial_credit;
        self.servers.begin_slow_start(slot, at);
    }

    /// Operators use the server again: it is cold, and its first request must not wait for long.
    pub(super) fn reinstate_server(&mut self, id: &Id, since: Duration) {
        if let Some(slot) = self.servers.slot(id) {
            self.restart_server(slot, since);
        }
        self.servers.set_min_credits(id, REINSTATED_CREDITS_PER_SECOND);
    }

    /// While a server is in slow start, a replica sends it at most the slow-start fraction of what others get on
    /// average.
    pub(super) fn add_slow_start_credits(&mut self) {
        let now = self.now;
        let usual_rate = self.usual_rate_per_server();
        let rule = &self.settings.slow_start;
        self.servers.visit_slow_start(now, |server: &mut Server| {
            let seconds = now.saturating_sub(server.credited_at).as_secs_f64().min(MAX_CREDITED_SECONDS);
            server.credited_at = now;
            let fraction = server.slow_start_fraction(rule, now);
            let rate = (usual_rate * fraction).max(server.min_credits_per_second);
            server.slow_start_credit = (server.slow_start_credit + seconds * rate).min(MAX_CREDIT);
            fraction >= 1.0
        });
    }

    /// Attempts per second that a server of the window gets from this replica, with a floor for replicas with little
    /// traffic.
    fn usual_rate_per_server(&self) -> f64 {
        let window = self.servers.window().len().max(1) as f64;
        let ready = (self.servers.ready_count() as f64).max(1.0);
        // Replicas that may be alive, though they are not heard, send to the server as well.
        let unheard = (self.settings.max_live_replicas / self.settings.replicas).max(1.0);
        // In a surge each replica takes itself for the largest: the floors of all together are those of even parts at
        // most.
        let even_replicas = self.settings.replicas * window / ready;
        let replicas = self.replicas_per_server.max(even_replicas);
        let floor = MIN_RATE_OF_ALL_PER_SECOND / (replicas * unheard);
        (self.throughput.sent_per_second(self.now) / window).max(floor)
    }
}
