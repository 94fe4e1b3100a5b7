//! Seeded random draws, with one ChaCha stream for each part of a plan.

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A stream of random numbers that depends on the seed and the stream number alone.
pub struct Draw(ChaCha8Rng);

impl Draw {
    /// Opens the stream with number `stream` of a seed.
    pub fn new(seed: u64, stream: u64) -> Draw {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Draw(rng)
    }

    /// Draws 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Draws a number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        // 53 bits fit the mantissa, so that each value is exact on every machine.
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws a uniformly distributed number between two bounds.
    pub fn between(&mut self, [from, to]: [f64; 2]) -> f64 {
        from + (to - from) * self.unit()
    }

    /// Draws an integer in [0, bound); a `bound` of 0 counts as 1.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.bits() % bound.max(1) as u64) as usize
    }

    /// Returns true with a given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws from an exponential distribution with a given mean.
    pub fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Draws from a lognormal distribution with a given mean and coefficient of variation (standard deviation / mean).
    pub fn lognormal(&mut self, mean: f64, variation: f64) -> f64 {
        let variance = (1.0 + variation * variation).ln();
        let normal = (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        mean * (variance.sqrt() * normal - variance / 2.0).exp()
    }

    /// Shuffles the items.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }

    /// Draws the index of a weight, with a probability proportional to the weight.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.unit() * weights.iter().sum::<f64>();
        for (i, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return i;
            }
        }
        weights.len().saturating_sub(1)
    }
}
