//! Model of a backend's machine: cores shared by the running requests, a bounded queue, a warm-up after the start, and
//! a crash on overload during the warm-up. Performs no I/O; the caller passes the time.

use crate::plan::Microseconds;
use crate::scenario::Backends;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Number of a job at its machine.
pub type Job = u64;

/// Decision of a machine on an offered job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The job is running or queued.
    Accepted,
    /// The queue is full; the job is rejected.
    QueueFull,
    /// The job overloaded a machine that was still warming up; the machine crashes.
    Overloaded,
}

#[derive(Debug, Clone)]
struct Work {
    job: Job,
    remaining_us: f64,
}

/// Machine of one backend process, from its start to its end.
#[derive(Debug, Clone)]
pub struct Machine {
    cores: f64,
    speed: f64,
    slots: usize,
    queue_capacity: usize,
    cold_from: f64,
    cold_us: f64,
    overload_multiple: f64,
    overload_window_us: Microseconds,
    /// Time of the start; `None` if the machine is warm from the beginning.
    since: Option<Microseconds>,
    slowdown: f64,
    running: Vec<Work>,
    queue: VecDeque<Work>,
    /// Load received while warming up: time, work, and whether the sender had been notified of the start.
    warm_up_load: VecDeque<(Microseconds, f64, bool)>,
    advanced_to: Microseconds,
}

/// Allowance of the overload rule for random bursts, in seconds of work at the present capacity.
const OVERLOAD_ALLOWANCE_S: f64 = 0.25;

impl Machine {
    /// Creates a machine for a scenario's backends. `since` is the time of its start; `None` makes it warm at once.
    pub fn new(spec: &Backends, speed: f64, since: Option<Microseconds>) -> Machine {
        Machine {
            cores: spec.cores,
            speed,
            slots: ((spec.cores * spec.slots_per_core) as usize).max(1),
            queue_capacity: (spec.cores * spec.queue_per_core) as usize,
            cold_from: spec.cold_from,
            cold_us: spec.cold_s * 1e6,
            overload_multiple: spec.fall_multiple,
            overload_window_us: (spec.fall_s * 1e6) as Microseconds,
            since,
            slowdown: 1.0,
            running: Vec::new(),
            queue: VecDeque::new(),
            warm_up_load: VecDeque::new(),
            advanced_to: 0,
        }
    }

    /// Returns the available fraction of the capacity: `cold_from` at the start, 1 after the warm-up.
    pub fn available_fraction(&self, now: Microseconds) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = now.saturating_sub(since) as f64;
        if age >= self.cold_us {
            return 1.0;
        }
        self.cold_from + (1.0 - self.cold_from) * age / self.cold_us
    }

    /// Returns the work that all cores can do in one microsecond.
    fn capacity(&self, now: Microseconds) -> f64 {
        self.cores * self.speed * self.available_fraction(now) / self.slowdown
    }

    /// Returns the work done in one microsecond on each running request.
    fn work_per_us(&self, now: Microseconds) -> f64 {
        let share = (self.cores / self.running.len().max(1) as f64).min(1.0);
        self.capacity(now) / self.cores * share
    }

    /// Divides the capacity by a factor from now on.
    pub fn set_slowdown(&mut self, now: Microseconds, factor: f64) {
        self.advance(now);
        self.slowdown = factor.max(0.001);
    }

    /// Returns the number of running and queued requests.
    pub fn request_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns the fraction of busy cores, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        (self.running.len() as f64 / self.cores).min(1.0)
    }

    /// Advances the work to `now` and returns the jobs completed by then, in order of completion.
    pub fn advance(&mut self, now: Microseconds) -> Vec<Job> {
        let mut done = Vec::new();
        while self.advanced_to < now {
            // Steps of at most 20 ms while warming up, because the capacity changes during that time.
            let cold = self.available_fraction(self.advanced_to) < 1.0;
            let step_limit = if cold { now.min(self.advanced_to + 20_000) } else { now };
            let work_per_us = self.work_per_us(self.advanced_to);
            let least_work = self.running.iter().map(|work| work.remaining_us).fold(f64::INFINITY, f64::min);
            // Up to the first completion, but at least one microsecond.
            let step =
                if work_per_us > 0.0 { (least_work / work_per_us).ceil().max(1.0) } else { f64::INFINITY };
            let to = if step < (step_limit - self.advanced_to) as f64 {
                self.advanced_to + step as Microseconds
            } else {
                step_limit
            };
            let work_each = work_per_us * (to - self.advanced_to) as f64;
            self.advanced_to = to;
            self.running.retain_mut(|work| {
                work.remaining_us -= work_each;
                if work.remaining_us <= 1e-6 {
                    done.push(work.job);
                }
                work.remaining_us > 1e-6
            });
            self.start_queued();
            if self.running.is_empty() {
                self.advanced_to = now;
            }
        }
        done
    }

    fn start_queued(&mut self) {
        while self.running.len() < self.slots {
            let Some(work) = self.queue.pop_front() else { return };
            self.running.push(work);
        }
    }

    /// Returns the time of the next completion if no other job arrives.
    pub fn next_due(&self) -> Option<Microseconds> {
        let least_work = self.running.iter().map(|work| work.remaining_us).reduce(f64::min)?;
        let work_per_us = self.work_per_us(self.advanced_to);
        (work_per_us > 0.0)
            .then(|| self.advanced_to + (least_work / work_per_us).ceil().max(1.0) as Microseconds)
    }

    /// Adds work outside of jobs, such as a handshake. It delays the running jobs by its share of the cores.
    pub fn add_overhead(&mut self, now: Microseconds, work_us: f64) {
        self.advance(now);
        let all = self.running.len().max(1) as f64;
        let work_each = work_us / all;
        self.running.iter_mut().for_each(|work| work.remaining_us += work_each);
    }

    /// Offers a job. `informed` says whether its sender has been notified of this machine's start. The caller must call
    /// `advance` first.
    pub fn offer(&mut self, now: Microseconds, job: Job, work_us: f64, informed: bool) -> Offer {
        if self.available_fraction(now) < 1.0 {
            self.warm_up_load.push_back((now, work_us, informed));
            while self.warm_up_load.front().is_some_and(|(at, ..)| at + self.overload_window_us < now) {
                self.warm_up_load.pop_front();
            }
            let total_work: f64 = self.warm_up_load.iter().map(|(_, work, _)| work).sum();
            let window_us = self.overload_window_us as f64;
            let present = self.cores * self.speed * self.available_fraction(now);
            if total_work > self.overload_multiple * present * (window_us + OVERLOAD_ALLOWANCE_S * 1e6) {
                return Offer::Overloaded;
            }
        } else {
            self.warm_up_load.clear();
        }
        if self.running.len() < self.slots {
            self.running.push(Work { job, remaining_us: work_us.max(1.0) });
        } else if self.queue.len() < self.queue_capacity {
            self.queue.push_back(Work { job, remaining_us: work_us.max(1.0) });
        } else {
            return Offer::QueueFull;
        }
        Offer::Accepted
    }

    /// Returns the fraction of the load during the warm-up that came from senders notified of the start.
    pub fn informed_fraction(&self) -> f64 {
        let all: f64 = self.warm_up_load.iter().map(|(_, work, _)| work).sum();
        let informed: f64 =
            self.warm_up_load.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        if all > 0.0 {
            informed / all
        } else {
            0.0
        }
    }

    /// Removes a job that is still queued. Returns false if the job is not queued; a running job continues.
    pub fn cancel_queued(&mut self, job: Job) -> bool {
        let before = self.queue.len();
        self.queue.retain(|work| work.job != job);
        self.queue.len() < before
    }
}
