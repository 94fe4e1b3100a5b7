//! Detects that a branch is isolated from the backends, from this gateway's attempts and the reports of a
//! quorum of the branch.

use super::settings::WriteQueueSettings;
use crate::decision::Micros;
use std::collections::BTreeMap;

/// Time for which the reported status of another gateway counts.
const PEER_STATUS_LIFETIME: Micros = Micros(1_500_000);
/// Minimum number of consecutive failures before the uplink counts as down.
const MIN_FAILURES: u32 = 3;
/// Time for which responses must continue before a recovered uplink counts as up; it doubles with each
/// relapse, up to `MAX_HOLD_DOWN`.
const INITIAL_HOLD_DOWN: Micros = Micros(1_000_000);
const MAX_HOLD_DOWN: Micros = Micros(16_000_000);

/// Uplink status that another gateway reported.
#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    received_at: Micros,
    is_down: bool,
}

/// State of the branch's uplink as observed at one gateway.
#[derive(Debug, Clone)]
pub struct UplinkMonitor {
    last_response: Micros,
    failures: u32,
    /// Whether the uplink is down according to this gateway's attempts.
    is_down: bool,
    /// Start of the current run of responses while the uplink still counts as down.
    responses_since: Option<Micros>,
    hold_down: Micros,
    /// Time at which the uplink last came up again.
    recovered_at: Micros,
    peers: BTreeMap<u16, PeerStatus>,
    is_isolated: bool,
}

impl UplinkMonitor {
    /// Creates a monitor for an uplink that is assumed to be up.
    pub fn new(now: Micros) -> UplinkMonitor {
        UplinkMonitor {
            last_response: now,
            failures: 0,
            is_down: false,
            responses_since: None,
            hold_down: INITIAL_HOLD_DOWN,
            recovered_at: now,
            peers: BTreeMap::new(),
            is_isolated: false,
        }
    }

    /// Records whether an attempt at a backend or a health check got a response, of any status.
    pub fn record_attempt(&mut self, now: Micros, responded: bool, settings: &WriteQueueSettings) {
        match responded {
            true => self.record_response(now),
            false => self.record_failure(now, settings),
        }
    }

    fn record_response(&mut self, now: Micros) {
        self.last_response = now;
        self.failures = 0;
        if !self.is_down {
            return;
        }
        let since = *self.responses_since.get_or_insert(now);
        if now - since >= self.hold_down {
            self.is_down = false;
            self.responses_since = None;
            self.recovered_at = now;
        }
    }

    fn record_failure(&mut self, now: Micros, settings: &WriteQueueSettings) {
        self.failures = self.failures.saturating_add(1);
        if self.is_down {
            if self.responses_since.take().is_some() {
                self.hold_down = self.doubled_hold_down();
            }
        } else if self.failures >= MIN_FAILURES && now - self.last_response >= settings.uplink_timeout {
            // The hold-down time of a flapping uplink grows.
            let is_relapse = now - self.recovered_at < MAX_HOLD_DOWN && self.recovered_at > Micros(0);
            self.hold_down = if is_relapse { self.doubled_hold_down() } else { INITIAL_HOLD_DOWN };
            self.is_down = true;
            self.responses_since = None;
        }
    }

    fn doubled_hold_down(&self) -> Micros {
        (self.hold_down + self.hold_down).min(MAX_HOLD_DOWN)
    }

    /// Records the uplink status reported by another gateway of the branch.
    pub fn record_peer_status(&mut self, now: Micros, seat: u16, is_down: bool) {
        self.peers.insert(seat, PeerStatus { received_at: now, is_down });
    }

    /// Returns whether the uplink is down according to this gateway's attempts.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Returns the time since the last response.
    pub fn since_response(&self, now: Micros) -> Micros {
        now - self.last_response
    }

    /// Updates and returns whether the branch is isolated: this gateway's uplink is down, and a quorum of the
    /// branch reports the same. If others still get responses, the fault lies with this gateway alone.
    pub fn update(&mut self, now: Micros, settings: &WriteQueueSettings) -> bool {
        self.peers.retain(|_, status| now - status.received_at < PEER_STATUS_LIFETIME);
        let peers_down = self.peers.values().filter(|status| status.is_down).count();
        let down = peers_down + usize::from(self.is_down);
        self.is_isolated = self.is_down && down >= settings.quorum();
        self.is_isolated
    }

    /// Returns the result of the last `update`.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }
}
