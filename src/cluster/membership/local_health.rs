//! How well this gateway itself runs: time that it slept through does not count, and while it runs badly it is
//! slow to accuse others (local health awareness, as in Lifeguard, Dadgar et al., DSN 2018).

use crate::cluster::Micros;

/// The core is called at least this often.
pub const TICK_INTERVAL: Micros = Micros(200_000);
/// A call so much later than due says that the process was paused or its loop ran late.
const LATE: Micros = Micros(150_000);
/// Run on time for so long, a gateway's score gets better by one.
const BETTER: Micros = Micros(1_000_000);
/// The worst score: time-outs are at most so many times and once more as long.
const WORST: u32 = 8;

/// The clock of a process that is awake, and its score.
#[derive(Debug, Default)]
pub struct Health {
    last: Option<Micros>,
    /// Time spent awake.
    awake: Micros,
    score: u32,
    /// Time on time since the score was changed last.
    on_time: Micros,
    /// How often it was found late.
    pub late: u64,
    /// The longest that it was not called, beyond what is usual.
    pub longest: Micros,
}

impl Health {
    /// The time awake now. What went by unseen beyond the usual is left out: answers that came meanwhile are
    /// read before anybody is accused for them.
    pub fn wake(&mut self, now: Micros) -> Micros {
        let since = now - self.last.unwrap_or(now);
        self.last = Some(self.last.unwrap_or(now).max(now));
        let usual = TICK_INTERVAL + LATE;
        if since > usual {
            self.late += 1;
            self.longest = self.longest.max(since - usual);
            // One step for each time that should have been awake, so that a long pause counts as much as many.
            let steps = (since - usual).0 / TICK_INTERVAL.0 + 1;
            self.score = self.score.saturating_add(steps.min(u64::from(WORST)) as u32).min(WORST);
            self.on_time = Micros(0);
        }
        self.on_time = self.on_time + since.min(usual);
        if self.on_time >= BETTER {
            (self.on_time, self.score) = (Micros(0), self.score.saturating_sub(1));
        }
        self.awake = self.awake + since.min(usual);
        self.awake
    }
    /// A probe of another member ended.
    pub fn probed(&mut self, answered: bool) {
        self.score = if answered { self.score.saturating_sub(1) } else { (self.score + 1).min(WORST) };
    }
    /// Others suspected this gateway, which lives.
    pub fn accused(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }
    /// 0: well; 8: as bad as it counts.
    pub fn score(&self) -> u32 {
        self.score
    }
    /// A time-out as long as this gateway's health wants it.
    pub fn stretched(&self, span: Micros) -> Micros {
        Micros(span.0.saturating_mul(u64::from(self.score) + 1))
    }
}
