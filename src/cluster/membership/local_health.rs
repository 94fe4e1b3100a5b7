//! How well this process itself runs: local health awareness, as in Lifeguard (Dadgar, Phillips, Currey, DSN 2018).
//!
//! A process that was paused, or whose loop runs late, finds all its probes timed out at once and would accuse healthy
//! members. Two guards: protocol time stands still while the process does not run ([`LocalHealth::advance`]), and
//! time-outs grow with a score of recent trouble ([`LocalHealth::scaled`]).

use crate::decision::Micros;

/// The longest time between two calls of the cluster node.
pub const TICK_INTERVAL: Micros = Micros(200_000);
/// A call later than due by more than this shows that the process was paused or its loop ran late.
const LATE_TOLERANCE: Micros = Micros(150_000);
/// The score falls by one after this much time without a late call.
const RECOVERY_TIME: Micros = Micros(1_000_000);
/// The worst score, at which time-outs are nine times as long.
const MAX_SCORE: u32 = 8;

/// The clock of the time that this process was awake, and its health score.
#[derive(Debug, Default)]
pub struct LocalHealth {
    last_call: Option<Micros>,
    awake: Micros,
    score: u32,
    /// Time without a late call since the score last fell.
    on_time: Micros,
    late_calls: u64,
    longest_delay: Micros,
}

impl LocalHealth {
    /// Brings the clock to `now` and returns the time awake.
    ///
    /// Of a pause only the usual interval is counted, so that answers which arrived meanwhile are read before any
    /// probe times out.
    pub fn advance(&mut self, now: Micros) -> Micros {
        let last_call = self.last_call.unwrap_or(now);
        let elapsed = now - last_call;
        self.last_call = Some(last_call.max(now));
        let usual = TICK_INTERVAL + LATE_TOLERANCE;
        if elapsed > usual {
            self.was_late(elapsed - usual);
        }
        let counted = elapsed.min(usual);
        self.on_time = self.on_time + counted;
        if self.on_time >= RECOVERY_TIME {
            self.on_time = Micros(0);
            self.score = self.score.saturating_sub(1);
        }
        self.awake = self.awake + counted;
        self.awake
    }

    fn was_late(&mut self, delay: Micros) {
        self.late_calls += 1;
        self.longest_delay = self.longest_delay.max(delay);
        // One step for each call that was missed, so that one long pause counts as much as many short ones.
        let missed_calls = delay.0 / TICK_INTERVAL.0 + 1;
        let steps = missed_calls.min(u64::from(MAX_SCORE)) as u32;
        self.score = self.score.saturating_add(steps).min(MAX_SCORE);
        self.on_time = Micros(0);
    }

    /// A probe of another member was acknowledged, or timed out.
    pub fn probe_ended(&mut self, acknowledged: bool) {
        if acknowledged {
            self.score = self.score.saturating_sub(1);
        } else {
            self.worsen();
        }
    }

    /// Other members suspect this process, although it runs.
    pub fn was_suspected(&mut self) {
        self.worsen();
    }

    fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// The health score: 0 is healthy, 8 the worst.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// How often a call came late.
    pub fn late_calls(&self) -> u64 {
        self.late_calls
    }

    /// The longest delay of a call beyond what is tolerated.
    pub fn longest_delay(&self) -> Micros {
        self.longest_delay
    }

    /// A time-out made longer by the health score: `score + 1` times.
    pub fn scaled(&self, timeout: Micros) -> Micros {
        Micros(timeout.0.saturating_mul(u64::from(self.score) + 1))
    }
}
