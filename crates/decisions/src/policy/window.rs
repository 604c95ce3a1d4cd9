//! The window: the subset of the servers that this replica uses. With hundreds of replicas, each replica would
//! otherwise use each server too seldom to notice consecutive failures, to measure its slowness, or to keep a
//! connection open.

use super::Policy;
use crate::host::Host;
use crate::state::server_set::Server;
use std::time::Duration;

/// The window is sized so that each server answers this replica at about this rate.
const ANSWERS_PER_SERVER_PER_SECOND: f64 = 5.0;
/// Minimum number of servers in the window.
const MIN_SERVERS: f64 = 6.0;
/// Minimum number of servers in the window if open connections have a price.
const MIN_PRICED_SERVERS: f64 = 3.0;
/// Fraction of the window from the replica's own zone, if that has enough servers.
const LOCAL_FRACTION: f64 = 0.7;
/// Distance of the window positions of consecutive ordinals, as a fraction of the ring: the golden ratio spreads any
/// number of replicas evenly.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_895;
/// Fraction of a server that counts toward the size of the window if the server is ejected for a class.
const CLASS_EJECTED_WEIGHT: f64 = 0.3;
/// Time after which the window is chosen again. Each list updates it as well.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Lower bound of a replica's traffic as a fraction of the mean.
const MIN_TRAFFIC_RATIO: f64 = 0.5;
/// Lower bound of the mean request rate by which the traffic is divided, per second.
const MIN_MEAN_RATE: f64 = 0.01;

impl<H: Host> Policy<H> {
    /// Chooses the window on the ring of servers, from a position derived from this replica's ordinal. An ejected
    /// server does not count toward its size, and a server in slow start counts as a fraction.
    pub(super) fn update_window(&mut self) {
        self.window_due = self.now + UPDATE_INTERVAL;
        self.eject_drained_servers();
        let ready = self.servers.ready_count() as f64;
        let local = self.local_servers_in_use() as f64;
        let target = self.target_size();
        let remote = (target * (1.0 - LOCAL_FRACTION)).max(target - local).min(ready - local);
        let start = (f64::from(self.settings.ordinal) * GOLDEN_RATIO_CONJUGATE).fract();
        let slow_start = &self.settings.slow_start;
        let now = self.now;
        let window_weight = |server: &Server| match server.ejection() {
            Some(_) => 0.0,
            None if server.classes.iter().any(|health| health.ejection.is_some()) => CLASS_EJECTED_WEIGHT,
            None => server.slow_start_fraction(slow_start, now),
        };
        self.servers.choose_window(start, target - remote, remote, window_weight);
        let size = self.servers.window().len() as f64;
        let replicas = self.settings.replicas * size / (ready.max(1.0) * self.traffic_ratio());
        self.replicas_per_server = replicas.max(1.0);
        self.send_request_rate();
        self.servers.update_size_weights(self.size_exponent());
    }

    fn target_size(&self) -> f64 {
        let connections_are_priced = self.settings.costs.connection > 0.0;
        let min_size = if connections_are_priced { MIN_PRICED_SERVERS } else { MIN_SERVERS };
        (self.request_rate() / ANSWERS_PER_SERVER_PER_SECOND).max(min_size)
    }

    /// Requests per second that arrive at this replica.
    pub fn request_rate(&self) -> f64 {
        self.classes.iter().map(|class| class.arrivals.per_second(self.now)).sum()
    }

    /// This replica's traffic as a multiple of the mean replica's; 1 while the mean is unknown.
    pub(super) fn traffic_ratio(&self) -> f64 {
        let ratio = |mean: f64| {
            (self.request_rate() / mean.max(MIN_MEAN_RATE)).clamp(MIN_TRAFFIC_RATIO, self.settings.replicas)
        };
        self.peers.mean_rate.map_or(1.0, ratio)
    }
}
