//! The window: the servers that this replica works with. One of hundreds of replicas meets each server too seldom to
//! notice failures in a row, to learn its slowness, or to keep a connection open.

use super::Policy;
use crate::host::Host;
use crate::state::server_set::Server;
use std::time::Duration;

/// The window has so many servers that each answers this often, in answers per second.
const ANSWERS_PER_SERVER_PER_SECOND: f64 = 5.0;
/// The least number of servers, and the least where open connections have a price.
const MIN_SERVERS: f64 = 6.0;
const MIN_PRICED_SERVERS: f64 = 3.0;
/// The fraction that comes from the replica's own zone, where it has enough servers.
const LOCAL_FRACTION: f64 = 0.7;
/// Windows start in steps of the golden section, so that any set of replicas spreads evenly over the ring.
const GOLDEN_SECTION: f64 = 0.618_033_988_749_895;
/// A server that is ejected for one class counts as this part of a server.
const CLASS_EJECTED_COUNTS: f64 = 0.3;
/// The window is chosen anew after this time, and with each list.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The least that a replica takes its traffic to be, as a fraction of the usual.
const MIN_TRAFFIC_RATIO: f64 = 0.5;
/// The least usual request rate that is divided by, per second.
const MIN_USUAL_RATE: f64 = 0.01;

impl<H: Host> Policy<H> {
    /// Chooses the window on the ring of servers, from a position that this replica's number gives. A server that is
    /// ejected takes no place in it, and one in slow start a part of one.
    pub(super) fn update_window(&mut self) {
        self.window_due = self.now + UPDATE_INTERVAL;
        self.eject_drained_servers();
        let ready = self.servers.ready_count() as f64;
        let local = self.local_servers_in_use() as f64;
        let wanted = self.wanted_servers();
        let remote = (wanted * (1.0 - LOCAL_FRACTION)).max(wanted - local).min(ready - local);
        let start = (f64::from(self.settings.ordinal) * GOLDEN_SECTION).fract();
        let rule = &self.settings.slow_start;
        let now = self.now;
        let counts = |server: &Server| match server.ejection() {
            Some(_) => 0.0,
            None if server.classes.iter().any(|health| health.ejection.is_some()) => CLASS_EJECTED_COUNTS,
            None => server.slow_start_fraction(rule, now),
        };
        self.servers.choose_window(start, wanted - remote, remote, counts);
        let chosen = self.servers.window().len() as f64;
        let replicas = self.settings.replicas * chosen / (ready.max(1.0) * self.traffic_ratio());
        self.replicas_per_server = replicas.max(1.0);
        self.send_request_rate();
        self.servers.update_size_weights(self.size_exponent());
    }

    fn wanted_servers(&self) -> f64 {
        let connections_are_priced = self.settings.costs.connection > 0.0;
        let least = if connections_are_priced { MIN_PRICED_SERVERS } else { MIN_SERVERS };
        (self.request_rate() / ANSWERS_PER_SERVER_PER_SECOND).max(least)
    }

    /// Requests per second that arrive at this replica.
    pub fn request_rate(&self) -> f64 {
        self.classes.iter().map(|class| class.arrivals.per_second(self.now)).sum()
    }

    /// This replica's traffic as a multiple of the usual replica's; 1 while that is not known.
    pub(super) fn traffic_ratio(&self) -> f64 {
        let ratio = |usual: f64| {
            (self.request_rate() / usual.max(MIN_USUAL_RATE)).clamp(MIN_TRAFFIC_RATIO, self.settings.replicas)
        };
        self.peers.usual_rate.map_or(1.0, ratio)
    }
}
