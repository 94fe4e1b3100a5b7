//! What a play of the soak consists of, drawn from its seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Length of a play.
const LENGTH: Duration = Duration::from_secs(10);
/// Earliest and latest time of a step, and the shortest time between two.
const FIRST_STEP_MS: u64 = 1_500;
const LAST_STEP_MS: u64 = 8_000;
const STEP_DISTANCE_MS: u64 = 2_500;

/// What clients of the crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    /// Half a head of many short fields.
    HalfHead,
    /// A complete head of many short fields, and no body.
    ManyFields,
    /// Half of a long body.
    HalfBody,
    /// A long response that is not read.
    UnreadResponse,
    /// Small requests, many in one write.
    Flood,
    /// Connects and leaves in the middle of a request.
    Leave,
}

/// A signal, or a change of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// SIGHUP.
    Reload,
    /// SIGTERM, SIGKILL at the earliest time that the pages allow, and a start at once.
    Restart,
    /// SIGKILL and a start at once.
    Kill,
    /// A successor process takes over, and the predecessor gets SIGTERM.
    HandOver,
}

/// A play.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed that the play is drawn from.
    pub seed: u64,
    /// Time during which requests are sent.
    pub length: Duration,
    /// Memory limit, in millions of bytes.
    pub memory_mb: u64,
    /// Limit on descriptors.
    pub sockets: u64,
    /// Number of backends.
    pub backends: usize,
    /// Clients of the crowd, whose kinds alternate.
    pub crowd: usize,
    /// Kinds of the crowd's clients.
    pub crowd_kinds: Vec<CrowdKind>,
    /// Judged requests a second.
    pub requests_per_second: u32,
    /// Steps by their time.
    pub steps: Vec<(Duration, Step)>,
}

impl SoakPlan {
    /// Draws the play of a seed.
    pub fn draw(seed: u64) -> SoakPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all_kinds = [
            CrowdKind::HalfHead,
            CrowdKind::ManyFields,
            CrowdKind::HalfBody,
            CrowdKind::UnreadResponse,
            CrowdKind::Flood,
            CrowdKind::Leave,
        ];
        let count = rng.random_range(1..=3);
        let first = rng.random_range(0..all_kinds.len());
        let crowd_kinds = all_kinds.iter().cycle().skip(first).step_by(2).take(count).copied().collect();
        let (memory_mb, sockets) =
            (draw(&mut rng, &[32, 32, 48, 64, 192]), draw(&mut rng, &[256, 512, 1_024, 1_024]));
        let crowd = draw(&mut rng, &[0, 100, 400, 700]) as usize;
        let mut steps = Vec::new();
        let mut at = rng.random_range(FIRST_STEP_MS..FIRST_STEP_MS + STEP_DISTANCE_MS);
        while at < LAST_STEP_MS {
            let step = [Step::Reload, Step::Restart, Step::Kill, Step::HandOver, Step::HandOver];
            steps.push((Duration::from_millis(at), step[rng.random_range(0..step.len())]));
            at += STEP_DISTANCE_MS + rng.random_range(0..STEP_DISTANCE_MS);
        }
        SoakPlan {
            seed,
            length: LENGTH,
            memory_mb,
            sockets,
            backends: rng.random_range(6..=14),
            crowd,
            crowd_kinds,
            requests_per_second: 30,
            steps,
        }
    }
}

fn draw(rng: &mut ChaCha8Rng, values: &[u64]) -> u64 {
    values[rng.random_range(0..values.len())]
}
