//! Reproducible random numbers: the same seed leads to the same numbers, in the order of the draws.

use std::hash::{DefaultHasher, Hash, Hasher};

/// A hash that is the same in every process, so that all replicas order the servers identically.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The random number generator of one replica.
#[derive(Debug)]
pub struct RandomSource {
    seed: u64,
    draw_count: u64,
}

impl RandomSource {
    /// A generator whose numbers depend on `seed` alone.
    pub fn new(seed: u64) -> Self {
        RandomSource { seed, draw_count: 0 }
    }

    /// The next number, uniform from 0 to less than 1.
    pub fn next(&mut self) -> f64 {
        self.draw_count += 1;
        (hash(&(self.seed, self.draw_count)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Shuffles `items` in place, with one draw for each item.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for index in 0..items.len() {
            let remaining = items.len() - index;
            items.swap(index, index + (self.next() * remaining as f64) as usize);
        }
    }
}

/// The item at `fraction`, from 0 to 1, of the sum of all weights.
pub fn weighted_choice<T: Copy>(weights: &[(T, f64)], fraction: f64) -> Option<T> {
    let mut remaining = fraction * weights.iter().map(|(_, weight)| weight).sum::<f64>();
    let reached = |(_, weight): &&(T, f64)| {
        remaining -= weight;
        remaining <= 0.0
    };
    weights.iter().find(reached).or(weights.last()).map(|(item, _)| *item)
}
