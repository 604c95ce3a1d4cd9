//! Random numbers of the simulation. Each concern has its own stream, so that the requests of clients do not depend on
//! the decisions of the load balancer: two runs with the same seed differ only in these decisions.

use crate::plan::WorkDistribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

/// One independent random stream for each concern, all from the seed of the run.
pub struct RandomStreams {
    pub arrivals: ChaCha8Rng,
    pub sizes: ChaCha8Rng,
    pub network: ChaCha8Rng,
    pub clients: ChaCha8Rng,
    pub faults: ChaCha8Rng,
    pub peer_messages: ChaCha8Rng,
}

impl RandomStreams {
    /// Creates all streams from one seed.
    pub fn new(seed: u64) -> RandomStreams {
        let stream = |number| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number);
            rng
        };
        RandomStreams {
            arrivals: stream(1),
            sizes: stream(2),
            network: stream(3),
            clients: stream(4),
            faults: stream(5),
            peer_messages: stream(6),
        }
    }
}

/// Draws from the exponential distribution with mean 1.
pub fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    Exp1.sample(rng)
}

/// Draws the work of one request as a multiple of the mean work.
pub fn work_multiple(spread: WorkDistribution, rng: &mut ChaCha8Rng) -> f64 {
    match spread {
        WorkDistribution::Fixed => 1.0,
        WorkDistribution::Exponential => exponential(rng),
        WorkDistribution::Lognormal => {
            // Mean 1 and coefficient of variation 1.5: sigma^2 = ln(1 + 1.5^2), mu = -sigma^2 / 2.
            let variance = (1.0f64 + 2.25).ln();
            LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |lognormal| lognormal.sample(rng))
        }
        WorkDistribution::Pareto => pareto(rng.random::<f64>()),
    }
}

/// Bounded Pareto distribution by its inverse, with shape 1.5 from `low` to `90 * low`, where `low` makes the mean 1.
fn pareto(uniform: f64) -> f64 {
    const SHAPE: f64 = 1.5;
    const RATIO: f64 = 90.0;
    let truncated_mass = 1.0 - RATIO.powf(-SHAPE);
    let mean_of_low = SHAPE / (SHAPE - 1.0) * (1.0 - RATIO.powf(1.0 - SHAPE)) / truncated_mass;
    (1.0 - uniform * truncated_mass).powf(-1.0 / SHAPE) / mean_of_low
}

/// Returns the index of the share in which `point`, from 0 to 1 of the total, lies. Shares of 0 are never chosen.
pub fn weighted_index(shares: impl Iterator<Item = f64> + Clone, point: f64) -> usize {
    let total: f64 = shares.clone().sum();
    let mut remaining = point * total;
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        if share > 0.0 {
            last = index;
            remaining -= share;
            if remaining < 0.0 {
                break;
            }
        }
    }
    last
}
