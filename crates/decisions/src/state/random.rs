//! Reproducible random numbers: the same seed gives the same numbers, in the order in which they are drawn.

use std::hash::{DefaultHasher, Hash, Hasher};

/// A hash that is the same in every process, so that all replicas order the servers alike.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The random numbers of one replica.
#[derive(Debug)]
pub struct RandomSource {
    seed: u64,
    drawn: u64,
}

impl RandomSource {
    /// A source whose numbers follow from `seed` alone.
    pub fn new(seed: u64) -> Self {
        RandomSource { seed, drawn: 0 }
    }

    /// The next number, from 0 to below 1.
    pub fn next(&mut self) -> f64 {
        self.drawn += 1;
        (hash(&(self.seed, self.drawn)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Brings `items` into random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for at in 0..items.len() {
            let remaining = items.len() - at;
            items.swap(at, at + (self.next() * remaining as f64) as usize);
        }
    }
}

/// The item that `drawn`, from 0 to 1, falls on when each item takes room by its weight.
pub fn weighted_choice<T: Copy>(weights: &[(T, f64)], drawn: f64) -> Option<T> {
    let mut left = drawn * weights.iter().map(|(_, weight)| weight).sum::<f64>();
    let reached = |(_, weight): &&(T, f64)| {
        left -= weight;
        left <= 0.0
    };
    weights.iter().find(reached).or(weights.last()).map(|(item, _)| *item)
}
