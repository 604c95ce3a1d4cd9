//! What was observed of the requests of one class.

use crate::host::Id;
use crate::state::estimators::{Histogram, Rate};
use std::collections::VecDeque;
use std::time::Duration;

/// How quickly the usual cost of a class follows the stated ones.
const COST_GAIN: f64 = 0.05;
/// The least usual cost that others are divided by, in seconds.
const MIN_COST_SECONDS: f64 = 1e-6;
/// The least and the most that one request counts for by its stated cost.
const RELATIVE_COST_RANGE: (f64, f64) = (0.1, 20.0);
/// Before so many answers the baseline is unknown: the first to come back are the quick ones.
const BASELINE_MIN_ANSWERS: u32 = 100;
/// The baseline rises by this factor with each answer, so that an old minimum is forgotten.
const BASELINE_RISE: f64 = 1.0005;
/// A single answer counts as at most this many times the baseline.
const MAX_LATENCY_INFLATION: f64 = 4.0;

/// An attempt in flight that may become overdue.
#[derive(Clone, Debug)]
pub struct WatchedAttempt {
    /// When it was sent.
    pub sent_at: Duration,
    /// Its request.
    pub request: Id,
    /// Its number within the request.
    pub number: u32,
}

/// Statistics of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassStatistics {
    /// Seconds to an answer.
    pub latency: Histogram,
    /// The lowest mean latency seen, in seconds, forgotten slowly.
    baseline_latency: Option<f64>,
    /// The work that requests of the class usually state, in seconds on a standard core.
    usual_cost: Option<f64>,
    /// Requests that arrived.
    pub arrivals: Rate,
    /// Requests that were answered in time.
    pub answered_in_time: Rate,
    /// Attempts in the order in which they were sent, until they are over or overdue.
    pub watched: VecDeque<WatchedAttempt>,
}

impl ClassStatistics {
    /// The fraction of recent requests that were answered in time.
    pub fn answered_fraction(&self, now: Duration) -> f64 {
        self.answered_in_time.count(now) / self.arrivals.count(now).max(1.0)
    }

    /// The work of a request as a multiple of the class's usual; 1 where none is stated.
    pub fn relative_cost(&mut self, stated: Option<Duration>) -> f64 {
        let Some(cost) = stated.map(|cost| cost.as_secs_f64()) else { return 1.0 };
        let usual = self.usual_cost.map_or(cost, |usual| usual + COST_GAIN * (cost - usual));
        self.usual_cost = Some(usual);
        let (least, most) = RELATIVE_COST_RANGE;
        (cost / usual.max(MIN_COST_SECONDS)).clamp(least, most)
    }

    /// Counts an answer's latency. Returns it as a multiple of the baseline, once that is known.
    pub fn latency_inflation(&mut self, latency_seconds: f64) -> Option<f64> {
        self.latency.add(latency_seconds, Histogram::FULL);
        let mean = self.latency.mean().filter(|_| self.latency.total >= BASELINE_MIN_ANSWERS)?;
        let baseline = self.baseline_latency.map_or(mean, |baseline| (baseline * BASELINE_RISE).min(mean));
        self.baseline_latency = Some(baseline);
        Some((latency_seconds / baseline).min(MAX_LATENCY_INFLATION))
    }
}
