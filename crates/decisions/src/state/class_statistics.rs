//! Statistics of the requests of one class.

use crate::host::Id;
use crate::state::estimators::{Histogram, Rate};
use std::collections::VecDeque;
use std::time::Duration;

/// Weight of a new declared cost in the moving average of a class.
const COST_GAIN: f64 = 0.05;
/// Lower bound of the mean cost by which others are divided, in seconds.
const MIN_COST_SECONDS: f64 = 1e-6;
/// Minimum and maximum of a request's cost relative to the mean of its class.
const RELATIVE_COST_RANGE: (f64, f64) = (0.1, 20.0);
/// Number of answers before the baseline is known: the first answers to arrive are the quick ones.
const BASELINE_MIN_ANSWERS: u32 = 100;
/// Factor by which the baseline rises with each answer, so that an old minimum expires.
const BASELINE_GROWTH: f64 = 1.0005;
/// Maximum that a single answer counts for, as a multiple of the baseline.
const MAX_LATENCY_INFLATION: f64 = 4.0;

/// An attempt in flight that may become overdue.
#[derive(Clone, Debug)]
pub struct WatchedAttempt {
    /// Time at which the attempt was sent.
    pub sent_at: Duration,
    /// Id of the attempt's request.
    pub request: Id,
    /// Number of the attempt within the request.
    pub number: u32,
}

/// Latencies, costs and rates of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassStatistics {
    /// Seconds from the start of an attempt to its answer.
    pub latency: Histogram,
    /// Lowest mean latency so far, in seconds. It rises slowly, so that an old minimum expires.
    baseline_latency: Option<f64>,
    /// Moving average of the declared work of requests, in seconds on a standard core.
    mean_cost: Option<f64>,
    /// Rate of requests that arrived.
    pub arrivals: Rate,
    /// Rate of requests that were answered in time.
    pub answered_in_time: Rate,
    /// Attempts in the order in which they were sent, until they end or become overdue.
    pub watched: VecDeque<WatchedAttempt>,
}

impl ClassStatistics {
    /// Fraction of the recent requests that were answered in time.
    pub fn answered_fraction(&self, now: Duration) -> f64 {
        self.answered_in_time.count(now) / self.arrivals.count(now).max(1.0)
    }

    /// Declared work of a request as a multiple of the class's mean; 1 if none is declared.
    pub fn relative_cost(&mut self, declared_work: Option<Duration>) -> f64 {
        let Some(cost) = declared_work.map(|cost| cost.as_secs_f64()) else { return 1.0 };
        let mean_cost = self.mean_cost.map_or(cost, |mean_cost| mean_cost + COST_GAIN * (cost - mean_cost));
        self.mean_cost = Some(mean_cost);
        let (min, max) = RELATIVE_COST_RANGE;
        (cost / mean_cost.max(MIN_COST_SECONDS)).clamp(min, max)
    }

    /// Records the latency of an answer. Returns it as a multiple of the baseline, once that is known.
    pub fn latency_inflation(&mut self, latency_seconds: f64) -> Option<f64> {
        self.latency.add(latency_seconds, Histogram::DEFAULT_CAPACITY);
        let mean = self.latency.mean().filter(|_| self.latency.total >= BASELINE_MIN_ANSWERS)?;
        let baseline = self.baseline_latency.map_or(mean, |baseline| (baseline * BASELINE_GROWTH).min(mean));
        self.baseline_latency = Some(baseline);
        Some((latency_seconds / baseline).min(MAX_LATENCY_INFLATION))
    }
}
