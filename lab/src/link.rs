//! State of every directed link between two parties, and the delays, losses and cuts of the traffic over it.

use crate::fault_targets::Party;
use crate::plan::{Draw, LinkChange};
use crate::scenario::Scenario;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Locks a mutex and ignores poisoning, so that a panic elsewhere does not make the state inaccessible.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Present state of a link; faults add to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkState {
    /// Number of active faults that cut the link.
    cuts: u32,
    delay_us: u32,
    jitter_us: u32,
    loss: u32,
    duplicate: u32,
    reorder: u32,
    /// Number of times that the link's connections were reset.
    pub resets: u64,
}

impl LinkState {
    /// Returns whether the link is cut.
    pub fn cut(&self) -> bool {
        self.cuts > 0
    }
}

/// Directed link between two parties.
pub struct Link {
    state: watch::Sender<LinkState>,
    /// Maximum random addition to the delay, in millionths of it.
    jitter: u32,
    draw: Mutex<Draw>,
}

/// Additional delay of lost stream data, which simulates its retransmission.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// Number and delay of a datagram's deliveries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Delivery {
    /// Number of copies delivered: 0, 1 or 2.
    pub copies: u32,
    /// Delay of the delivery.
    pub delay: Duration,
}

impl Link {
    fn new(base_us: u32, jitter: f64, draw: Draw) -> Link {
        let state = LinkState { delay_us: base_us, ..LinkState::default() };
        Link { state: watch::Sender::new(state), jitter: (jitter * 1e6) as u32, draw: Mutex::new(draw) }
    }

    /// Returns a receiver for the link's state and its changes.
    pub fn watch(&self) -> watch::Receiver<LinkState> {
        self.state.subscribe()
    }

    /// Starts or ends a fault.
    pub fn change(&self, change: &LinkChange, on: bool) {
        self.state.send_modify(|state| {
            let apply = |value: &mut u32, by: u32| {
                *value = if on { value.saturating_add(by) } else { value.saturating_sub(by) };
            };
            apply(&mut state.cuts, u32::from(change.cut));
            apply(&mut state.delay_us, change.delay_us);
            apply(&mut state.jitter_us, change.jitter_us);
            apply(&mut state.loss, change.loss);
            apply(&mut state.duplicate, change.duplicate);
            apply(&mut state.reorder, change.reorder);
        });
    }

    /// Resets the connections over the link.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    fn delay(&self, state: &LinkState) -> Duration {
        let mut draw = lock(&self.draw);
        let base_us = f64::from(state.delay_us) * (1.0 + f64::from(self.jitter) / 1e6 * draw.unit());
        let us = base_us + f64::from(state.jitter_us) * draw.unit();
        // Timers have a resolution of 1 ms. The delay is rounded up with a probability equal to its fraction, so that the
        // mean is kept.
        let ms = (us / 1000.0).floor() + f64::from(u8::from(draw.chance((us / 1000.0).fract())));
        Duration::from_millis(ms as u64)
    }

    /// Waits for as long as stream data takes over the link: for its delay, for a retransmission if it is lost, and for
    /// the end of any cut.
    pub async fn cross(&self, watch: &mut watch::Receiver<LinkState>) {
        let state = *watch.borrow_and_update();
        let mut wait = self.delay(&state);
        if state.loss > 0 && lock(&self.draw).chance(f64::from(state.loss) / 1e6) {
            wait += RETRANSMIT_DELAY;
        }
        if !wait.is_zero() {
            sleep(wait).await;
        }
        // The sender is owned by the link, so that `changed` does not fail while `self` exists.
        while watch.borrow_and_update().cut() {
            if watch.changed().await.is_err() {
                return;
            }
        }
    }

    /// Draws the deliveries of a datagram that is sent now.
    pub fn datagram(&self) -> Delivery {
        let state = *self.state.borrow();
        if state.cut() {
            return Delivery { copies: 0, delay: Duration::ZERO };
        }
        let mut delay = self.delay(&state);
        let mut draw = lock(&self.draw);
        let mut chance = |probability: u32| probability > 0 && draw.chance(f64::from(probability) / 1e6);
        if chance(state.loss) {
            return Delivery { copies: 0, delay };
        }
        let copies = 1 + u32::from(chance(state.duplicate));
        if chance(state.reorder) {
            // Long enough that later datagrams of a busy sender overtake this one.
            delay = delay * 2 + Duration::from_millis(20);
        }
        Delivery { copies, delay }
    }
}

/// All links of a run, each created on first use.
pub struct Links {
    seed: u64,
    zones: usize,
    same_zone_us: u32,
    cross_zone_us: u32,
    client_us: u32,
    jitter: f64,
    /// Zones of backends that were added during the run.
    backend_zones: Mutex<HashMap<usize, usize>>,
    all: Mutex<HashMap<(Party, Party), Arc<Link>>>,
}

impl Links {
    /// Creates the links of a scenario, with random draws from a seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Links {
        let us = |ms: f64| (ms * 1000.0) as u32;
        Links {
            seed,
            zones: scenario.zones(),
            same_zone_us: us(scenario.net.same_ms),
            cross_zone_us: us(scenario.net.cross_ms),
            client_us: us(scenario.net.client_ms),
            jitter: scenario.net.jitter,
            backend_zones: Mutex::default(),
            all: Mutex::default(),
        }
    }

    /// Sets the zone of a backend.
    pub fn place(&self, backend: usize, zone: usize) {
        lock(&self.backend_zones).insert(backend, zone);
    }

    /// Returns the zone of a party; `None` for clients.
    pub fn zone(&self, party: Party) -> Option<usize> {
        match party {
            Party::Backend(b) => lock(&self.backend_zones).get(&b).copied().or(party.zone(self.zones)),
            _ => party.zone(self.zones),
        }
    }

    /// Returns the link from one party to another.
    pub fn get(&self, from: Party, to: Party) -> Arc<Link> {
        let (from_zone, to_zone) = (self.zone(from), self.zone(to));
        let mut all = lock(&self.all);
        let create = || {
            let base = match (from_zone, to_zone) {
                (Some(a), Some(b)) if a == b => self.same_zone_us,
                (Some(_), Some(_)) => self.cross_zone_us,
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
        all.entry((from, to)).or_insert_with(create).clone()
    }
}
