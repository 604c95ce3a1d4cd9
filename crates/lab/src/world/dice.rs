//! Chance. One stream for each concern, so that what clients send does not depend on what a picker does with it:
//! two runs with one seed differ by their decisions alone.

use crate::plan::WorkDistribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

pub struct Dice {
    pub arrivals: ChaCha8Rng,
    pub sizes: ChaCha8Rng,
    pub network: ChaCha8Rng,
    pub clients: ChaCha8Rng,
    pub faults: ChaCha8Rng,
    pub words: ChaCha8Rng,
}

impl Dice {
    pub fn new(seed: u64) -> Dice {
        let stream = |number| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number);
            rng
        };
        Dice {
            arrivals: stream(1),
            sizes: stream(2),
            network: stream(3),
            clients: stream(4),
            faults: stream(5),
            words: stream(6),
        }
    }
}

/// Exponential with mean 1.
pub fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    Exp1.sample(rng)
}

/// A work's size as a multiple of its mean.
pub fn work_multiple(spread: WorkDistribution, rng: &mut ChaCha8Rng) -> f64 {
    match spread {
        WorkDistribution::Fixed => 1.0,
        WorkDistribution::Exponential => exponential(rng),
        WorkDistribution::Lognormal => {
            // Mean 1 and coefficient of variation 1.5: sigma^2 = ln(1 + 1.5^2), mu = -sigma^2 / 2.
            let variance = (1.0f64 + 2.25).ln();
            LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |law| law.sample(rng))
        }
        WorkDistribution::Pareto => pareto(rng.random::<f64>()),
    }
}

/// Bounded Pareto by its inverse, shape 1.5 from `low` to `90 * low`; `low` makes the mean 1.
fn pareto(uniform: f64) -> f64 {
    const SHAPE: f64 = 1.5;
    const RATIO: f64 = 90.0;
    let tail = 1.0 - RATIO.powf(-SHAPE);
    let mean_of_low = SHAPE / (SHAPE - 1.0) * (1.0 - RATIO.powf(1.0 - SHAPE)) / tail;
    (1.0 - uniform * tail).powf(-1.0 / SHAPE) / mean_of_low
}

/// The place of a share among shares, at `point` from 0 to 1.
pub fn weighted_index(shares: impl Iterator<Item = f64> + Clone, point: f64) -> usize {
    let total: f64 = shares.clone().sum();
    let mut left = point * total;
    let mut last = 0;
    for (at, share) in shares.enumerate() {
        if share > 0.0 {
            last = at;
            left -= share;
            if left < 0.0 {
                break;
            }
        }
    }
    last
}
