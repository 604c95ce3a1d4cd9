//! Estimators that discount old observations, each in constant space.

use std::time::Duration;

/// Time constant of a rate whose owner sets none, in seconds.
const DEFAULT_TIME_CONSTANT_SECONDS: f64 = 4.0;

/// A histogram with a few bins of exponentially growing width. When it is full, all counts are halved, so that old
/// values fade.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    bins: [u32; 18],
    /// Number of values in the bins.
    pub total: u32,
    /// Sum of the values in the bins; an estimate once counts have been halved.
    sum: f64,
}

impl Histogram {
    /// Lower end of the first bin; smaller values fall into it too.
    const FIRST_BIN_START: f64 = 0.004;
    /// Ratio of the widths of consecutive bins.
    const BIN_GROWTH: f64 = 1.6;
    /// Middle of a bin as a fraction of its upper end.
    const BIN_MIDDLE: f64 = 0.8;
    /// Number of values at which a histogram is full, unless its owner needs another.
    pub const DEFAULT_CAPACITY: u32 = 256;

    /// Adds a value. All counts are halved once the histogram holds `capacity` values.
    pub fn add(&mut self, value: f64, capacity: u32) {
        let last = self.bins.len() - 1;
        let bin = (value.max(Self::FIRST_BIN_START) / Self::FIRST_BIN_START).log(Self::BIN_GROWTH) as usize;
        if let Some(count) = self.bins.get_mut(bin.min(last)) {
            *count += 1;
        }
        self.total += 1;
        self.sum += value;
        if self.total >= capacity {
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
        Self::FIRST_BIN_START * Self::BIN_GROWTH.powi(bin as i32 + 1)
    }

    /// Mean computed from the bins, which bounds the weight of single extreme values; `None` without values.
    pub fn mean(&self) -> Option<f64> {
        let middle =
            |(bin, count): (usize, &u32)| Self::upper_end(bin) * Self::BIN_MIDDLE * f64::from(*count);
        let sum: f64 = self.bins.iter().enumerate().map(middle).sum();
        (self.total > 0).then(|| sum / f64::from(self.total))
    }

    /// Mean computed from the values themselves, where the bins are too coarse; `None` without values.
    pub fn exact_mean(&self) -> Option<f64> {
        (self.total > 0).then(|| self.sum / f64::from(self.total))
    }

    /// Upper end of the bin that contains this quantile; `None` without values.
    pub fn quantile(&self, fraction: f64) -> Option<f64> {
        let target_count = fraction * f64::from(self.total);
        let mut cumulative = 0.0;
        let reached = |count: &u32| {
            cumulative += f64::from(*count);
            cumulative >= target_count && cumulative > 0.0
        };
        self.bins.iter().position(reached).map(Self::upper_end)
    }
}

/// A rate of events per second with exponential decay.
#[derive(Clone, Debug)]
pub struct Rate {
    /// Time constant of the decay, in seconds.
    time_constant_seconds: f64,
    /// Decayed number of events as of `updated_at`.
    count: f64,
    updated_at: Duration,
}

impl Default for Rate {
    fn default() -> Self {
        Rate::with_time_constant(DEFAULT_TIME_CONSTANT_SECONDS)
    }
}

impl Rate {
    /// A rate that decays with this time constant, in seconds.
    pub fn with_time_constant(time_constant_seconds: f64) -> Rate {
        Rate { time_constant_seconds, count: 0.0, updated_at: Duration::ZERO }
    }

    /// Counts `amount` events at `now`.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.count = self.count(now) + amount;
        self.updated_at = now;
    }

    /// Decayed number of events at `now`.
    pub fn count(&self, now: Duration) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-elapsed_seconds / self.time_constant_seconds).exp()
    }

    /// Events per second at `now`.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.count(now) / self.time_constant_seconds
    }
}

/// A time-weighted mean with exponential decay, whose time constant may differ between updates.
#[derive(Debug)]
pub struct TimeWeightedMean {
    /// Mean as of the last update.
    pub mean: f64,
    updated_at: Duration,
}

impl TimeWeightedMean {
    /// A mean of 0 that starts at `now`.
    pub fn new(now: Duration) -> Self {
        TimeWeightedMean { mean: 0.0, updated_at: now }
    }

    /// Adds that the value was `value` from the last update to `now`.
    pub fn update(&mut self, now: Duration, value: f64, time_constant_seconds: f64) {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        let kept =
            if time_constant_seconds > 0.0 { (-elapsed_seconds / time_constant_seconds).exp() } else { 0.0 };
        self.mean = value + (self.mean - value) * kept;
        self.updated_at = now;
    }
}
