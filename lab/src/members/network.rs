//! The virtual network between the members: delay, loss, duplication and cut paths.

use quota_gateway::cluster::Micros;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Conditions that the network applies to every datagram.
#[derive(Debug, Clone, Copy)]
pub struct NetworkConditions {
    /// Minimum and maximum delay; it is drawn for each datagram, so that datagrams may be reordered.
    pub delay: (Micros, Micros),
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Fraction of datagrams duplicated.
    pub duplication: f64,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions { delay: (Micros(200), Micros(2_000)), loss: 0.0, duplication: 0.0 }
    }
}

impl NetworkConditions {
    /// Draws the delays of the copies of one datagram that arrive.
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

/// Cut paths, each in one direction.
#[derive(Debug, Default)]
pub struct CutPaths {
    cut: BTreeSet<(usize, usize)>,
}

impl CutPaths {
    /// Whether datagrams from one node to another are dropped.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Drops all datagrams from one node to another from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Drops all datagrams between different groups from now on.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        for (index, group) in groups.iter().enumerate() {
            let others = groups.iter().enumerate().filter(|(other, _)| *other != index);
            for &to in others.flat_map(|(_, other)| other) {
                self.cut.extend(group.iter().map(|&from| (from, to)));
            }
        }
    }

    /// Restores all paths.
    pub fn heal(&mut self) {
        self.cut.clear();
    }
}
