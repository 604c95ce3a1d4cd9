//! How many attempts this replica may have in flight, and how quickly places come free.

use super::Policy;
use super::admission::MAX_WAIT_FRACTION;
use crate::host::Host;
use crate::state::request::Request;
use std::time::Duration;

/// The least capacity, in attempts.
const MIN_CAPACITY: f64 = 0.1;
/// A capacity of so many attempts is held to at every moment; a smaller one on average only.
const STEADY_CAPACITY: f64 = 16.0;
/// The span of that average, in seconds for each time that `STEADY_CAPACITY` exceeds the capacity.
const SMALL_CAPACITY_SPAN_SECONDS: f64 = 0.1;
/// The capacity is so many times as large while servers report that they have some: what they say is seconds old.
const SPARE_CAPACITY_FACTOR: f64 = 4.0;
/// The fraction of the capacity that is reserved for requests of high rank.
const RESERVED_FRACTION: f64 = 0.5;
/// The least rank that others are compared with.
const MIN_RANK: f64 = 1e-9;
/// Servers that report a lower utilization have capacity to spare.
const BUSY_UTILIZATION: f64 = 0.95;
/// Older reports say nothing of how busy servers are: who sends nothing hears nothing.
const UTILIZATION_MAX_AGE: Duration = Duration::from_secs(2);
/// The weight of such a report falls by e in this time.
const UTILIZATION_DECAY_SECONDS: f64 = 1.0;
/// The least response goal that is divided by, in seconds.
const MIN_GOAL_SECONDS: f64 = 1e-3;

impl<H: Host> Policy<H> {
    /// This replica's part of the concurrency limits in its window. Of one server's limit that can be less than one
    /// attempt, and each replica would have one in flight; so the sum is held to as well.
    pub(super) fn capacity(&self) -> f64 {
        (self.servers.window_concurrency_limit() / self.replicas_per_server).max(MIN_CAPACITY)
    }

    /// Whether servers report capacity to spare; none where they report nothing. Such reports go before an even part
    /// of what all replicas may have in flight.
    pub(super) fn reports_spare_capacity(&self) -> Option<bool> {
        let utilization =
            self.servers.mean_utilization(self.now, UTILIZATION_MAX_AGE, UTILIZATION_DECAY_SECONDS);
        utilization.map(|utilization| utilization < BUSY_UTILIZATION)
    }

    /// Held to at every moment, a capacity of few attempts would reject chance clusters that all replicas together
    /// have capacity for.
    pub(super) fn update_mean_in_flight(&mut self) {
        let span_seconds = SMALL_CAPACITY_SPAN_SECONDS * (STEADY_CAPACITY / self.capacity() - 1.0);
        let in_flight = self.servers.available_in_flight() as f64;
        self.mean_in_flight.update(self.now, in_flight, span_seconds);
    }

    /// Whether this replica has as much in flight as this request may come on top of.
    pub(super) fn is_at_capacity(&self, request: &Request) -> bool {
        let spare = self.reports_spare_capacity() == Some(true);
        let factor = if spare { SPARE_CAPACITY_FACTOR } else { 1.0 };
        !self.check_budget.is_used()
            && self.mean_in_flight.mean >= self.capacity() * self.capacity_fraction(request) * factor
    }

    /// Where few requests come to a replica at a time, low ranks leave a part of the capacity to high ones.
    fn capacity_fraction(&self, request: &Request) -> f64 {
        let rank_of_class = |class| self.rank(&Request { class, ..Request::default() });
        let highest = (0..self.classes.len()).map(rank_of_class).fold(MIN_RANK, f64::max);
        let lowness = 1.0 - (self.rank(request) / highest).min(1.0);
        if self.settings.capabilities.peer_messages { 1.0 - RESERVED_FRACTION * lowness } else { 1.0 }
    }

    /// Places that come free per second. Before anything has ended, a replica with enough capacity takes all of it to
    /// come free within what a new request would wait.
    pub(super) fn turnover(&self) -> f64 {
        let goals = self.settings.classes.iter().map(|class| class.latency_objective.as_secs_f64());
        let shortest_goal = goals.fold(f64::MAX, f64::min).max(MIN_GOAL_SECONDS);
        let capacity = self.capacity();
        let at_start = capacity / (MAX_WAIT_FRACTION * shortest_goal);
        self.throughput.turnover(self.now, (capacity >= STEADY_CAPACITY).then_some(at_start))
    }
}
