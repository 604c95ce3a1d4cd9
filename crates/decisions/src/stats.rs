//! Figures that fade: few numbers for many answers. Nothing is decided here.

use crate::fleet::hash;
use std::time::Duration;

/// Over how many seconds a rate forgets, where nothing else is said.
const RATE_SPAN: f64 = 4.0;

/// Few coarse bins, each 1.6 times as wide as the last; halved when full, so that the old fades.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    bins: [u32; 18],
    pub total: u32,
    sum: f64,
}

impl Histogram {
    const FLOOR: f64 = 0.004;
    const STEP: f64 = 1.6;
    pub const FULL: u32 = 256;

    pub fn add(&mut self, value: f64, full: u32) {
        let last = self.bins.len() - 1;
        let bin = (value.max(Self::FLOOR) / Self::FLOOR).log(Self::STEP) as usize;
        if let Some(count) = self.bins.get_mut(bin.min(last)) {
            *count += 1;
        }
        self.total += 1;
        self.sum += value;
        if self.total >= full {
            self.bins.iter_mut().for_each(|count| *count /= 2);
            let kept = self.bins.iter().sum();
            self.sum *= f64::from(kept) / f64::from(self.total);
            self.total = kept;
        }
    }

    fn upper(bin: usize) -> f64 {
        Self::FLOOR * Self::STEP.powi(bin as i32 + 1)
    }

    pub fn mean(&self) -> Option<f64> {
        let middle = |(bin, count): (usize, &u32)| Self::upper(bin) * 0.8 * f64::from(*count);
        let sum: f64 = self.bins.iter().enumerate().map(middle).sum();
        (self.total > 0).then(|| sum / f64::from(self.total))
    }

    /// By the values themselves, where the bins are too coarse.
    pub fn average(&self) -> Option<f64> {
        (self.total > 0).then(|| self.sum / f64::from(self.total))
    }

    pub fn quantile(&self, share: f64) -> Option<f64> {
        let wanted = share * f64::from(self.total);
        let mut seen = 0.0;
        let reached = |count: &u32| {
            seen += f64::from(*count);
            seen >= wanted && seen > 0.0
        };
        self.bins.iter().position(reached).map(Self::upper)
    }
}

/// A rate a second that forgets evenly over its span.
#[derive(Clone, Debug)]
pub struct Rate {
    pub span: f64,
    pub count: f64,
    pub at: Duration,
}

impl Default for Rate {
    fn default() -> Self {
        Rate { span: RATE_SPAN, count: 0.0, at: Duration::ZERO }
    }
}

impl Rate {
    pub fn over(span: f64) -> Rate {
        Rate { span, ..Rate::default() }
    }

    pub fn add(&mut self, now: Duration, amount: f64) {
        self.count = self.count(now) + amount;
        self.at = now;
    }

    pub fn count(&self, now: Duration) -> f64 {
        self.count * (-now.saturating_sub(self.at).as_secs_f64() / self.span).exp()
    }

    pub fn per_s(&self, now: Duration) -> f64 {
        self.count(now) / self.span
    }
}

/// From 0 to 1, by the seed and how often it was drawn from.
pub fn chance(seed: u64, draws: &mut u64) -> f64 {
    *draws += 1;
    (hash(&(seed, *draws)) >> 11) as f64 / (1u64 << 53) as f64
}

/// A mean that forgets evenly over a span which may change.
#[derive(Debug)]
pub struct Average {
    pub mean: f64,
    pub at: Duration,
}

impl Average {
    /// Up to now the figure stood at `figure`.
    pub fn bring(&mut self, now: Duration, figure: f64, span: f64) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        let kept = if span > 0.0 { (-since / span).exp() } else { 0.0 };
        (self.mean, self.at) = (figure + (self.mean - figure) * kept, now);
    }
}

/// The one that a chance from 0 to 1 falls on.
pub fn drawn_from<T: Copy>(weights: &[(T, f64)], drawn: f64) -> Option<T> {
    let mut left = drawn * weights.iter().map(|(_, weight)| weight).sum::<f64>();
    let reached = |(_, weight): &&(T, f64)| {
        left -= weight;
        left <= 0.0
    };
    weights.iter().find(reached).or(weights.last()).map(|(one, _)| *one)
}

pub fn shuffle<T>(all: &mut [T], mut chance: impl FnMut() -> f64) {
    for at in 0..all.len() {
        all.swap(at, at + (chance() * (all.len() - at) as f64) as usize);
    }
}
