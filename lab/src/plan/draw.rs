//! Seeded draws: one ChaCha stream for each part of a plan.

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A stream of random numbers that the seed and the stream's number decide alone.
pub struct Draw(ChaCha8Rng);

impl Draw {
    /// The stream `stream` of a seed.
    pub fn new(seed: u64, stream: u64) -> Draw {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Draw(rng)
    }

    /// Whole random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// From 0 to under 1.
    pub fn unit(&mut self) -> f64 {
        // 53 bits: each value exact, on every machine.
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Evenly within a range.
    pub fn between(&mut self, [from, to]: [f64; 2]) -> f64 {
        from + (to - from) * self.unit()
    }

    /// A whole number from 0 to under `bound`, which is at least 1.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.bits() % bound.max(1) as u64) as usize
    }

    /// True with a chance.
    pub fn chance(&mut self, part: f64) -> bool {
        self.unit() < part
    }

    /// Exponentially distributed with this mean.
    pub fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Lognormally distributed with this mean and ratio of standard deviation to mean.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        let normal = (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        mean * (variance.sqrt() * normal - variance / 2.0).exp()
    }

    /// Puts the items into a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }

    /// The place of one of the weights, drawn in proportion.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        for (i, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return i;
            }
        }
        weights.len().saturating_sub(1)
    }
}
