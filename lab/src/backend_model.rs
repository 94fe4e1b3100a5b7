//! The model of a backend's machine: cores shared by the requests in work, a waiting room, a cold start, and
//! falling over. No I/O; time is passed in.

use crate::plan::Microseconds;
use crate::scenario::Backends;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Names a job at its machine.
pub type Job = u64;

/// What became of an offered job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is in work or waits.
    Taken,
    /// There is no room: it is turned away.
    Full,
    /// The machine was cold, and this was too much: it falls over.
    Fell,
}

#[derive(Debug, Clone)]
struct Work {
    job: Job,
    left: f64,
}

/// One machine, from the start of its process to the end.
#[derive(Debug, Clone)]
pub struct Machine {
    cores: f64,
    speed: f64,
    slots: usize,
    room: usize,
    cold_from: f64,
    cold_us: f64,
    fall_multiple: f64,
    fall_us: Microseconds,
    /// When it started; `None`: long ago.
    since: Option<Microseconds>,
    slower: f64,
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    /// Work sent while it was cold: when, how much, and whether its sender knew of the start.
    sent: VecDeque<(Microseconds, f64, bool)>,
    last: Microseconds,
}

/// Slack of the rule on falling over, for chance: the work of so many seconds of the present capacity.
const CHANCE_S: f64 = 0.25;

impl Machine {
    /// A machine by its scenario; `since` as it started, `None` for long ago.
    pub fn new(spec: &Backends, speed: f64, since: Option<Microseconds>) -> Machine {
        Machine {
            cores: spec.cores,
            speed,
            slots: ((spec.cores * spec.slots_per_core) as usize).max(1),
            room: (spec.cores * spec.queue_per_core) as usize,
            cold_from: spec.cold_from,
            cold_us: spec.cold_s * 1e6,
            fall_multiple: spec.fall_multiple,
            fall_us: (spec.fall_s * 1e6) as Microseconds,
            since,
            slower: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            sent: VecDeque::new(),
            last: 0,
        }
    }

    /// How warm it is: the part of its capacity that it has, up to 1.
    pub fn warmth(&self, now: Microseconds) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = now.saturating_sub(since) as f64;
        if age >= self.cold_us {
            return 1.0;
        }
        self.cold_from + (1.0 - self.cold_from) * age / self.cold_us
    }

    /// Work that it can do in a microsecond now, over all cores.
    fn capacity(&self, now: Microseconds) -> f64 {
        self.cores * self.speed * self.warmth(now) / self.slower
    }

    /// Work done in a microsecond on each of the requests in work.
    fn pace(&self, now: Microseconds) -> f64 {
        let share = (self.cores / self.running.len().max(1) as f64).min(1.0);
        self.capacity(now) / self.cores * share
    }

    /// Makes it so many times slower.
    pub fn slow(&mut self, now: Microseconds, times: f64) {
        self.advance(now);
        self.slower = times.max(0.001);
    }

    /// Requests that it holds.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// How busy its cores are, from 0 to 1.
    pub fn busy(&self) -> f64 {
        (self.running.len() as f64 / self.cores).min(1.0)
    }

    /// Lets the work go on to a time; returns the jobs done by then, in order.
    pub fn advance(&mut self, now: Microseconds) -> Vec<Job> {
        let mut done = Vec::new();
        while self.last < now {
            // Steps of at most 20 ms while cold, as the capacity changes meanwhile.
            let cold = self.warmth(self.last) < 1.0;
            let most = if cold { now.min(self.last + 20_000) } else { now };
            let pace = self.pace(self.last);
            let least = self.running.iter().map(|work| work.left).fold(f64::INFINITY, f64::min);
            // Until the first one is done, at the least a microsecond.
            let step = if pace > 0.0 { (least / pace).ceil().max(1.0) } else { f64::INFINITY };
            let to = if step < (most - self.last) as f64 { self.last + step as Microseconds } else { most };
            let each = pace * (to - self.last) as f64;
            self.last = to;
            self.running.retain_mut(|work| {
                work.left -= each;
                if work.left <= 1e-6 {
                    done.push(work.job);
                }
                work.left > 1e-6
            });
            self.fill();
            if self.running.is_empty() {
                self.last = now;
            }
        }
        done
    }

    fn fill(&mut self) {
        while self.running.len() < self.slots {
            let Some(work) = self.waiting.pop_front() else { return };
            self.running.push(work);
        }
    }

    /// When the next job is done if nothing else comes.
    pub fn next(&self) -> Option<Microseconds> {
        let least = self.running.iter().map(|work| work.left).reduce(f64::min)?;
        let pace = self.pace(self.last);
        (pace > 0.0).then(|| self.last + (least / pace).ceil().max(1.0) as Microseconds)
    }

    /// Work of its own, such as a handshake, that slows down the others by taking a part of the cores.
    pub fn burden(&mut self, now: Microseconds, work_us: f64) {
        self.advance(now);
        let all = self.running.len().max(1) as f64;
        let each = work_us / all;
        self.running.iter_mut().for_each(|work| work.left += each);
    }

    /// Offers a job; `knowing`: its sender has been told when this machine started. `advance` comes first.
    pub fn offer(&mut self, now: Microseconds, job: Job, work_us: f64, knowing: bool) -> Offer {
        if self.warmth(now) < 1.0 {
            self.sent.push_back((now, work_us, knowing));
            while self.sent.front().is_some_and(|(at, ..)| at + self.fall_us < now) {
                self.sent.pop_front();
            }
            let sum: f64 = self.sent.iter().map(|(_, work, _)| work).sum();
            let span = self.fall_us as f64;
            let present = self.cores * self.speed * self.warmth(now);
            if sum > self.fall_multiple * present * (span + CHANCE_S * 1e6) {
                return Offer::Fell;
            }
        } else {
            self.sent.clear();
        }
        if self.running.len() < self.slots {
            self.running.push(Work { job, left: work_us.max(1.0) });
        } else if self.waiting.len() < self.room {
            self.waiting.push_back(Work { job, left: work_us.max(1.0) });
        } else {
            return Offer::Full;
        }
        Offer::Taken
    }

    /// The part of the cold load that came from those who knew of the start.
    pub fn knowing(&self) -> f64 {
        let all: f64 = self.sent.iter().map(|(_, work, _)| work).sum();
        let knowing: f64 = self.sent.iter().filter(|(.., knowing)| *knowing).map(|(_, work, _)| work).sum();
        if all > 0.0 {
            knowing / all
        } else {
            0.0
        }
    }

    /// Drops a job that still waits; false: it is in work and goes on.
    pub fn drop_waiting(&mut self, job: Job) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|work| work.job != job);
        self.waiting.len() < before
    }
}
