//! The state of every directed way between two parties, and a piece's crossing of it.

use crate::fault_targets::Party;
use crate::plan::{Draw, LinkChange};
use crate::scenario::Scenario;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// A lock that a panic elsewhere has not made useless.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What is on a link now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct View {
    /// Faults that cut it.
    cuts: u32,
    delay_us: u32,
    jitter_us: u32,
    loss: u32,
    duplicate: u32,
    reorder: u32,
    /// Times that its connections were reset.
    pub resets: u64,
}

impl View {
    /// Whether nothing gets through.
    pub fn cut(&self) -> bool {
        self.cuts > 0
    }
}

/// One directed link.
pub struct Link {
    view: watch::Sender<View>,
    /// Up to this part more than the delay, in millionths.
    jitter: u32,
    draw: Mutex<Draw>,
}

/// A piece of a stream that is lost comes again after this.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// What becomes of a datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fate {
    /// It arrives so often: 0, 1 or 2 times.
    pub copies: u32,
    /// After this.
    pub delay: Duration,
}

impl Link {
    fn new(base_us: u32, jitter: f64, draw: Draw) -> Link {
        let view = View { delay_us: base_us, ..View::default() };
        Link { view: watch::Sender::new(view), jitter: (jitter * 1e6) as u32, draw: Mutex::new(draw) }
    }

    /// Its state, and word of changes.
    pub fn watch(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Begins or ends a fault.
    pub fn change(&self, change: &LinkChange, on: bool) {
        self.view.send_modify(|view| {
            let add = |value: &mut u32, by: u32| {
                *value = if on { value.saturating_add(by) } else { value.saturating_sub(by) };
            };
            add(&mut view.cuts, u32::from(change.cut));
            add(&mut view.delay_us, change.delay_us);
            add(&mut view.jitter_us, change.jitter_us);
            add(&mut view.loss, change.loss);
            add(&mut view.duplicate, change.duplicate);
            add(&mut view.reorder, change.reorder);
        });
    }

    /// Breaks the connections over it.
    pub fn reset(&self) {
        self.view.send_modify(|view| view.resets += 1);
    }

    fn delay(&self, view: &View) -> Duration {
        let mut draw = lock(&self.draw);
        let own = f64::from(view.delay_us) * (1.0 + f64::from(self.jitter) / 1e6 * draw.unit());
        let us = own + f64::from(view.jitter_us) * draw.unit();
        // Timers count whole milliseconds: the fraction is a chance, so that the mean is kept.
        let ms = (us / 1000.0).floor() + f64::from(u8::from(draw.chance((us / 1000.0).fract())));
        Duration::from_millis(ms as u64)
    }

    /// Waits as long as a piece of a stream takes over the link: for its delay, its loss, and any cut.
    pub async fn cross(&self, watch: &mut watch::Receiver<View>) {
        let view = *watch.borrow_and_update();
        let mut wait = self.delay(&view);
        if view.loss > 0 && lock(&self.draw).chance(f64::from(view.loss) / 1e6) {
            wait += RETRANSMIT;
        }
        if !wait.is_zero() {
            sleep(wait).await;
        }
        // The sender lives as long as the link, which `self` holds.
        while watch.borrow_and_update().cut() {
            if watch.changed().await.is_err() {
                return;
            }
        }
    }

    /// What becomes of a datagram that is sent now.
    pub fn datagram(&self) -> Fate {
        let view = *self.view.borrow();
        if view.cut() {
            return Fate { copies: 0, delay: Duration::ZERO };
        }
        let mut delay = self.delay(&view);
        let mut draw = lock(&self.draw);
        let mut chance = |part: u32| part > 0 && draw.chance(f64::from(part) / 1e6);
        if chance(view.loss) {
            return Fate { copies: 0, delay };
        }
        let copies = 1 + u32::from(chance(view.duplicate));
        if chance(view.reorder) {
            // Long enough that the next ones of a busy sender overtake it.
            delay = delay * 2 + Duration::from_millis(20);
        }
        Fate { copies, delay }
    }
}

/// All links of a run, each made when it is first asked for.
pub struct Links {
    seed: u64,
    zones: usize,
    same_us: u32,
    cross_us: u32,
    client_us: u32,
    jitter: f64,
    /// Zones of backends that were not there at the start.
    late: Mutex<HashMap<usize, usize>>,
    all: Mutex<HashMap<(Party, Party), Arc<Link>>>,
}

impl Links {
    /// The links of a scenario; the seed decides their draws.
    pub fn new(scenario: &Scenario, seed: u64) -> Links {
        let us = |ms: f64| (ms * 1000.0) as u32;
        Links {
            seed,
            zones: scenario.zones(),
            same_us: us(scenario.net.same_ms),
            cross_us: us(scenario.net.cross_ms),
            client_us: us(scenario.net.client_ms),
            jitter: scenario.net.jitter,
            late: Mutex::default(),
            all: Mutex::default(),
        }
    }

    /// Says in which zone a backend stands that came later.
    pub fn place(&self, backend: usize, zone: usize) {
        lock(&self.late).insert(backend, zone);
    }

    /// The zone of a party.
    pub fn zone(&self, party: Party) -> Option<usize> {
        match party {
            Party::Backend(b) => lock(&self.late).get(&b).copied().or(party.zone(self.zones)),
            _ => party.zone(self.zones),
        }
    }

    /// The link from one party to another.
    pub fn get(&self, from: Party, to: Party) -> Arc<Link> {
        let (one, other) = (self.zone(from), self.zone(to));
        let mut all = lock(&self.all);
        let make = || {
            let base = match (one, other) {
                (Some(a), Some(b)) if a == b => self.same_us,
                (Some(_), Some(_)) => self.cross_us,
                _ => self.client_us,
            };
            let number = |party: Party| match party {
                Party::Clients => 0,
                Party::Counter => 1,
                Party::Discovery => 2,
                Party::Gateway(n) => 1000 + n as u64,
                Party::Backend(n) => 100_000 + n as u64,
            };
            let stream = 1 << 40 | number(from) << 20 | number(to);
            Arc::new(Link::new(base, self.jitter, Draw::new(self.seed, stream)))
        };
        all.entry((from, to)).or_insert_with(make).clone()
    }
}
