//! The number of attempts that this replica may have in flight, and the rate at which they complete.

use super::Policy;
use super::admission::MAX_WAIT_FRACTION;
use crate::host::Host;
use crate::state::request::Request;
use std::time::Duration;

/// Minimum capacity, in attempts.
const MIN_CAPACITY: f64 = 0.1;
/// A capacity of at least this many attempts is enforced at every moment, a smaller one only on average.
const MIN_STRICT_CAPACITY: f64 = 16.0;
/// Time constant of that average, in seconds, per unit of `MIN_STRICT_CAPACITY` / capacity - 1.
const MEAN_IN_FLIGHT_SPAN_SECONDS: f64 = 0.1;
/// Factor on the capacity while servers report spare capacity. It is bounded because the reports are seconds old.
const SPARE_CAPACITY_FACTOR: f64 = 4.0;
/// Fraction of the capacity that is reserved for requests of the highest rank.
const RESERVED_FRACTION: f64 = 0.5;
/// Lower bound of the rank that others are compared with.
const MIN_RANK: f64 = 1e-9;
/// Servers whose mean reported utilization is below this have spare capacity.
const BUSY_UTILIZATION: f64 = 0.95;
/// Utilization reports of this age or older are ignored. A replica that sends no requests receives no newer ones.
const UTILIZATION_MAX_AGE: Duration = Duration::from_secs(2);
/// Time in which the weight of a utilization report falls by a factor of e, in seconds.
const UTILIZATION_DECAY_SECONDS: f64 = 1.0;
/// Lower bound of the latency objective by which the capacity is divided, in seconds.
const MIN_OBJECTIVE_SECONDS: f64 = 1e-3;

impl<H: Host> Policy<H> {
    /// This replica's share of the concurrency limits in its window, in attempts. The share of one server's limit can
    /// be below one attempt, yet every replica may have one attempt in flight there, so the sum of the shares is
    /// enforced too.
    pub(super) fn capacity(&self) -> f64 {
        (self.servers.window_concurrency_limit() / self.replicas_per_server).max(MIN_CAPACITY)
    }

    /// Whether servers report spare capacity; `None` without recent reports. These reports take precedence over this
    /// replica's even share of the concurrency limits.
    pub(super) fn reports_spare_capacity(&self) -> Option<bool> {
        let utilization =
            self.servers.mean_utilization(self.now, UTILIZATION_MAX_AGE, UTILIZATION_DECAY_SECONDS);
        utilization.map(|utilization| utilization < BUSY_UTILIZATION)
    }

    /// Updates the mean number of attempts in flight. Enforced at every moment, a small capacity would reject random
    /// bursts that all replicas together have capacity for.
    pub(super) fn update_mean_in_flight(&mut self) {
        let span_seconds = MEAN_IN_FLIGHT_SPAN_SECONDS * (MIN_STRICT_CAPACITY / self.capacity() - 1.0);
        let in_flight = self.servers.available_in_flight() as f64;
        self.mean_in_flight.update(self.now, in_flight, span_seconds);
    }

    /// Whether this replica has too many attempts in flight to add this request.
    pub(super) fn is_at_capacity(&self, request: &Request) -> bool {
        let has_spare_capacity = self.reports_spare_capacity() == Some(true);
        let factor = if has_spare_capacity { SPARE_CAPACITY_FACTOR } else { 1.0 };
        !self.check_budget.is_used()
            && self.mean_in_flight.mean >= self.capacity() * self.capacity_fraction(request) * factor
    }

    /// Fraction of the capacity that is open to the request. Where replicas exchange messages, each has few requests at
    /// a time, so low ranks leave a part of the capacity to high ranks.
    fn capacity_fraction(&self, request: &Request) -> f64 {
        let rank_of_class = |class| self.rank(&Request { class, ..Request::default() });
        let highest = (0..self.classes.len()).map(rank_of_class).fold(MIN_RANK, f64::max);
        let rank_deficit = 1.0 - (self.rank(request) / highest).min(1.0);
        if self.settings.capabilities.peer_messages { 1.0 - RESERVED_FRACTION * rank_deficit } else { 1.0 }
    }

    /// Attempts that complete per second. Before any attempt has ended, a replica with a large enough capacity assumes
    /// that all of it completes within the time that a new request would wait.
    pub(super) fn completion_rate(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective.as_secs_f64());
        let shortest_objective = objectives.fold(f64::MAX, f64::min).max(MIN_OBJECTIVE_SECONDS);
        let capacity = self.capacity();
        let initial_rate = capacity / (MAX_WAIT_FRACTION * shortest_objective);
        self.throughput.completion_rate(self.now, (capacity >= MIN_STRICT_CAPACITY).then_some(initial_rate))
    }
}
