//! Statistics that forget: a few numbers stand for many observations.

use std::time::Duration;

/// The time over which a rate forgets where its owner names no other, in seconds.
const DEFAULT_RATE_SPAN_SECONDS: f64 = 4.0;

/// A histogram of few, geometrically growing bins. All counts are halved when it is full, so that old values fade.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    bins: [u32; 18],
    /// How many values the bins hold.
    pub total: u32,
    /// The sum of the values that the bins hold; an estimate once counts have been halved.
    sum: f64,
}

impl Histogram {
    /// The upper end of values that fall in the first bin, divided by `STEP`.
    const FLOOR: f64 = 0.004;
    /// Each bin is this many times as wide as the one before it.
    const STEP: f64 = 1.6;
    /// The middle of a bin, as a fraction of its upper end.
    const BIN_MIDDLE: f64 = 0.8;
    /// The number of values at which a histogram is full, where its owner has no reason for another.
    pub const FULL: u32 = 256;

    /// Adds a value; at `full` values all counts are halved.
    pub fn add(&mut self, value: f64, full: u32) {
        let last = self.bins.len() - 1;
        let bin = (value.max(Self::FLOOR) / Self::FLOOR).log(Self::STEP) as usize;
        if let Some(count) = self.bins.get_mut(bin.min(last)) {
            *count += 1;
        }
        self.total += 1;
        self.sum += value;
        if self.total >= full {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.bins.iter_mut().for_each(|count| *count /= 2);
        let kept = self.bins.iter().sum();
        self.sum *= f64::from(kept) / f64::from(self.total);
        self.total = kept;
    }

    fn upper_end(bin: usize) -> f64 {
        Self::FLOOR * Self::STEP.powi(bin as i32 + 1)
    }

    /// The mean by the bins, which bounds the weight of single extreme values; none without values.
    pub fn mean(&self) -> Option<f64> {
        let middle =
            |(bin, count): (usize, &u32)| Self::upper_end(bin) * Self::BIN_MIDDLE * f64::from(*count);
        let sum: f64 = self.bins.iter().enumerate().map(middle).sum();
        (self.total > 0).then(|| sum / f64::from(self.total))
    }

    /// The mean by the values themselves, where the bins are too coarse; none without values.
    pub fn exact_mean(&self) -> Option<f64> {
        (self.total > 0).then(|| self.sum / f64::from(self.total))
    }

    /// The upper end of the bin in which `fraction` of the values are reached; none without values.
    pub fn quantile(&self, fraction: f64) -> Option<f64> {
        let wanted = fraction * f64::from(self.total);
        let mut seen = 0.0;
        let reached = |count: &u32| {
            seen += f64::from(*count);
            seen >= wanted && seen > 0.0
        };
        self.bins.iter().position(reached).map(Self::upper_end)
    }
}

/// A rate per second that forgets exponentially.
#[derive(Clone, Debug)]
pub struct Rate {
    /// The time constant, in seconds.
    span_seconds: f64,
    /// Events that were not forgotten at `updated_at`.
    count: f64,
    updated_at: Duration,
}

impl Default for Rate {
    fn default() -> Self {
        Rate::over_seconds(DEFAULT_RATE_SPAN_SECONDS)
    }
}

impl Rate {
    /// A rate that forgets over so many seconds.
    pub fn over_seconds(span_seconds: f64) -> Rate {
        Rate { span_seconds, count: 0.0, updated_at: Duration::ZERO }
    }

    /// Counts `amount` events at `now`.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.count = self.count(now) + amount;
        self.updated_at = now;
    }

    /// The events that are not forgotten yet.
    pub fn count(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-since / self.span_seconds).exp()
    }

    /// Events per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.count(now) / self.span_seconds
    }
}

/// A time-weighted mean that forgets over a span which may change from one update to the next.
#[derive(Debug)]
pub struct TimeWeightedMean {
    /// The mean up to the last update.
    pub mean: f64,
    updated_at: Duration,
}

impl TimeWeightedMean {
    /// A mean of 0, from `now` on.
    pub fn new(now: Duration) -> Self {
        TimeWeightedMean { mean: 0.0, updated_at: now }
    }

    /// From the last update up to `now` the value was `value`.
    pub fn update(&mut self, now: Duration, value: f64, span_seconds: f64) {
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        let kept = if span_seconds > 0.0 { (-since / span_seconds).exp() } else { 0.0 };
        self.mean = value + (self.mean - value) * kept;
        self.updated_at = now;
    }
}
