//! Health of this process itself: local health awareness, as in Lifeguard (Dadgar, Phillips, Currey, DSN 2018).
//!
//! After a pause or a late event loop, all probes of a process time out at once, and the process would suspect healthy
//! members. Two mechanisms prevent this: protocol time does not advance while the process is paused
//! ([`LocalHealth::advance`]), and time-outs are scaled by a score of recent delays, missed replies and suspicions
//! against this process ([`LocalHealth::scaled`]).

use crate::decision::Micros;

/// Maximum time between two calls of the cluster node.
pub const TICK_INTERVAL: Micros = Micros(200_000);
/// Delay of a call above which the process counts as paused or its event loop as late.
const LATE_TOLERANCE: Micros = Micros(150_000);
/// Time without a late call after which the score decreases by one.
const RECOVERY_TIME: Micros = Micros(1_000_000);
/// Worst score, at which time-outs are nine times as long.
const MAX_SCORE: u32 = 8;

/// Protocol clock, which excludes pauses of this process, and health score.
#[derive(Debug, Default)]
pub struct LocalHealth {
    last_call: Option<Micros>,
    protocol_time: Micros,
    score: u32,
    /// Time without a late call since the score last decreased.
    on_time: Micros,
    late_calls: u64,
    longest_delay: Micros,
}

impl LocalHealth {
    /// Advances the clock to `now` and returns the protocol time.
    ///
    /// A pause counts only as one tolerated interval, so that replies which arrived meanwhile are read before any probe
    /// times out.
    pub fn advance(&mut self, now: Micros) -> Micros {
        let last_call = self.last_call.unwrap_or(now);
        let elapsed = now - last_call;
        self.last_call = Some(last_call.max(now));
        let usual = TICK_INTERVAL + LATE_TOLERANCE;
        if elapsed > usual {
            self.record_late_call(elapsed - usual);
        }
        let counted = elapsed.min(usual);
        self.on_time = self.on_time + counted;
        if self.on_time >= RECOVERY_TIME {
            self.on_time = Micros(0);
            self.score = self.score.saturating_sub(1);
        }
        self.protocol_time = self.protocol_time + counted;
        self.protocol_time
    }

    fn record_late_call(&mut self, delay: Micros) {
        self.late_calls += 1;
        self.longest_delay = self.longest_delay.max(delay);
        // One step for each missed call, so that one long pause weighs as much as many short ones.
        let missed_calls = delay.0 / TICK_INTERVAL.0 + 1;
        let steps = missed_calls.min(u64::from(MAX_SCORE)) as u32;
        self.score = self.score.saturating_add(steps).min(MAX_SCORE);
        self.on_time = Micros(0);
    }

    /// Called when a probe of another member was acknowledged or timed out.
    pub fn on_probe_ended(&mut self, acknowledged: bool) {
        if acknowledged {
            self.score = self.score.saturating_sub(1);
        } else {
            self.increase_score();
        }
    }

    /// Called when other members suspect this process although it runs.
    pub fn on_suspected(&mut self) {
        self.increase_score();
    }

    fn increase_score(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Health score, from 0 (healthy) to 8 (worst).
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Number of late calls.
    pub fn late_calls(&self) -> u64 {
        self.late_calls
    }

    /// Longest delay of a call beyond the tolerance.
    pub fn longest_delay(&self) -> Micros {
        self.longest_delay
    }

    /// Returns `timeout` multiplied by `score + 1`.
    pub fn scaled(&self, timeout: Micros) -> Micros {
        Micros(timeout.0.saturating_mul(u64::from(self.score) + 1))
    }
}
