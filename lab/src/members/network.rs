//! The network between the members: delay, loss, duplication, and paths that are cut.

use quota_gateway::cluster::Micros;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// What the network does to every datagram.
#[derive(Debug, Clone, Copy)]
pub struct NetworkConditions {
    /// The shortest and the longest delay, drawn for each datagram, so that they overtake each other.
    pub delay: (Micros, Micros),
    /// The fraction that is lost.
    pub loss: f64,
    /// The fraction that arrives twice.
    pub duplication: f64,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions { delay: (Micros(200), Micros(2_000)), loss: 0.0, duplication: 0.0 }
    }
}

impl NetworkConditions {
    /// The delay of each copy of a datagram that arrives.
    pub fn deliveries(&self, rng: &mut ChaCha8Rng) -> Vec<Micros> {
        let copies = if rng.random_bool(self.duplication) { 2 } else { 1 };
        let mut delays = Vec::with_capacity(copies);
        for _ in 0..copies {
            if rng.random_bool(self.loss) {
                continue;
            }
            let (shortest, longest) = self.delay;
            delays.push(Micros(rng.random_range(shortest.0..=longest.0)));
        }
        delays
    }
}

/// Paths that are cut, each in one direction.
#[derive(Debug, Default)]
pub struct CutPaths {
    cut: BTreeSet<(usize, usize)>,
}

impl CutPaths {
    /// Whether nothing crosses from one node to the other.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Nothing crosses from one node to the other from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Nothing crosses between any two of these groups from now on.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        for (place, group) in groups.iter().enumerate() {
            let others = groups.iter().enumerate().filter(|(other, _)| *other != place);
            for &to in others.flat_map(|(_, other)| other) {
                self.cut.extend(group.iter().map(|&from| (from, to)));
            }
        }
    }

    /// Everything crosses again.
    pub fn heal(&mut self) {
        self.cut.clear();
    }
}
