//! Concurrency limits: the number of attempts that all replicas together may have in flight at each server. A limit
//! rises slowly while latencies stay near their uncongested baseline, and falls when answers are late.

use super::{EndedAttempt, Policy};
use crate::host::{AttemptEnd, Host, Outcome};
use crate::state::estimators::Histogram;
use crate::state::server_set::Slot;
use std::time::Duration;

/// Limit of a server without any observation, in attempts.
pub(super) const INITIAL_LIMIT: f64 = 5.0;
/// Limit of a server that has just started, and lower bound of the decrease by slow answers, in attempts. It is below
/// `INITIAL_LIMIT` because replicas that started earlier may assume too small a number of replicas.
pub(super) const MIN_CONGESTED_LIMIT: f64 = 2.5;
/// Lower bound of the decrease by late answers and failures, in attempts.
const MIN_LIMIT: f64 = 1.0;
/// Maximum limit, in attempts.
const MAX_LIMIT: f64 = 64.0;
/// Negative logarithm of the factor by which one slow answer lowers a limit, for one replica per server.
const CONGESTION_DECREASE: f64 = 0.002;
/// Negative logarithm of the factor by which one late answer, one timeout, or one rejection by an overloaded server
/// lowers a limit, for one replica per server.
const OVERLOAD_DECREASE: f64 = 0.02;
/// Weight of an error relative to an overload. Errors count because an overloaded next tier may show by errors alone.
const ERROR_DECREASE_WEIGHT: f64 = 0.4;
/// One answer raises a limit by this value divided by the limit, in attempts, for one replica per server.
const ADDITIVE_INCREASE: f64 = 0.08;
/// Below this latency, as a multiple of the baseline, servers are uncongested and limits rise.
const UNCONGESTED_INFLATION: f64 = 1.1;
/// Above this latency, as a multiple of the baseline, servers are congested and limits fall.
const CONGESTED_INFLATION: f64 = 1.4;
/// Latency, as a multiple of the baseline, that is assumed while servers report that they are busy: just congested.
const BUSY_INFLATION: f64 = CONGESTED_INFLATION + 0.1;
/// The capacity counts as in use if this fraction of it is in flight.
const CAPACITY_IN_USE_FRACTION: f64 = 0.8;
/// Lower bound, in attempts, of the share of a limit that this replica must reach for the limit to count as in use.
const MIN_LIMIT_IN_USE: f64 = 2.0;
/// Number of values at which the histogram of latency inflations halves its counts.
const LATENCY_INFLATION_CAPACITY: u32 = 64;

impl<H: Host> Policy<H> {
    /// Records the latency of an ended attempt as a part of the server's slowness. Timeouts and overdue attempts count
    /// as well: a server that is too slow to answer in time would otherwise be judged by its quickest answers alone
    /// (survivorship bias).
    pub(super) fn record_slowness(&mut self, attempt: &EndedAttempt, ended: &AttemptEnd, mean_latency: f64) {
        let server = &mut self.servers[attempt.slot];
        server.attempt_ended(self.now, attempt.sent_at, attempt.overdue);
        let answered = ended.outcome == Outcome::Ok;
        let is_recorded = answered || attempt.overdue || ended.outcome == Outcome::Timeout;
        if mean_latency > 0.0 && is_recorded {
            let relative_latency = ended.latency.as_secs_f64() / (mean_latency * attempt.relative_cost);
            server.record_latency(if answered { relative_latency } else { relative_latency.max(1.0) });
        }
    }

    /// Records an answer: its latency, and the server's concurrency limit.
    pub(super) fn record_answer(&mut self, attempt: &EndedAttempt, latency: Duration) {
        let seconds = latency.as_secs_f64();
        if let Some(queued_ahead) = attempt.queued_ahead {
            let service_time = seconds / (attempt.relative_cost * (1.0 + queued_ahead));
            self.service_time.add(service_time, Histogram::DEFAULT_CAPACITY);
        }
        let (slot, class) = (attempt.slot, attempt.class);
        let Some(objective) =
            self.settings.classes.get(class).map(|class| class.latency_objective.as_secs_f64())
        else {
            return;
        };
        let Some(statistics) = self.classes.get_mut(class) else { return };
        if let Some(inflation) = statistics.latency_inflation(seconds / attempt.relative_cost) {
            self.latency_inflation.add(inflation, LATENCY_INFLATION_CAPACITY);
        }
        if attempt.in_time {
            statistics.answered_in_time.add(self.now, 1.0);
        }
        self.adjust_limit(slot, seconds > objective || !attempt.in_time);
        if self.is_failing_class(slot, class) {
            self.report_class_outcome(slot, class, true);
        }
        self.count_success(slot);
    }

    fn adjust_limit(&mut self, slot: Slot, is_late: bool) {
        let has_spare_capacity = self.reports_spare_capacity();
        let is_in_use = self.limit_is_in_use(slot);
        let server = &mut self.servers[slot];
        // The factor of the server's slowness lets limits fall in a congested zone and stay in the others. With heavy
        // requests, one answer in twenty is late even on an idle server, so reported utilization takes precedence.
        let inflation = match has_spare_capacity {
            Some(true) => 1.0,
            Some(false) => BUSY_INFLATION,
            None => self.latency_inflation.mean().unwrap_or(1.0) * server.slowness,
        };
        let limit = server.concurrency_limit;
        if is_late && has_spare_capacity != Some(true) {
            self.decrease_limit(slot, 1.0);
        } else if inflation > CONGESTED_INFLATION && limit > MIN_CONGESTED_LIMIT {
            let factor = (-CONGESTION_DECREASE * self.replicas_per_server).exp();
            server.concurrency_limit = (limit * factor).max(MIN_CONGESTED_LIMIT);
        } else if is_in_use && inflation < UNCONGESTED_INFLATION && has_spare_capacity.is_none() {
            server.concurrency_limit =
                (limit + ADDITIVE_INCREASE * self.replicas_per_server / limit).min(MAX_LIMIT);
        }
    }

    /// Whether the limit is reached. A limit may only rise while it is in use, as otherwise a later overload would be
    /// admitted.
    fn limit_is_in_use(&self, slot: Slot) -> bool {
        let server = &self.servers[slot];
        let own_share = (server.concurrency_limit / self.replicas_per_server).max(MIN_LIMIT_IN_USE);
        f64::from(server.in_flight() + 1) >= own_share
            || self.mean_in_flight.mean + 1.0 >= CAPACITY_IN_USE_FRACTION * self.capacity()
    }

    fn decrease_limit(&mut self, slot: Slot, weight: f64) {
        let server = &mut self.servers[slot];
        let factor = (-weight * OVERLOAD_DECREASE * self.replicas_per_server).exp();
        server.concurrency_limit = (server.concurrency_limit * factor).max(MIN_LIMIT);
    }

    /// Lowers the server's limit by a weight that depends on the kind of failure.
    pub(super) fn decrease_limit_on_failure(&mut self, slot: Slot, outcome: Outcome) {
        // A timeout while all other latencies are near the baseline means a lost attempt, not a slow server.
        let is_uncongested =
            self.latency_inflation.mean().is_some_and(|inflation| inflation < UNCONGESTED_INFLATION);
        match outcome {
            Outcome::Timeout if is_uncongested => self.decrease_limit(slot, ERROR_DECREASE_WEIGHT),
            Outcome::Timeout | Outcome::Overloaded => self.decrease_limit(slot, 1.0),
            Outcome::Error | Outcome::Reset => self.decrease_limit(slot, ERROR_DECREASE_WEIGHT),
            Outcome::Ok | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}
